"""Stateful tests of history and leases under lost answers, pauses, cuts and clock jumps."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import suppress

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness
from balsamcleat.commands.submit_patch import PatchAccepted, SubmitPatch
from balsamcleat.configuration import PatchRequest
from balsamcleat.configuration.store import ConfigurationStore
from balsamcleat.decisions.retry import RetryBudget
from balsamcleat.errors import OutcomeUnknownError, PlatformError, PlatformUnavailableError
from balsamcleat.model import VmId
from balsamcleat.ports import Committed, Conflicted, Row, Table, Transaction
from balsamcleat.standins.memory_store import CommitFlaw, MemoryObjects, MemoryTable
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.platform_client import PlatformTable
from balsamcleat.tasks.resilience_pipeline import ResiliencePipeline
from control_fakes import ControlNode, ManualClock, add, add_zone, patch

NODES = st.integers(0, 2)
FLAWS = st.one_of(st.just([]), st.lists(st.sampled_from(list(CommitFlaw)), max_size=3))
# One event loop for all steps; no step waits, since the clocks are advanced manually.
RUNNER = asyncio.Runner()
Step = Callable[[], Coroutine[None, None, None]]


def run(step: Step) -> None:
    """Run a step until it returns."""
    RUNNER.run(step())


class CutTable(Table):
    """Connection of one VM to the table, which can be cut."""

    def __init__(self, table: MemoryTable) -> None:
        self.table = table
        self.cut = False

    def check(self) -> None:
        if self.cut:
            raise PlatformUnavailableError("cut off", step="table")

    async def get(self, key: str) -> Row | None:
        self.check()
        return await self.table.get(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> tuple[Row, ...]:
        self.check()
        return await self.table.scan(prefix, after, limit)

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        self.check()
        return await self.table.commit(transaction)


def make_client(node_table: CutTable, clock: ManualClock, seed: int) -> PlatformTable:
    """Return a platform client that uses one VM's connection to the table."""
    randomness, metrics = SeededRandomness(seed), MemoryMetrics()
    pipeline = ResiliencePipeline(
        "table", clock, RetryBudget(), randomness.generator("gate"), metrics
    )
    return PlatformTable(node_table, pipeline, clock, randomness, metrics)


class History(RuleBasedStateMachine):
    """Every accepted patch is in the history exactly once, and a rejected one never is."""

    behind_client = False

    def __init__(self) -> None:
        super().__init__()
        self.table, self.objects = MemoryTable(), MemoryObjects()
        self.cut_tables = [CutTable(self.table) for _ in range(3)]
        self.nodes: list[ControlNode] = []
        for seed in range(3):
            self.nodes.append(self.node(seed))
        self.accepted: dict[str, int] = {}
        self.rejected: set[str] = set()
        self.unknown: dict[str, PatchRequest] = {}
        self.highest = [0, 0, 0]
        self.operations = 0

    def node(self, seed: int) -> ControlNode:
        node = ControlNode(self.table, self.objects, seed)
        node_table: Table = self.cut_tables[seed]
        if self.behind_client:
            assert isinstance(node.clock, ManualClock)
            node_table = make_client(self.cut_tables[seed], node.clock, seed)
        node.keeper.store = ConfigurationStore(node_table, self.objects)
        node.audit.table = node_table
        node.submit = SubmitPatch(node_table, node.keeper, node.clock, node.metrics, node.audit)
        return node

    @rule(node=NODES, stale=st.booleans(), flaws=FLAWS, bad=st.booleans())
    def submit(self, node: int, stale: bool, flaws: list[CommitFlaw], bad: bool) -> None:
        self.operations += 1
        name = f"op-{self.operations}"
        base = max(0, self.nodes[node].keeper.current.version - stale)
        operation = add("/targets/t", {"service": "none"}) if bad else add_zone(name)
        self.table.flaws.extend(flaws)
        self.send(node, patch(base, operation, operation_id=name))

    @rule(node=NODES)
    def submit_again(self, node: int) -> None:
        if self.unknown:
            self.send(node, next(iter(self.unknown.values())))

    def send(self, node: int, request: PatchRequest) -> None:
        async def step() -> None:
            name = request.operation_id
            try:
                outcome = await self.nodes[node].submit(request)
            except OutcomeUnknownError:
                self.unknown[name] = request
            except PlatformUnavailableError:
                # This attempt took no effect, but an earlier one with the same operation id may
                # still arrive.
                if name not in self.unknown:
                    self.rejected.add(name)
            else:
                earlier_request = self.unknown.pop(name, None)
                if isinstance(outcome, PatchAccepted):
                    assert self.accepted.setdefault(name, outcome.version) == outcome.version
                elif earlier_request is None or outcome.reason == "stale":
                    self.rejected.add(name)

        run(step)

    @rule()
    def deliver_late(self) -> None:
        self.table.deliver_late()

    @rule(node=NODES)
    def cut_or_heal(self, node: int) -> None:
        self.cut_tables[node].cut = not self.cut_tables[node].cut

    @rule(node=NODES)
    def read(self, node: int) -> None:
        async def step() -> None:
            with suppress(PlatformError):
                await self.nodes[node].keeper.read_table()

        run(step)

    @rule(node=NODES, peer=NODES)
    def gossip(self, node: int, peer: int) -> None:
        self.nodes[node].copy_from(self.nodes[peer])

    @rule(node=NODES)
    def replace(self, node: int) -> None:
        """A VM without a disk restarts and copies a peer's configuration."""
        self.nodes[node] = self.node(node)
        self.nodes[node].copy_from(self.nodes[(node + 1) % 3])
        self.highest[node] = self.nodes[node].keeper.current.version

    @invariant()
    def versions_only_move_up(self) -> None:
        for number, node in enumerate(self.nodes):
            assert node.keeper.current.version >= self.highest[number]
            self.highest[number] = node.keeper.current.version

    @invariant()
    def history_matches_the_answers(self) -> None:
        async def step() -> None:
            lines = await self.nodes[0].history.list_changes()
            assert [line.version for line in lines] == list(range(1, len(lines) + 1))
            version_by_operation = {line.operation_id: line.version for line in lines}
            assert len(version_by_operation) == len(lines)
            assert self.accepted.items() <= version_by_operation.items()
            assert not self.rejected & version_by_operation.keys()
            for node in self.nodes:
                version = node.keeper.current.version
                if version:
                    assert node.keeper.current.digest == lines[version - 1].digest

        flaws, self.table.flaws = self.table.flaws, deque()
        run(step)
        self.table.flaws = flaws


class HistoryBehindClient(History):
    """The same through the platform client with its retries and look-ups."""

    behind_client = True


class Leases(RuleBasedStateMachine):
    """No two VMs hold a lease at the same time, and each epoch has one holder."""

    behind_client = False

    def __init__(self) -> None:
        super().__init__()
        self.table = MemoryTable()
        self.cut_tables = [CutTable(self.table) for _ in range(3)]
        self.clocks = [ManualClock() for _ in range(3)]
        self.keepers = [self.keeper(number) for number in range(3)]
        self.epochs: dict[int, VmId] = {}
        self.highest = 0

    def keeper(self, number: int) -> LeaseKeeper:
        node_table: Table = self.cut_tables[number]
        if self.behind_client:
            node_table = make_client(self.cut_tables[number], self.clocks[number], number)
        return LeaseKeeper(
            VmId(f"vm-{number}"),
            node_table,
            self.clocks[number],
            SeededRandomness(number),
            MemoryMetrics(),
        )

    @rule(node=NODES, flaws=FLAWS)
    def acquire(self, node: int, flaws: list[CommitFlaw]) -> None:
        async def step() -> None:
            self.table.flaws.extend(flaws)
            with suppress(PlatformError):
                await self.keepers[node].acquire("x")

        self.run_with_shared_time(node, step)

    @rule(node=NODES, flaws=FLAWS)
    def renew(self, node: int, flaws: list[CommitFlaw]) -> None:
        async def step() -> None:
            self.table.flaws.extend(flaws)
            await self.keepers[node].renew_all()

        self.run_with_shared_time(node, step)

    @rule(node=NODES)
    def release(self, node: int) -> None:
        self.run_with_shared_time(node, lambda: self.keepers[node].release("x"))

    def run_with_shared_time(self, node: int, step: Step) -> None:
        """Run a step and advance the other clocks by the time that it slept."""
        before_s = self.clocks[node].time_s
        run(step)
        slept_s = self.clocks[node].time_s - before_s
        for number, clock in enumerate(self.clocks):
            if number != node:
                clock.time_s += slept_s

    @rule(seconds=st.sampled_from([0.5, 1.0, 1.2, 3.0, 9.0, 30.0]))
    def time_passes(self, seconds: float) -> None:
        """Advance all clocks; VMs that do nothing in this time count as paused."""
        for clock in self.clocks:
            clock.time_s += seconds

    @rule(
        node=NODES,
        rounds=st.sampled_from([1, 5, 12]),
        jump_s=st.sampled_from([0.0, 5.0, 100.0]),
    )
    def watch(self, node: int, rounds: int, jump_s: float) -> None:
        """One VM polls the lease while the others are paused, and its clock jumps once."""

        async def step() -> None:
            for number in range(rounds):
                for clock in self.clocks:
                    clock.time_s += 1.1
                if number == rounds // 2:
                    self.clocks[node].time_s += jump_s
                with suppress(PlatformError):
                    if await self.keepers[node].acquire("x") is not None:
                        return

        run(step)

    @rule()
    def deliver_late(self) -> None:
        self.table.deliver_late()

    @rule(node=NODES)
    def cut_or_heal(self, node: int) -> None:
        self.cut_tables[node].cut = not self.cut_tables[node].cut

    @invariant()
    def one_holder(self) -> None:
        usable_leases = [
            lease for keeper in self.keepers if (lease := keeper.usable_lease("x")) is not None
        ]
        assert len(usable_leases) <= 1
        for lease in usable_leases:
            assert self.epochs.setdefault(lease.epoch, lease.holder) == lease.holder
            assert lease.epoch >= self.highest
            self.highest = lease.epoch


class LeasesBehindClient(Leases):
    """The same through the platform client with its retries and look-ups."""

    behind_client = True


@pytest.mark.parametrize("machine", [History, HistoryBehindClient, Leases, LeasesBehindClient])
def test_no_sequence_of_failures_breaks_an_invariant(machine: type[RuleBasedStateMachine]) -> None:
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        machine,
        settings=settings(derandomize=True, max_examples=60, stateful_step_count=30, deadline=None),
    )
