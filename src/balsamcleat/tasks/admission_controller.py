"""Admission control: queues and rejects requests before they are sent to targets."""

from types import TracebackType

import anyio

from balsamcleat.configuration import Configuration
from balsamcleat.decisions.admission import (
    Admission,
    AdmissionRequest,
    Admitted,
    Queued,
    Rejection,
    RejectionReason,
    ServiceLimits,
    Ticket,
)
from balsamcleat.errors import OverloadedError
from balsamcleat.model import AttemptOutcome, Priority, ServiceName, TeamName
from balsamcleat.ports import Clock, Metrics

__all__ = ["AdmissionController", "AdmissionPermit"]

QUOTA_REASONS = frozenset({RejectionReason.TEAM_QUOTA, RejectionReason.SERVICE_QUOTA})


class AdmissionController:
    """Applies admission decisions; used as ``async with controller.acquire(request) as permit:``.

    Args:
        admission: Decides which requests are admitted, queued or rejected.
        clock: Monotonic clock.
        metrics: Receives the counters.
    """

    def __init__(self, admission: Admission, clock: Clock, metrics: Metrics) -> None:
        self.admission = admission
        self.clock = clock
        self.metrics = metrics
        self.waiters: dict[Ticket, anyio.Event] = {}
        self.rejections: dict[Ticket, Rejection] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply the limits and quotas of the configuration in force."""
        limits = configuration.limits
        self.admission.configure(
            {
                ServiceName(name): ServiceLimits(
                    service.queue_limit, limits.max_in_flight, service.requests_per_s
                )
                for name, service in configuration.services.items()
            },
            {TeamName(name): team.requests_per_s for name, team in configuration.teams.items()},
            limits.max_in_flight,
            self.clock.now_s(),
        )

    def acquire(self, request: AdmissionRequest) -> "AdmissionPermit":
        """Return the permit of one request, which must be held while the request runs."""
        return AdmissionPermit(self, request)

    def apply_decisions(self, decisions: list[Admitted | Rejection]) -> None:
        """Wake the waiting requests for which there is a decision."""
        for decision in decisions:
            ticket = decision.ticket
            if ticket is None:
                continue
            if isinstance(decision, Rejection):
                self.rejections[ticket] = decision
            waiter = self.waiters.get(ticket)
            if waiter is not None:
                waiter.set()

    async def wait_for_admission(self, ticket: Ticket) -> Rejection | None:
        """Wait until a queued request is admitted; return the rejection if it is not."""
        waiter = self.waiters[ticket] = anyio.Event()
        try:
            with anyio.move_on_after(ticket.request.deadline_s - self.clock.now_s()):
                await waiter.wait()
        except BaseException:
            # Cancelled: a slot that was granted in the meantime passes to the next request.
            if ticket.is_admitted:
                self.release(ticket)
            raise
        finally:
            del self.waiters[ticket]
            if not ticket.is_admitted:
                self.admission.cancel(ticket)
        if ticket.is_admitted:
            return None
        return self.rejections.pop(ticket, None) or self.admission.expire(ticket)

    def release(self, ticket: Ticket) -> None:
        """Release the slot of an admitted request."""
        self.apply_decisions(self.admission.release(ticket, self.clock.now_s()))

    def record_overload(self, service: ServiceName) -> None:
        """Record that a target rejected a request because it is overloaded."""
        self.metrics.count("admission.overloaded")
        self.admission.record_overload(service, self.clock.now_s())

    def rejection_error(self, rejection: Rejection, service: str) -> OverloadedError:
        """Return the error for a rejected request."""
        self.metrics.count(f"admission.refused.{rejection.reason.name.lower()}")
        return OverloadedError(
            rejection.reason.value,
            step="admission",
            peer=service,
            retry_after_s=rejection.retry_after_s,
            over_quota=rejection.reason in QUOTA_REASONS,
        )


class AdmissionPermit:
    """Permit for one request, held as an asynchronous context manager.

    Args:
        controller: Controller that issued the permit.
        request: Request for admission.
    """

    __slots__ = ("attempt_started_s", "controller", "request", "ticket")

    def __init__(self, controller: AdmissionController, request: AdmissionRequest) -> None:
        self.controller = controller
        self.request = request
        self.ticket: Ticket | None = None
        self.attempt_started_s = 0.0

    async def __aenter__(self) -> "AdmissionPermit":
        """Wait until the request is admitted.

        Raises:
            OverloadedError: The request was rejected and has not run.
        """
        controller = self.controller
        decision = controller.admission.decide(self.request, controller.clock.now_s())
        if isinstance(decision, Queued):
            controller.metrics.count("admission.queued")
            rejection = await controller.wait_for_admission(decision.ticket)
            if rejection is not None:
                raise controller.rejection_error(rejection, self.request.service)
            self.ticket = decision.ticket
        elif isinstance(decision, Rejection):
            raise controller.rejection_error(decision, self.request.service)
        else:
            self.ticket = decision.ticket
        self.attempt_started_s = controller.clock.now_s()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Release the slot."""
        if self.ticket is not None:
            self.controller.release(self.ticket)
            self.ticket = None

    def record_attempt_start(self) -> None:
        """Record the start of an attempt, so that retry backoff does not count as latency."""
        self.attempt_started_s = self.controller.clock.now_s()

    def record_attempt_end(self, failure: AttemptOutcome | None) -> None:
        """Record the end of an attempt; ``failure`` is None if the attempt succeeded."""
        if failure is None:
            self.record_first_byte()
        elif failure is AttemptOutcome.BUSY:
            self.controller.record_overload(self.request.service)

    def record_first_byte(self) -> None:
        """Record that the response began."""
        if self.ticket is not None:
            now_s = self.controller.clock.now_s()
            self.controller.admission.record_first_byte(self.ticket, now_s, self.attempt_started_s)

    @property
    def priority(self) -> Priority:
        """Priority class of the request."""
        return self.request.priority
