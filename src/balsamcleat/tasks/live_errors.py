"""Error responses to live requests, and the errors with which attempts fail."""

import random

import structlog

from balsamcleat.decisions.live_attempts import FailureStatus
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import Request, Responder, Response
from balsamcleat.model import FailureKind, ServiceName
from balsamcleat.model.replicas import Replica
from balsamcleat.platform import error_response_headers, request_id

__all__ = [
    "blocked_error",
    "deadline_error",
    "no_target_error",
    "rejection_error",
    "send_error_response",
    "stranded_stream_error",
]

# Retry delay after a rejection: long enough for a slot to become free, and short compared with
# the latency objectives of the routes.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_SPREAD_S = 0.3
BEGIN_ANEW_DETAIL = "the stream can't go on; send the request again from its start"

log = structlog.get_logger()


async def send_error_response(
    request: Request,
    responder: Responder,
    status: FailureStatus,
    reason: str,
    generator: random.Random,
    retry_after_s: float | None = None,
    *,
    must_begin_anew: bool = False,
) -> None:
    """Send the caller an error response, because no target answered.

    Args:
        request: Request of the caller.
        responder: Writes the response.
        status: Status that tells whether the request may have run.
        reason: Reason that is logged.
        generator: Random generator for the retry delay if ``retry_after_s`` is None.
        retry_after_s: Delay after which the caller may retry, in seconds.
        must_begin_anew: Whether a stream can't go on, so that the caller must ask for all of it.
    """
    attempt_id = request_id(request.headers)
    if status is FailureStatus.NOT_RUN and retry_after_s is None:
        retry_after_s = RETRY_AFTER_MIN_S + generator.random() * RETRY_AFTER_SPREAD_S
    log.warning(
        "request refused",
        request=attempt_id,
        status=status.value,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    headers = error_response_headers(attempt_id, retry_after_s)
    body = problem_body(status, BEGIN_ANEW_DETAIL if must_begin_anew else "")
    await responder.send(Response(status.value, headers, body))


def problem_body(status: FailureStatus, detail: str = "") -> bytes:
    """Return the body of an error response."""
    certainty = "not run" if status is FailureStatus.NOT_RUN else "outcome unknown"
    described = f',"detail":"{detail}"' if detail else ""
    return f'{{"title":"{certainty}","status":{status.value}{described}}}\n'.encode()


def no_target_error(service: ServiceName) -> AttemptFailedError:
    """Return the error for a service that has no available target."""
    return AttemptFailedError(
        f"no target of {service} is available",
        step="live.choose",
        peer=None,
        perhaps_sent=False,
        kind=FailureKind.NO_TARGET,
    )


def blocked_error(service: ServiceName) -> AttemptFailedError:
    """Return the error for a request that crashed several targets."""
    return AttemptFailedError(
        f"the request crashed several targets of {service}",
        step="live.choose",
        peer=None,
        perhaps_sent=False,
        kind=FailureKind.POISONED,
    )


def stranded_stream_error(service: ServiceName, reason: str) -> AttemptFailedError:
    """Return the error for a stream that no target may continue; its caller may begin it anew."""
    return AttemptFailedError(
        f"the stream can't go on at {service}: {reason}",
        step="live.resume",
        peer=None,
        perhaps_sent=False,
        kind=FailureKind.NO_TARGET,
    )


def deadline_error() -> AttemptFailedError:
    """Return the error for a request that was not answered before its deadline."""
    return AttemptFailedError(
        "the deadline passed before a target responded",
        step="live.wait",
        peer=None,
        perhaps_sent=True,
        kind=FailureKind.DEADLINE,
    )


def rejection_error(
    replica: Replica, status: int, retry_after_s: float | None
) -> AttemptFailedError:
    """Return the error for a request that a target rejected without running it."""
    return AttemptFailedError(
        f"the target rejected the request with status {status}",
        step="live.attempt",
        peer=replica.target_id,
        perhaps_sent=False,
        kind=FailureKind.REFUSED,
        retry_after_s=retry_after_s,
    )
