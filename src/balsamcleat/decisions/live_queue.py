"""Decide which live calls of a plain service go on, which wait here and which are rejected.

Load pattern: for some seconds callers bring several times what the targets can take, through many
VMs that each see a part of it, while a target is slow or dark. Sending all of it on fills the
targets' own queues, costs each call up to four refusals and lets chance decide who is served; the
refused ones then come back together. Here a call waits where its rank and deadline count, one that
can't be answered in time is rejected as soon as that is known, and those that are rejected are told
to come back one after the other, at the pace at which places come free.

VMs don't talk to each other about it. What others have at a target is known from its last answers
and trusted less and less, so that several VMs come to like judgements from the same answers.
"""

import random
from bisect import insort
from dataclasses import dataclass, field

__all__ = ["Admitted", "Decision", "LiveQueue", "Rejected", "SlotEstimate", "Ticket", "new_ticket"]

# A target takes one request more than it runs, so that a place that comes free is used at once.
QUEUED_PER_TARGET = 1
# Service time that is believed before the first answer, in seconds.
INITIAL_SERVICE_TIME_S = 0.05
# Answers that took long are mostly those of a slow target, which the others don't wait for.
FASTER_WEIGHT = 0.1
SLOWER_WEIGHT = 0.02
# A call waits here while it can still be answered within this share of its objective; the rest is
# kept for what the estimate doesn't know. One that can't is better off coming back.
WAIT_OBJECTIVE_SHARE = 0.5
# A queue whose places were never seen free is judged as if it had been stuck for this long.
MAX_STALL_S = 10.0
# Least pause after all targets turned a call away, in seconds.
MIN_REJECTION_PAUSE_S = 0.05
# While both wait, every so many calls one goes to those of lower rank, so that none starves.
ADMISSIONS_PER_LOWER_RANK = 8
# Callers follow a time to come back up to this share of the time that they have left.
MAX_RETRY_AFTER_SHARE = 1.0 / 3.0
MIN_RETRY_AFTER_S = 0.05
# Times to come back are spread by up to this share, as other VMs' callers come back, too.
RETRY_JITTER = 0.5


@dataclass(frozen=True, slots=True)
class SlotEstimate:
    """What is believed of a service's targets.

    Attributes:
        capacity: Requests that they take at once.
        others: Requests of other VMs there, as far as known.
        own: Calls of this VM that hold a place.
    """

    capacity: float
    others_in_flight: float
    own_in_flight: int

    @property
    def free(self) -> float:
        """Places that are believed free."""
        return self.capacity - self.others_in_flight - self.own_in_flight


@dataclass(slots=True, eq=False)
class Ticket:
    """A call that wants a place; identity counts.

    Attributes:
        rank: Importance; 0 is the highest.
        deadline_s: When its caller stops waiting, on the process's clock.
        wanted_s: When its answer is wanted at the latest for the call to wait here.
    """

    rank: int
    deadline_s: float
    answer_by_s: float

    def __lt__(self, other: "Ticket") -> bool:
        """Order by rank, then by deadline: callers that came back have less time left."""
        return (self.rank, self.deadline_s) < (other.rank, other.deadline_s)


@dataclass(frozen=True, slots=True)
class Admitted:
    """The call holds a place now."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Rejected:
    """The call can't be answered in time.

    Attributes:
        ticket: The call.
        wait_s: How long it would have to wait for a place, in seconds.
        retry_after_s: When to come back, in seconds.
    """

    ticket: Ticket
    wait_s: float
    retry_after_s: float


def new_ticket(rank: int, deadline_s: float, asked_s: float, objective_s: float) -> Ticket:
    """Return the ticket of a call; all times but ``objective_s`` are on the process's clock."""
    return Ticket(rank, deadline_s, min(deadline_s, asked_s + WAIT_OBJECTIVE_SHARE * objective_s))


Decision = Admitted | Rejected


@dataclass
class LiveQueue:
    """The calls of one service that wait at this VM.

    Attributes:
        generator: Draws the spread of times to come back.
        waiting: Those that wait, best first.
        service_s: Smoothed time that an answered call takes, in seconds.
        free_seen_s: When a place came free or was seen free last.
        closed_until_s: No call goes on before: all targets turned one away.
        returns_at_s: When the last of the rejected was told to come back.
        turns: Calls that went on since one of lower rank did while it waited.
    """

    generator: random.Random
    waiting: list[Ticket] = field(default_factory=list)
    service_time_s: float = INITIAL_SERVICE_TIME_S
    last_free_at_s: float = float("-inf")
    paused_until_s: float = float("-inf")
    last_retry_at_s: float = float("-inf")
    admissions_since_lower_rank: int = 0

    def enqueue(self, ticket: Ticket) -> None:
        """Let a call wait; ``decide`` says what becomes of it."""
        insort(self.waiting, ticket)

    def remove(self, ticket: Ticket) -> None:
        """Take out a call whose caller is gone."""
        self.waiting = [other for other in self.waiting if other is not ticket]

    def record_release(self, took_s: float | None, now_s: float) -> None:
        """Take note that a call gave its place back; ``took_s`` is set if it was answered."""
        self.last_free_at_s = now_s
        if took_s is not None:
            weight = FASTER_WEIGHT if took_s < self.service_time_s else SLOWER_WEIGHT
            self.service_time_s += weight * (took_s - self.service_time_s)

    def record_rejection_by_all(self, now_s: float) -> None:
        """Take note that no target took a call: they have more to do than was believed."""
        self.paused_until_s = now_s + max(MIN_REJECTION_PAUSE_S, self.service_time_s)

    def decide(self, places: SlotEstimate, now_s: float) -> list[Decision]:
        """Admit while there are places, then reject those that can't be answered in time."""
        decisions: list[Decision] = []
        free = places.free if now_s >= self.paused_until_s else 0.0
        own = places.own_in_flight
        while self.waiting and free >= 1.0:
            decisions.append(Admitted(self.pop_next()))
            free -= 1.0
            own += 1
        if free >= 1.0:
            self.last_free_at_s = now_s
        if self.waiting:
            decisions += self.reject_late(self.slot_interval_s(own, now_s), now_s)
        return decisions

    def pop_next(self) -> Ticket:
        """Take who goes on: the best, and in turn the first of lower rank."""
        lower = next((t for t in self.waiting if t.rank > self.waiting[0].rank), None)
        if lower is None:
            self.admissions_since_lower_rank = 0
            return self.waiting.pop(0)
        self.admissions_since_lower_rank += 1
        if self.admissions_since_lower_rank < ADMISSIONS_PER_LOWER_RANK:
            return self.waiting.pop(0)
        self.admissions_since_lower_rank = 0
        self.remove(lower)
        return lower

    def slot_interval_s(self, own: int, now_s: float) -> float:
        """Return the expected time between two places that come free here, in seconds.

        Where nothing has come free for a while, targets are stuck and the past says too little.
        """
        pace_s = self.service_time_s / max(1, own)
        stuck_s = now_s - self.last_free_at_s if own else 0.0
        return max(pace_s, min(stuck_s, MAX_STALL_S))

    def reject_late(self, place_s: float, now_s: float) -> list[Decision]:
        """Reject those that would be answered after their deadline."""
        rejected: list[Decision] = []
        kept: list[Ticket] = []
        for ticket in self.waiting:
            wait_s = place_s * (len(kept) + 1)
            if now_s + wait_s + self.service_time_s <= ticket.answer_by_s:
                kept.append(ticket)
            else:
                retry_s = self.retry_after_s(ticket, wait_s, place_s, now_s)
                rejected.append(Rejected(ticket, wait_s, retry_s))
        self.waiting = kept
        return rejected

    def retry_after_s(self, ticket: Ticket, wait_s: float, place_s: float, now_s: float) -> float:
        """Return when a rejected call should come back, in seconds; one after the other."""
        latest_s = max(MIN_RETRY_AFTER_S, (ticket.deadline_s - now_s) * MAX_RETRY_AFTER_SHARE)
        self.last_retry_at_s = max(now_s + MIN_RETRY_AFTER_S, self.last_retry_at_s + place_s)
        if self.last_retry_at_s > now_s + latest_s:
            # More were told to come back than can be: the rest spreads over the time left.
            self.last_retry_at_s = now_s + MIN_RETRY_AFTER_S
            return latest_s * self.generator.uniform(RETRY_JITTER, 1.0)
        after_s = self.last_retry_at_s - now_s
        return min(latest_s, after_s * self.generator.uniform(1.0, 1.0 + RETRY_JITTER))
