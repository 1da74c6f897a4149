"""The capacity page: made from the committed slopes, its sums within the stated limits."""

from pathlib import Path

import pytest

from balsamcleat.bench.capacity import work_out
from balsamcleat.bench.capacity_page import MECHANISMS, page_text
from balsamcleat.bench.probes import Point, fit
from balsamcleat.bench.slopes import PROBES, read_book

DOCS = Path(__file__).parent.parent / "docs"
BOOK = read_book(DOCS / "capacity")


def test_the_page_is_what_the_tool_makes_of_the_slopes() -> None:
    assert (DOCS / "CAPACITY.md").read_text() == page_text(BOOK)


def test_every_probe_is_in_the_book_with_three_sizes_or_more() -> None:
    assert {cost.name for cost in BOOK.costs} == {probe.name for probe in PROBES}
    assert all(len(cost.points) >= 3 for cost in BOOK.costs)


def test_every_role_has_its_state_messages_and_mechanism() -> None:
    assert {need.role for need in work_out(BOOK).needs} == {row[0] for row in MECHANISMS}


@pytest.mark.bounds
@pytest.mark.parametrize(
    "name",
    [
        "entry for callers, processor",
        "entry on the platform, processor",
        "control, processor",
        "control, memory",
        "control, traffic",
        "table writes",
        "table reads",
    ],
    ids=lambda name: name.replace(",", "").replace(" ", "-"),
)
def test_the_sum_fits_at_full_size(name: str) -> None:
    total = next(total for total in work_out(BOOK).totals if total.name == name)
    assert total.fits(), f"{total.value:.4g} of {total.limit:.4g} {total.unit}"


def test_a_line_through_exact_points_fits_wholly() -> None:
    line = fit((Point(1, 5.0), Point(2, 7.0), Point(4, 11.0)))
    assert (line.slope, line.intercept, line.r_squared) == pytest.approx((2.0, 3.0, 1.0))
    assert fit((Point(1, 3.0), Point(2, 3.0), Point(3, 3.0))).r_squared == 1.0
