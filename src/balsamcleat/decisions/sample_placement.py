"""Decide which engine generates which waiting sample, and which running one should move.

Load pattern: steps bring more samples at once than there are places; some engines are slow, load
weights or have just failed; other VMs place theirs at the same time from reports as old as ours.
A batch costs nearly nothing more for another sample, so places are filled, the fast engines'
first, and members of a group go where their prompt has been read. Nothing is queued at an engine
while it can wait here, where it can still go elsewhere.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from balsamcleat.decisions.step_order import SampleRank
from balsamcleat.model import StepId, TargetId, WeightVersion

__all__ = ["Placement", "RunningSample", "Seat", "WaitingSample", "find_moves", "place_samples"]

# An engine this much slower than the fastest takes work only when no other can.
SLOW_RATIO = 1.8
# Worth of finding the prompt at hand, in shares of a full batch.
PROMPT_BONUS = 0.6
# What another availability zone costs, in shares of a full batch.
OTHER_ZONE_COST = 0.05
# What a sample must still have to be worth moving, in seconds at the slow engine's pace.
MIN_LEFT_TO_MOVE_S = 0.5


@dataclass(frozen=True, slots=True)
class WaitingSample:
    """A sample that runs nowhere."""

    step_id: StepId
    sample_id: str
    model: str
    oldest_version: WeightVersion
    prompt_id: str
    rank: tuple[float, SampleRank]


@dataclass(slots=True)
class Seat:
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
    pace_s: float = 0.0
    versions: dict[str, WeightVersion] = field(default_factory=dict)
    loading: frozenset[str] = frozenset()
    usable: bool = True
    own_zone: bool = True
    prompts: set[str] = field(default_factory=set)


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
    model: str
    oldest_version: WeightVersion
    events_left: float


def place_samples(waiting: Iterable[WaitingSample], seats: Sequence[Seat]) -> list[Placement]:
    """Return where to start waiting samples, best rank first; seats are updated on the way."""
    placements = []
    fastest_s = fastest_pace(seats)
    for sample in sorted(waiting, key=lambda item: item.rank):
        seat = best_seat(sample, seats, fastest_s)
        if seat is None:
            continue
        seat.load += 1.0
        seat.prompts.add(sample.prompt_id)
        placements.append(Placement(sample.step_id, sample.sample_id, seat.target_id))
    return placements


def fastest_pace(seats: Iterable[Seat]) -> float:
    """Return the seconds for one event at the fastest engine seen; 0 where none was seen."""
    paces = [seat.pace_s for seat in seats if seat.pace_s > 0.0 and seat.usable]
    return min(paces, default=0.0)


def best_seat(sample: WaitingSample, seats: Iterable[Seat], fastest_s: float) -> Seat | None:
    """Return the engine for a sample, or None where it should wait."""
    best: Seat | None = None
    best_cost = float("inf")
    for seat in seats:
        if not may_take(seat, sample.model, sample.oldest_version):
            continue
        cost = seat_cost(seat, fastest_s)
        if sample.prompt_id in seat.prompts:
            cost -= PROMPT_BONUS
        if cost < best_cost:
            best, best_cost = seat, cost
    return best


def may_take(seat: Seat, model: str, oldest: WeightVersion) -> bool:
    """Return whether an engine has a place and weights for a sample."""
    return (
        seat.usable
        and seat.load + 1.0 <= seat.slots
        and model not in seat.loading
        and seat.versions.get(model, 0) >= oldest
    )


def seat_cost(seat: Seat, fastest_s: float) -> float:
    """Return what is held against an engine, in shares of a full batch."""
    cost = seat.load / seat.slots
    if not seat.own_zone:
        cost += OTHER_ZONE_COST
    if fastest_s > 0.0 and seat.pace_s > SLOW_RATIO * fastest_s:
        cost += seat.pace_s / fastest_s
    return cost


def find_moves(running: Iterable[RunningSample], seats: Sequence[Seat]) -> list[Placement]:
    """Return the samples to take off slow engines, and where each goes on; longest first."""
    by_id = {seat.target_id: seat for seat in seats}
    fastest_s = fastest_pace(seats)
    if fastest_s <= 0.0:
        return []
    moves = []
    for sample in sorted(running, key=lambda item: -item.events_left):
        source = by_id.get(sample.target_id)
        if source is None or source.pace_s <= SLOW_RATIO * fastest_s:
            continue
        if sample.events_left * source.pace_s < MIN_LEFT_TO_MOVE_S:
            continue
        goal = move_goal(sample, seats, fastest_s)
        if goal is None:
            continue
        goal.load += 1.0
        source.load -= 1.0
        moves.append(Placement(sample.step_id, sample.sample_id, goal.target_id))
    return moves


def move_goal(sample: RunningSample, seats: Iterable[Seat], fastest_s: float) -> Seat | None:
    """Return a fast engine with a place for a running sample, or None."""
    goals = [
        seat
        for seat in seats
        if seat.target_id != sample.target_id
        and may_take(seat, sample.model, sample.oldest_version)
        and 0.0 < seat.pace_s <= SLOW_RATIO * fastest_s
    ]
    return min(goals, key=lambda seat: seat.load / seat.slots, default=None)
