"""Decide in which order samples are generated, where to run spares and what to cut."""

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
# Weight of what is known of all prompts against a prompt's own samples, in samples.
PRIOR_SAMPLES = 0.25
# How quickly the estimate for all prompts follows, per sample.
LEARNING_RATE = 0.02
# Spread of the logarithm of lengths around a prompt's own estimate.
LOG_LENGTH_SPREAD = 0.5
MAX_SPARE_SHARE = 0.25
MAX_REMEMBERED_PROMPTS = 100_000


@dataclass(slots=True)
class PromptLengths:
    """What was seen of one prompt's samples, as logarithms of their lengths."""

    total: float = 0.0
    count: float = 0.0


class LengthEstimator:
    """Learns how long the samples of each prompt are, in tokens.

    Works on logarithms, because lengths have a heavy tail. Prompts come again in later steps.
    """

    def __init__(self) -> None:
        self.mean_log = math.log(PRIOR_TOKENS)
        self.prompts: dict[int, PromptLengths] = {}

    def record_length(self, prompt: int, tokens: int) -> None:
        """Learn from a finished sample of the prompt with this digest."""
        log = math.log(max(1, tokens))
        self.mean_log += LEARNING_RATE * (log - self.mean_log)
        if prompt not in self.prompts and len(self.prompts) >= MAX_REMEMBERED_PROMPTS:
            self.prompts.pop(next(iter(self.prompts)))
        seen = self.prompts.setdefault(prompt, PromptLengths())
        seen.total += log
        seen.count += 1.0

    def expected_tokens(self, prompt: int, max_tokens: int) -> float:
        """Return the expected length of a sample of the prompt, in tokens."""
        seen = self.prompts.get(prompt, PromptLengths())
        log = (self.mean_log * PRIOR_SAMPLES + seen.total) / (PRIOR_SAMPLES + seen.count)
        return min(float(max_tokens), math.exp(log))

    def has_samples_of(self, prompt: int) -> bool:
        """Return whether a sample of the prompt was seen."""
        return prompt in self.prompts

    def remaining_tokens(self, prompt: int, done: int, max_tokens: int) -> float:
        """Return the expected rest of a sample that has ``done`` tokens.

        Past its estimate, a sample is expected to go on in proportion to its length, as a heavy
        tail does.
        """
        expected = self.expected_tokens(prompt, max_tokens)
        rest = max(expected - done, done * LOG_LENGTH_SPREAD, 1.0)
        return min(rest, float(max(0, max_tokens - done)))


def start_order(
    prompts: Iterable[int], estimate: LengthEstimator, max_tokens: int
) -> tuple[int, ...]:
    """Return positions in the order in which to begin.

    One sample of each unknown prompt goes first, to learn its length; then the longest.
    """
    listed = tuple(prompts)
    probed: set[int] = set()
    probes: list[int] = []
    rest: list[int] = []
    for position, prompt in enumerate(listed):
        if prompt in probed or estimate.has_samples_of(prompt):
            rest.append(position)
        else:
            probed.add(prompt)
            probes.append(position)
    rest.sort(key=lambda position: -estimate.expected_tokens(listed[position], max_tokens))
    return (*probes, *rest)


@dataclass(frozen=True, slots=True)
class StragglerPolicy:
    """How a deployment trades idle time against staleness and work thrown away.

    Attributes:
        spare_share: Spare samples to run near the end, as a share of those still missing.
        run_ahead_share: Share of a step that may be generated before the weights it wants are
            in force.
        preferred_staleness: Versions of lag above which work that has slack is done again.
    """

    spare_share: float
    run_ahead_share: float
    preferred_staleness: int


def straggler_policy(idle_weight: float, staleness_bound: int) -> StragglerPolicy:
    """Return the plan for a deployment's weight between idle time (1) and staleness (0)."""
    weight = min(1.0, max(0.0, idle_weight))
    return StragglerPolicy(
        spare_share=MAX_SPARE_SHARE * weight,
        run_ahead_share=weight if staleness_bound > 0 else 0.0,
        preferred_staleness=math.floor(staleness_bound * weight + 0.5),
    )


# A sample further along than this is finished even if fresher weights are there.
MAX_RESTART_PROGRESS = 0.5


def should_restart_sample(plan: StragglerPolicy, lag: int, done: int, expected: float) -> bool:
    """Return whether a sample in flight should begin again on fresher weights.

    Args:
        plan: The deployment's plan.
        lag: How many versions its oldest token lags the trainer.
        done: Tokens it has.
        expected: Tokens expected of the whole sample.
    """
    return lag > plan.preferred_staleness and done < MAX_RESTART_PROGRESS * expected
