"""Port of the platform's interface for duties, each of which one VM performs at a time."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from balsamcleat.model import ServiceName, TeamName, VmId, ZoneName

__all__ = [
    "Duty",
    "DutyClient",
    "DutyLease",
    "DutyOutcome",
    "DutyStamp",
    "TargetCountOrder",
    "UsageReport",
]


class Duty(Enum):
    """Duty that one VM performs at a time; the value is the key of its lease's row."""

    ORDERS = "orders"
    USAGE = "usage"
    SCALING = "scaling"


class DutyOutcome(Enum):
    """Outcome of a call to the platform's interface for duties."""

    ACCEPTED = "accepted"
    # No such targets are available in the availability zone at the moment.
    UNAVAILABLE = "unavailable"
    # All VMs together exceeded the platform's rate limit; the call had no effect.
    THROTTLED = "throttled"
    # The platform rejected the call; sending it again has the same outcome.
    INVALID = "invalid"
    # The call may have taken effect, or may take effect later.
    UNKNOWN = "unknown"
    # Nothing was sent.
    NOT_SENT = "not sent"


@dataclass(frozen=True, slots=True)
class DutyStamp:
    """Identification of the holder of a duty's lease.

    Attributes:
        holder: VM that holds the lease.
        fencing_token: Number that grows with each change of the holder.
    """

    holder: VmId
    fencing_token: int


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Number of requests of each team that began to run in one window.

    Attributes:
        window: Number of the window, counted in window lengths from the start of 1970.
        counts: Requests that began to run, by team.
    """

    window: int
    counts: dict[TeamName, int]


@dataclass(frozen=True, slots=True)
class TargetCountOrder:
    """Order to the platform to run a number of targets of a service in an availability zone.

    Attributes:
        service: Service of the targets.
        zone: Availability zone of the targets.
        count: Number of targets of this kind that the platform shall run there.
        reclaimable: Whether the order is for cheaper targets that the platform may take away.
    """

    service: ServiceName
    zone: ZoneName
    count: int
    reclaimable: bool = False


class DutyClient(ABC):
    """Sends the calls of duties to the platform; decides nothing and repeats nothing."""

    @abstractmethod
    async def report_usage(self, report: UsageReport, stamp: DutyStamp) -> DutyOutcome:
        """Send the usage of one window."""

    @abstractmethod
    async def order_targets(self, order: TargetCountOrder, stamp: DutyStamp) -> DutyOutcome:
        """Order the number of targets of a service in an availability zone."""


class DutyLease(ABC):
    """Lease that allows its holder to perform one duty; no method raises if the store fails."""

    @property
    @abstractmethod
    def stamp(self) -> DutyStamp | None:
        """Identification to send with each call, or None while this VM does not hold the lease."""

    @abstractmethod
    async def begin_calls(self) -> bool:
        """Record in the lease that calls are about to be sent; return whether they may be.

        After a takeover, calls are only allowed some seconds later: ask ``can_call`` as well.
        """

    @abstractmethod
    async def end_calls(self) -> None:
        """Record in the lease that the last call has ended and when; no call may follow it."""

    @abstractmethod
    def can_call(self) -> bool:
        """Return whether a call may be sent at this moment."""

    @abstractmethod
    def report_fault(self) -> None:
        """Record that this process failed in its duty, so that another VM should have the lease."""

    def permits(self, stamp: DutyStamp) -> bool:
        """Return whether a call with this identification may be sent at this moment."""
        return self.stamp == stamp and self.can_call()
