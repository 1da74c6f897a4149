"""The headers of live requests: what is passed on, what is added, what an answer means."""

import math
from dataclasses import dataclass

from balsamcleat.http1 import Headers, header, without
from balsamcleat.http1.messages import end_to_end
from balsamcleat.model import TargetId, WeightVersion

__all__ = [
    "CORRELATION_HEADER",
    "AnswerMarks",
    "caller_wait_s",
    "failure_headers",
    "forwarded_headers",
    "last_event_of",
    "prompt_ids",
    "read_marks",
    "relayed_headers",
    "request_id",
    "stamped_headers",
]

# Each attempt of a caller has its own id, and targets repeat it in their answers.
CORRELATION_HEADER = "Attempt-Id"
DEADLINE = "Deadline-Ms"
EXPECTED_TARGET = "Expect-Instance"
LAST_EVENT = "Last-Event-Id"
LOAD = "Server-Load"
NOT_RUN = "Not-Run"
PRIORITY = "Request-Priority"
PROMPT = "Prompt-Prefix"
RETRY_AFTER = "Retry-After"
# Proves that a target made the body; it must reach the caller unchanged.
STAMP = "Server-Stamp"
VERSION = "Weight-Versions"
MISDIRECTED = 421
MS = 1000.0

# Set here for each attempt, so a caller's own are not passed on.
SET_HERE = frozenset(
    name.lower()
    for name in (DEADLINE, EXPECTED_TARGET, PRIORITY, "Content-Length", "Expect", "Kv-Hold")
)


@dataclass(frozen=True, slots=True)
class AnswerMarks:
    """What an answer's head says beside its status.

    Attributes:
        not_run: The target says that it did not run the request.
        stamped: A target made the body.
        running: Requests that the target runs; None where it doesn't say.
        waiting: Requests that wait there.
        weight_version: The weight version at the answer's start.
        retry_after_s: When to come back, in seconds.
    """

    not_run: bool
    stamped: bool
    running: int | None = None
    waiting: int = 0
    weight_version: WeightVersion | None = None
    retry_after_s: float | None = None


def request_id(headers: Headers) -> str:
    """Return the id of the caller's attempt; empty where there is none."""
    return header(headers, CORRELATION_HEADER) or ""


def caller_wait_s(headers: Headers) -> float | None:
    """Return how long the caller waits, in seconds; None where it doesn't say."""
    value = number(header(headers, DEADLINE))
    return None if value is None else max(0.0, value / MS)


def forwarded_headers(
    headers: Headers,
    *,
    target_id: TargetId,
    remaining_s: float,
    priority: int,
    last_event: int | None = None,
) -> Headers:
    """Return a caller's headers as one attempt at a target sends them.

    Args:
        headers: As the caller sent them.
        target_id: Only this target may run it.
        remaining_s: Time left for the target.
        priority: 0 to 9, 0 first.
        last_event: Number of the last event of a stream that is at hand.
    """
    passed = without(end_to_end(headers), SET_HERE)
    if last_event is not None:
        passed = without(passed, {LAST_EVENT.lower()})
        passed = (*passed, (LAST_EVENT, str(last_event)))
    return (
        *passed,
        (DEADLINE, str(max(1, int(remaining_s * MS)))),
        (EXPECTED_TARGET, target_id),
        (PRIORITY, str(priority)),
    )


def relayed_headers(headers: Headers) -> Headers:
    """Return a target's headers as the caller gets them."""
    return without(end_to_end(headers), {"content-length"})


def failure_headers(attempt_id: str, retry_after_s: float | None = None) -> Headers:
    """Return the headers of an answer of our own."""
    headers: Headers = (("Content-Type", "application/problem+json"),)
    if attempt_id:
        headers = (*headers, (CORRELATION_HEADER, attempt_id))
    if retry_after_s is not None:
        headers = (*headers, (RETRY_AFTER, f"{retry_after_s:.3f}"))
    return headers


def stamped_headers(headers: Headers) -> Headers:
    """Return the headers of a stand-in target's answer to a request with these headers."""
    return ((CORRELATION_HEADER, request_id(headers)), (STAMP, "stand-in"))


def read_marks(status: int, headers: Headers) -> AnswerMarks:
    """Return what an answer's head means."""
    running, waiting = load_of(header(headers, LOAD))
    version = number(header(headers, VERSION))
    return AnswerMarks(
        not_run=status == MISDIRECTED or header(headers, NOT_RUN) is not None,
        stamped=header(headers, STAMP) is not None,
        running=running,
        waiting=waiting,
        weight_version=None if version is None else WeightVersion(int(version)),
        retry_after_s=number(header(headers, RETRY_AFTER)),
    )


def last_event_of(headers: Headers) -> int | None:
    """Return the number of the last event that a caller has of a stream, if it resumes one."""
    value = header(headers, LAST_EVENT)
    return int(value) if value is not None and value.isdecimal() else None


def prompt_ids(headers: Headers) -> tuple[str, ...]:
    """Return the ids of a prompt's parts, in order; none where the request has no prompt."""
    value = header(headers, PROMPT)
    if value is None:
        return ()
    return tuple(entry.strip().partition(":")[0] for entry in value.split(",") if entry.strip())


def load_of(value: str | None) -> tuple[int | None, int]:
    """Return requests running and waiting; None first where nothing is said."""
    parts = (value or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None, 0
    running, waiting, _slots = (int(part) for part in parts)
    return running, waiting


def number(value: str | None) -> float | None:
    """Return a header's number, or None where there is none."""
    try:
        found = None if value is None else float(value)
    except ValueError:
        return None
    return found if found is not None and math.isfinite(found) else None
