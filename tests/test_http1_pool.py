"""Tests of the idle connections of the HTTP/1.1 connection pool."""

import socket
import time

import anyio
import anyio.abc
import pytest

from balsamcleat.http1 import ByteStream, ConnectionPool, IdleWatch, PoolLimits, Request
from balsamcleat.http1.connection_pool import PooledConnection
from raw_target import RawTarget, Script, raw_target

REQUEST = Request("GET", "/", (("Host", "host.example"),))
GOOD_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
# Time in which loopback delivers what was sent, and the event loop has handled it.
SOON_S = 0.1


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


def sends_later(extra: bytes, delay_s: float = 0.05) -> Script:
    """Return a script that responds, then sends what nobody asked for until it is cut off."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(GOOD_RESPONSE)
        await anyio.sleep(delay_s)
        while True:
            await stream.send(extra)

    return script


async def answers_and_keeps(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
    while True:
        await target.read_request(stream)
        await stream.send(GOOD_RESPONSE)


@pytest.mark.anyio
@pytest.mark.parametrize("extra", [b"x", GOOD_RESPONSE, b"y" * 65536])
async def test_idle_connection_with_unsolicited_bytes_is_closed_at_once(extra: bytes) -> None:
    """A target that sends without being asked fills buffers until the connection is closed."""
    watch = IdleWatch()
    pool = ConnectionPool(PoolLimits(), idle_watch=watch)
    async with raw_target(sends_later(extra)) as target, anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        assert (await pool.fetch(target.address, REQUEST, 1.0)).body == b"ok"
        assert pool.has_idle(target.address)
        with anyio.fail_after(0.05 + SOON_S):
            await target.closed.wait()
        assert not pool.has_idle(target.address)
        assert not watch.callbacks
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_unsolicited_bytes_on_one_connection_leave_the_others() -> None:
    watch = IdleWatch()
    pool = ConnectionPool(PoolLimits(), idle_watch=watch)
    async with (
        raw_target(sends_later(b"x")) as bad,
        raw_target(answers_and_keeps) as good,
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(watch.run)
        await pool.fetch(good.address, REQUEST, 1.0)
        await pool.fetch(bad.address, REQUEST, 1.0)
        with anyio.fail_after(1.0):
            await bad.closed.wait()
        await pool.fetch(good.address, REQUEST, 1.0)
        assert good.connections == 1
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_watched_connection_is_reused_and_not_taken_for_idle_during_a_response() -> None:
    """A response to a request must not count as unsolicited."""
    watch = IdleWatch()
    pool = ConnectionPool(PoolLimits(max_idle_connections=4), idle_watch=watch)
    async with raw_target(answers_and_keeps) as target, anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        for _ in range(50):
            assert (await pool.fetch(target.address, REQUEST, 1.0)).body == b"ok"
            await anyio.lowlevel.checkpoint()
        assert target.connections == 1
        async with anyio.create_task_group() as fetches:
            for _ in range(12):
                fetches.start_soon(pool.fetch, target.address, REQUEST, 1.0)
        assert len(watch.callbacks) == 4
        pool.close()
        assert not watch.callbacks
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_idle_connection_that_ended_frees_its_descriptor_at_once() -> None:
    async def answer_once(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(GOOD_RESPONSE)

    watch = IdleWatch()
    pool = ConnectionPool(PoolLimits(), idle_watch=watch)
    async with raw_target(answer_once) as target, anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        await pool.fetch(target.address, REQUEST, 1.0)
        await anyio.sleep(SOON_S)
        assert not pool.has_idle(target.address)
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_watching_many_idle_connections_costs_no_processor_time() -> None:
    """Half a core serves a VM; hundreds of idle connections must not be polled."""
    watch = IdleWatch()
    pool = ConnectionPool(PoolLimits(max_idle_connections=300), idle_watch=watch)
    pairs = [make_connection() for _ in range(200)]
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)
        for connection, _ in pairs:
            pool.release("a:1", connection, 10.0)
        await anyio.sleep(SOON_S)
        began_s = time.process_time()
        await anyio.sleep(0.5)
        assert time.process_time() - began_s < 0.05
        tasks.cancel_scope.cancel()
    pool.close()
    for _, server_socket in pairs:
        server_socket.close()
