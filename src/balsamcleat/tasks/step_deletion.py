"""Deletion of the rows of steps, and of a whole step by what the store says in the same call."""

from dataclasses import dataclass

import structlog

from balsamcleat.model import StepId
from balsamcleat.ports.rows import (
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowPage,
    RowWrite,
)
from balsamcleat.tasks.rollout_records import (
    BODIES_TABLE,
    PROGRESS_TABLE,
    RESULTS_TABLE,
    OwnerRecord,
    RolloutRecords,
    decode_owner,
    is_end_key,
    is_owner_key,
)
from balsamcleat.tasks.row_pages import next_page_start

__all__ = ["STEP_RETENTION_MARGIN_S", "StepDeletion", "delete_progress"]

# Added to the time for which results stay readable, for requests that are already in flight.
STEP_RETENTION_MARGIN_S = 60.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class StepState:
    """State of a step as of one moment of the store.

    Attributes:
        owner: Owner record, or None if there is no owner row or it can't be read.
        owner_row: Owner row, or None if the step does not exist.
        end_row: End row, or None if the step is open.
        store_ms: Time of the store's clock, in milliseconds.
    """

    owner: OwnerRecord | None
    owner_row: RowChange | None
    end_row: RowChange | None
    store_ms: int

    @classmethod
    def from_page(cls, page: RowPage) -> "StepState":
        """Return the state in the store's answer to a read of a step's state rows."""
        owner_row = next((row for row in page.rows if is_owner_key(row.key)), None)
        end_row = next((row for row in page.rows if is_end_key(row.key)), None)
        owner = None if owner_row is None else decode_owner(owner_row)
        return cls(owner, owner_row, end_row, page.store_ms)

    def expected(self) -> tuple[tuple[RowKey, int], ...]:
        """Return the condition that the state has not changed."""
        rows = [row for row in (self.owner_row, self.end_row) if row is not None]
        return tuple((row.key, row.version) for row in rows)


class StepDeletion:
    """Deletes steps that were ended and whose results need not be readable any more.

    Every commit is conditional on the state rows on which the decision rests. One that the store
    performs late thus deletes nothing of a step that changed since, or was submitted again.

    Args:
        records: Records of steps in the row store.
        retention_s: Time after its submission for which a step's results stay readable, in
            seconds.
    """

    def __init__(self, records: RolloutRecords, retention_s: float) -> None:
        self.records = records
        self.retention_s = retention_s

    async def delete(self, step_id: StepId) -> int | None:
        """Delete a step if the store's answer to this call shows that it is expired.

        Returns:
            The version of the store as of which the step does not exist, or None if it did.

        Raises:
            PlatformError: The store did not answer; some rows may be deleted, now or later.
        """
        page = await self.records.state_page(step_id)
        state = StepState.from_page(page)
        reason = self.find_obstacle(state)
        if reason is None:
            reason = await self.delete_rows(step_id, state)
        if reason is not None:
            log_kept(step_id, state, reason)
        return page.version if state.owner_row is None else None

    def find_obstacle(self, state: StepState) -> str | None:
        """Return why a step must not be deleted, or None if it is expired."""
        if state.owner_row is None:
            return "no owner row in the store"
        if state.owner is None:
            return "the owner row can't be read"
        if state.end_row is None:
            return "the step is open"
        retention_ms = (self.retention_s + STEP_RETENTION_MARGIN_S) * 1000
        if state.owner.accepted_ms + retention_ms > state.store_ms:
            return "the step is retained"
        return None

    async def delete_rows(self, step_id: StepId, state: StepState) -> str | None:
        """Delete all rows of an expired step; return why that ended early, or None.

        The state rows go last and together: as long as other rows are there, the step is found
        again, and its deletion completed.
        """
        expected = state.expected()
        count = 0
        for table in (PROGRESS_TABLE, RESULTS_TABLE, BODIES_TABLE):
            deleted = await delete_part(self.records, table, step_id, expected)
            if deleted is None:
                return "it changed while it was deleted"
            count += deleted
        writes = tuple(RowWrite(key, None) for key, _ in expected)
        outcome = await self.records.store.commit(RowCommit(writes, expected))
        if isinstance(outcome, RowConflict):
            return "it changed while it was deleted"
        assert state.owner is not None
        assert state.owner_row is not None
        log.info(
            "step deleted",
            step=step_id,
            rows=count + len(writes),
            owner=state.owner.vm,
            row_version=state.owner_row.version,
            accepted_ms=state.owner.accepted_ms,
            store_ms=state.store_ms,
        )
        return None


def log_kept(step_id: StepId, state: StepState, reason: str) -> None:
    """Log that a step is not deleted, with what the store said of it."""
    log.warning(
        "step not deleted",
        step=step_id,
        reason=reason,
        row_version=None if state.owner_row is None else state.owner_row.version,
        accepted_ms=None if state.owner is None else state.owner.accepted_ms,
        store_ms=state.store_ms,
    )


async def delete_progress(records: RolloutRecords, part: str) -> None:
    """Delete the progress saved in a part.

    A deletion that the store performs late may delete newer text, which costs time only.

    Raises:
        PlatformError: The store did not answer; some rows may be deleted, now or later.
    """
    rows = await delete_part(records, PROGRESS_TABLE, part)
    if rows:
        log.info("text deleted", part=part, rows=rows)


async def delete_part(
    records: RolloutRecords,
    table: str,
    part: str,
    expected: tuple[tuple[RowKey, int], ...] = (),
) -> int | None:
    """Delete all rows of a part.

    Args:
        records: Records of steps in the row store.
        table: Table of the rows.
        part: Part of the rows.
        expected: Rows, with their versions, on which each commit is conditional.

    Returns:
        The number of deleted rows, or None if a condition did not hold; not all rows are deleted
        then.

    Raises:
        PlatformError: The store did not answer; some rows may be deleted, now or later.
    """
    count = 0
    more = True
    while more:
        page = await records.store.read(table, part)
        writes = [RowWrite(row.key, None) for row in page.rows]
        for group in records.split_writes(writes):
            if not group:
                continue
            outcome = await records.store.commit(RowCommit(group, expected))
            if isinstance(outcome, RowConflict):
                return None
        count += len(writes)
        more = next_page_start(page) is not None
    return count
