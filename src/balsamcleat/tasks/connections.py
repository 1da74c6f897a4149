"""Connections to targets, made through the adapters that the composition root chose."""

from collections.abc import Callable

from balsamcleat.model import TargetInfo
from balsamcleat.ports import Engine, PlainService, Scorer

__all__ = ["Connections"]


class Connections:
    """Makes the port for a target; adapters are chosen in the composition root.

    Args:
        engine_at: Makes an engine port for an address.
        service_at: Makes a plain service port for an address.
        scorer_at: Makes a scorer port for an address.
    """

    def __init__(
        self,
        create_engine: Callable[[str], Engine],
        create_service: Callable[[str], PlainService],
        create_scorer: Callable[[str], Scorer],
    ) -> None:
        self.create_engine = create_engine
        self.create_service = create_service
        self.create_scorer = create_scorer

    def engine(self, target: TargetInfo) -> Engine:
        """Return the engine port of a target."""
        return self.create_engine(target.address)

    def service(self, target: TargetInfo) -> PlainService:
        """Return the plain service port of a target."""
        return self.create_service(target.address)

    def scorer(self, target: TargetInfo) -> Scorer:
        """Return the scorer port of a target."""
        return self.create_scorer(target.address)
