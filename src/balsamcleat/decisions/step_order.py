"""Decide in which order the samples of a step are started.

Load pattern: a trainer waits for nine groups in ten, lengths are heavy-tailed, estimates are often
far off, and a step has more samples than places. The longest sample starts first, so that no long
one is started when all else is done. Groups beyond those that the trainer waits for count as if
they were shorter; leaving them to the end loses more where an estimate was wrong than it gains.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from balsamcleat.model.rollout import RolloutStep, SampleTask

__all__ = ["DEFAULT_EXPECTED_TOKENS", "SampleRank", "expected_remaining_tokens", "rank_samples"]

# Where the trainer gives no estimate; only the order among estimates matters.
DEFAULT_EXPECTED_TOKENS = 1000.0
# A sample of a group that the trainer probably won't wait for counts as this much of its length.
SPARE_LENGTH_FACTOR = 0.5


@dataclass(frozen=True, slots=True, order=True)
class SampleRank:
    """Lower ranks start first.

    Attributes:
        negated_length: Minus the expected length as it counts, so that the longest goes first.
        position: Place in the submission, to break ties.
        is_spare: Whether the trainer probably won't wait for its group; plays no part in the order.
    """

    negated_length: float
    position: int
    is_spare: bool = field(default=False, compare=False)


def expected_remaining_tokens(sample: SampleTask, generated_tokens: float) -> float:
    """Return the expected tokens still to generate.

    A sample that has outlived its estimate is taken to be in the tail: it is as far from its end
    as from its estimate, but never nearly done.
    """
    expected = sample.expected_tokens or DEFAULT_EXPECTED_TOKENS
    expected = min(expected, float(sample.max_tokens or expected))
    left = expected - generated_tokens
    return left if left > 0.0 else 0.5 * generated_tokens


def rank_samples(
    step: RolloutStep, generated_tokens: dict[str, float], carried_groups: Iterable[str] = ()
) -> dict[str, SampleRank]:
    """Return the rank of each sample by its id.

    Args:
        step: The step.
        generated_tokens: Tokens generated so far, by sample id.
        carried_groups: Groups of an earlier step, which the trainer waits for in any case.
    """
    left = {
        sample.sample_id: expected_remaining_tokens(
            sample, generated_tokens.get(sample.sample_id, 0.0)
        )
        for sample in step.samples
    }
    longest: dict[str, float] = {}
    for sample in step.samples:
        longest[sample.group] = max(longest.get(sample.group, 0.0), left[sample.sample_id])
    must = [group for group in dict.fromkeys(carried_groups) if group in longest]
    others = sorted((group for group in longest if group not in must), key=longest.__getitem__)
    wanted = step.wanted_groups or len(longest)
    spare = set((must + others)[wanted:])
    return {
        sample.sample_id: SampleRank(
            negated_length=-left[sample.sample_id]
            * (SPARE_LENGTH_FACTOR if sample.group in spare else 1.0),
            position=position,
            is_spare=sample.group in spare,
        )
        for position, sample in enumerate(step.samples)
    }
