"""HTTP interface for operators: configuration, history, audit trail, status and drain."""

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from balsamcleat.api.access import author_of
from balsamcleat.api.operator_messages import PatchReply, encode_configuration
from balsamcleat.api.problems import problem_response
from balsamcleat.commands.roll_back import RollBack, RollBackRequest
from balsamcleat.commands.submit_patch import PatchAccepted, SubmitPatch
from balsamcleat.configuration import PatchRejected, PatchRequest
from balsamcleat.errors import InvalidInputError, OutcomeUnknownError, PlatformError, ProtocolError
from balsamcleat.ports import Randomness
from balsamcleat.queries.history import AuditFilter, HistoryQuery
from balsamcleat.queries.status import StatusQuery
from balsamcleat.tasks.audit_trail import AuditTrail
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper

__all__ = ["OperatorApi"]

REJECTION_STATUS = {"stale": 412, "invalid": 422, "dangerous": 409, "not allowed": 403}
RETRY_AFTER_S = 1


class OperatorApi:
    """Answers the requests of operators.

    Args:
        keeper: Configuration in force.
        submit_patch: Submits patches.
        history: Reads the configuration history and the audit trail.
        status: Collects the status of this VM.
        drain: Event that begins a graceful shutdown of this VM when it is set.
        randomness: Source of operation ids.
        audit: Audit trail, which records drains.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        submit_patch: SubmitPatch,
        history: HistoryQuery,
        status: StatusQuery,
        drain: anyio.Event,
        randomness: Randomness,
        audit: AuditTrail,
    ) -> None:
        self.keeper = keeper
        self.submit_patch = submit_patch
        self.roll_back = RollBack(history, submit_patch)
        self.history = history
        self.status = status
        self.drain = drain
        self.randomness = randomness
        self.audit = audit

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [
            Route("/v1/configuration", self.get_configuration),
            Route("/v1/configuration", self.patch_configuration, methods=["PATCH"]),
            Route("/v1/configuration/history", self.get_history),
            Route("/v1/configuration/diff", self.get_diff),
            Route("/v1/configuration/rollback", self.post_rollback, methods=["POST"]),
            Route("/v1/configuration/{version:int}", self.get_version),
            Route("/v1/audit", self.get_audit),
            Route("/v1/status", self.get_status),
            Route("/v1/drain", self.post_drain, methods=["POST"]),
        ]

    async def get_configuration(self, request: Request) -> Response:
        """Answer with the configuration in force."""
        current = self.keeper.current
        return json_response(encode_configuration(current), etag=current.version)

    async def patch_configuration(self, request: Request) -> Response:
        """Submit a JSON Patch against the version in ``If-Match``."""
        base_version = parse_base_version(request)
        if base_version is None:
            return problem_response(428, "If-Match must name the version the patch is against")
        patch = PatchRequest(
            base_version=base_version,
            patch=await request.body(),
            author=author_of(request),
            reason=request.headers.get("x-reason", ""),
            operation_id=request.headers.get("x-operation-id") or self.randomness.fresh_id(),
            force=is_header_true(request, "x-force"),
            dry_run=is_header_true(request, "x-dry-run"),
        )
        try:
            return outcome_response(await self.submit_patch(patch), patch.operation_id)
        except (PlatformError, ProtocolError) as error:
            return unaccepted_patch_response(error, patch.operation_id)

    async def post_rollback(self, request: Request) -> Response:
        """Submit the contents of the earlier version ``to`` as the next version."""
        base_version = parse_base_version(request)
        if base_version is None:
            return problem_response(428, "If-Match must name the version to roll back from")
        try:
            to_version = int(request.query_params.get("to", ""))
        except ValueError as error:
            return problem_response(400, "to must name the version to roll back to", str(error))
        rollback = RollBackRequest(
            base_version=base_version,
            to_version=to_version,
            author=author_of(request),
            reason=request.headers.get("x-reason", ""),
            operation_id=request.headers.get("x-operation-id") or self.randomness.fresh_id(),
            force=is_header_true(request, "x-force"),
            dry_run=is_header_true(request, "x-dry-run"),
        )
        try:
            return outcome_response(await self.roll_back(rollback), rollback.operation_id)
        except (PlatformError, ProtocolError) as error:
            return unaccepted_patch_response(error, rollback.operation_id)

    async def get_version(self, request: Request) -> Response:
        """Answer with a numbered configuration."""
        version = request.path_params["version"]
        try:
            record = await self.history.load_version(version)
        except (PlatformError, ProtocolError) as error:
            return unavailable_response(error)
        if record is None:
            return problem_response(404, f"there is no configuration {version}")
        return json_response(encode_configuration(record), etag=record.version)

    async def get_history(self, request: Request) -> Response:
        """Answer with the configuration history."""
        try:
            return json_response(
                await self.history.list_changes(int(request.query_params.get("after", "0")))
            )
        except ValueError as error:
            return problem_response(400, "after must be a number", str(error))
        except (PlatformError, ProtocolError) as error:
            return unavailable_response(error)

    async def get_diff(self, request: Request) -> Response:
        """Answer with the entries that differ between the versions ``from`` and ``to``."""
        try:
            old = int(request.query_params.get("from", ""))
            new = int(request.query_params.get("to", ""))
            return json_response(await self.history.diff(old, new))
        except ValueError as error:
            return problem_response(400, "from and to must be numbers", str(error))
        except InvalidInputError as error:
            return problem_response(404, error.message)
        except (PlatformError, ProtocolError) as error:
            return unavailable_response(error)

    async def get_audit(self, request: Request) -> Response:
        """Answer with the audit rows that match the query's parameters."""
        try:
            audit_filter = msgspec.convert(dict(request.query_params), AuditFilter, strict=False)
            return json_response(await self.history.list_audit_rows(audit_filter))
        except msgspec.ValidationError as error:
            return problem_response(400, "a filter is not valid", str(error))
        except (PlatformError, ProtocolError) as error:
            return unavailable_response(error)

    async def get_status(self, request: Request) -> Response:
        """Answer with the status of this VM."""
        return json_response(self.status())

    async def post_drain(self, request: Request) -> Response:
        """Begin a graceful shutdown of this VM."""
        self.drain.set()
        self.audit.record(
            author=author_of(request),
            action="node.drain",
            subject=self.status.link.vm_id,
            reason=request.headers.get("x-reason", ""),
            result="begun",
        )
        return Response(status_code=202)


def parse_base_version(request: Request) -> int | None:
    """Return the version in the ``If-Match`` header, or None if the header has none."""
    try:
        return int(request.headers.get("if-match", "").strip('"'))
    except ValueError:
        return None


def is_header_true(request: Request, header: str) -> bool:
    """Return whether the value of a header is ``true``."""
    return request.headers.get(header) == "true"


def outcome_response(outcome: PatchAccepted | PatchRejected, operation_id: str) -> Response:
    """Return the response to a submission that was accepted or rejected."""
    if isinstance(outcome, PatchRejected):
        return problem_response(
            REJECTION_STATUS[outcome.reason],
            f"the patch was refused: {outcome.reason}",
            f"the configuration is at {outcome.current_version}",
            faults=tuple(f"{fault.path}: {fault.problem}" for fault in outcome.faults),
        )
    message = PatchReply(
        version=outcome.version,
        digest=outcome.digest,
        operation_id=operation_id,
        repeated=outcome.repeated,
        dry_run=outcome.dry_run,
    )
    return json_response(message, etag=outcome.version)


def unaccepted_patch_response(error: PlatformError | ProtocolError, operation_id: str) -> Response:
    """Return the response to a submission that was not committed, or whose outcome is unknown."""
    if isinstance(error, OutcomeUnknownError):
        return problem_response(
            502,
            "the patch's outcome is unknown",
            f"submit it again with operation id {operation_id}: {error}",
        )
    return problem_response(503, "the patch was not taken", str(error), retry_after_s=RETRY_AFTER_S)


def unavailable_response(error: PlatformError | ProtocolError) -> Response:
    """Return the response to a query if the platform could not be read."""
    return problem_response(503, "try again", str(error), retry_after_s=RETRY_AFTER_S)


def json_response(message: object, etag: int | None = None) -> Response:
    """Return a JSON response."""
    headers = {} if etag is None else {"etag": f'"{etag}"'}
    return Response(msgspec.json.encode(message), headers=headers, media_type="application/json")
