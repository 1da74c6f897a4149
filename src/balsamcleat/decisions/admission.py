"""Decide which requests go on to a target now, which wait and which are refused."""

import math
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.decisions.limits import AimdLimit, ConcurrencyLimit
from balsamcleat.decisions.quotas import Quota
from balsamcleat.model import Priority, ServiceName, TeamName

__all__ = [
    "Admission",
    "AdmissionRequest",
    "Admitted",
    "Queued",
    "Rejection",
    "RejectionReason",
    "ServiceLimits",
    "Ticket",
]

# Of every so many grants while both wait, one goes to a rollout.
ADMISSIONS_PER_ROLLOUT = 10
INITIAL_LIMIT = 64.0
RATE_SMOOTHING = 0.05
MAX_RETRY_AFTER_S = 30
# A live call that would wait longer is better off told at once to come back.
MAX_LIVE_WAIT_S = 0.3


class RejectionReason(Enum):
    """Why a request was refused before anything was sent."""

    TEAM_QUOTA = "the team's quota is used up"
    SERVICE_QUOTA = "the service's quota is used up"
    QUEUE_FULL = "too many requests wait"
    TOO_LATE = "it could not begin before its deadline"
    OVERLOADED = "the targets have too much to do"
    TOO_MANY = "this VM has too many requests in flight"
    STOPPING = "this VM is going away"


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """What a request asks of admission.

    Attributes:
        service: The service.
        team: Whose quota and share it counts against.
        priority: Its class.
        deadline_s: When its caller stops waiting, on the monotonic clock, in seconds.
    """

    service: ServiceName
    team: TeamName
    priority: Priority
    deadline_s: float


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """What the configuration says of one service.

    Attributes:
        queue_limit: The most requests waiting here.
        max_in_flight: The most in flight from here, above which no adaptation goes.
        requests_per_s: Quota of live calls at one entry VM; 0 for none.
    """

    queue_limit: int = 256
    max_in_flight: int = 2_000
    requests_per_s: float = 0.0


@dataclass(slots=True, eq=False)
class Ticket:
    """A request's place; identity counts.

    Attributes:
        ask: What was asked.
        asked_at_s: When, on the monotonic clock, in seconds.
        admitted: Whether it holds a place in flight.
        given_up: Whether it no longer waits.
    """

    request: AdmissionRequest
    requested_at_s: float
    is_admitted: bool = False
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Admitted:
    """The ticket's request may be sent now."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Queued:
    """The ticket waits; a later decision names it."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Rejection:
    """The request is refused for good and was not run.

    Attributes:
        reason: Why.
        retry_after_s: When to come back, in whole seconds.
        ticket: The ticket, if it had waited.
    """

    reason: RejectionReason
    retry_after_s: int
    ticket: Ticket | None = None


@dataclass
class ServiceQueue:
    """The requests of one service at this VM.

    Attributes:
        limit: The adaptive limit.
        limits: What the configuration says.
        in_flight: Requests admitted and not yet released.
        live: Live calls that wait, first come first served.
        rollouts: Rollouts that wait, by team; teams take turns.
        rate_per_s: Smoothed releases a second.
    """

    concurrency_limit: ConcurrencyLimit
    limits: ServiceLimits
    quota: Quota
    in_flight: int = 0
    live_tickets: deque[Ticket] = field(default_factory=deque)
    rollout_tickets: "OrderedDict[TeamName, deque[Ticket]]" = field(default_factory=OrderedDict)
    waiting_live_count: int = 0
    waiting_rollout_count: int = 0
    admissions_since_rollout: int = 0
    release_rate_per_s: float = 0.0
    last_release_at_s: float | None = None

    def has_capacity(self) -> bool:
        """Return whether one more may go."""
        return self.in_flight < min(self.concurrency_limit.limit, self.limits.max_in_flight)

    def waiting_ahead(self, priority: Priority) -> int:
        """Return how many wait that would go before a newcomer of this class."""
        if priority is Priority.LIVE:
            return self.waiting_live_count
        return self.waiting_live_count + self.waiting_rollout_count

    def is_full(self, priority: Priority) -> bool:
        """Return whether no more of the class may wait; rollouts take no room from live calls."""
        live = priority is Priority.LIVE
        waiting = self.waiting_live_count if live else self.waiting_rollout_count
        return waiting >= self.limits.queue_limit

    def expected_wait_s(self, priority: Priority) -> float:
        """Return a newcomer's expected wait in seconds; 0 where nothing is known yet."""
        if self.release_rate_per_s <= 0:
            return 0.0
        return (self.waiting_ahead(priority) + 1) / self.release_rate_per_s

    def record_release(self, now_s: float) -> None:
        """Take note that a place came free."""
        self.in_flight -= 1
        if self.last_release_at_s is not None:
            # Many may come free at one instant; the mean interval is what counts.
            interval_s = now_s - self.last_release_at_s
            mean_s = 1.0 / self.release_rate_per_s if self.release_rate_per_s > 0 else interval_s
            mean_s += RATE_SMOOTHING * (interval_s - mean_s)
            self.release_rate_per_s = 1.0 / max(mean_s, 1e-6)
        self.last_release_at_s = now_s

    def enqueue(self, ticket: Ticket) -> None:
        """Let a ticket wait."""
        if ticket.request.priority is Priority.LIVE:
            self.live_tickets.append(ticket)
            self.waiting_live_count += 1
            return
        self.rollout_tickets.setdefault(ticket.request.team, deque()).append(ticket)
        self.waiting_rollout_count += 1

    def cancel(self, ticket: Ticket) -> None:
        """Take a ticket out of the count; its place in the queue empties by itself."""
        if ticket.is_cancelled or ticket.is_admitted:
            return
        ticket.is_cancelled = True
        if ticket.request.priority is Priority.LIVE:
            self.waiting_live_count -= 1
            if self.waiting_live_count == 0:
                self.live_tickets.clear()
            return
        self.waiting_rollout_count -= 1
        if self.waiting_rollout_count == 0:
            self.rollout_tickets.clear()

    def pop(self) -> Ticket | None:
        """Return who goes next: live calls first, but rollouts keep a share."""
        rollout_turn = self.waiting_rollout_count > 0 and (
            self.waiting_live_count == 0
            or self.admissions_since_rollout >= ADMISSIONS_PER_ROLLOUT - 1
        )
        if rollout_turn:
            self.admissions_since_rollout = 0
            self.waiting_rollout_count -= 1
            return self.pop_rollout()
        if self.waiting_live_count == 0:
            return None
        self.admissions_since_rollout += 1
        self.waiting_live_count -= 1
        while self.live_tickets[0].is_cancelled:
            self.live_tickets.popleft()
        return self.live_tickets.popleft()

    def pop_rollout(self) -> Ticket:
        """Return the next rollout; the team that went goes to the end of the line."""
        while True:
            team, tickets = self.rollout_tickets.popitem(last=False)
            while tickets and tickets[0].is_cancelled:
                tickets.popleft()
            if not tickets:
                continue
            ticket = tickets.popleft()
            if tickets:
                self.rollout_tickets[team] = tickets
            return ticket


class Admission:
    """Admits, queues and refuses; holds no clock and does no I/O.

    Args:
        generator: Draws the jitter of ``Retry-After``.
        max_in_flight: The most live calls here, over all services.
    """

    def __init__(self, generator: random.Random, max_in_flight: int = 2_000) -> None:
        self.generator = generator
        self.max_in_flight = max_in_flight
        self.live_in_flight = 0
        self.is_stopping = False
        self.services: dict[ServiceName, ServiceQueue] = {}
        self.team_quotas: dict[TeamName, Quota] = {}

    def configure(
        self,
        services: dict[ServiceName, ServiceLimits],
        team_rates_per_s: dict[TeamName, float],
        max_in_flight: int,
        now_s: float,
    ) -> None:
        """Take the limits of a configuration; what waits and is in flight stays."""
        self.max_in_flight = max_in_flight
        for name, limits in services.items():
            queue = self.queue(name)
            queue.limits = limits
            queue.quota.change_rate(limits.requests_per_s, now_s)
        for team, rate_per_s in team_rates_per_s.items():
            quota = self.team_quotas.get(team)
            if quota is None:
                self.team_quotas[team] = Quota(rate_per_s)
            else:
                quota.change_rate(rate_per_s, now_s)
        for team in self.team_quotas.keys() - team_rates_per_s.keys():
            del self.team_quotas[team]

    def queue(self, service: ServiceName) -> ServiceQueue:
        """Return the service's queue, a new one where there was none."""
        queue = self.services.get(service)
        if queue is None:
            limits = ServiceLimits()
            limit = AimdLimit(INITIAL_LIMIT, limits.max_in_flight)
            queue = ServiceQueue(limit, limits, Quota(0.0))
            self.services[service] = queue
        return queue

    def decide(self, ask: AdmissionRequest, now_s: float) -> Admitted | Queued | Rejection:
        """Decide on a new request."""
        queue = self.queue(ask.service)
        refusal = self.immediate_rejection(queue, ask, now_s)
        if refusal is not None:
            return refusal
        ticket = Ticket(ask, now_s)
        if queue.waiting_ahead(ask.priority) == 0 and queue.has_capacity():
            self.admit(queue, ticket)
            return Admitted(ticket)
        queue.enqueue(ticket)
        return Queued(ticket)

    def immediate_rejection(
        self, queue: ServiceQueue, ask: AdmissionRequest, now_s: float
    ) -> Rejection | None:
        """Return why the request is refused at once, or None."""
        if ask.deadline_s <= now_s:
            return self.build_rejection(RejectionReason.TOO_LATE, 0.0)
        if ask.priority is Priority.LIVE:
            refusal = self.limit_rejection(queue, ask, now_s)
            if refusal is not None:
                return refusal
        if queue.has_capacity() and queue.waiting_ahead(ask.priority) == 0:
            return None
        wait_s, left_s = queue.expected_wait_s(ask.priority), ask.deadline_s - now_s
        if queue.is_full(ask.priority):
            return self.build_rejection(RejectionReason.QUEUE_FULL, wait_s)
        if ask.priority is Priority.LIVE and wait_s > MAX_LIVE_WAIT_S:
            return self.build_rejection(RejectionReason.OVERLOADED, wait_s)
        return (
            self.build_rejection(RejectionReason.TOO_LATE, wait_s - left_s)
            if wait_s >= left_s
            else None
        )

    def limit_rejection(
        self, queue: ServiceQueue, ask: AdmissionRequest, now_s: float
    ) -> Rejection | None:
        """Return the refusal of a live call that this VM or a quota has no room for, or None."""
        if self.is_stopping:
            return self.build_rejection(RejectionReason.STOPPING, 0.0)
        if self.live_in_flight >= self.max_in_flight:
            return self.build_rejection(
                RejectionReason.TOO_MANY, queue.expected_wait_s(ask.priority)
            )
        quota = self.team_quotas.get(ask.team)
        if quota is not None:
            wait_s = quota.acquire(now_s)
            if wait_s > 0:
                return self.build_rejection(RejectionReason.TEAM_QUOTA, wait_s)
        wait_s = queue.quota.acquire(now_s)
        return self.build_rejection(RejectionReason.SERVICE_QUOTA, wait_s) if wait_s > 0 else None

    def build_rejection(self, reason: RejectionReason, wait_s: float) -> Rejection:
        """Return a refusal; the jitter keeps callers from coming back together."""
        seconds = math.ceil(wait_s + self.generator.uniform(0.0, 1.0 + wait_s / 2))
        return Rejection(reason, min(MAX_RETRY_AFTER_S, max(1, seconds)))

    def admit(self, queue: ServiceQueue, ticket: Ticket) -> None:
        """Give a ticket its place in flight."""
        ticket.is_admitted = True
        queue.in_flight += 1
        if ticket.request.priority is Priority.LIVE:
            self.live_in_flight += 1

    def record_first_byte(self, ticket: Ticket, now_s: float, began_s: float) -> None:
        """Take note that the answer began; its latency moves the limit.

        Args:
            ticket: An admitted ticket.
            now_s: Now.
            began_s: When the attempt that answers was sent.
        """
        queue = self.queue(ticket.request.service)
        queue.concurrency_limit.record_success(now_s - began_s, queue.in_flight)

    def record_overload(self, service: ServiceName, now_s: float) -> None:
        """Take note of a sign that the service's targets have too much."""
        self.queue(service).concurrency_limit.record_overload(now_s)

    def release(self, ticket: Ticket, now_s: float) -> list[Admitted | Rejection]:
        """Free an admitted ticket's place; returns the decisions on those that waited."""
        queue = self.queue(ticket.request.service)
        ticket.is_admitted = False
        # It waits no more either, whatever its caller does next.
        ticket.is_cancelled = True
        queue.record_release(now_s)
        if ticket.request.priority is Priority.LIVE:
            self.live_in_flight -= 1
        return self.admit_waiting(queue, now_s)

    def cancel(self, ticket: Ticket) -> None:
        """Take out a ticket whose request no longer waits."""
        self.queue(ticket.request.service).cancel(ticket)

    def expire(self, ticket: Ticket) -> Rejection:
        """Refuse a waiting ticket whose deadline has come."""
        self.cancel(ticket)
        wait_s = self.queue(ticket.request.service).expected_wait_s(ticket.request.priority)
        refusal = self.build_rejection(RejectionReason.TOO_LATE, wait_s)
        return Rejection(refusal.reason, refusal.retry_after_s, ticket)

    def admit_waiting(self, queue: ServiceQueue, now_s: float) -> list[Admitted | Rejection]:
        """Admit from the queue while there is room; those past their deadline are refused."""
        decisions: list[Admitted | Rejection] = []
        while queue.has_capacity():
            ticket = queue.pop()
            if ticket is None:
                break
            if ticket.request.deadline_s <= now_s:
                ticket.is_cancelled = True
                decisions.append(Rejection(RejectionReason.TOO_LATE, 1, ticket))
                continue
            self.admit(queue, ticket)
            decisions.append(Admitted(ticket))
        return decisions
