"""Targets that send bytes without end, or bytes that are no progress, in a head, body or stream."""

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamcleat.decisions.stream_stall import SAMPLE_PAUSE_S, StallTimer, caller_patience_s
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import (
    ConnectionPool,
    EventParser,
    EventTooLargeError,
    PoolLimits,
    Request,
)
from balsamcleat.http1.exchange import GUARANTEED_RESPONSE_BYTES
from balsamcleat.http1.streams import RECEIVE_BYTES
from balsamcleat.model.routing import RouteKind
from live_world import live_world, response_bytes, route
from raw_target import RawTarget, Script, raw_target
from test_stream_forwarding import (
    ALL_EVENTS,
    EVENTS,
    STREAM,
    chunk,
    event_bytes,
    stream_script,
)

pytestmark = pytest.mark.anyio
HOST = ("Host", "host.example")
HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nAttempt-Id: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# Well below the timeout of the route, which is 2 s.
EARLY_S = 1.0

ENDLESS = {
    "before the head": (b"", b"x" * 4096),
    "blank lines": (b"", b"\r\n" * 2048),
    "status line": (b"HTTP/1.1 200 ", b"O" * 4096),
    "headers": (HEAD, b"X-Field: y\r\n" * 256),
    "one header": (HEAD + b"X-Field: ", b"y" * 4096),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64),
    "chunk size": (CHUNKED, b"0" * 4096),
    "chunk extension": (CHUNKED + b"5;", b"e" * 4096),
    "chunks": (CHUNKED, chunk(b"z" * 8192)),
    "body without length": (HEAD + b"\r\n", b"z" * 8192),
    "trailers": (CHUNKED + b"0\r\n", b"X-Field: y\r\n" * 256),
}
ENDLESS_STREAMS = {
    **{name: ENDLESS[name] for name in ENDLESS if name not in ("chunks", "body without length")},
    "lines that are no events": (CHUNKED, chunk(b"junk\n" * 1024)),
    "one endless field": (CHUNKED + chunk(b"id: 1\ndata: "), chunk(b"y" * 8192)),
    "events without ids": (CHUNKED, chunk(b"data: x\n\n" * 64)),
}


def endless(prefix: bytes, filler: bytes) -> Script:
    """Return a script that answers with bytes that end only when the connection is closed."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(prefix)
        while True:
            await stream.send(filler)

    return script


@pytest.mark.parametrize("name", ENDLESS)
async def test_endless_answer_costs_its_caller_an_early_failure(name: str) -> None:
    async with live_world([endless(*ENDLESS[name])], route(RouteKind.AT_MOST_ONCE)) as world:
        caller = await world.connect()
        with anyio.fail_after(EARLY_S):
            assert (await caller.request("a"))[0] == 502
            await world.targets[0].closed.wait()
        assert world.pool.buffered_bytes == 0


@pytest.mark.parametrize("name", ENDLESS)
async def test_endless_answer_is_replaced_by_another_target(name: str) -> None:
    async def good(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(response_bytes("a", b"fine"))

    async with live_world([endless(*ENDLESS[name]), good], route()) as world:
        caller = await world.connect()
        with anyio.fail_after(EARLY_S):
            assert (await caller.request("a"))[2] == b"fine"


@pytest.mark.parametrize("name", ENDLESS_STREAMS)
async def test_endless_stream_is_resumed_at_another_target(name: str) -> None:
    async with live_world([endless(*ENDLESS_STREAMS[name]), stream_script()], STREAM) as world:
        caller = await world.connect()
        with anyio.fail_after(EARLY_S):
            assert (await caller.request("a"))[2] == ALL_EVENTS
            await world.targets[0].closed.wait()


@pytest.mark.parametrize("status", [b"500 Internal Server Error", b"503 Service Unavailable"])
async def test_failure_with_an_endless_body_does_not_hold_up_a_stream(status: bytes) -> None:
    failure = CHUNKED.replace(b"200 OK", status)
    async with live_world([endless(failure, chunk(b"z" * 64))], STREAM) as world:
        caller = await world.connect()
        with anyio.fail_after(2.5):
            assert (await caller.request("a"))[0] in (502, 504)


async def test_not_run_stays_true_if_the_rest_of_the_answer_is_endless() -> None:
    rejection = CHUNKED.replace(b"200 OK", b"503 Service Unavailable\r\nNot-Run: 1")
    async with live_world([endless(rejection, chunk(b"z" * 8192))], STREAM) as world:
        caller = await world.connect()
        with anyio.fail_after(EARLY_S):
            assert (await caller.request("a"))[0] == 503


@pytest.mark.parametrize("filler", [b"x", b": comment\n\n"], ids=["bytes", "comments"])
async def test_stream_that_only_pretends_to_live_is_resumed_at_another_target(
    filler: bytes,
) -> None:
    """The target sends an event and then, now and then, bytes that are no event."""

    async def dribble(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(CHUNKED + chunk(event_bytes(1)))
        while True:
            await anyio.sleep(0.1)
            await stream.send(chunk(filler))

    async with live_world([dribble, stream_script()], STREAM) as world:
        caller = await world.connect()
        with anyio.fail_after(caller_patience_s(STREAM.objective_s)):
            _, _, body = await caller.request("a")
        assert b"".join(event_bytes(number) for number in range(1, EVENTS + 1)) == body.replace(
            b": comment\n\n", b""
        )


async def test_endless_answers_leave_memory_and_time_for_others() -> None:
    limits = PoolLimits(max_response_bytes=2 * 1024 * 1024, max_buffered_bytes=4 * 1024 * 1024)
    count = 20
    most = limits.max_buffered_bytes + count * (GUARANTEED_RESPONSE_BYTES + RECEIVE_BYTES)
    pool = ConnectionPool(limits)
    failures: list[AttemptFailedError] = []

    async def good(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        while True:
            await target.read_request(stream)
            await stream.send(response_bytes("a", b"y" * GUARANTEED_RESPONSE_BYTES))

    async def fetch_endless(address: str) -> None:
        with pytest.raises(AttemptFailedError) as failure:
            await pool.fetch(address, Request("GET", "/", (HOST,)), 10.0)
        failures.append(failure.value)

    async with raw_target(endless(*ENDLESS["chunks"])) as bad, raw_target(good) as target:
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(fetch_endless, bad.address)
            while len(failures) < count:
                response = await pool.fetch(target.address, Request("GET", "/", (HOST,)), 2.0)
                assert len(response.body) == GUARANTEED_RESPONSE_BYTES
                assert pool.buffered_bytes <= most
        assert pool.buffered_bytes == 0
    assert all("too large" in failure.message for failure in failures)


async def test_late_copy_of_an_answer_is_not_taken_for_a_repeated_request() -> None:
    """A target rejects a request, and sends the rejection again when the request is repeated.

    Both have the same id, so only the connection tells them apart.
    """
    rejection = response_bytes("a", b"", "503 Service Unavailable", Not_Run="1")

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(rejection)
        await target.read_request(stream)
        await stream.send(rejection + response_bytes("a", b"fine"))

    async with raw_target(script) as target:
        pool = ConnectionPool(PoolLimits(), "Attempt-Id")
        request = Request("GET", "/", (HOST, ("Attempt-Id", "a")))
        for _ in range(2):
            assert (await pool.fetch(target.address, request, 1.0)).status == 503
        assert target.connections == 2
        other = Request("GET", "/", (HOST, ("Attempt-Id", "b")))
        with pytest.raises(AttemptFailedError):
            await pool.fetch(target.address, other, 0.2)
        assert target.connections == 2


EVENT_TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\r\n"), max_size=12)
LINE_END = st.sampled_from(["\n", "\r\n"])


@given(st.lists(st.tuples(EVENT_TEXT, LINE_END), max_size=6), st.data())
def test_events_do_not_depend_on_where_the_bytes_are_cut(
    texts: list[tuple[str, str]], data: st.DataObject
) -> None:
    raw = "".join(
        f"id: {number}{end}data: {text}{end}{end}" for number, (text, end) in enumerate(texts)
    ).encode()
    cuts = sorted(data.draw(st.sets(st.integers(0, len(raw)))))
    parser = EventParser()
    events = []
    for start, stop in zip([0, *cuts], [*cuts, len(raw)], strict=True):
        events += parser.feed(raw[start:stop])
    assert [event.event_id for event in events] == list(range(len(texts)))
    assert [event.data for event in events] == [text for text, _ in texts]
    assert b"".join(event.raw for event in events) == raw
    assert not parser.buffer


@given(st.lists(st.binary(max_size=40), max_size=30))
def test_arbitrary_bytes_never_exceed_the_limit_of_an_event(pieces: list[bytes]) -> None:
    parser = EventParser(max_event_bytes=100)
    for piece in pieces:
        try:
            parser.feed(piece)
        except (EventTooLargeError, UnicodeDecodeError):
            return
        assert len(parser.buffer) <= 100


class TestStallTimer:
    def test_bytes_without_events_do_not_extend_the_pause(self) -> None:
        timer = StallTimer(SAMPLE_PAUSE_S, 0.0)
        timer.record_events(1, 0.1)
        timer.record_events(0, 1.0)
        assert timer.remaining_s(0.1 + SAMPLE_PAUSE_S) <= 0.0

    @pytest.mark.parametrize("pause_s", [0.3, 1.0, 5.0])
    def test_slow_stream_may_pause_for_longer(self, pause_s: float) -> None:
        """Without any measurement the first pause has the floor; later ones have their own."""
        timer = StallTimer(max(SAMPLE_PAUSE_S, pause_s), 0.0)
        for number in range(1, 4):
            timer.record_events(1, number * pause_s)
        assert timer.remaining_s(3 * pause_s + 4 * pause_s) > 0.0

    def test_slow_engine_is_known_from_its_other_streams(self) -> None:
        assert StallTimer(SAMPLE_PAUSE_S, 0.0, usual_pause_s=0.5).remaining_s(2.0) > 0.0
