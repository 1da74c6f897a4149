"""What the demonstration counted and measured, and the table it prints."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import anyio
import msgspec
from hdrh.histogram import HdrHistogram

from balsamcleat.printing import layout

__all__ = ["DemoReport", "Latency", "Promise", "PromiseLine", "ReportMessage"]

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 100.0)
MS_PER_US = 0.001


class Promise(Enum):
    """What must always hold."""

    ATTRIBUTION = "each sample names the weight versions that ran"
    STALENESS = "no delivered sample is older than the bound"
    EXACTLY_ONCE = "each sample reaches its trainer exactly once"
    WHOLE_ANSWER = "a caller gets its own whole answer"
    NOT_RUN = "what is refused as not run was not run"
    AT_MOST_ONCE = "a non-idempotent call runs at most once"
    LEAVING = "a leaving target gets no new work"
    GRACEFUL = "a graceful shutdown cuts off no request"
    IN_FORCE = "a configuration is in force everywhere in seconds"
    NEVER_REVERTS = "a configuration never reverts"
    NUMBERED = "a patch becomes the next number or is refused"


class Latency(Enum):
    """What is timed."""

    COMPLETION = "whole completion"
    FIRST_TOKEN = "first token of a stream"
    PLAIN = "plain call"


class PromiseLine(msgspec.Struct, frozen=True):
    """How often a promise was checked and how often it was broken."""

    promise: str
    checked: int
    broken: int


class StepLine(msgspec.Struct, frozen=True):
    """One step, as its trainer saw it; times in seconds."""

    step: str
    samples: int
    whole_s: float
    idle_s: float


class LatencyLine(msgspec.Struct, frozen=True):
    """Latency percentiles in milliseconds."""

    what: str
    count: int
    percentiles_ms: dict[str, float]


class ReportMessage(msgspec.Struct, frozen=True):
    """The report as scripts get it."""

    kept: bool
    seconds: float
    promises: tuple[PromiseLine, ...]
    steps: tuple[StepLine, ...]
    staleness: dict[str, int]
    latencies: tuple[LatencyLine, ...]
    outcomes: dict[str, int]
    broken_cases: tuple[str, ...]


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class DemoReport:
    """What the demonstration found.

    Attributes:
        progress: Where lines about what happens go.
        checked: Checks by promise.
        broken: Broken checks by promise.
        cases: What was broken, in words.
        outcomes: How calls ended.
        staleness: Delivered samples by the versions they lagged.
    """

    progress: Callable[[str], None] = lambda line: None
    checked: Counter[Promise] = field(default_factory=Counter)
    broken: Counter[Promise] = field(default_factory=Counter)
    cases: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)
    staleness: Counter[int] = field(default_factory=Counter)
    steps: list[StepLine] = field(default_factory=list)
    histograms: dict[Latency, HdrHistogram] = field(
        default_factory=lambda: {latency: new_histogram() for latency in Latency}
    )
    started_at_s: float = 0.0
    seconds: float = 0.0

    def say(self, line: str) -> None:
        """Show what happens now."""
        self.progress(f"{anyio.current_time() - self.started_at_s:5.1f} s  {line}")

    def check(self, promise: Promise, kept: bool, case: str) -> None:
        """Count one check of a promise; ``case`` says what was looked at."""
        self.checked[promise] += 1
        if not kept:
            self.broken[promise] += 1
            self.cases.append(f"{promise.value}: {case}")
            self.say(f"BROKEN {promise.value}: {case}")

    def took(self, latency: Latency, seconds: float) -> None:
        """Record a duration."""
        self.histograms[latency].record_value(max(1, int(seconds * 1e6)))

    def kept(self) -> bool:
        """Return whether every promise was checked and none broken."""
        return all(self.checked[promise] and not self.broken[promise] for promise in Promise)

    def message(self) -> ReportMessage:
        """Return the report for scripts."""
        return ReportMessage(
            kept=self.kept(),
            seconds=round(self.seconds, 1),
            promises=tuple(
                PromiseLine(promise.value, self.checked[promise], self.broken[promise])
                for promise in Promise
            ),
            steps=tuple(self.steps),
            staleness={str(lag): self.staleness[lag] for lag in sorted(self.staleness)},
            latencies=tuple(self.latency_line(latency) for latency in Latency),
            outcomes=dict(sorted(self.outcomes.items())),
            broken_cases=tuple(self.cases),
        )

    def json(self) -> str:
        """Return the report as indented JSON."""
        return msgspec.json.format(msgspec.json.encode(self.message()), indent=2).decode()

    def latency_line(self, latency: Latency) -> LatencyLine:
        """Return one latency's percentiles."""
        histogram = self.histograms[latency]
        return LatencyLine(
            latency.value,
            histogram.get_total_count(),
            {
                f"p{percentile:g}": round(
                    histogram.get_value_at_percentile(percentile) * MS_PER_US, 1
                )
                for percentile in PERCENTILES
            },
        )

    def text(self) -> str:
        """Return the report for people."""
        message = self.message()
        promises = layout(
            ("promise", "checked", "broken"),
            [(line.promise, line.checked, line.broken) for line in message.promises],
        )
        steps = layout(
            ("step", "samples", "whole after s", "trainer idle s"),
            [(line.step, line.samples, line.whole_s, line.idle_s) for line in message.steps],
        )
        latencies = layout(
            ("latency in ms", "count", *(f"p{percentile:g}" for percentile in PERCENTILES)),
            [(line.what, line.count, *line.percentiles_ms.values()) for line in message.latencies],
        )
        staleness = layout(
            ("versions behind", "samples"), [tuple(item) for item in message.staleness.items()]
        )
        outcomes = layout(("calls ended", "count"), list(message.outcomes.items()))
        return "\n\n".join((promises, steps, staleness, latencies, outcomes, self.verdict()))

    def verdict(self) -> str:
        """Return the last line."""
        if self.kept():
            return f"every promise was checked and kept, in {self.seconds:.1f} s"
        unchecked = [promise.value for promise in Promise if not self.checked[promise]]
        lines = [f"never checked: {name}" for name in unchecked]
        return "\n".join([*lines, *(f"broken: {case}" for case in self.cases[:20])])
