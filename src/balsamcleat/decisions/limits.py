"""Adaptive concurrency limits: how much one entry VM may have in flight at a service."""

from abc import ABC, abstractmethod

__all__ = ["AimdLimit", "ConcurrencyLimit"]

MIN_LIMIT = 4.0
# A cut holds back further cuts until its effect can be seen in reports.
DECREASE_INTERVAL_S = 1.0
DECREASE_FACTOR = 0.9
INCREASE_STEP = 2.0


class ConcurrencyLimit(ABC):
    """A limit that follows what the targets can take.

    Attributes:
        limit: The most requests in flight.
    """

    limit: float

    @abstractmethod
    def record_success(self, latency_s: float, in_flight: int) -> None:
        """Take note of a request that ended well.

        Args:
            latency_s: Time to its first byte, in seconds.
            in_flight: Requests in flight when it ended.
        """

    @abstractmethod
    def record_overload(self, now_s: float) -> None:
        """Take note of a sign of overload: a refusal for lack of room, a time-out, a queue."""


class AimdLimit(ConcurrencyLimit):
    """Adds a little for each success at the limit, cuts by a share on a sign of overload.

    Entry VMs that share targets come to equal shares, as additive increase with multiplicative
    decrease does.

    Args:
        initial: The first limit.
        maximum: The highest limit.
    """

    def __init__(self, initial: float, maximum: float) -> None:
        self.limit = initial
        self.maximum = maximum
        self.last_decrease_at_s = float("-inf")

    def record_success(self, latency_s: float, in_flight: int) -> None:
        """Grow, but only where the limit was what held requests back."""
        if in_flight >= 0.8 * self.limit:
            self.limit = min(self.maximum, self.limit + INCREASE_STEP / self.limit)

    def record_overload(self, now_s: float) -> None:
        """Cut, at most once an interval."""
        if now_s - self.last_decrease_at_s < DECREASE_INTERVAL_S:
            return
        self.last_decrease_at_s = now_s
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
