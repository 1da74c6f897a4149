"""An HTTP server of one test on a port of this machine."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio

from balsamcleat.http1 import Handler, HttpServer, Request, Responder, Response, ServerLimits
from balsamcleat.http1.streams import listen


async def answer_fine(request: Request, responder: Responder) -> None:
    await responder.send(Response(200, (), b"fine"))


@asynccontextmanager
async def running_server(
    handler: Handler = answer_fine, limits: Callable[[], ServerLimits] = ServerLimits
) -> AsyncIterator[HttpServer]:
    """Run a server that accepts connections until the block ends."""
    server = HttpServer(listen("127.0.0.1:0"), handler, limits)
    async with anyio.create_task_group() as group:
        group.start_soon(server.run)
        await anyio.wait_all_tasks_blocked()
        yield server
        server.stop_accepting()
        group.cancel_scope.cancel()
