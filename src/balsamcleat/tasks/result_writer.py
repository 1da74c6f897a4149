"""Stores the results of owned steps and the progress of their running samples."""

import random
from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.sample_progress import ProgressSlice
from balsamcleat.errors import PlatformError, ProtocolError
from balsamcleat.model.rollout import SampleResult
from balsamcleat.ports.rows import RowConflict
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.rollout_records import RolloutRecords, is_owner_key

__all__ = ["ResultWriter"]

# Delay before a commit, so that results finished close together are stored in one commit.
RESULT_BATCH_DELAY_S = 0.03
RESULT_RETRY_S = 0.15
# Interval between saves of progress, and the fewest new events for which a sample is saved. One
# event takes about 40 ms.
PROGRESS_SAVE_INTERVAL_S = 1.0
MIN_EVENTS_SAVED = 12
# A sample that failed waits at most this long for the store before it runs again, in seconds.
ATTEMPTS_SAVE_TIMEOUT_S = 0.5
# A step is handed over with results that are not stored after this time, in seconds.
LAST_RESULTS_TIMEOUT_S = 0.5

log = structlog.get_logger()


class ResultWriter:
    """Stores results and progress of owned steps, conditional on the owner row being unchanged.

    Args:
        records: Records of steps in the row store.
        generator: Random number generator for the jitter of intervals and retries.
        on_lost_ownership: Called with a step and a commit conflict that shows another owner.
        wake: Called after results were stored.
    """

    def __init__(
        self,
        records: RolloutRecords,
        generator: random.Random,
        on_lost_ownership: Callable[[OwnedStep, RowConflict], None],
        wake: Callable[[], None],
    ) -> None:
        self.records = records
        self.generator = generator
        self.on_lost_ownership = on_lost_ownership
        self.wake = wake

    async def write_results(self, step: OwnedStep) -> None:
        """Store finished results in batches until all are stored, or the step was ended or lost."""
        while not step.ended and not step.lost and len(step.listed) < len(step.samples):
            if not step.finished:
                changed = step.changed
                await changed.wait()
                await anyio.sleep(RESULT_BATCH_DELAY_S)
                continue
            count = self.records.count_fitting_one_commit(list(step.finished))
            batch = tuple(step.finished[position] for position in range(count))
            if not await self.write_batch(step, batch):
                return
            self.wake()

    async def save_progress(self, step: OwnedStep) -> None:
        """Save progress of running samples at intervals, to lose little of it if this VM dies."""
        while step.is_active and not step.handing_over:
            await anyio.sleep(PROGRESS_SAVE_INTERVAL_S * (0.8 + 0.4 * self.generator.random()))
            slices = step.unsaved_slices(MIN_EVENTS_SAVED)
            if not step.lost and not step.handing_over:
                await self.save(step, slices)

    async def save_attempts(self, step: OwnedStep) -> None:
        """Save the counts of attempts for the next owner, if the store answers in time."""
        with anyio.move_on_after(ATTEMPTS_SAVE_TIMEOUT_S):
            await self.save(step, {})

    async def save(self, step: OwnedStep, slices: dict[str, ProgressSlice]) -> None:
        """Save slices of text and the counts of attempts that are not saved yet."""
        async with step.attempts_lock:
            attempts = step.unsaved_attempts()
            is_over = step.ended or step.lost
            if is_over or not (slices or attempts):
                return
            try:
                conflict = await self.records.save_progress(
                    step.step_id, slices, step.row_version, attempts
                )
            except PlatformError as error:
                log.warning("text not kept", step=step.step_id, reason=str(error))
                return
            if conflict is None:
                step.mark_saved(slices)
                step.mark_attempts_saved(attempts)
                return
        log.warning("step lost to another VM", step=step.step_id, position=None)
        self.on_lost_ownership(step, conflict)

    async def wait_until_listed(self, step: OwnedStep) -> None:
        """Wait until the finished results of a step are stored, for some time at most."""
        with anyio.move_on_after(LAST_RESULTS_TIMEOUT_S):
            while step.finished and not step.ended and not step.lost:
                changed = step.changed
                await changed.wait()

    async def write_batch(self, step: OwnedStep, batch: tuple[SampleResult, ...]) -> bool:
        """Store a batch of results; return False if another VM owns the step.

        The same commit is repeated until its outcome is known: one whose response was lost may take
        effect later.
        """
        position = len(step.listed)
        while not step.lost:
            try:
                outcome = await self.records.append_results(
                    step.step_id, step.row_version, position, batch
                )
            except PlatformError as error:
                log.warning(
                    "results not listed yet",
                    step=step.step_id,
                    position=position,
                    results=len(batch),
                    reason=str(error),
                )
                await anyio.sleep(RESULT_RETRY_S * (0.5 + self.generator.random()))
                continue
            if isinstance(outcome, RowConflict):
                is_stored = await self.is_batch_stored(step, position, batch, outcome)
                if is_stored is None:
                    continue
                if not is_stored:
                    log.warning("step lost to another VM", step=step.step_id, position=position)
                    self.on_lost_ownership(step, outcome)
                    return False
            step.mark_listed(batch)
            log.info(
                "results listed",
                step=step.step_id,
                position=position,
                results=len(batch),
                row_version=step.row_version,
            )
            return True
        return False

    async def is_batch_stored(
        self,
        step: OwnedStep,
        position: int,
        batch: tuple[SampleResult, ...],
        conflict: RowConflict,
    ) -> bool | None:
        """Return whether an earlier commit of this batch took effect, or None if that is unknown.

        An unchanged owner row does not say whose results are at the position, so they are read.
        """
        if not owns_step(step, conflict):
            return False
        try:
            stored = await self.records.results(step.step_id, position, all_pages=True)
        except (PlatformError, ProtocolError) as error:
            log.warning("results not compared yet", step=step.step_id, reason=str(error))
            await anyio.sleep(RESULT_RETRY_S * (0.5 + self.generator.random()))
            return None
        if stored[: len(batch)] == batch:
            return True
        log.error(
            "other results in the store",
            step=step.step_id,
            position=position,
            results=len(stored),
            row_version=step.row_version,
        )
        return False


def owns_step(step: OwnedStep, conflict: RowConflict) -> bool:
    """Return whether a conflict shows that the owner row of a step is unchanged."""
    return any(
        is_owner_key(row.key) and row.version == step.row_version and row.key.part == step.step_id
        for row in conflict.rows
    )
