"""The owner of three steps is killed while the store is slow; their trainers end them meanwhile."""

import asyncio
import signal
import time
from pathlib import Path

from httpkit import BrokenChannel
from store import ANSWER_S
from world import BOUNDS, ROLLOUT_ROUTE, Vm, World, engine_service, play, step_document, trouble

STEPS = ("61a0c4d2e8f7", "62b1d5e3f908", "63c2e6f40a19")
# Time budget of the trainers, after which they end their steps.
BUDGET_S = 12.0
KILL_BEFORE_END_S = 3.2
DOWN_S = 3.5
SLOW_FACTOR = 60
SLOW_AFTER_KILL_S = 1.0
SLOW_S = 4.5
WATCH_S = 14.0


async def disturb(world: World, vm: Vm, began_s: float) -> float:
    """Kill a machine's processes and make the store slow; return when the store was well again."""
    await asyncio.sleep(max(0.0, began_s + BUDGET_S - KILL_BEFORE_END_S - time.monotonic()))
    if not trouble():
        return time.monotonic()
    vm.send(signal.SIGKILL)
    await asyncio.sleep(SLOW_AFTER_KILL_S)
    world.store.delay_s = ANSWER_S * SLOW_FACTOR
    world.note("store slow", answer_ms=round(world.store.delay_s * 1000))
    await asyncio.sleep(DOWN_S - SLOW_AFTER_KILL_S)
    vm.start()
    await asyncio.sleep(SLOW_S - DOWN_S + SLOW_AFTER_KILL_S)
    world.store.delay_s = ANSWER_S
    world.note("store well again")
    return time.monotonic()


async def end(world: World, vm: Vm, step: str, began_s: float) -> float:
    """End a step at the trainer's time budget; return the time of the acknowledgement."""
    await asyncio.sleep(max(0.0, began_s + BUDGET_S - time.monotonic()))
    while True:
        try:
            reply = await world.end_step(vm, step)
            if reply.status == 200:
                return time.monotonic()
        except BrokenChannel as error:
            world.note("end not answered", step=step, reason=str(error))
        await asyncio.sleep(0.2)


async def case(world: World) -> str:
    engines = [world.engine(number, slots=4) for number in range(2)]
    for engine in engines:
        engine.event_s = 0.04
    world.configure([ROLLOUT_ROUTE], [engine_service(4)])
    await world.start(3, list(engines))
    began_s = time.monotonic()
    owner = world.vms[0]
    for step in STEPS:
        reply = await world.submit(owner, step, step_document(step, groups=58, size=4))
        if reply.status != 202:
            raise RuntimeError(f"a submission got {reply.status}")
    disturbed = asyncio.create_task(disturb(world, owner, began_s))
    ends = await asyncio.gather(
        *(end(world, world.vms[1 + n % 2], step, began_s) for n, step in enumerate(STEPS))
    )
    well_s = await disturbed
    await asyncio.sleep(WATCH_S)
    stable_s = BOUNDS["stableMs"] / 1000 if trouble() else 0.0
    late = 0
    for step, ended_s in zip(STEPS, ends, strict=True):
        # From then on the end is overdue and the machines are in touch again.
        due_s = max(ended_s + BOUNDS["cancelMs"] / 1000, well_s + stable_s)
        runs = [run for run in world.runs() if run[0].startswith(step)]
        after = [run for run in runs if run[1] > due_s]
        late += len(after)
        world.note(
            "step",
            step=step,
            acknowledged=world.at(ended_s),
            due=world.at(due_s),
            runs=len(runs),
            late_runs=len(after),
            first_late=[(run[0], world.at(run[1]), run[3]) for run in after[:3]],
        )
    return f"UNASKED: {late} items of ended steps ran" if late else ""


play(case, Path(__file__).with_name("record.txt"))
