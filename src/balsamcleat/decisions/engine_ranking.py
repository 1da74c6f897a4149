"""Find the engine with the least held against it, for many samples and many engines at once.

Load pattern: a step brings a thousand samples to some thousand engines, and each end of a sample
asks for places again. Looking at every engine for every sample takes seconds of the owner's only
core; here engines are kept in order of their cost, which only grows while places are given away.
"""

import heapq
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from balsamcleat.model import TargetId, WeightVersion

__all__ = [
    "SLOW_RATIO",
    "EngineRanking",
    "EngineView",
    "SampleRequirements",
    "can_take",
    "fastest_event_interval_s",
]

# An engine this much slower than the fastest takes work only when no other can.
SLOW_RATIO = 1.8
# Worth of finding the prompt at hand, in shares of a full batch.
PROMPT_BONUS = 0.6
# What another availability zone costs, in shares of a full batch.
OTHER_ZONE_COST = 0.05


@dataclass(frozen=True, slots=True)
class SampleRequirements:
    """What a sample asks of an engine.

    Attributes:
        model: The model.
        oldest: The oldest weight version allowed.
    """

    model: str
    oldest_version: WeightVersion


@dataclass(slots=True)
class EngineView:
    """An engine as a place for samples.

    Attributes:
        target_id: The engine.
        slots: Requests that it runs at once.
        load: Requests believed there.
        pace_s: Seconds for one event, as seen lately; 0 where none was seen.
        versions: Weight versions by model.
        loading: Models whose weights are being changed.
        usable: Whether it takes new work now.
        own_zone: Whether it is in this VM's availability zone.
        prompts: Prompts that it has read lately.
    """

    target_id: TargetId
    slots: int
    load: float
    event_interval_s: float = 0.0
    loaded_versions: dict[str, WeightVersion] = field(default_factory=dict)
    loading_models: frozenset[str] = frozenset()
    is_usable: bool = True
    is_local: bool = True
    recent_prompts: Collection[str] = field(default_factory=set)


def fastest_event_interval_s(engines: Iterable[EngineView]) -> float:
    """Return the seconds for one event at the fastest engine seen; 0 where none was seen."""
    paces = [
        engine.event_interval_s
        for engine in engines
        if engine.event_interval_s > 0.0 and engine.is_usable
    ]
    return min(paces, default=0.0)


def can_take(engine: EngineView, kind: SampleRequirements) -> bool:
    """Return whether an engine has a place and weights for a kind of sample."""
    return (
        engine.is_usable
        and engine.load + 1.0 <= engine.slots
        and kind.model not in engine.loading_models
        and engine.loaded_versions.get(kind.model, 0) >= kind.oldest_version
    )


def engine_cost(engine: EngineView, fastest_s: float) -> float:
    """Return what is held against an engine, in shares of a full batch."""
    cost = engine.load / engine.slots
    if not engine.is_local:
        cost += OTHER_ZONE_COST
    if fastest_s > 0.0 and engine.event_interval_s > SLOW_RATIO * fastest_s:
        cost += engine.event_interval_s / fastest_s
    return cost


class EngineRanking:
    """Engines in order of their cost, for each kind of sample that asks.

    Args:
        engines: The engines; their loads grow as places are taken.
        prompts: The prompts that samples may ask for.
    """

    def __init__(self, engines: Sequence[EngineView], prompts: Iterable[str]) -> None:
        self.engines = engines
        self.fastest_interval_s = fastest_event_interval_s(engines)
        self.heaps: dict[SampleRequirements, list[tuple[float, int]]] = {}
        self.engines_by_prompt: dict[str, list[int]] = {prompt: [] for prompt in prompts}
        asked = self.engines_by_prompt.keys()
        for number, engine in enumerate(engines):
            if engine.recent_prompts:
                for prompt in asked & set(engine.recent_prompts):
                    self.engines_by_prompt[prompt].append(number)

    def cost(self, number: int) -> float:
        """Return what is held against an engine now."""
        return engine_cost(self.engines[number], self.fastest_interval_s)

    def assign(self, kind: SampleRequirements, prompt: str) -> EngineView | None:
        """Take the best place for a sample, or None where it should wait."""
        best = self.cheapest(kind)
        for number in self.engines_by_prompt[prompt]:
            if can_take(self.engines[number], kind):
                found = (self.cost(number) - PROMPT_BONUS, number)
                best = found if best is None else min(best, found)
        if best is None:
            return None
        number = best[1]
        engine = self.engines[number]
        engine.load += 1.0
        if number not in self.engines_by_prompt[prompt]:
            self.engines_by_prompt[prompt].append(number)
        return engine

    def cheapest(self, kind: SampleRequirements) -> tuple[float, int] | None:
        """Return cost and number of the engine with the least held against it, if any."""
        order = self.heap(kind)
        while order:
            cost, number = order[0]
            if not can_take(self.engines[number], kind):
                heapq.heappop(order)
                continue
            now = self.cost(number)
            if now <= cost:
                return cost, number
            # A place was taken since; it moves back.
            heapq.heapreplace(order, (now, number))
        return None

    def heap(self, kind: SampleRequirements) -> list[tuple[float, int]]:
        """Return the engines for a kind of sample, as a heap by cost."""
        found = self.heaps.get(kind)
        if found is None:
            found = [
                (self.cost(number), number)
                for number, engine in enumerate(self.engines)
                if can_take(engine, kind)
            ]
            heapq.heapify(found)
            self.heaps[kind] = found
        return found
