"""What entry VMs of a zone tell each other about targets, and zones about themselves."""

from typing import TypeVar

import msgspec

from balsamcleat.decisions.leaving_tracker import LeavingMark, LeavingSource
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

# Marks in one summary, to stay inside a datagram.
MAX_ZONE_LEAVING_MARKS = 12


class LoadMessage(msgspec.Struct, frozen=True, array_like=True):
    """One engine's load report, passed on by the node that asked for it."""

    target_id: str
    running: int
    waiting: int
    capacity: int
    cache_percent: int


class LeavingMessage(msgspec.Struct, frozen=True, array_like=True):
    """One mark that a target leaves."""

    target_id: str
    source: LeavingSource
    age_ms: int


class DigestMessage(msgspec.Struct, frozen=True, array_like=True):
    """One service's digest of a zone."""

    service: str
    targets: int
    capacity: int
    load: int


class ZoneMessage(msgspec.Struct, frozen=True, array_like=True):
    """What a zone tells the others: its load by service, and which of its targets leave."""

    digests: list[DigestMessage]
    leaving: list[LeavingMessage]


Message = TypeVar("Message", LoadMessage, LeavingMessage)


def encode_messages(messages: list[LoadMessage] | list[LeavingMessage]) -> bytes:
    """Return the payload of a notice."""
    return msgspec.msgpack.encode(messages)


def decode_messages(payload: bytes, message_type: type[Message]) -> list[Message]:
    """Return the news in a payload.

    Raises:
        ProtocolError: The payload is not of the kind.
    """
    try:
        return msgspec.msgpack.decode(payload, type=list[message_type])  # type: ignore[valid-type]
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error), step="targets.news") from error


def load_message(target_id: TargetId, load: LoadReport) -> LoadMessage:
    """Return a report as news."""
    percent = int(100 * load.cache_used)
    return LoadMessage(target_id, load.running, load.waiting, load.capacity, percent)


def load_report(message: LoadMessage) -> LoadReport:
    """Return news as a report."""
    return LoadReport(
        message.running, message.waiting, message.capacity, message.cache_percent / 100, 0.0
    )


def leaving_message(mark: LeavingMark) -> LeavingMessage:
    """Return a mark as news."""
    return LeavingMessage(mark.target_id, mark.source, int(mark.age_s * 1000))


def leaving_mark(message: LeavingMessage) -> LeavingMark:
    """Return news as a mark."""
    return LeavingMark(TargetId(message.target_id), message.source, message.age_ms / 1000)


def encode_zone_message(digests: tuple[ZoneDigest, ...], marks: tuple[LeavingMark, ...]) -> bytes:
    """Return the payload of a zone's summary."""
    message = ZoneMessage(
        [
            DigestMessage(one.service, one.targets, round(one.capacity), round(one.load))
            for one in digests
        ],
        [leaving_message(mark) for mark in marks[:MAX_ZONE_LEAVING_MARKS]],
    )
    return msgspec.msgpack.encode(message)


def decode_zone_message(payload: bytes) -> ZoneMessage:
    """Return the news in a zone's summary; empty payloads have none.

    Raises:
        ProtocolError: The payload is not one of a zone.
    """
    if not payload:
        return ZoneMessage([], [])
    try:
        return msgspec.msgpack.decode(payload, type=ZoneMessage)
    except msgspec.DecodeError as error:
        raise ProtocolError(str(error), step="targets.zone") from error


def zone_digest(message: DigestMessage) -> ZoneDigest:
    """Return news as a digest."""
    return ZoneDigest(
        ServiceName(message.service), message.targets, float(message.capacity), float(message.load)
    )
