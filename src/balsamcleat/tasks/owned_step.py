"""State of one rollout step on its owner: listed, finished, running and waiting samples."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import msgspec

from balsamcleat.decisions.sample_attempts import NO_ATTEMPTS, AttemptCounts, SampleAttempts
from balsamcleat.decisions.sample_progress import (
    FIRST_EVENT_NUMBER,
    ProgressSlice,
    SampleProgress,
    SavedProgress,
)
from balsamcleat.decisions.step_order import SampleRank, rank_samples
from balsamcleat.decisions.stream_origin import StreamOrigin
from balsamcleat.decisions.team_access import StepSubmitter, team_of_step
from balsamcleat.model import StepId, TargetId, TeamName
from balsamcleat.model.replicas import StreamSoftware
from balsamcleat.model.rollout import RolloutStep, SampleResult, SampleState, SampleTask
from balsamcleat.model.routing import Route, RoutingTable
from balsamcleat.tasks.rollout_records import OwnerRecord

__all__ = ["OwnedStep", "SampleRun"]

# Generation numbers reserved for each owner of a step. A later owner has a higher row version and
# so higher generations, and its saved progress supersedes that of earlier owners.
GENERATIONS_PER_OWNER = 1000


@dataclass(slots=True)
class SampleRun:
    """One run of a sample on a target.

    Attributes:
        target_id: Target that runs the sample.
        scope: Cancel scope of the run; cancelling it aborts the request to the target.
        goal: Better target on which the sample goes on, once the run was cancelled for that.
        load: Estimated number of requests on the target when the run started.
        event_interval_s: Estimated time per event on the target when the run started, in seconds.
        version: Weight version that the target was believed to run when the run started.
    """

    target_id: TargetId
    scope: anyio.CancelScope
    goal: TargetId | None = None
    load: float = 0.0
    event_interval_s: float = 0.0
    version: int = 0

    @property
    def is_moving(self) -> bool:
        """Return whether the run was cancelled to continue the sample on a better target."""
        return self.goal is not None


@dataclass(slots=True)
class OwnedStep:
    """In-memory state of one step, accessed only by the tasks of the VM that owns the step.

    Attributes:
        step: Step as its trainer submitted it.
        record: Owner record that this VM wrote to the row store.
        row_version: Version of the owner row; every commit of results is conditional on it.
        accepted_s: Time of the step's submission, on the process clock, in seconds.
        submitter: Sender of the submission, by which the team is found.
        team: Team for which the samples run, if the step has one.
        has_teams: Whether the configuration has teams.
        waits_for_team: Whether the step has a key that no team has.
        listed: Results stored in the row store, ordered by position.
        finished: Finished results that are not stored in the row store yet.
        progress: Text generated so far of each unfinished sample, by sample id.
        running: Current run of each running sample, by sample id.
        unscored: Ids of the samples whose text is complete and whose score is missing.
        scoring: Cancel scopes of the scoring of unscored samples, by sample id.
        attempts: Attempts at each sample, by sample id.
        saved_attempts: Counts of attempts that are saved in the row store, by sample id.
        attempts_lock: Serializes the writes of counts.
        retry_not_before_s: Earliest time of a sample's next run, on the process clock, by sample
            id.
        carried_groups: Groups that have text from an earlier step of the same trainer.
        done: Ids of the samples that have a result.
        ended: Whether the trainer ended the step.
        lost: Whether another VM owns the step now.
        handing_over: Whether the step is being handed over; no further sample is started.
        unconfirmed: Whether this VM was paused and the store has not confirmed yet that this VM
            still owns the step; no sample is started until then.
        ended_at_s: Time at which the trainer ended the step, on the process clock, in seconds.
        changed: Event that is set and replaced at each change of the state.
        saved_positions: Generation and number of the events saved in the row store, by sample id.
        saved_as_complete: Ids of the samples whose text is saved in the row store as complete.
        ranks: Placement order of the samples, by sample id.
        samples: Samples of the step, by sample id.
        group_positions: Positions in which groups are started because the step is expected to be
            late; empty otherwise.
        move_goals: Target to which each moved sample goes, by sample id, until it is placed.
        resume_wait_began_s: Time since which each interrupted sample waits for a target of its
            software, on the process clock, by sample id.
        certain_software: Returns the software that began a stream, or None if it is not certain.
    """

    step: RolloutStep
    record: OwnerRecord
    row_version: int
    accepted_s: float
    submitter: StepSubmitter = field(default_factory=StepSubmitter)
    team: TeamName | None = None
    has_teams: bool = False
    waits_for_team: bool = False
    listed: list[SampleResult] = field(default_factory=list)
    finished: deque[SampleResult] = field(default_factory=deque)
    progress: dict[str, SampleProgress] = field(default_factory=dict)
    running: dict[str, SampleRun] = field(default_factory=dict)
    unscored: set[str] = field(default_factory=set)
    scoring: dict[str, anyio.CancelScope] = field(default_factory=dict)
    attempts: dict[str, SampleAttempts] = field(default_factory=dict)
    saved_attempts: dict[str, AttemptCounts] = field(default_factory=dict)
    attempts_lock: anyio.Lock = field(default_factory=anyio.Lock)
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
    saved_as_complete: set[str] = field(default_factory=set)
    ranks: dict[str, SampleRank] = field(default_factory=dict)
    samples: dict[str, SampleTask] = field(default_factory=dict)
    group_positions: dict[str, int] = field(default_factory=dict)
    move_goals: dict[str, TargetId] = field(default_factory=dict)
    resume_wait_began_s: dict[str, float] = field(default_factory=dict)
    certain_software: Callable[[StreamOrigin | None], StreamSoftware | None] = lambda _: None

    def __post_init__(self) -> None:
        self.samples = {sample.sample_id: sample for sample in self.step.samples}
        self.done = {result.sample_id for result in self.listed}

    @property
    def step_id(self) -> StepId:
        """Return the step's id."""
        return self.step.step_id

    @property
    def first_generation(self) -> int:
        """Return the lowest generation of the progress that this owner saves."""
        return self.row_version * GENERATIONS_PER_OWNER

    def get_progress(self, sample_id: str) -> SampleProgress:
        """Return the progress of a sample, creating an empty one if there is none."""
        progress = self.progress.get(sample_id)
        if progress is None:
            progress = SampleProgress(generation=self.first_generation)
            self.progress[sample_id] = progress
        return progress

    def get_attempts(self, sample_id: str) -> SampleAttempts:
        """Return the attempts at a sample."""
        return self.attempts.setdefault(sample_id, SampleAttempts())

    def give_up_failed_samples(self, max_failures: int) -> None:
        """Record the samples as given up that failed often enough, also under earlier owners."""
        for sample_id, attempts in self.attempts.items():
            if attempts.should_give_up(max_failures):
                self.add_result(SampleResult(sample_id, SampleState.GIVEN_UP))

    def unsaved_attempts(self) -> dict[str, AttemptCounts]:
        """Return the counts of attempts that the row store does not have, by sample id."""
        unsaved = {}
        for sample_id, attempts in self.attempts.items():
            saved = self.saved_attempts.get(sample_id, NO_ATTEMPTS)
            counts = AttemptCounts.merge((saved, attempts.counts()))
            if counts != saved:
                unsaved[sample_id] = counts
        return unsaved

    @property
    def is_active(self) -> bool:
        """Whether the step has unfinished samples and this VM may run them."""
        return not self.ended and not self.lost and len(self.done) < len(self.samples)

    @property
    def can_start(self) -> bool:
        """Whether this VM may start samples of the step now."""
        return self.is_active and not self.handing_over and not self.unconfirmed

    def restore_progress(
        self, saved_by_sample: dict[str, SavedProgress], *, carried: bool, single: bool
    ) -> None:
        """Restore saved progress whose weight versions are allowed by this step.

        Args:
            saved_by_sample: Saved progress, by sample id.
            carried: Whether an earlier step of the same trainer saved the progress.
            single: Whether one weight version must generate a whole sample.
        """
        for sample_id, saved in saved_by_sample.items():
            sample = self.samples.get(sample_id)
            if sample is None or sample_id in self.done:
                continue
            if carried:
                self.carried_groups.add(sample.group)
            else:
                self.attempts[sample_id] = SampleAttempts.restore(saved.attempts)
                self.saved_attempts[sample_id] = saved.attempts
            progress = SampleProgress.from_saved(saved)
            progress.generation = self.first_generation
            if not saved.events or not progress.satisfies_version_bounds(
                self.step.oldest_version, single_version=single
            ):
                continue
            self.progress[sample_id] = progress
            if saved.complete:
                self.add_complete_text(sample_id)

    def update_team(self, route: Route, table: RoutingTable) -> None:
        """Find the step's team in the configuration in force.

        A team that was found by a key is kept when the key is removed.
        """
        found = team_of_step(self.submitter, route, table)
        self.team = found.name
        self.has_teams = table.has_teams
        self.waits_for_team = not found.is_certain
        if found.name is not None and not self.submitter.team:
            self.submitter = StepSubmitter(found.name)
            self.record = msgspec.structs.replace(self.record, team=found.name)

    def update_ranks(self, tokens_per_event: float) -> None:
        """Recompute the placement order of the samples.

        Args:
            tokens_per_event: Estimated number of output tokens in one event.
        """
        generated_tokens = {
            sample_id: len(progress.events) * tokens_per_event
            for sample_id, progress in self.progress.items()
        }
        self.ranks = rank_samples(self.step, generated_tokens, self.ordered_carried_groups())

    def ordered_carried_groups(self) -> list[str]:
        """Return the carried groups in the order in which the trainer submitted them."""
        groups = dict.fromkeys(sample.group for sample in self.step.samples)
        return [group for group in groups if group in self.carried_groups]

    def is_waiting(self, sample_id: str) -> bool:
        """Return whether a sample has no complete text and does not run."""
        return (
            sample_id not in self.done
            and sample_id not in self.unscored
            and sample_id not in self.running
        )

    def waiting_samples(self, now_s: float) -> list[SampleTask]:
        """Return the samples without a result that are neither running nor waiting for a retry."""
        return [
            sample
            for sample_id, sample in self.samples.items()
            if self.is_waiting(sample_id) and self.retry_not_before_s.get(sample_id, 0.0) <= now_s
        ]

    def add_complete_text(self, sample_id: str) -> None:
        """Record that a sample's text is complete; the sample ends here unless it needs a score."""
        if self.samples[sample_id].scoring is None:
            self.add_result(self.complete_result(sample_id))
        else:
            self.unscored.add(sample_id)
            self.notify()

    def complete_result(self, sample_id: str, score: str = "") -> SampleResult:
        """Return the result of a sample whose text is complete."""
        progress = self.progress[sample_id]
        versions = tuple(sorted(progress.versions))
        return SampleResult(
            sample_id, SampleState.COMPLETE, progress.joined_events(), versions, score
        )

    def add_result(self, result: SampleResult) -> None:
        """Record a sample's result; ignore it if the sample already has one."""
        if result.sample_id in self.done:
            return
        self.done.add(result.sample_id)
        self.unscored.discard(result.sample_id)
        self.finished.append(result)
        self.notify()

    def mark_listed(self, results: tuple[SampleResult, ...]) -> None:
        """Record that the oldest finished results are stored in the row store."""
        self.listed.extend(results)
        for _ in results:
            self.finished.popleft()
        for result in results:
            self.progress.pop(result.sample_id, None)
        self.notify()

    def notify(self) -> None:
        """Wake all tasks that wait for a change of the step."""
        self.changed.set()
        self.changed = anyio.Event()

    def cancel_runs(self) -> None:
        """Cancel all runs of the step's samples and their scoring."""
        for run in list(self.running.values()):
            run.scope.cancel()
        for scope in list(self.scoring.values()):
            scope.cancel()

    def carryover_slices(self) -> dict[str, ProgressSlice]:
        """Return the text of incomplete groups, by sample id, for the trainer's next step."""
        listed = {result.sample_id for result in self.listed}
        incomplete = {
            sample.group for sample_id, sample in self.samples.items() if sample_id not in listed
        }
        slices = {
            sample_id: progress.slice_from(
                0,
                complete=sample_id in self.unscored,
                software=self.certain_software(progress.origin),
            )
            for sample_id, progress in self.progress.items()
            if progress.events and sample_id not in self.done
        }
        for result in (*self.listed, *self.finished):
            group = self.samples[result.sample_id].group
            if result.state is SampleState.COMPLETE and group in incomplete:
                # The text can't be split into events again: their data may contain line feeds.
                slices[result.sample_id] = ProgressSlice(
                    0, 0, FIRST_EVENT_NUMBER, (result.text,), result.versions, complete=True
                )
        return slices

    def unsaved_slices(self, min_events: int, *, is_last: bool = False) -> dict[str, ProgressSlice]:
        """Return the unsaved text of samples whose results are not stored, by sample id.

        Args:
            min_events: Fewest unsaved events for which a sample's text is worth a write.
            is_last: Whether this owner stores no more results, so that the text of samples that
                have one is saved, too.
        """
        slices = {}
        finished = {result.sample_id: result.state for result in self.finished}
        for sample_id, progress in self.progress.items():
            generation, count = self.saved_positions.get(sample_id, (progress.generation, 0))
            start = count if generation == progress.generation else 0
            if sample_id in self.done and not is_last:
                continue
            complete = sample_id in self.unscored or finished.get(sample_id) is SampleState.COMPLETE
            is_end_unsaved = complete and sample_id not in self.saved_as_complete
            if is_end_unsaved or len(progress.events) - start >= min_events:
                software = self.certain_software(progress.origin)
                slices[sample_id] = progress.slice_from(start, complete=complete, software=software)
        return slices

    def mark_attempts_saved(self, attempts: dict[str, AttemptCounts]) -> None:
        """Record that counts of attempts are saved in the row store."""
        self.saved_attempts |= attempts

    def mark_saved(self, slices: dict[str, ProgressSlice]) -> None:
        """Record that progress slices are saved in the row store."""
        for sample_id, progress_slice in slices.items():
            self.saved_positions[sample_id] = (
                progress_slice.generation,
                progress_slice.start + len(progress_slice.events),
            )
            if progress_slice.complete:
                self.saved_as_complete.add(sample_id)
