"""Weighted fair queueing of samples when several deployments share engines."""

import heapq
import itertools
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Generic, TypeVar

__all__ = ["FairQueue"]

Ticket = TypeVar("Ticket", bound=Hashable)


@dataclass(order=True, slots=True)
class Entry(Generic[Ticket]):
    """A queued ticket with its virtual start and finish times, ordered by start time."""

    start: float
    sequence_number: int
    finish: float
    ticket: Ticket


class FairQueue(Generic[Ticket]):
    """Start-time fair queueing: each deployment gets engine work in proportion to its share.

    An idle deployment accumulates no credit.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.last_finish: dict[str, float] = {}
        self.queue: list[Entry[Ticket]] = []
        self.sequence = itertools.count()
        self.cancelled: set[Ticket] = set()

    def enqueue(self, deployment: str, share: float, cost: float, ticket: Ticket) -> None:
        """Queue a ticket.

        Args:
            deployment: Deployment that the ticket belongs to.
            share: Weight of the deployment relative to the others, above 0.
            cost: Expected work, in tokens.
            ticket: Value that ``pop`` returns.
        """
        start = max(self.virtual_time, self.last_finish.get(deployment, 0.0))
        finish = start + cost / share
        self.last_finish[deployment] = finish
        heapq.heappush(self.queue, Entry(start, next(self.sequence), finish, ticket))

    def cancel(self, ticket: Ticket) -> None:
        """Remove a ticket from the queue."""
        self.cancelled.add(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the next ticket, or None if the queue is empty."""
        while self.queue:
            entry = heapq.heappop(self.queue)
            if entry.ticket in self.cancelled:
                self.cancelled.discard(entry.ticket)
                continue
            self.virtual_time = max(self.virtual_time, entry.start)
            return entry.ticket
        return None
