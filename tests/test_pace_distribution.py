"""Distribution of the reported pace, with values that change within tenths of a second."""

import random

import pytest

from balsamcleat.decisions.pace_distribution import VALUE_DECAY_S, PaceDistribution
from balsamcleat.decisions.replica_stats import ReplicaStats

USUAL_INTERVAL_S = 0.05


def test_expected_pace_is_the_mean_and_not_the_last_value() -> None:
    """Guards against a placement that follows the pace of one moment."""
    pace, rng = PaceDistribution(), random.Random(1)
    for tick in range(60):
        pace.record(rng.choice((1.0, 2.0)), tick * 0.1)
    for last in (1.0, 2.0):
        pace.record(last, 6.0 + last)
        assert pace.expected_ratio(8.0) == pytest.approx(1.5, abs=0.2)
    assert pace.spread(8.0) == 2.0


def test_values_of_one_moment_count_once() -> None:
    """Guards against a burst of responses that outweighs all other moments."""
    pace = PaceDistribution()
    for tick in range(8):
        pace.record(1.0, float(tick))
    for response in range(50):
        pace.record(3.0, 8.0 + response * 0.001)
    assert pace.expected_ratio(8.1) < 1.5


def test_a_pace_is_unknown_with_few_or_old_values() -> None:
    pace = PaceDistribution()
    for tick in range(3):
        pace.record(2.0, float(tick))
    assert pace.expected_ratio(3.0) == 1.0
    pace.record(2.0, 3.0)
    assert pace.expected_ratio(3.0) == pytest.approx(2.0)
    assert pace.age_s(4.0) == 1.0
    assert pace.expected_ratio(3.1 + VALUE_DECAY_S) == 1.0


def test_engine_with_a_changing_pace_is_not_slow_while_its_interval_is_within_the_spread() -> None:
    """Guards against moving long samples off an engine that is as fast as before on average."""
    stats = ReplicaStats()
    stats.record_stream_pace(20, 20 * USUAL_INTERVAL_S, 0.0)
    for tick in range(10):
        stats.record_load(1, 0, tick * 0.2, (0.9, 1.8)[tick % 2])
    stats.record_event_interval(1.9 * USUAL_INTERVAL_S, 2.0)
    assert stats.expected_interval_s(2.0) == pytest.approx(USUAL_INTERVAL_S)
    for _ in range(20):
        stats.record_event_interval(4.0 * USUAL_INTERVAL_S, 2.1)
    assert stats.expected_interval_s(2.1) > 3.0 * USUAL_INTERVAL_S


def test_engine_without_a_reported_pace_is_judged_by_its_intervals_alone() -> None:
    """Guards against a change in deployments whose engines report no pace."""
    stats = ReplicaStats()
    stats.record_stream_pace(20, 20 * USUAL_INTERVAL_S, 0.0)
    stats.record_load(1, 0, 1.0)
    assert stats.expected_interval_s(1.0) == pytest.approx(USUAL_INTERVAL_S)
    stats.record_event_interval(1.6 * USUAL_INTERVAL_S, 1.0)
    assert stats.expected_interval_s(1.0) == pytest.approx(1.6 * USUAL_INTERVAL_S)
