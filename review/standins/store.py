"""Stand-in of the platform's store: rows, conditional transactions, feeds; faults by a hook."""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs

from httpkit import Reply, Request, serve

__all__ = ["Store"]

ANSWER_S = 0.004
PAGE_ROWS = 500
PAGE_BYTES = 1_000_000

Row = tuple[str, str, str]


class Store:
    """Rows of all tables; each machine may reach it at an address of its own.

    Attributes:
        delay_s: Time that each call takes, in seconds.
        clock_origin_ms: Reading of the store's steady clock at the start of this process's clock.
        intercept: Called with the machine, the path and the decoded body of a transaction before
            it is performed; returns a reply to send instead, or None to go on. It may sleep. A
            reply with status 0 closes the channel without an answer.
        lose_answer: Called with the machine and the target of a call; returns whether its answer
            is lost, so that the channel delivers nothing further.
    """

    def __init__(self) -> None:
        self.rows: dict[Row, tuple[str, int]] = {}
        self.history: list[dict[str, object]] = []
        self.ver = 0
        self.delay_s = ANSWER_S
        self.changed = asyncio.Event()
        self.clock_origin_ms = 0
        self.lose_answer: Callable[[str, str], bool] = lambda machine, target: False
        self.intercept: Callable[[str, str, dict], Awaitable[Reply | None]] | None = None

    def put(self, table: str, key: str, document: object, part: str = "") -> None:
        """Write a row as the operator, a trainer or a replica does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.put_value(table, key, value, part)

    def put_value(self, table: str, key: str, value: str | None, part: str = "") -> None:
        self.ver += 1
        self.write((table, part, key), value)
        self.notify()

    def read(self, table: str, part: str, key: str) -> bytes | None:
        row = self.rows.get((table, part, key))
        return None if row is None else base64.b64decode(row[0])

    def write(self, row: Row, value: str | None) -> None:
        if value is None:
            if self.rows.pop(row, None) is not None:
                self.history.append({**named(row), "ver": self.ver, "deleted": True})
            return
        self.rows[row] = (value, self.ver)
        self.history.append({**named(row), "ver": self.ver, "value": value})

    def now_ms(self) -> int:
        return self.clock_origin_ms + int(time.monotonic() * 1000)

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def perform(self, body: dict) -> Reply:
        """Perform a transaction if its conditions hold."""
        expected = [((e["table"], e["part"], e["key"]), e["ver"]) for e in body["expected"]]
        if any(self.rows.get(row, ("", 0))[1] != ver for row, ver in expected):
            current = [self.wire(row) for row, _ in expected if row in self.rows]
            return Reply.of_json(412, {"rows": current, "ver": self.ver, "nowMs": self.now_ms()})
        self.ver += 1
        for put in body["puts"]:
            self.write((put["table"], put.get("part", ""), put["key"]), put["value"])
        for gone in body["remove"]:
            self.write((gone["table"], gone.get("part", ""), gone["key"]), None)
        self.notify()
        return Reply.of_json(200, {"ver": self.ver, "nowMs": self.now_ms()})

    def wire(self, row: Row) -> dict[str, object]:
        value, ver = self.rows[row]
        return {**named(row), "value": value, "ver": ver}

    async def listen(self, ip: str, port: int, machine: str) -> None:
        """Serve one machine."""

        async def handle(request: Request) -> Reply | None:
            is_lost = self.lose_answer(machine, request.target)
            reply = await self.answer(machine, request)
            if is_lost:
                # Nothing more is delivered on the channel until the caller closes it.
                await request.reader.read()
                return None
            return reply

        await serve(ip, port, handle)

    async def answer(self, machine: str, request: Request) -> Reply | None:
        query = {
            name: values[0] for name, values in parse_qs(request.target.partition("?")[2]).items()
        }
        body = json.loads(request.body) if request.body else {}
        if self.intercept is not None:
            instead = await self.intercept(machine, request.path, body)
            if instead is not None:
                return instead if instead.status else None
        await asyncio.sleep(self.delay_s)
        if request.path == "/rows-tx":
            return self.perform(body)
        if request.path == "/rows-get":
            return self.page(query)
        if request.path == "/rows-parts":
            after = query.get("after", "")
            parts = sorted({p for t, p, _ in self.rows if t == query["table"] and p > after})
            return Reply.of_json(200, {"parts": parts[:1000], "hasMore": len(parts) > 1000})
        if request.path == "/rows-feed":
            return await self.feed(query)
        return Reply.of_json(404, {})

    def page(self, query: dict[str, str]) -> Reply:
        start, end = query.get("from", ""), query.get("to", "")
        keys = sorted(
            row
            for row in self.rows
            if row[0] == query["table"]
            and row[1] == query.get("part", "")
            and row[2] >= start
            and (not end or row[2] < end)
        )
        limit = min(PAGE_ROWS, int(query.get("limit", PAGE_ROWS)))
        rows, size = [], 0
        for row in keys[:limit]:
            size += len(self.rows[row][0])
            if rows and size > PAGE_BYTES:
                break
            rows.append(self.wire(row))
        more = len(rows) < len(keys)
        return Reply.of_json(
            200, {"rows": rows, "hasMore": more, "ver": self.ver, "nowMs": self.now_ms()}
        )

    async def feed(self, query: dict[str, str]) -> Reply:
        after, deadline = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            changed = self.changed
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"] and int(str(row["ver"])) > after
            ]
            left_s = deadline - time.monotonic()
            if rows or left_s <= 0:
                return Reply.of_json(200, {"rows": rows, "ver": self.ver, "nowMs": self.now_ms()})
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


def named(row: Row) -> dict[str, object]:
    return {"table": row[0], "part": row[1], "key": row[2]}
