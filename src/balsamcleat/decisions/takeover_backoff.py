"""Delays between the tries of a VM to take over steps that it can't load.

Load pattern: the store refuses reads of one table, or a step's rows are damaged for good, while
commits are performed. Each try writes the owner row, and each write reaches the feeds of all VMs,
so that tries without delays use up the store's rate of writes.
"""

from balsamcleat.model import StepId

__all__ = ["TakeoverBackoff"]

BASE_DELAY_S = 0.2
# Within the 5 s for which a sample of a step may wait while its step has no owner.
MAX_DELAY_S = 3.2


class TakeoverBackoff:
    """Delays per step, doubled with each failed try.

    Attributes:
        delays_s: Delay after the last failed try, by step, in seconds.
        not_before_s: Earliest time of the next try, by step, in seconds.
    """

    def __init__(self) -> None:
        self.delays_s: dict[StepId, float] = {}
        self.not_before_s: dict[StepId, float] = {}

    def is_waiting(self, step_id: StepId, now_s: float) -> bool:
        """Return whether the next try of a step is not due yet."""
        return now_s < self.not_before_s.get(step_id, now_s)

    def record_failure(self, step_id: StepId, now_s: float) -> None:
        """Record that a step could not be loaded."""
        delay_s = min(MAX_DELAY_S, 2.0 * self.delays_s.get(step_id, BASE_DELAY_S / 2.0))
        self.delays_s[step_id] = delay_s
        self.not_before_s[step_id] = now_s + delay_s

    def forget(self, step_id: StepId) -> None:
        """Forget the failures of a step that runs, or that need not run any more."""
        self.delays_s.pop(step_id, None)
        self.not_before_s.pop(step_id, None)

    def end_delays(self) -> None:
        """Let all steps be tried at once, as the store answers again after an outage."""
        self.not_before_s.clear()
