"""Client-side rate limit for store calls: shares of the VMs, rejections and recovery."""

import pytest

from balsamcleat.decisions.store_pace import MAX_SHARES, StoreRateLimiter

WRITES_PER_S = 800.0
READS_PER_S = 2_000.0


def count_calls(
    limiter: StoreRateLimiter, seconds: float, vms: int, *, writes: bool, from_s: float
) -> int:
    """Return the number of calls that are sent if there are always more to send."""
    now_s, count = from_s, 0
    while now_s < from_s + seconds:
        wait_s = limiter.wait_s(writes=writes, vms=vms, now_s=now_s)
        if wait_s:
            now_s += wait_s + 1e-9
        else:
            count += 1
    return count


def test_vm_that_owns_steps_can_exceed_its_even_share() -> None:
    """Owner of steps among 12 VMs, which makes at most 60 writes per second."""
    limiter = StoreRateLimiter(WRITES_PER_S, READS_PER_S)
    assert all(
        limiter.wait_s(writes=True, vms=12, now_s=10.0 + number / 60.0) == 0.0
        for number in range(600)
    )


@pytest.mark.parametrize("vms", [12, 300])
def test_rejected_vms_are_limited_to_about_their_even_shares(vms: int) -> None:
    limiter = StoreRateLimiter(WRITES_PER_S, READS_PER_S)
    unlimited_count = count_calls(limiter, 10.0, vms, writes=True, from_s=0.0)
    for tenth in range(100):
        limiter.record_rejection(20.0 + tenth / 10.0)
    limited_count = count_calls(limiter, 1.0, vms, writes=True, from_s=30.0)
    share = WRITES_PER_S / vms
    assert unlimited_count == pytest.approx(min(vms, MAX_SHARES) * share * 10.0, rel=0.15)
    assert limited_count <= 3.0 * share


def test_shares_recover_after_the_last_rejection() -> None:
    limiter = StoreRateLimiter(WRITES_PER_S, READS_PER_S)
    for tenth in range(50):
        limiter.record_rejection(tenth / 10.0)
    assert limiter.allowed_shares(5.0) < 2.0
    assert limiter.allowed_shares(30.0) == MAX_SHARES


def test_store_without_rate_limits_is_not_limited() -> None:
    limiter = StoreRateLimiter(0.0, 0.0)
    assert all(limiter.wait_s(writes=False, vms=1, now_s=0.0) == 0.0 for _ in range(1_000))
