"""A position of a step keeps its result, whatever VM it is read from.

On machines of the operators, two VMs gave different results for the positions of a step, at a
moment when all VMs had lost the store: a VM ran the step twice at once, with one owner row.
"""

import anyio
import pytest

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.ports.rows import RowCommit, RowConflict, RowsCommitted
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.rollout_records import RolloutRecords
from position_world import ALLOWED_FAULTS, event_count, play_seed

STEP = StepId("step-1")
GROUPS, SIZE = 4, 8
SAMPLES = GROUPS * SIZE


def run_test(test) -> None:
    async def with_world() -> None:
        async with anyio.create_task_group() as tasks:
            await test(w.StepWorld(tasks, event_count=event_count))
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(with_world)


async def check_positions(world: w.StepWorld, owner: w.StepVm) -> None:
    """Check that the owner returns the results that the other VMs read from the store."""
    listed = [result.sample_id for result in w.owned_step(owner).listed]
    assert listed == [sample_id for sample_id, _ in await world.stored_results()]


@pytest.mark.parametrize("store_s", [0.002, 0.02, 0.1, 0.24])
@pytest.mark.parametrize("gap_s", [0.0, 0.001, 0.003, 0.01, 0.1])
def test_submission_that_arrives_twice_at_a_vm_is_run_once(gap_s: float, store_s: float) -> None:
    """The second one found the step in the store and unmarked it as being created by this VM.

    The feed then took the step for one that this VM owns but does not run, and took it over beside
    the first one. ``store_s`` is the time that a call of the store takes.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        await world.start("b")
        vm.view.flaws.delay_s = store_s
        request = w.make_submission(GROUPS, SIZE, GROUPS)
        statuses: list[int] = []

        async def submit() -> None:
            statuses.append(await vm.submit(request))

        async with anyio.create_task_group() as tries:
            tries.start_soon(submit)
            await anyio.sleep(gap_s)
            tries.start_soon(submit)
        assert statuses == [202, 202]
        await anyio.sleep(1.0)
        vm.view.flaws.delay_s = 0.002
        await world.wait_for_results(SAMPLES, 15.0)
        assert len(vm.engines.runs) == SAMPLES
        await anyio.sleep(0.5)
        await check_positions(world, vm)

    run_test(test)


def test_second_submission_is_accepted_if_the_first_one_was_not_stored() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        vm.view.flaws.refuse_commits = 1
        request = w.make_submission(GROUPS, SIZE, GROUPS)
        statuses: list[int] = []

        async def submit() -> None:
            statuses.append(await vm.submit(request))

        async with anyio.create_task_group() as tries:
            tries.start_soon(submit)
            tries.start_soon(submit)
        assert sorted(statuses) == [202, 503]
        await world.wait_for_results(SAMPLES, 15.0)
        assert len(vm.engines.runs) == SAMPLES

    run_test(test)


def test_step_that_runs_is_not_started_beside_itself() -> None:
    """The second start replaced the first one, whose tasks went on with the same owner row."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(GROUPS, SIZE, GROUPS)) == 202
        await anyio.sleep(0.5)
        running = w.owned_step(vm)
        vm.runner.add_step(
            OwnedStep(running.step, running.record, running.row_version, running.accepted_s)
        )
        assert w.owned_step(vm) is running
        await world.wait_for_results(SAMPLES, 15.0)
        assert len(vm.engines.runs) == SAMPLES
        await anyio.sleep(0.5)
        await check_positions(world, vm)

    run_test(test)


@pytest.mark.parametrize("loses_answer", [False, True])
def test_refused_commit_is_taken_as_done_only_if_the_store_has_its_results(
    loses_answer: bool,
) -> None:
    """An unchanged owner row was taken as proof that the results at the position are its own.

    Here another writer with the same owner row has stored another result there.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(GROUPS, SIZE, GROUPS)) == 202
        await anyio.sleep(0.6)
        owned = w.owned_step(vm)
        position = len(owned.listed)
        assert 0 < position < SAMPLES
        last = f"{GROUPS - 1}-{SIZE - 1}"
        assert last not in owned.done
        text = "\n".join(f"{last}:{number}" for number in range(1, event_count(last) + 1))
        other = SampleResult(last, SampleState.COMPLETE, text, (1,))
        if loses_answer:
            vm.view.flaws.lose_answers = 1
        records = RolloutRecords(w.RowStoreView(world.store))
        await records.append_results(STEP, owned.row_version, position, (other,))
        await world.wait_for_results(SAMPLES, 15.0)
        await anyio.sleep(0.5)
        await check_positions(world, vm)

    run_test(test)


class LateResults:
    """Has the store perform a VM's next commit of results late, and not answer it."""

    def __init__(self, vm: w.StepVm) -> None:
        self.view = vm.view
        self.commit = vm.view.commit
        self.is_held = anyio.Event()
        vm.view.commit = self.hold  # type: ignore[method-assign]

    async def hold(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        if not self.is_held.is_set() and commit.writes[0].key.table == "step-results":
            self.view.flaws.hold_commits = 1
            self.is_held.set()
        return await self.commit(commit)


def test_late_commit_of_an_earlier_run_is_refused_once_the_step_was_loaded_again() -> None:
    """Both runs wrote by one version of the owner row, and a commit names its first key only.

    The key holds the size of the result, so that the late commit landed on results of another size,
    and replaced those at its other positions.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(GROUPS, SIZE, GROUPS)) == 202
        late = LateResults(vm)
        await late.is_held.wait()
        await anyio.sleep(0.05)
        vm.runner.remove_step(w.owned_step(vm))
        await anyio.sleep(0.3)
        assert STEP in vm.runner.steps
        assert [type(outcome) for outcome in world.store.release()] == [RowConflict]
        await world.wait_for_results(SAMPLES, 15.0)
        await anyio.sleep(0.5)
        await check_positions(world, vm)

    run_test(test)


@pytest.mark.parametrize("seed", range(1, 9))
def test_all_vms_give_the_same_results_through_faults_of_the_store(seed: int) -> None:
    played = play_seed(seed, ALLOWED_FAULTS)
    assert played.different_results() == []
    assert played.reads - played.refused_reads > 100


@pytest.mark.parametrize("seed", range(1, 5))
def test_store_that_loses_its_last_rows_shows_no_second_result_while_owners_live(
    seed: int,
) -> None:
    """More than the operators' page allows: the store comes back without its last second."""
    played = play_seed(seed, (), loses_rows=True)
    assert played.different_results() == []
