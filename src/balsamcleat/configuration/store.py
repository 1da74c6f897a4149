"""Where numbered configurations are kept: rows of the table and objects."""

import hashlib

import msgspec

from balsamcleat.configuration.history import (
    EMPTY_CONFIGURATION,
    ChangeRecord,
    NumberedConfiguration,
    SnapshotRecord,
    apply_change,
    decode_and_verify,
    decode_stored_record,
    encode_snapshot,
)
from balsamcleat.errors import ProtocolError
from balsamcleat.ports import ABSENT, ObjectStore, Row, Table, Write

__all__ = [
    "CHANGE_PREFIX",
    "HEAD_KEY",
    "SNAPSHOT_KEY",
    "ConfigurationStore",
    "HeadRow",
    "OperationRow",
    "SnapshotRow",
    "change_key",
    "change_version",
    "decode_head_row",
    "installation_writes",
    "operation_key",
    "parse_leading_numbers",
    "patch_digest",
]

HEAD_KEY = "config/head"
CHANGE_PREFIX = "config/change/"
SNAPSHOT_KEY = "config/snapshot"
SNAPSHOT_OBJECT_PREFIX = "config/snapshot/"
ARCHIVE_OBJECT_PREFIX = "config/changes/"
MAX_ROW_BYTES = 64 * 1024
MAX_ROWS_PER_SCAN = 500
# With more changes than this to apply, the snapshot is fetched first.
MAX_CHANGES_APPLIED = 400


class HeadRow(msgspec.Struct, frozen=True):
    """The newest number and its digest; the compare-and-set of this row orders all changes."""

    version: int
    digest: str = ""


class OperationRow(msgspec.Struct, frozen=True):
    """Which version a submission became, so that it is never applied twice."""

    version: int
    digest: str
    patch_sha256: str = ""


class SnapshotRow(msgspec.Struct, frozen=True):
    """Where the newest whole configuration is kept."""

    version: int
    digest: str
    object_key: str


class ReferenceRow(msgspec.Struct, frozen=True, tag_field="kind", tag="reference"):
    """A change too large for a row."""

    object_key: str
    sha256: str


def change_key(version: int) -> str:
    """Return the row of one change."""
    return f"{CHANGE_PREFIX}{version:012d}"


def change_version(key: str) -> int:
    """Return the version of a change's row.

    Raises:
        ProtocolError: The key is not that of a change.
    """
    return parse_leading_numbers(key.removeprefix(CHANGE_PREFIX), 1)[0]


def parse_leading_numbers(name: str, count: int) -> tuple[int, ...]:
    """Return the numbers, joined by dashes, that a name begins with.

    Raises:
        ProtocolError: There are fewer.
    """
    parts = name.split("-")[:count]
    if len(parts) < count or not all(part.isascii() and part.isdigit() for part in parts):
        raise ProtocolError(f"odd name {name!r}", step="configuration.read")
    return tuple(int(part) for part in parts)


def operation_key(operation_id: str) -> str:
    """Return the row of one submission; its id may hold any characters."""
    return f"config/operation/{hashlib.sha256(operation_id.encode()).hexdigest()}"


def snapshot_object_key(version: int) -> str:
    """Return the object of one snapshot."""
    return f"{SNAPSHOT_OBJECT_PREFIX}{version:012d}"


def patch_digest(base_version: int, patch: bytes) -> str:
    """Return what tells one submission from another that uses its id."""
    return hashlib.sha256(f"{base_version}:".encode() + patch).hexdigest()


def decode_head_row(row: Row | None) -> HeadRow:
    """Return the head; the earliest release wrote only the number.

    Raises:
        ProtocolError: It is malformed.
    """
    if row is None:
        return HeadRow(0)
    try:
        head = msgspec.json.decode(row.value, type=HeadRow | int)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"not a head row: {error}", step="configuration.read") from error
    return HeadRow(head) if isinstance(head, int) else head


def installation_writes(record: NumberedConfiguration) -> tuple[Write, ...]:
    """Return the rows that put configuration 1 into an empty table."""
    head = HeadRow(record.version, record.digest)
    return (
        Write(HEAD_KEY, msgspec.json.encode(head), ABSENT),
        Write(change_key(record.version), record.change, ABSENT),
    )


class ConfigurationStore:
    """Reads and writes numbered configurations.

    Args:
        table: The platform's table.
        objects: The object store, for what is too large for a row; None in small tests.
    """

    def __init__(self, table: Table, objects: ObjectStore | None = None) -> None:
        self.table = table
        self.objects = objects

    async def read_head(self) -> tuple[HeadRow, int]:
        """Return the head and the version of its row."""
        row = await self.table.get(HEAD_KEY)
        return decode_head_row(row), ABSENT if row is None else row.version

    async def read_change_rows(self, after: int, limit: int = MAX_ROWS_PER_SCAN) -> tuple[Row, ...]:
        """Return the rows of changes above ``after``, oldest first, unread."""
        return await self.table.scan(CHANGE_PREFIX, change_key(after), limit)

    async def decode_change(self, value: bytes) -> ChangeRecord:
        """Return the change in a row, from the object store if the row only refers to it.

        Raises:
            PlatformError: The object could not be read.
            ProtocolError: It is malformed.
        """
        try:
            stored = msgspec.json.decode(value, type=ChangeRecord | SnapshotRecord | ReferenceRow)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ProtocolError(f"not a change: {error}", step="configuration.read") from error
        if isinstance(stored, ReferenceRow):
            body = await self.read_object(stored.object_key)
            if hashlib.sha256(body).hexdigest() != stored.sha256:
                raise ProtocolError("a change does not match its row", step="configuration.read")
            stored = decode_stored_record(body)
        if not isinstance(stored, ChangeRecord):
            raise ProtocolError("a snapshot in place of a change", step="configuration.read")
        return stored

    async def read_object(self, key: str) -> bytes:
        """Return an object that must be there."""
        body = None if self.objects is None else await self.objects.get(key)
        if body is None:
            raise ProtocolError(f"there is no object {key}", step="configuration.read")
        return body

    async def prepare_change_write(self, record: NumberedConfiguration) -> Write:
        """Return the write of a change's row, after putting a large change into an object."""
        key = change_key(record.version)
        if len(record.change) <= MAX_ROW_BYTES or self.objects is None:
            return Write(key, record.change, ABSENT)
        # Submissions race for a version, so the digest is part of the object's name.
        object_key = f"config/large/{record.version:012d}-{record.digest}"
        await self.objects.put(object_key, record.change)
        sha256 = hashlib.sha256(record.change).hexdigest()
        return Write(key, msgspec.json.encode(ReferenceRow(object_key, sha256)), ABSENT)

    async def load_head_configuration(
        self, base: NumberedConfiguration, head: HeadRow
    ) -> NumberedConfiguration:
        """Return the configuration that the head names, starting from ``base``.

        Raises:
            PlatformError: The platform could not be read.
            ProtocolError: What was read does not lead to the head.
        """
        if head.version - base.version > MAX_CHANGES_APPLIED:
            base = await self.load_newest_snapshot(base, head.version)
        record = await self.apply_change_rows(base, head.version)
        if record.version < head.version:
            # Rows above ours were archived; whoever archives writes a snapshot first.
            record = await self.apply_change_rows(
                await self.load_newest_snapshot(base, head.version), head.version
            )
        if record.version == head.version and head.digest not in ("", record.digest):
            raise ProtocolError("the history does not lead to the head", step="configuration.read")
        return record

    async def apply_change_rows(
        self, base: NumberedConfiguration, until: int
    ) -> NumberedConfiguration:
        """Return ``base`` brought up to a version by rows, or as far as they go."""
        record = base
        while record.version < until:
            rows = await self.read_change_rows(record.version, min(MAX_ROWS_PER_SCAN, until))
            if not rows or change_version(rows[0].key) != record.version + 1:
                return record
            for row in rows:
                if record.version < until:
                    record = apply_change(record, await self.decode_change(row.value))
        return record

    async def load_newest_snapshot(
        self, base: NumberedConfiguration, at_most: int | None = None
    ) -> NumberedConfiguration:
        """Return the newest snapshot, or ``base`` if it is no older."""
        known = await self.read_snapshot_row()
        if known is None or known[0].version <= base.version:
            return base
        if at_most is not None and known[0].version > at_most:
            return base
        record = decode_and_verify(await self.read_object(known[0].object_key))
        if record.digest != known[0].digest:
            raise ProtocolError("a snapshot does not match its row", step="configuration.read")
        return record

    async def read_snapshot_row(self) -> tuple[SnapshotRow, int] | None:
        """Return which snapshot is the newest, with its row's version."""
        row = await self.table.get(SNAPSHOT_KEY)
        if row is None:
            return None
        try:
            return msgspec.json.decode(row.value, type=SnapshotRow), row.version
        except msgspec.DecodeError as error:
            raise ProtocolError(
                f"not a snapshot row: {error}", step="configuration.read"
            ) from error

    async def prepare_snapshot_write(
        self, record: NumberedConfiguration, row_version: int
    ) -> Write:
        """Store a snapshot and return the write that makes it the newest."""
        if self.objects is None:
            raise ProtocolError("there is no object store", step="configuration.snapshot")
        key = snapshot_object_key(record.version)
        await self.objects.put(key, encode_snapshot(record))
        row = SnapshotRow(record.version, record.digest, key)
        return Write(SNAPSHOT_KEY, msgspec.json.encode(row), row_version)

    async def read_operation(self, operation_id: str) -> OperationRow | None:
        """Return what became of a submission, or None when it is not known."""
        row = await self.table.get(operation_key(operation_id))
        if row is None:
            return None
        try:
            return msgspec.json.decode(row.value, type=OperationRow)
        except msgspec.DecodeError as error:
            raise ProtocolError(f"not an operation: {error}", step="configuration.read") from error

    async def load_version(self, version: int) -> NumberedConfiguration | None:
        """Return one version, rebuilt from the snapshot before it and the changes since."""
        start = await self.load_snapshot_before(version)
        record = start
        for archived in await self.read_archived_changes(start.version, version):
            if record.version < version:
                record = apply_change(record, archived)
        record = await self.apply_change_rows(record, version)
        return record if record.version == version else None

    async def load_snapshot_before(self, version: int) -> NumberedConfiguration:
        """Return the newest snapshot that is no newer than the version."""
        if self.objects is None:
            return EMPTY_CONFIGURATION
        keys = await self.objects.keys(SNAPSHOT_OBJECT_PREFIX)
        fitting = [key for key in keys if key <= snapshot_object_key(version)]
        return (
            decode_and_verify(await self.read_object(fitting[-1]))
            if fitting
            else EMPTY_CONFIGURATION
        )

    async def read_archived_changes(self, after: int, until: int) -> list[ChangeRecord]:
        """Return the archived changes from above ``after`` up to ``until``, oldest first."""
        if self.objects is None:
            return []
        found: list[ChangeRecord] = []
        for key in await self.objects.keys(ARCHIVE_OBJECT_PREFIX):
            first, last = parse_leading_numbers(key.removeprefix(ARCHIVE_OBJECT_PREFIX), 2)
            if last <= after or first > until:
                continue
            lines = (await self.read_object(key)).splitlines()
            found += [await self.decode_change(line) for line in lines[max(0, after + 1 - first) :]]
        return found
