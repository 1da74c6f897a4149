"""Decide whether a service that keeps failing is asked at all."""

import random
from enum import Enum

__all__ = ["BreakerState", "CircuitBreaker"]

FAILURES_TO_OPEN = 5
OPEN_BASE_S = 0.5
OPEN_CAP_S = 8.0


class BreakerState(Enum):
    """Whether requests pass."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "probing"


class CircuitBreaker:
    """Opens after failures in a row; then lets one probe through after each jittered wait.

    Args:
        generator: Draws the jitter, so that the probes of many nodes spread out.
    """

    def __init__(self, generator: random.Random) -> None:
        self.generator = generator
        self.state = BreakerState.CLOSED
        self.failures = 0
        self.probe_at_s = 0.0

    def allow_request(self, now_s: float) -> bool:
        """Return whether a request may be sent; the one that is let through is the probe."""
        if self.state is BreakerState.CLOSED:
            return True
        if now_s < self.probe_at_s:
            return False
        # A probe that never reports back must not keep the breaker shut for ever.
        self.state = BreakerState.HALF_OPEN
        self.probe_at_s = now_s + OPEN_CAP_S
        return True

    def is_rejecting(self, now_s: float) -> bool:
        """Return whether a request would be refused now, without taking the probe."""
        return self.state is not BreakerState.CLOSED and now_s < self.probe_at_s

    def record_success(self) -> None:
        """Take note of an answer."""
        self.state = BreakerState.CLOSED
        self.failures = 0

    def record_failure(self, now_s: float) -> None:
        """Take note of a failure; each failed probe doubles the wait, up to a cap."""
        self.failures += 1
        if self.failures < FAILURES_TO_OPEN:
            return
        self.state = BreakerState.OPEN
        doublings = min(self.failures - FAILURES_TO_OPEN, 10)
        ceiling = min(OPEN_CAP_S, OPEN_BASE_S * 2**doublings)
        self.probe_at_s = now_s + self.generator.uniform(ceiling / 2, ceiling)
