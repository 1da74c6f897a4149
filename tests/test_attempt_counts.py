"""What a step's owner counts of a sample's attempts outlasts the owner.

In review case 15, four of eight VMs were stopped one after the other. Each owner ran a sample that
fails at each run twice, and the next one counted anew: 11 answers of 500 instead of 9 at most.
"""

import random
from collections.abc import Awaitable, Callable

import anyio
import pytest

import build_codec as codec
import step_world as w
from balsamcleat.decisions.sample_attempts import (
    MAX_COUNTED_INTERRUPTIONS,
    AttemptCounts,
    SampleAttempts,
)
from balsamcleat.decisions.sample_progress import join_slices
from balsamcleat.decisions.sample_scoring import ScoringProgress
from balsamcleat.model import StepId
from balsamcleat.model.rollout import SampleState
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.sample_run import SampleEnd
from balsamcleat.tasks.sample_scorer import ScoringTask
from entry_world import wait_until

SAMPLE = "0-0"
STEP = StepId("step-1")
MANY = 50
TIMEOUT_S = 20.0
SAMPLES = 2
# After this time, the sample has failed twice, and its third run has not begun.
TWO_FAILURES_S = 0.35
COUNTS = AttemptCounts(2, False, 3, 1, 4, True)

Loss = Callable[[w.StepWorld, w.StepVm], Awaitable[None]]


async def hand_over(world: w.StepWorld, vm: w.StepVm) -> None:
    """Stop a VM as a planned stop does."""
    vm.feed.accepting = False
    await vm.transfer.hand_over()
    await vm.presence.announce_stopped()
    world.kill(vm)


async def kill(world: w.StepWorld, vm: w.StepVm) -> None:
    world.kill(vm)


async def pause(world: w.StepWorld, vm: w.StepVm) -> None:
    """Freeze a VM until another one has its steps; it knows nothing of that when it wakes."""
    vm.view.flaws.down = True
    vm.feed.accepting = False
    for step in list(vm.runner.steps.values()):
        step.unconfirmed = True


LOSSES: dict[str, Loss] = {"hand-over": hand_over, "kill": kill, "pause": pause}


def run_in_step_world(test: Callable[[w.StepWorld], Awaitable[None]], **options) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            await test(w.StepWorld(tasks, **options))
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(run)


async def start_vms(world: w.StepWorld, count: int, end: SampleEnd) -> list[w.StepVm]:
    """Start VMs at which each run of the sample ends in a way."""
    vms = [await world.start(name) for name in "abcd"[:count]]
    for vm in vms:
        vm.engines.scripted_ends[SAMPLE] = [end] * MANY
    return vms


def owner_of(vms: list[w.StepVm]) -> w.StepVm | None:
    """Return the VM that runs the step."""
    running = [vm for vm in vms if STEP in vm.runner.steps and not vm.view.flaws.down]
    return next((vm for vm in running if not vm.scope.cancel_called), None)


async def wait_for_owner(vms: list[w.StepVm]) -> w.StepVm:
    await wait_until(lambda: owner_of(vms) is not None)
    owner = owner_of(vms)
    assert owner is not None
    return owner


async def wait_for_result(world: w.StepWorld) -> None:
    """Wait until the sample has a result; check that it was given up."""
    with anyio.fail_after(TIMEOUT_S):
        while SAMPLE not in await states(world):
            changed = world.store.changed
            await changed.wait()
    assert (await states(world))[SAMPLE] is SampleState.GIVEN_UP


def runs_of(vms: list[w.StepVm]) -> int:
    return sum(vm.engines.runs.count(SAMPLE) for vm in vms)


async def states(world: w.StepWorld) -> dict[str, SampleState]:
    results = await RolloutRecords(RowStoreView(world.store)).results(STEP, all_pages=True)
    return {result.sample_id: result.state for result in results}


@pytest.mark.parametrize("loss", LOSSES)
def test_failed_runs_count_when_the_owner_changes(loss: str) -> None:
    """Each owner counted anew, so that four stops brought 11 failed runs and no result."""

    async def test(world: w.StepWorld) -> None:
        vms = await start_vms(world, 4, SampleEnd.FAILED)
        assert await vms[0].submit(w.make_submission(1, SAMPLES, 1)) == 202
        for _ in range(2):
            owner = await wait_for_owner(vms)
            await anyio.sleep(TWO_FAILURES_S)
            await LOSSES[loss](world, owner)
        await wait_for_result(world)
        assert runs_of(vms) == w.ROUTE.attempts

    run_in_step_world(test)


@pytest.mark.parametrize("loss", LOSSES)
def test_sample_that_is_impossible_runs_once_when_the_owner_changes(loss: str) -> None:
    """The result of a 422 was lost with the owner, so that each owner ran the sample again."""

    async def test(world: w.StepWorld) -> None:
        vms = await start_vms(world, 3, SampleEnd.UNPROCESSABLE)
        assert await vms[0].submit(w.make_submission(1, SAMPLES, 1)) == 202
        owner = await wait_for_owner(vms)
        await wait_until(lambda: runs_of(vms) > 0)
        if loss != "hand-over":
            # The commit of the result takes some milliseconds, which a kill does not wait for.
            await anyio.sleep(0.1)
        await LOSSES[loss](world, owner)
        await anyio.sleep(15.0)
        assert (await states(world))[SAMPLE] is SampleState.GIVEN_UP
        assert runs_of(vms) == 1

    run_in_step_world(test)


def test_results_that_the_store_did_not_take_in_a_stop_are_not_run_again() -> None:
    """What had finished right before a hand-over was forgotten, texts as well as failures."""

    async def test(world: w.StepWorld) -> None:
        vms = await start_vms(world, 2, SampleEnd.UNPROCESSABLE)
        assert await vms[0].submit(w.make_submission(1, SAMPLES, 1)) == 202
        owner = await wait_for_owner(vms)

        async def store_nothing(*_: object) -> bool:
            await anyio.sleep_forever()
            return False

        owner.runner.result_writer.write_batch = store_nothing  # type: ignore[method-assign]
        await anyio.sleep(1.0)
        assert len(w.owned_step(owner).finished) == SAMPLES
        await hand_over(world, owner)
        await anyio.sleep(5.0)
        assert (await states(world))[SAMPLE] is SampleState.GIVEN_UP
        assert sorted((await states(world)).values(), key=str)[0] is SampleState.COMPLETE
        assert sum(len(vm.engines.runs) for vm in vms) == SAMPLES

    run_in_step_world(test)


def test_failed_sample_runs_again_while_the_store_is_away() -> None:
    """A count that can't be stored delays the next run for a moment, not for the outage."""

    async def test(world: w.StepWorld) -> None:
        (vm,) = await start_vms(world, 1, SampleEnd.FAILED)
        vm.engines.scripted_ends[SAMPLE] = [SampleEnd.FAILED]
        assert await vm.submit(w.make_submission(1, SAMPLES, 1)) == 202
        vm.view.flaws.down = True
        await anyio.sleep(2.5)
        assert runs_of([vm]) == 2
        assert SAMPLE in w.owned_step(vm).done

    run_in_step_world(test)


def test_interruptions_count_after_a_hand_over() -> None:
    """The next owner retried a sample that is interrupted each time as fast as a new one."""

    async def test(world: w.StepWorld) -> None:
        vms = await start_vms(world, 2, SampleEnd.INTERRUPTED)
        assert await vms[0].submit(w.make_submission(1, SAMPLES, 1)) == 202
        owner = await wait_for_owner(vms)
        await anyio.sleep(2.0)
        await hand_over(world, owner)
        other = await wait_for_owner(vms)
        attempts = w.owned_step(other).get_attempts(SAMPLE)
        assert attempts.interruptions >= MAX_COUNTED_INTERRUPTIONS
        await anyio.sleep(1.0)
        assert attempts.interruptions > MAX_COUNTED_INTERRUPTIONS

    run_in_step_world(test)


def test_counts_of_a_step_are_not_carried_to_the_next_one() -> None:
    """A sample that comes again in a new step may be given up only after failures there."""

    async def test(world: w.StepWorld) -> None:
        (vm,) = await start_vms(world, 1, SampleEnd.FAILED)
        assert await vm.submit(w.make_submission(1, SAMPLES, 1)) == 202
        await anyio.sleep(3.0)
        assert runs_of([vm]) == w.ROUTE.attempts
        assert await vm.end("step-1") == 200
        await anyio.sleep(0.5)
        assert await vm.submit(w.make_submission(1, SAMPLES, 1, "step-2")) == 202
        await anyio.sleep(3.0)
        assert runs_of([vm]) == 2 * w.ROUTE.attempts

    run_in_step_world(test)


class FailingScorer(w.SimulatedScorer):
    """Counts a failure of each call, and never has a score."""

    async def score(self, task: ScoringTask) -> str | None:
        self.calls.append(task.sample_id)
        while not task.progress.is_exhausted(w.ROUTE.attempts):
            await anyio.sleep(0.2)
            task.progress.record_failed_call(1)
            task.on_failure()
        return None


@pytest.mark.parametrize("loss", LOSSES)
def test_failed_scoring_requests_count_when_the_owner_changes(loss: str) -> None:
    """Each owner began with a new limit on scoring requests that fail."""

    async def test(world: w.StepWorld) -> None:
        vms = [await world.start(name) for name in "ab"]
        for vm in vms:
            vm.runner.step_scorer.scorer = FailingScorer(vm.name)  # type: ignore[assignment]
        assert await vms[0].submit(w.make_submission(1, 1, 1, scored=True)) == 202
        owner = await wait_for_owner(vms)
        scoring = w.owned_step(owner).get_attempts(SAMPLE).scoring
        await wait_until(lambda: scoring.failure_count == 2)
        await anyio.sleep(0.05)
        await LOSSES[loss](world, owner)
        other = await wait_for_owner(vms)
        scoring = w.owned_step(other).get_attempts(SAMPLE).scoring
        assert scoring.failure_count == 2
        await anyio.sleep(1.0)
        assert scoring.failure_count == w.ROUTE.attempts
        assert (await states(world))[SAMPLE] is SampleState.GIVEN_UP

    run_in_step_world(test)


def test_counts_survive_their_stored_form() -> None:
    attempts = SampleAttempts.restore(COUNTS)
    assert attempts.counts() == COUNTS
    assert attempts.scoring == ScoringProgress(1, 4, is_impossible=True)
    assert attempts.should_give_up(2)
    assert not attempts.should_give_up(3)


async def store_with_counts(counts: list[AttemptCounts]) -> MemoryRowStore:
    """Return a store with a step, of which counts were saved one after the other."""
    store = codec.store_with(await codec.write_steps())
    await codec.write_attempts(RolloutRecords(RowStoreView(store)), counts)
    return store


def test_late_write_of_older_counts_takes_nothing_back() -> None:
    """The store may perform a commit without an answer seconds later, after newer ones."""

    async def test() -> None:
        records = [AttemptCounts(failures=failures) for failures in (1, 2, 3)]
        random.Random(1).shuffle(records)
        store = await store_with_counts([*records, AttemptCounts(failures=1)])
        saved = await RolloutRecords(RowStoreView(store)).load_progress(codec.STEP)
        assert saved["0-2"].attempts == saved["0-0"].attempts == AttemptCounts(failures=3)
        assert saved["0-2"].events == ("a", "b")
        assert saved["0-0"].events == ()
        assert join_slices([]) is None

    anyio.run(test)
