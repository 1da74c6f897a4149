"""The row store port: tables of versioned rows in parts, a feed of changes, and objects."""

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

# The version in a condition that stands for "no such row".
ABSENT_VERSION = 0


class HistoryExpiredError(Exception):
    """The changes asked for are no longer kept; read the table in full."""


@dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """Names a row; rows of one part commit together cheaply."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class RowChange:
    """A row as read or as a feed tells it; ``value`` is None where it was deleted.

    ``version`` comes from one counter that grows with every transaction of the store.
    """

    key: RowKey
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True)
class RowWrite:
    """A write; a value of None deletes the row."""

    key: RowKey
    value: bytes | None


@dataclass(frozen=True, slots=True)
class RowCommit:
    """Writes that take effect together if every expected row has its expected version."""

    writes: tuple[RowWrite, ...]
    expected: tuple[tuple[RowKey, int], ...] = ()


@dataclass(frozen=True, slots=True)
class RowsCommitted:
    """The writes took effect at ``version``; ``store_ms`` is the store's steady clock."""

    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class RowConflict:
    """Nothing was written; ``rows`` are the expected rows as they are."""

    rows: tuple[RowChange, ...]


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows of one moment in ascending order of their keys."""

    rows: tuple[RowChange, ...]
    more: bool
    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class FeedPage:
    """Changes in order; go on after ``version``."""

    rows: tuple[RowChange, ...]
    version: int
    store_ms: int


@dataclass(frozen=True, slots=True)
class StoreLimits:
    """What one call may carry.

    Attributes:
        row_bytes: Most bytes of a value.
        commit_rows: Most rows in a commit, conditions included.
        commit_bytes: Most bytes in a commit.
        history_s: How far back the feed reaches.
    """

    row_bytes: int = 65536
    commit_rows: int = 100
    commit_bytes: int = 1_000_000
    history_s: float = 20.0


class RowStore(ABC):
    """Reads and writes rows.

    Every method raises ``PlatformUnavailableError`` when nothing was done, and writes raise
    ``OutcomeUnknownError`` when no answer came: the write may take effect even later, as long as
    its condition holds then.
    """

    limits: StoreLimits

    @abstractmethod
    async def commit(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        """Apply all writes or none."""

    @abstractmethod
    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows with ``start <= key < end``; an empty bound is open."""

    @abstractmethod
    async def parts(self, table: str, after: str = "") -> tuple[tuple[str, ...], bool]:
        """Return names of parts above ``after`` and whether there are more."""

    @abstractmethod
    async def changes(self, table: str, after: int, wait_s: float) -> FeedPage:
        """Return what changed after a version, waiting for a first change up to ``wait_s``.

        Raises:
            HistoryExpiredError: Changes after that version are no longer kept.
        """
