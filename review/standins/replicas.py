"""Stand-ins of replicas: plain services and engines that stream the events of items."""

import asyncio
import hashlib
import json
import time

from httpkit import Reply, Request, encode_reply, serve
from store import Store

__all__ = ["Engine", "Plain", "Run"]

HEARTBEAT_S = 1.2
Run = tuple[str, float, int]


class Replica:
    """A replica that registers itself in the store.

    Attributes:
        runs: Requests that began to run: id, monotonic time in seconds, first event.
        rejected: Ids of requests that were turned away without running.
    """

    def __init__(
        self, name: str, service: str, ip: str, port: int, zone: str, slots: int, store: Store
    ) -> None:
        self.name, self.service, self.zone, self.slots, self.store = (
            name,
            service,
            zone,
            slots,
            store,
        )
        self.ip, self.port = ip, port
        self.address = f"{ip}:{port}"
        self.runs: list[Run] = []
        self.rejected: list[tuple[str, float]] = []
        self.busy = 0
        self.waiting = 0
        self.gate = asyncio.Semaphore(slots)
        self.born = int(time.time() * 1000)

    def entry(self) -> dict[str, object]:
        return {
            "svc": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "batchSlots": self.slots,
            "state": "ready",
            "coldLeftMs": 0,
            "callSeq": 0,
            "born": self.born,
        }

    async def start(self) -> None:
        await serve(self.ip, self.port, self.answer)
        self.store.put("servers", self.name, self.entry())

    async def answer(self, request: Request) -> Reply | None:
        attempt = request.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt} if attempt else {}
        wanted = request.headers.get("expect-instance")
        if wanted is not None and wanted != self.name:
            return Reply(421, b"", echo)
        if request.path == "/healthz":
            return Reply(200, b"", {"Instance-Id": self.name, "Server-Load": self.load()})
        own = await self.answer_own(request)
        if own is not None:
            return own
        if self.busy >= self.slots and self.waiting >= 4 * self.slots:
            self.rejected.append((attempt, time.monotonic()))
            return Reply(503, b"", {**echo, "Not-Run": "1", "Server-Load": self.load()})
        self.waiting += 1
        try:
            await self.gate.acquire()
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            return await self.run(request, attempt)
        finally:
            self.busy -= 1
            self.gate.release()

    async def answer_own(self, request: Request) -> Reply | None:
        return None

    def load(self) -> str:
        return f"{self.busy},{self.waiting},{self.slots}"

    async def run(self, request: Request, attempt: str) -> Reply | None:
        raise NotImplementedError


class Plain(Replica):
    """Replica of a plain service.

    Attributes:
        work_s: Time that a request takes, in seconds.
    """

    work_s = 0.0375

    async def run(self, request: Request, attempt: str) -> Reply | None:
        self.runs.append((attempt, time.monotonic(), 0))
        await asyncio.sleep(self.work_s)
        body = b"r" * 800
        stamp = hashlib.sha256(attempt.encode() + body).hexdigest()[:16]
        return Reply(
            200, body, {"Attempt-Id": attempt, "Server-Stamp": stamp, "Server-Load": self.load()}
        )


class Engine(Replica):
    """Replica of an engine: streams ``events`` events of an item, or resumes it.

    Attributes:
        event_s: Time that an event takes, in seconds.
        events: Number of events of each item.
        model: Name of the only model; ``version`` is that of its weights.
    """

    event_s = 0.02
    events = 24
    model = "m0"
    version = 1
    orders = 0
    loading = False

    def entry(self) -> dict[str, object]:
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {**super().entry(), "phase": "both", "models": models}

    async def answer_own(self, request: Request) -> Reply | None:
        if request.path == "/report":
            return Reply.of_json(
                200,
                {
                    "phase": "both",
                    "models": [{"name": self.model, "version": self.version, "adapters": []}],
                    "busy": self.loading,
                    "callSeq": self.orders,
                    "queued": self.waiting,
                    "running": self.busy,
                    "kvUsed": 0,
                    "kvTotal": 90000,
                    "handles": 0,
                    "born": self.born,
                },
            )
        if request.path == "/order":
            order = json.loads(request.body)
            if self.loading or order.get("expected", self.orders) != self.orders:
                return Reply.of_json(409, {})
            self.orders += 1
            self.loading = True
            asyncio.get_running_loop().create_task(self.load_version(int(order["version"])))
            return Reply.of_json(202, {})
        if self.loading:
            attempt = request.headers.get("attempt-id", "")
            return Reply(503, b"", {"Attempt-Id": attempt, "Not-Run": "1"})
        return None

    async def load_version(self, version: int) -> None:
        await asyncio.sleep(0.9)
        self.version, self.loading = version, False
        self.store.put("servers", self.name, self.entry())

    async def run(self, request: Request, attempt: str) -> Reply | None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        self.runs.append((attempt, time.monotonic(), first))
        head = Reply(
            200,
            b"",
            {
                "Attempt-Id": attempt,
                "Server-Stamp": hashlib.sha256(attempt.encode()).hexdigest()[:16],
                "Weight-Versions": str(self.version),
                "Content-Type": "text/event-stream",
                "Server-Load": self.load(),
                "Transfer-Encoding": "chunked",
            },
        )
        text = encode_reply(head).replace(b"Content-Length: 0\r\n", b"")
        writer = request.writer
        gone = asyncio.get_running_loop().create_task(request.reader.read(1))
        try:
            writer.write(text)
            for number in range(first, self.events + 1):
                await asyncio.sleep(self.event_s)
                if gone.done() or writer.is_closing():
                    return None
                event = f"id: {number}\ndata: {attempt}.{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            gone.cancel()
        # The stand-in keeps no channel after a stream.
        return None
