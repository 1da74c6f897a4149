"""Run a keyed call at most once, however often and through whichever VM it is sent."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from balsamcleat.commands.run_call import CallFailure, RunCall
from balsamcleat.configuration import OutagePolicy
from balsamcleat.decisions.claims import (
    Claim,
    Finished,
    KeyReused,
    Lost,
    Owned,
    RecordedState,
    Running,
    claim_for_call,
)
from balsamcleat.model import Answer, CallRequest, Certainty, ServiceName, VmId
from balsamcleat.ports import Clock, Metrics, Randomness
from balsamcleat.tasks.claim_keeper import ClaimKeeper, Unavailable

__all__ = ["RunOnce"]

# Ended calls that this VM remembers, so that a resend needs no read and an outage no table.
MAX_REMEMBERED_RUNS = 4096
STORE_RETRY_AFTER_S = 2
STILL_RUNNING_RETRY_AFTER_S = 1

Outcome = Answer | CallFailure

KEY_REUSED = CallFailure(
    Certainty.NOT_RUN, "the key was used for another request", 0, key_reused=True
)
LOST = CallFailure(
    Certainty.OUTCOME_UNKNOWN, "it was begun earlier and its outcome was lost; ask the target", 0
)
STILL_RUNNING = CallFailure(
    Certainty.OUTCOME_UNKNOWN,
    "an earlier send still runs; send it again with the same key",
    STILL_RUNNING_RETRY_AFTER_S,
    resend_safe=True,
)
STORE_DOWN = CallFailure(
    Certainty.NOT_RUN, "its key can't be claimed while the table is out", STORE_RETRY_AFTER_S
)


@dataclass
class LocalRun:
    """A keyed call that this VM handles or handled."""

    content: str
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome | None = None


class RunOnce:
    """Runs calls; keyed ones that may not be repeated are claimed first.

    Args:
        vm_id: This VM.
        run_call: Runs a call without a claim.
        claims: Claims and outcomes in the table.
        outage_policy: Tells what a service's keyed calls do without the table.
        clock: The clock.
        randomness: Source of claim tokens.
        metrics: Where counts go.
    """

    def __init__(
        self,
        vm_id: VmId,
        run_call: RunCall,
        claims: ClaimKeeper,
        outage_policy: Callable[[ServiceName], OutagePolicy],
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
    ) -> None:
        self.vm_id = vm_id
        self.run_call = run_call
        self.claims = claims
        self.outage_policy = outage_policy
        self.clock = clock
        self.randomness = randomness
        self.metrics = metrics
        self.runs: OrderedDict[str, LocalRun] = OrderedDict()

    async def __call__(self, request: CallRequest) -> Outcome:
        """Run the call."""
        if request.idempotent or request.idempotency_key is None:
            return await self.run_call(request)
        claim = claim_for_call(
            request,
            self.randomness.fresh_id(),
            self.vm_id,
            self.clock.wall_s(),
            request.deadline_s - self.clock.now_s(),
        )
        known = self.runs.get(claim.digest)
        if known is not None:
            return await self.wait_for_run(known, claim, request.deadline_s)
        return await self.run_first_send(request, claim)

    async def wait_for_run(self, run: LocalRun, claim: Claim, deadline_s: float) -> Outcome:
        """Wait for the run of an earlier send on this VM."""
        if run.content != claim.record.content:
            return KEY_REUSED
        self.metrics.count("claim.joined")
        with anyio.move_on_after(deadline_s - self.clock.now_s()):
            await run.done.wait()
        return run.outcome or STILL_RUNNING

    async def run_first_send(self, request: CallRequest, claim: Claim) -> Outcome:
        """Handle the first send on this VM."""
        run = self.runs[claim.digest] = LocalRun(claim.record.content)
        try:
            run.outcome = await self.claim_and_run(request, claim)
        finally:
            if not is_remembered(run.outcome):
                del self.runs[claim.digest]
            run.done.set()
        self.evict_oldest()
        return run.outcome

    async def claim_and_run(self, request: CallRequest, claim: Claim) -> Outcome:
        """Take the key, then run the call or find what became of it."""
        verdict = await self.claims.claim_key(claim)
        self.metrics.count(f"claim.{type(verdict).__name__.lower()}")
        if isinstance(verdict, Running):
            found = await self.claims.wait_for_outcome(claim, request.deadline_s)
            return await self.outcome_of_earlier_send(found)
        if isinstance(verdict, Unavailable):
            if self.outage_policy(request.service) is OutagePolicy.REFUSE:
                # The claim may have been written all the same; this frees the key again.
                self.claims.record_outcome(claim, RecordedState.NOT_RUN)
                return STORE_DOWN
            self.metrics.count("claim.run_without")
            return await self.run_and_record(request, claim, unclaimed=True)
        if isinstance(verdict, Owned):
            return await self.run_and_record(request, claim, unclaimed=False)
        return await self.outcome_of_earlier_send(verdict)

    async def outcome_of_earlier_send(self, verdict: object) -> Outcome:
        """Return the outcome of an earlier send."""
        match verdict:
            case KeyReused():
                return KEY_REUSED
            case Lost():
                return LOST
            case Finished(outcome=outcome) if outcome.state is RecordedState.ANSWERED:
                return await self.claims.recorded_answer(outcome) or LOST
            case Finished():
                return LOST
        return STILL_RUNNING

    async def run_and_record(
        self, request: CallRequest, claim: Claim, *, unclaimed: bool
    ) -> Outcome:
        """Run the call; its outcome is recorded in the background."""
        state, answer = RecordedState.UNKNOWN, None
        try:
            outcome = await self.run_call(request)
            if isinstance(outcome, Answer):
                state, answer = RecordedState.ANSWERED, outcome
            elif outcome.certainty is Certainty.NOT_RUN:
                state = RecordedState.NOT_RUN
        finally:
            self.claims.record_outcome(claim, state, answer, needs_claim_row=unclaimed)
        return outcome

    def evict_oldest(self) -> None:
        """Keep the memory of ended calls within its bound."""
        while len(self.runs) > MAX_REMEMBERED_RUNS:
            digest, run = next(iter(self.runs.items()))
            if not run.done.is_set():
                break
            del self.runs[digest]


def is_remembered(outcome: Outcome | None) -> bool:
    """Return whether a later send must get the same outcome."""
    if outcome is None or outcome.__class__ is Answer:
        return outcome is not None
    return (
        isinstance(outcome, CallFailure)
        and outcome not in (STILL_RUNNING, KEY_REUSED)
        and (outcome.certainty is Certainty.OUTCOME_UNKNOWN)
    )
