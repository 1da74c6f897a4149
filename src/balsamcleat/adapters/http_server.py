"""Serve an ASGI application with hypercorn on a socket that is already bound."""

import asyncio
import socket
import weakref
from contextlib import suppress
from typing import Any, cast

import anyio
from hypercorn.app_wrappers import ASGIWrapper
from hypercorn.asyncio.run import worker_serve
from hypercorn.config import Config, Sockets
from hypercorn.typing import ASGIFramework
from starlette.types import ASGIApp

from balsamcleat.adapters import http_problems
from balsamcleat.adapters.tls import TlsConfig, TlsServer

__all__ = ["BoundSocket", "bind", "serve_app"]

KEEP_ALIVE_TIMEOUT_S = 75
BACKLOG = 512
# A client that takes nothing of what was sent for this long loses its connection. The kernel
# counts it, also while the application has nothing left to write and hypercorn waits.
UNREAD_TIMEOUT_MS = 30_000
MAX_HEADER_BYTES = 16 * 1024
# Above this, connections are closed at once, so that their number can't exhaust memory.
MAX_CONNECTIONS = 8192

http_problems.install_problem_protocol()


class BoundSocket(socket.socket):
    """A listening socket that knows its connections, so that a kill can cut them."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.connections: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection and remember it for as long as it lives."""
        connection, address = super().accept()
        if len(self.connections) >= MAX_CONNECTIONS:
            connection.close()
            # What the event loop takes for "nothing more to accept now".
            raise BlockingIOError
        self.connections.add(connection)
        return connection, address

    def close_connections(self) -> None:
        """Cut every connection; what was not sent yet never is."""
        for connection in list(self.connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def bind(host: str, port: int, unread_timeout_ms: int = UNREAD_TIMEOUT_MS) -> BoundSocket:
    """Return a listening TCP socket; port 0 takes any free one.

    Args:
        host: The host.
        port: The port.
        unread_timeout_ms: How long a client may leave all that was sent unread.
    """
    # Named outright, because asyncio turns Nagle's algorithm off only where the protocol is TCP by
    # name; with it on, an answer written in two parts waits 40 ms for a delayed acknowledgement.
    bound = BoundSocket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit it.
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unread_timeout_ms)
    bound.bind((host, port))
    bound.listen(BACKLOG)
    bound.setblocking(False)
    return bound


async def serve_app(
    app: ASGIApp,
    bound: BoundSocket,
    stop: anyio.Event,
    drain_timeout_s: float,
    tls: TlsServer | None = None,
) -> None:
    """Serve until ``stop`` is set, then finish what is in flight.

    Cancelling it is a kill: every connection is cut without an answer.

    Args:
        app: The application.
        bound: The listening socket; closed afterwards.
        stop: Set to begin a graceful shutdown.
        drain_timeout_s: The longest the shutdown may take, in seconds.
        tls: The TLS side, or None for plain HTTP.
    """
    config = new_config(tls, drain_timeout_s)
    sockets = Sockets([], [bound], []) if tls is None else Sockets([bound], [], [])
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled_connections)
    has_ended = anyio.Event()

    async def run() -> None:
        # hypercorn does not end cleanly when cancelled, so it is shielded and told to stop.
        with anyio.CancelScope(shield=True):
            await worker_serve(
                ASGIWrapper(cast(ASGIFramework, app)),
                config,
                sockets=sockets,
                shutdown_trigger=stop.wait,
            )
        has_ended.set()

    async with anyio.create_task_group() as group:
        group.start_soon(run)
        try:
            await has_ended.wait()
        except anyio.get_cancelled_exc_class():
            bound.close_connections()
            config.graceful_timeout = 0.0
            stop.set()
            raise


def new_config(tls: TlsServer | None, drain_timeout_s: float) -> Config:
    """Return hypercorn's settings, with its own logs off: what happens is counted."""
    config = Config() if tls is None else TlsConfig(tls)
    config.graceful_timeout = drain_timeout_s
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.accesslog = None
    config.errorlog = None
    return config


def ignore_cancelled_connections(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Drop the event loop's report of connections that we cancelled ourselves.

    Python 3.11's stream protocol asks a cancelled connection task for its exception, which
    raises; later versions check first.
    """
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)
