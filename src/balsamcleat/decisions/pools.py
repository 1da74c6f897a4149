"""The targets of one service as the router sees them: detail at home, digests elsewhere."""

import bisect
from dataclasses import dataclass, field

import xxhash

from balsamcleat.decisions.ejection import HealthPhase
from balsamcleat.decisions.target_load import TargetState
from balsamcleat.model import Role, ServiceName, TargetId, TargetInfo, ZoneName

__all__ = ["HashRing", "Pool", "RemoteZone"]

POINTS_PER_TARGET = 16
# A digest older than this says nothing any more; the zone may be cut off.
DIGEST_LIFETIME_S = 15.0


class HashRing:
    """Consistent hashing: nodes that know nothing of each other send a prefix the same way.

    Args:
        targets: The targets on the ring.
    """

    def __init__(self, targets: tuple[TargetId, ...]) -> None:
        points = sorted(
            (xxhash.xxh3_64_intdigest(f"{target}|{number}".encode()), target)
            for target in targets
            for number in range(POINTS_PER_TARGET)
        )
        self.point_hashes = [point for point, _ in points]
        self.point_targets = [owner for _, owner in points]

    def nearest_targets(self, digest: int, count: int) -> list[TargetId]:
        """Return the first ``count`` different targets after the digest's place."""
        found: list[TargetId] = []
        if not self.point_hashes:
            return found
        start = bisect.bisect(
            self.point_hashes, xxhash.xxh3_64_intdigest(digest.to_bytes(8, "little"))
        )
        size = len(self.point_targets)
        for step in range(min(size, 4 * POINTS_PER_TARGET)):
            owner = self.point_targets[(start + step) % size]
            if owner not in found:
                found.append(owner)
                if len(found) == count:
                    break
        return found


@dataclass(slots=True)
class RemoteZone:
    """Another zone's targets of the service.

    Attributes:
        targets: Those that take new work, as far as is known here.
        capacity: Requests that fit there, by the zone's digest.
        load: Requests there, by the zone's digest.
        made_at_s: When the digest was made, on the own clock, in seconds.
        spilled: Own requests there now.
        spilled_then: Own requests there when the digest came.
    """

    targets: list[TargetInfo] = field(default_factory=list)
    capacity: float = 0.0
    load: float = 0.0
    digest_at_s: float = float("-inf")
    own_in_flight: int = 0
    own_in_flight_at_digest: int = 0

    def is_fresh(self, now_s: float) -> bool:
        """Return whether the digest still says something."""
        return now_s - self.digest_at_s <= DIGEST_LIFETIME_S

    def free_capacity(self) -> float:
        """Return how many more requests would fit."""
        return self.capacity - self.load - (self.own_in_flight - self.own_in_flight_at_digest)


@dataclass(eq=False)
class Pool:
    """One service's targets.

    Attributes:
        service: The service.
        states: All targets of the own zone, by id.
        live: Those that may be chosen now.
        probing: Those let back in with one request at a time.
        by_adapter: The live ones that have an adapter loaded.
        ring: The ring over all targets of the own zone.
        remote: The other zones.
        ejected: How many are ejected or probing.
        turn: Place in ``live`` of the target that had the last turn.
        service_s: Smoothed duration of a request, in seconds.
        capacity: Requests that fit into the live targets of the own zone.
        load: Requests that they have.
        waiting: Requests that wait inside them, as they reported.
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
        """Work out who may be chosen, after a change of membership, health, role or adapters."""
        staying = [
            state
            for state in self.states.values()
            if state.info.target_id not in self.leaving_targets
        ]
        sound = [state for state in staying if state.health.phase is HealthPhase.HEALTHY]
        self.probing = [state for state in staying if state.health.phase is HealthPhase.PROBING]
        self.ejected_count = len(staying) - len(sound)
        # A whole request needs both halves of the work, unless no engine does both.
        mixed = [state for state in sound if state.info.role is Role.MIXED]
        self.available = mixed or sound or staying
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
        """Return how far the zone is beyond half load, 0 to 1."""
        if self.capacity <= 0.0:
            return 1.0
        return min(1.0, max(0.0, 2.0 * self.load / self.capacity - 1.0))

    def update_totals(self) -> None:
        """Add up the live targets; done at intervals, as a zone may have a thousand."""
        self.capacity = sum(state.capacity * state.slow_start_share for state in self.available)
        self.load = float(sum(state.estimated_load() for state in self.available))
        self.waiting = sum(state.waiting for state in self.available)
