"""Readiness: decide whether this VM reports to the load balancer that it accepts calls.

Load pattern: an availability zone or a single VM loses its connection to the store while callers
still reach the VM. It can't answer trainers' calls; other VMs could, but the load balancer doesn't
know that. If the store is unavailable to all VMs, no VM is better than another and all stay ready.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["PeerView", "Readiness", "StoreView", "decide_readiness", "should_ask_peers"]

# Every VM calls the store twice a second; after this time without a response, in seconds, the VM
# asks its peers about the store.
STORE_SILENCE_LIMIT_S = 1.0


class Readiness(Enum):
    """Whether this VM is ready for calls, with the reason if it is not."""

    READY = "ready"
    STORE_UNAVAILABLE = "ready, the store is away for all"
    LEAVING = "leaving"
    NO_CONFIGURATION = "no configuration"
    STORE_UNREACHABLE = "cut off from the store"
    ISOLATED = "cut off from store and other zones"

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send calls to this VM."""
        return self in (Readiness.READY, Readiness.STORE_UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class StoreView:
    """This VM's connection to the store.

    Attributes:
        silence_s: Time since the store's last response, in seconds.
        is_failing: Whether the last calls failed, which may happen without any delay.
    """

    silence_s: float
    is_failing: bool = False


@dataclass(frozen=True, slots=True)
class PeerView:
    """The peers' connections to the store: VMs of other zones, or of this zone if it is the only.

    Attributes:
        asked_count: Number of peers that were asked.
        answered_count: Number of peers that answered.
        reaching_store_count: Number of peers that answered and reach the store.
    """

    asked_count: int = 0
    answered_count: int = 0
    reaching_store_count: int = 0

    @property
    def is_isolated(self) -> bool:
        """Whether peers were asked and none answered."""
        return self.asked_count > 0 and not self.answered_count


def should_ask_peers(store: StoreView) -> bool:
    """Return whether this VM should ask its peers if they reach the store."""
    return store.is_failing or store.silence_s >= STORE_SILENCE_LIMIT_S


def decide_readiness(
    *, leaving: bool, configured: bool, store: StoreView, peers: PeerView
) -> Readiness:
    """Return whether this VM is ready for calls."""
    if leaving:
        return Readiness.LEAVING
    if not configured:
        return Readiness.NO_CONFIGURATION
    if not should_ask_peers(store):
        return Readiness.READY
    if peers.reaching_store_count:
        return Readiness.STORE_UNREACHABLE
    if peers.asked_count and not peers.answered_count:
        return Readiness.ISOLATED
    return Readiness.STORE_UNAVAILABLE
