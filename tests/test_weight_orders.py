"""Weight load orders to fake engines: fetch limits, failed loads, takeovers and rollbacks."""

from types import SimpleNamespace
from typing import Any

import anyio
import msgspec
import pytest

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.api.trainer_messages import VersionReport
from balsamcleat.configuration import Configuration, Deployment, Service, ServiceKind, Target
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import EngineState, Role, VmId, WeightVersion, ZoneName
from balsamcleat.ports import Fence, OrderAccepted, OrderRejected, Transaction, Write
from balsamcleat.standins.memory_store import MemoryTable
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.rollouts import weights_key
from balsamcleat.tasks.weight_orders import WeightLoadController
from rollout_world import run_in_virtual_time

LOAD_DURATION_S = 1.0


class FakeEngine:
    """Engine that loads in one second and can fail, lose replies or ignore fencing tokens."""

    def __init__(self, world: "World") -> None:
        self.world = world
        self.version, self.fence, self.whole = 1, 0, True
        self.loading: int | None = None
        self.fail_loads = 0
        self.lose_replies = 0
        self.fences: list[int] = []

    async def state(self) -> EngineState:
        loading = None if self.loading is None else WeightVersion(self.loading)
        return EngineState(
            WeightVersion(self.version), loading, (), Role.MIXED, self.fence, self.whole
        )

    async def order_load(
        self, version: WeightVersion, adapters: tuple[str, ...], fence: Fence
    ) -> OrderAccepted | OrderRejected:
        if self.world.honours_fencing and fence.epoch < self.fence:
            return OrderRejected("old fencing number", self.fence)
        self.fence = max(self.fence, fence.epoch)
        self.fences.append(fence.epoch)
        self.loading = version
        self.world.max_loading = max(self.world.max_loading, self.world.loading_count())
        await anyio.sleep(LOAD_DURATION_S)
        self.loading = None
        if self.fail_loads:
            self.fail_loads -= 1
            self.whole = False
            return OrderRejected("failed partway", self.fence)
        self.version, self.whole = version, True
        if self.lose_replies:
            self.lose_replies -= 1
            raise AttemptFailedError("lost", step="order", peer="e", perhaps_sent=True)
        return OrderAccepted()


class World:
    """Two VMs that compete for the lease, and eight engines."""

    def __init__(self, honours_fencing: bool = True, fetch_limit: int = 2) -> None:
        self.honours_fencing = honours_fencing
        self.store_fetch_limit = fetch_limit
        self.pinned_version = 0
        self.table = MemoryTable()
        self.max_loading = 0
        self.engines = {f"e{number}": FakeEngine(self) for number in range(8)}
        self.vms = {name: self.new_vm(name) for name in ("vm-0", "vm-1")}
        self.cancel_scopes: dict[str, anyio.CancelScope] = {}

    @property
    def current(self) -> Any:
        service = Service(
            kind=ServiceKind.ENGINE,
            honours_fencing=self.honours_fencing,
            weight_version=self.pinned_version,
        )
        targets = {name: Target(service="model", zone="z", address=name) for name in self.engines}
        deployments = {"d": Deployment(service="model", team="t")}
        body = Configuration(services={"model": service}, targets=targets, deployments=deployments)
        return SimpleNamespace(body=body)

    async def fetch_limit(self) -> int:
        return self.store_fetch_limit

    def loading_count(self) -> int:
        return sum(engine.loading is not None for engine in self.engines.values())

    def versions(self) -> set[int]:
        return {engine.version if engine.whole else -1 for engine in self.engines.values()}

    def new_vm(self, name: str) -> tuple[LeaseKeeper, WeightLoadController]:
        clock, metrics = SystemClock(), MemoryMetrics()
        leases = LeaseKeeper(VmId(name), self.table, clock, SeededRandomness(1), metrics)
        connections: Any = SimpleNamespace(engine=lambda target: self.engines[target.address])
        world: Any = self
        orders = WeightLoadController(
            world, leases, self.table, world, connections, clock, metrics, ZoneName("z")
        )
        return leases, orders

    async def run_vm(self, name: str) -> None:
        leases, orders = self.vms[name]
        with anyio.CancelScope() as self.cancel_scopes[name]:
            async with anyio.create_task_group() as group:
                group.start_soon(leases.run)
                group.start_soon(orders.run)

    async def report_version(self, version: int) -> None:
        value = msgspec.json.encode(VersionReport(weight_version=version))
        write = Write(weights_key("d"), value)
        await self.table.commit(Transaction(f"report {version}", (write,)))

    async def wait_for_version(self, version: int, limit_s: float) -> None:
        for _ in range(int(limit_s * 10)):
            if self.versions() == {version}:
                return
            await anyio.sleep(0.1)
        raise AssertionError(f"engines have {self.versions()} instead of {version}")


def run_scenario(make_world: Any, steps: Any) -> None:
    async def scenario() -> None:
        world = make_world()
        async with anyio.create_task_group() as group:
            for name in world.vms:
                group.start_soon(world.run_vm, name)
            await steps(world)
            group.cancel_scope.cancel()

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("limit", [1, 2, 20])
def test_loads_respect_the_fetch_limit_and_keep_half_of_the_engines_serving(limit: int) -> None:
    async def steps(world: World) -> None:
        await world.report_version(2)
        await world.wait_for_version(2, 60.0)
        assert world.max_loading <= min(limit, 4)

    run_scenario(lambda: World(fetch_limit=limit), steps)


def test_loads_that_failed_or_lost_their_reply_are_repeated() -> None:
    async def steps(world: World) -> None:
        world.engines["e1"].fail_loads = 2
        world.engines["e2"].lose_replies = 1
        await world.report_version(2)
        await world.wait_for_version(2, 60.0)

    run_scenario(World, steps)


def test_pinned_version_rolls_back_and_unpinning_restores_the_newest() -> None:
    async def steps(world: World) -> None:
        await world.report_version(7)
        await world.wait_for_version(7, 60.0)
        world.pinned_version = 5
        await world.wait_for_version(5, 60.0)
        world.pinned_version = 0
        await world.wait_for_version(7, 60.0)

    run_scenario(World, steps)


def test_version_pinned_during_a_load_replaces_the_earlier_one() -> None:
    async def steps(world: World) -> None:
        world.pinned_version = 3
        await anyio.sleep(1.2)
        world.pinned_version = 4
        await world.wait_for_version(4, 60.0)
        await anyio.sleep(20.0)
        assert world.versions() == {4}

    run_scenario(World, steps)


@pytest.mark.parametrize("honours", [True, False])
def test_next_lease_holder_completes_the_loads_of_a_dead_one(honours: bool) -> None:
    async def steps(world: World) -> None:
        await world.report_version(2)
        await anyio.sleep(1.5)
        holder = next(
            name
            for name, (leases, _) in world.vms.items()
            if leases.usable_lease("weights/model/all") or leases.usable_lease("weights/model/z")
        )
        # The holder dies without releasing its lease, so the lease has to expire first.
        world.vms[holder][0].leases.clear()
        world.cancel_scopes[holder].cancel()
        await world.wait_for_version(2, 120.0)
        fences = {fence for engine in world.engines.values() for fence in engine.fences}
        assert fences == {1, 2}

    run_scenario(lambda: World(honours_fencing=honours), steps)
