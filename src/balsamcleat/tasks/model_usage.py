"""Knows how models are used, from the open steps that the feed tells of."""

from collections.abc import Callable

from balsamcleat.model import StepId
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.version_orders import ModelUsage

__all__ = ["ModelUsageReader"]


class ModelUsageReader:
    """Answers questions about the use of models.

    Args:
        steps: Returns the steps known from the feed.
        store_now_ms: Returns the store's clock.
        kept_ms: How long after its submission a step matters, in milliseconds.
    """

    def __init__(
        self,
        steps: Callable[[], dict[StepId, KnownStep]],
        store_now_ms: Callable[[], int],
        step_lifetime_ms: float,
    ) -> None:
        self.steps = steps
        self.store_now_ms = store_now_ms
        self.step_lifetime_ms = step_lifetime_ms

    def usage(self, model: str) -> ModelUsage:
        """Return how a model is used now."""
        now_ms = self.store_now_ms()
        steps = [step for step in self.steps().values() if step.owner.model == model]
        newest = max(steps, key=lambda step: step.owner.accepted_ms, default=None)
        return ModelUsage(
            open_step_oldest_versions=tuple(
                step.owner.oldest_version
                for step in steps
                if not step.ended and now_ms - step.owner.accepted_ms < self.step_lifetime_ms
            ),
            expected_tokens=newest.owner.work if newest else 1.0,
        )
