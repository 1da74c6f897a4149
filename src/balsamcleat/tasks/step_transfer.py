"""Transfers steps between VMs: takes over orphaned steps, hands over steps on shutdown."""

from collections.abc import Callable

import anyio
import anyio.abc
import msgspec
import structlog

from balsamcleat.errors import PlatformError
from balsamcleat.model import StepId
from balsamcleat.model.routing import RoutingTable
from balsamcleat.platform import decode_step
from balsamcleat.ports.rows import RowConflict
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.rollout_records import OwnerRecord, RolloutRecords, has_owner
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.step_feed import KnownStep, TakeoverOutcome
from balsamcleat.tasks.submission_handler import carryover_part

__all__ = ["StepTransfer"]

log = structlog.get_logger()


class StepTransfer:
    """Transfers steps between VMs by conditional writes of the owner row.

    Args:
        vm: Name of this VM.
        boot: Identifier of this start of the VM's process.
        records: Records of steps in the row store.
        runner: Runs the steps that this VM owns.
        table: Returns the routing table in force, or None before there is one.
    """

    def __init__(
        self,
        vm: str,
        boot: str,
        records: RolloutRecords,
        runner: RolloutRunner,
        table: Callable[[], RoutingTable | None],
    ) -> None:
        self.vm = vm
        self.boot = boot
        self.records = records
        self.runner = runner
        self.table = table

    def handle_step_ended(self, step_id: StepId, tasks: anyio.abc.TaskGroup | None) -> None:
        """Stop a step that was ended, if this VM owns it."""
        step = self.runner.steps.get(step_id)
        if step is not None and tasks is not None:
            tasks.start_soon(
                self.runner.end_step,
                step,
                carryover_part(step.record.host, step.record.path, step.record.team),
            )

    def handle_owner_change(self, step_id: StepId, known: KnownStep) -> None:
        """Stop running a step whose owner row names another VM."""
        step = self.runner.steps.get(step_id)
        is_own = (known.owner.vm, known.owner.boot) == (self.vm, self.boot)
        if step is not None and not is_own and known.row_version > step.row_version:
            log.warning("step taken by another VM", step=step_id, owner=known.owner.vm)
            self.runner.remove_step(step)

    async def take_over(self, step_id: StepId, known: KnownStep) -> TakeoverOutcome:
        """Become the owner of a step and run its unfinished samples.

        The owner row is written even if it names this VM already. Its version is the fencing token
        of this run: commits of an earlier run, which the store may perform late, are refused.

        Raises:
            PlatformError: The store failed; the owner row may be written, now or later.
            ProtocolError: A record of the step is unreadable.
        """
        previous = known.owner
        record = previous.with_owner(self.vm, self.boot)
        outcome = await self.records.replace_owner(step_id, record, known.row_version)
        if isinstance(outcome, RowConflict):
            log.info("step claimed by another VM", step=step_id)
            # The row may be this VM's own, of a commit whose answer was lost.
            self.runner.on_rows(outcome.rows)
            return TakeoverOutcome.CLAIMED
        owned = await self.load_step(step_id, record, outcome.version)
        if owned is None:
            log.error("step without submission", step=step_id)
            return TakeoverOutcome.FAILED
        # Reading the records takes a while. An end or another owner since then may be unknown to
        # the feed still, so the state is read last.
        page = await self.records.state_page(step_id)
        self.runner.on_rows(page.rows)
        if not has_owner(page.rows):
            log.info("step not started", step=step_id, reason="the step was deleted")
            return TakeoverOutcome.FAILED
        # By its age, samples are given up for good, so an estimate of the store's time won't do.
        age_s = max(0.0, (page.store_ms - record.accepted_ms) / 1000)
        owned.accepted_s = anyio.current_time() - age_s
        log.info(
            "step taken over",
            step=step_id,
            before=previous.vm,
            listed=len(owned.listed),
            at_hand=len(owned.progress),
            age_s=round(age_s, 2),
        )
        if len(owned.listed) == len(owned.samples):
            return TakeoverOutcome.COMPLETE
        self.runner.add_step(owned)
        return TakeoverOutcome.STARTED

    async def load_step(
        self, step_id: StepId, record: OwnerRecord, row_version: int
    ) -> OwnedStep | None:
        """Load a step with its results and progress; return None if its submission is missing.

        The caller sets the time of the step's submission.
        """
        submission = await self.records.submission(step_id)
        if submission is None:
            return None
        submitter = submission.submitter
        owned = OwnedStep(
            step=decode_step(submission.headers, submission.body),
            # A VM of the previous build writes the record without the team.
            record=msgspec.structs.replace(record, team=record.team or submitter.team),
            row_version=row_version,
            accepted_s=anyio.current_time(),
            submitter=submitter,
            listed=list(await self.records.results(step_id, all_pages=True)),
        )
        table = self.table()
        route = table.match(record.host, record.path) if table else None
        single = route is not None and route.single_version
        carryover = carryover_part(record.host, record.path, owned.record.team)
        for part, carried in ((carryover, True), (step_id, False)):
            owned.restore_progress(
                await self.records.load_progress(part), carried=carried, single=single
            )
        if route is not None:
            owned.give_up_failed_samples(route.attempts)
        return owned

    async def hand_over(self) -> None:
        """Save the progress of all owned steps and release them for other VMs to take over."""
        for step in list(self.runner.steps.values()):
            if step.ended or step.lost:
                continue
            try:
                await self.hand_over_step(step)
            except PlatformError as error:
                log.warning("step not handed over", step=step.step_id, reason=str(error))

    async def hand_over_step(self, step: OwnedStep) -> None:
        """Save the progress of one step and release it."""
        await self.runner.stop_step(step)
        await self.runner.result_writer.wait_until_listed(step)
        slices, attempts = step.unsaved_slices(1, is_last=True), step.unsaved_attempts()
        await self.records.save_progress(step.step_id, slices, step.row_version, attempts)
        unowned = step.record.with_owner("", "")
        outcome = await self.records.replace_owner(step.step_id, unowned, step.row_version)
        if isinstance(outcome, RowConflict):
            log.info("step claimed by another VM", step=step.step_id)
        else:
            log.info("step handed over", step=step.step_id, text_of=len(slices))
        self.runner.remove_step(step)
