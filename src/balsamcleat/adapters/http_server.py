"""Serves an ASGI application with hypercorn on a socket that is already bound."""

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
# A client that acknowledges no sent data for this long is disconnected. The kernel measures the
# time, also while the application has nothing left to write and hypercorn waits.
UNREAD_TIMEOUT_MS = 30_000
MAX_HEADER_BYTES = 16 * 1024
# Connections above this number are closed at once, which bounds the memory that they use.
MAX_CONNECTIONS = 8192

http_problems.install_problem_protocol()


class BoundSocket(socket.socket):
    """Listening socket that tracks its connections, so that a kill can close them."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.connections: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    def accept(self) -> tuple[socket.socket, Any]:
        """Accept a connection and track it until it is closed."""
        connection, address = super().accept()
        if len(self.connections) >= MAX_CONNECTIONS:
            connection.close()
            # For the event loop this means that there is no connection to accept now.
            raise BlockingIOError
        self.connections.add(connection)
        return connection, address

    def close_connections(self) -> None:
        """Close every connection; data that was not sent yet is lost."""
        for connection in list(self.connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def bind(host: str, port: int, unread_timeout_ms: int = UNREAD_TIMEOUT_MS) -> BoundSocket:
    """Return a listening TCP socket.

    Args:
        host: Address to listen on.
        port: Port to listen on; 0 for any free port.
        unread_timeout_ms: Time after which a client that acknowledges no sent data is
            disconnected, in milliseconds.
    """
    # The protocol is explicit, because asyncio disables Nagle's algorithm only for IPPROTO_TCP.
    # With it, a response written in two parts waits 40 ms for a delayed acknowledgement.
    bound = BoundSocket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit this option.
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
    """Serve until ``stop`` is set, then finish the requests in flight.

    Cancellation is a kill: every connection is closed without a response.

    Args:
        app: Application to serve.
        bound: Listening socket, which is closed at the end.
        stop: Event that begins a graceful shutdown when it is set.
        drain_timeout_s: Maximum duration of the shutdown, in seconds.
        tls: TLS context, or None for plain HTTP.
    """
    config = new_config(tls, drain_timeout_s)
    sockets = Sockets([], [bound], []) if tls is None else Sockets([bound], [], [])
    asyncio.get_running_loop().set_exception_handler(ignore_cancelled_connections)
    has_ended = anyio.Event()

    async def run() -> None:
        # hypercorn does not end cleanly when cancelled, so it is shielded and stopped by the event.
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
    """Return hypercorn's settings; its logs are off, because requests are counted elsewhere."""
    config = Config() if tls is None else TlsConfig(tls)
    config.graceful_timeout = drain_timeout_s
    config.keep_alive_timeout = KEEP_ALIVE_TIMEOUT_S
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.accesslog = None
    config.errorlog = None
    return config


def ignore_cancelled_connections(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    """Ignore the event loop's report of connections that this process cancelled.

    Python 3.11's stream protocol asks a cancelled connection task for its exception, which
    raises; later versions check first.
    """
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)
