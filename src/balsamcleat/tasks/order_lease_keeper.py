"""Holds the lease on orders to engines, or waits to take it."""

import random
from collections.abc import Callable

import anyio
import msgspec
import structlog

from balsamcleat.decisions.order_lease import (
    HOLDER_SAFE_S,
    LEASE_TERM_S,
    RENEW_EVERY_S,
    LeaseState,
    OrderLease,
    first_order_ms,
)
from balsamcleat.errors import PlatformError
from balsamcleat.ports.rows import (
    ABSENT_VERSION,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowsCommitted,
    RowStore,
    RowWrite,
)
from balsamcleat.tasks.store_clock import StoreClock

__all__ = ["OrderLeaseKeeper"]

LEASES_TABLE = "leases"
ORDER_LEASE_KEY = "orders"
JITTER = 0.2

log = structlog.get_logger()


class LeaseRowValue(msgspec.Struct, frozen=True):
    """The lease's row; ``beat`` only makes it change."""

    vm: str
    boot: str
    ordering: bool
    last_order_ms: int
    beat: int


class OrderLeaseKeeper:
    """Renews the lease where it is held, takes it where it is free or its holder is dead.

    Args:
        store: The row store.
        vm: This VM.
        boot: This start of its process.
        order_gap_s: Least time between orders of two holders.
        time: The store's clock.
        generator: Draws the jitter of renewals.
    """

    def __init__(
        self,
        store: RowStore,
        vm: str,
        boot: str,
        order_gap_s: float,
        store_clock: StoreClock,
        generator: random.Random,
    ) -> None:
        self.store = store
        self.vm = vm
        self.boot = boot
        self.order_gap_s = order_gap_s
        self.store_clock = store_clock
        self.generator = generator
        self.lease: OrderLease | None = None
        # Version of another holder's row and when it was first seen.
        self.observed_row: tuple[int, float] | None = None
        self.write_count = 0
        self.should_acquire = True
        self.is_failing = False
        self.lock = anyio.Lock()

    async def run(self) -> None:
        """Tend the lease until cancelled."""
        while True:
            try:
                await self.renew_or_acquire()
                if self.is_failing:
                    self.is_failing = False
                    log.info("lease on orders tended again")
            except PlatformError as error:
                # Silence of the store says nothing of the holder.
                self.observed_row = None
                if not self.is_failing:
                    self.is_failing = True
                    log.warning("lease on orders not tended", reason=str(error))
            jitter = 1.0 + JITTER * (2.0 * self.generator.random() - 1.0)
            await anyio.sleep(RENEW_EVERY_S * jitter)

    async def renew_or_acquire(self) -> None:
        """Renew or read the lease once."""
        if self.lease is not None:
            await self.update(lambda state: state)
            return
        page = await self.store.read(LEASES_TABLE, "")
        self.store_clock.synchronize(page.store_ms)
        row = next((row for row in page.rows if row.key.key == ORDER_LEASE_KEY), None)
        state = None if row is None else decode_lease(row)
        version = ABSENT_VERSION if row is None else row.version
        if self.should_acquire and (state is None or self.can_acquire(state, version)):
            await self.acquire(state, version)

    def can_acquire(self, state: LeaseState, version: int) -> bool:
        """Return whether the lease is free or its holder is dead."""
        now_s = self.store_clock.clock()
        if self.observed_row is None or self.observed_row[0] != version:
            self.observed_row = (version, now_s)
        if not state.vm or (state.vm == self.vm and state.boot != self.boot):
            return True
        return now_s - self.observed_row[1] >= LEASE_TERM_S

    async def acquire(self, previous: LeaseState | None, version: int) -> None:
        """Take the lease if its row is still as it was read."""
        acquired_ms = self.store_clock.now_ms()
        first_ms = first_order_ms(previous, acquired_ms, self.order_gap_s)
        # The gap that the holder before left open must outlive this holder, too.
        state = LeaseState(self.vm, self.boot, False, first_ms - int(self.order_gap_s * 1000))
        requested_at_s = self.store_clock.clock()
        outcome = await self.commit_row(state, version)
        if isinstance(outcome, RowConflict):
            self.observed_row = None
            return
        safe_until_s = requested_at_s + HOLDER_SAFE_S
        self.lease = OrderLease(state, outcome.version, outcome.version, safe_until_s, first_ms)
        log.info(
            "lease on orders taken",
            fence=outcome.version,
            before=previous.vm if previous else None,
            before_ordering=previous.ordering if previous else None,
            first_order_in_ms=first_ms - acquired_ms,
        )

    async def update(self, change: Callable[[LeaseState], LeaseState]) -> bool:
        """Change the lease's row as its holder; returns False where the lease is lost."""
        async with self.lock:
            while self.lease is not None:
                requested_at_s = self.store_clock.clock()
                state = change(self.lease.state)
                outcome = await self.commit_row(state, self.lease.row_version)
                if isinstance(outcome, RowsCommitted):
                    self.lease.state = state
                    self.lease.row_version = outcome.version
                    self.lease.safe_until_s = requested_at_s + HOLDER_SAFE_S
                    self.store_clock.synchronize(outcome.store_ms)
                    return True
                if not self.adopt_own_write(outcome.rows):
                    log.warning("lease on orders lost", fence=self.lease.fence)
                    self.lease = None
                    self.observed_row = None
            return False

    def adopt_own_write(self, rows: tuple[RowChange, ...]) -> bool:
        """Take the row's version where it was this process that wrote it, unanswered."""
        for row in rows:
            state = decode_lease(row)
            if state is not None and (state.vm, state.boot) == (self.vm, self.boot):
                assert self.lease is not None
                self.lease.row_version = row.version
                return True
        return False

    async def commit_row(self, state: LeaseState, version: int) -> RowsCommitted | RowConflict:
        """Write the lease's row on the condition of its version."""
        self.write_count += 1
        key = RowKey(LEASES_TABLE, "", ORDER_LEASE_KEY)
        row_value = LeaseRowValue(
            state.vm, state.boot, state.ordering, state.last_order_ms, self.write_count
        )
        write = RowWrite(key, msgspec.json.encode(row_value))
        return await self.store.commit(RowCommit((write,), ((key, version),)))

    async def begin_orders(self) -> bool:
        """Write that orders are about to be given; returns whether they may be."""
        if self.lease is None:
            return False
        if self.lease.state.ordering:
            return True
        return await self.update(
            lambda state: LeaseState(self.vm, self.boot, True, state.last_order_ms)
        )

    async def end_orders(self) -> None:
        """Write that the last order is past."""
        if self.lease is not None and self.lease.state.ordering:
            now_ms = self.store_clock.now_ms()
            await self.update(lambda _: LeaseState(self.vm, self.boot, False, now_ms))

    async def release(self) -> None:
        """Give the lease back and take it no more."""
        self.should_acquire = False
        if self.lease is None:
            return
        now_ms = self.store_clock.now_ms()
        await self.update(
            lambda state: LeaseState(
                "", "", False, now_ms if state.ordering else state.last_order_ms
            )
        )
        self.lease = None

    def can_order(self) -> bool:
        """Return whether an order may be sent now."""
        if self.lease is None:
            return False
        return self.lease.may_order(self.store_clock.clock(), self.store_clock.now_ms())


def decode_lease(row: RowChange) -> LeaseState | None:
    """Return the lease in a row, or None where it can't be read."""
    try:
        row_value = msgspec.json.decode(row.value or b"", type=LeaseRowValue)
    except msgspec.DecodeError:
        return None
    return LeaseState(row_value.vm, row_value.boot, row_value.ordering, row_value.last_order_ms)
