"""Decide which requests go to other zones, and where."""

import random

from balsamcleat.decisions.pools import Pool, RemoteZone
from balsamcleat.decisions.route_query import RouteQuery, RouterCosts
from balsamcleat.decisions.target_load import TargetState
from balsamcleat.model import TargetId, TargetInfo

__all__ = ["ZoneSpill"]

CANDIDATES = 2


class ZoneSpill:
    """Sends a share of the requests to zones with room while the own one is short.

    Args:
        in_flight: Own requests at targets of other zones.
        generator: Draws zones and targets.
        weights: Holds the load above which requests go elsewhere.
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
        """Return a target in another zone where the own one is short, or None."""
        zones = [
            (zone, zone.free_capacity())
            for zone in pool.remote_zones.values()
            if zone.targets and zone.is_fresh(now_s)
        ]
        open_zones = [(zone, room) for zone, room in zones if room > 0.0]
        if best is not None:
            return self.choose_by_capacity(pool, query, open_zones)
        # Nothing is left at home: any zone is better than none, also one not heard of lately.
        rest = [zone for zone in pool.remote_zones.values() if zone.targets]
        choices = [zone for zone, _ in open_zones] or rest
        return self.less_loaded_target(self.generator.choice(choices), query) if choices else None

    def choose_by_capacity(
        self, pool: Pool, query: RouteQuery, zones: list[tuple[RemoteZone, float]]
    ) -> TargetInfo | None:
        """Spill a share of the requests that grows with the room elsewhere."""
        if not zones:
            return None
        capacity = pool.capacity
        excess = pool.load - self.costs.spill_load * capacity
        room = sum(room for _, room in zones)
        # All nodes see the same excess, so each request takes only its share of it away.
        if excess <= 0.0 or self.generator.random() >= room / (room + capacity):
            return None
        zone = self.generator.choices([zone for zone, _ in zones], [room for _, room in zones])[0]
        return self.less_loaded_target(zone, query)

    def less_loaded_target(self, zone: RemoteZone, query: RouteQuery) -> TargetInfo | None:
        """Return the one of two targets of a zone that has fewer own requests."""
        able = zone.targets
        if query.exclude:
            able = [target for target in able if target.target_id not in query.exclude]
        if not able:
            return None
        pair = [able[int(self.generator.random() * len(able))] for _ in range(CANDIDATES)]
        return min(pair, key=lambda target: self.in_flight.get(target.target_id, 0))
