"""Answers that are none, on each way on which a target is read.

Operators of similar systems saw two faults. A target answered with a status that no response has,
such as 000, and the caller got it as an answer. Another one sent bytes without end, in a head or in
a body; the VM that had called it kept them all and ran out of memory, with the requests of others.
"""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from itertools import count
from pathlib import Path

import anyio
import anyio.abc
import pytest

import balsamcleat.platform
from balsamcleat.adapters import http_engine
from balsamcleat.adapters.http_client import new_client
from balsamcleat.adapters.http_engine import HttpEngine
from balsamcleat.adapters.http_service import HttpPlainService, HttpScorer
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, PoolLimits
from balsamcleat.model import (
    ConfigurationVersion,
    GenerationRequest,
    RequestId,
    Role,
    WeightVersion,
)
from balsamcleat.model.replicas import Replica
from balsamcleat.model.rollout import ScoringRequest
from balsamcleat.model.routing import RouteKind, RoutingTable
from balsamcleat.model.samples import Sample, SampleKey
from balsamcleat.platform import CORRELATION_HEADER, OrderOutcome, ReplicaControl
from balsamcleat.platform.orders import OrderResult
from balsamcleat.ports import Fence
from balsamcleat.tasks.sample_run import SampleEnd, SampleRunner
from balsamcleat.tasks.sample_scorer import SampleScorer, ScoringTask
from live_world import LiveWorld, attempt_id, listed_replica, live_world, response_bytes, route
from lost_links import Cut, LinkedNetwork
from raw_target import RawTarget, Script, raw_target
from test_http_client import CALL
from test_spoiled_events import GOOD, head, run_sample
from test_stream_forwarding import ALL_EVENTS, STREAM, chunk, stream_script

PLATFORM = Path(balsamcleat.platform.__file__).parent
STATUSES = ["000", "001", "099", "101", "600", "777", "999"]
BODY = b'{"models":[],"busy":false,"callSeq":1,"born":0}'
# Bytes that one request may cost: the largest body, beside what the kernel holds on loopback.
MOST_BYTES = 8 * 1024 * 1024 + 8 * 1024 * 1024
TIME_LIMIT_S = 8.0
# Timeout of requests of the own interface, which read an answer to its end or to this time.
OWN_TIMEOUT_S = 0.5
SCORING_S = 0.4
FILLER = b"z" * 65536
CHUNK = b"10000\r\n" + FILLER + b"\r\n"
OK_HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n"
# What comes once, and then without end.
ENDLESS = {
    "no head": (b"", FILLER),
    "status line": (b"HTTP/1.1 200 ", FILLER),
    "header": (OK_HEAD + b"X-Field: ", FILLER),
    "headers": (OK_HEAD, b"X-Field: y\r\n" * 4096),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "body without length": (OK_HEAD + b"\r\n", FILLER),
    "chunks": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "chunk extension": (OK_HEAD + b"Transfer-Encoding: chunked\r\n\r\n5;", FILLER),
    "failure": (b"HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
    "rejection": (b"HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK),
    "huge length": (OK_HEAD + b"Content-Length: 99999999999\r\n\r\n", FILLER),
}


def impossible(status: str) -> Script:
    """Return a script that answers with a status, and else like a sound target."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        while True:
            attempt = attempt_id(await target.read_message(stream))
            head = f"HTTP/1.1 {status} X\r\nServer-Stamp: s\r\nWeight-Versions: 1\r\n"
            head += f"Attempt-Id: {attempt}\r\n" if attempt else ""
            head += f"Content-Type: application/json\r\nContent-Length: {len(BODY)}\r\n\r\n"
            target.requests.append(head.encode())
            await stream.send(head.encode() + BODY)

    return script


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_engine, "FRAME_TIMEOUT_S", OWN_TIMEOUT_S)
    monkeypatch.setattr(http_engine, "CONTROL_TIMEOUT_S", OWN_TIMEOUT_S)


@dataclass
class Flood:
    """Target that answers with bytes without end, and counts them."""

    first: bytes
    filler: bytes
    sent: int = 0

    async def script(self, target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        target.requests.append(await target.read_message(stream))
        await stream.send(self.first)
        while True:
            await stream.send(self.filler)
            self.sent += len(self.filler)


# Ways on which a target is read. Each reads an answer of one target, and returns whether what came
# of it is a failure that nobody can take for an answer.

Way = Callable[[Script], Awaitable[bool]]


async def call(script: Script, kind: RouteKind) -> bool:
    async with live_world([script], route(kind, attempts=1)) as world:
        return await fails_as_own_error(world)


async def fails_as_own_error(world: LiveWorld) -> bool:
    caller = await world.connect()
    status, headers, body = await caller.request("a1")
    assert "server-stamp" not in headers
    assert BODY not in body
    return status in (502, 503, 504)


async def safe_call(script: Script) -> bool:
    return await call(script, RouteKind.IDEMPOTENT)


async def unsafe_call(script: Script) -> bool:
    return await call(script, RouteKind.AT_MOST_ONCE)


async def stream_begin(script: Script) -> bool:
    async with live_world([script], route(RouteKind.STREAM, attempts=1)) as world:
        try:
            return await fails_as_own_error(world)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            # The head had reached the caller, whose stream ends without its end.
            return True


async def stream_resumption(script: Script) -> bool:
    """The stream breaks off at one target and goes on at another one."""
    async with live_world([stream_script(cut_after=3), script, stream_script()], STREAM) as world:
        for number in range(3):
            caller = await world.connect()
            status, _, body = await caller.request(f"a{number}")
            assert status != 200 or body == ALL_EVENTS
    return True


async def sample(script: Script) -> bool:
    with anyio.fail_after(TIME_LIMIT_S):
        outcome, progress = await run_sample(script)
    assert not progress.events
    return outcome.end in (SampleEnd.INTERRUPTED, SampleEnd.FAILED)


async def scoring_request(script: Script) -> bool:
    table = RoutingTable(ConfigurationVersion(1), (route(attempts=3),))
    async with live_world([script], route()) as world:
        scorer = SampleScorer(
            world.vms[0].forwarder, lambda: table, world.vms[0].forwarder.generator
        )
        scoring = ScoringRequest("score-1", "host.example", "/score/1", b"text")
        expires_s = anyio.current_time() + SCORING_S
        task = ScoringTask("sample-1", scoring, 3, expires_s, lambda: True)
        score = None
        with anyio.move_on_after(SCORING_S):
            score = await scorer.score(task)
        return score is None


async def passed_on_call(script: Script, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Another VM passes the request on."""
    network = LinkedNetwork(monkeypatch)
    live_route = route(RouteKind.AT_MOST_ONCE, attempts=1, timeout_s=6.0)
    async with live_world([script], live_route, vm_count=2, network=network) as world:
        await world.strand(0, Cut.REFUSE)
        has_failed = True
        while not world.targets[0].requests:
            has_failed = await fails_as_own_error(world)
        return has_failed


async def report(script: Script) -> bool:
    async with control(script) as (replica_control, replica):
        with pytest.raises(AttemptFailedError):
            await replica_control.fetch_report(replica)
    return True


async def order(script: Script) -> bool:
    async with control(script) as (replica_control, replica):
        outcome = await order_load(replica_control, replica)
    return outcome.result is OrderResult.UNKNOWN


async def order_load(replica_control: ReplicaControl, replica: Replica) -> OrderOutcome:
    """Order a target to load a weight version."""
    return await replica_control.order_load(
        replica,
        "m",
        WeightVersion(2),
        fencing_token=1,
        order_count=0,
        continue_samples=True,
        is_permitted=lambda: True,
    )


@asynccontextmanager
async def control(script: Script) -> AsyncIterator[tuple[ReplicaControl, Replica]]:
    async with raw_target(script) as target:
        pool = ConnectionPool(PoolLimits(), CORRELATION_HEADER)
        yield ReplicaControl(pool, "vm-1"), listed_replica(0, target)
        pool.close()


async def start_of_target(script: Script) -> bool:
    """The target is asked for its start before a sample goes on there."""
    async with raw_target(script) as target:
        replica = replace(listed_replica(0, target), started_ms=7)
        directory = ReplicaDirectory()
        directory.apply_entry(replica)
        pool = ConnectionPool(PoolLimits(), CORRELATION_HEADER)
        runner = SampleRunner(pool, directory, ReplicaStatsRegistry())
        is_confirmed = await runner.confirm_start(replica)
        pool.close()
        return not is_confirmed


def own(use: Callable[[HttpEngine], Awaitable[object]]) -> Way:
    """Return the way of a request to an engine of the own interface."""

    async def way(script: Script) -> bool:
        async with raw_target(script) as target, new_client() as client:
            with pytest.raises(AttemptFailedError):
                await use(HttpEngine(client, target.address))
        return True

    return way


async def own_generation(engine: HttpEngine) -> None:
    request = GenerationRequest(RequestId("r"), "m", "prompt", 10)
    with anyio.fail_after(TIME_LIMIT_S):
        async for _ in engine.generate(request):
            raise AssertionError("no frame was sent")


async def own_call(script: Script) -> bool:
    async with raw_target(script) as target, new_client(reuse=False) as client:
        with pytest.raises(AttemptFailedError):
            answer = await HttpPlainService(client, target.address).call(CALL, OWN_TIMEOUT_S)
            # An error of the service is an answer, if it is whole.
            assert answer.status == 500, answer.status
    return True


async def own_score(script: Script) -> bool:
    async with raw_target(script) as target, new_client(reuse=False) as client:
        scored = Sample(SampleKey(0, 0), "text", 1, (), "stop")
        with pytest.raises(AttemptFailedError):
            await HttpScorer(client, target.address).score("prompt", scored, OWN_TIMEOUT_S)
    return True


FENCE = Fence(1)
WAYS: dict[str, Way] = {
    "safe call": safe_call,
    "unsafe call": unsafe_call,
    "stream": stream_begin,
    "resumed stream": stream_resumption,
    "sample": sample,
    "scoring request": scoring_request,
    "report": report,
    "order": order,
    "start": start_of_target,
    "own call": own_call,
    "own score": own_score,
    "own generation": own(own_generation),
    "own load report": own(lambda engine: engine.load_report()),
    "own state": own(lambda engine: engine.state()),
    "own cache events": own(lambda engine: engine.cache_events(0)),
    "own order": own(lambda engine: engine.order_load(WeightVersion(2), (), FENCE)),
    "own role": own(lambda engine: engine.order_role(Role.MIXED, FENCE)),
    "own KV export": own(lambda engine: engine.export_kv(RequestId("r"))),
    "own cancellation": own(lambda engine: engine.cancel(RequestId("r"))),
}


@pytest.mark.anyio
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("way", WAYS)
async def test_status_that_no_response_has_is_no_answer(way: str, status: str) -> None:
    with anyio.fail_after(TIME_LIMIT_S):
        assert await WAYS[way](impossible(status))


@pytest.mark.anyio
@pytest.mark.parametrize("status", STATUSES)
async def test_status_that_no_response_has_is_no_answer_behind_another_vm(
    status: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    with anyio.fail_after(TIME_LIMIT_S):
        assert await passed_on_call(impossible(status), monkeypatch)


@pytest.mark.anyio
@pytest.mark.parametrize("name", ENDLESS)
@pytest.mark.parametrize("way", WAYS)
async def test_bytes_without_end_are_not_kept(way: str, name: str) -> None:
    flood = Flood(*ENDLESS[name])
    with anyio.fail_after(TIME_LIMIT_S):
        assert await WAYS[way](flood.script)
    assert flood.sent < MOST_BYTES * count_of_requests(way)


def count_of_requests(way: str) -> int:
    """Return the most requests that a way sends to its target."""
    return {"scoring request": 9, "resumed stream": 3}.get(way, 1)


@pytest.mark.anyio
@pytest.mark.parametrize("name", ENDLESS)
async def test_bytes_without_end_are_not_kept_behind_another_vm(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    flood = Flood(*ENDLESS[name])
    with anyio.fail_after(TIME_LIMIT_S):
        assert await passed_on_call(flood.script, monkeypatch)
    assert flood.sent < MOST_BYTES


@pytest.mark.anyio
async def test_sound_answers_pass_on_all_ways() -> None:
    """The scripts fail for their status and their length, and for nothing else."""

    async def good(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        attempt = attempt_id(await target.read_message(stream))
        await stream.send(response_bytes(attempt, BODY))

    async with live_world([good], route()) as world:
        caller = await world.connect()
        assert (await caller.request("a1"))[2] == BODY
    async with control(impossible("200")) as (replica_control, replica):
        assert (await replica_control.fetch_report(replica)).order_count == 1
    async with live_world([GOOD], STREAM) as world:
        caller = await world.connect()
        assert (await caller.request("a1"))[2] == ALL_EVENTS
    async with raw_target(impossible("500")) as target, new_client(reuse=False) as client:
        answer = await HttpPlainService(client, target.address).call(CALL, OWN_TIMEOUT_S)
        assert (answer.status, answer.body) == (500, BODY)


@pytest.mark.anyio
async def test_events_without_end_are_not_kept_as_a_sample() -> None:
    """Each of the events is sound, but no text is that large."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await stream.send(head(await target.read_message(stream)))
        for number in count(1):
            event = f"id: {number}\ndata: {'y' * 4096}\n\n".encode()
            await stream.send(chunk(event))

    with anyio.fail_after(TIME_LIMIT_S):
        outcome, progress = await run_sample(script)
    assert outcome.end is SampleEnd.INTERRUPTED
    assert not progress.events


def test_no_call_about_the_memory_of_engines_is_sent() -> None:
    """A call that is not sent has no answer; one that is added needs its way above."""
    sources = "".join(path.read_text() for path in PLATFORM.rglob("*.py"))
    assert "/report" in sources
    for path in ("/kv-events", "/kv-list", "/kv-move", "/kv-pin", "/kv-handle", "/hold-take"):
        assert path not in sources
