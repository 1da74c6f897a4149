"""One way of making HTTP attempts that keeps track of whether a request may have left."""

from collections.abc import Mapping
from typing import Any

import anyio
import httpx

from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import AttemptOutcome, AttemptPhase, FailureKind

__all__ = [
    "DEADLINE_HEADER",
    "REJECTION_STATUSES",
    "AttemptTrace",
    "new_client",
    "send_request",
    "status_failure",
]

CONNECT_TIMEOUT_S = 1.0
# Time left until the caller stops waiting, in seconds; told to targets.
DEADLINE_HEADER = "x-deadline-s"
# Set by a target that refuses because it goes away.
REJECTION_HEADER = "x-refusal"
LEAVING_REJECTION = "leaving"
MAX_CONNECTIONS = 1000
MAX_IDLE_CONNECTIONS = 200
IDLE_EXPIRY_S = 4.0

FIRST_BYTE_EVENT = "http11.send_request_headers.started"
REJECTION_STATUSES = (429, 503)
NO_BODY_STATUSES = (204, 304)


def new_client(*, reuse: bool = True) -> httpx.AsyncClient:
    """Return a client that never retries, follows no redirect and reads no environment.

    Idle connections are dropped before the usual five seconds at which servers close them.

    Args:
        reuse: Whether connections are kept for later requests.
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
    """The phase of one attempt, told by the transport itself.

    The transport reports when it is about to write the request's first byte. Exception classes
    can't tell: the same one is raised before and after that moment.

    Args:
        step: The step of the attempt.
        peer: The target.
    """

    def __init__(self, step: str, peer: str) -> None:
        self.step = step
        self.peer = peer
        self.phase = AttemptPhase.NOT_SENT

    @property
    def extensions(self) -> dict[str, Any]:
        """The request extensions that make the transport report to this trace."""
        return {"trace": self.on_event}

    async def on_event(self, name: str, info: Mapping[str, object]) -> None:
        """Take note of a transport event."""
        if name == FIRST_BYTE_EVENT:
            self.phase = AttemptPhase.PERHAPS_SENT

    def record_answer(self) -> None:
        """Take note that a whole answer was read."""
        self.phase = AttemptPhase.ANSWERED

    def failure(
        self, error: Exception | str, kind: FailureKind | None = None
    ) -> AttemptFailedError:
        """Return the attempt's failure.

        Args:
            error: What went wrong.
            kind: Its class, if it is not to be told from the error.
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
    """Return what a target's refusal before execution says about it."""
    leaving = response.headers.get(REJECTION_HEADER) == LEAVING_REJECTION
    return AttemptOutcome.LEAVING if leaving else AttemptOutcome.BUSY


def failure_kind(error: Exception | str, may_have_left: bool) -> FailureKind:
    """Return the class of a transport's failure."""
    if not may_have_left:
        return FailureKind.UNREACHED
    if isinstance(error, httpx.TimeoutException | TimeoutError):
        return FailureKind.SILENT
    return FailureKind.CUT


def status_failure(response: httpx.Response, step: str, peer: str) -> AttemptFailedError:
    """Return the failure that an unwelcome status stands for; 429 and 503 ran nothing."""
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
    """Return the seconds in the ``Retry-After`` header; dates are not understood."""
    try:
        return max(0.0, float(response.headers["retry-after"]))
    except (KeyError, ValueError):
        return None


def has_explicit_end(response: httpx.Response) -> bool:
    """Return whether the body says where it ends, so that a cut can't look like its end."""
    headers = response.headers
    return (
        "content-length" in headers
        or "chunked" in headers.get("transfer-encoding", "").lower()
        or response.status_code in NO_BODY_STATUSES
        or response.request.method == "HEAD"
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
    """Send a request once and return its whole answer.

    Args:
        client: The HTTP client.
        trace: Keeps the attempt's phase.
        method: The HTTP method.
        url: The URL.
        timeout_s: Bounds the attempt from connecting to the last byte, in seconds.
        content: The body.
        headers: Further headers.

    Raises:
        AttemptFailedError: No whole answer came.
    """
    try:
        with anyio.fail_after(timeout_s):
            response = await client.request(
                method,
                url,
                content=content,
                headers=headers,
                extensions=trace.extensions,
                timeout=httpx.Timeout(None, connect=CONNECT_TIMEOUT_S),
            )
    except (httpx.HTTPError, httpx.InvalidURL, TimeoutError) as error:
        raise trace.failure(error) from error
    if not has_explicit_end(response):
        raise trace.failure("the end of the answer is not marked", FailureKind.CUT)
    trace.record_answer()
    return response
