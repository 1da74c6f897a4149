"""Place waiting samples on engines, and select running samples to move off slow engines.

Load pattern: steps submit more samples at once than there are slots; some engines are slow, are
loading weights or have just failed; other VMs place their samples at the same time, based on
reports as old as this VM's. Another sample adds nearly no cost to an engine's batch, so all slots
are filled, those of fast engines first, and samples of a group go to an engine that has already
processed their prompt. Engines differ in pace, and a step is due about when its longest sample
ends on a fast engine, so the longest samples get the fast engines. Samples that have begun go on
only at engines of one software version, which grow few and full during a release, so they are
placed before new ones. No sample is queued at a full
engine: as long as it waits on this VM, it can still be placed on any engine.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from balsamcleat.decisions.engine_ranking import (
    SLOW_RATIO,
    EngineRanking,
    EngineView,
    SampleRequirements,
    can_take,
    engine_cost,
    fastest_intervals_by_service_s,
)
from balsamcleat.decisions.step_order import SampleRank
from balsamcleat.model import StepId, TargetId

__all__ = ["Placement", "RunningSample", "WaitingSample", "find_moves", "place_samples"]

# A sample is moved off a much slower engine if that would need at least this long to finish it, and
# off a somewhat slower one if the sample is expected to end earlier by the second time; in seconds.
MIN_REMAINING_TO_MOVE_S = 0.5
MIN_GAIN_TO_MOVE_S = 0.4


@dataclass(frozen=True, slots=True)
class WaitingSample:
    """A sample that is not running on any engine.

    Attributes:
        step_id: Step of the sample.
        sample_id: Identifier of the sample within the step.
        requirements: Requirements of the sample for an engine.
        prompt_id: Identifier of the prompt, which the samples of a group share.
        rank: Sort key; the lowest is placed first.
        goal: Engine to which the sample was moved; None if it was not moved.
        group_position: Position in which its group is started if the step will be late, else 0.
    """

    step_id: StepId
    sample_id: str
    requirements: SampleRequirements
    prompt_id: str
    rank: tuple[float, SampleRank]
    goal: TargetId | None = None
    group_position: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """Assignment of a sample to an engine."""

    step_id: StepId
    sample_id: str
    target_id: TargetId


@dataclass(frozen=True, slots=True)
class RunningSample:
    """A sample that runs on an engine.

    Attributes:
        step_id: Step of the sample.
        sample_id: Identifier of the sample within the step.
        target_id: Engine that runs the sample.
        requirements: Requirements of the sample for an engine.
        remaining_events: Expected number of remaining stream events.
    """

    step_id: StepId
    sample_id: str
    target_id: TargetId
    requirements: SampleRequirements
    remaining_events: float


def place_samples(
    waiting: Iterable[WaitingSample], engines: Sequence[EngineView]
) -> list[Placement]:
    """Return placements for waiting samples, best rank first; updates the load of ``engines``."""
    samples = sorted(waiting, key=placement_key)
    if not samples:
        return []
    ranking = EngineRanking(engines, {sample.prompt_id for sample in samples})
    placements = []
    for sample in samples:
        engine = None
        if sample.goal is not None:
            engine = ranking.assign_to(sample.goal, sample.requirements, sample.prompt_id)
        if engine is None:
            engine = ranking.assign(sample.requirements, sample.prompt_id)
        if engine is not None:
            placements.append(Placement(sample.step_id, sample.sample_id, engine.target_id))
    return placements


def placement_key(sample: WaitingSample) -> tuple[bool, bool, float, int, SampleRank]:
    """Return the key by which samples are placed: moved ones, those that have begun, by rank.

    A moved sample was stopped because its new engine has a free slot. Placed later, it could lose
    the slot to another sample.
    """
    submitted_s, rank = sample.rank
    return (
        sample.goal is None,
        sample.requirements.software_version is None,
        submitted_s,
        sample.group_position,
        rank,
    )


def find_moves(running: Iterable[RunningSample], engines: Sequence[EngineView]) -> list[Placement]:
    """Return new placements for samples to move off slow engines, most remaining events first."""
    by_id = {engine.target_id: engine for engine in engines}
    fastest_intervals_s = fastest_intervals_by_service_s(engines)
    moves = []
    for sample in sorted(running, key=lambda item: -item.remaining_events):
        source = by_id.get(sample.target_id)
        if source is None:
            continue
        fastest_s = fastest_intervals_s[source.service]
        if fastest_s <= 0.0 or not is_worth_moving(sample, source.event_interval_s, fastest_s):
            continue
        destination = move_destination(sample, engines, fastest_s)
        if destination is None or not is_worth_moving(
            sample, source.event_interval_s, destination.event_interval_s
        ):
            continue
        destination.load += 1.0
        destination.sendable -= 1.0
        source.load -= 1.0
        moves.append(Placement(sample.step_id, sample.sample_id, destination.target_id))
    return moves


def is_worth_moving(sample: RunningSample, interval_s: float, new_interval_s: float) -> bool:
    """Return whether a sample should go on at another event interval, in seconds."""
    gain_s = sample.remaining_events * (interval_s - new_interval_s)
    if interval_s > SLOW_RATIO * new_interval_s:
        return sample.remaining_events * interval_s >= MIN_REMAINING_TO_MOVE_S
    return gain_s >= MIN_GAIN_TO_MOVE_S


def move_destination(
    sample: RunningSample, engines: Iterable[EngineView], fastest_s: float
) -> EngineView | None:
    """Return the best engine with a free slot for a running sample, or None."""
    candidates = [
        engine
        for engine in engines
        if engine.target_id != sample.target_id
        and can_take(engine, sample.requirements)
        and 0.0 < engine.event_interval_s <= SLOW_RATIO * fastest_s
    ]
    return min(candidates, key=lambda engine: engine_cost(engine, fastest_s), default=None)
