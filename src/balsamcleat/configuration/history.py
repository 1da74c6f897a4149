"""Numbered configurations and the chain of digests that ties them together."""

import hashlib
from dataclasses import dataclass, field

import msgspec

from balsamcleat.configuration.document import EMPTY_DOCUMENT, Delta, Document
from balsamcleat.configuration.schema import Configuration
from balsamcleat.configuration.view import apply_delta, decode_document, encode_document
from balsamcleat.errors import ProtocolError

__all__ = [
    "EMPTY_CONFIGURATION",
    "ChangeRecord",
    "NumberedConfiguration",
    "RecordHead",
    "SnapshotRecord",
    "apply_change",
    "decode_and_verify",
    "decode_record_head",
    "decode_stored_record",
    "encode_snapshot",
    "initial_configuration",
    "next_configuration",
    "verify_snapshot",
]


class RecordHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the digest of a numbered configuration covers.

    The digest is taken over the encoded head as it was written, so a later release may add fields
    without keeping an older one from verifying the chain.

    Attributes:
        version: Its number.
        previous_digest: Digest of the head before.
        content_digest: Digest of the whole document.
        patch: The operator's JSON Patch, as JSON text.
        author: Who submitted it.
        reason: Why.
        at_s: When it was accepted, in seconds since the Unix epoch.
        operation_id: The submission, for looking up a lost answer.
        forced: Whether its author acknowledged dangers.
    """

    version: int
    previous_digest: str
    content_digest: str
    patch: str = "[]"
    author: str = ""
    reason: str = ""
    at_s: float = 0.0
    operation_id: str = ""
    forced: bool = False


class ChangeRecord(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="change"):
    """A numbered configuration as the entries that it changed."""

    head: msgspec.Raw
    put: dict[str, msgspec.Raw] = {}
    removed: tuple[str, ...] = ()


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="snapshot"):
    """A numbered configuration as all its entries."""

    head: msgspec.Raw
    entries: dict[str, msgspec.Raw]


@dataclass(frozen=True, slots=True, kw_only=True)
class NumberedConfiguration:
    """One accepted configuration with its place in the history.

    Attributes:
        version: Its number.
        digest: Digest of its head, which names the digests of its contents and of the head before.
        previous_digest: Digest of the head before.
        body: The typed view of the whole configuration.
        patch: The JSON Patch that made it, as JSON text.
        author: Who submitted it.
        reason: Why.
        at_s: When it was accepted, in seconds since the Unix epoch.
        operation_id: The submission, for looking up a lost answer.
        document: The whole configuration as entries.
        head: The encoded head.
        change: The encoded change that made it; empty when only its snapshot is known.
    """

    version: int
    digest: str
    previous_digest: str
    body: Configuration
    patch: str = "[]"
    author: str = ""
    reason: str = ""
    at_s: float = 0.0
    operation_id: str = ""
    # The digest stands for the contents in comparisons.
    document: Document = field(default=EMPTY_DOCUMENT, compare=False, repr=False)
    head: bytes = field(default=b"", repr=False)
    change: bytes = field(default=b"", compare=False, repr=False)


EMPTY_CONFIGURATION = NumberedConfiguration(
    version=0, digest="", previous_digest="", body=Configuration()
)


def build_numbered_configuration(
    raw_head: bytes, document: Document, body: Configuration, change: bytes
) -> NumberedConfiguration:
    """Return the numbered configuration with an encoded head."""
    head = decode_record_head(raw_head)
    return NumberedConfiguration(
        version=head.version,
        digest=hashlib.sha256(raw_head).hexdigest(),
        previous_digest=head.previous_digest,
        body=body,
        patch=head.patch,
        author=head.author,
        reason=head.reason,
        at_s=head.at_s,
        operation_id=head.operation_id,
        document=document,
        head=raw_head,
        change=change,
    )


def decode_record_head(raw_head: bytes) -> RecordHead:
    """Return the decoded head.

    Raises:
        ProtocolError: It is malformed.
    """
    try:
        return msgspec.json.decode(raw_head, type=RecordHead)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ProtocolError(f"not a head: {error}", step="configuration.read") from error


def next_configuration(
    base: NumberedConfiguration,
    delta: Delta,
    *,
    patch: str,
    author: str,
    reason: str,
    at_s: float,
    operation_id: str,
    forced: bool = False,
) -> NumberedConfiguration:
    """Return the numbered configuration that follows ``base`` by a change."""
    document = base.document.with_delta(delta)
    head = RecordHead(
        version=base.version + 1,
        previous_digest=base.digest,
        content_digest=document.digest(),
        patch=patch,
        author=author,
        reason=reason,
        at_s=at_s,
        operation_id=operation_id,
        forced=forced,
    )
    raw_head = msgspec.json.encode(head)
    change = ChangeRecord(
        head=msgspec.Raw(raw_head),
        put={pointer: msgspec.Raw(value) for pointer, value in delta.put.items()},
        removed=delta.removed,
    )
    return build_numbered_configuration(
        raw_head, document, apply_delta(base.body, delta), msgspec.json.encode(change)
    )


def initial_configuration(
    body: Configuration, author: str, reason: str, at_s: float = 0.0
) -> NumberedConfiguration:
    """Return configuration 1 with this body, as an installation writes it."""
    delta = Delta(dict(encode_document(body).entries()))
    return next_configuration(
        EMPTY_CONFIGURATION,
        delta,
        patch="[]",
        author=author,
        reason=reason,
        at_s=at_s,
        operation_id="first",
    )


def decode_stored_record(data: bytes) -> ChangeRecord | SnapshotRecord:
    """Return the record in ``data``, not yet verified.

    Raises:
        ProtocolError: It is malformed.
    """
    try:
        return msgspec.json.decode(data, type=ChangeRecord | SnapshotRecord)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ProtocolError(f"not a configuration: {error}", step="configuration.read") from error


def apply_change(base: NumberedConfiguration, record: ChangeRecord) -> NumberedConfiguration:
    """Return the configuration that follows ``base`` by the change, verified.

    Raises:
        ProtocolError: It does not follow ``base``, or its contents do not fit its digest.
    """
    raw_head = bytes(record.head)
    head = decode_record_head(raw_head)
    if head.version != base.version + 1 or head.previous_digest != base.digest:
        raise ProtocolError(
            f"configuration {head.version} does not follow {base.version}",
            step="configuration.verify",
        )
    delta = Delta({key: bytes(value) for key, value in record.put.items()}, record.removed)
    document = base.document.with_delta(delta)
    verify_contents(head, document)
    return build_numbered_configuration(
        raw_head, document, apply_delta(base.body, delta), msgspec.json.encode(record)
    )


def verify_snapshot(record: SnapshotRecord) -> NumberedConfiguration:
    """Return the configuration in a snapshot, verified.

    Raises:
        ProtocolError: Its contents do not fit its digest.
    """
    raw_head = bytes(record.head)
    document = Document.from_entries({key: bytes(value) for key, value in record.entries.items()})
    verify_contents(decode_record_head(raw_head), document)
    return build_numbered_configuration(raw_head, document, decode_document(document), b"")


def verify_contents(head: RecordHead, document: Document) -> None:
    """Check that a document is the one that the head names.

    Raises:
        ProtocolError: It is not.
    """
    if head.content_digest != document.digest():
        raise ProtocolError(
            f"configuration {head.version} does not match its digest",
            step="configuration.verify",
        )


def encode_snapshot(record: NumberedConfiguration) -> bytes:
    """Return the record as a snapshot."""
    entries = {pointer: msgspec.Raw(value) for pointer, value in record.document.entries()}
    return msgspec.json.encode(SnapshotRecord(head=msgspec.Raw(record.head), entries=entries))


def decode_and_verify(data: bytes) -> NumberedConfiguration:
    """Return the configuration in a snapshot or in the first change, verified.

    Raises:
        ProtocolError: It is malformed or its digest does not fit its contents.
    """
    record = decode_stored_record(data)
    if isinstance(record, SnapshotRecord):
        return verify_snapshot(record)
    return apply_change(EMPTY_CONFIGURATION, record)
