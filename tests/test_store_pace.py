"""Calls to the store keep to its rates: many VMs that return at once, and VMs that are refused."""

import pytest

from balsamcleat.decisions.store_pace import MAX_SHARES, StoreRateLimiter

WRITES_PER_S = 800.0
READS_PER_S = 2_000.0


def calls_in(
    pace: StoreRateLimiter, seconds: float, vms: int, *, writes: bool, from_s: float
) -> int:
    """Return the calls that leave when more are always wanted."""
    now_s, count = from_s, 0
    while now_s < from_s + seconds:
        wait_s = pace.wait_s(writes=writes, vms=vms, now_s=now_s)
        if wait_s:
            now_s += wait_s + 1e-9
        else:
            count += 1
    return count


def test_a_vm_that_owns_steps_is_not_held_up_by_its_even_share() -> None:
    """12 VMs: an owner makes 60 writes a second at most."""
    pace = StoreRateLimiter(WRITES_PER_S, READS_PER_S)
    assert all(
        pace.wait_s(writes=True, vms=12, now_s=10.0 + number / 60.0) == 0.0 for number in range(600)
    )


@pytest.mark.parametrize("vms", [12, 300])
def test_vms_that_are_refused_come_down_to_their_even_shares(vms: int) -> None:
    pace = StoreRateLimiter(WRITES_PER_S, READS_PER_S)
    free = calls_in(pace, 10.0, vms, writes=True, from_s=0.0)
    for tenth in range(100):
        pace.record_rejection(20.0 + tenth / 10.0)
    held = calls_in(pace, 1.0, vms, writes=True, from_s=30.0)
    share = WRITES_PER_S / vms
    assert free == pytest.approx(min(vms, MAX_SHARES) * share * 10.0, rel=0.15)
    assert held <= 3.0 * share


def test_shares_come_back_after_refusals_end() -> None:
    pace = StoreRateLimiter(WRITES_PER_S, READS_PER_S)
    for tenth in range(50):
        pace.record_rejection(tenth / 10.0)
    assert pace.allowed_shares(5.0) < 2.0
    assert pace.allowed_shares(30.0) == MAX_SHARES


def test_a_store_that_names_no_rates_is_not_limited() -> None:
    pace = StoreRateLimiter(0.0, 0.0)
    assert all(pace.wait_s(writes=False, vms=1, now_s=0.0) == 0.0 for _ in range(1_000))
