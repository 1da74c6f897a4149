"""Probes of the entry process: live calls and streamed tokens, through it and straight."""

import os
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import anyio
import anyio.lowlevel
import structlog

from balsamcleat.bench.probes.base import Probe, Quantity, spend
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.http1 import (
    ConnectionPool,
    Exchange,
    HttpServer,
    PoolLimits,
    Request,
    Responder,
    Response,
    ServerLimits,
    listen,
)
from balsamcleat.model import ServiceName, TargetId, ZoneName
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import Route, RouteKind, WeightedService
from balsamcleat.platform import CORRELATION_HEADER, stand_in_response_headers
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks.crash_detector import CrashDetector
from balsamcleat.tasks.crash_guard import CrashGuard
from balsamcleat.tasks.live_forwarder import LiveForwarder
from balsamcleat.tasks.live_queues import LiveQueues
from balsamcleat.tasks.shared_crash_history import SharedCrashHistory
from balsamcleat.tasks.stream_forwarder import StreamForwarder
from balsamcleat.tasks.stream_register import StreamRegister

__all__ = ["EntryCallProbe", "EntryTokenProbe"]

SERVICE = ServiceName("probed")
ZONE = ZoneName("zone-a")
SLOTS = 64
CONCURRENCY = 8
FRAME_TOKENS = 4
STREAM_FRAMES = 200
# One frame of a stream; a number and the text of its tokens.
FRAME = "id: {number}\ndata: four tokens of text, {number}\n\n"

Ask = Callable[[ConnectionPool, str, int], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class EntryStage:
    """Addresses of an entry and of the target behind it."""

    entry: str
    target: str


async def answer_as_target(request: Request, responder: Responder) -> None:
    """Answer as a target does: a short body, or a stream of frames."""
    headers = stand_in_response_headers(request.headers)
    if request.path != "/stream":
        await responder.send(Response(200, headers, request.body))
        return
    await responder.start_chunked(200, headers)
    for number in range(1, STREAM_FRAMES + 1):
        await responder.write(FRAME.format(number=number).encode())
        await anyio.lowlevel.checkpoint()
    await responder.finish()


def route(kind: RouteKind) -> Route:
    """Return the only route of the entry."""
    return Route(
        name="probed",
        host="probed",
        prefix="/",
        kind=kind,
        shares=(WeightedService(SERVICE),),
        timeout_s=30.0,
        objective_s=10.0,
        attempts=2,
    )


@asynccontextmanager
async def entry_stage(kind: RouteKind) -> AsyncIterator[EntryStage]:
    """Run an entry and a target on loopback."""
    async with anyio.create_task_group() as tasks:

        def serve(handler: Callable[[Request, Responder], Awaitable[None]]) -> str:
            listener = listen("127.0.0.1:0")
            tasks.start_soon(HttpServer(listener, handler, lambda: ServerLimits()).run)
            host, port = listener.getsockname()
            return f"{host}:{port}"

        target = serve(answer_as_target)
        directory, book = ReplicaDirectory(), ReplicaStatsRegistry()
        replica = Replica(TargetId("t"), SERVICE, target, ZONE, ReplicaState.READY, SLOTS)
        directory.apply_entry(replica)
        generator = random.Random(1)
        queues = LiveQueues(directory, book, generator)
        history = SharedCrashHistory(RowStoreView(MemoryRowStore()), lambda: 0)
        guard = CrashGuard(CrashDetector(history, lambda _: True, lambda: True))
        pool = ConnectionPool(PoolLimits(), CORRELATION_HEADER)
        forwarder = LiveForwarder(directory, book, pool, ZONE, generator, guard, queues)
        register = StreamRegister("vm", pool, lambda: [], directory)
        streams = StreamForwarder(forwarder, register)
        answerer = streams if kind is RouteKind.STREAM else forwarder
        only = route(kind)

        async def answer(request: Request, responder: Responder) -> None:
            await answerer.answer(request, only, responder, 1)

        yield EntryStage(serve(answer), target)
        tasks.cancel_scope.cancel()


async def spend_at(ask: Ask, address: str, count: int) -> float:
    """Return the processor seconds of ``count`` questions to an address."""
    pool = ConnectionPool(PoolLimits())
    seconds = await spend(partial(ask, pool, address), count, CONCURRENCY)
    pool.close()
    return seconds


async def added(ask: Ask, kind: RouteKind, count: int) -> float:
    """Return the processor seconds that the entry adds to ``count`` questions."""
    async with entry_stage(kind) as stage:
        for address in (stage.target, stage.entry):
            await spend_at(ask, address, CONCURRENCY)
        direct_s = await spend_at(ask, stage.target, count)
        through_s = await spend_at(ask, stage.entry, count)
    return through_s - direct_s


def measure(ask: Ask, kind: RouteKind, count: int) -> dict[Quantity, float]:
    """Measure with log lines made and thrown away, as a VM's reader takes them elsewhere."""
    with Path(os.devnull).open("w") as nowhere:
        structlog.configure(
            processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
            logger_factory=structlog.PrintLoggerFactory(nowhere),
        )
        try:
            return {Quantity.CPU: anyio.run(added, ask, kind, count)}
        finally:
            structlog.reset_defaults()


def question(path: str, number: int) -> Request:
    """Return a caller's request."""
    headers = (("Host", "probed"), (CORRELATION_HEADER, f"a-{number}"))
    return Request("POST", path, headers, b"order")


class EntryCallProbe(Probe):
    """What the entry process adds to plain calls, by their number."""

    name = "entry call"
    unit = "call"
    per = "whole run"
    sizes = (500, 1_000, 2_000)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Make the calls."""

        async def ask(pool: ConnectionPool, address: str, number: int) -> None:
            response = await pool.fetch(address, question("/call", number), 30.0)
            assert response.status == 200

        return measure(ask, RouteKind.IDEMPOTENT, size)


class EntryTokenProbe(Probe):
    """What the entry process adds to streams of four tokens a frame, by the tokens in them."""

    name = "entry token"
    unit = "token"
    per = "whole run"
    sizes = (16_000, 48_000, 96_000)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Read streams until there are so many tokens."""

        async def ask(pool: ConnectionPool, address: str, number: int) -> None:
            exchange = Exchange(pool, address, question("/stream", number))
            await exchange.begin()
            while await exchange.next_body_chunk():
                pass
            exchange.end()

        count = size // (STREAM_FRAMES * FRAME_TOKENS)
        return measure(ask, RouteKind.STREAM, count)
