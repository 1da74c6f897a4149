"""The gate that requests pass on their way to targets; carries out admission's decisions."""

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
    """Lets requests in one by one; used as ``async with gate.enter(ask) as entry:``.

    Args:
        admission: The decisions.
        clock: The clock.
        metrics: Where counts go.
    """

    def __init__(self, admission: Admission, clock: Clock, metrics: Metrics) -> None:
        self.admission = admission
        self.clock = clock
        self.metrics = metrics
        self.waiters: dict[Ticket, anyio.Event] = {}
        self.rejections: dict[Ticket, Rejection] = {}

    def configure(self, configuration: Configuration) -> None:
        """Take the limits of the configuration in force."""
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

    def acquire(self, ask: AdmissionRequest) -> "AdmissionPermit":
        """Return the entry of one request, to be held while it runs."""
        return AdmissionPermit(self, ask)

    def apply_decisions(self, decisions: list[Admitted | Rejection]) -> None:
        """Wake those that were decided on."""
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
        """Wait for the ticket's turn; returns the refusal if it doesn't come."""
        waiter = self.waiters[ticket] = anyio.Event()
        try:
            with anyio.move_on_after(ticket.request.deadline_s - self.clock.now_s()):
                await waiter.wait()
        except BaseException:
            # Cancelled: a place that was granted in the meantime goes to the next.
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
        """Free a place."""
        self.apply_decisions(self.admission.release(ticket, self.clock.now_s()))

    def record_overload(self, service: ServiceName) -> None:
        """Take note of a target's refusal for lack of room."""
        self.metrics.count("admission.overloaded")
        self.admission.record_overload(service, self.clock.now_s())

    def rejection_error(self, refusal: Rejection, service: str) -> OverloadedError:
        """Return the error of a refused request."""
        self.metrics.count(f"admission.refused.{refusal.reason.name.lower()}")
        return OverloadedError(
            refusal.reason.value,
            step="admission",
            peer=service,
            retry_after_s=refusal.retry_after_s,
            over_quota=refusal.reason in QUOTA_REASONS,
        )


class AdmissionPermit:
    """One request's way through the gate.

    Args:
        gate: The gate.
        ask: What the request asks.
    """

    __slots__ = ("ask", "attempt_started_s", "controller", "ticket")

    def __init__(self, controller: AdmissionController, ask: AdmissionRequest) -> None:
        self.controller = controller
        self.ask = ask
        self.ticket: Ticket | None = None
        self.attempt_started_s = 0.0

    async def __aenter__(self) -> "AdmissionPermit":
        """Wait for a place.

        Raises:
            OverloadedError: The request was refused and not run.
        """
        gate = self.controller
        decision = gate.admission.decide(self.ask, gate.clock.now_s())
        if isinstance(decision, Queued):
            gate.metrics.count("admission.queued")
            refusal = await gate.wait_for_admission(decision.ticket)
            if refusal is not None:
                raise gate.rejection_error(refusal, self.ask.service)
            self.ticket = decision.ticket
        elif isinstance(decision, Rejection):
            raise gate.rejection_error(decision, self.ask.service)
        else:
            self.ticket = decision.ticket
        self.attempt_started_s = gate.clock.now_s()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Free the place."""
        if self.ticket is not None:
            self.controller.release(self.ticket)
            self.ticket = None

    def record_attempt_start(self) -> None:
        """Take note that an attempt begins, so that back-off doesn't count as latency."""
        self.attempt_started_s = self.controller.clock.now_s()

    def record_attempt_end(self, failure: AttemptOutcome | None) -> None:
        """Take note of an attempt's end; ``failure`` is None for one that succeeded whole."""
        if failure is None:
            self.record_first_byte()
        elif failure is AttemptOutcome.BUSY:
            self.controller.record_overload(self.ask.service)

    def record_first_byte(self) -> None:
        """Take note that the answer began."""
        if self.ticket is not None:
            now_s = self.controller.clock.now_s()
            self.controller.admission.record_first_byte(self.ticket, now_s, self.attempt_started_s)

    @property
    def priority(self) -> Priority:
        """The request's class."""
        return self.ask.priority
