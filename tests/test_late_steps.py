"""Steps that can't be whole in time: the forecast, the order of groups, and the placement."""

from dataclasses import replace

import anyio
import msgspec
import pytest

import step_world as w
from balsamcleat.decisions.late_steps import StepWork, expected_ends_s, order_groups
from balsamcleat.model import StepId
from balsamcleat.model.rollout import SampleTask


def test_forecast_counts_the_work_of_older_steps_of_the_owner() -> None:
    work = [StepWork(4.0, 100.0, 8), StepWork(0.0, 300.0, 2)]
    assert expected_ends_s(work, 0.05) == [4.5, 2.0]


def test_step_that_was_not_placed_yet_is_not_forecast_from_the_slots_of_an_older_one() -> None:
    """Guards against a false alarm when a step begins beside the last sample of the one before."""
    work = [StepWork(6.0, 20.0, 1), StepWork(0.0, 1900.0, 0)]
    assert expected_ends_s(work, 0.05) == [7.0, 0.0]


def test_nothing_is_forecast_without_running_samples_or_a_measured_pace() -> None:
    """Guards against steps that count as late before their first placement."""
    assert expected_ends_s([StepWork(0.5, 1000.0, 0)], 0.05) == [0.5]
    assert expected_ends_s([StepWork(0.5, 1000.0, 8)], 0.0) == [0.5]


def test_groups_that_return_come_first_and_then_those_with_the_least_work() -> None:
    samples = [
        SampleTask(f"{group}{place}", group, "/", (), b"") for group in "abc" for place in range(2)
    ]
    left = {"a0": 50.0, "a1": 50.0, "b0": 20.0, "b1": 30.0, "c0": 500.0}
    assert order_groups(samples, left, {"c"}) == {"c": 0, "b": 1, "a": 2}


@pytest.mark.parametrize("reports_pace", [True, False])
def test_some_groups_of_an_overloaded_step_are_in_time(reports_pace: bool) -> None:
    """Guards against groups that are all complete at the same time, after the due time.

    32 samples of 2 s on 4 slots take 16 s; the step is due after 7.5 s. The samples of a group are
    far apart in the order by length, which is the order of the submission here. Deployments whose
    targets report no pace are served as before.
    """

    async def test() -> None:
        async with anyio.create_task_group() as tasks:
            world = w.StepWorld(tasks, engines=1, event_count=lambda _: 40)
            vm = await world.start("a")
            pace = vm.runner.stats_registry.for_replica(w.make_engine(0)).pace
            for number in range(6 if reports_pace else 0):
                pace.record(1.0, anyio.current_time() + 0.2 * number)
            request = w.make_submission(8, 4, 8)
            body = msgspec.json.decode(request.body)
            body["requests"].sort(key=lambda item: item["id"].split("-")[1])
            assert await vm.submit(replace(request, body=msgspec.json.encode(body))) == 202
            await anyio.sleep(7.0)
            done = {sample_id for sample_id, _ in await world.stored_results()}
            assert bool(vm.runner.steps[StepId("step-1")].group_positions) is reports_pace
            whole = [n for n in range(8) if all(f"{n}-{place}" in done for place in range(4))]
            assert len(whole) >= 2 if reports_pace else not whole
            await world.wait_for_results(32, 15.0)
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(test)
