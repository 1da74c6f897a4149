"""Submits the contents of an earlier configuration as a new version."""

from dataclasses import dataclass

import msgspec

from balsamcleat.commands.submit_patch import PatchAccepted, SubmitPatch
from balsamcleat.configuration import Fault, PatchRejected, PatchRequest, RejectionReason
from balsamcleat.queries.history import HistoryQuery, diff_documents

__all__ = ["RollBack", "RollBackRequest"]


@dataclass(frozen=True, slots=True)
class RollBackRequest:
    """An operator's request to restore the contents of an earlier version.

    Attributes:
        base_version: Version in force when the request was made.
        to_version: Version whose contents are restored.
        author: Author that the audit trail names.
        reason: Reason that the audit trail names.
        operation_id: Id of the submission; a retry has the same id.
        force: Whether the author acknowledged the dangers of the change.
        dry_run: Whether to check the change without writing it.
    """

    base_version: int
    to_version: int
    author: str
    reason: str
    operation_id: str
    force: bool = False
    dry_run: bool = False


class RollBack:
    """Makes a patch from the difference to an earlier version, and submits the patch.

    Args:
        history: Loads earlier versions.
        submit: Submits patches.
    """

    def __init__(self, history: HistoryQuery, submit: SubmitPatch) -> None:
        self.history = history
        self.submit = submit

    async def __call__(self, request: RollBackRequest) -> PatchAccepted | PatchRejected:
        """Submit the rollback; like any patch, it becomes the next version or is rejected.

        Raises:
            PlatformUnavailableError: The platform could not be read or rejected the write.
            OutcomeUnknownError: The outcome of the write could not be determined in time.
        """
        current = await self.history.load_version(request.base_version)
        restored = await self.history.load_version(request.to_version)
        if current is None or restored is None:
            missing = request.base_version if current is None else request.to_version
            return PatchRejected(
                RejectionReason.INVALID.value,
                (Fault("", f"there is no configuration {missing}"),),
                self.submit.keeper.current.version,
            )
        operations = [
            {"op": "remove", "path": line.path}
            if line.after is None
            else {"op": "add", "path": line.path, "value": msgspec.Raw(line.after.encode())}
            for line in diff_documents(current.document, restored.document)
        ]
        return await self.submit(
            PatchRequest(
                base_version=request.base_version,
                patch=msgspec.json.encode(operations),
                author=request.author,
                reason=request.reason or f"roll back to {request.to_version}",
                operation_id=request.operation_id,
                force=request.force,
                dry_run=request.dry_run,
            )
        )
