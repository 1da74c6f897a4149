"""Tests of step ownership: races, lost responses, dead owners and owners that shut down."""

import zlib
from dataclasses import replace

import anyio
import msgspec
import pytest

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.model.replicas import Replica
from balsamcleat.ports.rows import RowChange, RowCommit, RowKey, RowWrite
from balsamcleat.tasks.rollout_records import RolloutRecords, owner_key
from balsamcleat.tasks.row_garbage_collector import RowGarbageCollector
from balsamcleat.tasks.sample_run import SampleEnd
from balsamcleat.tasks.submission_handler import carryover_part

SAMPLES = 12


async def run_with_world(test, **options) -> None:
    async with anyio.create_task_group() as tasks:
        await test(w.StepWorld(tasks, **options))
        tasks.cancel_scope.cancel()


def run_test(test, **options) -> None:
    w.run_in_virtual_time(lambda: run_with_world(test, **options))


def test_all_results_of_a_step_are_stored_once() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        assert len(vm.engines.runs) == SAMPLES

    run_test(test)


def test_feed_delivers_a_step_before_its_commit_is_answered() -> None:
    """A VM must not take over a step whose creation it has not finished.

    A VM once took over its own new step when the feed delivered it early, and the second owner
    write made the first one lose the step.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        vm.view.flaws.answer_delay_s = 0.5
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        vm.view.flaws.answer_delay_s = 0.0
        await world.wait_for_results(SAMPLES, 3.0)
        assert len(vm.engines.runs) == SAMPLES

    run_test(test)


def test_step_with_a_lost_commit_response_runs_and_its_resubmission_is_accepted() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        vm.view.flaws.lose_answers = 1
        request = w.make_submission(3, 4, 3)
        assert await vm.submit(request) == 504
        assert await other.submit(request) == 202
        await world.wait_for_results(SAMPLES, 4.0)

    run_test(test)


def test_step_whose_commit_was_rejected_is_not_run() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        vm.view.flaws.refuse_commits = 1
        assert await vm.submit(w.make_submission(3, 4, 3)) == 503
        await anyio.sleep(3.0)
        assert not vm.engines.runs

    run_test(test)


@pytest.mark.parametrize("lost", [1, 3])
def test_result_commits_continue_after_lost_responses(lost: int) -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(0.3)
        vm.view.flaws.lose_answers = lost
        await world.wait_for_results(SAMPLES, 6.0)

    run_test(test)


def test_delayed_result_commits_do_not_change_stored_positions() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(0.3)
        vm.view.flaws.hold_commits = 2
        await anyio.sleep(1.5)
        before = await world.stored_results()
        world.store.release()
        await world.wait_for_results(SAMPLES, 6.0)
        assert (await world.stored_results())[: len(before)] == before

    run_test(test)


def test_step_of_a_killed_owner_is_taken_over() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        await world.start("b")
        await world.start("c")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(0.1)
        world.kill(vm)
        await world.wait_for_results(SAMPLES, 5.0)
        assert sum(bool(other.engines.runs) for other in world.vms.values()) == 2

    run_test(test)


def test_owner_unaware_of_a_takeover_stores_no_more_results() -> None:
    """The owner's feed lags, so only the condition of its own commit can reveal the takeover."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(0.3)
        vm.feed.on_changes = lambda rows, version: None  # type: ignore[method-assign]
        vm.feed.accepting = False
        assert await w.transfer_to_other_vm(vm, "step-1")
        listed = await world.stored_results()
        assert len(listed) < SAMPLES
        await anyio.sleep(2.0)
        assert await world.stored_results() == listed
        assert not vm.runner.steps
        assert vm.feed.steps[StepId("step-1")].owner.vm == "other"

    run_test(test)


def test_owner_unaware_of_a_takeover_saves_no_progress() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(1, 2, 1)) == 202
        await anyio.sleep(0.3)
        vm.feed.on_changes = lambda rows, version: None  # type: ignore[method-assign]
        vm.feed.accepting = False
        assert await w.transfer_to_other_vm(vm, "step-1")
        await anyio.sleep(3.0)
        assert await RolloutRecords(vm.view).load_progress("step-1") == {}
        assert not vm.runner.steps

    run_test(test, event_count=lambda _: 200)


def test_owner_hands_over_progress_on_shutdown() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(0.3)
        vm.feed.accepting = False
        await vm.transfer.hand_over()
        await vm.presence.announce_stopped()
        world.kill(vm)
        began_s = anyio.current_time()
        await world.wait_for_results(SAMPLES, 2.0)
        # Half of each sample was handed over; generating all of it would take longer than 0.45 s.
        assert anyio.current_time() - began_s < 0.45
        assert other.engines.runs

    run_test(test)


def test_ended_step_stops_and_its_progress_is_carried_to_the_next_step() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(0.6)
        assert await vm.end("step-1") == 200
        await anyio.sleep(0.2)
        assert not w.owned_step(vm).running
        runs = len(vm.engines.runs)
        began_s = anyio.current_time()
        assert await vm.submit(w.make_submission(3, 4, 3, "step-2")) == 202
        await world.wait_for_results(SAMPLES, 2.0, "step-2")
        assert anyio.current_time() - began_s < 0.7
        assert len(vm.engines.runs) <= runs + SAMPLES

    run_test(test, event_count=lambda _: 20)


def test_failing_sample_is_given_up_after_the_maximum_of_attempts() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        vm.engines.scripted_ends["0-0"] = [SampleEnd.FAILED] * 9
        vm.engines.scripted_ends["0-1"] = [SampleEnd.UNPROCESSABLE]
        assert await vm.submit(w.make_submission(1, 4, 1)) == 202
        await anyio.sleep(3.0)
        assert vm.engines.runs.count("0-0") == w.ROUTE.attempts
        assert vm.engines.runs.count("0-1") == 1
        results = {item.sample_id: item.state.value for item in w.owned_step(vm).listed}
        assert results["0-0"] == results["0-1"] == "given up"
        assert results["0-2"] == "complete"

    run_test(test)


def test_samples_move_away_from_a_slow_engine() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        slow = w.make_engine(0).target_id
        vm.engines.slowdown[slow] = 6.0
        assert await vm.submit(w.make_submission(2, 4, 2)) == 202
        began_s = anyio.current_time()
        await world.wait_for_results(8, 20.0)
        # 40 events take 2 s on a normal engine and 12 s on the slow one.
        assert anyio.current_time() - began_s < 4.0

    run_test(test, event_count=lambda _: 40)


def test_rejection_of_a_begun_sample_says_nothing_of_the_engines_version() -> None:
    """Guards against an engine that is taken for newer than it is, by the version of another one.

    Samples of a newer step were then sent to it over and over, and answered as too old.
    """

    async def test(world: w.StepWorld) -> None:
        for number, version in ((0, 5), (1, 4)):
            entry = w.make_engine(number, version=version)
            world.directory.apply_entry(replace(entry, entry_version=2))
        vm = await world.start("a")
        sample_id = "0-0"
        vm.engines.cuts[sample_id] = 2

        def reject_next_run(replica: Replica) -> None:
            vm.runner.stats_registry.for_replica(replica).record_failure(anyio.current_time())
            vm.engines.scripted_ends[sample_id] = [SampleEnd.REJECTED]

        vm.engines.on_cut = reject_next_run
        first, second = (world.directory.entries[w.make_engine(n).target_id] for n in (0, 1))
        vm.runner.stats_registry.for_replica(second).avoid_until_s = anyio.current_time() + 0.1
        assert await vm.submit(w.make_submission(1, 1, 1)) == 202
        await world.wait_for_results(1, 5.0)
        assert len(vm.engines.runs) == 3
        assert vm.runner.view.versions(first)[w.MODEL] == 5
        assert vm.runner.view.versions(second)[w.MODEL] == 4

    run_test(test, engines=2)


def test_store_outage_delays_results_and_loses_none() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(0.2)
        vm.view.flaws.down = other.view.flaws.down = True
        await anyio.sleep(5.0)
        vm.view.flaws.down = other.view.flaws.down = False
        await world.wait_for_results(SAMPLES, 1.5)
        assert not other.engines.runs
        assert StepId("step-1") in vm.runner.steps

    run_test(test)


def test_next_step_of_a_trainer_runs_on_the_vm_of_its_previous_step() -> None:
    async def test(world: w.StepWorld) -> None:
        first = await world.start("a")
        other = await world.start("b")
        assert await first.submit(w.make_submission(3, 4, 3)) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        assert await first.end("step-1") == 200
        assert await other.submit(w.make_submission(3, 4, 3, "step-2")) == 202
        await world.wait_for_results(SAMPLES, 3.0, "step-2")
        assert not other.engines.runs

    run_test(test)


@pytest.mark.parametrize("leaves", [True, False])
def test_next_step_runs_elsewhere_if_the_vm_of_the_previous_step_is_gone(leaves: bool) -> None:
    async def test(world: w.StepWorld) -> None:
        first = await world.start("a")
        other = await world.start("b")
        assert await first.submit(w.make_submission(3, 4, 3)) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        if leaves:
            await first.presence.announce_stopped()
        world.kill(first)
        assert await other.submit(w.make_submission(3, 4, 3, "step-2")) == 202
        await world.wait_for_results(SAMPLES, 4.0, "step-2")
        assert other.engines.runs

    run_test(test)


def test_saved_progress_of_a_long_sample_survives_its_owner() -> None:
    """Progress saved at intervals must survive the owner.

    A step once lost 6 s when its owner was suspended, since its longest sample started over.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        await world.start("b")
        assert await vm.submit(w.make_submission(1, 2, 1)) == 202
        await anyio.sleep(5.0)
        world.kill(vm)
        began_s = anyio.current_time()
        await world.wait_for_results(2, 20.0)
        # The whole sample takes 6 s, of which 1 s is left plus the part not saved yet.
        assert anyio.current_time() - began_s < 5.0

    run_test(test, event_count=lambda _: 120)


def test_restarted_owner_is_not_found_dead_by_an_earlier_read() -> None:
    """A read that began before an owner started must not show that owner as dead.

    After a loss of all VMs, a VM once took over a step from another one that had just taken it
    over itself.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        await world.start("b", boot="before")
        assert await vm.submit(w.make_submission(1, 2, 1)) == 202
        await anyio.sleep(0.1)
        known = vm.feed.steps[StepId("step-1")]
        owner = known.owner.with_owner("b", "after")
        row = RowChange(owner_key(StepId("step-1")), msgspec.json.encode(owner), 999)
        vm.feed.on_changes((row,), 999)
        known = vm.feed.steps[StepId("step-1")]
        assert not vm.feed.should_take_over(StepId("step-1"), known)
        assert known.orphaned_at_s is None
        # Later reads still show only the previous start, which means that the owner is dead.
        await anyio.sleep(2.0)
        assert vm.feed.is_owner_dead(known)

    run_test(test, event_count=lambda _: 200)


def test_calls_are_rejected_at_once_while_the_store_is_known_to_be_down() -> None:
    """A call that needs the store must not wait for a store that is known to be down.

    Such calls once waited 0.7 s for the store's timeout before they were rejected.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        other = await world.start("b")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        for each in (vm, other):
            each.view.flaws.down = True
        await anyio.sleep(2.0)
        for each in (vm, other):
            each.view.flaws.delay_s = 5.0
        began_s = anyio.current_time()
        assert await vm.submit(w.make_submission(3, 4, 3, "step-2")) == 503
        assert await vm.end("step-1") == 503
        assert await other.read("step-1") == 503
        assert await vm.read("step-1") == 200
        assert anyio.current_time() == began_s
        for each in (vm, other):
            each.view.flaws.down, each.view.flaws.delay_s = False, 0.002
        await anyio.sleep(6.0)
        assert await other.submit(w.make_submission(3, 4, 3, "step-2")) == 202
        await world.wait_for_results(SAMPLES, 3.0, "step-2")
        assert await vm.end("step-1") == 200

    run_test(test)


@pytest.mark.parametrize("part", ["step-1", carryover_part(w.HOST, f"{w.PREFIX}x")])
@pytest.mark.parametrize("value", [b"", b"not compressed", zlib.compress(b"\xc1")])
def test_step_with_unreadable_text_is_taken_over(part: str, value: bytes) -> None:
    """Saved text only saves time, but one row of it that can't be read left a step without owner.

    Such a row arises if a commit that had no answer replaces a piece of a newer text seconds later.
    """

    async def test(world: w.StepWorld) -> None:
        owner, other = await world.start("a"), await world.start("b")
        assert await owner.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(2.0)
        key = RowKey("step-progress", part, f"0-0@{0:015d}@{0:06d}.0000.0001")
        world.store.apply(RowCommit((RowWrite(key, value),)))
        world.kill(owner)
        await world.wait_for_results(SAMPLES, 20.0)
        assert other.engines.runs

    run_test(test, event_count=lambda _: 100)


def test_only_steps_past_their_retention_are_deleted() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        collector = RowGarbageCollector(
            RolloutRecords(vm.view),
            lambda: vm.feed.steps,
            vm.presence.watch,
            lambda: True,
            world.store.now_ms,
            120.0,
        )
        for step in ("step-1", "step-2"):
            assert await vm.submit(w.make_submission(3, 4, 3, step)) == 202
            await world.wait_for_results(SAMPLES, 5.0, step)
            assert await vm.end(step) == 200
            await anyio.sleep(100.0)
        await collector.clean_up()
        await anyio.sleep(0.1)
        kept = {key.part for key in world.store.rows if key.table.startswith("step")}
        assert "step-1" not in kept
        assert "step-2" in kept
        assert list(vm.feed.steps) == [StepId("step-2")]

    run_test(test)
