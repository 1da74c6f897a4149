"""Small deployment on loopback: store, targets, entry processes and HTTP helpers of the cases.

The stand-ins use the standard library only and follow the operators' pages. A case starts the
entry processes with the command of the deploy file and talks to them as callers do.
"""

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
STORE_ANSWER_S = 0.004
HEARTBEAT_S = 1.2
STORE_PORT, FRONT_PORT, READY_PORT, PEER_PORT, TARGET_PORT = 8266, 8263, 8268, 7300, 8080
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableMs": 3000, "ackMs": 4000, "syncS": 4.7,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "applyMs": 2000, "rollbackSlackMs": 250,
    "skewMaxMs": 5000, "recoverS": 12, "passMs": 120, "againS": 0, "finishS": 10, "statusS": 120,
    "cancelMs": 3000, "settleMs": 1000, "quotaOver": 0.1, "requireFence": False, "leaseMs": 3000,
    "unfreezeSlackMs": 300,
}


PR_SET_PDEATHSIG = 1


def end_with_parent() -> None:
    """Have the kernel end this process when the case that started it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CaseNotRunError(Exception):
    """The case could not be run, so it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.began_s = time.monotonic()

    def line(self, who: str, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.began_s:8.3f} {who:<12} {text}\n")
        self.file.flush()


@dataclass
class HttpMessage:
    """Request or response that was read from a connection."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def header(self, name: str) -> str | None:
        return next((v for k, v in self.headers if k.lower() == name.lower()), None)

    @property
    def status(self) -> int:
        return int(self.first_line.split(" ")[1])

    @property
    def method(self) -> str:
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first_line.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> HttpMessage:
    data = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first_line, *lines = data[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return HttpMessage(first_line, [(name, value.strip()) for name, _, value in pairs])


async def read_message(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a message with a body of known length, in chunks, or up to the end of the channel.

    Raises:
        asyncio.IncompleteReadError: The channel ended too early.
        OSError: The channel was reset.
    """
    message = await read_head(reader)
    length = message.header("Content-Length")
    if length is not None:
        message.body = await reader.readexactly(int(length))
    elif (message.header("Transfer-Encoding") or "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
            message.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
    elif message.first_line.startswith("HTTP/"):
        message.body = await reader.read()
    return message


def response_bytes(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode() + body


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> HttpMessage:
    """Send a request on a new channel and return the whole response.

    Raises:
        OSError, asyncio.IncompleteReadError, TimeoutError: There was no whole response.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items())]
            head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""])
            writer.write(head.encode() + body)
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()


Handler = Callable[[HttpMessage, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]


class Listener:
    """Listening socket of a stand-in; ``handler`` returns whether the channel stays open."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.writers: set[asyncio.StreamWriter] = set()
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while await self.handler(await read_message(reader), reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()

    def abort_clients(self) -> None:
        """Reset all open channels and end what runs on them."""
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Servers:
    """All listening sockets of the stand-ins."""

    def __init__(self) -> None:
        self.listeners: list[Listener] = []

    async def listen(self, address: str, handler: Handler) -> Listener:
        listener = Listener(handler)
        await listener.listen(address)
        self.listeners.append(listener)
        return listener

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()


@dataclass
class Store:
    """Table of the platform's store: linearizable rows, one counter, a change feed.

    Attributes:
        on_call: Called before each call; may delay it, and returns a status to refuse it with.
        after_call: Called with each answer before it is sent; returns whether it is sent.
    """

    rows: dict[tuple[str, str, str], tuple[str, int]] = field(default_factory=dict)
    history: list[dict[str, object]] = field(default_factory=list)
    version: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    on_call: Callable[[HttpMessage], Awaitable[int | None]] | None = None
    after_call: Callable[[HttpMessage], Awaitable[bool]] | None = None

    def now_ms(self) -> float:
        return round(time.monotonic() * 1000.0, 3)

    def put(self, table: str, key: str, document: object, part: str = "") -> int:
        """Write a row as the operator or a target does; return its version."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        return self.apply([(table, part, key, value)])

    def delete(self, table: str, key: str, part: str = "") -> int:
        return self.apply([(table, part, key, None)])

    def apply(self, writes: list[tuple[str, str, str, str | None]]) -> int:
        self.version += 1
        for table, part, key, value in writes:
            name = {"table": table, "part": part, "key": key, "ver": self.version}
            if value is None:
                self.rows.pop((table, part, key), None)
                self.history.append({**name, "deleted": True})
            else:
                self.rows[table, part, key] = (value, self.version)
                self.history.append({**name, "value": value})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def row(self, table: str, part: str, key: str) -> dict[str, object]:
        value, version = self.rows[table, part, key]
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    async def handle(
        self, request: HttpMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        status = await self.on_call(request) if self.on_call else None
        if status == 0:
            writer.transport.abort()
            return False
        body: dict[str, object] = {}
        if status is None:
            await asyncio.sleep(STORE_ANSWER_S)
            status, body = await self.answer(request)
        if self.after_call and not await self.after_call(request):
            # The channel delivers nothing further.
            await asyncio.sleep(3600)
        body |= {"ver": self.version, "nowMs": self.now_ms()}
        headers = {"Content-Type": "application/json"}
        writer.write(response_bytes(status, headers, json.dumps(body).encode()))
        await writer.drain()
        return True

    async def answer(self, request: HttpMessage) -> tuple[int, dict[str, object]]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/rows-tx":
            return self.commit(json.loads(request.body))
        if url.path == "/rows-get":
            return 200, self.read(query)
        if url.path == "/rows-parts":
            after = query.get("after", "")
            parts = {part for table, part, _ in self.rows if table == query["table"]}
            found = sorted(part for part in parts if part > after)
            return 200, {"parts": found[:1000], "hasMore": len(found) > 1000}
        if url.path == "/rows-feed":
            return 200, await self.feed(query)
        return 404, {}

    def commit(self, body: dict) -> tuple[int, dict[str, object]]:
        entries = [*body["expected"], *body["puts"], *body.get("remove", [])]
        if len(entries) > 100 or any(e["table"] in ("op", "servers") for e in entries):
            return 400, {}
        keys = [(e["table"], e["part"], e["key"]) for e in body["expected"]]
        if any(self.rows.get(k, ("", 0))[1] != e["ver"] for k, e in zip(keys, body["expected"])):
            return 412, {"rows": [self.row(*key) for key in keys if key in self.rows]}
        writes = [(e["table"], e["part"], e["key"], e["value"]) for e in body["puts"]]
        writes += [(e["table"], e["part"], e["key"], None) for e in body.get("remove", [])]
        self.apply(writes)
        return 200, {}

    def read(self, query: dict[str, str]) -> dict[str, object]:
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(500, int(query.get("limit", "500")))
        keys = sorted(
            key
            for table, part, key in self.rows
            if (table, part) == (query["table"], query.get("part", ""))
            and key >= start
            and (not end or key < end)
        )
        rows: list[dict[str, object]] = []
        size = 0
        for key in keys[:limit]:
            row = self.row(query["table"], query.get("part", ""), key)
            size += len(str(row["value"]))
            if rows and size > 1_000_000:
                break
            rows.append(row)
        return {"rows": rows, "hasMore": len(keys) > len(rows)}

    async def feed(self, query: dict[str, str]) -> dict[str, object]:
        until_s = time.monotonic() + min(30.0, int(query.get("waitMs", "0")) / 1000.0)
        after = int(query["after"])
        while True:
            found = [
                row for row in self.history if row["table"] == query["table"] and row["ver"] > after
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0.0:
                return {"rows": found}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left_s)


@dataclass
class EntryVm:
    """Entry process on an address of its own."""

    name: str
    ip: str
    zone: str
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> str:
        return f"{self.ip}:{FRONT_PORT}"

    def signal(self, number: int) -> None:
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)


class World:
    """Store, entry VMs and targets of one case; ends all processes that it started."""

    def __init__(self, folder: Path, vm_count: int, zones: tuple[str, ...] = ("z-a", "z-b")) -> None:
        self.record = Record(folder)
        self.servers = Servers()
        self.store = Store()
        self.tasks: list[asyncio.Task] = []
        self.temporary = Path(tempfile.mkdtemp(prefix="balsamcleat-case-"))
        self.net = self.find_network()
        self.zones = zones
        self.vms = [self.create_vm(number) for number in range(vm_count)]

    def find_network(self) -> str:
        """Return the first three bytes of loopback addresses whose ports are free.

        Raises:
            CaseNotRunError: None was found.
        """
        generator = random.Random()
        for _ in range(50):
            net = f"127.{generator.randrange(20, 250)}.{generator.randrange(1, 250)}"
            try:
                for port in (STORE_PORT, FRONT_PORT, READY_PORT, PEER_PORT, TARGET_PORT, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.1", port))
            except OSError:
                continue
            return net
        raise CaseNotRunError("no free loopback addresses")

    def address(self, number: int, port: int = TARGET_PORT) -> str:
        return f"{self.net}.{number}:{port}"

    def create_vm(self, number: int) -> EntryVm:
        zone = self.zones[number % len(self.zones)]
        ip = f"{self.net}.{10 + number}"
        name = f"front-{zone}-{1 + number}"
        document = {
            "node": name, "role": "entry", "machineClass": "front", "serves": ["front"], "ip": ip,
            "zone": zone, "region": "r", "zones": {zone: "r" for zone in self.zones},
            "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"},
            "portRange": [PEER_PORT, PEER_PORT + 15], "seedAddrs": [], "bootstrap": True,
            "limits": {"cpuShare": 0.717, "cores": 3, "ramMb": 170, "maxFds": 8200, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "samples", "stream",
                          "engine", "batch", "platform"],
            "bounds": BOUNDS,
            "platform": {"address": self.address(1, STORE_PORT), "form": "table",
                         "writesPerS": 800, "readsPerS": 2000, "txMs": 3.0, "partWritesS": 300,
                         "rowBytes": 65536, "across": True, "historyS": 20, "blobBytes": 8388608,
                         "blobMs": 25.0, "blobMbS": 80.0},
        }
        settings = self.temporary / f"{name}.json"
        settings.write_text(json.dumps(document))
        return EntryVm(name, ip, zone, settings, self.temporary / f"{name}.log")

    async def start_vm(self, vm: EntryVm) -> None:
        """Start the entry process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BALSAMCLEAT_CONFIG"] = str(vm.settings)
        with vm.log.open("ab") as log:
            vm.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log,
                preexec_fn=end_with_parent,
            )
        self.record.line(vm.name, f"process {vm.process.pid} started at {vm.ip}")

    async def start(self) -> None:
        """Start the store and the VMs, and wait until all VMs are ready.

        Raises:
            CaseNotRunError: A VM did not get ready.
        """
        await self.servers.listen(self.address(1, STORE_PORT), self.store.handle)
        for vm in self.vms:
            await self.start_vm(vm)
        for vm in self.vms:
            await self.wait_ready(vm)
        # Traffic starts 12 s after the machines do; a few of them let the VMs know each other.
        await asyncio.sleep(3.0)

    async def wait_ready(self, vm: EntryVm) -> None:
        until_s = time.monotonic() + 20.0
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
                ready = f"{vm.ip}:{READY_PORT}"
                if (await call(ready, "GET", "/ready", {"Host": ready}, timeout_s=1.0)).status == 200:
                    self.record.line(vm.name, "ready")
                    return
            await asyncio.sleep(0.1)
        raise CaseNotRunError(f"{vm.name} did not get ready: {vm.log.read_text()[-2000:]}")

    def register(self, target_id: str, entry: dict[str, object]) -> asyncio.Task:
        """Keep a target's entry in the store, written again at each heartbeat of the task."""

        async def beat() -> None:
            count = 0
            while True:
                count += 1
                self.store.put("servers", target_id, {**entry, "callSeq": count})
                await asyncio.sleep(HEARTBEAT_S)

        task = asyncio.create_task(beat())
        self.tasks.append(task)
        return task

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        for vm in self.vms:
            if vm.process is None:
                continue
            if vm.process.returncode is None:
                vm.signal(signal.SIGCONT)
                vm.signal(signal.SIGKILL)
            await vm.process.wait()
        self.servers.close()
        shutil.rmtree(self.temporary, ignore_errors=True)

    def check_processes(self) -> None:
        """Check that no entry process has ended by itself.

        Raises:
            CaseNotRunError: One has.
        """
        for vm in self.vms:
            if vm.process is not None and vm.process.returncode is not None:
                raise CaseNotRunError(f"{vm.name} has ended: {vm.log.read_text()[-2000:]}")


def run_case(folder: Path, play: Callable[[World], Awaitable[list[str]]], vm_count: int) -> None:
    """Play a case and exit with its result; ``play`` returns how the rule was broken."""

    async def run() -> int:
        try:
            world = World(folder, vm_count)
        except (CaseNotRunError, OSError) as error:
            print(f"not run: {error!r}")
            return NOT_RUN
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(110.0):
                broken = await play(world)
        except (Exception, asyncio.CancelledError) as error:
            world.record.line("case", f"not run: {error!r}")
            print(f"not run: {error!r}")
            return NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                for vm in world.vms:
                    shutil.copy(vm.log, os.environ["KEEP_LOGS"])
            await world.close()
        for line in broken:
            world.record.line("broken", line)
            print(f"broken: {line}")
        world.record.line("case", f"trouble {'on' if TROUBLE else 'off'}: {len(broken)} broken")
        return BROKEN if broken else HELD

    sys.exit(asyncio.run(run()))
