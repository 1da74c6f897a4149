"""Steps that can't be loaded, and old steps, cost few writes and hold up no other step.

Each try to take a step over writes its owner row, which reaches the feeds of all VMs.
"""

from typing import Any

import anyio
import pytest

import step_world as w
from balsamcleat.decisions.takeover_backoff import MAX_DELAY_S, TakeoverBackoff
from balsamcleat.errors import PlatformUnavailableError
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowCommit, RowPage, RowWrite
from test_step_ownership import run_test

STEP = StepId("step-1")
TRIAL_S = 10.0
SAMPLES = 8


def owner_writes(world: w.StepWorld, step_id: str = "") -> int:
    """Return the number of times that owner rows were written."""
    return sum(
        row.key.key == "owner" and step_id in (row.key.part, "") for row in world.store.history
    )


def refuse_reads(vm: w.StepVm, table: str) -> None:
    """Let the store refuse a VM's reads of a table; commits are performed."""
    read = vm.view.read

    async def read_other_tables(name: str, *bounds: Any, **options: Any) -> RowPage:
        if name == table:
            await anyio.sleep(vm.view.flaws.delay_s)
            raise PlatformUnavailableError("refused", step="test")
        return await read(name, *bounds, **options)

    vm.view.read = read_other_tables  # type: ignore[method-assign]


@pytest.mark.parametrize("steps", [1, 10, 40])
def test_steps_whose_records_cant_be_read_cause_few_writes(steps: int) -> None:
    """Each failed load wrote a new owner row, whose change woke the next one at once."""

    async def test(world: w.StepWorld) -> None:
        owner = await world.start("a")
        others = [await world.start(name) for name in "bc"]
        for number in range(steps):
            assert await owner.submit(w.make_submission(1, 2, 1, f"step-{number}")) == 202
        await anyio.sleep(1.0)
        for vm in others:
            refuse_reads(vm, "step-bodies")
        world.kill(owner)
        await anyio.sleep(4.0)
        before = owner_writes(world)
        await anyio.sleep(TRIAL_S)
        # Two VMs, each of which tries a step every few seconds.
        assert owner_writes(world) - before <= 2 * steps * (1 + TRIAL_S / (MAX_DELAY_S / 2.0))

    run_test(test, event_count=lambda _: 600)


def test_step_with_a_damaged_record_causes_few_writes() -> None:
    """A position without a result keeps the step from being loaded for good."""

    async def test(world: w.StepWorld) -> None:
        owner = await world.start("a")
        await world.start("b")
        assert await owner.submit(w.make_submission(2, 4, 2)) == 202
        await anyio.sleep(5.0)
        assert 2 <= len(await world.stored_results()) < SAMPLES
        world.kill(owner)
        first = min(key for key in world.store.rows if key.table == "step-results")
        world.store.apply(RowCommit((RowWrite(first, None),)))
        await anyio.sleep(4.0)
        before = owner_writes(world)
        await anyio.sleep(TRIAL_S)
        assert owner_writes(world) - before <= 1 + TRIAL_S / (MAX_DELAY_S / 2.0)

    run_test(test, event_count=lambda sample_id: 5 + 60 * int(sample_id[-1]))


def test_owner_commit_without_an_answer_is_found_by_the_conflict_of_the_next_one() -> None:
    """The conflict's row was dropped, so that the VM tried again and again until its feed spoke."""

    async def test(world: w.StepWorld) -> None:
        owner, other = await world.start("a"), await world.start("b")
        assert await owner.submit(w.make_submission(2, 4, 2)) == 202
        await anyio.sleep(0.5)
        world.kill(owner)
        commit, is_lost = other.view.commit, False
        changes = other.view.changes

        async def lose_first_answer(row_commit: RowCommit) -> Any:
            nonlocal is_lost
            if row_commit.writes[0].key.key == "owner" and not is_lost:
                is_lost = True
                other.view.flaws.lose_answers = 1
            return await commit(row_commit)

        async def late_changes(*arguments: Any) -> Any:
            page = await changes(*arguments)
            await anyio.sleep(4.0)
            return page

        other.view.commit = lose_first_answer  # type: ignore[method-assign]
        other.view.changes = late_changes  # type: ignore[method-assign]
        with anyio.fail_after(10.0):
            while not is_lost:  # noqa: ASYNC110
                await anyio.sleep(0.05)
        before = owner_writes(world)
        await anyio.sleep(1.5)
        assert STEP in other.runner.steps
        assert owner_writes(world) - before <= 2

    run_test(test, event_count=lambda _: 600)


@pytest.mark.parametrize("old_steps", [0, 60])
def test_old_steps_that_nobody_ended_hold_up_no_new_one(old_steps: int) -> None:
    """Steps were taken over in the order of their ids, and whole ones were loaded to be run."""

    async def test(world: w.StepWorld) -> None:
        vms = [await world.start(name) for name in "abc"]
        for number in range(old_steps):
            assert await vms[0].submit(w.make_submission(1, 1, 1, f"old-{number:03d}")) == 202
        await anyio.sleep(0.1 * old_steps + 1.0)
        assert await vms[0].submit(w.make_submission(1, 2, 1, "step-1")) == 202
        await anyio.sleep(0.3)
        for vm in vms:
            world.kill(vm)
        async with anyio.create_task_group() as starts:
            for name in "abc":
                starts.start_soon(world.start, name, "again")
        for vm in world.vms.values():
            vm.view.flaws.delay_s = 0.01
        began_s = anyio.current_time()
        with anyio.fail_after(20.0):
            while not any(STEP in vm.runner.steps for vm in world.vms.values()):  # noqa: ASYNC110
                await anyio.sleep(0.05)
        assert anyio.current_time() - began_s < 2.0
        await anyio.sleep(0.5 * old_steps)
        assert sum(len(vm.runner.steps) for vm in world.vms.values()) == 1
        before = owner_writes(world)
        await anyio.sleep(5.0)
        assert owner_writes(world) == before

    run_test(test, event_count=lambda sample_id: 2 if sample_id == "0-0" else 2000)


def test_delays_double_up_to_a_bound_and_end_with_an_outage() -> None:
    backoff = TakeoverBackoff()
    now_s, delays = 0.0, []
    for _ in range(7):
        backoff.record_failure(STEP, now_s)
        delays.append(round(backoff.not_before_s[STEP] - now_s, 3))
        now_s = backoff.not_before_s[STEP]
        assert not backoff.is_waiting(STEP, now_s)
        assert backoff.is_waiting(STEP, now_s - 0.1)
    assert delays == [0.2, 0.4, 0.8, 1.6, 3.2, 3.2, 3.2]
    backoff.record_failure(STEP, now_s)
    backoff.end_delays()
    assert not backoff.is_waiting(STEP, now_s)
    backoff.forget(STEP)
    backoff.record_failure(STEP, now_s)
    assert not backoff.is_waiting(STEP, now_s + 0.2)
