"""A circuit breaker for calls to a service that keeps failing."""

import random
from enum import Enum

__all__ = ["BreakerState", "CircuitBreaker"]

FAILURES_TO_OPEN = 5
OPEN_BASE_S = 0.5
OPEN_CAP_S = 8.0


class BreakerState(Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "probing"


class CircuitBreaker:
    """Opens after consecutive failures; then admits one probe after each jittered delay.

    Args:
        generator: Random number generator for the jitter, which spreads the probes of many VMs.
    """

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.probe_at_s = 0.0

    def allow_request(self, now_s: float) -> bool:
        """Return whether a request may be sent; in the open state it becomes the probe."""
        if self.state is BreakerState.CLOSED:
            return True
        if now_s < self.probe_at_s:
            return False
        # Another probe follows after the maximum delay, so that a probe whose outcome is never
        # recorded does not block requests forever.
        self.state = BreakerState.HALF_OPEN
        self.probe_at_s = now_s + OPEN_CAP_S
        return True

    def is_rejecting(self, now_s: float) -> bool:
        """Return whether a request would be rejected now, without starting a probe."""
        return self.state is not BreakerState.CLOSED and now_s < self.probe_at_s

    def record_success(self) -> None:
        """Record a response and close the breaker."""
        self.state = BreakerState.CLOSED
        self.failures = 0

    def record_failure(self, now_s: float) -> None:
        """Record a failure; each failed probe doubles the delay, up to a maximum."""
        self.failures += 1
        if self.failures < FAILURES_TO_OPEN:
            return
        self.state = BreakerState.OPEN
        doublings = min(self.failures - FAILURES_TO_OPEN, 10)
        ceiling = min(OPEN_CAP_S, OPEN_BASE_S * 2**doublings)
        self.probe_at_s = now_s + self.generator.uniform(ceiling / 2, ceiling)
