"""Stand-ins of the store, of replicas and of clients, and real entry processes, on loopback.

Only the standard library is used. A case imports this module, builds a stage and plays on it.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
STORE_ANSWER_S = 0.004
STORE_TX_S = 0.003
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
TX_ENTRIES = 100
TX_BYTES = 1_000_000
ROW_BYTES = 65536
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "stableMs": 3000, "ackMs": 4000, "syncS": 4.7,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "applyMs": 2000,
    "rollbackSlackMs": 250, "skewMaxMs": 5000, "recoverS": 12, "passMs": 120, "againS": 0,
    "finishS": 10, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOver": 0.1,
    "requireFence": False, "leaseMs": 3000, "unfreezeSlackMs": 300,
}
HOST = "ficu95.example"
FRONT_PORT, READY_PORT, CONTROL_PORT, PEER_PORT = 8144, 8140, 8146, 7660
STORE_PORT, REPLICA_PORT = 8142, 8080
MAX_MACHINES = 12


class CannotRun(Exception):
    """The case could not run here."""


class Message:
    """Request or response as read from a socket."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def header(self, name, default=None):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.first.split()[1])

    @property
    def method(self):
        return self.first.split()[0]

    @property
    def target(self):
        return self.first.split()[1]

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        pairs = parse_qs(self.target.partition("?")[2], keep_blank_values=True)
        return {name: values[0] for name, values in pairs.items()}


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the connection."""
    try:
        block = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = block.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readline()).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readline()
    return data


async def read_message(reader, *, is_response=False):
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while data := await read_chunk(reader):
            body += data
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read() if is_response else b""
    return Message(first, headers, body)


def response_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def request_bytes(method, target, headers=(), body=b""):
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reset(writer):
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.close()


class Store:
    """The platform's store: rows, one counter of versions, feeds."""

    def __init__(self):
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.began = time.monotonic()
        self.calls = 0

    def now_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    def put(self, table, key, document):
        """Write a row of the operator or of a replica; return the time of its ack."""
        self.apply([], [{"table": table, "part": "", "key": key,
                         "value": base64.b64encode(json.dumps(document).encode()).decode()}], [])
        return time.monotonic()

    def drop(self, table, key):
        self.apply([], [], [{"table": table, "part": "", "key": key}])

    def apply(self, expected, puts, removes):
        for entry in expected:
            key = (entry["table"], entry["part"], entry["key"])
            if self.rows.get(key, ("", 0))[1] != entry["ver"]:
                rows = []
                for other in expected:
                    name = (other["table"], other["part"], other["key"])
                    if name in self.rows:
                        rows.append(self.row(name))
                return 412, {"ver": self.version, "nowMs": self.now_ms(), "rows": rows}
        self.version += 1
        for entry in puts:
            key = (entry["table"], entry["part"], entry["key"])
            self.rows[key] = (entry["value"], self.version)
            self.history.append((key, entry["value"], self.version))
        for entry in removes:
            key = (entry["table"], entry["part"], entry["key"])
            self.rows.pop(key, None)
            self.history.append((key, None, self.version))
        self.changed.set()
        self.changed = asyncio.Event()
        return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def row(self, key):
        value, version = self.rows[key]
        return {"table": key[0], "part": key[1], "key": key[2], "value": value, "ver": version}

    async def answer(self, message):
        """Return status and body of the answer to a call of the system."""
        self.calls += 1
        if message.path == "/rows-tx":
            await asyncio.sleep(STORE_ANSWER_S + STORE_TX_S)
            return self.transact(message)
        query = message.query
        if message.path == "/rows-feed":
            return await self.feed(query)
        await asyncio.sleep(STORE_ANSWER_S)
        if message.path == "/rows-parts":
            names = sorted({key[1] for key in self.rows if key[0] == query["table"]})
            after = query.get("after", "")
            names = [name for name in names if name > after or not after]
            return 200, {"parts": names[:1000], "hasMore": len(names) > 1000}
        if message.path == "/rows-get":
            return self.read(query)
        return 404, {}

    def transact(self, message):
        body = json.loads(message.body)
        expected, puts = body.get("expected", []), body.get("puts", [])
        removes = body.get("remove", [])
        if len(expected) + len(puts) + len(removes) > TX_ENTRIES or len(message.body) > TX_BYTES:
            return 413, {}
        if any(len(entry["value"]) * 3 // 4 > ROW_BYTES + 2 for entry in puts):
            return 413, {}
        parts = {entry["part"] for entry in (*expected, *puts, *removes)}
        if len(parts) > 1 and not body.get("across"):
            return 400, {}
        if any(entry["table"] in ("op", "servers") for entry in (*puts, *removes)):
            return 403, {}
        return self.apply(expected, puts, removes)

    def read(self, query):
        start, end = query.get("from", ""), query.get("to", "")
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        keys = sorted(
            (key for key in self.rows
             if key[0] == query["table"] and key[1] == query.get("part", "")
             and key[2] >= start and (not end or key[2] < end)),
            key=lambda key: key[2].encode(),
        )
        rows, size = [], 0
        for key in keys[:limit]:
            size += len(self.rows[key][0])
            if rows and size > PAGE_BYTES:
                break
            rows.append(self.row(key))
        return 200, {"rows": rows, "hasMore": len(rows) < len(keys), "ver": self.version,
                     "nowMs": self.now_ms()}

    async def feed(self, query):
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        await asyncio.sleep(STORE_ANSWER_S)
        while True:
            rows = [
                {"table": key[0], "part": key[1], "key": key[2], "ver": version,
                 **({"deleted": True} if value is None else {"value": value})}
                for key, value, version in self.history
                if key[0] == query["table"] and version > after
            ]
            left = until - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve(self, address, machine):
        """Serve at an address of its own, for one machine, which has its own way to replicas."""

        async def handle(reader, writer):
            try:
                while (message := await read_message(reader)) is not None:
                    status, body = await self.answer(message)
                    if body.get("rows"):
                        body["rows"] = [way_of(row, machine) for row in body["rows"]]
                    data = json.dumps(body).encode()
                    writer.write(
                        response_bytes(status, (("Content-Type", "application/json"),), data)
                    )
                    await writer.drain()
            except (ConnectionError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                writer.close()

        host, _, port = address.rpartition(":")
        return await asyncio.start_server(handle, host, int(port), limit=2**20)


def way_of(row, machine):
    """Return a row as a machine sees it: each reaches a replica at a port of its own.

    So a replica knows which machine has sent a request.
    """
    if row["table"] != "servers" or "value" not in row:
        return row
    entry = json.loads(base64.b64decode(row["value"]))
    host, _, port = entry["address"].rpartition(":")
    entry["address"] = f"{host}:{int(port) + machine}"
    return {**row, "value": base64.b64encode(json.dumps(entry).encode()).decode()}


class Proxy:
    """A way to an address whose open connections can be silenced or reset."""

    def __init__(self, address, goal):
        self.address, self.goal = address, goal
        self.pairs = set()
        self.silent = set()

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.carry, host, int(port))

    async def carry(self, reader, writer):
        host, _, port = self.goal.rpartition(":")
        try:
            other_reader, other_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        pair = (writer, other_writer)
        self.pairs.add(pair)
        ways = [
            asyncio.ensure_future(self.pump(reader, other_writer, pair)),
            asyncio.ensure_future(self.pump(other_reader, writer, pair)),
        ]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        for way in ways:
            way.cancel()
        self.pairs.discard(pair)
        self.silent.discard(pair)
        writer.close()
        other_writer.close()

    async def pump(self, reader, writer, pair):
        try:
            while data := await reader.read(65536):
                if pair in self.silent:
                    continue
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            for end in pair:
                reset(end)
        while pair in self.silent:
            # A silent connection shows no end, either.
            await asyncio.sleep(0.05)

    def silence(self):
        """Let all open connections go silent; new ones work."""
        self.silent |= self.pairs

    def reset_silent(self):
        """Reset the silent connections, as a keep-alive of the process would by then."""
        for pair in list(self.silent):
            self.silent.discard(pair)
            for end in pair:
                reset(end)


def machine_of(writer):
    """Return the number of the machine that sent a request to a replica."""
    return writer.get_extra_info("sockname")[1] - REPLICA_PORT


class Replica:
    """A sound replica; ``run`` is a coroutine that answers one request."""

    def __init__(self, stage, name, service, address, *, models=(), slots=16):
        self.stage, self.name, self.service, self.address = stage, name, service, address
        self.models = {model: 1 for model in models}
        self.slots = slots
        self.born = int(time.time() * 1000) + random.randrange(1000)
        self.running = 0
        self.orders = 0
        self.beats = 0
        self.busy = False
        # What was run: time, request id, path, number of the machine that sent it.
        self.runs = []
        self.order_log = []
        self.entry_address = address
        self.run = self.run_plain if not models else self.run_stream
        self.work_s = 0.02
        self.event_s = 0.02

    def entry(self, state="ready"):
        self.beats += 1
        entry = {
            "svc": self.service, "address": self.entry_address, "zone": "sofia-a",
            "version": "v1", "batchSlots": self.slots, "state": state, "coldLeftMs": 0,
            "phase": "both", "callSeq": self.beats, "born": self.born,
            "models": [{"name": m, "version": v, "adapters": []} for m, v in self.models.items()],
        }
        return entry

    async def start(self):
        host, _, port = self.address.rpartition(":")
        self.servers = [
            await asyncio.start_server(self.handle, host, int(port) + machine, limit=2**20)
            for machine in range(MAX_MACHINES + 1)
        ]
        self.stage.store.put("servers", self.name, self.entry())
        self.stage.spawn(self.beat())

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            self.stage.store.put("servers", self.name, self.entry())

    async def handle(self, reader, writer):
        try:
            while (message := await read_message(reader)) is not None:
                if not await self.answer(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    def headers(self, message):
        return [
            ("Attempt-Id", message.header("Attempt-Id", "")),
            ("Server-Stamp", "3e1b.07.5a2"),
            ("Server-Load", f"{self.running},0,{self.slots}"),
        ]

    async def answer(self, message, reader, writer):
        expected = message.header("Expect-Instance")
        if expected not in (None, self.name):
            writer.write(response_bytes(421, (("Instance-Id", self.name), ("Not-Run", "1"))))
        elif message.path == "/report":
            report = {
                "phase": "both", "busy": self.busy, "callSeq": self.orders, "queued": 0,
                "running": self.running, "kvUsed": 0, "kvTotal": 89922, "handles": 0,
                "born": self.born,
                "models": [{"name": m, "version": v} for m, v in self.models.items()],
            }
            data = json.dumps(report).encode()
            writer.write(response_bytes(200, (("Content-Type", "application/json"),), data))
        elif message.path == "/order":
            self.order(json.loads(message.body), writer)
        elif self.running >= self.slots:
            writer.write(response_bytes(503, [*self.headers(message)[:1], ("Not-Run", "1")]))
        else:
            return await self.run_counted(message, reader, writer)
        await writer.drain()
        return True

    def order(self, body, writer):
        if body["expected"] != self.orders or self.busy:
            writer.write(response_bytes(409))
            return
        self.order_log.append((time.monotonic(), body["holder"], body["fence"]))
        self.orders += 1
        self.busy = True

        async def load():
            await asyncio.sleep(0.9)
            self.models[body["model"]] = body["version"]
            self.busy = False
            self.stage.store.put("servers", self.name, self.entry())

        self.stage.spawn(load())
        writer.write(response_bytes(202))

    async def run_counted(self, message, reader, writer):
        self.runs.append((time.monotonic(), message.header("Attempt-Id"), message.path,
                          machine_of(writer)))
        self.running += 1
        work = asyncio.ensure_future(self.run(message, writer))
        closed = asyncio.ensure_future(self.wait_closed(reader))
        try:
            # A replica drops a request when its channel closes.
            await asyncio.wait((work, closed), return_when=asyncio.FIRST_COMPLETED)
            return work.done() and not work.cancelled() and work.result()
        finally:
            self.running -= 1
            work.cancel()
            closed.cancel()

    async def wait_closed(self, reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def run_plain(self, message, writer):
        await asyncio.sleep(self.work_s)
        body = message.header("Attempt-Id", "").encode()
        writer.write(response_bytes(200, self.headers(message), body))
        await writer.drain()
        return True

    def event_count(self, item):
        return random.Random(item).randrange(10, 40)

    async def run_stream(self, message, writer):
        item, model = message.header("Attempt-Id"), message.header("Model")
        version = self.models.get(model, 1)
        headers = [*self.headers(message), ("Weight-Versions", str(version)),
                   ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        head = "HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers) + "\r\n"
        writer.write(head.encode())
        first = int(message.header("Last-Event-Id", "0")) + 1
        for number in range(first, self.event_count(item) + 1):
            await asyncio.sleep(self.event_s)
            line = ""
            if self.models.get(model, 1) != version:
                version = self.models[model]
                line = f"weight-versions: {version}\n"
            event = f"{line}id: {number}\ndata: {item}:{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    def full_text(self, item):
        return "\n".join(f"{item}:{n}" for n in range(1, self.event_count(item) + 1))


class Vm:
    """One entry process, started as the deploy file says."""

    def __init__(self, stage, name, ip, zone, store_address, ram_mb=170):
        self.stage, self.name, self.ip, self.zone, self.ram_mb = stage, name, ip, zone, ram_mb
        self.process = None
        self.starts = 0
        self.settings = stage.folder / f"{name}.json"
        self.output = stage.folder / f"{name}.log"
        self.front = f"{ip}:{FRONT_PORT}"
        document = {
            "node": name, "role": "entry", "machineClass": "front", "serves": ["front"],
            "ip": ip, "zone": zone, "region": "sofia",
            "zones": {"sofia-a": "sofia", "sofia-b": "sofia"},
            "listen": {"front": self.front, "ready": f"{ip}:{READY_PORT}",
                       "control": f"{ip}:{CONTROL_PORT}"},
            "portRange": [PEER_PORT, PEER_PORT + 15], "seedAddrs": [], "bootstrap": True,
            "inTolerance": False,
            "limits": {"cpuShare": 0.717, "cores": 3, "ramMb": ram_mb, "maxFds": 8200,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "samples", "stream",
                          "engine", "batch", "platform"],
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": store_address, "form": "table", "writesPerS": 800,
                         "readsPerS": 2000, "txMs": 3.0, "partWritesS": 300,
                         "rowBytes": ROW_BYTES, "across": True, "historyS": 20,
                         "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0},
        }
        self.settings.write_text(json.dumps(document))

    def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["BALSAMCLEAT_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(DEPS)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.output.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "balsamcleat.entry"], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )
        self.starts += 1
        # The script ends these if the driver is killed.
        with open(os.environ["PID_FILE"], "a", encoding="ascii") as pids:
            pids.write(f"{self.process.pid}\n")

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def kill(self, number=signal.SIGKILL):
        if self.is_running():
            self.process.send_signal(number)

    def memory_mb(self, field="VmRSS"):
        """Return the memory that the process has taken, without pages shared with files."""
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        values = dict(line.split(":\t", 1) for line in status.splitlines() if ":\t" in line)
        return int(values.get(field, "0 kB").split()[0]) / 1024

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                ask(f"{self.ip}:{READY_PORT}", request_bytes("GET", "/ready", (("Host", self.ip),))), 1.0
            )
        except (OSError, asyncio.TimeoutError):
            return False
        return answer is not None and answer.status == 200


async def ask(address, data):
    """Send one request on a new channel and return the response, or None without a whole one."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
    try:
        writer.write(data)
        await writer.drain()
        return await read_message(reader, is_response=True)
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


class Stage:
    """All stand-ins and processes of one run of a case."""

    def __init__(self, record):
        self.net = self.free_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review3-"))
        self.store = Store()
        self.vms, self.replicas, self.tasks = [], [], set()
        self.record_file = open(record, "w", encoding="utf-8")
        self.began = time.monotonic()

    @staticmethod
    def free_network():
        for _ in range(200):
            net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}"
            try:
                for port in (FRONT_PORT, STORE_PORT, REPLICA_PORT, PEER_PORT, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.1", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback network")

    def note(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record_file.flush()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def address(self, number, port):
        return f"{self.net}.{number}:{port}"

    async def add_vm(self, number, ram_mb=170, store_proxy=False):
        goal = self.address(100 + number, STORE_PORT)
        await self.store.serve(goal, number)
        address, proxy = goal, None
        if store_proxy:
            address = self.address(100 + number, STORE_PORT + 1)
            proxy = Proxy(address, goal)
            await proxy.start()
        vm = Vm(self, f"front-{number}", f"{self.net}.{number}",
                "sofia-a" if number % 2 else "sofia-b", address, ram_mb)
        vm.store_proxy = proxy
        vm.number = number
        self.vms.append(vm)
        return vm

    async def add_replica(self, number, service, **more):
        replica = Replica(self, f"i-{number:08x}", service,
                          self.address(200 + number, REPLICA_PORT), **more)
        await replica.start()
        self.replicas.append(replica)
        return replica

    async def wait_ready(self, timeout_s=15.0):
        until = time.monotonic() + timeout_s
        for vm in self.vms:
            while not await vm.is_ready():
                if time.monotonic() > until or not vm.is_running():
                    raise CannotRun(f"{vm.name} does not get ready")
                await asyncio.sleep(0.1)

    def close(self):
        for vm in self.vms:
            if vm.process is not None:
                if vm.is_running():
                    vm.process.kill()
                vm.process.wait()
        for task in list(self.tasks):
            task.cancel()
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def play(case, record):
    """Run a case, a coroutine that returns whether the rule was broken; return the exit code."""

    async def run():
        # Connections of stand-ins that are cancelled at the end are no errors.
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        # A stopped case ends its processes, too.
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        stage = Stage(record)
        try:
            is_broken = await asyncio.wait_for(case(stage), 110)
            stage.note("RULE BROKEN" if is_broken else "rule held")
            return 1 if is_broken else 0
        except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
            stage.note(f"could not run: {error!r}")
            return 2
        finally:
            stage.close()

    try:
        return asyncio.run(run())
    except Exception as error:  # The case itself failed.
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
