"""Commits the claims of an availability zone in batches."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import anyio
import msgspec

from balsamcleat.decisions.group_commit import TransactionBatch
from balsamcleat.decisions.ownership import preferred_owners
from balsamcleat.decoding import decode_msgpack
from balsamcleat.errors import AttemptFailedError, PlatformError
from balsamcleat.model import VmId
from balsamcleat.ports import Clock, Committed, Metrics, Randomness, Table, Transaction, Write

__all__ = ["CLAIM_HANDLER", "ClaimWriter", "WriteResult"]

CLAIM_HANDLER = "claim.write"
COMMITTER_NAME = "claim committer"
# At one commit per interval, 27 availability zones make at most 270 commits per second.
COMMIT_INTERVAL_S = 0.1
MAX_BATCH_ROWS = 256
MAX_QUEUED = 4096
FORWARD_TIMEOUT_S = 1.0

Forward = Callable[[VmId, bytes], Awaitable[bytes]]


class WriteResult(Enum):
    """Result of a write."""

    COMMITTED = "committed"
    CONFLICTED = "conflicted"
    UNAVAILABLE = "unavailable"


class WriteMessage(msgspec.Struct, frozen=True):
    """Write that is forwarded to the committer of the availability zone."""

    key: str
    value: bytes
    expected_version: int


@dataclass
class QueuedWrite:
    """Write that waits for its commit.

    Attributes:
        write: Conditional write of one row.
        decided: Event that is set once the result is known.
        result: Result of the write.
    """

    write: Write
    decided: anyio.Event = field(default_factory=anyio.Event)
    result: WriteResult = WriteResult.UNAVAILABLE


class ClaimWriter:
    """Commits writes to different rows in one transaction per interval.

    The committer of an availability zone is the VM that rendezvous hashing prefers. A single
    committer only makes the batches larger. Correctness depends on the conditions of the writes,
    so two committers do no harm, and a VM that can't reach the committer commits its own writes.

    Args:
        vm_id: Id of this VM.
        table: Table that holds the claims.
        clock: Monotonic clock.
        randomness: Source of operation ids.
        metrics: Receives the counters.
        zone_vms: Returns the VMs of this availability zone that are believed alive.
        forward: Sends a payload to the committer and returns its reply.
    """

    def __init__(
        self,
        vm_id: VmId,
        table: Table,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
        zone_vms: Callable[[], Sequence[VmId]],
        forward: Forward,
    ) -> None:
        self.vm_id = vm_id
        self.table = table
        self.clock = clock
        self.randomness = randomness
        self.metrics = metrics
        self.zone_vms = zone_vms
        self.forward = forward
        self.queue: list[QueuedWrite] = []
        self.writes_pending = anyio.Event()

    async def write(self, write: Write) -> WriteResult:
        """Commit a conditional write, through the zone's committer if it can be reached."""
        committer = self.committer()
        if committer == self.vm_id:
            return await self.commit_locally(write)
        assert write.value is not None and write.expected_version is not None
        payload = msgspec.msgpack.encode(
            WriteMessage(write.key, write.value, write.expected_version)
        )
        try:
            with anyio.fail_after(FORWARD_TIMEOUT_S):
                return WriteResult((await self.forward(committer, payload)).decode())
        except (AttemptFailedError, TimeoutError, KeyError, ValueError):
            self.metrics.count("claim.forward.failed")
            return await self.commit_locally(write)

    def committer(self) -> VmId:
        """Return the VM that this VM believes to be the committer of the availability zone."""
        return preferred_owners(COMMITTER_NAME, self.zone_vms(), 1)[0]

    def is_committer(self) -> bool:
        """Return whether this VM is the committer of the availability zone."""
        return self.committer() == self.vm_id

    async def handle_forwarded_write(self, payload: bytes) -> bytes:
        """Commit a write forwarded by a peer and return the encoded result."""
        message = decode_msgpack(payload, WriteMessage)
        result = await self.commit_locally(
            Write(message.key, message.value, message.expected_version)
        )
        return result.value.encode()

    async def commit_locally(self, write: Write) -> WriteResult:
        """Add the write to the next batch of this VM and wait for the result."""
        if len(self.queue) >= MAX_QUEUED:
            self.metrics.count("claim.queue.full")
            return WriteResult.UNAVAILABLE
        queued = QueuedWrite(write)
        self.queue.append(queued)
        self.writes_pending.set()
        await queued.decided.wait()
        return queued.result

    async def run(self) -> None:
        """Commit queued writes, one batch per interval, until cancelled."""
        while True:
            await self.writes_pending.wait()
            began_s = self.clock.now_s()
            batch = self.take_batch()
            if not batch:
                self.writes_pending = anyio.Event()
                continue
            try:
                commits = await self.commit_batch(batch)
            finally:
                for queued in batch:
                    queued.decided.set()
            next_s = began_s + commits * COMMIT_INTERVAL_S
            await self.clock.sleep(max(0.0, next_s - self.clock.now_s()))

    def take_batch(self) -> list[QueuedWrite]:
        """Remove the next batch from the queue and return it; it has at most one write per row."""
        batch: list[QueuedWrite] = []
        keys: set[str] = set()
        remaining: list[QueuedWrite] = []
        for queued in self.queue:
            if len(batch) < MAX_BATCH_ROWS and queued.write.key not in keys:
                keys.add(queued.write.key)
                batch.append(queued)
            else:
                remaining.append(queued)
        self.queue = remaining
        return batch

    async def commit_batch(self, queued: list[QueuedWrite]) -> int:
        """Commit a batch without the writes that conflict; return the number of commits."""
        by_id = {self.randomness.fresh_id(): item for item in queued}
        batch = TransactionBatch(
            tuple(Transaction(write_id, (item.write,)) for write_id, item in by_id.items())
        )
        commits = 0
        while batch.transactions:
            commits += 1
            self.metrics.count("claim.commit.transactions")
            self.metrics.count("claim.commit.rows", len(batch.transactions))
            operation_id = batch.transactions[0].operation_id
            try:
                outcome = await self.table.commit(Transaction(operation_id, batch.writes()))
            except PlatformError:
                self.metrics.count("claim.commit.failed")
                break
            if isinstance(outcome, Committed):
                for item in batch.transactions:
                    by_id[item.operation_id].result = WriteResult.COMMITTED
                break
            batch, conflicts = batch.split(outcome)
            for write_id in conflicts:
                by_id[write_id].result = WriteResult.CONFLICTED
            if not conflicts:
                break
        return commits
