"""Nothing runs on a guess of the store's time.

In review case 2, a VM that had just started and whose first reads got no answer accepted a step and
stamped it with its uptime. To all other VMs it was a step of long ago, and was deleted.
"""

from pathlib import Path

import anyio
import pytest

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.tasks.row_garbage_collector import RowGarbageCollector
from balsamcleat.tasks.shared_crash_history import UNTIMED_VALUE, SharedCrashHistory
from balsamcleat.tasks.store_clock import StoreClock
from test_step_ownership import run_test
from test_usage_wiring import close, entry_process

STEP = StepId("step-1")
SAMPLES = 12


def test_time_is_not_known_before_the_first_answer() -> None:
    local_s = 100.0
    clock = StoreClock(lambda: local_s)
    assert clock.now_ms() is None
    clock.synchronize_first(5000)
    local_s += 1.0
    assert clock.now_ms() == 6000
    clock.synchronize_first(9)
    assert clock.now_ms() == 6000
    clock.synchronize(6500)
    assert clock.now_ms() == 6500


def test_answer_that_arrives_late_does_not_put_the_time_back() -> None:
    """A step that was accepted then seemed older than it is, and was given up too early."""
    local_s = 10.0
    clock = StoreClock(lambda: local_s)
    clock.synchronize(100_000)
    local_s = 14.0
    clock.synchronize(101_000)
    assert clock.now_ms() == 104_000
    assert clock.synchronized_at_s == 14.0
    # Clocks drift apart, so that an old estimate does not count for good.
    local_s = 74.0
    clock.synchronize(163_500)
    assert clock.now_ms() == 163_500


def test_submission_is_refused_while_the_time_is_not_known() -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        known = vm.handler.submissions.store_now_ms
        vm.handler.submissions.store_now_ms = lambda: None
        request = w.make_submission(3, 4, 3)
        assert await vm.submit(request) == 503
        assert not any(key.part == STEP for key in world.store.rows)
        vm.handler.submissions.store_now_ms = known
        assert await vm.submit(request) == 202
        await world.wait_for_results(SAMPLES, 3.0)

    run_test(test)


def test_no_step_is_deleted_or_taken_over_while_the_time_is_not_known() -> None:
    async def test(world: w.StepWorld) -> None:
        owner, other = await world.start("a"), await world.start("b")
        clock = other.feed.store_now_ms
        other.feed.store_now_ms = lambda: None
        assert await owner.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(0.1)
        collector = RowGarbageCollector(
            other.handler.records,
            lambda: other.feed.steps,
            other.presence.watch,
            lambda: True,
            lambda: None,
            0.0,
        )
        await collector.clean_up()
        assert STEP in other.feed.steps
        world.kill(owner)
        await anyio.sleep(6.0)
        assert STEP not in other.runner.steps
        other.feed.store_now_ms = clock
        await world.wait_for_results(SAMPLES, 8.0)

    run_test(test)


@pytest.mark.anyio
async def test_crash_that_is_seen_before_the_time_is_known_counts_as_of_now() -> None:
    history = SharedCrashHistory(w.RowStoreView(w.MemoryRowStore()), lambda: None)
    assert history.encode_now() == UNTIMED_VALUE
    assert history.decode_time(b"17") == pytest.approx(anyio.current_time(), abs=1.0)


@pytest.mark.anyio
async def test_first_answer_of_the_store_sets_the_clock_of_the_process(tmp_path: Path) -> None:
    """Only reads of heartbeats and leases set it, whose answers may be lost."""
    process = entry_process(tmp_path, "127.0.0.76", {})
    try:
        assert process.store_clock.now_ms() is None
        process.direct_store.on_time(5000)
        assert process.store_clock.now_ms() >= 5000
    finally:
        close(process)
