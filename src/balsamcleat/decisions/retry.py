"""Retry policy: decide whether and when a failed attempt is retried."""

import random
from dataclasses import dataclass

from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind

__all__ = ["GiveUp", "Retry", "RetryBudget", "RetryPolicy"]

BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 2.0
BUDGET_CAPACITY = 100.0
RETRY_COST = 10.0
# Resuming a broken stream repeats no work, so resuming the many streams of a crashed target fits
# into the budget.
RESUME_COST = 1.0
SUCCESS_CREDIT = 1.0
DEFAULT_RETRY_AFTER_S = 1.0

NON_RETRYABLE_KINDS = frozenset({FailureKind.NO_TARGET, FailureKind.DEADLINE, FailureKind.POISONED})


@dataclass(frozen=True, slots=True)
class Retry:
    """Decision to send the request to another target after a delay in seconds."""

    delay_s: float


@dataclass(frozen=True, slots=True)
class GiveUp:
    """Decision to fail the request now; the caller may retry after a delay in seconds."""

    retry_after_s: float


@dataclass
class RetryBudget:
    """The retry budget of the whole process; successes refill it.

    Attributes:
        tokens: Remaining tokens.
        capacity: Maximum number of tokens.
    """

    tokens: float = BUDGET_CAPACITY
    capacity: float = BUDGET_CAPACITY

    def spend(self, cost: float = RETRY_COST) -> bool:
        """Spend the tokens of one retry; return False if too few are left."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True

    def record_success(self) -> None:
        """Refill the budget after a successful request."""
        self.tokens = min(self.capacity, self.tokens + SUCCESS_CREDIT)


class RetryPolicy:
    """Capped exponential backoff with full jitter, within the deadline and the retry budget.

    Args:
        budget: Retry budget shared by all layers of the process.
        generator: Random number generator for the jitter.
        max_attempts: Maximum number of attempts, including the first.
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
        """Return whether to retry a failed attempt or to give up.

        Args:
            failure: Failure of the attempt.
            attempt: Number of the attempt that failed, from 1.
            idempotent: Whether the request may run more than once.
            remaining_s: Time left until the deadline, in seconds.
            has_progress: Whether the attempt delivered part of a stream, which the retry resumes.
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
        """Return the delay before the next attempt in seconds, or None to give up now.

        Args:
            attempt: Number of the attempt that failed, from 1.
            repeatable: Whether the request did not run or may run twice.
            remaining_s: Time left until the deadline, in seconds.
            cost: Tokens that the retry takes from the retry budget.
        """
        if not repeatable or attempt >= self.max_attempts:
            return None
        ceiling = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2 ** (attempt - 1))
        delay = self.generator.uniform(0.0, ceiling)
        if delay >= remaining_s or not self.budget.spend(cost):
            return None
        return delay
