"""An entry of another writer stands in the list of replicas; the holder of orders crashes."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import site3
from stage import play

# With TROUBLE=0, the same is played without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
VMS, ENGINES, PLAIN = 4, 3, 3
CALLERS = 6
WORK_S = 0.9
PLAY_S = 30.0
RESTART_S = 0.5
FOREIGN_KEY = "Prüfstand 1"


async def restart_ended(stage, ends):
    """Start a process that has ended again after a short delay, as the platform does."""
    while True:
        await asyncio.sleep(0.05)
        for vm in stage.vms:
            if not vm.is_running():
                ends.append(vm.name)
                stage.note(f"{vm.name} has ended by itself with status {vm.process.returncode}")
                await asyncio.sleep(RESTART_S)
                vm.start()


async def case(stage):
    stage.store.put("op", "config", site3.desired_state(1))
    for number in range(ENGINES):
        await stage.add_replica(number, site3.ENGINE_SERVICE, models=(site3.MODEL,))
    for number in range(PLAIN):
        plain = await stage.add_replica(10 + number, site3.CALL_SERVICE, slots=32)
        plain.work_s = WORK_S
    for number in range(1, VMS + 1):
        (await stage.add_vm(number)).start()
    await stage.wait_ready()
    await asyncio.sleep(4.0)
    ends, lost, received = [], [], []
    stage.spawn(restart_ended(stage, ends))
    address = stage.address(240, 8080)
    await site3.serve_other(stage, address, 404, received)
    if HAS_TROUBLE:
        # Without zone, version, coldLeftMs, callSeq and born.
        entry = {"svc": site3.ENGINE_SERVICE, "address": address, "state": "ready",
                 "batchSlots": 16, "models": [{"name": site3.MODEL, "version": 1}]}
        stage.store.put("servers", FOREIGN_KEY, entry)
        stage.note(f"another writer puts servers/{FOREIGN_KEY}: {entry}")
    for index, vm in enumerate(stage.vms):
        for number in range(CALLERS):
            stage.spawn(site3.call_on_kept_channel(stage, vm, 16 * index + number, lost))
    await asyncio.sleep(3.0)
    stage.store.put("op", f"version/{site3.MODEL}", {"model": site3.MODEL, "version": 2})
    stage.note("a trainer names version 2")
    await asyncio.sleep(PLAY_S)
    ran = {attempt for replica in stage.replicas for _, attempt, _, _ in replica.runs}
    passed_on = [attempt for attempt in lost if attempt in ran]
    versions = [engine.models[site3.MODEL] for engine in stage.replicas[:ENGINES]]
    stage.note(f"versions of the engines after {PLAY_S} s: {versions}")
    stage.note(f"ends by themselves: {dict((name, ends.count(name)) for name in set(ends))}")
    stage.note(f"calls that reached a sound replica and got no answer: {len(passed_on)}")
    return len(passed_on) > 3


sys.exit(play(case, FOLDER / "record.txt"))
