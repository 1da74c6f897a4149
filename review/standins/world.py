"""A small deployment on loopback: entry processes as the deploy file starts them, and stand-ins."""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

from httpkit import BrokenChannel, Reply, ask
from replicas import Engine, Plain, Replica
from store import Store

__all__ = [
    "BOUNDS",
    "CannotRun",
    "HOST",
    "PLAIN_SERVICE",
    "ROLLOUT_ROUTE",
    "ROOT",
    "Rotation",
    "SAFE_ROUTE",
    "Vm",
    "World",
    "engine_service",
    "play",
    "step_document",
    "trouble",
]

ROOT = Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
FRONT_PORT, READY_PORT, PEER_PORT, STORE_PORT = 8263, 8268, 7300, 8266
READY_TIMEOUT_S = 25.0
# Python itself exits with 1 after an error, so run.sh turns another code into its 1.
BROKEN_CODE, FAILED_CODE = 3, 2
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "stableMs": 3000,
    "ackMs": 4000,
    "syncS": 5.7,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "applyMs": 2000,
    "rollbackSlackMs": 250,
    "skewMaxMs": 5000,
    "recoverS": 12,
    "passMs": 120,
    "againS": 0,
    "finishS": 10,
    "statusS": 120,
    "cancelMs": 3000,
    "settleMs": 1000,
    "quotaOver": 0.1,
    "requireFence": False,
    "leaseMs": 3000,
    "unfreezeSlackMs": 300,
}


SAFE_ROUTE = {
    "name": "r1",
    "host": HOST,
    "prefix": "/lohu930/",
    "kind": "safe",
    "svc": "tafel-app",
    "timeoutMs": 2000,
    "sloMs": 192,
    "prio": 2,
    "attempts": 2,
}
ROLLOUT_ROUTE = {
    "name": "r2",
    "host": HOST,
    "prefix": "/pufi791/",
    "kind": "rollout",
    "svc": "kantor-llm",
    "timeoutMs": 10000,
    "sloMs": 400,
    "dueMs": 7500,
    "queueTtlS": 40,
    "prio": 1,
    "attempts": 3,
    "resumable": True,
    "sticky": True,
}
PLAIN_SERVICE = {"name": "tafel-app", "healthPath": "/healthz", "maxConns": 110}


class CannotRun(Exception):
    """The case could not be played."""


def engine_service(slots: int) -> dict[str, object]:
    """Return the service of engines that run so many requests at once."""
    models = [{"name": "m0", "version": 1}]
    engine = {"batchSlots": slots, "kvCapTokens": 41415, "models": models}
    return {"name": "kantor-llm", "healthPath": "/healthz", "maxConns": 170, "engine": engine}


def trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Vm:
    """One machine with its entry process."""

    def __init__(self, world: "World", number: int, zone: str) -> None:
        self.world = world
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        self.ip = world.ip(number)
        self.store_ip = world.ip(100 + number)
        self.settings = world.folder / f"{self.name}.json"
        self.log = world.folder / f"{self.name}.log"
        self.pid_file = world.folder / f"{self.name}.pid"
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        return f"{self.ip}:{FRONT_PORT}"

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    def write_settings(self, **changes: object) -> None:
        zones = {zone: "region-1" for zone in self.world.zones}
        document = {
            "node": self.name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            "zones": zones,
            "listen": {"front": self.front, "ready": f"{self.ip}:{READY_PORT}"},
            "portRange": [PEER_PORT, PEER_PORT + 15],
            "seedAddrs": [],
            "bootstrap": True,
            "inTolerance": False,
            "limits": {"cpuShare": 0.717, "cores": 3, "ramMb": 380, "maxFds": 8200},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "recover", "stream", "batch", "platform"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"{self.store_ip}:{STORE_PORT}",
                "form": "table",
                "writesPerS": 800,
                "readsPerS": 2000,
                "txMs": 3.0,
                "partWritesS": 300,
                "rowBytes": 65536,
                "across": True,
                "historyS": 20,
            },
            **changes,
        }
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(json.dumps(document))
        temporary.replace(self.settings)

    def start(self) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "BALSAMCLEAT_CONFIG": str(self.settings),
        }
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(" "), cwd=ROOT, env=environment, stdout=output, stderr=output
            )
        # run.sh ends the process by this id if the driver can't.
        self.pid_file.write_text(str(self.pid))
        self.world.note("process started", vm=self.name, pid=self.pid)

    def send(self, number: signal.Signals) -> None:
        self.world.note("signal", vm=self.name, signal=number.name)
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.pid_file.unlink(missing_ok=True)

    async def is_ready(self) -> bool:
        try:
            reply = await ask(
                f"{self.ip}:{READY_PORT}", "GET", "/ready", {"Host": self.ip}, b"", 1.0
            )
        except BrokenChannel:
            return False
        return reply.status == 200


class World:
    """The deployment, its record and its clean-up."""

    def __init__(self, folder: Path, zones: tuple[str, ...] = ("z-a",)) -> None:
        self.folder = folder
        self.zones = zones
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.store = Store()
        self.vms: list[Vm] = []
        self.replicas: list[Replica] = []
        self.began_s = time.monotonic()
        self.lines: list[str] = []
        self.config_version = 0

    def ip(self, number: int) -> str:
        return f"{self.net}.{number}"

    def at(self, monotonic_s: float | None = None) -> float:
        """Return a time since the start of the case, in seconds."""
        return round((monotonic_s or time.monotonic()) - self.began_s, 3)

    def note(self, what: str, **fields: object) -> None:
        """Add a line to the record."""
        self.lines.append(json.dumps({"at": self.at(), "what": what, **fields}))

    def configure(self, routes: list[dict[str, object]], services: list[dict[str, object]]) -> None:
        """Write the next desired state, as the operator does."""
        self.config_version += 3
        limits = {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 33554432,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        }
        document = {
            "version": self.config_version,
            "routes": routes,
            "services": services,
            "limits": limits,
        }
        self.store.put("op", "config", document)
        self.note("desired state acknowledged", version=self.config_version, routes=len(routes))

    async def start(self, vms: int, replicas: list[Replica]) -> None:
        """Start replicas and entry processes, and wait until all are ready."""
        self.replicas = replicas
        for replica in replicas:
            await replica.start()
        for number in range(1, vms + 1):
            vm = Vm(self, number, self.zones[(number - 1) % len(self.zones)])
            await self.store.listen(vm.store_ip, STORE_PORT, vm.name)
            vm.write_settings()
            self.vms.append(vm)
            vm.start()
        await self.wait_ready(self.vms)
        # The platform's traffic starts some seconds after the machines do.
        await asyncio.sleep(3.0)

    async def wait_ready(self, vms: list[Vm]) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all([await vm.is_ready() for vm in vms]):
            if time.monotonic() > deadline:
                raise CannotRun("the entry processes are not ready")
            await asyncio.sleep(0.2)

    def engine(self, number: int, slots: int, zone: str = "z-a") -> Engine:
        return Engine(
            f"i-e{number}", "kantor-llm", self.ip(200 + number), 9000, zone, slots, self.store
        )

    def plain(self, number: int, slots: int, zone: str = "z-a") -> Plain:
        return Plain(
            f"i-p{number}", "tafel-app", self.ip(220 + number), 9000, zone, slots, self.store
        )

    def runs(self) -> list[tuple[str, float, int, str]]:
        """Return all runs at replicas in order: id, time, first event, replica."""
        found = [(*run, replica.name) for replica in self.replicas for run in replica.runs]
        return sorted(found, key=lambda run: run[1])

    def note_runs(self) -> None:
        """Add what the replicas ran to the record: id, time and first event of each run."""
        for replica in self.replicas:
            runs = [(attempt, self.at(at_s), first) for attempt, at_s, first in replica.runs]
            self.note("runs", replica=replica.name, count=len(runs), runs=runs)

    async def submit(
        self, vm: Vm, step: str, document: dict, headers: dict[str, str] | None = None
    ) -> Reply:
        """Submit a batch submission once."""
        body = json.dumps(document).encode()
        found = {
            "Host": HOST,
            "Attempt-Id": step,
            "Content-Type": "application/json",
            **(headers or {}),
        }
        reply = await ask(vm.front, "POST", f"/pufi791/{step}", found, body, 8.0)
        self.note("submitted", step=step, vm=vm.name, status=reply.status, bytes=len(body))
        return reply

    async def read(self, vm: Vm, step: str, after: int, wait_ms: int = 0) -> Reply:
        headers = {"Host": HOST, "Wait-Ms": str(wait_ms)} if wait_ms else {"Host": HOST}
        return await ask(vm.front, "GET", f"/lots/{step}?after={after}", headers, b"", 4.0)

    async def end_step(self, vm: Vm, step: str) -> Reply:
        reply = await ask(vm.front, "DELETE", f"/lots/{step}", {"Host": HOST}, b"", 5.0)
        self.note("ended by the trainer", step=step, vm=vm.name, status=reply.status)
        return reply

    def owner(self, step: str) -> str:
        """Return the machine that owns a step; only used to aim a disruption, never to judge."""
        value = self.store.read("steps", step, "owner")
        return "" if value is None else str(json.loads(value)["vm"])


def step_document(
    step: str, groups: int, size: int, body_bytes: int = 600, targets: int | None = None
) -> dict[str, object]:
    """Return a batch submission; the bodies are the same for the same arguments."""
    generator = random.Random(step)
    requests = []
    for number in range(groups * size):
        requests.append(
            {
                "id": f"{step}{number:06x}",
                "path": f"/pufi791/{number:x}",
                "headers": {"Model": "m0", "Token-Usage": "271,160", "Prompt-Prefix": "9c2e41:255"},
                "body": base64.b64encode(generator.randbytes(body_bytes)).decode(),
                "tokens": 431,
                "group": f"{step}g{number // size}",
            }
        )
    return {
        "trainStep": 0,
        "model": "m0",
        "minVersion": 0,
        "targetGroups": targets or max(1, int(groups * 0.9)),
        "requests": requests,
    }


def play(case, record: Path) -> None:
    """Play a case, write its record and exit with ``BROKEN_CODE``, 0 or ``FAILED_CODE``.

    Args:
        case: Coroutine function that gets the world and returns how the rule was broken, or "".
        record: File for the record.
    """
    folder = Path(os.environ["REVIEW_FOLDER"])
    world = World(folder)
    code = FAILED_CODE
    try:
        broken = asyncio.run(run_case(case, world))
        code = BROKEN_CODE if broken else 0
        verdict = broken or "the rule held"
    except (Exception, KeyboardInterrupt, asyncio.CancelledError) as error:
        verdict = f"could not run: {type(error).__name__}: {error}"
    world.note_runs()
    world.note("verdict", trouble=trouble(), verdict=verdict)
    record.write_text("\n".join(world.lines) + "\n")
    print(verdict)
    sys.exit(code)


async def run_case(case, world: World) -> str:
    """Play a case and end all processes that it started, also after a failure or a stop."""
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await case(world)
    finally:
        for vm in world.vms:
            vm.end()


class Rotation:
    """The platform's ingress: asks each machine each second, and chooses one for a new channel."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.misses: dict[str, int] = {vm.name: 0 for vm in world.vms}

    async def run(self) -> None:
        while True:
            await asyncio.gather(*(self.check(vm) for vm in self.world.vms))
            await asyncio.sleep(1.0)

    async def check(self, vm: Vm) -> None:
        was_in = self.is_in(vm)
        self.misses[vm.name] = 0 if await vm.is_ready() else self.misses[vm.name] + 1
        if self.is_in(vm) != was_in:
            self.world.note("rotation", vm=vm.name, in_rotation=self.is_in(vm))

    def is_in(self, vm: Vm) -> bool:
        return self.misses[vm.name] < 2

    def choices(self) -> list[Vm]:
        """Return the machines that get new channels: all if fewer than half are in rotation.

        There is one zone, so the rule for a zone without any machine in rotation doesn't apply.
        """
        ready = [vm for vm in self.world.vms if self.is_in(vm)]
        return ready if 2 * len(ready) >= len(self.world.vms) else list(self.world.vms)
