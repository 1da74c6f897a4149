"""Storage of steps: heads and batch rows in the table, samples in the object store."""

from dataclasses import dataclass

import anyio
import msgspec
import xxhash

from balsamcleat.decoding import decode_json
from balsamcleat.errors import OutcomeUnknownError, PlatformError
from balsamcleat.model import (
    Batch,
    DeploymentName,
    Sample,
    SampleKey,
    StepId,
    StepSpec,
    VersionSpan,
    VmId,
)
from balsamcleat.ports import (
    ABSENT,
    Conflicted,
    ObjectStore,
    Randomness,
    Row,
    Table,
    Transaction,
    Write,
)

__all__ = [
    "PartialResults",
    "PartialResultsChunk",
    "PartialSample",
    "StepFencedError",
    "StepHead",
    "StepLease",
    "StepStore",
    "step_key",
]

STEP_PREFIX = "step/"


class StepFencedError(PlatformError):
    """Raised when another VM owns the step."""


class StepHead(msgspec.Struct, frozen=True, kw_only=True):
    """Contents of a step's row: owner, epoch and state of the step.

    Attributes:
        owner: VM that owns the step; empty after a handover.
        epoch: Fencing token, incremented with each change of the owner.
        beat: Heartbeat counter, incremented with each write by the owner.
        spec_key: Key of the object with the step as its trainer opened it.
        closed: Reason why the step was closed; empty while it is open.
    """

    owner: str
    epoch: int
    beat: int
    spec_key: str
    closed: str = ""


class BatchRow(msgspec.Struct, frozen=True):
    """Row of a recorded batch: number, epoch of its owner, key of the object with its samples."""

    number: int
    epoch: int
    object_key: str


class PartialSample(msgspec.Struct, frozen=True):
    """Consecutive tokens of an unfinished sample.

    Attributes:
        key: Group and index of the sample.
        serial: Serial number of the attempt that generated the tokens; tokens of different
            attempts must not be joined.
        start: Offset of the first token in the sample.
        text: Text of the tokens.
        spans: Weight versions that generated the tokens.
    """

    key: SampleKey
    serial: int
    start: int
    text: str
    spans: tuple[VersionSpan, ...]

    def join(self, later: "PartialSample") -> "PartialSample":
        """Return this part extended by a later one, or the later one alone if they do not join."""
        if later.serial != self.serial or later.start != self.spans[-1].end:
            return later
        return PartialSample(
            self.key, self.serial, self.start, self.text + later.text, self.spans + later.spans
        )


class PartialResultsChunk(msgspec.Struct, frozen=True):
    """Contents of one object of a step's saved partial results."""

    finished: tuple[Sample, ...]
    partials: tuple[PartialSample, ...] = ()


@dataclass(frozen=True, slots=True)
class PartialResults:
    """Partial results of a step that its earlier owners saved.

    Attributes:
        finished: Finished samples.
        partials: Beginnings of unfinished samples, by sample key.
    """

    finished: tuple[Sample, ...]
    partials: dict[SampleKey, PartialSample]


@dataclass
class StepLease:
    """Ownership of a step by this VM, valid until another owner's epoch is in the step's row.

    Attributes:
        key: Key of the step's row.
        head: Head as this VM last wrote it.
        row_version: Version of the row, the condition of the next write.
    """

    key: str
    head: StepHead
    row_version: int


def step_key(deployment: DeploymentName, step_id: StepId) -> str:
    """Return the key of a step's row."""
    return f"{STEP_PREFIX}{deployment}/{step_id}"


def batch_key(key: str, number: int) -> str:
    """Return the key of a batch's row."""
    return f"batch/{key}/{number:08d}"


class StepStore:
    """Reads and writes steps; every write of an owner is conditional on the version of its row.

    Args:
        vm_id: Identifier of this VM.
        table: Table of the platform.
        objects: Object store of the platform.
        randomness: Source of operation ids.
    """

    def __init__(
        self, vm_id: VmId, table: Table, objects: ObjectStore, randomness: Randomness
    ) -> None:
        self.vm_id = vm_id
        self.table = table
        self.objects = objects
        self.randomness = randomness
        self.lock = anyio.Lock()

    async def open(self, spec: StepSpec) -> StepLease | None:
        """Open a step on this VM; return None if the step exists already."""
        key = step_key(spec.deployment, spec.step_id)
        if await self.table.get(key) is not None:
            return None
        body = msgspec.json.encode(spec)
        spec_key = f"{key}/spec-{xxhash.xxh64_hexdigest(body)}"
        await self.objects.put(spec_key, body)
        head = StepHead(owner=self.vm_id, epoch=1, beat=0, spec_key=spec_key)
        lease = StepLease(key, head, ABSENT)
        try:
            await self.write(lease, head)
        except StepFencedError:
            return None
        return lease

    async def spec(self, head: StepHead) -> StepSpec | None:
        """Return the step as its trainer opened it, or None if its object is missing."""
        body = await self.objects.get(head.spec_key)
        return None if body is None else decode_json(body, StepSpec)

    async def heads(self) -> tuple[Row, ...]:
        """Return the rows of all steps."""
        return await self.table.scan(STEP_PREFIX)

    async def head(self, key: str) -> StepHead | None:
        """Return a step's head, or None for an unknown step."""
        row = await self.table.get(key)
        return None if row is None else decode_json(row.value, StepHead)

    async def take_over(self, row: Row) -> StepLease | None:
        """Become the next owner of a step; return None if another VM was faster."""
        old = decode_json(row.value, StepHead)
        head = msgspec.structs.replace(old, owner=self.vm_id, epoch=old.epoch + 1, beat=0)
        lease = StepLease(row.key, head, row.version)
        try:
            await self.write(lease, head)
        except StepFencedError:
            return None
        return lease

    async def renew(self, lease: StepLease) -> None:
        """Increment the heartbeat counter of a step's head."""
        await self.update(lease)

    async def update(
        self, lease: StepLease, *writes: Write, owner: str | None = None, closed: str | None = None
    ) -> None:
        """Write a step's head, with other rows in the same transaction."""
        async with self.lock:
            head = lease.head
            head = msgspec.structs.replace(
                head,
                beat=head.beat + 1,
                owner=head.owner if owner is None else owner,
                closed=head.closed if closed is None else closed,
            )
            await self.write(lease, head, *writes)

    async def write(self, lease: StepLease, head: StepHead, *writes: Write) -> None:
        """Commit a step's head and read the row back, since a commit's response can be lost.

        Raises:
            StepFencedError: Another owner's epoch is in the row.
            PlatformError: The outcome is unknown; the caller may write again.
        """
        value = msgspec.json.encode(head)
        write = Write(lease.key, value, lease.row_version)
        transaction = Transaction(self.randomness.fresh_id(), (write, *writes))
        try:
            outcome = await self.table.commit(transaction)
        except OutcomeUnknownError:
            outcome = None
        row = await self.table.get(lease.key)
        if row is not None and row.value == value:
            lease.head, lease.row_version = head, row.version
            return
        current = None if row is None else decode_json(row.value, StepHead)
        is_own = current is not None and (current.owner, current.epoch) == (head.owner, head.epoch)
        if row is not None and current is not None and is_own:
            # An earlier write of this owner took effect although its response was lost.
            lease.head, lease.row_version = current, row.version
        elif isinstance(outcome, Conflicted) or (current and current.epoch >= head.epoch):
            raise StepFencedError("another VM owns the step", step="step.write", peer=lease.key)
        raise OutcomeUnknownError("the write did not take effect", step="step.write")

    async def record_batch(self, lease: StepLease, batch: Batch) -> None:
        """Store a batch under its number, conditional on the owner's row being unchanged."""
        body = msgspec.json.encode(batch.samples)
        name = f"{lease.key}/batch-{batch.number:08d}-{xxhash.xxh64_hexdigest(body)}"
        await self.objects.put(name, body)
        row = BatchRow(batch.number, lease.head.epoch, name)
        write = Write(batch_key(lease.key, batch.number), msgspec.json.encode(row))
        await self.update(lease, write)

    async def write_partial_results(
        self, lease: StepLease, number: int, chunk: PartialResultsChunk
    ) -> None:
        """Store finished samples, and parts of unfinished ones, for the step's next owner."""
        name = f"{lease.key}/spool-{lease.head.epoch:06d}-{number:06d}"
        await self.objects.put(name, msgspec.json.encode(chunk))

    async def recorded_batches(self, step: str, step_id: StepId) -> tuple[Batch, ...]:
        """Return the recorded batches of a step up to the first whose object is missing."""
        batches: list[Batch] = []
        for row in await self.table.scan(f"batch/{step}/"):
            batch_row = decode_json(row.value, BatchRow)
            body = await self.objects.get(batch_row.object_key)
            if body is None:
                break
            samples = decode_json(body, tuple[Sample, ...])
            batches.append(
                Batch(step_id, batch_row.number, samples, last=False, epoch=batch_row.epoch)
            )
        return tuple(batches)

    async def read_partial_results(self, step: str) -> PartialResults:
        """Return the partial results that earlier owners of a step saved."""
        samples: list[Sample] = []
        partials: dict[SampleKey, PartialSample] = {}
        for key in await self.objects.keys(f"{step}/spool-"):
            body = await self.objects.get(key)
            if body is None:
                continue
            chunk = decode_json(body, PartialResultsChunk)
            samples.extend(chunk.finished)
            for partial in chunk.partials:
                previous_partial = partials.get(partial.key)
                partials[partial.key] = (
                    partial if previous_partial is None else previous_partial.join(partial)
                )
        # A part that does not start at the first token cannot be resumed from.
        usable = {key: partial for key, partial in partials.items() if partial.start == 0}
        return PartialResults(tuple(samples), usable)

    async def delete_contents(self, lease: StepLease) -> None:
        """Delete the objects and batch rows of a closed step; its head remains for late pulls."""
        for key in await self.objects.keys(f"{lease.key}/"):
            await self.objects.delete(key)
        for row in await self.table.scan(f"batch/{lease.key}/"):
            write = Write(row.key, None)
            await self.table.commit(Transaction(self.randomness.fresh_id(), (write,)))
