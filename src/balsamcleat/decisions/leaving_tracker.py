"""Track which targets are leaving and get no new work, from delayed, contradictory sources."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.model import TargetId

__all__ = ["LeavingMark", "LeavingSource", "LeavingTracker"]

# A target that rejects requests as leaving may still stay, for example after a change of role.
# Without another rejection the mark expires and the target gets work again, with a slow start.
REJECTION_MARK_LIFETIME_S = 30.0
# The VM list is read from replicas that lag behind each other, so a single reading without the
# mark proves nothing.
LIST_MARK_LIFETIME_S = 60.0


class LeavingSource(Enum):
    """Source of the information that a target is leaving."""

    VM_LIST = "VM list"
    REFUSAL = "refusal"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """The information from one source that a target is leaving.

    Attributes:
        target_id: Target that is leaving.
        source: Source of the information.
        age_s: Time since the source last reported it, in seconds.
    """

    target_id: TargetId
    source: LeavingSource
    age_s: float


MARK_LIFETIMES_S = {
    LeavingSource.REFUSAL: REJECTION_MARK_LIFETIME_S,
    LeavingSource.VM_LIST: LIST_MARK_LIFETIME_S,
}


class LeavingTracker:
    """Keeps the marks of leaving targets; each mark takes effect at once.

    Only the source of a mark ends it. A drain ends only by the configuration, which is versioned
    and never reverts. The other marks expire when their source has not repeated them for their
    lifetime. Peers can add marks but not remove them, and marks from peers are not forwarded as
    this VM's own, so that no mark is renewed by circulating among VMs.
    """

    def __init__(self) -> None:
        self.drained_targets: frozenset[TargetId] = frozenset()
        self.own_marks: dict[tuple[TargetId, LeavingSource], float] = {}
        self.peer_marks: dict[tuple[TargetId, LeavingSource], float] = {}

    def set_drained(self, targets: frozenset[TargetId]) -> None:
        """Set the targets that the current configuration drains."""
        self.drained_targets = targets

    def record_vm_list(self, leaving: frozenset[TargetId], now_s: float) -> None:
        """Record the leaving targets of a reading of the VM list."""
        for target_id in leaving:
            self.own_marks[(target_id, LeavingSource.VM_LIST)] = now_s

    def record_rejection(self, target_id: TargetId, now_s: float) -> None:
        """Record that a target rejected a request because the target is leaving."""
        self.own_marks[(target_id, LeavingSource.REFUSAL)] = now_s

    def record_peer_marks(self, marks: tuple[LeavingMark, ...], now_s: float) -> None:
        """Record the marks of a peer."""
        for mark in marks:
            mark_key = (mark.target_id, mark.source)
            self.peer_marks[mark_key] = max(
                self.peer_marks.get(mark_key, float("-inf")), now_s - mark.age_s
            )

    def current_own_marks(self, now_s: float) -> tuple[LeavingMark, ...]:
        """Return the marks that this VM recorded itself, for its peers."""
        self.remove_expired(now_s)
        return tuple(
            LeavingMark(target_id, source, now_s - reported_at_s)
            for (target_id, source), reported_at_s in self.own_marks.items()
        )

    def all_marks(self, now_s: float) -> tuple[LeavingMark, ...]:
        """Return all marks, including those of peers; their ages keep them from being renewed."""
        self.remove_expired(now_s)
        return tuple(
            LeavingMark(target_id, source, now_s - reported_at_s)
            for (target_id, source), reported_at_s in {**self.peer_marks, **self.own_marks}.items()
        )

    def remove_expired(self, now_s: float) -> None:
        """Remove the marks that were not repeated for their lifetime."""
        for marks in (self.own_marks, self.peer_marks):
            for key, reported_at_s in list(marks.items()):
                if now_s - reported_at_s > MARK_LIFETIMES_S[key[1]]:
                    del marks[key]

    def leaving_targets(self, now_s: float) -> frozenset[TargetId]:
        """Return the targets that get no new work now because they are leaving."""
        self.remove_expired(now_s)
        marked = {
            target_id for marks in (self.own_marks, self.peer_marks) for target_id, _ in marks
        }
        return self.drained_targets | marked
