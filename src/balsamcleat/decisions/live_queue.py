"""Priority queue for live calls of a plain service, with load shedding.

Load pattern: for some seconds callers send several times what the targets can process, through
many VMs that each see a part of it, while a target is slow or unreachable; most of it may come from
one team. Forwarding every call at once fills the targets' own queues, costs each call up to four
rejections and lets chance decide which calls are served; the rejected callers then retry at the
same time. Here calls wait in the order of their rank, of fair queueing over teams and of their
deadline, a call that can't be answered in time is rejected as soon as that is known, and rejected
callers get retry delays that are spaced at the rate at which slots become free. A team that exceeds
its share (``decisions/team_shares.py``) leaves some slots free, and its calls are rejected before
those of the other teams.

VMs don't coordinate. Each VM estimates the other VMs' load at a target from the target's last
responses, with a weight that decays with age, so that several VMs reach similar decisions from
the same responses.
"""

import random
from bisect import insort
from dataclasses import dataclass, field

from balsamcleat.decisions.fair_share import FairClock
from balsamcleat.decisions.team_shares import RESERVED_SHARE, TeamShares

__all__ = [
    "Admitted",
    "Decision",
    "LiveQueue",
    "Rejected",
    "SlotEstimate",
    "Ticket",
    "background_ticket",
    "new_ticket",
]

# Number of requests sent to a target beyond its slots, so that a slot that becomes free is used
# at once.
QUEUED_PER_TARGET = 1
# Estimate of the service time before the first response, in seconds.
INITIAL_SERVICE_TIME_S = 0.05
# Smoothing factors of the service time. Slow responses mostly come from one slow target, whose
# delay doesn't hold up the other targets, so they count less.
FASTER_WEIGHT = 0.1
SLOWER_WEIGHT = 0.02
# A call waits only while it can still be answered within this share of its latency objective; the
# rest is a margin for errors of the estimate. Otherwise it is rejected, so that its caller retries.
WAIT_OBJECTIVE_SHARE = 0.5
# Upper bound, in seconds, of the time without a free slot that the wait estimate uses; it also
# applies where no slot was ever seen free.
MAX_STALL_S = 10.0
# Minimum pause of admissions after all targets rejected a call, in seconds.
MIN_REJECTION_PAUSE_S = 0.05
# While calls of several ranks wait, one of this many admissions goes to a lower rank, so that no
# rank starves.
ADMISSIONS_PER_LOWER_RANK = 8
# Calls of teams above their share that a VM admits between two releases of slots: many VMs that see
# the same free slots would fill them all with more.
MAX_SURPLUS_ADMISSIONS = 1
# Callers honour a retry delay of up to this share of their remaining time.
MAX_RETRY_AFTER_SHARE = 1.0 / 3.0
MIN_RETRY_AFTER_S = 0.05
# Retry delays are spread by up to this share, because rejected callers of other VMs retry too.
RETRY_JITTER = 0.5


@dataclass(frozen=True, slots=True)
class SlotEstimate:
    """Estimated use of the concurrency slots of a service's targets.

    Attributes:
        capacity: Number of requests that the targets accept at once.
        others_in_flight: Estimated number of requests of other VMs at the targets.
        own_in_flight: Number of calls of this VM that hold a slot.
        min_interval_s: Shortest interval at which this VM may send requests, in seconds, where all
            targets name a rate limit.
        queued: Number of requests of ``capacity`` that the targets accept but don't run; 0 where
            targets name a rate limit, which must not be exceeded.
    """

    capacity: float
    others_in_flight: float
    own_in_flight: int
    min_interval_s: float = 0.0
    queued: float = 0.0

    @property
    def reserved(self) -> float:
        """Number of slots that teams above their share leave free; they queue no requests."""
        return self.queued + RESERVED_SHARE * (self.capacity - self.queued)

    @property
    def free(self) -> float:
        """Estimated number of free slots."""
        return self.capacity - self.others_in_flight - self.own_in_flight


@dataclass(slots=True, eq=False)
class Ticket:
    """A call that needs a slot; compared by identity.

    Attributes:
        rank: Importance of the call; 0 is the highest.
        deadline_s: Time on the process's clock at which the caller stops waiting.
        answer_by_s: Time on the process's clock by which an answer must be expected for the call
            to stay in the queue.
        team: Team that sent the call; empty if it has none.
    """

    rank: int
    deadline_s: float
    answer_by_s: float
    team: str = ""

    def __lt__(self, other: "Ticket") -> bool:
        """Order by rank, then by deadline: callers that retry have less time left."""
        return (self.rank, self.deadline_s) < (other.rank, other.deadline_s)


@dataclass(frozen=True, slots=True)
class Admitted:
    """Decision that the call holds a slot now."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Rejected:
    """Decision that the call is rejected because it can't be answered in time.

    Attributes:
        ticket: Ticket of the call.
        wait_s: Time that the call would have to wait for a slot, in seconds.
        retry_after_s: Delay after which the caller should retry, in seconds.
    """

    ticket: Ticket
    wait_s: float
    retry_after_s: float


def new_ticket(
    rank: int, deadline_s: float, requested_at_s: float, objective_s: float, team: str | None = None
) -> Ticket:
    """Return the ticket of a call.

    ``deadline_s`` and ``requested_at_s`` are times on the process's clock; ``objective_s`` is a
    duration.
    """
    answer_by_s = min(deadline_s, requested_at_s + WAIT_OBJECTIVE_SHARE * objective_s)
    return Ticket(rank, deadline_s, answer_by_s, team or "")


def background_ticket(rank: int, deadline_s: float) -> Ticket:
    """Return the ticket of a call of this VM's own, for which no caller waits.

    It yields to the callers of the same rank, who have a latency objective, and is not rejected
    before its deadline, a time on the process's clock.
    """
    return Ticket(rank + 1, deadline_s, deadline_s)


Decision = Admitted | Rejected


@dataclass
class LiveQueue:
    """The queue of the calls of one service at this VM; times are on the process's clock.

    Attributes:
        generator: Random number generator for the jitter of retry delays.
        waiting: Tickets of the waiting calls, by rank and deadline.
        service_time_s: Smoothed time between the admission of a call and its answer, in seconds.
        last_free_at_s: Time at which a slot was last released or seen free.
        last_admission_at_s: Time of the last admission.
        paused_until_s: Time before which no call is admitted, because all targets rejected one.
        last_retry_at_s: Time at which the last rejected caller was told to retry.
        admissions_since_lower_rank: Number of admissions, while calls of several ranks waited,
            since the last one of a lower rank.
        shares: Loads of the teams.
        clock: Virtual time of the fair queueing over teams.
        surplus_admissions: Number of calls of teams above their share that may be admitted before
            the next release.
    """

    generator: random.Random
    waiting: list[Ticket] = field(default_factory=list)
    service_time_s: float = INITIAL_SERVICE_TIME_S
    last_free_at_s: float = float("-inf")
    last_admission_at_s: float = float("-inf")
    paused_until_s: float = float("-inf")
    last_retry_at_s: float = float("-inf")
    admissions_since_lower_rank: int = 0
    shares: TeamShares = field(default_factory=TeamShares)
    clock: FairClock = field(default_factory=FairClock)
    surplus_admissions: int = MAX_SURPLUS_ADMISSIONS

    def enqueue(self, ticket: Ticket) -> None:
        """Add a call to the queue; ``decide`` returns what happens to the call."""
        insort(self.waiting, ticket)

    def record_arrival(self, ticket: Ticket, now_s: float) -> None:
        """Record that a team sent a call, for the shares of the teams."""
        self.shares.record_arrival(ticket.team, now_s)

    def remove(self, ticket: Ticket) -> None:
        """Remove a call whose caller disconnected."""
        self.waiting = [other for other in self.waiting if other is not ticket]

    def record_release(self, took_s: float | None, now_s: float) -> None:
        """Record that a call released its slot; ``took_s`` is set if the call was answered."""
        self.last_free_at_s = now_s
        self.surplus_admissions = MAX_SURPLUS_ADMISSIONS
        if took_s is not None:
            weight = FASTER_WEIGHT if took_s < self.service_time_s else SLOWER_WEIGHT
            self.service_time_s += weight * (took_s - self.service_time_s)

    def record_rejection_by_all(self, now_s: float) -> None:
        """Record that all targets rejected a call: their load is higher than estimated."""
        self.paused_until_s = now_s + max(MIN_REJECTION_PAUSE_S, self.service_time_s)

    def decide(self, slots: SlotEstimate, now_s: float) -> list[Decision]:
        """Admit calls while slots are free, then reject those that can't be answered in time."""
        decisions: list[Decision] = []
        self.shares.decay(now_s)
        is_paused = now_s < self.paused_until_s
        free_slots = self.usable_slots(slots, now_s, is_paused=is_paused)
        own_in_flight = slots.own_in_flight
        while self.waiting and free_slots >= 1.0:
            unreserved_slots = 0.0 if is_paused else free_slots - slots.reserved
            candidates = self.admissible(unreserved_slots)
            if not candidates:
                break
            decisions.append(Admitted(self.pop_next(candidates)))
            free_slots -= 1.0
            own_in_flight += 1
            self.last_admission_at_s = now_s
        if free_slots >= 1.0:
            self.last_free_at_s = now_s
        self.shares.update(now_s, has_room=not self.waiting)
        if self.waiting:
            interval_s = max(slots.min_interval_s, self.slot_interval_s(own_in_flight, now_s))
            decisions += self.reject_late(interval_s, now_s)
        return decisions

    def usable_slots(self, slots: SlotEstimate, now_s: float, *, is_paused: bool) -> float:
        """Return the number of slots that calls of this VM may take now.

        While a team exceeds its share, a rejection by all targets pauses only the calls of that
        team. A VM that has admitted no call for one service time has no recent report of the
        targets' load, so it may send one call.
        """
        if not self.shares.has_surplus:
            return 0.0 if is_paused else slots.free
        if slots.queued and now_s - self.last_admission_at_s >= self.service_time_s:
            return max(1.0, slots.free)
        return slots.free

    def has_surplus(self, ticket: Ticket) -> bool:
        """Return whether the team of a call has more than its share."""
        return self.shares.exceeds_share(ticket.team)

    def can_hedge(self, team: str) -> bool:
        """Return whether a call may take a second slot: no call waits, or only those of a flood."""
        if not self.waiting:
            return True
        return not self.shares.exceeds_share(team) and all(map(self.has_surplus, self.waiting))

    def admissible(self, unreserved_slots: float) -> list[Ticket]:
        """Return the waiting calls that may be admitted, in the order of their admission.

        Calls of teams above their share leave the reserved slots free. VMs that see the same free
        slots must not all fill them, so each admits few such calls between two releases.
        """
        ordered = self.in_fair_order(self.waiting)
        if unreserved_slots >= 1.0 and self.surplus_admissions > 0:
            return ordered
        return [ticket for ticket in ordered if not self.has_surplus(ticket)]

    def in_fair_order(self, tickets: list[Ticket]) -> list[Ticket]:
        """Return tickets by rank, by the virtual start time of the team's turn, by deadline."""
        if not self.shares.has_several_teams:
            return tickets
        turns: dict[tuple[int, str], int] = {}
        order: list[tuple[int, float, float, int]] = []
        for index, ticket in enumerate(tickets):
            key = (ticket.rank, ticket.team)
            turn = turns[key] = turns.get(key, -1) + 1
            start = self.clock.next_start(ticket.team) + turn
            order.append((ticket.rank, start, ticket.deadline_s, index))
        return [tickets[entry[-1]] for entry in sorted(order)]

    def pop_next(self, candidates: list[Ticket] | None = None) -> Ticket:
        """Remove and return the next ticket: the first one, or at times the first of lower rank.

        ``candidates`` are the tickets to choose from, in their order; None for all that wait.
        """
        candidates = candidates or self.in_fair_order(self.waiting)
        ticket = candidates[0]
        lower_ranked = next((other for other in candidates if other.rank > ticket.rank), None)
        if lower_ranked is None:
            self.admissions_since_lower_rank = 0
        else:
            self.admissions_since_lower_rank += 1
            if self.admissions_since_lower_rank >= ADMISSIONS_PER_LOWER_RANK:
                self.admissions_since_lower_rank = 0
                ticket = lower_ranked
        self.remove(ticket)
        if self.shares.has_several_teams:
            self.clock.begin(self.clock.add(ticket.team, 1.0))
        if self.has_surplus(ticket):
            self.surplus_admissions -= 1
        return ticket

    def slot_interval_s(self, own_in_flight: int, now_s: float) -> float:
        """Return the expected interval between two releases of slots at this VM, in seconds.

        Where no slot has become free for a while the targets are stalled, and the smoothed
        service time underestimates the interval.
        """
        mean_interval_s = self.service_time_s / max(1, own_in_flight)
        stalled_s = now_s - self.last_free_at_s if own_in_flight else 0.0
        return max(mean_interval_s, min(stalled_s, MAX_STALL_S))

    def reject_late(self, slot_interval_s: float, now_s: float) -> list[Decision]:
        """Reject the calls whose expected answer comes too late.

        Calls of teams above their share wait behind all others. These get the slots that such teams
        release at all VMs, on average within half a service time.
        """
        rejected: list[Decision] = []
        kept: list[Ticket] = []
        has_surplus = self.shares.has_surplus
        for ticket in sorted(self.in_fair_order(self.waiting), key=self.has_surplus):
            wait_s = slot_interval_s * (len(kept) + 1)
            if has_surplus and not self.has_surplus(ticket):
                wait_s = min(wait_s, self.service_time_s / 2.0)
            if now_s + wait_s + self.service_time_s <= ticket.answer_by_s:
                kept.append(ticket)
            else:
                retry_after_s = self.retry_after_s(ticket, wait_s, slot_interval_s, now_s)
                rejected.append(Rejected(ticket, wait_s, retry_after_s))
        self.waiting = sorted(kept)
        return rejected

    def retry_after_s(
        self, ticket: Ticket, wait_s: float, slot_interval_s: float, now_s: float
    ) -> float:
        """Return the delay after which a rejected caller should retry, in seconds.

        Successive callers get successive times.
        """
        max_delay_s = max(MIN_RETRY_AFTER_S, (ticket.deadline_s - now_s) * MAX_RETRY_AFTER_SHARE)
        self.last_retry_at_s = max(
            now_s + MIN_RETRY_AFTER_S, self.last_retry_at_s + slot_interval_s
        )
        if self.last_retry_at_s > now_s + max_delay_s:
            # More callers were told to retry than fit into the time that they honour: the rest
            # is spread over that time at random.
            self.last_retry_at_s = now_s + MIN_RETRY_AFTER_S
            return max_delay_s * self.generator.uniform(RETRY_JITTER, 1.0)
        delay_s = self.last_retry_at_s - now_s
        return min(max_delay_s, delay_s * self.generator.uniform(1.0, 1.0 + RETRY_JITTER))
