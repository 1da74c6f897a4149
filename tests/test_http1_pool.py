"""Tests of the idle connections of the HTTP/1.1 connection pool."""

import socket

import pytest

from balsamcleat.http1 import ByteStream, ConnectionPool, PoolLimits
from balsamcleat.http1.client import PooledConnection


def make_connection() -> tuple[PooledConnection, socket.socket]:
    client_socket, server_socket = socket.socketpair()
    sock = socket.socket()
    sock.close()
    return PooledConnection(SocketPairStream(client_socket)), server_socket


class SocketPairStream(ByteStream):
    """Stream on a socket of a socket pair, which does not support TCP options."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.remote_address = "pair"
        self.closed = False

    def close(self) -> None:
        self.closed = True
        self.sock.close()


@pytest.mark.anyio
async def test_full_pool_closes_oldest_connection_after_address_has_no_more_idle_ones() -> None:
    """An address left without connections must not be the one to evict from.

    It would be first in the order of last use, and the pool would find no connection to close.
    """
    pool = ConnectionPool(PoolLimits(max_idle_connections=1))
    first, first_server_socket = make_connection()
    pool.release("a:1", first, 10.0)
    assert pool.pop_idle_connection("a:1") is first
    second, second_server_socket = make_connection()
    third, third_server_socket = make_connection()
    pool.release("b:1", second, 10.0)
    pool.release("c:1", third, 10.0)
    assert second.stream.closed
    assert pool.pop_idle_connection("c:1") is third
    # Until here, the references keep the server sockets open.
    del first_server_socket, second_server_socket, third_server_socket


@pytest.mark.anyio
async def test_connection_with_unsolicited_data_is_not_reused() -> None:
    """A late second response on an idle connection must not answer the next request."""
    pool = ConnectionPool(PoolLimits())
    idle, server_socket = make_connection()
    pool.release("a:1", idle, 10.0)
    server_socket.send(b"HTTP/1.1 200 OK\r\n\r\n")
    assert pool.pop_idle_connection("a:1") is None
    assert idle.stream.closed
