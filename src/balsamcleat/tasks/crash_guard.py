"""Keeps live requests that crash targets from being sent to more targets."""

from dataclasses import dataclass

import anyio
import structlog

from balsamcleat.decisions.crash_suspects import CRASHES_TO_BLOCK, RunVerdict
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import Exchange, is_success
from balsamcleat.model.replicas import Replica
from balsamcleat.tasks.crash_detector import CrashDetector
from balsamcleat.tasks.live_call import LiveCall

__all__ = ["CrashGuard"]

# From this number of crashes on, the next run waits until the crashes that other VMs have seen are
# known here, so that VMs that get a request at the same time don't each crash three targets.
CRASHES_TO_WAIT = CRASHES_TO_BLOCK - 1
# Longest wait for another run of the same suspect, as a share of the route's latency objective.
SUSPECT_WAIT_OBJECTIVE_SHARE = 0.25

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class SuspectRun:
    """Run of a request under which a target has crashed; there is one at a time on each VM.

    Attributes:
        call: Call that the run belongs to.
        ended: Set when the run has ended.
    """

    call: LiveCall
    ended: anyio.Event


class CrashGuard:
    """Checks live requests before each run, and records how the runs ended.

    Args:
        detector: Finds out which runs crashed their targets.
    """

    def __init__(self, detector: CrashDetector) -> None:
        self.detector = detector
        self.history = detector.history
        # Current run of each suspect, by digest.
        self.suspect_runs: dict[str, SuspectRun] = {}

    async def admit(self, call: LiveCall) -> bool:
        """Return whether a request that has arrived may be sent; a blocked one may be a trial."""
        if call.is_background:
            return True
        verdict = self.verdict(call)
        if verdict is RunVerdict.TRIAL_DUE:
            call.is_trial = await self.history.claim_trial(call.digest)
            call.attempts.max_runs = 1
        if verdict is RunVerdict.ALLOWED or call.is_trial:
            return True
        self.log_blocked(call)
        return False

    async def may_run(self, call: LiveCall, *, is_copy: bool) -> bool:
        """Return whether a call may be sent to one more target now.

        The crashes known at each single run decide: between the admission of a request and its
        last run, other runs of the same content may have crashed their targets. An allowed run is
        ended with ``end_run``.

        Args:
            call: Call that may be sent.
            is_copy: Whether another target still runs the call.
        """
        if call.attempts.is_blocked:
            return False
        if call.is_background or call.is_trial or not self.crash_count(call):
            return True
        if is_copy or not await self.reserve_suspect_run(call):
            return False
        try:
            if self.crash_count(call) >= CRASHES_TO_WAIT:
                await self.detector.wait_until_examined(call.digest)
                await self.history.wait_until_shared(call.digest)
        except BaseException:
            # The caller left.
            self.end_run(call)
            raise
        if self.verdict(call) is RunVerdict.ALLOWED:
            return True
        call.attempts.is_blocked = True
        self.log_blocked(call)
        self.end_run(call)
        return False

    async def reserve_suspect_run(self, call: LiveCall) -> bool:
        """Return whether no other suspect with the call's content runs, after a short wait.

        Copies of a suspect that ran at once would crash a target each. A suspect that runs for
        long must not hold up its copies: their callers are told at once to come back.
        """
        wait_s = min(call.remaining_s(), SUSPECT_WAIT_OBJECTIVE_SHARE * call.route.objective_s)
        with anyio.move_on_after(max(0.0, wait_s)):
            while (run := self.suspect_runs.get(call.digest)) is not None:
                await run.ended.wait()
        if call.digest in self.suspect_runs:
            return False
        self.suspect_runs[call.digest] = SuspectRun(call, anyio.Event())
        return True

    def end_run(self, call: LiveCall) -> None:
        """Record that a run that was allowed has ended, or was not begun."""
        run = self.suspect_runs.get(call.digest) if self.suspect_runs else None
        if run is not None and run.call is call:
            del self.suspect_runs[call.digest]
            run.ended.set()

    def verdict(self, call: LiveCall) -> RunVerdict:
        """Return whether a request with the call's content may be sent."""
        if not self.history.has_suspects():
            return RunVerdict.ALLOWED
        return self.history.verdict(call.digest)

    def crash_count(self, call: LiveCall) -> int:
        """Return the number of known crashes under the call's content."""
        if not self.history.has_suspects():
            return 0
        return self.history.crash_count(call.digest)

    def record_failure(self, call: LiveCall, replica: Replica, error: AttemptFailedError) -> None:
        """Record a run that failed at its target."""
        if call.is_background:
            return
        self.detector.record_failure(call.run_at(replica), error)

    def record_cancellation(self, call: LiveCall, replica: Replica) -> None:
        """Record a run without a response that was cancelled, at the deadline or before."""
        if call.is_background:
            return
        if call.remaining_s() <= 0.0:
            self.detector.record_silence(call.run_at(replica))
        else:
            self.detector.record_abandonment(call.run_at(replica))

    def record_response(self, call: LiveCall, replica: Replica, exchange: Exchange) -> None:
        """Record a response that was read to its end.

        Only a success shows that the target ran the request: one in trouble may answer with an
        error before it begins. Without explicit framing, the end of a crashed target's connection
        looks like the end of the response.
        """
        if call.is_background:
            return
        if not exchange.has_explicit_framing:
            self.detector.record_abandonment(call.run_at(replica))
        elif is_success(exchange.status):
            call.has_whole_answer = True

    def record_answer(self, call: LiveCall) -> None:
        """Record whether a target ran the request to its end; it is then no suspect."""
        if call.has_whole_answer and self.detector.has_suspects():
            self.detector.record_answer(call.digest)

    def log_blocked(self, call: LiveCall) -> None:
        """Log that a request is not sent, with the crashes that decided it."""
        log.warning(
            "request blocked",
            request=call.attempt_id,
            content=call.digest,
            known_crashes=self.crash_count(call),
        )
