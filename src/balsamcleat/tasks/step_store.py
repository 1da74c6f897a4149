"""What lasts of a step: its head and batches in the table, its samples in the object store."""

from dataclasses import dataclass

import anyio
import msgspec
import xxhash

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
    "PartialSample",
    "SpoolChunk",
    "SpoolContents",
    "StepFencedError",
    "StepHead",
    "StepLease",
    "StepStore",
    "step_key",
]

STEP_PREFIX = "step/"


class StepFencedError(PlatformError):
    """Another VM owns the step by now."""


class StepHead(msgspec.Struct, frozen=True, kw_only=True):
    """A step's row: who owns it and how far it is.

    Attributes:
        owner: The owner, empty after a hand-over.
        epoch: Grows with each owner.
        beat: Grows with each renewal.
        spec_key: Object with the step as its trainer opened it.
        closed: Why the step takes no more pulls; empty while it does.
    """

    owner: str
    epoch: int
    beat: int
    spec_key: str
    closed: str = ""


class BatchRow(msgspec.Struct, frozen=True):
    """A recorded batch: its number, its owner's epoch and the object with its contents."""

    number: int
    epoch: int
    object_key: str


class PartialSample(msgspec.Struct, frozen=True):
    """A run of tokens of a sample in the making.

    Attributes:
        key: The sample's place.
        serial: The attempt that made it; runs of different attempts do not fit together.
        start: Offset of its first token.
        text: Its text.
        spans: The versions that made it.
    """

    key: SampleKey
    serial: int
    start: int
    text: str
    spans: tuple[VersionSpan, ...]

    def join(self, later: "PartialSample") -> "PartialSample":
        """Return this run with a later one, or the later one alone where they don't fit."""
        if later.serial != self.serial or later.start != self.spans[-1].end:
            return later
        return PartialSample(
            self.key, self.serial, self.start, self.text + later.text, self.spans + later.spans
        )


class SpoolChunk(msgspec.Struct, frozen=True):
    """What one object of the spool holds."""

    finished: tuple[Sample, ...]
    partials: tuple[PartialSample, ...] = ()


@dataclass(frozen=True, slots=True)
class SpoolContents:
    """What earlier owners left in the spool.

    Attributes:
        finished: Finished samples.
        partials: Beginnings of others, by place.
    """

    finished: tuple[Sample, ...]
    partials: dict[SampleKey, PartialSample]


@dataclass
class StepLease:
    """A step that this VM owns, as long as nobody else's epoch is in its row.

    Attributes:
        key: The row's key.
        head: The head as last written.
        row_version: The row's version, for the next conditional write.
    """

    key: str
    head: StepHead
    row_version: int


def step_key(deployment: DeploymentName, step_id: StepId) -> str:
    """Return the step's row."""
    return f"{STEP_PREFIX}{deployment}/{step_id}"


def batch_key(key: str, number: int) -> str:
    """Return the row of one batch."""
    return f"batch/{key}/{number:08d}"


class StepStore:
    """Reads and writes steps; every write is conditional on the owner's epoch.

    Args:
        vm_id: This VM.
        table: The platform's table.
        objects: The platform's object store.
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
        """Open a step here; returns None when it is open already."""
        key = step_key(spec.deployment, spec.step_id)
        if await self.table.get(key) is not None:
            return None
        body = msgspec.json.encode(spec)
        spec_key = f"{key}/spec-{xxhash.xxh64_hexdigest(body)}"
        await self.objects.put(spec_key, body)
        head = StepHead(owner=self.vm_id, epoch=1, beat=0, spec_key=spec_key)
        held = StepLease(key, head, ABSENT)
        try:
            await self.write(held, head)
        except StepFencedError:
            return None
        return held

    async def spec(self, head: StepHead) -> StepSpec | None:
        """Return the step as its trainer opened it."""
        body = await self.objects.get(head.spec_key)
        return None if body is None else msgspec.json.decode(body, type=StepSpec)

    async def heads(self) -> tuple[Row, ...]:
        """Return the rows of all steps."""
        return await self.table.scan(STEP_PREFIX)

    async def head(self, key: str) -> StepHead | None:
        """Return a step's head."""
        row = await self.table.get(key)
        return None if row is None else msgspec.json.decode(row.value, type=StepHead)

    async def take_over(self, row: Row) -> StepLease | None:
        """Become the step's next owner; returns None when another VM was quicker."""
        old = msgspec.json.decode(row.value, type=StepHead)
        head = msgspec.structs.replace(old, owner=self.vm_id, epoch=old.epoch + 1, beat=0)
        held = StepLease(row.key, head, row.version)
        try:
            await self.write(held, head)
        except StepFencedError:
            return None
        return held

    async def renew(self, held: StepLease) -> None:
        """Show that this owner is alive."""
        await self.update(held)

    async def update(
        self, held: StepLease, *writes: Write, owner: str | None = None, closed: str | None = None
    ) -> None:
        """Write the head, with other rows in the same transaction."""
        async with self.lock:
            head = held.head
            head = msgspec.structs.replace(
                head,
                beat=head.beat + 1,
                owner=head.owner if owner is None else owner,
                closed=head.closed if closed is None else closed,
            )
            await self.write(held, head, *writes)

    async def write(self, held: StepLease, head: StepHead, *writes: Write) -> None:
        """Commit the head and read back what came of it, as answers can be lost.

        Raises:
            StepFencedError: Another owner's epoch is in the row.
            PlatformError: The outcome is not known; write again.
        """
        value = msgspec.json.encode(head)
        write = Write(held.key, value, held.row_version)
        transaction = Transaction(self.randomness.fresh_id(), (write, *writes))
        try:
            outcome = await self.table.commit(transaction)
        except OutcomeUnknownError:
            outcome = None
        row = await self.table.get(held.key)
        if row is not None and row.value == value:
            held.head, held.row_version = head, row.version
            return
        theirs = None if row is None else msgspec.json.decode(row.value, type=StepHead)
        mine = theirs is not None and (theirs.owner, theirs.epoch) == (head.owner, head.epoch)
        if row is not None and theirs is not None and mine:
            # An earlier write of ours took effect after its answer was lost.
            held.head, held.row_version = theirs, row.version
        elif isinstance(outcome, Conflicted) or (theirs and theirs.epoch >= head.epoch):
            raise StepFencedError("another VM owns the step", step="step.write", peer=held.key)
        raise OutcomeUnknownError("the write did not take effect", step="step.write")

    async def record_batch(self, held: StepLease, batch: Batch) -> None:
        """Keep a batch's contents under its number, on condition of the epoch."""
        body = msgspec.json.encode(batch.samples)
        name = f"{held.key}/batch-{batch.number:08d}-{xxhash.xxh64_hexdigest(body)}"
        await self.objects.put(name, body)
        row = BatchRow(batch.number, held.head.epoch, name)
        write = Write(batch_key(held.key, batch.number), msgspec.json.encode(row))
        await self.update(held, write)

    async def write_spool_chunk(self, held: StepLease, number: int, chunk: SpoolChunk) -> None:
        """Keep finished samples, and beginnings of others, for the next owner."""
        name = f"{held.key}/spool-{held.head.epoch:06d}-{number:06d}"
        await self.objects.put(name, msgspec.json.encode(chunk))

    async def recorded_batches(self, step: str, step_id: StepId) -> tuple[Batch, ...]:
        """Return the recorded batches up to the first that can't be read."""
        batches: list[Batch] = []
        for row in await self.table.scan(f"batch/{step}/"):
            line = msgspec.json.decode(row.value, type=BatchRow)
            body = await self.objects.get(line.object_key)
            if body is None:
                break
            samples = msgspec.json.decode(body, type=tuple[Sample, ...])
            batches.append(Batch(step_id, line.number, samples, last=False, epoch=line.epoch))
        return tuple(batches)

    async def spool_contents(self, step: str) -> SpoolContents:
        """Return what earlier owners spooled."""
        samples: list[Sample] = []
        partials: dict[SampleKey, PartialSample] = {}
        for key in await self.objects.keys(f"{step}/spool-"):
            body = await self.objects.get(key)
            if body is None:
                continue
            chunk = msgspec.json.decode(body, type=SpoolChunk)
            samples.extend(chunk.finished)
            for partial in chunk.partials:
                known = partials.get(partial.key)
                partials[partial.key] = partial if known is None else known.join(partial)
        # A run that does not begin with the first token is of no use.
        whole = {key: partial for key, partial in partials.items() if partial.start == 0}
        return SpoolContents(tuple(samples), whole)

    async def delete_contents(self, held: StepLease) -> None:
        """Remove what a closed step no longer needs; its head stays to answer late pulls."""
        for key in await self.objects.keys(f"{held.key}/"):
            await self.objects.delete(key)
        for row in await self.table.scan(f"batch/{held.key}/"):
            write = Write(row.key, None)
            await self.table.commit(Transaction(self.randomness.fresh_id(), (write,)))
