"""Socket options of the HTTP server."""

import socket

import anyio
import httpx
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import PlainTextResponse, Response
from starlette.routing import Route

from balsamcleat.adapters.http_server import bind, serve_app


def test_response_in_two_parts_does_not_wait_for_an_acknowledgement() -> None:
    async def hello(request: Request) -> Response:
        return PlainTextResponse("hello")

    async def run() -> None:
        bound, stop = bind("127.0.0.1", 0), anyio.Event()
        url = f"http://127.0.0.1:{bound.getsockname()[1]}/"
        app = Starlette(routes=[Route("/", hello)])
        async with anyio.create_task_group() as group, httpx.AsyncClient() as client:
            group.start_soon(serve_app, app, bound, stop, 1.0)
            assert (await client.get(url)).text == "hello"
            delays = {
                connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                for connection in bound.connections
            }
            assert delays == {1}
            stop.set()

    anyio.run(run)
