"""Decide which targets exist and take new work, from a list that can lapse with its store.

Load pattern: the store is away for some seconds and entries expire meanwhile although their
targets serve. Taking them out at once would leave no target when every caller needs one; keeping
a missing one for long sends work to a target that is gone.
"""

from dataclasses import dataclass

from balsamcleat.model import ServiceName, TargetId
from balsamcleat.model.replicas import Replica, ReplicaState

__all__ = ["STORE_RECOVERY_GRACE_S", "ReplicaChange", "ReplicaDirectory"]

# The platform has entries of living targets back within about this time of its return.
STORE_RECOVERY_GRACE_S = 2.0


@dataclass(frozen=True, slots=True)
class ReplicaChange:
    """A change of what is believed of a target; ``replica`` is None where it is gone."""

    target_id: TargetId
    replica: Replica | None
    reason: str


class ReplicaDirectory:
    """Holds the entries as they are believed; feed it readings and changes in order."""

    def __init__(self) -> None:
        self.entries: dict[TargetId, Replica] = {}
        # Those that take new work, by service.
        self.ready_by_service: dict[ServiceName, dict[TargetId, Replica]] = {}
        # Entries that went missing around an outage, and until when they are still believed.
        self.missing_until_s: dict[TargetId, float] = {}
        self.store_recovered_at_s = float("-inf")

    def record_store_recovery(self, now_s: float) -> None:
        """Take note that the store answers again after a time without."""
        self.store_recovered_at_s = now_s

    def apply_listing(self, replicas: dict[TargetId, Replica], now_s: float) -> list[ReplicaChange]:
        """Take a full reading; returns what changed."""
        news = []
        for target_id in [known for known in self.entries if known not in replicas]:
            news += self.apply_removal(target_id, now_s)
        for replica in replicas.values():
            news += self.apply_entry(replica)
        return news

    def apply_entry(self, replica: Replica) -> list[ReplicaChange]:
        """Take an entry as written; returns what changed."""
        self.missing_until_s.pop(replica.target_id, None)
        known = self.entries.get(replica.target_id)
        if known is not None and replica.entry_version <= known.entry_version:
            return []
        self.remove_ready(known)
        self.entries[replica.target_id] = replica
        if replica.state is ReplicaState.READY:
            self.ready_by_service.setdefault(replica.service, {})[replica.target_id] = replica
        if known is None:
            return [ReplicaChange(replica.target_id, replica, "listed")]
        if known.started_ms != replica.started_ms:
            return [ReplicaChange(replica.target_id, replica, "restarted")]
        if known.state is not replica.state:
            return [ReplicaChange(replica.target_id, replica, replica.state.value)]
        return []

    def apply_removal(self, target_id: TargetId, now_s: float) -> list[ReplicaChange]:
        """Take note that an entry is no longer there; returns what changed."""
        if target_id not in self.entries:
            return []
        keep_until_s = self.store_recovered_at_s + STORE_RECOVERY_GRACE_S
        if now_s < keep_until_s:
            self.missing_until_s.setdefault(target_id, keep_until_s)
            return []
        self.missing_until_s.pop(target_id, None)
        self.remove_ready(self.entries.pop(target_id))
        return [ReplicaChange(target_id, None, "gone")]

    def remove_expired(self, now_s: float) -> list[ReplicaChange]:
        """Take out the entries that are still missing after the store's return."""
        due = [target_id for target_id, until_s in self.missing_until_s.items() if now_s >= until_s]
        return [item for target_id in due for item in self.apply_removal(target_id, now_s)]

    def ready_replicas(self, service: ServiceName) -> list[Replica]:
        """Return the targets of a service that take new work."""
        return list(self.ready_by_service.get(service, {}).values())

    def remove_ready(self, known: Replica | None) -> None:
        """Take an earlier entry out of those that take new work."""
        if known is not None:
            self.ready_by_service.get(known.service, {}).pop(known.target_id, None)
