"""The service interface for trainers, on this VM or through another entry VM."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from balsamcleat.model import (
    Batch,
    DeploymentName,
    StepId,
    StepSpec,
    TrainerAck,
    WeightVersion,
)

__all__ = ["BatchReady", "NoBatchYet", "PullOutcome", "PullRejected", "StepGone", "TrainerService"]


@dataclass(frozen=True, slots=True)
class BatchReady:
    """The batch that follows the trainer's cursor."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class NoBatchYet:
    """No batch became ready within the wait; the trainer pulls again with the same cursor."""


@dataclass(frozen=True, slots=True)
class StepGone:
    """The step is cancelled, unknown or complete at the cursor; ``reason`` says which."""

    reason: str


@dataclass(frozen=True, slots=True)
class PullRejected:
    """The pull cannot be answered; ``reason`` says what the trainer should send instead."""

    reason: str


PullOutcome = BatchReady | NoBatchYet | StepGone | PullRejected


class TrainerService(ABC):
    """Accepts steps from trainers and delivers batches to them."""

    @abstractmethod
    async def open_step(self, spec: StepSpec) -> None:
        """Open the step; opening it again with the same content has no effect.

        Raises:
            RefusedError: The step was rejected and not opened.
        """

    @abstractmethod
    async def pull(
        self, deployment: DeploymentName, step_id: StepId, ack: TrainerAck, wait_s: float
    ) -> PullOutcome:
        """Return the batch after the cursor; the cursor acknowledges all batches up to it."""

    @abstractmethod
    async def report_version(self, deployment: DeploymentName, version: WeightVersion) -> None:
        """Record that the trainer now has weight version ``version``."""

    @abstractmethod
    async def cancel(self, deployment: DeploymentName, step_id: StepId) -> None:
        """Cancel the step."""
