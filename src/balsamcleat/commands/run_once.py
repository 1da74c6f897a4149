"""Runs a call with an idempotency key at most once, through any number of VMs and retries."""

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

# Ended calls kept in memory, so that a retry needs no read, also while the table is unavailable.
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
    """A call with an idempotency key that this VM runs or has run."""

    content: str
    done: anyio.Event = field(default_factory=anyio.Event)
    outcome: Outcome | None = None


class RunOnce:
    """Runs calls; a call with a key that may not be repeated is claimed first.

    Args:
        vm_id: Id of this VM.
        run_call: Runs a call without a claim.
        claims: Claims and outcomes in the table.
        outage_policy: Returns what calls with keys to a service do while the table is unavailable.
        clock: Source of time.
        randomness: Source of claim tokens.
        metrics: Receiver of counters.
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
        """Run the call, at most once if it has a key and is not idempotent."""
        if request.idempotent or request.idempotency_key is None:
            return await self.run_call(request)
        claim = claim_for_call(
            request,
            self.randomness.fresh_id(),
            self.vm_id,
            self.clock.wall_s(),
            request.deadline_s - self.clock.now_s(),
        )
        earlier_run = self.runs.get(claim.digest)
        if earlier_run is not None:
            return await self.wait_for_run(earlier_run, claim, request.deadline_s)
        return await self.run_first_send(request, claim)

    async def wait_for_run(self, run: LocalRun, claim: Claim, deadline_s: float) -> Outcome:
        """Wait for the outcome of an earlier send of the same call on this VM."""
        if run.content != claim.record.content:
            return KEY_REUSED
        self.metrics.count("claim.joined")
        with anyio.move_on_after(deadline_s - self.clock.now_s()):
            await run.done.wait()
        return run.outcome or STILL_RUNNING

    async def run_first_send(self, request: CallRequest, claim: Claim) -> Outcome:
        """Handle the first send of a call on this VM."""
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
        """Claim the key, then run the call or return the outcome of an earlier send."""
        claim_result = await self.claims.claim_key(claim)
        self.metrics.count(f"claim.{type(claim_result).__name__.lower()}")
        if isinstance(claim_result, Running):
            later_result = await self.claims.wait_for_outcome(claim, request.deadline_s)
            return await self.outcome_of_earlier_send(later_result)
        if isinstance(claim_result, Unavailable):
            if self.outage_policy(request.service) is OutagePolicy.REFUSE:
                # The claim may have been written nevertheless; recording "not run" frees the key.
                self.claims.record_outcome(claim, RecordedState.NOT_RUN)
                return STORE_DOWN
            self.metrics.count("claim.run_without")
            return await self.run_and_record(request, claim, needs_claim_row=True)
        if isinstance(claim_result, Owned):
            return await self.run_and_record(request, claim, needs_claim_row=False)
        return await self.outcome_of_earlier_send(claim_result)

    async def outcome_of_earlier_send(self, claim_result: object) -> Outcome:
        """Return the outcome of an earlier send as the claims have it."""
        match claim_result:
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
        self, request: CallRequest, claim: Claim, *, needs_claim_row: bool
    ) -> Outcome:
        """Run the call, and record its outcome in the background."""
        state, answer = RecordedState.UNKNOWN, None
        try:
            outcome = await self.run_call(request)
            if isinstance(outcome, Answer):
                state, answer = RecordedState.ANSWERED, outcome
            elif outcome.certainty is Certainty.NOT_RUN:
                state = RecordedState.NOT_RUN
        finally:
            self.claims.record_outcome(claim, state, answer, needs_claim_row=needs_claim_row)
        return outcome

    def evict_oldest(self) -> None:
        """Evict the oldest ended calls above the limit."""
        while len(self.runs) > MAX_REMEMBERED_RUNS:
            digest, run = next(iter(self.runs.items()))
            if not run.done.is_set():
                break
            del self.runs[digest]


def is_remembered(outcome: Outcome | None) -> bool:
    """Return whether a later send of the call must get the same outcome."""
    if outcome is None or outcome.__class__ is Answer:
        return outcome is not None
    return (
        isinstance(outcome, CallFailure)
        and outcome not in (STILL_RUNNING, KEY_REUSED)
        and (outcome.certainty is Certainty.OUTCOME_UNKNOWN)
    )
