"""An exchange tells a connection that its server ended from bytes that are no response."""

import pytest

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Exchange, PoolLimits, Request
from balsamcleat.model import FailureKind
from raw_target import raw_target, send_raw_response

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
