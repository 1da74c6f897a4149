"""Clients of targets, created through the adapters that the composition root chose."""

from collections.abc import Callable

from balsamcleat.model import TargetInfo
from balsamcleat.ports import Engine, PlainService, Scorer

__all__ = ["Connections"]


class Connections:
    """Creates the client of a target.

    Args:
        create_engine: Creates an engine client for an address.
        create_service: Creates a plain service client for an address.
        create_scorer: Creates a scorer client for an address.
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
        """Return the engine client of a target."""
        return self.create_engine(target.address)

    def service(self, target: TargetInfo) -> PlainService:
        """Return the plain service client of a target."""
        return self.create_service(target.address)

    def scorer(self, target: TargetInfo) -> Scorer:
        """Return the scorer client of a target."""
        return self.create_scorer(target.address)
