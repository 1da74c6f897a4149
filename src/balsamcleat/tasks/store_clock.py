"""Estimate of the row store's clock, and a local clock that includes suspended time."""

import time
from collections.abc import Callable

from balsamcleat.decisions.true_time import StoreOffset

__all__ = ["StoreClock", "boot_clock_s"]

MS_PER_S = 1000.0


def boot_clock_s() -> float:
    """Return the seconds since the system started, including time in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreClock:
    """Estimates the store's clock from its answers and the local time passed since then.

    An answer arrives some time after the store stamped it, so it never puts the estimate back.

    Args:
        clock: Returns local monotonic time in seconds, including suspended time.

    Attributes:
        offset: Difference between the store's clock and the local clock.
        synchronized_at_s: Local time of the last answer, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock_s) -> None:
        self.clock = clock
        self.offset = StoreOffset()
        self.synchronized_at_s = 0.0

    def synchronize(self, store_ms: int) -> None:
        """Record the store's time in an answer, in milliseconds."""
        self.synchronized_at_s = self.clock()
        self.offset.record(store_ms, self.synchronized_at_s)

    def synchronize_first(self, store_ms: int) -> None:
        """Record the store's time in an answer unless one was recorded before."""
        if self.offset.offset_ms is None:
            self.synchronize(store_ms)

    def now_ms(self) -> int | None:
        """Return the estimated time of the store's clock, in milliseconds.

        It is None before the first answer. A guess would make new rows look old, or old ones new.
        """
        offset_ms = self.offset.offset_ms
        return None if offset_ms is None else round(self.clock() * MS_PER_S + offset_ms)
