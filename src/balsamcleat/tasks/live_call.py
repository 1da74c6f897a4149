"""A live request that is being forwarded."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from balsamcleat.decisions.crash_suspects import TargetRun
from balsamcleat.decisions.live_attempts import AttemptTracker
from balsamcleat.decisions.live_queue import Ticket, background_ticket, new_ticket
from balsamcleat.decisions.request_content import content_digest, request_parts
from balsamcleat.decisions.usage_windows import CallRuns
from balsamcleat.http1 import Request
from balsamcleat.model import ServiceName, TeamName
from balsamcleat.model.replicas import Replica, StreamSoftware
from balsamcleat.model.routing import Route, RouteKind
from balsamcleat.platform import parse_caller_timeout_s, request_id

__all__ = ["LiveCall"]


@dataclass(slots=True)
class LiveCall:
    """One live request that is being forwarded.

    Attributes:
        request: Request of the caller.
        route: Route that the request matched, with the rank of the team.
        service: Service of the route that is tried first.
        deadline_s: Latest time at which the response may begin, on the monotonic clock, in seconds.
        attempts: Attempts made so far.
        prompt_ids: Ids of the prompt's prefixes, by which the target is chosen; empty if the route
            is not sticky.
        is_trial: Whether the request is blocked and tried once more.
        has_whole_answer: Whether a target ran the request to its end, so that it did not crash.
        is_background: Whether this VM itself makes the call and no caller waits for it.
        is_wanted: Returns whether the call may still be sent; asked before each attempt.
        software: Software that began the stream and must continue it; None if none began it.
        team: Team that sent the request; None if it has none, as calls of this VM itself.
        computed_digest: Digest of the request once it was needed; bodies may be large.
        runs: Runs of the call at targets, for the usage of its team.
        other_services: Other services of the route, which may answer if that one can't.
    """

    request: Request
    route: Route
    service: ServiceName
    deadline_s: float
    attempts: AttemptTracker
    prompt_ids: tuple[str, ...] = ()
    is_trial: bool = False
    has_whole_answer: bool = False
    is_background: bool = False
    is_wanted: Callable[[], bool] = lambda: True
    software: StreamSoftware | None = None
    team: TeamName | None = None
    computed_digest: str = ""
    runs: CallRuns = field(default_factory=CallRuns)
    other_services: tuple[ServiceName, ...] = ()

    @property
    def services(self) -> tuple[ServiceName, ...]:
        """Services that may answer, in the order in which they are tried."""
        return (self.service, *self.other_services)

    def drop_service(self) -> bool:
        """Go on to the next service of the route; return whether there is one."""
        if not self.other_services:
            return False
        self.service, *others = self.other_services
        self.other_services = tuple(others)
        return True

    @property
    def digest(self) -> str:
        """Digest that identifies the request when a caller sends it again."""
        if not self.computed_digest:
            request = self.request
            self.computed_digest = content_digest(
                request.host, request.method, request.target, request.body
            )
        return self.computed_digest

    def ticket(self, now_s: float) -> Ticket:
        """Return the ticket with which the call waits for a slot from now on."""
        if self.is_background:
            return background_ticket(self.route.rank, self.deadline_s)
        return new_ticket(
            self.route.rank, self.deadline_s, now_s, self.route.objective_s, self.team
        )

    def run_at(self, replica: Replica) -> TargetRun:
        """Return the run of the request at a target."""
        request = self.request
        return TargetRun(
            request=self.attempt_id,
            digest=self.digest,
            start=replica.start,
            address=replica.address,
            parts=request_parts(request.client_address, request.target, request.body),
        )

    @property
    def attempt_id(self) -> str:
        """Request id set by the caller."""
        return request_id(self.request.headers)

    def remaining_s(self) -> float:
        """Return the time left until the response must begin, in seconds."""
        return self.deadline_s - anyio.current_time()

    def can_start_round(self) -> bool:
        """Return whether the call may be sent again to the targets that rejected it."""
        return self.attempts.can_start_round() and self.remaining_s() > 0.0

    def latest_end_s(self) -> float:
        """Return the time at which the caller no longer waits, on the monotonic clock.

        The route's timeout does not apply to streams, so one without a time budget has no end.
        """
        if self.route.kind is not RouteKind.STREAM:
            return self.deadline_s
        caller_timeout_s = parse_caller_timeout_s(self.request.headers)
        if caller_timeout_s is None:
            return float("inf")
        return self.request.received_at_s + caller_timeout_s

    def may_be_sent(self) -> bool:
        """Return whether the call is still wanted and its deadline has not passed."""
        return self.remaining_s() > 0.0 and self.is_wanted()

    def stream_remaining_s(self) -> float:
        """Return the time left for a complete stream, in seconds.

        The route's timeout does not apply to streams.
        """
        caller_timeout_s = parse_caller_timeout_s(self.request.headers)
        if caller_timeout_s is None:
            return self.remaining_s()
        return self.request.received_at_s + caller_timeout_s - anyio.current_time()
