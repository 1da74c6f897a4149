"""Decide how soon a pass over everything may be repeated, by the time that the last one took.

Load pattern: with thousands of targets each of a thousand ends of samples a second asks for a look
at all of them. Each look would be cheap enough alone; together they leave no time for anything
else. The share of the process's time that looks take is bounded instead.
"""

__all__ = ["delay_after_pass"]

# Passes take at most this share of the process's time.
MAX_PASS_SHARE = 0.2
# However long a pass took, the next one isn't later than this, in seconds.
MAX_DELAY_S = 0.25


def delay_after_pass(took_s: float) -> float:
    """Return the least time before the next pass, in seconds."""
    return min(MAX_DELAY_S, took_s * (1.0 / MAX_PASS_SHARE - 1.0))
