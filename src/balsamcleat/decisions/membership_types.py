"""What membership keeps of probes and suspicions, its rhythm, and which news wins."""

from dataclasses import dataclass

from balsamcleat.model import Member, MemberStatus, VmId
from balsamcleat.model.peer import PeerBody

__all__ = ["MembershipTiming", "OutgoingDatagram", "Probe", "Suspicion", "supersedes"]

# At the same incarnation the worse news wins.
SEVERITY = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 1,
    MemberStatus.SUSPECT: 2,
    MemberStatus.DEAD: 3,
}


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """The rhythm of membership, all in seconds.

    Attributes:
        probe_interval_s: Between two probes of peers in the detail group.
        probe_timeout_s: Until a probe without an answer is tried through others.
        remote_interval_s: Between two messages to peers beyond the detail group.
        dead_interval_s: Between two attempts to reach a dead peer that is still listed.
        suspicion_s: How long a suspect has to refute, in a group of two; grows with the
            logarithm of the group.
        tombstone_s: How long a dead peer is remembered, so that old news can't revive it.
        pause_s: A tick later than this means that this process was paused.
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.2
    remote_interval_s: float = 1.0
    dead_interval_s: float = 2.0
    suspicion_s: float = 2.0
    tombstone_s: float = 600.0
    pause_s: float = 1.5


@dataclass(frozen=True, slots=True)
class OutgoingDatagram:
    """A datagram to send."""

    address: str
    body: PeerBody


@dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspected peer has until then to refute; ``before`` is what it was."""

    until_s: float
    previous_status: MemberStatus


@dataclass(slots=True)
class Probe:
    """A probe that waits for its answer; ``relay`` is set when it is made for another peer."""

    vm_id: VmId
    sent_at_s: float
    is_indirect: bool = False
    relay_for: tuple[str, int] | None = None


def supersedes(member: Member, known: Member) -> bool:
    """Return whether news of a member overrides what is known of it."""
    if member.incarnation != known.incarnation:
        return member.incarnation > known.incarnation
    return SEVERITY[member.status] > SEVERITY[known.status]
