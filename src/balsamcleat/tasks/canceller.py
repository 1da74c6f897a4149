"""Cancels generations at engines whose callers have disconnected."""

import anyio

from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import RequestId, TargetInfo
from balsamcleat.ports import Metrics
from balsamcleat.tasks.connections import Connections

__all__ = ["Canceller"]

MAX_QUEUED = 1024
WORKERS = 4


class Canceller:
    """Sends cancel requests in the background, so that a disconnected caller delays nothing.

    Args:
        connections: Creates the clients of engines.
        metrics: Receives the counters.
    """

    def __init__(self, connections: Connections, metrics: Metrics) -> None:
        self.connections = connections
        self.metrics = metrics
        self.send_stream, self.receive_stream = anyio.create_memory_object_stream[
            tuple[TargetInfo, RequestId]
        ](MAX_QUEUED)

    def submit(self, target: TargetInfo, attempt_id: RequestId) -> None:
        """Queue the cancellation of an attempt.

        If the queue is full, the cancellation is dropped, because the engine also detects the
        closed connection.
        """
        try:
            self.send_stream.send_nowait((target, attempt_id))
        except anyio.WouldBlock:
            self.metrics.count("generate.cancel.dropped")

    async def run(self) -> None:
        """Send queued cancel requests until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(WORKERS):
                group.start_soon(self.send_cancels)

    async def send_cancels(self) -> None:
        """Send the queued cancel requests one after another; several workers run this."""
        while True:
            target, attempt_id = await self.receive_stream.receive()
            try:
                await self.connections.engine(target).cancel(attempt_id)
                self.metrics.count("generate.cancel.sent")
            except AttemptFailedError:
                self.metrics.count("generate.cancel.failed")
