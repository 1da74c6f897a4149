"""Runs one call of a plain service, at most once if the caller requires it."""

from dataclasses import dataclass, replace
from math import ceil

from balsamcleat.decisions.admission import AdmissionRequest
from balsamcleat.decisions.quarantine import Quarantine
from balsamcleat.decisions.request_content import content_digest
from balsamcleat.decisions.retry import GiveUp, RetryPolicy
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.errors import AttemptFailedError, OverloadedError
from balsamcleat.model import Answer, AttemptOutcome, CallRequest, Certainty, TargetId
from balsamcleat.ports import Clock, Metrics
from balsamcleat.tasks.admission_controller import AdmissionController, AdmissionPermit
from balsamcleat.tasks.connections import Connections
from balsamcleat.tasks.quarantine_guard import Placement, QuarantineGuard

__all__ = ["CallFailure", "RunCall"]


@dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without a complete answer.

    Attributes:
        certainty: Whether the call may have run.
        reason: Last failure, for the caller.
        retry_after_s: Delay before a retry, in seconds; 0 if a retry is useless.
        over_quota: Whether a quota of the caller's team is exhausted.
        key_reused: Whether the idempotency key was used for another request.
        resend_safe: Whether a retry with the same key can't run the call again.
    """

    certainty: Certainty
    reason: str
    retry_after_s: int = 1
    over_quota: bool = False
    key_reused: bool = False
    resend_safe: bool = False


class RunCall:
    """Routes and sends a call, and retries it where that is safe.

    Args:
        admission: Admits requests.
        router: Chooses targets.
        connections: Connections to targets.
        retries: Retry policy.
        clock: Source of time and of delays.
        metrics: Receiver of counters.
        quarantine: Places requests on targets; a new one by default.
    """

    def __init__(
        self,
        admission: AdmissionController,
        router: Router,
        connections: Connections,
        retries: RetryPolicy,
        clock: Clock,
        metrics: Metrics,
        quarantine: QuarantineGuard | None = None,
    ) -> None:
        self.admission = admission
        self.router = router
        self.connections = connections
        self.retries = retries
        self.clock = clock
        self.metrics = metrics
        self.quarantine = quarantine or QuarantineGuard(Quarantine(), router, clock, metrics)

    async def __call__(self, request: CallRequest) -> Answer | CallFailure:
        """Run the call after its admission."""
        admission_request = AdmissionRequest(
            request.service, request.team, request.priority, request.deadline_s
        )
        try:
            async with self.admission.acquire(admission_request) as permit:
                return await self.run(request, permit)
        except OverloadedError as error:
            return CallFailure(
                Certainty.NOT_RUN, error.message, error.retry_after_s, error.over_quota
            )

    async def run(self, request: CallRequest, permit: AdmissionPermit) -> Answer | CallFailure:
        """Run an admitted call."""
        digest = content_digest(request.service, request.method, request.path, request.body)
        tried: set[TargetId] = set()
        certainty = Certainty.NOT_RUN
        attempt = 0
        while True:
            attempt += 1
            placement = await self.choose_placement(request, digest, tried)
            if isinstance(placement, CallFailure):
                return replace(placement, certainty=certainty)
            tried.add(placement.target.target_id)
            permit.record_attempt_start()
            outcome = await self.send_attempt(request, placement)
            permit.record_attempt_end(
                outcome.outcome if isinstance(outcome, AttemptFailedError) else None
            )
            if isinstance(outcome, Answer):
                self.retries.budget.record_success()
                return outcome
            if outcome.perhaps_sent:
                certainty = Certainty.OUTCOME_UNKNOWN
            recovery = self.retries.decide(
                outcome,
                attempt,
                idempotent=request.idempotent,
                remaining_s=request.deadline_s - self.clock.now_s(),
            )
            if isinstance(recovery, GiveUp):
                return CallFailure(certainty, outcome.message, ceil(recovery.retry_after_s))
            self.metrics.count("call.retry")
            await self.clock.sleep(recovery.delay_s)

    async def choose_placement(
        self, request: CallRequest, digest: str, tried: set[TargetId]
    ) -> Placement | CallFailure:
        """Return the placement of the next attempt, or the failure if there is none."""
        if request.deadline_s <= self.clock.now_s():
            return CallFailure(Certainty.NOT_RUN, "deadline passed")
        query = RouteQuery(request.service, exclude=frozenset(tried))
        try:
            placement = await self.quarantine.place(digest, query, request.deadline_s)
        except AttemptFailedError as error:
            return CallFailure(Certainty.NOT_RUN, error.message, ceil(error.retry_after_s or 1))
        return placement or CallFailure(Certainty.NOT_RUN, "no target")

    async def send_attempt(
        self, request: CallRequest, placement: Placement
    ) -> Answer | AttemptFailedError:
        """Send the call to one target."""
        target = placement.target
        timeout_s = request.deadline_s - self.clock.now_s()
        self.router.record_start(target.target_id)
        started_s, outcome = self.clock.now_s(), AttemptOutcome.ABANDONED
        try:
            answer = await self.connections.service(target).call(request, timeout_s)
            outcome = AttemptOutcome.SUCCEEDED
        except AttemptFailedError as error:
            self.metrics.count(f"call.attempt.{error.kind.name.lower()}")
            outcome = error.outcome
            await self.quarantine.record_failure(placement, error)
            return error
        except BaseException:
            await self.quarantine.record_abandonment(placement)
            raise
        finally:
            self.router.record_end(target.target_id, outcome, self.clock.now_s() - started_s)
        await self.quarantine.record_survival(placement)
        return answer
