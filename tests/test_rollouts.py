"""Steps through each failure and each pair of failures, in virtual time.

The promises are checked as the trainer takes each batch: exactly once, fresh, attributed; and in
the end the step must be whole.
"""

from collections.abc import Awaitable, Callable
from itertools import combinations

import anyio
import pytest

from balsamcleat.configuration import Deployment
from balsamcleat.model import WeightVersion
from balsamcleat.standins.memory_store import CommitFlaw
from balsamcleat.tasks.step_owner import SPOOL_INTERVAL_S
from rollout_world import DEPLOYMENT, FRAME_S, FRAME_TOKENS, GROUPS, SIZE, STEP, Trainer, World, run

Fault = Callable[[World, Trainer], Awaitable[None]]
LIMIT_S = 400.0


async def owner_killed(world: World, trainer: Trainer) -> None:
    owner = world.owner()
    if owner is not None and len(world.nodes) > 1:
        world.kill(owner)


async def owner_paused(world: World, trainer: Trainer) -> None:
    owner = world.owner()
    if owner is not None:
        owner.frozen_until_s = anyio.current_time() + 15.0


async def owner_cut_from_platform(world: World, trainer: Trainer) -> None:
    owner = world.owner()
    if owner is not None:
        owner.cut_from_platform = True
        await anyio.sleep(30.0)
        owner.cut_from_platform = False


async def zones_cut(world: World, trainer: Trainer) -> None:
    owner = world.owner()
    if owner is not None:
        owner.cut_from_peers = True
        await anyio.sleep(20.0)
        owner.cut_from_peers = False


async def platform_down(world: World, trainer: Trainer) -> None:
    world.table.down = world.objects.down = True
    await anyio.sleep(120.0)
    world.table.down = world.objects.down = False


async def commits_lost(world: World, trainer: Trainer) -> None:
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


async def swap_fails_partway(world: World, trainer: Trainer) -> None:
    world.engines_mixed = True
    await anyio.sleep(2.0)
    world.engines_mixed = False


async def trainer_restarts(world: World, trainer: Trainer) -> None:
    saved = trainer.saved()
    await anyio.sleep(1.5)
    # The pull after the last batch says that all of it is safe: there is no way back from it.
    if not trainer.whole:
        trainer.come_back(saved)


async def trainer_moves_on(world: World, trainer: Trainer) -> None:
    for _ in range(2):
        trainer.version += 1
        world.engine_version += 1
        await anyio.sleep(0.4)


async def scorer_down(world: World, trainer: Trainer) -> None:
    world.scorer_down = True
    await anyio.sleep(15.0)
    world.scorer_down = False


async def patches_race(world: World, trainer: Trainer) -> None:
    for share in (2.0, 0.5, 1.0):
        world.deployment = Deployment(service="model", team="t", share=share, idle_weight=0.1)
        await anyio.sleep(0.3)


FAULTS: tuple[Fault, ...] = (
    owner_killed,
    owner_paused,
    owner_cut_from_platform,
    zones_cut,
    platform_down,
    commits_lost,
    answers_lost,
    engines_crash,
    swap_fails_partway,
    trainer_restarts,
    trainer_moves_on,
    scorer_down,
    patches_race,
)


async def step_through(faults: tuple[Fault, ...], begin_s: float) -> World:
    async with anyio.create_task_group() as group:
        world = World(group, seed=7)
        await world.start()
        trainer = Trainer(world)
        await trainer.open()
        with anyio.fail_after(LIMIT_S):
            async with anyio.create_task_group() as story:
                story.start_soon(trainer.run)
                await anyio.sleep(begin_s)
                for fault in faults:
                    story.start_soon(fault, world, trainer)
                    await anyio.sleep(0.3)
        assert len(trainer.samples) == GROUPS * SIZE
        group.cancel_scope.cancel()
    return world


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_step_comes_whole_through_one_failure_at_each_stage(fault: Fault) -> None:
    for begin_s in (0.05, 0.8, 2.0):
        run(step_through, (fault,), begin_s)


@pytest.mark.parametrize(
    "faults", list(combinations(FAULTS, 2)), ids=lambda pair: "+".join(f.__name__ for f in pair)
)
def test_a_step_comes_whole_through_two_failures(faults: tuple[Fault, ...]) -> None:
    run(step_through, faults, 0.8)


def test_a_dead_owner_is_replaced_in_time_with_little_work_lost() -> None:
    async def story() -> None:
        quiet = await step_through((), 0.1)
        async with anyio.create_task_group() as group:
            world = World(group, seed=7)
            await world.start()
            trainer = Trainer(world)
            await trainer.open()
            whole = anyio.Event()

            async def to_the_end() -> None:
                await trainer.run()
                whole.set()

            group.start_soon(to_the_end)
            await anyio.sleep(2.0)
            await owner_killed(world, trainer)
            killed_s = anyio.current_time()
            for _ in range(100):
                await anyio.sleep(0.1)
                if world.owner() is not None:
                    break
            assert anyio.current_time() - killed_s < 10.0
            assert world.owner() is not None
            with anyio.fail_after(LIMIT_S):
                await whole.wait()
            group.cancel_scope.cancel()
        # Only what was made since the last spooling is made again, by at most 12 at a time.
        lost = 12 * FRAME_TOKENS * (SPOOL_INTERVAL_S / FRAME_S + 1)
        assert world.tokens_made <= quiet.tokens_made + lost

    run(story)


def test_a_scorer_that_is_down_holds_up_its_own_samples_only() -> None:
    async def story() -> None:
        async with anyio.create_task_group() as group:
            world = World(group, seed=1)
            await world.start(1)
            trainer = Trainer(world)
            world.scorer_down = True
            await trainer.open()
            await anyio.sleep(30.0)
            limiter = world.nodes[next(iter(world.nodes))].rollouts.dependencies.limiter
            assert limiter.running == 0
            world.scorer_down = False
            with anyio.fail_after(30.0):
                await trainer.run()
            group.cancel_scope.cancel()

    run(story)


def test_a_cancelled_step_is_gone_everywhere() -> None:
    async def story() -> None:
        async with anyio.create_task_group() as group:
            world = World(group, seed=1)
            await world.start()
            trainer = Trainer(world)
            await trainer.open()
            await anyio.sleep(0.5)
            others = [node for node in world.nodes.values() if node is not world.owner()]
            await others[0].rollouts.cancel(DEPLOYMENT, STEP)
            assert world.owner() is None
            for node in world.nodes.values():
                outcome = await node.rollouts.pull(DEPLOYMENT, STEP, trainer.ack(), 1.0)
                assert getattr(outcome, "reason", None) == "cancelled"
            group.cancel_scope.cancel()

    run(story)


def test_a_report_of_a_new_version_cuts_stale_work_wherever_it_runs() -> None:
    async def story() -> None:
        async with anyio.create_task_group() as group:
            world = World(group, seed=1)
            await world.start()
            trainer = Trainer(world)
            await trainer.open()
            await anyio.sleep(1.0)
            others = [node for node in world.nodes.values() if node is not world.owner()]
            world.engine_version = 9
            await others[0].rollouts.report_version(DEPLOYMENT, WeightVersion(9))
            owner = next(iter(world.owner().rollouts.owned.values()))  # type: ignore[union-attr]
            assert owner.machine.trainer_version == 9
            assert not owner.machine.ready_samples
            group.cancel_scope.cancel()

    run(story)
