"""Decide whether this VM asks the balancer for callers.

Load pattern: an availability zone or a single VM loses the store while callers still reach it.
Trainers' calls can't be answered there, and other VMs would answer them, but the balancer doesn't
know. Where the store is away for everyone, no VM is better than another and all stay.
"""

from dataclasses import dataclass
from enum import Enum

__all__ = ["PeerView", "Readiness", "StoreView", "decide_readiness", "is_suspect"]

# Every VM calls the store twice a second; silence for this long is worth asking others about.
SUSPECT_AFTER_S = 1.0


class Readiness(Enum):
    """Whether to ask for callers, and why not."""

    READY = "ready"
    STORE_AWAY = "ready, the store is away for all"
    LEAVING = "leaving"
    NO_CONFIGURATION = "no configuration"
    CUT_OFF = "cut off from the store"
    ISOLATED = "cut off from store and other zones"

    @property
    def ready(self) -> bool:
        """Whether callers are asked for."""
        return self in (Readiness.READY, Readiness.STORE_AWAY)


@dataclass(frozen=True, slots=True)
class StoreView:
    """How this VM reaches the store.

    Attributes:
        silence_s: Time since the store's last answer.
        failing: Whether the last calls failed, though perhaps at once.
    """

    silence_s: float
    failing: bool = False


@dataclass(frozen=True, slots=True)
class PeerView:
    """What was learnt of VMs in other zones, or elsewhere where there is one zone only.

    Attributes:
        asked: Peers that were asked.
        answered: Peers that answered.
        reach_store: Peers that answered and reach the store.
    """

    asked: int = 0
    answered: int = 0
    reach_store: int = 0


def is_suspect(store: StoreView) -> bool:
    """Return whether peers should be asked."""
    return store.failing or store.silence_s >= SUSPECT_AFTER_S


def decide_readiness(
    *, leaving: bool, configured: bool, store: StoreView, peers: PeerView
) -> Readiness:
    """Return whether this VM asks for callers."""
    if leaving:
        return Readiness.LEAVING
    if not configured:
        return Readiness.NO_CONFIGURATION
    if not is_suspect(store):
        return Readiness.READY
    if peers.reach_store:
        return Readiness.CUT_OFF
    if peers.asked and not peers.answered:
        return Readiness.ISOLATED
    return Readiness.STORE_AWAY
