"""Decide when a step whose owner fell silent may be taken over."""

from dataclasses import dataclass

__all__ = ["STEP_LEASE_RENEW_INTERVAL_S", "STEP_LEASE_TERM_S", "StepLeaseTracker"]

STEP_LEASE_RENEW_INTERVAL_S = 1.5
# An unchanged row for this long means that its owner is gone, paused or cut off.
STEP_LEASE_TERM_S = 5.0


@dataclass(frozen=True, slots=True)
class RowObservation:
    """A row's version and since when it has been seen unchanged."""

    version: int
    since_s: float


class StepLeaseTracker:
    """Watches the rows of steps that others own.

    The term runs on the observer's own clock and only while the table answers: after an outage
    every owner first gets the time to renew. Taking a step too early costs work and never breaks
    a promise, because the row's epoch and the trainer's pulls fence the old owner.
    """

    def __init__(self) -> None:
        self.observations: dict[str, RowObservation] = {}

    def observe(self, key: str, version: int, owner: str, now_s: float) -> bool:
        """Take note of a row; returns whether its step may be taken over now."""
        if not owner:
            return True
        sighting = self.observations.get(key)
        if sighting is None or sighting.version != version:
            self.observations[key] = RowObservation(version, now_s)
            return False
        return now_s - sighting.since_s >= STEP_LEASE_TERM_S

    def unchanged_s(self, key: str, now_s: float) -> float:
        """Return how long the row has been seen unchanged, in seconds."""
        sighting = self.observations.get(key)
        return 0.0 if sighting is None else now_s - sighting.since_s

    def reset(self) -> None:
        """Start all terms again: nothing could be seen."""
        self.observations.clear()

    def retain(self, keys: frozenset[str]) -> None:
        """Forget the steps that are no longer there."""
        self.observations = {
            key: sighting for key, sighting in self.observations.items() if key in keys
        }
