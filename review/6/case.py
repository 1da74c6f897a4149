"""Steps while engines are cut off from the store, one after the other, and a step after that."""

import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from engines import HOST, SLOTS, Engine, configuration, rollout_route, submission  # noqa: E402
from world import TROUBLE, CaseNotRunError, World, call, run_case  # noqa: E402

PREFIX = "/draft/"
SERVICE, ENGINES = "llm", 5
# Long samples, still shorter than the longest of the site file.
EVENTS, EVENT_S = 180, 0.03
CUTS, CUT_S = 4, 5.0
STEP_EVERY_S = 8.0
ACCEPTED = 202
TIME_BUDGET_S, STEADY_AFTER_S = 12.0, 3.0


class Trainer:
    """Submits steps at any VM and reads their results twice a second."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.generator = random.Random(9)

    async def run_step(self, items: int) -> tuple[list[str], int]:
        """Run a step until all is read or its time is up; return its items and what was read."""
        step = f"{self.generator.getrandbits(64):016x}"
        item_ids = [f"{self.generator.getrandbits(64):016x}" for _ in range(items)]
        headers = {"Host": HOST, "Attempt-Id": step, "Content-Type": "application/json"}
        began_s = time.monotonic()
        front = self.world.vms[0].front
        answer = await call(front, "POST", f"{PREFIX}{step}", headers, submission(PREFIX, item_ids))
        self.world.record.line("trainer", f"submits {step}, {items} items: {answer.status}")
        if answer.status != ACCEPTED:
            raise CaseNotRunError(f"a submission was answered {answer.status}")
        read = 0
        while read < items and time.monotonic() < began_s + TIME_BUDGET_S:
            await asyncio.sleep(0.5)
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                vm = self.generator.choice(self.world.vms)
                page = await call(vm.front, "GET", f"/lots/{step}?after={read}", {"Host": HOST})
                if page.status == 200:
                    read = json.loads(page.body)["next"]
        await call(self.world.vms[0].front, "DELETE", f"/lots/{step}", {"Host": HOST})
        took_s = time.monotonic() - began_s
        self.world.record.line("trainer", f"ends {step} after {took_s:.1f} s: {read} of {items}")
        return item_ids, read


async def play(world: World) -> list[str]:
    born_ms = int(time.time() * 1000) - 60_000
    engines = [
        Engine(
            world, f"i-{number:08x}", world.address(100 + number), f"z-{'ab'[number % 2]}",
            born_ms + number, SERVICE, EVENTS, EVENT_S,
        )
        for number in range(1, ENGINES + 1)
    ]
    world.store.put("op", "config", configuration([rollout_route(PREFIX, SERVICE)], (SERVICE,)))
    for engine in engines:
        await engine.start()
    await world.start()
    trainer = Trainer(world)
    for engine in engines[:CUTS]:
        next_s = time.monotonic() + STEP_EVERY_S
        if TROUBLE:
            world.tasks.append(asyncio.create_task(engine.cut_from_store(CUT_S)))
        await trainer.run_step(SLOTS * ENGINES)
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))
    # All engines are back in the list, and nothing is disturbed any more.
    await asyncio.sleep(STEADY_AFTER_S + 2.0)
    listed = sum(table == "servers" for table, _, _ in world.store.rows)
    world.record.line("store", f"lists {listed} engines")
    before = [len(engine.runs) for engine in engines]
    item_ids, read = await trainer.run_step(SLOTS * (ENGINES - 1))
    world.check_processes()
    begun = {run.attempt for engine in engines for run in engine.runs}
    never = [item for item in item_ids if item not in begun]
    most = [engine.most_running_since(first) for engine, first in zip(engines, before)]
    full = sum(most)
    world.record.line(
        "case",
        f"last step: {read} of {len(item_ids)} read, {len(never)} items were at no replica;"
        f" at most {full} of {ENGINES * SLOTS} places were taken, by replica {most}",
    )
    is_half_empty = full < ENGINES * SLOTS / 2
    if read < len(item_ids) and never and len(never) < len(item_ids) and is_half_empty:
        return [
            f"{len(never)} of {len(item_ids)} items of the last step were at no replica for all of"
            f" its {TIME_BUDGET_S:.0f} s, though at most {full} of {ENGINES * SLOTS} places were"
            " taken and nothing was disturbed"
        ]
    return []


run_case(FOLDER, play, vm_count=3)
