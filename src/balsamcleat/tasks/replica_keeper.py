"""Keeps the directory of targets up to date with the platform's table."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.replica_directory import ReplicaChange, ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.http1 import ConnectionPool
from balsamcleat.model import TargetId
from balsamcleat.model.replicas import Replica
from balsamcleat.platform import decode_replica
from balsamcleat.ports.rows import RowChange
from balsamcleat.tasks.table_follower import TableObserver, guard_row

__all__ = ["ReplicaKeeper"]

EXPIRY_CHECK_INTERVAL_S = 0.25

log = structlog.get_logger()


class ReplicaKeeper(TableObserver):
    """Updates the directory and discards the state of targets that are gone.

    Args:
        directory: Directory of the targets.
        stats_registry: Statistics of the targets.
        pool: Pool of connections to the targets.
        on_change: Called after each change of the directory.
        on_target_end: Called when a target that had not announced it left the list, and when a
            target started again; gets the target's id and the time of its new start, if any.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        pool: ConnectionPool,
        on_change: Callable[[], None],
        on_target_end: Callable[[TargetId, int | None], None],
    ) -> None:
        self.directory = directory
        self.stats_registry = stats_registry
        self.pool = pool
        self.on_change = on_change
        self.on_target_end = on_target_end

    def on_snapshot(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Replace the directory by a snapshot of the table."""
        replicas = {}
        for row in rows:
            replica = guard_row(self.decode, row)
            if replica is not None:
                replicas[replica.target_id] = replica
        now_s = anyio.current_time()
        self.apply_changes(self.directory.apply_listing(replicas, now_s), version)
        self.on_change()

    def apply_row(self, row: RowChange) -> None:
        """Apply a changed or deleted entry to the directory."""
        now_s = anyio.current_time()
        replica = guard_row(self.decode, row)
        if replica is not None:
            changes = self.directory.apply_entry(replica, now_s)
        else:
            changes = self.directory.apply_removal(TargetId(row.key.key), now_s)
        self.apply_changes(changes, row.version)

    def on_rows_applied(self) -> None:
        """Report the changes of one answer."""
        self.on_change()

    def decode(self, row: RowChange) -> Replica | None:
        """Return the entry in a row.

        Returns:
            The entry; None for a deletion or a row that another writer wrote or that is invalid.
        """
        if row.value is None:
            return None
        replica = decode_replica(row.key.key, row.value, row.version)
        if replica is None:
            log.info("target entry ignored", target=row.key.key, row_version=row.version)
        return replica

    def on_store_recovered(self) -> None:
        """Give entries that expired while the store was unavailable time to be renewed."""
        self.directory.record_store_recovery(anyio.current_time())

    def record_read(self) -> None:
        """Record that the directory shows the table as of now."""
        self.directory.record_read(anyio.current_time())

    def apply_changes(self, changes: list[ReplicaChange], version: int) -> None:
        """Log the changes and discard the state that they make stale."""
        for change in changes:
            log.info(
                "target " + change.reason,
                target=change.target_id,
                service=change.replica.service if change.replica else None,
                address=change.replica.address if change.replica else None,
                software=change.replica.software_version if change.replica else None,
                started_ms=change.replica.started_ms if change.replica else None,
                row_version=version,
            )
            if change.replica is None or change.reason == "restarted":
                self.stats_registry.remove(change.target_id)
                if not change.is_planned:
                    started_ms = change.replica.started_ms if change.replica else None
                    self.on_target_end(change.target_id, started_ms)
            if change.replica is not None and change.reason in ("listed", "restarted"):
                # The pooled connections may belong to another target that had the same address.
                self.pool.close_idle_connections(change.replica.address)

    async def run(self) -> None:
        """Remove entries that are still missing some time after the store has recovered."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if self.directory.missing_until_s:
                changes = self.directory.remove_expired(anyio.current_time())
                if changes:
                    self.apply_changes(changes, 0)
                    self.on_change()
