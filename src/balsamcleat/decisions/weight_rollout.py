"""Decide which engine loads a named weight version when.

Load pattern: a trainer names a version every few seconds and submits the next step at once, which
may still use the version before. An engine that loads starts nothing new of that model, while what
runs there goes on unharmed. Many loads at once slow each other down, several models share the
engines, and there isn't time to load all of them everywhere.

So each model has engines of its own, by its share of the work. Right after a naming they wait
until the step has started its samples; then they load in turns while their places are taken
anyway. An engine that an open step can't use at all loads before all others.
"""

import functools
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from balsamcleat.model import TargetId, WeightVersion

__all__ = [
    "EngineWeights",
    "LoadOrder",
    "ModelDemand",
    "assign_engines",
    "max_concurrent_loads",
    "next_load_orders",
]

# Share of a service's engines that load at once; two at least. More slow each other down.
MAX_LOADING_SHARE = 0.4
MIN_CONCURRENT_LOADS = 2
# The step that belongs to a version is submitted and placed within this time of the naming.
STEP_PLACEMENT_S = 0.3
# Places of engines in models' orders that are remembered; each is a hash of two names.
MAX_CACHED_HASHES = 32768
# Versions that an engine is taken to be further behind when it is slow.
SLOW_HANDICAP = 3


@dataclass(frozen=True, slots=True)
class EngineWeights:
    """What is believed of an engine.

    Attributes:
        target_id: The engine.
        versions: Versions in use, by model.
        ordered: Versions ordered and not yet seen, by model.
        usable: Whether it may be given an order now.
        slow: Whether it is much slower than others.
    """

    target_id: TargetId
    versions: dict[str, WeightVersion]
    ordered_versions: dict[str, WeightVersion] = field(default_factory=dict)
    is_usable: bool = True
    is_slow: bool = False


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """What is wanted of a model.

    Attributes:
        model: The model.
        named: The newest version that its trainer named.
        named_age_s: How long ago that became known here, in seconds.
        open_oldest: The oldest version allowed, for each open step.
        work: Its share of the work lately; only ratios matter.
    """

    model: str
    named_version: WeightVersion
    named_age_s: float
    open_step_minimums: tuple[WeightVersion, ...] = ()
    work_share: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order an engine to load a version."""

    target_id: TargetId
    model: str
    version: WeightVersion


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines of a service may load at the same time."""
    return max(MIN_CONCURRENT_LOADS, int(engines * MAX_LOADING_SHARE))


def engine_quotas(engines: int, demands: Sequence[ModelDemand]) -> dict[str, int]:
    """Return the number of engines for each model: one at least, the rest by the work."""
    total = sum(demand.work_share for demand in demands) or 1.0
    spare = max(0, engines - len(demands))
    exact = {demand.model: spare * demand.work_share / total for demand in demands}
    found = {model: 1 + int(share) for model, share in exact.items()}
    left = engines - sum(found.values())
    by_rest = sorted(exact, key=lambda model: (int(exact[model]) - exact[model], model))
    for model in by_rest[: max(0, left)]:
        found[model] += 1
    return found


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def assignment_hash(model: str, target_id: TargetId) -> int:
    """Return an engine's place in a model's order, the same on every VM."""
    return xxhash.xxh3_64_intdigest(f"{model}/{target_id}".encode())


def assign_engines(
    engines: Sequence[EngineWeights], demands: Sequence[ModelDemand]
) -> dict[str, list[TargetId]]:
    """Return the engines of each model; those that have its newest versions stay its own."""
    wanted = engine_quotas(len(engines), demands)
    pairs = sorted(
        (
            demand.named_version
            - engine.versions.get(demand.model, WeightVersion(0))
            + (SLOW_HANDICAP if engine.is_slow else 0),
            assignment_hash(demand.model, engine.target_id),
            demand.model,
            engine.target_id,
        )
        for demand in demands
        for engine in engines
    )
    found: dict[str, list[TargetId]] = {demand.model: [] for demand in demands}
    taken: set[TargetId] = set()
    shared = len(engines) < len(demands)
    for _, _, model, target_id in pairs:
        if len(found[model]) < wanted[model] and (shared or target_id not in taken):
            taken.add(target_id)
            found[model].append(target_id)
    return found


def next_load_orders(
    engines: Sequence[EngineWeights], demands: Sequence[ModelDemand]
) -> list[LoadOrder]:
    """Return the orders to give now."""
    room = max_concurrent_loads(len(engines)) - sum(
        1 for engine in engines if engine.ordered_versions
    )
    by_id = {engine.target_id: engine for engine in engines}
    assigned = assign_engines(engines, demands)
    candidates = []
    for demand in demands:
        own = [by_id[target_id] for target_id in assigned[demand.model]]
        for urgency, engine in engines_to_load(demand, own):
            place = assignment_hash(demand.model, engine.target_id)
            candidates.append((urgency, place, engine.target_id, demand))
    orders: list[LoadOrder] = []
    taken: set[TargetId] = set()
    for _, _, target_id, demand in sorted(candidates, key=lambda item: item[:3]):
        if len(orders) < room and target_id not in taken:
            taken.add(target_id)
            orders.append(LoadOrder(target_id, demand.model, demand.named_version))
    return orders


def engines_to_load(
    demand: ModelDemand, own: Sequence[EngineWeights]
) -> list[tuple[int, EngineWeights]]:
    """Return the model's engines that should load now, each with its urgency, 0 first."""
    behind = [
        engine
        for engine in own
        if engine.is_usable
        and not engine.ordered_versions
        and engine.versions.get(demand.model, WeightVersion(0)) < demand.named_version
    ]
    useless = [engine for engine in behind if not can_serve_open_step(demand, engine)]
    found = [(0, engine) for engine in useless]
    if demand.named_age_s < STEP_PLACEMENT_S:
        return found
    loading = sum(1 for engine in own if demand.model in engine.ordered_versions)
    # The others start samples meanwhile; a single engine has to load at some time, too.
    may_load = max(1, len(own) // 2) if demand.open_step_minimums else len(own)
    room = max(0, may_load - loading - len(useless))
    return found + [(1, engine) for engine in behind if engine not in useless][:room]


def can_serve_open_step(demand: ModelDemand, engine: EngineWeights) -> bool:
    """Return whether an engine can be used by an open step, where there is one."""
    version = engine.versions.get(demand.model, WeightVersion(0))
    return not demand.open_step_minimums or any(
        version >= oldest for oldest in demand.open_step_minimums
    )
