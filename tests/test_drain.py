"""Graceful shutdown: it stops accepting in time and breaks off no request and no stream."""

from collections.abc import AsyncIterator

import anyio
import httpx
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from balsamcleat.adapters.http_server import bind
from balsamcleat.adapters.system import SystemClock
from balsamcleat.decisions.drain import Drain, DrainPhase, DrainTimes
from balsamcleat.tasks.graceful_shutdown import DrainMiddleware, serve_until_drained

TIMES = DrainTimes(advertise_s=5.0, total_s=120.0, quiet_s=1.0)


def test_leaving_vm_accepts_until_the_load_balancer_stops_sending() -> None:
    drain = Drain(TIMES)
    drain.begin(100.0)
    assert drain.remaining_accept_s(100.0) == 5.0
    drain.record_arrival(104.8)
    assert drain.remaining_accept_s(105.0) == pytest.approx(0.8)
    assert drain.remaining_accept_s(105.8) == 0.0
    assert drain.phase is DrainPhase.FINISHING


def test_load_balancer_that_never_stops_sending_does_not_delay_the_shutdown() -> None:
    drain = Drain(TIMES)
    drain.begin(0.0)
    now_s = 0.0
    while drain.remaining_accept_s(now_s) > 0:
        drain.record_arrival(now_s)
        now_s += 0.1
    assert now_s <= 60.2
    assert drain.remaining_s(now_s) > 59.0


@settings(derandomize=True, max_examples=50)
@given(st.lists(st.floats(0.0, 20.0), max_size=20))
def test_accepting_ends_in_time_for_any_arrivals(arrivals: list[float]) -> None:
    drain = Drain(TIMES)
    drain.begin(0.0)
    for at_s in sorted(arrivals):
        stopped = drain.remaining_accept_s(at_s) == 0.0
        if stopped:
            assert at_s >= TIMES.advertise_s
            return
        drain.record_arrival(at_s)
    assert drain.remaining_accept_s(21.0) == 0.0


class ObservedDrain(Drain):
    """A shutdown that signals when it stops accepting."""

    def __init__(self, times: DrainTimes) -> None:
        super().__init__(times)
        self.finishing = anyio.Event()

    def remaining_accept_s(self, now_s: float) -> float:
        remaining_s = super().remaining_accept_s(now_s)
        if remaining_s == 0.0:
            self.finishing.set()
        return remaining_s


class BlockingApplication:
    """An application with a stream and a call that block until the test releases them."""

    def __init__(self) -> None:
        self.begin = anyio.Event()
        self.advertised = anyio.Event()
        self.release = anyio.Event()
        self.entered = anyio.Semaphore(0)
        self.drain = ObservedDrain(DrainTimes(advertise_s=0.3, total_s=20.0, quiet_s=0.2))
        routes = [
            Route("/quick", self.quick),
            Route("/slow", self.slow),
            Route("/stream", self.stream),
        ]
        self.guard = DrainMiddleware(Starlette(routes=routes), self.drain, SystemClock())

    async def quick(self, request: Request) -> Response:
        return Response("quick")

    async def slow(self, request: Request) -> Response:
        self.entered.release()
        await self.release.wait()
        return Response("whole")

    async def stream(self, request: Request) -> Response:
        async def parts() -> AsyncIterator[bytes]:
            yield b"first "
            self.entered.release()
            await self.release.wait()
            for _ in range(100):
                yield b"x" * 1000
            yield b" last"

        return StreamingResponse(parts())

    async def advertise(self) -> None:
        self.advertised.set()


def test_shutdown_with_open_connections_breaks_off_no_request_or_stream() -> None:
    responses: dict[str, httpx.Response] = {}

    async def get(client: httpx.AsyncClient, path: str) -> None:
        responses[path] = await client.get(path)

    async def scenario() -> None:
        application = BlockingApplication()
        listener = bind("127.0.0.1", 0)
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        stopped = anyio.Event()

        async def serve() -> None:
            await serve_until_drained(
                application.guard, listener, application.begin, application.advertise
            )
            stopped.set()

        async with anyio.create_task_group() as group, httpx.AsyncClient(base_url=url) as client:
            group.start_soon(serve)
            # This connection stays open and idle while the shutdown begins.
            assert "connection" not in (await client.get("/quick")).headers
            async with anyio.create_task_group() as calls:
                for path in ("/slow", "/stream"):
                    calls.start_soon(get, client, path)
                    await application.entered.acquire()
                application.begin.set()
                await application.advertised.wait()
                # The load balancer lags and still sends a call, over a kept-alive connection.
                late = await client.get("/quick")
                assert (late.text, late.headers["connection"]) == ("quick", "close")
                await application.drain.finishing.wait()
                application.release.set()
            await stopped.wait()

    anyio.run(scenario)
    assert responses["/slow"].text == "whole"
    assert responses["/stream"].text == "first " + "x" * 100_000 + " last"
