"""Client of the platform's table and object store, shared by all components of a VM."""

from collections import deque
from dataclasses import dataclass, field
from functools import partial

import anyio

from balsamcleat.decisions.group_commit import GroupCommit, TransactionBatch, is_small
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
from balsamcleat.tasks.resilience_pipeline import ResiliencePipeline

__all__ = ["MARKER_PREFIX", "PlatformObjects", "PlatformTable"]

MARKER_PREFIX = "marker/"
WRITTEN_VALUE = b"written"
FENCED_VALUE = b"fenced"
# A write that the network delays for longer than this is assumed never to arrive, so that the
# fence against it can be removed.
FENCE_RETENTION_S = 600.0
MAX_MARKERS_REMOVED_PER_COMMIT = 16
LOOK_UP_ATTEMPTS = 4
LOOK_UP_INTERVAL_S = 0.25
COMMIT_WORKERS = 2

CommitOutcome = Committed | Conflicted


@dataclass
class PendingTransaction:
    """A queued transaction and its outcome."""

    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: CommitOutcome | None = None
    error: PlatformError | None = None


@dataclass
class SharedRead:
    """A read of one row that its later readers share as long as it has not been sent."""

    done: anyio.Event = field(default_factory=anyio.Event)
    row: Row | None = None
    error: PlatformError | None = None
    answered: bool = False


class PlatformTable(Table):
    """Table client with group commit that resolves commits whose answer was lost.

    Each commit includes a marker row on the condition that the row does not exist. When the
    answer is lost, the marker shows whether the commit took effect. If it did not, writing the
    marker fences the lost commit off, so that it can't take effect later, and the writes can
    safely be committed again.

    Args:
        table: Adapter of the platform's table service.
        pipeline: Limits, times out and retries the requests to the table service.
        clock: Clock for backoff and for the retention of fences.
        randomness: Source of marker names and operation ids.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        table: Table,
        pipeline: ResiliencePipeline,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.pipeline = pipeline
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
        """Return a row; concurrent readers share a read that has not been sent yet."""
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
        """Read a row for this caller and for all callers that join before the read is sent."""
        shared = SharedRead()
        self.shared_reads[key] = shared

        def stop_sharing() -> None:
            # A reader that arrives after the read was sent must see earlier writes, so it needs
            # a read of its own.
            if self.shared_reads.get(key) is shared:
                del self.shared_reads[key]

        try:
            shared.row = await self.pipeline.read(
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
        """Return rows with ``prefix`` in key order."""
        return await self.pipeline.read("table.scan", lambda: self.table.scan(prefix, after, limit))

    async def commit(self, transaction: Transaction) -> CommitOutcome:
        """Commit a transaction, together with other small transactions that are queued."""
        if self.active_workers == 0 or not is_small(transaction):
            return (await self.commit_batch(TransactionBatch((transaction,))))[
                transaction.operation_id
            ]
        return await self.enqueue_and_wait(transaction)

    async def enqueue_and_wait(self, transaction: Transaction) -> CommitOutcome:
        """Queue a transaction and wait until a worker has committed it."""
        # Workers identify transactions by operation id, and two callers may use the same one.
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
        """Commit queued transactions until cancelled."""
        async with anyio.create_task_group() as group:
            for _ in range(COMMIT_WORKERS):
                group.start_soon(self.run_commit_worker)

    async def run_commit_worker(self) -> None:
        """Commit one batch after another; transactions queue up while a commit is in progress."""
        self.active_workers += 1
        batch: TransactionBatch | None = None
        try:
            while True:
                batch = self.group_commit.next_batch()
                if batch is None:
                    # All workers wait for the same event, so only a set event is replaced.
                    if self.transaction_queued.is_set():
                        self.transaction_queued = anyio.Event()
                    await self.transaction_queued.wait()
                    continue
                await self.commit_queued_batch(batch)
                batch = None
        finally:
            self.active_workers -= 1
            self.fail_pending(batch)

    def fail_pending(self, batch: TransactionBatch | None) -> None:
        """Fail the waiting transactions when a worker is cancelled."""
        unknown_error = OutcomeUnknownError("the process is shutting down", step="table.commit")
        for item in batch.transactions if batch else ():
            self.complete(item.operation_id, error=unknown_error)
        while (
            self.active_workers == 0
            and (remaining_batch := self.group_commit.next_batch()) is not None
        ):
            unavailable_error = PlatformUnavailableError(
                "the process is shutting down", step="table.commit"
            )
            for item in remaining_batch.transactions:
                self.complete(item.operation_id, error=unavailable_error)

    async def commit_queued_batch(self, batch: TransactionBatch) -> None:
        """Commit a batch and complete its transactions."""
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
        """Set the outcome of a transaction and wake the caller that waits for it."""
        pending = self.pending.get(operation_id)
        if pending is not None and not pending.done.is_set():
            pending.outcome, pending.error = outcome, error
            pending.done.set()

    async def commit_batch(self, batch: TransactionBatch) -> dict[str, CommitOutcome]:
        """Commit a batch without its conflicting transactions; return outcomes by operation id."""
        outcomes: dict[str, CommitOutcome] = {}
        while batch.transactions:
            outcome = await self.commit_writes(batch.transactions[0].operation_id, batch.writes())
            if isinstance(outcome, Committed):
                outcomes |= {item.operation_id: outcome for item in batch.transactions}
                break
            batch, conflicts = batch.split(outcome)
            if not conflicts:
                raise PlatformUnavailableError(
                    "the conflict names no row of the batch", step="table.commit"
                )
            outcomes |= conflicts
        return outcomes

    async def commit_writes(self, operation_id: str, writes: tuple[Write, ...]) -> CommitOutcome:
        """Commit writes with a marker row; resolve lost answers and retry."""
        attempt = 1
        while True:
            marker = MARKER_PREFIX + self.randomness.fresh_id()
            removed_markers = self.take_obsolete_markers()
            removals = tuple(Write(key, None) for key in removed_markers)
            marker_write = Write(marker, WRITTEN_VALUE, ABSENT)
            transaction = Transaction(operation_id, (*writes, marker_write, *removals))
            try:
                outcome = await self.pipeline.write(
                    "table.commit", partial(self.table.commit, transaction)
                )
            except PlatformUnavailableError as error:
                self.obsolete_markers.extendleft(reversed(removed_markers))
                if not await self.pipeline.wait_before_retry(attempt, error):
                    raise
            except OutcomeUnknownError as unknown_outcome:
                self.obsolete_markers.extendleft(reversed(removed_markers))
                if await self.resolve_unanswered_commit(marker, unknown_outcome):
                    return Committed()
                if not await self.pipeline.wait_before_retry(attempt, unknown_outcome):
                    raise
            else:
                self.record_markers(outcome, marker, removed_markers)
                return outcome
            attempt += 1

    def record_markers(
        self, outcome: CommitOutcome, marker: str, removed_markers: list[str]
    ) -> None:
        """Record which markers are obsolete after an answered commit."""
        if isinstance(outcome, Committed):
            self.obsolete_markers.append(marker)
        else:
            self.obsolete_markers.extendleft(reversed(removed_markers))

    def take_obsolete_markers(self) -> list[str]:
        """Return obsolete markers that the next commit removes, and forget them."""
        expired_before_s = self.clock.now_s() - FENCE_RETENTION_S
        while self.fence_markers and self.fence_markers[0][1] <= expired_before_s:
            self.obsolete_markers.append(self.fence_markers.popleft()[0])
        count = min(len(self.obsolete_markers), MAX_MARKERS_REMOVED_PER_COMMIT)
        return [self.obsolete_markers.popleft() for _ in range(count)]

    async def resolve_unanswered_commit(self, marker: str, error: OutcomeUnknownError) -> bool:
        """Return whether an unanswered commit took effect; if not, fence it off for good.

        Raises:
            OutcomeUnknownError: The table could not be reached.
        """
        self.metrics.count("platform.table.commit.looked_up")
        fence = Transaction(marker, (Write(marker, FENCED_VALUE, ABSENT),))
        for _ in range(LOOK_UP_ATTEMPTS):
            try:
                outcome = await self.pipeline.write("table.fence", lambda: self.table.commit(fence))
                if isinstance(outcome, Committed):
                    self.fence_markers.append((marker, self.clock.now_s()))
                    return False
                row = await self.pipeline.read("table.look_up", lambda: self.table.get(marker))
            except PlatformError:
                if self.pipeline.breaker.is_rejecting(self.clock.now_s()):
                    break
                await self.clock.sleep(LOOK_UP_INTERVAL_S)
                continue
            # When the answer to the fence was lost, the conflicting row may be the fence itself.
            is_written = row is not None and row.value == WRITTEN_VALUE
            self.record_marker(marker, is_written)
            return is_written
        self.metrics.count("platform.table.commit.unknown")
        raise error

    def record_marker(self, marker: str, is_written: bool) -> None:
        """Record whether a marker belongs to a commit or to a fence, for its later removal."""
        if is_written:
            self.obsolete_markers.append(marker)
        else:
            self.fence_markers.append((marker, self.clock.now_s()))


class PlatformObjects(ObjectStore):
    """Object store client; writes are idempotent, so they are retried.

    Args:
        objects: Adapter of the platform's object store.
        pipeline: Limits, times out and retries the requests to the object store.
    """

    def __init__(self, objects: ObjectStore, pipeline: ResiliencePipeline) -> None:
        self.objects = objects
        self.pipeline = pipeline

    async def put(self, key: str, body: bytes) -> None:
        """Store the body of an object."""
        attempt = 1
        while True:
            try:
                return await self.pipeline.write("objects.put", lambda: self.objects.put(key, body))
            except PlatformError as error:
                if not await self.pipeline.wait_before_retry(attempt, error):
                    raise
            attempt += 1

    async def get(self, key: str) -> bytes | None:
        """Return the body of an object, or None when it does not exist."""
        return await self.pipeline.read("objects.get", lambda: self.objects.get(key))

    async def delete(self, key: str) -> None:
        """Delete an object."""
        await self.pipeline.write("objects.delete", lambda: self.objects.delete(key))

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the object keys with ``prefix``."""
        return await self.pipeline.read("objects.keys", lambda: self.objects.keys(prefix))
