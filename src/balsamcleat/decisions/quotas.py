"""Quotas of requests a second, from the configuration."""

from dataclasses import dataclass

__all__ = ["Quota"]

BURST_DURATION_S = 1.0


@dataclass(slots=True)
class Quota:
    """A token bucket.

    Attributes:
        rate_per_s: Requests a second; 0 for no quota.
        tokens: What may be taken at once now.
        updated_at_s: When that was worked out.
    """

    rate_per_s: float
    tokens: float = 0.0
    updated_at_s: float = float("-inf")

    def change_rate(self, rate_per_s: float, now_s: float) -> None:
        """Take a new rate; what was saved up stays, up to the new burst."""
        self.refill(now_s)
        self.rate_per_s = rate_per_s
        self.tokens = min(self.tokens, self.burst_size())

    def burst_size(self) -> float:
        """Return the most requests at once."""
        return max(1.0, self.rate_per_s * BURST_DURATION_S)

    def refill(self, now_s: float) -> None:
        """Add what came free since the last look."""
        elapsed_s = now_s - self.updated_at_s
        self.updated_at_s = now_s
        if elapsed_s > 0:
            self.tokens = min(self.burst_size(), self.tokens + elapsed_s * self.rate_per_s)

    def acquire(self, now_s: float) -> float:
        """Take one request; returns 0, or the seconds until one is free and takes none."""
        if self.rate_per_s <= 0:
            return 0.0
        self.refill(now_s)
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / self.rate_per_s
