"""Estimate true time from wall clocks of which some jump, without trusting any single one.

Failure: the wall clocks of some VMs jump by seconds and back, while usage is counted in windows of
true time. The store's clock is steady, but has no relation to the time of day. Each VM publishes
the difference between its wall clock and the store's clock, and for how long it has had it. All
VMs take the median of the live VMs' differences, weighted by these times, so that VMs that have
just started with a wrong clock don't outvote the others. A VM whose own clock jumps goes on
publishing its earlier difference until the clock has shown the new one for longer.

``steady_s`` is a VM's local clock in seconds; it includes suspended time and never jumps.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["ClockVote", "StoreOffset", "TrueTime", "WallClockWatch"]

MS_PER_S = 1000.0
# Wall clocks are slewed by at most 0.5 ms per second; a larger change between two readings is a
# jump.
JUMP_S = 0.1
# Differences that were held longer than this count alike: a jump is over within minutes.
MAX_HELD_S = 600.0
# Weight of a vote that was just cast, in seconds.
MIN_WEIGHT_S = 1.0
# A VM whose clock takes many values keeps those that it held longest.
MAX_LEVELS = 8
# Time for which the fastest answer of the store is used. Clocks drift apart by a few milliseconds
# in it.
OFFSET_LIFETIME_S = 60.0


@dataclass(frozen=True, slots=True)
class ClockVote:
    """What a VM publishes about its wall clock.

    Attributes:
        difference_ms: Time of the wall clock minus that of the store's clock, in milliseconds.
        held_s: Time for which the wall clock has shown this difference, in seconds.
    """

    difference_ms: int
    held_s: float


@dataclass(slots=True, eq=False)
class Level:
    """Difference between the wall clock and the steady clock, and the time it was held."""

    offset_s: float
    held_s: float


class WallClockWatch:
    """Detects jumps of this VM's wall clock, and keeps the difference that was held longest."""

    def __init__(self) -> None:
        self.levels: list[Level] = []
        self.current: Level | None = None
        self.read_at_s = 0.0

    def seed(self, offset_s: float, held_s: float) -> None:
        """Take over the difference that the previous process on this VM had."""
        known = self.find_level(offset_s)
        if known is None:
            self.levels.append(Level(offset_s, held_s))
        else:
            known.held_s += held_s

    def record(self, wall_s: float, steady_s: float) -> float | None:
        """Record a reading of both clocks; return by how much the wall clock jumped, in seconds.

        Returns:
            The jump since the last reading, or None if there was none.
        """
        offset_s = wall_s - steady_s
        jump_s: float | None = None
        if self.current is not None:
            change_s = offset_s - self.current.offset_s
            if abs(change_s) < JUMP_S:
                self.current.offset_s = offset_s
                self.current.held_s += steady_s - self.read_at_s
                self.read_at_s = steady_s
                return None
            jump_s = change_s
        self.read_at_s = steady_s
        self.current = self.find_level(offset_s) or Level(offset_s, 0.0)
        self.current.offset_s = offset_s
        if self.current not in self.levels:
            self.add_level(self.current)
        return jump_s

    def add_level(self, level: Level) -> None:
        """Add a level; the one that was held shortest is dropped if there are too many."""
        if len(self.levels) >= MAX_LEVELS:
            self.levels.remove(min(self.levels, key=lambda known: known.held_s))
        self.levels.append(level)

    def find_level(self, offset_s: float) -> Level | None:
        """Return the known level with this offset, if there is one."""
        for level in self.levels:
            if abs(level.offset_s - offset_s) < JUMP_S:
                return level
        return None

    def vote(self, store_offset_ms: float) -> ClockVote | None:
        """Return this VM's vote, or None before the first reading.

        Args:
            store_offset_ms: Time of the store's clock minus that of the steady clock.
        """
        if self.current is None:
            return None
        best = max(self.levels, key=lambda level: level.held_s)
        difference_ms = best.offset_s * MS_PER_S - store_offset_ms
        return ClockVote(round(difference_ms), round(min(best.held_s, MAX_HELD_S), 1))


@dataclass(slots=True)
class StoreOffset:
    """Difference between the store's clock and the steady clock.

    An answer of the store arrives some time after it was stamped, so each estimate is too low by
    that time. The highest recent one is the most accurate, also while the store is slow.

    Attributes:
        estimates: Times of readings in seconds and estimates in milliseconds; each estimate is
            higher than those after it.
    """

    estimates: deque[tuple[float, float]] = field(default_factory=deque)

    def record(self, store_ms: float, steady_s: float) -> None:
        """Record an estimate of the store's clock at a time."""
        offset_ms = store_ms - steady_s * MS_PER_S
        while self.estimates and self.estimates[-1][1] <= offset_ms:
            self.estimates.pop()
        self.estimates.append((steady_s, offset_ms))
        while self.estimates[0][0] < steady_s - OFFSET_LIFETIME_S:
            self.estimates.popleft()

    @property
    def offset_ms(self) -> float | None:
        """Store's clock minus steady clock in milliseconds, or None before the first answer."""
        return self.estimates[0][1] if self.estimates else None


class TrueTime:
    """True time as the store's clock plus a difference, on which the VMs vote.

    Attributes:
        difference_ms: True time minus the store's clock in milliseconds; None before any vote. It
            stays in force while no votes can be read.
    """

    def __init__(self) -> None:
        self.difference_ms: int | None = None

    def apply_votes(self, votes: Iterable[ClockVote]) -> None:
        """Apply the votes of all live VMs, this one included."""
        ordered = sorted(votes, key=lambda vote: vote.difference_ms)
        half_weight = sum(map(vote_weight, ordered)) / 2.0
        weight_so_far = 0.0
        for vote in ordered:
            weight_so_far += vote_weight(vote)
            if weight_so_far >= half_weight:
                self.difference_ms = vote.difference_ms
                return

    def true_ms(self, store_ms: float) -> float | None:
        """Return true time at a time of the store's clock; milliseconds since the start of 1970."""
        return None if self.difference_ms is None else store_ms + self.difference_ms


def vote_weight(vote: ClockVote) -> float:
    """Return the weight of a vote, in seconds; a malformed time counts as none."""
    return MIN_WEIGHT_S + min(MAX_HELD_S, max(0.0, vote.held_s))
