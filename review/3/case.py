"""The operator removes the route of a batch submission whose results are to be kept."""

import asyncio
import json
import time
from pathlib import Path

from httpkit import BrokenChannel
from world import (
    BOUNDS,
    PLAIN_SERVICE,
    ROLLOUT_ROUTE,
    SAFE_ROUTE,
    World,
    engine_service,
    play,
    step_document,
    trouble,
)

STEP = "7c41e09b52d6a3f8"


async def case(world: World) -> str:
    replicas = [world.plain(0, slots=6)] + [world.engine(number, slots=12) for number in range(3)]
    world.configure([SAFE_ROUTE, ROLLOUT_ROUTE], [PLAIN_SERVICE, engine_service(12)])
    await world.start(3, replicas)
    reply = await world.submit(world.vms[0], STEP, step_document(STEP, groups=10, size=4))
    if reply.status != 202:
        raise RuntimeError(f"the submission got {reply.status}")
    read: list[str] = []
    deadline = time.monotonic() + 10.0
    while len(read) < 40 and time.monotonic() < deadline:
        page = await world.read(world.vms[1], STEP, len(read), wait_ms=1000)
        if page.status == 200:
            read += [result["id"] for result in json.loads(page.body)["results"]]
    world.note("read", results=len(read))
    if len(read) < 40:
        raise RuntimeError("the batch submission was not finished")
    routes = [SAFE_ROUTE] if trouble() else [SAFE_ROUTE, {**ROLLOUT_ROUTE, "timeoutMs": 9000}]
    world.configure(routes, [PLAIN_SERVICE, engine_service(12)])
    # Well past the bound within which the version is in force, and past ``settleMs``.
    await asyncio.sleep(BOUNDS["applyMs"] / 1000 + BOUNDS["settleMs"] / 1000 + 2.0)
    missing = 0
    for _ in range(3):
        for vm in world.vms:
            missing += await is_missing(world, vm, read)
        await asyncio.sleep(1.0)
    return f"LOST: {missing} of 9 reads of a kept batch submission got 404" if missing else ""


async def is_missing(world: World, vm, read: list[str]) -> bool:
    """Read the batch submission from its start, as other requesters do all day."""
    try:
        page = await world.read(vm, STEP, 0)
    except BrokenChannel as error:
        world.note("read again", vm=vm.name, outcome=str(error))
        return False
    found = []
    if page.status == 200:
        found = [result["id"] for result in json.loads(page.body)["results"]]
    world.note("read again", vm=vm.name, status=page.status, results=len(found))
    if page.status == 200 and found != read[: len(found)]:
        raise RuntimeError("the results changed")
    return page.status in (404, 410)


play(case, Path(__file__).with_name("record.txt"))
