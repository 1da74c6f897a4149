"""Log lines about the attempts of live requests at targets."""

from dataclasses import dataclass

import anyio
import structlog
from result import Ok, Result

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import Response
from balsamcleat.model.replicas import Replica
from balsamcleat.tasks.live_call import LiveCall

__all__ = ["LoggedAttempt", "log_answered", "log_attempt", "log_cancelled_attempt"]

# Upper limit of the logged age of a load report in seconds; that of a target that never reported
# its load is infinite.
MAX_LOGGED_LOAD_AGE_S = 999.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class LoggedAttempt:
    """An attempt with what this VM believed when it ended.

    Attributes:
        call: Call that was sent.
        replica: Target of the attempt.
        started_s: Start of the attempt, on the process clock, in seconds.
        candidate_count: Number of targets that were ready.
        load: Estimated number of requests at the target.
        load_age_s: Age of the target's last load report, in seconds.
        known_crashes: Number of known crashes under the call's content.
    """

    call: LiveCall
    replica: Replica
    started_s: float
    candidate_count: int
    load: float
    load_age_s: float
    known_crashes: int


def log_attempt(attempt: LoggedAttempt, outcome: Result[Response, AttemptFailedError]) -> None:
    """Log the outcome of an attempt with the load that was assumed for the target."""
    call = attempt.call
    fields = {
        "request": call.attempt_id,
        "candidates": attempt.candidate_count,
        "route": call.route.name,
        "target": attempt.replica.target_id,
        "load": round(attempt.load, 2),
        "load_age_s": round(min(MAX_LOGGED_LOAD_AGE_S, attempt.load_age_s), 3),
        "took_s": round(anyio.current_time() - attempt.started_s, 4),
    }
    if isinstance(outcome, Ok):
        log.info("attempt answered", status=outcome.ok_value.status, **fields)
        return
    error = outcome.err_value
    log.warning(
        "attempt failed",
        kind=error.kind.value,
        reason=error.message,
        content=call.digest,
        known_crashes=attempt.known_crashes,
        **fields,
    )


def log_cancelled_attempt(attempt: LoggedAttempt) -> None:
    """Log an attempt that ended without a response, because nobody waits for it any more."""
    call = attempt.call
    log.info(
        "attempt cancelled",
        request=call.attempt_id,
        target=attempt.replica.target_id,
        content=call.digest,
        known_crashes=attempt.known_crashes,
        took_s=round(anyio.current_time() - attempt.started_s, 4),
        left_s=round(call.remaining_s(), 3),
    )


def log_answered(call: LiveCall, status: int, version: int) -> None:
    """Log that a caller received a target's response."""
    log.info(
        "request answered",
        request=call.attempt_id,
        route=call.route.name,
        status=status,
        took_s=round(anyio.current_time() - call.request.received_at_s, 4),
        attempts=len(call.attempts.tried_targets),
        version=version,
    )
