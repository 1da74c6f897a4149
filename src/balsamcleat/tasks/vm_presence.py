"""Heartbeats of this VM in the row store, and the liveness of the other VMs."""

import random
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import structlog

from balsamcleat.decisions.limit_parts import LimitReport
from balsamcleat.decisions.vm_watch import VmFailureDetector, VmRow
from balsamcleat.errors import PlatformError
from balsamcleat.ports.rows import RowChange, RowCommit, RowKey, RowStore, RowWrite
from balsamcleat.tasks.limit_sharing import LimitSharing
from balsamcleat.tasks.rollout_records import VM_PART, VMS_TABLE
from balsamcleat.tasks.store_clock import StoreClock

__all__ = ["VmPresence"]

# A VM that other VMs depend on sends frequent heartbeats. An idle VM can be slower, since no VM
# waits for it.
HEARTBEAT_INTERVAL_S = 0.4
IDLE_HEARTBEAT_INTERVAL_S = 1.0
READ_INTERVAL_S = 0.5
JITTER = 0.2
# Replaces the identifier of the process start in the row of a VM that has shut down.
STOPPED_BOOT = ""

log = structlog.get_logger()


class VmRowValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a VM's row; ``beat`` is a counter that makes every heartbeat change the row.

    ``limits`` is a limit report, which is checked apart from the rest.
    """

    boot: str
    address: str
    zone: str
    beat: int
    leaving: bool = False
    limits: object = None


class VmPresence:
    """Renews this VM's row in the row store and reads the rows of all VMs.

    Args:
        store: Row store.
        row: Row of this VM; its version is not used.
        store_clock: Estimate of the store's clock, synchronized with each read.
        is_needed: Returns whether other VMs depend on the liveness of this VM.
        generator: Draws the jitter of the intervals.
        limit_sharing: Publishes and applies what VMs know of targets' limits, in the same rows.
    """

    def __init__(
        self,
        store: RowStore,
        row: VmRow,
        store_clock: StoreClock,
        is_needed: Callable[[], bool],
        generator: random.Random,
        limit_sharing: LimitSharing,
    ) -> None:
        self.store = store
        self.row = row
        self.limit_sharing = limit_sharing
        self.boot = row.boot
        self.store_clock = store_clock
        self.is_needed = is_needed
        self.generator = generator
        self.watch = VmFailureDetector()
        self.heartbeat_count = 0
        self.is_leaving = False
        self.failing_calls: set[str] = set()

    async def run(self) -> None:
        """Send heartbeats and read the VMs' rows until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run_renewals)
            tasks.start_soon(self.run_reads)

    async def run_renewals(self) -> None:
        """Renew this VM's row at intervals until cancelled."""
        while True:
            await self.try_call("presence renewal", self.renew)
            is_needed = self.is_needed() or self.limit_sharing.is_active
            wait_s = HEARTBEAT_INTERVAL_S if is_needed else IDLE_HEARTBEAT_INTERVAL_S
            await anyio.sleep(self.add_jitter(wait_s))

    async def run_reads(self) -> None:
        """Read the rows of all VMs at intervals until cancelled."""
        while True:
            if not await self.try_call("presence reading", self.read):
                self.watch.reset()
            self.limit_sharing.update_isolation()
            await anyio.sleep(self.add_jitter(READ_INTERVAL_S))

    async def try_call(self, description: str, call: Callable[[], Awaitable[None]]) -> bool:
        """Call the store and return whether it succeeded.

        The first of consecutive failures and the recovery are logged.
        """
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
        """Return a duration with random jitter, in seconds."""
        return seconds * (1.0 + JITTER * (2.0 * self.generator.random() - 1.0))

    async def renew(self) -> None:
        """Write this VM's row with the next heartbeat number."""
        self.heartbeat_count += 1
        row_value = VmRowValue(
            self.boot,
            self.row.address,
            self.row.zone,
            self.heartbeat_count,
            self.is_leaving,
            self.limit_sharing.report(),
        )
        key = RowKey(VMS_TABLE, VM_PART, self.row.vm)
        await self.store.commit(RowCommit((RowWrite(key, msgspec.json.encode(row_value)),)))

    async def read(self) -> None:
        """Read the rows of all VMs and update their liveness."""
        self.watch.begin_read()
        page = await self.store.read(VMS_TABLE, VM_PART)
        self.store_clock.synchronize(page.store_ms)
        self.watch.apply_read([decode_vm(row) for row in page.rows], self.store_clock.clock())
        self.limit_sharing.apply(self.watch)

    async def announce_leaving(self) -> None:
        """Announce that this VM accepts no new steps."""
        self.is_leaving = True
        await self.renew()

    async def announce_stopped(self) -> None:
        """Announce that this VM's process has ended."""
        self.boot = STOPPED_BOOT
        await self.renew()


def decode_vm(row: RowChange) -> VmRow:
    """Return a decoded VM row; a malformed one counts as that of a VM that has shut down."""
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
        decode_limits(row_value.limits),
    )


def decode_limits(value: object) -> LimitReport:
    """Return the report in a VM's row; an unreadable one must not make its VM count as stopped."""
    if value is None:
        return LimitReport()
    try:
        return msgspec.convert(value, LimitReport)
    except msgspec.ValidationError as error:
        log.warning("limits not read", reason=str(error))
        return LimitReport()
