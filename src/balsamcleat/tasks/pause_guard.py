"""Has a VM that was paused ask the store about its steps before it starts samples again."""

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

# Between two questions about one step, in seconds, with jitter.
RETRY_INTERVAL_S = 0.2

log = structlog.get_logger()


class PauseGuard:
    """Holds the steps of this VM back after a pause until the store has told their state.

    Args:
        records: What is kept of steps.
        clock: Returns seconds that also count while the machine is suspended.
        generator: Draws the jitter of retries.
    """

    def __init__(
        self, records: RolloutRecords, clock: Callable[[], float], generator: random.Random
    ) -> None:
        self.records = records
        self.clock = clock
        self.generator = generator
        self.detector = PauseDetector()
        # Told what the store says of a step: its owner and whether it was ended.
        self.on_rows: Callable[[tuple[RowChange, ...]], None] = lambda _: None
        # Called when a step turned out to be this VM's still.
        self.on_confirmed: Callable[[], None] = lambda: None

    def check_for_pause(self, steps: Iterable[OwnedStep], tasks: anyio.abc.TaskGroup) -> None:
        """Look at the clock; after a pause, ask about all steps."""
        paused_s = self.detector.look(self.clock())
        if not paused_s:
            return
        unconfirmed = [step for step in steps if step.is_active and not step.unconfirmed]
        log.warning("process was paused", seconds=round(paused_s, 2), steps=len(unconfirmed))
        for step in unconfirmed:
            step.unconfirmed = True
            tasks.start_soon(self.confirm_ownership, step)

    async def confirm_ownership(self, step: OwnedStep) -> None:
        """Ask about a step until the store answers; one that was ended is never started again."""
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
