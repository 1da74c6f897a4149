"""The experiment on live calls: the policy against three baselines on the same arrivals."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from balsamcleat.bench.live_baselines import BASELINES, Chooser
from balsamcleat.bench.live_model import SERVICE, ZONE, Fault, LiveFigures, LiveModel, NodeParts
from balsamcleat.bench.live_workload import LiveShape
from balsamcleat.bench.report import Report, Series, Table
from balsamcleat.decisions.admission import Admission
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.model import AttemptOutcome, LoadReport, TargetId, TargetInfo

__all__ = [
    "POLICY",
    "SCENARIOS",
    "LiveOutcome",
    "Result",
    "Scenario",
    "broken_bounds",
    "goodput",
    "makers",
    "run_live",
    "run_scenario",
]

POLICY = "policy"
WARMUP_SHARE = 0.25
DOUBLE_LOAD = 2.0
MIN_OVERLOAD_GOODPUT = 0.9
MAX_AMPLIFICATION = 1.2
# At least 30 % better than the best baseline.
MAX_SHARED_P99_SHARE = 0.7
# A p99 of a thousand calls rests on ten of them; below this, two of them are equal.
P99_RESOLUTION = 0.02

PartsMaker = Callable[[tuple[TargetInfo, ...], random.Random], NodeParts]


@dataclass(frozen=True, slots=True)
class Scenario:
    """One load on the system.

    Attributes:
        name: Its name.
        load: Arrivals as a multiple of the capacity.
        shared_share: Share of calls that begin with a shared prefix.
        failing_engines: Engines at which each attempt fails.
    """

    name: str
    load: float
    shared_share: float = 0.0
    failing_engines: int = 0


SCENARIOS = (
    Scenario("half load", 0.5),
    Scenario("full load", 1.0),
    Scenario("double load", 2.0),
    Scenario("shared prefixes, half load", 0.5, 1.0),
    Scenario("shared prefixes, full load", 1.0, 1.0),
    Scenario("shared prefixes, double load", 2.0, 1.0),
    Scenario("mixed prompts, full load", 1.0, 0.6),
    Scenario("brown-out of a tenth", 0.5, 0.9, 1),
    Scenario("full outage", 0.5, 0.9, 10_000),
)


@dataclass(frozen=True, slots=True)
class LiveOutcome:
    """The experiment's report as text, and the bounds that it broke."""

    text: str
    broken_bounds: tuple[str, ...]


class RouterChooser(Chooser):
    """The product's router.

    Args:
        targets: The targets.
        generator: Draws.
    """

    def __init__(self, targets: tuple[TargetInfo, ...], generator: random.Random) -> None:
        self.router = Router(ZONE, generator)
        self.router.configure(targets)

    def choose(self, query: RouteQuery) -> TargetInfo | None:
        """Return the router's choice."""
        return self.router.choose(query)

    def started(self, target_id: TargetId) -> None:
        """Tell the router."""
        self.router.record_start(target_id)

    def finished(
        self, target_id: TargetId, outcome: AttemptOutcome, duration_s: float | None = None
    ) -> None:
        """Tell the router."""
        self.router.record_end(target_id, outcome, duration_s)

    def report(self, target_id: TargetId, load: LoadReport) -> None:
        """Tell the router."""
        self.router.record_load_report(target_id, load)


def policy_parts(targets: tuple[TargetInfo, ...], generator: random.Random) -> NodeParts:
    """Return what the product decides with."""
    chooser, admission = RouterChooser(targets, generator), Admission(generator)

    def tick(now_s: float) -> None:
        chooser.router.tick(now_s)
        if chooser.router.is_congested(SERVICE):
            admission.record_overload(SERVICE, now_s)

    return NodeParts(chooser, admission, tick, chooser.router.record_cache_event)


def baseline_parts(name: str) -> PartsMaker:
    """Return the maker of a baseline, which admits everything."""
    return lambda targets, generator: NodeParts(BASELINES[name](targets, generator), None)


def makers() -> dict[str, PartsMaker]:
    """Return all ways that are compared."""
    return {**{name: baseline_parts(name) for name in BASELINES}, POLICY: policy_parts}


def run_scenario(
    scenario: Scenario, maker: PartsMaker, seed: int, duration_s: float, shape: LiveShape
) -> LiveFigures:
    """Run one way under one load."""
    shape = replace(shape, shared_share=scenario.shared_share)
    warmup_s = duration_s * WARMUP_SHARE
    fault = Fault(min(shape.engines, scenario.failing_engines), warmup_s, float("inf"))
    model = LiveModel(shape, maker, fault, seed)
    return model.run(scenario.load * shape.capacity_calls_per_s(), duration_s, warmup_s)


def goodput(figures: LiveFigures, shape: LiveShape, scenario: Scenario, duration_s: float) -> float:
    """Return the good tokens as a share of what the engines can make."""
    shape = replace(shape, shared_share=scenario.shared_share)
    per_s = shape.capacity_calls_per_s() * shape.mean_tokens()
    return figures.good_tokens / (duration_s * (1 - WARMUP_SHARE) * per_s)


@dataclass(frozen=True, slots=True)
class Result:
    """What came of one way, and its goodput as a share of the capacity."""

    figures: LiveFigures
    goodput: float


def broken_bounds(scenario: Scenario, results: dict[str, Result]) -> list[str]:
    """Return the stated targets that the policy misses, in words."""
    policy = results[POLICY]
    broken = []
    if policy.figures.broken:
        broken.append(f"{scenario.name}: {policy.figures.broken} promises broken")
    if scenario.load >= DOUBLE_LOAD and policy.goodput < MIN_OVERLOAD_GOODPUT:
        broken.append(f"{scenario.name}: goodput {policy.goodput:.3f} of capacity")
    if policy.figures.amplification() > MAX_AMPLIFICATION:
        broken.append(f"{scenario.name}: {policy.figures.amplification():.3f} attempts a call")
    best_s = min(
        (result.figures.quantile_s(0.99) for name, result in results.items() if name != POLICY),
        default=0.0,
    )
    share = MAX_SHARED_P99_SHARE if scenario.shared_share == 1.0 else 1.0 + P99_RESOLUTION
    p99_s = policy.figures.quantile_s(0.99)
    if best_s and p99_s > share * best_s:
        broken.append(f"{scenario.name}: p99 {p99_s:.3f} s against {best_s:.3f} s")
    return broken


COLUMNS = (
    "way",
    "p50 first token (ms)",
    "p99 first token (ms)",
    "cache hit share",
    "goodput of capacity",
    "refused share",
    "failed share",
    "attempts a call",
    "work wasted",
    "promises broken",
)


def row(name: str, figures: LiveFigures, good: float) -> tuple[str | float, ...]:
    """Return one line of a scenario's table."""
    arrived = max(1, figures.arrived)
    return (
        name,
        figures.quantile_s(0.5) * 1000,
        figures.quantile_s(0.99) * 1000,
        figures.hit_share(),
        good,
        figures.refused / arrived,
        figures.failed / arrived,
        figures.amplification(),
        figures.wasted_share(),
        float(figures.broken),
    )


def run_live(seed: int, duration_s: float, folder: Path) -> LiveOutcome:
    """Run all scenarios and write the report."""
    shape = LiveShape()
    report, broken = Report("live", seed), []
    points: dict[str, list[tuple[float, float]]] = {name: [] for name in makers()}
    for scenario in SCENARIOS:
        rows, results = [], {}
        for name, maker in makers().items():
            figures = run_scenario(scenario, maker, seed, duration_s, shape)
            good = goodput(figures, shape, scenario, duration_s)
            rows.append(row(name, figures, good))
            results[name] = Result(figures, good)
            if not scenario.shared_share:
                points[name].append((scenario.load, good))
        broken += broken_bounds(scenario, results)
        report.tables.append(Table(scenario.name, COLUMNS, tuple(rows)))
    report.write(folder)
    lines = tuple(Series(name, tuple(values)) for name, values in points.items())
    report.plot(folder, "Goodput by load", ("load of capacity", "goodput of capacity"), lines)
    return LiveOutcome(report.text(), tuple(broken))
