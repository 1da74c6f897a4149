"""Deletes what nobody may ask for any more: rows of old steps and of VMs that are gone for good."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.vm_watch import VmWatch
from balsamcleat.errors import PlatformError
from balsamcleat.model import StepId
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.step_feed import KnownStep

__all__ = ["Janitor"]

CLEANUP_INTERVAL_S = 10.0
# Beyond the time that results must stay readable, for calls that are on their way.
STEP_RETENTION_MARGIN_S = 60.0
# A VM that was silent for so long was replaced; one that comes back writes its row anew.
VM_ROW_RETENTION_S = 600.0
# Old steps deleted in one look, so that a backlog takes only a few writes at a time.
MAX_STEPS_PER_CLEANUP = 5

log = structlog.get_logger()


class Janitor:
    """Works at one VM at a time: the one that holds the lease on orders.

    Args:
        records: What is kept of steps.
        steps: Returns the steps known from the feed.
        watch: Which VMs live.
        is_on_duty: Returns whether this VM is the one.
        store_now_ms: Returns the store's clock.
        kept_s: How long after its submission a step's results stay readable.
    """

    def __init__(
        self,
        records: RolloutRecords,
        steps: Callable[[], dict[StepId, KnownStep]],
        watch: VmWatch,
        is_active: Callable[[], bool],
        store_now_ms: Callable[[], int],
        results_retention_s: float,
    ) -> None:
        self.records = records
        self.steps = steps
        self.watch = watch
        self.is_active = is_active
        self.store_now_ms = store_now_ms
        self.results_retention_s = results_retention_s

    async def run(self) -> None:
        """Clean up until cancelled."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_S)
            if not self.is_active():
                continue
            try:
                await self.clean_up()
            except PlatformError as error:
                log.warning("cleaning failed", reason=str(error))

    async def clean_up(self) -> None:
        """Delete a few old steps and the rows of VMs that are gone."""
        for step_id in self.expired_steps()[:MAX_STEPS_PER_CLEANUP]:
            rows = await self.records.delete_step(step_id)
            log.info("step deleted", step=step_id, rows=rows)
        for vm, sighting in list(self.watch.seen.items()):
            if sighting.unchanged_s >= VM_ROW_RETENTION_S:
                await self.records.delete_vm(vm, sighting.row.version)
                log.info("VM forgotten", gone=vm, silence_s=round(sighting.unchanged_s, 1))

    def expired_steps(self) -> list[StepId]:
        """Return the steps that nobody may ask for any more, the oldest first."""
        expired_before_ms = (
            self.store_now_ms() - (self.results_retention_s + STEP_RETENTION_MARGIN_S) * 1000
        )
        expired = [
            (known.owner.accepted_ms, step_id)
            for step_id, known in self.steps().items()
            if known.owner.accepted_ms < expired_before_ms
        ]
        return [step_id for _, step_id in sorted(expired)]
