"""Divide a service's targets among availability zones and between the two kinds of target.

Failure: the platform takes away all reclaimable targets of a zone at once, and their replacements
serve only after the open steps are due. So the others must carry these steps on their own, and the
reclaimable targets are spread over the zones. Each zone keeps targets that are not reclaimable.

The division changes as little as possible from what is ordered already, because each move costs a
start, the loads of the current weights and the work of a released target.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from balsamcleat.model import ZoneName
from balsamcleat.model.routing import AutoscaleSpec

__all__ = [
    "FIRM_SHARE",
    "MixGoal",
    "Pool",
    "ZoneMix",
    "divide_targets",
    "is_reclaimable_worthwhile",
]

# Reclaimable targets that cost nearly as much as others are not worth their sudden loss.
MAX_RECLAIMABLE_PRICE = 0.9
DEFAULT_PRICE = 1.0
# Share of the wanted targets that are not reclaimable. Steps keep a quarter to a third of their
# peak of slots busy on average, so these alone keep up with them. After the loss of one zone's
# reclaimable targets out of three zones, four fifths of all targets remain: the last samples of a
# step start when the first short ones have ended, and the step is still in time.
FIRM_SHARE = 0.4


@dataclass(frozen=True, slots=True, order=True)
class Pool:
    """The targets of one kind in one availability zone."""

    zone: ZoneName
    reclaimable: bool


@dataclass(frozen=True, slots=True)
class ZoneMix:
    """What the division depends on in one availability zone.

    Attributes:
        zone: Name of the zone.
        firm: Ordered number of targets that are not reclaimable.
        reclaimable: Ordered number of reclaimable targets.
        firm_limit: Number of targets that are not reclaimable to be had there now, if limited.
        reclaimable_limit: Number of reclaimable targets to be had there now, if limited.
        was_reclaimed: Whether the platform took the zone's reclaimable targets away recently.
    """

    zone: ZoneName
    firm: int
    reclaimable: int
    firm_limit: int | None = None
    reclaimable_limit: int | None = None
    was_reclaimed: bool = False


@dataclass(frozen=True, slots=True)
class MixGoal:
    """Wanted numbers of a service's targets in all zones together.

    Attributes:
        total: Targets of both kinds.
        firm: Targets that are not reclaimable, if reclaimable ones are to be had.
        least_total: Targets of both kinds if no reclaimable ones are to be had.
    """

    total: int
    firm: int
    least_total: int


def is_reclaimable_worthwhile(spec: AutoscaleSpec) -> bool:
    """Return whether reclaimable targets are cheap enough to be used."""
    return spec.reclaimable_price <= MAX_RECLAIMABLE_PRICE


def divide_targets(zones: Iterable[ZoneMix], spec: AutoscaleSpec, goal: MixGoal) -> dict[Pool, int]:
    """Return the wanted number of targets of each pool."""
    mixes = sorted(zones, key=lambda mix: (price(spec, mix.zone), mix.zone))
    if not mixes:
        return {}
    lowest = {mix.zone: lowest_firm(mix, spec) for mix in mixes}
    firm_limits = {
        mix.zone: limited(spec.max_targets, mix.firm_limit, at_least=lowest[mix.zone])
        for mix in mixes
    }
    firm_goal = max(goal.firm, sum(lowest.values()))
    shares = {
        mix.zone: replaced_share(mix, spec, goal.least_total - firm_goal, len(mixes))
        for mix in mixes
    }
    firm = resize(
        {mix.zone: mix.firm - shares[mix.zone] for mix in mixes}, firm_goal, lowest, firm_limits
    )
    firm = {zone: min(firm_limits[zone], count + shares[zone]) for zone, count in firm.items()}
    limits = {mix.zone: reclaimable_limit(mix, spec, goal, firm[mix.zone]) for mix in mixes}
    reclaimable = resize(
        {mix.zone: mix.reclaimable for mix in mixes},
        max(0, goal.total - sum(firm.values())),
        dict.fromkeys(limits, 0),
        limits,
    )
    # Targets that are not reclaimable stand in where no others are to be had.
    missing = goal.least_total - sum(firm.values()) - sum(reclaimable.values())
    if missing > 0:
        room = {
            zone: max(firm[zone], min(firm_limits[zone], spec.max_targets - reclaimable[zone]))
            for zone in firm
        }
        kept = {mix.zone: max(firm[mix.zone], min(mix.firm, room[mix.zone])) for mix in mixes}
        # Those that stand in already stay where they are.
        firm = resize(kept, sum(firm.values()) + missing, firm, room)
    counts = {Pool(zone, False): count for zone, count in firm.items()}
    return counts | {Pool(zone, True): count for zone, count in reclaimable.items()}


def replaced_share(mix: ZoneMix, spec: AutoscaleSpec, substitutes: int, zones: int) -> int:
    """Return how many other targets a zone gets for the reclaimable ones that it may not have.

    They are the zone's share of those that all zones would get if none had reclaimable targets.
    """
    if not mix.was_reclaimed or not is_reclaimable_worthwhile(spec):
        return 0
    return max(0, substitutes) // zones


def lowest_firm(mix: ZoneMix, spec: AutoscaleSpec) -> int:
    """Return the lowest number of targets that are not reclaimable in a zone.

    The last target of a zone, whose callers are nearest to it, is not reclaimable.
    """
    return max(spec.min_targets, 1 if mix.firm or mix.reclaimable else 0)


def price(spec: AutoscaleSpec, zone: ZoneName) -> float:
    """Return the price of a target's second in a zone."""
    return spec.zone_prices.get(zone, DEFAULT_PRICE)


def limited(limit: int, further_limit: int | None, *, at_least: int) -> int:
    """Return the lower of two limits, but no less than a number."""
    return limit if further_limit is None else max(at_least, min(limit, further_limit))


def reclaimable_limit(mix: ZoneMix, spec: AutoscaleSpec, goal: MixGoal, firm: int) -> int:
    """Return the highest number of reclaimable targets in a zone.

    After their loss, the targets of all zones must still be as many as without reclaimable ones.
    """
    if mix.was_reclaimed or not is_reclaimable_worthwhile(spec):
        return 0
    limit = min(spec.max_targets - firm, goal.total - goal.least_total)
    return limited(max(0, limit), mix.reclaimable_limit, at_least=0)


def resize(
    counts: Mapping[ZoneName, int],
    goal: int,
    lowest: Mapping[ZoneName, int],
    highest: Mapping[ZoneName, int],
) -> dict[ZoneName, int]:
    """Return the counts, changed as little as possible so that their sum is the goal.

    Args:
        counts: Present count of each zone, the cheapest zone first.
        goal: Sum to reach, as far as the limits allow.
        lowest: Lowest count of each zone.
        highest: Highest count of each zone.
    """
    sizes = {zone: max(lowest[zone], min(highest[zone], count)) for zone, count in counts.items()}
    order = list(sizes)
    while sum(sizes.values()) < goal:
        open_zones = [zone for zone in order if sizes[zone] < highest[zone]]
        if not open_zones:
            break
        sizes[min(open_zones, key=sizes.__getitem__)] += 1
    while sum(sizes.values()) > goal:
        open_zones = [zone for zone in reversed(order) if sizes[zone] > lowest[zone]]
        if not open_zones:
            break
        sizes[max(open_zones, key=sizes.__getitem__)] -= 1
    return sizes
