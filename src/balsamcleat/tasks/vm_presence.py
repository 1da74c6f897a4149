"""Heartbeats of this VM in the row store, and the liveness of the other VMs."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import msgspec
import structlog

from balsamcleat.decisions.limit_parts import LimitReport
from balsamcleat.decisions.published_usage import PublishedUsage
from balsamcleat.decisions.true_time import ClockVote
from balsamcleat.decisions.vm_watch import VmFailureDetector, VmRow
from balsamcleat.decoding import decode_json
from balsamcleat.errors import PlatformError, PlatformUnavailableError
from balsamcleat.ports.rows import (
    ABSENT_VERSION,
    RowChange,
    RowCommit,
    RowKey,
    RowsCommitted,
    RowStore,
    RowWrite,
)
from balsamcleat.tasks.limit_sharing import LimitSharing
from balsamcleat.tasks.rollout_records import VM_PART, VMS_TABLE
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.usage_counter import UsageCounter

__all__ = ["VmPresence"]

# A VM that other VMs depend on sends frequent heartbeats. An idle VM can be slower, since no VM
# waits for it.
HEARTBEAT_INTERVAL_S = 0.4
IDLE_HEARTBEAT_INTERVAL_S = 1.0
READ_INTERVAL_S = 0.5
JITTER = 0.2
# Each conflict is a write of this VM that had no answer, or of its previous process.
MAX_ROW_CONFLICTS = 4
# Replaces the identifier of the process start in the row of a VM that has shut down.
STOPPED_BOOT = ""

FieldT = TypeVar("FieldT")

log = structlog.get_logger()


class VmRowValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a VM's row; ``beat`` is a counter that makes every heartbeat change the row.

    ``limits`` is a limit report, ``usage`` are counts of requests, and ``clock`` is a vote on true
    time. They are checked apart from the rest.
    """

    boot: str
    address: str
    zone: str
    beat: int
    leaving: bool = False
    limits: object = None
    usage: object = None
    clock: object = None


class VmPresence:
    """Renews this VM's row in the row store and reads the rows of all VMs.

    Args:
        store: Row store.
        row: Row of this VM; its version is not used.
        store_clock: Estimate of the store's clock, synchronized with each read.
        is_needed: Returns whether other VMs depend on the liveness of this VM.
        generator: Draws the jitter of the intervals.
        limit_sharing: Publishes and applies what VMs know of targets' limits, in the same rows.
        usage: Publishes the counts of requests and the vote on true time, in the same rows; None
            if usage is not reported.
    """

    def __init__(
        self,
        store: RowStore,
        row: VmRow,
        store_clock: StoreClock,
        is_needed: Callable[[], bool],
        generator: random.Random,
        limit_sharing: LimitSharing,
        usage: UsageCounter | None = None,
    ) -> None:
        self.store = store
        self.row = row
        self.limit_sharing = limit_sharing
        self.usage = usage
        self.boot = row.boot
        self.store_clock = store_clock
        self.is_needed = is_needed
        self.generator = generator
        self.watch = VmFailureDetector()
        self.heartbeat_count = 0
        self.is_leaving = False
        self.failing_calls: set[str] = set()
        self.renewal_lock = anyio.Lock()
        # Version of this VM's row as last written or read.
        self.row_version = ABSENT_VERSION

    async def run(self) -> None:
        """Send heartbeats and read the VMs' rows until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run_renewals)
            tasks.start_soon(self.run_reads)

    async def run_renewals(self) -> None:
        """Renew this VM's row at intervals until cancelled."""
        if self.usage is not None:
            # The first heartbeat overwrites the counts of the VM's previous process.
            await self.usage.has_read.wait()
        while True:
            is_renewed = await self.try_call("presence renewal", self.renew)
            await self.wait_for_renewal(is_renewed=is_renewed)

    async def wait_for_renewal(self, *, is_renewed: bool) -> None:
        """Wait until the next heartbeat is due; counts that are not stored make it due early."""
        is_needed = self.is_needed() or self.limit_sharing.is_active
        if is_needed or (self.usage is not None and not is_renewed):
            await anyio.sleep(self.add_jitter(HEARTBEAT_INTERVAL_S))
        elif self.usage is None:
            await anyio.sleep(self.add_jitter(IDLE_HEARTBEAT_INTERVAL_S))
        else:
            idle_until_s = anyio.current_time() + self.add_jitter(IDLE_HEARTBEAT_INTERVAL_S)
            await anyio.sleep(self.add_jitter(HEARTBEAT_INTERVAL_S))
            with anyio.move_on_at(idle_until_s):
                await self.usage.has_counts.wait()

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
        async with self.renewal_lock:
            await self.write_row()

    async def write_row(self) -> None:
        """Write this VM's row; one write at a time, as an older one must not replace a newer.

        With counts of requests, the row is written on the condition that nobody else has written
        it: a late write of the previous process may hold counts that must be taken over first.
        """
        key = RowKey(VMS_TABLE, VM_PART, self.row.vm)
        for _ in range(MAX_ROW_CONFLICTS):
            usage = None if self.usage is None else self.usage.publish()
            write = RowWrite(key, self.next_value(usage))
            expected = () if self.usage is None else ((key, self.row_version),)
            outcome = await self.store.commit(RowCommit((write,), expected))
            if isinstance(outcome, RowsCommitted):
                self.row_version = outcome.version
                if self.usage is not None:
                    self.usage.record_published(usage)
                return
            row = next((row for row in outcome.rows if row.key == key), None)
            if row is None:
                self.row_version = ABSENT_VERSION
            else:
                self.adopt_row(row)
        raise PlatformUnavailableError("the VM's row keeps changing", step="presence.write")

    def next_value(self, usage: PublishedUsage | None) -> bytes:
        """Return the value of the row with the next heartbeat number."""
        self.heartbeat_count += 1
        row_value = VmRowValue(
            self.boot,
            self.row.address,
            self.row.zone,
            self.heartbeat_count,
            self.is_leaving,
            self.limit_sharing.report(),
            usage,
            None if self.usage is None else self.usage.clock.vote(),
        )
        return msgspec.json.encode(row_value)

    def adopt_row(self, row: RowChange) -> None:
        """Go on from this VM's row as it is now: this or the previous process has written it."""
        self.row_version = row.version
        if self.usage is not None and row.value is not None:
            self.usage.apply_own_row(decode_vm(row), self.own_boots)

    @property
    def own_boots(self) -> set[str]:
        """Identifiers under which this process writes its row."""
        return {self.row.boot, self.boot}

    async def read(self) -> None:
        """Read the rows of all VMs and update their liveness."""
        self.watch.begin_read()
        page = await self.store.read(VMS_TABLE, VM_PART)
        self.store_clock.synchronize(page.store_ms)
        self.watch.apply_read([decode_vm(row) for row in page.rows], self.store_clock.clock())
        self.limit_sharing.apply(self.watch)
        if self.usage is not None:
            if not self.usage.has_read.is_set() and self.row.vm in self.watch.observations:
                self.row_version = self.watch.observations[self.row.vm].row.version
            self.usage.apply(self.watch, self.own_boots)

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
        row_value = decode_json(row.value or b"", VmRowValue)
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
        decode_optional(row_value.usage, PublishedUsage),
        decode_optional(row_value.clock, ClockVote),
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


def decode_optional(value: object, field_type: type[FieldT]) -> FieldT | None:
    """Return a field of a VM's row; an unreadable one must not make its VM count as stopped."""
    if value is None:
        return None
    try:
        return msgspec.convert(value, field_type)
    except msgspec.ValidationError as error:
        log.warning("row field not read", type=field_type.__name__, reason=str(error))
        return None
