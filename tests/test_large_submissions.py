"""A submission that needs several commits is stored whole, from one try, or not accepted.

The store may perform a commit late, after its VM has given up and another VM has accepted the
submission. The rows of two tries did not fit together, so that nobody could read the submission.
"""

import random
from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest

import step_world as w
from balsamcleat.http1 import Request
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowCommit, RowConflict, RowsCommitted, RowWrite
from balsamcleat.tasks.rollout_records import RolloutRecords, owner_key

STEP = StepId("step-1")
GROUPS, SIZE = 4, 8
SAMPLES = GROUPS * SIZE
ROW_BYTES = 100
COMMIT_BYTES = 700


def run_test(test) -> None:
    async def with_world() -> None:
        async with anyio.create_task_group() as tasks:
            world = w.StepWorld(tasks)
            world.store.limits = replace(
                world.store.limits, row_bytes=ROW_BYTES, commit_bytes=COMMIT_BYTES
            )
            await test(world)
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(with_world)


def submission(header_bytes: int) -> Request:
    """Return a try of a submission; tries differ in the headers that are stored with it."""
    request = w.make_submission(GROUPS, SIZE, GROUPS)
    # Random text can't be compressed, so that the number of rows depends on it.
    note = random.Random(header_bytes).randbytes(header_bytes).hex()
    return replace(request, headers=(*request.headers, ("Note", note)))


def before_commit(vm: w.StepVm, number: int, action: Callable[[], object]) -> None:
    """Call an action before a VM's commit of a submission, which are counted from 0."""
    commit = vm.view.commit
    count = 0

    async def commit_after_action(row_commit: RowCommit) -> RowsCommitted | RowConflict:
        nonlocal count
        if any(write.key.table == "step-bodies" for write in row_commit.writes):
            if count == number:
                action()
            count += 1
        return await commit(row_commit)

    vm.view.commit = commit_after_action  # type: ignore[method-assign]


async def check_step(world: w.StepWorld, owner: w.StepVm) -> None:
    """Check that another VM reads the bodies, takes the step over and finishes it."""
    other = await world.start("c")
    assert await other.read_body(STEP, "0-0") == 200
    world.kill(owner)
    await world.wait_for_results(SAMPLES, 20.0)


@pytest.mark.parametrize("header_bytes", [1, 30, 120, 900])
@pytest.mark.parametrize("held", [0, 1])
def test_late_commit_of_an_earlier_try_does_not_spoil_the_accepted_submission(
    held: int, header_bytes: int
) -> None:
    """The first try's VM gets no answer to a commit, which is performed after the second try."""

    async def test(world: w.StepWorld) -> None:
        first, second = await world.start("a"), await world.start("b")

        def hold() -> None:
            first.view.flaws.hold_commits = 1

        before_commit(first, held, hold)
        assert await first.submit(submission(40)) == 504
        assert await second.submit(submission(header_bytes)) == 202
        world.store.release()
        world.kill(first)
        await check_step(world, second)

    run_test(test)


@pytest.mark.parametrize("header_bytes", [1, 30, 40, 120, 900])
@pytest.mark.parametrize("number", [1, 2, 3])
def test_late_commit_between_the_commits_of_a_try_lets_it_fail_or_leaves_it_whole(
    number: int, header_bytes: int
) -> None:
    async def test(world: w.StepWorld) -> None:
        first, second = await world.start("a"), await world.start("b")

        def hold() -> None:
            first.view.flaws.hold_commits = 1

        before_commit(first, 0, hold)
        assert await first.submit(submission(40)) == 504
        world.kill(first)
        before_commit(second, number, world.store.release)
        request = submission(header_bytes)
        status = await second.submit(request)
        if status == 503:
            assert world.store.version_of(owner_key(STEP)) == 0
            status = await second.submit(request)
        assert status == 202
        await check_step(world, second)

    run_test(test)


def test_submission_that_exists_is_answered_as_accepted_at_its_first_commit() -> None:
    async def test(world: w.StepWorld) -> None:
        first, second = await world.start("a"), await world.start("b")
        assert await first.submit(submission(40)) == 202
        second.feed.steps.clear()
        assert await second.submit(submission(900)) == 202
        await check_step(world, first)

    run_test(test)


def test_many_commits_of_one_submission_stay_within_the_rows_of_a_commit() -> None:
    """Each of the commits is a condition of the last one, which has room for a few rows only."""

    async def test(world: w.StepWorld) -> None:
        world.store.limits = replace(world.store.limits, row_bytes=8, commit_bytes=200)
        vm = await world.start("a")
        sizes: list[int] = []
        commit = vm.view.commit

        async def count(row_commit: RowCommit) -> RowsCommitted | RowConflict:
            sizes.append(len(row_commit.writes) + len(row_commit.expected))
            return await commit(row_commit)

        vm.view.commit = count  # type: ignore[method-assign]
        assert await vm.submit(submission(900)) == 202
        assert max(sizes) <= world.store.limits.commit_rows
        await check_step(world, vm)

    run_test(test)


def test_rows_of_two_values_of_one_name_are_not_joined() -> None:
    """Their numbers of rows tell them apart; the value that is whole counts."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(submission(40)) == 202
        body = next(key for key in world.store.rows if key.table == "step-bodies")
        stray = replace(body, key="body.0000.9000")
        world.store.apply(RowCommit((RowWrite(stray, b"x"),)))
        records = RolloutRecords(w.RowStoreView(world.store))
        assert await records.submission(STEP) is not None

    run_test(test)
