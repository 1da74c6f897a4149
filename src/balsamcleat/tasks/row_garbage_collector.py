"""Deletion of rows whose retention has ended: those of old steps and of removed VMs."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.vm_watch import VmFailureDetector
from balsamcleat.errors import PlatformError
from balsamcleat.model import StepId
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.step_deletion import STEP_RETENTION_MARGIN_S, StepDeletion
from balsamcleat.tasks.step_feed import KnownStep

__all__ = ["RowGarbageCollector"]

CLEANUP_INTERVAL_S = 10.0
# A VM without a heartbeat for this long has been replaced. One that returns writes its row again.
VM_ROW_RETENTION_S = 600.0
# Bounds the calls of one cleanup when many steps have expired.
MAX_STEPS_PER_CLEANUP = 5

log = structlog.get_logger()


class RowGarbageCollector:
    """Deletes expired rows on one VM at a time, the holder of the order lease.

    Args:
        records: Rows of steps and VMs in the row store.
        steps: Returns the steps known from the feed of the steps table.
        failure_detector: Liveness of the VMs.
        is_active: Returns whether this VM holds the order lease.
        store_now_ms: Returns the time of the store's clock, in milliseconds.
        results_retention_s: Time after its submission for which a step's results stay readable,
            in seconds.
        on_absent: Called with a step of which the store has no owner row, and the version of the
            store as of which that holds.
    """

    def __init__(
        self,
        records: RolloutRecords,
        steps: Callable[[], dict[StepId, KnownStep]],
        failure_detector: VmFailureDetector,
        is_active: Callable[[], bool],
        store_now_ms: Callable[[], int | None],
        results_retention_s: float,
        on_absent: Callable[[StepId, int], None] = lambda step_id, version: None,
    ) -> None:
        self.records = records
        self.steps = steps
        self.failure_detector = failure_detector
        self.is_active = is_active
        self.store_now_ms = store_now_ms
        self.results_retention_s = results_retention_s
        self.on_absent = on_absent

    async def run(self) -> None:
        """Delete expired rows at intervals until cancelled."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            if not self.is_active():
                continue
            try:
                await self.clean_up()
            except PlatformError as error:
                log.warning("cleaning failed", reason=str(error))

    async def clean_up(self) -> None:
        """Delete a few expired steps and the rows of removed VMs."""
        deletion = StepDeletion(self.records, self.results_retention_s)
        for step_id in self.candidates()[:MAX_STEPS_PER_CLEANUP]:
            absent_at_version = await deletion.delete(step_id)
            if absent_at_version is not None:
                self.on_absent(step_id, absent_at_version)
        for vm, sighting in list(self.failure_detector.observations.items()):
            if sighting.unchanged_s < VM_ROW_RETENTION_S:
                continue
            if await self.records.delete_vm(vm, sighting.row.version):
                log.info("VM forgotten", gone=vm, silence_s=round(sighting.unchanged_s, 1))

    def candidates(self) -> list[StepId]:
        """Return the steps whose results are perhaps no longer readable, the oldest first.

        The estimate of the time only saves reads of the store, which decides about each step.
        """
        now_ms = self.store_now_ms()
        if now_ms is None:
            return []
        retention_s = self.results_retention_s + STEP_RETENTION_MARGIN_S
        expired_before_ms = now_ms - retention_s * 1000
        expired = [
            (known.owner.accepted_ms, step_id)
            for step_id, known in self.steps().items()
            if known.ended and known.owner.accepted_ms < expired_before_ms
        ]
        return [step_id for _, step_id in sorted(expired)]
