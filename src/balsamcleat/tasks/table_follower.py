"""Keeps an observer up to date with a table: one full read, then the table's change feed."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TypeVar

import anyio
import structlog

from balsamcleat.errors import PlatformError
from balsamcleat.ports.rows import HistoryExpiredError, RowChange, RowStore
from balsamcleat.tasks.row_pages import read_part
from balsamcleat.tasks.table_reading import TableReading

__all__ = ["TableFollower", "TableObserver", "guard_row"]

# A change must be in force about 2 s after it was accepted, and a connection can go silent for
# good, so a long poll of the feed lasts no longer.
FEED_WAIT_S = 2.0
RETRY_BASE_S = 0.05
RETRY_CAP_S = 0.4

ResultT = TypeVar("ResultT")

log = structlog.get_logger()


class TableObserver(ABC):
    """Receives the contents and the changes of a table in order.

    Rows may come from other writers. A row that an observer can't handle is left out, and the rows
    after it still count.
    """

    def on_snapshot(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Handle all rows of the table as of ``version``; by default as changes."""
        self.on_changes(rows, version)

    def on_changes(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Handle the changes up to ``version``."""
        for row in rows:
            guard_row(self.apply_row, row)
        self.on_rows_applied()

    @abstractmethod
    def apply_row(self, row: RowChange) -> None:
        """Handle one changed row; a row whose value is None was deleted."""

    def on_rows_applied(self) -> None:  # noqa: B027
        """Handle the end of the rows of one answer; by default do nothing."""

    @abstractmethod
    def on_store_recovered(self) -> None:
        """Handle the end of an outage; called before the rows of the first answer."""


def guard_row(handle: Callable[[RowChange], ResultT], row: RowChange) -> ResultT | None:
    """Return the result of handling a row, or None after an unexpected error, which is logged."""
    try:
        return handle(row)
    except Exception:
        key = row.key
        log.exception(
            "row left out", table=key.table, part=key.part, key=key.key, row_version=row.version
        )
        return None


class TableFollower:
    """Follows a table through outages of the store and gaps in its change feed.

    Args:
        store: Row store.
        table: Name of the table.
        observer: Receives the rows and the changes.
        generator: Draws the jitter of retries.
        single_part: Whether the table has only the part with the empty name.
        on_read: Called when the observer has all changes of the table until now.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        observer: TableObserver,
        generator: random.Random,
        *,
        single_part: bool,
        on_read: Callable[[], None] = lambda: None,
    ) -> None:
        self.store = store
        self.table = table
        self.observer = observer
        self.generator = generator
        self.single_part = single_part
        self.on_read = on_read
        self.version: int | None = None
        self.consecutive_failures = 0
        self.reading: TableReading | None = None

    async def run(self) -> None:
        """Follow the table until cancelled, with backoff after failures."""
        while True:
            try:
                await self.read_once()
                self.record_success()
            except HistoryExpiredError:
                log.warning("feed gap", table=self.table, after=self.version)
                self.version = None
                self.reading = None
            except PlatformError as error:
                self.record_failure(error)
                await anyio.sleep(self.retry_delay_s())

    async def read_once(self) -> None:
        """Read the whole table or wait for its next changes, and pass them to the observer."""
        if self.version is None:
            rows, version = await self.read_all()
            self.record_success()
            self.observer.on_snapshot(rows, version)
        else:
            wait_s = 0.0 if self.consecutive_failures else FEED_WAIT_S
            page = await self.store.changes(self.table, self.version, wait_s)
            self.record_success()
            rows, version = page.rows, page.version
            if rows:
                self.observer.on_changes(rows, version)
        self.version = version
        self.on_read()

    async def read_all(self) -> tuple[tuple[RowChange, ...], int]:
        """Return all rows of the table and the version from which to follow its feed."""
        if self.single_part:
            part = await read_part(self.store, self.table, "")
            return part.rows, part.version
        if self.reading is None:
            self.reading = TableReading(self.store, self.table)
        rows = await self.reading.finish()
        version = self.reading.version
        self.reading = None
        return rows, version

    def record_success(self) -> None:
        """Record an answer; log and report the recovery if it is the first one after failures."""
        if self.consecutive_failures:
            log.info("store regained", table=self.table, failures=self.consecutive_failures)
            self.consecutive_failures = 0
            self.observer.on_store_recovered()

    def record_failure(self, error: PlatformError) -> None:
        """Record a failed request; the first of consecutive failures is logged."""
        self.consecutive_failures += 1
        if self.consecutive_failures == 1:
            log.warning("store lost", table=self.table, version=self.version, reason=str(error))

    def retry_delay_s(self) -> float:
        """Return the backoff with jitter before the next attempt, in seconds."""
        max_delay_s = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(self.consecutive_failures, 8))
        return self.generator.uniform(max_delay_s / 2, max_delay_s)
