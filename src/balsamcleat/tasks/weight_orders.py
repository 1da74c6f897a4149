"""Orders engines to load the desired weights, while this VM holds the lease of their scope."""

from dataclasses import dataclass

import anyio
import structlog

from balsamcleat.api.trainer_messages import VersionReport
from balsamcleat.configuration import Configuration, Service, ServiceKind
from balsamcleat.decisions.waves import (
    DesiredWeights,
    ObservedEngine,
    WaveLimits,
    WaveScheduler,
    fetch_shares,
)
from balsamcleat.decoding import decode_json
from balsamcleat.errors import AttemptFailedError, PlatformError
from balsamcleat.model import TargetId, TargetInfo, WeightVersion, ZoneName
from balsamcleat.model.leases import Lease
from balsamcleat.ports import Clock, Fence, Metrics, OrderAccepted, Table, WeightStore
from balsamcleat.tasks.audit_trail import AuditTrail
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper
from balsamcleat.tasks.connections import Connections
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.target_watch import configured_targets

__all__ = ["WeightLoadController"]

RECONCILE_INTERVAL_S = 0.5
# A scope in which all engines have the desired weights is checked only at this interval.
SETTLED_INTERVAL_S = 5.0
MAX_PARALLEL_READS = 64
LIMIT_INTERVAL_S = 30.0
INITIAL_FETCH_LIMIT = 1

log = structlog.get_logger()


@dataclass
class OrderScope:
    """Engines of a service that one lease covers: those of one availability zone, or all.

    Attributes:
        lease_name: Name of the lease that the VM which gives orders must hold.
        zone_only: Whether only VMs of the engines' own zone compete for the lease.
        scheduler: Decides which engines load next.
        epoch: Epoch of the lease for which the scheduler was created.
        desired: Weights that were desired when the scope was last checked.
        settled_at_s: Time at which all engines had the desired weights, on the monotonic clock, in
            seconds; None while some engines lack them.
    """

    lease_name: str
    zone_only: bool
    scheduler: WaveScheduler
    epoch: int = 0
    desired: DesiredWeights | None = None
    settled_at_s: float | None = None


class WeightLoadController:
    """Orders weight loads for the scopes whose lease this VM holds.

    Args:
        keeper: Holds the configuration in force.
        leases: Leases of this VM.
        table: Table that holds the version reports of trainers.
        store: Weight store, which limits concurrent fetches.
        connections: Creates the clients of engines.
        clock: Monotonic clock.
        metrics: Receives the counters and gauges.
        zone: Availability zone of this VM.
        audit: Audit trail that records the orders; None to record nothing.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        leases: LeaseKeeper,
        table: Table,
        store: WeightStore,
        connections: Connections,
        clock: Clock,
        metrics: Metrics,
        zone: ZoneName,
        audit: AuditTrail | None = None,
    ) -> None:
        self.audit = audit
        self.keeper = keeper
        self.leases = leases
        self.table = table
        self.store = store
        self.connections = connections
        self.clock = clock
        self.metrics = metrics
        self.zone = zone
        self.scopes: dict[str, OrderScope] = {}
        self.fetch_limit = INITIAL_FETCH_LIMIT
        self.limit_read_at_s = float("-inf")

    async def run(self) -> None:
        """Reconcile the engines of every service, until cancelled."""
        while True:
            for name, service in self.keeper.current.body.services.items():
                if service.kind is not ServiceKind.ENGINE:
                    continue
                try:
                    await self.reconcile_service(name, service)
                except (PlatformError, AttemptFailedError):
                    self.metrics.count("weights.look.failed")
            await self.clock.sleep(RECONCILE_INTERVAL_S)

    async def reconcile_service(self, name: str, service: Service) -> None:
        """Order the engines of one service to load the desired weights."""
        targets = [
            target
            for target in configured_targets(self.keeper.current.body, frozenset())
            if target.service == name
        ]
        await self.refresh_fetch_limit()
        shares = fetch_shares(self.fetch_limit, count_by_zone(targets))
        if shares:
            targets = [target for target in targets if target.zone == self.zone]
        if not targets:
            return
        fetches = shares.get(self.zone, self.fetch_limit) if shares else self.fetch_limit
        scope_zone = self.zone if shares else "all"
        scope = self.scopes.setdefault(
            f"{name}/{scope_zone}",
            OrderScope(
                f"weights/{name}/{scope_zone}", bool(shares), WaveScheduler(service.honours_fencing)
            ),
        )
        await self.reconcile_scope(scope, name, service, targets, WaveLimits(fetches))

    async def reconcile_scope(
        self,
        scope: OrderScope,
        name: str,
        service: Service,
        targets: list[TargetInfo],
        limits: WaveLimits,
    ) -> None:
        """Read the state of the engines in a scope and order the missing loads."""
        lease = await self.leases.acquire(scope.lease_name, zone_only=scope.zone_only)
        if lease is None:
            return
        now_s = self.clock.now_s()
        if lease.epoch != scope.epoch:
            scope.epoch, scope.settled_at_s = lease.epoch, None
            scope.scheduler = WaveScheduler(service.honours_fencing)
            # The first holder of the lease need not wait for orders of a previous holder.
            if lease.epoch > 1:
                scope.scheduler.start_as_holder(now_s)
        desired = await self.desired_weights(name, service)
        if desired is None or self.can_skip(scope, desired, now_s):
            return
        scope.desired = desired
        engines = await self.read_engines(targets)
        chosen = scope.scheduler.next_engines(engines, desired, limits, self.clock.now_s())
        unsettled = [engine for engine in engines if not has_desired_version(engine, desired)]
        scope.settled_at_s = None if unsettled else now_s
        self.metrics.gauge(f"weights.{name}.unsettled", len(unsettled))
        by_id = {target.target_id: target for target in targets}
        async with anyio.create_task_group() as group:
            for target_id in chosen:
                group.start_soon(self.order_load, scope, by_id[target_id], desired)

    def can_skip(self, scope: OrderScope, desired: DesiredWeights, now_s: float) -> bool:
        """Return whether the scope is settled and need not be checked yet."""
        settled_at_s = scope.settled_at_s
        recently_settled = settled_at_s is not None and now_s - settled_at_s < SETTLED_INTERVAL_S
        return recently_settled and scope.desired == desired

    async def desired_weights(self, name: str, service: Service) -> DesiredWeights | None:
        """Return the weights that the service's engines should have.

        A version that the configuration pins takes precedence over the newest reported one.
        """
        if service.weight_version:
            return DesiredWeights(WeightVersion(service.weight_version), service.adapters)
        newest = 0
        for deployment in deployments_of(self.keeper.current.body, name):
            row = await self.table.get(f"weights/{deployment}")
            if row is not None:
                report = decode_json(row.value, VersionReport)
                newest = max(newest, report.weight_version)
        return DesiredWeights(WeightVersion(newest), service.adapters) if newest else None

    async def refresh_fetch_limit(self) -> None:
        """Read the weight store's limit of concurrent fetches, at most once per interval."""
        now_s = self.clock.now_s()
        if now_s - self.limit_read_at_s < LIMIT_INTERVAL_S:
            return
        try:
            self.fetch_limit = max(1, await self.store.fetch_limit())
        except PlatformError:
            self.metrics.count("weights.limit.failed")
        self.limit_read_at_s = now_s

    async def read_engines(self, targets: list[TargetInfo]) -> tuple[ObservedEngine, ...]:
        """Request the state of all engines; the state is None for an engine that fails."""
        engines: dict[TargetId, ObservedEngine] = {}
        limiter = anyio.Semaphore(MAX_PARALLEL_READS)

        async def read(target: TargetInfo) -> None:
            async with limiter:
                try:
                    state = await self.connections.engine(target).state()
                except AttemptFailedError:
                    self.metrics.count("weights.read.failed")
                    state = None
            engines[target.target_id] = ObservedEngine(target.target_id, state)

        async with anyio.create_task_group() as group:
            for target in targets:
                group.start_soon(read, target)
        return tuple(engines[target.target_id] for target in targets)

    def audit_order(
        self, target: TargetInfo, desired: DesiredWeights, lease: Lease, result: str
    ) -> None:
        """Record an order in the audit trail."""
        if self.audit is not None:
            self.audit.record(
                author=self.leases.vm_id,
                action="weights.order",
                subject=target.target_id,
                reason=f"version {desired.version} is due, epoch {lease.epoch}",
                result=result,
            )

    async def order_load(
        self, scope: OrderScope, target: TargetInfo, desired: DesiredWeights
    ) -> None:
        """Order one engine to load the desired weights."""
        # The lease may have been lost since the decision, for example while the process was paused.
        lease = self.leases.usable_lease(scope.lease_name)
        if lease is None or lease.epoch != scope.epoch:
            scope.scheduler.record_failure(target.target_id, self.clock.now_s())
            return
        engine = self.connections.engine(target)
        self.metrics.count("weights.order")
        try:
            outcome = await engine.order_load(desired.version, desired.adapters, Fence(lease.epoch))
        except AttemptFailedError as error:
            self.metrics.count("weights.order.failed")
            # An order that may have arrived counts as in progress until the engine's state is read.
            if not error.perhaps_sent:
                scope.scheduler.record_failure(target.target_id, self.clock.now_s())
            return
        accepted = isinstance(outcome, OrderAccepted)
        self.audit_order(target, desired, lease, "accepted" if accepted else "refused")
        if isinstance(outcome, OrderAccepted):
            log.info("weights ordered", target=target.target_id, version=desired.version)
            return
        self.metrics.count("weights.order.refused")
        log.warning("weights refused", target=target.target_id, reason=outcome.reason)
        scope.scheduler.record_failure(target.target_id, self.clock.now_s())


def has_desired_version(engine: ObservedEngine, desired: DesiredWeights) -> bool:
    """Return whether the engine has completely loaded the desired version."""
    state = engine.state
    return state is not None and state.whole and state.weight_version == desired.version


def count_by_zone(targets: list[TargetInfo]) -> dict[ZoneName, int]:
    """Return the number of targets in each availability zone."""
    counts: dict[ZoneName, int] = {}
    for target in targets:
        counts[target.zone] = counts.get(target.zone, 0) + 1
    return counts


def deployments_of(configuration: Configuration, service: str) -> tuple[str, ...]:
    """Return the deployments that use an engine service."""
    return tuple(
        name
        for name, deployment in configuration.deployments.items()
        if deployment.service == service
    )
