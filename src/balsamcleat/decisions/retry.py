"""Decide whether and when a failed attempt is repeated."""

import random
from dataclasses import dataclass

from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind

__all__ = ["GiveUp", "Retry", "RetryBudget", "RetryPolicy"]

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0
BUDGET_CAPACITY = 100.0
RETRY_COST = 10.0
# Going on where a stream broke repeats no work, so a crash under many streams is affordable.
RESUME_COST = 1.0
SUCCESS_CREDIT = 1.0
DEFAULT_RETRY_AFTER_S = 1.0

NON_RETRYABLE_KINDS = frozenset({FailureKind.NO_TARGET, FailureKind.DEADLINE, FailureKind.POISONED})


@dataclass(frozen=True, slots=True)
class Retry:
    """Send it again, to another target, after the wait in seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Answer the caller now; it may come back after the wait in seconds."""

    retry_after_s: float


@dataclass
class RetryBudget:
    """One allowance of retries for the whole process, paid back by successes.

    Attributes:
        tokens: What is left.
        capacity: The most there can be.
    """

    tokens: float = BUDGET_CAPACITY
    capacity: float = BUDGET_CAPACITY

    def spend(self, cost: float = RETRY_COST) -> bool:
        """Spend one retry; returns False when the allowance is used up."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def record_success(self) -> None:
        """Pay back for a success."""
        self.tokens = min(self.capacity, self.tokens + SUCCESS_CREDIT)


class RetryPolicy:
    """Full jitter under a cap, within the deadline and the shared allowance.

    Args:
        budget: The allowance shared by all layers of the process.
        generator: Draws the jitter.
        max_attempts: The most attempts, the first included.
    """

    def __init__(
        self, budget: RetryBudget, generator: random.Random, max_attempts: int = 3
    ) -> None:
        self.budget = budget
        self.generator = generator
        self.max_attempts = max_attempts

    def decide(
        self,
        failure: AttemptFailedError,
        attempt: int,
        *,
        idempotent: bool,
        remaining_s: float,
        has_progress: bool = False,
    ) -> Retry | GiveUp:
        """Return how to recover from a failed attempt.

        Args:
            failure: What failed.
            attempt: Number of the attempt that failed, from 1.
            idempotent: Whether the request may run more than once.
            remaining_s: Time left until the deadline, in seconds.
            has_progress: Whether the attempt brought part of a stream that goes on elsewhere.
        """
        delay_s = None
        if failure.kind not in NON_RETRYABLE_KINDS:
            delay_s = self.retry_delay_s(
                attempt,
                repeatable=idempotent or not failure.perhaps_sent,
                remaining_s=remaining_s,
                cost=RESUME_COST if has_progress else RETRY_COST,
            )
        if delay_s is None:
            return GiveUp(failure.retry_after_s or DEFAULT_RETRY_AFTER_S)
        return Retry(delay_s)

    def retry_delay_s(
        self, attempt: int, *, repeatable: bool, remaining_s: float, cost: float = RETRY_COST
    ) -> float | None:
        """Return the wait before the next attempt in seconds, or None to give up now.

        Args:
            attempt: Number of the attempt that failed, from 1.
            repeatable: Whether sending it again can't make it run twice against its will.
            remaining_s: Time left until the deadline, in seconds.
            cost: What the retry takes from the allowance.
        """
        if not repeatable or attempt >= self.max_attempts:
            return None
        ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** (attempt - 1))
        delay = self.generator.uniform(0.0, ceiling)
        if delay >= remaining_s or not self.budget.spend(cost):
            return None
        return delay
