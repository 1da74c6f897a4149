"""Streams that may be resumed, while one engine spoils one event of some answers."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from engines import PREFIX, Engine, FaultyAnswers, configuration  # noqa: E402
from engines import stream_headers, stream_route, stream_text  # noqa: E402
from world import TROUBLE, HttpMessage, World, call, run_case  # noqa: E402

STREAMS = 480
CALLERS = 48
# `fleetbench kinds`: x (.02) of the answers of a replica are spoiled; the site file has for_s = 5.0.
SPOILED_SHARE = 0.02
# One answer is spoiled once the engine has begun this many.
ANSWERS_BEFORE = 60


class Spoiler:
    """Spoils the third event of one write, in one answer of one engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.faulty = FaultyAnswers(engine, SPOILED_SHARE)

    def spoil(self, request: HttpMessage, first: int, data: bytes) -> bytes:
        is_due = first == 10 and len(self.engine.runs) >= ANSWERS_BEFORE and self.faulty.is_open()
        if not TROUBLE or not is_due or self.faulty.wrong:
            return data
        self.faulty.wrong.append(request.target.removeprefix(PREFIX))
        head, mark, tail = data.rpartition(b"id: ")
        return head + b"i\xc2\xa1: " + tail if mark else data


async def play(world: World) -> list[str]:
    born_ms = int(time.time() * 1000) - 60_000
    engines = [
        Engine(world, f"i-{number:08x}", world.address(100 + number), zone, born_ms + number)
        for number, zone in enumerate(("z-a", "z-b", "z-a", "z-b"), 1)
    ]
    world.store.put("op", "config", configuration([stream_route()]))
    for engine in engines:
        await engine.start()
    await world.start()
    # The engine answers wrongly for some seconds from now on.
    spoiler = Spoiler(engines[0])
    engines[0].spoil = spoiler.spoil
    broken: list[str] = []
    whole = 0
    numbers = iter(range(STREAMS))
    generator = random.Random(6)

    async def read_streams() -> None:
        nonlocal whole
        for number in numbers:
            name, attempt = f"s{number}", f"{number:04d}{generator.getrandbits(48):012x}"
            vm = world.vms[number % len(world.vms)]
            try:
                answer = await call(
                    vm.front, "POST", f"{PREFIX}{name}", stream_headers(attempt), timeout_s=12.0
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                world.record.line("caller", f"{name}: no whole answer, {error!r}")
                continue
            good = answer.body == stream_text(name)
            world.record.line(
                "caller", f"{name} ({attempt}) at {vm.name}: {answer.status}, complete, good={good}"
            )
            whole += answer.status == 200 and good
            if answer.status == 200 and not good:
                text = answer.body.decode(errors="replace")
                events = [line[4:] for line in text.split("\n") if line.startswith("id: ")]
                broken.append(f"{name} ended as complete with the events {','.join(events)}")

    await asyncio.gather(*(read_streams() for _ in range(CALLERS)))
    world.check_processes()
    world.record.line("case", f"{whole} of {STREAMS} whole; {spoiler.faulty.check()}")
    return broken


run_case(FOLDER, play, vm_count=3)
