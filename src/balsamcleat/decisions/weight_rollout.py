"""Schedule which engine loads a newly announced weight version, and when.

Load pattern: a trainer announces a version every few seconds and immediately submits the next step,
which may still use the previous version. An engine that is loading starts no new samples of that
model, while its running samples continue. Concurrent loads slow each other down, several models
share the engines, and there is not enough time to load every model on every engine.

Therefore each model is assigned its own engines, in proportion to its share of the work. After an
announcement, the engines wait until the step has started its samples. They then load in turns,
while their slots are occupied anyway. An engine that no open step can use loads first.
"""

import functools
from collections.abc import Sequence
from dataclasses import dataclass, field

import xxhash

from balsamcleat.model import TargetId, WeightVersion

__all__ = [
    "STEP_PLACEMENT_S",
    "EngineWeights",
    "LoadOrder",
    "ModelDemand",
    "assign_engines",
    "engine_quotas",
    "max_concurrent_loads",
    "next_load_orders",
]

# Share of a service's engines that load concurrently, because more loads slow each other down.
MAX_LOADING_SHARE = 0.4
MIN_CONCURRENT_LOADS = 2
# The step for a version is submitted and placed within this time after the announcement.
STEP_PLACEMENT_S = 0.3
# Cache size of ``assignment_hash``; each entry is a hash of a model and an engine.
MAX_CACHED_HASHES = 32768
# Number of versions by which a slow engine counts as further behind than it is.
SLOW_HANDICAP = 3


@dataclass(frozen=True, slots=True)
class EngineWeights:
    """Last known weights of an engine.

    Attributes:
        target_id: Target id of the engine.
        versions: Loaded weight versions, by model.
        ordered_versions: Weight versions that were ordered and are not yet reported, by model.
        is_usable: Whether a load order can be sent to the engine now.
        is_slow: Whether the engine is much slower than others.
    """

    target_id: TargetId
    versions: dict[str, WeightVersion]
    ordered_versions: dict[str, WeightVersion] = field(default_factory=dict)
    is_usable: bool = True
    is_slow: bool = False


@dataclass(frozen=True, slots=True)
class ModelDemand:
    """Desired weight version of a model, and its demand for engines.

    Attributes:
        model: Name of the model.
        named_version: Newest weight version that the trainer announced.
        named_age_s: Time since this VM learned of the announced version, in seconds.
        open_step_minimums: Oldest allowed weight version of each open step.
        work_share: Recent amount of work for the model; only ratios between models matter.
    """

    model: str
    named_version: WeightVersion
    named_age_s: float
    open_step_minimums: tuple[WeightVersion, ...] = ()
    work_share: float = 1.0


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order to an engine to load a weight version."""

    target_id: TargetId
    model: str
    version: WeightVersion


def max_concurrent_loads(engines: int) -> int:
    """Return how many engines of a service may load weights concurrently."""
    return max(MIN_CONCURRENT_LOADS, int(engines * MAX_LOADING_SHARE))


def engine_quotas(engines: int, demands: Sequence[ModelDemand]) -> dict[str, int]:
    """Return the number of engines for each model: one each, the rest in proportion to work."""
    total = sum(demand.work_share for demand in demands) or 1.0
    spare_engines = max(0, engines - len(demands))
    exact_shares = {demand.model: spare_engines * demand.work_share / total for demand in demands}
    counts = {model: 1 + int(share) for model, share in exact_shares.items()}
    unassigned = engines - sum(counts.values())
    by_remainder = sorted(
        exact_shares, key=lambda model: (int(exact_shares[model]) - exact_shares[model], model)
    )
    for model in by_remainder[: max(0, unassigned)]:
        counts[model] += 1
    return counts


@functools.lru_cache(maxsize=MAX_CACHED_HASHES)
def assignment_hash(model: str, target_id: TargetId) -> int:
    """Return the hash that orders the engines of a model, the same on every VM."""
    return xxhash.xxh3_64_intdigest(f"{model}/{target_id}".encode())


def assign_engines(
    engines: Sequence[EngineWeights], demands: Sequence[ModelDemand]
) -> dict[str, list[TargetId]]:
    """Return the engines assigned to each model, preferring those with its newest versions."""
    quotas = engine_quotas(len(engines), demands)
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
    assigned: dict[str, list[TargetId]] = {demand.model: [] for demand in demands}
    assigned_ids: set[TargetId] = set()
    is_shared = len(engines) < len(demands)
    for _, _, model, target_id in pairs:
        if len(assigned[model]) < quotas[model] and (is_shared or target_id not in assigned_ids):
            assigned_ids.add(target_id)
            assigned[model].append(target_id)
    return assigned


def next_load_orders(
    engines: Sequence[EngineWeights], demands: Sequence[ModelDemand]
) -> list[LoadOrder]:
    """Return the load orders to send now."""
    free_loads = max_concurrent_loads(len(engines)) - sum(
        1 for engine in engines if engine.ordered_versions
    )
    by_id = {engine.target_id: engine for engine in engines}
    assigned = assign_engines(engines, demands)
    candidates = []
    for demand in demands:
        own_engines = [by_id[target_id] for target_id in assigned[demand.model]]
        for priority, engine in engines_to_load(demand, own_engines):
            tie_breaker = assignment_hash(demand.model, engine.target_id)
            candidates.append((priority, tie_breaker, engine.target_id, demand))
    orders: list[LoadOrder] = []
    ordered_ids: set[TargetId] = set()
    for _, _, target_id, demand in sorted(candidates, key=lambda item: item[:3]):
        if len(orders) < free_loads and target_id not in ordered_ids:
            ordered_ids.add(target_id)
            orders.append(LoadOrder(target_id, demand.model, demand.named_version))
    return orders


def engines_to_load(
    demand: ModelDemand, own_engines: Sequence[EngineWeights]
) -> list[tuple[int, EngineWeights]]:
    """Return the model's engines that should load now, each with its priority; 0 is highest."""
    behind = [
        engine
        for engine in own_engines
        if engine.is_usable
        and not engine.ordered_versions
        and engine.versions.get(demand.model, WeightVersion(0)) < demand.named_version
    ]
    unusable = [engine for engine in behind if not can_serve_open_step(demand, engine)]
    prioritized = [(0, engine) for engine in unusable]
    if demand.named_age_s < STEP_PLACEMENT_S:
        return prioritized
    loading_count = sum(1 for engine in own_engines if demand.model in engine.ordered_versions)
    # The other engines start samples meanwhile; a single engine must be able to load as well.
    max_loading = max(1, len(own_engines) // 2) if demand.open_step_minimums else len(own_engines)
    free_loads = max(0, max_loading - loading_count - len(unusable))
    return prioritized + [(1, engine) for engine in behind if engine not in unusable][:free_loads]


def can_serve_open_step(demand: ModelDemand, engine: EngineWeights) -> bool:
    """Return whether an open step can use the engine; True if no step is open."""
    version = engine.versions.get(demand.model, WeightVersion(0))
    return not demand.open_step_minimums or any(
        version >= oldest for oldest in demand.open_step_minimums
    )
