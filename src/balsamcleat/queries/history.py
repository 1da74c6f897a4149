"""Queries of the configuration history and of the audit trail."""

import hashlib

import msgspec

from balsamcleat.configuration import (
    ChangeRecord,
    Document,
    NumberedConfiguration,
    decode_record_head,
)
from balsamcleat.configuration.store import ConfigurationStore, parse_leading_numbers
from balsamcleat.decoding import decode_json
from balsamcleat.errors import InvalidInputError, ProtocolError
from balsamcleat.model.audit import AuditRow, audit_key
from balsamcleat.ports import ObjectStore, Table

__all__ = ["AuditFilter", "DiffLine", "HistoryLine", "HistoryQuery", "diff_documents"]

MAX_LINES = 1000
AUDIT_PREFIX = "audit/"
AUDIT_OBJECTS = "audit/"
MAX_SCAN_PAGES = 50


class HistoryLine(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted configuration without its body."""

    version: int
    digest: str
    author: str
    reason: str
    at_s: float
    patch: str
    operation_id: str = ""
    forced: bool = False


class DiffLine(msgspec.Struct, frozen=True, kw_only=True):
    """An entry that differs between two configurations.

    Attributes:
        path: JSON pointer of the entry.
        before: JSON text of the entry in the first configuration, or None if it has none.
        after: JSON text of the entry in the second configuration, or None if it has none.
    """

    path: str
    before: str | None
    after: str | None


class AuditFilter(msgspec.Struct, frozen=True, kw_only=True):
    """Filter of audit rows; an empty text matches all rows.

    Attributes:
        since_s: Earliest time of a row, in seconds since the Unix epoch.
        until_s: Time before which a row was written, likewise; 0 for no end.
        author: Author of a row.
        action: Beginning of a row's action.
        subject: Subject of a row.
        result: Text that a row's result contains.
        limit: Maximum number of rows, of which the newest are returned.
    """

    since_s: float = 0.0
    until_s: float = 0.0
    author: str = ""
    action: str = ""
    subject: str = ""
    result: str = ""
    limit: int = MAX_LINES

    def matches(self, row: AuditRow) -> bool:
        """Return whether a row passes the filter."""
        return (
            row.at_s >= self.since_s
            and (not self.until_s or row.at_s < self.until_s)
            and (not self.author or row.author == self.author)
            and row.action.startswith(self.action)
            and (not self.subject or row.subject == self.subject)
            and self.result in row.result
        )


class HistoryQuery:
    """Reads numbered configurations and audit rows.

    Args:
        table: Table service of the platform.
        objects: Object store to which old rows were moved.
    """

    def __init__(self, table: Table, objects: ObjectStore | None = None) -> None:
        self.table = table
        self.objects = objects
        self.store = ConfigurationStore(table, objects)

    async def load_version(self, version: int) -> NumberedConfiguration | None:
        """Return a numbered configuration, or None if there is none."""
        return await self.store.load_version(version)

    async def list_changes(self, after: int = 0, limit: int = MAX_LINES) -> tuple[HistoryLine, ...]:
        """Return the accepted configurations after version ``after``, oldest first."""
        archived = await self.store.read_archived_changes(after, after + limit)
        lines = [history_line(change) for change in archived]
        start = lines[-1].version if lines else after
        for row in await self.store.read_change_rows(start, max(0, limit - len(lines))):
            lines.append(history_line(await self.store.decode_change(row.value)))
        return tuple(lines[:limit])

    async def diff(self, old: int, new: int) -> tuple[DiffLine, ...]:
        """Return the entries that differ between two configurations.

        Raises:
            InvalidInputError: One of the two configurations does not exist.
        """
        documents: list[Document] = []
        for version in (old, new):
            record = await self.load_version(version)
            if record is None:
                raise InvalidInputError(f"there is no configuration {version}", step="diff")
            documents.append(record.document)
        return diff_documents(*documents)

    async def list_audit_rows(
        self, audit_filter: AuditFilter | None = None
    ) -> tuple[AuditRow, ...]:
        """Return the newest audit rows that match the filter, oldest first."""
        audit_filter = audit_filter or AuditFilter()
        matching = [
            row
            for row in await self.list_archived_audit_rows(audit_filter)
            if audit_filter.matches(row)
        ]
        after = (
            audit_key(max(0.0, audit_filter.since_s), "") if audit_filter.since_s else AUDIT_PREFIX
        )
        for _ in range(MAX_SCAN_PAGES):
            rows = await self.table.scan(AUDIT_PREFIX, after, MAX_LINES)
            matching += [
                line for row in rows if audit_filter.matches(line := decode_audit_row(row.value))
            ]
            if len(rows) < MAX_LINES:
                break
            after = rows[-1].key
        return tuple(matching[-audit_filter.limit :])

    async def list_archived_audit_rows(self, audit_filter: AuditFilter) -> list[AuditRow]:
        """Return the audit rows of the archives that overlap the time of the filter."""
        if self.objects is None:
            return []
        audit_rows: list[AuditRow] = []
        since_ms, until_ms = int(audit_filter.since_s * 1000), int(audit_filter.until_s * 1000)
        for key in await self.objects.keys(AUDIT_OBJECTS):
            first, last = parse_leading_numbers(key.removeprefix(AUDIT_OBJECTS), 2)
            if last < since_ms or (until_ms and first >= until_ms):
                continue
            body = await self.objects.get(key)
            audit_rows += [decode_audit_row(line) for line in (body or b"").splitlines()]
        return audit_rows


def history_line(change: ChangeRecord) -> HistoryLine:
    """Return the line of a change in the history."""
    raw_head = bytes(change.head)
    head = decode_record_head(raw_head)
    return HistoryLine(
        version=head.version,
        digest=hashlib.sha256(raw_head).hexdigest(),
        author=head.author,
        reason=head.reason,
        at_s=head.at_s,
        patch=head.patch,
        operation_id=head.operation_id,
        forced=head.forced,
    )


def decode_audit_row(value: bytes) -> AuditRow:
    """Return the audit row in a value; fields of later releases are ignored.

    Raises:
        ProtocolError: The value is malformed.
    """
    try:
        return decode_json(value, AuditRow)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"not an audit line: {error}", step="audit.read") from error


def diff_documents(old: Document, new: Document) -> tuple[DiffLine, ...]:
    """Return the entries that differ between two documents, sorted by path."""

    def text(value: bytes | None) -> str | None:
        return None if value is None else value.decode()

    return tuple(
        DiffLine(path=path, before=text(old.get(path)), after=text(new.get(path)))
        for path in sorted(old.delta_to(new).pointers())
    )
