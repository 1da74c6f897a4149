"""The headers of live requests: what is passed on, what is added, what an answer means."""

import math
from dataclasses import dataclass

from balsamcleat.http1 import Headers, header, without
from balsamcleat.http1.messages import end_to_end
from balsamcleat.model import TargetId, WeightVersion

__all__ = [
    "CORRELATION_HEADER",
    "ResponseMetadata",
    "error_response_headers",
    "forwarded_request_headers",
    "forwarded_response_headers",
    "parse_caller_timeout_s",
    "parse_last_event_id",
    "parse_response_metadata",
    "prompt_ids",
    "request_id",
    "stand_in_response_headers",
]

# Each attempt of a caller has its own id, and targets repeat it in their answers.
CORRELATION_HEADER = "Attempt-Id"
DEADLINE_HEADER = "Deadline-Ms"
EXPECTED_TARGET_HEADER = "Expect-Instance"
LAST_EVENT_HEADER = "Last-Event-Id"
LOAD_HEADER = "Server-Load"
NOT_RUN_HEADER = "Not-Run"
PRIORITY_HEADER = "Request-Priority"
PROMPT_HEADER = "Prompt-Prefix"
RETRY_AFTER_HEADER = "Retry-After"
# Proves that a target made the body; it must reach the caller unchanged.
STAMP_HEADER = "Server-Stamp"
VERSION_HEADER = "Weight-Versions"
MISDIRECTED_STATUS = 421
MS_PER_S = 1000.0

# Set here for each attempt, so a caller's own are not passed on.
REPLACED_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_HEADER,
        EXPECTED_TARGET_HEADER,
        PRIORITY_HEADER,
        "Content-Length",
        "Expect",
        "Kv-Hold",
    )
)


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What an answer's head says beside its status.

    Attributes:
        not_run: The target says that it did not run the request.
        stamped: A target made the body.
        running: Requests that the target runs; None where it doesn't say.
        waiting: Requests that wait there.
        weight_version: The weight version at the answer's start.
        retry_after_s: When to come back, in seconds.
    """

    is_not_run: bool
    has_target_stamp: bool
    running_count: int | None = None
    waiting_count: int = 0
    weight_version: WeightVersion | None = None
    retry_after_s: float | None = None


def request_id(headers: Headers) -> str:
    """Return the id of the caller's attempt; empty where there is none."""
    return header(headers, CORRELATION_HEADER) or ""


def parse_caller_timeout_s(headers: Headers) -> float | None:
    """Return how long the caller waits, in seconds; None where it doesn't say."""
    value = parse_number(header(headers, DEADLINE_HEADER))
    return None if value is None else max(0.0, value / MS_PER_S)


def forwarded_request_headers(
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
    forwarded = without(end_to_end(headers), REPLACED_HEADERS)
    if last_event is not None:
        forwarded = without(forwarded, {LAST_EVENT_HEADER.lower()})
        forwarded = (*forwarded, (LAST_EVENT_HEADER, str(last_event)))
    return (
        *forwarded,
        (DEADLINE_HEADER, str(max(1, int(remaining_s * MS_PER_S)))),
        (EXPECTED_TARGET_HEADER, target_id),
        (PRIORITY_HEADER, str(priority)),
    )


def forwarded_response_headers(headers: Headers) -> Headers:
    """Return a target's headers as the caller gets them."""
    return without(end_to_end(headers), {"content-length"})


def error_response_headers(attempt_id: str, retry_after_s: float | None = None) -> Headers:
    """Return the headers of an answer of our own."""
    headers: Headers = (("Content-Type", "application/problem+json"),)
    if attempt_id:
        headers = (*headers, (CORRELATION_HEADER, attempt_id))
    if retry_after_s is not None:
        headers = (*headers, (RETRY_AFTER_HEADER, f"{retry_after_s:.3f}"))
    return headers


def stand_in_response_headers(headers: Headers) -> Headers:
    """Return the headers of a stand-in target's answer to a request with these headers."""
    return ((CORRELATION_HEADER, request_id(headers)), (STAMP_HEADER, "stand-in"))


def parse_response_metadata(status: int, headers: Headers) -> ResponseMetadata:
    """Return what an answer's head means."""
    running, waiting = parse_load(header(headers, LOAD_HEADER))
    version = parse_number(header(headers, VERSION_HEADER))
    return ResponseMetadata(
        is_not_run=status == MISDIRECTED_STATUS or header(headers, NOT_RUN_HEADER) is not None,
        has_target_stamp=header(headers, STAMP_HEADER) is not None,
        running_count=running,
        waiting_count=waiting,
        weight_version=None if version is None else WeightVersion(int(version)),
        retry_after_s=parse_number(header(headers, RETRY_AFTER_HEADER)),
    )


def parse_last_event_id(headers: Headers) -> int | None:
    """Return the number of the last event that a caller has of a stream, if it resumes one."""
    value = header(headers, LAST_EVENT_HEADER)
    return int(value) if value is not None and value.isdecimal() else None


def prompt_ids(headers: Headers) -> tuple[str, ...]:
    """Return the ids of a prompt's parts, in order; none where the request has no prompt."""
    value = header(headers, PROMPT_HEADER)
    if value is None:
        return ()
    return tuple(entry.strip().partition(":")[0] for entry in value.split(",") if entry.strip())


def parse_load(value: str | None) -> tuple[int | None, int]:
    """Return requests running and waiting; None first where nothing is said."""
    parts = (value or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdecimal() for part in parts):
        return None, 0
    running, waiting, _slots = (int(part) for part in parts)
    return running, waiting


def parse_number(value: str | None) -> float | None:
    """Return a header's number, or None where there is none."""
    try:
        found = None if value is None else float(value)
    except ValueError:
        return None
    return found if found is not None and math.isfinite(found) else None
