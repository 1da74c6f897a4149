"""HTTP interface for trainers: steps, batches and weight versions."""

from collections.abc import Awaitable, Callable

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from balsamcleat.api.access import principal_of
from balsamcleat.api.problems import problem_response
from balsamcleat.api.trainer_messages import (
    PullRequest,
    StepMessage,
    VersionReport,
    decode_step,
    encode_batch,
)
from balsamcleat.decoding import decode_json
from balsamcleat.errors import BalsamcleatError, InvalidInputError, RefusedError
from balsamcleat.model import DeploymentName, StepId, WeightVersion
from balsamcleat.ports import BatchReady, NoBatchYet, PullRejected, TrainerService

__all__ = ["TrainerApi"]

MAX_WAIT_S = 30.0
PULL_FIELDS = {"cursor", "wait", "epoch", "version", "have"}

Handler = Callable[[Request], Awaitable[Response]]


class TrainerApi:
    """Answers the requests of trainers.

    Args:
        trainer_service: Opens steps and returns their batches.
    """

    def __init__(self, trainer_service: TrainerService) -> None:
        self.trainer_service = trainer_service

    def routes(self) -> list[Route]:
        """Return the routes."""
        base = "/v1/deployments/{deployment}"
        return [
            Route(f"{base}/steps", require_own_deployment(self.open_step), methods=["POST"]),
            Route(
                f"{base}/steps/{{step_id}}", require_own_deployment(self.cancel), methods=["DELETE"]
            ),
            Route(f"{base}/steps/{{step_id}}/batches", require_own_deployment(self.pull)),
            Route(f"{base}/version", require_own_deployment(self.report_version), methods=["POST"]),
        ]

    async def open_step(self, request: Request) -> Response:
        """Open a step with the samples that the request asks for."""
        deployment = DeploymentName(request.path_params["deployment"])
        try:
            message = decode_json(await request.body(), StepMessage)
            await self.trainer_service.open_step(decode_step(deployment, message))
        except (msgspec.DecodeError, InvalidInputError) as error:
            return problem_response(400, "not a valid step", str(error), faults=error_faults(error))
        except RefusedError as error:
            return problem_response(404, "the step was refused", str(error))
        except BalsamcleatError as error:
            return problem_response(503, "try again", str(error), retry_after_s=1)
        return Response(status_code=201)

    async def pull(self, request: Request) -> Response:
        """Answer with the batch after the cursor, or with 204 if there is none yet."""
        try:
            pull = parse_pull(request)
            ack = pull.ack()
        except (ValueError, InvalidInputError) as error:
            return problem_response(400, "not a valid pull", str(error), faults=error_faults(error))
        deployment, step_id = DeploymentName(pull.deployment), StepId(pull.step_id)
        try:
            outcome = await self.trainer_service.pull(deployment, step_id, ack, pull.wait_s)
        except BalsamcleatError as error:
            return problem_response(503, "try again", str(error), retry_after_s=1)
        match outcome:
            case BatchReady(batch=batch):
                content = msgspec.json.encode(encode_batch(batch))
                return Response(content, media_type="application/json")
            case NoBatchYet():
                return Response(status_code=204)
            case PullRejected(reason=reason):
                detail = f"{reason}; pull with have=, the bitmap of the samples you took"
                return problem_response(409, "the cursor alone does not tell", detail)
        return problem_response(410, "the step is gone", outcome.reason)

    async def report_version(self, request: Request) -> Response:
        """Record the weight version that the trainer reports."""
        deployment = DeploymentName(request.path_params["deployment"])
        try:
            message = decode_json(await request.body(), VersionReport)
            if message.weight_version < 1:
                raise InvalidInputError("weight_version: must be at least 1", step="version.report")
            await self.trainer_service.report_version(
                deployment, WeightVersion(message.weight_version)
            )
        except (msgspec.DecodeError, InvalidInputError) as error:
            return problem_response(
                400, "not a valid report", str(error), faults=error_faults(error)
            )
        except BalsamcleatError as error:
            return problem_response(503, "try again", str(error), retry_after_s=1)
        return Response(status_code=204)

    async def cancel(self, request: Request) -> Response:
        """Cancel a step."""
        deployment = DeploymentName(request.path_params["deployment"])
        try:
            await self.trainer_service.cancel(deployment, StepId(request.path_params["step_id"]))
        except BalsamcleatError as error:
            return problem_response(503, "try again", str(error), retry_after_s=1)
        return Response(status_code=204)


def parse_pull(request: Request) -> PullRequest:
    """Return the pull in the path and the query of a request.

    Raises:
        ValueError: A field is unknown or has the wrong type; the message names the field.
    """
    query = request.query_params
    unknown = set(query) - PULL_FIELDS
    if unknown:
        raise ValueError(f"{sorted(unknown)[0]}: unknown field")
    return PullRequest(
        deployment=request.path_params["deployment"],
        step_id=request.path_params["step_id"],
        cursor=parse_whole_number(query.get("cursor", "0"), "cursor"),
        wait_s=min(MAX_WAIT_S, max(0.0, parse_wait_s(query.get("wait", "10")))),
        epoch=parse_whole_number(query.get("epoch", "0"), "epoch"),
        version=parse_whole_number(query.get("version", "0"), "version"),
        have=query.get("have"),
    )


def parse_whole_number(text: str, name: str) -> int:
    """Return the whole number in the text of a field."""
    try:
        return int(text)
    except ValueError as error:
        raise ValueError(f"{name}: must be a whole number") from error


def parse_wait_s(text: str) -> float:
    """Return the wait in the text of the field ``wait``, in seconds."""
    try:
        seconds = float(text)
    except ValueError as error:
        raise ValueError("wait: must be a number of seconds") from error
    if seconds != seconds:
        raise ValueError("wait: must be a number of seconds")
    return seconds


def error_faults(error: Exception) -> tuple[str, ...]:
    """Return the problems that the message of an error lists, one a field."""
    message = error.message if isinstance(error, InvalidInputError) else str(error)
    return tuple(message.split("; "))


def require_own_deployment(handler: Handler) -> Handler:
    """Return the handler behind a check that the deployment belongs to the trainer's team."""

    async def handle(request: Request) -> Response:
        principal = principal_of(request)
        deployment = request.path_params["deployment"]
        if principal.can_train(deployment):
            return await handler(request)
        return problem_response(
            403,
            f"deployment {deployment!r} is not of team {principal.team!r}",
            "an operator can change the deployment's team",
        )

    return handle
