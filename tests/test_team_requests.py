"""Requests of teams on their way from callers to targets, directly and through other VMs."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace

import anyio
import pytest
from structlog.testing import capture_logs

from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_progress import SampleProgress
from balsamcleat.decisions.stream_origin import StreamOrigin
from balsamcleat.http1 import HttpServer, Request, ServerLimits
from balsamcleat.http1.streams import listen
from balsamcleat.model import ConfigurationVersion, TeamName, WeightVersion
from balsamcleat.model.replicas import StreamSoftware
from balsamcleat.model.rollout import ScoringRequest
from balsamcleat.model.routing import Route, RouteKind, RoutingTable, TeamSpec
from balsamcleat.model.team_keys import key_digest
from balsamcleat.tasks.hop_messages import (
    HOP_HEADERS,
    HopRequest,
    StartCheck,
    parse_hop_request,
    wrap_request,
)
from balsamcleat.tasks.request_dispatcher import RequestDispatcher
from balsamcleat.tasks.sample_run import SampleEnd, SampleRunner
from balsamcleat.tasks.sample_scorer import SampleScorer, ScoringTask
from balsamcleat.tasks.stream_forwarder import StreamForwarder
from balsamcleat.tasks.team_guard import MAX_COUNTED_TEAMS, TeamGuard
from live_world import (
    Caller,
    LiveWorld,
    attempt_id,
    listed_replica,
    live_world,
    response_bytes,
    route,
)
from lost_links import Cut, LinkedNetwork
from raw_target import RawTarget
from test_software_versions import sample_assignment, weighted_stream
from test_stream_forwarding import ALL_EVENTS, stream_script

pytestmark = pytest.mark.anyio

KEY = "rjvz48wuakn2ftimaj3n"
OTHER_KEY = "p1"
TEAMS = (
    TeamSpec(TeamName("huka270"), frozenset({key_digest(KEY), key_digest("second")}), rank=1),
    TeamSpec(TeamName("puhu251"), frozenset({key_digest(OTHER_KEY)})),
)
CALL = route(rank=3, prefix="/")
PUBLIC = route(rank=3, prefix="/", public=True)
STREAM = route(RouteKind.STREAM, resumable=True)
# Each is a way in which a caller may name credentials and a team of its own.
FORGED = "TENANT: forged\r\ntenant: twice\r\nConnection: Tenant\r\n"


def bearer(key: str) -> str:
    return f"authorization: Bearer {key}\r\nAUTHORIZATION: Basic again\r\n"


def sent_headers(request: bytes) -> list[tuple[str, str]]:
    """Return the headers of a request that a target received, with their names in lower case."""
    lines = request.split(b"\r\n\r\n")[0].decode().split("\r\n")[1:]
    return [(name.lower(), value.strip()) for name, _, value in (x.partition(":") for x in lines)]


def values(request: bytes, name: str) -> list[str]:
    return [value for key, value in sent_headers(request) if key == name]


async def answer_all(target: RawTarget, stream) -> None:
    while True:
        await target.read_request(stream)
        await stream.send(response_bytes(attempt_id(target.requests[-1]), b"fine"))


@dataclass
class TeamWorld:
    """A dispatcher in front of a VM's forwarders."""

    world: LiveWorld
    server: HttpServer
    metrics: TextMetrics
    table: RoutingTable
    is_current: bool = True

    @property
    def requests(self) -> list[bytes]:
        return [request for target in self.world.targets for request in target.requests]

    async def connect(self) -> Caller:
        host, port = self.server.listener.getsockname()
        caller = Caller(await anyio.connect_tcp(host, port))
        self.world.callers.append(caller)
        return caller

    async def status(self, attempt: str, headers: str) -> int:
        return (await (await self.connect()).request(attempt, extra_headers=headers))[0]


def routing_table(live_route: Route, teams: tuple[TeamSpec, ...], version: int = 1) -> RoutingTable:
    return RoutingTable(ConfigurationVersion(version), (live_route,), teams=teams)


@asynccontextmanager
async def team_world(
    live_route: Route, teams: tuple[TeamSpec, ...] = TEAMS, scripts=(answer_all,), **options
) -> AsyncIterator[TeamWorld]:
    async with live_world(list(scripts), live_route, **options) as world:
        vm = world.vms[0]
        metrics = TextMetrics()
        guard = TeamGuard(lambda: team.is_current, lambda: 0.5, metrics)
        dispatcher = RequestDispatcher(
            lambda: team.table,
            vm.forwarder,
            StreamForwarder(vm.forwarder, vm.register),
            None,  # type: ignore[arg-type]
            guard,
        )
        server = HttpServer(listen("127.0.0.1:0"), dispatcher.answer, lambda: ServerLimits())
        team = TeamWorld(world, server, metrics, routing_table(live_route, teams))
        async with anyio.create_task_group() as group:
            group.start_soon(server.run)
            yield team
            server.stop_accepting()
            group.cancel_scope.cancel()


@pytest.mark.parametrize("live_route", [CALL, STREAM], ids=["call", "stream"])
async def test_target_gets_the_team_and_no_key(live_route: Route) -> None:
    """A target bills the team that the header names, and could use a key that it received."""
    script = answer_all if live_route is CALL else stream_script()
    async with team_world(live_route, scripts=[script]) as team:
        assert await team.status("a", bearer(KEY) + FORGED) == 200
        (request,) = team.requests
        assert values(request, "tenant") == ["huka270"]
        assert values(request, "authorization") == []
        assert KEY.encode() not in request


async def test_public_route_needs_no_key_and_names_no_team() -> None:
    async with team_world(PUBLIC) as team:
        for number, headers in enumerate((FORGED, bearer(KEY) + FORGED, bearer("unknown"))):
            assert await team.status(f"a{number}", headers) == 200
        for request in team.requests:
            assert not values(request, "tenant") and not values(request, "authorization")
        assert not any(name.startswith("teams.") for name in team.metrics.counters)


async def test_without_teams_headers_are_forwarded_as_they_are() -> None:
    """A deployment without teams may use both headers for purposes of its own."""
    async with team_world(CALL, teams=()) as team:
        assert await team.status("a", "Authorization: Bearer x\r\ntenant: own\r\n") == 200
        (request,) = team.requests
        assert (values(request, "authorization"), values(request, "tenant")) == (
            ["Bearer x"],
            ["own"],
        )


async def test_request_without_a_valid_key_is_refused_and_its_key_is_not_logged() -> None:
    async with team_world(CALL) as team:
        with capture_logs() as lines:
            for number, headers in enumerate(("", bearer("unknown-key"), FORGED)):
                assert await team.status(f"a{number}", headers) == 401
        refused = [line for line in lines if line["event"] == "key refused"]
        assert [line["key"] for line in refused] == ["", key_digest("unknown-key")[:8], ""]
        assert refused[1]["request"] == "a1"
        assert (refused[1]["version"], refused[1]["age_s"]) == (1, 0.5)
        assert "unknown-key" not in repr(lines)
        assert team.metrics.counters["teams.keys.refused"] == 3
        assert not team.requests


async def test_vm_with_an_outdated_configuration_does_not_call_a_key_invalid() -> None:
    """The key may have been added since; the caller tries again, perhaps at another VM."""
    async with team_world(CALL) as team:
        team.is_current = False
        caller = await team.connect()
        status, headers, _ = await caller.request("a", extra_headers=bearer("newer"))
        assert status == 503 and float(headers["retry-after"]) > 0.0
        assert await team.status("b", "") == 401
        assert await team.status("c", bearer(KEY)) == 200


async def test_removed_key_is_refused_on_an_open_connection() -> None:
    """Callers keep their connections for hours."""
    async with team_world(CALL) as team:
        caller = await team.connect()
        assert (await caller.request("a", extra_headers=bearer(KEY)))[0] == 200
        left = (replace(TEAMS[0], key_digests=frozenset({key_digest("second")})), TEAMS[1])
        team.table = routing_table(CALL, left, version=2)
        assert (await caller.request("b", extra_headers=bearer(KEY)))[0] == 401
        assert (await caller.request("c", extra_headers=bearer("second")))[0] == 200


async def test_rank_of_a_team_reaches_the_queue_and_the_target() -> None:
    """The priority of a team holds where calls wait: in this VM's queue and in the target's."""
    async with team_world(CALL) as team:
        queued = []
        queues = team.world.vms[0].forwarder.queues
        acquire = queues.acquire

        async def record(service, ticket):
            queued.append(ticket.rank)
            return await acquire(service, ticket)

        queues.acquire = record
        for attempt, key in (("a", KEY), ("b", OTHER_KEY)):
            assert await team.status(attempt, bearer(key)) == 200
        assert queued == [1, 3]
        assert [values(request, "request-priority") for request in team.requests] == [["1"], ["3"]]


async def test_requests_and_rejections_of_teams_are_counted() -> None:
    async with team_world(CALL) as team:
        assert await team.status("a", bearer(KEY)) == 200
        team.world.remove_target(0)
        assert await team.status("b", bearer(KEY)) == 503
        counters = team.metrics.counters
        assert counters["teams.requests.huka270"] == 2
        assert counters["teams.rejected.huka270"] == 1


def test_number_of_counted_teams_is_bounded() -> None:
    metrics = TextMetrics()
    guard = TeamGuard(lambda: True, lambda: 0.0, metrics)
    for number in range(MAX_COUNTED_TEAMS + 20):
        guard.count_request(TeamName(f"t{number}"), 200)
    assert metrics.counters["teams.requests.other"] == 20
    assert len(metrics.counters) == MAX_COUNTED_TEAMS + 1


async def test_resumed_stream_names_the_team_again() -> None:
    """Each attempt is a request of its own to another target."""
    scripts = iter((stream_script(cut_after=3),))

    async def cut_first(target: RawTarget, stream) -> None:
        await next(scripts, stream_script())(target, stream)

    async with team_world(STREAM, scripts=[cut_first, cut_first]) as team:
        caller = await team.connect()
        status, _, body = await caller.request("a", extra_headers=bearer(KEY) + FORGED)
        assert (status, body) == (200, ALL_EVENTS)
        assert len(team.requests) == 2
        for request in team.requests:
            assert values(request, "tenant") == ["huka270"]
            assert KEY.encode() not in request


@pytest.mark.parametrize("resumes", [False, True])
async def test_sample_names_the_team_of_its_step(resumes: bool) -> None:
    """Its own headers are the trainer's, who could name another team or send a key."""
    async with live_world([weighted_stream], CALL) as world:
        vm = world.vms[0]
        (replica,) = vm.directory.entries.values()
        assignment = sample_assignment(replica)
        forged = (("AUTHORIZATION", f"Bearer {KEY}"), ("tenant", "forged"))
        assignment = replace(
            assignment,
            sample=replace(assignment.sample, headers=forged),
            team=TEAMS[0].name,
            has_teams=True,
        )
        progress = SampleProgress()
        if resumes:
            progress = SampleProgress(["event 1"], {WeightVersion(1)})
            progress.origin = StreamOrigin.certain(StreamSoftware(replica.service, "v1"))
        runner = SampleRunner(vm.pool, vm.directory, ReplicaStatsRegistry())
        assert (await runner.run(assignment, progress)).end is SampleEnd.COMPLETE
        (request,) = world.targets[0].requests
        assert bool(values(request, "last-event-id")) is resumes
        assert values(request, "tenant") == ["huka270"]
        assert KEY.encode() not in request


async def test_call_to_a_scorer_needs_no_key_and_names_no_team() -> None:
    async with team_world(CALL) as team:
        forwarder = team.world.vms[0].forwarder
        scorer = SampleScorer(forwarder, lambda: team.table, random.Random(1))
        scoring = ScoringRequest("score-1", "host.example", "/score/1", b"text")
        with anyio.fail_after(2.0):
            score = await scorer.score(ScoringTask("s", scoring, 3, float("inf"), lambda: True))
        assert score == "stamp"
        (request,) = team.requests
        assert not values(request, "tenant") and not values(request, "authorization")


@pytest.mark.parametrize("has_relay_teams", [True, False])
@pytest.mark.parametrize("live_route", [CALL, STREAM], ids=["call", "stream"])
async def test_team_is_named_by_way_of_another_vm(
    live_route: Route, has_relay_teams: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A relay may have a configuration with or without teams; this VM has checked the key."""
    script = answer_all if live_route is CALL else stream_script()
    network = LinkedNetwork(monkeypatch)
    async with team_world(live_route, scripts=[script] * 2, vm_count=3, network=network) as team:
        for vm in team.world.vms[1:]:
            vm.relay.table = lambda: team.table if has_relay_teams else None
        await team.world.strand(0, Cut.RESET)
        with anyio.fail_after(5.0):
            # The first requests may be rejected, until this VM knows that another reaches a target.
            for _ in range(20):
                if await team.status("a", bearer(KEY) + FORGED) == 200:
                    break
                await anyio.sleep(0.1)
        (request,) = team.requests
        assert values(request, "tenant") == ["huka270"]
        assert values(request, "authorization") == []
        assert not any(name.startswith("hop-") for name, _ in sent_headers(request))


def hop(headers: dict[str, str], team: TeamName | None = None) -> HopRequest:
    """Return a request as another VM passes it on; the build of before names no team."""
    target = listed_replica(0, RawTarget(answer_all, "10.0.0.1:80"))
    request = Request("POST", "/path", (("Host", "host.example"), *headers.items()))
    wrapped = wrap_request(
        request, target, StartCheck.NONE, needs_new_connection=False, is_live=True, team=team
    )
    parsed = parse_hop_request(wrapped)
    assert parsed is not None
    return parsed


@pytest.mark.parametrize(
    ("headers", "sender_team", "expected"),
    [
        # A VM of this build has checked the key and named the team.
        ({"Tenant": "puhu251"}, "puhu251", "puhu251"),
        # A VM of the previous build forwards what its caller sent.
        ({"authorization": f"Bearer {KEY}", "TENANT": "forged"}, None, "huka270"),
        ({"authorization": "Bearer unknown", "Tenant": "forged"}, None, None),
        ({"Tenant": "forged"}, None, None),
        ({"Hop-Unframed": "forged", "Tenant": "forged"}, None, None),
        ({}, None, None),
    ],
)
async def test_request_passed_on_for_another_vm_names_the_team_and_has_no_key(
    headers: dict[str, str], sender_team: str | None, expected: str | None
) -> None:
    async with live_world([answer_all], CALL) as world:
        relay = world.vms[0].relay
        relay.table = lambda: routing_table(CALL, TEAMS)
        team = None if sender_team is None else TeamName(sender_team)
        passed_on = relay.with_team_headers(hop(headers, team)).request.headers
        names = {name.lower(): value for name, value in passed_on}
        assert names.get("tenant") == expected
        assert "authorization" not in names
        assert len([name for name, _ in passed_on if name.lower() == "tenant"]) <= 1
        assert not names.keys() & HOP_HEADERS


async def test_relay_names_no_team_on_public_routes_and_changes_nothing_without_teams() -> None:
    async with live_world([answer_all], CALL) as world:
        relay = world.vms[0].relay
        request = hop({"Authorization": f"Bearer {KEY}", "Tenant": "own"})
        assert relay.with_team_headers(request) is request
        relay.table = lambda: routing_table(CALL, ())
        assert relay.with_team_headers(request) is request
        relay.table = lambda: routing_table(PUBLIC, TEAMS)
        assert relay.with_team_headers(request).request.headers == (("Host", "host.example"),)


def test_previous_build_passes_the_team_on_and_not_the_header_between_vms() -> None:
    """It removes these headers from a request and keeps all others."""
    known_to_previous_build = {
        "hop-target",
        "hop-new-connection",
        "hop-start-check",
        "hop-live",
        "hop-failure",
        "hop-start-certain",
        "hop-unframed",
    }
    target = listed_replica(0, RawTarget(answer_all, "10.0.0.1:80"))
    request = Request("POST", "/path", (("Host", "h"), ("Tenant", "huka270")))
    wrapped = wrap_request(
        request,
        target,
        StartCheck.NONE,
        needs_new_connection=True,
        is_live=True,
        team=TeamName("huka270"),
    )
    kept = [
        header for header in wrapped.headers if header[0].lower() not in known_to_previous_build
    ]
    assert kept == [("Host", "h"), ("Tenant", "huka270")]


async def test_stream_of_a_team_is_complete() -> None:
    async with team_world(STREAM, scripts=[stream_script()]) as team:
        caller = await team.connect()
        status, _, body = await caller.request("a", extra_headers=bearer(OTHER_KEY))
        assert (status, body) == (200, ALL_EVENTS)
