"""Submit a patch: it becomes the next numbered configuration or is refused."""

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
    """The patch took effect, or would have in a dry run.

    Attributes:
        version: The number that it became.
        digest: That configuration's digest.
        repeated: Whether an earlier submission with the same operation id had taken effect.
        dry_run: Whether nothing was written.
    """

    version: int
    digest: str
    repeated: bool = False
    dry_run: bool = False


class SubmitPatch:
    """Applies patches with compare-and-set on the head row.

    Args:
        table: The platform's table.
        keeper: The configuration in force on this node.
        clock: The clock.
        metrics: Where counts go.
        audit: Where refused attempts are recorded.
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
            PlatformUnavailableError: The table did not take it; nothing changed.
            OutcomeUnknownError: Its fate could not be looked up in time; ask again with the
                same operation id.
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
        """Refuse a patch that its author may not make, and record the attempt."""
        self.metrics.count("configuration.patch.not_allowed")
        self.record_in_audit_trail(
            request, f"refused: {RejectionReason.NOT_ALLOWED.value}: {problem}"
        )
        return PatchRejected(
            RejectionReason.NOT_ALLOWED.value, (Fault("", problem),), self.keeper.current.version
        )

    async def submit(self, request: PatchRequest) -> PatchAccepted | PatchRejected:
        """Apply the patch to the newest configuration and write the result."""
        earlier = await self.find_earlier_submission(request)
        if earlier is not None:
            return earlier
        row_version = await self.keeper.read_table()
        base = self.keeper.current
        made = apply_patch(base, request, self.clock.wall_s())
        if isinstance(made, PatchRejected):
            return made
        if request.dry_run:
            return PatchAccepted(made.version, made.digest, dry_run=True)
        if await self.commit(made, request, row_version):
            self.keeper.offer(made, "own patch")
            return PatchAccepted(made.version, made.digest)
        # The same submission may have won through another VM.
        return await self.find_earlier_submission(request) or await self.stale_rejection()

    async def find_earlier_submission(
        self, request: PatchRequest
    ) -> PatchAccepted | PatchRejected | None:
        """Return what became of an earlier submission with this operation id."""
        found = await self.keeper.store.read_operation(request.operation_id)
        if found is None:
            return None
        own = patch_digest(request.base_version, request.patch)
        if found.patch_sha256 not in ("", own):
            fault = Fault("", f"the operation id was used for configuration {found.version}")
            return PatchRejected(
                RejectionReason.INVALID.value, (fault,), self.keeper.current.version
            )
        self.metrics.count("configuration.patch.repeated")
        return PatchAccepted(found.version, found.digest, repeated=True)

    async def stale_rejection(self) -> PatchRejected:
        """Return the refusal of a patch that lost a race."""
        await self.keeper.read_table()
        version = self.keeper.current.version
        fault = Fault("", f"another patch became {version} first")
        return PatchRejected(RejectionReason.STALE.value, (fault,), version)

    async def commit(
        self, record: NumberedConfiguration, request: PatchRequest, head_row_version: int
    ) -> bool:
        """Write the record as the next number; returns False when another was first."""
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
        """Return the rows that make a record the next number, its audit line among them."""
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
        """Read back whether our record took its number.

        A write that is not there yet may still arrive, so only its presence, or another record
        in its place, settles the matter.
        """
        for _ in range(LOOK_UP_ATTEMPTS):
            try:
                found = await self.keeper.store.read_operation(record.operation_id)
                head, _ = await self.keeper.store.read_head()
            except PlatformError:
                await self.clock.sleep(LOOK_UP_INTERVAL_S)
                continue
            if found is not None:
                return found.digest == record.digest
            if head.version >= record.version:
                return False
            await self.clock.sleep(LOOK_UP_INTERVAL_S)
        raise lost_answer

    def record_in_audit_trail(self, request: PatchRequest, result: str) -> None:
        """Add an attempt that made no version to the audit trail."""
        if not request.dry_run:
            self.audit.record(
                author=request.author,
                action=ACTION,
                reason=request.reason,
                result=result,
                operation_id=request.operation_id,
            )
