"""Decide what follows an attempt of a live request: another target, a second one, or an end.

Load pattern: a target goes silent or slow in the middle of a request. A request that may run
twice is sent to a second target once its first has taken longer than nearly all do, so that one
dark target costs its callers a fraction of their objective rather than their whole time.
"""

from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind, TargetId

__all__ = ["AttemptTracker", "FailureStatus", "hedge_delay_s"]

# Share of the objective after which a second target is asked.
HEDGE_OBJECTIVE_SHARE = 0.5
# Refusals cost a target nothing, yet a request doesn't go round all targets.
MAX_REJECTIONS = 4
# Nor does it go round them again and again where none of them takes work, whatever its load.
MAX_ROUNDS = 3


class FailureStatus(Enum):
    """What a caller is told when no target answered; the value is the HTTP status."""

    NOT_RUN = 503
    CUT = 502
    TIMED_OUT = 504
    # Sent before, at some VM: so it has run.
    CRASHES_TARGETS = 500


def hedge_delay_s(objective_s: float) -> float:
    """Return after how long a second target is asked, in seconds."""
    return objective_s * HEDGE_OBJECTIVE_SHARE


@dataclass(slots=True)
class AttemptTracker:
    """The attempts of one request.

    Attributes:
        repeatable: Whether it may run more than once.
        max_runs: Most targets that it may be sent to without being turned away.
        tried: Targets that had it.
        perhaps_run: Attempts that may have run.
        refused: Attempts that surely did not run.
        silent: Whether one ended without a word in its time.
        rounds: How often it asked the targets, waiting in between.
    """

    repeatable: bool
    max_runs: int
    tried_targets: set[TargetId] = field(default_factory=set)
    possibly_run_count: int = 0
    rejected_count: int = 0
    has_timed_out: bool = False
    round_count: int = 1
    retry_after_s: float | None = None

    def record_start(self, target_id: TargetId) -> None:
        """Take note of an attempt; it counts as run until it is known not to have."""
        self.tried_targets.add(target_id)
        self.possibly_run_count += 1

    def record_failure(self, failure: AttemptFailedError) -> None:
        """Take note of an attempt's failure."""
        if failure.perhaps_sent:
            self.has_timed_out = self.has_timed_out or failure.kind is FailureKind.SILENT
            return
        self.possibly_run_count -= 1
        self.rejected_count += 1
        if failure.retry_after_s is not None:
            self.retry_after_s = failure.retry_after_s

    def can_start(self) -> bool:
        """Return whether one more target may be asked."""
        if self.possibly_run_count and not self.repeatable:
            return False
        return self.possibly_run_count < self.max_runs and self.rejected_count < MAX_REJECTIONS

    def was_rejected_by_all(self) -> bool:
        """Return whether every target that was asked said that it did not run it."""
        return self.rejected_count > 0 and self.possibly_run_count == 0

    def can_start_round(self) -> bool:
        """Return whether it may ask the targets that turned it away once more."""
        return self.was_rejected_by_all() and self.round_count < MAX_ROUNDS

    def start_round(self) -> None:
        """Forget the targets that turned it away."""
        self.tried_targets.clear()
        self.rejected_count = 0
        self.round_count += 1

    def failure_status(self) -> FailureStatus:
        """Return what the caller is told when no target is left."""
        if not self.possibly_run_count:
            return FailureStatus.NOT_RUN
        return FailureStatus.TIMED_OUT if self.has_timed_out else FailureStatus.CUT
