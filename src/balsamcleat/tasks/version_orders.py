"""Orders engines to load the named weight versions, while this VM holds the lease on orders."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import structlog

from balsamcleat.decisions.engine_ranking import SLOW_RATIO
from balsamcleat.decisions.pass_pacing import delay_after_pass
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.weight_rollout import (
    STEP_PLACEMENT_S,
    EngineWeights,
    LoadOrder,
    ModelDemand,
    engine_quotas,
    next_load_orders,
)
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import ServiceName, TargetId, WeightVersion
from balsamcleat.model.replicas import Replica, ReplicaReport
from balsamcleat.model.routing import RouteKind, RoutingTable
from balsamcleat.platform import OrderOutcome, ReplicaControl
from balsamcleat.platform.orders import OrderResult
from balsamcleat.ports.duties import Duty, DutyLease
from balsamcleat.tasks.duty_faults import FAULT_PAUSE_S, perform_guarded

__all__ = ["ModelUsage", "VersionLoadController"]

BUSY_INTERVAL_S = 0.1
IDLE_INTERVAL_S = 1.0
# A load takes about this long, so the first report is requested after this delay.
FIRST_REPORT_DELAY_S = 1.0
REPORT_INTERVAL_S = 0.15
# An order that was not answered may still take effect up to this much later.
UNKNOWN_OUTCOME_DELAY_S = 1.0
RETRY_DELAY_S = 0.5
# A load that no report has confirmed after this time is ordered again, if the target's state shows
# that it is missing.
LOAD_TIMEOUT_S = 6.0
# Stands for the version of a model whose trainer has not named one; no engine is behind it.
UNNAMED_VERSION = WeightVersion(0)

log = structlog.get_logger()


@dataclass(slots=True)
class OrderInFlight:
    """Order that is being sent or whose load has not been confirmed yet.

    Attributes:
        order: Order to the target.
        sent_s: Time at which the order was started, on the monotonic clock, in seconds.
    """

    order: LoadOrder
    sent_s: float


@dataclass(frozen=True, slots=True)
class ModelUsage:
    """Current usage of a model by open steps.

    Attributes:
        open_step_minimums: Oldest weight version that each open step allows.
        expected_tokens: Number of tokens expected for the newest step.
        has_steps: Whether steps of the model were submitted lately, be they open or ended.
    """

    open_step_minimums: tuple[WeightVersion, ...]
    expected_tokens: float
    has_steps: bool = True


class VersionLoadController:
    """Compares the named versions with those that engines run, and orders the missing loads.

    Args:
        lease: Lease on weight orders.
        control: Sends orders to targets and requests their reports.
        directory: Directory of the targets.
        stats_registry: Statistics of the targets.
        current_table: Returns the configuration in force.
        named_versions: Returns the named version of each model.
        model_usage: Returns the current usage of a model.
        on_unanswered: Called with a target that did not answer.
    """

    def __init__(
        self,
        lease: DutyLease,
        control: ReplicaControl,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        current_table: Callable[[], RoutingTable | None],
        named_versions: Callable[[], dict[str, WeightVersion]],
        model_usage: Callable[[str], ModelUsage],
        on_unanswered: Callable[[Replica], None] = lambda _: None,
    ) -> None:
        self.lease = lease
        self.control = control
        self.directory = directory
        self.stats_registry = stats_registry
        self.current_table = current_table
        self.named_versions = named_versions
        self.model_usage = model_usage
        self.on_unanswered = on_unanswered
        self.named_since: dict[str, tuple[WeightVersion, float]] = {}
        self.in_flight: dict[TargetId, OrderInFlight] = {}
        # Versions that targets reported to this VM directly; newer than their directory entries.
        self.versions: dict[tuple[TargetId, str], WeightVersion] = {}
        self.order_counts: dict[TargetId, tuple[int, int]] = {}
        self.retry_at_s: dict[TargetId, float] = {}
        # Number of orders being sent. While it is 0, the next holder of the lease need not wait
        # for orders of this one.
        self.orders_sending = 0
        # Whether the last planning found orders to give.
        self.has_pending_orders = False
        self.planning_took_s = 0.0
        # Number of engines that the last plan gives each model, by service.
        self.divisions: dict[ServiceName, dict[str, int]] = {}
        self.changed = anyio.Event()
        self.tasks: anyio.abc.TaskGroup | None = None

    def wake(self) -> None:
        """Plan again soon, because a version was named or the list of targets changed."""
        self.changed.set()

    async def run(self) -> None:
        """Plan and give orders until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            while True:
                with anyio.move_on_after(BUSY_INTERVAL_S if self.is_busy() else IDLE_INTERVAL_S):
                    await self.changed.wait()
                self.changed = anyio.Event()
                await perform_guarded(Duty.ORDERS, self.lease, self.give_pending_orders)
                await anyio.sleep(delay_after_pass(self.planning_took_s))

    def is_busy(self) -> bool:
        """Return whether this VM holds the lease and has orders in flight, pending or due soon."""
        if self.lease.stamp is None:
            return False
        return bool(self.in_flight) or self.has_pending_orders or self.has_orders_due_soon()

    def has_orders_due_soon(self) -> bool:
        """Return whether orders for a version that was named just now are still held back."""
        now_s = anyio.current_time()
        return any(now_s - since_s < STEP_PLACEMENT_S for _, since_s in self.named_since.values())

    def engines(self) -> dict[ServiceName, list[Replica]]:
        """Return the engines that accept requests, by service."""
        table = self.current_table()
        if table is None:
            return {}
        return {
            name: self.directory.ready_replicas(name)
            for name, traits in table.services.items()
            if traits.engine is not None
        }

    def plan_orders(self) -> list[LoadOrder]:
        """Return the orders to give now, for all services."""
        orders: list[LoadOrder] = []
        for service, replicas in self.engines().items():
            demands = self.demands(service)
            self.record_division(service, len(replicas), demands)
            orders += next_load_orders(self.engine_weights(replicas), demands)
        return orders

    def record_division(
        self, service: ServiceName, engine_count: int, demands: list[ModelDemand]
    ) -> None:
        """Record how many engines each model of a service gets, and log a change."""
        division = engine_quotas(engine_count, demands) if demands else {}
        if division != self.divisions.get(service, {}):
            log.info(
                "engines divided",
                service=service,
                engines=division,
                before=self.divisions.get(service, {}),
                work={demand.model: round(demand.work_share) for demand in demands},
                open_steps={demand.model: len(demand.open_step_minimums) for demand in demands},
            )
        self.divisions[service] = division

    def demands(self, service: ServiceName) -> list[ModelDemand]:
        """Return the demand for each model of a service that has a named version or steps.

        A model without a named version needs no loads, but engines for its steps. Without a share
        of its own, all engines would load the versions of the other models.
        """
        table = self.current_table()
        traits = table.services[service].engine if table else None
        named = self.named_versions()
        return [
            self.demand(model, named.get(model, UNNAMED_VERSION))
            for model in (traits.models if traits else ())
            if model in named or self.model_usage(model).has_steps
        ]

    def demand(self, model: str, named_version: WeightVersion) -> ModelDemand:
        """Return the demand for a model, with the age of its named version."""
        now_s = anyio.current_time()
        previous_version, since_s = self.named_since.get(model, (WeightVersion(0), now_s))
        if previous_version != named_version:
            since_s = now_s
            self.named_since[model] = (named_version, now_s)
        usage = self.model_usage(model)
        return ModelDemand(
            model=model,
            named_version=named_version,
            named_age_s=now_s - since_s,
            open_step_minimums=usage.open_step_minimums,
            work_share=usage.expected_tokens,
        )

    def engine_weights(self, replicas: list[Replica]) -> list[EngineWeights]:
        """Return the weights and the condition of engines, as far as this VM knows."""
        now_s = anyio.current_time()
        intervals_s = [
            self.stats_registry.for_replica(item).recent_event_interval_s(now_s)
            for item in replicas
        ]
        fastest_s = min((interval_s for interval_s in intervals_s if interval_s > 0.0), default=0.0)
        return [
            EngineWeights(
                target_id=replica.target_id,
                versions={
                    model: max(version, self.versions.get((replica.target_id, model), version))
                    for model, version in replica.versions.items()
                },
                ordered_versions=self.ordered_versions(replica.target_id),
                is_usable=now_s >= self.retry_at_s.get(replica.target_id, 0.0),
                is_slow=fastest_s > 0.0 and interval_s > SLOW_RATIO * fastest_s,
            )
            for replica, interval_s in zip(replicas, intervals_s, strict=True)
        ]

    def ordered_versions(self, target_id: TargetId) -> dict[str, WeightVersion]:
        """Return the versions, by model, that a target was ordered to load and does not run yet."""
        in_flight = self.in_flight.get(target_id)
        return {} if in_flight is None else {in_flight.order.model: in_flight.order.version}

    async def give_pending_orders(self) -> None:
        """Give all pending orders, if this VM holds the lease."""
        if self.lease.stamp is None or self.tasks is None:
            return
        began_s = anyio.current_time()
        orders = self.plan_orders()
        self.planning_took_s = anyio.current_time() - began_s
        self.has_pending_orders = bool(orders)
        if not orders:
            if not self.orders_sending:
                await self.lease.end_calls()
            return
        if not await self.lease.begin_calls() or not self.lease.can_call():
            return
        for order in orders:
            replica = self.directory.entries.get(order.target_id)
            if replica is not None:
                self.in_flight[order.target_id] = OrderInFlight(order, anyio.current_time())
                self.tasks.start_soon(self.try_order, order, replica)

    async def try_order(self, order: LoadOrder, replica: Replica) -> None:
        """Execute one order; a fault of this program with one target ends no other order."""
        try:
            await self.execute_order(order, replica)
        except Exception:
            log.exception("weight order failed by a fault", target=replica.target_id)
            self.retry_at_s[replica.target_id] = anyio.current_time() + FAULT_PAUSE_S

    async def execute_order(self, order: LoadOrder, replica: Replica) -> None:
        """Send one order and wait until the target reports the version or the load fails."""
        try:
            outcome = await self.send_counted(order, replica)
            if outcome.result is OrderResult.STARTED:
                self.record_accepted_order(replica)
                await self.wait_for_version(order, replica, FIRST_REPORT_DELAY_S)
            elif outcome.result is OrderResult.HOLDS_ALREADY:
                self.record_version(replica, order.model, order.version)
            elif outcome.result is OrderResult.UNKNOWN:
                await self.wait_for_version(order, replica, UNKNOWN_OUTCOME_DELAY_S)
            else:
                self.order_counts.pop(replica.target_id, None)
                self.retry_at_s[replica.target_id] = anyio.current_time() + RETRY_DELAY_S
        finally:
            self.in_flight.pop(replica.target_id, None)
            self.wake()

    async def send_counted(self, order: LoadOrder, replica: Replica) -> OrderOutcome:
        """Send one order, and count it as being sent meanwhile."""
        self.orders_sending += 1
        try:
            return await self.send_order(order, replica)
        finally:
            self.orders_sending -= 1
            self.wake()

    async def send_order(self, order: LoadOrder, replica: Replica) -> OrderOutcome:
        """Send one order with the target's order count, if the lease still allows it."""
        count = await self.order_count(replica)
        stamp = self.lease.stamp
        if count is None or stamp is None or not self.lease.can_call():
            return OrderOutcome(OrderResult.NOT_SENT)
        fence = stamp.fencing_token
        outcome = await self.control.order_load(
            replica,
            order.model,
            order.version,
            fencing_token=fence,
            order_count=count,
            continue_samples=not self.requires_single_version(replica.service),
            is_permitted=lambda: self.lease.permits(stamp),
        )
        log.info(
            "weight order",
            target=replica.target_id,
            model=order.model,
            version=order.version,
            fence=fence,
            order_count=count,
            outcome=outcome.result.value,
        )
        return outcome

    def requires_single_version(self, service: ServiceName) -> bool:
        """Return whether a rollout route of the service needs one version for a whole sample."""
        table = self.current_table()
        return table is not None and any(
            route.single_version
            for route in table.routes
            if route.kind is RouteKind.ROLLOUT
            and service in {share.service for share in route.shares}
        )

    async def wait_for_version(
        self, order: LoadOrder, replica: Replica, initial_delay_s: float
    ) -> None:
        """Wait until the target reports that it runs the version or that it has stopped loading."""
        deadline_s = anyio.current_time() + LOAD_TIMEOUT_S
        await anyio.sleep(initial_delay_s)
        while anyio.current_time() < deadline_s:
            report = await self.fetch_report(replica)
            if report is not None:
                if report.versions.get(order.model, 0) >= order.version:
                    log.info("weights loaded", target=replica.target_id, version=order.version)
                    self.stats_registry.for_replica(replica).clear_prompts()
                    return
                if not report.loading:
                    log.warning("weights not loaded", target=replica.target_id)
                    return
            if not self.directory.shows_start(replica.start):
                return
            await anyio.sleep(REPORT_INTERVAL_S)

    async def fetch_report(self, replica: Replica) -> ReplicaReport | None:
        """Request a target's report and record it; return None if the target does not answer."""
        try:
            report = await self.control.fetch_report(replica)
        except AttemptFailedError as error:
            log.warning("no report", target=replica.target_id, reason=error.message)
            self.on_unanswered(replica)
            return None
        self.order_counts[replica.target_id] = (report.started_ms, report.order_count)
        for model, version in report.versions.items():
            self.versions[(replica.target_id, model)] = version
        return report

    def record_version(self, replica: Replica, model: str, version: WeightVersion) -> None:
        """Record the version of a model that a target runs."""
        self.versions[(replica.target_id, model)] = version

    async def order_count(self, replica: Replica) -> int | None:
        """Return the number of orders that a target has accepted since its start.

        Returns:
            The number; None if it is unknown and the target does not answer.
        """
        started_ms, count = self.order_counts.get(replica.target_id, (None, 0))
        if started_ms == replica.started_ms:
            return count
        report = await self.fetch_report(replica)
        return None if report is None else report.order_count

    def record_accepted_order(self, replica: Replica) -> None:
        """Record that a target accepted one more order."""
        started_ms, count = self.order_counts[replica.target_id]
        self.order_counts[replica.target_id] = (started_ms, count + 1)

    def loading_models(self, target_id: TargetId) -> frozenset[str]:
        """Return the models whose weights a target is believed to be loading."""
        in_flight = self.in_flight.get(target_id)
        return frozenset() if in_flight is None else frozenset({in_flight.order.model})
