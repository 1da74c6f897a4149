"""Share the request rate that a target accepts between all VMs.

Load pattern: targets in trouble name a limit, in requests per second from all VMs together, far
below the load. Few VMs send most of it: one owns a trainer's step, another holds a busy caller.
VMs don't ask each other before a request. Each publishes its demand in the heartbeat row that it
writes anyway, and all compute the parts from the same rows: a small even part each, the rest by
published demand. A VM uses only what it published itself, as the others count on that. What it
may save up for a burst is part of a sum for all VMs, so that many idle VMs don't add up.
"""

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import xxhash

from balsamcleat.decisions.limit_parts import (
    EVEN_PART,
    LimitNotice,
    LimitReport,
    ServiceParts,
    VmDemand,
    compute_parts,
)
from balsamcleat.model import ServiceName, TargetId

__all__ = [
    "LimitChange",
    "TargetLimits",
]

# A caller waits for its response; a sample has seconds.
LIVE_DEMAND_WEIGHT = 8.0
DEMAND_WINDOW_S = 2.0
# Demand below this is not published, so that it does not keep heartbeats frequent.
MIN_DEMAND_PER_S = 0.05
# A target that named zero gets a request at times, or nobody would learn that it no longer does.
MIN_RATE_PER_S = 0.25
# More than any target takes; the sums stay finite.
MAX_LIMIT_PER_S = 1e6
# Requests that all VMs together may save up for a burst: a number, and the limit's of some time.
BURST_REQUESTS = 3.0
BURST_S = 0.5
# VMs read the rows of all VMs about twice a second. One that has not, and that no peer answers,
# uses only its even part, as the others give its part away.
STALE_VIEW_S = 1.5
# What a VM saw longer ago than this is not told to the others.
OBSERVATION_LIFETIME_S = 10.0
# While both live calls and samples have waited this recently, samples get one request in some.
WAIT_LIFETIME_S = 1.0
LIVE_REQUESTS_PER_SAMPLE = 3
# Without a request for this long, a VM's demand at a target counts as ended.
WANT_LIFETIME_S = 1.0


@dataclass(frozen=True, slots=True)
class LimitChange:
    """Change of a target's limit; None means that the target names no limit.

    Attributes:
        target_id: Id of the target.
        before_per_s: Limit before the change, in requests per second.
        limit_per_s: Limit from now on, in requests per second.
    """

    target_id: TargetId
    before_per_s: float | None
    limit_per_s: float | None


@dataclass(slots=True)
class RecentCount:
    """Count of weighted requests that decays; the mean rate follows from it."""

    amount: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add requests that were wanted now."""
        self.amount = self.per_s(now_s) * DEMAND_WINDOW_S + amount
        self.at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the mean rate of the last moments, in requests per second."""
        decay = math.exp(-max(0.0, now_s - self.at_s) / DEMAND_WINDOW_S)
        return self.amount * decay / DEMAND_WINDOW_S


@dataclass(slots=True)
class TargetLimit:
    """Limit of a target, and this VM's allowance at it; times are on the process clock.

    Attributes:
        service: Service of the target.
        limit_per_s: Requests per second from all VMs, or None if the target names no limit.
        observed_at_s: Time of the latest response known, of any VM, that tells the limit.
        own_observed_at_s: Time of the latest such response to this VM.
        allowance: Requests that this VM may send now; whole ones count.
        updated_at_s: Time at which the allowance was computed.
        wanted_at_s: Time of the last request of this VM that wanted the target.
        live_wait_at_s: Time at which a live call last had to wait.
        sample_wait_at_s: Time at which a sample last had to wait.
        live_count: Number of live calls sent since the last sample.
    """

    service: ServiceName
    limit_per_s: float | None = None
    observed_at_s: float = float("-inf")
    own_observed_at_s: float = float("-inf")
    allowance: float = 0.0
    updated_at_s: float = 0.0
    wanted_at_s: float = float("-inf")
    live_wait_at_s: float = float("-inf")
    sample_wait_at_s: float = float("-inf")
    live_count: int = 0


class TargetLimits:
    """The limits that targets name, and what this VM may send to them.

    Args:
        generator: Draws where in the wait for its first request a VM without savings begins.
    """

    def __init__(self, generator: random.Random | None = None) -> None:
        self.generator = generator or random.Random()
        self.vm = ""
        self.targets: dict[TargetId, TargetLimit] = {}
        self.arrivals: dict[ServiceName, RecentCount] = {}
        self.backlogs: dict[ServiceName, float] = {}
        self.view: tuple[VmDemand, ...] = ()
        self.viewed_at_s = float("-inf")
        self.is_isolated = False
        self.parts: dict[ServiceName, ServiceParts] = {}

    @property
    def limited_count(self) -> int:
        """Number of targets that name a limit."""
        return sum(target.limit_per_s is not None for target in self.targets.values())

    @property
    def is_active(self) -> bool:
        """Whether any target names a limit."""
        return self.limited_count > 0

    def limit_per_s(self, target_id: TargetId) -> float | None:
        """Return the limit of a target in requests per second, or None if it names none."""
        target = self.targets.get(target_id)
        return None if target is None else target.limit_per_s

    def record_response(
        self, target_id: TargetId, service: ServiceName, limit_per_s: float | None, now_s: float
    ) -> LimitChange | None:
        """Record what a response of a target said of its limit; return the change, if any."""
        target = self.targets.get(target_id)
        if target is None:
            if limit_per_s is None:
                return None
            target = self.targets[target_id] = TargetLimit(service, updated_at_s=now_s)
        if limit_per_s is not None:
            limit_per_s = min(limit_per_s, MAX_LIMIT_PER_S)
        target.own_observed_at_s = now_s
        return self.apply(target_id, target, limit_per_s, now_s, now_s)

    def apply(
        self,
        target_id: TargetId,
        target: TargetLimit,
        limit_per_s: float | None,
        observed_at_s: float,
        now_s: float,
    ) -> LimitChange | None:
        """Put a limit in force if it is the latest one; return the change, if any."""
        if observed_at_s < target.observed_at_s:
            return None
        target.observed_at_s = observed_at_s
        before = target.limit_per_s
        if before == limit_per_s:
            return None
        if before is None:
            target.allowance, target.updated_at_s = 0.0, now_s
        else:
            self.refill(target_id, target, now_s)
        target.limit_per_s = limit_per_s
        return LimitChange(target_id, before, limit_per_s)

    def remove(self, target_id: TargetId) -> None:
        """Forget a target that ended or started again."""
        self.targets.pop(target_id, None)

    def record_demand(self, service: ServiceName, now_s: float, *, is_live: bool) -> None:
        """Record that a request wants a target of a service."""
        if self.targets:
            weight = LIVE_DEMAND_WEIGHT if is_live else 1.0
            self.arrivals.setdefault(service, RecentCount()).add(weight, now_s)

    def record_backlogs(self, waiting: Mapping[ServiceName, int]) -> None:
        """Record how many samples of this VM wait for a target, by service."""
        self.backlogs = {service: float(count) for service, count in waiting.items()}

    def report(self, now_s: float) -> LimitReport:
        """Return what this VM publishes: its demand at limited services, and what it saw."""
        services = {t.service for t in self.targets.values() if t.limit_per_s is not None}
        demands = {service: self.demand_per_s(service, now_s) for service in services}
        notices = {
            target_id: LimitNotice(target.limit_per_s, now_s - target.own_observed_at_s)
            for target_id, target in self.targets.items()
            if now_s - target.own_observed_at_s < OBSERVATION_LIFETIME_S
        }
        published = {
            str(service): round(demand, 3)
            for service, demand in demands.items()
            if demand >= MIN_DEMAND_PER_S
        }
        return LimitReport(published, {str(key): notice for key, notice in notices.items()})

    def demand_per_s(self, service: ServiceName, now_s: float) -> float:
        """Return the weighted requests per second that this VM wants to send to a service."""
        arrivals = self.arrivals.get(service)
        rate = 0.0 if arrivals is None else arrivals.per_s(now_s)
        return rate + self.backlogs.get(service, 0.0)

    def apply_view(
        self,
        view: tuple[VmDemand, ...],
        service_of: Callable[[TargetId], ServiceName | None],
        now_s: float,
    ) -> list[LimitChange]:
        """Apply the rows of all live VMs, as this VM has just read them.

        Args:
            view: Reports of the live VMs, this one's among them.
            service_of: Returns the service of a target, or None if the target isn't listed.
            now_s: Time on the process clock, in seconds.

        Returns:
            The limits that other VMs saw change.
        """
        self.settle(now_s)
        self.view, self.viewed_at_s = view, now_s
        self.parts.clear()
        changes = []
        for row in view:
            if row.vm != self.vm:
                changes += self.apply_notices(row, service_of, now_s)
        return changes

    def apply_notices(
        self,
        row: VmDemand,
        service_of: Callable[[TargetId], ServiceName | None],
        now_s: float,
    ) -> list[LimitChange]:
        """Put limits in force that another VM saw later than this one."""
        changes = []
        for key, notice in row.report.notices.items():
            target_id = TargetId(key)
            service = service_of(target_id)
            target = self.targets.get(target_id)
            if service is None or (target is None and notice.limit_per_s is None):
                continue
            if target is None:
                target = self.targets[target_id] = TargetLimit(service, updated_at_s=now_s)
            observed_at_s = now_s - notice.age_s - row.age_s
            change = self.apply(target_id, target, notice.limit_per_s, observed_at_s, now_s)
            if change is not None:
                changes.append(change)
        return changes

    def settle(self, now_s: float) -> None:
        """Compute all allowances up to now, before the parts change."""
        for target_id, target in self.targets.items():
            if target.limit_per_s is not None:
                self.refill(target_id, target, now_s)

    def service_parts(self, service: ServiceName, now_s: float) -> ServiceParts:
        """Return this VM's part of the limits at a service, from the published demands."""
        parts = self.parts.get(service)
        if parts is None:
            parts = self.parts[service] = compute_parts(self.view, self.vm, service)
        if self.is_isolated and now_s - self.viewed_at_s > STALE_VIEW_S:
            return ServiceParts(min(parts.part, EVEN_PART / max(1, len(self.view))), 0.0)
        return parts

    def rate_per_s(self, target: TargetLimit, now_s: float) -> float:
        """Return the requests per second that this VM may send to a limited target."""
        limit_per_s = max(MIN_RATE_PER_S, target.limit_per_s or 0.0)
        return limit_per_s * self.service_parts(target.service, now_s).part

    def savings(self, target_id: TargetId, target: TargetLimit, now_s: float) -> int:
        """Return how many requests this VM may save up; the sum of all VMs' is bounded.

        The parts of all VMs lie one after the other on a line, and a VM has the whole numbers that
        its part of the line contains. The line begins elsewhere for each target, so that it isn't
        the same VMs that have savings at all of them.
        """
        parts = self.service_parts(target.service, now_s)
        total = BURST_REQUESTS + BURST_S * (target.limit_per_s or 0.0)
        offset = xxhash.xxh32_intdigest(target_id.encode()) / 2**32 * total
        begin = offset + parts.begins_at * total
        return math.floor(begin + parts.part * total) - math.floor(begin)

    def refill(self, target_id: TargetId, target: TargetLimit, now_s: float) -> None:
        """Add what this VM has earned since the last time."""
        elapsed_s = max(0.0, now_s - target.updated_at_s)
        target.updated_at_s = now_s
        savings = self.savings(target_id, target, now_s)
        is_wanted = now_s - target.wanted_at_s < WANT_LIFETIME_S
        most = max(1, savings) if is_wanted else savings
        earned = target.allowance + elapsed_s * self.rate_per_s(target, now_s)
        target.allowance = min(float(most), earned)

    def can_send(self, target_id: TargetId, now_s: float, *, is_live: bool = True) -> bool:
        """Return whether a request that wants a target may be sent now; if not, it waits."""
        if self.sendable(target_id, now_s, is_live=is_live) >= 1.0:
            return True
        self.record_wait(target_id, now_s, is_live=is_live)
        return False

    def record_wait(self, target_id: TargetId, now_s: float, *, is_live: bool) -> None:
        """Record that a live call or a sample waits for a request to a limited target."""
        target = self.targets.get(target_id)
        if target is not None and is_live:
            target.live_wait_at_s = now_s
        elif target is not None:
            target.sample_wait_at_s = now_s

    def sendable(self, target_id: TargetId, now_s: float, *, is_live: bool = True) -> float:
        """Return how many requests may be sent to a target now; infinite without a limit."""
        target = self.targets.get(target_id)
        if target is None or target.limit_per_s is None:
            return math.inf
        if now_s - target.wanted_at_s >= WANT_LIFETIME_S and target.allowance < 1.0:
            self.refill(target_id, target, now_s)
            if target.allowance < 1.0 and self.service_parts(target.service, now_s).part:
                # VMs that begin to wait together must not end their waits together.
                target.allowance = self.generator.random()
        target.wanted_at_s = now_s
        self.refill(target_id, target, now_s)
        if self.must_yield(target, now_s, is_live=is_live):
            return 0.0
        return float(math.floor(target.allowance))

    def must_yield(self, target: TargetLimit, now_s: float, *, is_live: bool) -> bool:
        """Return whether the next request belongs to the other kind, which waits."""
        is_samples_turn = target.live_count >= LIVE_REQUESTS_PER_SAMPLE
        if is_live:
            return is_samples_turn and now_s - target.sample_wait_at_s < WAIT_LIFETIME_S
        return not is_samples_turn and now_s - target.live_wait_at_s < WAIT_LIFETIME_S

    def take(self, target_id: TargetId, now_s: float, *, is_live: bool = True) -> bool:
        """Use one request of this VM's allowance; return False if it has none."""
        if not self.can_send(target_id, now_s, is_live=is_live):
            return False
        target = self.targets.get(target_id)
        if target is not None and target.limit_per_s is not None:
            target.allowance -= 1.0
            target.live_count = target.live_count + 1 if is_live else 0
        return True

    def rate_at(self, target_id: TargetId, now_s: float) -> float:
        """Return the requests per second that this VM may send to a target; maybe infinite."""
        target = self.targets.get(target_id)
        if target is None or target.limit_per_s is None:
            return math.inf
        return self.rate_per_s(target, now_s)
