"""Decide whether a lease may be taken and how long its holder may act on it."""

from dataclasses import dataclass

import msgspec

from balsamcleat.errors import ProtocolError
from balsamcleat.model import VmId
from balsamcleat.model.leases import Lease
from balsamcleat.ports import ABSENT, Row, Write

__all__ = [
    "LEASE_TERM_S",
    "SAFETY_MARGIN_S",
    "LeaseRow",
    "LeaseTracker",
    "RenewalLog",
    "decode_lease",
    "lease_key",
    "safe_until",
]

LEASE_TERM_S = 10.0
# The holder stops this long before the term ends by its own clock.
SAFETY_MARGIN_S = 2.0
MAX_REMEMBERED_RENEWALS = 16
# What passes between two looks counts up to this much, so that a jump of the observer's clock
# is less than the holder's safety margin.
MAX_COUNTED_GAP_S = 1.5


class LeaseRow(msgspec.Struct, frozen=True):
    """A lease's table row; ``holder`` is empty after a release."""

    holder: str
    epoch: int
    renewal: int


def lease_key(name: str) -> str:
    """Return the lease's row."""
    return f"lease/{name}"


def safe_until(asked_at_s: float) -> float:
    """Return until when a lease asked for at ``asked_at_s`` may be acted on."""
    return asked_at_s + LEASE_TERM_S - SAFETY_MARGIN_S


def decode_lease(row: Row) -> LeaseRow:
    """Return the lease in a row; fields of later releases are ignored.

    Raises:
        ProtocolError: It is malformed.
    """
    try:
        return msgspec.json.decode(row.value, type=LeaseRow)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"{row.key} is not a lease: {error}", step="lease.read") from error


@dataclass(frozen=True, slots=True)
class LeaseObservation:
    """A lease in another's hands: its row, how long it stayed unchanged, and the last look."""

    row_version: int
    unchanged_s: float
    looked_at_s: float


class RenewalLog:
    """Remembers when each renewal was asked for, so that a late one can be recognised."""

    def __init__(self) -> None:
        self.last_number = 0
        self.requested_at_s: dict[int, float] = {}

    def start_renewal(self, now_s: float) -> int:
        """Return the number of a new renewal that is asked for now."""
        self.last_number += 1
        self.requested_at_s[self.last_number] = now_s
        for old in [
            number
            for number in self.requested_at_s
            if number <= self.last_number - MAX_REMEMBERED_RENEWALS
        ]:
            del self.requested_at_s[old]
        return self.last_number


class LeaseTracker:
    """Decides from what was read when a lease held by another may be taken.

    No wall clock is compared between VMs: a lease has lapsed once its row stayed unchanged for a
    whole term on the observer's own monotonic clock.

    Args:
        vm_id: This VM.
    """

    def __init__(self, vm_id: VmId) -> None:
        self.vm_id = vm_id
        self.observations: dict[str, LeaseObservation] = {}

    def observe(self, name: str, row: Row | None, now_s: float) -> bool:
        """Take note of a read; returns whether the lease may be taken now."""
        if row is None:
            self.observations.pop(name, None)
            return True
        holder = decode_lease(row).holder
        if holder in ("", self.vm_id):
            self.observations.pop(name, None)
            return True
        seen = self.observations.get(name)
        if seen is None or seen.row_version != row.version:
            self.observations[name] = LeaseObservation(row.version, 0.0, now_s)
            return False
        passed_s = min(max(0.0, now_s - seen.looked_at_s), MAX_COUNTED_GAP_S)
        self.observations[name] = LeaseObservation(row.version, seen.unchanged_s + passed_s, now_s)
        return seen.unchanged_s + passed_s >= LEASE_TERM_S

    def is_row_unchanged(self, name: str) -> bool:
        """Return whether the lease's row was the same at the last two looks."""
        seen = self.observations.get(name)
        return seen is not None and seen.unchanged_s > 0.0

    def forget_older_than(self, before_s: float) -> None:
        """Drop sightings of leases that were last looked at before then."""
        self.observations = {
            name: seen for name, seen in self.observations.items() if seen.looked_at_s >= before_s
        }

    def acquisition(self, name: str, row: Row | None, renewal: int = 0) -> tuple[LeaseRow, Write]:
        """Return the row that takes the lease, with its conditional write."""
        old = LeaseRow("", 0, 0) if row is None else decode_lease(row)
        new = LeaseRow(self.vm_id, old.epoch + 1, renewal)
        version = ABSENT if row is None else row.version
        return new, Write(lease_key(name), msgspec.json.encode(new), version)

    def renewal_write(self, lease: Lease, renewal: int) -> Write:
        """Return the conditional write that renews a lease."""
        row = LeaseRow(self.vm_id, lease.epoch, renewal)
        return Write(lease_key(lease.name), msgspec.json.encode(row), lease.row_version)

    def release_write(self, lease: Lease) -> Write:
        """Return the conditional write that gives a lease up."""
        row = LeaseRow("", lease.epoch, 0)
        return Write(lease_key(lease.name), msgspec.json.encode(row), lease.row_version)

    def confirmed_lease(self, lease: Lease, row: Row | None, renewals: RenewalLog) -> Lease | None:
        """Return the lease as the row that was read back leaves it, or None when it is lost.

        The row is this VM's own as long as holder and epoch fit, whichever renewal it shows: a
        renewal whose answer was lost may have taken effect late. The time that counts is when
        the renewal that the row shows was asked for.
        """
        if row is None:
            return None
        shown = decode_lease(row)
        if shown.holder != self.vm_id or shown.epoch != lease.epoch:
            return None
        asked_at_s = renewals.requested_at_s.get(shown.renewal)
        until_s = lease.safe_until_s
        if asked_at_s is not None:
            until_s = max(until_s, safe_until(asked_at_s))
        return Lease(lease.name, lease.holder, lease.epoch, row.version, until_s)
