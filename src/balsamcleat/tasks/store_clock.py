"""Estimate of the row store's clock, and a local clock that includes suspended time."""

import time
from collections.abc import Callable

__all__ = ["StoreClock", "boot_clock_s"]


def boot_clock_s() -> float:
    """Return the seconds since the system started, including time in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreClock:
    """Estimates the store's clock from its last answer and the local time passed since then.

    Args:
        clock: Returns local monotonic time in seconds, including suspended time.

    Attributes:
        synchronized_ms: Store's time in the last answer, in milliseconds; None before the first.
        synchronized_at_s: Local time of that answer, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock_s) -> None:
        self.clock = clock
        self.synchronized_ms: int | None = None
        self.synchronized_at_s = 0.0

    def synchronize(self, store_ms: int) -> None:
        """Set the clock to the store's time in an answer, in milliseconds."""
        self.synchronized_ms = store_ms
        self.synchronized_at_s = self.clock()

    def synchronize_first(self, store_ms: int) -> None:
        """Set the clock to the store's time in an answer unless it was set before."""
        if self.synchronized_ms is None:
            self.synchronize(store_ms)

    def now_ms(self) -> int | None:
        """Return the estimated time of the store's clock, in milliseconds.

        It is None before the first answer. A guess would make new rows look old, or old ones new.
        """
        if self.synchronized_ms is None:
            return None
        return self.synchronized_ms + int((self.clock() - self.synchronized_at_s) * 1000)
