"""The trainer port: what a trainer can ask of the system, on this VM or through another."""

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
    """The batch after the trainer's cursor."""

    batch: Batch


@dataclass(frozen=True, slots=True)
class NoBatchYet:
    """Nothing new within the wait; ask again with the same cursor."""


@dataclass(frozen=True, slots=True)
class StepGone:
    """The step is cancelled, unknown or already whole at the cursor; ``reason`` says which."""

    reason: str


@dataclass(frozen=True, slots=True)
class PullRejected:
    """The pull can't be answered as it is; ``reason`` says what to send instead."""

    reason: str


PullOutcome = BatchReady | NoBatchYet | StepGone | PullRejected


class TrainerService(ABC):
    """Takes steps from trainers and hands out batches."""

    @abstractmethod
    async def open_step(self, spec: StepSpec) -> None:
        """Open the step; opening the same step again with the same content changes nothing.

        Raises:
            RefusedError: The step can't be taken; nothing was opened.
        """

    @abstractmethod
    async def pull(
        self, deployment: DeploymentName, step_id: StepId, ack: TrainerAck, wait_s: float
    ) -> PullOutcome:
        """Return the batch after the cursor; the cursor acknowledges all up to itself."""

    @abstractmethod
    async def report_version(self, deployment: DeploymentName, version: WeightVersion) -> None:
        """Take note that the trainer now has ``version``."""

    @abstractmethod
    async def cancel(self, deployment: DeploymentName, step_id: StepId) -> None:
        """Cancel the step."""
