"""Serve until a drain begins, then leave without cutting a request."""

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
    """Counts requests, and asks for connections to be closed while the node leaves.

    An idle connection that the node closes can cross a request on its way; one that the answer
    itself closes can't.

    Args:
        app: The application.
        drain: The decisions.
        clock: The clock.
    """

    def __init__(self, app: ASGIApp, drain: Drain, clock: Clock) -> None:
        self.app = app
        self.drain = drain
        self.clock = clock

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return

        async def closing_send(message: Message) -> None:
            if message["type"] == "http.response.start" and self.drain.leaving:
                message = {**message, "headers": with_connection_close(message.get("headers", ()))}
            await send(message)

        if scope["path"] == HEALTH_PATH:
            await self.app(scope, receive, closing_send)
            return
        self.drain.arrived(self.clock.now_s())
        try:
            await self.app(scope, receive, closing_send)
        finally:
            self.drain.ended()


def with_connection_close(headers: Iterable[tuple[bytes, bytes]]) -> list[tuple[bytes, bytes]]:
    """Return the headers with the connection's end asked for once."""
    return [*(item for item in headers if item[0].lower() != CLOSE_HEADER[0]), CLOSE_HEADER]


async def serve_until_drained(
    app: DrainMiddleware,
    listening_socket: BoundSocket,
    drain_requested: anyio.Event,
    advertise: Callable[[], Awaitable[None]],
    tls: TlsServer | None = None,
) -> None:
    """Serve until ``begin`` is set, advertise that, stop to accept, finish what is in flight.

    Args:
        app: The application behind its guard.
        listening_socket: The listening socket; closed afterwards.
        drain_requested: Set to begin the drain.
        advertise: Tells the others.
        tls: The TLS side, or None for plain HTTP.
    """
    drain, clock = app.drain, app.clock
    stop = anyio.Event()

    async def leave() -> None:
        await drain_requested.wait()
        drain.begin(clock.now_s())
        await advertise()
        while (wait_s := drain.wait_s(clock.now_s())) > 0:
            await clock.sleep(wait_s)
        log.info("stopped accepting", in_flight=drain.in_flight)
        stop.set()

    async with anyio.create_task_group() as group:
        group.start_soon(leave)
        await serve_app(app, listening_socket, stop, drain.times.whole_s, tls)
        group.cancel_scope.cancel()
