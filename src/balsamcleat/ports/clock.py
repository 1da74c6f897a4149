"""The clock interface: monotonic time for decisions, wall-clock time for audit rows."""

from abc import ABC, abstractmethod

__all__ = ["Clock"]


class Clock(ABC):
    """Reads the monotonic and the wall clock, and sleeps."""

    @abstractmethod
    def now_s(self) -> float:
        """Return monotonic time in seconds; only differences are meaningful."""

    @abstractmethod
    def wall_s(self) -> float:
        """Return seconds since the Unix epoch, for audit rows and for display."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for ``seconds``."""
