"""The task that claims idempotency keys and records outcomes, so that a keyed call runs once."""

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
POLL_FIRST_S = 0.05
POLL_CAP_S = 1.0
MAX_CLAIM_ATTEMPTS = 4
RECORD_RETRY_S = 1.0
MAX_UNRECORDED = 10_000
SWEEP_INTERVAL_S = 600.0
SWEEP_PAGE_ROWS = 500


class Unavailable(msgspec.Struct, frozen=True):
    """The table can't tell whether the key is free."""


ClaimVerdict = Owned | Running | Finished | Lost | KeyReused | Unavailable


@dataclass(frozen=True, slots=True)
class Unrecorded:
    """An outcome that is not in the table yet."""

    claim: Claim
    record: OutcomeRecord
    body: bytes
    needs_claim_row: bool


class ClaimKeeper:
    """Owns this VM's claims.

    Args:
        table: The platform's table, for reads and sweeps.
        objects: The object store, for large answers.
        writer: Commits claims and outcomes in batches.
        clock: The clock.
        randomness: Source of operation ids.
        metrics: Where counts go.
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
        """Try to take the key; the claim's token makes repeating this safe."""
        expected_version = claim.claim_write().expected_version or 0
        for _ in range(MAX_CLAIM_ATTEMPTS):
            fate = await self.writer.write(claim.claim_write(expected_version))
            if fate is WriteResult.COMMITTED:
                return Owned()
            # After a lost answer the row may be our own, so the rows decide, not the fate.
            verdict = await self.read_verdict(claim)
            if fate is WriteResult.UNAVAILABLE and isinstance(verdict, Free):
                return Unavailable()
            if not isinstance(verdict, Free):
                return verdict
            expected_version = verdict.expected_version
        self.metrics.count("claim.contested")
        return Unavailable()

    async def read_verdict(self, claim: Claim) -> ClaimVerdict | Free:
        """Read what the key's rows allow."""
        try:
            rows = await self.table.scan(claim.prefix)
        except PlatformError:
            return Unavailable()
        return evaluate_claim(claim, rows, self.clock.wall_s())

    async def wait_for_outcome(self, claim: Claim, deadline_s: float) -> ClaimVerdict | Free:
        """Wait until the run that holds the key ends; returns the last verdict at the deadline."""
        pause_s = POLL_FIRST_S
        while True:
            verdict = await self.read_verdict(claim)
            remaining_s = deadline_s - self.clock.now_s()
            if not isinstance(verdict, Running | Unavailable) or remaining_s <= 0:
                return verdict
            await self.clock.sleep(min(pause_s, remaining_s))
            pause_s = min(POLL_CAP_S, pause_s * 2)

    async def recorded_answer(self, outcome: OutcomeRecord) -> Answer | None:
        """Return the recorded answer, or None when its body can't be had."""
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
        """Record how the call ended; written in the background.

        Args:
            claim: The call's claim.
            state: How it ended.
            answer: The answer, if there is one.
            needs_claim_row: Whether the claim's own row still has to be written.
        """
        record = OutcomeRecord(state, expires_s=claim.record.expires_s)
        body = b""
        if answer is not None:
            record = replace_answer(record, answer)
            body = answer.body
            if len(body) > MAX_INLINE_BODY_BYTES:
                key = f"answers/{claim.record.token}"
                record = msgspec.structs.replace(record, body=b"", object_key=key)
        if len(self.unrecorded) >= MAX_UNRECORDED:
            self.drop_one_unrecorded()
        self.unrecorded[claim.record.token] = Unrecorded(claim, record, body, needs_claim_row)
        self.outcomes_pending.set()

    def drop_one_unrecorded(self) -> None:
        """Make room, rather at the cost of a call that did not run than of an outcome.

        What is forgotten stays "outcome unknown", which is safe.
        """
        refused = (
            token
            for token, due in self.unrecorded.items()
            if due.record.state is RecordedState.NOT_RUN
        )
        self.unrecorded.pop(next(refused, next(iter(self.unrecorded))))
        self.metrics.count("claim.record.dropped")

    def is_recorded(self, claim: Claim) -> bool:
        """Return whether nothing of this claim is left to write."""
        return claim.record.token not in self.unrecorded

    async def run(self) -> None:
        """Write outcomes until cancelled."""
        while True:
            await self.outcomes_pending.wait()
            self.outcomes_pending = anyio.Event()
            await self.flush()
            if self.unrecorded:
                await self.clock.sleep(RECORD_RETRY_S)
                self.outcomes_pending.set()

    async def flush(self) -> None:
        """Write all outcomes known now."""
        async with anyio.create_task_group() as group:
            for token in list(self.unrecorded):
                group.start_soon(self.write_outcome, token)

    async def write_outcome(self, token: str) -> None:
        """Write one outcome; a conflict means that it is there already."""
        due = self.unrecorded[token]
        try:
            if due.record.object_key:
                await self.objects.put(due.record.object_key, due.body)
        except PlatformError:
            self.metrics.count("claim.record.failed")
            return
        writes = [due.claim.outcome_write(due.record)]
        if due.needs_claim_row:
            writes.insert(0, due.claim.claim_write())
        for write in writes:
            if await self.writer.write(write) is WriteResult.UNAVAILABLE:
                self.metrics.count("claim.record.failed")
                return
        self.unrecorded.pop(token, None)

    async def run_sweeps(self) -> None:
        """Remove old rows now and then; two VMs that sweep at once do no harm."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_S)
            if not self.writer.is_committer():
                continue
            try:
                self.metrics.count("claim.swept", await self.sweep())
            except PlatformError:
                self.metrics.count("claim.sweep.failed")

    async def sweep(self) -> int:
        """Remove the rows whose time is over; returns how many.

        Raises:
            PlatformError: The table could not be asked; the rest is for the next sweep.
        """
        after, removed = "", 0
        while rows := await self.table.scan(CLAIM_PREFIX, after, SWEEP_PAGE_ROWS):
            after = rows[-1].key
            writes = expired_row_deletions(rows, self.clock.wall_s())
            if writes:
                await self.table.commit(Transaction(self.randomness.fresh_id(), writes))
                removed += len(writes)
        return removed


def replace_answer(record: OutcomeRecord, answer: Answer) -> OutcomeRecord:
    """Return the record with the answer in it."""
    return msgspec.structs.replace(
        record, status=answer.status, content_type=answer.content_type, body=answer.body
    )
