"""Limits on the size, the type and the duration of every request."""

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

# Bounds memory whatever limit the configuration sets; that limit is usually lower.
MAX_BODY_BYTES = 32 * 1024 * 1024
BODY_CHUNK_TIMEOUT_S = 10.0
BODY_TIMEOUT_S = 60.0
SEND_TIMEOUT_S = 30.0
# Requests to plain services may have any content type.
PLAIN_SERVICE_PREFIX = "/v1/services/"
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})

log = structlog.get_logger()


class RequestBounds:
    """Limits on the body of a request and on the time that its parts take.

    Attributes:
        max_body_bytes: Maximum size of a body.
        chunk_timeout_s: Timeout for the next part of a body, in seconds.
        body_timeout_s: Timeout for a complete body, in seconds.
        send_timeout_s: Timeout for sending a part of a response, in seconds.
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
    """The request was rejected; the error response is known."""


class RequestGuard:
    """Rejects invalid requests with a problem document, also while the application reads them.

    Args:
        app: Application that answers the requests.
        metrics: Receiver of counters.
        leaving: Set when this process leaves; each response then closes its connection, so that no
            connection is reused while it is being closed.
        bounds: Limits on the requests.
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
        """Serve one request within the limits."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        exchange = Exchange(receive, send, self.bounds, self.leaving)
        rejection = self.reject_by_head(scope)
        if rejection is None:
            rejection = await self.serve(scope, exchange)
        if rejection is not None:
            self.metrics.count(f"request.refused.{rejection.status_code}")
            # The rest of the body is not read, so the connection can't be reused.
            rejection.headers["connection"] = "close"
            if not exchange.has_started:
                await rejection(scope, receive, exchange.send_unbounded)

    async def serve(self, scope: Scope, exchange: "Exchange") -> Response | None:
        """Run the application; return the error response if the request was rejected meanwhile."""
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
        """Return the error response if the head of a request is invalid, else None."""
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
    """One request and its response, within the limits.

    Args:
        receive: Returns the next part of the request.
        send: Sends a part of the response.
        bounds: Limits on the request.
        leaving: Set when this process leaves.

    Attributes:
        refusal: Error response with which the request was rejected, if any.
        started: Whether a response has begun.
        sending: Cancels the application if the client reads the response too slowly. The
            deadline is set only while a part is being sent. All parts share one scope, because
            a scope for each frame of a stream costs more than forwarding the frame.
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
        """Return the next part of the request."""
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
        """Reject the request with an error response."""
        self.rejection = rejection
        raise RequestRejectedError

    async def send(self, message: Message) -> None:
        """Send a part of the response, unless the request was rejected meanwhile."""
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
    """Return the error response for a body that is too large."""
    return problem_response(
        413, "the body is too large", f"at most {limit_bytes} bytes", certainty=Certainty.NOT_RUN
    )


async def http_error_response(request: Request, error: Exception) -> Response:
    """Return the error response for an unknown path or a wrong method."""
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
    """Return the error response for an internal error, after which the outcome is unknown."""
    return problem_response(
        500,
        "this node failed on the request",
        "its log says why; other requests are not affected",
        certainty=Certainty.OUTCOME_UNKNOWN,
    )


def problem_handlers() -> dict[int | type[Exception], ExceptionHandler]:
    """Return the exception handlers that turn every error into a problem document."""
    return {HTTPException: http_error_response, Exception: internal_error_response}
