"""Decide how soon a pass over everything may be repeated, by the time that the last one took.

Load pattern: with thousands of targets each of a thousand ends of samples a second asks for a look
at all of them. Each look would be cheap enough alone; together they leave no time for anything
else. The share of the process's time that looks take is bounded instead.
"""

__all__ = ["pause_after"]

# Passes take at most this share of the process's time.
PASS_SHARE = 0.2
# However long a pass took, the next one isn't later than this, in seconds.
LONGEST_PAUSE_S = 0.25


def pause_after(took_s: float) -> float:
    """Return the least time before the next pass, in seconds."""
    return min(LONGEST_PAUSE_S, took_s * (1.0 / PASS_SHARE - 1.0))
