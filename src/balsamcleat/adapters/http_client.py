"""HTTP attempts that record whether the request may have been sent."""

from collections.abc import Mapping
from typing import Any

import anyio
import httpx
import structlog

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import WorkBudget, WorkMeter, is_final_status
from balsamcleat.model import AttemptOutcome, AttemptPhase, FailureKind

__all__ = [
    "DEADLINE_HEADER",
    "ENCODING_ERRORS",
    "REJECTION_STATUSES",
    "REQUEST_ERRORS",
    "AttemptTrace",
    "check_status",
    "discard_body",
    "new_client",
    "send_request",
    "status_failure",
]

CONNECT_TIMEOUT_S = 1.0
# Header with the remaining time of the caller, in seconds.
DEADLINE_HEADER = "x-deadline-s"
# Header with the reason of a rejection; a leaving target sets it.
REJECTION_HEADER = "x-refusal"
LEAVING_REJECTION = "leaving"
MAX_CONNECTIONS = 1000
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Time limit for reading a body that is not needed.
DISCARD_TIMEOUT_S = 0.05
MAX_IDLE_CONNECTIONS = 200
IDLE_EXPIRY_S = 4.0

FIRST_BYTE_EVENT = "http11.send_request_headers.started"
REJECTION_STATUSES = (429, 503)
NO_BODY_STATUSES = (204, 304)

# Errors of a request for which the URL or a header can't be encoded; nothing was sent.
ENCODING_ERRORS = (httpx.InvalidURL, UnicodeError)
# Errors of a request that got no complete response.
REQUEST_ERRORS = (httpx.HTTPError, TimeoutError, *ENCODING_ERRORS)

log = structlog.get_logger()


def new_client(*, reuse: bool = True) -> httpx.AsyncClient:
    """Return a client that never retries, follows no redirects and ignores the environment.

    Idle connections are closed earlier than servers do, which is usually after five seconds.

    Args:
        reuse: Whether connections are reused for later requests.
    """
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_IDLE_CONNECTIONS if reuse else 0,
        keepalive_expiry=IDLE_EXPIRY_S,
    )
    return httpx.AsyncClient(
        limits=limits,
        timeout=httpx.Timeout(30.0, connect=CONNECT_TIMEOUT_S),
        follow_redirects=False,
        trust_env=False,
        headers={"accept-encoding": "identity"},
    )


class AttemptTrace:
    """Phase of an attempt, as reported by the transport.

    The transport reports that it is about to write the first byte of the request. The class of an
    exception doesn't show the phase: the same one is raised before and after that moment.

    Args:
        step: Step of the work that the attempt belongs to, for errors.
        peer: Address of the target, for errors.
    """

    def __init__(self, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        self.phase = AttemptPhase.NOT_SENT

    @property
    def extensions(self) -> dict[str, Any]:
        """Request extensions by which the transport reports its events to this trace."""
        return {"trace": self.on_event}

    async def on_event(self, name: str, info: Mapping[str, object]) -> None:
        """Record an event of the transport."""
        if name == FIRST_BYTE_EVENT:
            self.phase = AttemptPhase.PERHAPS_SENT

    def record_answer(self) -> None:
        """Record that the complete response was read."""
        self.phase = AttemptPhase.ANSWERED

    def failure(
        self, error: Exception | str, kind: FailureKind | None = None
    ) -> AttemptFailedError:
        """Return the failure of the attempt.

        Args:
            error: Exception or message that describes the failure.
            kind: Kind of the failure; derived from ``error`` if it is None.
        """
        may_have_left = self.phase is not AttemptPhase.NOT_SENT
        message = error if isinstance(error, str) else f"{type(error).__name__}: {error}"
        return AttemptFailedError(
            message,
            step=self.step,
            peer=self.peer,
            perhaps_sent=may_have_left,
            kind=kind or failure_kind(error, may_have_left),
        )


def rejection_outcome(response: httpx.Response) -> AttemptOutcome:
    """Return what a rejection says about the state of its target."""
    leaving = response.headers.get(REJECTION_HEADER) == LEAVING_REJECTION
    return AttemptOutcome.LEAVING if leaving else AttemptOutcome.BUSY


def failure_kind(error: Exception | str, may_have_left: bool) -> FailureKind:
    """Return the kind of a failure of the transport."""
    if not may_have_left:
        return FailureKind.UNREACHED
    if isinstance(error, httpx.TimeoutException | TimeoutError):
        return FailureKind.SILENT
    return FailureKind.CUT


def status_failure(response: httpx.Response, step: str, peer: str) -> AttemptFailedError:
    """Return the failure for an error status; after 429 and 503 the request has not run."""
    is_rejection = response.status_code in REJECTION_STATUSES
    return AttemptFailedError(
        f"answered {response.status_code}",
        step=step,
        peer=peer,
        perhaps_sent=not is_rejection,
        outcome=rejection_outcome(response) if is_rejection else AttemptOutcome.FAILED,
        kind=FailureKind.REFUSED if is_rejection else FailureKind.FAULT,
        retry_after_s=retry_after_s(response) if is_rejection else None,
    )


def retry_after_s(response: httpx.Response) -> float | None:
    """Return the delay in the ``Retry-After`` header, in seconds; None for a date."""
    try:
        return max(0.0, float(response.headers["retry-after"]))
    except (KeyError, ValueError):
        return None


def has_explicit_end(response: httpx.Response) -> bool:
    """Return whether the body has an explicit end, so that a cut can't look like the end."""
    headers = response.headers
    return (
        "content-length" in headers
        or "chunked" in headers.get("transfer-encoding", "").lower()
        or response.status_code in NO_BODY_STATUSES
        or response.request.method == "HEAD"
    )


def check_status(response: httpx.Response, trace: AttemptTrace) -> None:
    """Check that a response that is being received has a status that a response can have.

    Raises:
        AttemptFailedError: It has not, so it is no answer.
    """
    if not is_final_status(response.status_code):
        raise trace.failure(
            f"no response has the status {response.status_code}", FailureKind.MALFORMED
        )


async def discard_body(response: httpx.Response, trace: AttemptTrace) -> None:
    """Read and drop a short body that is not needed, so that the connection can be reused.

    A body that is long, slow or broken costs the connection.
    """
    with anyio.move_on_after(DISCARD_TIMEOUT_S):
        try:
            await read_bounded(response, trace)
        except (AttemptFailedError, httpx.HTTPError) as error:
            log.info("connection not kept", peer=trace.peer, reason=str(error))


async def read_bounded(response: httpx.Response, trace: AttemptTrace) -> httpx.Response:
    """Return a response that is being received with its whole body.

    Raises:
        AttemptFailedError: The body is too large; the connection is closed.
    """
    parts: list[bytes] = []
    size = 0
    work = WorkMeter(WorkBudget())
    async for part in response.aiter_bytes():
        size += len(part)
        await work.record(len(part))
        if size > MAX_RESPONSE_BYTES:
            raise trace.failure("the response body is too large", FailureKind.MALFORMED)
        parts.append(part)
    headers = httpx.Headers(response.headers)
    # The parts are decoded already.
    headers.pop("content-encoding", None)
    return httpx.Response(
        response.status_code, headers=headers, content=b"".join(parts), request=response.request
    )


async def send_request(
    client: httpx.AsyncClient,
    trace: AttemptTrace,
    method: str,
    url: str,
    *,
    timeout_s: float,
    content: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> httpx.Response:
    """Send a request once and return its complete response.

    Args:
        client: HTTP client.
        trace: Records the phase of the attempt.
        method: HTTP method.
        url: URL of the request.
        timeout_s: Timeout from connecting to the last byte of the response, in seconds.
        content: Body of the request.
        headers: Additional headers.

    Raises:
        AttemptFailedError: No complete response was received.
    """
    try:
        with anyio.fail_after(timeout_s):
            async with client.stream(
                method,
                url,
                content=content,
                headers=headers,
                extensions=trace.extensions,
                timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
            ) as received:
                check_status(received, trace)
                has_end = has_explicit_end(received)
                response = await read_bounded(received, trace)
    except REQUEST_ERRORS as error:
        raise trace.failure(error) from error
    if not has_end:
        raise trace.failure("the end of the answer is not marked", FailureKind.CUT)
    trace.record_answer()
    return response
