"""Graceful shutdown of an HTTP server that completes the requests in flight."""

from collections.abc import Awaitable, Callable, Iterable

import anyio
import structlog
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from balsamcleat.adapters.http_server import BoundSocket, serve_app
from balsamcleat.adapters.tls import TlsServer
from balsamcleat.decisions.drain import Drain
from balsamcleat.ports import Clock

__all__ = ["DrainMiddleware", "serve_until_drained"]

HEALTH_PATH = "/v1/health"
CLOSE_HEADER = (b"connection", b"close")

log = structlog.get_logger()


class DrainMiddleware:
    """ASGI middleware that counts requests and closes connections during a drain.

    Connections are closed with a ``Connection: close`` header in a response. If the server closed
    an idle connection instead, the client could be sending a request on it at the same moment.

    Args:
        app: Wrapped ASGI application.
        drain: State machine of the drain.
        clock: Clock for the times of requests.
    """

    def __init__(self, app: ASGIApp, drain: Drain, clock: Clock) -> None:
        self.app = app
        self.drain = drain
        self.clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI connection; health checks are not counted as requests."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return

        async def closing_send(message: Message) -> None:
            if message["type"] == "http.response.start" and self.drain.is_leaving:
                message = {**message, "headers": with_connection_close(message.get("headers", ()))}
            await send(message)

        if scope["path"] == HEALTH_PATH:
            await self.app(scope, receive, closing_send)
            return
        self.drain.record_arrival(self.clock.now_s())
        try:
            await self.app(scope, receive, closing_send)
        finally:
            self.drain.record_end()


def with_connection_close(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers with exactly one ``Connection`` header, which is ``close``."""
    return [*(item for item in headers if item[0].lower() != CLOSE_HEADER[0]), CLOSE_HEADER]


async def serve_until_drained(
    app: DrainMiddleware,
    listening_socket: BoundSocket,
    drain_requested: anyio.Event,
    advertise: Callable[[], Awaitable[None]],
    tls: TlsServer | None = None,
) -> None:
    """Serve until ``drain_requested`` is set, then drain: announce, stop accepting, finish.

    Args:
        app: Application with the drain middleware.
        listening_socket: Socket that accepts connections; closed when the server has stopped.
        drain_requested: Event that starts the drain.
        advertise: Announces to the peers that this VM is leaving.
        tls: TLS configuration of the server, or None for plain HTTP.
    """
    drain, clock = app.drain, app.clock
    stop = anyio.Event()

    async def leave() -> None:
        await drain_requested.wait()
        drain.begin(clock.now_s())
        await advertise()
        while (wait_s := drain.remaining_accept_s(clock.now_s())) > 0:
            await clock.sleep(wait_s)
        log.info("stopped accepting", in_flight=drain.in_flight)
        stop.set()

    async with anyio.create_task_group() as group:
        group.start_soon(leave)
        await serve_app(app, listening_socket, stop, drain.times.total_s, tls)
        group.cancel_scope.cancel()
