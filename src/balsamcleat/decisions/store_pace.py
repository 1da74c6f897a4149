"""Client-side rate limit for store calls, which keeps all VMs together within the store's limits.

Load pattern: after an outage, or when hundreds of VMs start at once, every VM reads its tables in
full and writes its backlog; without a limit the store rejects calls of all VMs, including
heartbeats and results. Most VMs are nearly idle, except the few that own steps, so a VM can use
several times its even share. After a rejection for too many calls, its limit decreases, down to
the even share.
"""

from balsamcleat.decisions.quotas import Quota

__all__ = ["StoreRateLimiter"]

# Multiples of its even share that a VM can use: the maximum applies without recent rejections.
MAX_SHARES = 8.0
MIN_SHARES = 1.0
SHARE_RECOVERY_PER_S = 0.5


class StoreRateLimiter:
    """Token buckets for the writes and reads of one VM; a rate of 0 means no limit.

    Args:
        writes_per_s: Writes per second that the store accepts from all VMs together.
        reads_per_s: Reads per second that the store accepts from all VMs together.
    """

    def __init__(self, writes_per_s: float, reads_per_s: float) -> None:
        self.writes_per_s = writes_per_s
        self.reads_per_s = reads_per_s
        self.writes = Quota(writes_per_s)
        self.reads = Quota(reads_per_s)
        # Multiple of the even share that was allowed at the last rejection, and its time.
        self.shares_at_rejection = MAX_SHARES
        self.last_rejection_s = float("-inf")

    def wait_s(self, *, writes: bool, vms: int, now_s: float) -> float:
        """Consume a token and return 0, or return the seconds until a call can be sent.

        Args:
            writes: Whether the call is a write.
            vms: Number of VMs known to share the store.
            now_s: Current time on the process's monotonic clock, in seconds.
        """
        quota, rate_per_s = (
            (self.writes, self.writes_per_s) if writes else (self.reads, self.reads_per_s)
        )
        share = min(1.0, self.allowed_shares(now_s) / max(1, vms))
        quota.change_rate(rate_per_s * share, now_s)
        return quota.acquire(now_s)

    def allowed_shares(self, now_s: float) -> float:
        """Return the multiple of its even share that this VM can use now."""
        recovered_shares = SHARE_RECOVERY_PER_S * max(0.0, now_s - self.last_rejection_s)
        return min(MAX_SHARES, self.shares_at_rejection + recovered_shares)

    def record_rejection(self, now_s: float) -> None:
        """Record a rejection by the store's rate limit, which halves the allowed shares."""
        self.shares_at_rejection = max(MIN_SHARES, self.allowed_shares(now_s) / 2)
        self.last_rejection_s = now_s
