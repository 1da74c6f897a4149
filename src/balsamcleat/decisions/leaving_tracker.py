"""Decide whether a target takes new work, from sources that disagree and lag."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.model import TargetId

__all__ = ["LeavingMark", "LeavingSource", "LeavingTracker"]

# A target that refuses as leaving may yet stay, such as after a change of role; without
# another refusal the mark lapses and work comes back slowly.
REJECTION_MARK_LIFETIME_S = 30.0
# The list is read from replicas that lag behind each other, so that one reading without the
# mark proves nothing.
LIST_MARK_LIFETIME_S = 60.0


class LeavingSource(Enum):
    """How it became known that a target leaves."""

    VM_LIST = "VM list"
    REFUSAL = "refusal"
    DRAIN = "drain"


@dataclass(frozen=True, slots=True)
class LeavingMark:
    """One source's word that a target leaves.

    Attributes:
        target_id: The target.
        source: Who said so.
        age_s: Seconds since the source last said so.
    """

    target_id: TargetId
    source: LeavingSource
    age_s: float


MARK_LIFETIMES_S = {
    LeavingSource.REFUSAL: REJECTION_MARK_LIFETIME_S,
    LeavingSource.VM_LIST: LIST_MARK_LIFETIME_S,
}


class LeavingTracker:
    """Any source makes a target leave at once; only its own source, in time, brings it back.

    A drain is lifted by the configuration alone, which has a version and never reverts. The
    other marks lapse when their source has been silent for long. Peers can add marks, never
    take them away, and what came from a peer isn't passed on, so that no mark keeps itself
    alive by going round.
    """

    def __init__(self) -> None:
        self.drained_targets: frozenset[TargetId] = frozenset()
        self.own_marks: dict[tuple[TargetId, LeavingSource], float] = {}
        self.peer_marks: dict[tuple[TargetId, LeavingSource], float] = {}

    def set_drained(self, targets: frozenset[TargetId]) -> None:
        """Take the targets that the configuration in force drains."""
        self.drained_targets = targets

    def record_vm_list(self, leaving: frozenset[TargetId], now_s: float) -> None:
        """Take a reading of the VM list."""
        for target_id in leaving:
            self.own_marks[(target_id, LeavingSource.VM_LIST)] = now_s

    def record_rejection(self, target_id: TargetId, now_s: float) -> None:
        """Take note of a target's own refusal as leaving."""
        self.own_marks[(target_id, LeavingSource.REFUSAL)] = now_s

    def record_peer_marks(self, marks: tuple[LeavingMark, ...], now_s: float) -> None:
        """Take a peer's marks."""
        for mark in marks:
            key = (mark.target_id, mark.source)
            self.peer_marks[key] = max(self.peer_marks.get(key, float("-inf")), now_s - mark.age_s)

    def current_own_marks(self, now_s: float) -> tuple[LeavingMark, ...]:
        """Return what this node knows at first hand, for its peers."""
        self.remove_expired(now_s)
        return tuple(
            LeavingMark(target_id, source, now_s - said_s)
            for (target_id, source), said_s in self.own_marks.items()
        )

    def all_marks(self, now_s: float) -> tuple[LeavingMark, ...]:
        """Return all marks, also those of peers; their ages keep them from being renewed."""
        self.remove_expired(now_s)
        return tuple(
            LeavingMark(target_id, source, now_s - said_s)
            for (target_id, source), said_s in {**self.peer_marks, **self.own_marks}.items()
        )

    def remove_expired(self, now_s: float) -> None:
        """Drop marks whose source has been silent for long."""
        for marks in (self.own_marks, self.peer_marks):
            for key, said_s in list(marks.items()):
                if now_s - said_s > MARK_LIFETIMES_S[key[1]]:
                    del marks[key]

    def leaving_targets(self, now_s: float) -> frozenset[TargetId]:
        """Return the targets that get no new work now."""
        self.remove_expired(now_s)
        marked = {
            target_id for marks in (self.own_marks, self.peer_marks) for target_id, _ in marks
        }
        return self.drained_targets | marked
