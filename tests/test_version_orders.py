"""The controller of weight loads: a named version is ordered as soon as its step is placed."""

from collections.abc import Callable

import anyio
import anyio.abc
import structlog.testing

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.weight_rollout import (
    STEP_PLACEMENT_S,
    assign_engines,
    next_load_orders,
)
from balsamcleat.model import ConfigurationVersion, ServiceName, VmId, WeightVersion
from balsamcleat.model.replicas import Replica, ReplicaReport
from balsamcleat.model.routing import EngineSpec, RoutingTable, ServiceSpec
from balsamcleat.platform import OrderOutcome
from balsamcleat.platform.orders import OrderResult
from balsamcleat.ports.duties import DutyLease, DutyStamp
from balsamcleat.tasks.version_orders import ModelUsage, VersionLoadController
from step_world import MODEL, SERVICE, make_engine, run_in_virtual_time

ENGINES = 6
LOAD_S = 0.9
TABLE = RoutingTable(
    ConfigurationVersion(1), (), {SERVICE: ServiceSpec(SERVICE, 100, EngineSpec(6, 0, (MODEL,)))}
)


class HeldLease(DutyLease):
    """Lease on orders that this VM holds all the time."""

    @property
    def stamp(self) -> DutyStamp:
        return DutyStamp(VmId("vm-1"), 1)

    async def begin_calls(self) -> bool:
        return True

    async def end_calls(self) -> None:
        return None

    def report_fault(self) -> None:
        return None

    def can_call(self) -> bool:
        return True


class LoadingEngines:
    """Engines that load a version for some time after each order."""

    def __init__(self) -> None:
        self.ordered_at_s: dict[str, float] = {}
        self.versions: dict[str, WeightVersion] = {}

    async def order_load(
        self, replica: Replica, model: str, version: WeightVersion, **_: object
    ) -> OrderOutcome:
        self.ordered_at_s[replica.target_id] = anyio.current_time()
        self.versions[replica.target_id] = version
        return OrderOutcome(OrderResult.STARTED, 202)

    async def fetch_report(self, replica: Replica) -> ReplicaReport:
        ordered_s = self.ordered_at_s.get(replica.target_id, 0.0)
        is_loading = anyio.current_time() < ordered_s + LOAD_S
        version = WeightVersion(1) if is_loading else self.versions.get(replica.target_id, 1)
        return ReplicaReport({MODEL: WeightVersion(version)}, is_loading, 0)


def usage_by_one_step(model: str) -> ModelUsage:
    """Return the usage of a model by one open step, which allows version 1."""
    return ModelUsage((WeightVersion(1),), 1.0)


def load_controller(
    directory: ReplicaDirectory,
    engines: LoadingEngines,
    named: dict[str, WeightVersion],
    table: RoutingTable = TABLE,
    usage: Callable[[str], ModelUsage] = usage_by_one_step,
) -> VersionLoadController:
    """Return the controller of a VM that holds the lease on orders."""
    return VersionLoadController(
        HeldLease(),
        engines,  # type: ignore[arg-type]
        directory,
        ReplicaStatsRegistry(),
        lambda: table,
        lambda: named,
        usage,
    )


def test_named_version_is_ordered_right_after_its_step_was_placed() -> None:
    """The holder of the lease is idle when the version is named.

    Without a plan for the moment when the step is placed, the orders would wait for the next
    regular check, a second later.
    """

    async def test() -> None:
        directory, engines = ReplicaDirectory(), LoadingEngines()
        for number in range(ENGINES):
            directory.apply_entry(make_engine(number))
        versions: dict[str, WeightVersion] = {}
        controller = load_controller(directory, engines, versions)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run)
            await anyio.sleep(2.05)
            versions[MODEL] = WeightVersion(2)
            named_s = anyio.current_time()
            controller.wake()
            await anyio.sleep(5.0)
            tasks.cancel_scope.cancel()
        assert len(engines.ordered_at_s) == ENGINES
        first_s = min(engines.ordered_at_s.values()) - named_s
        assert STEP_PLACEMENT_S <= first_s < STEP_PLACEMENT_S + 0.2

    run_in_virtual_time(test)


def test_engines_of_all_services_load_a_named_version() -> None:
    """The samples of a split route run at both services, so both need its model's version."""

    async def test() -> None:
        directory, engines = ReplicaDirectory(), LoadingEngines()
        services = [ServiceName("first"), ServiceName("second")]
        for number in range(ENGINES):
            directory.apply_entry(make_engine(number, service=services[number % 2]))
        spec = EngineSpec(6, 0, (MODEL,))
        specs = {name: ServiceSpec(name, 100, spec) for name in services}
        table = RoutingTable(ConfigurationVersion(1), (), specs)
        controller = load_controller(directory, engines, {MODEL: WeightVersion(2)}, table)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run)
            await anyio.sleep(6.0)
            tasks.cancel_scope.cancel()
        assert set(engines.versions) == set(directory.entries)

    run_in_virtual_time(test)


def test_model_without_a_named_version_keeps_engines_for_its_steps() -> None:
    """Guards against loads of the first named model on all engines while others only run steps.

    When the others then named their versions, these loads were still running on most engines, and
    steps waited for 3 s for engines with a version that they allow.
    """
    models = ("first", "later", "unused")
    table = RoutingTable(
        ConfigurationVersion(1), (), {SERVICE: ServiceSpec(SERVICE, 100, EngineSpec(6, 0, models))}
    )
    directory = ReplicaDirectory()
    for number in range(ENGINES):
        directory.apply_entry(make_engine(number))
    named = {"first": WeightVersion(2)}
    controller = load_controller(
        directory,
        LoadingEngines(),
        named,
        table,
        lambda model: ModelUsage((WeightVersion(1),), 1000.0, has_steps=model != "unused"),
    )

    async def test() -> None:
        demands = controller.demands(SERVICE)
        assert [demand.model for demand in demands] == ["first", "later"]
        engines = controller.engine_weights(directory.ready_replicas(SERVICE))
        assigned = assign_engines(engines, demands)
        assert len(assigned["later"]) == ENGINES / 2
        await anyio.sleep(1.0)
        ordered = next_load_orders(engines, controller.demands(SERVICE))
        assert {order.model for order in ordered} == {"first"}
        assert not {order.target_id for order in ordered} & set(assigned["later"])

    run_in_virtual_time(test)


def test_division_of_engines_is_logged_when_it_changes_only() -> None:
    """Guards against a line per plan, ten per second, and against changes that nobody sees."""
    models = ("a", "b")
    table = RoutingTable(
        ConfigurationVersion(1), (), {SERVICE: ServiceSpec(SERVICE, 100, EngineSpec(6, 0, models))}
    )
    directory, work = ReplicaDirectory(), {"a": 1000.0, "b": 1000.0}
    for number in range(ENGINES):
        directory.apply_entry(make_engine(number))
    controller = load_controller(
        directory,
        LoadingEngines(),
        dict.fromkeys(models, WeightVersion(1)),
        table,
        lambda model: ModelUsage((WeightVersion(1),), work[model]),
    )

    async def test() -> None:
        with structlog.testing.capture_logs() as lines:
            for _ in range(3):
                controller.plan_orders()
            work["b"] = 3000.0
            controller.plan_orders()
        divisions = [line["engines"] for line in lines if line["event"] == "engines divided"]
        assert divisions == [{"a": 3, "b": 3}, {"a": 2, "b": 4}]

    run_in_virtual_time(test)
