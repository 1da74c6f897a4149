"""The interface to the store of model weights."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from balsamcleat.model import WeightVersion

__all__ = ["WeightRecord", "WeightStore"]


@dataclass(frozen=True, slots=True)
class WeightRecord:
    """A weight version that engines can fetch.

    Attributes:
        service: Service that runs the model.
        version: Weight version.
        size_bytes: Size of the weights, in bytes.
    """

    service: str
    version: WeightVersion
    size_bytes: int


class WeightStore(ABC):
    """Reports which weight versions exist and how many concurrent fetches are allowed."""

    @abstractmethod
    async def describe(self, service: str, version: WeightVersion) -> WeightRecord | None:
        """Return the record of a weight version, or None if the version does not exist.

        Raises:
            PlatformUnavailableError: The store could not be reached.
        """

    @abstractmethod
    async def fetch_limit(self) -> int:
        """Return how many engines may fetch weights at the same time."""
