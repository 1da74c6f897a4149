"""Headers of requests that a VM passes on to a target for another VM, and of their responses."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import (
    Headers,
    Request,
    Response,
    header_text,
    header_value,
    text_of_header,
    without_headers,
)
from balsamcleat.model import FailureKind, TargetId, TeamName
from balsamcleat.model.replicas import Replica, TargetStart

__all__ = [
    "HOP_PATH",
    "HopRequest",
    "HopResult",
    "StartCheck",
    "failure_response",
    "parse_hop_request",
    "parse_hop_result",
    "result_headers",
    "wrap_request",
]

# Prefix of the paths of requests to be passed on; the path of the request itself follows.
HOP_PATH = "/pass"
TARGET_HEADER = "Hop-Target"
NEW_CONNECTION_HEADER = "Hop-New-Connection"
START_CHECK_HEADER = "Hop-Start-Check"
LIVE_HEADER = "Hop-Live"
FAILURE_HEADER = "Hop-Failure"
CERTAIN_START_HEADER = "Hop-Start-Certain"
UNFRAMED_HEADER = "Hop-Unframed"
# In a request, this header names the team that the sender has authenticated. It has the name of a
# header of responses: a VM of the previous build removes that name from what callers send, while it
# would pass a new name on, which callers could then forge.
TEAM_HEADER = UNFRAMED_HEADER
HOP_HEADERS = frozenset(
    name.lower()
    for name in (
        TARGET_HEADER,
        NEW_CONNECTION_HEADER,
        START_CHECK_HEADER,
        LIVE_HEADER,
        FAILURE_HEADER,
        CERTAIN_START_HEADER,
        UNFRAMED_HEADER,
    )
)
BAD_GATEWAY = 502
SENT_WORD = "sent"
UNSENT_WORD = "unsent"


class StartCheck(Enum):
    """Whether the start of the target must be certain before the request is sent."""

    NONE = "none"
    # The stream may have to go on elsewhere; a target that names no start may begin it.
    WANTED = "wanted"
    # The stream goes on here, so the target's software must be the one that began it.
    REQUIRED = "required"


@dataclass(frozen=True, slots=True)
class HopRequest:
    """Request to be passed on.

    Attributes:
        request: Request for the target.
        start: Start of the target that it is meant for.
        needs_new_connection: Whether it must not be sent on a connection that was used before.
        start_check: Whether the start of the target must be certain.
        is_live: Whether a live caller waits for the response.
        team: Team that the sender has authenticated and named in the request, or None.
    """

    request: Request
    start: TargetStart
    needs_new_connection: bool
    start_check: StartCheck
    is_live: bool
    team: TeamName | None = None


@dataclass(frozen=True, slots=True)
class HopResult:
    """What the VM that passed a request on says beside the target's response.

    Attributes:
        failure: Kind of the failure if the target sent no response, else None.
        perhaps_sent: Whether any byte of the request may have been sent to the target.
        is_start_certain: Whether the target's start is certain.
        is_unframed: Whether only the end of the target's connection marks the end of the body.
        headers: Headers of the target's response.
    """

    failure: FailureKind | None
    perhaps_sent: bool
    is_start_certain: bool
    is_unframed: bool
    headers: Headers


def wrap_request(
    request: Request,
    replica: Replica,
    start_check: StartCheck,
    *,
    needs_new_connection: bool,
    is_live: bool,
    team: TeamName | None = None,
) -> Request:
    """Return the request that asks another VM to pass a request on to a target."""
    headers = (
        *without_headers(request.headers, HOP_HEADERS),
        (TARGET_HEADER, f"{replica.target_id}/{replica.started_ms}"),
        (START_CHECK_HEADER, start_check.value),
    )
    if needs_new_connection:
        headers = (*headers, (NEW_CONNECTION_HEADER, "1"))
    if is_live:
        headers = (*headers, (LIVE_HEADER, "1"))
    if team is not None:
        headers = (*headers, (TEAM_HEADER, header_text(team)))
    return Request(request.method, HOP_PATH + request.target, headers, request.body)


def parse_hop_request(request: Request) -> HopRequest | None:
    """Return the request that another VM asks to pass on, or None if it can't be read."""
    target_id, _, started = (header_value(request.headers, TARGET_HEADER) or "").rpartition("/")
    check = header_value(request.headers, START_CHECK_HEADER)
    if not target_id or not started.isdecimal() or check not in {item.value for item in StartCheck}:
        return None
    original = Request(
        request.method,
        request.target.removeprefix(HOP_PATH),
        without_headers(request.headers, HOP_HEADERS),
        request.body,
        request.received_at_s,
    )
    needs_new_connection = header_value(request.headers, NEW_CONNECTION_HEADER) is not None
    start = TargetStart(TargetId(target_id), int(started))
    is_live = header_value(request.headers, LIVE_HEADER) is not None
    team = header_value(request.headers, TEAM_HEADER)
    return HopRequest(
        original,
        start,
        needs_new_connection,
        StartCheck(check),
        is_live,
        None if team is None else TeamName(text_of_header(team)),
    )


def failure_response(error: AttemptFailedError) -> Response:
    """Return the response that tells another VM how passing its request on failed."""
    sent = SENT_WORD if error.perhaps_sent else UNSENT_WORD
    return Response(BAD_GATEWAY, ((FAILURE_HEADER, f"{error.kind.value}/{sent}"),))


def result_headers(headers: Headers, *, is_start_certain: bool, is_unframed: bool) -> Headers:
    """Return the headers of a target's response with what this VM says beside them."""
    marked = without_headers(headers, HOP_HEADERS)
    if is_start_certain:
        marked = (*marked, (CERTAIN_START_HEADER, "1"))
    if is_unframed:
        marked = (*marked, (UNFRAMED_HEADER, "1"))
    return marked


def parse_hop_result(headers: Headers) -> HopResult:
    """Return what the VM that passed a request on says of it."""
    kind, _, sent = (header_value(headers, FAILURE_HEADER) or "").partition("/")
    known = {item.value for item in FailureKind}
    return HopResult(
        failure=FailureKind(kind) if kind in known else None,
        perhaps_sent=sent != UNSENT_WORD,
        is_start_certain=header_value(headers, CERTAIN_START_HEADER) is not None,
        is_unframed=header_value(headers, UNFRAMED_HEADER) is not None,
        headers=without_headers(headers, HOP_HEADERS),
    )
