"""Decide what an idempotency key's rows in the table allow: run, wait, replay or refuse."""

from dataclasses import dataclass
from enum import Enum

import msgspec
import xxhash

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
# How long a key keeps its meaning.
CLAIM_TTL_S = 3600.0
# How far the clocks of two VMs may differ, and how late an outcome may be written.
CLOCK_MARGIN_S = 5.0


class RecordedState(Enum):
    """How a claimed call ended."""

    ANSWERED = "answered"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class ClaimRecord(msgspec.Struct, frozen=True):
    """The row that lets one VM run the call.

    Attributes:
        token: Unique for the claim.
        vm_id: The VM that runs it.
        content: Digest of what was asked; a resend must ask the same.
        deadline_s: When it has ended for certain, in seconds since the Unix epoch.
        expires_s: When the key is free again, in seconds since the Unix epoch.
    """

    token: str
    vm_id: str
    content: str
    deadline_s: float
    expires_s: float


class OutcomeRecord(msgspec.Struct, frozen=True):
    """The row that tells how it ended.

    Attributes:
        state: How it ended.
        status: HTTP status of the answer.
        content_type: Its media type.
        body: Its body, unless it is an object.
        object_key: The object that holds a large body, or an empty string.
        expires_s: When the row may go, in seconds since the Unix epoch.
    """

    state: RecordedState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    object_key: str = ""
    expires_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Claim:
    """One VM's wish to run a keyed call.

    Attributes:
        digest: Digest of service, team and key; names the rows.
        record: What the claim's row says.
    """

    digest: str
    record: ClaimRecord

    @property
    def prefix(self) -> str:
        """The prefix of all rows of the key."""
        return f"{CLAIM_PREFIX}{self.digest}/"

    def claim_write(self, expected_version: int = ABSENT) -> Write:
        """Return the write that takes the key."""
        return Write(f"{self.prefix}claim", msgspec.msgpack.encode(self.record), expected_version)

    def outcome_write(self, outcome: OutcomeRecord) -> Write:
        """Return the write that records the outcome; repeating it changes nothing."""
        value = msgspec.msgpack.encode(outcome)
        return Write(f"{self.prefix}outcome/{self.record.token}", value, ABSENT)


@dataclass(frozen=True, slots=True)
class Owned:
    """The claim is this VM's own: run the call."""


@dataclass(frozen=True, slots=True)
class Free:
    """Nobody runs it: take the row if it still has this version."""

    expected_version: int


@dataclass(frozen=True, slots=True)
class Running:
    """Another claim runs it: wait."""


@dataclass(frozen=True, slots=True)
class Finished:
    """It ended with this outcome."""

    outcome: OutcomeRecord


@dataclass(frozen=True, slots=True)
class Lost:
    """Its time is over and no outcome came: it may have run, so it must not run again."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used for another request."""


Verdict = Owned | Free | Running | Finished | Lost | KeyReused


def claim_for_call(
    request: CallRequest, token: str, vm_id: str, wall_s: float, remaining_s: float
) -> Claim:
    """Return the claim for a keyed call.

    Args:
        request: The call.
        token: A fresh id.
        vm_id: This VM.
        wall_s: Seconds since the Unix epoch.
        remaining_s: Time left until the call's deadline, in seconds.
    """
    name = f"{request.service}\0{request.team}\0{request.idempotency_key}"
    asked = f"{request.method}\0{request.path}\0{request.content_type}\0".encode() + request.body
    record = ClaimRecord(
        token=token,
        vm_id=vm_id,
        content=xxhash.xxh3_128_hexdigest(asked),
        deadline_s=wall_s + max(0.0, remaining_s),
        expires_s=wall_s + CLAIM_TTL_S,
    )
    return Claim(xxhash.xxh3_128_hexdigest(name.encode()), record)


def evaluate_claim(claim: Claim, rows: tuple[Row, ...], wall_s: float) -> Verdict:
    """Return what the key's rows allow this claim.

    Args:
        claim: The claim.
        rows: All rows with the claim's prefix.
        wall_s: Seconds since the Unix epoch.
    """
    by_key = {row.key: row for row in rows}
    row = by_key.get(f"{claim.prefix}claim")
    if row is None:
        return Free(ABSENT)
    held = msgspec.msgpack.decode(row.value, type=ClaimRecord)
    if held.token == claim.record.token:
        return Owned()
    # The margin is on the side of the holder, whose clock may be behind.
    if wall_s > held.expires_s + CLOCK_MARGIN_S:
        return Free(row.version)
    ended = by_key.get(f"{claim.prefix}outcome/{held.token}")
    outcome = None if ended is None else msgspec.msgpack.decode(ended.value, type=OutcomeRecord)
    if outcome is not None and outcome.state is RecordedState.NOT_RUN:
        return Free(row.version)
    if held.content != claim.record.content:
        return KeyReused()
    return verdict_on_other_claim(outcome, held, wall_s)


def verdict_on_other_claim(
    outcome: OutcomeRecord | None, held: ClaimRecord, wall_s: float
) -> Verdict:
    """Return what is known of a run that another claim holds."""
    if outcome is not None:
        return Finished(outcome)
    return Lost() if wall_s > held.deadline_s + CLOCK_MARGIN_S else Running()


def expired_row_deletions(rows: tuple[Row, ...], wall_s: float) -> tuple[Write, ...]:
    """Return the writes that remove the rows whose time is over, unless they changed since."""
    writes = []
    for row in rows:
        if row.key.endswith("/claim"):
            expires_s = msgspec.msgpack.decode(row.value, type=ClaimRecord).expires_s
        else:
            expires_s = msgspec.msgpack.decode(row.value, type=OutcomeRecord).expires_s
        if wall_s > expires_s + CLOCK_MARGIN_S:
            writes.append(Write(row.key, None, row.version))
    return tuple(writes)
