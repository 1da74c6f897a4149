"""Decide when a sample's scorer is called again, and when the sample is given up.

Load pattern: samples of a step finish in bursts, so their scoring requests reach the scorer in
bursts, at targets that also serve callers. Some requests fail at every target. A sample counts
only with its score, so a request that may still succeed is repeated soon, while one that can't
succeed must not use up the targets' slots.
"""

import random
from dataclasses import dataclass

__all__ = ["ScoringProgress", "scoring_failure_limit"]

# Most targets that run one scoring request at the same time, or right after another's failure.
MAX_RUNS_AT_ONCE = 2
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 0.8
# The limit of retry delays doubles at most this often; it reaches its maximum before.
MAX_RETRY_DOUBLINGS = 8
# Retry delays are drawn from this share of the current limit up to the limit.
RETRY_JITTER = 0.5
# Runs after which a sample may be given up, relative to a route's limit on attempts. Targets must
# not be called more often than that with a request that fails every time.
MAX_FAILURES_PER_ATTEMPT = 3


def scoring_failure_limit(step_attempts: int, scorer_attempts: int) -> int:
    """Return the number of server errors after which a sample is given up.

    Args:
        step_attempts: Limit on attempts of the step's route.
        scorer_attempts: Limit on attempts of the scorer's route.
    """
    enough = max(step_attempts, scorer_attempts)
    return min(enough, MAX_FAILURES_PER_ATTEMPT * min(step_attempts, scorer_attempts))


@dataclass(slots=True)
class ScoringProgress:
    """The attempts to score one sample.

    Attributes:
        failure_count: Number of server errors that targets answered with.
        try_count: Number of calls that ended without a score.
        is_impossible: Whether a target answered that no call can succeed.
    """

    failure_count: int = 0
    try_count: int = 0
    is_impossible: bool = False

    def record_failed_call(self, server_errors: int) -> None:
        """Record a call that ended without a score.

        Args:
            server_errors: Number of targets that answered with a server error.
        """
        self.failure_count += server_errors
        self.try_count += 1

    def counted_tries(self) -> int:
        """Return the number of calls without a score, up to that from which delays don't grow."""
        return min(self.try_count, MAX_RETRY_DOUBLINGS + 1)

    def is_exhausted(self, failure_limit: int) -> bool:
        """Return whether the sample is given up."""
        return self.failure_count >= failure_limit

    def max_runs(self, failure_limit: int) -> int:
        """Return how many targets the next call may reach."""
        return max(1, min(MAX_RUNS_AT_ONCE, failure_limit - self.failure_count))

    def retry_delay_s(self, generator: random.Random) -> float:
        """Return the delay before the next call, in seconds."""
        limit_s = min(
            MAX_RETRY_S, FIRST_RETRY_S * 2.0 ** min(self.try_count - 1, MAX_RETRY_DOUBLINGS)
        )
        return limit_s * generator.uniform(RETRY_JITTER, 1.0)
