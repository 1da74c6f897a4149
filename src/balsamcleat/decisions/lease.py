"""Rules for acquiring, renewing and releasing leases that are stored as table rows."""

from dataclasses import dataclass

import msgspec

from balsamcleat.decoding import decode_json
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
# The holder stops acting this long before the lease term ends on its own clock.
SAFETY_MARGIN_S = 2.0
MAX_REMEMBERED_RENEWALS = 16
# Maximum time counted between two observations, so that a jump of the observer's clock counts
# for less than the holder's safety margin.
MAX_COUNTED_GAP_S = 1.5


class LeaseRow(msgspec.Struct, frozen=True):
    """Table row of a lease.

    Attributes:
        holder: VM that holds the lease; empty after a release.
        epoch: Epoch of the lease, which increases with each acquisition.
        renewal: Number of the holder's last renewal.
    """

    holder: str
    epoch: int
    renewal: int


def lease_key(name: str) -> str:
    """Return the key of the lease's table row."""
    return f"lease/{name}"


def safe_until(requested_at_s: float) -> float:
    """Return the time until which the holder can act on a lease requested at ``requested_at_s``."""
    return requested_at_s + LEASE_TERM_S - SAFETY_MARGIN_S


def decode_lease(row: Row) -> LeaseRow:
    """Decode the lease in a row; unknown fields of newer software versions are ignored.

    Raises:
        ProtocolError: The row is malformed.
    """
    try:
        return decode_json(row.value, LeaseRow)
    except msgspec.DecodeError as error:
        raise ProtocolError(f"{row.key} is not a lease: {error}", step="lease.read") from error


@dataclass(frozen=True, slots=True)
class LeaseObservation:
    """Last observation of a lease that is held by another VM.

    Attributes:
        row_version: Version of the lease row.
        unchanged_s: Time for which the row has been unchanged, in seconds.
        read_at_s: Time of the last read on this VM's monotonic clock, in seconds.
    """

    row_version: int
    unchanged_s: float
    read_at_s: float


class RenewalLog:
    """Request times of recent renewals, to recognize a renewal that took effect late."""

    def __init__(self) -> None:
        self.last_number = 0
        self.requested_at_s: dict[int, float] = {}

    def start_renewal(self, now_s: float) -> int:
        """Record a renewal that is requested now and return its number."""
        self.last_number += 1
        self.requested_at_s[self.last_number] = now_s
        for old_number in [
            number
            for number in self.requested_at_s
            if number <= self.last_number - MAX_REMEMBERED_RENEWALS
        ]:
            del self.requested_at_s[old_number]
        return self.last_number


class LeaseTracker:
    """Tracks leases held by other VMs and creates the writes of this VM's leases.

    VMs do not compare wall clocks: a lease has expired once its row stayed unchanged for a full
    term on the observer's own monotonic clock.

    Args:
        vm_id: Identifier of this VM.
    """

    def __init__(self, vm_id: VmId) -> None:
        self.vm_id = vm_id
        self.observations: dict[str, LeaseObservation] = {}

    def observe(self, name: str, row: Row | None, now_s: float) -> bool:
        """Record a row that was read; return whether the lease can be acquired now."""
        if row is None:
            self.observations.pop(name, None)
            return True
        holder = decode_lease(row).holder
        if holder in ("", self.vm_id):
            self.observations.pop(name, None)
            return True
        observation = self.observations.get(name)
        if observation is None or observation.row_version != row.version:
            self.observations[name] = LeaseObservation(row.version, 0.0, now_s)
            return False
        elapsed_s = min(max(0.0, now_s - observation.read_at_s), MAX_COUNTED_GAP_S)
        self.observations[name] = LeaseObservation(
            row.version, observation.unchanged_s + elapsed_s, now_s
        )
        return observation.unchanged_s + elapsed_s >= LEASE_TERM_S

    def is_row_unchanged(self, name: str) -> bool:
        """Return whether the lease's row was unchanged between the last two reads."""
        observation = self.observations.get(name)
        return observation is not None and observation.unchanged_s > 0.0

    def forget_older_than(self, before_s: float) -> None:
        """Discard observations of leases that were last read before ``before_s``."""
        self.observations = {
            name: observation
            for name, observation in self.observations.items()
            if observation.read_at_s >= before_s
        }

    def acquisition(self, name: str, row: Row | None, renewal: int = 0) -> tuple[LeaseRow, Write]:
        """Return the row with which this VM acquires the lease, and its conditional write."""
        previous = LeaseRow("", 0, 0) if row is None else decode_lease(row)
        acquired = LeaseRow(self.vm_id, previous.epoch + 1, renewal)
        expected_version = ABSENT if row is None else row.version
        return acquired, Write(lease_key(name), msgspec.json.encode(acquired), expected_version)

    def renewal_write(self, lease: Lease, renewal: int) -> Write:
        """Return the conditional write that renews a lease."""
        row = LeaseRow(self.vm_id, lease.epoch, renewal)
        return Write(lease_key(lease.name), msgspec.json.encode(row), lease.row_version)

    def release_write(self, lease: Lease) -> Write:
        """Return the conditional write that releases a lease."""
        row = LeaseRow("", lease.epoch, 0)
        return Write(lease_key(lease.name), msgspec.json.encode(row), lease.row_version)

    def confirmed_lease(self, lease: Lease, row: Row | None, renewals: RenewalLog) -> Lease | None:
        """Return the lease as confirmed by the row that was read back, or None if it is lost.

        The lease is still held if holder and epoch match, whichever renewal number the row has: a
        renewal whose response was lost may have taken effect late. The lease term is counted from
        the time at which the renewal in the row was requested.
        """
        if row is None:
            return None
        lease_row = decode_lease(row)
        if lease_row.holder != self.vm_id or lease_row.epoch != lease.epoch:
            return None
        requested_at_s = renewals.requested_at_s.get(lease_row.renewal)
        safe_until_s = lease.safe_until_s
        if requested_at_s is not None:
            safe_until_s = max(safe_until_s, safe_until(requested_at_s))
        return Lease(lease.name, lease.holder, lease.epoch, row.version, safe_until_s)
