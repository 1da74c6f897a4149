"""The interface that provides all random generators and unique ids."""

import random
from abc import ABC, abstractmethod

__all__ = ["Randomness"]


class Randomness(ABC):
    """Provides random generators and unique ids."""

    @abstractmethod
    def generator(self, name: str) -> random.Random:
        """Return a generator for the component with this name."""

    @abstractmethod
    def fresh_id(self) -> str:
        """Return a new id that no other process returns."""
