"""Types of live calls: requests, priorities, attempt phases, failure kinds and answers."""

from dataclasses import dataclass, field
from enum import Enum, IntEnum

from balsamcleat.model.ids import RequestId, ServiceName, TeamName

__all__ = ["Answer", "AttemptPhase", "CallRequest", "Certainty", "FailureKind", "Priority"]


class Priority(IntEnum):
    """Scheduling priority at the entry VM and in the engine; lower numbers are served first."""

    LIVE = 0
    ROLLOUT = 10


class AttemptPhase(Enum):
    """How far one attempt got.

    A request is reported as "not run" on the basis of this phase alone.
    """

    NOT_SENT = "not sent"
    PERHAPS_SENT = "perhaps sent"
    ANSWERED = "answered"


class FailureKind(Enum):
    """Classification of failed attempts, used by all layers.

    ``UNREACHED`` means that nothing was sent to the target, ``LIMITED`` that nothing was sent
    because of the target's rate limit, ``REFUSED`` that the target rejected the request, ``CUT``
    that the connection closed before the response was complete, ``SILENT`` that a timeout expired,
    ``FAULT`` that the target failed, and ``MALFORMED`` that the response was invalid.
    ``INVALID_REQUEST`` means that HTTP can't express the request, so that no target can get it.
    ``LINK_LOST`` means that a link of this VM, or the VM that passed the request on, failed, which
    says nothing about the target.
    """

    UNREACHED = "unreached"
    LIMITED = "limited"
    INVALID_REQUEST = "invalid request"
    REFUSED = "refused"
    CUT = "cut"
    LINK_LOST = "link lost"
    SILENT = "silent"
    FAULT = "fault"
    MALFORMED = "malformed"
    NO_TARGET = "no target"
    DEADLINE = "deadline"
    POISONED = "poisoned"


class Certainty(Enum):
    """What an error response can state about whether the request ran."""

    NOT_RUN = "not run"
    OUTCOME_UNKNOWN = "outcome unknown"


@dataclass(frozen=True, slots=True)
class CallRequest:
    """A caller's request to a service.

    Attributes:
        request_id: Id assigned when the request arrives at an entry VM; a resend gets another.
        service: Service to call.
        team: Team of the caller.
        method: HTTP method of the call to a plain service.
        path: Path relative to the service, starting with a slash.
        body: Complete request body.
        content_type: Media type of the body.
        idempotent: Whether the request may run more than once.
        idempotency_key: Key by which the caller marks resends of the same request, if any.
        deadline_s: Time at which the caller stops waiting, in seconds of the monotonic clock.
        priority: Scheduling priority of the request.
        prefix_digests: Digests of the prompt's leading blocks, from the shortest prefix to the
            longest.
        adapter: Adapter to apply to the model, or None.
    """

    request_id: RequestId
    service: ServiceName
    team: TeamName
    method: str
    path: str
    body: bytes
    content_type: str
    idempotent: bool
    idempotency_key: str | None
    deadline_s: float
    priority: Priority = Priority.LIVE
    prefix_digests: tuple[int, ...] = ()
    adapter: str | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """A target's complete response to one attempt."""

    status: int
    content_type: str
    body: bytes
    headers: tuple[tuple[str, str], ...] = field(default=())
