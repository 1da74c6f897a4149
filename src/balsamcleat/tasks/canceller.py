"""The task that tells engines to stop generations that nobody waits for."""

import anyio

from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import RequestId, TargetInfo
from balsamcleat.ports import Metrics
from balsamcleat.tasks.connections import Connections

__all__ = ["Canceller"]

MAX_QUEUED = 1024
WORKERS = 4


class Canceller:
    """Sends cancels in the background, so that a departed caller holds nothing up.

    Args:
        connections: Connections to engines.
        metrics: Where counts go.
    """

    def __init__(self, connections: Connections, metrics: Metrics) -> None:
        self.connections = connections
        self.metrics = metrics
        self.send_stream, self.receive_stream = anyio.create_memory_object_stream[
            tuple[TargetInfo, RequestId]
        ](MAX_QUEUED)

    def submit(self, target: TargetInfo, attempt_id: RequestId) -> None:
        """Have an attempt stopped; a full queue drops it, for the engine also sees the cut."""
        try:
            self.send_stream.send_nowait((target, attempt_id))
        except anyio.WouldBlock:
            self.metrics.count("generate.cancel.dropped")

    async def run(self) -> None:
        """Send cancels until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(WORKERS):
                group.start_soon(self.send_cancels)

    async def send_cancels(self) -> None:
        """Send one cancel after another."""
        while True:
            target, attempt_id = await self.receive_stream.receive()
            try:
                await self.connections.engine(target).cancel(attempt_id)
                self.metrics.count("generate.cancel.sent")
            except AttemptFailedError:
                self.metrics.count("generate.cancel.failed")
