"""Detect pauses of this process by regular checks of a clock.

Load pattern: a VM is paused or suspended for seconds, while other VMs take over or end its steps.
When it resumes, all of its streams have timed out at once and would be resumed, before its feeds
have reported that it no longer owns the steps.
"""

__all__ = ["MIN_PAUSE_S", "PauseDetector"]

# The clock is checked every 0.1 s. Within this time no other VM takes over a step, and the owner
# need not have received the end of a step yet (the platform allows 3 s).
MIN_PAUSE_S = 0.8


class PauseDetector:
    """Detects pauses with a clock that also advances while the VM is suspended."""

    def __init__(self) -> None:
        self.last_check_s: float | None = None

    def measure_pause(self, now_s: float) -> float:
        """Return how long the process was paused before this check, in seconds; 0 if it was not."""
        previous_check_s, self.last_check_s = self.last_check_s, now_s
        if previous_check_s is None or now_s - previous_check_s < MIN_PAUSE_S:
            return 0.0
        return now_s - previous_check_s

    def reset(self) -> None:
        """Suspend the detection, because the clock is not checked for a while."""
        self.last_check_s = None
