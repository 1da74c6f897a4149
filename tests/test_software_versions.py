"""Streams go on only at the software version that began them, on each way and at each VM."""

from collections.abc import Awaitable
from dataclasses import replace

import anyio
import pytest

from balsamcleat.decisions.engine_ranking import EngineView, SampleRequirements
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_placement import (
    RunningSample,
    WaitingSample,
    find_moves,
    place_samples,
)
from balsamcleat.decisions.sample_progress import ProgressSlice, SampleProgress
from balsamcleat.decisions.step_order import SampleRank
from balsamcleat.decisions.stream_keepers import KeeperRing
from balsamcleat.decisions.stream_origin import LIST_DELAY_S, StreamOrigin, origin_of
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.http1 import ConnectionPool, PoolLimits
from balsamcleat.model import StepId, TargetId, WeightVersion
from balsamcleat.model.replicas import Replica, ReplicaState, StreamSoftware
from balsamcleat.model.rollout import RolloutStep, SampleTask
from balsamcleat.model.routing import RouteKind
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.sample_run import SampleAssignment, SampleEnd, SampleRunner
from balsamcleat.tasks.stream_register import ASKED_COUNT, KEEPER_COUNT
from live_world import live_world, route
from raw_target import RawTarget, raw_target
from step_world import (
    MODEL,
    StepWorld,
    make_engine,
    make_submission,
    owned_step,
    run_in_virtual_time,
    transfer_to_other_vm,
)
from test_stream_forwarding import ALL_EVENTS, EVENTS, event_bytes, stream_script

STREAM = route(RouteKind.STREAM, resumable=True)
SAMPLE = "0-0"


def cut_once(cut_after: int):
    """Return a script that cuts the first stream and completes the others."""
    scripts = [stream_script(cut_after=cut_after)]

    async def script(target, stream) -> None:
        await (scripts.pop() if scripts else stream_script())(target, stream)

    return script


def resuming(first_attempt: str, last_event: int) -> str:
    return f"Resumes: {first_attempt}\r\nLast-Event-Id: {last_event}\r\n"


@pytest.mark.anyio
async def test_interrupted_answer_goes_on_at_the_software_that_began_it() -> None:
    scripts = [stream_script(cut_after=3), *[stream_script()] * 5]
    async with live_world(scripts, STREAM, software=["v1", "v2", "v1", "v2", "v2", "v2"]) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[2] == ALL_EVENTS
        assert [len(target.requests) for target in world.targets] == [1, 0, 1, 0, 0, 0]


@pytest.mark.anyio
async def test_interrupted_answer_ends_at_once_without_a_target_of_its_software() -> None:
    scripts = [stream_script(cut_after=3), stream_script()]
    async with live_world(scripts, STREAM, software=["v1", "v2"]) as world:
        caller = await world.connect()
        with anyio.fail_after(1.0), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await caller.request("a")
        assert not world.targets[1].requests


@pytest.mark.anyio
async def test_interrupted_answer_does_not_go_on_at_a_target_that_started_again() -> None:
    """The target has its id, but the list still shows the start before, with that software."""
    scripts = [stream_script(cut_after=3), stream_script()]
    async with live_world(scripts, STREAM) as world:
        world.restart_target(1, started_ms=5)
        world.targets[1].started_ms = 9
        caller = await world.connect()
        with anyio.fail_after(1.0), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await caller.request("a")
        assert not world.targets[1].requests


@pytest.mark.anyio
async def test_target_that_names_no_start_serves_streams() -> None:
    """It may be no engine; a question that ends the connection must not end the stream."""
    async with live_world([stream_script()], STREAM) as world:
        world.targets[0].names_start = False
        for number in range(3):
            caller = await world.connect()
            assert (await caller.request(f"a{number}"))[2] == ALL_EVENTS


@pytest.mark.anyio
async def test_stream_of_a_target_that_names_no_start_is_not_continued() -> None:
    async with live_world([stream_script(cut_after=3)] * 2, STREAM) as world:
        for target in world.targets:
            target.names_start = False
        caller = await world.connect()
        with anyio.fail_after(1.0), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await caller.request("a")
        assert sum(len(target.requests) for target in world.targets) == 1


@pytest.mark.anyio
async def test_caller_goes_on_at_another_vm_at_the_software_that_began_its_stream() -> None:
    scripts = [cut_once(cut_after=4), stream_script()]
    async with live_world(scripts, STREAM, software=["v1", "v2"], vm_count=2) as world:
        first = await world.connect(vm=0)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await first.request("a")
        # The other VM would rather send work to the target of the other software.
        replica = world.vms[1].directory.entries[world.target_id(0)]
        stats = world.vms[1].forwarder.stats_registry.for_replica(replica)
        stats.record_failure(anyio.current_time())
        second = await world.connect(vm=1)
        status, _, body = await second.request("b", extra_headers=resuming("a", 3))
        assert status == 200
        assert body == b"".join(event_bytes(number) for number in range(4, EVENTS + 1))
        assert not world.targets[1].requests


@pytest.mark.anyio
@pytest.mark.parametrize(
    "headers", [resuming("unknown", 3), "Last-Event-Id: 3\r\n"], ids=["unknown", "unnamed"]
)
async def test_caller_whose_stream_nobody_knows_is_told_so_at_once(headers: str) -> None:
    """Neither version may be guessed; the answer is true and lets the caller begin anew."""
    scripts = [stream_script(), stream_script()]
    async with live_world(scripts, STREAM, software=["v1", "v2"], vm_count=2) as world:
        caller = await world.connect(vm=1)
        with anyio.fail_after(1.0):
            status, answered, _ = await caller.request("b", extra_headers=headers)
        assert status == 503
        assert "retry-after" in answered
        assert not any(target.requests for target in world.targets)


@pytest.mark.anyio
async def test_caller_goes_on_after_the_vm_that_began_its_stream_was_killed() -> None:
    """Any VM finds out the software from those that keep it."""
    scripts = [cut_once(cut_after=4), stream_script()]
    async with live_world(scripts, STREAM, software=["v1", "v2"], vm_count=5) as world:
        first = await world.connect(vm=0)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await first.request("a")
        await anyio.sleep(0.1)
        world.vms[0].kill()
        for vm in range(1, 5):
            caller = await world.connect(vm=vm)
            status, _, body = await caller.request(f"b{vm}", extra_headers=resuming("a", 3))
            assert status == 200
            assert body == b"".join(event_bytes(number) for number in range(4, EVENTS + 1))
        assert not world.targets[1].requests


@pytest.mark.anyio
async def test_caller_is_told_at_once_if_the_keepers_of_its_stream_do_not_answer() -> None:
    async with live_world([stream_script()], STREAM, vm_count=5) as world:
        await (await world.connect(vm=0)).request("a")
        await anyio.sleep(0.1)
        keepers = [vm for vm in world.vms if "a" in vm.register.streams]
        others = [number for number, vm in enumerate(world.vms) if vm not in keepers]
        for vm in keepers:
            vm.kill()
        caller = await world.connect(vm=others[0])
        with anyio.fail_after(1.0):
            status, headers, _ = await caller.request("b", extra_headers=resuming("a", 3))
        assert (status, "retry-after" in headers) == (503, True)


@pytest.mark.parametrize("vm_count", [3, 12, 195])
def test_vms_with_different_views_find_a_common_keeper(vm_count: int) -> None:
    """One VM has come, or gone, since the stream began."""
    rows = [
        VmRow(f"vm-{number}", "boot", f"10.0.0.{number}:1", "a", 1) for number in range(vm_count)
    ]
    before = KeeperRing.of(rows)
    for missing in range(vm_count):
        after = KeeperRing.of(rows[:missing] + rows[missing + 1 :])
        for stream in ("one", "two", "three"):
            told = {row.vm for row in before.keepers(stream, KEEPER_COUNT)}
            assert told & {row.vm for row in after.keepers(stream, ASKED_COUNT)}
            told = {row.vm for row in after.keepers(stream, KEEPER_COUNT)}
            assert told & {row.vm for row in before.keepers(stream, ASKED_COUNT)}


def check_one_writer(world: StepWorld) -> None:
    """Check what engines wrote of each sample against their software."""
    for sample_id, writers in world.writers.items():
        assert len(set(writers)) == 1, (sample_id, writers)


async def interrupted_sample() -> None:
    """Cut a sample at an engine that ends then; only one of other software is left."""
    async with anyio.create_task_group() as tasks:
        world = StepWorld(tasks, engines=1)
        vm = await world.start("a")
        vm.engines.cuts[SAMPLE] = 4
        vm.engines.on_cut = lambda replica: world.replace_engine(replica, 7, "v2")
        await vm.submit(make_submission(1, 2, 1))
        await world.wait_for_results(2, 5.0)
        check_one_writer(world)
        tasks.cancel_scope.cancel()


def test_interrupted_sample_begins_anew_without_an_engine_of_its_software() -> None:
    run_in_virtual_time(interrupted_sample)


async def sample_with_an_engine_of_its_software() -> None:
    """Cut a sample while both versions serve, and the other one is preferred."""
    async with anyio.create_task_group() as tasks:
        world = StepWorld(tasks, engines=1, event_count=lambda _: 100)
        world.directory.apply_entry(replace(make_engine(7, 1), software_version="v2"))
        vm = await world.start("a")
        vm.engines.cuts = {"0-0": 80, "0-1": 80}

        def avoid(replica) -> None:
            stats = vm.engines.stats_registry.for_replica(replica)
            stats.record_failure(anyio.current_time())

        vm.engines.on_cut = avoid
        await vm.submit(make_submission(1, 2, 1))
        await world.wait_for_results(2, 12.0)
        check_one_writer(world)
        # No event was lost: nothing was generated twice.
        assert vm.engines.runs.count("0-0") == 2
        tasks.cancel_scope.cancel()


def test_interrupted_sample_goes_on_at_an_engine_of_its_software() -> None:
    run_in_virtual_time(sample_with_an_engine_of_its_software)


async def interrupted_on_a_young_connection(still_runs: bool) -> list[int]:
    """Lose the link to an engine before the list can tell which start of it answered."""
    async with anyio.create_task_group() as tasks:
        world = StepWorld(tasks, engines=1, event_count=lambda _: 40)
        vm = await world.start("a")
        vm.engines.names_starts = False
        vm.engines.cuts[SAMPLE] = 20
        asked: list[str] = []

        async def confirm(replica: Replica) -> bool:
            asked.append(replica.target_id)
            await anyio.sleep(0.01)
            if still_runs:
                world.directory.record_alive(replica.start, anyio.current_time())
            return still_runs

        vm.runner.resumption.confirm_start = confirm
        await vm.submit(make_submission(1, 1, 1))
        await world.wait_for_results(1, 12.0)
        check_one_writer(world)
        tasks.cancel_scope.cancel()
    return [len(asked), vm.engines.generated]


@pytest.mark.parametrize(("still_runs", "generated"), [(True, 40), (False, 60)])
def test_engine_that_still_runs_confirms_the_text_of_a_young_connection(
    still_runs: bool, generated: int
) -> None:
    """Its start has run all the while, so it began the stream; else the text is lost."""
    assert run_in_virtual_time(interrupted_on_a_young_connection, still_runs) == [1, generated]


async def step_taken_over() -> None:
    """Kill the owner of a step whose samples are saved, when the engines are replaced."""
    async with anyio.create_task_group() as tasks:
        world = StepWorld(tasks, engines=1, event_count=lambda _: 120)
        owner = await world.start("a")
        await world.start("b")
        await owner.submit(make_submission(1, 2, 1))
        await anyio.sleep(4.9)
        world.kill(owner)
        world.replace_engine(make_engine(0), 7, "v2")
        await world.wait_for_results(2, 12.0)
        check_one_writer(world)
        tasks.cancel_scope.cancel()


def test_step_taken_over_begins_its_samples_anew_at_other_software() -> None:
    run_in_virtual_time(step_taken_over)


async def step_saved_by_an_older_build() -> None:
    """Take over a step whose saved text doesn't say which software wrote it."""
    async with anyio.create_task_group() as tasks:
        world = StepWorld(tasks, engines=1)
        vm = await world.start("a")
        await vm.submit(make_submission(1, 1, 1))
        await anyio.sleep(0.1)
        step = owned_step(vm)
        vm.runner.leaving = True
        step.cancel_runs()
        await anyio.sleep(0.1)
        events = tuple(f"{SAMPLE}:{number}" for number in range(1, 6))
        old = ProgressSlice(step.first_generation + 5, 0, 1, events, (WeightVersion(1),))
        await RolloutRecords(vm.view).save_progress("step-1", {SAMPLE: old})
        assert await transfer_to_other_vm(vm, "step-1")
        world.kill(vm)
        await world.start("b")
        await world.wait_for_results(1, 15.0)
        check_one_writer(world)
        tasks.cancel_scope.cancel()


def test_text_saved_by_an_older_build_is_not_continued() -> None:
    run_in_virtual_time(step_saved_by_an_older_build)


async def text_of_an_earlier_step() -> None:
    """Carry an incomplete sample over to the trainer's next step, when the engines are replaced."""
    async with anyio.create_task_group() as tasks:
        world = StepWorld(tasks, engines=1, event_count=lambda _: 120)
        vm = await world.start("a")
        await vm.submit(make_submission(1, 1, 1))
        await anyio.sleep(4.9)
        await vm.end("step-1")
        await anyio.sleep(0.2)
        world.replace_engine(make_engine(0), 7, "v2")
        await vm.submit(make_submission(1, 1, 1, step_id="step-2"))
        await world.wait_for_results(1, 12.0, step_id="step-2")
        check_one_writer(world)
        assert len(world.writers[SAMPLE]) == 120
        assert StepId("step-2") in vm.runner.steps
        tasks.cancel_scope.cancel()


def test_text_of_an_earlier_step_is_not_continued_at_other_software() -> None:
    run_in_virtual_time(text_of_an_earlier_step)


def listed(started_ms: int = 1, software: str = "v1", entry_version: int = 1) -> Replica:
    return replace(
        make_engine(0),
        started_ms=started_ms,
        software_version=software,
        entry_version=entry_version,
    )


class TestOriginByALateList:
    """A connection led to the listed start only if the list still shows it some time later."""

    connected_at_s = 100.0
    settled_s = connected_at_s + LIST_DELAY_S

    def directory(self) -> ReplicaDirectory:
        directory = ReplicaDirectory()
        directory.apply_entry(listed(), self.connected_at_s - 50.0)
        return directory

    def software(self, directory: ReplicaDirectory) -> str | None:
        origin = origin_of(listed(), self.connected_at_s, is_confirmed=False)
        software = directory.certain_software(origin)
        return None if software is None else software.version

    def test_is_unknown_until_the_list_was_read_late_enough(self) -> None:
        directory = self.directory()
        directory.record_read(self.settled_s - 0.1)
        assert self.software(directory) is None
        directory.record_read(self.settled_s)
        assert self.software(directory) == "v1"

    @pytest.mark.parametrize(("read_after_s", "expected"), [(-0.1, None), (0.1, "v1")])
    def test_a_start_that_is_listed_soon_may_have_answered(
        self, read_after_s: float, expected: str | None
    ) -> None:
        directory = self.directory()
        directory.apply_entry(listed(2, "v2", 2), self.settled_s + read_after_s)
        directory.record_read(self.settled_s + 1.0)
        assert self.software(directory) == expected

    @pytest.mark.parametrize(("removed_after_s", "expected"), [(-0.1, None), (0.1, "v1")])
    def test_a_target_that_vanishes_soon_may_have_started_again(
        self, removed_after_s: float, expected: str | None
    ) -> None:
        directory = self.directory()
        directory.apply_removal(TargetId("engine-0"), self.settled_s + removed_after_s)
        directory.record_read(self.settled_s + 1.0)
        assert self.software(directory) == expected

    def test_a_start_that_ran_later_ran_all_the_while(self) -> None:
        directory = self.directory()
        directory.record_alive(listed().start, self.connected_at_s - 0.1)
        assert self.software(directory) is None
        directory.record_alive(listed().start, self.connected_at_s + 0.1)
        assert self.software(directory) == "v1"

    def test_an_entry_that_lapsed_and_came_back_is_the_same_start(self) -> None:
        directory = self.directory()
        directory.apply_removal(TargetId("engine-0"), self.connected_at_s + 1.0)
        directory.apply_entry(listed(entry_version=2), self.connected_at_s + 2.0)
        directory.record_read(self.settled_s)
        assert self.software(directory) == "v1"

    def test_an_entry_that_is_missing_during_the_recovery_of_the_store_proves_nothing(self) -> None:
        directory = self.directory()
        directory.record_store_recovery(self.connected_at_s + 1.0)
        directory.apply_listing({}, self.connected_at_s + 1.0)
        directory.record_read(self.settled_s)
        assert self.software(directory) is None

    def test_a_start_that_was_found_to_have_ended_stays_ended(self) -> None:
        """Its entry may still be renewed in the list by a write from before."""
        directory = self.directory()
        directory.mark_ended(listed(), self.connected_at_s + 1.0)
        directory.apply_entry(listed(entry_version=2), self.connected_at_s + 2.0)
        directory.record_read(self.settled_s)
        assert self.software(directory) is None
        assert not directory.ready_replicas(listed().service)


def engine(number: int, software: str, load: float = 0.0, **fields) -> EngineView:
    return EngineView(
        TargetId(f"e{number}"),
        slots=2,
        load=load,
        loaded_versions={MODEL: WeightVersion(1)},
        software_version=software,
        **fields,
    )


def sample(number: int, software: str | None, place: int) -> WaitingSample:
    requirements = SampleRequirements(MODEL, WeightVersion(1), software)
    rank = (0.0, SampleRank(-100.0, place))
    return WaitingSample(StepId("s"), f"sample-{number}", requirements, f"p{number}", rank)


def test_interrupted_samples_get_the_last_slots_of_their_software() -> None:
    """New samples, however early their rank, go where they can also end."""
    engines = [engine(0, "old", load=1.0, is_replaced=True), engine(1, "new")]
    waiting = [sample(0, None, 0), sample(1, None, 1), sample(2, "old", 2)]
    placed = {p.sample_id: p.target_id for p in place_samples(waiting, engines)}
    assert placed == {"sample-0": "e1", "sample-1": "e1", "sample-2": "e0"}


def test_sample_is_moved_for_speed_only_to_its_software() -> None:
    engines = [
        engine(0, "old", event_interval_s=0.2),
        engine(1, "new", event_interval_s=0.02),
        engine(2, "old", event_interval_s=0.03),
    ]
    running = RunningSample(
        StepId("s"),
        "sample-0",
        TargetId("e0"),
        SampleRequirements(MODEL, WeightVersion(1), "old"),
        remaining_events=100.0,
    )
    assert [move.target_id for move in find_moves([running], engines)] == ["e2"]


def test_a_version_is_being_replaced_while_its_targets_leave() -> None:
    directory = ReplicaDirectory()
    old = [replace(make_engine(n), software_version="old") for n in (0, 1)]
    for entry in (*old, replace(make_engine(2), software_version="new")):
        directory.apply_entry(entry, 0.0)
    assert not directory.replaced_versions(old[0].service, 10.0)
    leaving = replace(old[0], state=ReplicaState.DRAINING, entry_version=2)
    directory.apply_entry(leaving, 10.0)
    assert directory.replaced_versions(old[0].service, 12.0) == {"old"}
    assert not directory.replaced_versions(old[0].service, 30.0)


def sample_assignment(replica: Replica) -> SampleAssignment:
    task = SampleTask(sample_id=SAMPLE, group="g", path="/path", headers=(), body=b"")
    step = RolloutStep(StepId("s"), MODEL, WeightVersion(1), 1, 0, (task,))
    return SampleAssignment(step, task, "host.example", replica, 5.0, 5, False, lambda: True)


def weighted_stream(target: RawTarget, stream) -> Awaitable[None]:
    """Stream all events of a sample and its weight version."""
    return stream_script(headers=b"Weight-Versions: 1\r\n")(target, stream)


@pytest.mark.anyio
@pytest.mark.parametrize(("started_ms", "goes_on"), [(1, True), (2, False)])
async def test_sample_goes_on_only_at_the_start_that_the_list_shows(
    started_ms: int, goes_on: bool
) -> None:
    """The target may have started again with other software before the list says so."""
    async with raw_target(weighted_stream) as target:
        target.started_ms = started_ms
        replica = replace(listed(), address=target.address)
        directory = ReplicaDirectory()
        directory.apply_entry(replica)
        pool = ConnectionPool(PoolLimits())
        progress = SampleProgress(["event 1"], {WeightVersion(1)})
        progress.origin = StreamOrigin.certain(StreamSoftware(replica.service, "v1"))
        runner = SampleRunner(pool, directory, ReplicaStatsRegistry())
        outcome = await runner.run(sample_assignment(replica), progress)
        pool.close()
        assert len(target.requests) == goes_on
        assert (outcome.end is SampleEnd.COMPLETE) is goes_on
        assert progress.events[0] == "event 1"
        assert bool(directory.ready_replicas(replica.service)) is goes_on


async def waits_for_its_software(has_other_engine: bool) -> list[int]:
    """Keep a sample waiting at a full engine of its software; return the events of its text."""
    async with anyio.create_task_group() as tasks:
        world = StepWorld(tasks, engines=1, slots=1, event_count=lambda _: 60)
        vm = await world.start("a")
        vm.engines.cuts[SAMPLE] = 10

        def fill(replica: Replica) -> None:
            """Let other VMs fill the engine; another engine, if there is one, is free."""
            stats = vm.engines.stats_registry.for_replica(replica)
            stats.avoid_until_s = anyio.current_time() + 1.5
            if has_other_engine:
                world.directory.apply_entry(replace(make_engine(7, 1), software_version="v2"))

        vm.engines.on_cut = fill
        await vm.submit(make_submission(1, 1, 1))
        await world.wait_for_results(1, 12.0)
        check_one_writer(world)
        tasks.cancel_scope.cancel()
    return [world.writers[SAMPLE].count(version) for version in ("v1", "v2")]


@pytest.mark.parametrize(("has_other_engine", "written"), [(True, [0, 60]), (False, [60, 0])])
def test_sample_gives_its_text_up_only_for_an_engine_that_is_free(
    has_other_engine: bool, written: list[int]
) -> None:
    """It waits about as long as its text took, and longer while nothing else could take it."""
    assert run_in_virtual_time(waits_for_its_software, has_other_engine) == written
