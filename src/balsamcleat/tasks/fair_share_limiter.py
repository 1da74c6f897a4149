"""The gate through which all rollouts of a node pass to the engines, in fair shares."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from balsamcleat.decisions.fair_share import FairShare
from balsamcleat.ports import Metrics

__all__ = ["FairShareLimiter"]

ROLLOUT_SLOTS = 64


class FairShareLimiter:
    """Lets a bounded number of samples run at a time.

    Args:
        metrics: Where counts go.
        slots: The most samples in flight from this node.
    """

    def __init__(self, metrics: Metrics, slots: int = ROLLOUT_SLOTS) -> None:
        self.metrics = metrics
        self.slots = slots
        self.running = 0
        self.queue: FairShare[int] = FairShare()
        self.waiters: dict[int, anyio.Event] = {}
        self.last_ticket = 0

    @asynccontextmanager
    async def slot(self, deployment: str, share: float, cost: float) -> AsyncIterator[None]:
        """Wait for a turn and hold a slot inside the context.

        Args:
            deployment: Who asks.
            share: Its weight against other deployments.
            cost: The work expected, in tokens.
        """
        self.last_ticket += 1
        ticket, turn = self.last_ticket, anyio.Event()
        self.waiters[ticket] = turn
        self.queue.enqueue(deployment, share, cost, ticket)
        self.grant_slots()
        try:
            await turn.wait()
        except BaseException:
            # Cancelled while waiting, or just after the turn came.
            if turn.is_set():
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
        """Change how many samples may run; those that run go on."""
        self.slots = max(1, slots)
        self.grant_slots()

    def release_slot(self) -> None:
        """Give a slot back."""
        self.running -= 1
        self.grant_slots()

    def grant_slots(self) -> None:
        """Give free slots to those whose turn it is."""
        while self.running < self.slots:
            ticket = self.queue.pop()
            if ticket is None:
                break
            self.running += 1
            self.waiters.pop(ticket).set()
        self.metrics.gauge("rollout.running", self.running)
        self.metrics.gauge("rollout.waiting", len(self.waiters))
