"""Steps while one engine spoils one line of some answers."""

import asyncio
import contextlib
import json
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from engines import EVENTS, HOST, SERVICE, Engine  # noqa: E402
from engines import configuration, rollout_route, submission  # noqa: E402
from world import TROUBLE, CaseNotRunError, HttpMessage, World, call, run_case  # noqa: E402

PREFIX = "/draft/"
STEPS, ITEMS = 3, 32
# The dose of the site file for spoiled answers.
SPOILED_SHARE = 0.03
TIME_BUDGET_S = 12.0
ACCEPTED = 202


class Spoiler:
    """Spoils the name of the data line of one event, in a few of the answers of one engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.spoiled: set[str] = set()

    def spoil(self, request: HttpMessage, first: int, data: bytes) -> bytes:
        allowed = max(1, round(len(self.engine.runs) * SPOILED_SHARE))
        is_due = first == 10 and len(self.spoiled) < allowed
        if not is_due or not TROUBLE:
            return data
        self.spoiled.add(request.header("Attempt-Id") or "")
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


async def play(world: World) -> list[str]:
    born_ms = int(time.time() * 1000) - 60_000
    engines = [
        Engine(world, f"i-{number:08x}", world.address(100 + number), zone, born_ms + number)
        for number, zone in enumerate(("z-a", "z-b", "z-a", "z-b"), 1)
    ]
    spoiler = Spoiler(engines[0])
    engines[0].spoil = spoiler.spoil
    world.store.put("op", "config", configuration([rollout_route(PREFIX, SERVICE)]))
    for engine in engines:
        await engine.start()
    await world.start()
    generator = random.Random(10)
    broken: list[str] = []
    whole = 0
    for _ in range(STEPS):
        step = f"{generator.getrandbits(64):016x}"
        item_ids = [f"{generator.getrandbits(64):016x}" for _ in range(ITEMS)]
        headers = {"Host": HOST, "Attempt-Id": step, "Content-Type": "application/json"}
        answer = await call(
            world.vms[0].front, "POST", f"{PREFIX}{step}", headers, submission(PREFIX, item_ids)
        )
        world.record.line("trainer", f"submits {step}: {answer.status}")
        if answer.status != ACCEPTED:
            raise CaseNotRunError(f"a submission was answered {answer.status}")
        for result in await read_step(world, step, generator):
            text = result.get("text") or ""
            good = result["state"] == "complete" and text == expected_text(result["id"])
            whole += good
            world.record.line("trainer", f"{result['id']}: {result['state']}, good={good}")
            if result["state"] == "complete" and not good:
                empty = [number for number, part in enumerate(text.split("\n"), 1) if not part]
                broken.append(f"{result['id']} is complete without the data of event {empty}")
        await call(world.vms[0].front, "DELETE", f"/lots/{step}", {"Host": HOST})
    world.check_processes()
    world.record.line(
        "case",
        f"{whole} of {STEPS * ITEMS} items whole; {engines[0].name} ran {len(engines[0].runs)} and"
        f" spoiled {sorted(spoiler.spoiled)}",
    )
    return broken


run_case(FOLDER, play, vm_count=3)
