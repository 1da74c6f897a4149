"""Encodes and decodes peer messages with Cap'n Proto (serialisation only)."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

import capnp

import balsamcleat.wire
from balsamcleat.errors import ProtocolError
from balsamcleat.model.ids import ConfigurationVersion, VmId, ZoneName
from balsamcleat.model.members import Member, MemberStatus
from balsamcleat.model.peer import (
    ConfigurationBodies,
    ConfigurationBody,
    ConfigurationDigest,
    ConfigurationRequest,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    HeartbeatAck,
    IndirectProbe,
    Notice,
    PeerBody,
    PeerMessage,
    SyncReply,
    SyncRequest,
    ZoneSummary,
)

__all__ = ["FORMAT", "MAX_MESSAGE_BYTES", "decode", "encode"]

FORMAT = 1
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Limit of the words read from a message, because a message may contain cyclic pointers.
TRAVERSAL_LIMIT_WORDS = MAX_MESSAGE_BYTES // 8

SCHEMA = capnp.load(str(Path(balsamcleat.wire.__file__).parent / "peer.capnp"))


def encode(message: PeerMessage) -> bytes:
    """Return an encoded message.

    Args:
        message: Message to encode.
    """
    envelope = SCHEMA.Envelope.new_message(
        format=FORMAT,
        sender=message.sender,
        incarnation=message.incarnation,
        sequence=message.sequence,
    )
    write_body(envelope.body, message.body)
    return bytes(envelope.to_bytes())


def write_body(union: Any, body: PeerBody) -> None:
    """Write the body of a message into the union of its envelope."""
    match body:
        case Heartbeat():
            write_heartbeat(union.init("heartbeat"), body)
        case HeartbeatAck():
            write_heartbeat(union.init("heartbeatAck"), body)
        case IndirectProbe(probe=probe, probed_vm_id=target):
            indirect = union.init("indirectProbe")
            indirect.probe = probe
            indirect.target = target
        case SyncRequest(members=members):
            write_members(union.init("syncAsk", len(members)), members)
        case SyncReply(members=members):
            write_members(union.init("syncReply", len(members)), members)
        case Notice(kind=kind, payload=payload):
            write_kind_and_payload(union.init("notice"), kind, payload)
        case _:
            write_request_or_reply(union, body)


def write_request_or_reply(union: Any, body: PeerBody) -> None:
    """Write a request or a reply into the union of an envelope."""
    match body:
        case ConfigurationRequest(after=after):
            union.configurationAsk = after
        case ConfigurationBodies(bodies=bodies):
            rows = union.init("configurationBodies", len(bodies))
            for row, item in zip(rows, bodies, strict=True):
                row.version = item.version
                row.record = item.record
        case ForwardRequest(kind=kind, payload=payload):
            write_kind_and_payload(union.init("forwardRequest"), kind, payload)
        case ForwardReply(payload=payload, error=error):
            reply = union.init("forwardReply")
            reply.payload = payload
            reply.error = error


def write_kind_and_payload(target: Any, kind: str, payload: bytes) -> None:
    """Write the kind, which selects the handler, and the payload of a message."""
    target.kind = kind
    target.payload = payload


def write_heartbeat(target: Any, body: Heartbeat | HeartbeatAck) -> None:
    """Write a heartbeat or its acknowledgement."""
    target.probe = body.probe
    target.configuration.version = body.configuration.version
    target.configuration.digest = body.configuration.digest
    write_members(target.init("members", len(body.members)), body.members)
    rows = target.init("zones", len(body.zones))
    for row, summary in zip(rows, body.zones, strict=True):
        row.zone = summary.zone
        row.ageMs = summary.age_ms
        row.alive = summary.alive
        row.payload = summary.payload


def write_members(rows: Any, members: tuple[Member, ...]) -> None:
    """Write a list of members."""
    for row, member in zip(rows, members, strict=True):
        row.vmId = member.vm_id
        row.zone = member.zone
        row.peerAddress = member.peer_address
        row.incarnation = member.incarnation
        row.status = member.status.value
        row.configuration = member.configuration


def decode(data: bytes) -> PeerMessage:
    """Return a decoded message.

    Raises:
        ProtocolError: The bytes are not a message of a format known here.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise ProtocolError("the message is too large", step="peer.decode")
    try:
        with SCHEMA.Envelope.from_bytes(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        ) as envelope:
            if envelope.format != FORMAT:
                raise ProtocolError(
                    f"message format {envelope.format} is not known", step="peer.decode"
                )
            return PeerMessage(
                sender=VmId(envelope.sender),
                incarnation=envelope.incarnation,
                sequence=envelope.sequence,
                body=read_body(envelope.body),
            )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise ProtocolError(f"not a peer message: {error}", step="peer.decode") from error


def read_body(union: Any) -> PeerBody:
    """Return the body in the union of an envelope."""
    which = str(union.which())
    reader = READERS.get(which)
    if reader is None:
        raise ProtocolError(f"message kind {which} is not known", step="peer.decode")
    return reader(getattr(union, which))


def read_heartbeat(source: Any) -> Heartbeat:
    """Return a heartbeat."""
    return Heartbeat(
        source.probe,
        read_members(source.members),
        read_digest(source.configuration),
        read_zones(source.zones),
    )


def read_ack(source: Any) -> HeartbeatAck:
    """Return the acknowledgement of a heartbeat."""
    return HeartbeatAck(
        source.probe,
        read_members(source.members),
        read_digest(source.configuration),
        read_zones(source.zones),
    )


def read_digest(source: Any) -> ConfigurationDigest:
    """Return a configuration digest."""
    return ConfigurationDigest(ConfigurationVersion(source.version), source.digest)


def read_zones(rows: Any) -> tuple[ZoneSummary, ...]:
    """Return zone summaries."""
    return tuple(
        ZoneSummary(ZoneName(row.zone), row.ageMs, row.alive, bytes(row.payload)) for row in rows
    )


def read_members(rows: Any) -> tuple[Member, ...]:
    """Return a list of members."""
    return tuple(
        Member(
            vm_id=VmId(row.vmId),
            zone=ZoneName(row.zone),
            peer_address=row.peerAddress,
            incarnation=row.incarnation,
            status=MemberStatus(row.status),
            configuration=ConfigurationVersion(row.configuration),
        )
        for row in rows
    )


def read_bodies(rows: Any) -> ConfigurationBodies:
    """Return the bodies of numbered configurations."""
    return ConfigurationBodies(
        tuple(
            ConfigurationBody(ConfigurationVersion(row.version), bytes(row.record)) for row in rows
        )
    )


READERS: dict[str, Callable[[Any], PeerBody]] = {
    "heartbeat": read_heartbeat,
    "heartbeatAck": read_ack,
    "indirectProbe": lambda source: IndirectProbe(source.probe, source.target),
    "syncAsk": lambda rows: SyncRequest(read_members(rows)),
    "syncReply": lambda rows: SyncReply(read_members(rows)),
    "notice": lambda source: Notice(source.kind, bytes(source.payload)),
    "configurationAsk": lambda after: ConfigurationRequest(ConfigurationVersion(after)),
    "configurationBodies": read_bodies,
    "forwardRequest": lambda source: ForwardRequest(source.kind, bytes(source.payload)),
    "forwardReply": lambda source: ForwardReply(bytes(source.payload), source.error),
}
