"""Concurrency limit for the samples of a VM, with weighted fair queueing of deployments."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from balsamcleat.decisions.fair_share import FairQueue
from balsamcleat.ports import Metrics

__all__ = ["FairShareLimiter"]

ROLLOUT_SLOTS = 64


class FairShareLimiter:
    """Limits the number of samples that a VM generates at a time.

    Args:
        metrics: Receiver of metrics.
        slots: Largest number of samples in flight from this VM.
    """

    def __init__(self, metrics: Metrics, slots: int = ROLLOUT_SLOTS) -> None:
        self.metrics = metrics
        self.slots = slots
        self.running = 0
        self.queue: FairQueue[int] = FairQueue()
        self.waiters: dict[int, anyio.Event] = {}
        self.last_ticket = 0

    @asynccontextmanager
    async def slot(self, deployment: str, share: float, cost: float) -> AsyncIterator[None]:
        """Wait for a slot and hold it inside the context.

        Args:
            deployment: Deployment that the sample belongs to.
            share: Weight of the deployment against other deployments.
            cost: Expected work of the sample, in tokens.
        """
        self.last_ticket += 1
        ticket, granted = self.last_ticket, anyio.Event()
        self.waiters[ticket] = granted
        self.queue.enqueue(deployment, share, cost, ticket)
        self.grant_slots()
        try:
            await granted.wait()
        except BaseException:
            # The task was cancelled while waiting, or just after the slot was granted.
            if granted.is_set():
                self.release_slot()
            else:
                self.waiters.pop(ticket, None)
                self.queue.cancel(ticket)
            raise
        try:
            yield
        finally:
            self.release_slot()

    def resize(self, slots: int) -> None:
        """Change the number of slots; running samples keep theirs."""
        self.slots = max(1, slots)
        self.grant_slots()

    def release_slot(self) -> None:
        """Return a slot."""
        self.running -= 1
        self.grant_slots()

    def grant_slots(self) -> None:
        """Grant free slots to waiting samples in fair-queueing order."""
        while self.running < self.slots:
            ticket = self.queue.pop()
            if ticket is None:
                break
            self.running += 1
            self.waiters.pop(ticket).set()
        self.metrics.gauge("rollout.running", self.running)
        self.metrics.gauge("rollout.waiting", len(self.waiters))
