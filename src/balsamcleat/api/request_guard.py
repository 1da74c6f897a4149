"""Bounds that every request meets before it is understood: size, type and time."""

import math

import anyio
import structlog
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.types import ASGIApp, ExceptionHandler, Message, Receive, Scope, Send

from balsamcleat.api.problems import problem_response
from balsamcleat.model import Certainty
from balsamcleat.ports import Metrics

__all__ = ["BODY_CHUNK_TIMEOUT_S", "RequestBounds", "RequestGuard", "problem_handlers"]

# The configuration's own limit is usually lower; this one bounds memory whatever it says.
MAX_BODY_BYTES = 32 * 1024 * 1024
BODY_CHUNK_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 60.0
SEND_TIMEOUT_S = 30.0
# Plain services take whatever their callers send.
PLAIN_SERVICE_PREFIX = "/v1/services/"
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})

log = structlog.get_logger()


class RequestBounds:
    """How large a body may be and how long its parts may take.

    Attributes:
        max_body_bytes: The largest body.
        chunk_timeout_s: The longest wait for a further part of a body, in seconds.
        body_timeout_s: The longest that a whole body may take, in seconds.
        send_timeout_s: The longest that a part of an answer may wait for its reader, in seconds.
    """

    def __init__(
        self,
        max_body_bytes: int = MAX_BODY_BYTES,
        chunk_timeout_s: float = BODY_CHUNK_TIMEOUT_S,
        body_timeout_s: float = BODY_TIMEOUT_S,
        send_timeout_s: float = SEND_TIMEOUT_S,
    ) -> None:
        self.max_body_bytes = max_body_bytes
        self.chunk_timeout_s = chunk_timeout_s
        self.body_timeout_s = body_timeout_s
        self.send_timeout_s = send_timeout_s


class RequestRejectedError(Exception):
    """Ends a request whose refusal is already decided."""


class RequestGuard:
    """Refuses bad requests with a problem document, before and while the application reads them.

    Args:
        app: The application behind it.
        metrics: Where counts go.
        leaving: Set when this process leaves; answers then end their connections, so that none
            is reused while it is being closed.
        bounds: The bounds.
    """

    def __init__(
        self,
        app: ASGIApp,
        metrics: Metrics,
        leaving: anyio.Event,
        bounds: RequestBounds | None = None,
    ) -> None:
        self.app = app
        self.metrics = metrics
        self.leaving = leaving
        self.bounds = bounds or RequestBounds()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        exchange = Exchange(receive, send, self.bounds, self.leaving)
        rejection = self.reject_by_head(scope)
        if rejection is None:
            rejection = await self.serve(scope, exchange)
        if rejection is not None:
            self.metrics.count(f"request.refused.{rejection.status_code}")
            # What is left of the body is not read, so the connection can't be used again.
            rejection.headers["connection"] = "close"
            if not exchange.has_started:
                await rejection(scope, receive, exchange.send_unbounded)

    async def serve(self, scope: Scope, exchange: "Exchange") -> Response | None:
        """Let the application answer; returns the refusal that cut it short, if any."""
        try:
            with exchange.send_scope:
                await self.app(scope, exchange.receive, exchange.send)
        except ClientDisconnect:
            self.metrics.count("request.cut_by_client")
        except Exception as error:
            if exchange.rejection is None and not exchange.send_scope.cancelled_caught:
                self.metrics.count("request.failed")
                log.error("request failed", path=scope["path"], exc_info=error)
        if exchange.send_scope.cancelled_caught:
            self.metrics.count("request.reader_too_slow")
        return exchange.rejection

    def reject_by_head(self, scope: Scope) -> Response | None:
        """Return the refusal that a request's head already calls for."""
        headers = {name.lower(): value for name, value in scope["headers"]}
        length = headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self.bounds.max_body_bytes:
            return body_too_large_response(self.bounds.max_body_bytes)
        content_type = headers.get(b"content-type", b"").decode("latin1")
        if scope["method"] not in BODY_METHODS or scope["path"].startswith(PLAIN_SERVICE_PREFIX):
            return None
        media_type = content_type.partition(";")[0].strip().lower()
        if media_type and media_type != "application/json" and not media_type.endswith("+json"):
            return problem_response(
                415,
                f"the content type {media_type!r} is not taken here",
                "send JSON with the header Content-Type: application/json",
                certainty=Certainty.NOT_RUN,
            )
        return None


class Exchange:
    """One request and its answer, within the bounds.

    Args:
        receive: Gives the request's parts.
        send: Takes the answer's parts.
        bounds: The bounds.
        leaving: Set when this process leaves.

    Attributes:
        refusal: The refusal that cut the request short, if any.
        started: Whether an answer has begun.
        sending: Cancels the application when the reader of its answer is too slow; its deadline
            is set only while a part is being sent. One scope for all parts, because entering and
            leaving one for each frame of a stream costs more than passing the frame on.
    """

    def __init__(
        self, receive: Receive, send: Send, bounds: RequestBounds, leaving: anyio.Event
    ) -> None:
        self.receive_unbounded = receive
        self.send_unbounded = send
        self.bounds = bounds
        self.leaving = leaving
        self.rejection: Response | None = None
        self.has_started = False
        self.send_scope = anyio.CancelScope()
        self.is_body_complete = False
        self.body_bytes = 0
        self.body_deadline_s = anyio.current_time() + bounds.body_timeout_s

    async def receive(self) -> Message:
        """Return the request's next part."""
        if self.is_body_complete:
            return await self.receive_unbounded()
        remaining_s = min(self.bounds.chunk_timeout_s, self.body_deadline_s - anyio.current_time())
        with anyio.move_on_after(remaining_s) as scope:
            message = await self.receive_unbounded()
        if scope.cancelled_caught:
            self.reject(
                problem_response(
                    408,
                    "the body came too slowly",
                    f"at most {self.bounds.chunk_timeout_s:g} s between its parts and "
                    f"{self.bounds.body_timeout_s:g} s in all",
                    certainty=Certainty.NOT_RUN,
                )
            )
        self.body_bytes += len(message.get("body", b""))
        if self.body_bytes > self.bounds.max_body_bytes:
            self.reject(body_too_large_response(self.bounds.max_body_bytes))
        self.is_body_complete = not message.get("more_body", False)
        return message

    def reject(self, rejection: Response) -> None:
        """End the request with a refusal."""
        self.rejection = rejection
        raise RequestRejectedError

    async def send(self, message: Message) -> None:
        """Send a part of the answer, unless the request was refused meanwhile."""
        if self.rejection is not None:
            return
        if message["type"] == "http.response.start":
            self.has_started = True
            if self.leaving.is_set():
                message["headers"] = [*message.get("headers", []), (b"connection", b"close")]
        self.send_scope.deadline = anyio.current_time() + self.bounds.send_timeout_s
        await self.send_unbounded(message)
        self.send_scope.deadline = math.inf


def body_too_large_response(limit_bytes: int) -> Response:
    """Return the refusal of a body that is too large."""
    return problem_response(
        413, "the body is too large", f"at most {limit_bytes} bytes", certainty=Certainty.NOT_RUN
    )


async def http_error_response(request: Request, error: Exception) -> Response:
    """Answer an unknown path or a wrong method with a problem document."""
    assert isinstance(error, HTTPException)
    response = problem_response(
        error.status_code,
        {404: "there is nothing at this path", 405: "this path does not take this method"}.get(
            error.status_code, error.detail
        ),
        f"{request.method} {request.url.path}",
        certainty=Certainty.NOT_RUN,
    )
    response.headers.update(error.headers or {})
    return response


async def internal_error_response(request: Request, error: Exception) -> Response:
    """Answer a fault of our own honestly: nobody knows how far the request got."""
    return problem_response(
        500,
        "this node failed on the request",
        "its log says why; other requests are not affected",
        certainty=Certainty.OUTCOME_UNKNOWN,
    )


def problem_handlers() -> dict[int | type[Exception], ExceptionHandler]:
    """Return the exception handlers that make every error a problem document."""
    return {HTTPException: http_error_response, Exception: internal_error_response}
