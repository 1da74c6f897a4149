"""Steps while one engine spoils one line of one answer."""

import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from engines import EVENTS, HOST, SERVICE, Engine, FaultyAnswers  # noqa: E402
from engines import configuration, rollout_route, submission  # noqa: E402
from world import TROUBLE, CaseNotRunError, HttpMessage, World, call, run_case  # noqa: E402

PREFIX = "/draft/"
STEPS, ITEMS = 4, 80
# `fleetbench kinds`: x (.02) of the answers of a replica are spoiled; the site file has for_s = 5.0.
SPOILED_SHARE = 0.02
# One answer is spoiled once the engine has begun this many.
ANSWERS_BEFORE = 50
TIME_BUDGET_S = 12.0
ACCEPTED = 202


class Spoiler:
    """Spoils the name of the data line of one event, in one answer of one engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.faulty = FaultyAnswers(engine, SPOILED_SHARE)

    def spoil(self, request: HttpMessage, first: int, data: bytes) -> bytes:
        is_due = first == 10 and len(self.engine.runs) >= ANSWERS_BEFORE and self.faulty.is_open()
        if not TROUBLE or not is_due or self.faulty.wrong:
            return data
        self.faulty.wrong.append(request.header("Attempt-Id") or "")
        return data.replace(b"\ndata:", b"\ndat\xc2\xa1:", 1)


def expected_text(item_id: str) -> str:
    return "\n".join(f"{item_id} event {number}" for number in range(1, EVENTS + 1))


async def read_step(world: World, step: str, generator: random.Random) -> list[dict]:
    """Read the results of a step twice a second until all are listed or the time is over."""
    results: list[dict] = []
    until_s = time.monotonic() + TIME_BUDGET_S
    while len(results) < ITEMS and time.monotonic() < until_s:
        await asyncio.sleep(0.5)
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            vm = generator.choice(world.vms)
            target = f"/lots/{step}?after={len(results)}"
            answer = await call(vm.front, "GET", target, {"Host": HOST})
            if answer.status == 200:
                results += json.loads(answer.body)["results"]
    return results


async def run_step(world: World, generator: random.Random) -> list[dict]:
    """Submit a step, read its results and end it."""
    step = f"{generator.getrandbits(64):016x}"
    item_ids = [f"{generator.getrandbits(64):016x}" for _ in range(ITEMS)]
    headers = {"Host": HOST, "Attempt-Id": step, "Content-Type": "application/json"}
    answer = await call(
        world.vms[0].front, "POST", f"{PREFIX}{step}", headers, submission(PREFIX, item_ids)
    )
    world.record.line("trainer", f"submits {step}: {answer.status}")
    if answer.status != ACCEPTED:
        raise CaseNotRunError(f"a submission was answered {answer.status}")
    results = await read_step(world, step, generator)
    await call(world.vms[0].front, "DELETE", f"/lots/{step}", {"Host": HOST})
    return results


async def play(world: World) -> list[str]:
    born_ms = int(time.time() * 1000) - 60_000
    engines = [
        Engine(world, f"i-{number:08x}", world.address(100 + number), zone, born_ms + number)
        for number, zone in enumerate(("z-a", "z-b", "z-a", "z-b"), 1)
    ]
    world.store.put("op", "config", configuration([rollout_route(PREFIX, SERVICE)]))
    for engine in engines:
        await engine.start()
    await world.start()
    # The engine answers wrongly for some seconds from now on.
    spoiler = Spoiler(engines[0])
    engines[0].spoil = spoiler.spoil
    generator = random.Random(8)
    pages = await asyncio.gather(*(run_step(world, generator) for _ in range(STEPS)))
    world.check_processes()
    broken: list[str] = []
    whole = 0
    for result in [result for page in pages for result in page]:
        text = result.get("text") or ""
        good = result["state"] == "complete" and text == expected_text(result["id"])
        whole += good
        world.record.line("trainer", f"{result['id']}: {result['state']}, good={good}")
        if result["state"] == "complete" and not good:
            empty = [number for number, part in enumerate(text.split("\n"), 1) if not part]
            broken.append(f"{result['id']} is complete without the data of event {empty}")
    world.record.line("case", f"{whole} of {STEPS * ITEMS} items whole; {spoiler.faulty.check()}")
    return broken


run_case(FOLDER, play, vm_count=3)
