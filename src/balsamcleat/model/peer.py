"""Typed messages between entry VMs, independent of their encoding."""

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
    """The newest configuration that the sender has in force."""

    version: ConfigurationVersion
    digest: str


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """What one node of a zone says of the whole zone.

    Attributes:
        zone: The availability zone.
        age_ms: How old it was when sent, in milliseconds, added up over all hops; clocks of
            different VMs are never compared.
        alive: Entry VMs alive in the zone.
        payload: The zone's load digest, opaque to the peers' wire.
    """

    zone: ZoneName
    age_ms: int
    alive: int
    payload: bytes = b""


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A probe that carries what the sender believes of some members.

    Attributes:
        probe: Number that the answer repeats.
        members: News of members, the sender's own entry first.
        configuration: The sender's newest configuration.
        zones: Summaries of zones, for peers in other zones.
    """

    probe: int
    members: tuple[Member, ...]
    configuration: ConfigurationDigest
    zones: tuple[ZoneSummary, ...] = ()


@dataclass(frozen=True, slots=True)
class HeartbeatAck:
    """The answer to a heartbeat, with the same cargo."""

    probe: int
    members: tuple[Member, ...]
    configuration: ConfigurationDigest
    zones: tuple[ZoneSummary, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Asks the receiver to probe ``target`` and to pass the answer on."""

    probe: int
    probed_vm_id: str


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Asks for all members that the receiver knows in detail, with the asker's own view."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Answers ``SyncRequest``."""

    members: tuple[Member, ...]


@dataclass(frozen=True, slots=True)
class Notice:
    """News for every peer of the zone; ``kind`` names the handler, the payload is its own."""

    kind: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Asks for the configurations above ``after``."""

    after: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class ConfigurationBody:
    """One numbered configuration as its encoded history record."""

    version: ConfigurationVersion
    record: bytes


@dataclass(frozen=True, slots=True)
class ConfigurationBodies:
    """Answers ``ConfigurationRequest``, oldest first."""

    bodies: tuple[ConfigurationBody, ...]


@dataclass(frozen=True, slots=True)
class ForwardRequest:
    """Work handed to the peer that owns it; ``kind`` names the handler."""

    kind: str
    payload: bytes


@dataclass(frozen=True, slots=True)
class ForwardReply:
    """The owner's answer; ``error`` is empty when it succeeded."""

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
    """A message with its sender.

    Attributes:
        sender: The sending VM.
        incarnation: The sender's incarnation.
        sequence: Grows with each message of an incarnation.
        body: What it says.
    """

    sender: VmId
    incarnation: int
    sequence: int
    body: PeerBody
