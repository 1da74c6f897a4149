"""Run one call of a plain service, at most once where that was asked for."""

from dataclasses import dataclass, replace
from math import ceil

from balsamcleat.decisions.admission import AdmissionRequest
from balsamcleat.decisions.quarantine import Quarantine, content_digest
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
    """No whole answer.

    Attributes:
        certainty: What is known of its execution.
        reason: What went wrong last.
        retry_after_s: When to come back, in seconds; 0 where coming back is no use.
        over_quota: Whether a quota of the caller's was used up.
        key_reused: Whether the idempotency key was used for another request.
        resend_safe: Whether a resend with the same key can't make it run again.
    """

    certainty: Certainty
    reason: str
    retry_after_s: int = 1
    over_quota: bool = False
    key_reused: bool = False
    resend_safe: bool = False


class RunCall:
    """Routes, sends and, where it is safe, repeats a call.

    Args:
        gate: Admits requests.
        router: The routing decisions.
        connections: Connections to targets.
        retries: The retry policy.
        clock: The clock.
        metrics: Where counts go.
        quarantine: Places requests; one of its own by default.
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
        self.gate = admission
        self.router = router
        self.connections = connections
        self.retries = retries
        self.clock = clock
        self.metrics = metrics
        self.quarantine = quarantine or QuarantineGuard(Quarantine(), router, clock, metrics)

    async def __call__(self, request: CallRequest) -> Answer | CallFailure:
        """Run the call once it is admitted."""
        ask = AdmissionRequest(request.service, request.team, request.priority, request.deadline_s)
        try:
            async with self.gate.acquire(ask) as entry:
                return await self.run(request, entry)
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
        """Return where the next attempt runs, or why there is none."""
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
        """Send the call once."""
        target = placement.target
        timeout_s = request.deadline_s - self.clock.now_s()
        self.router.record_start(target.target_id)
        began_s, outcome = self.clock.now_s(), AttemptOutcome.ABANDONED
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
            self.router.record_end(target.target_id, outcome, self.clock.now_s() - began_s)
        await self.quarantine.record_survival(placement)
        return answer
