"""VMs that own steps over one in-memory store, in virtual time, with engines that only sleep."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import msgspec
import trio.testing

from balsamcleat.decisions.readiness import STORE_SILENCE_LIMIT_S
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_progress import SampleProgress
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.http1 import Request, Responder, Response
from balsamcleat.model import ConfigurationVersion, ServiceName, StepId, TargetId, ZoneName
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import Route, RouteKind, RoutingTable, ServiceShare
from balsamcleat.platform import ResultsQuery, StepCall, StepCallKind
from balsamcleat.ports.rows import RowConflict
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.pause_guard import PauseGuard
from balsamcleat.tasks.rollout_handler import RolloutHandler
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.sample_run import SampleAssignment, SampleEnd, SampleRunOutcome
from balsamcleat.tasks.step_feed import StepFeed
from balsamcleat.tasks.step_transfer import StepTransfer
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.table_follower import TableFollower
from balsamcleat.tasks.vm_presence import VmPresence

SERVICE = ServiceName("engines")
HOST = "team.example"
PREFIX = "/rollouts/"
MODEL = "model"
EVENT_S = 0.05
ROUTE = Route(
    name="rollouts",
    host=HOST,
    prefix=PREFIX,
    kind=RouteKind.ROLLOUT,
    shares=(ServiceShare(SERVICE),),
    timeout_s=10.0,
    objective_s=0.4,
    attempts=3,
    resumable=True,
    due_s=7.5,
    expiry_s=40.0,
)
TABLE = RoutingTable(ConfigurationVersion(1), (ROUTE,))


def run(test: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a test in virtual time."""
    # Trio shuffles tasks that are ready together; a replay must give the same verdict each time.
    trio._core._run._r.seed(1)  # type: ignore[attr-defined]
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(test, *args, backend="trio", backend_options={"clock": clock})


def engine(number: int, slots: int = 4, version: int = 1) -> Replica:
    return Replica(
        target_id=TargetId(f"engine-{number}"),
        service=SERVICE,
        address=f"10.0.0.{number}:80",
        zone=ZoneName("a"),
        state=ReplicaState.READY,
        slots=slots,
        versions={MODEL: version},
        entry_version=1,
    )


def submission(groups: int, size: int, wanted: int, step: str = "step-1") -> Request:
    """Return a trainer's submission as it arrives."""
    items = [
        {"id": f"{group}-{place}", "path": f"{PREFIX}g", "group": f"g{group}", "body": "AAAA"}
        for group in range(groups)
        for place in range(size)
    ]
    body = {"model": MODEL, "minVersion": 1, "targetGroups": wanted, "requests": items}
    return Request(
        "POST",
        f"{PREFIX}x",
        (("Host", HOST), ("Attempt-Id", step)),
        msgspec.json.encode(body),
        anyio.current_time(),
    )


class SleepingEngines:
    """Runs samples by sleeping; a sample's text says its id and the number of each event."""

    def __init__(self, book: ReplicaStatsRegistry, events: Callable[[str], int]) -> None:
        self.book = book
        self.events = events
        self.runs: list[str] = []
        self.slow: dict[TargetId, float] = {}
        self.ends: dict[str, list[SampleEnd]] = {}

    async def run(self, order: SampleAssignment, progress: SampleProgress) -> SampleRunOutcome:
        sample_id = order.sample.sample_id
        self.runs.append(sample_id)
        evidence = self.book.for_target(order.replica.target_id)
        evidence.in_flight += 1
        try:
            scripted = self.ends.get(sample_id)
            if scripted:
                return SampleRunOutcome(scripted.pop(0), "scripted")
            progress.begin_stream(order.replica.versions[MODEL])
            while len(progress.events) < self.events(sample_id):
                event_s = EVENT_S * self.slow.get(order.replica.target_id, 1.0)
                await anyio.sleep(event_s)
                number = len(progress.events) + 1
                assert progress.append_event(number, f"{sample_id}:{number}", None)
                evidence.record_event_interval(event_s, anyio.current_time())
            return SampleRunOutcome(SampleEnd.COMPLETE)
        finally:
            evidence.in_flight -= 1


class Answer(Responder):
    """Keeps an answer instead of sending it."""

    def __init__(self) -> None:
        self.started = False
        self.response = Response(0)

    async def send(self, response: Response) -> None:
        self.response = response


@dataclass
class Pause:
    """A clock that also counted while the VM stood still."""

    seconds: float = 0.0

    def clock(self) -> float:
        return anyio.current_time() + self.seconds


@dataclass
class StepVm:
    """One VM's part that owns steps."""

    name: str
    view: RowStoreView
    runner: RolloutRunner
    desk: RolloutHandler
    feed: StepFeed
    presence: VmPresence
    claims: StepTransfer
    engines: SleepingEngines
    pause: Pause
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def submit(self, request: Request) -> int:
        answer = Answer()
        await self.desk.submit(request, ROUTE, answer)
        return answer.response.status

    async def read(self, step_id: str, position: int = 0) -> int:
        answer = Answer()
        query = ResultsQuery(position, 0.0)
        await self.desk.answer_call(StepCall(StepCallKind.RESULTS, StepId(step_id), query), answer)
        return answer.response.status

    async def end(self, step_id: str) -> int:
        answer = Answer()
        await self.desk.answer_call(StepCall(StepCallKind.END, StepId(step_id)), answer)
        return answer.response.status


@dataclass
class StepWorld:
    """The store and the engines that all VMs share."""

    tasks: anyio.abc.TaskGroup
    engines: int = 3
    slots: int = 4
    events: Callable[[str], int] = lambda _: 10
    store: MemoryRowStore = field(default_factory=MemoryRowStore)
    vms: dict[str, StepVm] = field(default_factory=dict)
    directory: ReplicaDirectory = field(default_factory=ReplicaDirectory)

    def __post_init__(self) -> None:
        for number in range(self.engines):
            self.directory.apply_entry(engine(number, self.slots))

    async def start(self, name: str, boot: str = "boot") -> StepVm:
        """Start a VM and wait until it has seen the store."""
        view = RowStoreView(self.store, RowStoreFlaws(delay_s=0.002))
        book = ReplicaStatsRegistry()
        records = RolloutRecords(view)
        engines = SleepingEngines(book, self.events)
        generator = random.Random(name)
        time = StoreClock(anyio.current_time)
        row = VmRow(name, boot, "", "a", 0)
        presence = VmPresence(view, row, time, lambda: bool(runner.steps), generator)
        pause = Pause()
        guard = PauseGuard(records, pause.clock, generator)
        runner = RolloutRunner(
            records,
            self.directory,
            book,
            engines,  # type: ignore[arg-type]
            ZoneName("a"),
            lambda: TABLE,
            lambda _: frozenset(),
            guard,
            generator,
        )
        vm: StepVm
        claims = StepTransfer(name, boot, records, runner, lambda: TABLE, time.now_ms)
        feed = StepFeed(
            name,
            boot,
            presence.watch,
            120.0,
            time.now_ms,
            claims.take_over,
            lambda step_id: vm.desk.is_running(step_id),
            lambda step_id: claims.handle_step_ended(step_id, self.tasks),
            claims.handle_owner_change,
        )
        runner.on_rows = guard.on_rows = feed.apply_rows
        desk = RolloutHandler(
            name,
            boot,
            records,
            runner,
            lambda: feed.steps,
            lambda: TABLE,
            time.now_ms,
            presence.watch,
            lambda: anyio.current_time() - time.synchronized_at_s >= STORE_SILENCE_LIMIT_S,
        )
        vm = StepVm(name, view, runner, desk, feed, presence, claims, engines, pause)
        follower = TableFollower(view, "steps", feed, generator, single_part=False)
        self.vms[name] = vm
        self.tasks.start_soon(self.run_parts, vm, follower)
        await anyio.sleep(1.0)
        return vm

    async def run_parts(self, vm: StepVm, follower: TableFollower) -> None:
        with vm.scope:
            async with anyio.create_task_group() as parts:
                for part in (vm.presence.run, vm.runner.run, vm.feed.run, follower.run):
                    parts.start_soon(part)

    def kill(self, vm: StepVm) -> None:
        vm.scope.cancel()

    async def listed(self, step_id: str = "step-1") -> list[tuple[str, str]]:
        """Return ids and texts as they are kept, in the order of their positions."""
        records = RolloutRecords(RowStoreView(self.store))
        results = await records.results(StepId(step_id), all_pages=True)
        return [(result.sample_id, result.text) for result in results]

    async def whole(self, count: int, longest_s: float, step_id: str = "step-1") -> None:
        """Wait until ``count`` results are listed and check that each is whole and there once."""
        with anyio.fail_after(longest_s):
            found = await self.listed(step_id)
            while len(found) < count:
                changed = self.store.changed
                await changed.wait()
                found = await self.listed(step_id)
        assert len({sample_id for sample_id, _ in found}) == count
        for sample_id, text in found:
            events = range(1, self.events(sample_id) + 1)
            assert text == "\n".join(f"{sample_id}:{number}" for number in events)


async def claim_by_other(vm: StepVm, step_id: str) -> bool:
    """Make another VM the owner behind the back of this one."""
    records = RolloutRecords(RowStoreView(vm.view.store))
    found = await records.owner(StepId(step_id))
    assert found is not None
    owner, version = found
    other = owner.with_owner("other", "b")
    return not isinstance(await records.replace_owner(StepId(step_id), other, version), RowConflict)


def owned(vm: StepVm, step_id: str = "step-1") -> OwnedStep:
    return vm.runner.steps[StepId(step_id)]
