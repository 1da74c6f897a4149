"""Track which targets exist and take new work, from a list whose entries expire in the store.

Load pattern: the store is unavailable for some seconds, and entries expire meanwhile although
their targets still serve. Removing these targets at once would leave none while every caller
needs one; keeping a missing entry for long sends work to a target that no longer exists.

A target may also announce in its responses that it is leaving, before the list says so and while
this VM can't read the list. It gets no new work from then on, until it starts again.

While the targets of a service are replaced, the list says which software version each start of a
target runs, and which versions are on their way out.
"""

from dataclasses import dataclass

from balsamcleat.decisions.stream_origin import LIST_DELAY_S, StreamOrigin
from balsamcleat.model import ServiceName, TargetId
from balsamcleat.model.replicas import Replica, ReplicaState, StreamSoftware, TargetStart

__all__ = ["STORE_RECOVERY_GRACE_S", "ReplicaChange", "ReplicaDirectory"]

# The platform restores the entries of running targets within about this time after the store has
# recovered, in seconds.
STORE_RECOVERY_GRACE_S = 2.0
# The oldest announcements are forgotten beyond this number; ids of targets are rarely used again.
MAX_ANNOUNCED_DEPARTURES = 10_000
# The oldest ends of targets are forgotten beyond this number.
MAX_RECORDED_ENDS = 10_000
# A version of which a target left within this time is being replaced, in seconds.
REPLACEMENT_MEMORY_S = 10.0


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
        # Services whose targets are model engines.
        self.engine_services: frozenset[ServiceName] = frozenset()
        # Targets whose entries disappeared around an outage, with the time until which they are
        # kept.
        self.missing_until_s: dict[TargetId, float] = {}
        self.store_recovered_at_s = float("-inf")
        # Start times of the targets that announced their departure, or were found to have ended.
        # They outlast the entries, which may lapse and come back.
        self.departing_starts: dict[TargetId, int] = {}
        # Time until which this VM knows the list, and when it no longer showed a start.
        self.read_at_s = float("-inf")
        self.ended_at_s: dict[TargetStart, float] = {}
        # Time at which each start was last known to run, because the target named it.
        self.alive_at_s: dict[TargetStart, float] = {}
        # Starts of targets that name no start when they are asked.
        self.unnamed_starts: dict[TargetStart, None] = {}
        # Time of the last departure of a target, by its software.
        self.departed_at_s: dict[StreamSoftware, float] = {}

    def record_read(self, now_s: float) -> None:
        """Record that all changes of the list until now were applied."""
        self.read_at_s = now_s

    def certain_software(self, origin: StreamOrigin | None) -> StreamSoftware | None:
        """Return the software that began a stream, or None if that is not certain.

        The list is late: it is certain that a connection led to a start that the list showed then
        once the list has been read later by its delay and still showed that start.
        """
        if origin is None:
            return None
        if not origin.is_confirmed and not self.has_reached(origin.start, origin.connected_at_s):
            return None
        return origin.software

    def record_alive(self, start: TargetStart, now_s: float) -> None:
        """Record that a target named a start that the list shows, so it still runs."""
        self.alive_at_s[start] = now_s
        if len(self.alive_at_s) > MAX_RECORDED_ENDS:
            del self.alive_at_s[next(iter(self.alive_at_s))]

    def has_reached(self, start: TargetStart, connected_at_s: float) -> bool:
        """Return whether a connection that was opened then certainly led to this start.

        A start that the list showed before and that ran later ran in between, too.
        """
        if self.alive_at_s.get(start, float("-inf")) >= connected_at_s:
            return True
        settled_s = connected_at_s + LIST_DELAY_S
        return self.read_at_s >= settled_s and self.ended_at_s.get(start, settled_s) >= settled_s

    def record_end(self, start: TargetStart, now_s: float) -> None:
        """Record that the list no longer shows a start of a target."""
        self.ended_at_s.setdefault(start, now_s)
        if len(self.ended_at_s) > MAX_RECORDED_ENDS:
            del self.ended_at_s[next(iter(self.ended_at_s))]

    def record_unnamed(self, replica: Replica) -> None:
        """Record that a target names no start when it is asked."""
        self.unnamed_starts[replica.start] = None
        if len(self.unnamed_starts) > MAX_RECORDED_ENDS:
            del self.unnamed_starts[next(iter(self.unnamed_starts))]

    def is_unnamed(self, replica: Replica) -> bool:
        """Return whether a target is known to name no start."""
        return replica.start in self.unnamed_starts

    def software_versions(self, service: ServiceName) -> set[str]:
        """Return the software versions of the targets of a service that take new work."""
        return {replica.software_version for replica in self.ready_replicas(service)}

    def replaced_versions(self, service: ServiceName, now_s: float) -> set[str]:
        """Return the software versions whose targets are being replaced by those of others."""
        versions = self.software_versions(service)
        if len(versions) < 2:
            return set()
        return {
            software.version
            for software, departed_at_s in self.departed_at_s.items()
            if software.service == service and now_s - departed_at_s < REPLACEMENT_MEMORY_S
        }

    def record_departure(self, replica: Replica | None, now_s: float) -> None:
        """Record that a target leaves."""
        if replica is not None and replica.software is not None:
            self.departed_at_s[replica.software] = now_s

    def mark_ended(self, replica: Replica, now_s: float) -> None:
        """Record that a target has started again although the list does not show it yet."""
        self.record_end(replica.start, now_s)
        self.close_start(replica)
        self.remove_ready(replica)

    def close_start(self, replica: Replica) -> None:
        """Record that a start of a target takes no new work whatever the list says."""
        self.departing_starts[replica.target_id] = replica.started_ms
        if len(self.departing_starts) > MAX_ANNOUNCED_DEPARTURES:
            del self.departing_starts[next(iter(self.departing_starts))]

    def mark_leaving(self, replica: Replica, now_s: float = float("-inf")) -> bool:
        """Record that a target announced its departure; return whether that is new."""
        if self.departing_starts.get(replica.target_id) == replica.started_ms:
            return False
        current = self.entries.get(replica.target_id)
        if current is not None and current.started_ms > replica.started_ms:
            # The announcement is from before the target's restart.
            return False
        self.close_start(replica)
        self.remove_ready(current)
        self.record_departure(replica, now_s)
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
            changes += self.apply_entry(replica, now_s)
        return changes

    def apply_entry(self, replica: Replica, now_s: float = float("-inf")) -> list[ReplicaChange]:
        """Apply an entry that was written; return the changes."""
        self.missing_until_s.pop(replica.target_id, None)
        if not self.is_leaving(replica):
            self.ended_at_s.pop(replica.start, None)
        previous = self.entries.get(replica.target_id)
        if previous is not None and replica.entry_version <= previous.entry_version:
            return []
        self.remove_ready(previous)
        self.entries[replica.target_id] = replica
        self.add_ready(replica)
        if previous is None:
            return [ReplicaChange(replica.target_id, replica, "listed")]
        if previous.started_ms != replica.started_ms:
            self.record_end(previous.start, now_s)
            return [ReplicaChange(replica.target_id, replica, "restarted")]
        if previous.state is not replica.state:
            if replica.state is ReplicaState.DRAINING:
                self.record_departure(replica, now_s)
            return [ReplicaChange(replica.target_id, replica, replica.state.value)]
        return []

    def apply_removal(self, target_id: TargetId, now_s: float) -> list[ReplicaChange]:
        """Apply the removal of an entry; return the changes, none during the recovery grace."""
        if target_id not in self.entries:
            return []
        self.record_end(self.entries[target_id].start, now_s)
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

    def shows_start(self, start: TargetStart) -> bool:
        """Return whether the list has this start of a target, and no later one."""
        replica = self.entries.get(start.target_id)
        return replica is not None and replica.start == start

    def ready_replicas(self, service: ServiceName) -> list[Replica]:
        """Return the targets of a service that are ready for new work."""
        return list(self.ready_by_service.get(service, {}).values())

    def has_ready(self, service: ServiceName) -> bool:
        """Return whether a service has a target that is ready for new work."""
        return bool(self.ready_by_service.get(service))

    def apply_engine_services(self, services: frozenset[ServiceName]) -> None:
        """Apply which services are those of model engines; only the configuration says so."""
        if services == self.engine_services:
            return
        self.engine_services = services
        for replica in self.entries.values():
            self.remove_ready(replica)
            self.add_ready(replica)

    def add_ready(self, replica: Replica) -> None:
        """Add an entry to the targets that take new work, if it is one of them.

        An entry without models under the service of an engine is that of another writer.
        """
        is_foreign = replica.service in self.engine_services and not replica.lists_models
        is_ready = replica.state is ReplicaState.READY and not self.is_leaving(replica)
        if is_ready and not is_foreign:
            self.ready_by_service.setdefault(replica.service, {})[replica.target_id] = replica

    def remove_ready(self, replica: Replica | None) -> None:
        """Remove an earlier entry from the targets that take new work."""
        if replica is not None:
            self.ready_by_service.get(replica.service, {}).pop(replica.target_id, None)
