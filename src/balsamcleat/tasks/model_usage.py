"""Determines how models are used, from the open steps in the step feed."""

from collections.abc import Callable

from balsamcleat.model import StepId
from balsamcleat.model.routing import RoutingTable
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.version_orders import ModelUsage

__all__ = ["ModelUsageReader"]


class ModelUsageReader:
    """Determines the usage of models from the steps that this VM knows.

    Args:
        steps: Returns the steps known from the feed, by id.
        store_now_ms: Returns the time of the store's clock in milliseconds.
        table: Returns the routing table in force, or None before there is one.
    """

    def __init__(
        self,
        steps: Callable[[], dict[StepId, KnownStep]],
        store_now_ms: Callable[[], int | None],
        table: Callable[[], RoutingTable | None],
    ) -> None:
        self.steps = steps
        self.store_now_ms = store_now_ms
        self.table = table

    def usage(self, model: str) -> ModelUsage:
        """Return the current usage of a model."""
        steps = [step for step in self.steps().values() if step.owner.model == model]
        newest = max(steps, key=lambda step: step.owner.accepted_ms, default=None)
        return ModelUsage(
            open_step_minimums=tuple(
                step.owner.oldest_version
                for step in steps
                if not step.ended and not self.is_expired(step)
            ),
            expected_tokens=newest.owner.work if newest else 1.0,
            has_steps=newest is not None,
        )

    def is_expired(self, step: KnownStep) -> bool:
        """Return whether a step's owner gives up its samples, as far as table and time are known.

        An open step counts whatever its age as long as its samples may run. They don't run any more
        once its route was removed.
        """
        table, now_ms = self.table(), self.store_now_ms()
        if table is None:
            return False
        route = table.match(step.owner.host, step.owner.path)
        if route is None:
            return True
        if not route.step_expiry_s or now_ms is None:
            return False
        return now_ms - step.owner.accepted_ms > route.step_expiry_s * 1000
