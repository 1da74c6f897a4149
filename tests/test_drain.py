"""Leaving: a graceful shutdown cuts no request and no stream."""

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


def test_a_leaving_node_accepts_until_the_balancer_has_learned() -> None:
    drain = Drain(TIMES)
    drain.begin(100.0)
    assert drain.remaining_accept_s(100.0) == 5.0
    drain.record_arrival(104.8)
    assert drain.remaining_accept_s(105.0) == pytest.approx(0.8)
    assert drain.remaining_accept_s(105.8) == 0.0
    assert drain.phase is DrainPhase.FINISHING


def test_a_balancer_that_never_learns_does_not_hold_a_node_beyond_its_bound() -> None:
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
def test_a_drain_stops_within_its_share_whatever_arrives(arrivals: list[float]) -> None:
    drain = Drain(TIMES)
    drain.begin(0.0)
    for at_s in sorted(arrivals):
        stopped = drain.remaining_accept_s(at_s) == 0.0
        if stopped:
            assert at_s >= TIMES.advertise_s
            return
        drain.record_arrival(at_s)
    assert drain.remaining_accept_s(21.0) == 0.0


class WatchedDrain(Drain):
    """Tells when it stops to accept."""

    def __init__(self, times: DrainTimes) -> None:
        super().__init__(times)
        self.finishing = anyio.Event()

    def remaining_accept_s(self, now_s: float) -> float:
        left_s = super().remaining_accept_s(now_s)
        if left_s == 0.0:
            self.finishing.set()
        return left_s


class Served:
    """An application with a stream and a call that wait to be released."""

    def __init__(self) -> None:
        self.begin = anyio.Event()
        self.advertised = anyio.Event()
        self.release = anyio.Event()
        self.entered = anyio.Semaphore(0)
        self.drain = WatchedDrain(DrainTimes(advertise_s=0.3, total_s=20.0, quiet_s=0.2))
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


def test_a_shutdown_cuts_no_request_and_no_stream_with_kept_connections_open() -> None:
    answers: dict[str, httpx.Response] = {}

    async def get(client: httpx.AsyncClient, path: str) -> None:
        answers[path] = await client.get(path)

    async def scenario() -> None:
        served = Served()
        bound = bind("127.0.0.1", 0)
        url = f"http://127.0.0.1:{bound.getsockname()[1]}"
        stopped = anyio.Event()

        async def serve() -> None:
            await serve_until_drained(served.guard, bound, served.begin, served.advertise)
            stopped.set()

        async with anyio.create_task_group() as group, httpx.AsyncClient(base_url=url) as client:
            group.start_soon(serve)
            # This connection stays open and idle while the node begins to leave.
            assert "connection" not in (await client.get("/quick")).headers
            async with anyio.create_task_group() as calls:
                for path in ("/slow", "/stream"):
                    calls.start_soon(get, client, path)
                    await served.entered.acquire()
                served.begin.set()
                await served.advertised.wait()
                # The balancer lags: a call still comes, over a kept connection.
                late = await client.get("/quick")
                assert (late.text, late.headers["connection"]) == ("quick", "close")
                await served.drain.finishing.wait()
                served.release.set()
            await stopped.wait()

    anyio.run(scenario)
    assert answers["/slow"].text == "whole"
    assert answers["/stream"].text == "first " + "x" * 100_000 + " last"
