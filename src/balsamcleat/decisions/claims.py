"""Evaluate the table rows of an idempotency key: run the call, wait, replay it or reject it."""

from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

from balsamcleat.decoding import decode_msgpack
from balsamcleat.model import CallRequest
from balsamcleat.ports import ABSENT, Row, Write

__all__ = [
    "CLAIM_PREFIX",
    "Claim",
    "ClaimRecord",
    "Finished",
    "Free",
    "KeyReused",
    "Lost",
    "OutcomeRecord",
    "Owned",
    "RecordedState",
    "Running",
    "claim_for_call",
    "evaluate_claim",
    "expired_row_deletions",
]

CLAIM_PREFIX = "claim/"
# How long an idempotency key is remembered after its first use.
CLAIM_TTL_S = 3600.0
# Covers the clock skew between two VMs and the delay with which an outcome may be written.
CLOCK_MARGIN_S = 5.0


class RecordedState(Enum):
    """Recorded result of a claimed call."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ClaimRecord(msgspec.Struct, frozen=True):
    """Table row that gives one VM the right to run the call.

    Attributes:
        token: Unique identifier of the claim.
        vm_id: VM that runs the call.
        content: Digest of the request; a retry with the same key must have the same digest.
        deadline_s: Time by which the call has ended, in seconds since the Unix epoch.
        expires_s: Time at which the key can be claimed again, in seconds since the Unix epoch.
    """

    token: str
    vm_id: str
    content: str
    deadline_s: float
    expires_s: float


class OutcomeRecord(msgspec.Struct, frozen=True):
    """Table row that records how the claimed call ended.

    Attributes:
        state: Outcome of the call.
        status: HTTP status of the response.
        content_type: Media type of the response body.
        body: Response body; empty when the body is stored as an object.
        object_key: Object store key of a large response body, or an empty string.
        expires_s: Time after which the row can be deleted, in seconds since the Unix epoch.
    """

    state: RecordedState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    object_key: str = ""
    expires_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Claim:
    """Claim of one VM on the right to run a call that has an idempotency key.

    Attributes:
        digest: Digest of service, team and idempotency key; part of the keys of the table rows.
        record: Content of the claim's table row.
    """

    digest: str
    record: ClaimRecord

    @property
    def prefix(self) -> str:
        """Prefix of the keys of all table rows of the idempotency key."""
        return f"{CLAIM_PREFIX}{self.digest}/"

    def claim_write(self, expected_version: int = ABSENT) -> Write:
        """Return the conditional write that reserves the idempotency key."""
        return Write(f"{self.prefix}claim", msgspec.msgpack.encode(self.record), expected_version)

    def outcome_write(self, outcome: OutcomeRecord) -> Write:
        """Return the idempotent write that records the outcome of the call."""
        value = msgspec.msgpack.encode(outcome)
        return Write(f"{self.prefix}outcome/{self.record.token}", value, ABSENT)


@dataclass(frozen=True, slots=True)
class Owned:
    """The claim's own row is in the table: run the call."""


@dataclass(frozen=True, slots=True)
class Free:
    """No VM runs the call: write the claim row if it still has ``expected_version``."""

    expected_version: int


@dataclass(frozen=True, slots=True)
class Running:
    """The call runs under another claim: wait."""


@dataclass(frozen=True, slots=True)
class Finished:
    """The call ended with the recorded outcome."""

    outcome: OutcomeRecord


@dataclass(frozen=True, slots=True)
class Lost:
    """The deadline passed without an outcome: the call may have run, so it must not run again."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The idempotency key was used for a different request."""


Verdict = Owned | Free | Running | Finished | Lost | KeyReused


def claim_for_call(
    request: CallRequest, token: str, vm_id: str, wall_s: float, remaining_s: float
) -> Claim:
    """Return a new claim for a call that has an idempotency key.

    Args:
        request: Request of the call.
        token: Unique identifier for the new claim.
        vm_id: Identifier of this VM.
        wall_s: Current time, in seconds since the Unix epoch.
        remaining_s: Time left until the call's deadline, in seconds.
    """
    key_scope = f"{request.service}\0{request.team}\0{request.idempotency_key}"
    request_content = (
        f"{request.method}\0{request.path}\0{request.content_type}\0".encode() + request.body
    )
    record = ClaimRecord(
        token=token,
        vm_id=vm_id,
        content=xxhash.xxh3_128_hexdigest(request_content),
        deadline_s=wall_s + max(0.0, remaining_s),
        expires_s=wall_s + CLAIM_TTL_S,
    )
    return Claim(xxhash.xxh3_128_hexdigest(key_scope.encode()), record)


def evaluate_claim(claim: Claim, rows: tuple[Row, ...], wall_s: float) -> Verdict:
    """Return the verdict of the idempotency key's table rows on a claim.

    Args:
        claim: Claim to evaluate.
        rows: All table rows with the claim's prefix.
        wall_s: Current time, in seconds since the Unix epoch.
    """
    by_key = {row.key: row for row in rows}
    claim_row = by_key.get(f"{claim.prefix}claim")
    if claim_row is None:
        return Free(ABSENT)
    holder_record = decode_msgpack(claim_row.value, ClaimRecord)
    if holder_record.token == claim.record.token:
        return Owned()
    # The margin protects the VM that wrote the row, because its clock may be slow.
    if wall_s > holder_record.expires_s + CLOCK_MARGIN_S:
        return Free(claim_row.version)
    outcome_row = by_key.get(f"{claim.prefix}outcome/{holder_record.token}")
    outcome = None if outcome_row is None else decode_msgpack(outcome_row.value, OutcomeRecord)
    if outcome is not None and outcome.state is RecordedState.NOT_RUN:
        return Free(claim_row.version)
    if holder_record.content != claim.record.content:
        return KeyReused()
    return verdict_on_other_claim(outcome, holder_record, wall_s)


def verdict_on_other_claim(
    outcome: OutcomeRecord | None, holder_record: ClaimRecord, wall_s: float
) -> Verdict:
    """Return the verdict when another claim for the same request holds the key."""
    if outcome is not None:
        return Finished(outcome)
    return Lost() if wall_s > holder_record.deadline_s + CLOCK_MARGIN_S else Running()


def expired_row_deletions(rows: tuple[Row, ...], wall_s: float) -> tuple[Write, ...]:
    """Return conditional writes that delete the expired rows that have not changed since."""
    deletions = []
    for row in rows:
        if row.key.endswith("/claim"):
            expires_s = decode_msgpack(row.value, ClaimRecord).expires_s
        else:
            expires_s = decode_msgpack(row.value, OutcomeRecord).expires_s
        if wall_s > expires_s + CLOCK_MARGIN_S:
            deletions.append(Write(row.key, None, row.version))
    return tuple(deletions)
