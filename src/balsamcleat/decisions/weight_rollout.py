"""Decide which engine is ordered to load a named weight version next.

Load pattern: a version is named every few seconds, just before the step that may still use the
version before it. Loads slow each other down when many run at once, and an engine that loads
starts nothing of that model, so a share of the engines loads while the others take the samples.
"""

from dataclasses import dataclass

from balsamcleat.model import TargetId, WeightVersion

__all__ = ["EngineWeights", "LoadOrder", "loads_at_once", "next_loads"]

# Share of a service's engines that load at once; two at least, which costs no speed.
LOADING_SHARE = 1.0 / 3.0
MIN_LOADING = 2


@dataclass(frozen=True, slots=True)
class EngineWeights:
    """What is believed of an engine's weights.

    Attributes:
        target_id: The engine.
        versions: Versions in use, by model.
        ordered: Versions ordered and not yet seen, by model.
        running: Requests believed there.
        usable: Whether it may be given an order now.
    """

    target_id: TargetId
    versions: dict[str, WeightVersion]
    ordered: dict[str, WeightVersion]
    running: float
    usable: bool = True


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Order an engine to load a version."""

    target_id: TargetId
    model: str
    version: WeightVersion


def loads_at_once(engines: int) -> int:
    """Return how many engines of a service may load at the same time."""
    return max(MIN_LOADING, int(engines * LOADING_SHARE))


def next_loads(engines: list[EngineWeights], named: dict[str, WeightVersion]) -> list[LoadOrder]:
    """Return the orders to give now: engines furthest behind first, idle ones before busy."""
    loading = sum(1 for engine in engines if engine.ordered)
    room = loads_at_once(len(engines)) - loading
    orders: list[LoadOrder] = []
    candidates = []
    for engine in engines:
        if engine.ordered or not engine.usable:
            continue
        for model, version in named.items():
            behind = version - engine.versions.get(model, version)
            if behind > 0:
                candidates.append((-behind, engine.running, engine.target_id, model, version))
    taken: set[TargetId] = set()
    for _, _, target_id, model, version in sorted(candidates):
        if len(orders) >= room:
            break
        if target_id not in taken:
            taken.add(target_id)
            orders.append(LoadOrder(target_id, model, version))
    return orders
