"""Messages about targets that entry VMs exchange within and between availability zones."""

from typing import TypeVar

import msgspec

from balsamcleat.decisions.leaving_tracker import LeavingMark, LeavingSource
from balsamcleat.decoding import decode_msgpack
from balsamcleat.errors import ProtocolError
from balsamcleat.model import LoadReport, ServiceName, TargetId
from balsamcleat.model.zone_digests import ZoneDigest

__all__ = [
    "LeavingMessage",
    "LoadMessage",
    "ZoneMessage",
    "decode_messages",
    "decode_zone_message",
    "encode_messages",
    "encode_zone_message",
    "leaving_mark",
    "leaving_message",
    "load_message",
    "load_report",
    "zone_digest",
]

# Limit of leaving targets in one zone message, so that the message fits into a datagram.
MAX_ZONE_LEAVING_MARKS = 12


class LoadMessage(msgspec.Struct, frozen=True, array_like=True):
    """Load report of one engine, sent on by the VM that requested it."""

    target_id: str
    running: int
    waiting: int
    capacity: int
    cache_percent: int


class LeavingMessage(msgspec.Struct, frozen=True, array_like=True):
    """Notification that a target is leaving."""

    target_id: str
    source: LeavingSource
    age_ms: int


class DigestMessage(msgspec.Struct, frozen=True, array_like=True):
    """Capacity and load of one service in an availability zone."""

    service: str
    targets: int
    capacity: int
    load: int


class ZoneMessage(msgspec.Struct, frozen=True, array_like=True):
    """Summary that an availability zone sends to the others.

    Attributes:
        digests: Capacity and load of each service in the zone.
        leaving: Targets of the zone that are leaving.
    """

    digests: list[DigestMessage]
    leaving: list[LeavingMessage]


Message = TypeVar("Message", LoadMessage, LeavingMessage)


def encode_messages(messages: list[LoadMessage] | list[LeavingMessage]) -> bytes:
    """Return messages encoded as the payload of a notice."""
    return msgspec.msgpack.encode(messages)


def decode_messages(payload: bytes, message_type: type[Message]) -> list[Message]:
    """Return the messages in the payload of a notice.

    Raises:
        ProtocolError: The payload does not contain messages of the type.
    """
    try:
        return decode_msgpack(payload, list[message_type])  # type: ignore[valid-type]
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error), step="targets.news") from error


def load_message(target_id: TargetId, load: LoadReport) -> LoadMessage:
    """Return the message for a load report."""
    percent = int(100 * load.cache_used)
    return LoadMessage(target_id, load.running, load.waiting, load.capacity, percent)


def load_report(message: LoadMessage) -> LoadReport:
    """Return the load report in a message."""
    return LoadReport(
        message.running, message.waiting, message.capacity, message.cache_percent / 100, 0.0
    )


def leaving_message(mark: LeavingMark) -> LeavingMessage:
    """Return the message for a leaving mark."""
    return LeavingMessage(mark.target_id, mark.source, int(mark.age_s * 1000))


def leaving_mark(message: LeavingMessage) -> LeavingMark:
    """Return the leaving mark in a message."""
    return LeavingMark(TargetId(message.target_id), message.source, message.age_ms / 1000)


def encode_zone_message(digests: tuple[ZoneDigest, ...], marks: tuple[LeavingMark, ...]) -> bytes:
    """Return the encoded summary of an availability zone."""
    message = ZoneMessage(
        [
            DigestMessage(
                digest.service, digest.targets, round(digest.capacity), round(digest.load)
            )
            for digest in digests
        ],
        [leaving_message(mark) for mark in marks[:MAX_ZONE_LEAVING_MARKS]],
    )
    return msgspec.msgpack.encode(message)


def decode_zone_message(payload: bytes) -> ZoneMessage:
    """Return the summary of an availability zone; an empty payload has no entries.

    Raises:
        ProtocolError: The payload is not the summary of a zone.
    """
    if not payload:
        return ZoneMessage([], [])
    try:
        return decode_msgpack(payload, ZoneMessage)
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error), step="targets.zone") from error


def zone_digest(message: DigestMessage) -> ZoneDigest:
    """Return the zone digest in a message."""
    return ZoneDigest(
        ServiceName(message.service), message.targets, float(message.capacity), float(message.load)
    )
