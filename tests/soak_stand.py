"""What the real entry processes talk to in the soak: store, engines and plain targets on loopback.

Each VM reaches the store at an address of its own, so that its way there can be cut, reset,
silenced or made slow from outside the process. Targets write down what they really ran.
"""

import base64
import dataclasses
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec

from balsamcleat.errors import OutcomeUnknownError, PlatformUnavailableError
from balsamcleat.http1 import HttpServer, Request, Responder, Response, ServerLimits, header_value
from balsamcleat.http1.streams import listen
from balsamcleat.ports.rows import (
    HistoryExpiredError,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowWrite,
)
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from soak_link import SoakLink

JSON = (("Content-Type", "application/json"),)
EVENT_S = 0.02
LOAD_S = 0.3
# A leaving target gets no new work this long after it said so; no fault here lasts longer than 5 s.
DRAINED_S = 9.0
# A plain target that runs a request with such a body crashes.
POISON = b"poison"
# Paths of callers' streams; the rest of the path names the stream at all targets.
STREAM_PREFIX = "/stream/"
CUT_RESPONSE = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 9\r\n\r\npart"
# Software versions that engines run; a start may bring another one.
SOFTWARE = ("s1", "s2")
# The list shows an engine that starts again under its id this much later.
LIST_DELAY_S = 1.0
# An engine that is away for less keeps its id, and its entry stays.
MAX_UNLISTED_S = 1.5
LIMITS = ServerLimits(idle_timeout_s=60.0)


def serve(tasks: anyio.abc.TaskGroup, address: str, handler) -> HttpServer:
    server = HttpServer(listen(address), handler, lambda: LIMITS)
    tasks.start_soon(server.run)
    return server


def wire_row(row: RowChange) -> dict[str, object]:
    key = row.key
    found: dict[str, object] = {
        "table": key.table,
        "part": key.part,
        "key": key.key,
        "ver": row.version,
    }
    if row.value is None:
        return {**found, "deleted": True}
    return {**found, "value": base64.b64encode(row.value).decode()}


@dataclass
class StoreDoor:
    """The store as one VM reaches it."""

    view: RowStoreView
    # Addresses at which the VM reaches targets, by the addresses that the targets register.
    addresses: dict[str, str] = field(default_factory=dict)
    silent: bool = False
    reset: bool = False

    @property
    def flaws(self) -> RowStoreFlaws:
        return self.view.flaws

    async def answer(self, request: Request, responder: Responder) -> None:
        if self.silent:
            await anyio.sleep_forever()
        if self.reset:
            responder.connection.stream.reset()
            return
        try:
            status, body = await self.call(request)
        except PlatformUnavailableError:
            status, body = 503, {}
        except HistoryExpiredError:
            status, body = 410, {}
        except OutcomeUnknownError:
            # The channel delivers nothing further.
            responder.connection.stream.reset()
            return
        await responder.send(Response(status, JSON, msgspec.json.encode(body)))

    async def call(self, request: Request) -> tuple[int, dict[str, object]]:
        query = dict(pair.split("=", 1) for pair in request.query.split("&") if "=" in pair)
        name = {key: value.replace("%2F", "/").replace("%40", "@") for key, value in query.items()}
        if request.path == "/rows-tx":
            return await self.commit(msgspec.json.decode(request.body))
        if request.path == "/rows-parts":
            parts, _ = await self.view.parts(name["table"], name.get("after", ""))
            return 200, {"parts": list(parts)}
        if request.path == "/rows-feed":
            wait_s = int(name["waitMs"]) / 1000
            page = await self.view.changes(name["table"], int(name["after"]), wait_s)
        else:
            bounds = (name.get("from", ""), name.get("to", ""))
            read = await self.view.read(name["table"], name["part"], *bounds)
            rows = [wire_row(self.seen(row)) for row in read.rows]
            return 200, {
                "rows": rows,
                "hasMore": read.more,
                "ver": read.version,
                "nowMs": read.store_ms,
            }
        rows = [wire_row(self.seen(row)) for row in page.rows]
        return 200, {"rows": rows, "ver": page.version, "nowMs": page.store_ms}

    def seen(self, row: RowChange) -> RowChange:
        """Return a row as the VM sees it, with its own way to a target."""
        if row.key.table != "servers" or row.value is None:
            return row
        try:
            entry = msgspec.json.decode(row.value, type=dict[str, object])
        except (msgspec.DecodeError, RecursionError):
            # An entry of another writer.
            return row
        address = self.addresses.get(str(entry.get("address")))
        if address is None:
            # Likewise; such an entry goes out as it was written, and some can't be encoded again.
            return row
        entry["address"] = address
        return dataclasses.replace(row, value=msgspec.json.encode(entry))

    async def commit(self, body) -> tuple[int, dict[str, object]]:
        writes = [
            RowWrite(RowKey(p["table"], p["part"], p["key"]), base64.b64decode(p["value"]))
            for p in body["puts"]
        ]
        writes += [RowWrite(RowKey(p["table"], p["part"], p["key"]), None) for p in body["remove"]]
        expected = tuple(
            (RowKey(p["table"], p["part"], p["key"]), p["ver"]) for p in body["expected"]
        )
        outcome = await self.view.commit(RowCommit(tuple(writes), expected))
        if isinstance(outcome, RowConflict):
            return 412, {"rows": [wire_row(row) for row in outcome.rows if row.value is not None]}
        return 200, {"ver": outcome.version, "nowMs": outcome.store_ms}


# Parts of an event, and what a target in trouble writes in their place.
SPOILED_LINES = (
    (b"data:", b"dat\xc2\xa1:"),
    (b"id:", b"i\xc2\xa1:"),
    (b"id: ", b"id: 1"),
    (b"weight-versions:", b"weight-versi\xc2\xa1ns:"),
    (b"\ndata", b"data"),
    (b"\n\n", b"\n"),
)


@dataclass
class SoakTarget:
    """A target that can crash, leave and come back under another id."""

    name: str
    link: SoakLink
    service: str
    store: MemoryRowStore
    tasks: anyio.abc.TaskGroup
    models: tuple[str, ...] = ()
    life: int = 0
    id_life: int = 0
    software: str = SOFTWARE[0]
    # Weight versions by model; a model that is absent has the first one.
    versions: dict[str, int] = field(default_factory=dict)
    orders: int = 0
    # Model whose weights are being loaded, if any.
    loading: str | None = None
    up: bool = True
    slow: float = 1.0
    answer_twice: bool = False
    # Whether the entry is away from the list although the target serves.
    is_unlisted: bool = False
    # Share of the events of which a line is spoiled, and whether reports are answered twice.
    spoiled_events: float = 0.0
    copies_reports: bool = False
    lose_answers: float = 0.0
    server: HttpServer | None = None
    draining_since_s: float | None = None
    ran: list[tuple[str, float]] = field(default_factory=list)
    late_after_drain: int = 0
    poison_runs: list[tuple[str, float]] = field(default_factory=list)
    order_log: list[tuple[float, str, int]] = field(default_factory=list)
    # Whether some samples fail at each run, and the answers that say so.
    fails_samples: bool = False
    failures: list[str] = field(default_factory=list)
    named: Callable[[], int] = lambda: 1
    rng: random.Random = field(default_factory=random.Random)

    @property
    def target_id(self) -> str:
        return f"{self.name}-{self.id_life}"

    def put(self, state: str | None) -> None:
        key = RowKey("servers", "", self.target_id)
        entry = {
            "svc": self.service,
            "address": self.link.address,
            "zone": "a",
            "state": state,
            "batchSlots": 8,
            "coldLeftMs": 0,
            "callSeq": 0,
            "version": self.software,
            "born": self.life + 1,
            "models": self.model_versions(),
        }
        value = None if state is None or self.is_unlisted else msgspec.json.encode(entry)
        self.store.apply(RowCommit((RowWrite(key, value),)))

    def start(self, *, keeps_id: bool = False) -> None:
        """Start with any software; the list is late if the target keeps its id."""
        self.life += 1
        if not keeps_id:
            self.id_life = self.life
        self.software = self.rng.choice(SOFTWARE)
        self.orders = 0
        self.loading = None
        self.up = True
        self.draining_since_s = None
        self.server = serve(self.tasks, self.link.goal, self.answer)
        if keeps_id:
            self.tasks.start_soon(self.put_late, self.life)
        else:
            self.put("ready")

    async def put_late(self, life: int) -> None:
        await anyio.sleep(LIST_DELAY_S)
        if self.life == life and self.up:
            self.put("draining" if self.draining_since_s else "ready")

    async def leave(self) -> None:
        """Say that it leaves, serve on for a while, go, and come back with a new id."""
        self.draining_since_s = anyio.current_time()
        self.put("draining")
        await anyio.sleep(DRAINED_S + 2.0)
        if self.up:
            await self.crash(1.0)

    async def crash(self, down_s: float) -> None:
        """Break all connections, stay away, come back with a new id or soon with the same."""
        assert self.server is not None
        self.up = False
        keeps_id = bool(self.models) and down_s < MAX_UNLISTED_S and self.draining_since_s is None
        self.server.stop_accepting()
        for connection in list(self.server.connections):
            connection.stream.reset()
        await anyio.sleep(min(down_s, 0.5))
        if not keeps_id:
            self.put(None)
        await anyio.sleep(max(0.0, down_s - 0.5))
        self.start(keeps_id=keeps_id)

    async def answer(self, request: Request, responder: Responder) -> None:
        attempt = header_value(request.headers, "Attempt-Id") or ""
        wanted = header_value(request.headers, "Expect-Instance")
        if wanted is not None and wanted != self.target_id:
            await responder.send(Response(421, (("Attempt-Id", attempt),)))
        elif request.path == "/report":
            await self.answer_report(responder)
        elif request.path == "/order":
            await self.order(msgspec.json.decode(request.body), responder)
        elif self.models:
            await self.generate(request, attempt, responder)
        else:
            await self.plain(request, attempt, responder)

    def model_versions(self) -> list[dict[str, object]]:
        return [{"name": name, "version": self.versions.get(name, 1)} for name in self.models]

    async def answer_report(self, responder: Responder) -> None:
        body = msgspec.json.encode(self.report())
        await responder.send(Response(200, JSON, body))
        if self.copies_reports:
            copy = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            await anyio.sleep(self.rng.choice((0.0, 0.01)))
            await responder.connection.stream.send(copy)

    def report(self) -> dict[str, object]:
        return {
            "models": self.model_versions(),
            "busy": self.loading is not None,
            "callSeq": self.orders,
            "born": self.life + 1,
        }

    async def order(self, body, responder: Responder) -> None:
        if body["expected"] != self.orders or self.loading is not None:
            await responder.send(Response(409))
            return
        self.order_log.append((anyio.current_time(), body["holder"], body["fence"]))
        self.orders += 1
        self.loading = body["model"]
        self.tasks.start_soon(self.load, body["model"], body["version"], self.life)
        await responder.send(Response(202))

    async def load(self, model: str, version: int, life: int) -> None:
        await anyio.sleep(LOAD_S)
        if self.life == life:
            self.versions[model], self.loading = version, None
            self.put("draining" if self.draining_since_s else "ready")

    def note_run(self, attempt: str) -> None:
        now_s = anyio.current_time()
        self.ran.append((attempt, now_s))
        if self.draining_since_s is not None and now_s - self.draining_since_s > DRAINED_S:
            self.late_after_drain += 1

    async def plain(self, request: Request, attempt: str, responder: Responder) -> None:
        self.note_run(attempt)
        if request.body.startswith(POISON):
            await self.crash_under(request, responder)
            return
        await anyio.sleep(0.01 * self.slow)
        if self.rng.random() < self.lose_answers:
            responder.connection.stream.reset()
            return
        body = attempt.encode() + b":" + request.body
        headers = (("Attempt-Id", attempt), ("Server-Stamp", stamp_of(attempt)))
        if self.draining_since_s is not None:
            headers = (*headers, ("Server-Leaving", "1"))
        await responder.send(Response(200, headers, body))
        if self.answer_twice:
            head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: s\r\n"
            extra = f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
            await responder.connection.stream.send(extra)

    async def crash_under(self, request: Request, responder: Responder) -> None:
        """Crash before the response, in its head, in its body or in silence."""
        self.poison_runs.append((request.path, anyio.current_time()))
        end = self.rng.choice((b"", b"HTTP/1.1 200", CUT_RESPONSE, None))
        if end:
            await responder.connection.stream.send(end)
        if self.up:
            self.up = False
            # Not a part of the request, which ends as soon as its caller leaves.
            self.tasks.start_soon(self.crash_and_restart, end is None)
        await anyio.sleep_forever()

    async def crash_and_restart(self, silently: bool) -> None:
        self.link.drops_answers = silently
        await self.crash(self.rng.uniform(0.2, 0.5))
        self.link.drops_answers = False
        self.link.reset()

    async def generate(self, request: Request, attempt: str, responder: Responder) -> None:
        """Stream events whose data says by which version each was made."""
        model = header_value(request.headers, "Model") or self.models[0]
        if self.loading == model:
            refusal = (("Attempt-Id", attempt), ("Not-Run", "1"))
            await responder.send(Response(503, refusal))
            return
        self.note_run(attempt)
        if self.fails_samples and fails_always(attempt):
            self.failures.append(attempt)
            headers = (("Attempt-Id", attempt), ("Server-Stamp", "s"))
            await responder.send(Response(500, headers))
            return
        if request.path.startswith(STREAM_PREFIX):
            attempt = request.path.removeprefix(STREAM_PREFIX)
        number = int(header_value(request.headers, "Last-Event-Id") or 0)
        version = self.versions.get(model, 1)
        await responder.start_chunked(
            200,
            (
                ("Attempt-Id", header_value(request.headers, "Attempt-Id") or ""),
                ("Server-Stamp", "s"),
                ("Weight-Versions", str(version)),
                ("Content-Type", "text/event-stream"),
            ),
        )
        piece = b""
        for event in range(number + 1, events_of(attempt) + 1):
            await anyio.sleep(EVENT_S * self.slow)
            before, version = version, self.versions.get(model, 1)
            changed = f"weight-versions: {version}\n" if version != before else ""
            data = f"{changed}id: {event}\ndata: {attempt}:{event}:v{version}:{self.software}\n\n"
            piece += self.spoil(data.encode())
            # An engine in trouble writes several events together.
            if not self.spoiled_events or self.rng.random() < 0.5:
                await responder.write(piece)
                piece = b""
        if piece:
            await responder.write(piece)
        await responder.finish()

    def spoil(self, event: bytes) -> bytes:
        """Return an event as it is written, with a spoiled line in some."""
        if self.rng.random() >= self.spoiled_events:
            return event
        sound, spoiled = self.rng.choice(SPOILED_LINES)
        return event.replace(sound, spoiled)


def scoring_id(sample_id: str) -> str:
    """Return the id of the request that scores a sample."""
    return f"{sample_id}r"


def stamp_of(attempt: str) -> str:
    """Return the stamp of a plain target's answer, which is a sample's score."""
    return f"stamp-{attempt}"


def fails_always(sample_id: str) -> bool:
    """Return whether a sample fails at each run: the last one of some steps of the trainers."""
    return sample_id.endswith("i23") and random.Random(f"fails {sample_id}").random() < 0.5


def events_of(sample_id: str) -> int:
    """Return a sample's length, the same at every target; one in ten is long."""
    rng = random.Random(sample_id)
    return rng.randrange(60, 120) if rng.random() < 0.1 else rng.randrange(5, 30)
