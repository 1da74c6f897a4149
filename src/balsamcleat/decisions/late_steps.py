"""Estimate when open steps will end, and order the groups of a step that will be late.

Load pattern: several trainers overload the engines. Samples start longest first, which ends a whole
step earliest, but then all groups of a step are complete at about the same time. If that is after
the due time, no group is in time. Such a step starts its groups one after the other, those with the
least work left first: as many groups as possible are in time, and the others follow.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass

from balsamcleat.model.rollout import SampleTask

__all__ = ["StepWork", "expected_ends_s", "order_groups"]


@dataclass(frozen=True, slots=True)
class StepWork:
    """Work that is left of a step.

    Attributes:
        age_s: Time since the submission, in seconds.
        remaining_events: Expected number of stream events that its samples lack.
        running_count: Number of its samples that run.
    """

    age_s: float
    remaining_events: float
    running_count: int


def expected_ends_s(steps: Sequence[StepWork], event_interval_s: float) -> list[float]:
    """Return the time after its submission at which each step is expected to end, in seconds.

    The slots that the owner's samples hold now are what its steps get, the oldest step first; no
    other measure includes what other owners leave.

    Args:
        steps: Steps of one owner, the oldest first.
        event_interval_s: Interval between two events of a stream in seconds; 0 if unknown.

    Returns:
        The times; a step's age if the interval is unknown or none of its samples runs. Before a
        step's first placement, nobody knows how many slots it will get.
    """
    running_count = sum(step.running_count for step in steps)
    ends_s, events_ahead = [], 0.0
    for step in steps:
        events_ahead += step.remaining_events
        left_s = events_ahead * event_interval_s / running_count if step.running_count else 0.0
        ends_s.append(step.age_s + left_s)
    return ends_s


def order_groups(
    samples: Iterable[SampleTask],
    remaining_tokens: Mapping[str, float],
    carried_groups: Collection[str],
) -> dict[str, int]:
    """Return the position in which each group of a late step is started.

    Args:
        samples: Samples of the step.
        remaining_tokens: Expected number of tokens left of the unfinished samples, by sample id.
        carried_groups: Groups that return from an earlier step; they come first.
    """
    left: dict[str, float] = {}
    for sample in samples:
        left[sample.group] = left.get(sample.group, 0.0) + remaining_tokens.get(
            sample.sample_id, 0.0
        )
    ordered = sorted(left, key=lambda group: (group not in carried_groups, left[group]))
    return {group: position for position, group in enumerate(ordered)}
