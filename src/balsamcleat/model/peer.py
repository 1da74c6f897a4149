"""Messages between entry VMs, independent of their wire encoding."""

from dataclasses import dataclass

from balsamcleat.model.ids import ConfigurationVersion, VmId, ZoneName
from balsamcleat.model.members import Member

__all__ = [
    "ConfigurationBodies",
    "ConfigurationBody",
    "ConfigurationDigest",
    "ConfigurationRequest",
    "ForwardReply",
    "ForwardRequest",
    "Heartbeat",
    "HeartbeatAck",
    "IndirectProbe",
    "Notice",
    "PeerBody",
    "PeerMessage",
    "SyncReply",
    "SyncRequest",
    "ZoneSummary",
]


@dataclass(frozen=True, slots=True)
class ConfigurationDigest:
    """Version and digest of the newest configuration that the sender has applied."""

    version: ConfigurationVersion
    digest: str


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """A summary of an availability zone, created by one VM of the zone.

    Attributes:
        zone: Availability zone that the summary describes.
        age_ms: Age of the summary when it was sent, in milliseconds, accumulated over all hops.
            An age is sent because clocks of different VMs are never compared.
        alive: Number of entry VMs that are alive in the zone.
        payload: Encoded load digest of the zone, opaque to the peer protocol.
    """

    zone: ZoneName
    age_ms: int
    alive: int
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A probe that also carries membership updates.

    Attributes:
        probe: Number that the acknowledgement repeats.
        members: Membership updates, with the sender's own entry first.
        configuration: Newest configuration that the sender has applied.
        zones: Zone summaries, for peers in other availability zones.
    """

    probe: int
    members: tuple[Member, ...]
    configuration: ConfigurationDigest
    zones: tuple[ZoneSummary, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The acknowledgement of a heartbeat, with the same fields."""

    probe: int
    members: tuple[Member, ...]
    configuration: ConfigurationDigest
    zones: tuple[ZoneSummary, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks the receiver to probe another VM and to relay the acknowledgement."""

    probe: int
    probed_vm_id: str


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Asks for all members that the receiver knows individually and carries the sender's own."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Answers a ``SyncRequest`` with the members that the sender knows individually."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Notice:
    """A message that is broadcast to the peers of the availability zone.

    Attributes:
        kind: Name of the handler that processes the message.
        payload: Encoded message, in the format of that handler.
    """

    kind: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Asks for the configurations with a version above ``after``."""

    after: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class ConfigurationBody:
    """A configuration version with its encoded history record."""

    version: ConfigurationVersion
    record: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationBodies:
    """Answers a ``ConfigurationRequest`` with configurations, oldest first."""

    bodies: tuple[ConfigurationBody, ...]


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """A request that is forwarded to the peer responsible for it.

    Attributes:
        kind: Name of the handler that processes the request.
        payload: Encoded request, in the format of that handler.
    """

    kind: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """The reply to a ``ForwardRequest``; ``error`` is empty if the request succeeded."""

    payload: bytes
    error: str = ""


PeerBody = (
    Heartbeat
    | HeartbeatAck
    | IndirectProbe
    | SyncRequest
    | SyncReply
    | Notice
    | ConfigurationRequest
    | ConfigurationBodies
    | ForwardRequest
    | ForwardReply
)


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message body with its sender and sequence number.

    Attributes:
        sender: Id of the sending VM.
        incarnation: Incarnation of the sender.
        sequence: Number that increases with each message of the incarnation.
        body: Content of the message.
    """

    sender: VmId
    incarnation: int
    sequence: int
    body: PeerBody
