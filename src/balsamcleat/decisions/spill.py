"""Decide which requests spill over to other availability zones, and to which target."""

import random

from balsamcleat.decisions.pools import Pool, RemoteZone
from balsamcleat.decisions.route_query import RouteQuery, RouterCosts
from balsamcleat.decisions.target_load import TargetState
from balsamcleat.model import TargetId, TargetInfo

__all__ = ["ZoneSpill"]

CANDIDATES = 2


class ZoneSpill:
    """Sends a share of the requests to zones with free capacity while this zone is overloaded.

    Args:
        in_flight: Number of requests that this VM has in flight at targets of other zones.
        generator: Random number generator for the choice of zones and targets.
        costs: Holds ``spill_load``, the load above which requests go to other zones.
    """

    def __init__(
        self,
        in_flight: dict[TargetId, int],
        generator: random.Random,
        costs: RouterCosts,
    ) -> None:
        self.in_flight = in_flight
        self.generator = generator
        self.costs = costs

    def choose_remote_target(
        self, pool: Pool, query: RouteQuery, best: TargetState | None, now_s: float
    ) -> TargetInfo | None:
        """Return a target in another zone if this zone is overloaded, or None."""
        zones = [
            (zone, zone.free_capacity())
            for zone in pool.remote_zones.values()
            if zone.targets and zone.is_fresh(now_s)
        ]
        open_zones = [(zone, free_capacity) for zone, free_capacity in zones if free_capacity > 0.0]
        if best is not None:
            return self.choose_by_capacity(pool, query, open_zones)
        # This zone has no target left, so any zone is used, even one without a recent digest.
        other_zones = [zone for zone in pool.remote_zones.values() if zone.targets]
        candidates = [zone for zone, _ in open_zones] or other_zones
        return (
            self.less_loaded_target(self.generator.choice(candidates), query)
            if candidates
            else None
        )

    def choose_by_capacity(
        self, pool: Pool, query: RouteQuery, zones: list[tuple[RemoteZone, float]]
    ) -> TargetInfo | None:
        """Return a target for a share of the requests that grows with the other zones' capacity."""
        if not zones:
            return None
        capacity = pool.capacity
        excess = pool.load - self.costs.spill_load * capacity
        free_capacity = sum(free_capacity for _, free_capacity in zones)
        # All VMs see the same excess, so each sends away only a share of its requests.
        if excess <= 0.0 or self.generator.random() >= free_capacity / (free_capacity + capacity):
            return None
        zone = self.generator.choices(
            [zone for zone, _ in zones], [free_capacity for _, free_capacity in zones]
        )[0]
        return self.less_loaded_target(zone, query)

    def less_loaded_target(self, zone: RemoteZone, query: RouteQuery) -> TargetInfo | None:
        """Return the less loaded, by this VM's requests, of two random targets of a zone."""
        targets = zone.targets
        if query.exclude:
            targets = [target for target in targets if target.target_id not in query.exclude]
        if not targets:
            return None
        candidates = [
            targets[int(self.generator.random() * len(targets))] for _ in range(CANDIDATES)
        ]
        return min(candidates, key=lambda target: self.in_flight.get(target.target_id, 0))
