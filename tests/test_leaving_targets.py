"""A target that says in an answer that it is leaving gets nothing new from the VM that read it."""

import random

import anyio
import pytest

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, PoolLimits, Request
from balsamcleat.model import ConfigurationVersion
from balsamcleat.model.rollout import ScoringRequest
from balsamcleat.model.routing import RouteKind, RoutingTable
from balsamcleat.platform import CORRELATION_HEADER
from balsamcleat.tasks.sample_scorer import SampleScorer, ScoringTask
from balsamcleat.tasks.target_exchange import TargetExchange
from live_world import (
    SERVICE,
    LiveWorld,
    attempt_id,
    listed_replica,
    live_world,
    response_bytes,
    route,
)
from raw_target import RawTarget, Script
from test_stream_forwarding import ALL_EVENTS, EVENTS, STREAM, chunk, event_bytes

pytestmark = pytest.mark.anyio
CALLS = 10
LEAVING = "Server-Leaving: 1\r\n"


def answer(status: str = "200 OK", **headers: str) -> Script:
    """Return a script that answers each request."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        while True:
            request = await target.read_request(stream)
            await stream.send(response_bytes(attempt_id(request), b"body", status, **headers))

    return script


def stream_events(*, leaving: bool, cut_after: int = EVENTS) -> Script:
    """Return a script that streams events, and breaks off after one of them."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        while True:
            received = await target.read_request(stream)
            request = received.decode()
            after = [line for line in request.split("\r\n") if line.startswith("Last-Event-Id:")]
            first = int(after[0].split(":")[1]) + 1 if after else 1
            head = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n" + (LEAVING if leaving else "")
            head += f"Attempt-Id: {attempt_id(received)}\r\nTransfer-Encoding: chunked\r\n\r\n"
            await stream.send(head.encode())
            for number in range(first, cut_after + 1):
                await stream.send(chunk(event_bytes(number)))
            if cut_after < EVENTS:
                return
            await stream.send(b"0\r\n\r\n")

    return script


def requests_of(world: LiveWorld) -> list[int]:
    return [len(target.requests) for target in world.targets]


@pytest.mark.parametrize("status", ["200 OK", "500 Internal Server Error", "429 Too Many Requests"])
async def test_calls_after_an_announcement_go_elsewhere(status: str) -> None:
    """The list still says that the target is ready; its connection is kept open."""
    leaving = answer(status, Server_Leaving="1")
    async with live_world([leaving, answer()], route()) as world:
        caller = await world.connect()
        for number in range(CALLS):
            await caller.request(f"a{number}")
        assert requests_of(world)[0] == 1
        assert requests_of(world)[1] >= CALLS - 1


async def test_rejection_with_an_announcement_counts_as_both() -> None:
    leaving = answer("503 Service Unavailable", Server_Leaving="1", Not_Run="1")
    async with live_world([leaving, answer()], route(RouteKind.AT_MOST_ONCE)) as world:
        caller = await world.connect()
        for number in range(CALLS):
            assert (await caller.request(f"a{number}"))[0] == 200
        assert requests_of(world) == [1, CALLS]


async def test_streams_after_an_announcement_go_elsewhere() -> None:
    targets = [stream_events(leaving=True), stream_events(leaving=False)]
    async with live_world(targets, STREAM) as world:
        caller = await world.connect()
        for number in range(CALLS):
            assert (await caller.request(f"a{number}"))[2] == ALL_EVENTS
        assert requests_of(world) == [1, CALLS - 1]


async def test_stream_that_breaks_off_is_not_resumed_at_a_leaving_target() -> None:
    targets = [stream_events(leaving=True, cut_after=3), stream_events(leaving=False)]
    async with live_world(targets, STREAM) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[2] == ALL_EVENTS
        assert requests_of(world) == [1, 1]


async def test_scoring_requests_avoid_a_leaving_target() -> None:
    targets = [answer(Server_Leaving="1"), answer()]
    async with live_world(targets, route()) as world:
        table = RoutingTable(ConfigurationVersion(1), (route(),))
        scorer = SampleScorer(world.vms[0].forwarder, lambda: table, random.Random(1))
        for number in range(CALLS):
            scoring = ScoringRequest(f"s{number}", "host.example", "/score", b"")
            task = ScoringTask(f"{number}", scoring, 3, float("inf"), lambda: True)
            assert await scorer.score(task) == "stamp"
        assert requests_of(world) == [1, CALLS - 1]


async def test_caller_is_told_at_once_to_come_back_if_all_targets_leave() -> None:
    targets = [answer(Server_Leaving="1"), answer(Server_Leaving="1")]
    async with live_world(targets, route()) as world:
        caller = await world.connect()
        assert [(await caller.request(name))[0] for name in "ab"] == [200, 200]
        with anyio.fail_after(0.2):
            status, headers, _ = await caller.request("c")
        assert status == 503
        assert float(headers["retry-after"]) > 0.0
        assert requests_of(world) == [1, 1]


async def test_target_that_starts_again_under_its_id_is_new() -> None:
    async with live_world([answer(Server_Leaving="1")], route()) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[0] == 200
        assert (await caller.request("b"))[0] == 503
        world.restart_target(0, started_ms=5)
        assert (await caller.request("c"))[0] == 200


async def test_misdirected_request_says_nothing_of_the_target_that_was_meant() -> None:
    """Another target that is leaving has the address now."""
    other = answer("421 Misdirected Request", Server_Leaving="1")
    async with live_world([other, answer()], route()) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[0] == 200
        directory = world.vms[0].directory
        assert directory.takes_requests(listed_replica(0, world.targets[0]))


async def test_request_that_waited_is_not_sent_to_a_target_that_left_meanwhile() -> None:
    async with live_world([answer()], route()) as world:
        replica = listed_replica(0, world.targets[0])
        directory = ReplicaDirectory()
        directory.apply_entry(replica)
        pool = ConnectionPool(PoolLimits(), CORRELATION_HEADER)
        exchange = TargetExchange(
            pool,
            directory,
            replica,
            Request("GET", "/", (("Host", "h"),)),
            lambda: True,
            TargetLimits(),
        )
        directory.mark_leaving(replica)
        with pytest.raises(AttemptFailedError) as failure:
            await exchange.begin()
        assert not failure.value.perhaps_sent
        assert not world.targets[0].requests


class TestDirectory:
    def listed(self, started_ms: int = 0) -> ReplicaDirectory:
        directory = ReplicaDirectory()
        directory.apply_entry(self.replica(started_ms))
        return directory

    def replica(self, started_ms: int = 0):
        return listed_replica(0, RawTarget(answer(), "10.0.0.1:80"), started_ms)

    def test_announcement_outlasts_an_entry_that_lapsed_and_came_back(self) -> None:
        directory = self.listed()
        directory.mark_leaving(self.replica())
        directory.apply_removal(self.replica().target_id, 10.0)
        directory.apply_entry(self.replica())
        assert not directory.ready_replicas(SERVICE)

    def test_late_announcement_of_an_earlier_start_is_ignored(self) -> None:
        directory = self.listed(started_ms=5)
        assert not directory.mark_leaving(self.replica(started_ms=0))
        assert directory.takes_requests(self.replica(started_ms=5))

    def test_removal_after_an_announcement_is_planned(self) -> None:
        directory = self.listed()
        directory.mark_leaving(self.replica())
        (change,) = directory.apply_removal(self.replica().target_id, 10.0)
        assert change.is_planned
