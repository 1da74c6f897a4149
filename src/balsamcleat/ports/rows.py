"""The interface to the row store: partitioned tables of versioned rows and a change feed."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = [
    "ABSENT_VERSION",
    "FeedPage",
    "HistoryExpiredError",
    "RowChange",
    "RowCommit",
    "RowConflict",
    "RowKey",
    "RowPage",
    "RowStore",
    "RowWrite",
    "RowsCommitted",
    "StoreLimits",
]

# As the expected version of a row, requires that the row does not exist.
ABSENT_VERSION = 0


class HistoryExpiredError(Exception):
    """The store no longer keeps the requested changes; the caller must read the whole table."""


@dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """Identifies a row; a commit is cheap if all its rows are in the same part of the table."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row as returned by a read or by the change feed.

    Attributes:
        key: Key of the row.
        value: Value of the row; None if the row was deleted.
        version: Version of the row, from a counter that increases with every transaction of the
            store.
    """

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A write to a row; a value of None deletes the row."""

    key: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RowCommit:
    """Writes that are applied atomically if every expected row has its expected version."""

    writes: tuple[RowWrite, ...]
    expected: tuple[tuple[RowKey, int], ...] = ()


@dataclass(frozen=True, slots=True)
class RowsCommitted:
    """The commit succeeded.

    Attributes:
        version: Version that the written rows have now.
        store_ms: Time of the store's monotonic clock, in milliseconds.
    """

    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class RowConflict:
    """The commit wrote nothing; ``rows`` has the current state of the expected rows."""

    rows: tuple[RowChange, ...]


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows from a consistent snapshot, in ascending order of their keys.

    Attributes:
        rows: Rows of the page.
        more: Whether there are rows after this page.
        version: Store version of the snapshot.
        store_ms: Time of the store's monotonic clock, in milliseconds.
    """

    rows: tuple[RowChange, ...]
    more: bool
    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class FeedPage:
    """Changes from the change feed, in order.

    Attributes:
        rows: Changed rows.
        version: Version after which the next page starts.
        store_ms: Time of the store's monotonic clock, in milliseconds.
    """

    rows: tuple[RowChange, ...]
    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """Limits of the row store.

    Attributes:
        row_bytes: Maximum size of a value, in bytes.
        commit_rows: Maximum number of rows in a commit, including the expected rows.
        commit_bytes: Maximum size of a commit, in bytes.
        history_s: Time for which the change feed keeps changes, in seconds.
    """

    row_bytes: int = 65536
    commit_rows: int = 100
    commit_bytes: int = 1_000_000
    history_s: float = 20.0


class RowStore(ABC):
    """Reads and writes rows.

    Every method raises ``PlatformUnavailableError`` if the request had no effect. Writes raise
    ``OutcomeUnknownError`` if no response arrived: the write may still take effect later, as long
    as its condition holds at that time. They raise ``CommitRejectedError`` if the store refuses
    the commit as invalid.
    """

    limits: StoreLimits

    @abstractmethod
    async def commit(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        """Apply all writes of the commit or none."""

    @abstractmethod
    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows with ``start <= key < end``; an empty string means no bound."""

    @abstractmethod
    async def parts(self, table: str, after: str = "") -> tuple[tuple[str, ...], bool]:
        """Return the names of a table's parts above ``after`` and whether there are more."""

    @abstractmethod
    async def changes(self, table: str, after: int, wait_s: float) -> FeedPage:
        """Return the changes after a version; wait up to ``wait_s`` seconds for the first one.

        Raises:
            HistoryExpiredError: The store no longer keeps all changes after that version.
        """
