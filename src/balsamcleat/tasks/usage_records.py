"""Rows of usage reports in the store; the first report of a window that is stored is final."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

import msgspec
import structlog

from balsamcleat.decoding import decode_json
from balsamcleat.errors import ProtocolError
from balsamcleat.model import TeamName
from balsamcleat.ports.duties import UsageReport
from balsamcleat.ports.rows import (
    ABSENT_VERSION,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowStore,
    RowWrite,
)
from balsamcleat.tasks.row_pages import read_part

__all__ = ["StoredReport", "StoredReports", "UsageRecords"]

USAGE_TABLE = "usage"
USAGE_PART = ""
CLOSED_KEY = "closed"

log = structlog.get_logger()


class ReportRowValue(msgspec.Struct, frozen=True, omit_defaults=True):
    """Value of a report's row.

    Attributes:
        counts: Requests that began to run in the window, by team.
        vms: Number of VMs whose counts are in the report.
        done: Whether the platform has accepted the report, or rejected it for good.
    """

    counts: dict[TeamName, int]
    vms: int
    done: bool = False


class ClosedRowValue(msgspec.Struct, frozen=True):
    """Number of the last window for which no report may be stored any more."""

    window: int


@dataclass(frozen=True, slots=True)
class StoredReport:
    """Report of a window as stored.

    Attributes:
        report: Report to send.
        vm_count: Number of VMs whose counts are in the report.
        is_done: Whether the platform has accepted the report, or rejected it for good.
        version: Version of the row.
    """

    report: UsageReport
    vm_count: int
    is_done: bool
    version: int


@dataclass(frozen=True, slots=True)
class StoredReports:
    """All stored reports.

    Attributes:
        reports: Reports by the numbers of their windows.
        closed_window: Number of the last window whose report may have been deleted; none may be
            stored for it or for earlier ones.
        closed_version: Version of the row that says so; ``ABSENT_VERSION`` if there is none.
    """

    reports: Mapping[int, StoredReport] = field(default_factory=dict)
    closed_window: int = -1
    closed_version: int = ABSENT_VERSION


class UsageRecords:
    """Reads and writes the rows of usage reports.

    Args:
        store: Row store.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store

    async def read(self) -> StoredReports:
        """Return all stored reports.

        Raises:
            PlatformError: The store did not answer.
            ProtocolError: The row with the last closed window can't be decoded.
        """
        reports = {}
        closed_window, closed_version = -1, ABSENT_VERSION
        for row in (await read_part(self.store, USAGE_TABLE, USAGE_PART)).rows:
            if row.key.key == CLOSED_KEY:
                closed_window, closed_version = decode_closed(row), row.version
            elif row.key.key.isdecimal():
                reports[int(row.key.key)] = decode_report(row)
        return StoredReports(reports, closed_window, closed_version)

    async def create(self, report: UsageReport, vm_count: int, known: StoredReports) -> bool:
        """Store a report if its window has none; return whether it was stored.

        The window must not have been closed since ``known`` was read, either: its report may have
        been deleted.

        Raises:
            PlatformError: The store did not answer; the report may be stored later.
        """
        key = report_key(report.window)
        value = ReportRowValue(report.counts, vm_count)
        commit = RowCommit(
            (RowWrite(key, msgspec.json.encode(value)),),
            ((key, ABSENT_VERSION), (closed_key(), known.closed_version)),
        )
        return not isinstance(await self.store.commit(commit), RowConflict)

    async def mark_done(self, stored: StoredReport) -> StoredReport | None:
        """Mark a report that need not be sent any more.

        Returns:
            The marked report, or None if its row has changed.

        Raises:
            PlatformError: The store did not answer.
        """
        key = report_key(stored.report.window)
        value = ReportRowValue(stored.report.counts, stored.vm_count, done=True)
        write = RowWrite(key, msgspec.json.encode(value))
        outcome = await self.store.commit(RowCommit((write,), ((key, stored.version),)))
        if isinstance(outcome, RowConflict):
            return None
        return replace(stored, is_done=True, version=outcome.version)

    async def delete(self, windows: Iterable[int], known: StoredReports) -> bool:
        """Delete reports and close their windows; return whether that was done.

        Raises:
            PlatformError: The store did not answer.
        """
        deleted = [known.reports[window] for window in windows]
        last = max(stored.report.window for stored in deleted)
        closed = ClosedRowValue(max(known.closed_window, last))
        writes = [RowWrite(report_key(stored.report.window), None) for stored in deleted]
        writes.append(RowWrite(closed_key(), msgspec.json.encode(closed)))
        expected = [(report_key(stored.report.window), stored.version) for stored in deleted]
        expected.append((closed_key(), known.closed_version))
        outcome = await self.store.commit(RowCommit(tuple(writes), tuple(expected)))
        return not isinstance(outcome, RowConflict)


def report_key(window: int) -> RowKey:
    """Return the key of a window's report."""
    return RowKey(USAGE_TABLE, USAGE_PART, str(window))


def closed_key() -> RowKey:
    """Return the key of the row with the last closed window."""
    return RowKey(USAGE_TABLE, USAGE_PART, CLOSED_KEY)


def decode_report(row: RowChange) -> StoredReport:
    """Return the report in a row.

    One that can't be decoded may have been sent, so it counts as done and is not replaced.
    """
    window = int(row.key.key)
    try:
        value = decode_json(row.value or b"", ReportRowValue)
    except msgspec.DecodeError as error:
        log.warning("usage report unreadable", window=window, reason=str(error))
        return StoredReport(UsageReport(window, {}), 0, True, row.version)
    return StoredReport(UsageReport(window, value.counts), value.vms, value.done, row.version)


def decode_closed(row: RowChange) -> int:
    """Return the number of the last closed window.

    Raises:
        ProtocolError: The row can't be decoded.
    """
    try:
        return decode_json(row.value or b"", ClosedRowValue).window
    except msgspec.DecodeError as error:
        raise ProtocolError(f"usage row {CLOSED_KEY}: {error}", step="usage.read") from error
