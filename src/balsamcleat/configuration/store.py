"""Storage of numbered configurations in table rows and in the object store."""

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
from balsamcleat.decoding import decode_json
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
# If more changes than this must be applied, the newest snapshot is loaded first.
MAX_CHANGES_APPLIED = 400


class HeadRow(msgspec.Struct, frozen=True):
    """Newest version and its digest; compare-and-set of this row serializes all changes."""

    version: int
    digest: str = ""


class OperationRow(msgspec.Struct, frozen=True):
    """Version that a submission produced; prevents applying the submission twice."""

    version: int
    digest: str
    patch_sha256: str = ""


class SnapshotRow(msgspec.Struct, frozen=True):
    """Reference to the object with the newest snapshot."""

    version: int
    digest: str
    object_key: str


class ReferenceRow(msgspec.Struct, frozen=True, tag_field="kind", tag="reference"):
    """Reference to the object with a change that is too large for a row."""

    object_key: str
    sha256: str


def change_key(version: int) -> str:
    """Return the row key of a change."""
    return f"{CHANGE_PREFIX}{version:012d}"


def change_version(key: str) -> int:
    """Return the configuration version in the row key of a change.

    Raises:
        ProtocolError: The key is not the row key of a change.
    """
    return parse_leading_numbers(key.removeprefix(CHANGE_PREFIX), 1)[0]


def parse_leading_numbers(name: str, count: int) -> tuple[int, ...]:
    """Return the first ``count`` numbers of a name whose parts are separated by dashes.

    Raises:
        ProtocolError: The name begins with fewer than ``count`` numbers.
    """
    parts = name.split("-")[:count]
    if len(parts) < count or not all(part.isascii() and part.isdigit() for part in parts):
        raise ProtocolError(f"malformed key or object name {name!r}", step="configuration.read")
    return tuple(int(part) for part in parts)


def operation_key(operation_id: str) -> str:
    """Return the row key of a submission; hashed because an id may contain any characters."""
    return f"config/operation/{hashlib.sha256(operation_id.encode()).hexdigest()}"


def snapshot_object_key(version: int) -> str:
    """Return the object key of a snapshot."""
    return f"{SNAPSHOT_OBJECT_PREFIX}{version:012d}"


def patch_digest(base_version: int, patch: bytes) -> str:
    """Return a digest that distinguishes submissions that reuse the same operation id."""
    return hashlib.sha256(f"{base_version}:".encode() + patch).hexdigest()


def decode_head_row(row: Row | None) -> HeadRow:
    """Decode the head row, which the earliest release wrote as a bare version number.

    Raises:
        ProtocolError: The row is malformed.
    """
    if row is None:
        return HeadRow(0)
    try:
        head = decode_json(row.value, HeadRow | int)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"malformed head row: {error}", step="configuration.read") from error
    return HeadRow(head) if isinstance(head, int) else head


def installation_writes(record: NumberedConfiguration) -> tuple[Write, ...]:
    """Return the writes that store configuration 1 in an empty table."""
    head = HeadRow(record.version, record.digest)
    return (
        Write(HEAD_KEY, msgspec.json.encode(head), ABSENT),
        Write(change_key(record.version), record.change, ABSENT),
    )


class ConfigurationStore:
    """Reads numbered configurations from the platform's storage and prepares writes to it.

    Args:
        table: The platform's table.
        objects: Object store for snapshots, archives and large changes; None in small tests.
    """

    def __init__(self, table: Table, objects: ObjectStore | None = None) -> None:
        self.table = table
        self.objects = objects

    async def read_head(self) -> tuple[HeadRow, int]:
        """Return the head row and its row version."""
        row = await self.table.get(HEAD_KEY)
        return decode_head_row(row), ABSENT if row is None else row.version

    async def read_change_rows(self, after: int, limit: int = MAX_ROWS_PER_SCAN) -> tuple[Row, ...]:
        """Return the undecoded rows of changes newer than version ``after``, oldest first."""
        return await self.table.scan(CHANGE_PREFIX, change_key(after), limit)

    async def decode_change(self, value: bytes) -> ChangeRecord:
        """Decode the change in a row, reading it from the object store if the row is a reference.

        Raises:
            PlatformError: The object could not be read.
            ProtocolError: The row or the object is malformed.
        """
        try:
            stored = decode_json(value, ChangeRecord | SnapshotRecord | ReferenceRow)
        except msgspec.DecodeError as error:
            raise ProtocolError(
                f"malformed change record: {error}", step="configuration.read"
            ) from error
        if isinstance(stored, ReferenceRow):
            body = await self.read_object(stored.object_key)
            if hashlib.sha256(body).hexdigest() != stored.sha256:
                raise ProtocolError(
                    "change object does not match the digest in its row", step="configuration.read"
                )
            stored = decode_stored_record(body)
        if not isinstance(stored, ChangeRecord):
            raise ProtocolError(
                "expected a change record, found a snapshot", step="configuration.read"
            )
        return stored

    async def read_object(self, key: str) -> bytes:
        """Return the contents of an object.

        Raises:
            ProtocolError: The object does not exist.
        """
        body = None if self.objects is None else await self.objects.get(key)
        if body is None:
            raise ProtocolError(f"object {key} does not exist", step="configuration.read")
        return body

    async def prepare_change_write(self, record: NumberedConfiguration) -> Write:
        """Return the write of a change's row, after storing a large change as an object."""
        key = change_key(record.version)
        if len(record.change) <= MAX_ROW_BYTES or self.objects is None:
            return Write(key, record.change, ABSENT)
        # Concurrent submissions may use the same version, so the object key contains the digest.
        object_key = f"config/large/{record.version:012d}-{record.digest}"
        await self.objects.put(object_key, record.change)
        sha256 = hashlib.sha256(record.change).hexdigest()
        return Write(key, msgspec.json.encode(ReferenceRow(object_key, sha256)), ABSENT)

    async def load_head_configuration(
        self, base: NumberedConfiguration, head: HeadRow
    ) -> NumberedConfiguration:
        """Return the configuration that the head row refers to, applying changes to ``base``.

        Raises:
            PlatformError: The platform could not be read.
            ProtocolError: The records that were read do not lead to the head's digest.
        """
        if head.version - base.version > MAX_CHANGES_APPLIED:
            base = await self.load_newest_snapshot(base, head.version)
        record = await self.apply_change_rows(base, head.version)
        if record.version < head.version:
            # The rows that follow were archived; the archiver writes a snapshot before it archives.
            record = await self.apply_change_rows(
                await self.load_newest_snapshot(base, head.version), head.version
            )
        if record.version == head.version and head.digest not in ("", record.digest):
            raise ProtocolError(
                "configuration history does not match the head row", step="configuration.read"
            )
        return record

    async def apply_change_rows(
        self, base: NumberedConfiguration, until: int
    ) -> NumberedConfiguration:
        """Apply change rows to ``base`` up to version ``until`` or the first missing row."""
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
        """Return the newest snapshot, or ``base`` if the snapshot is not newer.

        A snapshot newer than version ``at_most`` is not used either.
        """
        newest = await self.read_snapshot_row()
        if newest is None or newest[0].version <= base.version:
            return base
        if at_most is not None and newest[0].version > at_most:
            return base
        record = decode_and_verify(await self.read_object(newest[0].object_key))
        if record.digest != newest[0].digest:
            raise ProtocolError(
                "snapshot does not match the digest in its row", step="configuration.read"
            )
        return record

    async def read_snapshot_row(self) -> tuple[SnapshotRow, int] | None:
        """Return the row of the newest snapshot and its row version, or None if there is none."""
        row = await self.table.get(SNAPSHOT_KEY)
        if row is None:
            return None
        try:
            return decode_json(row.value, SnapshotRow), row.version
        except msgspec.DecodeError as error:
            raise ProtocolError(
                f"malformed snapshot row: {error}", step="configuration.read"
            ) from error

    async def prepare_snapshot_write(
        self, record: NumberedConfiguration, row_version: int
    ) -> Write:
        """Store a snapshot object and return the write that makes it the newest snapshot."""
        if self.objects is None:
            raise ProtocolError("no object store is configured", step="configuration.snapshot")
        key = snapshot_object_key(record.version)
        await self.objects.put(key, encode_snapshot(record))
        row = SnapshotRow(record.version, record.digest, key)
        return Write(SNAPSHOT_KEY, msgspec.json.encode(row), row_version)

    async def read_operation(self, operation_id: str) -> OperationRow | None:
        """Return the outcome of a submission, or None if the submission is not recorded."""
        row = await self.table.get(operation_key(operation_id))
        if row is None:
            return None
        try:
            return decode_json(row.value, OperationRow)
        except msgspec.DecodeError as error:
            raise ProtocolError(
                f"malformed operation row: {error}", step="configuration.read"
            ) from error

    async def load_version(self, version: int) -> NumberedConfiguration | None:
        """Return a version, rebuilt from a snapshot and later changes, or None if unavailable."""
        snapshot = await self.load_snapshot_before(version)
        record = snapshot
        for change in await self.read_archived_changes(snapshot.version, version):
            if record.version < version:
                record = apply_change(record, change)
        record = await self.apply_change_rows(record, version)
        return record if record.version == version else None

    async def load_snapshot_before(self, version: int) -> NumberedConfiguration:
        """Return the newest snapshot up to ``version``, or the empty configuration if none."""
        if self.objects is None:
            return EMPTY_CONFIGURATION
        keys = await self.objects.keys(SNAPSHOT_OBJECT_PREFIX)
        candidates = [key for key in keys if key <= snapshot_object_key(version)]
        return (
            decode_and_verify(await self.read_object(candidates[-1]))
            if candidates
            else EMPTY_CONFIGURATION
        )

    async def read_archived_changes(self, after: int, until: int) -> list[ChangeRecord]:
        """Return the archived changes after version ``after`` up to ``until``, oldest first."""
        if self.objects is None:
            return []
        changes: list[ChangeRecord] = []
        for key in await self.objects.keys(ARCHIVE_OBJECT_PREFIX):
            first, last = parse_leading_numbers(key.removeprefix(ARCHIVE_OBJECT_PREFIX), 2)
            if last <= after or first > until:
                continue
            lines = (await self.read_object(key)).splitlines()
            changes += [
                await self.decode_change(line) for line in lines[max(0, after + 1 - first) :]
            ]
        return changes
