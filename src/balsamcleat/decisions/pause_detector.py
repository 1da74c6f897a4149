"""Decide from a steady series of looks at the clock whether this process was paused.

Load pattern: a VM is paused or suspended for seconds while its steps are taken over or ended by
others. When it wakes, all of its streams have gone silent at once and want to be resumed, before
its feeds have told it that the work is no longer its own.
"""

__all__ = ["MIN_PAUSE_S", "PauseDetector"]

# Looks come every 0.1 s. Within this time no other VM takes a step over, and an end of a step need
# not have reached its owner (the platform allows 3 s).
MIN_PAUSE_S = 0.8


class PauseDetector:
    """Feed it looks at a clock that also counts while the machine is suspended."""

    def __init__(self) -> None:
        self.last_check_s: float | None = None

    def measure_pause(self, now_s: float) -> float:
        """Return how long the process was paused before this look, in seconds; 0 if it ran."""
        before_s, self.last_check_s = self.last_check_s, now_s
        if before_s is None or now_s - before_s < MIN_PAUSE_S:
            return 0.0
        return now_s - before_s

    def reset(self) -> None:
        """Take note that nobody looks for a while."""
        self.last_check_s = None
