"""Decide whether and how many targets may be released.

Failure: a target that is released takes its prompts and its weights with it, and a new one serves
some seconds later at the earliest. A release that turns out wrong therefore delays the next steps
of each trainer, while one that comes late costs little. The platform chooses which targets of a
pool it takes away, so the worst choice is assumed.
"""

import math

from balsamcleat.decisions.scaling_types import ScalingView
from balsamcleat.decisions.slot_need import SlotNeed
from balsamcleat.decisions.target_mix import FIRM_SHARE, Pool

__all__ = ["RELEASE_GAP_S", "releasable", "release_period_s", "surplus_hold_s"]

# A surplus must last for this many steps before it is released, and a zone gets one order of fewer
# targets in the time of so many.
SURPLUS_STEPS = 3
PERIOD_STEPS = 5
MIN_SURPLUS_S = 12.0
MIN_PERIOD_S = 20.0
# Time between the releases of two zones in seconds, so that the list shows the first one.
RELEASE_GAP_S = 6.0
# Largest share of a zone's targets to release at once.
MAX_RELEASE_SHARE = 0.25
# Share of the wanted number that must stay while targets of one kind replace those of the other in
# a deployment that has no room for more targets. Steps run in slightly more than one turn then.
EXCHANGE_SHARE = 0.9


def surplus_hold_s(need: SlotNeed) -> float:
    """Return how long a surplus must last before it is released, in seconds."""
    return max(MIN_SURPLUS_S, SURPLUS_STEPS * need.interval_s)


def release_period_s(need: SlotNeed) -> float:
    """Return the time in which a zone gets at most one order of fewer targets, in seconds."""
    return max(MIN_PERIOD_S, PERIOD_STEPS * need.interval_s)


def releasable(view: ScalingView, pool: Pool, wanted: int, total: int) -> int:
    """Return the number of targets of a pool that may be released now.

    Args:
        view: State of the service.
        pool: Pool with more targets than wanted.
        wanted: Wanted number of targets of the pool.
        total: Wanted number of targets of all pools.
    """
    need = view.need
    if need is None:
        return 0
    zone_ready = sum(view.count(Pool(pool.zone, kind)).ready for kind in (False, True))
    limits = [
        view.ordered(pool) - wanted,
        max(1, int(zone_ready * MAX_RELEASE_SHARE)),
        view.loaded_targets - remaining_total(view, total),
        zone_ready - max(1, view.spec.min_targets),
    ]
    for model in need.models:
        least = math.ceil(FIRM_SHARE * model.slots / view.slots_per_target)
        limits.append(view.holders.get(model.model, 0) - least)
    return max(0, min(limits))


def remaining_total(view: ScalingView, total: int) -> int:
    """Return the number of targets that must remain after a release."""
    return min(total, math.floor(EXCHANGE_SHARE * view.max_targets))
