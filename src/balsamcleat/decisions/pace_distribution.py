"""Distribution of a target's pace, from the values that its responses report.

Load pattern: targets share their machines with other workloads. Their pace changes by a factor of
two within tenths of a second, so a reported value says nothing of the next second. A long sample
runs for several seconds, and what it needs is the mean pace over its run.
"""

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["PaceDistribution"]

# Values that arrive within this time of each other show the same state of the machine.
MIN_VALUE_SPACING_S = 0.1
# The longest samples run for about this long, so values of this age say what such a run meets.
VALUE_DECAY_S = 7.0
MAX_VALUES = 32
# With fewer values, the mean of a changing pace is mostly chance.
MIN_VALUES = 4
LOW_QUANTILE = 0.1
HIGH_QUANTILE = 0.9


@dataclass(slots=True)
class PaceDistribution:
    """Recent values of a target's pace; 1.0 is the usual pace and 2.0 takes twice the time.

    Attributes:
        ratios: Recent values, the newest last, at most one per tenth of a second.
        last_at_s: Time of the newest value on the process's clock.
        weighted_sum: Sum of all values, weighted by their age at ``last_at_s``.
        weight: Sum of the weights.
        low_ratio: The 10th percentile of the recent values.
        high_ratio: The 90th percentile of the recent values.
    """

    ratios: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_VALUES))
    last_at_s: float = -math.inf
    weighted_sum: float = 0.0
    weight: float = 0.0
    low_ratio: float = 1.0
    high_ratio: float = 1.0

    def record(self, ratio: float, now_s: float) -> None:
        """Record a reported value, unless another one was recorded just now."""
        age_s = self.age_s(now_s)
        if age_s < MIN_VALUE_SPACING_S:
            return
        decay = math.exp(-age_s / VALUE_DECAY_S)
        self.weighted_sum = self.weighted_sum * decay + ratio
        self.weight = self.weight * decay + 1.0
        self.last_at_s = now_s
        if age_s > VALUE_DECAY_S:
            self.ratios.clear()
        self.ratios.append(ratio)
        ordered = sorted(self.ratios)
        self.low_ratio = ordered[int(LOW_QUANTILE * (len(ordered) - 1))]
        self.high_ratio = ordered[math.ceil(HIGH_QUANTILE * (len(ordered) - 1))]

    def age_s(self, now_s: float) -> float:
        """Return the age of the newest value in seconds; infinite if there is none."""
        return now_s - self.last_at_s

    def is_known(self, now_s: float) -> bool:
        """Return whether there are enough recent values to expect a pace from them."""
        return len(self.ratios) >= MIN_VALUES and self.age_s(now_s) <= VALUE_DECAY_S

    def expected_ratio(self, now_s: float) -> float:
        """Return the mean pace to expect of a long run; 1.0 if it is unknown."""
        return self.weighted_sum / self.weight if self.is_known(now_s) else 1.0

    def spread(self, now_s: float) -> float:
        """Return by which factor the pace varies; 1.0 if it is unknown."""
        return self.high_ratio / self.low_ratio if self.is_known(now_s) else 1.0
