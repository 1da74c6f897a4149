"""Counters, gauges and latency histograms of one process, served as text."""

import re
from collections import Counter

from hdrh.histogram import HdrHistogram

from balsamcleat.ports.metrics import Metrics

__all__ = ["TextMetrics"]

PREFIX = "balsamcleat_"
NOT_IN_NAMES = re.compile(r"[^a-zA-Z0-9_]+")
# Latencies are recorded in units of 0.1 ms, from one unit to two minutes.
UNITS_PER_MS = 10
MAX_UNITS = 2 * 60 * 1000 * UNITS_PER_MS
SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)
# Names come from routes, events and up to 100 teams with two counters each; further names are
# counted together.
MAX_NAMES = 600
OTHER = "other"


class TextMetrics(Metrics):
    """Keeps metrics in memory, under the names that statsd would receive."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}
        self.timings: dict[str, HdrHistogram] = {}
        self.sums: Counter[str] = Counter()

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        if name not in self.counters and len(self.counters) >= MAX_NAMES:
            name = OTHER
        self.counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if name in self.gauges or len(self.gauges) < MAX_NAMES:
            self.gauges[name] = value

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a latency."""
        histogram = self.timings.get(name)
        if histogram is None:
            if len(self.timings) >= MAX_NAMES:
                return
            histogram = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_FIGURES)
            self.timings[name] = histogram
        units = min(MAX_UNITS, max(1, int(milliseconds * UNITS_PER_MS)))
        histogram.record_value(units)
        self.sums[name] += units

    def render(self) -> bytes:
        """Return all metrics in the text exposition format; latencies are in seconds."""
        lines = []
        for name, value in sorted(self.counters.items()):
            metric = metric_name(name) + "_total"
            lines += [f"# TYPE {metric} counter", f"{metric} {value}"]
        for name, reading in sorted(self.gauges.items()):
            metric = metric_name(name)
            lines += [f"# TYPE {metric} gauge", f"{metric} {reading:g}"]
        for name, histogram in sorted(self.timings.items()):
            lines += self.summary_lines(name, histogram)
        return ("\n".join(lines) + "\n").encode()

    def summary_lines(self, name: str, histogram: HdrHistogram) -> list[str]:
        """Return the lines of one latency in the text format."""
        metric = metric_name(name) + "_seconds"
        per_second = 1000.0 * UNITS_PER_MS
        lines = [f"# TYPE {metric} summary"]
        for quantile in QUANTILES:
            seconds = histogram.get_value_at_percentile(quantile * 100.0) / per_second
            lines.append(f'{metric}{{quantile="{quantile}"}} {seconds:g}')
        lines.append(f"{metric}_sum {self.sums[name] / per_second:g}")
        lines.append(f"{metric}_count {histogram.get_total_count()}")
        return lines


def metric_name(name: str) -> str:
    """Return the name of a metric in the text format."""
    return PREFIX + NOT_IN_NAMES.sub("_", name)
