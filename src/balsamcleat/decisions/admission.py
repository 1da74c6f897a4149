"""Admission control: decide which requests are sent now, which are queued and which rejected."""

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

# While both priorities wait, one of this many admissions goes to a rollout.
ADMISSIONS_PER_ROLLOUT = 10
INITIAL_LIMIT = 64.0
RATE_SMOOTHING = 0.05
MAX_RETRY_AFTER_S = 30
# A live call that is expected to wait longer is rejected at once, so that its caller can retry.
MAX_LIVE_WAIT_S = 0.3


class RejectionReason(Enum):
    """Reason for rejecting a request before it is sent; the value is the error message."""

    TEAM_QUOTA = "the team's quota is used up"
    SERVICE_QUOTA = "the service's quota is used up"
    QUEUE_FULL = "too many requests wait"
    TOO_LATE = "it could not begin before its deadline"
    OVERLOADED = "the targets have too much to do"
    TOO_MANY = "this VM has too many requests in flight"
    STOPPING = "this VM is going away"


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The properties of a request that admission control decides on.

    Attributes:
        service: Service that the request is for.
        team: Team whose quota and queue share the request consumes.
        priority: Whether the request is a live call or a rollout.
        deadline_s: Time on the monotonic clock, in seconds, at which the caller stops waiting.
    """

    service: ServiceName
    team: TeamName
    priority: Priority
    deadline_s: float


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Configured limits of one service at one entry VM.

    Attributes:
        queue_limit: Maximum number of requests of each priority in this VM's queue.
        max_in_flight: Maximum number of requests that this VM has in flight; the adaptive limit
            never exceeds it.
        requests_per_s: Quota of live calls per second at one entry VM; 0 means no quota.
    """

    queue_limit: int = 256
    max_in_flight: int = 2_000
    requests_per_s: float = 0.0


@dataclass(slots=True, eq=False)
class Ticket:
    """The handle of one request in admission control; compared by identity.

    Attributes:
        request: Properties of the request.
        requested_at_s: Time of the request on the monotonic clock, in seconds.
        is_admitted: Whether the request counts as in flight.
        is_cancelled: Whether the request no longer waits.
    """

    request: AdmissionRequest
    requested_at_s: float
    is_admitted: bool = False
    is_cancelled: bool = False


@dataclass(frozen=True, slots=True)
class Admitted:
    """Decision that the ticket's request may be sent now."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Queued:
    """Decision that the ticket waits; a later call returns the final decision on it."""

    ticket: Ticket


@dataclass(frozen=True, slots=True)
class Rejection:
    """Decision that the request is rejected and was not run.

    Attributes:
        reason: Reason of the rejection.
        retry_after_s: Delay after which the caller should retry, in whole seconds.
        ticket: Ticket of the request if the request had been queued.
    """

    reason: RejectionReason
    retry_after_s: int
    ticket: Ticket | None = None


@dataclass
class ServiceQueue:
    """The queued and running requests of one service at this VM.

    Attributes:
        concurrency_limit: Adaptive limit of the requests in flight.
        limits: Configured limits of the service.
        quota: Configured rate limit of live calls.
        in_flight: Number of requests admitted and not yet released.
        live_tickets: Queued live calls in order of arrival, cancelled ones included.
        rollout_tickets: Queued rollouts by team, cancelled ones included; teams are served in
            round-robin order.
        waiting_live_count: Number of live calls that wait.
        waiting_rollout_count: Number of rollouts that wait.
        admissions_since_rollout: Number of live calls admitted from the queue since the last
            rollout was.
        release_rate_per_s: Smoothed number of releases per second.
        last_release_at_s: Time of the last release on the monotonic clock, in seconds.
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
        """Return whether one more request may be sent."""
        return self.in_flight < min(self.concurrency_limit.limit, self.limits.max_in_flight)

    def waiting_ahead(self, priority: Priority) -> int:
        """Return the number of queued requests that go before a new one of this priority."""
        if priority is Priority.LIVE:
            return self.waiting_live_count
        return self.waiting_live_count + self.waiting_rollout_count

    def is_full(self, priority: Priority) -> bool:
        """Return whether the queue is full for a priority; each priority has its own limit."""
        is_live = priority is Priority.LIVE
        waiting = self.waiting_live_count if is_live else self.waiting_rollout_count
        return waiting >= self.limits.queue_limit

    def expected_wait_s(self, priority: Priority) -> float:
        """Return the expected wait of a new request in seconds; 0 before the first releases."""
        if self.release_rate_per_s <= 0:
            return 0.0
        return (self.waiting_ahead(priority) + 1) / self.release_rate_per_s

    def record_release(self, now_s: float) -> None:
        """Record that a request in flight ended."""
        self.in_flight -= 1
        if self.last_release_at_s is not None:
            # Many requests may end at the same instant, so the mean interval is smoothed
            # rather than its reciprocal, the rate.
            interval_s = now_s - self.last_release_at_s
            mean_s = 1.0 / self.release_rate_per_s if self.release_rate_per_s > 0 else interval_s
            mean_s += RATE_SMOOTHING * (interval_s - mean_s)
            self.release_rate_per_s = 1.0 / max(mean_s, 1e-6)
        self.last_release_at_s = now_s

    def enqueue(self, ticket: Ticket) -> None:
        """Add a ticket to the queue."""
        if ticket.request.priority is Priority.LIVE:
            self.live_tickets.append(ticket)
            self.waiting_live_count += 1
            return
        self.rollout_tickets.setdefault(ticket.request.team, deque()).append(ticket)
        self.waiting_rollout_count += 1

    def cancel(self, ticket: Ticket) -> None:
        """Remove a ticket from the counts; ``pop`` drops it from the queue later."""
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
        """Remove and return the next ticket or None: live calls first, but rollouts get a share."""
        is_rollout_turn = self.waiting_rollout_count > 0 and (
            self.waiting_live_count == 0
            or self.admissions_since_rollout >= ADMISSIONS_PER_ROLLOUT - 1
        )
        if is_rollout_turn:
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
        """Remove and return the next rollout, and move its team to the end of the rotation."""
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
    """Admits, queues or rejects the requests of an entry VM; reads no clock and does no I/O.

    Args:
        generator: Random number generator for the jitter of ``Retry-After``.
        max_in_flight: Maximum number of live calls in flight at this VM, over all services.
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
        """Apply the limits of a configuration; queued and running requests are kept."""
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
        """Return the service's queue; create it if there is none."""
        queue = self.services.get(service)
        if queue is None:
            limits = ServiceLimits()
            limit = AimdLimit(INITIAL_LIMIT, limits.max_in_flight)
            queue = ServiceQueue(limit, limits, Quota(0.0))
            self.services[service] = queue
        return queue

    def decide(self, request: AdmissionRequest, now_s: float) -> Admitted | Queued | Rejection:
        """Admit, queue or reject a new request."""
        queue = self.queue(request.service)
        rejection = self.immediate_rejection(queue, request, now_s)
        if rejection is not None:
            return rejection
        ticket = Ticket(request, now_s)
        if queue.waiting_ahead(request.priority) == 0 and queue.has_capacity():
            self.admit(queue, ticket)
            return Admitted(ticket)
        queue.enqueue(ticket)
        return Queued(ticket)

    def immediate_rejection(
        self, queue: ServiceQueue, request: AdmissionRequest, now_s: float
    ) -> Rejection | None:
        """Return the rejection of a request that may not even wait, or None."""
        if request.deadline_s <= now_s:
            return self.build_rejection(RejectionReason.TOO_LATE, 0.0)
        if request.priority is Priority.LIVE:
            rejection = self.limit_rejection(queue, request, now_s)
            if rejection is not None:
                return rejection
        if queue.has_capacity() and queue.waiting_ahead(request.priority) == 0:
            return None
        wait_s, remaining_s = queue.expected_wait_s(request.priority), request.deadline_s - now_s
        if queue.is_full(request.priority):
            return self.build_rejection(RejectionReason.QUEUE_FULL, wait_s)
        if request.priority is Priority.LIVE and wait_s > MAX_LIVE_WAIT_S:
            return self.build_rejection(RejectionReason.OVERLOADED, wait_s)
        return (
            self.build_rejection(RejectionReason.TOO_LATE, wait_s - remaining_s)
            if wait_s >= remaining_s
            else None
        )

    def limit_rejection(
        self, queue: ServiceQueue, request: AdmissionRequest, now_s: float
    ) -> Rejection | None:
        """Return the rejection of a live call over a limit of this VM or a quota, or None."""
        if self.is_stopping:
            return self.build_rejection(RejectionReason.STOPPING, 0.0)
        if self.live_in_flight >= self.max_in_flight:
            return self.build_rejection(
                RejectionReason.TOO_MANY, queue.expected_wait_s(request.priority)
            )
        quota = self.team_quotas.get(request.team)
        if quota is not None:
            wait_s = quota.acquire(now_s)
            if wait_s > 0:
                return self.build_rejection(RejectionReason.TEAM_QUOTA, wait_s)
        wait_s = queue.quota.acquire(now_s)
        return self.build_rejection(RejectionReason.SERVICE_QUOTA, wait_s) if wait_s > 0 else None

    def build_rejection(self, reason: RejectionReason, wait_s: float) -> Rejection:
        """Return a rejection; the jitter keeps callers from retrying at the same time."""
        seconds = math.ceil(wait_s + self.generator.uniform(0.0, 1.0 + wait_s / 2))
        return Rejection(reason, min(MAX_RETRY_AFTER_S, max(1, seconds)))

    def admit(self, queue: ServiceQueue, ticket: Ticket) -> None:
        """Count a ticket's request as in flight."""
        ticket.is_admitted = True
        queue.in_flight += 1
        if ticket.request.priority is Priority.LIVE:
            self.live_in_flight += 1

    def record_first_byte(self, ticket: Ticket, now_s: float, sent_at_s: float) -> None:
        """Record that a response began; its latency adjusts the concurrency limit.

        Args:
            ticket: Admitted ticket of the request.
            now_s: Current time on the monotonic clock, in seconds.
            sent_at_s: Time at which the successful attempt was sent, on the same clock.
        """
        queue = self.queue(ticket.request.service)
        queue.concurrency_limit.record_success(now_s - sent_at_s, queue.in_flight)

    def record_overload(self, service: ServiceName, now_s: float) -> None:
        """Record a sign that the service's targets are overloaded."""
        self.queue(service).concurrency_limit.record_overload(now_s)

    def release(self, ticket: Ticket, now_s: float) -> list[Admitted | Rejection]:
        """Release an admitted ticket; return the decisions on queued tickets that follow."""
        queue = self.queue(ticket.request.service)
        ticket.is_admitted = False
        # A later ``cancel`` of the same ticket must not decrement the waiting counts.
        ticket.is_cancelled = True
        queue.record_release(now_s)
        if ticket.request.priority is Priority.LIVE:
            self.live_in_flight -= 1
        return self.admit_waiting(queue, now_s)

    def cancel(self, ticket: Ticket) -> None:
        """Remove a ticket whose request no longer waits from the queue."""
        self.queue(ticket.request.service).cancel(ticket)

    def expire(self, ticket: Ticket) -> Rejection:
        """Reject a queued ticket whose deadline has passed."""
        self.cancel(ticket)
        wait_s = self.queue(ticket.request.service).expected_wait_s(ticket.request.priority)
        rejection = self.build_rejection(RejectionReason.TOO_LATE, wait_s)
        return Rejection(rejection.reason, rejection.retry_after_s, ticket)

    def admit_waiting(self, queue: ServiceQueue, now_s: float) -> list[Admitted | Rejection]:
        """Admit queued tickets while there is capacity; reject those past their deadline."""
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
