"""Model engines that stream events; a faulty one spoils answers as the case says."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from world import HEARTBEAT_S, HttpMessage, Listener, World, chunk, response_bytes

SERVICE, MODEL, HOST, PREFIX = "llm", "m0", "streams.example", "/chat/"
EVENT_S = 0.02
EVENTS = 24
# Events that an engine writes together, as when it makes several tokens a step.
EVENTS_PER_WRITE = 3


def event_bytes(name: str, number: int) -> bytes:
    return f"id: {number}\ndata: {name} event {number}\n\n".encode()


def stream_text(name: str) -> bytes:
    """Return the whole body of a stream; all engines make the same one."""
    return b"".join(event_bytes(name, number) for number in range(1, EVENTS + 1))


@dataclass
class Engine:
    """Engine at an address of its own.

    Attributes:
        service: Service that the engine belongs to.
        spoil: Changes the bytes of some events of a stream before they are written.
        after_report: Called after the answer to a question for the state was written.
        runs: Paths, attempt ids and first events of the runs that began here.
    """

    world: World
    name: str
    address: str
    zone: str
    born_ms: int
    service: str = SERVICE
    spoil: Callable[[HttpMessage, int, bytes], bytes] = lambda request, first, data: data
    after_report: Callable[[asyncio.StreamWriter, bytes], Awaitable[None]] | None = None
    runs: list[tuple[str, str, int]] = field(default_factory=list)
    server: Listener = field(init=False)
    beats: asyncio.Task = field(init=False)

    async def start(self) -> None:
        self.server = await self.world.servers.listen(self.address, self.handle)
        self.beats = self.world.register(
            self.name,
            {
                "svc": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "batchSlots": 16, "state": "ready", "coldLeftMs": 0, "phase": "both",
                "born": self.born_ms, "models": [{"name": MODEL, "version": 1, "adapters": []}],
            },
        )

    async def crash(self) -> None:
        """Crash for good; the entry goes after three heartbeats of silence."""
        self.beats.cancel()
        self.server.close()
        self.server.abort_clients()
        self.world.record.line(self.name, "crashes for good")
        await asyncio.sleep(3 * HEARTBEAT_S)
        self.world.store.delete("servers", self.name)

    async def handle(
        self, request: HttpMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        attempt = request.header("Attempt-Id") or ""
        if request.header("Expect-Instance") not in (None, self.name):
            writer.write(response_bytes(421, {"Attempt-Id": attempt, "Instance-Id": self.name}))
        elif request.target == "/report":
            await self.report(writer)
        else:
            await self.stream(request, attempt, writer)
        await writer.drain()
        return True

    async def report(self, writer: asyncio.StreamWriter) -> None:
        body = {
            "phase": "both", "models": [{"name": MODEL, "version": 1, "adapters": []}],
            "busy": False, "callSeq": 0, "queued": 0, "running": 0, "kvUsed": 0,
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
        name = request.target.removeprefix(PREFIX)
        first = int(request.header("Last-Event-Id") or 0) + 1
        self.runs.append((request.target, attempt, first))
        self.world.record.line(self.name, f"runs {name} ({attempt}) from event {first}")
        # The request starts to run with its first token, and is answered then.
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + f"Attempt-Id: {attempt}\r\nServer-Stamp: {self.name}.{attempt}\r\n".encode()
            + b"Weight-Versions: 1\r\n\r\n"
        )
        while first <= EVENTS:
            end = min(EVENTS, first + EVENTS_PER_WRITE - 1)
            await asyncio.sleep(EVENT_S * (end - first + 1))
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


def stream_route() -> dict[str, object]:
    """Return a route for streams that may be resumed."""
    return {
        "name": "r-chat", "host": HOST, "prefix": PREFIX, "kind": "streaming", "svc": SERVICE,
        "timeoutMs": 10000, "sloMs": 400, "prio": 1, "attempts": 3, "sticky": True,
        "resumable": True,
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
                "engine": {"batchSlots": 16, "kvCapTokens": 89922, "models": [{"name": MODEL}]},
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
