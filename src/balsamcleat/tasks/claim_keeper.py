"""Claims idempotency keys and records the outcomes of calls, so that a keyed call runs once."""

from dataclasses import dataclass

import anyio
import msgspec

from balsamcleat.decisions.claims import (
    CLAIM_PREFIX,
    Claim,
    Finished,
    Free,
    KeyReused,
    Lost,
    OutcomeRecord,
    Owned,
    RecordedState,
    Running,
    evaluate_claim,
    expired_row_deletions,
)
from balsamcleat.errors import PlatformError
from balsamcleat.model import Answer
from balsamcleat.ports import Clock, Metrics, ObjectStore, Randomness, Table, Transaction
from balsamcleat.tasks.claim_writer import ClaimWriter, WriteResult

__all__ = ["ClaimKeeper", "Unavailable"]

MAX_INLINE_BODY_BYTES = 4096
POLL_DELAY_BASE_S = 0.05
POLL_DELAY_CAP_S = 1.0
MAX_CLAIM_ATTEMPTS = 4
RECORD_RETRY_S = 1.0
MAX_UNRECORDED = 10_000
SWEEP_INTERVAL_S = 600.0
SWEEP_PAGE_ROWS = 500


class Unavailable(msgspec.Struct, frozen=True):
    """The table is unavailable, so it is unknown whether the key is free."""


ClaimVerdict = Owned | Running | Finished | Lost | KeyReused | Unavailable


@dataclass(frozen=True, slots=True)
class Unrecorded:
    """Outcome of a call that is not written to the table yet.

    Attributes:
        claim: Claim of the call.
        record: Record to write.
        body: Response body, for the object store if the record refers to an object.
        needs_claim_row: Whether the row of the claim itself still has to be written.
    """

    claim: Claim
    record: OutcomeRecord
    body: bytes
    needs_claim_row: bool


class ClaimKeeper:
    """Manages the claims that this VM makes.

    Args:
        table: Table that holds the claims, for reads and sweeps.
        objects: Object store for response bodies that are too large for a row.
        writer: Commits claims and outcomes in batches.
        clock: Monotonic clock and wall clock.
        randomness: Source of operation ids.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        table: Table,
        objects: ObjectStore,
        writer: ClaimWriter,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
    ) -> None:
        self.table = table
        self.objects = objects
        self.writer = writer
        self.clock = clock
        self.randomness = randomness
        self.metrics = metrics
        self.unrecorded: dict[str, Unrecorded] = {}
        self.outcomes_pending = anyio.Event()

    async def claim_key(self, claim: Claim) -> ClaimVerdict:
        """Try to claim the key; the claim's token makes this safe to repeat."""
        expected_version = claim.claim_write().expected_version or 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            write_result = await self.writer.write(claim.claim_write(expected_version))
            if write_result is WriteResult.COMMITTED:
                return Owned()
            # If the reply to the write was lost, the row may be this claim's own, so the verdict
            # comes from the rows and not from the result of the write.
            verdict = await self.read_verdict(claim)
            if write_result is WriteResult.UNAVAILABLE and isinstance(verdict, Free):
                return Unavailable()
            if not isinstance(verdict, Free):
                return verdict
            expected_version = verdict.expected_version
        self.metrics.count("claim.contested")
        return Unavailable()

    async def read_verdict(self, claim: Claim) -> ClaimVerdict | Free:
        """Read the rows of the key and return the verdict on the claim."""
        try:
            rows = await self.table.scan(claim.prefix)
        except PlatformError:
            return Unavailable()
        return evaluate_claim(claim, rows, self.clock.wall_s())

    async def wait_for_outcome(self, claim: Claim, deadline_s: float) -> ClaimVerdict | Free:
        """Wait until the run that holds the key ends.

        Returns:
            The verdict once the run has ended, or the last verdict at the deadline.
        """
        poll_delay_s = POLL_DELAY_BASE_S
        while True:
            verdict = await self.read_verdict(claim)
            remaining_s = deadline_s - self.clock.now_s()
            if not isinstance(verdict, Running | Unavailable) or remaining_s <= 0:
                return verdict
            await self.clock.sleep(min(poll_delay_s, remaining_s))
            poll_delay_s = min(POLL_DELAY_CAP_S, poll_delay_s * 2)

    async def recorded_answer(self, outcome: OutcomeRecord) -> Answer | None:
        """Return the recorded answer, or None if its body can't be read."""
        body: bytes | None = outcome.body
        if outcome.object_key:
            try:
                body = await self.objects.get(outcome.object_key)
            except PlatformError:
                body = None
        return None if body is None else Answer(outcome.status, outcome.content_type, body)

    def record_outcome(
        self,
        claim: Claim,
        state: RecordedState,
        answer: Answer | None = None,
        *,
        needs_claim_row: bool = False,
    ) -> None:
        """Record the outcome of a call; a background task writes it to the table.

        Args:
            claim: Claim of the call.
            state: State in which the call ended.
            answer: Answer to the call, if there is one.
            needs_claim_row: Whether the row of the claim itself still has to be written.
        """
        record = OutcomeRecord(state, expires_s=claim.record.expires_s)
        body = b""
        if answer is not None:
            record = with_answer(record, answer)
            body = answer.body
            if len(body) > MAX_INLINE_BODY_BYTES:
                key = f"answers/{claim.record.token}"
                record = msgspec.structs.replace(record, body=b"", object_key=key)
        if len(self.unrecorded) >= MAX_UNRECORDED:
            self.drop_one_unrecorded()
        self.unrecorded[claim.record.token] = Unrecorded(claim, record, body, needs_claim_row)
        self.outcomes_pending.set()

    def drop_one_unrecorded(self) -> None:
        """Drop one unrecorded outcome; those of calls that did not run go first.

        A call whose outcome is dropped stays "outcome unknown", which is safe.
        """
        not_run_tokens = (
            token
            for token, unrecorded in self.unrecorded.items()
            if unrecorded.record.state is RecordedState.NOT_RUN
        )
        self.unrecorded.pop(next(not_run_tokens, next(iter(self.unrecorded))))
        self.metrics.count("claim.record.dropped")

    def is_recorded(self, claim: Claim) -> bool:
        """Return whether this VM has nothing left to write for the claim."""
        return claim.record.token not in self.unrecorded

    async def run(self) -> None:
        """Write outcomes to the table, until cancelled."""
        while True:
            await self.outcomes_pending.wait()
            self.outcomes_pending = anyio.Event()
            await self.flush()
            if self.unrecorded:
                await self.clock.sleep(RECORD_RETRY_S)
                self.outcomes_pending.set()

    async def flush(self) -> None:
        """Write all outcomes that are pending now."""
        async with anyio.create_task_group() as group:
            for token in list(self.unrecorded):
                group.start_soon(self.write_outcome, token)

    async def write_outcome(self, token: str) -> None:
        """Write one outcome; a conflict means that it is already recorded."""
        unrecorded = self.unrecorded[token]
        try:
            if unrecorded.record.object_key:
                await self.objects.put(unrecorded.record.object_key, unrecorded.body)
        except PlatformError:
            self.metrics.count("claim.record.failed")
            return
        writes = [unrecorded.claim.outcome_write(unrecorded.record)]
        if unrecorded.needs_claim_row:
            writes.insert(0, unrecorded.claim.claim_write())
        for write in writes:
            if await self.writer.write(write) is WriteResult.UNAVAILABLE:
                self.metrics.count("claim.record.failed")
                return
        self.unrecorded.pop(token, None)

    async def run_sweeps(self) -> None:
        """Delete expired rows periodically; two VMs may sweep at the same time without harm."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_S)
            if not self.writer.is_committer():
                continue
            try:
                self.metrics.count("claim.swept", await self.sweep())
            except PlatformError:
                self.metrics.count("claim.sweep.failed")

    async def sweep(self) -> int:
        """Delete expired rows and return their number.

        Raises:
            PlatformError: The table is unavailable; the next sweep deletes the rest.
        """
        after, removed = "", 0
        while rows := await self.table.scan(CLAIM_PREFIX, after, SWEEP_PAGE_ROWS):
            after = rows[-1].key
            writes = expired_row_deletions(rows, self.clock.wall_s())
            if writes:
                await self.table.commit(Transaction(self.randomness.fresh_id(), writes))
                removed += len(writes)
        return removed


def with_answer(record: OutcomeRecord, answer: Answer) -> OutcomeRecord:
    """Return a copy of the record that contains the answer."""
    return msgspec.structs.replace(
        record, status=answer.status, content_type=answer.content_type, body=answer.body
    )
