"""Roll back: submit, as a new version, what an earlier version said."""

from dataclasses import dataclass

import msgspec

from balsamcleat.commands.submit_patch import PatchAccepted, SubmitPatch
from balsamcleat.configuration import Fault, PatchRejected, PatchRequest, RejectionReason
from balsamcleat.queries.history import HistoryQuery, diff_documents

__all__ = ["RollBack", "RollBackRequest"]


@dataclass(frozen=True, slots=True)
class RollBackRequest:
    """An operator's wish to have an earlier version's contents back.

    Attributes:
        base_version: The version in force when it was wished for.
        to_version: The version whose contents come back.
        author: Who.
        reason: Why.
        operation_id: The submission's own id.
        force: Whether dangers were acknowledged.
        dry_run: Whether to say only what would become of it.
    """

    base_version: int
    to_version: int
    author: str
    reason: str
    operation_id: str
    force: bool = False
    dry_run: bool = False


class RollBack:
    """Makes a patch of the difference to an earlier version and submits it.

    Args:
        history: Reads earlier versions.
        submit: Submits patches.
    """

    def __init__(self, history: HistoryQuery, submit: SubmitPatch) -> None:
        self.history = history
        self.submit = submit

    async def __call__(self, request: RollBackRequest) -> PatchAccepted | PatchRejected:
        """Submit the rollback; it becomes the next number, or is refused as any patch.

        Raises:
            PlatformUnavailableError: The platform could not be read or did not take it.
            OutcomeUnknownError: Its fate could not be looked up in time.
        """
        current = await self.history.load_version(request.base_version)
        wanted = await self.history.load_version(request.to_version)
        if current is None or wanted is None:
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
            for line in diff_documents(current.document, wanted.document)
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
