"""Tells the other VMs that this one lives, learns which live, and holds the lease on orders."""

import random
import time
from collections.abc import Callable

import anyio
import msgspec
import structlog

from balsamcleat.decisions.order_lease import (
    HOLDER_SAFE_S,
    LEASE_TERM_S,
    LeaseState,
    OrderLease,
    first_order_ms,
)
from balsamcleat.decisions.vm_watch import VmRow, VmWatch
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

__all__ = ["VmPresence"]

VMS_TABLE = "vms"
VM_PART = "vm"
LEASE_PART = "lease"
ORDER_LEASE_KEY = "orders"
BEAT_S = 0.5
# Stands for the start of a process in the row of a VM that leaves.
LEFT = ""

log = structlog.get_logger()


class VmFields(msgspec.Struct, frozen=True):
    """A VM's row; ``beat`` only makes it change."""

    boot: str
    address: str
    zone: str
    beat: int
    leaving: bool = False


class LeaseFields(msgspec.Struct, frozen=True):
    """The lease's row; ``beat`` only makes it change."""

    vm: str
    boot: str
    ordering: bool
    last_order_ms: int
    beat: int


def boot_clock_s() -> float:
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class VmPresence:
    """Renews this VM's row and reads all of them.

    Args:
        store: The row store.
        vm: This VM.
        boot: This start of its process.
        address: Where peers reach it.
        zone: Its availability zone.
        order_gap_s: Least time between orders of two holders.
        generator: Draws the jitter of beats.
        clock: Returns seconds that also count while the machine is suspended.
    """

    def __init__(
        self,
        store: RowStore,
        vm: str,
        boot: str,
        address: str,
        zone: str,
        order_gap_s: float,
        generator: random.Random,
        clock: Callable[[], float] = boot_clock_s,
    ) -> None:
        self.store = store
        self.vm = vm
        self.boot = boot
        self.address = address
        self.zone = zone
        self.order_gap_s = order_gap_s
        self.generator = generator
        self.clock = clock
        self.watch = VmWatch()
        self.beat = 0
        self.store_ms = 0
        self.store_read_s = 0.0
        self.lease: OrderLease | None = None
        self.seen_lease: tuple[int, float] | None = None
        self.wants_lease = True
        self.leaving = False
        self.failing = False

    def store_now_ms(self) -> int:
        """Return the store's clock, as far as known."""
        return self.store_ms + int((self.clock() - self.store_read_s) * 1000)

    def told_time(self, store_ms: int) -> None:
        """Take the store's clock from an answer."""
        self.store_ms = store_ms
        self.store_read_s = self.clock()

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            try:
                await self.beat_once()
                if self.failing:
                    self.failing = False
                    log.info("presence regained")
            except PlatformError as error:
                self.watch.interrupted()
                self.seen_lease = None
                if not self.failing:
                    self.failing = True
                    log.warning("presence not renewed", reason=str(error))
            await anyio.sleep(BEAT_S * (0.8 + 0.4 * self.generator.random()))

    async def beat_once(self) -> None:
        """Renew this VM's row, read the others', and renew or take the lease."""
        await self.renew()
        page = await self.store.read(VMS_TABLE, VM_PART)
        self.told_time(page.store_ms)
        self.watch.read([vm_row(row) for row in page.rows], self.clock())
        await self.tend_lease()

    async def renew(self) -> None:
        """Renew this VM's row."""
        self.beat += 1
        fields = VmFields(self.boot, self.address, self.zone, self.beat, self.leaving)
        key = RowKey(VMS_TABLE, VM_PART, self.vm)
        await self.store.commit(RowCommit((RowWrite(key, msgspec.json.encode(fields)),)))

    async def tend_lease(self) -> None:
        """Renew the lease where it is held, take it where it is free."""
        if self.lease is not None:
            await self.write_lease(self.lease.state)
            return
        page = await self.store.read(VMS_TABLE, LEASE_PART)
        self.told_time(page.store_ms)
        row = next((row for row in page.rows if row.key.key == ORDER_LEASE_KEY), None)
        state = None if row is None else lease_state(row)
        version = ABSENT_VERSION if row is None else row.version
        if self.wants_lease and (state is None or self.may_take(state, version)):
            await self.take_lease(state, version)

    def may_take(self, state: LeaseState, version: int) -> bool:
        """Return whether the lease is free or its holder is dead."""
        now_s = self.clock()
        if self.seen_lease is None or self.seen_lease[0] != version:
            self.seen_lease = (version, now_s)
        if not state.vm or (state.vm == self.vm and state.boot != self.boot):
            return True
        return now_s - self.seen_lease[1] >= LEASE_TERM_S

    async def take_lease(self, previous: LeaseState | None, version: int) -> None:
        """Take the lease if its row is still as it was read."""
        claimed_ms = self.store_now_ms()
        first_ms = first_order_ms(previous, claimed_ms, self.order_gap_s)
        # The gap that the holder before left open must outlive this holder, too.
        state = LeaseState(self.vm, self.boot, False, first_ms - int(self.order_gap_s * 1000))
        asked_s = self.clock()
        outcome = await self.commit_lease(state, version)
        if isinstance(outcome, RowConflict):
            self.seen_lease = None
            return
        self.lease = OrderLease(
            state, outcome.version, outcome.version, asked_s + HOLDER_SAFE_S, first_ms
        )
        log.info(
            "lease on orders taken",
            fence=outcome.version,
            before=previous.vm if previous else None,
            before_ordering=previous.ordering if previous else None,
            first_order_in_ms=first_ms - claimed_ms,
        )

    async def write_lease(self, state: LeaseState) -> bool:
        """Write the lease's row as its holder; returns False where it is lost."""
        lease = self.lease
        if lease is None:
            return False
        asked_s = self.clock()
        outcome = await self.commit_lease(state, lease.row_version)
        if isinstance(outcome, RowConflict):
            if not self.adopt_own(outcome.rows, asked_s):
                log.warning("lease on orders lost", fence=lease.fence)
                self.lease = None
                self.seen_lease = None
                return False
            return await self.write_lease(state)
        lease.state = state
        lease.row_version = outcome.version
        lease.safe_until_s = asked_s + HOLDER_SAFE_S
        self.told_time(outcome.store_ms)
        return True

    def adopt_own(self, rows: tuple[RowChange, ...], asked_s: float) -> bool:
        """Take the row's version where it was this process that wrote it, unanswered."""
        for row in rows:
            state = lease_state(row)
            if state is not None and state.vm == self.vm and state.boot == self.boot:
                assert self.lease is not None
                self.lease.row_version = row.version
                return True
        return False

    async def commit_lease(self, state: LeaseState, version: int) -> RowsCommitted | RowConflict:
        """Write the lease's row on the condition of its version."""
        self.beat += 1
        key = RowKey(VMS_TABLE, LEASE_PART, ORDER_LEASE_KEY)
        fields = LeaseFields(state.vm, state.boot, state.ordering, state.last_order_ms, self.beat)
        write = RowWrite(key, msgspec.json.encode(fields))
        return await self.store.commit(RowCommit((write,), ((key, version),)))

    async def begin_orders(self) -> bool:
        """Write that orders are about to be given; returns whether they may be."""
        if self.lease is None:
            return False
        if self.lease.state.ordering:
            return True
        state = LeaseState(self.vm, self.boot, True, self.lease.state.last_order_ms)
        return await self.write_lease(state)

    async def end_orders(self) -> None:
        """Write that the last order is past."""
        if self.lease is not None and self.lease.state.ordering:
            state = LeaseState(self.vm, self.boot, False, self.store_now_ms())
            await self.write_lease(state)

    async def announce_leaving(self) -> None:
        """Say that this VM takes no new steps."""
        self.leaving = True
        await self.renew()

    async def release(self) -> None:
        """Say that this VM has left; give the lease back and take it no more."""
        self.wants_lease = False
        self.boot = LEFT
        await self.renew()
        if self.lease is not None:
            last_ms = self.lease.state.last_order_ms
            if self.lease.state.ordering:
                last_ms = self.store_now_ms()
            await self.write_lease(LeaseState("", "", False, last_ms))
            self.lease = None

    def may_order(self) -> bool:
        """Return whether an order may be sent now."""
        if self.lease is None:
            return False
        return self.lease.may_order(self.clock(), self.store_now_ms())


def vm_row(row: RowChange) -> VmRow:
    """Return a VM's row; one that can't be read stands for no start of its process."""
    try:
        fields = msgspec.json.decode(row.value or b"", type=VmFields)
    except msgspec.DecodeError:
        fields = VmFields("", "", "", 0)
    return VmRow(row.key.key, fields.boot, fields.address, fields.zone, row.version, fields.leaving)


def lease_state(row: RowChange) -> LeaseState | None:
    """Return the lease in a row, or None where it can't be read."""
    try:
        fields = msgspec.json.decode(row.value or b"", type=LeaseFields)
    except msgspec.DecodeError:
        return None
    return LeaseState(fields.vm, fields.boot, fields.ordering, fields.last_order_ms)
