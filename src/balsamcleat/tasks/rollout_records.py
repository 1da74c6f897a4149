"""Records of rollout steps in the row store: submissions, owners, results and saved progress."""

from collections.abc import Mapping
from types import MappingProxyType

import msgspec
import structlog

from balsamcleat.decisions.sample_attempts import AttemptCounts
from balsamcleat.decisions.sample_progress import ProgressSlice, SavedProgress, join_slices
from balsamcleat.decoding import decode_json
from balsamcleat.errors import PlatformUnavailableError, ProtocolError
from balsamcleat.model import StepId, WeightVersion
from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.ports.rows import (
    ABSENT_VERSION,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowPage,
    RowsCommitted,
    RowStore,
    RowWrite,
)
from balsamcleat.tasks.row_pages import next_page_start
from balsamcleat.tasks.step_submission import StepSubmission
from balsamcleat.tasks.stored_values import (
    ValueRows,
    decode_pieces,
    decode_value,
    encode_value,
    value_writes,
)

__all__ = [
    "STEPS_TABLE",
    "VMS_TABLE",
    "VM_PART",
    "OwnerRecord",
    "RolloutRecords",
    "decode_owner",
    "has_owner",
    "is_end_key",
    "is_owner_key",
]

STEPS_TABLE = "steps"
VMS_TABLE = "vms"
VM_PART = "vm"
BODIES_TABLE = "step-bodies"
RESULTS_TABLE = "step-results"
PROGRESS_TABLE = "step-progress"
OWNER_KEY = "owner"
END_KEY = "end"
# Fraction of a commit's size limit available to values; the rest is for base64 and row names.
USABLE_COMMIT_FRACTION = 0.6
# Bytes of a result besides its text.
RESULT_OVERHEAD_BYTES = 100
# Rows of a commit's row limit that are reserved for its conditions.
RESERVED_CONDITION_ROWS = 10

log = structlog.get_logger()


class OwnerRecord(msgspec.Struct, frozen=True):
    """Record of a step's owner and of the step's properties that every VM needs.

    Attributes:
        vm: VM that owns the step; empty after the owner handed the step over.
        boot: Identifier of the start of the owner's process.
        host: Host of the route that the step was submitted to.
        path: Path that the step was submitted to.
        accepted_ms: Time of the submission on the store's clock, in milliseconds.
        samples: Number of samples in the step.
        model: Model that generates the samples.
        oldest_version: Oldest weight version allowed for the samples.
        work: Expected number of tokens of all samples together.
        team: Team that submitted the step. Empty if no key was checked, and also after a VM of the
            previous build owned the step.
    """

    vm: str
    boot: str
    host: str
    path: str
    accepted_ms: int
    samples: int
    model: str = ""
    oldest_version: WeightVersion = WeightVersion(0)
    work: float = 0.0
    team: str = ""

    def with_owner(self, vm: str, boot: str) -> "OwnerRecord":
        """Return a copy of the record with another owner."""
        return msgspec.structs.replace(self, vm=vm, boot=boot)


class StoredResult(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a sample's result."""

    sample_id: str
    state: SampleState
    text: str
    versions: tuple[WeightVersion, ...]
    score: str = ""


def is_owner_key(key: RowKey) -> bool:
    """Return whether a key of the steps table is that of an owner row."""
    return key.key == OWNER_KEY


def is_end_key(key: RowKey) -> bool:
    """Return whether a key of the steps table is that of an end row."""
    return key.key == END_KEY


def has_owner(rows: tuple[RowChange, ...]) -> bool:
    """Return whether there is an owner row among rows of which some may be absent."""
    return any(is_owner_key(row.key) and row.value is not None for row in rows)


def decode_owner(row: RowChange) -> OwnerRecord | None:
    """Return the owner record in a row, or None if the row is deleted or unreadable."""
    try:
        return None if row.value is None else decode_json(row.value, OwnerRecord)
    except msgspec.DecodeError:
        return None


def encode_owner(owner: OwnerRecord) -> bytes:
    """Return the stored form of an owner record, which names a team only if the step has one."""
    fields = msgspec.structs.asdict(owner)
    if not owner.team:
        del fields["team"]
    return msgspec.json.encode(fields)


def owner_key(step_id: StepId) -> RowKey:
    """Return the key of a step's owner row."""
    return RowKey(STEPS_TABLE, step_id, OWNER_KEY)


def end_key(step_id: StepId) -> RowKey:
    """Return the key of a step's end row, which exists once the step was ended."""
    return RowKey(STEPS_TABLE, step_id, END_KEY)


def result_key(position: int) -> str:
    """Return the name of the result at a position, which its row keys begin with."""
    return f"{position:08d}"


class RolloutRecords:
    """Reads and writes the records of steps.

    Args:
        store: Row store that holds the records.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store

    def chunk_writes(self, table: str, part: str, name: str, value: bytes) -> list[RowWrite]:
        """Return the writes of a value split into rows; the keys hold row number and row count."""
        return value_writes(table, part, name, value, self.store.limits.row_bytes)

    async def create_step(
        self, step_id: StepId, owner: OwnerRecord, submission: StepSubmission
    ) -> RowsCommitted | RowConflict:
        """Store a new step and its owner; a conflict means that the step exists already.

        A step exists only with its owner row, which is therefore written last. A submission that
        needs more commits is stored whole by one caller: no commit is performed once the step
        exists, and the last one only if the rows of the others are still its own.

        Raises:
            PlatformError: The store failed, or another caller has stored rows of the same step.
        """
        owner_write = RowWrite(owner_key(step_id), encode_owner(owner))
        is_new = ((owner_key(step_id), ABSENT_VERSION),)
        bodies = self.chunk_writes(BODIES_TABLE, step_id, "body", encode_value(submission))
        first, *rest = self.split_writes(bodies)
        if not rest:
            return await self.store.commit(RowCommit((owner_write, *first), is_new))
        conditions = dict(is_new)
        for writes in self.split_writes(bodies[1:]):
            outcome = await self.store.commit(RowCommit(writes, is_new))
            if isinstance(outcome, RowConflict):
                return outcome
            # Another caller's rows that replace some of these replace the first or the last one.
            conditions |= {write.key: outcome.version for write in (writes[0], writes[-1])}
        commit = RowCommit((owner_write, bodies[0]), tuple(conditions.items()))
        return new_step_outcome(await self.store.commit(commit))

    def max_write_rows(self) -> int:
        """Return the number of rows that one commit may write besides its conditions."""
        return self.store.limits.commit_rows - RESERVED_CONDITION_ROWS

    def split_writes(self, writes: list[RowWrite]) -> list[tuple[RowWrite, ...]]:
        """Split writes into groups that each fit into one commit."""
        limit = self.store.limits.commit_bytes * USABLE_COMMIT_FRACTION
        groups: list[list[RowWrite]] = [[]]
        size = 0
        for write in writes:
            length = len(write.value or b"")
            if groups[-1] and (size + length > limit or len(groups[-1]) >= self.max_write_rows()):
                groups.append([])
                size = 0
            groups[-1].append(write)
            size += length
        return [tuple(group) for group in groups]

    async def owner(self, step_id: StepId) -> tuple[OwnerRecord, int] | None:
        """Return a step's owner record and its row version, or None for an unknown step.

        Raises:
            PlatformUnavailableError: The store does not answer.
            ProtocolError: The step exists, but its owner row is unreadable.
        """
        page = await self.store.read(STEPS_TABLE, step_id, OWNER_KEY, OWNER_KEY + "\0")
        if not page.rows:
            return None
        row = page.rows[0]
        record = decode_owner(row)
        if record is None:
            raise ProtocolError("unreadable owner row", step="owner.read", peer=step_id)
        return record, row.version

    async def state(self, step_id: StepId) -> tuple[RowChange, ...]:
        """Return a step's owner row and, if the step was ended, its end row."""
        return (await self.state_page(step_id)).rows

    async def state_page(self, step_id: StepId) -> RowPage:
        """Return a step's owner row and end row, with the store's time at which they were read."""
        return await self.store.read(STEPS_TABLE, step_id)

    async def replace_owner(
        self, step_id: StepId, owner: OwnerRecord, row_version: int
    ) -> RowsCommitted | RowConflict:
        """Replace a step's owner if the owner row still has the given version."""
        key = owner_key(step_id)
        write = RowWrite(key, encode_owner(owner))
        return await self.store.commit(RowCommit((write,), ((key, row_version),)))

    async def submission(self, step_id: StepId) -> StepSubmission | None:
        """Return a step's submission, or None if none is stored."""
        values = await self.read_values(BODIES_TABLE, step_id)
        pieces = values.take("body")
        return None if pieces is None else decode_pieces(pieces, StepSubmission)

    async def submission_page(self, step_id: StepId, start: str) -> RowPage:
        """Return a page of the rows of a step's submission."""
        return await self.store.read(BODIES_TABLE, step_id, start)

    async def append_results(
        self,
        step_id: StepId,
        owner_version: int,
        position: int,
        results: tuple[SampleResult, ...],
    ) -> RowsCommitted | RowConflict:
        """Store results from a position on if the owner row is unchanged and the position free."""
        writes: list[RowWrite] = []
        for offset, result in enumerate(results):
            stored = StoredResult(
                result.sample_id, result.state, result.text, result.versions, result.score
            )
            name = result_key(position + offset)
            writes += self.chunk_writes(RESULTS_TABLE, step_id, name, encode_value(stored))
        expected = ((owner_key(step_id), owner_version), (writes[0].key, ABSENT_VERSION))
        return await self.store.commit(RowCommit(tuple(writes), expected))

    def count_fitting_one_commit(self, results: list[SampleResult]) -> int:
        """Return how many of the first results fit into one commit, at least one."""
        size, rows = 0, 0
        limit = self.store.limits.commit_bytes * USABLE_COMMIT_FRACTION
        for count, result in enumerate(results):
            length = len(result.text.encode()) + RESULT_OVERHEAD_BYTES
            size += length
            rows += 1 + length // self.store.limits.row_bytes
            if count and (size > limit or rows > self.max_write_rows()):
                return count
        return len(results)

    async def results(
        self, step_id: StepId, position: int = 0, *, all_pages: bool = False
    ) -> tuple[SampleResult, ...]:
        """Return the results from a position on: the first page, or all pages.

        Raises:
            PlatformUnavailableError: The store does not answer.
            ProtocolError: The result at the position, or with all pages any later one, is stored
                incomplete. It must not be taken for one that is not listed yet.
        """
        rows = await self.read_values(
            RESULTS_TABLE, step_id, result_key(position), all_pages=all_pages
        )
        values = rows.complete()
        results: list[SampleResult] = []
        while (name := result_key(position + len(results))) in values:
            results.append(decode_result(values[name]))
        is_whole = len(results) == len(values) and not rows.incomplete_names()
        if not is_whole and (all_pages or not results):
            raise ProtocolError(
                "the result of a position is missing", step="results.read", peer=step_id
            )
        return tuple(results)

    async def read_values(
        self, table: str, part: str, start: str = "", *, all_pages: bool = True
    ) -> ValueRows:
        """Return the rows of the values in a part: of all, or of a page with a complete one."""
        rows = ValueRows()
        next_start: str | None = start
        while next_start is not None:
            page = await self.store.read(table, part, next_start)
            rows.add(page.rows)
            next_start = next_page_start(page)
            if not all_pages and rows.complete_keys():
                return rows
        rows.log_incomplete(table, part)
        return rows

    async def mark_ended(self, step_id: StepId) -> RowsCommitted | RowConflict:
        """Record that a step was ended; the operation is idempotent."""
        return await self.store.commit(RowCommit((RowWrite(end_key(step_id), b"1"),)))

    async def save_progress(
        self,
        part: str,
        slices: dict[str, ProgressSlice],
        owner_version: int | None = None,
        attempts: Mapping[str, AttemptCounts] = MappingProxyType({}),
    ) -> RowConflict | None:
        """Save progress of samples that have no stored result.

        Args:
            part: Id of the step, or the part from which the same trainer's next step loads.
            slices: New text, by sample id.
            owner_version: Version that the step's owner row must have; None writes
                unconditionally.
            attempts: Counts of attempts to save, by sample id.

        Returns:
            The conflict if another VM owns the step by now; not all slices are saved then.
        """
        writes: list[RowWrite] = []
        for sample_id, counts in attempts.items():
            # Owners of older builds take what stands before the second-last "@" for the sample.
            name = f"{sample_id}@attempts@{counts.key()}"
            record = encode_value(ProgressSlice.of_attempts(counts))
            writes += self.chunk_writes(PROGRESS_TABLE, part, name, record)
        for sample_id, progress_slice in slices.items():
            name = f"{sample_id}@{progress_slice.generation:015d}@{progress_slice.start:06d}"
            writes += self.chunk_writes(PROGRESS_TABLE, part, name, encode_value(progress_slice))
        expected = () if owner_version is None else ((owner_key(StepId(part)), owner_version),)
        for group in self.split_writes(writes):
            if not group:
                continue
            outcome = await self.store.commit(RowCommit(group, expected))
            if isinstance(outcome, RowConflict):
                return outcome
        return None

    async def load_progress(self, part: str) -> dict[str, SavedProgress]:
        """Return the progress saved in a part, by sample id; what can't be read is left out."""
        pieces: dict[str, list[ProgressSlice]] = {}
        values = await self.read_values(PROGRESS_TABLE, part)
        for name, packed in values.complete().items():
            sample_id = name.rsplit("@", 2)[0]
            try:
                pieces.setdefault(sample_id, []).append(decode_value(packed, ProgressSlice))
            except ProtocolError as error:
                log.warning("text ignored", part=part, key=name, reason=str(error))
        joined = {sample_id: join_slices(slices) for sample_id, slices in pieces.items() if slices}
        return {sample_id: saved for sample_id, saved in joined.items() if saved is not None}

    async def delete_vm(self, vm: str, version: int) -> bool:
        """Delete a VM's row if it still has the given version; return whether it was deleted."""
        key = RowKey(VMS_TABLE, VM_PART, vm)
        outcome = await self.store.commit(RowCommit((RowWrite(key, None),), ((key, version),)))
        return not isinstance(outcome, RowConflict)


def decode_result(packed: bytes) -> SampleResult:
    """Return a stored result.

    Raises:
        ProtocolError: The result cannot be decoded.
    """
    stored = decode_value(packed, StoredResult)
    return SampleResult(stored.sample_id, stored.state, stored.text, stored.versions, stored.score)


def new_step_outcome(outcome: RowsCommitted | RowConflict) -> RowsCommitted | RowConflict:
    """Return the outcome of the last commit of a new step.

    Raises:
        PlatformUnavailableError: Rows of the submission were replaced, and the step does not exist.
    """
    if isinstance(outcome, RowConflict) and not has_owner(outcome.rows):
        raise PlatformUnavailableError(
            "another try of the submission was stored meanwhile", step="step.create"
        )
    return outcome
