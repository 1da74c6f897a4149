"""Decide whether a call to the store goes straight there or by way of another VM.

Load pattern: the store turns some VMs away, or a partition lies between them and the store, while
other VMs reach it. Steps in the hands of such a VM would be taken over and begun again, and its
callers turned away. A VM that reaches the store carries its calls there instead.
"""

from dataclasses import dataclass

__all__ = ["CallTimeout", "StorePath"]

FAILURES_TO_DETOUR = 2
# On a detour, one call in this time tries the straight way.
PROBE_EVERY_S = 0.7

SHORTEST_TIMEOUT_S = 0.7
LONGEST_TIMEOUT_S = 2.5
TIMEOUT_GROWTH = 1.6
# A timeout leaves room for answers this many times as slow as usual.
SLOWNESS_COVERED = 4.0
LATENCY_WEIGHT = 0.3


@dataclass(slots=True)
class StorePath:
    """What the last calls of the straight way showed.

    Attributes:
        failures: Failures in a row on the straight way.
        probed_at_s: When it was tried last during a detour.
    """

    failures: int = 0
    probed_at_s: float = float("-inf")

    @property
    def failing(self) -> bool:
        """Whether the straight way is taken as closed."""
        return self.failures >= FAILURES_TO_DETOUR

    def go_straight(self, now_s: float, *, detour_known: bool) -> bool:
        """Return whether a call goes straight to the store."""
        if not self.failing or not detour_known:
            return True
        if now_s - self.probed_at_s < PROBE_EVERY_S:
            return False
        self.probed_at_s = now_s
        return True

    def succeeded(self) -> None:
        """Take note of an answer on the straight way."""
        self.failures = 0

    def failed(self) -> None:
        """Take note of a failure on the straight way."""
        self.failures += 1


@dataclass(slots=True)
class CallTimeout:
    """How long an answer is awaited: short while the store is quick, longer when it is slow."""

    timeout_s: float = SHORTEST_TIMEOUT_S
    latency_s: float = 0.0

    def answered(self, took_s: float) -> None:
        """Take the time that an answer took."""
        self.latency_s += LATENCY_WEIGHT * (took_s - self.latency_s)
        wanted_s = SLOWNESS_COVERED * max(self.latency_s, took_s)
        self.timeout_s = min(LONGEST_TIMEOUT_S, max(SHORTEST_TIMEOUT_S, wanted_s))

    def expired(self) -> None:
        """Take note that no answer came in time."""
        self.timeout_s = min(LONGEST_TIMEOUT_S, self.timeout_s * TIMEOUT_GROWTH)
