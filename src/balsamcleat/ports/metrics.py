"""The interface that records counters, gauges and timings."""

from abc import ABC, abstractmethod

__all__ = ["Metrics"]


class Metrics(ABC):
    """Records measurements; its methods never block and never raise."""

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""

    @abstractmethod
    def timing(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""
