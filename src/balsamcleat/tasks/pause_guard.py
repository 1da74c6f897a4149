"""Confirmation of step ownership with the row store after a pause or an outage."""

import random
from collections.abc import Callable, Iterable

import anyio
import anyio.abc
import structlog

from balsamcleat.decisions.pause_detector import PauseDetector
from balsamcleat.errors import PlatformError
from balsamcleat.ports.rows import RowChange
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.rollout_records import RolloutRecords, is_end_key

__all__ = ["PauseGuard"]

# Mean interval between two reads of an unconfirmed step's state, in seconds, before jitter.
RETRY_INTERVAL_S = 0.2

log = structlog.get_logger()


class PauseGuard:
    """Suspends the steps of this VM after a pause until the store has confirmed their state.

    During a pause, other VMs may have ended the steps or taken them over, so no sample is started
    before the store has been asked. After an outage of the store, the steps are confirmed without
    a suspension.

    Args:
        records: Rows of steps in the row store.
        clock: Returns local time in seconds, including time in which the VM was suspended.
        generator: Draws the jitter of retries.
    """

    def __init__(
        self, records: RolloutRecords, clock: Callable[[], float], generator: random.Random
    ) -> None:
        self.records = records
        self.clock = clock
        self.generator = generator
        self.detector = PauseDetector()
        # Receives the rows of a step: its owner and, if the step was ended, its end.
        self.on_rows: Callable[[tuple[RowChange, ...]], None] = lambda _: None
        # Called when the state of a step is known, so that its samples may start again.
        self.on_confirmed: Callable[[], None] = lambda: None

    def check_for_pause(self, steps: Iterable[OwnedStep], tasks: anyio.abc.TaskGroup) -> None:
        """Check the clock for a pause; after one, suspend all active steps and confirm them."""
        paused_s = self.detector.measure_pause(self.clock())
        if not paused_s:
            return
        unconfirmed = [step for step in steps if step.is_active and not step.unconfirmed]
        log.warning("process was paused", seconds=round(paused_s, 2), steps=len(unconfirmed))
        for step in unconfirmed:
            step.unconfirmed = True
            tasks.start_soon(self.confirm_ownership, step)

    async def confirm_ownership(self, step: OwnedStep) -> None:
        """Read a step's state until the store answers; a step that was ended stays suspended."""
        while step.is_active:
            try:
                rows = await self.records.state(step.step_id)
            except PlatformError as error:
                log.warning("step not confirmed yet", step=step.step_id, reason=str(error))
                await anyio.sleep(RETRY_INTERVAL_S * (0.5 + self.generator.random()))
                continue
            self.on_rows(rows)
            step.unconfirmed = any(is_end_key(row.key) for row in rows)
            log.info("step confirmed", step=step.step_id, ended=step.unconfirmed, lost=step.lost)
            self.on_confirmed()
            return
