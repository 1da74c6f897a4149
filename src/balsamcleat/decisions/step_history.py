"""Remember the recent steps of all trainers, and what they needed.

Load pattern: each trainer submits a step every few seconds, with all its samples at once. Most
samples are short, a few are several times longer, and the step is over when its last groups are.
A VM sees from the change feed when a step was submitted and when its trainer ended it, but not
how many of its samples are left. A trainer that names the next weight version has its groups.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from balsamcleat.model import StepId

__all__ = ["HISTORY_S", "StepHistory", "StepRecord", "StepSighting"]

# The platform keeps the records of steps for about this time, in seconds.
HISTORY_S = 180.0
# A step wants slots for all its samples for this share of the time until it is due, and for the
# samples of its long tail afterwards.
BURST_SHARE = 0.5
TAIL_SHARE = 0.25
# A trainer trains for at least this time between its last group and the next weight version, in
# seconds.
MIN_TRAINING_S = 0.5
# The version that a step was submitted for may be learned shortly after the step. It does not show
# that the step is over.
MIN_STEP_S = 1.0
# After a longer gap between two observations it is not known when steps ended meanwhile.
MAX_OBSERVATION_GAP_S = 2.0


@dataclass(frozen=True, slots=True)
class StepSighting:
    """A step as it is known now; times are on the store's clock, in seconds.

    Attributes:
        step_id: Id of the step.
        model: Model that generates its samples.
        samples: Number of samples.
        submitted_s: Time of the submission.
        due_s: Time after the submission by which the step should be complete.
        is_ended: Whether the trainer ended the step.
    """

    step_id: StepId
    model: str
    samples: int
    submitted_s: float
    due_s: float
    is_ended: bool


@dataclass(slots=True)
class StepRecord:
    """What is known of a step; times are on the store's clock, in seconds.

    Attributes:
        model: Model that generates its samples.
        samples: Number of samples.
        submitted_s: Time of the submission.
        due_s: Time after the submission by which the step should be complete.
        finished_s: Time at which its trainer had its groups; None while that is not known.
        closed_s: Time from which on the step needs no slots; None while it is open.
        is_timed: Whether the end was, or will be, seen when it happened.
    """

    model: str
    samples: int
    submitted_s: float
    due_s: float
    finished_s: float | None = None
    closed_s: float | None = None
    is_timed: bool = True

    @property
    def duration_s(self) -> float | None:
        """Time from the submission until the trainer had its groups, or None if unknown."""
        if self.finished_s is None or not self.is_timed:
            return None
        return self.finished_s - self.submitted_s

    def is_late(self, now_s: float) -> bool:
        """Return whether the trainer did not have its groups when the step was due."""
        if not self.is_timed:
            return False
        end_s = now_s if self.finished_s is None else self.finished_s
        return end_s - self.submitted_s > self.due_s

    def slots_at(self, time_s: float) -> int:
        """Return the number of slots that the step wanted at a time."""
        age_s = time_s - self.submitted_s
        is_closed = self.closed_s is not None and time_s >= self.closed_s
        if is_closed or not 0.0 <= age_s <= self.due_s:
            return 0
        is_finished = self.finished_s is not None and time_s >= self.finished_s
        if is_finished or age_s > self.due_s * BURST_SHARE:
            return int(self.samples * TAIL_SHARE)
        return self.samples


@dataclass(slots=True)
class StepHistory:
    """The steps of the last minutes, of all owners.

    Attributes:
        records: Steps by id.
        began_s: Time of the first observation, on the store's clock, in seconds.
        observed_s: Time of the last one.
    """

    records: dict[StepId, StepRecord] = field(default_factory=dict)
    began_s: float | None = None
    observed_s: float = float("-inf")

    def observe(self, sightings: Iterable[StepSighting], now_s: float) -> None:
        """Record the steps as they are known now."""
        if self.began_s is None:
            self.began_s = now_s
        if now_s - self.observed_s > MAX_OBSERVATION_GAP_S:
            for record in self.records.values():
                record.is_timed = record.is_timed and record.finished_s is not None
        self.observed_s = now_s
        for sighting in sightings:
            if now_s - sighting.submitted_s < HISTORY_S:
                self.record(sighting, now_s)
        for step_id, record in list(self.records.items()):
            if now_s - record.submitted_s >= HISTORY_S:
                del self.records[step_id]

    def record(self, sighting: StepSighting, now_s: float) -> None:
        """Record a step as it is known now."""
        record = self.records.get(sighting.step_id)
        if record is None:
            record = self.records[sighting.step_id] = StepRecord(
                sighting.model, sighting.samples, sighting.submitted_s, sighting.due_s
            )
            # The end of a step that is only seen when it is over may be much earlier.
            record.is_timed = (
                not sighting.is_ended and now_s - sighting.submitted_s < sighting.due_s
            )
        if sighting.is_ended and record.closed_s is None:
            record.closed_s = now_s
            if not record.is_timed:
                burst_end_s = sighting.submitted_s + BURST_SHARE * sighting.due_s
                record.closed_s = min(now_s, burst_end_s)
            if record.finished_s is None:
                record.finished_s = record.closed_s

    def record_named(self, model: str, now_s: float) -> None:
        """Record that a model's trainer named a version, so it has the groups of its step."""
        for record in self.records.values():
            if (
                record.model == model
                and record.finished_s is None
                and now_s - record.submitted_s >= MIN_STEP_S
            ):
                record.finished_s = now_s - MIN_TRAINING_S
