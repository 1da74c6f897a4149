"""Acquisition, renewal and release of the lease on one duty."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from balsamcleat.decisions.duty_fitness import YIELD_S, DutyFitness
from balsamcleat.decisions.duty_lease import (
    LATE_RENEWAL_S,
    DutyLeaseState,
    HeldDutyLease,
    LeaseRowWatch,
    first_call_ms,
)
from balsamcleat.errors import PlatformError
from balsamcleat.model import VmId
from balsamcleat.ports.duties import Duty, DutyLease, DutyStamp
from balsamcleat.tasks.duty_lease_log import lease_log
from balsamcleat.tasks.lease_table import LeaseConflict, LeaseRow, LeaseTable, LeaseWritten

__all__ = ["DutyLeaseKeeper", "LeaseHolder"]


@dataclass(frozen=True, slots=True)
class LeaseHolder:
    """Process that holds leases.

    Attributes:
        vm: Name of its VM.
        boot: Identifier of this start of the VM's process.
    """

    vm: VmId
    boot: str


class DutyLeaseKeeper(DutyLease):
    """Renews the lease while this VM holds it; acquires it once it is free or its holder is dead.

    Args:
        duty: Duty that the lease allows to perform.
        table: Rows of leases.
        holder: This process.
        gap_s: Shortest time between calls of two holders, in seconds.
        fitness: Judges whether this VM can perform the duty.
        is_enabled: Returns whether the settings name the duty.
    """

    def __init__(
        self,
        duty: Duty,
        table: LeaseTable,
        holder: LeaseHolder,
        gap_s: float,
        fitness: DutyFitness,
        is_enabled: Callable[[], bool] = lambda: True,
    ) -> None:
        self.duty = duty
        self.table = table
        self.holder = holder
        self.gap_s = gap_s
        self.fitness = fitness
        self.is_enabled = is_enabled
        self.lease: HeldDutyLease | None = None
        self.watch = LeaseRowWatch(holder.vm, holder.boot)
        self.should_acquire = True
        self.is_failing = False
        # Whether this process failed in its duty since it acquired the lease, and the time until
        # which the other VMs come first, on this VM's clock, in seconds.
        self.has_fault = False
        self.yields_until_s = float("-inf")
        self.log = lease_log(duty)
        # Serializes the writes of the row.
        self.lock = anyio.Lock()

    @property
    def is_held(self) -> bool:
        """Whether this VM holds the lease."""
        return self.lease is not None

    @property
    def stamp(self) -> DutyStamp | None:
        """Identification to send with each call, or None while this VM does not hold the lease."""
        if self.lease is None or self.lease.is_ending:
            return None
        return DutyStamp(self.holder.vm, self.lease.fencing_token)

    @property
    def needs_row(self) -> bool:
        """Whether this VM would acquire the lease, and so has to read its row."""
        return self.lease is None and self.should_acquire and self.is_enabled()

    def can_call(self) -> bool:
        """Return whether this VM may send a call now."""
        if self.lease is None:
            return False
        store_ms = self.table.store_clock.now_ms()
        return store_ms is not None and self.lease.can_call(self.table.clock_s(), store_ms)

    async def begin_calls(self) -> bool:
        """Record in the lease that calls are about to be sent; return whether they may be."""
        lease = self.lease
        if lease is None or lease.is_ending:
            return False
        if lease.is_open:
            return True
        try:
            return await self.update(HeldDutyLease.opened_state)
        except PlatformError as error:
            self.log.calls_wait(str(error))
            return False

    async def end_calls(self) -> None:
        """Record in the lease that the last call has ended and when; no call may follow it."""
        if self.lease is None or not self.lease.state.calling:
            return
        try:
            await self.update(self.close_calls)
        except PlatformError as error:
            # The next renewal records it.
            self.log.calls_wait(str(error))

    def report_fault(self) -> None:
        """Let the next renewal release the lease, and let other VMs acquire it first."""
        if self.lease is not None:
            self.has_fault = True
            self.yields_until_s = self.table.clock_s() + YIELD_S

    def close_calls(self, lease: HeldDutyLease) -> DutyLeaseState:
        """Allow no more calls; return the row content that states this."""
        lease.close(self.table.latest_ms())
        return lease.renewed_state()

    def close_and_release(self, lease: HeldDutyLease) -> DutyLeaseState:
        """Allow no more calls; return the row content that frees the lease."""
        lease.close(self.table.latest_ms())
        return lease.released_state()

    async def attend(self, action: Callable[[], Awaitable[None]]) -> None:
        """Renew, acquire or release the lease; a failure of the store is logged once."""
        try:
            await action()
        except PlatformError as error:
            self.record_store_failure(str(error))
            return
        if self.is_failing:
            self.is_failing = False
            self.log.store_recovered()

    def record_store_failure(self, reason: str) -> None:
        """Record that the lease could not be renewed or read."""
        # While the store does not answer, an unchanged row does not show a dead holder.
        self.watch.reset()
        if not self.is_failing:
            self.is_failing = True
            self.log.store_failed(reason)

    async def renew(self) -> None:
        """Renew the lease that this VM holds, or release it if this VM should not keep it.

        Raises:
            PlatformError: The store failed.
        """
        if self.lease is None:
            return
        if not self.lease.is_ending and not self.is_enabled():
            self.lease.is_ending = True
        elif not self.lease.is_ending and self.should_give_up():
            self.log.given_up(self.lease.fencing_token)
            self.lease.is_ending = True
        if self.lease.is_ending:
            await self.free(self.lease)
        else:
            await self.update(HeldDutyLease.renewed_state)

    def should_give_up(self) -> bool:
        """Return whether another VM should perform the duty."""
        return self.has_fault or self.fitness.should_release(self.table.clock_s())

    async def consider(self, row: LeaseRow) -> None:
        """Acquire the lease if its row, as it was just read, allows that.

        Raises:
            PlatformError: The store failed; the row may still be written.
        """
        if not self.needs_row:
            return
        now_s = self.table.clock_s()
        is_fit = self.fitness.is_fit(now_s) and now_s >= self.yields_until_s
        if row.state is None or self.watch.can_acquire(
            row.state, row.version, now_s, is_fit=is_fit
        ):
            await self.acquire(row)

    async def acquire(self, row: LeaseRow) -> None:
        """Acquire the lease if its row has not changed since it was read."""
        async with self.lock:
            acquired_ms = self.table.latest_ms()
            first_ms = first_call_ms(row.state, acquired_ms, self.gap_s)
            # The waiting time after the previous holder's last call must also bind the holder
            # after this one, in case this VM never sends a call.
            last_ms = first_ms - int(self.gap_s * 1000)
            state = DutyLeaseState(self.holder.vm, self.holder.boot, False, last_ms)
            outcome = await self.table.write(self.duty, state, row.version)
            if isinstance(outcome, LeaseConflict):
                self.watch.reset()
                return
            version, requested_at_s = outcome.version, outcome.requested_at_s
            self.lease = HeldDutyLease(state, version, version, requested_at_s, first_ms, last_ms)
        self.has_fault = False
        self.fitness.start_term()
        self.log.taken(version, row.state, first_ms - acquired_ms)

    async def update(self, change: Callable[[HeldDutyLease], DutyLeaseState]) -> bool:
        """Write the row of the held lease; return False if the lease is lost.

        Args:
            change: Returns the row content; called right before each attempt to write it.

        Raises:
            PlatformError: The store failed; the row may still be written.
        """
        async with self.lock:
            while self.lease is not None:
                lease, state = self.lease, change(self.lease)
                outcome = await self.table.write(self.duty, state, lease.row_version)
                if isinstance(outcome, LeaseWritten):
                    after_s = outcome.requested_at_s - lease.renewed_at_s
                    if after_s > LATE_RENEWAL_S:
                        self.log.renewed_late(lease.fencing_token, after_s)
                    lease.record_write(state, outcome.version, outcome.requested_at_s)
                    return True
                self.handle_conflict(lease, outcome.row)
            return False

    def handle_conflict(self, lease: HeldDutyLease, row: LeaseRow) -> None:
        """Adopt the row's version if this process wrote it without a response; else end the term.

        Args:
            lease: Lease that this VM held.
            row: Current row.
        """
        state = row.state
        if state is not None and (state.vm, state.boot) == (self.holder.vm, self.holder.boot):
            lease.row_version = row.version
            return
        if lease.is_ending and state is not None and not state.vm:
            self.log.released(lease.fencing_token)
        else:
            self.log.lost(lease.fencing_token)
        self.lease = None
        self.watch.reset()

    async def release(self) -> None:
        """Release the lease and never acquire it again.

        Raises:
            PlatformError: The store failed; the next renewal tries again.
        """
        self.should_acquire = False
        async with self.lock:
            # An acquisition in progress has ended now.
            lease = self.lease
        if lease is not None:
            lease.is_ending = True
            await self.free(lease)

    async def free(self, lease: HeldDutyLease) -> None:
        """Free the lease for the next holder."""
        if await self.update(self.close_and_release):
            self.log.released(lease.fencing_token)
            self.lease = None
            self.watch.reset()
