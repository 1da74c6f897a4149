"""Keeps samples that crash engines from being run again at once."""

from balsamcleat.decisions.crash_suspects import RunVerdict, TargetRun
from balsamcleat.decisions.request_content import request_parts
from balsamcleat.tasks.crash_detector import CrashDetector
from balsamcleat.tasks.sample_run import (
    SampleAssignment,
    SampleEnd,
    SampleRunOutcome,
    sample_digest,
)

__all__ = ["SampleGuard"]


class SampleGuard:
    """Checks samples before each run, and records how the runs ended.

    A sample can't be given up for crashing engines before its step expires, so it waits for its
    next trial instead.

    Args:
        detector: Finds out which runs crashed their targets.
    """

    def __init__(self, detector: CrashDetector) -> None:
        self.detector = detector
        self.history = detector.history

    async def check_before_run(self, assignment: SampleAssignment) -> SampleRunOutcome | None:
        """Return the outcome of a sample that must not run now, or None if it may run."""
        if not self.history.has_suspects():
            return None
        digest = sample_digest(assignment)
        verdict = self.history.verdict(digest)
        if verdict is RunVerdict.ALLOWED:
            return None
        if verdict is RunVerdict.TRIAL_DUE and await self.history.claim_trial(digest):
            return None
        crashes = self.history.crash_count(digest)
        return SampleRunOutcome(SampleEnd.BLOCKED, f"{crashes} engines crashed under it")

    def record_end(
        self, assignment: SampleAssignment, outcome: SampleRunOutcome, *, was_cancelled: bool
    ) -> None:
        """Record the end of a run."""
        if outcome.end is SampleEnd.COMPLETE:
            if self.detector.has_suspects():
                self.detector.record_answer(sample_digest(assignment))
        elif outcome.error is not None:
            self.detector.record_failure(run_of(assignment), outcome.error)
        elif was_cancelled:
            self.detector.record_abandonment(run_of(assignment))

    def retry_delay_s(self, assignment: SampleAssignment) -> float:
        """Return the time until a blocked sample may run again, in seconds; 0 for others."""
        if not self.history.has_suspects():
            return 0.0
        return self.history.trial_delay_s(sample_digest(assignment))


def run_of(assignment: SampleAssignment) -> TargetRun:
    """Return the run of a sample at its target."""
    replica, sample = assignment.replica, assignment.sample
    return TargetRun(
        request=sample.sample_id,
        digest=sample_digest(assignment),
        start=replica.start,
        address=replica.address,
        is_sample=True,
        parts=request_parts(sample.sample_id, sample.path, sample.body),
    )
