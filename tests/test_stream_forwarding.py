"""Live streams over sockets: each event once and in order, even if a target's stream breaks."""

import anyio
import pytest

from balsamcleat.model.routing import RouteKind
from live_world import attempt_id, live_world, route
from raw_target import RawTarget

pytestmark = pytest.mark.anyio
EVENTS = 6
STREAM = route(RouteKind.STREAM, resumable=True)


def event_bytes(number: int) -> bytes:
    return f"id: {number}\ndata: event {number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def echoed_id(request: bytes) -> bytes:
    """Return the header line by which a target says which request it answers."""
    return f"Attempt-Id: {attempt_id(request)}\r\n".encode()


def stream_script(cut_after: int | None = None, skip: int | None = None, headers: bytes = b""):
    """Return a target script that streams events.

    Args:
        cut_after: Number of the event in the middle of which the stream ends.
        skip: Number of the event that is left out.
        headers: Further header lines of the response.
    """

    async def script(target: RawTarget, stream) -> None:
        received = await target.read_request(stream)
        first = 1
        for line in received.decode().split("\r\n"):
            if line.startswith("Last-Event-Id:"):
                first = int(line.split(":")[1]) + 1
        await stream.send(
            b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\n" + headers + echoed_id(received) + b"\r\n"
        )
        for number in range(first, EVENTS + 1):
            if number == skip:
                continue
            if number == cut_after:
                await stream.send(chunk(event_bytes(number)[:7]))
                return
            await stream.send(chunk(event_bytes(number)))
        await stream.send(b"0\r\n\r\n")

    return script


ALL_EVENTS = b"".join(event_bytes(number) for number in range(1, EVENTS + 1))


async def test_stream_is_relayed_unchanged() -> None:
    async with live_world([stream_script()], STREAM) as world:
        caller = await world.connect()
        status, headers, body = await caller.request("a")
        assert (status, body) == (200, ALL_EVENTS)
        assert headers["server-stamp"] == "s"


@pytest.mark.parametrize("broken", [stream_script(cut_after=3), stream_script(skip=3)])
async def test_broken_stream_resumes_at_another_target_without_gap_or_duplicate(broken) -> None:
    async with live_world([broken, stream_script()], STREAM) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[2] == ALL_EVENTS


async def test_stream_that_is_not_resumable_ends_with_a_connection_error() -> None:
    async with live_world(
        [stream_script(cut_after=3), stream_script()], route(RouteKind.STREAM)
    ) as world:
        caller = await world.connect()
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await caller.request("a")
        assert not world.targets[1].requests


async def test_caller_resumes_after_its_last_event_id() -> None:
    async with live_world([stream_script(cut_after=5), stream_script()], STREAM) as world:
        caller = await world.connect()
        await caller.request("a")
        resumption = "Resumes: a\r\nLast-Event-Id: 3\r\n"
        _, _, body = await caller.request("b", extra_headers=resumption)
        assert body == b"".join(event_bytes(number) for number in range(4, EVENTS + 1))
