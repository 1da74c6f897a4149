"""Choose whether a store call is sent directly or relayed by another VM.

Load pattern: the store rejects the calls of some VMs, or a partition separates them from the store,
while other VMs reach it. Steps owned by such a VM would be taken over and restarted, and its
callers rejected. Instead, a VM that reaches the store relays its calls.
"""

from dataclasses import dataclass

__all__ = ["AdaptiveTimeout", "StorePathSelector"]

FAILURES_BEFORE_RELAY = 2
# While calls are relayed, one call per interval is sent directly to probe the store.
PROBE_INTERVAL_S = 0.7

MIN_TIMEOUT_S = 0.7
MAX_TIMEOUT_S = 2.5
TIMEOUT_GROWTH = 1.6
# The timeout allows for answers this many times slower than the average.
LATENCY_MULTIPLE = 4.0
LATENCY_SMOOTHING = 0.3


@dataclass(slots=True)
class StorePathSelector:
    """Selects direct or relayed calls by the results of recent direct calls.

    Attributes:
        failures: Number of consecutive failures of direct calls.
        probed_at_s: Time of the last direct call while calls are relayed, in seconds.
    """

    failures: int = 0
    probed_at_s: float = float("-inf")

    @property
    def is_failing(self) -> bool:
        """Whether direct calls are considered failing."""
        return self.failures >= FAILURES_BEFORE_RELAY

    def should_call_directly(self, now_s: float, *, has_relay: bool) -> bool:
        """Return whether a call should be sent directly to the store."""
        if not self.is_failing or not has_relay:
            return True
        if now_s - self.probed_at_s < PROBE_INTERVAL_S:
            return False
        self.probed_at_s = now_s
        return True

    def record_success(self) -> None:
        """Record an answer to a direct call."""
        self.failures = 0

    def record_failure(self) -> None:
        """Record a failure of a direct call."""
        self.failures += 1


@dataclass(slots=True)
class AdaptiveTimeout:
    """Timeout of store calls that adapts to the latency of the store."""

    timeout_s: float = MIN_TIMEOUT_S
    latency_s: float = 0.0

    def record_answer(self, answer_latency_s: float) -> None:
        """Record the latency of an answer and adjust the timeout."""
        self.latency_s += LATENCY_SMOOTHING * (answer_latency_s - self.latency_s)
        wanted_s = LATENCY_MULTIPLE * max(self.latency_s, answer_latency_s)
        self.timeout_s = min(MAX_TIMEOUT_S, max(MIN_TIMEOUT_S, wanted_s))

    def record_timeout(self) -> None:
        """Record a timeout and increase the timeout."""
        self.timeout_s = min(MAX_TIMEOUT_S, self.timeout_s * TIMEOUT_GROWTH)
