"""Decide whether a call to the store goes straight there or by way of another VM.

Load pattern: the store turns some VMs away, or a partition lies between them and the store, while
other VMs reach it. Steps in the hands of such a VM would be taken over and begun again, and its
callers turned away. A VM that reaches the store carries its calls there instead.
"""

from dataclasses import dataclass

__all__ = ["AdaptiveTimeout", "StorePathSelector"]

FAILURES_BEFORE_RELAY = 2
# On a detour, one call in this time tries the straight way.
PROBE_INTERVAL_S = 0.7

MIN_TIMEOUT_S = 0.7
MAX_TIMEOUT_S = 2.5
TIMEOUT_GROWTH = 1.6
# A timeout leaves room for answers this many times as slow as usual.
LATENCY_MULTIPLE = 4.0
LATENCY_SMOOTHING = 0.3


@dataclass(slots=True)
class StorePathSelector:
    """What the last calls of the straight way showed.

    Attributes:
        failures: Failures in a row on the straight way.
        probed_at_s: When it was tried last during a detour.
    """

    failures: int = 0
    probed_at_s: float = float("-inf")

    @property
    def is_failing(self) -> bool:
        """Whether the straight way is taken as closed."""
        return self.failures >= FAILURES_BEFORE_RELAY

    def should_call_directly(self, now_s: float, *, has_relay: bool) -> bool:
        """Return whether a call goes straight to the store."""
        if not self.is_failing or not has_relay:
            return True
        if now_s - self.probed_at_s < PROBE_INTERVAL_S:
            return False
        self.probed_at_s = now_s
        return True

    def record_success(self) -> None:
        """Take note of an answer on the straight way."""
        self.failures = 0

    def record_failure(self) -> None:
        """Take note of a failure on the straight way."""
        self.failures += 1


@dataclass(slots=True)
class AdaptiveTimeout:
    """How long an answer is awaited: short while the store is quick, longer when it is slow."""

    timeout_s: float = MIN_TIMEOUT_S
    latency_s: float = 0.0

    def record_answer(self, took_s: float) -> None:
        """Take the time that an answer took."""
        self.latency_s += LATENCY_SMOOTHING * (took_s - self.latency_s)
        wanted_s = LATENCY_MULTIPLE * max(self.latency_s, took_s)
        self.timeout_s = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, wanted_s))

    def record_timeout(self) -> None:
        """Take note that no answer came in time."""
        self.timeout_s = min(MAX_TIMEOUT_S, self.timeout_s * TIMEOUT_GROWTH)
