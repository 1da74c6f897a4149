"""One item of a batch submission has a header whose value has letters beyond ASCII."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-3"))

import site3
from stage import HOST, play, request_bytes, trouble

VMS, ENGINES = 3, 3
ITEMS, MARKED = 16, 3
# Time budget of a step's kind of request on the site.
STEP_S = 12.0
# An item may wait for a replica for this long.
MAX_WAIT_S = 5.0
STEP = "7c41e09b52d6a3f8"
HALF = 0.5


async def case(stage):
    stage.store.put("op", "config", site3.desired_state(1))
    for number in range(ENGINES):
        await stage.add_replica(number, site3.ENGINE_SERVICE, models=(site3.MODEL,))
    for number in range(1, VMS + 1):
        (await stage.add_vm(number)).start()
    await stage.wait_ready()
    await asyncio.sleep(4.0)
    body = json.loads(site3.submission(STEP, ITEMS))
    title = "Leserbrief, Grüße" if trouble() else "Leserbrief, Gruesse"
    body["requests"][MARKED]["headers"]["Title"] = title
    began = time.monotonic()
    data = json.dumps(body, ensure_ascii=False).encode()
    status = await site3.submit(stage.vms[0], STEP, data)
    stage.note(f"submission: {status}; header of item {MARKED}: Title: {title}")
    fullest, listed = 0.0, []
    while time.monotonic() - began < STEP_S:
        await asyncio.sleep(0.5)
        page = await site3.read_results(stage.vms[1], STEP, len(listed))
        listed += page["results"] if page else []
        running = sum(engine.running for engine in stage.replicas)
        if time.monotonic() - began > STEP_S - MAX_WAIT_S - 0.5:
            fullest = max(fullest, running / sum(engine.slots for engine in stage.replicas))
    item = site3.item_id(STEP, MARKED)
    runs = [run for engine in stage.replicas for run in engine.runs]
    stage.note(f"after {STEP_S} s: listed {len(listed)} of {ITEMS}; runs of the other items "
               f"{sum(run[1] != item for run in runs)}, of item {MARKED}: "
               f"{sum(run[1] == item for run in runs)}; replicas at most {fullest:.0%} full "
               f"in the last {MAX_WAIT_S} s")
    data = request_bytes("DELETE", f"/lots/{STEP}", (("Host", HOST),))
    stage.note(f"end: {await site3.status_of(stage.vms[0], data, 3.0)}")
    is_done = any(result["id"] == item for result in listed)
    has_run = any(run[1] == item for run in runs)
    others_began = any(run[1] != item for run in runs)
    return status == 202 and not is_done and not has_run and others_began and fullest < HALF


sys.exit(play(case, FOLDER / "record.txt"))
