"""Decide how many targets of a service are ordered, in which zones and of which kind.

Load pattern: trainers submit steps of about a hundred samples every few seconds. A step is in time
if nearly all its samples get a slot soon after its submission, so the wanted number of targets
follows the peak of the slots that steps want at once. Targets cost by the second, reclaimable ones
a fraction of the others.

Failures: targets crash or are lost; the platform takes away all reclaimable targets of a zone; it
has no targets of a kind in a zone for a while; it limits the rate of orders; the outcome of an
order is unknown; another VM takes over in the middle.

An order that adds targets is sent at once, one that releases targets rarely and in small parts.
"""

import math
from dataclasses import dataclass, field, replace

from balsamcleat.decisions.scaling_types import (
    OrderReason,
    PlannedOrder,
    PoolOrder,
    ScalingView,
    ZoneOrders,
)
from balsamcleat.decisions.slot_need import SlotNeed
from balsamcleat.decisions.steady_level import SteadyLevel
from balsamcleat.decisions.target_mix import (
    FIRM_SHARE,
    MixGoal,
    Pool,
    ZoneMix,
    divide_targets,
    price,
)
from balsamcleat.decisions.target_release import (
    RELEASE_GAP_S,
    releasable,
    release_period_s,
    surplus_hold_s,
)
from balsamcleat.model import ZoneName
from balsamcleat.ports.duties import DutyOutcome

__all__ = ["TargetScaler"]

# Batches in which the samples of a step start; 1 means that all start at once. Loads of the next
# weights begin soon after a step, and an engine that loads starts no samples of that model.
TURNS = 1.0
# Without reclaimable targets, the last third of the slots costs several times as much, while the
# last samples of a step start only as soon as its first short ones have ended.
TURNS_WITHOUT_RECLAIMABLE = 1.5
# A pool without available targets is tried again after this time, in seconds. They become available
# within some ten seconds or not for minutes.
UNAVAILABLE_RETRY_S = 15.0
INVALID_RETRY_S = 60.0
# Pause after an order beyond the rate limit, which is counted over one second; doubled each time.
THROTTLE_PAUSE_S = 1.0
MAX_THROTTLE_PAUSE_S = 8.0
# Shortest time between two sendings of the same order, in seconds.
REPEAT_INTERVAL_S = 1.0
# A target that is not listed this long after the time that it needs to start won't come.
LATE_START_S = 6.0
# A zone whose reclaimable targets were taken away gets none for this time, in seconds.
RECLAIM_HOLDOFF_S = 120.0


@dataclass(slots=True)
class TargetScaler:
    """Decision for one service; keeps what happened since this VM became the holder.

    Attributes:
        wanted: Wanted number of targets of each pool, from the last decision.
        total: Wanted number of targets of all pools.
        blocked_until_s: Time until which a pool gets no further targets.
        unconfirmed: Pools whose last order may not have taken effect, with the earliest time of
            its repetition.
        repeat_at_s: Pools that lost targets, with the earliest time of the repeated order.
        repeated: Pools whose order was repeated for lost targets that have not come yet.
        seen_ready: Ready targets of each pool at the last decision.
        highest_ready: Most ready targets of each pool since it had none.
        surplus_since_s: Time since which a pool has more targets than wanted.
        reclaimed_s: Time at which the reclaimable targets of a zone were last taken away.
        lost_at_s: Time of the last loss of a target.
        released_at_s: Time of the last order of fewer targets in any zone.
        paused_until_s: Time until which the rate limit allows no order.
        throttle_count: Number of consecutive orders beyond the rate limit.
    """

    wanted: dict[Pool, int] = field(default_factory=dict)
    total: SteadyLevel = field(default_factory=SteadyLevel)
    blocked_until_s: dict[Pool, float] = field(default_factory=dict)
    unconfirmed: dict[Pool, float] = field(default_factory=dict)
    repeat_at_s: dict[Pool, float] = field(default_factory=dict)
    repeated: set[Pool] = field(default_factory=set)
    seen_ready: dict[Pool, int] = field(default_factory=dict)
    highest_ready: dict[Pool, int] = field(default_factory=dict)
    surplus_since_s: dict[Pool, float] = field(default_factory=dict)
    reclaimed_s: dict[ZoneName, float] = field(default_factory=dict)
    lost_at_s: float = float("-inf")
    released_at_s: float = float("-inf")
    paused_until_s: float = float("-inf")
    throttle_count: int = 0

    def take_over(self, zones: dict[ZoneName, ZoneOrders]) -> None:
        """Repeat the orders of an earlier holder, which it may not have sent."""
        for zone, orders in zones.items():
            for pool in (Pool(zone, False), Pool(zone, True)):
                if orders.order(pool).ordered_s > 0.0:
                    self.unconfirmed[pool] = 0.0

    def decide(self, view: ScalingView, now_s: float) -> PlannedOrder | None:
        """Return the next order, or None; call again after its outcome was recorded."""
        for pool in view.pools():
            self.note_losses(view, pool, now_s)
        self.update_wanted(view, now_s)
        if now_s < self.paused_until_s:
            return None
        return (
            self.plan_increase(view, now_s)
            or self.plan_repetition(view, now_s)
            or self.plan_reclaimed(view, now_s)
            or self.plan_release(view, now_s)
        )

    def note_losses(self, view: ScalingView, pool: Pool, now_s: float) -> None:
        """Record which targets were lost or taken away since the last decision."""
        counts = view.count(pool)
        before = self.seen_ready.get(pool, counts.ready)
        self.seen_ready[pool] = counts.ready
        if counts.ready >= view.ordered(pool):
            self.repeat_at_s.pop(pool, None)
            self.repeated.discard(pool)
        else:
            if counts.ready < before:
                self.lost_at_s = now_s
                self.repeat_at_s.setdefault(pool, now_s)
            if pool.reclaimable:
                self.note_reclaim(view, pool, now_s)
            self.note_overdue(view, pool, now_s)
        highest = max(self.highest_ready.get(pool, 0), counts.ready)
        self.highest_ready[pool] = highest if counts.ready else 0

    def note_reclaim(self, view: ScalingView, pool: Pool, now_s: float) -> None:
        """Record that the platform takes away all reclaimable targets of a zone.

        A single lost target is no such case, and neither are targets that restart one by one.
        """
        counts = view.count(pool)
        have_vanished = self.highest_ready.get(pool, 0) > 1 and not counts.draining
        if not counts.ready and (counts.are_leaving or have_vanished):
            self.reclaimed_s[pool.zone] = now_s

    def note_overdue(self, view: ScalingView, pool: Pool, now_s: float) -> None:
        """Schedule one repetition of an overdue order; if it is overdue again, block its pool."""
        overdue_s = view.spec.startup_s + LATE_START_S
        is_overdue = now_s - view.zones[pool.zone].order(pool).ordered_s > overdue_s
        counts = view.count(pool)
        if not counts.are_leaving and counts.ready + counts.draining >= view.ordered(pool):
            # The platform replaces these targets, for example by ones of another software version.
            return
        if not is_overdue or pool in self.repeat_at_s or self.is_blocked(pool, now_s):
            return
        if pool in self.repeated:
            self.repeated.discard(pool)
            self.blocked_until_s[pool] = now_s + UNAVAILABLE_RETRY_S
        else:
            self.repeat_at_s[pool] = now_s

    def is_blocked(self, pool: Pool, now_s: float) -> bool:
        """Return whether a pool gets no further targets now."""
        return now_s < self.blocked_until_s.get(pool, float("-inf"))

    def was_reclaimed(self, view: ScalingView, zone: ZoneName, now_s: float) -> bool:
        """Return whether the reclaimable targets of a zone were taken away recently."""
        stored_s = view.zones[zone].reclaimed_s
        reclaimed_s = max(stored_s, self.reclaimed_s.get(zone, float("-inf")))
        return now_s - reclaimed_s < RECLAIM_HOLDOFF_S

    def update_wanted(self, view: ScalingView, now_s: float) -> None:
        """Determine the wanted number of targets of each pool."""
        need = view.need
        zones = [self.zone_mix(view, zone, now_s) for zone in sorted(view.zones)]
        if need is None:
            # No demand is known, so the numbers stay within their limits.
            kept = sum(mix.firm + mix.reclaimable for mix in zones)
            goal = MixGoal(kept, sum(mix.firm for mix in zones), kept)
        else:
            goal = self.mix_goal(view, need, now_s)
        wanted = divide_targets(zones, view.spec, goal)
        if need is None or not need.is_learned:
            wanted = {
                pool: max(count, min(view.ordered(pool), view.spec.max_targets))
                for pool, count in wanted.items()
                if not (pool.reclaimable and self.was_reclaimed(view, pool.zone, now_s))
            }
        self.wanted = wanted
        for pool in view.pools():
            if view.ordered(pool) > wanted.get(pool, 0):
                self.surplus_since_s.setdefault(pool, now_s)
            else:
                self.surplus_since_s.pop(pool, None)

    def mix_goal(self, view: ScalingView, need: SlotNeed, now_s: float) -> MixGoal:
        """Return the wanted numbers of targets in all zones together."""
        hold_s = surplus_hold_s(need)
        peak = max(need.slots, view.busy_slots) / (view.slots_per_target * TURNS)
        total = min(view.max_targets, self.total.update(peak, now_s, hold_s))
        firm = math.ceil(FIRM_SHARE * total)
        least_total = total
        if not need.is_late:
            least_total = max(firm, math.ceil(total * TURNS / TURNS_WITHOUT_RECLAIMABLE))
        if not need.is_learned:
            # Nothing is released yet, so only the missing targets are added.
            firm = max(firm, sum(zone.firm.count for zone in view.zones.values()))
        return MixGoal(max(total, firm), firm, max(least_total, firm))

    def zone_mix(self, view: ScalingView, zone: ZoneName, now_s: float) -> ZoneMix:
        """Return what the division depends on in a zone."""
        limits = {
            kind: view.count(Pool(zone, kind)).ready
            if self.is_blocked(Pool(zone, kind), now_s)
            else None
            for kind in (False, True)
        }
        orders = view.zones[zone]
        return ZoneMix(
            zone,
            orders.firm.count,
            orders.reclaimable.count,
            limits[False],
            limits[True],
            self.was_reclaimed(view, zone, now_s),
        )

    def plan_increase(self, view: ScalingView, now_s: float) -> PlannedOrder | None:
        """Return the order of the pool that lacks the most targets."""
        candidates = []
        for pool in view.pools():
            if self.is_blocked(pool, now_s):
                continue
            count = min(self.wanted.get(pool, 0), self.room(view, pool, now_s))
            if count > view.ordered(pool):
                candidates.append((view.ordered(pool) - count, pool.reclaimable, pool, count))
        if not candidates:
            return None
        _, _, pool, count = min(candidates)
        return self.planned(view, pool, count, OrderReason.MORE_SLOTS, now_s)

    def room(self, view: ScalingView, pool: Pool, now_s: float) -> int:
        """Return the highest number of a pool's targets beside the zone's other pool."""
        other = Pool(pool.zone, not pool.reclaimable)
        other_count = view.ordered(other)
        if other.reclaimable and self.was_reclaimed(view, pool.zone, now_s):
            other_count = min(other_count, view.count(other).ready)
        return view.spec.max_targets - other_count

    def plan_repetition(self, view: ScalingView, now_s: float) -> PlannedOrder | None:
        """Return the repetition of an order that may have been lost, or whose targets were."""
        for pool in view.pools():
            if self.is_blocked(pool, now_s) or (
                pool.reclaimable and self.was_reclaimed(view, pool.zone, now_s)
            ):
                continue
            ordered, ready = view.ordered(pool), view.count(pool).ready
            if now_s >= self.repeat_at_s.get(pool, float("inf")):
                self.repeated.add(pool)
                # Lost targets that are no longer wanted are not replaced.
                count = min(ordered, max(ready, self.wanted.get(pool, 0)))
                return self.planned(view, pool, count, OrderReason.TARGETS_LOST, now_s)
            if now_s >= self.unconfirmed.get(pool, float("inf")):
                return self.planned(view, pool, ordered, OrderReason.OUTCOME_UNKNOWN, now_s)
        return None

    def plan_reclaimed(self, view: ScalingView, now_s: float) -> PlannedOrder | None:
        """Return the order of no reclaimable targets in a zone that has lost all of them."""
        for pool in view.pools():
            counts = view.count(pool)
            if (
                pool.reclaimable
                and view.ordered(pool)
                and not counts.ready + counts.draining
                and self.was_reclaimed(view, pool.zone, now_s)
            ):
                return self.planned(view, pool, 0, OrderReason.TAKEN_AWAY, now_s)
        return None

    def plan_release(self, view: ScalingView, now_s: float) -> PlannedOrder | None:
        """Return the release of the most expensive surplus targets, if it is safe."""
        need = view.need
        if need is None or not self.may_release(view, need, now_s):
            return None
        surplus = [
            pool
            for pool, since_s in self.surplus_since_s.items()
            if not self.is_blocked(pool, now_s)
            and now_s - since_s >= surplus_hold_s(need)
            and now_s - view.zones[pool.zone].released_s >= release_period_s(need)
        ]
        for pool in sorted(
            surplus, key=lambda pool: (pool.reclaimable, -price(view.spec, pool.zone))
        ):
            released = releasable(view, pool, self.wanted.get(pool, 0), sum(self.wanted.values()))
            if released > 0:
                count = view.ordered(pool) - released
                return self.planned(view, pool, count, OrderReason.SURPLUS, now_s)
        return None

    def may_release(self, view: ScalingView, need: SlotNeed, now_s: float) -> bool:
        """Return whether nothing speaks against releasing any target."""
        is_settled = all(
            view.count(pool).ready >= view.ordered(pool) or self.is_blocked(pool, now_s)
            for pool in view.pools()
        )
        return (
            is_settled
            and need.is_learned
            and not need.is_late
            and not need.is_slow
            and now_s - self.lost_at_s >= surplus_hold_s(need)
            and now_s - self.released_at_s >= RELEASE_GAP_S
        )

    def planned(
        self, view: ScalingView, pool: Pool, count: int, reason: OrderReason, now_s: float
    ) -> PlannedOrder:
        """Return an order with the row that the store must have before it is sent."""
        orders = view.zones[pool.zone]
        before = orders.order(pool).count
        reclaimed_s = max(orders.reclaimed_s, self.reclaimed_s.get(pool.zone, float("-inf")))
        orders = replace(
            orders.with_order(pool, PoolOrder(count, now_s)),
            reclaimed_s=reclaimed_s,
            released_s=now_s if reason is OrderReason.SURPLUS else orders.released_s,
        )
        return PlannedOrder(pool, count, before, reason, orders)

    def record_outcome(
        self, order: PlannedOrder, outcome: DutyOutcome, ready: int, now_s: float
    ) -> ZoneOrders:
        """Record the outcome of an order; return the orders of the zone from now on.

        Args:
            order: Order that was sent.
            outcome: Its outcome.
            ready: Number of ready targets of its pool.
            now_s: Time on the store's clock, in seconds.
        """
        pool, orders = order.pool, order.zone_orders
        self.unconfirmed.pop(pool, None)
        if order.reason is OrderReason.SURPLUS and outcome in (
            DutyOutcome.ACCEPTED,
            DutyOutcome.UNKNOWN,
        ):
            self.released_at_s = now_s
        if outcome is DutyOutcome.THROTTLED:
            pause_s = THROTTLE_PAUSE_S * 2**self.throttle_count
            self.paused_until_s = now_s + min(MAX_THROTTLE_PAUSE_S, pause_s)
            self.throttle_count += 1
        else:
            self.throttle_count = 0
        if outcome is DutyOutcome.ACCEPTED:
            # A target that is lost later is noticed when it leaves the list.
            self.repeat_at_s.pop(pool, None)
        elif outcome in (DutyOutcome.UNAVAILABLE, DutyOutcome.INVALID):
            is_unavailable = outcome is DutyOutcome.UNAVAILABLE
            retry_s = UNAVAILABLE_RETRY_S if is_unavailable else INVALID_RETRY_S
            self.blocked_until_s[pool] = now_s + retry_s
            has_lost = is_unavailable and order.count <= order.before
            kept = min(order.before, ready) if has_lost else order.before
            return orders.with_order(pool, PoolOrder(kept, now_s))
        else:
            self.unconfirmed[pool] = now_s + REPEAT_INTERVAL_S
            if pool in self.repeat_at_s:
                # Orders for other pools are not held up by one that gets no answer.
                self.repeat_at_s[pool] = now_s + REPEAT_INTERVAL_S
        return orders
