"""An exchange tells a connection that its server ended from bytes that are no response."""

import anyio
import anyio.abc
import pytest

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Exchange, PoolLimits, Request
from balsamcleat.model import FailureKind
from balsamcleat.model.routing import RouteKind
from live_world import attempt_id, live_world, response_bytes, route
from raw_target import RawTarget, raw_target, send_raw_response

pytestmark = pytest.mark.anyio
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def failure_kind(raw: bytes) -> FailureKind:
    """Return the kind of failure when a server sends these bytes and closes the connection."""
    async with raw_target(send_raw_response(raw)) as target:
        exchange = Exchange(
            ConnectionPool(PoolLimits()), target.address, Request("GET", "/", (("Host", "h"),))
        )
        with pytest.raises(AttemptFailedError) as caught:
            await exchange.begin()
            await exchange.read_response()
        exchange.end()
        return caught.value.kind


@pytest.mark.parametrize(
    "raw",
    [b"", HEAD[:12], HEAD, HEAD + b"part", CHUNKED_HEAD, CHUNKED_HEAD + b"9\r\npart"],
    ids=["nothing", "part of the head", "head", "part of the body", "chunked head", "chunk"],
)
async def test_response_that_ends_early_is_cut(raw: bytes) -> None:
    """A server that crashes in the middle of a body was taken for one that sends nonsense."""
    assert await failure_kind(raw) is FailureKind.CUT


@pytest.mark.parametrize("raw", [b"nonsense\r\n\r\n", CHUNKED_HEAD + b"nonsense\r\n"])
async def test_bytes_that_are_no_response_are_malformed(raw: bytes) -> None:
    assert await failure_kind(raw) is FailureKind.MALFORMED


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
async def test_response_is_read_after_one_to_another_request(pause_s: float) -> None:
    """It was lost unless its first bytes arrived together with the other one."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        attempt = attempt_id(await target.read_request(stream))
        await stream.send(response_bytes("earlier", b"copy"))
        await anyio.sleep(pause_s)
        await stream.send(response_bytes(attempt, b"own"))

    async with live_world([script], route(RouteKind.AT_MOST_ONCE)) as world:
        caller = await world.connect()
        status, _, body = await caller.request("a1")
        assert (status, body) == (200, b"own")


async def test_connection_that_ends_after_a_response_to_another_request_is_cut() -> None:
    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(response_bytes("earlier", b"copy"))

    async with raw_target(script) as target:
        pool = ConnectionPool(PoolLimits(), "Attempt-Id")
        request = Request("GET", "/", (("Host", "h"), ("Attempt-Id", "a")))
        with pytest.raises(AttemptFailedError) as caught:
            await pool.fetch(target.address, request, 1.0)
        assert caught.value.kind is FailureKind.CUT
