"""The model engine port."""

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
    """The fencing number that an order carries; engines may ignore it."""

    epoch: int


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine began to carry out the order."""


@dataclass(frozen=True, slots=True)
class OrderRejected:
    """The engine did nothing; ``reason`` says why, ``fence`` the highest number it has seen."""

    reason: str
    fence: int


class Engine(ABC):
    """One model engine.

    Every method raises ``AttemptFailedError`` when the engine could not be asked or its answer
    was cut; ``perhaps_sent`` on the error says whether it may have acted.
    """

    @abstractmethod
    def generate(self, request: GenerationRequest) -> AsyncGenerator[TokenFrame, None]:
        """Stream the generation; it is whole only if a frame with a finish reason came."""

    @abstractmethod
    async def cancel(self, request_id: RequestId) -> None:
        """Stop the generation, if it still runs."""

    @abstractmethod
    async def load_report(self) -> LoadReport:
        """Return the engine's latest load report, which lags."""

    @abstractmethod
    async def state(self) -> EngineState:
        """Return what the engine has loaded."""

    @abstractmethod
    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events numbered above ``after`` that it still has."""

    @abstractmethod
    async def order_load(
        self, version: WeightVersion, adapters: tuple[str, ...], fence: Fence
    ) -> OrderAccepted | OrderRejected:
        """Order it to load a weight version and adapters."""

    @abstractmethod
    async def order_role(self, role: Role, fence: Fence) -> OrderAccepted | OrderRejected:
        """Order it to change its role."""

    @abstractmethod
    async def export_kv(self, request_id: RequestId) -> str | None:
        """Export a generation's KV cache; returns a handle, or None where not offered."""
