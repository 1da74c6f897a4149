"""Many small pieces, in a body or a stream, leave the event loop to other requests.

In review case 12, one engine of four sent bodies of one-byte chunks without end. Other tasks ran
only after 256 KB of the wire, which are 43,000 such chunks, so that calls of another service got
no answer. Comments of a stream do the same.
"""

import contextlib
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import replace

import anyio
import anyio.abc
import anyio.lowlevel
import h11
import pytest

import balsamcleat.http1.events
from balsamcleat.adapters.http_client import new_client
from balsamcleat.adapters.http_engine import HttpEngine
from balsamcleat.adapters.http_service import HttpPlainService
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, PoolLimits, Request
from balsamcleat.model import GenerationRequest, RequestId, ServiceName
from live_world import attempt_id, live_world, response_bytes, route
from raw_target import RawTarget, Script, raw_target
from test_endless_answers import CHUNKED, HEAD, HOST
from test_http_client import CALL
from test_spoiled_events import run_sample
from test_stream_forwarding import ALL_EVENTS, STREAM, chunk, stream_script

pytestmark = pytest.mark.anyio

# Pieces that one connection may cause before other tasks run, with some room for the pieces that a
# step of the parser drops.
MAX_PIECES_PER_TURN = 100
PLAY_S = 0.4


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Turns:
    """Counts the pieces that are handled between two turns of a task that is always ready."""

    def __init__(self) -> None:
        self.pieces = 0
        self.most = 0
        self.total = 0

    def record(self) -> None:
        self.pieces += 1
        self.total += 1

    async def run(self) -> None:
        while True:
            self.most, self.pieces = max(self.most, self.pieces), 0
            await anyio.lowlevel.checkpoint()


@pytest.fixture
def turns(monkeypatch: pytest.MonkeyPatch) -> Iterator[Turns]:
    """Count the events of all parsers, of HTTP as well as of streams."""
    found = Turns()
    next_event, parse_event = h11.Connection.next_event, balsamcleat.http1.events.parse_event

    def counted_next_event(parser: h11.Connection) -> object:
        found.record()
        return next_event(parser)

    def counted_parse_event(block: bytes, raw: bytes) -> object:
        found.record()
        return parse_event(block, raw)

    monkeypatch.setattr(h11.Connection, "next_event", counted_next_event)
    monkeypatch.setattr(balsamcleat.http1.events, "parse_event", counted_parse_event)
    yield found


def endless(head: bytes, filler: bytes) -> Script:
    """Return a script that answers with bytes that end only when the connection is closed."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        attempt = attempt_id(await target.read_request(stream))
        await stream.send(head.replace(b"Attempt-Id: a", f"Attempt-Id: {attempt}".encode()))
        with contextlib.suppress(anyio.BrokenResourceError):
            while True:
                await stream.send(filler)

    return script


async def play(turns: Turns, action: Callable[[], Awaitable[None]]) -> None:
    """Perform an action for some time at most, and check the turns of other tasks meanwhile."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(turns.run)
        with anyio.move_on_after(PLAY_S):
            await action()
        tasks.cancel_scope.cancel()
    assert turns.total > 2 * MAX_PIECES_PER_TURN
    assert turns.most <= MAX_PIECES_PER_TURN


SMALL_CHUNKS = {f"chunks of {size}": chunk(b"x" * size) * 4000 for size in (1, 2, 4, 16)}
SMALL_EVENTS = {
    "comments": chunk(b":\n\n" * 20_000),
    "comments in lines of CRLF": chunk(b":\r\n\r\n" * 12_000),
    "lines of white space": chunk(b" \n\n" * 20_000),
    "comments in small chunks": chunk(b":\n\n") * 4000,
    "events": b"".join(chunk(b"id: %d\ndata: a\n\n" % number) for number in range(1, 5000)),
    "events in one chunk": chunk(
        b"".join(b"id: %d\ndata: a\n\n" % number for number in range(1, 5000))
    ),
}
SMALL_PIECES = SMALL_CHUNKS | SMALL_EVENTS


@pytest.mark.parametrize("name", SMALL_CHUNKS)
async def test_response_that_is_read_as_a_whole(name: str, turns: Turns) -> None:
    async with raw_target(endless(CHUNKED, SMALL_CHUNKS[name])) as target:
        pool = ConnectionPool(PoolLimits())

        async def fetch() -> None:
            with pytest.raises(AttemptFailedError):
                await pool.fetch(target.address, Request("GET", "/", (HOST,)), 5.0)

        await play(turns, fetch)


@pytest.mark.parametrize("name", SMALL_PIECES)
async def test_live_stream(name: str, turns: Turns) -> None:
    async with live_world([endless(CHUNKED, SMALL_PIECES[name])], STREAM) as world:
        caller = await world.connect()

        async def call() -> None:
            # The numbers begin anew after some thousand events, which ends the stream.
            with contextlib.suppress(anyio.BrokenResourceError):
                await caller.request("a")

        await play(turns, call)


@pytest.mark.parametrize("name", SMALL_PIECES)
async def test_sample(name: str, turns: Turns) -> None:
    head = CHUNKED.replace(b"\r\n\r\n", b"\r\nWeight-Versions: 1\r\n\r\n")
    script = endless(head, SMALL_PIECES[name])

    async def run() -> None:
        await run_sample(script)

    await play(turns, run)


async def test_body_of_a_request_of_a_caller(turns: Turns) -> None:
    async with live_world([endless(b"", b"")], route()) as world:
        caller = await world.connect()

        async def send() -> None:
            head = b"POST /x HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a\r\n"
            await caller.stream.send(head + b"Transfer-Encoding: chunked\r\n\r\n")
            while True:
                await caller.stream.send(SMALL_CHUNKS["chunks of 1"])

        await play(turns, send)


@pytest.mark.parametrize("name", SMALL_CHUNKS)
async def test_call_of_the_own_interface(name: str, turns: Turns) -> None:
    async with raw_target(endless(CHUNKED, SMALL_CHUNKS[name])) as target, new_client() as client:

        async def call() -> None:
            with pytest.raises(AttemptFailedError):
                await HttpPlainService(client, target.address).call(replace(CALL), 5.0)

        await play(turns, call)


@pytest.mark.parametrize("name", SMALL_CHUNKS)
async def test_generation_of_the_own_interface(name: str, turns: Turns) -> None:
    request = GenerationRequest(RequestId("r-1"), ServiceName("m"), "prompt", 10, 1, 1.0)
    async with raw_target(endless(CHUNKED, SMALL_CHUNKS[name])) as target, new_client() as client:

        async def generate() -> None:
            async for _ in HttpEngine(client, target.address).generate(request):
                pass

        await play(turns, generate)


async def test_calls_are_answered_beside_many_endless_responses() -> None:
    """Sixteen runs that are always ready share the event loop with the calls of another target."""
    pool = ConnectionPool(PoolLimits())

    async def good(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        while True:
            await target.read_request(stream)
            await stream.send(response_bytes("a", b"fine"))

    async def fetch_endless(address: str) -> None:
        with pytest.raises(AttemptFailedError):
            await pool.fetch(address, Request("GET", "/", (HOST,)), 5.0)

    bad = endless(CHUNKED, SMALL_CHUNKS["chunks of 1"])
    async with (
        raw_target(bad) as bad_target,
        raw_target(good) as target,
        anyio.create_task_group() as tasks,
    ):
        for _ in range(16):
            tasks.start_soon(fetch_endless, bad_target.address)
        await anyio.sleep(0.1)
        for _ in range(5):
            # The rule allows half a second beyond the timeout of a route.
            response = await pool.fetch(target.address, Request("GET", "/", (HOST,)), 0.5)
            assert response.body == b"fine"
        tasks.cancel_scope.cancel()


async def test_body_of_small_chunks_that_ends_is_an_answer() -> None:
    """A sound target may write its body byte by byte; the delays are for bodies without end."""
    body = b"y" * 2000
    whole = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\ny\r\n" * len(body) + b"0\r\n\r\n"

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(whole)

    async with live_world([script], route()) as world:
        caller = await world.connect()
        with anyio.fail_after(route().objective_s):
            assert (await caller.request("a"))[2] == body


async def test_stream_of_small_pieces_is_whole() -> None:
    """Comments and events that arrive together are all relayed, in their order."""
    comments = b": c\n\n" * 500

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(CHUNKED + chunk(comments + ALL_EVENTS + comments) + b"0\r\n\r\n")

    async with live_world([script, stream_script()], STREAM) as world:
        caller = await world.connect()
        body = (await caller.request("a"))[2]
        assert body == comments + ALL_EVENTS + comments
