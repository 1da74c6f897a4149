"""Delay between full passes over all targets, based on the duration of the last pass.

Load pattern: with thousands of targets, a thousand samples end in a second, and each end requests
a pass over all targets. A single pass is cheap, but together they leave no processor time for other
tasks. Therefore the share of the process's time that passes take is bounded.
"""

__all__ = ["delay_after_pass"]

# Maximum share of the process's time that is spent on passes.
MAX_PASS_SHARE = 0.2
# Maximum delay before the next pass, however long the last one took, in seconds.
MAX_DELAY_S = 0.25


def delay_after_pass(duration_s: float) -> float:
    """Return the delay before the next pass, in seconds, given the duration of the last one."""
    return min(MAX_DELAY_S, duration_s * (1.0 / MAX_PASS_SHARE - 1.0))
