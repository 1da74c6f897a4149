"""Dispatches the requests of callers and trainers to the component that answers them."""

from collections.abc import Callable
from dataclasses import replace

import anyio
import structlog

from balsamcleat.decisions.live_attempts import FailureStatus
from balsamcleat.decisions.team_access import route_for_team
from balsamcleat.errors import BalsamcleatError
from balsamcleat.http1 import Headers, Request, Responder, Response, ServerLimits
from balsamcleat.model import TeamName
from balsamcleat.model.routing import Route, RouteKind, RoutingTable
from balsamcleat.platform import (
    StepCall,
    classify_step_call,
    error_response_headers,
    request_id,
    without_team_headers,
)
from balsamcleat.tasks.live_errors import problem_body
from balsamcleat.tasks.live_forwarder import LiveForwarder
from balsamcleat.tasks.rollout_handler import RolloutHandler
from balsamcleat.tasks.step_responses import send_unavailable
from balsamcleat.tasks.stream_forwarder import StreamForwarder
from balsamcleat.tasks.team_guard import TeamGuard

__all__ = ["RequestDispatcher"]

# Retry delay while this VM has not loaded a configuration yet.
NO_CONFIGURATION_RETRY_S = 0.5
# Shortest retry delay while no memory is left for a body; the longest is twice that.
OVERLOAD_RETRY_S = 0.5
SUBMIT_METHOD = "POST"

log = structlog.get_logger()


class RequestDispatcher:
    """Matches each request against the routes and dispatches it.

    Args:
        current_table: Returns the configuration in force, or None before the first one.
        forwarder: Answers live requests.
        streams: Answers live streams.
        rollouts: Answers the requests of trainers.
        guard: Authenticates requests by the keys of teams.
    """

    def __init__(
        self,
        current_table: Callable[[], RoutingTable | None],
        forwarder: LiveForwarder,
        streams: StreamForwarder,
        rollouts: RolloutHandler,
        guard: TeamGuard,
    ) -> None:
        self.current_table = current_table
        self.forwarder = forwarder
        self.streams = streams
        self.rollouts = rollouts
        self.guard = guard

    def limits(self) -> ServerLimits:
        """Return the limits on requests that the configuration in force sets."""
        table = self.current_table()
        if table is None:
            return ServerLimits()
        limits = table.limits
        return ServerLimits(
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_s,
            idle_timeout_s=limits.idle_timeout_s,
        )

    def overload_response(self, headers: Headers) -> Response:
        """Return the response to a request whose body finds no room in memory."""
        attempt_id = request_id(headers)
        retry_after_s = OVERLOAD_RETRY_S * (1.0 + self.forwarder.generator.random())
        log.warning(
            "request refused",
            request=attempt_id,
            status=FailureStatus.NOT_RUN.value,
            reason="no memory is left for the body",
            retry_after_s=retry_after_s,
        )
        return Response(
            FailureStatus.NOT_RUN.value,
            error_response_headers(attempt_id, retry_after_s),
            problem_body(FailureStatus.NOT_RUN),
        )

    async def answer(self, request: Request, responder: Responder) -> None:
        """Answer one request."""
        try:
            await self.dispatch(request, responder)
        except anyio.get_cancelled_exc_class():
            log.info(
                "caller gone",
                request=request_id(request.headers),
                path=request.path,
                took_s=round(anyio.current_time() - request.received_at_s, 4),
            )
            raise

    def fault_response(self, request: Request) -> Response:
        """Log the unexpected error of a request, and return the response to the request."""
        attempt_id = request_id(request.headers)
        log.exception("request failed by a fault", request=attempt_id, path=request.path)
        return Response(500, error_response_headers(attempt_id))

    async def dispatch(self, request: Request, responder: Responder) -> None:
        """Dispatch one request by its route."""
        attempt_id = request_id(request.headers)
        table = self.current_table()
        if table is None:
            log.warning(
                "request refused", request=attempt_id, status=503, reason="no configuration"
            )
            headers = error_response_headers(attempt_id, NO_CONFIGURATION_RETRY_S)
            await responder.send(Response(503, headers))
            return
        route = table.match(request.host, request.path)
        if route is None:
            await self.answer_unrouted(request, responder, table)
            return
        access = self.guard.authenticate(request, table, is_public=route.public)
        if access.refusal is not None:
            await self.guard.refuse(request, responder, table, access.refusal)
            return
        if table.has_teams:
            request = replace(request, headers=without_team_headers(request.headers))
        team = access.team_name
        try:
            await self.answer_routed(
                request, route_for_team(route, access.team), responder, table, team
            )
        finally:
            self.guard.count_request(team, responder.status)

    async def answer_routed(
        self,
        request: Request,
        route: Route,
        responder: Responder,
        table: RoutingTable,
        team: TeamName | None,
    ) -> None:
        """Answer an authenticated request by its route."""
        if route.kind is RouteKind.ROLLOUT and request.method == SUBMIT_METHOD:
            await self.rollouts.submissions.submit(request, route, responder, team)
        elif route.kind is RouteKind.STREAM:
            await self.streams.answer(request, route, responder, table.version, team)
        else:
            await self.forwarder.answer(request, route, responder, table.version, team)

    async def answer_unrouted(
        self, request: Request, responder: Responder, table: RoutingTable
    ) -> None:
        """Answer a request that matches no route: a call about a step, or 404."""
        call = classify_step_call(request)
        if call is not None:
            await self.answer_step_call(call, request, responder, table)
            return
        attempt_id = request_id(request.headers)
        log.info(
            "no route",
            request=attempt_id,
            host=request.host,
            path=request.path,
            version=table.version,
        )
        await responder.send(Response(404, error_response_headers(attempt_id)))

    async def answer_step_call(
        self, call: StepCall, request: Request, responder: Responder, table: RoutingTable
    ) -> None:
        """Answer a call about a step, whose route the configuration may no longer have."""
        try:
            is_public = not table.has_teams or await self.is_step_public(call, request, table)
        except BalsamcleatError as error:
            await send_unavailable(responder, call.step_id, str(error))
            return
        access = self.guard.authenticate(request, table, is_public=is_public)
        if access.refusal is not None:
            await self.guard.refuse(request, responder, table, access.refusal)
            return
        try:
            await self.rollouts.answer_call(call, responder, access.team_name)
        finally:
            self.guard.count_request(access.team_name, responder.status)

    async def is_step_public(self, call: StepCall, request: Request, table: RoutingTable) -> bool:
        """Return whether a call about a step needs no key.

        A call about a step that does not exist needs one, unless no step of the host needs one.

        Raises:
            BalsamcleatError: The step is not known here, and the store can't tell.
        """
        is_public = await self.rollouts.is_public(call, table)
        if is_public is None:
            return all(
                route.public
                for route in table.routes
                if route.kind is RouteKind.ROLLOUT and route.host == request.host
            )
        return is_public
