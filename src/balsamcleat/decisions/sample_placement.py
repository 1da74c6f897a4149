"""Decide which engine generates which waiting sample, and which running one should move.

Load pattern: steps bring more samples at once than there are places; some engines are slow, load
weights or have just failed; other VMs place theirs at the same time from reports as old as ours.
A batch costs nearly nothing more for another sample, so places are filled, the fast engines'
first, and members of a group go where their prompt has been read. Nothing is queued at an engine
while it can wait here, where it can still go elsewhere.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from balsamcleat.decisions.engine_ranking import (
    SLOW_RATIO,
    EngineRanking,
    EngineView,
    SampleRequirements,
    can_take,
    fastest_event_interval_s,
)
from balsamcleat.decisions.step_order import SampleRank
from balsamcleat.model import StepId, TargetId

__all__ = ["Placement", "RunningSample", "WaitingSample", "find_moves", "place_samples"]

# What a sample must still have to be worth moving, in seconds at the slow engine's pace.
MIN_REMAINING_TO_MOVE_S = 0.5


@dataclass(frozen=True, slots=True)
class WaitingSample:
    """A sample that runs nowhere."""

    step_id: StepId
    sample_id: str
    kind: SampleRequirements
    prompt_id: str
    rank: tuple[float, SampleRank]


@dataclass(frozen=True, slots=True)
class Placement:
    """Start a sample at an engine."""

    step_id: StepId
    sample_id: str
    target_id: TargetId


@dataclass(frozen=True, slots=True)
class RunningSample:
    """A sample that runs at an engine; ``events_left`` is how many more are expected."""

    step_id: StepId
    sample_id: str
    target_id: TargetId
    kind: SampleRequirements
    remaining_events: float


def place_samples(
    waiting: Iterable[WaitingSample], engines: Sequence[EngineView]
) -> list[Placement]:
    """Return where to start waiting samples, best rank first; engines are updated on the way."""
    samples = sorted(waiting, key=lambda item: item.rank)
    if not samples:
        return []
    ranking = EngineRanking(engines, {sample.prompt_id for sample in samples})
    placements = []
    for sample in samples:
        engine = ranking.assign(sample.kind, sample.prompt_id)
        if engine is not None:
            placements.append(Placement(sample.step_id, sample.sample_id, engine.target_id))
    return placements


def find_moves(running: Iterable[RunningSample], engines: Sequence[EngineView]) -> list[Placement]:
    """Return the samples to take off slow engines, and where each goes on; longest first."""
    by_id = {engine.target_id: engine for engine in engines}
    fastest_s = fastest_event_interval_s(engines)
    if fastest_s <= 0.0:
        return []
    moves = []
    for sample in sorted(running, key=lambda item: -item.remaining_events):
        source = by_id.get(sample.target_id)
        if source is None or source.event_interval_s <= SLOW_RATIO * fastest_s:
            continue
        if sample.remaining_events * source.event_interval_s < MIN_REMAINING_TO_MOVE_S:
            continue
        goal = move_destination(sample, engines, fastest_s)
        if goal is None:
            continue
        goal.load += 1.0
        source.load -= 1.0
        moves.append(Placement(sample.step_id, sample.sample_id, goal.target_id))
    return moves


def move_destination(
    sample: RunningSample, engines: Iterable[EngineView], fastest_s: float
) -> EngineView | None:
    """Return a fast engine with a place for a running sample, or None."""
    goals = [
        engine
        for engine in engines
        if engine.target_id != sample.target_id
        and can_take(engine, sample.kind)
        and 0.0 < engine.event_interval_s <= SLOW_RATIO * fastest_s
    ]
    return min(goals, key=lambda engine: engine.load / engine.slots, default=None)
