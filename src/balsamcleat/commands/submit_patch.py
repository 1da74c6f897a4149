"""Submits a patch, which becomes the next numbered configuration or is rejected."""

from dataclasses import dataclass

import msgspec

from balsamcleat.configuration import (
    Fault,
    NumberedConfiguration,
    PatchRejected,
    PatchRequest,
    RejectionReason,
    apply_patch,
)
from balsamcleat.configuration.store import (
    HEAD_KEY,
    HeadRow,
    OperationRow,
    operation_key,
    patch_digest,
)
from balsamcleat.errors import OutcomeUnknownError, PlatformError
from balsamcleat.model.audit import AuditRow, audit_key
from balsamcleat.ports import ABSENT, Clock, Conflicted, Metrics, Table, Transaction, Write
from balsamcleat.tasks.audit_trail import AuditTrail
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper

__all__ = ["AuditRow", "PatchAccepted", "SubmitPatch", "audit_key"]

LOOK_UP_ATTEMPTS = 5
LOOK_UP_INTERVAL_S = 0.2
ACTION = "configuration.patch"


@dataclass(frozen=True, slots=True)
class PatchAccepted:
    """The patch took effect, or would have taken effect without the dry run.

    Attributes:
        version: Number of the configuration that the patch made.
        digest: Digest of that configuration.
        repeated: Whether an earlier submission with the same operation id had taken effect.
        dry_run: Whether nothing was written.
    """

    version: int
    digest: str
    repeated: bool = False
    dry_run: bool = False


class SubmitPatch:
    """Applies patches with a compare-and-set on the head row.

    Args:
        table: Table service of the platform.
        keeper: Configuration in force on this VM.
        clock: Source of time and of delays.
        metrics: Receiver of counters.
        audit: Audit trail, which also records rejected patches.
    """

    def __init__(
        self,
        table: Table,
        keeper: ConfigurationKeeper,
        clock: Clock,
        metrics: Metrics,
        audit: AuditTrail,
    ) -> None:
        self.table = table
        self.keeper = keeper
        self.clock = clock
        self.metrics = metrics
        self.audit = audit

    async def __call__(self, request: PatchRequest) -> PatchAccepted | PatchRejected:
        """Submit the patch.

        Raises:
            PlatformUnavailableError: The table rejected the write; nothing changed.
            OutcomeUnknownError: The outcome of the write could not be determined in time; a retry
                with the same operation id determines it.
        """
        try:
            outcome = await self.submit(request)
        except PlatformError as error:
            unknown = isinstance(error, OutcomeUnknownError)
            self.record_in_audit_trail(
                request, "outcome unknown" if unknown else "not taken: the table is down"
            )
            raise
        if isinstance(outcome, PatchRejected):
            self.metrics.count(f"configuration.patch.{outcome.reason.replace(' ', '_')}")
            problems = "; ".join(f"{fault.path} {fault.problem}" for fault in outcome.faults)
            self.record_in_audit_trail(request, f"refused: {outcome.reason}: {problems}")
        elif not outcome.dry_run:
            self.metrics.count("configuration.patch.accepted")
        return outcome

    def reject_unauthorized(self, request: PatchRequest, problem: str) -> PatchRejected:
        """Reject a patch that its author may not make, and record the attempt."""
        self.metrics.count("configuration.patch.not_allowed")
        self.record_in_audit_trail(
            request, f"refused: {RejectionReason.NOT_ALLOWED.value}: {problem}"
        )
        return PatchRejected(
            RejectionReason.NOT_ALLOWED.value, (Fault("", problem),), self.keeper.current.version
        )

    async def submit(self, request: PatchRequest) -> PatchAccepted | PatchRejected:
        """Apply the patch to the newest configuration and write the result."""
        earlier_outcome = await self.find_earlier_submission(request)
        if earlier_outcome is not None:
            return earlier_outcome
        row_version = await self.keeper.read_table()
        current = self.keeper.current
        record = apply_patch(current, request, self.clock.wall_s())
        if isinstance(record, PatchRejected):
            return record
        if request.dry_run:
            return PatchAccepted(record.version, record.digest, dry_run=True)
        if await self.commit(record, request, row_version):
            self.keeper.offer(record, "own patch")
            return PatchAccepted(record.version, record.digest)
        # The same submission may have been committed through another VM.
        return await self.find_earlier_submission(request) or await self.stale_rejection()

    async def find_earlier_submission(
        self, request: PatchRequest
    ) -> PatchAccepted | PatchRejected | None:
        """Return the outcome of an earlier submission with this operation id, or None."""
        operation = await self.keeper.store.read_operation(request.operation_id)
        if operation is None:
            return None
        digest = patch_digest(request.base_version, request.patch)
        if operation.patch_sha256 not in ("", digest):
            fault = Fault("", f"the operation id was used for configuration {operation.version}")
            return PatchRejected(
                RejectionReason.INVALID.value, (fault,), self.keeper.current.version
            )
        self.metrics.count("configuration.patch.repeated")
        return PatchAccepted(operation.version, operation.digest, repeated=True)

    async def stale_rejection(self) -> PatchRejected:
        """Return the rejection of a patch because another patch was committed first."""
        await self.keeper.read_table()
        version = self.keeper.current.version
        fault = Fault("", f"another patch became {version} first")
        return PatchRejected(RejectionReason.STALE.value, (fault,), version)

    async def commit(
        self, record: NumberedConfiguration, request: PatchRequest, head_row_version: int
    ) -> bool:
        """Write the record as the next version; return False if another patch was first."""
        writes = await self.build_writes(record, request, head_row_version)
        try:
            outcome = await self.table.commit(Transaction(record.operation_id, writes))
        except OutcomeUnknownError as error:
            self.metrics.count("configuration.commit.looked_up")
            return await self.resolve_lost_answer(record, error)
        return not isinstance(outcome, Conflicted)

    async def build_writes(
        self, record: NumberedConfiguration, request: PatchRequest, head_row_version: int
    ) -> tuple[Write, ...]:
        """Return the rows that make a record the next version, including its audit row."""
        head = HeadRow(record.version, record.digest)
        operation = OperationRow(
            record.version, record.digest, patch_digest(request.base_version, request.patch)
        )
        audit = AuditRow(
            at_s=record.at_s,
            author=record.author,
            action=ACTION,
            reason=record.reason,
            result="accepted, forced" if request.force else "accepted",
            version=record.version,
            operation_id=record.operation_id,
        )
        return (
            Write(HEAD_KEY, msgspec.json.encode(head), head_row_version),
            await self.keeper.store.prepare_change_write(record),
            Write(operation_key(record.operation_id), msgspec.json.encode(operation), ABSENT),
            Write(audit_key(record.at_s, record.digest), msgspec.json.encode(audit)),
        )

    async def resolve_lost_answer(
        self, record: NumberedConfiguration, lost_answer: OutcomeUnknownError
    ) -> bool:
        """Return whether a commit whose answer was lost took effect, by reading it back.

        A write that is missing may still arrive, so only the record itself, or another record
        under its version, decides.

        Raises:
            OutcomeUnknownError: Neither was found in time.
        """
        for _ in range(LOOK_UP_ATTEMPTS):
            try:
                operation = await self.keeper.store.read_operation(record.operation_id)
                head, _ = await self.keeper.store.read_head()
            except PlatformError:
                await self.clock.sleep(LOOK_UP_INTERVAL_S)
                continue
            if operation is not None:
                return operation.digest == record.digest
            if head.version >= record.version:
                return False
            await self.clock.sleep(LOOK_UP_INTERVAL_S)
        raise lost_answer

    def record_in_audit_trail(self, request: PatchRequest, result: str) -> None:
        """Record an attempt that made no version in the audit trail."""
        if not request.dry_run:
            self.audit.record(
                author=request.author,
                action=ACTION,
                reason=request.reason,
                result=result,
                operation_id=request.operation_id,
            )
