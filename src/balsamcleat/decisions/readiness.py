"""Decide whether this VM asks the balancer for callers.

Load pattern: an availability zone or a single VM loses the store while callers still reach it.
Trainers' calls can't be answered there, and other VMs would answer them, but the balancer doesn't
know. Where the store is away for everyone, no VM is better than another and all stay.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["PeerView", "Readiness", "StoreView", "decide_readiness", "should_ask_peers"]

# Every VM calls the store twice a second; silence for this long is worth asking others about.
STORE_SILENCE_LIMIT_S = 1.0


class Readiness(Enum):
    """Whether to ask for callers, and why not."""

    READY = "ready"
    STORE_UNAVAILABLE = "ready, the store is away for all"
    LEAVING = "leaving"
    NO_CONFIGURATION = "no configuration"
    STORE_UNREACHABLE = "cut off from the store"
    ISOLATED = "cut off from store and other zones"

    @property
    def is_ready(self) -> bool:
        """Whether callers are asked for."""
        return self in (Readiness.READY, Readiness.STORE_UNAVAILABLE)


@dataclass(frozen=True, slots=True)
class StoreView:
    """How this VM reaches the store.

    Attributes:
        silence_s: Time since the store's last answer.
        failing: Whether the last calls failed, though perhaps at once.
    """

    silence_s: float
    is_failing: bool = False


@dataclass(frozen=True, slots=True)
class PeerView:
    """What was learnt of VMs in other zones, or elsewhere where there is one zone only.

    Attributes:
        asked: Peers that were asked.
        answered: Peers that answered.
        reach_store: Peers that answered and reach the store.
    """

    asked_count: int = 0
    answered_count: int = 0
    reaching_store_count: int = 0


def should_ask_peers(store: StoreView) -> bool:
    """Return whether peers should be asked."""
    return store.is_failing or store.silence_s >= STORE_SILENCE_LIMIT_S


def decide_readiness(
    *, leaving: bool, configured: bool, store: StoreView, peers: PeerView
) -> Readiness:
    """Return whether this VM asks for callers."""
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
