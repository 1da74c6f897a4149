"""Track which targets exist and take new work, from a list whose entries expire in the store.

Load pattern: the store is unavailable for some seconds, and entries expire meanwhile although
their targets still serve. Removing these targets at once would leave none while every caller
needs one; keeping a missing entry for long sends work to a target that no longer exists.

A target may also announce in its responses that it is leaving, before the list says so and while
this VM can't read the list. It gets no new work from then on, until it starts again.
"""

from dataclasses import dataclass

from balsamcleat.model import ServiceName, TargetId
from balsamcleat.model.replicas import Replica, ReplicaState

__all__ = ["STORE_RECOVERY_GRACE_S", "ReplicaChange", "ReplicaDirectory"]

# The platform restores the entries of running targets within about this time after the store has
# recovered, in seconds.
STORE_RECOVERY_GRACE_S = 2.0
# The oldest announcements are forgotten beyond this number; ids of targets are rarely used again.
MAX_ANNOUNCED_DEPARTURES = 10_000


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """A change of a target's entry.

    Attributes:
        target_id: Id of the target.
        replica: Entry of the target, or None if the target was removed.
        reason: What changed.
        is_planned: Whether the target had announced that it would leave.
    """

    target_id: TargetId
    replica: Replica | None
    reason: str
    is_planned: bool = False


class ReplicaDirectory:
    """Holds the current entries of all targets; apply readings and changes in their order."""

    def __init__(self) -> None:
        self.entries: dict[TargetId, Replica] = {}
        # Targets that take new work, by service.
        self.ready_by_service: dict[ServiceName, dict[TargetId, Replica]] = {}
        # Targets whose entries disappeared around an outage, with the time until which they are
        # kept.
        self.missing_until_s: dict[TargetId, float] = {}
        self.store_recovered_at_s = float("-inf")
        # Start times of the targets that announced their departure. They outlast the entries,
        # which may lapse and come back.
        self.departing_starts: dict[TargetId, int] = {}

    def mark_leaving(self, replica: Replica) -> bool:
        """Record that a target announced its departure; return whether that is new."""
        if self.departing_starts.get(replica.target_id) == replica.started_ms:
            return False
        current = self.entries.get(replica.target_id)
        if current is not None and current.started_ms > replica.started_ms:
            # The announcement is from before the target's restart.
            return False
        self.departing_starts[replica.target_id] = replica.started_ms
        if len(self.departing_starts) > MAX_ANNOUNCED_DEPARTURES:
            del self.departing_starts[next(iter(self.departing_starts))]
        self.remove_ready(current)
        return True

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether this start of a target announced its departure."""
        return self.departing_starts.get(replica.target_id) == replica.started_ms

    def takes_requests(self, replica: Replica) -> bool:
        """Return whether this start of a target is ready for new work."""
        current = self.ready_by_service.get(replica.service, {}).get(replica.target_id)
        return current is not None and current.started_ms == replica.started_ms

    def record_store_recovery(self, now_s: float) -> None:
        """Record that the store answers again after an outage."""
        self.store_recovered_at_s = now_s

    def apply_listing(self, replicas: dict[TargetId, Replica], now_s: float) -> list[ReplicaChange]:
        """Apply a full listing; return the changes."""
        changes = []
        for target_id in [known_id for known_id in self.entries if known_id not in replicas]:
            changes += self.apply_removal(target_id, now_s)
        for replica in replicas.values():
            changes += self.apply_entry(replica)
        return changes

    def apply_entry(self, replica: Replica) -> list[ReplicaChange]:
        """Apply an entry that was written; return the changes."""
        self.missing_until_s.pop(replica.target_id, None)
        previous = self.entries.get(replica.target_id)
        if previous is not None and replica.entry_version <= previous.entry_version:
            return []
        self.remove_ready(previous)
        self.entries[replica.target_id] = replica
        if replica.state is ReplicaState.READY and not self.is_leaving(replica):
            self.ready_by_service.setdefault(replica.service, {})[replica.target_id] = replica
        if previous is None:
            return [ReplicaChange(replica.target_id, replica, "listed")]
        if previous.started_ms != replica.started_ms:
            return [ReplicaChange(replica.target_id, replica, "restarted")]
        if previous.state is not replica.state:
            return [ReplicaChange(replica.target_id, replica, replica.state.value)]
        return []

    def apply_removal(self, target_id: TargetId, now_s: float) -> list[ReplicaChange]:
        """Apply the removal of an entry; return the changes, none during the recovery grace."""
        if target_id not in self.entries:
            return []
        keep_until_s = self.store_recovered_at_s + STORE_RECOVERY_GRACE_S
        if now_s < keep_until_s:
            self.missing_until_s.setdefault(target_id, keep_until_s)
            return []
        self.missing_until_s.pop(target_id, None)
        removed = self.entries.pop(target_id)
        self.remove_ready(removed)
        is_planned = removed.state is ReplicaState.DRAINING or self.is_leaving(removed)
        return [ReplicaChange(target_id, None, "gone", is_planned)]

    def remove_expired(self, now_s: float) -> list[ReplicaChange]:
        """Remove the entries that are still missing after the recovery grace of the store."""
        expired = [
            target_id for target_id, until_s in self.missing_until_s.items() if now_s >= until_s
        ]
        return [change for target_id in expired for change in self.apply_removal(target_id, now_s)]

    def is_listed(self, target_id: TargetId, started_ms: int) -> bool:
        """Return whether the list still has this start of a target."""
        replica = self.entries.get(target_id)
        return replica is not None and replica.started_ms <= started_ms

    def ready_replicas(self, service: ServiceName) -> list[Replica]:
        """Return the targets of a service that are ready for new work."""
        return list(self.ready_by_service.get(service, {}).values())

    def remove_ready(self, replica: Replica | None) -> None:
        """Remove an earlier entry from the targets that take new work."""
        if replica is not None:
            self.ready_by_service.get(replica.service, {}).pop(replica.target_id, None)
