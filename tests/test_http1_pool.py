"""Connections kept by the HTTP/1.1 client."""

import socket

import pytest

from balsamcleat.http1 import ByteStream, ConnectionPool, PoolLimits
from balsamcleat.http1.client import PooledConnection


def connection() -> tuple[PooledConnection, socket.socket]:
    ours, theirs = socket.socketpair()
    sock = socket.socket()
    sock.close()
    return PooledConnection(FakeStream(ours)), theirs


class FakeStream(ByteStream):
    """A stream on a socket pair, which takes no TCP options."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.remote_address = "pair"
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self.sock.close()


@pytest.mark.anyio
async def test_a_full_pool_closes_its_oldest_connection_also_after_an_address_was_emptied() -> None:
    pool = ConnectionPool(PoolLimits(max_idle_connections=1))
    first, keep_first = connection()
    pool.release("a:1", first, 10.0)
    assert pool.pop_idle_connection("a:1") is first
    second, keep_second = connection()
    third, keep_third = connection()
    pool.release("b:1", second, 10.0)
    pool.release("c:1", third, 10.0)
    assert second.stream.closed
    assert pool.pop_idle_connection("c:1") is third
    del keep_first, keep_second, keep_third


@pytest.mark.anyio
async def test_a_connection_with_unasked_bytes_is_never_reused() -> None:
    pool = ConnectionPool(PoolLimits())
    kept, theirs = connection()
    pool.release("a:1", kept, 10.0)
    theirs.send(b"HTTP/1.1 200 OK\r\n\r\n")
    assert pool.pop_idle_connection("a:1") is None
    assert kept.stream.closed
