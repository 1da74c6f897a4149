"""Acquisition and renewal of the lease that allows its holder to send orders to engines."""

import random
from collections.abc import Callable

import anyio
import msgspec
import structlog

from balsamcleat.decisions.order_lease import (
    HOLDER_ORDER_WINDOW_S,
    LEASE_TERM_S,
    RENEW_INTERVAL_S,
    OrderLease,
    OrderLeaseState,
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
# A VM that has lost links to targets waits this much longer for others to take the lease.
CUT_OFF_DELAY_S = 2.0

log = structlog.get_logger()


class LeaseRowValue(msgspec.Struct, frozen=True):
    """Value of the lease's row; ``beat`` is a counter that makes every write change the row."""

    vm: str
    boot: str
    ordering: bool
    last_order_ms: int
    beat: int


class OrderLeaseKeeper:
    """Renews the lease while this VM holds it; acquires it once it is free or its holder is dead.

    Args:
        store: Row store.
        vm: Name of this VM.
        boot: Identifier of this start of the VM's process.
        order_gap_s: Shortest time between orders of two holders, in seconds.
        store_clock: Estimate of the store's clock.
        generator: Draws the jitter of the renewals.
        reaches_targets: Returns whether this VM reaches the targets that it would send orders to.
    """

    def __init__(
        self,
        store: RowStore,
        vm: str,
        boot: str,
        order_gap_s: float,
        store_clock: StoreClock,
        generator: random.Random,
        reaches_targets: Callable[[], bool] = lambda: True,
    ) -> None:
        self.store = store
        self.reaches_targets = reaches_targets
        self.vm = vm
        self.boot = boot
        self.order_gap_s = order_gap_s
        self.store_clock = store_clock
        self.generator = generator
        self.lease: OrderLease | None = None
        # Version of another holder's row, and local time in seconds when it was first read.
        self.observed_row: tuple[int, float] | None = None
        self.write_count = 0
        self.should_acquire = True
        # Whether this VM reached the targets when that was last asked. A VM that takes the lease
        # without links, since nobody else does, keeps it.
        self.has_links = True
        self.is_failing = False
        self.lock = anyio.Lock()

    async def run(self) -> None:
        """Renew or try to acquire the lease at intervals until cancelled."""
        while True:
            try:
                await self.renew_or_acquire()
                if self.is_failing:
                    self.is_failing = False
                    log.info("lease on orders tended again")
            except PlatformError as error:
                # While the store does not answer, an unchanged row does not show a dead holder.
                self.observed_row = None
                if not self.is_failing:
                    self.is_failing = True
                    log.warning("lease on orders not tended", reason=str(error))
            jitter = 1.0 + JITTER * (2.0 * self.generator.random() - 1.0)
            await anyio.sleep(RENEW_INTERVAL_S * jitter)

    async def renew_or_acquire(self) -> None:
        """Renew the lease, or read its row and acquire the lease if possible."""
        had_links = self.has_links
        self.has_links = self.reaches_targets()
        if self.lease is not None and had_links and not self.has_links:
            log.warning("lease on orders given up", fence=self.lease.fencing_token)
            await self.free()
            return
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

    def can_acquire(self, state: OrderLeaseState, version: int) -> bool:
        """Return whether the lease is free or its holder is considered dead."""
        now_s = self.store_clock.clock()
        if self.observed_row is None or self.observed_row[0] != version:
            self.observed_row = (version, now_s)
        unchanged_s = now_s - self.observed_row[1]
        if not self.has_links:
            # Another VM is better off, unless none takes the lease.
            return unchanged_s >= LEASE_TERM_S + CUT_OFF_DELAY_S
        if not state.vm or (state.vm == self.vm and state.boot != self.boot):
            return True
        return unchanged_s >= LEASE_TERM_S

    async def acquire(self, previous: OrderLeaseState | None, version: int) -> None:
        """Acquire the lease if its row has not changed since it was read."""
        acquired_ms = self.store_clock.now_ms()
        first_order_at_ms = first_order_ms(previous, acquired_ms, self.order_gap_s)
        # The waiting time after the previous holder's last order must also bind the holder after
        # this one, in case this VM never sends an order.
        state = OrderLeaseState(
            self.vm, self.boot, False, first_order_at_ms - int(self.order_gap_s * 1000)
        )
        requested_at_s = self.store_clock.clock()
        outcome = await self.commit_row(state, version)
        if isinstance(outcome, RowConflict):
            self.observed_row = None
            return
        safe_until_s = requested_at_s + HOLDER_ORDER_WINDOW_S
        self.lease = OrderLease(
            state, outcome.version, outcome.version, safe_until_s, first_order_at_ms
        )
        log.info(
            "lease on orders taken",
            fence=outcome.version,
            before=previous.vm if previous else None,
            before_ordering=previous.ordering if previous else None,
            first_order_in_ms=first_order_at_ms - acquired_ms,
        )

    async def update(self, change: Callable[[OrderLeaseState], OrderLeaseState]) -> bool:
        """Change the row of the held lease; return False if the lease is lost."""
        async with self.lock:
            while self.lease is not None:
                requested_at_s = self.store_clock.clock()
                state = change(self.lease.state)
                outcome = await self.commit_row(state, self.lease.row_version)
                if isinstance(outcome, RowsCommitted):
                    self.lease.state = state
                    self.lease.row_version = outcome.version
                    self.lease.safe_until_s = requested_at_s + HOLDER_ORDER_WINDOW_S
                    self.store_clock.synchronize(outcome.store_ms)
                    return True
                if not self.adopt_own_write(outcome.rows):
                    log.warning("lease on orders lost", fence=self.lease.fencing_token)
                    self.lease = None
                    self.observed_row = None
            return False

    def adopt_own_write(self, rows: tuple[RowChange, ...]) -> bool:
        """Adopt the row's version if this process wrote the row without receiving the answer."""
        for row in rows:
            state = decode_lease(row)
            if state is not None and (state.vm, state.boot) == (self.vm, self.boot):
                assert self.lease is not None
                self.lease.row_version = row.version
                return True
        return False

    async def commit_row(self, state: OrderLeaseState, version: int) -> RowsCommitted | RowConflict:
        """Write the lease's row on the condition that it still has ``version``."""
        self.write_count += 1
        key = RowKey(LEASES_TABLE, "", ORDER_LEASE_KEY)
        row_value = LeaseRowValue(
            state.vm, state.boot, state.ordering, state.last_order_ms, self.write_count
        )
        write = RowWrite(key, msgspec.json.encode(row_value))
        return await self.store.commit(RowCommit((write,), ((key, version),)))

    async def begin_orders(self) -> bool:
        """Record in the lease that orders are about to be sent; return whether they may be."""
        if self.lease is None:
            return False
        if self.lease.state.ordering:
            return True
        return await self.update(
            lambda state: OrderLeaseState(self.vm, self.boot, True, state.last_order_ms)
        )

    async def end_orders(self) -> None:
        """Record in the lease that the last order has been sent and when."""
        if self.lease is not None and self.lease.state.ordering:
            now_ms = self.store_clock.now_ms()
            await self.update(lambda _: OrderLeaseState(self.vm, self.boot, False, now_ms))

    async def release(self) -> None:
        """Release the lease and never acquire it again."""
        self.should_acquire = False
        if self.lease is not None:
            await self.free()

    async def free(self) -> None:
        """Free the lease for the next holder."""
        now_ms = self.store_clock.now_ms()
        await self.update(
            lambda state: OrderLeaseState(
                "", "", False, now_ms if state.ordering else state.last_order_ms
            )
        )
        self.lease = None

    def can_order(self) -> bool:
        """Return whether this VM may send an order now."""
        if self.lease is None:
            return False
        return self.lease.can_order(self.store_clock.clock(), self.store_clock.now_ms())


def decode_lease(row: RowChange) -> OrderLeaseState | None:
    """Return the lease state in a row, or None if the row is malformed."""
    try:
        row_value = msgspec.json.decode(row.value or b"", type=LeaseRowValue)
    except msgspec.DecodeError:
        return None
    return OrderLeaseState(
        row_value.vm, row_value.boot, row_value.ordering, row_value.last_order_ms
    )
