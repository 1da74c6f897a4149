"""Connections kept by the HTTP/1.1 client."""

import socket

import pytest

from balsamcleat.http1 import ByteStream, ClientPool, PoolLimits
from balsamcleat.http1.client import Connection


def connection() -> tuple[Connection, socket.socket]:
    ours, theirs = socket.socketpair()
    sock = socket.socket()
    sock.close()
    return Connection(FakeStream(ours)), theirs


class FakeStream(ByteStream):
    """A stream on a socket pair, which takes no TCP options."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.peer = "pair"
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self.sock.close()


@pytest.mark.anyio
async def test_a_full_pool_closes_its_oldest_connection_also_after_an_address_was_emptied() -> None:
    pool = ClientPool(PoolLimits(idle_connections=1))
    first, keep_first = connection()
    pool.release("a:1", first, 10.0)
    assert pool.take_idle("a:1") is first
    second, keep_second = connection()
    third, keep_third = connection()
    pool.release("b:1", second, 10.0)
    pool.release("c:1", third, 10.0)
    assert second.stream.closed
    assert pool.take_idle("c:1") is third
    del keep_first, keep_second, keep_third


@pytest.mark.anyio
async def test_a_connection_with_unasked_bytes_is_never_reused() -> None:
    pool = ClientPool(PoolLimits())
    kept, theirs = connection()
    pool.release("a:1", kept, 10.0)
    theirs.send(b"HTTP/1.1 200 OK\r\n\r\n")
    assert pool.take_idle("a:1") is None
    assert kept.stream.closed
