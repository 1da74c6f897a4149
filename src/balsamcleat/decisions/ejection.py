"""Decide which failing targets get no work for a while, and how they come back."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.model import AttemptOutcome

__all__ = ["Health", "HealthPhase", "can_eject"]

FAILURES_TO_EJECT = 3
EJECTION_BASE_S = 2.0
EJECTION_CAP_S = 30.0
MAX_EJECTED_SHARE = 0.3
SLOW_START_S = 8.0
SLOW_START_FLOOR = 0.2


class HealthPhase(Enum):
    """How a target has done lately."""

    HEALTHY = "sound"
    EJECTED = "ejected"
    PROBING = "probing"


def can_eject(ejected: int, targets: int) -> bool:
    """Return whether one more may be ejected; never more than a bounded share, never the last."""
    return targets > 1 and ejected + 1 <= max(1, int(MAX_EJECTED_SHARE * targets))


@dataclass(slots=True)
class Health:
    """One target's record of failures.

    Attributes:
        phase: Sound, ejected, or let back in with one request at a time.
        failures: Failures in a row.
        ejections: Ejections without a lasting recovery between; each doubles the time out.
        until_s: When the ejection ends, on the monotonic clock, in seconds.
        since_s: When the target was new or recovered; its share grows from there.
    """

    phase: HealthPhase = HealthPhase.HEALTHY
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    slow_start_at_s: float = float("-inf")

    def slow_start_share(self, now_s: float) -> float:
        """Return the share of its capacity that a new or recovered target is given, up to 1."""
        grown = (now_s - self.slow_start_at_s) / SLOW_START_S
        return 1.0 if grown >= 1.0 else max(SLOW_START_FLOOR, grown)

    def should_eject_after(self, outcome: AttemptOutcome) -> bool:
        """Take note of an attempt's end; returns whether the target should be ejected now."""
        if outcome is AttemptOutcome.SUCCEEDED:
            self.failures = 0
            return False
        if outcome is not AttemptOutcome.FAILED:
            return False
        self.failures += 1
        needed = 1 if self.phase is HealthPhase.PROBING else FAILURES_TO_EJECT
        return self.phase is not HealthPhase.EJECTED and self.failures >= needed

    def eject(self, now_s: float) -> None:
        """Take the target out for a time that doubles with each ejection."""
        self.phase = HealthPhase.EJECTED
        self.failures = 0
        self.ejected_until_s = now_s + min(EJECTION_CAP_S, EJECTION_BASE_S * 2**self.ejections)
        self.ejections += 1

    def start_probing(self) -> None:
        """Let one request at a time through."""
        self.phase = HealthPhase.PROBING
        self.failures = 0

    def recover(self, now_s: float) -> None:
        """Take the target back, slowly."""
        self.phase = HealthPhase.HEALTHY
        self.failures = 0
        self.slow_start_at_s = now_s

    def reset_ejections(self, now_s: float) -> None:
        """Forget past ejections once the target has been sound for long."""
        if self.phase is HealthPhase.HEALTHY and now_s - self.slow_start_at_s > EJECTION_CAP_S:
            self.ejections = 0
