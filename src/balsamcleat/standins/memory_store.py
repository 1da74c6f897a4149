"""An in-memory table and object store whose flaws tests and experiments switch on."""

from collections import deque
from enum import Enum

import anyio

from balsamcleat.errors import OutcomeUnknownError, PlatformUnavailableError
from balsamcleat.ports import Committed, Conflicted, ObjectStore, Row, Table, Transaction

__all__ = ["CommitFlaw", "MemoryObjects", "MemoryTable"]


class CommitFlaw(Enum):
    """What happens to one commit."""

    NONE = "none"
    REFUSED = "refused"
    LOST_APPLIED = "takes effect, the answer is lost"
    LOST_DROPPED = "takes no effect, the answer is lost"
    LOST_LATE = "takes effect later, the answer is lost"


class MemoryTable(Table):
    """Rows in memory.

    Attributes:
        rows: The rows by key.
        down: Refuse everything.
        delay_s: Added to each request, in seconds.
        flaws: What happens to the next commits.
        late: Commits under way that have not taken effect yet.
        reads: Number of reads asked for.
        commits: Number of commits asked for.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.delay_s = 0.0
        self.flaws: deque[CommitFlaw] = deque()
        self.late: list[Transaction] = []
        self.reads = 0
        self.commits = 0
        # Grows for the life of the table, so that a row deleted and made again gets a new version.
        self.clock = 0

    async def answer(self, step: str) -> None:
        """Wait as long as an answer takes."""
        if self.delay_s:
            await anyio.sleep(self.delay_s)
        if self.down:
            raise PlatformUnavailableError("down", step=step, peer="table")

    async def get(self, key: str) -> Row | None:
        """Return the row, or None."""
        self.reads += 1
        await self.answer("table.get")
        return self.rows.get(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> tuple[Row, ...]:
        """Return rows in order of their keys."""
        self.reads += 1
        await self.answer("table.scan")
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return tuple(self.rows[key] for key in keys[:limit])

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Commit, with the next flaw."""
        self.commits += 1
        await self.answer("table.commit")
        flaw = self.flaws.popleft() if self.flaws else CommitFlaw.NONE
        if flaw is CommitFlaw.REFUSED:
            raise PlatformUnavailableError("refused", step="table.commit", peer="table")
        if flaw is CommitFlaw.LOST_LATE:
            self.late.append(transaction)
        if flaw in (CommitFlaw.LOST_DROPPED, CommitFlaw.LOST_LATE):
            raise OutcomeUnknownError("lost", step="table.commit", peer="table")
        outcome = self.apply(transaction)
        if flaw is CommitFlaw.LOST_APPLIED:
            raise OutcomeUnknownError("lost", step="table.commit", peer="table")
        return outcome

    def apply(self, transaction: Transaction) -> Committed | Conflicted:
        """Let a transaction take effect if its rows are as expected."""
        conflicts = tuple(
            write.key
            for write in transaction.writes
            if write.expected_version is not None
            and write.expected_version != self.version_of(write.key)
        )
        if conflicts:
            return Conflicted(conflicts)
        for write in transaction.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            self.clock += 1
            self.rows[write.key] = Row(write.key, write.value, self.clock)
        return Committed()

    def deliver_late(self) -> None:
        """Let the commits that were under way take effect now."""
        while self.late:
            self.apply(self.late.pop(0))

    def version_of(self, key: str) -> int:
        """Return the row's version; 0 when there is none."""
        row = self.rows.get(key)
        return 0 if row is None else row.version


class MemoryObjects(ObjectStore):
    """Objects in memory.

    Attributes:
        bodies: The objects by key.
        down: Refuse everything.
    """

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}
        self.down = False

    def check(self, step: str) -> None:
        """Refuse while down."""
        if self.down:
            raise PlatformUnavailableError("down", step=step, peer="objects")

    async def put(self, key: str, body: bytes) -> None:
        """Store the body."""
        self.check("objects.put")
        self.bodies[key] = body

    async def get(self, key: str) -> bytes | None:
        """Return the body, or None."""
        self.check("objects.get")
        return self.bodies.get(key)

    async def delete(self, key: str) -> None:
        """Remove the object."""
        self.check("objects.delete")
        self.bodies.pop(key, None)

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys with ``prefix``, sorted."""
        self.check("objects.keys")
        return tuple(sorted(key for key in self.bodies if key.startswith(prefix)))
