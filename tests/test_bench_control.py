"""Bounds of the spread of configurations, from the stated targets."""

import pytest

from balsamcleat.bench.control import (
    BYTES_BOUND_PER_S,
    LARGE_BOUND_S,
    LARGE_NODES,
    SMALL_BOUND_S,
    SMALL_NODES,
    bytes_per_s,
    rate_table,
    worst_spread,
)
from balsamcleat.bench.control_model import sized_configuration
from balsamcleat.configuration import encode_snapshot, initial_configuration

pytestmark = pytest.mark.bounds


@pytest.mark.parametrize("situation", ["table up", "table down", "healed cut"])
@pytest.mark.parametrize("loss", [0.0, 0.2])
def test_a_version_is_in_force_on_twelve_nodes_within_two_seconds(
    situation: str, loss: float
) -> None:
    assert worst_spread(situation, SMALL_NODES, range(3), loss).seconds < SMALL_BOUND_S


def test_a_hundred_nodes_stay_well_inside_the_time_for_fifteen_hundred() -> None:
    worst = worst_spread("table down", 100, range(1))
    assert worst.seconds < LARGE_BOUND_S / 4
    assert bytes_per_s(worst) < BYTES_BOUND_PER_S / 10


def test_whole_bodies_would_not_fit_and_changes_do() -> None:
    whole = encode_snapshot(initial_configuration(sized_configuration(10_000), "bench", "first"))
    assert len(whole) * 7_700 / 86_400 > BYTES_BOUND_PER_S


def test_the_table_sees_a_small_part_of_its_rate() -> None:
    reads = sum(float(row[1]) for row in rate_table().rows)
    writes = sum(float(row[2]) for row in rate_table().rows)
    assert reads <= 2_000 / 5
    assert writes <= 300 / 5
    assert LARGE_NODES == 1_500
