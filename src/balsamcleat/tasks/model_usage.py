"""Determines how models are used, from the open steps in the step feed."""

from collections.abc import Callable

from balsamcleat.model import StepId
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.version_orders import ModelUsage

__all__ = ["ModelUsageReader"]


class ModelUsageReader:
    """Determines the usage of models from the steps that this VM knows.

    Args:
        steps: Returns the steps known from the feed, by id.
        store_now_ms: Returns the time of the store's clock in milliseconds.
        step_lifetime_ms: Time after its submission for which an open step counts as usage, in
            milliseconds.
    """

    def __init__(
        self,
        steps: Callable[[], dict[StepId, KnownStep]],
        store_now_ms: Callable[[], int | None],
        step_lifetime_ms: float,
    ) -> None:
        self.steps = steps
        self.store_now_ms = store_now_ms
        self.step_lifetime_ms = step_lifetime_ms

    def usage(self, model: str) -> ModelUsage:
        """Return the current usage of a model."""
        now_ms = self.store_now_ms()
        steps = [step for step in self.steps().values() if step.owner.model == model]
        newest = max(steps, key=lambda step: step.owner.accepted_ms, default=None)
        return ModelUsage(
            open_step_minimums=tuple(
                step.owner.oldest_version
                for step in steps
                if not step.ended
                and (now_ms is None or now_ms - step.owner.accepted_ms < self.step_lifetime_ms)
            ),
            expected_tokens=newest.owner.work if newest else 1.0,
            has_steps=newest is not None,
        )
