"""VMs as the platform lists them and entry VMs as their peers see them."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.model.ids import ConfigurationVersion, VmId, ZoneName

__all__ = ["Member", "MemberStatus", "VmKind", "VmRecord"]


# Stands for a peer that has not announced its configuration version yet.
NO_CONFIGURATION = ConfigurationVersion(0)


class VmKind(Enum):
    """What kind of process a listed VM runs."""

    ENTRY = "entry"
    TARGET = "target"


@dataclass(frozen=True, slots=True)
class VmRecord:
    """An entry of the platform's VM list, which may be outdated.

    Attributes:
        vm_id: Id of the VM.
        kind: Kind of process that the VM runs.
        zone: Availability zone of the VM.
        http_address: Host and port of the VM's HTTP server.
        peer_address: Host and port at which an entry VM receives peer messages; empty for targets.
        leaving: Whether the platform is about to remove the VM.
        service: Service that a target runs; empty for entry VMs.
    """

    vm_id: VmId
    kind: VmKind
    zone: ZoneName
    http_address: str
    peer_address: str = ""
    leaving: bool = False
    service: str = ""


class MemberStatus(Enum):
    """Health of a peer in this VM's membership view."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclass(frozen=True, slots=True)
class Member:
    """A peer in the membership view.

    Attributes:
        vm_id: Id of the peer's VM.
        zone: Availability zone of the peer.
        peer_address: Host and port from which the peer sends heartbeats.
        incarnation: Number that the peer increases whenever its process starts and whenever it
            refutes a suspicion.
        status: Health of the peer.
        configuration: Configuration version that the peer has announced.
    """

    vm_id: VmId
    zone: ZoneName
    peer_address: str
    incarnation: int
    status: MemberStatus
    configuration: ConfigurationVersion = NO_CONFIGURATION
