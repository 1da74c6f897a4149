"""Decide who may give orders to engines, so that no two VMs' orders come close to each other.

Engines here don't all check fencing numbers, so the number alone protects nothing. A holder
writes that it is about to give orders before the first one and that it is done after the last.
Whoever takes the lease from a dead holder that was done needs to wait only until the gap since
its last order has passed; from one that wasn't, the whole gap from now on.
"""

from dataclasses import dataclass

__all__ = [
    "HOLDER_ORDER_WINDOW_S",
    "LEASE_TERM_S",
    "RENEW_INTERVAL_S",
    "OrderLease",
    "OrderLeaseState",
    "first_order_ms",
]

RENEW_INTERVAL_S = 0.5
# The holder gives no order later than this after it asked for its last renewal.
HOLDER_ORDER_WINDOW_S = 1.2
# Others take a lease that stayed unchanged for this long.
LEASE_TERM_S = 2.0
# Beyond the gap, for clocks that run apart by a little and the order's way.
GAP_MARGIN_MS = 200


@dataclass(frozen=True, slots=True)
class OrderLeaseState:
    """The lease's row.

    Attributes:
        vm: The holder; empty after a release.
        boot: The start of the holder's process.
        ordering: Whether orders may be on their way.
        last_order_ms: The store's clock when the last order was surely past.
    """

    vm: str
    boot: str
    ordering: bool
    last_order_ms: int


@dataclass(slots=True)
class OrderLease:
    """A lease in this VM's hands.

    Attributes:
        state: What was written last.
        fence: The fencing number: the row's version at the claim.
        row_version: The row's version now.
        safe_until_s: No order after this time on the holder's clock.
        first_order_ms: No order before this time on the store's clock.
    """

    state: OrderLeaseState
    fencing_token: int
    row_version: int
    safe_until_s: float
    first_order_ms: int

    def can_order(self, now_s: float, store_ms: int) -> bool:
        """Return whether an order may be sent now."""
        return self.state.ordering and now_s < self.safe_until_s and store_ms >= self.first_order_ms


def first_order_ms(previous: OrderLeaseState | None, claimed_ms: int, gap_s: float) -> int:
    """Return when a new holder may give its first order, on the store's clock.

    Args:
        previous: The lease as it was before the claim, or None.
        claimed_ms: The store's clock at the claim.
        gap_s: Least time between orders of two holders.
    """
    if previous is None or (not previous.ordering and not previous.last_order_ms):
        return claimed_ms
    last_ms = claimed_ms if previous.ordering else previous.last_order_ms
    return last_ms + int(gap_s * 1000) + GAP_MARGIN_MS
