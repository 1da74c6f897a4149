"""The type of a lease that this VM holds."""

from dataclasses import dataclass

from balsamcleat.model.ids import VmId

__all__ = ["Lease"]


@dataclass(frozen=True, slots=True)
class Lease:
    """A time-limited exclusive right, as its holder knows it.

    Attributes:
        name: Name of the leased object, such as ``step/DEPLOYMENT/STEP``.
        holder: VM that holds the lease.
        epoch: Number that increases with each new holder. Durable writes are conditional on it,
            and engines use it as a fencing token to reject the orders of earlier holders.
        row_version: Version of the lease's table row, for the next conditional write.
        safe_until_s: Time after which the holder must not act on the lease, even if the table
            still names it as the holder; in seconds of the holder's monotonic clock.
    """

    name: str
    holder: VmId
    epoch: int
    row_version: int
    safe_until_s: float
