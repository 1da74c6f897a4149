"""A server that stops while requests arrive: none that reached it is cut off without an answer."""

import socket

import anyio
import anyio.to_thread
import pytest

from balsamcleat.http1 import HttpServer
from balsamcleat.http1.server import FIRST_REQUEST_GRACE_S
from server_world import running_server

pytestmark = pytest.mark.anyio
REQUEST = b"GET / HTTP/1.1\r\nHost: host.example\r\n\r\n"


def connect(server: HttpServer) -> socket.socket:
    """Return a blocking client connection; the server's tasks don't run meanwhile."""
    client = socket.create_connection(server.listener.getsockname())
    client.settimeout(2.0)
    return client


async def read_answer(client: socket.socket) -> bytes:
    with client:
        return await anyio.to_thread.run_sync(client.recv, 4096)


async def connect_and_wait(server: HttpServer) -> socket.socket:
    """Return a client connection that the server has accepted a while ago."""
    client = connect(server)
    await anyio.wait_all_tasks_blocked()
    (connection,) = server.connections
    connection.opened_at_s -= 2 * FIRST_REQUEST_GRACE_S
    return client


async def test_request_in_the_backlog_is_answered_when_the_server_stops_accepting() -> None:
    async with running_server() as server:
        client = connect(server)
        client.sendall(REQUEST)
        server.stop_accepting()
        assert (await read_answer(client)).endswith(b"fine")


async def test_request_on_a_kept_connection_is_answered_when_idle_connections_close() -> None:
    """The request has arrived, but the server has not read it yet."""
    async with running_server() as server:
        client = await connect_and_wait(server)
        client.sendall(REQUEST)
        server.close_idle_connections()
        assert server.has_open_requests
        assert (await read_answer(client)).endswith(b"fine")


async def test_request_that_is_half_received_counts_as_open() -> None:
    async with running_server() as server:
        client = await connect_and_wait(server)
        client.sendall(REQUEST[:10])
        await anyio.wait_all_tasks_blocked()
        server.start_draining()
        server.close_idle_connections()
        assert server.has_open_requests
        client.sendall(REQUEST[10:])
        assert (await read_answer(client)).endswith(b"fine")


async def test_new_connection_may_still_send_its_first_request() -> None:
    async with running_server() as server:
        client = connect(server)
        await anyio.wait_all_tasks_blocked()
        server.close_idle_connections()
        client.sendall(REQUEST)
        assert (await read_answer(client)).endswith(b"fine")


async def test_connection_without_a_request_is_closed_and_holds_up_nothing() -> None:
    async with running_server() as server:
        client = await connect_and_wait(server)
        assert not server.has_open_requests
        server.close_idle_connections()
        assert await read_answer(client) == b""
