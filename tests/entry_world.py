"""An entry process of one test, run in the test's event loop, with targets and a store on sockets.

All that reaches the process comes over sockets, as it does in its own process; the test can look
into the process, and its log is kept.
"""

import base64
import itertools
import json
from collections import Counter
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
import msgspec
import structlog

import balsamcleat.entry.process as entry_process
from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.entry.process import EntryProcess
from balsamcleat.http1 import Request, Response
from balsamcleat.log_output import BoundedOutput
from balsamcleat.model import TargetId
from balsamcleat.platform import load_platform_settings
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore
from odd_entries import sound_entry
from soak import HEADERS, MODEL, Soak
from soak_stand import events_of

TIMEOUT_S = 10.0
STEP_SAMPLES = 4


async def handle_no_signals(
    *_: object, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
) -> None:
    """Leave the signals to the process of the test."""
    task_status.started()
    await anyio.sleep_forever()


async def wait_until(holds) -> None:
    with anyio.fail_after(TIMEOUT_S):
        while True:
            if holds():
                return
            await anyio.sleep(0.01)


def new_soak(folder: Path, tasks: anyio.abc.TaskGroup, *, reports_usage: bool = False) -> Soak:
    """Return the stand of a soak with addresses of its own; with teams if usage is reported."""
    return Soak(1, 0.0, folder, tasks, other_sources=folder if reports_usage else None)


def put_entries(store: MemoryRowStore, entries: Mapping[str, bytes | None]) -> None:
    """Write entries into the list of targets, all in one commit and in their order."""
    writes = (RowWrite(RowKey("servers", "", name), value) for name, value in entries.items())
    store.apply(RowCommit(tuple(writes)))


@dataclass
class EntryWorld:
    """The process of one VM with its targets and its store."""

    soak: Soak
    events: list[dict[str, object]]
    process: EntryProcess | None = None
    reads: Counter = field(default_factory=Counter)
    calls: int = 0
    # Changes the store's answers about the list of targets, on their way to the process.
    change_answer: Callable[[Request, dict[str, Any]], None] = lambda request, body: None

    def __post_init__(self) -> None:
        door = self.soak.vms[0].door
        answer_call = door.call

        async def call(request: Request) -> tuple[int, dict[str, Any]]:
            status, body = await answer_call(request)
            if "table=servers&" in request.query + "&":
                self.reads[request.path] += 1
                self.change_answer(request, body)
            return status, body

        door.call = call

    @property
    def sound(self) -> set[str]:
        """Ids of the targets that exist."""
        return {target.target_id for target in (*self.soak.plains, *self.soak.engines)}

    @property
    def listed(self) -> set[str]:
        """Ids of the targets that the process uses."""
        assert self.process is not None
        return {str(target_id) for target_id in self.process.replica_directory.entries}

    def count(self, event: str, **fields: object) -> int:
        """Return how many lines of the log have an event and fields."""
        return sum(
            line["event"] == event and all(line.get(name) == fields[name] for name in fields)
            for line in self.events
        )

    async def call(self) -> Response:
        """Make a live call and return the whole answer of a target."""
        self.calls += 1
        attempt = f"call-{self.calls}"
        headers = (*HEADERS, ("Attempt-Id", attempt), ("Deadline-Ms", "3000"))
        response = await self.soak.ask(Request("POST", "/once/x", headers, b"x"), 4.0)
        assert response is not None
        if response.status == 200:
            assert response.body == attempt.encode() + b":x"
        return response

    async def ready_status(self) -> int:
        """Return what the load balancer is answered."""
        host = self.soak.vms[0].ip
        request = Request("GET", "/ready", (("Host", host),))
        return (await self.soak.pool.fetch(f"{host}:8002", request, 2.0)).status

    async def run_step(self) -> list[dict[str, object]]:
        """Submit a step, read all of its results, end it; return the results."""
        self.calls += 1
        step = f"step{self.calls}"
        names = (f"{step}i{number}" for number in itertools.count())
        ids = itertools.islice((name for name in names if events_of(name) < 10), STEP_SAMPLES)
        items = [
            {
                "id": name,
                "path": "/steps/g",
                "headers": {"Model": MODEL},
                "body": base64.b64encode(name.encode()).decode(),
                "group": name,
            }
            for name in ids
        ]
        body = {"model": MODEL, "minVersion": 1, "targetGroups": STEP_SAMPLES, "requests": items}
        headers = (*HEADERS, ("Attempt-Id", step))
        submission = Request("POST", "/steps/s", headers, json.dumps(body).encode())
        accepted = await self.soak.ask(submission, 4.0)
        assert accepted is not None
        assert accepted.status == 202
        results: list[dict[str, object]] = []
        wait = (*HEADERS, ("Wait-Ms", "500"))
        with anyio.fail_after(TIMEOUT_S):
            while len(results) < STEP_SAMPLES:
                query = Request("GET", f"/lots/{step}?after={len(results)}", wait)
                page = await self.soak.ask(query, 3.0)
                assert page is not None
                assert page.status == 200
                results += json.loads(page.body)["results"]
        end = await self.soak.ask(Request("DELETE", f"/lots/{step}", HEADERS), 4.0)
        assert end is not None
        assert end.status == 200
        return results

    async def check_service(self) -> None:
        """Check that callers and trainers are served, and that the VM says that it is ready."""
        assert await self.ready_status() == 200
        assert (await self.call()).status == 200
        assert {result["state"] for result in await self.run_step()} == {"complete"}

    async def check_following(self) -> None:
        """Check that later changes of the list and of the configuration come into force."""
        assert self.process is not None
        name = f"later-{self.soak.store.version}"
        (plain, _) = self.soak.plains
        entry = sound_entry("app", address=plain.link.address, state="draining")
        put_entries(self.soak.store, {name: json.dumps(entry).encode()})
        await wait_until(lambda: name in self.listed)
        put_entries(self.soak.store, {name: None})
        await wait_until(lambda: name not in self.listed)
        self.soak.change_configuration()
        keeper = self.process.routing_keeper
        await wait_until(
            lambda: keeper.table is not None and keeper.table.version == self.soak.configurations
        )

    async def settle(self) -> None:
        """Wait until the process has all changes of the list of targets until now."""
        assert self.process is not None
        follower = self.process.table_followers[1]
        version = self.soak.store.version
        await wait_until(lambda: follower.version is not None and follower.version >= version)

    def takes_requests(self, target_id: str) -> bool:
        """Return whether the process sends new work to a target."""
        assert self.process is not None
        ready = self.process.replica_directory.ready_by_service.values()
        return any(TargetId(target_id) in targets for targets in ready)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[EntryProcess]:
        """Run the process until the block ends; it has read the targets and the configuration."""
        async with self.starting() as process:
            await wait_until(lambda: process.table_followers[1].version is not None)
            await wait_until(lambda: process.routing_keeper.table is not None)
            yield process

    @asynccontextmanager
    async def starting(self) -> AsyncIterator[EntryProcess]:
        """Run the process until the block ends; an error that ends it fails the test."""
        path = self.soak.vms[0].settings
        output = BoundedOutput(2)
        process = EntryProcess(path, load_platform_settings(path), TextMetrics(), output)
        self.process = process
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(process.run)
            try:
                yield process
            finally:
                tasks.cancel_scope.cancel()
                for server in (
                    process.front_server,
                    process.ready_server,
                    process.peer_server,
                    process.metrics_server,
                ):
                    server.stop_accepting()
                self.process = None


def keep_events(events: list[dict[str, object]]):
    """Return a processor that keeps lines, each of which must be one that the process can write."""

    def keep(_: object, level: str, fields: structlog.typing.EventDict) -> None:
        msgspec.json.encode(fields, enc_hook=str)
        events.append({**fields, "level": level})
        raise structlog.DropEvent

    return keep


@asynccontextmanager
async def entry_world(
    folder: Path, monkeypatch, *, reports_usage: bool = False
) -> AsyncIterator[EntryWorld]:
    """Start targets and a store; the process starts with ``running``."""
    monkeypatch.setattr(entry_process, "handle_signals", handle_no_signals)
    events: list[dict[str, object]] = []
    before = structlog.get_config()
    structlog.configure(processors=[structlog.processors.format_exc_info, keep_events(events)])
    try:
        async with anyio.create_task_group() as tasks:
            soak = new_soak(folder, tasks, reports_usage=reports_usage)
            soak.build(1)
            yield EntryWorld(soak, events)
            soak.pool.close()
            tasks.cancel_scope.cancel()
    finally:
        structlog.configure(**before)
