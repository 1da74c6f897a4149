"""Log lines about the leases on duties; the lease on weight orders has names of its own."""

from abc import ABC, abstractmethod

import structlog

from balsamcleat.decisions.duty_lease import DutyLeaseState
from balsamcleat.ports.duties import Duty

__all__ = ["LeaseLog", "lease_log"]

log = structlog.get_logger()


class LeaseLog(ABC):
    """Writes the log lines about one lease.

    Args:
        duty: Duty of the lease.
    """

    def __init__(self, duty: Duty) -> None:
        self.duty = duty.value

    @abstractmethod
    def taken(self, fence: int, before: DutyLeaseState | None, first_call_in_ms: int) -> None:
        """Report that this VM acquired the lease."""

    @abstractmethod
    def given_up(self, fence: int) -> None:
        """Report that this VM releases the lease since it is unfit for the duty."""

    @abstractmethod
    def lost(self, fence: int) -> None:
        """Report that another VM has the lease."""

    @abstractmethod
    def store_failed(self, reason: str) -> None:
        """Report that the lease could not be renewed or read."""

    @abstractmethod
    def store_recovered(self) -> None:
        """Report that the lease could be renewed or read again."""

    @abstractmethod
    def calls_wait(self, reason: str) -> None:
        """Report that the store could not record the start or end of calls."""

    def renewed_late(self, fence: int, after_s: float) -> None:
        """Report that a renewal came late after the previous one."""
        log.warning(
            "duty lease renewed late", duty=self.duty, fence=fence, after_s=round(after_s, 2)
        )

    def released(self, fence: int) -> None:
        """Report that the lease is free."""
        log.info("duty lease released", duty=self.duty, fence=fence)


class OrderLeaseLog(LeaseLog):
    """Log lines about the lease on weight orders."""

    def taken(self, fence: int, before: DutyLeaseState | None, first_call_in_ms: int) -> None:
        """Report that this VM acquired the lease."""
        log.info(
            "lease on orders taken",
            fence=fence,
            before=before.vm if before else None,
            before_ordering=before.calling if before else None,
            first_order_in_ms=first_call_in_ms,
        )

    def given_up(self, fence: int) -> None:
        """Report that this VM releases the lease since it lost its links to engines."""
        log.warning("lease on orders given up", fence=fence)

    def lost(self, fence: int) -> None:
        """Report that another VM has the lease."""
        log.warning("lease on orders lost", fence=fence)

    def store_failed(self, reason: str) -> None:
        """Report that the lease could not be renewed or read."""
        log.warning("lease on orders not tended", reason=reason)

    def store_recovered(self) -> None:
        """Report that the lease could be renewed or read again."""
        log.info("lease on orders tended again")

    def calls_wait(self, reason: str) -> None:
        """Report that the store could not record the start or end of orders."""
        log.warning("orders wait for the store", reason=reason)


class DutyLeaseLog(LeaseLog):
    """Log lines about the lease on any other duty."""

    def taken(self, fence: int, before: DutyLeaseState | None, first_call_in_ms: int) -> None:
        """Report that this VM acquired the lease."""
        log.info(
            "duty lease taken",
            duty=self.duty,
            fence=fence,
            before=before.vm if before else None,
            before_calling=before.calling if before else None,
            first_call_in_ms=first_call_in_ms,
        )

    def given_up(self, fence: int) -> None:
        """Report that this VM releases the lease since its calls get no responses."""
        log.warning("duty lease given up", duty=self.duty, fence=fence)

    def lost(self, fence: int) -> None:
        """Report that another VM has the lease."""
        log.warning("duty lease lost", duty=self.duty, fence=fence)

    def store_failed(self, reason: str) -> None:
        """Report that the lease could not be renewed or read."""
        log.warning("duty lease not renewed or read", duty=self.duty, reason=reason)

    def store_recovered(self) -> None:
        """Report that the lease could be renewed or read again."""
        log.info("duty lease renewed or read again", duty=self.duty)

    def calls_wait(self, reason: str) -> None:
        """Report that the store could not record the start or end of calls."""
        log.warning("duty calls wait for the store", duty=self.duty, reason=reason)


def lease_log(duty: Duty) -> LeaseLog:
    """Return the log lines about the lease on a duty."""
    return OrderLeaseLog(duty) if duty is Duty.ORDERS else DutyLeaseLog(duty)
