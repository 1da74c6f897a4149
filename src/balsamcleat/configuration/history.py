"""Numbered configurations, linked by a hash chain, and their stored records."""

import hashlib
from dataclasses import dataclass, field

import msgspec

from balsamcleat.configuration.document import EMPTY_DOCUMENT, Delta, Document
from balsamcleat.configuration.schema import Configuration
from balsamcleat.configuration.view import apply_delta, decode_document, encode_document
from balsamcleat.decoding import decode_json
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
    """Metadata of a numbered configuration, over which its digest is computed.

    The digest covers the encoded head as written, so that an older release can verify the chain
    after a newer release adds fields.

    Attributes:
        version: Number of the configuration.
        previous_digest: Digest of the preceding configuration's head.
        content_digest: Digest of the complete document.
        patch: The operator's JSON Patch, as JSON text.
        author: Name of the operator who submitted the patch.
        reason: Reason that the author gave for the patch.
        at_s: Time of acceptance, in seconds since the Unix epoch.
        operation_id: Id of the submission, used to look up its outcome if the response was lost.
        forced: Whether the author acknowledged the dangerous effects of the patch.
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
    """Stored form of a numbered configuration: the entries that it changed."""

    head: msgspec.Raw
    put: dict[str, msgspec.Raw] = {}
    removed: tuple[str, ...] = ()


class SnapshotRecord(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag="snapshot"):
    """Stored form of a numbered configuration: all of its entries."""

    head: msgspec.Raw
    entries: dict[str, msgspec.Raw]


@dataclass(frozen=True, slots=True, kw_only=True)
class NumberedConfiguration:
    """An accepted configuration and its position in the version history.

    Attributes:
        version: Number of the configuration.
        digest: Digest of the head, which contains the digests of the document and of the preceding
            head.
        previous_digest: Digest of the preceding configuration's head.
        body: Typed view of the complete configuration.
        patch: The JSON Patch that produced this configuration, as JSON text.
        author: Name of the operator who submitted the patch.
        reason: Reason that the author gave for the patch.
        at_s: Time of acceptance, in seconds since the Unix epoch.
        operation_id: Id of the submission, used to look up its outcome if the response was lost.
        document: The complete configuration as JSON entries.
        head: The encoded ``RecordHead``.
        change: The encoded ``ChangeRecord`` that produced this configuration; empty if it was
            loaded from a snapshot.
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
    # Excluded from comparisons, because equal digests imply equal documents.
    document: Document = field(default=EMPTY_DOCUMENT, compare=False, repr=False)
    head: bytes = field(default=b"", repr=False)
    change: bytes = field(default=b"", compare=False, repr=False)


EMPTY_CONFIGURATION = NumberedConfiguration(
    version=0, digest="", previous_digest="", body=Configuration()
)


def build_numbered_configuration(
    raw_head: bytes, document: Document, body: Configuration, change: bytes
) -> NumberedConfiguration:
    """Build a numbered configuration from an encoded head and the contents."""
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
    """Decode the head of a configuration record.

    Raises:
        ProtocolError: The head is malformed.
    """
    try:
        return decode_json(raw_head, RecordHead)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f"malformed configuration head: {error}", step="configuration.read"
        ) from error


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
    """Return the numbered configuration that results from applying a change to ``base``."""
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
    """Return configuration 1, which an installation writes, with the given body."""
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
    """Decode a stored record without verifying its digest.

    Raises:
        ProtocolError: The record is malformed.
    """
    try:
        return decode_json(data, ChangeRecord | SnapshotRecord)
    except msgspec.DecodeError as error:
        raise ProtocolError(
            f"malformed configuration record: {error}", step="configuration.read"
        ) from error


def apply_change(base: NumberedConfiguration, record: ChangeRecord) -> NumberedConfiguration:
    """Apply a change record to ``base`` and verify the result.

    Raises:
        ProtocolError: The record does not follow ``base``, or the resulting document does not match
            the record's digest.
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
    """Verify a snapshot and return its configuration.

    Raises:
        ProtocolError: The entries of the snapshot do not match its digest.
    """
    raw_head = bytes(record.head)
    document = Document.from_entries({key: bytes(value) for key, value in record.entries.items()})
    verify_contents(decode_record_head(raw_head), document)
    return build_numbered_configuration(raw_head, document, decode_document(document), b"")


def verify_contents(head: RecordHead, document: Document) -> None:
    """Check that a document matches the content digest in the head.

    Raises:
        ProtocolError: The digests differ.
    """
    if head.content_digest != document.digest():
        raise ProtocolError(
            f"configuration {head.version} does not match its digest",
            step="configuration.verify",
        )


def encode_snapshot(record: NumberedConfiguration) -> bytes:
    """Return a numbered configuration encoded as a snapshot record."""
    entries = {pointer: msgspec.Raw(value) for pointer, value in record.document.entries()}
    return msgspec.json.encode(SnapshotRecord(head=msgspec.Raw(record.head), entries=entries))


def decode_and_verify(data: bytes) -> NumberedConfiguration:
    """Decode and verify a snapshot record, or the change record of configuration 1.

    Raises:
        ProtocolError: The record is malformed or its contents do not match its digest.
    """
    record = decode_stored_record(data)
    if isinstance(record, SnapshotRecord):
        return verify_snapshot(record)
    return apply_change(EMPTY_CONFIGURATION, record)
