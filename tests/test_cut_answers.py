"""An answer that breaks off, wherever it does, never reaches a caller as a whole one.

Operators of similar systems saw two faults. A target stopped in the middle of its answer's head,
and callers got a 200 with an empty or short body, framed as whole. A stream broke off and the next
target answered with an error, whose text or head callers found in the middle of their stream, or
the stream ended as if it were complete.
"""

import anyio
import pytest

from balsamcleat.model.routing import RouteKind
from live_world import live_world, response_bytes, route
from lost_links import Cut, LinkedNetwork
from raw_target import RawTarget, Script
from test_stream_forwarding import ALL_EVENTS, EVENTS, STREAM, chunk, event_bytes, stream_script

pytestmark = pytest.mark.anyio

BODY = b"the whole body"
ATTEMPT = "a"
HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nAttempt-Id: a\r\n"
WHOLE = {
    "length": response_bytes(ATTEMPT, BODY),
    "chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + chunk(BODY[:5])
    + chunk(BODY[5:])
    + b"0\r\n\r\n",
}
# Ends with the connection, so it can only be told from a whole answer in its head.
UNFRAMED_HEAD = HEAD + b"\r\n"
CUT_ERRORS = {
    "500": b"HTTP/1.1 500 Error\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nerror",
    "404": b"HTTP/1.1 404 Not Found\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nerror",
    "503": b"HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nerror",
    "503 that may have run": b"HTTP/1.1 503 Busy\r\nServer-Stamp: s\r\nContent-Length: 0\r\n\r\n",
    "421": b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 5\r\n\r\nerror",
    "error without length": b"HTTP/1.1 500 Error\r\nServer-Stamp: s\r\n\r\nid: 3\ndata: error\n\n",
    "error of events": b"HTTP/1.1 500 Error\r\nServer-Stamp: s\r\nContent-Length: 20\r\n\r\n"
    b"id: 3\ndata: error\n\n\n",
    "success without a stamp": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nerror",
    "page": b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 5\r\n\r\nerror",
    "page without length": b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\n\r\nerror",
    "part of a head": b"HTTP/1.1 500 Internal Server Error\r\nServer-St",
    "part of a good head": b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Enc",
    "nothing": b"",
    "no HTTP": b"error error error\r\n\r\n",
}


def answer_and_close(data: bytes) -> Script:
    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(data)

    return script


def good(attempt: str = ATTEMPT) -> Script:
    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(response_bytes(attempt, BODY))

    return script


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE])
@pytest.mark.parametrize("framing", WHOLE)
async def test_answer_cut_at_any_byte_is_no_success(framing: str, kind: RouteKind) -> None:
    whole = WHOLE[framing]
    for cut in range(len(whole)):
        async with live_world([answer_and_close(whole[:cut])], route(kind, attempts=1)) as world:
            caller = await world.connect()
            status, headers, body = await caller.request(ATTEMPT)
            assert status >= 500, (cut, whole[:cut], body)
            assert "server-stamp" not in headers


@pytest.mark.parametrize("framing", WHOLE)
async def test_answer_cut_at_any_byte_is_replaced_by_a_whole_one(framing: str) -> None:
    whole = WHOLE[framing]
    for cut in range(0, len(whole), 7):
        async with live_world([answer_and_close(whole[:cut]), good()], route()) as world:
            caller = await world.connect()
            status, _, body = await caller.request(ATTEMPT)
            assert (status, body) == (200, BODY), cut


async def test_answer_that_ends_with_its_connection_is_no_success_if_its_head_is_cut() -> None:
    for cut in range(len(UNFRAMED_HEAD)):
        script = answer_and_close(UNFRAMED_HEAD[:cut])
        async with live_world([script], route(RouteKind.AT_MOST_ONCE)) as world:
            caller = await world.connect()
            status, _, _ = await caller.request(ATTEMPT)
            assert status >= 500, cut


@pytest.mark.parametrize("cut", [0, 20, 40, 60, -1])
@pytest.mark.parametrize("framing", WHOLE)
async def test_answer_cut_behind_another_vm_is_no_success(
    framing: str, cut: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The VM that passes a request on must not frame a cut answer as a whole one."""
    script = answer_and_close(WHOLE[framing][:cut])
    network = LinkedNetwork(monkeypatch)
    live_route = route(RouteKind.AT_MOST_ONCE, attempts=1)
    async with live_world([script], live_route, vm_count=2, network=network) as world:
        await world.strand(0, Cut.REFUSE)
        with anyio.fail_after(5.0):
            while not world.targets[0].requests:
                caller = await world.connect()
                status, headers, _ = await caller.request(ATTEMPT)
                assert status >= 500
                assert "server-stamp" not in headers


@pytest.mark.parametrize("answer", CUT_ERRORS)
async def test_error_after_a_broken_stream_is_not_a_part_of_the_stream(answer: str) -> None:
    """The stream goes on at a third target, or ends without being complete."""
    scripts = [stream_script(cut_after=3), answer_and_close(CUT_ERRORS[answer]), stream_script()]
    live_route = route(RouteKind.STREAM, resumable=True, attempts=3)
    async with live_world(scripts, live_route) as world:
        for number in range(6):
            caller = await world.connect()
            try:
                status, _, body = await caller.request(f"{ATTEMPT}{number}")
            except (anyio.EndOfStream, anyio.BrokenResourceError, ConnectionError):
                continue
            if status == 200:
                assert body == ALL_EVENTS


@pytest.mark.parametrize("answer", CUT_ERRORS)
async def test_error_after_a_broken_stream_ends_it_as_incomplete(answer: str) -> None:
    """There is no third target; the caller must not take what it has for the whole stream."""
    scripts = [stream_script(cut_after=3), answer_and_close(CUT_ERRORS[answer])]
    live_route = route(RouteKind.STREAM, resumable=True, attempts=2)
    async with live_world(scripts, live_route) as world:
        received = b""
        for number in range(4):
            caller = await world.connect()
            received = await read_raw(caller, f"{ATTEMPT}{number}")
            assert b"error" not in received.partition(b"\r\n\r\n")[2] or not received.startswith(
                b"HTTP/1.1 200"
            )
            if received.startswith(b"HTTP/1.1 200"):
                assert not received.endswith(b"0\r\n\r\n")
                events = received.count(b"data: event")
                assert events < EVENTS
                assert received.count(b"HTTP/1.1") == 1


async def read_raw(caller, attempt: str) -> bytes:
    """Return all bytes that the caller gets until its connection ends."""
    request = (
        f"POST /p/x HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: {attempt}\r\n"
        "Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n"
    )
    await caller.stream.send(request.encode())
    received = b""
    try:
        with anyio.move_on_after(3.0):
            while True:
                received += await caller.stream.receive()
                if received.startswith((b"HTTP/1.1 5", b"HTTP/1.1 4")):
                    return received
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    return received


def test_events_of_the_tests_differ_from_those_of_the_errors() -> None:
    assert all(b"error" not in event_bytes(number) for number in range(1, EVENTS + 1))
    assert STREAM.resumable
