"""What happens to a step while another VM loads its records for a take-over counts.

In review case 4, a step that was ended during its take-over started afterwards, and its samples ran
on targets for more than ten seconds.
"""

from collections.abc import Awaitable, Callable

import anyio
import pytest

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowCommit, RowWrite
from balsamcleat.tasks.rollout_records import RolloutRecords, owner_key

# Answers of the store take so long that a take-over lasts for more than a second.
SLOW_STORE_S = 0.24
STEP_ID = StepId("step-1")
WATCH_S = 12.0

Change = Callable[[w.StepWorld], Awaitable[None]]


async def end_step(world: w.StepWorld) -> None:
    assert await world.vms["c"].end(STEP_ID) == 200


async def end_step_unseen(world: w.StepWorld) -> None:
    """End the step while the feed of the VM that takes it over delivers nothing."""
    world.vms["b"].feed.on_changes = lambda rows, version: None  # type: ignore[method-assign]
    assert await world.vms["c"].end(STEP_ID) == 200


async def give_step_to_another_vm(world: w.StepWorld) -> None:
    records = RolloutRecords(w.RowStoreView(world.store))
    found = await records.owner(STEP_ID)
    assert found is not None
    owner, version = found
    await records.replace_owner(STEP_ID, owner.with_owner("c", "boot"), version)


async def delete_step(world: w.StepWorld) -> None:
    world.store.apply(RowCommit((RowWrite(owner_key(STEP_ID), None),)))


async def wait_for_owner(world: w.StepWorld, vm: str) -> None:
    records = RolloutRecords(w.RowStoreView(world.store))
    with anyio.fail_after(20.0):
        while True:
            found = await records.owner(STEP_ID)
            if found is not None and found[0].vm == vm:
                return
            await anyio.sleep(0.01)


@pytest.mark.parametrize("delay_s", [0.0, 0.3, 0.6, 0.9])
@pytest.mark.parametrize(
    "change", [end_step, end_step_unseen, give_step_to_another_vm, delete_step]
)
def test_step_that_changes_while_it_is_taken_over_is_not_run(
    change: Change, delay_s: float
) -> None:
    """The records are read one after the other; nothing was checked between the last and the start.

    ``delay_s`` is the time from the write of the new owner to the change.
    """

    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            world = w.StepWorld(tasks, event_count=lambda _: 100)
            owner, other = await world.start("a"), await world.start("b")
            observer = await world.start("c")
            observer.feed.accepting = False
            assert await owner.submit(w.make_submission(6, 4, 6)) == 202
            await anyio.sleep(0.5)
            world.kill(owner)
            other.view.flaws.delay_s = SLOW_STORE_S
            await wait_for_owner(world, "b")
            assert STEP_ID not in other.runner.steps
            await anyio.sleep(delay_s)
            assert STEP_ID not in other.runner.steps
            await change(world)
            await anyio.sleep(WATCH_S)
            assert other.engines.runs == []
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(test)


def test_vm_that_begins_to_stop_while_it_asks_the_owner_takes_no_step_over() -> None:
    """The silent owner is asked first, which takes a while."""

    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            world = w.StepWorld(tasks, event_count=lambda _: 100)
            owner, other = await world.start("a"), await world.start("b")
            other.feed.accepting = False
            assert await owner.submit(w.make_submission(6, 4, 6)) == 202
            await anyio.sleep(0.5)

            async def begin_to_stop(row: w.VmRow) -> bool:
                other.feed.accepting = False
                return False

            other.feed.is_process_running = begin_to_stop
            other.feed.accepting = True
            await other.feed.try_take_over(STEP_ID, other.feed.steps[STEP_ID])
            records = RolloutRecords(w.RowStoreView(world.store))
            found = await records.owner(STEP_ID)
            assert found is not None
            assert found[0].vm == "a"
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(test)
