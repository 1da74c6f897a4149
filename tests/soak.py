"""A randomized soak: real entry processes on loopback, faults from outside, promises checked.

    python tests/soak.py --seeds 1-50 --seconds 20 --vms 6
    python tests/soak.py --seeds 1-5 --seconds 40 --other-sources DIR

Callers and a trainer go on all the while; signals, store faults and target faults come in series
and overlap. With ``--other-sources``, VMs begin with the sources of another build, and are replaced
one after the other, forth and back; there are teams then, and usage is reported. It ends only
processes that it started. A seed that ever failed is kept in ``tests/soak_seeds.txt`` with a line
on its cause, and is played again by the test suite.
"""

import argparse
import base64
import json
import os
import random
import signal
import sys
import tempfile
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import anyio
import anyio.abc

import soak_kept
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, PoolLimits, Request, Response
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite
from balsamcleat.standins.duty_platform import DutyPlatform
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from soak_builds import AUTHORIZATION, TENANTS, broken_duties, replace_vms
from soak_faults import SoakFaults, SoakVm
from soak_link import SoakLink
from soak_poison import MAX_LATE_RUNS, PoisonCaller, late_runs
from soak_stand import SoakTarget, StoreDoor, events_of, scoring_id, serve, stamp_of
from soak_strand import CallLog
from soak_streams import StreamCaller

HOST = "soak.example"
MODEL = "m"
HEADERS = (("Host", HOST), AUTHORIZATION)
ORDER_GAP_S = 1.0
READY_AFTER_S = 6.0
SETTLE_S = 12.0
# Longer than two faults of 5 s in a row and what a feed takes.
IN_FORCE_S = 12.0
VM_PORTS = {"front": 8001, "ready": 8002, "peer": 8003}


@dataclass
class Soak:
    """One seed's world, its faults and what was seen."""

    seed: int
    seconds: float
    folder: Path
    tasks: anyio.abc.TaskGroup
    vms: list[SoakVm] = field(default_factory=list)
    engines: list[SoakTarget] = field(default_factory=list)
    plains: list[SoakTarget] = field(default_factory=list)
    store: MemoryRowStore = field(default_factory=MemoryRowStore)
    broken: list[str] = field(default_factory=list)
    served: int = 0
    asked: int = 0
    steps: int = 0
    version: int = 1
    refused: dict[str, float] = field(default_factory=dict)
    read: dict[tuple[str, int], str] = field(default_factory=dict)
    ended: dict[str, float] = field(default_factory=dict)
    configurations: int = 0
    acked: dict[int, float] = field(default_factory=dict)
    stopping: bool = False
    streams: tuple[int, int, int] = (0, 0, 0)
    call_log: CallLog = field(default_factory=CallLog)
    # Sources of the build that the VMs begin with, if it is another one.
    other_sources: Path | None = None
    duties: DutyPlatform = field(default_factory=DutyPlatform)
    harm: SoakFaults | None = None
    has_kept_route: bool = True

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.net = 10 + self.seed % 200
        self.pool = ConnectionPool(PoolLimits(connect_timeout_s=0.5))

    def address(self, number: int, port: int) -> str:
        return f"127.{self.net}.0.{number}:{port}"

    def write(self, key: str, document: object) -> None:
        row = RowWrite(RowKey("op", "", key), json.dumps(document).encode())
        self.store.apply(RowCommit((row,)))

    def build(self, vms: int) -> None:
        for number in range(3):
            self.engines.append(self.target(f"engine{number}", 100 + number, "llm", MODEL))
        for number in range(2):
            self.plains.append(self.target(f"plain{number}", 110 + number, "app", ""))
        serve(self.tasks, self.address(120, 9200), self.duties.handle)
        self.change_configuration()
        for number in range(vms):
            self.vms.append(self.vm(number))

    def target(self, name: str, number: int, service: str, model: str) -> SoakTarget:
        link = SoakLink(self.address(number, 9000), self.address(number, 9001), self.tasks)
        link.start()
        found = SoakTarget(name, link, service, self.store, self.tasks, model)
        found.rng = random.Random(f"{self.seed}{name}")
        found.start()
        return found

    def vm(self, number: int) -> SoakVm:
        ip = f"127.{self.net}.0.{number + 1}"
        door = StoreDoor(RowStoreView(self.store, RowStoreFlaws(delay_s=0.002)))
        links = [self.vm_link(number, target, door) for target in (*self.engines, *self.plains)]
        serve(self.tasks, self.address(200 + number, 9100), door.answer)
        settings = self.folder / f"vm{number}.json"
        document = {
            "node": f"vm{number}",
            "ip": ip,
            "zone": "ab"[number % 2],
            "zones": {"a": "r", "b": "r"},
            "listen": {
                "front": f"{ip}:{VM_PORTS['front']}",
                "ready": f"{ip}:{VM_PORTS['ready']}",
            },
            "portRange": [VM_PORTS["peer"], VM_PORTS["peer"]],
            "platform": {"address": self.address(200 + number, 9100)},
            "bounds": {"graceS": 6, "leaseMs": ORDER_GAP_S * 1000, "statusS": 120},
        }
        if self.other_sources is not None:
            document["cloudApi"] = {"address": self.address(120, 9200), "duties": ["usage"]}
        settings.write_text(json.dumps(document))
        log = self.folder / f"vm{number}.log"
        return SoakVm(f"vm{number}", ip, door, settings, log, links, self.other_sources)

    def vm_link(self, number: int, target: SoakTarget, door: StoreDoor) -> SoakLink:
        """Return a VM's own link to a target, at an address that only this VM is told."""
        _, _, place = target.link.address.split(":")[0].rpartition(".")
        address = f"127.{self.net}.{number + 1}.{place}:9000"
        door.addresses[target.link.address] = address
        link = SoakLink(address, target.link.address, self.tasks)
        link.start()
        return link

    def change_configuration(self) -> None:
        """Write the next version; each adds a route and moves a timeout."""
        self.configurations += 1
        self.acked[self.configurations] = anyio.current_time()
        self.write("config", self.configuration(self.configurations))

    def configuration(self, version: int) -> dict[str, object]:
        def route(prefix: str, kind: str, service: str, **more: object) -> dict[str, object]:
            known = {"host": HOST, "prefix": prefix, "kind": kind, "svc": service}
            timeout_ms = 3000 - 100 * (version % 3)
            return {**known, "timeoutMs": timeout_ms, "sloMs": 300, "attempts": 3, **more}

        routes = [
            route("/safe/", "safe", "app"),
            route("/once/", "unsafe", "app"),
            route("/stream/", "streaming", "llm", resumable=True),
            route("/steps/", "rollout", "llm", resumable=True, queueTtlS=60, dueMs=7500),
        ]
        if self.has_kept_route:
            kept = route("/kept/", "rollout", "llm", resumable=True, queueTtlS=60, dueMs=7500)
            routes.append({**kept, "host": soak_kept.HOST})
        routes += [route(f"/new{number}/", "safe", "app") for number in range(1, version + 1)]
        engine = {"batchSlots": 8, "models": [{"name": MODEL}]}
        services = [{"name": "app"}, {"name": "llm", "engine": engine}]
        found = {"version": version, "routes": routes, "services": services}
        return found if self.other_sources is None else found | {"tenants": TENANTS}

    def breaks(self, promise: str, detail: str) -> None:
        self.broken.append(f"{promise}: {detail}")

    def choose_vm_address(self) -> str:
        """Return the address of any VM for callers."""
        return front_address(self.rng.choice(self.vms))

    async def ask(
        self, request: Request, timeout_s: float, vm: SoakVm | None = None
    ) -> Response | None:
        """Ask a VM, drawn if none is named; None where no whole answer came."""
        address = front_address(vm) if vm else self.choose_vm_address()
        try:
            fresh = self.rng.random() < 0.5
            return await self.pool.fetch(address, request, timeout_s, force_new_connection=fresh)
        except AttemptFailedError:
            return None

    async def call(self, number: int) -> None:
        """Make live calls, one after the other; each answer must be its own."""
        count = 0
        while not self.stopping:
            count += 1
            kind = self.rng.choice(("safe", "once"))
            attempt = f"{kind}-{number}-{count}"
            headers = (*HEADERS, ("Attempt-Id", attempt), ("Deadline-Ms", "2000"))
            body = os.urandom(8).hex().encode()
            self.asked += 1
            vm, sent_s = self.rng.choice(self.vms), anyio.current_time()
            response = await self.ask(Request("POST", f"/{kind}/x", headers, body), 2.5, vm)
            is_served = response is not None and response.status == 200
            self.call_log.calls.append((sent_s, vm.name, is_served))
            if response is not None and response.status == 200:
                self.served += 1
                if response.body != attempt.encode() + b":" + body:
                    self.breaks("own answer", f"{attempt} got {response.body!r}")
            if response is not None and response.status == 401:
                self.breaks("a valid key is accepted", f"{attempt} at {vm.name}")
            if response is not None and response.status in (429, 503):
                self.refused[attempt] = anyio.current_time()
            await anyio.sleep(self.rng.uniform(0.02, 0.2))

    async def probe(self) -> None:
        """Ask for the newest route; what a process has served once it must go on serving."""
        served: dict[int, int] = {}
        count = 0
        while not self.stopping:
            await anyio.sleep(self.rng.uniform(0.05, 0.2))
            count += 1
            vm, version = self.rng.choice(self.vms), self.configurations
            process = vm.process.pid if vm.process else 0
            sent_s = anyio.current_time()
            headers = (*HEADERS, ("Attempt-Id", f"probe-{count}"), ("Deadline-Ms", "1000"))
            response = await self.ask(Request("GET", f"/new{version}/x", headers), 1.5, vm)
            if response is None or (vm.process is not None and vm.process.pid != process):
                continue
            if response.status == 200:
                served[process] = max(version, served.get(process, 0))
            elif response.status == 404 and served.get(process, 0) >= version:
                self.breaks("a configuration never reverts", f"{vm.name} {version}")
            elif response.status == 404 and sent_s - self.acked[version] > IN_FORCE_S:
                self.breaks("a configuration is in force in seconds", f"{vm.name} {version}")

    async def train(self) -> None:
        """Submit steps, read them from any VM and position, end them, name versions."""
        number = 0
        while not self.stopping:
            step = f"step{self.seed}x{number}"
            items = [
                {
                    "id": f"{step}i{place}",
                    "path": "/steps/g",
                    "group": f"{step}g{place // 4}",
                    "headers": {"Model": MODEL, "Length-Hint": "900"},
                    "body": base64.b64encode(f"{step}{place}".encode()).decode(),
                }
                for place in range(24)
            ]
            if number % 2:
                for item in items:
                    item["scorerUrl"] = {
                        "id": scoring_id(item["id"]),
                        "host": HOST,
                        "path": "/safe/score",
                        "body": item["body"],
                    }
            body = {
                "model": MODEL,
                "minVersion": max(1, self.version - 1),
                "targetGroups": 5,
                "requests": items,
            }
            await self.run_step(step, body, len(items))
            number += 1
            self.version += 1
            self.write(f"version/{MODEL}", {"model": MODEL, "version": self.version})

    async def run_step(self, step: str, body: dict[str, object], count: int) -> None:
        headers = (*HEADERS, ("Attempt-Id", step), ("Content-Type", "application/json"))
        data = json.dumps(body).encode()
        request = Request("POST", "/steps/s", headers, data)
        while True:
            vm = self.rng.choice(self.vms)
            if self.rng.random() < 0.3:
                # A trainer that gets no answer in time may send it again to the same VM.
                self.tasks.start_soon(self.ask, request, 2.5, vm)
            response = await self.ask(request, 2.5, vm)
            if response is not None and response.status == 202:
                break
            if self.stopping:
                return
            await anyio.sleep(0.3)
        oldest = int(str(body["minVersion"]))
        began_s, found = anyio.current_time(), 0
        while found < count * 0.8 and anyio.current_time() - began_s < 12.0:
            position = self.rng.choice((found, found, 0))
            found = max(found, await self.read_results(step, position, count, oldest))
            await anyio.sleep(0.2)
        self.steps += found >= count * 0.8
        if self.harm is not None and self.rng.random() < 0.3:
            # The end meets the take-over of the step.
            self.tasks.start_soon(self.harm.do, partial(self.harm.owner_dies, step))
            await anyio.sleep(self.rng.uniform(1.0, 4.0))
        while not self.stopping:
            end = await self.ask(Request("DELETE", f"/lots/{step}", HEADERS), 2.5)
            if end is not None and end.status == 200:
                self.ended[step] = anyio.current_time()
                return
            await anyio.sleep(0.3)

    async def read_results(self, step: str, position: int, count: int, oldest: int) -> int:
        """Read a page and check it; returns the next position."""
        headers = (*HEADERS, ("Wait-Ms", "500"))
        request = Request("GET", f"/lots/{step}?after={position}", headers)
        response = await self.ask(request, 3.0)
        if response is None or response.status == 503:
            return position
        if response.status != 200:
            self.breaks("step kept", f"{step} read with {response.status}")
            return position
        page = json.loads(response.body)
        if page["totalCount"] != count or page["next"] != position + len(page["results"]):
            self.breaks("positions", f"{step} {page['totalCount']} {page['next']}")
        for offset, result in enumerate(page["results"]):
            self.check_result(step, position + offset, result, oldest)
        return int(page["next"])

    def check_result(self, step: str, position: int, result, oldest: int) -> None:
        text = json.dumps(result, sort_keys=True)
        if self.read.setdefault((step, position), text) != text:
            self.breaks("position never changes", f"{step} {position}")
        known = [at for at, other in self.read.items() if at[0] == step and other == text]
        if len(known) > 1:
            self.breaks("listed once", f"{step} {result['id']} at {known}")
        if result["state"] != "complete":
            self.breaks("given up only where allowed", f"{step} {result['id']}")
            return
        lines = [line.split(":") for line in result["text"].split("\n")]
        numbers = [int(line[1]) for line in lines]
        if numbers != list(range(1, events_of(result["id"]) + 1)):
            self.breaks("whole text", f"{result['id']} has events {numbers}")
        writers = [line[3] for line in lines]
        if len(set(writers)) > 1:
            self.breaks("one software version a sample", f"{result['id']} {writers}")
        made = sorted({int(line[2][1:]) for line in lines})
        if made != result["versions"]:
            self.breaks("versions named", f"{result['id']} {made} {result['versions']}")
        is_scored = int(step.rpartition("x")[2]) % 2 == 1
        score = stamp_of(scoring_id(result["id"])) if is_scored else None
        if result.get("score") != score:
            self.breaks("own score", f"{result['id']} {result.get('score')}")
        if made[0] < oldest:
            self.breaks("staleness", f"{result['id']} {made} under {oldest}")

    async def faults(self) -> SoakFaults:
        """Do harm in series that overlap, then let all settle."""
        until_s = anyio.current_time() + self.seconds
        self.harm = faults = SoakFaults(
            self.rng,
            self.vms,
            self.engines,
            self.plains,
            self.store,
            self.breaks,
            self.change_configuration,
        )
        async with anyio.create_task_group() as harm:
            if self.other_sources is not None:
                harm.start_soon(replace_vms, faults, self.other_sources)
            while anyio.current_time() < until_s:
                harm.start_soon(faults.one)
                await anyio.sleep(self.rng.expovariate(1.0))
        return faults

    def check_poison(self, faults: SoakFaults) -> None:
        """Check that requests which crash targets were not sent again and again."""
        for path, times in late_runs(self.plains, faults.is_calm).items():
            if len(times) > MAX_LATE_RUNS:
                self.breaks("a poisoned request is blocked", f"{path} ran at {times}")

    def check_targets(self) -> None:
        """Check what targets really ran against what callers were told."""
        for target in self.plains:
            seen: set[str] = set()
            for attempt, at_s in target.ran:
                told_s = self.refused.get(attempt)
                if told_s is not None:
                    self.breaks("not run is true", f"{attempt} ran {at_s - told_s:+.2f} s")
                if attempt.startswith("once") and attempt in seen:
                    self.breaks("at most once", attempt)
                seen.add(attempt)
        once = [a for t in self.plains for a, _ in t.ran if a.startswith("once")]
        for attempt in {a for a in once if once.count(a) > 1}:
            self.breaks("at most once", attempt)
        for engine in self.engines:
            self.check_samples(engine)
            self.check_orders(engine)

    def check_samples(self, engine: SoakTarget) -> None:
        for sample, at_s in engine.ran:
            ended_s = self.ended.get(sample.split("i")[0])
            if ended_s is not None and at_s - ended_s > 3.0:
                self.breaks("an ended step stops", f"{sample} {at_s - ended_s:.2f} s later")

    def check_leaving(self) -> None:
        for target in (*self.plains, *self.engines):
            if target.late_after_drain:
                self.breaks("leaving targets get no new work", target.name)

    def check_orders(self, engine: SoakTarget) -> None:
        for before, after in zip(engine.order_log, engine.order_log[1:], strict=False):
            if after[2] < before[2]:
                self.breaks("fencing numbers grow", f"{engine.name} {before} {after}")
            if before[1] != after[1] and after[0] - before[0] < ORDER_GAP_S:
                self.breaks("one holder of orders", f"{engine.name} {before} {after}")

    def stream_caller(self) -> StreamCaller:
        """Return the caller of streams."""
        rng = random.Random(f"streams {self.seed}")
        return StreamCaller(HOST, self.choose_vm_address, self.breaks, rng)

    def kept_step(self) -> soak_kept.KeptStep:
        """Return the step whose route is removed."""

        def remove_route() -> None:
            self.has_kept_route = False
            self.change_configuration()

        headers = (("Host", soak_kept.HOST), AUTHORIZATION)
        rng = random.Random(f"kept {self.seed}")
        return soak_kept.KeptStep(self.ask, headers, MODEL, remove_route, self.breaks, rng)

    async def play(self, vms: int) -> None:
        """Play the seed to its end."""
        self.build(vms)
        for vm in self.vms:
            vm.start()
        try:
            await anyio.sleep(READY_AFTER_S)
            async with anyio.create_task_group() as users:
                for number in range(6):
                    users.start_soon(self.call, number)
                users.start_soon(self.train)
                users.start_soon(self.probe)
                poison = PoisonCaller(self.seed, HOST, self.choose_vm_address)
                users.start_soon(poison.run)
                streams = self.stream_caller()
                users.start_soon(streams.run)
                users.start_soon(self.kept_step().run)
                faults = await self.faults()
                before = (self.served, self.steps)
                self.harm = None
                await anyio.sleep(SETTLE_S)
                if self.served == before[0] or self.steps == before[1]:
                    self.breaks("recovers", f"{before} -> {(self.served, self.steps)}")
                self.stopping = True
                users.cancel_scope.cancel()
            self.check_targets()
            self.check_leaving()
            self.check_poison(faults)
            for broken in broken_duties(self.duties, ORDER_GAP_S):
                self.breaks("duties", broken)
            self.call_log.disturbances = faults.disturbances
            for stranding in faults.strandings:
                broken = self.call_log.broken(stranding)
                if broken:
                    self.breaks("callers of VMs that lost their links are served", broken)
            self.streams = (streams.finished, streams.resumed, streams.refused)
        finally:
            for vm in self.vms:
                vm.send(signal.SIGCONT)
                vm.end()


def front_address(vm: SoakVm) -> str:
    """Return a VM's address for callers."""
    return f"{vm.ip}:{VM_PORTS['front']}"


async def play_seed(
    seed: int, seconds: float, vms: int, folder: Path, other_sources: Path | None = None
) -> Soak:
    """Play one seed; its logs stay in the folder."""
    async with anyio.create_task_group() as tasks:
        soak = Soak(seed, seconds, folder, tasks, other_sources=other_sources)
        await soak.play(vms)
        tasks.cancel_scope.cancel()
    return soak


def main() -> int:
    """Play seeds one after the other; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-3", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults a seed")
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--other-sources", type=Path, help="of the build that VMs begin with")
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        soak = anyio.run(
            play_seed, seed, options.seconds, options.vms, folder, options.other_sources
        )
        verdict = "BROKEN" if soak.broken else "kept"
        poison = sum(len(target.poison_runs) for target in soak.plains)
        print(
            f"seed {seed}: {verdict}; {soak.served} of {soak.asked} calls, {soak.steps} steps,"
            f" {poison} runs of poison, streams {soak.streams} (whole, resumed, begun anew),"
            f" {len(soak.duties.calls)} usage reports"
        )
        for line in soak.broken[:8]:
            print(f"  {line}")
        if soak.broken:
            failed += 1
            print(f"  logs: {folder}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
