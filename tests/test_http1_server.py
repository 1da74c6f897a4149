"""Tests that the HTTP/1.1 server rejects bad input and answers each request exactly once."""

import anyio
import pytest

from balsamcleat.http1 import ServerLimits
from live_world import attempt_id, live_world, response_bytes, route
from raw_target import RawTarget

pytestmark = pytest.mark.anyio
LIMITS = ServerLimits(
    max_header_bytes=1024,
    max_body_bytes=5000,
    header_timeout_s=0.3,
    body_timeout_s=0.3,
    idle_timeout_s=0.5,
)
HEAD = b"POST /path HTTP/1.1\r\nHost: host.example\r\nAttempt-Id: a\r\n"


async def echo(target: RawTarget, stream) -> None:
    while True:
        await target.read_request(stream)
        attempt = attempt_id(target.requests[-1])
        await stream.send(response_bytes(attempt, target.requests[-1].partition(b"\r\n\r\n")[2]))


async def test_pipelined_requests_are_answered_in_order() -> None:
    async with live_world([echo], route(), LIMITS) as world:
        caller = await world.connect()
        for number in range(3):
            await caller.send_request(f"n{number}", body=f"body {number}".encode())
        for number in range(3):
            status, headers, body = await caller.read_response()
            assert (status, body) == (200, f"body {number}".encode())
            assert headers["attempt-id"] == f"n{number}"


async def test_request_received_byte_by_byte_is_answered() -> None:
    async with live_world([echo], route(), LIMITS) as world:
        caller = await world.connect()
        for byte in HEAD + b"Content-Length: 4\r\n\r\nbody":
            await caller.send(bytes([byte]))
        assert (await caller.read_response())[::2] == (200, b"body")


async def test_chunked_body_is_forwarded_completely() -> None:
    async with live_world([echo], route(), LIMITS) as world:
        caller = await world.connect()
        await caller.send(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n"
        )
        assert (await caller.read_response())[::2] == (200, b"body")


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
        (HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nbody", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\nbody", 501),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n", 400),
        (HEAD + b"Bad Header\r\n\r\n", 400),
        (b"nonsense\r\n\r\n", 400),
        (HEAD + b"X: " + b"x" * 2000 + b"\r\n\r\n", 431),
        (HEAD + b"Content-Length: 6000\r\n\r\n", 413),
        (HEAD + b"Transfer-Encoding: chunked\r\n\r\n1800\r\n" + b"x" * 6144 + b"\r\n", 413),
        (HEAD, 408),
        (HEAD + b"Content-Length: 6\r\n\r\nbo", 408),
    ],
)
async def test_bad_request_is_rejected_and_reaches_no_target(sent: bytes, status: int) -> None:
    """A malformed, ambiguous, too large or too slow request must not be forwarded."""
    async with live_world([echo], route(), LIMITS) as world:
        caller = await world.connect()
        await caller.send(sent)
        assert (await caller.read_response())[0] == status
        with pytest.raises(anyio.EndOfStream):
            await caller.read_response()
        assert not world.targets[0].requests


async def test_idle_connection_is_closed_without_a_response() -> None:
    async with live_world([echo], route(), LIMITS) as world:
        caller = await world.connect()
        await caller.request("a")
        with anyio.fail_after(1.0), pytest.raises(anyio.EndOfStream):
            await caller.stream.receive()


async def test_draining_server_answers_with_connection_close() -> None:
    """A client must not reuse a connection that the draining server is about to close."""
    async with live_world([echo], route(), LIMITS) as world:
        caller = await world.connect()
        await caller.request("a")
        world.server.start_draining()
        status, headers, _ = await caller.request("b")
        assert status == 200
        assert headers["connection"] == "close"
