"""The store's steady clock as this process knows it, and its own that counts suspended time."""

import time
from collections.abc import Callable

__all__ = ["StoreClock", "boot_clock_s"]


def boot_clock_s() -> float:
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StoreClock:
    """Goes on from the store's last answer by this process's clock.

    Args:
        clock: Returns seconds that also count while the machine is suspended.
    """

    def __init__(self, clock: Callable[[], float] = boot_clock_s) -> None:
        self.clock = clock
        self.synchronized_ms = 0
        self.synchronized_at_s = 0.0

    def synchronize(self, store_ms: int) -> None:
        """Take the store's clock from an answer."""
        self.synchronized_ms = store_ms
        self.synchronized_at_s = self.clock()

    def now_ms(self) -> int:
        """Return the store's clock in milliseconds, as far as known."""
        return self.synchronized_ms + int((self.clock() - self.synchronized_at_s) * 1000)
