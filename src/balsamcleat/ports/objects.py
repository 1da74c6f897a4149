"""The interface to the platform's object store."""

from abc import ABC, abstractmethod

__all__ = ["ObjectStore"]


class ObjectStore(ABC):
    """Stores bodies that are too large for table rows.

    Every method raises ``PlatformUnavailableError`` if the service did not accept the request.
    ``put`` and ``delete`` raise ``OutcomeUnknownError`` if the response was lost. Both are
    idempotent: they can be retried safely as long as a key is always written with the same body.
    """

    @abstractmethod
    async def put(self, key: str, body: bytes) -> None:
        """Store ``body`` under ``key``."""

    @abstractmethod
    async def get(self, key: str) -> bytes | None:
        """Return the body stored under ``key``, or None if there is none."""

    @abstractmethod
    async def delete(self, key: str) -> None:
        """Delete the object if it exists."""

    @abstractmethod
    async def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys that start with ``prefix``, sorted."""
