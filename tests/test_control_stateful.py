"""Random lost answers, pauses, cuts and clock jumps against the history and the leases."""

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
from balsamcleat.tasks.store_gate import StoreGate
from control_fakes import ControlNode, ManualClock, add, add_zone, patch

NODES = st.integers(0, 2)
FLAWS = st.one_of(st.just([]), st.lists(st.sampled_from(list(CommitFlaw)), max_size=3))
# One event loop for all steps: the clocks are moved by hand, so nothing waits.
RUNNER = asyncio.Runner()
Step = Callable[[], Coroutine[None, None, None]]


def run(step: Step) -> None:
    """Run a step to its end."""
    RUNNER.run(step())


class CutTable(Table):
    """One VM's way to the table; it can be cut."""

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


def client_of(way: CutTable, clock: ManualClock, seed: int) -> PlatformTable:
    """Return the whole platform client over one VM's way to the table."""
    randomness, metrics = SeededRandomness(seed), MemoryMetrics()
    gate = StoreGate("table", clock, RetryBudget(), randomness.generator("gate"), metrics)
    return PlatformTable(way, gate, clock, randomness, metrics)


class History(RuleBasedStateMachine):
    """Every accepted patch is in the history once; a refused one never is."""

    behind_client = False

    def __init__(self) -> None:
        super().__init__()
        self.table, self.objects = MemoryTable(), MemoryObjects()
        self.ways = [CutTable(self.table) for _ in range(3)]
        self.nodes: list[ControlNode] = []
        for seed in range(3):
            self.nodes.append(self.node(seed))
        self.accepted: dict[str, int] = {}
        self.refused: set[str] = set()
        self.unknown: dict[str, PatchRequest] = {}
        self.highest = [0, 0, 0]
        self.operations = 0

    def node(self, seed: int) -> ControlNode:
        node = ControlNode(self.table, self.objects, seed)
        way: Table = self.ways[seed]
        if self.behind_client:
            assert isinstance(node.clock, ManualClock)
            way = client_of(self.ways[seed], node.clock, seed)
        node.keeper.store = ConfigurationStore(way, self.objects)
        node.audit.table = way
        node.submit = SubmitPatch(way, node.keeper, node.clock, node.metrics, node.audit)
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
                # Not taken this time; an earlier try of the same operation may still arrive.
                if name not in self.unknown:
                    self.refused.add(name)
            else:
                earlier = self.unknown.pop(name, None)
                if isinstance(outcome, PatchAccepted):
                    assert self.accepted.setdefault(name, outcome.version) == outcome.version
                elif earlier is None or outcome.reason == "stale":
                    self.refused.add(name)

        run(step)

    @rule()
    def deliver_late(self) -> None:
        self.table.deliver_late()

    @rule(node=NODES)
    def cut_or_heal(self, node: int) -> None:
        self.ways[node].cut = not self.ways[node].cut

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
        """A VM without disk starts again and asks a peer."""
        self.nodes[node] = self.node(node)
        self.nodes[node].copy_from(self.nodes[(node + 1) % 3])
        self.highest[node] = self.nodes[node].keeper.current.version

    @invariant()
    def versions_only_move_up(self) -> None:
        for number, node in enumerate(self.nodes):
            assert node.keeper.current.version >= self.highest[number]
            self.highest[number] = node.keeper.current.version

    @invariant()
    def history_is_truthful(self) -> None:
        async def step() -> None:
            lines = await self.nodes[0].history.lines()
            assert [line.version for line in lines] == list(range(1, len(lines) + 1))
            made = {line.operation_id: line.version for line in lines}
            assert len(made) == len(lines)
            assert self.accepted.items() <= made.items()
            assert not self.refused & made.keys()
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
    """No two VMs hold a lease at one time, and each epoch has one holder."""

    behind_client = False

    def __init__(self) -> None:
        super().__init__()
        self.table = MemoryTable()
        self.ways = [CutTable(self.table) for _ in range(3)]
        self.clocks = [ManualClock() for _ in range(3)]
        self.keepers = [self.keeper(number) for number in range(3)]
        self.epochs: dict[int, VmId] = {}
        self.highest = 0

    def keeper(self, number: int) -> LeaseKeeper:
        way: Table = self.ways[number]
        if self.behind_client:
            way = client_of(self.ways[number], self.clocks[number], number)
        return LeaseKeeper(
            VmId(f"vm-{number}"),
            way,
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

        self.on_one_clock(node, step)

    @rule(node=NODES, flaws=FLAWS)
    def renew(self, node: int, flaws: list[CommitFlaw]) -> None:
        async def step() -> None:
            self.table.flaws.extend(flaws)
            await self.keepers[node].renew_all()

        self.on_one_clock(node, step)

    @rule(node=NODES)
    def release(self, node: int) -> None:
        self.on_one_clock(node, lambda: self.keepers[node].release("x"))

    def on_one_clock(self, node: int, step: Step) -> None:
        """Run a step; what it slept passes on the other clocks too."""
        before_s = self.clocks[node].time_s
        run(step)
        slept_s = self.clocks[node].time_s - before_s
        for number, clock in enumerate(self.clocks):
            if number != node:
                clock.time_s += slept_s

    @rule(seconds=st.sampled_from([0.5, 1.0, 1.2, 3.0, 9.0, 30.0]))
    def time_passes(self, seconds: float) -> None:
        """Whoever does nothing meanwhile was paused."""
        for clock in self.clocks:
            clock.time_s += seconds

    @rule(
        node=NODES,
        rounds=st.sampled_from([1, 5, 12]),
        jump_s=st.sampled_from([0.0, 5.0, 100.0]),
    )
    def watch(self, node: int, rounds: int, jump_s: float) -> None:
        """One VM looks again and again while the others are paused; its clock jumps once."""

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
        self.ways[node].cut = not self.ways[node].cut

    @invariant()
    def one_holder(self) -> None:
        held = [lease for keeper in self.keepers if (lease := keeper.usable_lease("x")) is not None]
        assert len(held) <= 1
        for lease in held:
            assert self.epochs.setdefault(lease.epoch, lease.holder) == lease.holder
            assert lease.epoch >= self.highest
            self.highest = lease.epoch


class LeasesBehindClient(Leases):
    """The same through the platform client with its retries and look-ups."""

    behind_client = True


@pytest.mark.parametrize("machine", [History, HistoryBehindClient, Leases, LeasesBehindClient])
def test_no_sequence_of_failures_breaks_the_promise(machine: type[RuleBasedStateMachine]) -> None:
    run_state_machine_as_test(  # type: ignore[no-untyped-call]
        machine,
        settings=settings(derandomize=True, max_examples=60, stateful_step_count=30, deadline=None),
    )
