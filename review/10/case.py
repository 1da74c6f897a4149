"""A step on a route that is split over two engine services, one of which loses its replica."""

import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from engines import EVENTS, HOST, Engine, configuration, rollout_route, submission  # noqa: E402
from world import TROUBLE, CaseNotRunError, EntryVm, World, call, run_case  # noqa: E402

PREFIX = "/draft/"
FIRST, SECOND = "llm-next", "llm"
ITEMS, ACCEPTED = 32, 202
CRASH_AFTER_S = 0.3
# The trainer's time budget, and the time without a replica that the rule allows.
TIME_BUDGET_S, IDLE_S = 12.0, 5.0
STEADY_AFTER_S = 3.0


def split_route() -> dict[str, object]:
    """Return a rollout route that is split over two services."""
    route = rollout_route(PREFIX, FIRST)
    del route["svc"]
    return {**route, "split": [{"svc": FIRST, "weight": 20}, {"svc": SECOND, "weight": 80}]}


async def read_results(world: World, vm: EntryVm, step: str, until_s: float) -> list[dict]:
    """Read results twice a second until all are listed or the time is over."""
    results: list[dict] = []
    while len(results) < ITEMS and time.monotonic() < until_s:
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            answer = await call(
                vm.front, "GET", f"/lots/{step}?after={len(results)}", {"Host": HOST}
            )
            if answer.status == 200:
                page = json.loads(answer.body)["results"]
                results += page
                if page:
                    world.record.line("trainer", f"reads {len(results)} of {ITEMS} results")
        await asyncio.sleep(0.5)
    return results


async def play(world: World) -> list[str]:
    born_ms = int(time.time() * 1000) - 60_000
    services = (FIRST, *(SECOND,) * 5)
    engines = [
        Engine(
            world, f"i-{number:08x}", world.address(100 + number), f"z-{'ab'[number % 2]}",
            born_ms + number, service,
        )
        for number, service in enumerate(services, 1)
    ]
    world.store.put("op", "config", configuration([split_route()], (FIRST, SECOND)))
    for engine in engines:
        await engine.start()
    await world.start()
    generator = random.Random(8)
    step = f"{generator.getrandbits(64):016x}"
    item_ids = [f"{generator.getrandbits(64):016x}" for _ in range(ITEMS)]
    headers = {"Host": HOST, "Attempt-Id": step, "Content-Type": "application/json"}
    vm = world.vms[0]
    began_s = time.monotonic()
    answer = await call(vm.front, "POST", f"{PREFIX}{step}", headers, submission(PREFIX, item_ids))
    world.record.line("trainer", f"submits step {step} of {ITEMS} items: {answer.status}")
    if answer.status != ACCEPTED:
        raise CaseNotRunError(f"the submission was answered {answer.status}")
    await asyncio.sleep(CRASH_AFTER_S)
    if TROUBLE:
        world.tasks.append(asyncio.create_task(engines[0].crash()))
    crashed_s = time.monotonic()
    results = await read_results(world, world.vms[1], step, began_s + TIME_BUDGET_S)
    ended_s = time.monotonic()
    world.check_processes()
    begun = {run.attempt for engine in engines for run in engine.runs}
    late_runs = sum(len(engine.runs) for engine in engines[1:])
    complete = sum(
        item["state"] == "complete" and item["text"].count("\n") == EVENTS - 1 for item in results
    )
    world.record.line(
        "case",
        f"{complete} of {ITEMS} items complete after {ended_s - began_s:.1f} s; {len(begun)} had"
        f" begun; runs by service: {FIRST} {len(engines[0].runs)}, {SECOND} {late_runs}",
    )
    idle_s = ended_s - crashed_s - STEADY_AFTER_S
    if complete < ITEMS and begun and not late_runs and idle_s >= IDLE_S:
        return [
            f"{ITEMS - complete} items were at no replica for {ended_s - crashed_s:.1f} s, until"
            f" the step ran out of time; 5 of 6 replicas had nothing to do"
        ]
    return []


run_case(FOLDER, play, vm_count=3)
