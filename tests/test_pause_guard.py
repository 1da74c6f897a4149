"""A VM that was paused starts nothing before the store has said what became of its steps."""

import anyio
import pytest

import step_world as w
from balsamcleat.decisions.pause_detector import MIN_PAUSE_S, PauseDetector
from balsamcleat.model import StepId

PAUSED_S = 3.0


def play(test) -> None:
    async def with_world() -> None:
        async with anyio.create_task_group() as tasks:
            # Half of the samples find a place, the others wait for one.
            await test(w.StepWorld(tasks, event_count=lambda _: 20))
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(with_world)


def deafen(vm: w.StepVm) -> None:
    """Let the feed tell nothing more: what it says is still on its way."""
    vm.feed.on_changes = lambda rows, version: None  # type: ignore[method-assign]
    vm.feed.accepting = False


def test_looks_that_come_late_tell_of_a_pause() -> None:
    watch = PauseDetector()
    assert watch.measure_pause(10.0) == 0.0
    assert watch.measure_pause(10.1) == 0.0
    assert watch.measure_pause(10.1 + PAUSED_S) == pytest.approx(PAUSED_S)
    assert watch.measure_pause(10.2 + PAUSED_S) == 0.0
    watch.reset()
    assert watch.measure_pause(100.0) == 0.0
    assert watch.measure_pause(100.0 + MIN_PAUSE_S / 2) == 0.0


def test_no_sample_of_a_step_that_was_ended_meanwhile_starts() -> None:
    """The soak's seed 10: two samples of an ended step were resumed before the feed told of it."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        assert await vm.submit(w.make_submission(6, 4, 6)) == 202
        await anyio.sleep(0.3)
        deafen(vm)
        started = len(vm.engines.runs)
        assert started < 24
        assert await other.end("step-1") == 200
        vm.clock.suspended_s = PAUSED_S
        await anyio.sleep(3.0)
        assert len(vm.engines.runs) == started
        assert vm.feed.steps[StepId("step-1")].ended

    play(test)


def test_no_sample_of_a_step_that_was_taken_over_meanwhile_starts() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(6, 4, 6)) == 202
        await anyio.sleep(0.3)
        deafen(vm)
        started = len(vm.engines.runs)
        assert await w.transfer_to_other_vm(vm, "step-1")
        vm.clock.suspended_s = PAUSED_S
        await anyio.sleep(3.0)
        assert len(vm.engines.runs) == started
        assert not vm.runner.steps

    play(test)


@pytest.mark.parametrize("away_s", [0.0, 2.0])
def test_a_step_that_is_still_its_own_goes_on_once_the_store_has_said_so(away_s: float) -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(6, 4, 6)) == 202
        await anyio.sleep(0.3)
        started = len(vm.engines.runs)
        vm.view.flaws.down = away_s > 0.0
        vm.clock.suspended_s = PAUSED_S
        await anyio.sleep(away_s)
        if away_s:
            assert len(vm.engines.runs) == started
        vm.view.flaws.down = False
        await world.wait_for_results(24, 5.0)

    play(test)
