"""A settings change (SIGHUP) reaches a machine that is being stopped (SIGTERM)."""

import asyncio
import itertools
import signal
from pathlib import Path

from httpkit import BrokenChannel, Channel
from world import HOST, PLAIN_SERVICE, SAFE_ROUTE, Rotation, World, play, trouble

REQUESTERS = 12
HUP_AFTER_S = 0.8
Outcomes = dict[str, tuple[str, str, float]]
ids = itertools.count(1)


async def requester(world: World, rotation: Rotation, number: int, outcomes: Outcomes) -> None:
    """Send requests; every second requester opens a new channel for each request."""
    while True:
        choices = rotation.choices()
        vm = choices[number // 2 % len(choices)]
        channel = Channel(vm.front)
        try:
            await channel.open()
        except (OSError, TimeoutError):
            await asyncio.sleep(0.1)
            continue
        try:
            await use(world, vm.name, channel, outcomes, keeps=number % 2 == 0)
        finally:
            channel.close()


async def use(world: World, vm: str, channel: Channel, outcomes: Outcomes, *, keeps: bool) -> None:
    while True:
        attempt = f"a{next(ids):08x}"
        sent_s = world.at()
        outcomes[attempt] = (vm, "open", sent_s)
        headers = {"Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "2000"}
        try:
            reply = await channel.ask("POST", "/lohu930/2f", headers, b"b" * 600)
        except BrokenChannel as error:
            outcomes[attempt] = (vm, f"cut: {error}", sent_s)
            return
        outcomes[attempt] = (vm, str(reply.status), sent_s)
        await asyncio.sleep(0.05)
        if not keeps or reply.headers.get("connection", "").lower() == "close":
            return


async def case(world: World) -> str:
    replicas = [world.plain(number, slots=6) for number in range(3)]
    for replica in replicas:
        # Within the site's figures: work of up to 190 ms, 37.5 ms on average.
        replica.work_s = 0.15
    world.configure([SAFE_ROUTE], [PLAIN_SERVICE])
    await world.start(3, list(replicas))
    rotation = Rotation(world)
    outcomes: Outcomes = {}
    tasks = [asyncio.create_task(rotation.run())]
    tasks += [
        asyncio.create_task(requester(world, rotation, n, outcomes)) for n in range(REQUESTERS)
    ]
    await asyncio.sleep(4.0)
    stopped = world.vms[0]
    stopped.send(signal.SIGTERM)
    term_s = world.at()
    await asyncio.sleep(HUP_AFTER_S)
    if trouble():
        stopped.write_settings(limits={"cpuShare": 0.717, "cores": 3, "ramMb": 400, "maxFds": 8200})
        stopped.send(signal.SIGHUP)
    while stopped.process.poll() is None and world.at() - term_s < 9.0:
        await asyncio.sleep(0.05)
    world.note(
        "process ended",
        vm=stopped.name,
        after_s=round(world.at() - term_s, 2),
        code=stopped.process.poll(),
    )
    await asyncio.sleep(0.5)
    for task in tasks:
        task.cancel()
    ran = {run[0] for run in world.runs()}
    for attempt, (vm, outcome, sent_s) in outcomes.items():
        if sent_s > term_s - 1.0:
            world.note(
                "request", id=attempt, vm=vm, sent=sent_s, outcome=outcome, ran=attempt in ran
            )
    served = sum(outcome == "200" for _, outcome, _ in outcomes.values())
    world.note("served", count=served, of=len(outcomes))
    if served < 50:
        raise RuntimeError("too few requests were served")
    lost = [
        attempt
        for attempt, (vm, outcome, sent_s) in outcomes.items()
        if vm == stopped.name and outcome.startswith("cut") and attempt in ran
    ]
    return f"LOST: {len(lost)} requests had been passed on and got no answer" if lost else ""


play(case, Path(__file__).with_name("record.txt"))
