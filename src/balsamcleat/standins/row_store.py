"""A stand-in of the row store, with its flaws as switches."""

from dataclasses import dataclass, field, replace

import anyio

from balsamcleat.errors import OutcomeUnknownError, PlatformUnavailableError
from balsamcleat.ports.rows import (
    FeedPage,
    HistoryExpiredError,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowPage,
    RowsCommitted,
    RowStore,
    RowWrite,
    StoreLimits,
)
from balsamcleat.standins.platform import RateLimit

__all__ = ["MemoryRowStore", "RowStoreFlaws", "RowStoreView"]


@dataclass(slots=True)
class RowStoreFlaws:
    """What goes wrong; each number counts down with the calls that it hits.

    Attributes:
        down: Nothing is answered, nothing is done.
        refuse_commits: Commits turned away.
        lose_answers: Commits done and not answered.
        hold_commits: Commits not answered and kept back until ``MemoryRowStore.release``.
        delay_s: Time that each call takes.
        answer_delay_s: Time between a commit and its answer; feeds tell of it before.
        silent_tables: Tables whose rows can't be read.
    """

    down: bool = False
    refuse_commits: int = 0
    lose_answers: int = 0
    hold_commits: int = 0
    delay_s: float = 0.0
    answer_delay_s: float = 0.0
    silent_tables: frozenset[str] = frozenset()


@dataclass(slots=True)
class MemoryRowStore:
    """The rows, one counter of versions and the history of changes.

    Attributes:
        limits: Limits that the store names to its callers.
        page_rows: Most rows of a read page, also if the caller asks for more.
        page_bytes: Most bytes of values in a read page, which has at least one row.
        reads_per_s: Reads by all callers in a second, above which 429; 0 for no limit.
        writes_per_s: Commits by all callers in a second, above which 429; 0 for no limit.
        epoch_ms: Time of the store's clock when the process clock was 0, in milliseconds.
    """

    rows: dict[RowKey, tuple[bytes, int]] = field(default_factory=dict)
    history: list[RowChange] = field(default_factory=list)
    version: int = 0
    history_from: int = 0
    held: list[RowCommit] = field(default_factory=list)
    changed: anyio.Event = field(default_factory=anyio.Event)
    limits: StoreLimits = field(default_factory=StoreLimits)
    page_rows: int = 500
    page_bytes: int = 1_000_000
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0
    epoch_ms: int = 0
    read_limit: RateLimit = field(default_factory=RateLimit)
    write_limit: RateLimit = field(default_factory=RateLimit)

    def apply(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        """Apply a commit if its conditions hold."""
        if any(self.version_of(key) != version for key, version in commit.expected):
            return RowConflict(tuple(self.change_of(key) for key, _ in commit.expected))
        self.version += 1
        for write in commit.writes:
            self.write(write)
        self.changed.set()
        self.changed = anyio.Event()
        return RowsCommitted(self.version, self.now_ms())

    def write(self, write: RowWrite) -> None:
        """Write one row at the current version."""
        if write.value is None:
            self.rows.pop(write.key, None)
        else:
            self.rows[write.key] = (write.value, self.version)
        self.history.append(RowChange(write.key, write.value, self.version))

    def version_of(self, key: RowKey) -> int:
        """Return a row's version; 0 where there is none."""
        return self.rows.get(key, (b"", 0))[1]

    def change_of(self, key: RowKey) -> RowChange:
        """Return a row as it is."""
        value, version = self.rows.get(key, (None, 0))
        return RowChange(key, value, version)

    def now_ms(self) -> int:
        """Return the store's clock."""
        return self.epoch_ms + int(anyio.current_time() * 1000)

    def page(self, keys: list[RowKey], limit: int) -> RowPage:
        """Return the first rows of those with these keys, as many as fit into a page."""
        rows: list[RowChange] = []
        size = 0
        for key in keys[: min(limit, self.page_rows)]:
            row = self.change_of(key)
            size += len(row.value or b"")
            if rows and size > self.page_bytes:
                break
            rows.append(row)
        return RowPage(tuple(rows), len(keys) > len(rows), self.version, self.now_ms())

    def forget_history(self) -> None:
        """Drop all history: feeds behind the newest version must read in full."""
        self.history.clear()
        self.history_from = self.version

    def copy(self) -> "MemoryRowStore":
        """Return a store with the rows of now."""
        return replace(self, rows=dict(self.rows), history=list(self.history), held=[])

    def restore(self, earlier: "MemoryRowStore") -> None:
        """Come back with the rows, the history and the counter of an earlier copy."""
        self.rows = dict(earlier.rows)
        self.history = list(earlier.history)
        self.version = earlier.version
        self.history_from = earlier.history_from

    def release(self) -> list[RowsCommitted | RowConflict]:
        """Carry out the commits that were held back, late."""
        held, self.held = self.held, []
        return [self.apply(commit) for commit in held]


class RowStoreView(RowStore):
    """The store as one VM reaches it.

    Args:
        store: The store.
        flaws: What goes wrong for this VM.

    Attributes:
        answered_at_s: Time of the last answer on the process clock, in seconds.
    """

    def __init__(self, store: MemoryRowStore, flaws: RowStoreFlaws | None = None) -> None:
        self.store = store
        self.flaws = flaws or RowStoreFlaws()
        self.limits = store.limits
        self.answered_at_s = float("-inf")

    async def reach(self) -> None:
        """Take the time of a call.

        Raises:
            PlatformUnavailableError: The store is down for this VM.
        """
        await anyio.sleep(self.flaws.delay_s)
        if self.flaws.down:
            raise PlatformUnavailableError("down", step="stand-in")

    async def reach_for_read(self, table: str) -> None:
        """Take the time of a read of a table.

        Raises:
            PlatformUnavailableError: The store or the table is down for this VM, or all VMs
                together read too often.
        """
        await self.reach()
        if table in self.flaws.silent_tables:
            raise PlatformUnavailableError("the table is down", step="stand-in")
        if not self.store.read_limit.take(self.store.reads_per_s, anyio.current_time()):
            raise PlatformUnavailableError("answered 429", step="stand-in")
        self.answered_at_s = anyio.current_time()

    async def commit(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        """Apply all writes or none."""
        await self.reach()
        flaws = self.flaws
        if flaws.refuse_commits:
            flaws.refuse_commits -= 1
            raise PlatformUnavailableError("turned away", step="stand-in")
        if not self.store.write_limit.take(self.store.writes_per_s, anyio.current_time()):
            raise PlatformUnavailableError("answered 429", step="stand-in")
        if flaws.hold_commits:
            flaws.hold_commits -= 1
            self.store.held.append(commit)
            raise OutcomeUnknownError("no answer", step="stand-in")
        outcome = self.store.apply(commit)
        if flaws.lose_answers:
            flaws.lose_answers -= 1
            raise OutcomeUnknownError("no answer", step="stand-in")
        await anyio.sleep(flaws.answer_delay_s)
        self.answered_at_s = anyio.current_time()
        return outcome

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows with ``start <= key < end``."""
        await self.reach_for_read(table)
        found = sorted(
            key
            for key in self.store.rows
            if (key.table, key.part) == (table, part)
            and key.key >= start
            and (not end or key.key < end)
        )
        return self.store.page(found, limit)

    async def parts(self, table: str, after: str = "") -> tuple[tuple[str, ...], bool]:
        """Return names of parts above ``after``."""
        await self.reach_for_read(table)
        names = {key.part for key in self.store.rows if key.table == table and key.part > after}
        return tuple(sorted(names)), False

    async def changes(self, table: str, after: int, wait_s: float) -> FeedPage:
        """Return what changed after a version."""
        await self.reach_for_read(table)
        deadline_s = anyio.current_time() + wait_s
        while True:
            if after < self.store.history_from:
                raise HistoryExpiredError
            rows = tuple(
                row for row in self.store.history if row.key.table == table and row.version > after
            )
            left_s = deadline_s - anyio.current_time()
            if rows or left_s <= 0.0:
                return FeedPage(rows, self.store.version, self.store.now_ms())
            changed = self.store.changed
            with anyio.move_on_after(left_s):
                await changed.wait()
            await self.reach()
            self.answered_at_s = anyio.current_time()
