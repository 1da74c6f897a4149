"""Determine the order in which the samples of a step are started.

Load pattern: a trainer waits for nine out of ten groups, sample lengths are heavy-tailed, length
estimates are often far off, and a step has more samples than the engines have slots. The longest
sample starts first, so that no long sample starts when all others are done. Groups beyond those
that the trainer waits for are ranked as if they were shorter. Starting them last would cost more
time when an estimate is wrong than it saves otherwise.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from balsamcleat.model.rollout import RolloutStep, SampleTask

__all__ = ["DEFAULT_EXPECTED_TOKENS", "SampleRank", "expected_remaining_tokens", "rank_samples"]

# Used if the trainer gives no estimate; only the order of the estimates matters.
DEFAULT_EXPECTED_TOKENS = 1000.0
# Ranks a sample of a group that the trainer probably won't wait for at this share of its length.
SPARE_LENGTH_FACTOR = 0.5


@dataclass(frozen=True, slots=True, order=True)
class SampleRank:
    """Start rank of a sample; lower ranks start first.

    Attributes:
        negated_length: Negated expected length in tokens, weighted, so that the longest is first.
        position: Position of the sample in the submission, to break ties.
        is_spare: Whether the trainer probably won't wait for the sample's group; not compared.
    """

    negated_length: float
    position: int
    is_spare: bool = field(default=False, compare=False)


def expected_remaining_tokens(sample: SampleTask, generated_tokens: float) -> float:
    """Return the expected number of tokens that are still to be generated.

    A sample that exceeds its estimate is assumed to be in the tail of the length distribution:
    the expected rest is half of the tokens generated so far, so it never counts as nearly done.
    """
    expected = sample.expected_tokens or DEFAULT_EXPECTED_TOKENS
    expected = min(expected, float(sample.max_tokens or expected))
    remaining = expected - generated_tokens
    return remaining if remaining > 0.0 else 0.5 * generated_tokens


def rank_samples(
    step: RolloutStep, generated_tokens: dict[str, float], carried_groups: Iterable[str] = ()
) -> dict[str, SampleRank]:
    """Return the start rank of each sample, by sample id.

    Args:
        step: Step whose samples are ranked.
        generated_tokens: Tokens generated so far, by sample id.
        carried_groups: Groups carried over from an earlier step, which the trainer always awaits.
    """
    remaining_by_id = {
        sample.sample_id: expected_remaining_tokens(
            sample, generated_tokens.get(sample.sample_id, 0.0)
        )
        for sample in step.samples
    }
    longest_by_group: dict[str, float] = {}
    for sample in step.samples:
        longest_by_group[sample.group] = max(
            longest_by_group.get(sample.group, 0.0), remaining_by_id[sample.sample_id]
        )
    required_groups = [
        group for group in dict.fromkeys(carried_groups) if group in longest_by_group
    ]
    other_groups = sorted(
        (group for group in longest_by_group if group not in required_groups),
        key=longest_by_group.__getitem__,
    )
    wanted_count = step.required_groups or len(longest_by_group)
    spare_groups = set((required_groups + other_groups)[wanted_count:])
    return {
        sample.sample_id: SampleRank(
            negated_length=-remaining_by_id[sample.sample_id]
            * (SPARE_LENGTH_FACTOR if sample.group in spare_groups else 1.0),
            position=position,
            is_spare=sample.group in spare_groups,
        )
        for position, sample in enumerate(step.samples)
    }
