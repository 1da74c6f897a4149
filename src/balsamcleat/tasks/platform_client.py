"""The client of the platform's table and object store that all parts of a node share."""

from collections import deque
from dataclasses import dataclass, field
from functools import partial

import anyio

from balsamcleat.decisions.group_commit import Batch, GroupCommit, is_small
from balsamcleat.errors import OutcomeUnknownError, PlatformError, PlatformUnavailableError
from balsamcleat.ports import (
    ABSENT,
    Clock,
    Committed,
    Conflicted,
    Metrics,
    ObjectStore,
    Randomness,
    Row,
    Table,
    Transaction,
    Write,
)
from balsamcleat.tasks.store_gate import StoreGate

__all__ = ["MARKER_PREFIX", "PlatformObjects", "PlatformTable"]

MARKER_PREFIX = "marker/"
WRITTEN_VALUE = b"written"
FENCED_VALUE = b"fenced"
# A write delayed longer than this in the network is taken to be lost for good.
FENCE_RETENTION_S = 600.0
MAX_MARKERS_REMOVED_PER_COMMIT = 16
LOOK_UP_ATTEMPTS = 4
LOOK_UP_INTERVAL_S = 0.25
COMMIT_WORKERS = 2

CommitOutcome = Committed | Conflicted


@dataclass
class PendingTransaction:
    """A transaction in the queue and what became of it."""

    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: CommitOutcome | None = None
    error: PlatformError | None = None


@dataclass
class SharedRead:
    """A read that has not been sent yet; later readers of the row wait for it."""

    done: anyio.Event = field(default_factory=anyio.Event)
    row: Row | None = None
    error: PlatformError | None = None
    answered: bool = False


class PlatformTable(Table):
    """The table behind a gate, with group commit and look-up of unanswered commits.

    Each commit carries a marker row that must not exist yet. When the answer is lost, the marker
    tells whether the commit took effect; if not, writing the marker keeps the lost commit from
    taking effect later, and the writes can safely be committed again.

    Args:
        table: The service's adapter.
        gate: The way to it.
        clock: The clock.
        randomness: Source of markers.
        metrics: Where counts go.
    """

    def __init__(
        self, table: Table, gate: StoreGate, clock: Clock, randomness: Randomness, metrics: Metrics
    ) -> None:
        self.table = table
        self.gate = gate
        self.clock = clock
        self.randomness = randomness
        self.metrics = metrics
        self.group_commit = GroupCommit()
        self.pending: dict[str, PendingTransaction] = {}
        self.transaction_queued = anyio.Event()
        self.active_workers = 0
        self.shared_reads: dict[str, SharedRead] = {}
        self.obsolete_markers: deque[str] = deque()
        self.fence_markers: deque[tuple[str, float]] = deque()

    async def get(self, key: str) -> Row | None:
        """Return the row; readers share a read that still waits to be sent."""
        while True:
            shared = self.shared_reads.get(key)
            if shared is None:
                return await self.read_for_waiters(key)
            await shared.done.wait()
            self.metrics.count("platform.table.read.shared")
            if shared.error is not None:
                raise shared.error
            if shared.answered:
                return shared.row

    async def read_for_waiters(self, key: str) -> Row | None:
        """Read for this caller and for all who join before it is sent."""
        shared = SharedRead()
        self.shared_reads[key] = shared

        def stop_sharing() -> None:
            # A reader that came later must see what was written before it came.
            if self.shared_reads.get(key) is shared:
                del self.shared_reads[key]

        try:
            shared.row = await self.gate.read(
                "table.get", lambda: self.table.get(key), on_dequeued=stop_sharing
            )
            shared.answered = True
        except PlatformError as error:
            shared.error = error
            raise
        finally:
            stop_sharing()
            shared.done.set()
        return shared.row

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> tuple[Row, ...]:
        """Return rows in order of their keys."""
        return await self.gate.read("table.scan", lambda: self.table.scan(prefix, after, limit))

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit, together with other small transactions that wait."""
        if self.active_workers == 0 or not is_small(transaction):
            return (await self.commit_batch(Batch((transaction,))))[transaction.operation_id]
        return await self.enqueue_and_wait(transaction)

    async def enqueue_and_wait(self, transaction: Transaction) -> CommitOutcome:
        """Wait for a lane to commit the transaction."""
        # Two callers may use one operation id; a lane tells its transactions apart by it.
        queued = Transaction(self.randomness.fresh_id(), transaction.writes)
        pending = PendingTransaction()
        self.pending[queued.operation_id] = pending
        self.group_commit.add(queued)
        self.transaction_queued.set()
        try:
            await pending.done.wait()
        finally:
            self.pending.pop(queued.operation_id, None)
            self.group_commit.discard(queued.operation_id)
        if pending.error is not None:
            raise pending.error
        assert pending.outcome is not None
        return pending.outcome

    async def run(self) -> None:
        """Commit what is queued until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(COMMIT_WORKERS):
                group.start_soon(self.run_commit_worker)

    async def run_commit_worker(self) -> None:
        """Commit one batch after another; transactions gather while one is under way."""
        self.active_workers += 1
        batch: Batch | None = None
        try:
            while True:
                batch = self.group_commit.next_batch()
                if batch is None:
                    # Both lanes wait for the same event.
                    if self.transaction_queued.is_set():
                        self.transaction_queued = anyio.Event()
                    await self.transaction_queued.wait()
                    continue
                await self.commit_queued_batch(batch)
                batch = None
        finally:
            self.active_workers -= 1
            self.fail_pending(batch)

    def fail_pending(self, batch: Batch | None) -> None:
        """Answer those who wait when a lane is cancelled."""
        unknown_error = OutcomeUnknownError("this process stops", step="table.commit")
        for item in batch.transactions if batch else ():
            self.complete(item.operation_id, error=unknown_error)
        while self.active_workers == 0 and (left := self.group_commit.next_batch()) is not None:
            unavailable_error = PlatformUnavailableError("this process stops", step="table.commit")
            for item in left.transactions:
                self.complete(item.operation_id, error=unavailable_error)

    async def commit_queued_batch(self, batch: Batch) -> None:
        """Commit a batch and answer those who wait for it."""
        self.metrics.count("platform.table.commit.batches")
        self.metrics.count("platform.table.commit.transactions", len(batch.transactions))
        try:
            outcomes = await self.commit_batch(batch)
        except PlatformError as error:
            for item in batch.transactions:
                self.complete(item.operation_id, error=error)
            return
        for operation_id, outcome in outcomes.items():
            self.complete(operation_id, outcome=outcome)

    def complete(
        self,
        operation_id: str,
        outcome: CommitOutcome | None = None,
        error: PlatformError | None = None,
    ) -> None:
        """Wake the caller that waits for a transaction."""
        pending = self.pending.get(operation_id)
        if pending is not None and not pending.done.is_set():
            pending.outcome, pending.error = outcome, error
            pending.done.set()

    async def commit_batch(self, batch: Batch) -> dict[str, CommitOutcome]:
        """Commit a batch, leaving out transactions that conflict; outcomes by operation id."""
        outcomes: dict[str, CommitOutcome] = {}
        while batch.transactions:
            outcome = await self.commit_writes(batch.transactions[0].operation_id, batch.writes())
            if isinstance(outcome, Committed):
                outcomes |= {item.operation_id: outcome for item in batch.transactions}
                break
            batch, conflicts = batch.split(outcome)
            if not conflicts:
                raise PlatformUnavailableError("odd conflict", step="table.commit")
            outcomes |= conflicts
        return outcomes

    async def commit_writes(self, operation_id: str, writes: tuple[Write, ...]) -> CommitOutcome:
        """Commit writes with a marker, looking up lost answers."""
        attempt = 1
        while True:
            marker = MARKER_PREFIX + self.randomness.fresh_id()
            removed_markers = self.take_obsolete_markers()
            removals = tuple(Write(key, None) for key in removed_markers)
            marker_write = Write(marker, WRITTEN_VALUE, ABSENT)
            transaction = Transaction(operation_id, (*writes, marker_write, *removals))
            try:
                outcome = await self.gate.write(
                    "table.commit", partial(self.table.commit, transaction)
                )
            except PlatformUnavailableError as error:
                self.obsolete_markers.extendleft(reversed(removed_markers))
                if not await self.gate.wait_before_retry(attempt, error):
                    raise
            except OutcomeUnknownError as lost:
                self.obsolete_markers.extendleft(reversed(removed_markers))
                if await self.resolve_unanswered_commit(marker, lost):
                    return Committed()
                if not await self.gate.wait_before_retry(attempt, lost):
                    raise
            else:
                self.record_markers(outcome, marker, removed_markers)
                return outcome
            attempt += 1

    def record_markers(
        self, outcome: CommitOutcome, marker: str, removed_markers: list[str]
    ) -> None:
        """Remember which markers are still to be removed."""
        if isinstance(outcome, Committed):
            self.obsolete_markers.append(marker)
        else:
            self.obsolete_markers.extendleft(reversed(removed_markers))

    def take_obsolete_markers(self) -> list[str]:
        """Take markers that nobody needs any more, to be removed with the next commit."""
        expired_before_s = self.clock.now_s() - FENCE_RETENTION_S
        while self.fence_markers and self.fence_markers[0][1] <= expired_before_s:
            self.obsolete_markers.append(self.fence_markers.popleft()[0])
        count = min(len(self.obsolete_markers), MAX_MARKERS_REMOVED_PER_COMMIT)
        return [self.obsolete_markers.popleft() for _ in range(count)]

    async def resolve_unanswered_commit(self, marker: str, error: OutcomeUnknownError) -> bool:
        """Return whether the unanswered commit took effect; if not, it never will.

        Raises:
            OutcomeUnknownError: The table could not be asked.
        """
        self.metrics.count("platform.table.commit.looked_up")
        fence = Transaction(marker, (Write(marker, FENCED_VALUE, ABSENT),))
        for _ in range(LOOK_UP_ATTEMPTS):
            try:
                outcome = await self.gate.write("table.fence", lambda: self.table.commit(fence))
                if isinstance(outcome, Committed):
                    self.fence_markers.append((marker, self.clock.now_s()))
                    return False
                row = await self.gate.read("table.look_up", lambda: self.table.get(marker))
            except PlatformError:
                if self.gate.breaker.refuses(self.clock.now_s()):
                    break
                await self.clock.sleep(LOOK_UP_INTERVAL_S)
                continue
            # Our own fence may be the one in the way when its answer was lost.
            written = row is not None and row.value == WRITTEN_VALUE
            self.record_marker(marker, written)
            return written
        self.metrics.count("platform.table.commit.unknown")
        raise error

    def record_marker(self, marker: str, written: bool) -> None:
        """Note a marker's state for its removal."""
        if written:
            self.obsolete_markers.append(marker)
        else:
            self.fence_markers.append((marker, self.clock.now_s()))


class PlatformObjects(ObjectStore):
    """The object store behind a gate; writes are idempotent and so are repeated.

    Args:
        objects: The service's adapter.
        gate: The way to it.
    """

    def __init__(self, objects: ObjectStore, gate: StoreGate) -> None:
        self.objects = objects
        self.gate = gate

    async def put(self, key: str, body: bytes) -> None:
        """Store the body."""
        attempt = 1
        while True:
            try:
                return await self.gate.write("objects.put", lambda: self.objects.put(key, body))
            except PlatformError as error:
                if not await self.gate.wait_before_retry(attempt, error):
                    raise
            attempt += 1

    async def get(self, key: str) -> bytes | None:
        """Return the body, or None."""
        return await self.gate.read("objects.get", lambda: self.objects.get(key))

    async def delete(self, key: str) -> None:
        """Remove the object."""
        await self.gate.write("objects.delete", lambda: self.objects.delete(key))

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys with ``prefix``."""
        return await self.gate.read("objects.keys", lambda: self.objects.keys(prefix))
