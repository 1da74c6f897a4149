"""A randomized soak: real entry processes on loopback, faults from outside, promises checked.

    python tests/soak.py --seeds 1-50 --seconds 20 --vms 6
    python tests/soak.py --seeds 1-5 --seconds 40 --other-sources DIR

Callers and a trainer go on all the while; signals, store faults and target faults come in series
and overlap. At the end all VMs lose power at once, with the store away, and every step is read
again from its start at every VM. With ``--other-sources``, VMs begin with the sources of another
build, and are replaced one after the other, forth and back, unless ``--no-replacement`` is given;
there are teams then, and usage is reported. It ends only processes that it started. A seed that
ever failed is kept in ``tests/soak_seeds.txt`` with a line on its cause, and is played again by the
test suite.
"""

import argparse
import json
import os
import random
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

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
from soak_networks import claim_network
from soak_poison import MAX_LATE_RUNS, PoisonCaller, late_runs
from soak_power_loss import PowerLoss, drop_results
from soak_read_again import FINISH_S, STATUS_S, ExpectedStep, ReadAgain
from soak_stand import SoakTarget, StoreDoor, serve
from soak_strand import CallLog
from soak_streams import StreamCaller
from soak_trainer import SoakTrainer

HOST = "soak.example"
MODEL = "m"
HEADERS = (("Host", HOST), AUTHORIZATION)
ORDER_GAP_S = 1.0
# Three times the attempts of the route of steps.
MAX_FAILURES = 9
READY_AFTER_S = 6.0
SETTLE_S = 12.0
# Steps that each trainer submits besides its own around the loss of power, within this time.
STEPS_AHEAD = 4
AHEAD_S = 3.0
TRAFFIC_AFTER_LOSS_S = 4.0
# Longer than two faults of 5 s in a row and what a feed takes.
IN_FORCE_S = 12.0
# Lines printed of each promise that a seed broke.
MAX_PRINTED_LINES = 4
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
    refused: dict[str, float] = field(default_factory=dict)
    trainers: list[SoakTrainer] = field(default_factory=list)
    configurations: int = 0
    acked: dict[int, float] = field(default_factory=dict)
    stopping: bool = False
    streams: tuple[int, int, int] = (0, 0, 0)
    call_log: CallLog = field(default_factory=CallLog)
    # Sources of the build that the VMs begin with, if it is another one.
    other_sources: Path | None = None
    duties: DutyPlatform = field(default_factory=DutyPlatform)
    # Number of models, each of which has a trainer.
    models: int = 1
    # Plants a fault: the store loses the result rows of one step while no VM has power.
    drops_results: bool = False
    dropped_step: str = ""
    # Whether VMs of the other build are replaced by those of this one.
    replaces_vms: bool = True
    has_kept_route: bool = True
    kept: soak_kept.KeptStep | None = None
    read_again: ReadAgain | None = None
    # Steps whose end was acknowledged, and other submitted ones, as all VMs lost power.
    ended_at_loss: int = 0
    open_at_loss: int = 0

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.net = claim_network(self.seed)
        self.pool = ConnectionPool(PoolLimits(connect_timeout_s=0.5))

    def address(self, number: int, port: int) -> str:
        return f"127.{self.net}.0.{number}:{port}"

    def write(self, key: str, document: object) -> None:
        row = RowWrite(RowKey("op", "", key), json.dumps(document).encode())
        self.store.apply(RowCommit((row,)))

    def build(self, vms: int) -> None:
        for number in range(3):
            self.engines.append(
                self.target(f"engine{number}", 100 + number, "llm", self.model_names)
            )
        for number in range(2):
            self.plains.append(self.target(f"plain{number}", 110 + number, "app", ()))
        serve(self.tasks, self.address(120, 9200), self.duties.handle)
        self.change_configuration()
        for number in range(vms):
            self.vms.append(self.vm(number))

    @property
    def model_names(self) -> tuple[str, ...]:
        """Names of the models that are trained; the first one also serves streams."""
        return (MODEL, *(f"{MODEL}{number}" for number in range(1, self.models)))

    def target(self, name: str, number: int, service: str, models: tuple[str, ...]) -> SoakTarget:
        link = SoakLink(self.address(number, 9000), self.address(number, 9001), self.tasks)
        link.start()
        found = SoakTarget(name, link, service, self.store, self.tasks, models)
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
        engine = {"batchSlots": 8, "models": [{"name": name} for name in self.model_names]}
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

    async def faults(self) -> SoakFaults:
        """Do harm in series that overlap, then let all settle."""
        until_s = anyio.current_time() + self.seconds
        faults = SoakFaults(
            self.rng,
            self.vms,
            self.engines,
            self.plains,
            self.store,
            self.breaks,
            self.change_configuration,
        )
        for trainer in self.trainers:
            trainer.owner_dies = lambda step_id: faults.do(partial(faults.owner_dies, step_id))
        async with anyio.create_task_group() as harm:
            if self.other_sources is not None and self.replaces_vms:
                harm.start_soon(replace_vms, faults, self.other_sources)
            while anyio.current_time() < until_s:
                harm.start_soon(faults.one)
                await anyio.sleep(self.rng.expovariate(1.0))
        for trainer in self.trainers:
            trainer.owner_dies = None
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
        steps = [step for trainer in self.trainers for step in trainer.steps.values()]
        ended = {step.step_id: step.ended_s for step in steps}
        for sample, at_s in engine.ran:
            ended_s = ended.get(sample.split("i")[0])
            if ended_s is not None and at_s - ended_s > 3.0:
                self.breaks("an ended step stops", f"{sample} {at_s - ended_s:.2f} s later")

    def check_failing_samples(self) -> None:
        """Check that samples which fail at each run are given up, whoever owned their steps.

        An owner of the previous build forgets what the owner before it counted.
        """
        failures = Counter(sample for engine in self.engines for sample in engine.failures)
        for sample, count in failures.items():
            if count > MAX_FAILURES and self.other_sources is None:
                self.breaks("a failing sample is given up", f"{sample} failed {count} times")

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

    def trainer(self, number: int, model: str) -> SoakTrainer:
        """Return the trainer of one model."""
        return SoakTrainer(
            f"step{self.seed}t{number}",
            model,
            HOST,
            HEADERS,
            self.vms,
            self.ask,
            self.tasks,
            self.breaks,
            self.name_version,
            self.rng,
        )

    def name_version(self, model: str, version: int) -> None:
        """Name a weight version of a model."""
        self.write(f"version/{model}", {"model": model, "version": version})

    @property
    def steps(self) -> int:
        """Number of steps of which enough results were read in time."""
        return sum(trainer.finished for trainer in self.trainers)

    async def settle(self) -> None:
        """Wait after the last fault; calls and steps must be served again."""
        before = (self.served, self.steps)
        await anyio.sleep(SETTLE_S)
        if self.served == before[0] or self.steps == before[1]:
            self.breaks("recovers", f"{before} -> {(self.served, self.steps)}")

    async def lose_power(self, faults: SoakFaults, users: anyio.abc.TaskGroup) -> None:
        """Let all VMs lose power while trainers submit more steps, which some of them end."""
        for trainer in self.trainers:
            for _ in range(STEPS_AHEAD):
                users.start_soon(self.run_step_later, trainer)
        loss = PowerLoss(self.rng, self.vms, self.store, self.while_down)
        began_s = anyio.current_time()
        await faults.do(loss.happen)
        faults.disturb(self.vms, began_s)
        await anyio.sleep(self.rng.uniform(0.0, TRAFFIC_AFTER_LOSS_S))

    async def run_step_later(self, trainer: SoakTrainer) -> None:
        await anyio.sleep(self.rng.uniform(0.0, AHEAD_S))
        await trainer.run_step()

    def while_down(self) -> None:
        """Count the steps, and drop the results of one that were read if this fault is planted."""
        steps = [step for trainer in self.trainers for step in trainer.steps.values()]
        ended = {step.step_id for step in steps if step.ended_s is not None}
        self.ended_at_loss, self.open_at_loss = len(ended), len(steps) - len(ended)
        read = {step_id for trainer in self.trainers for step_id, _ in trainer.read}
        if self.drops_results and ended & read:
            # Readers of an open step would see other results at its positions.
            self.dropped_step = self.rng.choice(sorted(ended & read))
            drop_results(self.store, self.dropped_step)

    def expected_steps(self) -> list[ExpectedStep]:
        """Return the accepted steps that must be readable until the last reader is done."""
        found = []
        still_s = anyio.current_time() + FINISH_S - STATUS_S
        for trainer in self.trainers:
            for step in trainer.steps.values():
                is_over = step.is_end_sent and step.submitted_s < still_s
                if step.accepted_s is not None and not is_over:
                    read = trainer.read.items()
                    results = {at: text for (name, at), text in read if name == step.step_id}
                    found.append(ExpectedStep(step, results))
        if self.kept is not None and self.kept.is_submitted:
            found.append(ExpectedStep(self.kept.submitted_step(), self.kept.read))
        return found

    async def play(self, vms: int) -> None:
        """Play the seed to its end."""
        self.build(vms)
        for engine in self.engines:
            engine.fails_samples = True
        for vm in self.vms:
            vm.start()
        try:
            await anyio.sleep(READY_AFTER_S)
            await self.play_users()
        finally:
            for vm in self.vms:
                vm.send(signal.SIGCONT)
                vm.end()

    async def play_users(self) -> None:
        """Let users go on through all faults, read all steps again, and check."""
        streams, self.kept = self.stream_caller(), self.kept_step()
        poison = PoisonCaller(self.seed, HOST, self.choose_vm_address)
        self.trainers += [self.trainer(*numbered) for numbered in enumerate(self.model_names)]
        async with anyio.create_task_group() as users:
            for number in range(6):
                users.start_soon(self.call, number)
            for trainer in self.trainers:
                users.start_soon(trainer.train)
            for user in (self.probe, poison.run, streams.run, self.kept.run):
                users.start_soon(user)
            faults = await self.faults()
            await self.settle()
            await self.lose_power(faults, users)
            self.stopping = True
            users.cancel_scope.cancel()
        self.read_again = ReadAgain(self.vms, self.ask, self.expected_steps(), self.breaks)
        await self.read_again.run()
        self.streams = (streams.finished, streams.resumed, streams.refused)
        self.check(faults)

    def check(self, faults: SoakFaults) -> None:
        """Check what was written down on the way."""
        self.check_targets()
        self.check_leaving()
        self.check_poison(faults)
        self.check_failing_samples()
        for broken in broken_duties(self.duties, ORDER_GAP_S):
            self.breaks("duties", broken)
        self.call_log.disturbances = faults.disturbances
        for stranding in faults.strandings:
            broken = self.call_log.broken(stranding)
            if broken:
                self.breaks("callers of VMs that lost their links are served", broken)


def front_address(vm: SoakVm) -> str:
    """Return a VM's address for callers."""
    return f"{vm.ip}:{VM_PORTS['front']}"


async def play_seed(seed: int, seconds: float, vms: int, folder: Path, **options: Any) -> Soak:
    """Play one seed; its logs stay in the folder, and the options are fields of ``Soak``."""
    async with anyio.create_task_group() as tasks:
        soak = Soak(seed, seconds, folder, tasks, **options)
        await soak.play(vms)
        tasks.cancel_scope.cancel()
    return soak


def parse_options() -> argparse.Namespace:
    """Return the options of the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1-3", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=20.0, help="of faults a seed")
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--other-sources", type=Path, help="of the build that VMs begin with")
    parser.add_argument("--no-replacement", action="store_true", help="keep the other build")
    parser.add_argument("--models", type=int, default=1, help="each with a trainer")
    parser.add_argument("--drop-results", action="store_true", help="plant a fault of the store")
    return parser.parse_args()


def print_outcome(soak: Soak) -> None:
    """Print what a seed did and which promises it broke."""
    verdict = "BROKEN" if soak.broken else "kept"
    poison = sum(len(target.poison_runs) for target in soak.plains)
    print(
        f"seed {soak.seed}: {verdict}; {soak.served} of {soak.asked} calls, {soak.steps} steps,"
        f" {poison} runs of poison, streams {soak.streams} (whole, resumed, begun anew),"
        f" {len(soak.duties.calls)} usage reports"
    )
    if soak.read_again is not None:
        steps = f"{soak.ended_at_loss} steps ended, {soak.open_at_loss} open"
        print(f"  power lost with {steps}; {soak.read_again.summary}")
    printed: Counter[str] = Counter()
    for line, count in Counter(soak.broken).items():
        promise = line.partition(":")[0]
        printed[promise] += 1
        if printed[promise] <= MAX_PRINTED_LINES:
            print(f"  {line}" + f" ({count} times)" * (count > 1))
    if soak.broken:
        print(f"  logs: {soak.folder}", flush=True)


def main() -> int:
    """Play seeds one after the other; returns 1 if a promise was broken."""
    options = parse_options()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        play = partial(
            play_seed,
            other_sources=options.other_sources,
            replaces_vms=not options.no_replacement,
            drops_results=options.drop_results,
            models=options.models,
        )
        soak = anyio.run(play, seed, options.seconds, options.vms, folder)
        print_outcome(soak)
        failed += bool(soak.broken)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
