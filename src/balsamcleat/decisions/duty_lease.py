"""Lease on sending orders to engines, which keeps the orders of two VMs a minimum gap apart.

Not all engines check fencing tokens, so a token alone gives no protection. A holder writes to the
lease row that it is about to send orders before the first one, and that it has finished after the
last one. A VM that acquires the lease of a dead holder that had finished waits only until the gap
since the last order has passed. If the holder had not finished, it waits the full gap from now on.
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
# The holder sends no order later than this after it requested its last renewal.
HOLDER_ORDER_WINDOW_S = 1.2
# Another VM acquires a lease whose row stayed unchanged for this long.
LEASE_TERM_S = 2.0
# Added to the gap to cover clock drift between VMs and the network latency of an order.
GAP_MARGIN_MS = 200


@dataclass(frozen=True, slots=True)
class OrderLeaseState:
    """Content of the lease row.

    Attributes:
        vm: Name of the VM that holds the lease; empty after a release.
        boot: Identifier of the process start of the holder.
        ordering: Whether orders may be in flight.
        last_order_ms: Time by which the last order had ended, on the store's clock, in ms.
    """

    vm: str
    boot: str
    ordering: bool
    last_order_ms: int


@dataclass(slots=True)
class OrderLease:
    """Order lease that this VM holds.

    Attributes:
        state: Row content that was written last.
        fencing_token: Version of the lease row at the acquisition, sent with each order.
        row_version: Current version of the lease row.
        safe_until_s: Time after which no order can be sent, on the holder's clock.
        first_order_ms: Time before which no order can be sent, on the store's clock, in ms.
    """

    state: OrderLeaseState
    fencing_token: int
    row_version: int
    safe_until_s: float
    first_order_ms: int

    def can_order(self, now_s: float, store_ms: int) -> bool:
        """Return whether an order can be sent now."""
        return self.state.ordering and now_s < self.safe_until_s and store_ms >= self.first_order_ms


def first_order_ms(previous: OrderLeaseState | None, acquired_ms: int, gap_s: float) -> int:
    """Return when a new holder can send its first order, on the store's clock, in ms.

    Args:
        previous: Row content before the lease was acquired, or None.
        acquired_ms: Time at which the lease was acquired, on the store's clock.
        gap_s: Minimum time between the orders of two holders.
    """
    if previous is None or (not previous.ordering and not previous.last_order_ms):
        return acquired_ms
    last_order_ms = acquired_ms if previous.ordering else previous.last_order_ms
    return last_order_ms + int(gap_s * 1000) + GAP_MARGIN_MS
