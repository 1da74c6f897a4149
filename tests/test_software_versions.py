"""Streams go on only at the software version that began them, on each way and at each VM."""

from dataclasses import replace

import anyio
import pytest

from balsamcleat.decisions.sample_progress import ProgressSlice
from balsamcleat.model import StepId, WeightVersion
from balsamcleat.model.routing import RouteKind
from balsamcleat.tasks.rollout_records import RolloutRecords
from live_world import live_world, route
from step_world import (
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
        world.targets[1].started_ms = 5
        caller = await world.connect()
        with anyio.fail_after(1.0), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await caller.request("a")
        assert not world.targets[1].requests


@pytest.mark.anyio
async def test_caller_goes_on_at_another_vm_at_the_software_that_began_its_stream() -> None:
    scripts = [cut_once(cut_after=4), stream_script()]
    async with live_world(scripts, STREAM, software=["v1", "v2"], vm_count=2) as world:
        first = await world.connect(vm=0)
        with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
            await first.request("a")
        # The other VM would rather send work to the target of the other software.
        stats = world.vms[1].forwarder.stats_registry.for_target(world.target_id(0))
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
            stats = vm.engines.stats_registry.for_target(replica.target_id)
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
        step = owned_step(vm)
        vm.runner.leaving = True
        step.cancel_runs()
        await anyio.sleep(0.2)
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
