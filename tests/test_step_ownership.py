"""Steps at their owners, through races, lost answers, dead and leaving owners."""

import anyio
import msgspec
import pytest

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowChange
from balsamcleat.tasks.janitor import Janitor
from balsamcleat.tasks.rollout_records import RolloutRecords, owner_key
from balsamcleat.tasks.sample_run import SampleEnd

SAMPLES = 12


async def with_world(test, **options) -> None:
    async with anyio.create_task_group() as tasks:
        await test(w.StepWorld(tasks, **options))
        tasks.cancel_scope.cancel()


def play(test, **options) -> None:
    w.run(lambda: with_world(test, **options))


def test_a_step_is_listed_whole_and_once() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await world.whole(SAMPLES, 3.0)
        assert len(vm.engines.runs) == SAMPLES

    play(test)


def test_the_feed_may_tell_of_a_step_before_its_commit_is_answered() -> None:
    """The VM took its own new step over once more and lost it to itself."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        vm.view.flaws.answer_delay_s = 0.5
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        vm.view.flaws.answer_delay_s = 0.0
        await world.whole(SAMPLES, 3.0)
        assert len(vm.engines.runs) == SAMPLES

    play(test)


def test_a_step_whose_commit_was_not_answered_runs_and_is_accepted_when_it_comes_again() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        vm.view.flaws.lose_answers = 1
        request = w.submission(3, 4, 3)
        assert await vm.submit(request) == 504
        assert await other.submit(request) == 202
        await world.whole(SAMPLES, 4.0)

    play(test)


def test_a_step_that_was_surely_not_kept_is_refused_as_not_run() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        vm.view.flaws.refuse_commits = 1
        assert await vm.submit(w.submission(3, 4, 3)) == 503
        await anyio.sleep(3.0)
        assert not vm.engines.runs

    play(test)


@pytest.mark.parametrize("lost", [1, 3])
def test_listing_goes_on_after_answers_that_were_lost(lost: int) -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await anyio.sleep(0.3)
        vm.view.flaws.lose_answers = lost
        await world.whole(SAMPLES, 6.0)

    play(test)


def test_a_listing_carried_out_late_keeps_every_position_as_it_was_read() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await anyio.sleep(0.3)
        vm.view.flaws.hold_commits = 2
        await anyio.sleep(1.5)
        before = await world.listed()
        world.store.release()
        await world.whole(SAMPLES, 6.0)
        assert (await world.listed())[: len(before)] == before

    play(test)


def test_the_step_of_a_killed_owner_goes_on_elsewhere() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        await world.start("b")
        await world.start("c")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await anyio.sleep(0.1)
        world.kill(vm)
        await world.whole(SAMPLES, 5.0)
        assert sum(bool(other.engines.runs) for other in world.vms.values()) == 2

    play(test)


def test_an_owner_that_lost_its_step_unaware_lists_nothing_more() -> None:
    """Its feed lags: only the condition of its own commit can tell it."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await anyio.sleep(0.3)
        vm.feed.on_changes = lambda rows, version: None  # type: ignore[method-assign]
        vm.feed.accepting = False
        assert await w.claim_by_other(vm, "step-1")
        listed = await world.listed()
        assert len(listed) < SAMPLES
        await anyio.sleep(2.0)
        assert await world.listed() == listed
        assert not vm.runner.steps
        assert vm.feed.steps[StepId("step-1")].owner.vm == "other"

    play(test)


def test_text_of_an_owner_that_lost_its_step_unaware_is_not_kept() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.submission(1, 2, 1)) == 202
        await anyio.sleep(0.3)
        vm.feed.on_changes = lambda rows, version: None  # type: ignore[method-assign]
        vm.feed.accepting = False
        assert await w.claim_by_other(vm, "step-1")
        await anyio.sleep(3.0)
        assert await RolloutRecords(vm.view).load_progress("step-1") == {}
        assert not vm.runner.steps

    play(test, events=lambda _: 200)


def test_a_leaving_owner_hands_over_what_is_at_hand() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await anyio.sleep(0.3)
        vm.feed.accepting = False
        await vm.claims.hand_over()
        await vm.presence.announce_stopped()
        world.kill(vm)
        began_s = anyio.current_time()
        await world.whole(SAMPLES, 2.0)
        # Half of each sample was at hand; from the start it would take longer.
        assert anyio.current_time() - began_s < 0.45
        assert other.engines.runs

    play(test)


def test_an_ended_step_stops_and_its_text_serves_the_next_step() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await anyio.sleep(0.6)
        assert await vm.end("step-1") == 200
        await anyio.sleep(0.2)
        assert not w.owned(vm).running
        runs = len(vm.engines.runs)
        began_s = anyio.current_time()
        assert await vm.submit(w.submission(3, 4, 3, "step-2")) == 202
        await world.whole(SAMPLES, 2.0, "step-2")
        assert anyio.current_time() - began_s < 0.7
        assert len(vm.engines.runs) <= runs + SAMPLES

    play(test, events=lambda _: 20)


def test_a_sample_that_fails_at_each_run_is_given_up_after_its_attempts() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        vm.engines.ends["0-0"] = [SampleEnd.FAILED] * 9
        vm.engines.ends["0-1"] = [SampleEnd.UNPROCESSABLE]
        assert await vm.submit(w.submission(1, 4, 1)) == 202
        await anyio.sleep(3.0)
        assert vm.engines.runs.count("0-0") == w.ROUTE.attempts
        assert vm.engines.runs.count("0-1") == 1
        results = {item.sample_id: item.state.value for item in w.owned(vm).listed}
        assert results["0-0"] == results["0-1"] == "given up"
        assert results["0-2"] == "complete"

    play(test)


def test_samples_leave_an_engine_that_turned_slow() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        slow = w.engine(0).target_id
        vm.engines.slow[slow] = 6.0
        assert await vm.submit(w.submission(2, 4, 2)) == 202
        began_s = anyio.current_time()
        await world.whole(8, 20.0)
        # 40 events take 2 s, and 12 s at the slow engine.
        assert anyio.current_time() - began_s < 4.0

    play(test, events=lambda _: 40)


def test_a_store_that_is_away_delays_results_and_loses_none() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await anyio.sleep(0.2)
        vm.view.flaws.down = other.view.flaws.down = True
        await anyio.sleep(5.0)
        vm.view.flaws.down = other.view.flaws.down = False
        await world.whole(SAMPLES, 1.5)
        assert not other.engines.runs
        assert StepId("step-1") in vm.runner.steps

    play(test)


def test_a_trainer_s_next_step_is_run_where_its_last_one_was() -> None:
    async def test(world: w.StepWorld) -> None:
        first = await world.start("a")
        other = await world.start("b")
        assert await first.submit(w.submission(3, 4, 3)) == 202
        await world.whole(SAMPLES, 3.0)
        assert await first.end("step-1") == 200
        assert await other.submit(w.submission(3, 4, 3, "step-2")) == 202
        await world.whole(SAMPLES, 3.0, "step-2")
        assert not other.engines.runs

    play(test)


@pytest.mark.parametrize("leaves", [True, False])
def test_a_next_step_whose_usual_vm_is_gone_runs_elsewhere(leaves: bool) -> None:
    async def test(world: w.StepWorld) -> None:
        first = await world.start("a")
        other = await world.start("b")
        assert await first.submit(w.submission(3, 4, 3)) == 202
        await world.whole(SAMPLES, 3.0)
        if leaves:
            await first.presence.announce_stopped()
        world.kill(first)
        assert await other.submit(w.submission(3, 4, 3, "step-2")) == 202
        await world.whole(SAMPLES, 4.0, "step-2")
        assert other.engines.runs

    play(test)


def test_little_of_a_long_sample_is_lost_with_its_owner() -> None:
    """A step lost 6 s when its owner stood still, as its longest sample began anew."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        await world.start("b")
        assert await vm.submit(w.submission(1, 2, 1)) == 202
        await anyio.sleep(5.0)
        world.kill(vm)
        began_s = anyio.current_time()
        await world.whole(2, 20.0)
        # Of 6 s one is left, and some more was not kept yet.
        assert anyio.current_time() - began_s < 5.0

    play(test, events=lambda _: 120)


def test_an_owner_that_has_just_started_is_not_judged_by_an_older_reading() -> None:
    """After a loss of all VMs, one took a step from another that had just taken it over."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        await world.start("b", boot="before")
        assert await vm.submit(w.submission(1, 2, 1)) == 202
        await anyio.sleep(0.1)
        known = vm.feed.steps[StepId("step-1")]
        owner = known.owner.with_owner("b", "after")
        row = RowChange(owner_key(StepId("step-1")), msgspec.json.encode(owner), 999)
        vm.feed.on_changes((row,), 999)
        known = vm.feed.steps[StepId("step-1")]
        assert not vm.feed.should_take_over(StepId("step-1"), known)
        assert known.orphaned_at_s is None
        # Readings that still show the start before say that there is no such owner.
        await anyio.sleep(2.0)
        assert vm.feed.is_owner_dead(known)

    play(test, events=lambda _: 200)


def test_calls_that_need_a_store_known_to_be_away_are_refused_at_once() -> None:
    """They waited 0.7 s for the store's silence to be refused."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        assert await vm.submit(w.submission(3, 4, 3)) == 202
        await world.whole(SAMPLES, 3.0)
        for each in (vm, other):
            each.view.flaws.down = True
        await anyio.sleep(2.0)
        for each in (vm, other):
            each.view.flaws.delay_s = 5.0
        began_s = anyio.current_time()
        assert await vm.submit(w.submission(3, 4, 3, "step-2")) == 503
        assert await vm.end("step-1") == 503
        assert await other.read("step-1") == 503
        assert await vm.read("step-1") == 200
        assert anyio.current_time() == began_s
        for each in (vm, other):
            each.view.flaws.down, each.view.flaws.delay_s = False, 0.002
        await anyio.sleep(6.0)
        assert await other.submit(w.submission(3, 4, 3, "step-2")) == 202
        await world.whole(SAMPLES, 3.0, "step-2")
        assert await vm.end("step-1") == 200

    play(test)


def test_old_steps_are_deleted_and_young_ones_are_not() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        janitor = Janitor(
            RolloutRecords(vm.view),
            lambda: vm.feed.steps,
            vm.presence.watch,
            lambda: True,
            world.store.now_ms,
            120.0,
        )
        for step in ("step-1", "step-2"):
            assert await vm.submit(w.submission(3, 4, 3, step)) == 202
            await world.whole(SAMPLES, 5.0, step)
            assert await vm.end(step) == 200
            await anyio.sleep(100.0)
        await janitor.clean_up()
        await anyio.sleep(0.1)
        kept = {key.part for key in world.store.rows if key.table.startswith("step")}
        assert "step-1" not in kept
        assert "step-2" in kept
        assert list(vm.feed.steps) == [StepId("step-2")]

    play(test)
