"""Rows of the leases on duties in the row store."""

from dataclasses import dataclass

import msgspec

from balsamcleat.decisions.duty_lease import DutyLeaseState, StoreTimeBound
from balsamcleat.decoding import decode_json
from balsamcleat.ports.duties import Duty
from balsamcleat.ports.rows import (
    ABSENT_VERSION,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowStore,
    RowWrite,
)
from balsamcleat.tasks.store_clock import StoreClock

__all__ = ["LeaseConflict", "LeaseRow", "LeaseTable", "LeaseWritten"]

LEASES_TABLE = "leases"
LEASES_PART = ""
# Stands for the content of a row that can't be read: its holder may have calls in flight.
UNREADABLE_STATE = DutyLeaseState("unreadable", "", True, 0)


class LeaseRowValue(msgspec.Struct, frozen=True):
    """Value of a lease's row; ``beat`` is a counter that makes every write change the row.

    ``ordering`` and ``last_order_ms`` are named after weight orders, the first duty with a lease;
    VMs of earlier builds read the row of that duty.
    """

    vm: str
    boot: str
    ordering: bool
    last_order_ms: int
    beat: int


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Row of a lease: its content, None if there is no row, and its version."""

    state: DutyLeaseState | None = None
    version: int = ABSENT_VERSION


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """The row was written.

    Attributes:
        version: New version of the row.
        requested_at_s: Time at which the write was requested, on the local clock.
    """

    version: int
    requested_at_s: float


@dataclass(frozen=True, slots=True)
class LeaseConflict:
    """The row had another version and was not written; ``row`` is the current one."""

    row: LeaseRow


class LeaseTable:
    """Reads and writes the rows of leases, and estimates the store's clock from the responses.

    Args:
        store: Row store.
        store_clock: Estimate of the store's clock, which is synchronized with each response.
    """

    def __init__(self, store: RowStore, store_clock: StoreClock) -> None:
        self.store = store
        self.store_clock = store_clock
        self.time_bound = StoreTimeBound()
        self.write_count = 0

    def clock_s(self) -> float:
        """Return local time in seconds, including time in which the VM was frozen."""
        return self.store_clock.clock()

    def latest_ms(self) -> int:
        """Return a time that the store's clock has not passed, in ms."""
        return self.time_bound.latest_ms(self.clock_s())

    async def read(self) -> dict[str, LeaseRow]:
        """Return the rows of all leases by their keys.

        Raises:
            PlatformError: The store failed.
        """
        requested_at_s = self.clock_s()
        page = await self.store.read(LEASES_TABLE, LEASES_PART)
        self.record_response(requested_at_s, page.store_ms)
        return {row.key.key: decode_lease(row) for row in page.rows}

    async def write(
        self, duty: Duty, state: DutyLeaseState, version: int
    ) -> LeaseWritten | LeaseConflict:
        """Write the row of a lease on the condition that it still has ``version``.

        Raises:
            PlatformError: The store failed; the write may still take effect.
        """
        self.write_count += 1
        key = RowKey(LEASES_TABLE, LEASES_PART, duty.value)
        row_value = LeaseRowValue(
            state.vm, state.boot, state.calling, state.last_call_ms, self.write_count
        )
        write = RowWrite(key, msgspec.json.encode(row_value))
        requested_at_s = self.clock_s()
        outcome = await self.store.commit(RowCommit((write,), ((key, version),)))
        if isinstance(outcome, RowConflict):
            rows = [decode_lease(row) for row in outcome.rows if row.key == key]
            return LeaseConflict(rows[0] if rows else LeaseRow())
        self.record_response(requested_at_s, outcome.store_ms)
        return LeaseWritten(outcome.version, requested_at_s)

    def record_response(self, requested_at_s: float, store_ms: int) -> None:
        """Record the store's time in a response."""
        self.store_clock.synchronize(store_ms)
        self.time_bound.record_response(requested_at_s, store_ms)


def decode_lease(row: RowChange) -> LeaseRow:
    """Return the lease in a row."""
    if row.value is None:
        return LeaseRow(None, row.version)
    try:
        row_value = decode_json(row.value, LeaseRowValue)
    except msgspec.DecodeError:
        return LeaseRow(UNREADABLE_STATE, row.version)
    state = DutyLeaseState(
        row_value.vm, row_value.boot, row_value.ordering, row_value.last_order_ms
    )
    return LeaseRow(state, row.version)
