"""Configured quotas of requests per second, enforced by token buckets."""

from dataclasses import dataclass

__all__ = ["Quota"]

BURST_DURATION_S = 1.0


@dataclass(slots=True)
class Quota:
    """A token bucket that limits the rate of requests.

    Attributes:
        rate_per_s: Allowed requests per second; 0 means no quota.
        tokens: Number of requests that may be sent at once, as of ``updated_at_s``.
        updated_at_s: Time of the last refill on the monotonic clock, in seconds.
    """

    rate_per_s: float
    tokens: float = 0.0
    updated_at_s: float = float("-inf")

    def change_rate(self, rate_per_s: float, now_s: float) -> None:
        """Change the rate; saved tokens are kept, up to the new burst size."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.tokens = min(self.tokens, self.burst_size())

    def burst_size(self) -> float:
        """Return the maximum number of requests at once."""
        return max(1.0, self.rate_per_s * BURST_DURATION_S)

    def refill(self, now_s: float) -> None:
        """Add the tokens that accrued since the last refill."""
        elapsed_s = now_s - self.updated_at_s
        self.updated_at_s = now_s
        if elapsed_s > 0:
            self.tokens = min(self.burst_size(), self.tokens + elapsed_s * self.rate_per_s)

    def acquire(self, now_s: float) -> float:
        """Take one token and return 0, or return the wait for one in seconds if none is left."""
        if self.rate_per_s <= 0:
            return 0.0
        self.refill(now_s)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate_per_s
