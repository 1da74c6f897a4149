"""Decide when a VM's next call to the store may leave, so that all VMs keep to the store's rates.

Load pattern: after an outage, or when hundreds of VMs start at once, every VM reads its tables in
full and writes what has waited; without a bound the store refuses calls of all, heartbeats and
results among them. Most VMs are nearly idle and a few, which own steps, are not, so a VM may use
several times its even share; after a refusal for too many calls it takes less, down to that share.
"""

from balsamcleat.decisions.quotas import Quota

__all__ = ["StoreRateLimiter"]

# So many times its even share of the rates a VM may use while the store refuses nothing.
MAX_SHARES = 8.0
MIN_SHARES = 1.0
SHARE_RECOVERY_PER_S = 0.5


class StoreRateLimiter:
    """Token buckets for the writes and reads of one VM; a rate of 0 is no limit.

    Args:
        writes_per_s: Writes of all VMs that the store takes in a second.
        reads_per_s: Reads of all VMs that the store takes in a second.
    """

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        self.writes_per_s = writes_per_s
        self.reads_per_s = reads_per_s
        self.writes = Quota(writes_per_s)
        self.reads = Quota(reads_per_s)
        # Even shares that this VM might use when a call was refused last, and when that was.
        self.shares_at_rejection = MAX_SHARES
        self.last_rejection_s = float("-inf")

    def wait_s(self, *, writes: bool, vms: int, now_s: float) -> float:
        """Take one call; returns 0, or the seconds until one may leave and takes none.

        Args:
            writes: Whether it writes.
            vms: How many VMs share the store, as far as known.
            now_s: The process's clock.
        """
        quota, rate_per_s = (
            (self.writes, self.writes_per_s) if writes else (self.reads, self.reads_per_s)
        )
        share = min(1.0, self.allowed_shares(now_s) / max(1, vms))
        quota.change_rate(rate_per_s * share, now_s)
        return quota.acquire(now_s)

    def allowed_shares(self, now_s: float) -> float:
        """Return how many even shares this VM may use."""
        regained = SHARE_RECOVERY_PER_S * max(0.0, now_s - self.last_rejection_s)
        return min(MAX_SHARES, self.shares_at_rejection + regained)

    def record_rejection(self, now_s: float) -> None:
        """Take note that the store refused a call as one too many."""
        self.shares_at_rejection = max(MIN_SHARES, self.allowed_shares(now_s) / 2)
        self.last_rejection_s = now_s
