"""Knows all steps and their owners from the feed, and takes over those whose owner is dead."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import structlog
import xxhash

from balsamcleat.decisions.vm_watch import VmWatch
from balsamcleat.errors import PlatformError, ProtocolError
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowChange
from balsamcleat.tasks.rollout_records import (
    OwnerRecord,
    decode_owner,
    is_end_key,
    is_owner_key,
)
from balsamcleat.tasks.table_follower import TableObserver

__all__ = ["KnownStep", "StepFeed"]

CHECK_INTERVAL_S = 0.2
# The VM that comes next in the order of a step tries first, the others after it.
TAKEOVER_STAGGER_S = 0.25

log = structlog.get_logger()


@dataclass(slots=True)
class KnownStep:
    """A step as the feed tells it.

    Attributes:
        owner: Who runs it.
        row_version: Version of the owner's row.
        learned_at_reading: How many readings of the VMs' rows had begun when its owner was told. An
            owner that has just started may not be in any of them.
        ended: Whether the trainer ended it.
        orphaned_at_s: When its owner was found dead.
    """

    owner: OwnerRecord
    row_version: int
    learned_at_reading: int
    ended: bool = False
    orphaned_at_s: float | None = None


class StepFeed(TableObserver):
    """Follows the steps' table.

    Args:
        vm: This VM.
        boot: This start of its process.
        watch: Which VMs live.
        retention_s: How long after its submission a step matters.
        store_now_ms: Returns the store's clock.
        take: Takes over a step.
        runs: Returns whether this VM runs a step.
        ended: Called with each step that was ended.
        owner_changed: Called with each step whose owner's row changed.
    """

    def __init__(
        self,
        vm: str,
        boot: str,
        watch: VmWatch,
        retention_s: float,
        store_now_ms: Callable[[], int],
        take_over: Callable[[StepId, KnownStep], Awaitable[None]],
        is_running: Callable[[StepId], bool],
        on_ended: Callable[[StepId], None],
        on_owner_changed: Callable[[StepId, KnownStep], None],
    ) -> None:
        self.vm = vm
        self.boot = boot
        self.watch = watch
        self.retention_s = retention_s
        self.store_now_ms = store_now_ms
        self.take_over = take_over
        self.is_running = is_running
        self.on_ended = on_ended
        self.on_owner_changed = on_owner_changed
        self.steps: dict[StepId, KnownStep] = {}
        self.ended_before_known: set[StepId] = set()
        self.changed_event = anyio.Event()
        self.accepting = True

    def on_changes(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Take owners and ends as they were written."""
        for row in rows:
            step_id = StepId(row.key.part)
            if row.value is None:
                self.steps.pop(step_id, None)
            elif is_owner_key(row.key):
                self.apply_owner_row(step_id, row)
            elif is_end_key(row.key):
                self.apply_end_row(step_id)
        self.changed_event.set()
        self.changed_event = anyio.Event()

    def on_store_recovered(self) -> None:
        """Nothing hangs on the time that the store was away."""

    def apply_owner_row(self, step_id: StepId, row: RowChange) -> None:
        """Take who owns a step."""
        owner = decode_owner(row)
        known = self.steps.get(step_id)
        if owner is None or (known is not None and known.row_version >= row.version):
            return
        ended = step_id in self.ended_before_known or (known is not None and known.ended)
        self.steps[step_id] = known = KnownStep(owner, row.version, self.watch.begun, ended)
        log.info("step owner", step=step_id, owner=owner.vm, row_version=row.version)
        self.on_owner_changed(step_id, known)

    def apply_rows(self, rows: tuple[RowChange, ...]) -> None:
        """Take owners and ends that a reading or a conflict told before the feed does."""
        for row in rows:
            if row.value is None:
                continue
            if is_owner_key(row.key):
                self.apply_owner_row(StepId(row.key.part), row)
            elif is_end_key(row.key):
                self.apply_end_row(StepId(row.key.part))

    def apply_end_row(self, step_id: StepId) -> None:
        """Take note that a step was ended."""
        known = self.steps.get(step_id)
        if known is None:
            self.ended_before_known.add(step_id)
        else:
            known.ended = True
        self.on_ended(step_id)

    async def run(self) -> None:
        """Take over steps of dead owners until cancelled."""
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self.changed_event.wait()
            for step_id, known in list(self.steps.items()):
                if self.accepting and self.should_take_over(step_id, known):
                    await self.try_take_over(step_id, known)

    def should_take_over(self, step_id: StepId, known: KnownStep) -> bool:
        """Return whether it is this VM's turn to take a step over."""
        if known.ended or not self.is_retained(known):
            return False
        owner = known.owner
        if (owner.vm, owner.boot) == (self.vm, self.boot):
            # Ours by a commit whose answer was lost, or ours and running.
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
                silence_s=round(self.watch.silence_s(owner.vm), 2),
                row_version=known.row_version,
            )
        return now_s - known.orphaned_at_s >= self.takeover_rank(step_id) * TAKEOVER_STAGGER_S

    def is_owner_dead(self, known: KnownStep) -> bool:
        """Return whether a step's owner is dead by a reading that could show its start."""
        owner = known.owner
        if not self.watch.has_read_since(known.learned_at_reading):
            return False
        return self.watch.is_dead(owner.vm, owner.boot)

    def is_retained(self, known: KnownStep) -> bool:
        """Return whether a step's results are still wanted."""
        return self.store_now_ms() - known.owner.accepted_ms < self.retention_s * 1000

    def takeover_rank(self, step_id: StepId) -> int:
        """Return this VM's place in the order of those that may take a step."""
        names = {row.vm for row in self.watch.living()} | {self.vm}
        order = sorted(names, key=lambda vm: xxhash.xxh3_64_intdigest(f"{step_id}/{vm}".encode()))
        return order.index(self.vm)

    async def try_take_over(self, step_id: StepId, known: KnownStep) -> None:
        """Take a step over; another VM may have been faster."""
        try:
            await self.take_over(step_id, known)
        except (PlatformError, ProtocolError) as error:
            log.warning("step not taken over", step=step_id, reason=str(error))
            known.orphaned_at_s = anyio.current_time()
