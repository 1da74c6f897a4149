"""The interface to services that score samples."""

from abc import ABC, abstractmethod

from balsamcleat.model import Sample

__all__ = ["Scorer"]


class Scorer(ABC):
    """Scores samples; scoring is idempotent, so it can be retried."""

    @abstractmethod
    async def score(self, prompt: str, sample: Sample, timeout_s: float) -> float:
        """Return the score of the sample.

        Raises:
            AttemptFailedError: The scorer did not respond or rejected the request.
        """
