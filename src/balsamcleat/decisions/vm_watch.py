"""Decide which VMs are dead from rows that they renew.

No clock is compared between VMs: a VM is dead once its row stayed unchanged on the observer's own
clock for a whole term during which the store answered the observer. A row with another start of
the process under the same name means that the earlier one is dead.
"""

from dataclasses import dataclass

__all__ = ["VM_DEAD_AFTER_S", "VmFailureDetector", "VmRow"]

# Owners renew several times within it. A step has some seconds until it is due; noticing a dead
# owner must leave most of them.
VM_DEAD_AFTER_S = 1.7
# What passes between two readings counts up to this much, so that an observer that stood still
# doesn't take everyone else for dead.
MAX_COUNTED_GAP_S = 0.8


@dataclass(frozen=True, slots=True)
class VmRow:
    """A VM's row as read.

    Attributes:
        vm: Its name.
        boot: Differs with each start of its process.
        address: Where peers reach it.
        zone: Its availability zone.
        version: The row's version.
        leaving: Whether it takes no new steps.
    """

    vm: str
    boot: str
    address: str
    zone: str
    version: int
    leaving: bool = False


@dataclass(slots=True)
class RowObservation:
    """The row as last seen changed, and how long it has stayed so."""

    row: VmRow
    unchanged_s: float


class VmFailureDetector:
    """Take readings at any pace; ask whether an owner lives."""

    def __init__(self) -> None:
        self.observations: dict[str, RowObservation] = {}
        self.read_at_s: float | None = None
        # Readings begun, and the number of the last one that was taken.
        self.started_reads = 0
        self.last_applied_read = 0

    def begin_read(self) -> None:
        """Take note that a reading begins: it shows what was written before."""
        self.started_reads += 1

    def has_read_since(self, begun: int) -> bool:
        """Return whether a reading was taken that began after so many had begun."""
        return self.last_applied_read > begun

    def apply_read(self, rows: list[VmRow], now_s: float) -> None:
        """Take a full reading."""
        passed_s = 0.0 if self.read_at_s is None else min(MAX_COUNTED_GAP_S, now_s - self.read_at_s)
        self.read_at_s = now_s
        self.last_applied_read = self.started_reads
        seen = {}
        for row in rows:
            known = self.observations.get(row.vm)
            if known is None or known.row.version != row.version:
                seen[row.vm] = RowObservation(row, 0.0)
            else:
                known.unchanged_s += passed_s
                seen[row.vm] = known
        self.observations = seen

    def reset(self) -> None:
        """Take note that the store was away: its silence says nothing of the VMs."""
        self.read_at_s = None
        for sighting in self.observations.values():
            sighting.unchanged_s = 0.0

    def is_dead(self, vm: str, boot: str) -> bool:
        """Return whether a start of a VM's process is over, as far as can be told."""
        if self.read_at_s is None:
            return False
        sighting = self.observations.get(vm)
        if sighting is None or sighting.row.boot != boot:
            return True
        return sighting.unchanged_s >= VM_DEAD_AFTER_S

    def accepts_steps(self, vm: str, boot: str) -> bool:
        """Return whether a start of a VM's process lives and takes new steps."""
        sighting = self.observations.get(vm)
        if sighting is None or sighting.row.leaving:
            return False
        return not self.is_dead(vm, boot)

    def unchanged_s(self, vm: str) -> float:
        """Return how long a VM's row has stayed unchanged, in seconds."""
        sighting = self.observations.get(vm)
        return 0.0 if sighting is None else sighting.unchanged_s

    def live_rows(self) -> list[VmRow]:
        """Return the rows of the VMs that live."""
        return [s.row for s in self.observations.values() if s.unchanged_s < VM_DEAD_AFTER_S]
