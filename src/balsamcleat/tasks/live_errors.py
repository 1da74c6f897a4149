"""Answers of our own to live requests, and what attempts end with."""

import random

import structlog

from balsamcleat.decisions.live_attempts import FailureStatus
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import Request, Responder, Response
from balsamcleat.model import FailureKind, ServiceName
from balsamcleat.model.replicas import Replica
from balsamcleat.platform import failure_headers, request_id

__all__ = [
    "deadline_error",
    "no_target_error",
    "rejection_error",
    "send_error_response",
    "unstamped_response_error",
]

# When to come back after a refusal: long enough for a place, short against any objective here.
RETRY_AFTER_MIN_S = 0.1
RETRY_AFTER_SPREAD_S = 0.3

log = structlog.get_logger()


async def send_error_response(
    request: Request,
    responder: Responder,
    final: FailureStatus,
    reason: str,
    generator: random.Random,
    retry_after_s: float | None = None,
) -> None:
    """Tell the caller at once that no target answered.

    Args:
        request: The caller's request.
        responder: Writes the answer.
        final: What is known of the request.
        reason: Why, for the log.
        generator: Draws the time to come back where none is given.
        retry_after_s: When to come back, in seconds.
    """
    attempt_id = request_id(request.headers)
    if final is FailureStatus.NOT_RUN and retry_after_s is None:
        retry_after_s = RETRY_AFTER_MIN_S + generator.random() * RETRY_AFTER_SPREAD_S
    log.warning(
        "request refused",
        request=attempt_id,
        status=final.value,
        reason=reason,
        retry_after_s=retry_after_s,
    )
    headers = failure_headers(attempt_id, retry_after_s)
    await responder.send(Response(final.value, headers, problem_body(final)))


def problem_body(final: FailureStatus) -> bytes:
    """Return the body of an answer of our own."""
    certainty = "not run" if final is FailureStatus.NOT_RUN else "outcome unknown"
    return f'{{"title":"{certainty}","status":{final.value}}}\n'.encode()


def no_target_error(service: ServiceName) -> AttemptFailedError:
    """Return the failure where no target takes work."""
    return AttemptFailedError(
        f"no target of {service} takes work",
        step="live.choose",
        peer=None,
        perhaps_sent=False,
        kind=FailureKind.NO_TARGET,
    )


def deadline_error() -> AttemptFailedError:
    """Return the failure of a request whose time is up."""
    return AttemptFailedError(
        "the time is up",
        step="live.wait",
        peer=None,
        perhaps_sent=True,
        kind=FailureKind.DEADLINE,
    )


def rejection_error(
    replica: Replica, status: int, retry_after_s: float | None
) -> AttemptFailedError:
    """Return the failure where a target says that it did not run the request."""
    return AttemptFailedError(
        f"turned away with {status}",
        step="live.attempt",
        peer=replica.target_id,
        perhaps_sent=False,
        kind=FailureKind.REFUSED,
        retry_after_s=retry_after_s,
    )


def unstamped_response_error(replica: Replica) -> AttemptFailedError:
    """Return the failure where an answer wasn't made by a target."""
    return AttemptFailedError(
        "an answer without the target's stamp",
        step="live.attempt",
        peer=replica.target_id,
        perhaps_sent=True,
        kind=FailureKind.MALFORMED,
    )
