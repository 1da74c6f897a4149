"""Counts by window are exact whatever becomes of a VM, and final counts never change."""

import msgspec
import pytest

from balsamcleat.decisions.published_usage import PublishedUsage
from balsamcleat.decisions.run_start import RunStartEstimator
from balsamcleat.decisions.usage_windows import (
    CallRuns,
    UsageWindows,
    VmUsage,
    awaited_vms,
    covered_since,
    merge_counts,
    must_report,
)
from balsamcleat.model import ServiceName, TeamName

LENGTH_MS = 5000
A, B = TeamName("a"), TeamName("b")
SERVICE = ServiceName("s")


def started(true_ms: float = 0.0) -> UsageWindows:
    windows = UsageWindows(LENGTH_MS)
    windows.begin(true_ms)
    return windows


def published(
    windows: UsageWindows, true_ms: float, undecided_ms: float | None = None
) -> PublishedUsage:
    usage = windows.publish(true_ms, undecided_ms)
    assert usage is not None
    return usage


def view(usage: PublishedUsage, unchanged_s: float = 0.0, *, has_stopped: bool = False) -> VmUsage:
    return VmUsage("vm", usage, unchanged_s, has_stopped)


def test_requests_are_counted_in_the_window_in_which_they_began() -> None:
    windows = started()
    for true_ms in (0.0, 4999.9, 5000.0, 12_000.0):
        windows.add(A, true_ms)
    windows.add(B, 6000.0)
    usage = published(windows, 12_500.0)
    assert usage == PublishedUsage(LENGTH_MS, 0, 1, {"a": (2, 1, 1), "b": (0, 1)})
    assert merge_counts(1, [view(usage), view(usage)]) == {A: 2, B: 2}
    assert not merge_counts(3, [view(usage)])


def test_row_can_be_read_back() -> None:
    windows = started()
    windows.add(A, 100.0)
    usage = published(windows, 200.0)
    assert msgspec.json.decode(msgspec.json.encode(usage), type=PublishedUsage) == usage


def test_undecided_call_keeps_its_window_open() -> None:
    """Guards against a report that lacks a call which is answered after the window's end."""
    windows = started()
    assert published(windows, 12_000.0, 4000.0).complete == -1
    windows.add(A, 4000.0)
    usage = published(windows, 12_500.0)
    assert usage.complete == 1
    assert merge_counts(0, [view(usage)]) == {A: 1}


def test_final_counts_do_not_change_when_true_time_is_set_back() -> None:
    """Guards against two reports with different counts for one window."""
    windows = started()
    assert published(windows, 10_100.0).complete == 1
    windows.add(A, 9_900.0)
    usage = published(windows, 9_900.0)
    assert usage.complete == 1
    assert merge_counts(1, [view(usage)]) == {}
    assert merge_counts(2, [view(usage)]) == {A: 1}


def test_restarted_vm_goes_on_from_its_row() -> None:
    """Guards against losing or repeating the counts of the process before."""
    before = started()
    before.add(A, 100.0)
    before.add(A, 6000.0)
    early = published(before, 6500.0)
    before.add(A, 7000.0)
    late = published(before, 7100.0)
    after = UsageWindows(LENGTH_MS)
    after.take_over(early)
    after.begin(8000.0)
    after.add(A, 8000.0)
    after.take_over(late)
    after.take_over(early)
    usage = published(after, 10_000.0)
    assert usage == PublishedUsage(LENGTH_MS, 0, 1, {"a": (1, 3)})


def test_row_with_other_window_length_is_not_taken_over() -> None:
    windows = UsageWindows(LENGTH_MS)
    windows.take_over(PublishedUsage(1000, 0, 3, {"a": (4,)}))
    assert windows.publish(20_000.0, None) is None


def test_windows_stay_published_for_20_s_after_their_counts_are_final() -> None:
    windows = started()
    windows.add(A, 100.0)
    for true_ms in range(0, 25_000, 500):
        usage = published(windows, true_ms)
        assert usage.first == 0
        windows.record_published(usage, true_ms)
    assert published(windows, 25_000.0).first == 1


def test_windows_are_kept_while_the_store_takes_nothing() -> None:
    """Guards against an outage longer than the retention, after which counts would be missing."""
    windows = started()
    windows.add(A, 100.0)
    usage = published(windows, 90_000.0)
    assert merge_counts(0, [view(usage)]) == {A: 1}
    assert published(windows, 130_000.0).first == 2


def test_report_waits_for_silent_vms_but_not_for_those_that_ended() -> None:
    """Guards against a report without the counts of a VM that was cut off from the store."""
    usage = PublishedUsage(LENGTH_MS, 0, 3)
    assert not awaited_vms(3, [view(usage)])
    assert awaited_vms(4, [view(usage)])
    assert awaited_vms(4, [view(usage, 5.0)])
    assert not awaited_vms(4, [view(usage, 40.0)])
    assert awaited_vms(4, [view(usage, 1.0, has_stopped=True)])
    assert not awaited_vms(4, [view(usage, 2.0, has_stopped=True)])
    assert covered_since([view(usage), view(PublishedUsage(LENGTH_MS, -2, 3))]) == -2
    assert covered_since([]) is None


def test_report_without_awaited_counts_needs_the_store_to_have_answered_for_a_while() -> None:
    """Guards against wrong counts right after an outage of the store."""
    assert not must_report(6.9, 100.0)
    assert must_report(7.1, 100.0)
    assert not must_report(30.0, 1.0)


def test_call_starts_with_its_first_run_that_may_have_run() -> None:
    runs = CallRuns(sent_s={1: 0.0, 2: 1.0, 3: 2.0})
    assert runs.earliest_s == 0.0
    runs.record_end(1, None)
    assert runs.earliest_s == 1.0
    runs.record_end(3, 2.5)
    runs.record_end(2, 1.5)
    assert runs.started_s == 1.5
    assert CallRuns().earliest_s is None


@pytest.mark.parametrize(
    ("answered_s", "waiting", "began_s"),
    [
        pytest.param(10.1, 0, 10.0, id="answered without a queue"),
        pytest.param(10.1, 4, 10.0, id="usual duration: it did not wait"),
        pytest.param(10.3, 8, 10.2, id="queue longer than the wait"),
        pytest.param(13.0, 4, 10.1, id="long run: it waited for the queue at most"),
    ],
)
def test_start_behind_a_queue_is_later_than_the_sending(
    answered_s: float, waiting: int, began_s: float
) -> None:
    """Guards against counts in the window before, while targets are saturated."""
    estimator = RunStartEstimator()
    for _ in range(5):
        assert estimator.start_s(SERVICE, 1.0, 1.1, 0, 4) == 1.0
    estimate_s = estimator.start_s(SERVICE, 10.0, answered_s, waiting, 4)
    assert estimate_s == pytest.approx(began_s)


def test_start_without_known_durations_is_the_sending() -> None:
    assert RunStartEstimator().start_s(SERVICE, 1.0, 3.0, 5, 4) == 1.0
