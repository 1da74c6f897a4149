"""True time on this VM, from its clocks and from the votes in the VMs' rows.

This is the only module of the entry process that reads a wall clock.
"""

import time
from collections.abc import Callable, Iterable

import structlog

from balsamcleat.decisions.true_time import ClockVote, TrueTime, WallClockWatch
from balsamcleat.tasks.store_clock import StoreClock

__all__ = ["TrueClock"]

MS_PER_S = 1000.0
# Readings of the two clocks that lie further apart say nothing about a jump.
MAX_READING_S = 0.01

log = structlog.get_logger()


class TrueClock:
    """Estimates true time; before the first read of the VMs' rows it is not known.

    Args:
        store_clock: Estimate of the store's clock.
        wall_clock: Returns the time of this VM's wall clock, in seconds since the start of 1970.
    """

    def __init__(
        self, store_clock: StoreClock, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self.store_clock = store_clock
        self.wall_clock = wall_clock
        self.watch = WallClockWatch()
        self.true_time = TrueTime()

    def steady_s(self) -> float:
        """Return local time in seconds, including suspended time."""
        return self.store_clock.clock()

    def check_wall_clock(self) -> None:
        """Compare the wall clock with the steady clock."""
        before_s = self.steady_s()
        wall_s = self.wall_clock()
        after_s = self.steady_s()
        if after_s - before_s > MAX_READING_S:
            return
        jump_s = self.watch.record(wall_s, before_s)
        if jump_s is not None:
            log.warning("clock jumped", by_s=round(jump_s, 3))

    def seed(self, vote: ClockVote) -> None:
        """Go on with the vote of the previous process on this VM."""
        offset_ms = self.store_clock.offset.offset_ms
        if offset_ms is not None:
            self.watch.seed((vote.difference_ms + offset_ms) / MS_PER_S, vote.held_s)

    def vote(self) -> ClockVote | None:
        """Return this VM's vote, or None while one of the clocks is not known."""
        offset_ms = self.store_clock.offset.offset_ms
        return None if offset_ms is None else self.watch.vote(offset_ms)

    def apply_votes(self, votes: Iterable[ClockVote]) -> None:
        """Apply the votes of the other live VMs together with the own one."""
        own = self.vote()
        self.true_time.apply_votes([*votes, *([] if own is None else [own])])

    def true_ms(self, steady_s: float) -> float | None:
        """Return true time at a time of the steady clock, in milliseconds; None if unknown."""
        offset_ms = self.store_clock.offset.offset_ms
        if offset_ms is None:
            return None
        return self.true_time.true_ms(steady_s * MS_PER_S + offset_ms)
