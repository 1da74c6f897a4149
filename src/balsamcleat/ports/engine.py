"""The interface to a model engine."""

from abc import ABC, abstractmethod
from collections.abc import AsyncGenerator
from dataclasses import dataclass

from balsamcleat.model import (
    CacheEvent,
    EngineState,
    GenerationRequest,
    LoadReport,
    RequestId,
    Role,
    TokenFrame,
    WeightVersion,
)

__all__ = ["Engine", "Fence", "OrderAccepted", "OrderRejected"]


@dataclass(frozen=True, slots=True)
class Fence:
    """The fencing token of an order; an engine may ignore it."""

    epoch: int


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine has accepted the order and started to execute it."""


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """The engine has rejected the order and changed nothing.

    Attributes:
        reason: Why the order was rejected.
        fence: Highest fencing token that the engine has seen.
    """

    reason: str
    fence: int


class Engine(ABC):
    """A client of one model engine.

    Every method raises ``AttemptFailedError`` if the engine could not be reached or its response
    was interrupted; the error's ``perhaps_sent`` says whether the engine may have acted.
    """

    @abstractmethod
    def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenFrame, None]:
        """Stream a generation; it is complete only if a frame with a finish reason arrives."""

    @abstractmethod
    async def cancel(self, request_id: RequestId) -> None:
        """Cancel the generation if it is still running."""

    @abstractmethod
    async def load_report(self) -> LoadReport:
        """Return the engine's latest load report, which may be outdated."""

    @abstractmethod
    async def state(self) -> EngineState:
        """Return the engine's loaded weights, adapters and role."""

    @abstractmethod
    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events with a number above ``after`` that the engine still keeps."""

    @abstractmethod
    async def order_load(
        self, version: WeightVersion, adapters: tuple[str, ...], fence: Fence
    ) -> OrderAccepted | OrderRejected:
        """Order the engine to load a weight version and adapters."""

    @abstractmethod
    async def order_role(self, role: Role, fence: Fence) -> OrderAccepted | OrderRejected:
        """Order the engine to change its role."""

    @abstractmethod
    async def export_kv(self, request_id: RequestId) -> str | None:
        """Export a generation's KV cache and return its handle, or None if unsupported."""
