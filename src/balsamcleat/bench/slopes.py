"""Run all probes, fit their slopes and write them down, for the capacity page."""

from pathlib import Path

import msgspec

from balsamcleat.bench.probes import Cost, Probe, Quantity
from balsamcleat.bench.probes.calls import LiveCallProbe, TokenProbe
from balsamcleat.bench.probes.control import (
    ChangeProbe,
    ClaimProbe,
    LeaseProbe,
    ListReadProbe,
)
from balsamcleat.bench.probes.entry import EntryCallProbe, EntryTokenProbe
from balsamcleat.bench.probes.peers import PeerListedProbe, PeerProbe
from balsamcleat.bench.probes.rollout import StepProbe, WaveProbe
from balsamcleat.bench.probes.targets import (
    ChoiceProbe,
    LoadNewsProbe,
    PollProbe,
    TargetKnownProbe,
)
from balsamcleat.bench.report import Report, Series, Table

__all__ = ["PROBES", "SlopeBook", "read_book", "run_slopes"]

BOOK_NAME = "slopes.json"

PROBES: tuple[type[Probe], ...] = (
    PeerProbe,
    PeerListedProbe,
    TargetKnownProbe,
    ChoiceProbe,
    PollProbe,
    LoadNewsProbe,
    ChangeProbe,
    LeaseProbe,
    ClaimProbe,
    ListReadProbe,
    StepProbe,
    WaveProbe,
    LiveCallProbe,
    TokenProbe,
    EntryCallProbe,
    EntryTokenProbe,
)


class SlopeBook(msgspec.Struct, frozen=True, kw_only=True):
    """All measured costs of one run."""

    costs: tuple[Cost, ...]

    def cost(self, name: str, quantity: Quantity) -> Cost:
        """Return one cost.

        Raises:
            KeyError: There is no such cost.
        """
        for cost in self.costs:
            if (cost.name, cost.quantity) == (name, quantity):
                return cost
        raise KeyError(f"{name} has no {quantity.value}")

    def at(self, name: str, quantity: Quantity, size: float) -> float:
        """Return what a cost comes to at a size, by its line."""
        return self.cost(name, quantity).fit.at(size)

    def slope(self, name: str, quantity: Quantity) -> float:
        """Return the cost of one more unit."""
        return self.cost(name, quantity).fit.slope


def read_book(folder: Path) -> SlopeBook:
    """Return the costs written down in a folder."""
    return msgspec.json.decode((folder / BOOK_NAME).read_bytes(), type=SlopeBook)


def run_slopes(folder: Path) -> SlopeBook:
    """Run all probes; writes the costs as JSON, a table and plots.

    Args:
        folder: Where they go.
    """
    costs: list[Cost] = []
    for probe in PROBES:
        print(f"probing: {probe.name}", flush=True)
        costs.extend(probe().run())
    book = SlopeBook(costs=tuple(costs))
    folder.mkdir(parents=True, exist_ok=True)
    encoded = msgspec.json.format(msgspec.json.encode(book), indent=1)
    (folder / BOOK_NAME).write_bytes(encoded + b"\n")
    report = Report("slopes", seed=0, tables=[slope_table(book)])
    for cost in book.costs:
        plot_cost(report, folder, cost)
    print(report.text())
    return book


def slope_table(book: SlopeBook) -> Table:
    """Return the slopes with their fit."""
    rows = tuple(
        (
            cost.name,
            cost.quantity.value,
            f"{cost.unit}, per {cost.per}",
            cost.fit.slope,
            cost.fit.intercept,
            cost.fit.r_squared,
            ", ".join(f"{point.size:.0f}: {point.value:.3g}" for point in cost.points),
        )
        for cost in book.costs
    )
    columns = ("probe", "quantity", "unit", "slope", "at none", "R²", "points")
    return Table("Slopes", columns, rows)


def plot_cost(report: Report, folder: Path, cost: Cost) -> None:
    """Draw a cost's points and its line."""
    measured = Series("measured", tuple((point.size, point.value) for point in cost.points))
    line = tuple((point.size, cost.fit.at(point.size)) for point in cost.points)
    title = f"{cost.name} {cost.quantity.value}"
    axes = (f"{cost.unit}s", f"{cost.quantity.value} per {cost.per}")
    report.plot(folder, title, axes, (measured, Series("line", line)))
