"""Detect dead VMs by the heartbeat rows that they renew in the store.

VMs do not compare clocks: a VM is dead once its row stayed unchanged for ``VM_DEAD_AFTER_S`` on the
observer's own clock while the store was available to the observer. A row of the same VM with a
different boot identifier means that the earlier process is dead.

A VM whose heartbeats are late is not dead if it answers its peers and reaches the store. What it
runs would be interrupted and partly repeated by another VM, so its peers ask it first.
"""

from dataclasses import dataclass, field

from balsamcleat.decisions.limit_parts import LimitReport
from balsamcleat.decisions.published_usage import PublishedUsage
from balsamcleat.decisions.true_time import ClockVote

__all__ = ["MAX_EXCUSED_SILENCE_S", "VM_DEAD_AFTER_S", "VmFailureDetector", "VmRow"]

# VMs renew their rows several times within this time. A step is due after some seconds, so most
# of that time must remain after a dead owner is detected.
VM_DEAD_AFTER_S = 1.7
# Maximum time counted between two reads, so that an observer that was paused doesn't consider all
# other VMs dead.
MAX_COUNTED_GAP_S = 0.8
# A VM without heartbeats for this long is replaced even if it answers its peers.
MAX_EXCUSED_SILENCE_S = 8.0


@dataclass(frozen=True, slots=True)
class VmRow:
    """Heartbeat row of a VM as read from the store.

    Attributes:
        vm: Name of the VM.
        boot: Identifier of the process start; different for each start.
        address: Peer address of the VM.
        zone: Availability zone of the VM.
        version: Version of the row.
        leaving: Whether the VM accepts no new steps.
        limits: What the VM publishes about the limits of targets.
        usage: Counts of requests that the VM publishes, or None.
        clock: What the VM publishes about its wall clock, or None.
    """

    vm: str
    boot: str
    address: str
    zone: str
    version: int
    leaving: bool = False
    limits: LimitReport = field(default_factory=LimitReport)
    usage: PublishedUsage | None = None
    clock: ClockVote | None = None


@dataclass(slots=True)
class RowObservation:
    """Row as of its last change, and the time for which it has been unchanged, in seconds."""

    row: VmRow
    unchanged_s: float


class VmFailureDetector:
    """Failure detector for VMs, fed with reads of all heartbeat rows at any rate."""

    def __init__(self) -> None:
        self.observations: dict[str, RowObservation] = {}
        self.read_at_s: float | None = None
        # Number of started reads, and the number of the last read that was applied.
        self.started_reads = 0
        self.last_applied_read = 0

    def begin_read(self) -> None:
        """Record the start of a read, which returns everything that was written before."""
        self.started_reads += 1

    def has_read_since(self, read_number: int) -> bool:
        """Return whether a read was applied that started after the given number of reads."""
        return self.last_applied_read > read_number

    def apply_read(self, rows: list[VmRow], now_s: float) -> None:
        """Apply a complete read of all rows."""
        elapsed_s = (
            0.0 if self.read_at_s is None else min(MAX_COUNTED_GAP_S, now_s - self.read_at_s)
        )
        self.read_at_s = now_s
        self.last_applied_read = self.started_reads
        observations = {}
        for row in rows:
            known = self.observations.get(row.vm)
            if known is None or known.row.version != row.version:
                observations[row.vm] = RowObservation(row, 0.0)
            else:
                known.unchanged_s += elapsed_s
                observations[row.vm] = known
        self.observations = observations

    def reset(self) -> None:
        """Restart all timeouts after a store outage, during which no renewal could be observed."""
        self.read_at_s = None
        for observation in self.observations.values():
            observation.unchanged_s = 0.0

    def is_dead(self, vm: str, boot: str) -> bool:
        """Return whether the given process of a VM is known to be dead."""
        if self.read_at_s is None:
            return False
        observation = self.observations.get(vm)
        if observation is None or observation.row.boot != boot:
            return True
        return observation.unchanged_s >= VM_DEAD_AFTER_S

    def accepts_steps(self, vm: str, boot: str) -> bool:
        """Return whether the given process of a VM is alive and accepts new steps."""
        observation = self.observations.get(vm)
        if observation is None or observation.row.leaving:
            return False
        return not self.is_dead(vm, boot)

    def silent_process(self, vm: str, boot: str) -> VmRow | None:
        """Return the row of a process that may only be late with its heartbeats.

        Returns:
            The row; None if the process has certainly ended or has been silent for too long.
        """
        observation = self.observations.get(vm)
        if observation is None or observation.row.boot != boot:
            return None
        return observation.row if observation.unchanged_s < MAX_EXCUSED_SILENCE_S else None

    def unchanged_s(self, vm: str) -> float:
        """Return how long a VM's row has been unchanged, in seconds."""
        observation = self.observations.get(vm)
        return 0.0 if observation is None else observation.unchanged_s

    def live_rows(self) -> list[VmRow]:
        """Return the rows of the VMs that are alive."""
        return [
            observation.row
            for observation in self.observations.values()
            if observation.unchanged_s < VM_DEAD_AFTER_S
        ]
