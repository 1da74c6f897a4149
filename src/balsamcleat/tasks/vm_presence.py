"""Tells the other VMs that this one lives, and learns which live."""

import random
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import structlog

from balsamcleat.decisions.vm_watch import VmRow, VmWatch
from balsamcleat.errors import PlatformError
from balsamcleat.ports.rows import RowChange, RowCommit, RowKey, RowStore, RowWrite
from balsamcleat.tasks.rollout_records import VM_PART, VMS_TABLE
from balsamcleat.tasks.store_clock import StoreClock

__all__ = ["VmPresence"]

# A VM that others depend on renews often; nobody waits for the others.
HEARTBEAT_INTERVAL_S = 0.4
IDLE_HEARTBEAT_INTERVAL_S = 1.0
READ_INTERVAL_S = 0.5
JITTER = 0.2
# Stands for the start of a process in the row of a VM that left.
STOPPED_BOOT = ""

log = structlog.get_logger()


class VmRowValue(msgspec.Struct, frozen=True):
    """A VM's row; ``beat`` only makes it change."""

    boot: str
    address: str
    zone: str
    beat: int
    leaving: bool = False


class VmPresence:
    """Renews this VM's row and reads all of them.

    Args:
        store: The row store.
        row: This VM's row; its version plays no part.
        time: The store's clock.
        is_needed: Returns whether other VMs depend on knowing that this one lives.
        generator: Draws the jitter of beats.
    """

    def __init__(
        self,
        store: RowStore,
        row: VmRow,
        store_clock: StoreClock,
        is_needed: Callable[[], bool],
        generator: random.Random,
    ) -> None:
        self.store = store
        self.row = row
        self.boot = row.boot
        self.store_clock = store_clock
        self.is_needed = is_needed
        self.generator = generator
        self.watch = VmWatch()
        self.heartbeat_count = 0
        self.is_leaving = False
        self.failing_calls: set[str] = set()

    async def run(self) -> None:
        """Beat and read until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run_renewals)
            tasks.start_soon(self.run_reads)

    async def run_renewals(self) -> None:
        """Renew this VM's row until cancelled."""
        while True:
            await self.try_call("presence renewal", self.renew)
            wait_s = HEARTBEAT_INTERVAL_S if self.is_needed() else IDLE_HEARTBEAT_INTERVAL_S
            await anyio.sleep(self.add_jitter(wait_s))

    async def run_reads(self) -> None:
        """Read all rows until cancelled."""
        while True:
            if not await self.try_call("presence reading", self.read):
                self.watch.interrupted()
            await anyio.sleep(self.add_jitter(READ_INTERVAL_S))

    async def try_call(self, description: str, call: Callable[[], Awaitable[None]]) -> bool:
        """Make a call to the store; the first failure in a row and its end are logged."""
        try:
            await call()
        except PlatformError as error:
            if description not in self.failing_calls:
                self.failing_calls.add(description)
                log.warning("presence lost", what=description, reason=str(error))
            return False
        if description in self.failing_calls:
            self.failing_calls.discard(description)
            log.info("presence regained", what=description)
        return True

    def add_jitter(self, seconds: float) -> float:
        """Return a time with its jitter, in seconds."""
        return seconds * (1.0 + JITTER * (2.0 * self.generator.random() - 1.0))

    async def renew(self) -> None:
        """Renew this VM's row."""
        self.heartbeat_count += 1
        row_value = VmRowValue(
            self.boot, self.row.address, self.row.zone, self.heartbeat_count, self.is_leaving
        )
        key = RowKey(VMS_TABLE, VM_PART, self.row.vm)
        await self.store.commit(RowCommit((RowWrite(key, msgspec.json.encode(row_value)),)))

    async def read(self) -> None:
        """Read all VMs' rows."""
        self.watch.begin_reading()
        page = await self.store.read(VMS_TABLE, VM_PART)
        self.store_clock.synchronize(page.store_ms)
        self.watch.read([decode_vm(row) for row in page.rows], self.store_clock.clock())

    async def announce_leaving(self) -> None:
        """Say that this VM takes no new steps."""
        self.is_leaving = True
        await self.renew()

    async def announce_stopped(self) -> None:
        """Say that this start of the process is over."""
        self.boot = STOPPED_BOOT
        await self.renew()


def decode_vm(row: RowChange) -> VmRow:
    """Return a VM's row; one that can't be read stands for no start of its process."""
    try:
        row_value = msgspec.json.decode(row.value or b"", type=VmRowValue)
    except msgspec.DecodeError:
        row_value = VmRowValue(STOPPED_BOOT, "", "", 0)
    return VmRow(
        row.key.key,
        row_value.boot,
        row_value.address,
        row_value.zone,
        row.version,
        row_value.leaving,
    )
