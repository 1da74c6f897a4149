"""Acquisition, renewal and release of leases in the platform's table."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio
import structlog

from balsamcleat.decisions.lease import (
    LeaseTracker,
    RenewalLog,
    lease_key,
    safe_until,
)
from balsamcleat.decisions.ownership import ownership_rank
from balsamcleat.errors import OutcomeUnknownError, PlatformError, ProtocolError
from balsamcleat.model import VmId
from balsamcleat.model.leases import Lease
from balsamcleat.ports import Clock, Conflicted, Metrics, Randomness, Table, Transaction, Write
from balsamcleat.tasks.audit_trail import AuditTrail

__all__ = ["LeaseKeeper"]

RENEW_INTERVAL_S = 3.0
# Interval between reads of a held lease's row, for contenders and while the row is unchanged.
CONTENDER_READ_INTERVAL_S = 1.0
RELEASE_TIMEOUT_S = 3.0
MAX_RENEWALS_PER_COMMIT = 64
# The preferred owners of a lease, this many, read its row often. The other VMs read it the more
# rarely the lower their rank, in case the VMs before them are alive but can't reach the table.
CONTENDERS_PER_LEASE = 3
NON_CONTENDER_READ_INTERVAL_S = 10.0
MAX_NON_CONTENDER_READ_INTERVAL_S = 3600.0
# The cost of a ranking grows with the number of VMs, so with more VMs a rank is cached longer.
RANKED_VMS_PER_S = 100.0
RETENTION_S = 4000.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class CachedRank:
    """Rank of this VM among the preferred owners of a lease, cached until ``until_s``."""

    rank: int
    until_s: float


class LeaseKeeper:
    """Holds the leases of this VM.

    Args:
        vm_id: Identifier of this VM.
        table: Table of the platform.
        clock: Clock for the terms of leases and for the intervals.
        randomness: Source of operation ids.
        metrics: Receives the counters.
        audit: Audit trail for acquisitions, or None.
        list_candidates: Returns the VMs that are alive, this one included; empty when unknown.

    Attributes:
        list_zone_candidates: Returns the live VMs of the own zone, for leases that only VMs of the
            zone compete for.
    """

    def __init__(
        self,
        vm_id: VmId,
        table: Table,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
        audit: AuditTrail | None = None,
        list_candidates: Callable[[], Sequence[VmId]] = tuple,
    ) -> None:
        self.vm_id = vm_id
        self.table = table
        self.clock = clock
        self.randomness = randomness
        self.metrics = metrics
        self.audit = audit
        self.list_candidates = list_candidates
        self.list_zone_candidates = list_candidates
        self.zone_lease_names: set[str] = set()
        self.watch = LeaseTracker(vm_id)
        self.renewals = RenewalLog()
        self.leases: dict[str, Lease] = {}
        self.row_read_at_s: dict[str, float] = {}
        self.acquiring: set[str] = set()
        self.cached_ranks: dict[str, CachedRank] = {}

    def usable_lease(self, name: str) -> Lease | None:
        """Return the lease if this VM may act on it now, otherwise None.

        Call this right before each action under the lease, since the process may have been paused
        after an earlier call.
        """
        lease = self.leases.get(name)
        if lease is None or self.clock.now_s() >= lease.safe_until_s:
            return None
        return lease

    def is_contender(self, name: str) -> bool:
        """Return whether this VM is among the preferred owners that compete for the lease."""
        return self.rank(name) < CONTENDERS_PER_LEASE

    def is_preferred_owner(self, name: str) -> bool:
        """Return whether this VM is preferred over all other live VMs as owner of the lease."""
        return self.rank(name) == 0

    def rank(self, name: str) -> int:
        """Return how many live VMs are preferred over this one as owner of the lease."""
        now_s = self.clock.now_s()
        cached_rank = self.cached_ranks.get(name)
        if cached_rank is None or now_s >= cached_rank.until_s:
            zone_only = name in self.zone_lease_names
            candidates = self.list_zone_candidates() if zone_only else self.list_candidates()
            until_s = now_s + len(candidates) / RANKED_VMS_PER_S
            cached_rank = CachedRank(ownership_rank(self.vm_id, name, candidates), until_s)
            self.cached_ranks[name] = cached_rank
        return cached_rank.rank

    async def acquire(self, name: str, *, zone_only: bool = False) -> Lease | None:
        """Try once to acquire a lease; return None if another VM holds it or should try first.

        Args:
            name: Name of the lease.
            zone_only: Whether only VMs of the own zone compete for the lease.

        Raises:
            PlatformError: The table could not be reached or its answer was lost; try again.
        """
        lease = self.usable_lease(name)
        if lease is not None:
            return lease
        if zone_only:
            self.zone_lease_names.add(name)
        if name in self.acquiring or not self.can_read_row(name):
            return None
        self.acquiring.add(name)
        try:
            return await self.try_acquire(name)
        except ProtocolError:
            # A malformed row is left unchanged, and the lease has no owner.
            self.metrics.count("lease.row.refused")
            return None
        finally:
            self.acquiring.discard(name)

    def can_read_row(self, name: str) -> bool:
        """Return whether enough time has passed to read the row of the lease again."""
        now_s = self.clock.now_s()
        if name not in self.row_read_at_s:
            if self.is_contender(name):
                return True
            # The first read is delayed as well, since otherwise all VMs would read the row when a
            # lease is first requested.
            self.row_read_at_s[name] = now_s
        return now_s - self.row_read_at_s[name] >= self.read_interval_s(name)

    def read_interval_s(self, name: str) -> float:
        """Return the interval between two reads of the lease's row, in seconds."""
        if self.is_contender(name) or self.watch.is_row_unchanged(name):
            return CONTENDER_READ_INTERVAL_S
        return min(
            MAX_NON_CONTENDER_READ_INTERVAL_S, NON_CONTENDER_READ_INTERVAL_S * self.rank(name)
        )

    async def try_acquire(self, name: str) -> Lease | None:
        """Read the lease's row and acquire the lease if it is free or has expired."""
        row = await self.table.get(lease_key(name))
        if not self.watch.observe(name, row, self.clock.now_s()):
            self.row_read_at_s[name] = self.clock.now_s()
            return None
        requested_at_s = self.clock.now_s()
        new_row, write = self.watch.acquisition(
            name, row, self.renewals.start_renewal(requested_at_s)
        )
        try:
            outcome = await self.table.commit(self.make_transaction(write))
        except OutcomeUnknownError:
            # The row is read below and shows whether this VM holds the lease.
            self.metrics.count("lease.acquire.looked_up")
        else:
            if isinstance(outcome, Conflicted):
                self.row_read_at_s[name] = self.clock.now_s()
                return None
        stored_row = await self.table.get(lease_key(name))
        if stored_row is None or stored_row.value != write.value:
            return None
        lease = Lease(
            name, self.vm_id, new_row.epoch, stored_row.version, safe_until(requested_at_s)
        )
        self.leases[name] = lease
        self.row_read_at_s.pop(name, None)
        self.record_acquisition(lease)
        return lease

    def record_acquisition(self, lease: Lease) -> None:
        """Log, count and audit the acquisition of a lease."""
        self.metrics.count("lease.taken")
        log.info("lease taken", lease=lease.name, epoch=lease.epoch)
        if self.audit is not None:
            self.audit.record(
                author=self.vm_id,
                action="lease.take",
                subject=lease.name,
                reason="free or lapsed",
                result=f"epoch {lease.epoch}",
            )

    async def release(self, name: str) -> None:
        """Release a lease, so that the next holder need not wait for it to expire."""
        lease = self.leases.pop(name, None)
        self.cached_ranks.pop(name, None)
        if lease is not None:
            await self.commit_releases((lease,))

    async def release_all(self) -> None:
        """Release all leases, for a shutdown."""
        leases = tuple(self.leases.values())
        self.leases.clear()
        for start in range(0, len(leases), MAX_RENEWALS_PER_COMMIT):
            await self.commit_releases(leases[start : start + MAX_RENEWALS_PER_COMMIT])

    async def commit_releases(self, leases: tuple[Lease, ...]) -> None:
        """Commit the releases of leases, without leases that were lost in the meantime."""
        remaining = leases
        while remaining:
            writes = (self.watch.release_write(lease) for lease in remaining)
            try:
                outcome = await self.table.commit(self.make_transaction(*writes))
            except PlatformError:
                self.metrics.count("lease.release.failed", len(remaining))
                return
            if not isinstance(outcome, Conflicted):
                return
            remaining = tuple(
                lease for lease in remaining if lease_key(lease.name) not in outcome.keys
            )

    async def run(self) -> None:
        """Renew all leases at intervals until cancelled, then release them."""
        try:
            while True:
                await self.clock.sleep(RENEW_INTERVAL_S)
                await self.renew_all()
                self.forget_unused(self.clock.now_s() - RETENTION_S)
        finally:
            with anyio.move_on_after(RELEASE_TIMEOUT_S, shield=True):
                await self.release_all()

    def forget_unused(self, before_s: float) -> None:
        """Drop the state of leases that were last requested on this VM before ``before_s``."""
        self.watch.forget_older_than(before_s)
        self.row_read_at_s = {
            name: at_s for name, at_s in self.row_read_at_s.items() if at_s >= before_s
        }
        self.cached_ranks = {
            name: cached for name, cached in self.cached_ranks.items() if cached.until_s >= before_s
        }

    async def renew_all(self) -> None:
        """Renew all leases, in as few commits as possible."""
        leases = tuple(self.leases.values())
        for start in range(0, len(leases), MAX_RENEWALS_PER_COMMIT):
            await self.renew(leases[start : start + MAX_RENEWALS_PER_COMMIT])

    async def renew(self, leases: tuple[Lease, ...]) -> None:
        """Renew leases in one commit, without those that were lost, and read their rows back."""
        renewal = self.renewals.start_renewal(self.clock.now_s())
        remaining = leases
        while remaining:
            writes = (self.watch.renewal_write(lease, renewal) for lease in remaining)
            try:
                outcome = await self.table.commit(self.make_transaction(*writes))
            except PlatformError:
                # The commit may still have taken effect; the rows that are read back show it.
                self.metrics.count("lease.renew.failed", len(remaining))
                break
            if not isinstance(outcome, Conflicted):
                break
            remaining = tuple(
                lease for lease in remaining if lease_key(lease.name) not in outcome.keys
            )
        async with anyio.create_task_group() as group:
            for lease in leases:
                group.start_soon(self.refresh, lease)

    async def refresh(self, lease: Lease) -> None:
        """Update a lease from its row, or drop it if the row shows that it is lost."""
        try:
            row = await self.table.get(lease_key(lease.name))
            refreshed_lease = self.watch.confirmed_lease(lease, row, self.renewals)
        except (PlatformError, ProtocolError):
            self.metrics.count("lease.read_back.failed")
            return
        current = self.leases.get(lease.name)
        if current is None or current.epoch != lease.epoch:
            return
        if refreshed_lease is not None:
            self.leases[lease.name] = refreshed_lease
            return
        del self.leases[lease.name]
        self.metrics.count("lease.lost")
        log.warning("lease lost", lease=lease.name, epoch=lease.epoch)

    def make_transaction(self, *writes: Write) -> Transaction:
        """Return a transaction of the writes with a new operation id."""
        return Transaction(self.randomness.fresh_id(), writes)
