"""Read the history of configurations and the audit trail."""

import hashlib

import msgspec

from balsamcleat.configuration import (
    ChangeRecord,
    Document,
    NumberedConfiguration,
    decode_record_head,
)
from balsamcleat.configuration.store import ConfigurationStore, parse_leading_numbers
from balsamcleat.errors import InvalidInputError, ProtocolError
from balsamcleat.model.audit import AuditRow, audit_key
from balsamcleat.ports import ObjectStore, Table

__all__ = ["AuditFilter", "DiffLine", "HistoryLine", "HistoryQuery", "diff_documents"]

MAX_LINES = 1000
AUDIT_PREFIX = "audit/"
AUDIT_OBJECTS = "audit/"
MAX_SCAN_PAGES = 50


class HistoryLine(msgspec.Struct, frozen=True, kw_only=True):
    """One accepted configuration without its body."""

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
        before: Its JSON text in the first; None when it is not there.
        after: Its JSON text in the second; None when it is not there.
    """

    path: str
    before: str | None
    after: str | None


class AuditFilter(msgspec.Struct, frozen=True, kw_only=True):
    """Which audit lines are asked for.

    Attributes:
        since_s: From this time, in seconds since the Unix epoch.
        until_s: Before this time; 0 for no end.
        author: By this author only.
        action: Actions that begin with this.
        subject: About this subject only.
        result: Results that contain this.
        limit: The most lines; the newest ones are returned.
    """

    since_s: float = 0.0
    until_s: float = 0.0
    author: str = ""
    action: str = ""
    subject: str = ""
    result: str = ""
    limit: int = MAX_LINES

    def matches(self, row: AuditRow) -> bool:
        """Return whether a line is asked for."""
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
        table: The platform's table.
        objects: The object store, where what is old was moved.
    """

    def __init__(self, table: Table, objects: ObjectStore | None = None) -> None:
        self.table = table
        self.objects = objects
        self.store = ConfigurationStore(table, objects)

    async def load_version(self, version: int) -> NumberedConfiguration | None:
        """Return one numbered configuration, or None when there is none."""
        return await self.store.load_version(version)

    async def list_changes(self, after: int = 0, limit: int = MAX_LINES) -> tuple[HistoryLine, ...]:
        """Return the accepted configurations above ``after``, oldest first."""
        archived = await self.store.read_archived_changes(after, after + limit)
        lines = [history_line(change) for change in archived]
        start = lines[-1].version if lines else after
        for row in await self.store.read_change_rows(start, max(0, limit - len(lines))):
            lines.append(history_line(await self.store.decode_change(row.value)))
        return tuple(lines[:limit])

    async def diff(self, old: int, new: int) -> tuple[DiffLine, ...]:
        """Return the entries that differ between two configurations.

        Raises:
            InvalidInputError: One of them does not exist.
        """
        documents: list[Document] = []
        for version in (old, new):
            record = await self.load_version(version)
            if record is None:
                raise InvalidInputError(f"there is no configuration {version}", step="diff")
            documents.append(record.document)
        return diff_documents(*documents)

    async def list_audit_rows(self, wanted: AuditFilter | None = None) -> tuple[AuditRow, ...]:
        """Return the newest audit lines that fit, oldest first."""
        wanted = wanted or AuditFilter()
        found = [row for row in await self.list_archived_audit_rows(wanted) if wanted.matches(row)]
        after = audit_key(max(0.0, wanted.since_s), "") if wanted.since_s else AUDIT_PREFIX
        for _ in range(MAX_SCAN_PAGES):
            rows = await self.table.scan(AUDIT_PREFIX, after, MAX_LINES)
            found += [line for row in rows if wanted.matches(line := decode_audit_row(row.value))]
            if len(rows) < MAX_LINES:
                break
            after = rows[-1].key
        return tuple(found[-wanted.limit :])

    async def list_archived_audit_rows(self, wanted: AuditFilter) -> list[AuditRow]:
        """Return audit lines of the archives that overlap the time asked for."""
        if self.objects is None:
            return []
        lines: list[AuditRow] = []
        since_ms, until_ms = int(wanted.since_s * 1000), int(wanted.until_s * 1000)
        for key in await self.objects.keys(AUDIT_OBJECTS):
            first, last = parse_leading_numbers(key.removeprefix(AUDIT_OBJECTS), 2)
            if last < since_ms or (until_ms and first >= until_ms):
                continue
            body = await self.objects.get(key)
            lines += [decode_audit_row(line) for line in (body or b"").splitlines()]
        return lines


def history_line(change: ChangeRecord) -> HistoryLine:
    """Return a change's line in the history."""
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
    """Return a line of the audit trail; fields of later releases are ignored.

    Raises:
        ProtocolError: It is malformed.
    """
    try:
        return msgspec.json.decode(value, type=AuditRow)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"not an audit line: {error}", step="audit.read") from error


def diff_documents(old: Document, new: Document) -> tuple[DiffLine, ...]:
    """Return the entries that differ, sorted by path."""

    def text(value: bytes | None) -> str | None:
        return None if value is None else value.decode()

    return tuple(
        DiffLine(path=path, before=text(old.get(path)), after=text(new.get(path)))
        for path in sorted(old.delta_to(new).pointers())
    )
