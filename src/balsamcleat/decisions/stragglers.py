"""Mitigate stragglers: length estimates, start order, spare samples and restarts."""

import math
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "LengthEstimator",
    "StragglerPolicy",
    "should_restart_sample",
    "start_order",
    "straggler_policy",
]

PRIOR_TOKENS = 256.0
# Weight of the mean over all prompts relative to a prompt's own samples, in samples.
PRIOR_SAMPLES = 0.25
# Smoothing factor of the moving average over all prompts, per sample.
LEARNING_RATE = 0.02
# Spread of the logarithm of sample lengths around the estimate for their prompt.
LOG_LENGTH_SPREAD = 0.5
MAX_SPARE_SHARE = 0.25
MAX_REMEMBERED_PROMPTS = 100_000


@dataclass(slots=True)
class PromptLengths:
    """Sum and count of the logarithms of the lengths of one prompt's samples."""

    log_length_sum: float = 0.0
    count: float = 0.0


class LengthEstimator:
    """Estimates the length of the samples of each prompt, in tokens.

    Averages logarithms, because lengths are heavy-tailed. Keeps the estimates between steps,
    because prompts recur in later steps.
    """

    def __init__(self) -> None:
        self.mean_log = math.log(PRIOR_TOKENS)
        self.prompts: dict[int, PromptLengths] = {}

    def record_length(self, prompt: int, tokens: int) -> None:
        """Record the length of a finished sample of the prompt with the given digest."""
        log_length = math.log(max(1, tokens))
        self.mean_log += LEARNING_RATE * (log_length - self.mean_log)
        if prompt not in self.prompts and len(self.prompts) >= MAX_REMEMBERED_PROMPTS:
            self.prompts.pop(next(iter(self.prompts)))
        lengths = self.prompts.setdefault(prompt, PromptLengths())
        lengths.log_length_sum += log_length
        lengths.count += 1.0

    def expected_tokens(self, prompt: int, max_tokens: int) -> float:
        """Return the expected length of a sample of the prompt, at most ``max_tokens``."""
        lengths = self.prompts.get(prompt, PromptLengths())
        log_length = (self.mean_log * PRIOR_SAMPLES + lengths.log_length_sum) / (
            PRIOR_SAMPLES + lengths.count
        )
        return min(float(max_tokens), math.exp(log_length))

    def has_samples_of(self, prompt: int) -> bool:
        """Return whether the length of a sample of the prompt was recorded."""
        return prompt in self.prompts

    def remaining_tokens(self, prompt: int, done: int, max_tokens: int) -> float:
        """Return the expected number of remaining tokens of a sample that has ``done`` tokens.

        A sample that exceeds its estimate is expected to continue in proportion to its length, as
        in a heavy-tailed distribution.
        """
        expected = self.expected_tokens(prompt, max_tokens)
        remaining = max(expected - done, done * LOG_LENGTH_SPREAD, 1.0)
        return min(remaining, float(max(0, max_tokens - done)))


def start_order(
    prompts: Iterable[int], estimator: LengthEstimator, max_tokens: int
) -> tuple[int, ...]:
    """Return the positions of ``prompts`` in the order in which to start their samples.

    One sample of each unknown prompt starts first, to learn its length; then the longest.
    """
    digests = tuple(prompts)
    probed: set[int] = set()
    probes: list[int] = []
    rest: list[int] = []
    for position, prompt in enumerate(digests):
        if prompt in probed or estimator.has_samples_of(prompt):
            rest.append(position)
        else:
            probed.add(prompt)
            probes.append(position)
    rest.sort(key=lambda position: -estimator.expected_tokens(digests[position], max_tokens))
    return (*probes, *rest)


@dataclass(frozen=True, slots=True)
class StragglerPolicy:
    """Trade-off of a deployment between idle time on one side and staleness and waste on the other.

    Attributes:
        spare_share: Number of spare samples to run near the end of a step, as a share of the
            samples that are still missing.
        run_ahead_share: Share of a step that may be generated before its desired weights are
            loaded.
        preferred_staleness: Number of versions of lag above which a sample in an early stage is
            restarted.
    """

    spare_share: float
    run_ahead_share: float
    preferred_staleness: int


def straggler_policy(idle_weight: float, staleness_bound: int) -> StragglerPolicy:
    """Return the policy for a weight between avoiding idle time (1) and avoiding staleness (0)."""
    weight = min(1.0, max(0.0, idle_weight))
    return StragglerPolicy(
        spare_share=MAX_SPARE_SHARE * weight,
        run_ahead_share=weight if staleness_bound > 0 else 0.0,
        preferred_staleness=math.floor(staleness_bound * weight + 0.5),
    )


# A sample that has more than this share of its tokens is not restarted for newer weights.
MAX_RESTART_PROGRESS = 0.5


def should_restart_sample(policy: StragglerPolicy, lag: int, done: int, expected: float) -> bool:
    """Return whether a running sample should be restarted with newer weights.

    Args:
        policy: Straggler policy of the deployment.
        lag: Number of versions by which the sample's oldest token lags behind the trainer.
        done: Number of tokens generated so far.
        expected: Expected total number of tokens of the sample.
    """
    return lag > policy.preferred_staleness and done < MAX_RESTART_PROGRESS * expected
