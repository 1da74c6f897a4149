"""Passes requests on to targets for VMs that have lost their links to them."""

from collections.abc import Callable
from dataclasses import replace

import structlog

from balsamcleat.decisions.crash_suspects import TargetRun
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.request_content import content_digest
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Request, Responder, Response
from balsamcleat.http1.messages import end_to_end_headers
from balsamcleat.model import FailureKind, TeamName
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import RoutingTable
from balsamcleat.model.team_keys import bearer_key_digest
from balsamcleat.platform import authorization, request_id, with_team, without_team_headers
from balsamcleat.tasks.crash_detector import CrashDetector
from balsamcleat.tasks.hop_messages import (
    HopRequest,
    failure_response,
    parse_hop_request,
    result_headers,
)
from balsamcleat.tasks.target_exchange import TargetExchange
from balsamcleat.tasks.target_paths import TargetPaths

__all__ = ["TargetRelay"]

# Requests of other VMs that this VM passes on at once; beyond it, its own callers would suffer.
MAX_PASSED_ON = 256

log = structlog.get_logger()


class TargetRelay:
    """Passes requests on, always directly: a request that was passed on is not passed on again.

    Args:
        directory: Directory of the targets.
        stats_registry: Statistics and limits of the targets.
        pool: Connections to the targets.
        detector: Records the crashes that this VM sees.
        paths: Watches the links of this VM.
        table: Returns the routing table in force, or None before there is one.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        pool: ConnectionPool,
        detector: CrashDetector,
        paths: TargetPaths,
        table: Callable[[], RoutingTable | None] = lambda: None,
    ) -> None:
        self.directory = directory
        self.stats_registry = stats_registry
        self.pool = pool
        self.detector = detector
        self.paths = paths
        self.table = table
        self.running_count = 0

    async def handle(self, request: Request, responder: Responder) -> None:
        """Pass a request of another VM on, and send its response back."""
        hop = parse_hop_request(request)
        if hop is None:
            log.warning("peer's request unreadable", path=request.path)
            await responder.send(Response(400))
            return
        replica = self.directory.entries.get(hop.start.target_id)
        if replica is None or replica.start != hop.start or self.running_count >= MAX_PASSED_ON:
            await responder.send(failure_response(self.unsent_error(hop)))
            return
        self.running_count += 1
        stats = self.stats_registry.for_replica(replica)
        stats.in_flight += 1
        try:
            await self.pass_on(self.with_team_headers(hop), replica, responder)
        finally:
            stats.in_flight -= 1
            self.running_count -= 1

    def unsent_error(self, hop: HopRequest) -> AttemptFailedError:
        """Return the error for a request that this VM does not pass on."""
        return AttemptFailedError(
            "this VM does not pass the request on",
            step="relay.admit",
            peer=hop.start.target_id,
            perhaps_sent=False,
            kind=FailureKind.UNREACHED,
        )

    def with_team_headers(self, hop: HopRequest) -> HopRequest:
        """Return a request that names the team which sent it, and has no key.

        The VM that received the request may be of a build, or have a configuration, without teams.
        It forwards the headers of its caller, among which the name of a team proves nothing.
        """
        table = self.table()
        if table is None or not table.has_teams:
            return hop
        headers = hop.request.headers
        team = hop.team or self.team_by_key(hop.request, table)
        request = replace(hop.request, headers=with_team(without_team_headers(headers), team))
        return replace(hop, request=request)

    def team_by_key(self, request: Request, table: RoutingTable) -> TeamName | None:
        """Return the team whose key a request contains; None on a public route."""
        route = table.match(request.host, request.path)
        team = table.team_of(bearer_key_digest(authorization(request.headers)))
        return None if team is None or (route is not None and route.public) else team.name

    async def pass_on(self, hop: HopRequest, replica: Replica, responder: Responder) -> None:
        """Send a request to its target and relay the response.

        A response that breaks off leaves the other VM's connection without its end.
        """
        exchange = TargetExchange(
            self.pool,
            self.directory,
            replica,
            hop.request,
            lambda: True,
            self.stats_registry.limits,
            is_live=hop.is_live,
            start_check=hop.start_check,
            paths=self.paths,
            can_be_passed_on=False,
            takes_limit=False,
            expects_stamp=bool(request_id(hop.request.headers)),
        )
        try:
            await exchange.begin(force_new_connection=hop.needs_new_connection)
            await self.relay_response(exchange, responder)
        except AttemptFailedError as error:
            if hop.is_live:
                self.detector.record_failure(run_of(hop.request, replica), error)
            log.info(
                "request not passed on",
                request=request_id(hop.request.headers),
                target=replica.target_id,
                kind=error.kind.value,
                reason=error.message,
            )
            if not responder.has_started:
                await responder.send(failure_response(error))
        finally:
            exchange.end()

    async def relay_response(self, exchange: TargetExchange, responder: Responder) -> None:
        """Relay a response: a body of known length as a whole, any other as it arrives.

        Raises:
            AttemptFailedError: The response broke off.
        """
        has_length = any(name.lower() == "content-length" for name, _ in exchange.headers)
        headers = result_headers(
            tuple(
                header
                for header in end_to_end_headers(exchange.headers)
                if header[0].lower() != "content-length"
            ),
            is_start_certain=self.is_start_certain(exchange),
            is_unframed=not exchange.has_explicit_framing,
        )
        if has_length:
            response = await exchange.read_response()
            await responder.send(Response(response.status, headers, response.body))
            return
        await responder.start_chunked(exchange.status, headers)
        while data := await exchange.next_body_chunk():
            await responder.write(data)
        await responder.finish()

    def is_start_certain(self, exchange: TargetExchange) -> bool:
        """Return whether the response certainly comes from the start that the list shows."""
        return self.directory.certain_software(exchange.origin()) is not None


def run_of(request: Request, replica: Replica) -> TargetRun:
    """Return the run of a request at a target, as the VM that got the request describes it."""
    return TargetRun(
        request=request_id(request.headers),
        digest=content_digest(request.host, request.method, request.target, request.body),
        start=replica.start,
        address=replica.address,
    )
