"""Another writer puts an entry into the list of replicas whose bytes can't be read."""

import asyncio
import base64
import json
import time
from pathlib import Path

from httpkit import BrokenChannel
from world import ROLLOUT_ROUTE, Vm, World, engine_service, play, step_document, trouble

STEP = "5d1e07a9c2b64f38"
RESTART_S = 1.0
# The entry breaks off in the middle, so it is no JSON; it is shorter than a row may be.
UNREADABLE = (
    b'{"svc":"kantor-llm","address":"127.0.0.1:9000","state":"ready","tags":' + b"[" * 30_000
)


async def supervise(world: World, vm: Vm, ends: list[tuple[str, float]]) -> None:
    """Restart a process that has ended by itself after a short delay, as the platform does."""
    while True:
        await asyncio.sleep(0.1)
        assert vm.process is not None
        if vm.process.poll() is not None:
            ends.append((vm.name, world.at()))
            world.note("process ended by itself", vm=vm.name, code=vm.process.poll())
            await asyncio.sleep(RESTART_S)
            vm.start()


async def read_all(world: World, known: list[str]) -> str:
    """Read the batch submission from its start, at each machine in turn, until it is answered."""
    deadline, tries = time.monotonic() + 15.0, 0
    last = "no answer"
    while time.monotonic() < deadline:
        vm = world.vms[tries % len(world.vms)]
        tries += 1
        try:
            page = await world.read(vm, STEP, 0)
            last = f"status {page.status}"
            if page.status == 200:
                found = [result["id"] for result in json.loads(page.body)["results"]]
                world.note("read at the end", vm=vm.name, results=len(found), tries=tries)
                return "" if found[: len(known)] == known else "other results"
        except BrokenChannel as error:
            last = str(error)
        world.note("read", vm=vm.name, outcome=last)
        await asyncio.sleep(0.3)
    world.note("not readable at the end", tries=tries, last=last)
    return f"not readable in 15 s ({tries} tries, {last})"


async def case(world: World) -> str:
    world.configure([ROLLOUT_ROUTE], [engine_service(12)])
    await world.start(3, [world.engine(number, slots=12) for number in range(3)])
    reply = await world.submit(world.vms[0], STEP, step_document(STEP, groups=30, size=4))
    if reply.status != 202:
        raise RuntimeError(f"the submission got {reply.status}")
    ends: list[tuple[str, float]] = []
    watchers = [asyncio.create_task(supervise(world, vm, ends)) for vm in world.vms]
    await asyncio.sleep(1.0)
    page = await world.read(world.vms[1], STEP, 0)
    known = (
        [result["id"] for result in json.loads(page.body)["results"]] if page.status == 200 else []
    )
    world.note("read", status=page.status, results=len(known))
    entry = UNREADABLE if trouble() else UNREADABLE[:50]
    world.store.put_value("servers", "i-other", base64.b64encode(entry).decode())
    world.note("entry of another writer", size=len(entry))
    await asyncio.sleep(20.0)
    begun = {run[0] for run in world.runs()}
    world.note("items that ran", count=len(begun), of=120, own_ends=len(ends))
    lost = await read_all(world, known)
    for watcher in watchers:
        watcher.cancel()
    return f"LOST: {lost}; processes ended by themselves {len(ends)} times" if lost else ""


play(case, Path(__file__).with_name("record.txt"))
