"""Decide in which order the samples of a step are started.

Load pattern: a trainer waits for nine groups in ten, lengths are heavy-tailed, and a step has
more samples than places. Groups that are expected to end last are left to the end, and within
the others the longest sample starts first, so that no long one is started when all else is done.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from balsamcleat.model.rollout import RolloutStep, SampleTask

__all__ = ["DEFAULT_EXPECTED_TOKENS", "SampleRank", "expected_left", "rank_samples"]

# Where the trainer gives no estimate; only the order among estimates matters.
DEFAULT_EXPECTED_TOKENS = 1000.0


@dataclass(frozen=True, slots=True, order=True)
class SampleRank:
    """Lower ranks start first.

    Attributes:
        spare: 1 for groups beyond those that the trainer waits for.
        group_order: Place of the group among spare ones; 0 for the others.
        shortness: Minus the expected length, so that the longest goes first.
        position: Place in the submission, to break ties.
    """

    spare: int
    group_order: int
    shortness: float
    position: int


def expected_left(sample: SampleTask, tokens_at_hand: float) -> float:
    """Return the expected tokens still to generate.

    A sample that has outlived its estimate is taken to be in the tail: it is as far from its end
    as from its estimate, but never nearly done.
    """
    expected = sample.expected_tokens or DEFAULT_EXPECTED_TOKENS
    expected = min(expected, float(sample.max_tokens or expected))
    left = expected - tokens_at_hand
    return left if left > 0.0 else 0.5 * tokens_at_hand


def rank_samples(
    step: RolloutStep, tokens_at_hand: dict[str, float], carried: Iterable[str] = ()
) -> dict[str, SampleRank]:
    """Return the rank of each sample by its id.

    Args:
        step: The step.
        tokens_at_hand: Tokens generated so far, by sample.
        carried: Groups of an earlier step, which the trainer waits for in any case.
    """
    left = {
        sample.sample_id: expected_left(sample, tokens_at_hand.get(sample.sample_id, 0.0))
        for sample in step.samples
    }
    longest: dict[str, float] = {}
    for sample in step.samples:
        longest[sample.group] = max(longest.get(sample.group, 0.0), left[sample.sample_id])
    must = [group for group in dict.fromkeys(carried) if group in longest]
    others = sorted((group for group in longest if group not in must), key=longest.__getitem__)
    wanted = step.wanted_groups or len(longest)
    spare = (must + others)[wanted:]
    order = {group: place + 1 for place, group in enumerate(spare)}
    return {
        sample.sample_id: SampleRank(
            spare=1 if sample.group in order else 0,
            group_order=order.get(sample.group, 0),
            shortness=-left[sample.sample_id],
            position=position,
        )
        for position, sample in enumerate(step.samples)
    }
