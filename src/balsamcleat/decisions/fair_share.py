"""Weighted fair queueing of flows that share slots: deployments at engines, teams at services."""

import heapq
import itertools
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

__all__ = ["FairClock", "FairQueue"]

Ticket = TypeVar("Ticket", bound=Hashable)


@dataclass(order=True, slots=True)
class Entry(Generic[Ticket]):
    """A queued ticket with its virtual start and finish times, ordered by start time."""

    start: float
    sequence_number: int
    finish: float
    ticket: Ticket


@dataclass(slots=True)
class FairClock:
    """Virtual time of start-time fair queueing; an idle flow accumulates no credit.

    Attributes:
        virtual_time: Virtual start time of the work that began last.
        last_finish: Virtual finish time of the last work of each flow.
    """

    virtual_time: float = 0.0
    last_finish: dict[str, float] = field(default_factory=dict)

    def next_start(self, flow: str) -> float:
        """Return the virtual start time that the next work of a flow has."""
        return max(self.virtual_time, self.last_finish.get(flow, 0.0))

    def add(self, flow: str, work: float) -> float:
        """Add work, divided by the flow's share, and return its virtual start time."""
        start = self.next_start(flow)
        self.last_finish[flow] = start + work
        return start

    def begin(self, start: float) -> None:
        """Record that the work with a virtual start time begins."""
        self.virtual_time = max(self.virtual_time, start)


class FairQueue(Generic[Ticket]):
    """Start-time fair queueing: each deployment gets engine work in proportion to its share.

    An idle deployment accumulates no credit.
    """

    def __init__(self) -> None:
        self.clock = FairClock()
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
        start = self.clock.add(deployment, cost / share)
        finish = self.clock.last_finish[deployment]
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
            self.clock.begin(entry.start)
            return entry.ticket
        return None
