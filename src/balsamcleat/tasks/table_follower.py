"""Follows one table of the row store: a full reading, then its feed, through outages and gaps."""

import random
from abc import ABC, abstractmethod

import anyio
import structlog

from balsamcleat.errors import PlatformError
from balsamcleat.ports.rows import HistoryLostError, RowChange, RowStore

__all__ = ["TableFollower", "TableObserver", "read_table"]

# A connection can go silent for good; a change must be in force some 2 s after it was accepted.
FEED_WAIT_S = 2.0
RETRY_BASE_S = 0.05
RETRY_CAP_S = 0.4

log = structlog.get_logger()


class TableObserver(ABC):
    """Is told what a table holds, in order."""

    def on_snapshot(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Take all rows as of ``version``; by default as so many changes."""
        self.on_changes(rows, version)

    @abstractmethod
    def on_changes(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Take changes up to ``version``; a value of None is a deletion."""

    @abstractmethod
    def on_store_recovered(self) -> None:
        """Take note that the store answers again; called before what it says."""


async def read_part(store: RowStore, table: str, part: str) -> tuple[list[RowChange], int]:
    """Return all rows of a part and the oldest version that the pages stand for."""
    rows: list[RowChange] = []
    version: int | None = None
    start = ""
    while True:
        page = await store.read(table, part, start)
        version = page.version if version is None else min(version, page.version)
        rows += page.rows
        if not page.more or not page.rows:
            return rows, version
        start = page.rows[-1].key.key + "\0"


async def read_table(store: RowStore, table: str) -> tuple[tuple[RowChange, ...], int]:
    """Return all rows of all parts and a version from which the feed misses nothing."""
    first_page = await store.read(table, "", limit=1)
    rows: list[RowChange] = []
    after, more = "", True
    while more:
        parts, more = await store.parts(table, after)
        for part in parts:
            part_rows, _ = await read_part(store, table, part)
            rows += part_rows
            after = part
        more = more and bool(parts)
    return tuple(rows), first_page.version


class TableFollower:
    """Keeps an observer up to date with a table.

    Args:
        store: The store.
        table: The table.
        observer: Is told.
        generator: Draws the jitter of retries.
        single_part: Whether the table has only the part with the empty name.
    """

    def __init__(
        self,
        store: RowStore,
        table: str,
        observer: TableObserver,
        generator: random.Random,
        *,
        single_part: bool,
    ) -> None:
        self.store = store
        self.table = table
        self.observer = observer
        self.generator = generator
        self.single_part = single_part
        self.version: int | None = None
        self.consecutive_failures = 0

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            try:
                await self.read_once()
                self.record_success()
            except HistoryLostError:
                log.warning("feed gap", table=self.table, after=self.version)
                self.version = None
            except PlatformError as error:
                self.record_failure(error)
                await anyio.sleep(self.retry_delay_s())

    async def read_once(self) -> None:
        """Read the table in full or wait for its next changes."""
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

    async def read_all(self) -> tuple[tuple[RowChange, ...], int]:
        """Return all rows and the version to follow from."""
        if not self.single_part:
            return await read_table(self.store, self.table)
        rows, version = await read_part(self.store, self.table, "")
        return tuple(rows), version

    def record_success(self) -> None:
        """Take note of an answer."""
        if self.consecutive_failures:
            log.info("store regained", table=self.table, failures=self.consecutive_failures)
            self.consecutive_failures = 0
            self.observer.on_store_recovered()

    def record_failure(self, error: PlatformError) -> None:
        """Take note of a failure; the first in a row is logged."""
        self.consecutive_failures += 1
        if self.consecutive_failures == 1:
            log.warning("store lost", table=self.table, version=self.version, reason=str(error))

    def retry_delay_s(self) -> float:
        """Return the wait before the next try, in seconds."""
        max_delay_s = min(RETRY_CAP_S, RETRY_BASE_S * 2 ** min(self.consecutive_failures, 8))
        return self.generator.uniform(max_delay_s / 2, max_delay_s)
