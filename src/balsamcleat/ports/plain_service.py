"""The interface to targets that are not model engines."""

from abc import ABC, abstractmethod

from balsamcleat.model import Answer, CallRequest

__all__ = ["PlainService"]


class PlainService(ABC):
    """A client of one target of a plain service."""

    @abstractmethod
    async def call(self, request: CallRequest, timeout_s: float) -> Answer:
        """Send the request once and return the complete response.

        Raises:
            AttemptFailedError: No complete response arrived; ``perhaps_sent`` says whether the
                request may have run.
        """
