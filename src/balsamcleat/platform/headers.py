"""HTTP headers of live requests: forwarding, additions, and parsing of response headers."""

import math
from dataclasses import dataclass

from balsamcleat.http1 import Headers, header_text, header_value, without_headers
from balsamcleat.http1.messages import end_to_end_headers
from balsamcleat.http1.numbers import decimal_number
from balsamcleat.model import TargetId, TeamName, WeightVersion

__all__ = [
    "CORRELATION_HEADER",
    "ResponseMetadata",
    "announces_departure",
    "authorization",
    "error_response_headers",
    "forwarded_request_headers",
    "forwarded_response_headers",
    "is_misdirected",
    "key_refusal_headers",
    "parse_announced_limit",
    "parse_caller_timeout_s",
    "parse_last_event_id",
    "parse_response_metadata",
    "parse_resumed_attempt",
    "prompt_ids",
    "request_id",
    "stand_in_response_headers",
    "with_team",
    "without_team_headers",
]

AUTHORIZATION_HEADER = "Authorization"
CHALLENGE_HEADER = "WWW-Authenticate"
# Identifies one attempt of a caller; targets repeat it in their responses.
CORRELATION_HEADER = "Attempt-Id"
DEADLINE_HEADER = "Deadline-Ms"
EXPECTED_TARGET_HEADER = "Expect-Instance"
LAST_EVENT_HEADER = "Last-Event-Id"
LOAD_HEADER = "Server-Load"
LEAVING_HEADER = "Server-Leaving"
LIMIT_HEADER = "Server-Limit"
NOT_RUN_HEADER = "Not-Run"
PRIORITY_HEADER = "Request-Priority"
PROMPT_HEADER = "Prompt-Prefix"
# Names the attempt of the caller whose answer brought the first event of a stream.
RESUMED_ATTEMPT_HEADER = "Resumes"
RETRY_AFTER_HEADER = "Retry-After"
# Proves that a target produced the body; this header must reach the caller unchanged.
STAMP_HEADER = "Server-Stamp"
# Names the team that sent the request. Targets trust it, so it never comes from a caller.
TEAM_HEADER = "Tenant"
VERSION_HEADER = "Weight-Versions"
MISDIRECTED_STATUS = 421
MS_PER_S = 1000.0
PERCENT = 100.0
# The load header begins with the numbers of running requests, waiting requests and slots.
LOAD_FIGURES = 3

# Set anew for each attempt, so the values that a caller sent are not forwarded.
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
TEAM_HEADERS = frozenset((AUTHORIZATION_HEADER.lower(), TEAM_HEADER.lower()))


@dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load of a target as its response states it; the fields are those of ResponseMetadata."""

    running_count: int | None = None
    waiting_count: int = 0
    pace_ratio: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Information in the headers and the status of a target's response.

    Attributes:
        is_not_run: Whether the target states that it did not run the request.
        target_stamp: Digest with which the target signs its response; None if the response comes
            from an intermediary.
        running_count: Number of requests that the target is running; None if it is not stated.
        waiting_count: Number of requests in the target's queue.
        pace_ratio: Time that work takes on the target's machine at this moment, relative to the
            usual time; None if it is not stated.
        weight_version: Weight version of the model at the start of the response.
        retry_after_s: Time until the target asks to be called again, in seconds.
    """

    is_not_run: bool
    target_stamp: str | None
    running_count: int | None = None
    waiting_count: int = 0
    pace_ratio: float | None = None
    weight_version: WeightVersion | None = None
    retry_after_s: float | None = None

    @property
    def has_target_stamp(self) -> bool:
        """Whether a target, rather than an intermediary, produced the body."""
        return self.target_stamp is not None


def request_id(headers: Headers) -> str:
    """Return the id of the caller's attempt, or an empty string if it has none."""
    return header_value(headers, CORRELATION_HEADER) or ""


def authorization(headers: Headers) -> str | None:
    """Return the credentials of a request, or None if it has none; the first of several count."""
    return header_value(headers, AUTHORIZATION_HEADER)


def without_team_headers(headers: Headers) -> Headers:
    """Return the headers without credentials and without the name of a team."""
    return without_headers(headers, TEAM_HEADERS)


def with_team(headers: Headers, team: TeamName | None) -> Headers:
    """Return the headers of a request of a team; unchanged if it has no team."""
    if team is None:
        return headers
    return (*without_team_headers(headers), (TEAM_HEADER, header_text(team)))


def parse_caller_timeout_s(headers: Headers) -> float | None:
    """Return the caller's remaining time in seconds, or None if it states none."""
    value = parse_number(header_value(headers, DEADLINE_HEADER))
    return None if value is None else max(0.0, value / MS_PER_S)


def forwarded_request_headers(
    headers: Headers,
    *,
    target_id: TargetId,
    remaining_s: float,
    priority: int,
    last_event: int | None = None,
    team: TeamName | None = None,
) -> Headers:
    """Return the headers of an attempt that sends a caller's request to a target.

    Args:
        headers: Headers that the caller sent.
        target_id: The only target that may run the request; any other rejects it.
        remaining_s: Time that the target has until the deadline, in seconds.
        priority: Priority of the request from 0 (highest) to 9.
        last_event: Number of the last event of the stream that was received; the target resumes
            after it.
        team: Team that sent the request, if it has one.
    """
    # The team is added last, so that a caller's ``Connection`` header can't remove it.
    forwarded = with_team(without_headers(end_to_end_headers(headers), REPLACED_HEADERS), team)
    if last_event is not None:
        forwarded = without_headers(forwarded, {LAST_EVENT_HEADER.lower()})
        forwarded = (*forwarded, (LAST_EVENT_HEADER, str(last_event)))
    return (
        *forwarded,
        (DEADLINE_HEADER, str(max(1, int(remaining_s * MS_PER_S)))),
        (EXPECTED_TARGET_HEADER, target_id),
        (PRIORITY_HEADER, str(priority)),
    )


def forwarded_response_headers(headers: Headers) -> Headers:
    """Return the headers of a target's response that are forwarded to the caller."""
    return without_headers(end_to_end_headers(headers), {"content-length"})


def error_response_headers(attempt_id: str, retry_after_s: float | None = None) -> Headers:
    """Return the headers of an error response that this VM produces itself."""
    headers: Headers = (("Content-Type", "application/problem+json"),)
    if attempt_id:
        headers = (*headers, (CORRELATION_HEADER, attempt_id))
    if retry_after_s is not None:
        headers = (*headers, (RETRY_AFTER_HEADER, f"{retry_after_s:.3f}"))
    return headers


def key_refusal_headers(attempt_id: str, retry_after_s: float | None) -> Headers:
    """Return the headers of the response to a request without a valid key.

    Args:
        attempt_id: Id of the caller's attempt.
        retry_after_s: Delay after which the key may be valid, in seconds; None for a final refusal.
    """
    headers = error_response_headers(attempt_id, retry_after_s)
    return headers if retry_after_s is not None else (*headers, (CHALLENGE_HEADER, "Bearer"))


def stand_in_response_headers(headers: Headers) -> Headers:
    """Return the headers of a stand-in target's response to a request with these headers."""
    return ((CORRELATION_HEADER, request_id(headers)), (STAMP_HEADER, "stand-in"))


def parse_response_metadata(status: int, headers: Headers) -> ResponseMetadata:
    """Return the information in the status and the headers of a target's response."""
    load = parse_load(header_value(headers, LOAD_HEADER))
    version = decimal_number(header_value(headers, VERSION_HEADER) or "")
    return ResponseMetadata(
        is_not_run=is_misdirected(status) or header_value(headers, NOT_RUN_HEADER) is not None,
        target_stamp=header_value(headers, STAMP_HEADER),
        running_count=load.running_count,
        waiting_count=load.waiting_count,
        pace_ratio=load.pace_ratio,
        weight_version=None if version is None else WeightVersion(version),
        retry_after_s=parse_number(header_value(headers, RETRY_AFTER_HEADER)),
    )


def is_misdirected(status: int) -> bool:
    """Return whether another target answered, which now has the address of the one meant."""
    return status == MISDIRECTED_STATUS


def announces_departure(status: int, headers: Headers) -> bool:
    """Return whether the target that was meant says in its response that it is leaving."""
    return not is_misdirected(status) and header_value(headers, LEAVING_HEADER) is not None


def parse_announced_limit(headers: Headers) -> float | None:
    """Return the requests per second that a target accepts, or None if it names no limit.

    Raises:
        ValueError: The value is no number of 0 or more.
    """
    value = header_value(headers, LIMIT_HEADER)
    if value is None:
        return None
    limit_per_s = parse_number(value)
    if limit_per_s is None or limit_per_s < 0.0:
        raise ValueError(f"invalid limit: {value!r}")
    return limit_per_s


def parse_last_event_id(headers: Headers) -> int | None:
    """Return the number of the last event that a resuming caller has received, if it states one."""
    value = header_value(headers, LAST_EVENT_HEADER)
    return None if value is None else decimal_number(value)


def parse_resumed_attempt(headers: Headers) -> str:
    """Return the id of the attempt that began the stream a caller resumes, or an empty string."""
    return header_value(headers, RESUMED_ATTEMPT_HEADER) or ""


def prompt_ids(headers: Headers) -> tuple[str, ...]:
    """Return the ids of a prompt's parts in order; empty if the request has no prompt."""
    value = header_value(headers, PROMPT_HEADER)
    if value is None:
        return ()
    return tuple(entry.strip().partition(":")[0] for entry in value.split(",") if entry.strip())


def parse_load(value: str | None) -> TargetLoad:
    """Return the load in a header's value; an empty one if there is none or it is malformed.

    The value is ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PACE``. Later figures are
    ignored, and so is a pace that is no positive number, as the load counts without them.
    """
    fields = [part.strip() for part in (value or "").split(",")]
    figures = [decimal_number(part) for part in fields[:LOAD_FIGURES]]
    if len(figures) < LOAD_FIGURES or None in figures:
        return TargetLoad()
    pace_percent = parse_number(fields[LOAD_FIGURES]) if len(fields) > LOAD_FIGURES else None
    return TargetLoad(
        running_count=figures[0],
        waiting_count=figures[1] or 0,
        pace_ratio=pace_percent / PERCENT if pace_percent and pace_percent > 0.0 else None,
    )


def parse_number(value: str | None) -> float | None:
    """Return the finite number in a header's value, or None if it contains none."""
    try:
        parsed = None if value is None else float(value)
    except ValueError:
        return None
    return parsed if parsed is not None and math.isfinite(parsed) else None
