"""Types of the membership protocol: timing, datagrams, probes and suspicions."""

from dataclasses import dataclass

from balsamcleat.model import Member, MemberStatus, VmId
from balsamcleat.model.peer import PeerBody

__all__ = ["MembershipTiming", "OutgoingDatagram", "Probe", "Suspicion", "supersedes"]

# At the same incarnation the more severe status wins.
SEVERITY = {
    MemberStatus.ALIVE: 0,
    MemberStatus.LEAVING: 1,
    MemberStatus.SUSPECT: 2,
    MemberStatus.DEAD: 3,
}


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Intervals and timeouts of the membership protocol, in seconds.

    Attributes:
        probe_interval_s: Interval between two probes of peers in the probe group.
        probe_timeout_s: Time after which an unanswered probe is repeated through other peers.
        remote_interval_s: Interval between two messages to peers of other zones.
        dead_interval_s: Interval between two attempts to reach a dead peer that is still listed.
        suspicion_s: Time that a suspected peer has to refute, in a group of two; grows with the
            logarithm of the group size.
        tombstone_s: Time for which a dead peer is remembered, so that outdated updates can't
            revive it.
        pause_s: Interval between two ticks from which on this process counts as paused.
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
    """Suspicion of a peer.

    Attributes:
        until_s: Time until which the peer can refute the suspicion, in seconds.
        previous_status: Status of the peer before the suspicion.
    """

    until_s: float
    previous_status: MemberStatus


@dataclass(slots=True)
class Probe:
    """Probe that awaits its ack.

    Attributes:
        vm_id: Probed peer.
        sent_at_s: Time at which the probe was sent, in seconds.
        is_indirect: Whether other peers were asked to probe as well.
        relay_for: Address and probe number of the peer that requested the probe, or None if this
            VM probes for itself.
    """

    vm_id: VmId
    sent_at_s: float
    is_indirect: bool = False
    relay_for: tuple[str, int] | None = None


def supersedes(member: Member, known: Member) -> bool:
    """Return whether a member update supersedes the known entry."""
    if member.incarnation != known.incarnation:
        return member.incarnation > known.incarnation
    return SEVERITY[member.status] > SEVERITY[known.status]
