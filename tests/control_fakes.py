"""Manual clock and VMs without sockets, for tests of the configuration components."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import msgspec
import trio.testing

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness
from balsamcleat.commands.roll_back import RollBack
from balsamcleat.commands.submit_patch import SubmitPatch
from balsamcleat.configuration import PatchRequest
from balsamcleat.ports import Clock
from balsamcleat.queries.history import HistoryQuery
from balsamcleat.standins.memory_store import MemoryObjects, MemoryTable
from balsamcleat.tasks.audit_trail import AuditTrail
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper

Answer = TypeVar("Answer")


def run(test: Callable[[], Awaitable[Answer]]) -> Answer:
    """Run an asynchronous test in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(test, backend="trio", backend_options={"clock": clock})


class ManualClock(Clock):
    """Clock that advances only when its time is set or a task sleeps."""

    def __init__(self) -> None:
        self.time_s = 1000.0

    def now_s(self) -> float:
        return self.time_s

    def wall_s(self) -> float:
        return 1_700_000_000.0 + self.time_s

    async def sleep(self, seconds: float) -> None:
        self.time_s += seconds


class ControlNode:
    """Configuration components of one VM."""

    def __init__(
        self,
        table: MemoryTable,
        objects: MemoryObjects,
        seed: int = 1,
        clock: Clock | None = None,
    ) -> None:
        self.table = table
        self.objects = objects
        self.clock = clock or ManualClock()
        self.metrics = MemoryMetrics()
        self.randomness = SeededRandomness(seed)
        self.keeper = ConfigurationKeeper(
            table, self.clock, random.Random(seed), self.metrics, objects
        )
        self.audit = AuditTrail(table, self.clock, self.randomness, self.metrics)
        self.submit = SubmitPatch(table, self.keeper, self.clock, self.metrics, self.audit)
        self.history = HistoryQuery(table, objects)
        self.roll_back = RollBack(self.history, self.submit)

    def copy_from(self, peer: "ControlNode") -> None:
        """Adopt a peer's newer configurations, as a fetch over the network does."""
        for body in peer.keeper.bodies_after(self.keeper.current.version):
            self.keeper.offer_body(body, "peer")


def patch(
    base: int,
    *operations: dict[str, object],
    operation_id: str = "op",
    force: bool = False,
    dry_run: bool = False,
) -> PatchRequest:
    """Return a patch request with the given operations."""
    body = msgspec.json.encode(operations)
    return PatchRequest(base, body, "ann", "because", operation_id, force, dry_run)


def add(path: str, value: object) -> dict[str, object]:
    return {"op": "add", "path": path, "value": value}


def remove(path: str) -> dict[str, object]:
    return {"op": "remove", "path": path}


def add_zone(name: str) -> dict[str, object]:
    return add(f"/zones/{name}", {"region": "r"})


def base_operations(targets: int = 4) -> list[dict[str, object]]:
    """Return operations that turn the empty configuration into a small valid one."""
    return [
        add("/zones/z", {"region": "r"}),
        add("/services/model", {"kind": "engine"}),
        add("/services/plain", {"kind": "plain", "idempotent": False}),
        *(
            add(f"/targets/t{number}", {"service": "model", "zone": "z", "address": "10.0.0.1:80"})
            for number in range(targets)
        ),
        add("/teams/ops", {"roles": ["operator"]}),
        add("/teams/lab", {"roles": ["trainer"]}),
        add("/deployments/d", {"service": "model", "team": "lab"}),
    ]
