"""Determine how many slots open steps need at once, and how they fare.

Load pattern: three trainers submit steps of about a hundred samples every few seconds. Engines run
all their slots with hardly any loss per sample, and the longest samples last about as long as the
step may take. So the engines are a third busy on average, and a step is still delayed by each
sample that finds no slot at once. The mean use of slots says nothing of that; the peak does.

An engine follows the weights of few models, so the peaks of the models add up, although the steps
of the trainers rarely begin together.
"""

import itertools
import statistics
from collections.abc import Iterable
from dataclasses import dataclass

from balsamcleat.decisions.step_history import StepHistory, StepRecord

__all__ = ["ModelNeed", "SlotNeed", "determine_need"]

# Steps of this time count for the peak, in seconds.
DEMAND_WINDOW_S = 90.0
# Steps submitted within this time show how long steps take now, in seconds.
RECENT_S = 30.0
# Number of finished steps of each trainer from which on its demand is known.
LEARNED_STEPS = 5
# Share of late steps above which no target is released. A step is late only if more than a tenth of
# its groups are, so a single late step points to a fault rather than to too few targets.
LATE_SHARE = 0.1
# Some steps are late whatever the number of targets is, since engines differ in pace. Only a larger
# share of late steps than usual shows that targets are missing.
USUAL_LATE_FACTOR = 2.0
# Longest time that a trainer trains after a step, in seconds. A step that leaves less of the
# interval between two steps delays all later ones.
TRAINING_S = 1.0
# Recent steps are slow if they take longer than this multiple of the durations' lower quartile.
SLOW_FACTOR = 1.35
# Assumed before two steps of a trainer are known, in seconds.
DEFAULT_INTERVAL_S = 4.0


@dataclass(frozen=True, slots=True)
class ModelNeed:
    """Need of one model's steps.

    Attributes:
        model: Name of the model.
        slots: Peak number of slots wanted at once.
        duration_s: Median duration of the steps in seconds; 0 if unknown.
        interval_s: Time between two steps, in seconds.
        finished_steps: Number of steps whose duration is known.
        is_slow: Whether steps take longer now than they did and than their interval allows.
    """

    model: str
    slots: int
    duration_s: float
    interval_s: float
    finished_steps: int
    is_slow: bool


@dataclass(frozen=True, slots=True)
class SlotNeed:
    """Need of all steps of a service.

    Attributes:
        models: Need of each model with recent steps.
        peak_together: Peak number of slots that the steps of all models wanted at once.
        is_late: Whether more recent steps are late than usual.
        is_learned: Whether several steps of each trainer were seen.
        age_s: Time since the last observation, in seconds.
    """

    models: tuple[ModelNeed, ...]
    peak_together: int
    is_late: bool
    is_learned: bool
    age_s: float = 0.0

    @property
    def slots(self) -> int:
        """Number of slots with which the samples of all steps start at once."""
        return sum(need.slots for need in self.models)

    @property
    def interval_s(self) -> float:
        """Longest time between two steps of a model, in seconds."""
        return max((need.interval_s for need in self.models), default=DEFAULT_INTERVAL_S)

    @property
    def is_slow(self) -> bool:
        """Whether the steps of a model take longer than they did."""
        return any(need.is_slow for need in self.models)


def determine_need(history: StepHistory, models: Iterable[str], now_s: float) -> SlotNeed:
    """Return the need of a service's steps.

    Args:
        history: Steps of the service.
        models: Models that the service serves.
        now_s: Time on the store's clock, in seconds.
    """
    window = [
        record
        for record in history.records.values()
        if now_s - record.submitted_s < DEMAND_WINDOW_S
    ]
    by_model: dict[str, list[StepRecord]] = {}
    for record in sorted(window, key=lambda record: record.submitted_s):
        by_model.setdefault(record.model, []).append(record)
    needs = tuple(model_need(model, steps, now_s) for model, steps in sorted(by_model.items()))
    return SlotNeed(
        models=needs,
        peak_together=peak_slots(window),
        is_late=is_late(list(history.records.values()), now_s),
        is_learned=is_learned(needs, models, history, now_s),
        age_s=now_s - history.observed_s,
    )


def peak_slots(records: list[StepRecord]) -> int:
    """Return the peak number of slots; it only rises when a step is submitted."""
    return max(
        (sum(other.slots_at(record.submitted_s) for other in records) for record in records),
        default=0,
    )


def model_need(model: str, records: list[StepRecord], now_s: float) -> ModelNeed:
    """Return the need of one model's steps, which are in the order of their submission."""
    durations = [record.duration_s for record in records if record.duration_s is not None]
    recent = [
        record.duration_s
        for record in records
        if record.duration_s is not None and now_s - record.submitted_s < RECENT_S
    ]
    intervals = sorted(
        later.submitted_s - earlier.submitted_s for earlier, later in itertools.pairwise(records)
    )
    # Late steps stretch the interval, so the lower quartile is nearer to the trainer's schedule.
    interval_s = intervals[len(intervals) // 4] if intervals else DEFAULT_INTERVAL_S
    is_slow = False
    if len(recent) >= 2:
        usual_s = sorted(durations)[len(durations) // 4]
        allowed_s = max(SLOW_FACTOR * usual_s, interval_s - TRAINING_S)
        is_slow = statistics.median(recent) > allowed_s
    return ModelNeed(
        model=model,
        slots=peak_slots(records),
        duration_s=statistics.median(durations) if durations else 0.0,
        interval_s=interval_s,
        finished_steps=len(durations),
        is_slow=is_slow,
    )


def is_late(records: list[StepRecord], now_s: float) -> bool:
    """Return whether more recent steps are late than single faults and earlier steps explain."""
    recent = [record for record in records if now_s - record.submitted_s < RECENT_S]
    earlier = [record for record in records if now_s - record.submitted_s >= RECENT_S]
    usual_share = late_share(earlier, now_s)
    return late_share(recent, now_s) > max(LATE_SHARE, USUAL_LATE_FACTOR * usual_share)


def late_share(records: list[StepRecord], now_s: float) -> float:
    """Return the share of late steps among those that ended or were due."""
    judged = [
        record
        for record in records
        if record.is_timed and (record.finished_s is not None or record.is_late(now_s))
    ]
    return sum(record.is_late(now_s) for record in judged) / len(judged) if judged else 0.0


def is_learned(
    needs: tuple[ModelNeed, ...], models: Iterable[str], history: StepHistory, now_s: float
) -> bool:
    """Return whether several steps of each trainer were seen, or it was long silent."""
    if history.began_s is None:
        return False
    known = {need.model for need in needs}
    has_silent_model = not known.issuperset(models)
    if (has_silent_model or not needs) and now_s - history.began_s < DEMAND_WINDOW_S:
        return False
    return all(need.finished_steps >= LEARNED_STEPS for need in needs)
