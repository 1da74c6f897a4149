"""Builds the controller of the number of targets from the components of the entry process."""

from collections.abc import Callable

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.model import StepId
from balsamcleat.ports.duties import DutyClient, DutyLease
from balsamcleat.ports.rows import RowStore
from balsamcleat.tasks.placement_view import PlacementView
from balsamcleat.tasks.routing_keeper import RoutingKeeper
from balsamcleat.tasks.scaling_controller import ScalingController
from balsamcleat.tasks.scaling_inputs import ScalingInputs
from balsamcleat.tasks.scaling_records import ScalingRecords
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.store_clock import StoreClock

__all__ = ["build_scaling_controller"]


def build_scaling_controller(
    lease: DutyLease | None,
    client: DutyClient | None,
    store: RowStore,
    store_clock: StoreClock,
    routing: RoutingKeeper,
    directory: ReplicaDirectory,
    stats_registry: ReplicaStatsRegistry,
    placement_view: PlacementView,
    steps: Callable[[], dict[StepId, KnownStep]],
) -> ScalingController | None:
    """Return the controller; None if the settings do not give this VM the duty."""
    if lease is None or client is None:
        return None
    inputs = ScalingInputs(
        directory,
        stats_registry,
        steps,
        lambda: routing.named_versions,
        placement_view.versions,
    )
    records = ScalingRecords(store)
    return ScalingController(lease, client, records, inputs, store_clock, lambda: routing.table)
