"""Runs the samples of the steps that this VM owns, on the targets chosen by the placement."""

import math
import random
from collections.abc import Callable, Coroutine
from typing import Any, TypeVarTuple, Unpack

import anyio
import anyio.abc
import structlog

from balsamcleat.decisions.pass_pacing import delay_after_pass
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_attempts import MAX_COUNTED_INTERRUPTIONS
from balsamcleat.decisions.sample_placement import Placement
from balsamcleat.errors import PlatformError, ProtocolError
from balsamcleat.model import KeyDigest, StepId, TargetId, ZoneName
from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.model.routing import Route, RouteKind, RoutingTable
from balsamcleat.model.team_keys import loggable_digest
from balsamcleat.ports.rows import RowChange, RowConflict
from balsamcleat.tasks.owned_step import OwnedStep, SampleRun
from balsamcleat.tasks.pause_guard import PauseGuard
from balsamcleat.tasks.placement_view import TOKENS_PER_EVENT, PlacementView
from balsamcleat.tasks.result_writer import ResultWriter
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.sample_placer import PLACEMENT_INTERVAL_S, SamplePlacer
from balsamcleat.tasks.sample_resumption import SampleResumption
from balsamcleat.tasks.sample_run import (
    SampleAssignment,
    SampleEnd,
    SampleRunner,
    SampleRunOutcome,
    rejected_version,
)
from balsamcleat.tasks.sample_scorer import SampleScorer
from balsamcleat.tasks.step_deletion import delete_progress
from balsamcleat.tasks.step_groups import RoutedStep
from balsamcleat.tasks.step_scorer import StepScorer

__all__ = ["RolloutRunner"]

# Upper bound of the random delay before a sample is retried after an interrupted run.
MAX_INTERRUPTED_BACKOFF_S = 0.05
FAILED_BACKOFF_S = 0.2
# Request priorities of samples, 0 being the highest. Live requests precede all samples.
REQUIRED_PRIORITY = 4
SPARE_PRIORITY = 6
CANCELLED_RUN_REASON = "taken off"
# Time that a target is given for a sample when the route sets no expiry.
DEFAULT_RUN_TIMEOUT_S = 60.0

log = structlog.get_logger()

Arguments = TypeVarTuple("Arguments")


class RolloutRunner:
    """Runs all steps that this VM owns.

    Args:
        records: Records of steps in the row store.
        directory: Directory of the known targets.
        stats_registry: Observed load, pace and failures of each target.
        sample_runner: Runs one sample on one target.
        scorer: Obtains the scores of samples.
        zone: Availability zone of this VM.
        table: Returns the routing table in force, or None before there is one.
        loading: Returns the models whose weights a target is believed to be loading.
        pause_guard: Suspends steps after a pause of this process until the store confirms them.
        generator: Random number generator for the jitter of retries.
    """

    def __init__(
        self,
        records: RolloutRecords,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        sample_runner: SampleRunner,
        scorer: SampleScorer,
        zone: ZoneName,
        table: Callable[[], RoutingTable | None],
        loading: Callable[[TargetId], frozenset[str]],
        pause_guard: PauseGuard,
        generator: random.Random,
    ) -> None:
        self.records = records
        self.directory = directory
        self.stats_registry = stats_registry
        self.sample_runner = sample_runner
        self.step_scorer = StepScorer(scorer, table, self.may_send, self.save_attempts_soon)
        self.table = table
        self.resumption = SampleResumption(
            directory, sample_runner.confirm_start, self.start_task, self.wake
        )
        self.view = PlacementView(directory, stats_registry, zone, loading)
        self.placer = SamplePlacer(
            self.view, self.resumption, stats_registry.limits, self.start_sample, self.move_sample
        )
        self.pause_guard = pause_guard
        pause_guard.on_confirmed = self.wake
        self.generator = generator
        self.steps: dict[StepId, OwnedStep] = {}
        self.changed = anyio.Event()
        self.tasks: anyio.abc.TaskGroup | None = None
        self.leaving = False
        self.result_writer = ResultWriter(records, generator, self.handle_lost_ownership, self.wake)
        # Called with the rows of a commit conflict. They name a step's new owner, possibly before
        # the change feed delivers it.
        self.on_rows: Callable[[tuple[RowChange, ...]], None] = lambda _: None
        # Returns why this VM must not run a step of which it has this version of the owner row.
        self.find_obstacle: Callable[[StepId, int], str | None] = lambda step_id, version: None

        # Returns whether the configuration in force is known to be the newest.
        self.is_configuration_current: Callable[[], bool] = lambda: True
        # Returns the version of the store as of which the configuration in force is the newest.
        self.configuration_version: Callable[[], float] = lambda: math.inf

    def wake(self) -> None:
        """Trigger a placement of samples."""
        self.changed.set()

    def add_step(self, step: OwnedStep) -> None:
        """Start to run a step that this VM owns, unless it changed while its records were read."""
        obstacle = self.find_obstacle(step.step_id, step.row_version)
        if step.step_id in self.steps:
            # Two runs of a step with one owner row would each store results of their own.
            obstacle = "it runs already"
        if obstacle is not None:
            log.info("step not started", step=step.step_id, reason=obstacle)
            return
        self.steps[step.step_id] = step
        step.certain_software = self.directory.certain_software
        step.update_ranks(TOKENS_PER_EVENT)
        self.start_task(self.result_writer.write_results, step)
        self.start_task(self.result_writer.save_progress, step)
        self.start_task(self.step_scorer.score_step, step)
        self.wake()

    def remove_step(self, step: OwnedStep) -> None:
        """Stop running a step that another VM owns."""
        step.lost = True
        step.cancel_runs()
        step.notify()
        if self.steps.get(step.step_id) is step:
            del self.steps[step.step_id]

    def start_task(
        self,
        task: Callable[[Unpack[Arguments]], Coroutine[Any, Any, None]],
        *arguments: *Arguments,
    ) -> None:
        """Start a task whose lifetime is that of the runner, not of a request."""
        assert self.tasks is not None
        self.tasks.start_soon(task, *arguments)

    def handle_lost_ownership(self, step: OwnedStep, conflict: RowConflict) -> None:
        """Stop running a step after a commit conflict that shows another owner or other results.

        A step that this VM still owns is then loaded again from the store.
        """
        self.on_rows(conflict.rows)
        self.remove_step(step)

    def handle_store_regained(self, silence_s: float) -> None:
        """Read the state of all active steps, as the store answers again.

        The feeds may be late: a call of theirs that was sent before the store could be reached
        again lasts until its timeout. The steps go on meanwhile, as the store may be lost again.

        Args:
            silence_s: Time for which the store did not answer this VM, in seconds.
        """
        active = [step for step in self.steps.values() if step.is_active]
        if self.tasks is None or not active:
            return
        log.warning("store was silent", seconds=round(silence_s, 2), steps=len(active))
        for step in active:
            self.tasks.start_soon(self.pause_guard.confirm_ownership, step)

    async def run(self) -> None:
        """Run the placement loop until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                with anyio.move_on_after(PLACEMENT_INTERVAL_S if self.steps else None):
                    await self.changed.wait()
                self.changed = anyio.Event()
                if not self.steps:
                    self.stats_registry.limits.record_backlogs({})
                    self.pause_guard.detector.reset()
                    continue
                self.pause_guard.check_for_pause(self.steps.values(), tasks)
                if not self.leaving:
                    began_s = anyio.current_time()
                    self.run_placement()
                    await anyio.sleep(delay_after_pass(anyio.current_time() - began_s))

    def run_placement(self) -> None:
        """Start waiting samples, and move running samples to better targets."""
        now_s = anyio.current_time()
        table = self.table()
        active = [step for step in self.steps.values() if step.can_start]
        if table is None or not active:
            return
        self.placer.place(self.routed_steps(table, active, now_s), now_s)

    def routed_steps(
        self, table: RoutingTable, steps: list[OwnedStep], now_s: float
    ) -> list[RoutedStep]:
        """Return steps with their routes; give up those that expired or have no route.

        A configuration that may be outdated does not say that a step's route was removed: the VM
        that accepted the step may have had a newer one. It must be newer than the owner row, by the
        store's versions, which no delay or clock affects.
        """
        routed = []
        for step in steps:
            route = table.match(step.record.host, step.record.path)
            if route is None or route.kind is not RouteKind.ROLLOUT or not route.shares:
                is_newer = self.configuration_version() >= step.row_version
                if is_newer and self.is_configuration_current():
                    self.give_up_step(step, "no rollout route matches the step any more")
                continue
            if route.step_expiry_s and now_s - step.accepted_s > route.step_expiry_s:
                self.give_up_step(step, "the step expired")
                continue
            if not self.update_team(step, route, table):
                continue
            routed.append(RoutedStep(step, route))
        return routed

    def update_team(self, step: OwnedStep, route: Route, table: RoutingTable) -> bool:
        """Update a step's team by the configuration; return whether the team is known."""
        has_waited = step.waits_for_team
        step.update_team(route, table)
        if step.waits_for_team and not has_waited:
            key = loggable_digest(KeyDigest(step.submitter.key_digest))
            log.warning("step waits for its team", step=step.step_id, key=key)
        return not step.waits_for_team

    def give_up_step(self, step: OwnedStep, reason: str) -> None:
        """Record every unfinished sample of a step as given up."""
        log.warning("step given up", step=step.step_id, reason=reason)
        step.cancel_runs()
        for sample_id in step.samples:
            step.add_result(SampleResult(sample_id, SampleState.GIVEN_UP))

    def start_sample(self, placement: Placement, route: Route) -> None:
        """Start a sample on the target that the placement chose."""
        step = self.steps[placement.step_id]
        replica = self.directory.entries.get(placement.target_id)
        if replica is None:
            return
        sample = step.samples[placement.sample_id]
        rank = step.ranks[sample.sample_id]
        assignment = SampleAssignment(
            step=step.step,
            sample=sample,
            host=step.record.host,
            replica=replica,
            remaining_s=self.remaining_s(step, route),
            priority=SPARE_PRIORITY if rank.is_spare else REQUIRED_PRIORITY,
            single_version=route.single_version,
            is_wanted=lambda: self.may_send(step),
            team=step.team,
            has_teams=step.has_teams,
        )
        stats = self.stats_registry.for_replica(replica)
        now_s = anyio.current_time()
        self.stats_registry.limits.record_demand(replica.service, now_s, is_live=False)
        run = SampleRun(
            replica.target_id,
            anyio.CancelScope(),
            load=stats.load(now_s),
            event_interval_s=stats.recent_event_interval_s(now_s),
            version=self.view.versions(replica).get(step.step.model, 0),
        )
        step.running[sample.sample_id] = run
        step.resume_wait_began_s.pop(sample.sample_id, None)
        step.move_goals.pop(sample.sample_id, None)
        self.start_task(self.run_sample, step, assignment, run, route.attempts)

    def remaining_s(self, step: OwnedStep, route: Route) -> float:
        """Return the time that a target is given for a sample of the step, in seconds."""
        if not route.step_expiry_s:
            return DEFAULT_RUN_TIMEOUT_S
        return max(1.0, step.accepted_s + route.step_expiry_s - anyio.current_time())

    def move_sample(self, move: Placement) -> None:
        """Cancel a sample's run; the next placement resumes the sample on the better target.

        If that target has no free slot any more, the placement chooses another one, mostly the
        one that the sample left.
        """
        step = self.steps[move.step_id]
        run = step.running[move.sample_id]
        run.goal = move.target_id
        log.info(
            "sample moved",
            step=move.step_id,
            sample=move.sample_id,
            source=run.target_id,
            goal=move.target_id,
        )
        run.scope.cancel()

    async def run_sample(
        self, step: OwnedStep, assignment: SampleAssignment, run: SampleRun, max_attempts: int
    ) -> None:
        """Run a sample on a target and apply the outcome of the run."""
        sample_id = assignment.sample.sample_id
        progress = step.get_progress(sample_id)
        began_s, events_before = anyio.current_time(), len(progress.events)
        self.stats_registry.for_replica(assignment.replica).record_prompt(
            assignment.sample.prompt_id
        )
        outcome = SampleRunOutcome(SampleEnd.INTERRUPTED, CANCELLED_RUN_REASON)
        try:
            with run.scope:
                outcome = await self.sample_runner.run(assignment, progress)
        except Exception:
            outcome = SampleRunOutcome(SampleEnd.INTERRUPTED, "internal error")
            log.exception("sample run failed by a fault", step=step.step_id, sample=sample_id)
        finally:
            if step.running.get(sample_id) is run:
                del step.running[sample_id]
                if run.goal is not None:
                    step.move_goals[sample_id] = run.goal
                step.notify()
        log.info(
            "sample run ended",
            step=step.step_id,
            sample=sample_id,
            target=assignment.replica.target_id,
            end=outcome.end.value,
            reason=outcome.reason,
            events=len(progress.events),
            resumed_at=events_before,
            took_s=round(anyio.current_time() - began_s, 3),
            load=round(run.load, 1),
            pace_ms=round(run.event_interval_s * 1000, 1),
            version=run.version,
            software=assignment.replica.software_version,
        )
        # A run without events leaves the version of the stream that an earlier target sent.
        if progress.current_version is not None and len(progress.events) > events_before:
            self.view.record_version(
                assignment.replica.target_id, step.step.model, progress.current_version
            )
        if not step.ended and not step.lost:
            self.apply_outcome(step, assignment, outcome, max_attempts)
        self.wake()

    def apply_outcome(
        self,
        step: OwnedStep,
        assignment: SampleAssignment,
        outcome: SampleRunOutcome,
        max_attempts: int,
    ) -> None:
        """Record a sample's result, or schedule its retry, after the end of a run."""
        sample_id = assignment.sample.sample_id
        now_s = anyio.current_time()
        if outcome.end is SampleEnd.COMPLETE:
            step.add_complete_text(sample_id)
            self.start_task(self.step_scorer.score_step, step)
        elif outcome.end is SampleEnd.UNPROCESSABLE:
            step.get_attempts(sample_id).is_impossible = True
            step.give_up_failed_samples(max_attempts)
        elif outcome.end is SampleEnd.FAILED:
            step.get_attempts(sample_id).failures += 1
            step.give_up_failed_samples(max_attempts)
            # The next run waits until the store has the count.
            step.retry_not_before_s[sample_id] = math.inf
            self.start_task(self.save_failure, step, sample_id)
        elif outcome.end is SampleEnd.VERSION_TOO_OLD:
            self.stats_registry.for_replica(assignment.replica).record_rejection(
                now_s, FAILED_BACKOFF_S
            )
        elif outcome.reason != CANCELLED_RUN_REASON:
            step.retry_not_before_s[sample_id] = now_s + self.interrupted_backoff_s(step, sample_id)
        target_version = rejected_version(outcome)
        if target_version is not None:
            log.info(
                "target is behind", target=assignment.replica.target_id, version=target_version
            )

    def save_attempts_soon(self, step: OwnedStep) -> None:
        """Save the counts of attempts in a task of their own."""
        self.start_task(self.result_writer.save_attempts, step)

    async def save_failure(self, step: OwnedStep, sample_id: str) -> None:
        """Save the counts after a failed run, then let the sample run again after a delay."""
        retry_at_s = anyio.current_time() + FAILED_BACKOFF_S
        try:
            await self.result_writer.save_attempts(step)
        finally:
            step.retry_not_before_s[sample_id] = retry_at_s
            self.wake()

    def interrupted_backoff_s(self, step: OwnedStep, sample_id: str) -> float:
        """Return the delay before an interrupted sample runs again, in seconds.

        It grows with the interruptions without any progress between them, while engines crash in
        series, and stays short enough for the sample to run soon after they are calm.
        """
        event_count = len(step.progress[sample_id].events)
        interruptions = step.get_attempts(sample_id).record_interruption(event_count)
        growth = 2.0 ** min(interruptions, MAX_COUNTED_INTERRUPTIONS)
        return self.generator.random() * MAX_INTERRUPTED_BACKOFF_S * growth

    def may_send(self, step: OwnedStep) -> bool:
        """Return whether this VM may send requests of a step; detects a pause that just ended."""
        assert self.tasks is not None
        self.pause_guard.check_for_pause(self.steps.values(), self.tasks)
        return step.can_start

    async def end_step(self, step: OwnedStep, carryover_part: str) -> None:
        """Stop a step that its trainer ended, and save text for the trainer's next step.

        Args:
            step: Step that was ended.
            carryover_part: Part of the progress table for text of the same trainer's next step.
        """
        if step.ended or step.lost:
            return
        step.ended = True
        step.ended_at_s = anyio.current_time()
        step.cancel_runs()
        slices = step.carryover_slices()
        step.notify()
        log.info("step ended", step=step.step_id, listed=len(step.listed), carried=len(slices))
        try:
            await delete_progress(self.records, carryover_part)
            await self.records.save_progress(carryover_part, slices)
            await delete_progress(self.records, step.step_id)
        except (PlatformError, ProtocolError) as error:
            log.warning("text not kept", step=step.step_id, reason=str(error))

    async def stop_step(self, step: OwnedStep) -> None:
        """Cancel all runs of a step and wait until they have ended."""
        step.handing_over = True
        step.cancel_runs()
        while step.running or step.scoring:
            changed = step.changed
            await changed.wait()
