"""Adaptive limits of the requests that one entry VM may have in flight at a service."""

from abc import ABC, abstractmethod

__all__ = ["AimdLimit", "ConcurrencyLimit"]

MIN_LIMIT = 4.0
# Minimum interval between two decreases, so that reports show the effect of the first one.
DECREASE_INTERVAL_S = 1.0
DECREASE_FACTOR = 0.9
INCREASE_STEP = 2.0


class ConcurrencyLimit(ABC):
    """A concurrency limit that adapts to the capacity of the targets.

    Attributes:
        limit: Maximum number of requests in flight.
    """

    limit: float

    @abstractmethod
    def record_success(self, latency_s: float, in_flight: int) -> None:
        """Record a successful request.

        Args:
            latency_s: Time to the first byte of the response, in seconds.
            in_flight: Number of requests in flight at that time.
        """

    @abstractmethod
    def record_overload(self, now_s: float) -> None:
        """Record a sign of overload: a rejection for lack of capacity, a timeout, a queue."""


class AimdLimit(ConcurrencyLimit):
    """Additive increase for each success at the limit, multiplicative decrease on overload.

    With this rule the limits of entry VMs that share targets converge to equal shares.

    Args:
        initial: Limit at the start.
        maximum: Upper bound of the limit.
    """

    def __init__(self, initial: float, maximum: float) -> None:
        self.limit = initial
        self.maximum = maximum
        self.last_decrease_at_s = float("-inf")

    def record_success(self, latency_s: float, in_flight: int) -> None:
        """Increase the limit, but only if requests nearly reach it."""
        if in_flight >= 0.8 * self.limit:
            self.limit = min(self.maximum, self.limit + INCREASE_STEP / self.limit)

    def record_overload(self, now_s: float) -> None:
        """Decrease the limit, at most once per ``DECREASE_INTERVAL_S``."""
        if now_s - self.last_decrease_at_s < DECREASE_INTERVAL_S:
            return
        self.last_decrease_at_s = now_s
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
