"""Probes of live calls and streamed tokens, each through a node and straight to the target."""

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import httpx

from balsamcleat.adapters.http_client import new_client
from balsamcleat.bench.probes.base import Probe, Quantity, spend
from balsamcleat.standins.cluster import ClusterShape, LocalCluster
from balsamcleat.standins.text import generation_length

__all__ = ["LiveCallProbe", "TokenProbe"]

SHAPE = ClusterShape(
    region="region",
    zones=("zone-a",),
    nodes_per_zone=1,
    engine_service="engines",
    engines=1,
    plain_service="plain",
    plain_targets=1,
)
CONCURRENCY = 8
FRAME_TOKENS = 4

Ask = Callable[[httpx.AsyncClient, str, int], Awaitable[None]]


async def added(ask: Ask, node_path: str, target: str, target_path: str, count: int) -> float:
    """Return the processor seconds that the node adds to ``count`` questions.

    Caller, node and target run in this process; what caller and target spend is measured
    without the node and taken off.
    """
    async with anyio.create_task_group() as group, new_client() as client:
        cluster = LocalCluster(SHAPE, group)
        await cluster.start()
        await cluster.wait_configured(1)
        for engine in cluster.engines.values():
            engine.token_interval_s = engine.prefill_block_s = 0.0
            engine.frame_tokens = FRAME_TOKENS
        direct_url = "http://" + cluster.targets[target].address + target_path
        node_url = cluster.node_url(0) + node_path
        for url in (direct_url, node_url):
            await ask(client, url, 0)
        direct_s = await spend(partial(ask, client, direct_url), count, CONCURRENCY)
        node_s = await spend(partial(ask, client, node_url), count, CONCURRENCY)
        group.cancel_scope.cancel()
    return node_s - direct_s


class LiveCallProbe(Probe):
    """What a node adds to plain calls, by their number."""

    name = "live call"
    unit = "call"
    per = "whole run"
    sizes = (200, 500, 1_000)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Make the calls."""

        async def ask(client: httpx.AsyncClient, url: str, number: int) -> None:
            response = await client.post(url, content=f"order {number}".encode())
            response.raise_for_status()

        seconds = anyio.run(added, ask, "/v1/services/plain/lists", "plain-0", "/lists", size)
        return {Quantity.CPU: seconds}


class TokenProbe(Probe):
    """What a node adds to streams of four tokens a frame, by the tokens in them."""

    name = "streamed token"
    unit = "token"
    per = "whole run"
    sizes = (8_000, 24_000, 64_000)
    stream_tokens = 800

    def measure(self, size: int) -> dict[Quantity, float]:
        """Read long streams until there are so many tokens."""
        seeds = [
            seed
            for seed in range(40_000)
            if generation_length("a prompt", seed, self.stream_tokens) == self.stream_tokens
        ]

        async def ask(client: httpx.AsyncClient, url: str, number: int) -> None:
            body = {
                "model": "engines",
                "prompt": "a prompt",
                "seed": seeds[number % len(seeds)],
                "max_tokens": self.stream_tokens,
                "stream": True,
            }
            async with client.stream("POST", url, json=body) as response:
                response.raise_for_status()
                async for _ in response.aiter_raw():
                    pass

        path = "/v1/completions"
        count = size // self.stream_tokens
        return {Quantity.CPU: anyio.run(added, ask, path, "engines-0", path, count)}
