"""A submission that takes several commits is stored whole, whatever other attempts write late.

A trainer that gets no answer sends its submission again to another VM. The attempts' headers may
differ, and so do the bytes that are stored.
"""

import base64
import random
from collections.abc import Callable
from dataclasses import replace

import anyio
import msgspec
import pytest

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowCommit, RowConflict, RowsCommitted, StoreLimits
from balsamcleat.standins.row_store import MemoryRowStore
from balsamcleat.tasks.rollout_records import RolloutRecords
from test_step_ownership import run_test

STEP = StepId("step-1")
SAMPLES = 12
# Rows are so small that the submission of a step takes several commits.
LIMITS = StoreLimits(row_bytes=200, commit_bytes=500)


class CountingView(w.RowStoreView):
    """A VM's view of the store that calls back before one of its commits."""

    def __init__(self, store: MemoryRowStore, number: int, before: Callable[[], None]) -> None:
        super().__init__(store)
        self.left = number
        self.before = before

    async def commit(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        self.left -= 1
        if self.left == 0:
            self.before()
        return await super().commit(commit)


def submission(attempt: int) -> w.Request:
    """Return an attempt to submit the step, with bodies that can't be compressed."""
    request = w.make_submission(3, 4, 3)
    step = msgspec.json.decode(request.body)
    generator = random.Random(0)
    for item in step["requests"]:
        item["body"] = base64.b64encode(generator.randbytes(90)).decode()
    # Stored headers of the attempts have the same length when compressed, and other content.
    headers = (("Attempt", f"{attempt:08d}"), *request.headers)
    return replace(request, headers=headers, body=msgspec.json.encode(step))


def intercept(vm: w.StepVm, number: int, before: Callable[[], None]) -> CountingView:
    """Call back before one of the commits of a VM's submissions."""
    view = CountingView(vm.view.store, number, before)
    vm.handler.submissions.records = RolloutRecords(view)
    return view


async def check_step_survives_its_owner(world: w.StepWorld, owner: str) -> None:
    """End the owner of the step, which another VM can then load and complete."""
    await anyio.sleep(0.3)
    assert STEP in world.vms[owner].runner.steps
    world.kill(world.vms[owner])
    await world.wait_for_results(SAMPLES, 30.0)


@pytest.mark.parametrize("number", [1, 2, 3])
def test_late_commit_of_an_earlier_attempt_leaves_the_accepted_submission(number: int) -> None:
    """It replaced a piece of the accepted one, which could then not be read by any VM."""

    async def test(world: w.StepWorld) -> None:
        vm, other = await world.start("a"), await world.start("b")

        def hold() -> None:
            view.flaws.hold_commits = 1

        view = intercept(vm, number, hold)
        assert await vm.submit(submission(1)) == 504
        assert await other.submit(submission(2)) == 202
        assert len(world.store.held) == 1
        world.store.release()
        await check_step_survives_its_owner(world, "b")

    run_test(test, event_count=lambda _: 100, store=MemoryRowStore(limits=LIMITS))


@pytest.mark.parametrize("number", [2, 3])
def test_attempts_at_two_vms_don_t_mix_what_they_store(number: int) -> None:
    """Both wrote the same rows, and the step was stored with pieces of both."""

    async def test(world: w.StepWorld) -> None:
        vm, other = await world.start("a"), await world.start("b")

        def hold() -> None:
            held_view.flaws.hold_commits = 1

        held_view = intercept(vm, 1, hold)
        assert await vm.submit(submission(1)) == 504

        def release() -> None:
            assert world.store.release()

        intercept(other, number, release)
        # The trainer sends it again after a 504, which promises nothing.
        statuses = [await other.submit(submission(2)), await other.submit(submission(2))]
        assert statuses in ([202, 202], [504, 202])
        await check_step_survives_its_owner(world, "b")

    run_test(test, event_count=lambda _: 100, store=MemoryRowStore(limits=LIMITS))
