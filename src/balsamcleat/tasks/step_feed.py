"""Tracks all steps from the change feed, and takes over steps whose owner is dead."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

import anyio
import structlog
import xxhash

from balsamcleat.decisions.takeover_backoff import TakeoverBackoff
from balsamcleat.decisions.vm_watch import VmFailureDetector, VmRow
from balsamcleat.errors import BalsamcleatError
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowChange
from balsamcleat.tasks.rollout_records import (
    OwnerRecord,
    decode_owner,
    is_end_key,
    is_owner_key,
)
from balsamcleat.tasks.table_follower import TableObserver, guard_row

__all__ = ["KnownStep", "StepFeed", "TakeoverOutcome"]

CHECK_INTERVAL_S = 0.2
# Delay between two VMs in the order in which they try to take over a step.
TAKEOVER_STAGGER_S = 0.25
# The VMs that would take over a step first ask its owner once it was silent for this long, so that
# they know its answer by the time at which it counts as dead.
OWNER_SUSPECTED_AFTER_S = 0.9
ASKING_VMS = 2
# Answers older than this are not used.
OWNER_ANSWER_LIFETIME_S = 1.2

log = structlog.get_logger()


class TakeoverOutcome(Enum):
    """Outcome of a try to take over a step."""

    STARTED = "started"
    # Another VM, or this VM by a commit whose answer was lost, has written the owner row.
    CLAIMED = "claimed"
    # All results are listed, so that there is nothing to run.
    COMPLETE = "complete"
    FAILED = "failed"


@dataclass(slots=True)
class KnownStep:
    """A step as known from the change feed.

    Attributes:
        owner: Record of the step's owner.
        row_version: Version of the owner row.
        learned_at_reading: Number of reads of the VM rows that had begun when this VM learned of
            the owner. An owner that has just started may be missing from all of them.
        ended: Whether the trainer ended the step.
        orphaned_at_s: Time at which the owner was found dead, on the process clock, in seconds;
            None while the owner is alive.
        is_asking_owner: Whether this VM waits for the owner's answer.
        owner_asked_at_s: Time of the last answer, or of its absence, on the process clock.
        does_owner_answer: Whether the owner answered then, and reaches the store.
    """

    owner: OwnerRecord
    row_version: int
    learned_at_reading: int
    ended: bool = False
    orphaned_at_s: float | None = None
    is_asking_owner: bool = False
    owner_asked_at_s: float = float("-inf")
    does_owner_answer: bool = False


class StepFeed(TableObserver):
    """Tracks the steps and their owners in the steps table.

    Args:
        vm: Name of this VM.
        boot: Identifier of this start of the VM's process.
        failure_detector: Failure detector of the VMs.
        store_now_ms: Returns the time on the store's clock, in milliseconds; None before the
            store's first answer.
        take_over: Takes over a step.
        is_running: Returns whether this VM runs a step or is about to start it.
        on_ended: Called with each step that was ended.
        on_owner_changed: Called with each step whose owner row changed.
        is_process_running: Asks a VM whether its process runs and reaches the store.
    """

    def __init__(
        self,
        vm: str,
        boot: str,
        failure_detector: VmFailureDetector,
        store_now_ms: Callable[[], int | None],
        take_over: Callable[[StepId, KnownStep], Awaitable[TakeoverOutcome]],
        is_running: Callable[[StepId], bool],
        on_ended: Callable[[StepId], None],
        on_owner_changed: Callable[[StepId, KnownStep], None],
        is_process_running: Callable[[VmRow], Awaitable[bool]],
    ) -> None:
        self.vm = vm
        self.boot = boot
        self.failure_detector = failure_detector
        self.store_now_ms = store_now_ms
        self.take_over = take_over
        self.is_running = is_running
        self.on_ended = on_ended
        self.on_owner_changed = on_owner_changed
        self.is_process_running = is_process_running
        self.steps: dict[StepId, KnownStep] = {}
        self.ended_before_known: set[StepId] = set()
        # Steps of which all results are listed, so that they need no VM that runs them.
        self.complete_steps: set[StepId] = set()
        self.takeover_backoff = TakeoverBackoff()
        self.changed_event = anyio.Event()
        self.accepting = True

    def apply_row(self, row: RowChange) -> None:
        """Apply a changed owner row or end row."""
        step_id = StepId(row.key.part)
        if row.value is None:
            self.forget(step_id)
        elif is_owner_key(row.key):
            self.apply_owner_row(step_id, row)
        elif is_end_key(row.key):
            self.apply_end_row(step_id)

    def on_snapshot(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Handle all rows of the table; steps that were deleted in a gap of the feed are forgotten.

        Else a VM would try again and again to take over an open step that is gone.
        """
        present = {StepId(row.key.part) for row in rows if is_owner_key(row.key)}
        for step_id in self.steps.keys() - present:
            self.forget_deleted(step_id, version)
        super().on_snapshot(rows, version)

    def forget_deleted(self, step_id: StepId, version: int) -> None:
        """Forget a step that the store did not have as of a version of the store."""
        known = self.steps.get(step_id)
        if known is not None and known.row_version <= version:
            self.forget(step_id)

    def forget(self, step_id: StepId) -> None:
        """Forget a step that the store does not have any more."""
        self.steps.pop(step_id, None)
        self.ended_before_known.discard(step_id)
        self.complete_steps.discard(step_id)
        self.takeover_backoff.forget(step_id)

    def on_rows_applied(self) -> None:
        """Wake the task that takes over steps."""
        self.changed_event.set()
        self.changed_event = anyio.Event()

    def on_store_recovered(self) -> None:
        """Try steps again at once that could not be loaded during the outage."""
        self.takeover_backoff.end_delays()

    def apply_owner_row(self, step_id: StepId, row: RowChange) -> None:
        """Record a step's owner, unless a newer owner row is known already."""
        owner = decode_owner(row)
        known = self.steps.get(step_id)
        if owner is None or (known is not None and known.row_version >= row.version):
            return
        ended = step_id in self.ended_before_known or (known is not None and known.ended)
        self.steps[step_id] = known = KnownStep(
            owner, row.version, self.failure_detector.started_reads, ended
        )
        log.info("step owner", step=step_id, owner=owner.vm, row_version=row.version)
        self.on_owner_changed(step_id, known)

    def apply_rows(self, rows: tuple[RowChange, ...]) -> None:
        """Apply rows from a read or a commit conflict, possibly before the feed delivers them."""
        for row in rows:
            if row.value is not None:
                guard_row(self.apply_row, row)

    def apply_end_row(self, step_id: StepId) -> None:
        """Record that a step was ended, possibly before its owner row is known."""
        known = self.steps.get(step_id)
        if known is None:
            self.ended_before_known.add(step_id)
        else:
            known.ended = True
        self.on_ended(step_id)

    async def run(self) -> None:
        """Take over steps whose owner is dead, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                with anyio.move_on_after(CHECK_INTERVAL_S):
                    await self.changed_event.wait()
                for step_id, known in self.newest_first():
                    if self.accepting and self.should_ask_owner(step_id, known):
                        known.is_asking_owner = True
                        tasks.start_soon(self.ask_owner, known)
                    if self.accepting and self.should_take_over(step_id, known):
                        await self.try_take_over(step_id, known)

    def newest_first(self) -> list[tuple[StepId, KnownStep]]:
        """Return the known steps in the order in which they are taken over.

        Old steps that their trainers never ended must not hold up those that a trainer waits for.
        """
        return sorted(self.steps.items(), key=lambda item: -item[1].owner.accepted_ms)

    def should_ask_owner(self, step_id: StepId, known: KnownStep) -> bool:
        """Return whether this VM should ask a step's owner, which is silent, how it fares."""
        if known.ended or known.is_asking_owner or not known.owner.vm:
            return False
        if self.failure_detector.unchanged_s(known.owner.vm) < OWNER_SUSPECTED_AFTER_S:
            return False
        return known.owner.vm != self.vm and self.takeover_rank(step_id) < ASKING_VMS

    def should_take_over(self, step_id: StepId, known: KnownStep) -> bool:
        """Return whether this VM should take over a step now; an open one is never too old."""
        if known.ended or self.store_now_ms() is None or step_id in self.complete_steps:
            return False
        if self.takeover_backoff.is_waiting(step_id, anyio.current_time()):
            return False
        owner = known.owner
        if (owner.vm, owner.boot) == (self.vm, self.boot):
            # This VM owns the step. It is not running if the response to the owner commit was lost.
            return not self.is_running(step_id)
        if owner.vm and not self.is_owner_dead(known):
            known.orphaned_at_s = None
            return False
        now_s = anyio.current_time()
        if known.orphaned_at_s is None:
            known.orphaned_at_s = now_s
            log.warning(
                "step without owner",
                step=step_id,
                owner=owner.vm,
                silence_s=round(self.failure_detector.unchanged_s(owner.vm), 2),
                row_version=known.row_version,
            )
        return now_s - known.orphaned_at_s >= self.takeover_rank(step_id) * TAKEOVER_STAGGER_S

    def is_owner_dead(self, known: KnownStep) -> bool:
        """Return whether a step's owner is dead according to a read begun after it was learned."""
        owner = known.owner
        if not self.failure_detector.has_read_since(known.learned_at_reading):
            return False
        return self.failure_detector.is_dead(owner.vm, owner.boot)

    def find_obstacle(self, step_id: StepId, row_version: int) -> str | None:
        """Return why this VM must not run a step, or None if nothing is known against it.

        Args:
            step_id: Id of the step.
            row_version: Version of the owner row by which this VM owns the step.
        """
        known = self.steps.get(step_id)
        if step_id in self.ended_before_known or (known is not None and known.ended):
            return "the step was ended"
        if known is None or known.row_version <= row_version:
            return None
        if (known.owner.vm, known.owner.boot) == (self.vm, self.boot):
            return "this VM owns the step by a newer row"
        return f"{known.owner.vm or 'nobody'} owns the step"

    def takeover_rank(self, step_id: StepId) -> int:
        """Return this VM's rank, by hash, among the live VMs that may take over a step."""
        names = {row.vm for row in self.failure_detector.live_rows()} | {self.vm}
        order = sorted(names, key=lambda vm: xxhash.xxh3_64_intdigest(f"{step_id}/{vm}".encode()))
        return order.index(self.vm)

    async def ask_owner(self, known: KnownStep) -> None:
        """Ask a step's owner whether it runs and reaches the store, and record its answer."""
        owner = known.owner
        row = self.failure_detector.silent_process(owner.vm, owner.boot)
        known.does_owner_answer = (
            row is not None and bool(row.address) and await self.is_process_running(row)
        )
        known.owner_asked_at_s = anyio.current_time()
        known.is_asking_owner = False

    async def is_owner_only_silent(self, known: KnownStep) -> bool:
        """Return whether a step's owner is late with its heartbeats, but answers this VM."""
        if not known.owner.vm or known.owner.vm == self.vm:
            return False
        if anyio.current_time() - known.owner_asked_at_s > OWNER_ANSWER_LIFETIME_S:
            await self.ask_owner(known)
        return known.does_owner_answer

    async def try_take_over(self, step_id: StepId, known: KnownStep) -> None:
        """Take over a step; after a failure, wait for this VM's rank again before the next try."""
        if await self.is_owner_only_silent(known):
            known.orphaned_at_s = None
            log.info("step left to its silent owner", step=step_id, owner=known.owner.vm)
            return
        # The owner's answer takes a while, in which the step or this VM may have changed.
        if not self.accepting or self.steps.get(step_id) is not known or known.ended:
            return
        outcome = TakeoverOutcome.FAILED
        try:
            outcome = await self.take_over(step_id, known)
        except BalsamcleatError as error:
            # Rows that can't be read raise other errors than a store that fails.
            log.warning("step not taken over", step=step_id, reason=str(error))
            known.orphaned_at_s = anyio.current_time()
        self.record_outcome(step_id, outcome)

    def record_outcome(self, step_id: StepId, outcome: TakeoverOutcome) -> None:
        """Record the outcome of a try to take over a step."""
        if outcome is TakeoverOutcome.FAILED:
            self.takeover_backoff.record_failure(step_id, anyio.current_time())
            return
        self.takeover_backoff.forget(step_id)
        if outcome is TakeoverOutcome.COMPLETE:
            self.complete_steps.add(step_id)
