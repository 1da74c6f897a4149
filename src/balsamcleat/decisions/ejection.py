"""Outlier ejection: exclude failing targets for a while, then probe and reinstate them."""

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
    """Health of a target, from the outcomes of its recent attempts."""

    HEALTHY = "sound"
    EJECTED = "ejected"
    PROBING = "probing"


def can_eject(ejected_count: int, target_count: int) -> bool:
    """Return whether one more target may be ejected: at most a share, and never the only one."""
    return target_count > 1 and ejected_count + 1 <= max(1, int(MAX_EJECTED_SHARE * target_count))


@dataclass(slots=True)
class Health:
    """Failure record of one target; times are on the monotonic clock, in seconds.

    Attributes:
        phase: Whether the target is healthy, ejected, or probed with one request at a time.
        failures: Number of failures since the last success.
        ejections: Number of ejections without a lasting recovery in between; each doubles the
            duration of the next one.
        ejected_until_s: Time at which the ejection ends.
        slow_start_at_s: Time at which the target was added or recovered and its slow start began.
    """

    phase: HealthPhase = HealthPhase.HEALTHY
    failures: int = 0
    ejections: int = 0
    ejected_until_s: float = 0.0
    slow_start_at_s: float = float("-inf")

    def slow_start_share(self, now_s: float) -> float:
        """Return the share of its capacity that a target in slow start gets, up to 1."""
        share = (now_s - self.slow_start_at_s) / SLOW_START_S
        return 1.0 if share >= 1.0 else max(SLOW_START_FLOOR, share)

    def record_outcome(self, outcome: AttemptOutcome) -> bool:
        """Record an attempt's outcome; return whether the target should be ejected now."""
        if outcome is AttemptOutcome.SUCCEEDED:
            self.failures = 0
            return False
        if outcome is not AttemptOutcome.FAILED:
            return False
        self.failures += 1
        threshold = 1 if self.phase is HealthPhase.PROBING else FAILURES_TO_EJECT
        return self.phase is not HealthPhase.EJECTED and self.failures >= threshold

    def eject(self, now_s: float) -> None:
        """Eject the target for a duration that doubles with each ejection."""
        self.phase = HealthPhase.EJECTED
        self.failures = 0
        self.ejected_until_s = now_s + min(EJECTION_CAP_S, EJECTION_BASE_S * 2**self.ejections)
        self.ejections += 1

    def start_probing(self) -> None:
        """Start probing the target with one request at a time."""
        self.phase = HealthPhase.PROBING
        self.failures = 0

    def recover(self, now_s: float) -> None:
        """Reinstate the target with a slow start."""
        self.phase = HealthPhase.HEALTHY
        self.failures = 0
        self.slow_start_at_s = now_s

    def reset_ejections(self, now_s: float) -> None:
        """Reset the number of ejections once the target has been healthy for long."""
        if self.phase is HealthPhase.HEALTHY and now_s - self.slow_start_at_s > EJECTION_CAP_S:
            self.ejections = 0
