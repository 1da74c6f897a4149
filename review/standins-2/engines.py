"""Model engines that stream events, and what callers and trainers send to their routes."""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from world import (
    HEARTBEAT_S,
    TROUBLE,
    CaseNotRunError,
    HttpMessage,
    Listener,
    World,
    chunk,
    response_bytes,
)

SERVICE, MODEL, HOST, PREFIX = "llm", "m0", "streams.example", "/chat/"
SLOTS, QUEUE = 16, 48
EVENTS, EVENT_S = 24, 0.02
# Events that an engine writes together, as when it makes several tokens a step.
EVENTS_PER_WRITE = 3
# An entry is removed after three heartbeats of silence.
EXPIRY_S = 3 * HEARTBEAT_S


def event_bytes(name: str, number: int) -> bytes:
    return f"id: {number}\ndata: {name} event {number}\n\n".encode()


def stream_text(name: str) -> bytes:
    """Return the whole body of a stream; all engines make the same one."""
    return b"".join(event_bytes(name, number) for number in range(1, EVENTS + 1))


@dataclass
class Run:
    """Run of a request at an engine; times are on the monotonic clock, in seconds."""

    attempt: str
    began_s: float
    ended_s: float = float("inf")


@dataclass
class Engine:
    """Engine at an address of its own.

    Attributes:
        service: Service that the engine belongs to.
        events: Number of events of each stream.
        event_s: Time that an event takes, in seconds.
        spoil: Changes the bytes of some events of a stream before they are written.
        after_report: Called after the answer to a question for the state was written.
        runs: Runs that began here.
        running: Number of runs that have not ended.
    """

    world: World
    name: str
    address: str
    zone: str
    born_ms: int
    service: str = SERVICE
    events: int = EVENTS
    event_s: float = EVENT_S
    spoil: Callable[[HttpMessage, int, bytes], bytes] = lambda request, first, data: data
    after_report: Callable[[asyncio.StreamWriter, bytes], Awaitable[None]] | None = None
    runs: list[Run] = field(default_factory=list)
    running: int = 0
    server: Listener = field(init=False)
    beats: asyncio.Task = field(init=False)

    async def start(self) -> None:
        self.server = await self.world.servers.listen(self.address, self.handle)
        self.beats = self.world.register(self.name, self.entry())

    def entry(self) -> dict[str, object]:
        """Return the engine's entry in the list of replicas."""
        return {
            "svc": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "batchSlots": SLOTS, "state": "ready", "coldLeftMs": 0, "phase": "both",
            "born": self.born_ms, "models": [{"name": MODEL, "version": 1, "adapters": []}],
        }

    async def crash(self) -> None:
        """Crash for good."""
        self.server.close()
        self.server.abort_clients()
        self.world.record.line(self.name, "crashes for good")
        await self.fall_silent(EXPIRY_S)

    async def cut_from_store(self, cut_s: float) -> None:
        """Be partitioned from the store for some seconds, while requests still arrive."""
        self.world.record.line(self.name, f"is cut off from the store for {cut_s} s")
        await self.fall_silent(cut_s)
        self.beats = self.world.register(self.name, self.entry())
        self.world.record.line(self.name, "reaches the store again")

    async def fall_silent(self, silent_s: float) -> None:
        """Send no heartbeats; the entry is removed meanwhile."""
        self.beats.cancel()
        await asyncio.sleep(min(silent_s, EXPIRY_S))
        self.world.record.line("store", f"removes {self.name}, which has {self.running} runs")
        self.world.store.delete("servers", self.name)
        await asyncio.sleep(max(0.0, silent_s - EXPIRY_S))

    def most_running_since(self, first_run: int) -> int:
        """Return the highest number of runs at a time among those from a run on."""
        changes = [(run.began_s, 1) for run in self.runs[first_run:]]
        changes += [(run.ended_s, -1) for run in self.runs[first_run:]]
        count = most = 0
        for _, change in sorted(changes):
            count += change
            most = max(most, count)
        return most

    async def handle(
        self, request: HttpMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.header("Attempt-Id") or ""
        if request.header("Expect-Instance") not in (None, self.name):
            writer.write(response_bytes(421, {"Attempt-Id": attempt, "Instance-Id": self.name}))
        elif request.target == "/report":
            await self.report(writer)
        elif self.running >= SLOTS + QUEUE:
            writer.write(response_bytes(503, {"Attempt-Id": attempt, "Not-Run": "1"}))
        else:
            run = Run(attempt, time.monotonic())
            self.runs.append(run)
            self.running += 1
            try:
                await self.stream(request, attempt, writer)
            finally:
                self.running -= 1
                run.ended_s = time.monotonic()
        await writer.drain()
        return True

    async def report(self, writer: asyncio.StreamWriter) -> None:
        body = {
            "phase": "both", "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "busy": False, "callSeq": 0, "queued": 0, "running": self.running, "kvUsed": 0,
            "kvTotal": 90000, "handles": 0, "born": self.born_ms,
        }
        answer = response_bytes(
            200, {"Content-Type": "application/json"}, json.dumps(body).encode()
        )
        writer.write(answer)
        await writer.drain()
        if self.after_report is not None:
            await self.after_report(writer, answer)

    async def stream(
        self, request: HttpMessage, attempt: str, writer: asyncio.StreamWriter
    ) -> None:
        name = request.target.rpartition("/")[2]
        first = int(request.header("Last-Event-Id") or 0) + 1
        self.world.record.line(self.name, f"runs {name} ({attempt}) from event {first}")
        # The request starts to run with its first token, and is answered then.
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + f"Attempt-Id: {attempt}\r\nServer-Stamp: {self.name}.{attempt}\r\n".encode()
            + b"Weight-Versions: 1\r\n\r\n"
        )
        while first <= self.events:
            end = min(self.events, first + EVENTS_PER_WRITE - 1)
            await asyncio.sleep(self.event_s * (end - first + 1))
            writer.write(head)
            head = b""
            data = b"".join(event_bytes(name, number) for number in range(first, end + 1))
            spoiled = self.spoil(request, first, data)
            if spoiled != data:
                self.world.record.line(self.name, f"spoils {name}: writes {spoiled!r}")
            writer.write(chunk(spoiled))
            await writer.drain()
            first = end + 1
        writer.write(head + b"0\r\n\r\n")


@dataclass
class FaultyAnswers:
    """Dose of an engine that answers wrongly: which share of its answers in a window is wrong.

    Attributes:
        engine: Engine that answers wrongly.
        max_share: Largest share that the pages allow.
        window_s: Length of the window in seconds, from ``began_s`` on.
        other_answers: Number of answers beside those of runs.
        wrong: Names of what was answered wrongly.
    """

    engine: Engine
    max_share: float
    window_s: float = 5.0
    began_s: float = field(default_factory=time.monotonic)
    other_answers: int = 0
    wrong: list[str] = field(default_factory=list)

    def is_open(self) -> bool:
        return time.monotonic() < self.began_s + self.window_s

    def answers(self) -> int:
        """Return the number of the engine's answers in the window."""
        end_s = self.began_s + self.window_s
        runs = sum(self.began_s <= run.began_s and run.ended_s <= end_s for run in self.engine.runs)
        return runs + self.other_answers

    def check(self) -> str:
        """Return the dose in words.

        Raises:
            CaseNotRunError: Nothing was answered wrongly, or more than the pages allow.
        """
        answers = self.answers()
        dose = f"{len(self.wrong)} of {answers} answers of {self.engine.name} in {self.window_s} s"
        if TROUBLE and not 0 < len(self.wrong) <= self.max_share * answers:
            raise CaseNotRunError(f"the dose is outside of its limit: {dose}")
        return f"wrong: {dose} ({', '.join(self.wrong)})"


def stream_route() -> dict[str, object]:
    """Return a route for streams that may be resumed."""
    return {
        "name": "r-chat", "host": HOST, "prefix": PREFIX, "kind": "streaming", "svc": SERVICE,
        "timeoutMs": 10000, "sloMs": 400, "prio": 1, "attempts": 3, "sticky": True,
        "resumable": True,
    }


def rollout_route(prefix: str, service: str) -> dict[str, object]:
    """Return a route for batch submissions."""
    return {
        "name": "r-draft", "host": HOST, "prefix": prefix, "kind": "rollout", "svc": service,
        "timeoutMs": 10000, "sloMs": 400, "prio": 1, "attempts": 3, "queueTtlS": 40.0,
        "dueMs": 7500, "singleVersion": False, "sticky": True, "resumable": True,
    }


def configuration(
    routes: list[dict[str, object]], engine_services: tuple[str, ...] = (SERVICE,)
) -> dict[str, object]:
    """Return a desired state with these routes and engine services."""
    return {
        "version": 7,
        "routes": routes,
        "services": [
            {
                "name": name, "healthPath": "/healthz", "maxConns": 170, "protocol": "h1",
                "tls": False,
                "engine": {"batchSlots": SLOTS, "kvCapTokens": 89922, "models": [{"name": MODEL}]},
            }
            for name in engine_services
        ],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 33554432, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def stream_headers(attempt: str) -> dict[str, str]:
    return {
        "Host": HOST, "Attempt-Id": attempt, "Deadline-Ms": "12000", "Model": MODEL,
        "Token-Usage": "64,200", "Prompt-Prefix": f"9c2e41:48,{attempt[:6]}:16",
    }


def submission(prefix: str, item_ids: list[str], group_size: int = 4) -> bytes:
    """Return the body of a batch submission."""
    requests = [
        {
            "id": item_id, "path": f"{prefix}{item_id}", "body": base64.b64encode(b"x").decode(),
            "headers": {"Model": MODEL, "Token-Usage": "64,200",
                        "Prompt-Prefix": f"9c2e41:48,{item_id[:6]}:16"},
            "tokens": 264, "group": f"g{number // group_size}",
        }
        for number, item_id in enumerate(item_ids)
    ]
    return json.dumps(
        {"trainStep": 0, "model": MODEL, "minVersion": 1,
         "targetGroups": len(item_ids) // group_size, "requests": requests}
    ).encode()
