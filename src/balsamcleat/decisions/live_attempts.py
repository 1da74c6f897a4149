"""Decide whether a live request is retried or hedged at another target, or fails.

Load pattern: a target stops answering or becomes slow in the middle of a request. A request that
may run twice is hedged: it is sent to a second target once the first has taken longer than nearly
all requests do, so that one unresponsive target costs callers a fraction of their latency
objective rather than their whole timeout.
"""

from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind, TargetId

__all__ = ["AttemptTracker", "FailureStatus", "hedge_delay_s"]

# Share of the latency objective after which a request is hedged at a second target.
HEDGE_OBJECTIVE_SHARE = 0.5
# A rejection costs a target nothing, but a request must not try all targets of a service.
MAX_REJECTIONS = 4
# Attempts that ended with their lost links don't count against the limit of the route, up to this
# number: other VMs reach the targets, so the next attempt goes through one of them.
MAX_LOST_LINKS = 3
# Maximum number of rounds over the targets, so that a request doesn't loop while all of them
# reject work whatever their load is.
MAX_ROUNDS = 3


class FailureStatus(Enum):
    """Failure that the caller gets when no target answered; the value is the HTTP status."""

    NOT_RUN = 503
    CUT = 502
    TIMED_OUT = 504
    # Targets crashed under earlier requests with this content, at any VM, so it has run before.
    CRASHES_TARGETS = 500


def hedge_delay_s(objective_s: float) -> float:
    """Return the delay after which a request is hedged at a second target, in seconds."""
    return objective_s * HEDGE_OBJECTIVE_SHARE


@dataclass(slots=True)
class AttemptTracker:
    """The attempts of one live request.

    Attributes:
        repeatable: Whether the request may run more than once.
        max_runs: Maximum number of attempts that may have run the request.
        tried_targets: Targets that the request was sent to in this round.
        possibly_run_count: Number of attempts that may have run the request.
        rejected_count: Number of attempts in this round that certainly did not run the request.
        lost_link_count: Number of attempts that may have run and whose links were lost.
        has_timed_out: Whether an attempt ended without any response in time.
        round_count: Number of rounds over the targets, with a wait between two rounds.
        retry_after_s: Retry delay of the last target that sent one, in seconds.
        server_error_count: Number of responses with status 500.
        is_blocked: Whether the request must not be sent any more, because it crashes targets.
    """

    repeatable: bool
    max_runs: int
    tried_targets: set[TargetId] = field(default_factory=set)
    possibly_run_count: int = 0
    rejected_count: int = 0
    lost_link_count: int = 0
    has_timed_out: bool = False
    round_count: int = 1
    retry_after_s: float | None = None
    server_error_count: int = 0
    is_blocked: bool = False

    def record_start(self, target_id: TargetId) -> None:
        """Record the start of an attempt; it counts as run until it is known not to have run."""
        self.tried_targets.add(target_id)
        self.possibly_run_count += 1

    def record_failure(self, failure: AttemptFailedError) -> None:
        """Record the failure of an attempt."""
        if failure.perhaps_sent and failure.kind is FailureKind.LINK_LOST:
            self.lost_link_count += 1
        if failure.perhaps_sent:
            self.has_timed_out = self.has_timed_out or failure.kind is FailureKind.SILENT
            return
        self.possibly_run_count -= 1
        self.rejected_count += 1
        if failure.retry_after_s is not None:
            self.retry_after_s = failure.retry_after_s

    def can_start(self) -> bool:
        """Return whether the request may be sent to one more target."""
        if self.is_blocked or (self.possibly_run_count and not self.repeatable):
            return False
        run_count = self.possibly_run_count - min(self.lost_link_count, MAX_LOST_LINKS)
        return run_count < self.max_runs and self.rejected_count < MAX_REJECTIONS

    def was_rejected_by_all(self) -> bool:
        """Return whether every attempt was rejected by its target without running."""
        return self.rejected_count > 0 and self.possibly_run_count == 0

    def can_start_round(self) -> bool:
        """Return whether the request may be sent again to the targets that rejected it."""
        is_allowed = self.was_rejected_by_all() and not self.is_blocked
        return is_allowed and self.round_count < MAX_ROUNDS

    def start_round(self) -> None:
        """Start another round, in which all targets may be tried again."""
        self.tried_targets.clear()
        self.rejected_count = 0
        self.round_count += 1

    def failure_status(self) -> FailureStatus:
        """Return the failure that the caller gets when no target is left."""
        if not self.possibly_run_count:
            return FailureStatus.CRASHES_TARGETS if self.is_blocked else FailureStatus.NOT_RUN
        return FailureStatus.TIMED_OUT if self.has_timed_out else FailureStatus.CUT
