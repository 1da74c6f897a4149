"""Tell a target that has ended from one that this VM alone can't reach, and choose the way to it.

Load pattern: some VMs, up to most or all of a zone, lose their links to some or all targets for
seconds, while callers, the store and the other VMs still reach them. Such a VM sees what it would
see if the targets had crashed. Other VMs know better: they are asked, and those that reach a target
pass requests on to it.
"""

from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.decisions.vm_watch import VmRow

__all__ = ["TargetCondition", "TargetPath", "judge_target"]

# A target that answered this VM within this time is reached.
ANSWER_LIFETIME_S = 1.0
# The result of a check is used for this long.
CHECK_LIFETIME_S = 0.3
# A target that is not reached is checked again after this time.
RECHECK_INTERVAL_S = 0.5


class TargetCondition(Enum):
    """What this VM knows of a target by its own connections and by what other VMs say."""

    REACHED = "reached"
    # Other VMs reach it, so this VM has lost its link.
    LINK_LOST = "link lost"
    # No VM reaches it, and one of them reaches another target of its service.
    ENDED = "ended"
    # No VM reaches it, and none shows that its links to the service hold.
    UNKNOWN = "unknown"


def judge_target(
    *, connects: bool, has_peers: bool, has_relay: bool, has_witness: bool
) -> TargetCondition:
    """Return the condition of a target.

    Args:
        connects: Whether this VM could open a connection to the target.
        has_peers: Whether there are other VMs to ask.
        has_relay: Whether another VM reaches the target.
        has_witness: Whether a VM that doesn't reach the target reaches another one of its service.
    """
    if connects:
        return TargetCondition.REACHED
    if has_relay:
        return TargetCondition.LINK_LOST
    if has_witness or not has_peers:
        return TargetCondition.ENDED
    return TargetCondition.UNKNOWN


@dataclass(slots=True)
class TargetPath:
    """This VM's way to one start of a target; times are on the process clock, in seconds.

    Attributes:
        started_ms: Start time of the target, in milliseconds since the Unix epoch.
        answered_at_s: Time of the target's last direct answer.
        checked_at_s: Time of the last check.
        is_suspected: Whether a request got no answer since the last check.
        condition: Condition of the target at the last check.
        relays: VMs that reach the target, while this VM does not.
        missed_at_s: Time at which the target took no connection that another VM had asked for.
    """

    started_ms: int = 0
    answered_at_s: float = float("-inf")
    checked_at_s: float = float("-inf")
    is_suspected: bool = False
    condition: TargetCondition = TargetCondition.REACHED
    relays: list[VmRow] = field(default_factory=list)
    missed_at_s: float = float("-inf")

    def record_answer(self, now_s: float) -> None:
        """Record a direct answer of the target."""
        self.answered_at_s = now_s
        self.is_suspected = False

    def record_check(self, condition: TargetCondition, relays: list[VmRow], now_s: float) -> None:
        """Record the result of a check."""
        self.checked_at_s = now_s
        self.is_suspected = False
        self.condition = condition
        self.relays = relays

    def has_answered_lately(self, now_s: float) -> bool:
        """Return whether the target answered so recently that it need not be checked."""
        return now_s - self.answered_at_s < ANSWER_LIFETIME_S

    def has_fresh_check(self, now_s: float) -> bool:
        """Return whether the result of the last check can still be used."""
        return now_s - self.checked_at_s < CHECK_LIFETIME_S

    def is_known(self, now_s: float) -> bool:
        """Return whether another VM's question can be answered without a connection."""
        return (
            self.has_answered_lately(now_s)
            or self.has_fresh_check(now_s)
            or now_s - self.missed_at_s < RECHECK_INTERVAL_S
        )

    def is_check_due(self, now_s: float) -> bool:
        """Return whether the target is to be checked now."""
        if self.is_suspected:
            return not self.has_fresh_check(now_s)
        is_reached = self.condition is TargetCondition.REACHED
        return not is_reached and now_s - self.checked_at_s >= RECHECK_INTERVAL_S
