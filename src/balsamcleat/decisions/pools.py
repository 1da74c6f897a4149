"""The targets of one service as the router sees them.

Targets of this availability zone are known one by one, those of other zones by load digests.
"""

import bisect
from dataclasses import dataclass, field

import xxhash

from balsamcleat.decisions.ejection import HealthPhase
from balsamcleat.decisions.target_load import TargetState
from balsamcleat.model import Role, ServiceName, TargetId, TargetInfo, ZoneName

__all__ = ["HashRing", "Pool", "RemoteZone"]

POINTS_PER_TARGET = 16
# A digest older than this is ignored, because its zone may be cut off from the network.
DIGEST_LIFETIME_S = 15.0


class HashRing:
    """A consistent hash ring: VMs that don't coordinate map a prefix to the same target.

    Args:
        targets: Targets on the ring.
    """

    def __init__(self, targets: tuple[TargetId, ...]) -> None:
        points = sorted(
            (xxhash.xxh3_64_intdigest(f"{target}|{number}".encode()), target)
            for target in targets
            for number in range(POINTS_PER_TARGET)
        )
        self.point_hashes = [point for point, _ in points]
        self.point_targets = [target_id for _, target_id in points]

    def nearest_targets(self, digest: int, count: int) -> list[TargetId]:
        """Return the first ``count`` distinct targets after the digest's position on the ring."""
        targets: list[TargetId] = []
        if not self.point_hashes:
            return targets
        start = bisect.bisect(
            self.point_hashes, xxhash.xxh3_64_intdigest(digest.to_bytes(8, "little"))
        )
        size = len(self.point_targets)
        for step in range(min(size, 4 * POINTS_PER_TARGET)):
            target = self.point_targets[(start + step) % size]
            if target not in targets:
                targets.append(target)
                if len(targets) == count:
                    break
        return targets


@dataclass(slots=True)
class RemoteZone:
    """A service's targets in another availability zone.

    Attributes:
        targets: Targets that take new work, as far as this VM knows.
        capacity: Number of requests that the zone can run, from the zone's last digest.
        load: Number of requests in the zone, from the zone's last digest.
        digest_at_s: Time at which the digest was made, on this VM's clock, in seconds.
        own_in_flight: Number of requests that this VM has in flight there now.
        own_in_flight_at_digest: Number of requests that this VM had in flight there when the
            digest arrived.
    """

    targets: list[TargetInfo] = field(default_factory=list)
    capacity: float = 0.0
    load: float = 0.0
    digest_at_s: float = float("-inf")
    own_in_flight: int = 0
    own_in_flight_at_digest: int = 0

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the digest is recent enough to be used."""
        return now_s - self.digest_at_s <= DIGEST_LIFETIME_S

    def free_capacity(self) -> float:
        """Return the estimated number of further requests that the zone can run."""
        return self.capacity - self.load - (self.own_in_flight - self.own_in_flight_at_digest)


@dataclass(eq=False)
class Pool:
    """One service's targets.

    Attributes:
        service: Service of the targets.
        states: States of all targets in this VM's zone, by target id.
        available: Targets of this zone that may be chosen now.
        probing: Targets that are probed with one request at a time after an ejection.
        by_adapter: Available targets by each adapter that they have loaded.
        ring: Hash ring over all targets of this zone.
        ring_members: Targets that the ring was built from.
        remote_zones: The service's targets in the other zones.
        leaving_targets: Targets that get no new work because they leave.
        ejected_count: Number of targets that are ejected or probing.
        round_robin_index: Index in ``available`` of the target last chosen in round-robin order.
        service_time_s: Smoothed duration of a request, in seconds.
        capacity: Number of requests that the available targets of this zone can run.
        load: Estimated number of requests at these targets.
        waiting: Number of requests that wait inside these targets, from their load reports.
    """

    service: ServiceName
    states: dict[TargetId, TargetState] = field(default_factory=dict)
    available: list[TargetState] = field(default_factory=list)
    probing: list[TargetState] = field(default_factory=list)
    by_adapter: dict[str, list[TargetState]] = field(default_factory=dict)
    ring: HashRing = field(default_factory=lambda: HashRing(()))
    ring_members: frozenset[TargetId] = frozenset()
    remote_zones: dict[ZoneName, RemoteZone] = field(default_factory=dict)
    leaving_targets: frozenset[TargetId] = frozenset()
    ejected_count: int = 0
    round_robin_index: int = 0
    service_time_s: float = 1.0
    capacity: float = 0.0
    load: float = 0.0
    waiting: int = 0

    def rebuild(self) -> None:
        """Recompute the available targets after a change of members, health, role or adapters."""
        staying = [
            state
            for state in self.states.values()
            if state.info.target_id not in self.leaving_targets
        ]
        healthy = [state for state in staying if state.health.phase is HealthPhase.HEALTHY]
        self.probing = [state for state in staying if state.health.phase is HealthPhase.PROBING]
        self.ejected_count = len(staying) - len(healthy)
        # A request needs prefill and decode, so only engines that do both are used if there are
        # any.
        mixed = [state for state in healthy if state.info.role is Role.MIXED]
        self.available = mixed or healthy or staying
        self.by_adapter = {}
        for state in self.available:
            for adapter in state.adapters or ():
                self.by_adapter.setdefault(adapter, []).append(state)
        members = frozenset(self.states)
        if members != self.ring_members:
            self.ring_members = members
            self.ring = HashRing(tuple(sorted(members)))
        self.update_totals()

    def saturation(self) -> float:
        """Return the load of the zone above half of its capacity, from 0 (half) to 1 (full)."""
        if self.capacity <= 0.0:
            return 1.0
        return min(1.0, max(0.0, 2.0 * self.load / self.capacity - 1.0))

    def update_totals(self) -> None:
        """Sum up the available targets; done at intervals, as a zone may have a thousand."""
        self.capacity = sum(state.capacity * state.slow_start_share for state in self.available)
        self.load = float(sum(state.estimated_load() for state in self.available))
        self.waiting = sum(state.waiting for state in self.available)
