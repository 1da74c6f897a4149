"""The demonstration's graceful shutdown: a node is drained under load and cuts nothing."""

import uuid

import anyio
import httpx
import msgspec

from balsamcleat.demo.callers import Callers
from balsamcleat.demo.report import DemoReport, Promise
from balsamcleat.standins.cluster import LocalCluster
from balsamcleat.standins.text import generation_text

__all__ = ["drain_node"]

STREAMS = 12
STREAM_TOKENS = 200
STOPPED_WITHIN_S = 20.0


async def drain_node(cluster: LocalCluster, report: DemoReport, callers: Callers) -> None:
    """Drain a node with streams under way, and check that each comes to its end."""
    vm_id = next(iter(cluster.nodes))
    running = cluster.nodes[vm_id]
    url = f"http://{running.node.settings.http_address}"
    async with anyio.create_task_group() as group:
        begun = [anyio.Event() for _ in range(STREAMS)]
        for number, event in enumerate(begun):
            group.start_soon(long_stream, callers, url, number, event)
        for event in begun:
            await event.wait()
        report.say(f"{vm_id} is drained with {STREAMS} streams under way")
        await callers.client.post(f"{url}/v1/drain")
    with anyio.move_on_after(STOPPED_WITHIN_S):
        await running.ended.wait()
    stopped = running.ended.is_set()
    report.check(Promise.GRACEFUL, stopped, f"{vm_id} did not stop in time")
    report.say(f"{vm_id} has stopped" if stopped else f"{vm_id} still runs")


async def long_stream(callers: Callers, url: str, number: int, begun: anyio.Event) -> None:
    """Stream a long answer through the node that is drained."""
    prompt = f"long stream {uuid.uuid4().hex}"
    body = msgspec.json.encode(
        {
            "model": callers.cluster.shape.engine_service,
            "prompt": prompt,
            "seed": number,
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
    )
    text = ""
    try:
        async with callers.client.stream("POST", f"{url}/v1/completions", content=body) as answer:
            async for line in answer.aiter_lines():
                begun.set()
                if line.startswith("data: {"):
                    text += msgspec.json.decode(line[6:])["choices"][0]["text"]
    except httpx.HTTPError as error:
        text = type(error).__name__
    begun.set()
    whole = text == generation_text(prompt, number, STREAM_TOKENS)
    callers.report.check(Promise.GRACEFUL, whole, f"a stream through a drained node: {text[-60:]}")
