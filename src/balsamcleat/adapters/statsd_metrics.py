"""Metrics that are sent to a statsd daemon or kept in memory."""

from collections import Counter

import statsd

from balsamcleat.ports import Metrics

__all__ = ["MemoryMetrics", "StatsdMetrics"]


class MemoryMetrics(Metrics):
    """Keeps counters and gauges in memory, for status pages and tests."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, milliseconds: float) -> None:
        """Count the measurement; the duration is sent only to statsd."""
        self.counters[name] += 1


class StatsdMetrics(MemoryMetrics):
    """Also sends every measurement to a statsd daemon over UDP.

    Args:
        host: Host of the daemon.
        port: UDP port of the daemon.
    """

    def __init__(self, host: str, port: int) -> None:
        super().__init__()
        self.client = statsd.StatsClient(host, port, prefix="balsamcleat")

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        super().count(name, amount)
        self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        super().gauge(name, value)
        self.client.gauge(name, value)

    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
        super().timing(name, milliseconds)
        self.client.timing(name, milliseconds)
