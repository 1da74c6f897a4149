"""Keep a number steady that follows a noisy need.

Load pattern: the sizes of steps vary by some percent, since unfinished groups return in the next
step. A number of targets that followed each of them would order and release targets all the time.
"""

import math
from dataclasses import dataclass

__all__ = ["SteadyLevel"]

# Share by which the level exceeds the need when it is set, so that a slightly larger step needs no
# further order.
HEADROOM = 0.05
# The level falls only if the need, with its headroom, is below this share of it.
FALL_SHARE = 0.85


@dataclass(slots=True)
class SteadyLevel:
    """A number that rises at once with the need and falls after the need was lower for long.

    Attributes:
        value: Current number.
        lower_since_s: Time since which the need has been clearly lower, in seconds.
        highest_lower: Highest level (need with headroom) since then.
    """

    value: int = 0
    lower_since_s: float | None = None
    highest_lower: int = 0

    def update(self, need: float, now_s: float, hold_s: float) -> int:
        """Return the number for a need that must be lower for ``hold_s`` seconds to lower it."""
        level = math.ceil(need * (1.0 + HEADROOM))
        if math.ceil(need) > self.value:
            self.value = level
        if level >= self.value * FALL_SHARE:
            self.lower_since_s = None
            return self.value
        if self.lower_since_s is None:
            self.lower_since_s, self.highest_lower = now_s, level
        self.highest_lower = max(self.highest_lower, level)
        if now_s - self.lower_since_s >= hold_s:
            self.value, self.lower_since_s = self.highest_lower, None
        return self.value
