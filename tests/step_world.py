"""Simulated VMs that own steps, with an in-memory row store and engines, in virtual time."""

import base64
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import anyio.abc
import msgspec
import trio.testing

from balsamcleat.decisions.readiness import STORE_SILENCE_LIMIT_S
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_progress import SampleProgress
from balsamcleat.decisions.stream_origin import origin_of
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ByteBudget, Request, Responder, Response
from balsamcleat.model import (
    ConfigurationVersion,
    FailureKind,
    ServiceName,
    StepId,
    TargetId,
    TeamName,
    ZoneName,
)
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import Route, RouteKind, RoutingTable, WeightedService
from balsamcleat.platform import ResultsQuery, StepCall, StepCallKind
from balsamcleat.ports.rows import RowConflict
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.limit_sharing import LimitSharing
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.pause_guard import PauseGuard
from balsamcleat.tasks.peers import POLL_TIMEOUT_S
from balsamcleat.tasks.rollout_handler import RolloutHandler
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.sample_run import SampleAssignment, SampleEnd, SampleRunOutcome
from balsamcleat.tasks.sample_scorer import ScoringTask
from balsamcleat.tasks.step_access import StepAccess
from balsamcleat.tasks.step_feed import StepFeed
from balsamcleat.tasks.step_transfer import StepTransfer
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.submission_handler import SubmissionHandler
from balsamcleat.tasks.submission_reader import StoreReads, SubmissionReader
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
    shares=(WeightedService(SERVICE),),
    timeout_s=10.0,
    objective_s=0.4,
    attempts=3,
    resumable=True,
    step_deadline_s=7.5,
    step_expiry_s=40.0,
)
TABLE = RoutingTable(ConfigurationVersion(1), (ROUTE,))


def run_in_virtual_time(test: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async test in virtual time."""
    # Trio schedules tasks that are ready at the same time in random order. A fixed seed makes the
    # result of a test reproducible.
    trio._core._run._r.seed(1)  # type: ignore[attr-defined]
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(test, *args, backend="trio", backend_options={"clock": clock})


def make_engine(
    number: int, slots: int = 4, version: int = 1, service: ServiceName = SERVICE
) -> Replica:
    """Return the directory entry of a ready engine."""
    return Replica(
        target_id=TargetId(f"engine-{number}"),
        service=service,
        address=f"10.0.0.{number}:80",
        zone=ZoneName("a"),
        state=ReplicaState.READY,
        slots=slots,
        versions={MODEL: version},
        software_version="v1",
        entry_version=1,
    )


def make_submission(
    groups: int,
    size: int,
    target_groups: int,
    step_id: str = "step-1",
    *,
    scored: bool = False,
    has_group_bodies: bool = False,
) -> Request:
    """Return the HTTP request with which a trainer submits a step.

    Each sample has a body of its own unless ``has_group_bodies`` says that those of a group share
    theirs.
    """
    items: list[dict[str, Any]] = []
    for group in range(groups):
        for place in range(size):
            sample_id = f"{group}-{place}"
            content = f"g{group}" if has_group_bodies else sample_id
            body = base64.b64encode(content.encode()).decode()
            item = {"id": sample_id, "path": f"{PREFIX}g", "group": f"g{group}", "body": body}
            items.append(item)
    if scored:
        for item in items:
            scorer = {"id": f"score-{item['id']}", "host": "scorer.example", "path": "/score/x"}
            item["scorerUrl"] = {**scorer, "body": "AAAA"}
    body = {"model": MODEL, "minVersion": 1, "targetGroups": target_groups, "requests": items}
    return Request(
        "POST",
        f"{PREFIX}x",
        (("Host", HOST), ("Attempt-Id", step_id)),
        msgspec.json.encode(body),
        anyio.current_time(),
    )


def step_id_of(request: Request) -> str:
    """Return the id of the step that a request submits."""
    return dict(request.headers)["Attempt-Id"]


class SimulatedEngines:
    """Runs samples by sleeping; each event's text is the sample id and the event's number."""

    def __init__(
        self, stats_registry: ReplicaStatsRegistry, event_count: Callable[[str], int]
    ) -> None:
        self.stats_registry = stats_registry
        self.event_count = event_count
        self.event_text: Callable[[str, int], str] = lambda sample_id, number: (
            f"{sample_id}:{number}"
        )
        self.runs: list[str] = []
        self.teams: list[TeamName | None] = []
        self.slowdown: dict[TargetId, float] = {}
        self.scripted_ends: dict[str, list[SampleEnd]] = {}
        # Times at which requests were sent, and the limit that all engines name in the responses.
        self.sent: dict[TargetId, list[float]] = {}
        self.limit_per_s: float | None = None
        # Samples under which engines crash and start again under their ids.
        self.crashing_samples: set[str] = set()
        self.on_crash: Callable[[Replica], None] = lambda _: None
        # Software versions that wrote the events of each sample's text.
        self.writers: dict[str, list[str]] = {}
        # Number of events after which a sample's stream is cut once, by sample id.
        self.cuts: dict[str, int] = {}
        self.generated = 0
        self.on_cut: Callable[[Replica], None] = lambda _: None
        # Time of the connection to each engine, and whether engines are asked for their starts.
        self.connected_at_s: dict[TargetId, float] = {}
        self.names_starts = True

    def send(self, replica: Replica) -> bool:
        """Send a request as the exchange does, if the engine's limit allows it."""
        limits, now_s = self.stats_registry.limits, anyio.current_time()
        if not limits.take(replica.target_id, now_s, is_live=False):
            return False
        self.sent.setdefault(replica.target_id, []).append(now_s)
        limits.record_response(replica.target_id, replica.service, self.limit_per_s, now_s)
        return True

    async def confirm_start(self, replica: Replica) -> bool:
        """Name no start, as an engine that crashed; tests of engines that do replace this."""
        await anyio.sleep(0.005)
        return False

    async def run(self, assignment: SampleAssignment, progress: SampleProgress) -> SampleRunOutcome:
        sample_id = assignment.sample.sample_id
        self.runs.append(sample_id)
        self.teams.append(assignment.team)
        stats = self.stats_registry.for_replica(assignment.replica)
        if not self.send(assignment.replica):
            return SampleRunOutcome(SampleEnd.INTERRUPTED, "limited")
        stats.in_flight += 1
        try:
            if sample_id in self.crashing_samples:
                await anyio.sleep(EVENT_S)
                self.on_crash(assignment.replica)
                return scripted_outcome(SampleEnd.INTERRUPTED)
            ends = self.scripted_ends.get(sample_id)
            if ends:
                return scripted_outcome(ends.pop(0))
            connected_at_s = self.connected_at_s.setdefault(
                assignment.replica.target_id, anyio.current_time()
            )
            progress.begin_stream(
                assignment.replica.versions[MODEL],
                origin_of(assignment.replica, connected_at_s, is_confirmed=self.names_starts),
            )
            writers = self.writers.setdefault(sample_id, [])
            del writers[len(progress.events) :]
            writers += ["unknown"] * (len(progress.events) - len(writers))
            while len(progress.events) < self.event_count(sample_id):
                if len(progress.events) == self.cuts.get(sample_id):
                    del self.cuts[sample_id]
                    self.on_cut(assignment.replica)
                    return scripted_outcome(SampleEnd.INTERRUPTED)
                event_s = EVENT_S * self.slowdown.get(assignment.replica.target_id, 1.0)
                await anyio.sleep(event_s)
                number = len(progress.events) + 1
                assert progress.append_event(number, self.event_text(sample_id, number), None)
                writers.append(assignment.replica.software_version)
                self.generated += 1
                stats.record_event_interval(event_s, anyio.current_time())
            return SampleRunOutcome(SampleEnd.COMPLETE)
        finally:
            stats.in_flight -= 1


class SimulatedScorer:
    """Scores samples by sleeping; a sample's score names the sample and the VM."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.calls: list[str] = []
        self.delay_s = 0.05
        self.failing_samples: set[str] = set()

    async def score(self, task: ScoringTask) -> str | None:
        assert task.is_wanted()
        self.calls.append(task.sample_id)
        await anyio.sleep(self.delay_s)
        return None if task.sample_id in self.failing_samples else f"{task.sample_id} {self.name}"


def scripted_outcome(end: SampleEnd) -> SampleRunOutcome:
    """Return the outcome of a scripted run; an interrupted one was cut off by its engine."""
    if end is not SampleEnd.INTERRUPTED:
        return SampleRunOutcome(end, "scripted")
    error = AttemptFailedError(
        "scripted", step="test", peer=None, perhaps_sent=True, kind=FailureKind.CUT
    )
    return SampleRunOutcome(end, "scripted", error=error)


class RecordingResponder(Responder):
    """Responder that records the response instead of sending it."""

    def __init__(self) -> None:
        self.has_started = False
        self.status = 0
        self.response = Response(0)

    async def send(self, response: Response) -> None:
        self.status = response.status
        self.response = response


@dataclass
class SuspendableClock:
    """Clock that includes the time for which the VM was suspended."""

    suspended_s: float = 0.0

    def now_s(self) -> float:
        return anyio.current_time() + self.suspended_s


@dataclass
class StepVm:
    """Components of one VM that own and run steps."""

    name: str
    view: RowStoreView
    runner: RolloutRunner
    handler: RolloutHandler
    feed: StepFeed
    presence: VmPresence
    transfer: StepTransfer
    engines: SimulatedEngines
    scorer: SimulatedScorer
    clock: SuspendableClock
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    async def submit(self, request: Request, team: TeamName | None = None) -> int:
        responder = RecordingResponder()
        await self.handler.submissions.submit(request, ROUTE, responder, team)
        return responder.response.status

    async def read(self, step_id: str, position: int = 0, team: TeamName | None = None) -> int:
        query = ResultsQuery(position, 0.0)
        return await self.call(StepCall(StepCallKind.RESULTS, StepId(step_id), query), team)

    async def read_body(self, step_id: str, sample_id: str, team: TeamName | None = None) -> int:
        call = StepCall(StepCallKind.BODY, StepId(step_id), sample_id=sample_id)
        return await self.call(call, team)

    async def end(self, step_id: str, team: TeamName | None = None) -> int:
        return await self.call(StepCall(StepCallKind.END, StepId(step_id)), team)

    async def call(self, call: StepCall, team: TeamName | None) -> int:
        responder = RecordingResponder()
        await self.handler.answer_call(call, responder, team)
        return responder.response.status


@dataclass
class StepWorld:
    """Simulated VMs, with the row store and the engines that they share.

    Attributes:
        flaws: Flaws of the store for a VM that starts.
        event_text: Returns the text of an event of a sample.
        local_clock: Returns the local clock of a VM that starts, in seconds.
        extra_loops: Returns what a VM runs besides, until it is killed.
        budget: Budget of the bytes that a VM holds.
    """

    tasks: anyio.abc.TaskGroup
    engines: int = 3
    slots: int = 4
    event_count: Callable[[str], int] = lambda _: 10
    store: MemoryRowStore = field(default_factory=MemoryRowStore)
    vms: dict[str, StepVm] = field(default_factory=dict)
    directory: ReplicaDirectory = field(default_factory=ReplicaDirectory)
    writers: dict[str, list[str]] = field(default_factory=dict)
    flaws: RowStoreFlaws = field(default_factory=lambda: RowStoreFlaws(delay_s=0.002))
    event_text: Callable[[str, int], str] = lambda sample_id, number: f"{sample_id}:{number}"
    local_clock: Callable[[], Callable[[], float]] = lambda: anyio.current_time
    extra_loops: Callable[[StepVm], list[Callable[[], Awaitable[None]]]] = lambda _: []
    budget: ByteBudget = field(default_factory=ByteBudget)

    def __post_init__(self) -> None:
        for number in range(self.engines):
            self.directory.apply_entry(make_engine(number, self.slots))

    def restart_engine(self, replica: Replica) -> None:
        """List an engine again under its id, with a later start."""
        entry = self.directory.entries[replica.target_id]
        started_ms, version = entry.started_ms + 1, entry.entry_version + 1
        self.directory.apply_entry(replace(entry, started_ms=started_ms, entry_version=version))

    def replace_engine(self, replica: Replica, number: int, software: str) -> None:
        """Remove an engine, and list another one with other software."""
        self.directory.apply_removal(replica.target_id, anyio.current_time())
        self.directory.apply_entry(
            replace(make_engine(number, self.slots), software_version=software)
        )

    async def start(self, name: str, boot: str = "boot") -> StepVm:
        """Start a VM and wait until it has read the store."""
        view = RowStoreView(self.store, replace(self.flaws))
        stats_registry = ReplicaStatsRegistry()
        records = RolloutRecords(view)
        engines = SimulatedEngines(stats_registry, self.event_count)
        engines.on_crash = self.restart_engine
        engines.writers = self.writers
        engines.event_text = self.event_text
        generator = random.Random(name)
        store_clock = StoreClock(self.local_clock())
        vm_row = VmRow(name, boot, f"{name}:80", "a", 0)
        sharing = LimitSharing(name, stats_registry.limits, self.directory)
        presence = VmPresence(
            view, vm_row, store_clock, lambda: bool(runner.steps), generator, sharing
        )
        clock = SuspendableClock()
        scorer = SimulatedScorer(name)
        guard = PauseGuard(records, clock.now_s, generator)
        runner = RolloutRunner(
            records,
            self.directory,
            stats_registry,
            engines,  # type: ignore[arg-type]
            scorer,  # type: ignore[arg-type]
            ZoneName("a"),
            lambda: TABLE,
            lambda _: frozenset(),
            guard,
            generator,
        )
        vm: StepVm
        transfer = StepTransfer(name, boot, records, runner, lambda: TABLE)
        feed = StepFeed(
            name,
            boot,
            presence.watch,
            store_clock.now_ms,
            transfer.take_over,
            lambda step_id: vm.handler.submissions.is_running(step_id),
            lambda step_id: transfer.handle_step_ended(step_id, self.tasks),
            transfer.handle_owner_change,
            self.is_process_running,
        )
        runner.on_rows = guard.on_rows = feed.apply_rows
        runner.find_obstacle = feed.find_obstacle
        reads = StoreReads(self.budget)
        reader = SubmissionReader(records, reads, runner.start_task)
        access = StepAccess(records, runner.steps, lambda: feed.steps, lambda: TABLE, reader)

        def is_store_unavailable() -> bool:
            return anyio.current_time() - view.answered_at_s >= STORE_SILENCE_LIMIT_S

        submissions = SubmissionHandler(
            name,
            boot,
            records,
            runner,
            lambda: feed.steps,
            lambda: TABLE,
            store_clock.now_ms,
            presence.watch,
            is_store_unavailable,
            access,
        )
        handler = RolloutHandler(
            records,
            runner,
            lambda: feed.steps,
            is_store_unavailable,
            access,
            submissions,
            reads,
            reader,
        )
        vm = StepVm(name, view, runner, handler, feed, presence, transfer, engines, scorer, clock)
        followers = [
            TableFollower(view, "steps", feed, generator, single_part=False),
        ]
        loops = [follower.run for follower in followers] + self.extra_loops(vm)
        self.vms[name] = vm
        self.tasks.start_soon(self.run_vm, vm, loops)
        await anyio.sleep(1.0)
        return vm

    async def is_process_running(self, row: VmRow) -> bool:
        """Ask a VM as its peers do: it answers unless it is killed, and then says how it fares."""
        vm = self.vms[row.vm]
        if vm.scope.cancel_called:
            await anyio.sleep(POLL_TIMEOUT_S)
            return False
        await anyio.sleep(0.002)
        return vm.presence.boot == row.boot and not vm.view.flaws.down

    async def run_vm(self, vm: StepVm, loops: list[Callable[[], Awaitable[None]]]) -> None:
        with vm.scope:
            async with anyio.create_task_group() as tasks:
                for loop in (vm.presence.run, vm.runner.run, vm.feed.run, *loops):
                    tasks.start_soon(loop)

    def kill(self, vm: StepVm) -> None:
        vm.scope.cancel()

    async def stored_results(self, step_id: str = "step-1") -> list[tuple[str, str]]:
        """Return sample ids and texts of the stored results, ordered by position."""
        records = RolloutRecords(RowStoreView(self.store))
        results = await records.results(StepId(step_id), all_pages=True)
        return [(result.sample_id, result.text) for result in results]

    async def wait_for_results(self, count: int, timeout_s: float, step_id: str = "step-1") -> None:
        """Wait until ``count`` results are stored; check that each is complete and stored once."""
        with anyio.fail_after(timeout_s):
            results = await self.stored_results(step_id)
            while len(results) < count:
                changed = self.store.changed
                await changed.wait()
                results = await self.stored_results(step_id)
        assert len({sample_id for sample_id, _ in results}) == count
        for sample_id, text in results:
            numbers = range(1, self.event_count(sample_id) + 1)
            assert text == "\n".join(f"{sample_id}:{number}" for number in numbers)


async def transfer_to_other_vm(vm: StepVm, step_id: str) -> bool:
    """Make another VM the owner of a step by a direct write to the store."""
    records = RolloutRecords(RowStoreView(vm.view.store))
    owner_row = await records.owner(StepId(step_id))
    assert owner_row is not None
    owner, version = owner_row
    other = owner.with_owner("other", "b")
    return not isinstance(await records.replace_owner(StepId(step_id), other, version), RowConflict)


def owned_step(vm: StepVm, step_id: str = "step-1") -> OwnedStep:
    return vm.runner.steps[StepId(step_id)]
