"""One step in the hands of its owner: what is listed, finished, running and still to do."""

from collections import deque
from dataclasses import dataclass, field

import anyio

from balsamcleat.decisions.sample_progress import (
    FIRST_EVENT,
    ProgressSlice,
    SampleProgress,
    SavedProgress,
)
from balsamcleat.decisions.step_order import SampleRank, rank_samples
from balsamcleat.model import StepId, TargetId
from balsamcleat.model.rollout import RolloutStep, SampleResult, SampleState, SampleTask
from balsamcleat.tasks.rollout_records import OwnerRecord

__all__ = ["OwnedStep", "SampleRun"]

# Generations of text in the hands of one owner; those of a later owner are higher.
GENERATIONS_PER_OWNER = 1000


@dataclass(slots=True)
class SampleRun:
    """A sample that runs; cancelling ``scope`` takes it off its target.

    Attributes:
        target_id: Where it runs.
        scope: Cancels the run.
        moving: Whether it is on its way to a better target.
        load: Requests believed there at the start.
        pace_s: Seconds for one event believed there at the start.
        version: Weight version believed there at the start.
    """

    target_id: TargetId
    scope: anyio.CancelScope
    is_moving: bool = False
    load: float = 0.0
    pace_s: float = 0.0
    version: int = 0


@dataclass(slots=True)
class OwnedStep:
    """The state of one step; only its owner's tasks touch it.

    Attributes:
        step: The step.
        record: The owner's record as this VM wrote it.
        row_version: Version of that row; every listing is conditional on it.
        accepted_s: When the step was submitted, on the process's clock.
        listed: Results that are kept, in the order of their positions.
        finished: Results that wait to be kept.
        progress: Text at hand of samples that aren't finished.
        running: Samples that run now.
        failures: Answers of failure, by sample.
        hold_until_s: Samples that wait before they are tried again.
        carried: Groups with text from an earlier step.
        ended: The trainer ended the step.
        lost: Another VM owns it now.
        handing_over: No sample is started any more.
        unconfirmed: This VM was paused; no sample is started before the store has told whether the
            step is still its own.
        saved: Generation and number of the events that are kept, by sample.
    """

    step: RolloutStep
    record: OwnerRecord
    row_version: int
    accepted_s: float
    listed: list[SampleResult] = field(default_factory=list)
    finished: deque[SampleResult] = field(default_factory=deque)
    progress: dict[str, SampleProgress] = field(default_factory=dict)
    running: dict[str, SampleRun] = field(default_factory=dict)
    failure_counts: dict[str, int] = field(default_factory=dict)
    retry_not_before_s: dict[str, float] = field(default_factory=dict)
    carried_groups: set[str] = field(default_factory=set)
    done: set[str] = field(default_factory=set)
    ended: bool = False
    lost: bool = False
    handing_over: bool = False
    unconfirmed: bool = False
    ended_at_s: float = 0.0
    changed: anyio.Event = field(default_factory=anyio.Event)
    saved_positions: dict[str, tuple[int, int]] = field(default_factory=dict)
    ranks: dict[str, SampleRank] = field(default_factory=dict)
    samples: dict[str, SampleTask] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.samples = {sample.sample_id: sample for sample in self.step.samples}
        self.done = {result.sample_id for result in self.listed}

    @property
    def step_id(self) -> StepId:
        """The step's id."""
        return self.step.step_id

    @property
    def first_generation(self) -> int:
        """Generation of text that this owner begins to keep."""
        return self.row_version * GENERATIONS_PER_OWNER

    def get_progress(self, sample_id: str) -> SampleProgress:
        """Return the text at hand of a sample, empty at first."""
        found = self.progress.get(sample_id)
        if found is None:
            found = SampleProgress(generation=self.first_generation)
            self.progress[sample_id] = found
        return found

    @property
    def is_active(self) -> bool:
        """Whether samples may run."""
        return not self.ended and not self.lost and len(self.done) < len(self.samples)

    @property
    def can_start(self) -> bool:
        """Whether samples may be started here now."""
        return self.is_active and not self.handing_over and not self.unconfirmed

    def restore_progress(
        self, saved: dict[str, SavedProgress], *, carried: bool, single: bool
    ) -> None:
        """Take text that was kept, as far as its versions fit this step."""
        for sample_id, kept in saved.items():
            sample = self.samples.get(sample_id)
            if sample is None or sample_id in self.done:
                continue
            if carried:
                self.carried_groups.add(sample.group)
            progress = SampleProgress.restore(kept)
            progress.generation = self.first_generation
            if not kept.events or not progress.fits(self.step.oldest_version, single=single):
                continue
            self.progress[sample_id] = progress
            if kept.complete:
                self.add_result(
                    SampleResult(sample_id, SampleState.COMPLETE, progress.text(), kept.versions)
                )

    def update_ranks(self, tokens_an_event: float) -> None:
        """Work out the order of the samples anew."""
        at_hand = {
            sample_id: len(progress.events) * tokens_an_event
            for sample_id, progress in self.progress.items()
        }
        self.ranks = rank_samples(self.step, at_hand, self.ordered_carried_groups())

    def ordered_carried_groups(self) -> list[str]:
        """Return the carried groups in the trainer's order."""
        groups = dict.fromkeys(sample.group for sample in self.step.samples)
        return [group for group in groups if group in self.carried_groups]

    def waiting_samples(self, now_s: float) -> list[SampleTask]:
        """Return the samples that may be started now."""
        return [
            sample
            for sample_id, sample in self.samples.items()
            if sample_id not in self.done
            and sample_id not in self.running
            and self.retry_not_before_s.get(sample_id, 0.0) <= now_s
        ]

    def add_result(self, result: SampleResult) -> None:
        """Take a sample's result, once."""
        if result.sample_id in self.done:
            return
        self.done.add(result.sample_id)
        self.finished.append(result)
        self.notify()

    def mark_listed(self, results: tuple[SampleResult, ...]) -> None:
        """Take note that results are listed."""
        self.listed.extend(results)
        for _ in results:
            self.finished.popleft()
        for result in results:
            self.progress.pop(result.sample_id, None)
        self.notify()

    def notify(self) -> None:
        """Wake whoever waits for a change."""
        self.changed.set()
        self.changed = anyio.Event()

    def cancel_runs(self) -> None:
        """Take all samples off their targets."""
        for running in list(self.running.values()):
            running.scope.cancel()

    def carryover_slices(self) -> dict[str, ProgressSlice]:
        """Return the text of groups that aren't whole, for a later step that asks for them."""
        listed = {result.sample_id for result in self.listed}
        incomplete = {
            sample.group for sample_id, sample in self.samples.items() if sample_id not in listed
        }
        slices = {
            sample_id: progress.slice_from(0)
            for sample_id, progress in self.progress.items()
            if progress.events and sample_id not in self.done
        }
        for result in (*self.listed, *self.finished):
            group = self.samples[result.sample_id].group
            if result.state is SampleState.COMPLETE and group in incomplete:
                events = tuple(result.text.split("\n"))
                slices[result.sample_id] = ProgressSlice(
                    0, 0, FIRST_EVENT, events, result.versions, complete=True
                )
        return slices

    def unsaved_slices(self, least_events: int) -> dict[str, ProgressSlice]:
        """Return text of unfinished samples that isn't kept, where it is worth a write."""
        slices = {}
        for sample_id, progress in self.progress.items():
            generation, count = self.saved_positions.get(sample_id, (progress.generation, 0))
            start = count if generation == progress.generation else 0
            if sample_id not in self.done and len(progress.events) - start >= least_events:
                slices[sample_id] = progress.slice_from(start)
        return slices

    def mark_saved(self, slices: dict[str, ProgressSlice]) -> None:
        """Take note that text is kept."""
        for sample_id, piece in slices.items():
            self.saved_positions[sample_id] = (piece.generation, piece.start + len(piece.events))
