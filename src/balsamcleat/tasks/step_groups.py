"""Groups the steps whose samples may run on the same targets, so that they are placed together."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from balsamcleat.model import ServiceName
from balsamcleat.model.routing import Route
from balsamcleat.tasks.owned_step import OwnedStep

__all__ = ["RoutedStep", "StepGroup", "group_steps"]


@dataclass(frozen=True, slots=True)
class RoutedStep:
    """A step that this VM owns, and the route that its samples follow now."""

    step: OwnedStep
    route: Route


@dataclass(slots=True)
class StepGroup:
    """Steps of which any two share a service, directly or by way of other steps of the group.

    Attributes:
        services: Services of the steps' routes.
        steps: The steps, in the order in which they were added.
    """

    services: dict[ServiceName, None] = field(default_factory=dict)
    steps: list[RoutedStep] = field(default_factory=list)


def group_steps(steps: Iterable[RoutedStep]) -> list[StepGroup]:
    """Return the groups of steps; a step whose route has no service is in none."""
    by_service: dict[ServiceName, StepGroup] = {}
    for routed in steps:
        services = routed.route.services
        known = {id(by_service[name]): by_service[name] for name in services if name in by_service}
        group, *others = known.values() or (StepGroup(),)
        for other in others:
            group.services |= other.services
            group.steps += other.steps
        group.services |= dict.fromkeys(services)
        group.steps.append(routed)
        by_service |= dict.fromkeys(group.services, group)
    return list({id(group): group for group in by_service.values()}.values())
