"""Orders the number of targets of services, while this VM holds the lease on that duty."""

from collections.abc import Awaitable, Callable
from functools import partial

import anyio
import structlog

from balsamcleat.decisions.scaling_types import (
    PlannedOrder,
    PoolOrder,
    ScalingView,
    ZoneOrders,
)
from balsamcleat.decisions.target_mix import Pool
from balsamcleat.decisions.target_scaling import TargetScaler
from balsamcleat.errors import PlatformError
from balsamcleat.model import ServiceName, ZoneName
from balsamcleat.model.routing import RoutingTable, ServiceSpec
from balsamcleat.ports import Metrics
from balsamcleat.ports.duties import (
    Duty,
    DutyClient,
    DutyLease,
    DutyOutcome,
    DutyStamp,
    TargetCountOrder,
)
from balsamcleat.tasks.duty_faults import perform_guarded
from balsamcleat.tasks.scaling_inputs import ScalingInputs
from balsamcleat.tasks.scaling_records import ScalingRecords, ZoneKey
from balsamcleat.tasks.store_clock import StoreClock

__all__ = ["ScalingController"]

# Interval between two decisions. Each sends at most one order for each service, which is far below
# the platform's rate limit and fast enough to replace the targets of all zones within a second.
DECISION_INTERVAL_S = 0.25
# An older list of targets may miss ones that serve, or show ones that were lost.
MAX_LIST_AGE_S = 5.0
# Losses of reclaimable targets in a zone within this time count as one event, in seconds.
RECLAIM_EVENT_GAP_S = 10.0
# While this process stops, the end of the last call is recorded for at most this time, in seconds.
END_TIMEOUT_S = 1.0

log = structlog.get_logger()


class ScalingController:
    """Observes the services whose targets are ordered and, as the holder, sends the orders.

    Args:
        lease: Lease on the duty.
        client: Sends the orders.
        records: Ordered numbers in the row store.
        inputs: Observations of steps and targets.
        store_clock: Estimate of the store's clock.
        current_table: Returns the configuration in force.
    """

    def __init__(
        self,
        lease: DutyLease,
        client: DutyClient,
        records: ScalingRecords,
        inputs: ScalingInputs,
        store_clock: StoreClock,
        current_table: Callable[[], RoutingTable | None],
    ) -> None:
        self.lease = lease
        self.client = client
        self.records = records
        self.inputs = inputs
        self.store_clock = store_clock
        self.current_table = current_table
        # Stamp under which the records were last read, and whether they must be read again.
        self.stamp: DutyStamp | None = None
        self.must_read = True
        self.orders: dict[ZoneKey, ZoneOrders] = {}
        self.scalers: dict[ServiceName, TargetScaler] = {}
        self.views: dict[ServiceName, ScalingView] = {}
        self.is_failing = False
        self.gauge_names: set[str] = set()

    async def run(self) -> None:
        """Observe and, while this VM holds the lease, decide and order, until cancelled."""
        async with anyio.create_task_group() as tasks:
            # A slow platform or store must not make the ends of steps seem late.
            tasks.start_soon(self.repeat, self.observe)
            tasks.start_soon(self.repeat, self.act)

    async def repeat(self, action: Callable[[RoutingTable], Awaitable[None]]) -> None:
        """Perform an action at intervals until cancelled."""
        while True:
            await anyio.sleep(DECISION_INTERVAL_S)
            table = self.current_table()
            if table is None or self.store_clock.now_ms() is None:
                continue
            if not await perform_guarded(Duty.SCALING, self.lease, partial(action, table)):
                self.must_read = True

    async def observe(self, table: RoutingTable) -> None:
        """Record how steps and targets are now."""
        self.inputs.observe(table, self.now_s())

    async def act(self, table: RoutingTable) -> None:
        """Send the next orders, if this VM holds the lease and the store answers."""
        try:
            await self.send_orders(table)
            self.is_failing = False
        except PlatformError as error:
            # A write without a response may have taken effect, so the records are read again.
            self.must_read = True
            if not self.is_failing:
                log.warning("target orders wait for the store", reason=str(error))
            self.is_failing = True

    def now_s(self) -> float:
        """Return the time of the store's clock, in seconds; 0 before it is known."""
        return (self.store_clock.now_ms() or 0) / 1000.0

    def list_age_s(self) -> float:
        """Return the age of the list of targets, in seconds."""
        return anyio.current_time() - self.inputs.directory.read_at_s

    async def send_orders(self, table: RoutingTable) -> None:
        """Send at most one order for each service, if this VM holds the lease."""
        stamp = self.lease.stamp
        if stamp is None:
            self.must_read = True
            self.views.clear()
            return
        services = [spec for spec in table.services.values() if spec.autoscale is not None]
        if not services or self.list_age_s() > MAX_LIST_AGE_S:
            return
        if self.must_read or stamp != self.stamp:
            await self.take_over(stamp)
        for spec in services:
            await self.scale(spec, stamp)

    async def take_over(self, stamp: DutyStamp) -> None:
        """Read the last orders, which may be those of an earlier holder."""
        self.orders = await self.records.read()
        if stamp != self.stamp:
            self.scalers = {}
        for service, scaler in self.scalers.items():
            scaler.take_over(
                {zone: orders for (name, zone), orders in self.orders.items() if name == service}
            )
        self.stamp, self.must_read = stamp, False
        log.info("target orders taken over", fence=stamp.fencing_token, rows=len(self.orders))

    async def scale(self, spec: ServiceSpec, stamp: DutyStamp) -> None:
        """Decide for one service, and send its next order."""
        view = await self.current_view(spec)
        if view is None:
            return
        scaler = self.scalers.get(spec.name)
        if scaler is None:
            scaler = self.scalers[spec.name] = TargetScaler()
            scaler.take_over(view.zones)
        known_s = dict(scaler.reclaimed_s)
        planned = scaler.decide(view, self.now_s())
        for zone, reclaimed_s in scaler.reclaimed_s.items():
            if reclaimed_s - known_s.get(zone, float("-inf")) > RECLAIM_EVENT_GAP_S:
                log.warning("reclaimable targets taken away", service=spec.name, zone=zone)
        if planned is not None:
            await self.execute(spec.name, planned, scaler, stamp)

    async def current_view(self, spec: ServiceSpec) -> ScalingView | None:
        """Return the state of a service, or None while its targets are not known."""
        if spec.autoscale is None or not self.inputs.directory.ready_replicas(spec.name):
            return None
        # Without a row, the listed targets count as ordered: from an incomplete list, the next
        # order would release those that are missing in it.
        has_rows = any(service == spec.name for service, _ in self.orders)
        if not has_rows and not self.inputs.is_list_complete(spec, self.now_s()):
            return None
        zones = self.inputs.zones(spec.name, spec.autoscale)
        orders = {zone: self.orders.get((spec.name, zone), ZoneOrders()) for zone in zones}
        view = self.inputs.view(spec, orders, self.now_s())
        if view is None:
            return None
        for zone in sorted(zones):
            view.zones[zone] = await self.adopt_listed(spec.name, zone, view)
        self.views[spec.name] = view
        return view

    async def adopt_listed(
        self, service: ServiceName, zone: ZoneName, view: ScalingView
    ) -> ZoneOrders:
        """Return a zone's orders; take the ready targets as ordered where there was no order.

        The adopted numbers are stored, since a later holder may find fewer targets.
        """
        key = (service, zone)
        orders = adopted = view.zones[zone]
        for pool in (Pool(zone, False), Pool(zone, True)):
            ready = view.count(pool).ready
            order = orders.order(pool)
            if not order.ordered_s and ready > order.count:
                adopted = adopted.with_order(pool, PoolOrder(ready))
        if adopted != orders:
            await self.write(key, adopted)
        return self.orders.get(key, orders)

    async def write(self, key: ZoneKey, orders: ZoneOrders) -> bool:
        """Store a zone's orders; read all again if another VM has changed them."""
        if await self.records.write(key, orders):
            self.orders[key] = orders
            return True
        log.warning("target orders changed by another VM", service=key[0], zone=key[1])
        self.must_read = True
        return False

    async def execute(
        self, service: ServiceName, planned: PlannedOrder, scaler: TargetScaler, stamp: DutyStamp
    ) -> None:
        """Store an order, send it and record its outcome."""
        if self.must_read or not await self.lease.begin_calls():
            return
        try:
            key = (service, planned.pool.zone)
            if not await self.write(key, planned.zone_orders):
                return
            outcome = await self.send(service, planned, stamp)
            ready = self.views[service].count(planned.pool).ready
            self.orders[key] = scaler.record_outcome(planned, outcome, ready, self.now_s())
        finally:
            with anyio.move_on_after(END_TIMEOUT_S, shield=True):
                await self.lease.end_calls()
        self.log_order(service, planned, outcome, stamp)

    async def send(
        self, service: ServiceName, planned: PlannedOrder, stamp: DutyStamp
    ) -> DutyOutcome:
        """Send an order if the lease still allows it."""
        pool = planned.pool
        order = TargetCountOrder(service, pool.zone, planned.count, pool.reclaimable)
        if self.lease.stamp != stamp or not self.lease.can_call():
            return DutyOutcome.NOT_SENT
        return await self.client.order_targets(order, stamp)

    def log_order(
        self,
        service: ServiceName,
        planned: PlannedOrder,
        outcome: DutyOutcome,
        stamp: DutyStamp,
    ) -> None:
        """Log an order with the inputs of its decision."""
        view = self.views[service]
        need = view.need
        log.info(
            "targets ordered",
            service=service,
            zone=planned.pool.zone,
            kind=kind_name(planned.pool),
            before=planned.before,
            count=planned.count,
            reason=planned.reason.value,
            outcome=outcome.value,
            fence=stamp.fencing_token,
            ready=view.count(planned.pool).ready,
            loaded_all=view.loaded_targets,
            slots={model.model: model.slots for model in need.models} if need else {},
            slots_together=need.peak_together if need else 0,
            busy_slots=view.busy_slots,
            steps_late=need.is_late if need else False,
            steps_slow=need.is_slow if need else False,
            learned=need.is_learned if need else False,
            demand_age_s=round(need.age_s, 2) if need else None,
            list_age_s=round(self.list_age_s(), 2),
        )

    def report_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of wanted and ready targets; they are 0 at VMs without the lease."""
        for name in self.gauge_names:
            metrics.gauge(name, 0)
        for service, view in self.views.items():
            scaler = self.scalers.get(service)
            for pool in view.pools():
                suffix = f"{service}.{pool.zone}.{kind_name(pool)}"
                wanted = scaler.wanted.get(pool, 0) if scaler else 0
                values = {"wanted": wanted, "ready": view.count(pool).ready}
                for kind, value in values.items():
                    self.gauge_names.add(f"targets.{kind}.{suffix}")
                    metrics.gauge(f"targets.{kind}.{suffix}", value)


def kind_name(pool: Pool) -> str:
    """Return the name of a pool's kind of target in log lines and gauges."""
    return "reclaimable" if pool.reclaimable else "firm"
