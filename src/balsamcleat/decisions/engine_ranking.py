"""Assign many samples to the engines with the lowest cost.

Load pattern: a step places a thousand samples on some thousand engines, and each sample that ends
starts another assignment. Comparing every engine for every sample takes seconds of the step
owner's only core; here engines are kept in heaps ordered by their cost, which only grows while
samples are assigned.
"""

import heapq
import math
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from balsamcleat.model import ServiceName, TargetId, WeightVersion

__all__ = [
    "SLOW_RATIO",
    "EngineRanking",
    "EngineView",
    "SampleRequirements",
    "can_take",
    "engine_cost",
    "fastest_event_interval_s",
    "fastest_intervals_by_service_s",
]

# An engine slower than the fastest one by more than this factor gets work only when no other can
# take it.
SLOW_RATIO = 1.8
# Cost reduction for an engine that probably has the prompt cached, in shares of a full batch.
PROMPT_BONUS = 0.6
# Cost of an engine in another availability zone, in shares of a full batch.
OTHER_ZONE_COST = 0.05
# Cost of an engine whose software is being replaced, in shares of a full batch. Its slots are left
# to the interrupted samples that only that software can continue, and new samples begin where they
# can also end.
REPLACED_SOFTWARE_COST = 0.25
# Cost of an engine that takes twice as long for an event as the fastest one, in shares of a full
# batch. Samples are assigned longest first, so the long ones get the fast engines.
PACE_COST = 2.0
# Cost of an engine for each service that a sample prefers to the engine's one, in shares of a full
# batch. It exceeds all other costs: weights of services count as long as each takes its samples.
OTHER_SERVICE_COST = 1000.0
UNNAMED_SERVICE = ServiceName("")


@dataclass(frozen=True, slots=True)
class SampleRequirements:
    """The requirements of a sample on its engine.

    Attributes:
        model: Name of the model.
        oldest_version: Oldest weight version that may generate the sample.
        software_version: Software version that began the sample; None if it has not begun.
        services: Services that may run the sample, the preferred one first; empty for any.
    """

    model: str
    oldest_version: WeightVersion
    software_version: str | None = None
    services: tuple[ServiceName, ...] = ()

    def allows(self, service: ServiceName) -> bool:
        """Return whether a service may run the sample."""
        return not self.services or service in self.services

    def preference_cost(self, service: ServiceName) -> float:
        """Return the cost of a service that may run the sample, in shares of a full batch."""
        return OTHER_SERVICE_COST * self.services.index(service) if self.services else 0.0


@dataclass(slots=True)
class EngineView:
    """The state of an engine that the assignment of samples depends on.

    Attributes:
        target_id: Id of the engine.
        slots: Number of requests that the engine runs at once.
        load: Estimated number of requests at the engine, including assigned samples.
        event_interval_s: Expected interval between two events of a stream, in seconds; 0 if none
            was measured.
        loaded_versions: Loaded weight version by model.
        loading_models: Models whose weights are being replaced.
        is_usable: Whether the engine takes new work now.
        sendable: Number of requests that this VM may send to the engine now.
        is_local: Whether the engine is in this VM's availability zone.
        recent_prompts: Ids of the prompts that the engine processed recently.
        software_version: Version of the engine's software.
        is_replaced: Whether engines of this software version are being replaced.
        service: Service that the engine belongs to.
    """

    target_id: TargetId
    slots: int
    load: float
    event_interval_s: float = 0.0
    loaded_versions: dict[str, WeightVersion] = field(default_factory=dict)
    loading_models: frozenset[str] = frozenset()
    is_usable: bool = True
    sendable: float = math.inf
    is_local: bool = True
    recent_prompts: Collection[str] = field(default_factory=set)
    software_version: str = ""
    is_replaced: bool = False
    service: ServiceName = UNNAMED_SERVICE


def fastest_event_interval_s(engines: Iterable[EngineView]) -> float:
    """Return the lowest event interval of the usable engines in seconds, or 0 if none is known."""
    intervals = [
        engine.event_interval_s
        for engine in engines
        if engine.event_interval_s > 0.0 and engine.is_usable
    ]
    return min(intervals, default=0.0)


def fastest_intervals_by_service_s(engines: Iterable[EngineView]) -> dict[ServiceName, float]:
    """Return the lowest event interval of each service's usable engines, in seconds.

    It is 0 for a service of which none is known.
    """
    by_service: dict[ServiceName, list[EngineView]] = {}
    for engine in engines:
        by_service.setdefault(engine.service, []).append(engine)
    return {service: fastest_event_interval_s(members) for service, members in by_service.items()}


def can_take(engine: EngineView, requirements: SampleRequirements) -> bool:
    """Return whether an engine has a free slot and weights that meet the requirements."""
    return (
        engine.is_usable
        and requirements.allows(engine.service)
        and engine.sendable >= 1.0
        and engine.load + 1.0 <= engine.slots
        and requirements.model not in engine.loading_models
        and engine.loaded_versions.get(requirements.model, 0) >= requirements.oldest_version
        and requirements.software_version in (None, engine.software_version)
    )


def engine_cost(engine: EngineView, fastest_s: float) -> float:
    """Return the cost of an engine, in shares of a full batch."""
    cost = engine.load / engine.slots
    if not engine.is_local:
        cost += OTHER_ZONE_COST
    if engine.is_replaced:
        cost += REPLACED_SOFTWARE_COST
    if fastest_s > 0.0 and engine.event_interval_s > 0.0:
        slowness = engine.event_interval_s / fastest_s
        cost += PACE_COST * (slowness - 1.0)
        if slowness > SLOW_RATIO:
            cost += slowness
    return cost


class EngineRanking:
    """The engines in order of their cost, in a heap for each set of sample requirements.

    Args:
        engines: Engines to assign samples to; their loads grow with each assignment.
        prompts: Ids of all prompts of the samples to assign.
    """

    def __init__(self, engines: Sequence[EngineView], prompts: Iterable[str]) -> None:
        self.engines = engines
        self.fastest_intervals_s = fastest_intervals_by_service_s(engines)
        self.heaps: dict[SampleRequirements, list[tuple[float, int]]] = {}
        # Filled at the first assignment to a given engine; most passes have none.
        self.index_by_id: dict[TargetId, int] = {}
        self.engines_by_prompt: dict[str, list[int]] = {prompt: [] for prompt in prompts}
        known_prompts = self.engines_by_prompt.keys()
        for index, engine in enumerate(engines):
            if engine.recent_prompts:
                for prompt in known_prompts & set(engine.recent_prompts):
                    self.engines_by_prompt[prompt].append(index)

    def cost(self, index: int, requirements: SampleRequirements) -> float:
        """Return the current cost of an engine, given by its index, for a sample."""
        engine = self.engines[index]
        cost = engine_cost(engine, self.fastest_intervals_s[engine.service])
        return cost + requirements.preference_cost(engine.service)

    def assign(self, requirements: SampleRequirements, prompt: str) -> EngineView | None:
        """Assign a sample to the engine with the lowest cost; return None if it must wait."""
        best = self.cheapest(requirements)
        for index in self.engines_by_prompt[prompt]:
            if can_take(self.engines[index], requirements):
                candidate = (self.cost(index, requirements) - PROMPT_BONUS, index)
                best = candidate if best is None else min(best, candidate)
        if best is None:
            return None
        return self.take(best[1], prompt)

    def assign_to(
        self, target_id: TargetId, requirements: SampleRequirements, prompt: str
    ) -> EngineView | None:
        """Assign a sample to a given engine; return None if the engine can't take it now."""
        if not self.index_by_id:
            self.index_by_id = {
                engine.target_id: index for index, engine in enumerate(self.engines)
            }
        index = self.index_by_id.get(target_id)
        if index is None or not can_take(self.engines[index], requirements):
            return None
        return self.take(index, prompt)

    def take(self, index: int, prompt: str) -> EngineView:
        """Count a sample at the engine with the index, and return the engine."""
        engine = self.engines[index]
        engine.load += 1.0
        engine.sendable -= 1.0
        if index not in self.engines_by_prompt[prompt]:
            self.engines_by_prompt[prompt].append(index)
        return engine

    def cheapest(self, requirements: SampleRequirements) -> tuple[float, int] | None:
        """Return cost and index of the engine with the lowest cost, or None if none can take it."""
        heap = self.heap(requirements)
        while heap:
            cost, index = heap[0]
            if not can_take(self.engines[index], requirements):
                heapq.heappop(heap)
                continue
            current_cost = self.cost(index, requirements)
            if current_cost <= cost:
                return cost, index
            # The cost grew by assignments since the entry was made, so the entry is moved.
            heapq.heapreplace(heap, (current_cost, index))
        return None

    def heap(self, requirements: SampleRequirements) -> list[tuple[float, int]]:
        """Return the heap of the engines that meet the requirements, ordered by cost."""
        heap = self.heaps.get(requirements)
        if heap is None:
            heap = [
                (self.cost(index, requirements), index)
                for index, engine in enumerate(self.engines)
                if can_take(engine, requirements)
            ]
            heapq.heapify(heap)
            self.heaps[requirements] = heap
        return heap
