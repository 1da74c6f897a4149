"""An owner that is only late with its heartbeats keeps its steps; a dead one is replaced."""

import anyio
import pytest

from balsamcleat.decisions.vm_watch import MAX_EXCUSED_SILENCE_S, VM_DEAD_AFTER_S
from balsamcleat.standins.row_store import RowStoreFlaws, RowStoreView
from balsamcleat.tasks.peers import POLL_TIMEOUT_S
from step_world import StepVm, StepWorld, make_submission, owned_step, run_in_virtual_time

GROUPS, SIZE = 4, 4
SLOW_EVENTS = 60
ENDLESS_EVENTS = 1000


def silence_heartbeats(vm: StepVm) -> RowStoreFlaws:
    """Let the heartbeats of a VM fail, but none of its other calls to the store."""
    flaws = RowStoreFlaws(down=True)
    vm.presence.store = RowStoreView(vm.view.store, flaws)
    return flaws


async def start_owner_and_other(world: StepWorld) -> tuple[StepVm, StepVm]:
    """Start two VMs of which the first runs a step."""
    owner, other = await world.start("vm-1"), await world.start("vm-2")
    await owner.submit(make_submission(GROUPS, SIZE, GROUPS))
    await anyio.sleep(1.0)
    return owner, other


def test_silent_owner_keeps_its_running_samples() -> None:
    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            world = StepWorld(tasks, event_count=lambda _: SLOW_EVENTS)
            owner, other = await start_owner_and_other(world)
            flaws = silence_heartbeats(owner)
            await anyio.sleep(2 * VM_DEAD_AFTER_S)
            assert not other.engines.runs
            flaws.down = False
            await world.wait_for_results(GROUPS * SIZE, 30.0)
            assert not other.engines.runs
            assert len(owner.engines.runs) == GROUPS * SIZE
            tasks.cancel_scope.cancel()

    run_in_virtual_time(test)


@pytest.mark.parametrize("fault", ["killed", "cut off", "silent for long"])
def test_owner_that_can_not_go_on_is_replaced(fault: str) -> None:
    """Its heartbeats fail, and it is dead, or reaches the store no more, or stays silent."""

    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            world = StepWorld(tasks, event_count=lambda _: ENDLESS_EVENTS)
            owner, other = await start_owner_and_other(world)
            assert owned_step(owner).running
            silence_heartbeats(owner)
            if fault == "killed":
                world.kill(owner)
            elif fault == "cut off":
                owner.view.flaws.down = True
            wait_s = MAX_EXCUSED_SILENCE_S if fault == "silent for long" else VM_DEAD_AFTER_S
            await anyio.sleep(wait_s + 2.0)
            assert other.engines.runs
            tasks.cancel_scope.cancel()

    run_in_virtual_time(test)


def test_dead_owner_is_replaced_without_waiting_for_an_answer() -> None:
    """It is asked before it counts as dead, so that the time limit of the question is no delay."""

    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            world = StepWorld(tasks, event_count=lambda _: ENDLESS_EVENTS)
            owner, other = await start_owner_and_other(world)
            world.kill(owner)
            (known,) = other.feed.steps.values()
            for _ in range(400):
                if known.orphaned_at_s is not None:
                    break
                await anyio.sleep(0.01)
            await anyio.sleep(POLL_TIMEOUT_S / 2)
            assert other.runner.steps
            tasks.cancel_scope.cancel()

    run_in_virtual_time(test)
