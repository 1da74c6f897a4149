"""Input and output of the decision on the number of targets."""

from dataclasses import dataclass, field, replace
from enum import Enum

from balsamcleat.decisions.slot_need import SlotNeed
from balsamcleat.decisions.target_mix import Pool
from balsamcleat.model import ZoneName
from balsamcleat.model.routing import AutoscaleSpec

__all__ = ["OrderReason", "PlannedOrder", "PoolCounts", "PoolOrder", "ScalingView", "ZoneOrders"]


class OrderReason(Enum):
    """Why a number of targets is ordered."""

    MORE_SLOTS = "more slots wanted"
    TARGETS_LOST = "targets lost"
    OUTCOME_UNKNOWN = "outcome unknown"
    TAKEN_AWAY = "taken away"
    SURPLUS = "surplus"


@dataclass(frozen=True, slots=True)
class PoolCounts:
    """The targets of a pool as the platform's list shows them.

    Attributes:
        ready: Targets that take new work.
        loaded: Ready targets whose weights are those of the newest or the previous version.
        draining: Targets that only finish what they run.
        are_leaving: Whether the platform announced when it takes a draining target away.
    """

    ready: int = 0
    loaded: int = 0
    draining: int = 0
    are_leaving: bool = False


@dataclass(frozen=True, slots=True)
class PoolOrder:
    """The last order for a pool.

    Attributes:
        count: Ordered number of targets.
        ordered_s: Time of the order on the store's clock in seconds; 0 if there was none, and the
            count is that of the targets found at the first start.
    """

    count: int = 0
    ordered_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ZoneOrders:
    """The last orders for one service in one availability zone, as the store keeps them.

    Attributes:
        firm: Order for targets that are not reclaimable.
        reclaimable: Order for reclaimable targets.
        released_s: Time of the last order of fewer targets, on the store's clock, in seconds.
        reclaimed_s: Time at which the platform last took the reclaimable targets away.
    """

    firm: PoolOrder = PoolOrder()
    reclaimable: PoolOrder = PoolOrder()
    released_s: float = float("-inf")
    reclaimed_s: float = float("-inf")

    def order(self, pool: Pool) -> PoolOrder:
        """Return the last order for one of the zone's pools."""
        return self.reclaimable if pool.reclaimable else self.firm

    def with_order(self, pool: Pool, order: PoolOrder) -> "ZoneOrders":
        """Return a copy with another order for one of the zone's pools."""
        if pool.reclaimable:
            return replace(self, reclaimable=order)
        return replace(self, firm=order)


@dataclass(frozen=True, slots=True)
class ScalingView:
    """State of a service whose targets are ordered.

    Attributes:
        spec: Limits and prices.
        slots_per_target: Number of requests that a target runs at once.
        need: Need of the open steps; None for a service that runs no steps.
        busy_slots: Peak number of requests at the targets, as far as this VM knows them.
        zones: Last orders by zone.
        counts: Listed targets of each pool.
        holders: Number of ready targets with the newest or the previous weight version, by model.
    """

    spec: AutoscaleSpec
    slots_per_target: int
    need: SlotNeed | None
    zones: dict[ZoneName, ZoneOrders]
    counts: dict[Pool, PoolCounts]
    busy_slots: int = 0
    holders: dict[str, int] = field(default_factory=dict)

    def pools(self) -> list[Pool]:
        """Return the pools of all zones, those that are not reclaimable first."""
        return [Pool(zone, kind) for kind in (False, True) for zone in sorted(self.zones)]

    def count(self, pool: Pool) -> PoolCounts:
        """Return the listed targets of a pool."""
        return self.counts.get(pool, PoolCounts())

    def ordered(self, pool: Pool) -> int:
        """Return the ordered number of targets of a pool."""
        return self.zones[pool.zone].order(pool).count

    @property
    def loaded_targets(self) -> int:
        """Ready targets that can run samples of open steps."""
        return sum(counts.loaded for counts in self.counts.values())

    @property
    def max_targets(self) -> int:
        """Highest number of targets in all zones together."""
        return self.spec.max_targets * len(self.zones)


@dataclass(frozen=True, slots=True)
class PlannedOrder:
    """An order to send, and what the store must know before.

    Attributes:
        pool: Pool of the order.
        count: Number of targets to order.
        before: Number that was ordered before.
        reason: Why it is ordered.
        zone_orders: Orders of the pool's zone from now on.
    """

    pool: Pool
    count: int
    before: int
    reason: OrderReason
    zone_orders: ZoneOrders
