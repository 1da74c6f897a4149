"""The wall-clock benchmark: what a node adds to a call, against a bare hop in the same run."""

import gc
import random
import resource
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import httpx
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from balsamcleat.adapters.http_client import new_client
from balsamcleat.bench.report import Report, Table
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.model import LoadReport, ServiceName, TargetId, TargetInfo, ZoneName
from balsamcleat.standins.cluster import ClusterShape, LocalCluster
from balsamcleat.standins.text import generation_length

__all__ = ["run_wall"]

SHAPE = ClusterShape(
    region="region",
    zones=("zone-a",),
    nodes_per_zone=1,
    engine_service="engines",
    engines=2,
    plain_service="plain",
    plain_targets=2,
)
ROUNDS = 4
CALLS_PER_ROUND = 250
SEQUENTIAL_CALLS = 150
STREAMS_PER_ROUND = 8
CONCURRENCY = 8
LONG_ANSWER_TOKENS = 400
MAX_TOKENS = 800
CHOICES = 20_000
ZONE_TARGETS = 1_000
TARGET_CALLS_PER_S = 670.0
TARGET_TOKENS_PER_S = 28_000.0

Action = Callable[[int], Awaitable[int]]


@dataclass
class Cost:
    """What one way cost in all its rounds.

    Attributes:
        cpu_s: Processor time of the whole process, in seconds.
        calls: Calls made.
        tokens: Tokens received.
        latencies_s: Latencies of calls made one at a time, in seconds.
    """

    cpu_s: float = 0.0
    calls: int = 0
    tokens: int = 0
    latencies_s: list[float] = field(default_factory=list)

    def quantile_s(self, share: float) -> float:
        """Return a quantile of the latency, in seconds."""
        ordered = sorted(self.latencies_s)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class BareHop:
    """hypercorn in, httpx out, and nothing between.

    Args:
        client: The HTTP client.
        target: The target's base URL.
    """

    def __init__(self, client: httpx.AsyncClient, target: str) -> None:
        self.client = client
        self.target = target

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/v1/completions", self.stream, methods=["POST"]),
                Route("/{path:path}", self.call, methods=["POST"]),
            ]
        )

    async def call(self, request: Request) -> Response:
        """Pass one call on."""
        body = await request.body()
        answer = await self.client.post(self.target + request.url.path, content=body)
        return Response(answer.content, answer.status_code)

    async def stream(self, request: Request) -> Response:
        """Pass one stream on."""
        upstream = self.client.build_request(
            "POST", self.target + request.url.path, content=await request.body()
        )
        answer = await self.client.send(upstream, stream=True)
        return StreamingResponse(answer.aiter_raw(), background=None)


def caller(client: httpx.AsyncClient, url: str) -> Action:
    """Return an action that makes one plain call."""

    async def call(number: int) -> int:
        response = await client.post(url, content=f"order {number}".encode())
        response.raise_for_status()
        return 0

    return call


def streamer(client: httpx.AsyncClient, url: str, seeds: list[int]) -> Action:
    """Return an action that reads one stream to its end."""

    async def stream(number: int) -> int:
        seed = seeds[number % len(seeds)]
        body = {
            "model": SHAPE.engine_service,
            "prompt": "a prompt",
            "seed": seed,
            "max_tokens": MAX_TOKENS,
            "stream": True,
        }
        last = b""
        async with client.stream("POST", url, json=body) as response:
            response.raise_for_status()
            async for chunk in response.aiter_raw():
                last = (last + chunk)[-64:]
        if b"[DONE]" not in last:
            raise RuntimeError("the stream was cut")
        return generation_length("a prompt", seed, MAX_TOKENS)

    return stream


async def spend(action: Action, calls: int, cost: Cost) -> None:
    """Run calls side by side and add up their processor time."""
    numbers = iter(range(calls))

    async def work() -> None:
        for number in numbers:
            tokens = await action(number)
            cost.tokens += tokens

    gc.collect()
    before_s = time.process_time()
    async with anyio.create_task_group() as group:
        for _ in range(CONCURRENCY):
            group.start_soon(work)
    cost.cpu_s += time.process_time() - before_s
    cost.calls += calls


async def time_each(action: Action, calls: int, cost: Cost) -> None:
    """Run calls one at a time and keep their latencies."""
    for number in range(calls):
        began_s = time.perf_counter()
        await action(number)
        cost.latencies_s.append(time.perf_counter() - began_s)


async def compare(ways: dict[str, Action], calls: int, sequential: int) -> dict[str, Cost]:
    """Measure all ways in turns, so that whatever else the machine does meets them alike."""
    costs = {name: Cost() for name in ways}
    for action in ways.values():
        await action(0)
    for _ in range(ROUNDS):
        for name, action in ways.items():
            await spend(action, calls, costs[name])
            await time_each(action, sequential // ROUNDS, costs[name])
    return costs


async def measure() -> tuple[dict[str, Cost], dict[str, Cost]]:
    """Return the costs of plain calls and of streams, by way."""
    seeds = [
        seed
        for seed in range(20_000)
        if generation_length("a prompt", seed, MAX_TOKENS) >= LONG_ANSWER_TOKENS
    ][:STREAMS_PER_ROUND]
    async with anyio.create_task_group() as group, new_client() as client:
        cluster = LocalCluster(SHAPE, group)
        await cluster.start()
        await cluster.wait_configured(1)
        for engine in cluster.engines.values():
            engine.token_interval_s = engine.prefill_block_s = 0.0
        plain = "http://" + cluster.targets["plain-0"].address
        engine_url = "http://" + cluster.targets["engines-0"].address
        bare_plain = "http://" + cluster.serve(BareHop(client, plain).app()).address
        bare_engine = "http://" + cluster.serve(BareHop(client, engine_url).app()).address
        node = cluster.node_url(0)
        calls = {
            "direct": caller(client, plain + "/lists"),
            "bare hop": caller(client, bare_plain + "/lists"),
            "node": caller(client, node + "/v1/services/plain/lists"),
        }
        path = "/v1/completions"
        streams = {
            "direct": streamer(client, engine_url + path, seeds),
            "bare hop": streamer(client, bare_engine + path, seeds),
            "node": streamer(client, node + path, seeds),
        }
        plain_costs = await compare(calls, CALLS_PER_ROUND, SEQUENTIAL_CALLS)
        stream_costs = await compare(streams, STREAMS_PER_ROUND, ROUNDS)
        group.cancel_scope.cancel()
    return plain_costs, stream_costs


@dataclass(slots=True)
class Ask:
    """A choice asked of a dispatcher task by message."""

    query: RouteQuery
    answered: anyio.Event = field(default_factory=anyio.Event)
    chosen: TargetInfo | None = None


async def message_cost_s(messages: int) -> float:
    """Return the processor time of a choice asked of a task by message, in seconds.

    Args:
        messages: How many choices to ask for.
    """
    router = big_zone()
    send, inbox = anyio.create_memory_object_stream[Ask](64)
    query = RouteQuery(ServiceName("engines"))

    async def dispatch() -> None:
        async for ask in inbox:
            ask.chosen = router.choose(ask.query)
            ask.answered.set()

    async with anyio.create_task_group() as group, send, inbox:
        group.start_soon(dispatch)
        before_s = time.process_time()
        for _ in range(messages):
            ask = Ask(query)
            await send.send(ask)
            await ask.answered.wait()
        spent_s = time.process_time() - before_s
        group.cancel_scope.cancel()
    return spent_s / messages


def call_cost_s(calls: int) -> float:
    """Return the processor time of a choice made by a plain call, in seconds.

    Args:
        calls: How many choices to make.
    """
    router, query = big_zone(), RouteQuery(ServiceName("engines"))
    before_s = time.process_time()
    for _ in range(calls):
        router.choose(query)
    return (time.process_time() - before_s) / calls


def big_zone() -> Router:
    """Return a router that knows 1,000 targets of its own zone."""
    service, zone = ServiceName("engines"), ZoneName("zone-a")
    router = Router(zone, random.Random(1))
    names = [TargetId(f"engine-{number}") for number in range(ZONE_TARGETS)]
    router.configure([TargetInfo(name, service, zone, f"{name}:80") for name in names])
    for name in names:
        router.record_load_report(name, LoadReport(8, 0, 16, 0.5, 0.0))
    router.tick(1.0)
    return router


def choice_cost_s(blocks: int) -> float:
    """Return the processor time of one choice in a zone of 1,000 targets, in seconds."""
    router, service, draw = big_zone(), ServiceName("engines"), random.Random(2)
    prefixes = [tuple(draw.getrandbits(60) for _ in range(blocks)) for _ in range(200)]
    queries = [RouteQuery(service, prefix) for prefix in prefixes]
    before_s = time.process_time()
    for number in range(CHOICES):
        chosen = router.choose(queries[number % len(queries)])
        if chosen is not None:
            router.record_start(chosen.target_id)
            router.record_end(chosen.target_id)
    return (time.process_time() - before_s) / CHOICES


def hop_rows(costs: dict[str, Cost]) -> list[tuple[str | float, ...]]:
    """Return what each way adds to a direct call."""
    direct = costs["direct"]
    base_s = direct.cpu_s / direct.calls
    bare_s = costs["bare hop"].cpu_s / costs["bare hop"].calls - base_s
    rows: list[tuple[str | float, ...]] = []
    for name in ("bare hop", "node"):
        cost = costs[name]
        added_s = cost.cpu_s / cost.calls - base_s
        rows.append(
            (
                name,
                (cost.quantile_s(0.5) - direct.quantile_s(0.5)) * 1000,
                (cost.quantile_s(0.99) - direct.quantile_s(0.99)) * 1000,
                added_s * 1000,
                1.0 / added_s,
                cost.tokens / cost.calls / added_s,
                bare_s / added_s,
            )
        )
    return rows


def run_wall(folder: Path) -> str:
    """Run the benchmark, write the report and return it as text."""
    calls, streams = anyio.run(measure)
    columns = (
        "way",
        "added p50 (ms)",
        "added p99 (ms)",
        "added processor time a call (ms)",
        "calls/s a core",
        "tokens/s a core",
        "share of the bare hop's rate",
    )
    choices = tuple((f"{blocks} blocks", choice_cost_s(blocks) * 1e6) for blocks in (0, 16, 64))
    ownership = (
        ("plain call", call_cost_s(CHOICES) * 1e6),
        ("message to a task and back", anyio.run(message_cost_s, CHOICES) * 1e6),
    )
    memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    report = Report("wall", 0)
    report.tables += [
        Table("Plain calls", columns, tuple(hop_rows(calls))),
        Table("Streams, four tokens a frame", columns, tuple(hop_rows(streams))),
        Table("Choice, start and end at 1,000 targets", ("prompt", "microseconds"), choices),
        Table("A choice by", ("way", "microseconds"), ownership),
        Table(
            "Targets and memory",
            ("what", "value"),
            (
                ("target, calls/s a core", TARGET_CALLS_PER_S),
                ("target, tokens/s a core", TARGET_TOKENS_PER_S),
                ("highest resident memory of node, stand-ins and caller together (MB)", memory_mb),
            ),
        ),
    ]
    report.write(folder)
    return report.text()
