"""Tests of steps under each fault and each pair of faults, in virtual time.

The trainer checks each batch that it accepts: every sample is delivered once, is fresh enough and
reports the weight versions that generated it. In the end, the step must be complete.
"""

from collections.abc import Awaitable, Callable
from itertools import combinations

import anyio
import pytest

from balsamcleat.configuration import Deployment
from balsamcleat.model import WeightVersion
from balsamcleat.standins.memory_store import CommitFlaw
from balsamcleat.tasks.step_owner import SAVE_INTERVAL_S
from rollout_world import (
    DEPLOYMENT,
    FRAME_S,
    FRAME_TOKENS,
    GROUPS,
    SIZE,
    STEP,
    Trainer,
    World,
    run_in_virtual_time,
)

Fault = Callable[[World, Trainer], Awaitable[None]]
TIMEOUT_S = 400.0


async def owner_killed(world: World, trainer: Trainer) -> None:
    owner = world.current_owner()
    if owner is not None and len(world.vms) > 1:
        world.kill(owner)


async def owner_paused(world: World, trainer: Trainer) -> None:
    owner = world.current_owner()
    if owner is not None:
        owner.paused_until_s = anyio.current_time() + 15.0


async def owner_cut_from_platform(world: World, trainer: Trainer) -> None:
    owner = world.current_owner()
    if owner is not None:
        owner.cut_from_platform = True
        await anyio.sleep(30.0)
        owner.cut_from_platform = False


async def owner_cut_from_peers(world: World, trainer: Trainer) -> None:
    owner = world.current_owner()
    if owner is not None:
        owner.cut_from_peers = True
        await anyio.sleep(20.0)
        owner.cut_from_peers = False


async def platform_down(world: World, trainer: Trainer) -> None:
    world.table.down = world.objects.down = True
    await anyio.sleep(120.0)
    world.table.down = world.objects.down = False


async def commits_fail(world: World, trainer: Trainer) -> None:
    world.table.flaws.extend([*CommitFlaw, *CommitFlaw])
    await anyio.sleep(3.0)
    world.table.deliver_late()


async def answers_lost(world: World, trainer: Trainer) -> None:
    trainer.lose_answers = True
    await anyio.sleep(10.0)
    trainer.lose_answers = False


async def engines_crash(world: World, trainer: Trainer) -> None:
    world.engines_crash = True
    await anyio.sleep(2.0)
    world.engines_crash = False


async def weight_swap_fails_partway(world: World, trainer: Trainer) -> None:
    world.engines_mix_versions = True
    await anyio.sleep(2.0)
    world.engines_mix_versions = False


async def trainer_restarts(world: World, trainer: Trainer) -> None:
    saved = trainer.snapshot()
    await anyio.sleep(1.5)
    # The pull after the last batch confirms that the trainer has stored the whole step; it cannot
    # restore an earlier state after that.
    if not trainer.is_complete:
        trainer.restore(saved)


async def trainer_advances_versions(world: World, trainer: Trainer) -> None:
    for _ in range(2):
        trainer.version += 1
        world.engine_version += 1
        await anyio.sleep(0.4)


async def scorer_down(world: World, trainer: Trainer) -> None:
    world.scorer_down = True
    await anyio.sleep(15.0)
    world.scorer_down = False


async def deployment_is_patched(world: World, trainer: Trainer) -> None:
    for share in (2.0, 0.5, 1.0):
        world.deployment = Deployment(service="model", team="t", share=share, idle_weight=0.1)
        await anyio.sleep(0.3)


FAULTS: tuple[Fault, ...] = (
    owner_killed,
    owner_paused,
    owner_cut_from_platform,
    owner_cut_from_peers,
    platform_down,
    commits_fail,
    answers_lost,
    engines_crash,
    weight_swap_fails_partway,
    trainer_restarts,
    trainer_advances_versions,
    scorer_down,
    deployment_is_patched,
)


async def run_step_with_faults(faults: tuple[Fault, ...], begin_s: float) -> World:
    async with anyio.create_task_group() as group:
        world = World(group, seed=7)
        await world.start()
        trainer = Trainer(world)
        await trainer.open_step()
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(trainer.run)
                await anyio.sleep(begin_s)
                for fault in faults:
                    tasks.start_soon(fault, world, trainer)
                    await anyio.sleep(0.3)
        assert len(trainer.samples) == GROUPS * SIZE
        group.cancel_scope.cancel()
    return world


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_step_is_delivered_completely_despite_one_fault(fault: Fault) -> None:
    for begin_s in (0.05, 0.8, 2.0):
        run_in_virtual_time(run_step_with_faults, (fault,), begin_s)


@pytest.mark.parametrize(
    "faults", list(combinations(FAULTS, 2)), ids=lambda pair: "+".join(f.__name__ for f in pair)
)
def test_step_is_delivered_completely_despite_two_faults(faults: tuple[Fault, ...]) -> None:
    run_in_virtual_time(run_step_with_faults, faults, 0.8)


def test_dead_owner_is_replaced_in_time_and_saved_work_is_kept() -> None:
    async def scenario() -> None:
        undisturbed = await run_step_with_faults((), 0.1)
        async with anyio.create_task_group() as group:
            world = World(group, seed=7)
            await world.start()
            trainer = Trainer(world)
            await trainer.open_step()
            completed = anyio.Event()

            async def run_trainer() -> None:
                await trainer.run()
                completed.set()

            group.start_soon(run_trainer)
            await anyio.sleep(2.0)
            await owner_killed(world, trainer)
            killed_s = anyio.current_time()
            for _ in range(100):
                await anyio.sleep(0.1)
                if world.current_owner() is not None:
                    break
            assert anyio.current_time() - killed_s < 10.0
            assert world.current_owner() is not None
            with anyio.fail_after(TIMEOUT_S):
                await completed.wait()
            group.cancel_scope.cancel()
        # Only tokens generated since the last saved chunk are generated again, for at most 12
        # samples at a time.
        lost = 12 * FRAME_TOKENS * (SAVE_INTERVAL_S / FRAME_S + 1)
        assert world.generated_tokens <= undisturbed.generated_tokens + lost

    run_in_virtual_time(scenario)


def test_samples_waiting_for_a_scorer_hold_no_slots() -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            world = World(group, seed=1)
            await world.start(1)
            trainer = Trainer(world)
            world.scorer_down = True
            await trainer.open_step()
            await anyio.sleep(30.0)
            limiter = world.vms[next(iter(world.vms))].rollouts.dependencies.limiter
            assert limiter.running == 0
            world.scorer_down = False
            with anyio.fail_after(30.0):
                await trainer.run()
            group.cancel_scope.cancel()

    run_in_virtual_time(scenario)


def test_cancelled_step_is_closed_on_every_vm() -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            world = World(group, seed=1)
            await world.start()
            trainer = Trainer(world)
            await trainer.open_step()
            await anyio.sleep(0.5)
            others = [vm for vm in world.vms.values() if vm is not world.current_owner()]
            await others[0].rollouts.cancel(DEPLOYMENT, STEP)
            assert world.current_owner() is None
            for vm in world.vms.values():
                outcome = await vm.rollouts.pull(DEPLOYMENT, STEP, trainer.ack(), 1.0)
                assert getattr(outcome, "reason", None) == "cancelled"
            group.cancel_scope.cancel()

    run_in_virtual_time(scenario)


def test_version_report_reaches_the_owner_on_another_vm() -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as group:
            world = World(group, seed=1)
            await world.start()
            trainer = Trainer(world)
            await trainer.open_step()
            await anyio.sleep(1.0)
            others = [vm for vm in world.vms.values() if vm is not world.current_owner()]
            world.engine_version = 9
            await others[0].rollouts.report_version(DEPLOYMENT, WeightVersion(9))
            owner = next(iter(world.current_owner().rollouts.owned.values()))  # type: ignore[union-attr]
            assert owner.machine.trainer_version == 9
            assert not owner.machine.ready_samples
            group.cancel_scope.cancel()

    run_in_virtual_time(scenario)
