"""Scores of samples: each is obtained after its text, stored with it, and survives its owner."""

import random
from collections.abc import Awaitable, Callable

import anyio
import pytest

from balsamcleat.decisions.sample_scoring import ScoringProgress, scoring_failure_limit
from balsamcleat.model import StepId
from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.standins.row_store import RowStoreView
from balsamcleat.tasks.rollout_records import RolloutRecords
from step_world import StepVm, StepWorld, make_submission, owned_step, run_in_virtual_time

GROUPS, SIZE = 2, 3
COUNT = GROUPS * SIZE
FOREVER_S = 1000.0
TICK_S = 0.05


def play(test: Callable[[StepWorld], Awaitable[None]], **options: object) -> None:
    """Run a test with a world of VMs in virtual time."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            await test(StepWorld(tasks, **options))  # type: ignore[arg-type]
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


async def submit(vm: StepVm, step_id: str = "step-1") -> None:
    assert await vm.submit(make_submission(GROUPS, SIZE, GROUPS, step_id, scored=True)) == 202


async def results(world: StepWorld, step_id: str = "step-1") -> tuple[SampleResult, ...]:
    records = RolloutRecords(RowStoreView(world.store))
    return await records.results(StepId(step_id), all_pages=True)


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> None:
    """Wait in virtual time until a condition holds."""
    for _ in range(int(timeout_s / TICK_S)):
        if condition():
            return
        await anyio.sleep(TICK_S)
    raise TimeoutError


async def wait_for_unscored(vm: StepVm, count: int) -> None:
    """Wait until a VM waits for the scores of this many complete texts."""
    await wait_until(lambda: StepId("step-1") in vm.runner.steps, 2.0)
    await wait_until(lambda: len(owned_step(vm).unscored) == count, 20.0)


async def start_owner_without_scores(world: StepWorld) -> StepVm:
    """Start a VM, submit a step to it, and wait until all texts are complete and none is scored."""
    vm = await world.start("vm-1")
    vm.scorer.delay_s = FOREVER_S
    await submit(vm)
    await wait_for_unscored(vm, COUNT)
    return vm


def test_result_is_stored_with_its_score_and_not_before_it() -> None:
    async def test(world: StepWorld) -> None:
        vm = await world.start("vm-1")
        vm.scorer.delay_s = 2.0
        await submit(vm)
        await wait_for_unscored(vm, COUNT)
        assert not await results(world)
        await world.wait_for_results(COUNT, 20.0)
        for result in await results(world):
            assert result.state is SampleState.COMPLETE
            assert result.score == f"{result.sample_id} vm-1"
        assert sorted(vm.scorer.calls) == sorted(
            result.sample_id for result in await results(world)
        )

    play(test)


def test_sample_whose_scorer_keeps_failing_is_given_up_alone() -> None:
    async def test(world: StepWorld) -> None:
        vm = await world.start("vm-1")
        vm.scorer.failing_samples.add("0-1")
        await submit(vm)
        with anyio.fail_after(20.0):
            while len(await results(world)) < COUNT:
                changed = world.store.changed
                await changed.wait()
        states = {result.sample_id: result.state for result in await results(world)}
        assert states.pop("0-1") is SampleState.GIVEN_UP
        assert set(states.values()) == {SampleState.COMPLETE}
        assert vm.engines.runs.count("0-1") == 1

    play(test)


def test_new_owner_scores_complete_texts_without_generating_them_again() -> None:
    """The owner dies while it waits for scores, after the texts were saved as complete."""

    async def test(world: StepWorld) -> None:
        second = await world.start("vm-2")
        first = await start_owner_without_scores(world)
        await wait_until(lambda: len(owned_step(first).saved_as_complete) == COUNT, 10.0)
        world.kill(first)
        await world.wait_for_results(COUNT, 20.0)
        assert not second.engines.runs
        assert {result.score for result in await results(world)} == {
            f"{group}-{place} vm-2" for group in range(GROUPS) for place in range(SIZE)
        }

    play(test)


def test_handed_over_texts_are_scored_by_the_next_owner() -> None:
    async def test(world: StepWorld) -> None:
        second = await world.start("vm-2")
        first = await start_owner_without_scores(world)
        first.feed.accepting = False
        with anyio.fail_after(5.0):
            await first.transfer.hand_over()
        await world.wait_for_results(COUNT, 20.0)
        assert not second.engines.runs

    play(test)


def test_ended_step_is_not_scored_any_more() -> None:
    async def test(world: StepWorld) -> None:
        vm = await start_owner_without_scores(world)
        step = owned_step(vm)
        assert await vm.end("step-1") == 200
        await wait_until(lambda: not step.scoring, 3.0)
        assert not await results(world)

    play(test)


def test_paused_owner_asks_for_no_score_before_the_store_has_confirmed_its_steps() -> None:
    """The step ends while its owner is paused; the owner learns it only from the store."""

    async def test(world: StepWorld) -> None:
        vm = await start_owner_without_scores(world)
        step = owned_step(vm)
        vm.view.flaws.down = True
        vm.clock.suspended_s += 5.0
        assert not vm.runner.may_send(step)
        await anyio.sleep(1.0)
        assert not vm.runner.may_send(step)
        vm.view.flaws.down = False
        await wait_until(lambda: vm.runner.may_send(step), 5.0)

    play(test)


def test_text_carried_into_the_next_step_is_scored_there() -> None:
    """A group that the first step did not finish comes again, with texts that are complete."""

    async def test(world: StepWorld) -> None:
        vm = await start_owner_without_scores(world)
        assert await vm.end("step-1") == 200
        await anyio.sleep(2.0)
        runs_before = len(vm.engines.runs)
        vm.scorer.delay_s = 0.05
        await submit(vm, "step-2")
        await world.wait_for_results(COUNT, 20.0, "step-2")
        assert len(vm.engines.runs) == runs_before
        assert all(result.score for result in await results(world, "step-2"))

    play(test)


@pytest.mark.parametrize(
    ("step_attempts", "scorer_attempts", "limit"), [(3, 3, 3), (3, 4, 4), (4, 2, 4), (1, 9, 3)]
)
def test_sample_is_given_up_after_enough_failures_for_both_routes(
    step_attempts: int, scorer_attempts: int, limit: int
) -> None:
    assert scoring_failure_limit(step_attempts, scorer_attempts) == limit


def test_scorer_that_always_fails_is_called_no_more_often_than_needed() -> None:
    progress = ScoringProgress()
    runs = 0
    while not progress.is_exhausted(3):
        runs += progress.max_runs(3)
        progress.record_failed_call(progress.max_runs(3))
    assert runs == 3


def test_retry_delay_grows_up_to_its_limit() -> None:
    progress, generator = ScoringProgress(), random.Random(1)
    delays = []
    for _ in range(12):
        progress.record_failed_call(0)
        delays.append(progress.retry_delay_s(generator))
    assert delays[0] <= 0.05
    assert 0.4 <= delays[-1] <= 0.8
