"""Compaction of the platform's table: snapshots, archives and deletion of stale markers."""

import structlog

from balsamcleat.configuration import decode_record_head
from balsamcleat.configuration.store import (
    ARCHIVE_OBJECT_PREFIX,
    SNAPSHOT_OBJECT_PREFIX,
    ConfigurationStore,
    change_version,
    operation_key,
    parse_leading_numbers,
)
from balsamcleat.errors import PlatformError, ProtocolError
from balsamcleat.ports import (
    ABSENT,
    Clock,
    Metrics,
    ObjectStore,
    Randomness,
    Row,
    Table,
    Transaction,
    Write,
)
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.platform_client import FENCE_RETENTION_S, MARKER_PREFIX

__all__ = ["TableArchiver"]

LEASE_NAME = "archive"
WORK_INTERVAL_S = 10.0
SNAPSHOT_EVERY = 100
CHANGES_KEPT = 2_000
AUDIT_ROWS_KEPT = 5_000
ROWS_PER_ARCHIVE = 500
DELETES_PER_COMMIT = 100
# The newest snapshots are kept; of the older ones, one for each OLD_SNAPSHOT_EVERY versions.
SNAPSHOTS_KEPT = 5
OLD_SNAPSHOT_EVERY = 1_000
MARKER_RETENTION_S = 2 * FENCE_RETENTION_S
SCAN_LIMIT = 1_000
AUDIT_PREFIX = "audit/"

log = structlog.get_logger()


class TableArchiver:
    """Archives old rows of the table on the one VM that holds the archive lease.

    Each operation writes the rows to their destination before it deletes them, so that nothing is
    lost if the process stops in between, and the next holder of the lease continues.

    Args:
        table: Table of the platform.
        objects: Object store that receives the archives.
        keeper: Keeper of the configuration in force.
        leases: Leases of this VM.
        clock: Clock for the intervals and the retention of markers.
        randomness: Source of operation ids.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        keeper: ConfigurationKeeper,
        leases: LeaseKeeper,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.objects = objects
        self.keeper = keeper
        self.leases = leases
        self.clock = clock
        self.randomness = randomness
        self.metrics = metrics
        self.store = ConfigurationStore(table, objects)
        self.markers_first_seen_s: dict[str, float] = {}

    async def run(self) -> None:
        """Archive rows at intervals until cancelled, while this VM holds the archive lease."""
        while True:
            await self.clock.sleep(WORK_INTERVAL_S)
            try:
                if await self.leases.acquire(LEASE_NAME) is not None:
                    await self.run_once()
            except (PlatformError, ProtocolError):
                self.metrics.count("archive.failed")

    async def run_once(self) -> None:
        """Perform each of the operations once."""
        await self.write_snapshot()
        await self.archive_changes()
        await self.archive_audit()
        await self.delete_old_snapshots()
        await self.delete_stale_markers()

    async def write_snapshot(self) -> None:
        """Write a snapshot if the newest one is at least ``SNAPSHOT_EVERY`` versions behind."""
        record = self.keeper.current
        snapshot = await self.store.read_snapshot_row()
        version, row_version = (
            (0, ABSENT) if snapshot is None else (snapshot[0].version, snapshot[1])
        )
        if record.version - version < SNAPSHOT_EVERY:
            return
        write = await self.store.prepare_snapshot_write(record, row_version)
        await self.commit(write)
        self.metrics.count("archive.snapshots")

    async def archive_changes(self) -> None:
        """Move the oldest changes into an object if a newer snapshot exists."""
        snapshot = await self.store.read_snapshot_row()
        rows = await self.store.read_change_rows(0, ROWS_PER_ARCHIVE)
        if snapshot is None or not rows:
            return
        last = change_version(rows[-1].key)
        if last > self.keeper.current.version - CHANGES_KEPT or last > snapshot[0].version:
            return
        first = change_version(rows[0].key)
        key = f"{ARCHIVE_OBJECT_PREFIX}{first:012d}-{last:012d}"
        await self.objects.put(key, b"\n".join(row.value for row in rows))
        operations = [await self.operation_row_key(row) for row in rows]
        await self.delete_rows([row.key for row in rows] + operations)
        log.info("changes archived", first=first, last=last)

    async def operation_row_key(self, row: Row) -> str:
        """Return the key of the operation row that belongs to a change."""
        change = await self.store.decode_change(row.value)
        return operation_key(decode_record_head(bytes(change.head)).operation_id)

    async def archive_audit(self) -> None:
        """Move the oldest audit rows into an object once there are too many."""
        keys: list[str] = []
        archived_rows: tuple[Row, ...] = ()
        while len(keys) <= AUDIT_ROWS_KEPT:
            rows = await self.table.scan(AUDIT_PREFIX, keys[-1] if keys else "", SCAN_LIMIT)
            archived_rows = archived_rows or rows[:ROWS_PER_ARCHIVE]
            keys += [row.key for row in rows]
            if len(rows) < SCAN_LIMIT:
                break
        if len(keys) < AUDIT_ROWS_KEPT + ROWS_PER_ARCHIVE:
            return
        since, until = (
            row.key.removeprefix(AUDIT_PREFIX).split("/")[0]
            for row in first_and_last(archived_rows)
        )
        # The id of the first row distinguishes two archives from the same millisecond.
        name = f"{AUDIT_PREFIX}{since}-{until}-{archived_rows[0].key.rpartition('/')[2]}"
        await self.objects.put(name, b"\n".join(row.value for row in archived_rows))
        await self.delete_rows([row.key for row in archived_rows])
        self.metrics.count("archive.audit_rows", len(archived_rows))

    async def delete_old_snapshots(self) -> None:
        """Delete old snapshots within ``OLD_SNAPSHOT_EVERY`` versions of the previous kept one."""
        keys = (await self.objects.keys(SNAPSHOT_OBJECT_PREFIX))[:-SNAPSHOTS_KEPT]
        last_kept_version = 0
        for key in keys:
            (version,) = parse_leading_numbers(key.removeprefix(SNAPSHOT_OBJECT_PREFIX), 1)
            if version - last_kept_version >= OLD_SNAPSHOT_EVERY or not last_kept_version:
                last_kept_version = version
                continue
            await self.objects.delete(key)

    async def delete_stale_markers(self) -> None:
        """Delete commit markers that terminated processes have left behind."""
        now_s = self.clock.now_s()
        rows = await self.table.scan(MARKER_PREFIX, "", SCAN_LIMIT)
        self.markers_first_seen_s = {
            row.key: self.markers_first_seen_s.get(row.key, now_s) for row in rows
        }
        stale_keys = [
            key
            for key, at_s in self.markers_first_seen_s.items()
            if now_s - at_s >= MARKER_RETENTION_S
        ]
        await self.delete_rows(stale_keys)
        self.metrics.count("archive.markers", len(stale_keys))

    async def delete_rows(self, keys: list[str]) -> None:
        """Delete rows in batches; rows that no longer exist are ignored."""
        for start in range(0, len(keys), DELETES_PER_COMMIT):
            await self.commit(
                *(Write(key, None) for key in keys[start : start + DELETES_PER_COMMIT])
            )

    async def commit(self, *writes: Write) -> None:
        """Commit writes with a new operation id."""
        await self.table.commit(Transaction(self.randomness.fresh_id(), writes))


def first_and_last(rows: tuple[Row, ...]) -> tuple[Row, Row]:
    """Return the first and the last row."""
    return rows[0], rows[-1]
