"""Behaviour of each function during a store outage, as documented in docs/STORE-OUTAGE.md."""

import random
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.commands.submit_patch import PatchAccepted
from balsamcleat.configuration import PatchRejected
from balsamcleat.configuration.store import ConfigurationStore
from balsamcleat.decisions.retry import RetryBudget
from balsamcleat.errors import PlatformError, PlatformUnavailableError
from balsamcleat.model import VmId
from balsamcleat.standins.memory_store import MemoryObjects, MemoryTable
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.platform_client import PlatformObjects, PlatformTable
from balsamcleat.tasks.resilience_pipeline import ResiliencePipeline
from balsamcleat.tasks.table_archiver import TableArchiver
from control_fakes import ControlNode, add_zone, base_operations, patch, run

OUTAGES = pytest.mark.parametrize("outage_s", [1.0, 60.0, 3600.0])
OUTAGE_PAGE = Path(__file__).parent.parent / "docs" / "STORE-OUTAGE.md"


class ControlSystem:
    """Two VMs with the full platform client, and the components that run on one of them."""

    def __init__(self) -> None:
        self.table, self.objects = MemoryTable(), MemoryObjects()
        self.clock = SystemClock()
        self.first, self.second = self.make_node(1), self.make_node(2)
        table, objects = self.first.keeper.store.table, self.objects
        self.leases = LeaseKeeper(
            VmId("vm-1"), table, self.clock, SeededRandomness(1), MemoryMetrics()
        )
        self.archiver = TableArchiver(
            table,
            objects,
            self.first.keeper,
            self.leases,
            self.clock,
            SeededRandomness(3),
            MemoryMetrics(),
        )

    def make_pipeline(self, seed: int) -> ResiliencePipeline:
        return ResiliencePipeline(
            "table", self.clock, RetryBudget(), random.Random(seed), MemoryMetrics()
        )

    def make_node(self, seed: int) -> ControlNode:
        node = ControlNode(self.table, self.objects, seed, self.clock)
        table = PlatformTable(
            self.table,
            self.make_pipeline(seed),
            self.clock,
            SeededRandomness(seed),
            MemoryMetrics(),
        )
        objects = PlatformObjects(self.objects, self.make_pipeline(seed))
        node.keeper.store = ConfigurationStore(table, objects)
        node.audit.table = node.submit.table = table
        return node

    async def submit(self, name: str) -> PatchAccepted | PatchRejected:
        base = self.first.keeper.current.version
        return await self.first.submit(patch(base, add_zone(name), operation_id=name))


OutageCheck = Callable[[ControlSystem, anyio.abc.TaskGroup, float], Awaitable[None]]


async def check_patches_fail_and_succeed_afterwards(
    system: ControlSystem, group: anyio.abc.TaskGroup, outage_s: float
) -> None:
    version = system.first.keeper.current.version
    for number in range(5):
        start_s = anyio.current_time()
        with pytest.raises(PlatformError):
            await system.submit(f"during-{number}")
        assert anyio.current_time() - start_s < 10.0
    await anyio.sleep(outage_s)
    system.table.down = False
    await anyio.sleep(10.0)
    assert isinstance(await system.submit("after"), PatchAccepted)
    assert system.first.keeper.current.version == version + 1


async def check_the_configuration_stays_in_force_and_spreads(
    system: ControlSystem, group: anyio.abc.TaskGroup, outage_s: float
) -> None:
    group.start_soon(system.first.keeper.run)
    await anyio.sleep(outage_s)
    assert system.first.keeper.current.version == 2
    # The second VM was one version behind when the table became unavailable.
    system.second.copy_from(system.first)
    assert system.second.keeper.current == system.first.keeper.current
    system.table.down = False
    await anyio.sleep(10.0)
    assert system.first.keeper.current.version == 2


async def check_a_new_vm_starts_from_its_peers(
    system: ControlSystem, group: anyio.abc.TaskGroup, outage_s: float
) -> None:
    await anyio.sleep(outage_s)
    new_node = system.make_node(9)
    with pytest.raises(PlatformUnavailableError):
        await new_node.keeper.read_table()
    new_node.copy_from(system.first)
    assert new_node.keeper.current == system.first.keeper.current


async def check_leases_expire_by_the_holders_clock_and_are_acquired_again(
    system: ControlSystem, group: anyio.abc.TaskGroup, outage_s: float
) -> None:
    group.start_soon(system.leases.run)
    await anyio.sleep(min(outage_s, 4.0))
    # The lease was acquired just before the outage, so it stays usable for eight seconds.
    assert system.leases.usable_lease("x") is not None
    await anyio.sleep(outage_s)
    if outage_s > 10.0:
        assert system.leases.usable_lease("x") is None
        with pytest.raises(PlatformUnavailableError):
            await system.leases.acquire("x")
    system.table.down = False
    await anyio.sleep(12.0)
    assert await system.leases.acquire("x") is not None


async def check_audit_rows_are_buffered_and_written_later(
    system: ControlSystem, group: anyio.abc.TaskGroup, outage_s: float
) -> None:
    group.start_soon(system.first.audit.run)
    system.first.audit.record(author="ann", action="test", reason="r", result="kept")
    await anyio.sleep(outage_s)
    system.table.down = False
    await anyio.sleep(15.0)
    rows = await system.first.history.list_audit_rows()
    assert [row.result for row in rows if row.action == "test"] == ["kept"]


async def check_history_and_audit_can_not_be_read(
    system: ControlSystem, group: anyio.abc.TaskGroup, outage_s: float
) -> None:
    await anyio.sleep(outage_s)
    with pytest.raises(PlatformUnavailableError):
        await system.first.history.list_changes()
    with pytest.raises(PlatformUnavailableError):
        await system.first.history.list_audit_rows()


async def check_archiving_is_suspended(
    system: ControlSystem, group: anyio.abc.TaskGroup, outage_s: float
) -> None:
    group.start_soon(system.archiver.run)
    rows = dict(system.table.rows)
    await anyio.sleep(outage_s + 20.0)
    assert system.table.rows == rows
    system.table.down = False
    await anyio.sleep(30.0)
    assert system.leases.usable_lease("archive") is not None or system.leases.leases


CHECKS: dict[str, OutageCheck] = {
    "Patches and rollbacks": check_patches_fail_and_succeed_afterwards,
    "Configuration in force": check_the_configuration_stays_in_force_and_spreads,
    "A VM that starts": check_a_new_vm_starts_from_its_peers,
    "Leases": check_leases_expire_by_the_holders_clock_and_are_acquired_again,
    "Audit trail": check_audit_rows_are_buffered_and_written_later,
    "History, diff and audit queries": check_history_and_audit_can_not_be_read,
    "Snapshots and archives": check_archiving_is_suspended,
}


@OUTAGES
@pytest.mark.parametrize("row", CHECKS)
def test_the_function_behaves_as_documented(row: str, outage_s: float) -> None:
    async def scenario() -> None:
        system = ControlSystem()
        await system.first.submit(patch(0, *base_operations(), operation_id="base"))
        await system.second.keeper.read_table()
        assert isinstance(await system.submit("before"), PatchAccepted)
        assert await system.leases.acquire("x") is not None
        system.table.down = True
        async with anyio.create_task_group() as group:
            await CHECKS[row](system, group, outage_s)
            group.cancel_scope.cancel()

    run(scenario)


def test_every_tested_function_is_documented() -> None:
    page = OUTAGE_PAGE.read_text()
    assert all(f"| {row} |" in page for row in CHECKS)
