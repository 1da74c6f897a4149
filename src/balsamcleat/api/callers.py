"""HTTP interface for callers: completions and calls of plain services."""

from collections.abc import AsyncGenerator, AsyncIterator, Awaitable, Callable
from math import ceil

import anyio
import msgspec
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from balsamcleat.adapters.engine_dialect import ChoiceMessage, CompletionFrame, CompletionMessage
from balsamcleat.api.access import principal_of
from balsamcleat.api.problems import problem_response
from balsamcleat.commands.generate import Generate
from balsamcleat.commands.run_call import CallFailure
from balsamcleat.commands.run_once import RunOnce
from balsamcleat.configuration import Service, ServiceKind
from balsamcleat.decisions.access import Principal
from balsamcleat.decoding import decode_json
from balsamcleat.errors import AttemptFailedError, OverloadedError
from balsamcleat.model import (
    CallRequest,
    Certainty,
    GenerationRequest,
    RequestId,
    ServiceName,
    TokenFrame,
)
from balsamcleat.ports import Clock, Randomness
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper

__all__ = ["CallerApi"]

MAX_COMPLETION_TOKENS = 4096
DEADLINE_HEADER = "x-deadline-s"
IDEMPOTENT_HEADER = "x-idempotent"
# Status of a response to a caller that has disconnected; it is never read.
CLIENT_CLOSED_STATUS = 499


class CallerApi:
    """Answers the requests of callers.

    Args:
        keeper: Configuration in force.
        run_call: Runs calls of plain services.
        generate: Runs generations.
        clock: Source of time.
        randomness: Source of request ids.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        run_call: RunOnce,
        generate: Generate,
        clock: Clock,
        randomness: Randomness,
    ) -> None:
        self.keeper = keeper
        self.run_call = run_call
        self.generate = generate
        self.clock = clock
        self.randomness = randomness

    def routes(self) -> list[Route]:
        """Return the routes."""
        methods = ["GET", "POST", "PUT", "DELETE"]
        return [
            Route("/v1/completions", self.complete, methods=["POST"]),
            Route("/v1/services/{service}/{path:path}", self.call_plain_service, methods=methods),
        ]

    async def read_body(self, request: Request) -> bytes | Response:
        """Return the body of a request, or the error response if the body is too large."""
        limit = self.keeper.current.body.limits.max_body_bytes
        chunks: list[bytes] = []
        size = 0
        async for chunk in request.stream():
            size += len(chunk)
            if size > limit:
                return problem_response(
                    413,
                    "the body is too large",
                    f"at most {limit} bytes",
                    certainty=Certainty.NOT_RUN,
                )
            chunks.append(chunk)
        return b"".join(chunks)

    def deadline_s(self, request: Request, service: Service) -> float:
        """Return the deadline of a request on the monotonic clock, in seconds."""
        try:
            wait_s = float(request.headers.get(DEADLINE_HEADER, service.deadline_s))
        except ValueError:
            wait_s = service.deadline_s
        return self.clock.now_s() + min(wait_s, service.deadline_s)

    async def call_plain_service(self, request: Request) -> Response:
        """Answer a call of a plain service with the response of a target."""
        name = request.path_params["service"]
        service = self.keeper.current.body.services.get(name)
        if service is None or service.kind is ServiceKind.ENGINE:
            return problem_response(
                404, f"there is no plain service {name!r}", certainty=Certainty.NOT_RUN
            )
        principal = principal_of(request)
        if not principal.can_call(name):
            return forbidden_response(principal, name)
        body = await self.read_body(request)
        if isinstance(body, Response):
            return body
        idempotent_header = request.headers.get(IDEMPOTENT_HEADER)
        key = request.headers.get("idempotency-key")
        by_default = service.idempotent and key is None
        outcome = await self.run_call(
            CallRequest(
                request_id=RequestId(self.randomness.fresh_id()),
                service=ServiceName(name),
                team=principal.team,
                method=request.method,
                path="/" + request.path_params["path"],
                body=body,
                content_type=request.headers.get("content-type", "application/octet-stream"),
                idempotent=by_default if idempotent_header is None else idempotent_header == "true",
                idempotency_key=key,
                deadline_s=self.deadline_s(request, service),
            )
        )
        if isinstance(outcome, CallFailure):
            return failure_response(outcome)
        return Response(outcome.body, outcome.status, media_type=outcome.content_type)

    async def complete(self, request: Request) -> Response:
        """Answer a completion request, as a whole or as an event stream."""
        body = await self.read_body(request)
        if isinstance(body, Response):
            return body
        try:
            message = decode_json(body, CompletionMessage)
        except msgspec.DecodeError as error:
            return problem_response(
                400, "not a completion request", str(error), certainty=Certainty.NOT_RUN
            )
        service = self.keeper.current.body.services.get(message.model)
        if service is None or service.kind is not ServiceKind.ENGINE:
            return problem_response(
                404, f"there is no model {message.model!r}", certainty=Certainty.NOT_RUN
            )
        principal = principal_of(request)
        if not principal.can_call(message.model):
            return forbidden_response(principal, message.model)
        generation = GenerationRequest(
            request_id=RequestId(self.randomness.fresh_id()),
            model=message.model,
            prompt=message.prompt,
            max_tokens=min(message.max_tokens, MAX_COMPLETION_TOKENS),
            seed=message.seed,
            temperature=message.temperature,
            adapter=message.adapter,
        )
        frames = self.generate(generation, self.deadline_s(request, service), principal.team)
        return await respond_while_connected(
            request,
            lambda: self.response_of_frames(generation, frames, stream=message.stream),
            frames,
        )

    async def response_of_frames(
        self,
        generation: GenerationRequest,
        frames: AsyncGenerator[TokenFrame, None],
        *,
        stream: bool,
    ) -> Response:
        """Return the response of a generation; a failure before its first frame sets the status."""
        try:
            first = await anext(frames)
            if stream:
                return StreamingResponse(
                    self.stream_events(generation, first, frames), media_type="text/event-stream"
                )
            rest = [frame async for frame in frames]
        except OverloadedError as error:
            return failure_response(
                CallFailure(Certainty.NOT_RUN, error.message, error.retry_after_s, error.over_quota)
            )
        except AttemptFailedError as error:
            certainty = Certainty.OUTCOME_UNKNOWN if error.perhaps_sent else Certainty.NOT_RUN
            return failure_response(
                CallFailure(certainty, error.message, ceil(error.retry_after_s or 1))
            )
        whole = TokenFrame(
            0,
            sum(frame.count for frame in (first, *rest)),
            "".join(frame.text for frame in (first, *rest)),
            first.weight_version,
            (first, *rest)[-1].finish_reason,
        )
        return Response(
            msgspec.json.encode(completion_frame(generation, whole)), media_type="application/json"
        )

    async def stream_events(
        self,
        generation: GenerationRequest,
        first: TokenFrame,
        rest: AsyncGenerator[TokenFrame, None],
    ) -> AsyncIterator[bytes]:
        """Yield server-sent events; ``[DONE]`` follows only a complete generation."""
        yield server_sent_event(completion_frame(generation, first))
        try:
            async for frame in rest:
                yield server_sent_event(completion_frame(generation, frame))
        except AttemptFailedError as error:
            problem = problem_response(
                502, "the answer was cut", error.message, certainty=Certainty.OUTCOME_UNKNOWN
            )
            yield b"event: error\ndata: " + bytes(problem.body) + b"\n\n"
            return
        yield b"data: [DONE]\n\n"


def forbidden_response(principal: Principal, service: str) -> Response:
    """Return the error response for a service that the team may not call."""
    return problem_response(
        403,
        f"team {principal.team!r} may not call {service!r}",
        "an operator can add the service to the team",
        certainty=Certainty.NOT_RUN,
    )


async def respond_while_connected(
    request: Request,
    make_response: Callable[[], Awaitable[Response]],
    frames: AsyncGenerator[TokenFrame, None],
) -> Response:
    """Return the response, or discard it if the caller disconnects before it begins.

    Args:
        request: Request of the caller, whose body has been read.
        make_response: Returns the response.
        frames: Frames of the response; closed when the caller disconnects.
    """
    response = Response(status_code=CLIENT_CLOSED_STATUS)

    async def watch() -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        group.cancel_scope.cancel()

    async with anyio.create_task_group() as group:
        group.start_soon(watch)
        response = await make_response()
        group.cancel_scope.cancel()
    if response.status_code == CLIENT_CLOSED_STATUS:
        await frames.aclose()
    return response


def completion_frame(generation: GenerationRequest, frame: TokenFrame) -> CompletionFrame:
    """Return a frame of a generation as the message for callers."""
    choice = ChoiceMessage(frame.text, 0, frame.finish_reason)
    return CompletionFrame(
        generation.request_id, (choice,), frame.offset, frame.count, frame.weight_version
    )


def server_sent_event(message: CompletionFrame) -> bytes:
    """Return the server-sent event that carries a message."""
    return b"data: " + msgspec.json.encode(message) + b"\n\n"


def failure_response(failure: CallFailure) -> Response:
    """Return the problem document of a call that failed."""
    not_run = failure.certainty is Certainty.NOT_RUN
    may_retry = failure.retry_after_s > 0 and (not_run or failure.resend_safe)
    return problem_response(
        failure_status(failure),
        "the call was not run" if not_run else "the outcome is unknown",
        failure.reason,
        certainty=failure.certainty,
        retry_after_s=failure.retry_after_s if may_retry else None,
    )


def failure_status(failure: CallFailure) -> int:
    """Return the HTTP status of a call that failed."""
    if failure.key_reused:
        return 422
    if failure.certainty is Certainty.OUTCOME_UNKNOWN:
        return 502
    return 429 if failure.over_quota else 503
