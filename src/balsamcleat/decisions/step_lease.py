"""Detect expired step leases, so that another VM can take the steps over."""

from dataclasses import dataclass

__all__ = ["STEP_LEASE_RENEW_INTERVAL_S", "STEP_LEASE_TERM_S", "StepLeaseTracker"]

STEP_LEASE_RENEW_INTERVAL_S = 1.5
# A row that stays unchanged this long belongs to an owner that is dead, paused or partitioned.
STEP_LEASE_TERM_S = 5.0


@dataclass(frozen=True, slots=True)
class RowObservation:
    """Last observation of a step's lease row.

    Attributes:
        version: Version of the row.
        since_s: Time since which the row has been unchanged, on the observer's clock, in seconds.
    """

    version: int
    since_s: float


class StepLeaseTracker:
    """Tracks the lease rows of steps that are owned by other VMs.

    The lease term is measured on the observer's own clock and only while the table is available:
    after an outage every owner first gets the time to renew. Taking a step over too early wastes
    work but is safe, because the row's epoch and the trainer's pulls fence the old owner.
    """

    def __init__(self) -> None:
        self.observations: dict[str, RowObservation] = {}

    def observe(self, key: str, version: int, owner: str, now_s: float) -> bool:
        """Record a row that was read; return whether its step can be taken over now."""
        if not owner:
            return True
        observation = self.observations.get(key)
        if observation is None or observation.version != version:
            self.observations[key] = RowObservation(version, now_s)
            return False
        return now_s - observation.since_s >= STEP_LEASE_TERM_S

    def unchanged_s(self, key: str, now_s: float) -> float:
        """Return how long the row has been unchanged, in seconds."""
        observation = self.observations.get(key)
        return 0.0 if observation is None else now_s - observation.since_s

    def reset(self) -> None:
        """Restart all lease terms after a failed read, when renewals could not be observed."""
        self.observations.clear()

    def retain(self, keys: frozenset[str]) -> None:
        """Discard the observations of rows that no longer exist."""
        self.observations = {
            key: observation for key, observation in self.observations.items() if key in keys
        }
