"""Builds the input of the decision on the number of targets from what this VM observes."""

import math
from collections import deque
from collections.abc import Callable

import anyio

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.scaling_types import PoolCounts, ScalingView, ZoneOrders
from balsamcleat.decisions.slot_need import DEMAND_WINDOW_S, SlotNeed, determine_need
from balsamcleat.decisions.step_history import HISTORY_S, StepHistory, StepSighting
from balsamcleat.decisions.target_mix import Pool
from balsamcleat.model import ServiceName, StepId, TargetId, WeightVersion, ZoneName
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import AutoscaleSpec, RouteKind, RoutingTable, ServiceSpec
from balsamcleat.tasks.step_feed import KnownStep

__all__ = ["ScalingInputs"]

MS_PER_S = 1000.0
# Steps of the newest weight version may run on this many versions before it, too.
USABLE_VERSION_LAG = 1


class ScalingInputs:
    """Observes steps and targets; every VM does, so that each can take over at any time.

    Args:
        directory: Directory of the targets.
        stats_registry: Observed load of the targets.
        steps: Returns the steps known from the change feed, by id.
        named_versions: Returns the named version of each model.
        versions: Returns the weight version of each model on a target.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        steps: Callable[[], dict[StepId, KnownStep]],
        named_versions: Callable[[], dict[str, WeightVersion]],
        versions: Callable[[Replica], dict[str, WeightVersion]],
    ) -> None:
        self.directory = directory
        self.stats_registry = stats_registry
        self.steps = steps
        self.named_versions = named_versions
        self.versions = versions
        self.histories: dict[ServiceName, StepHistory] = {}
        self.seen_versions: dict[str, WeightVersion] = {}
        # Requests at the targets of a service at earlier times, of the demand window.
        self.busy: dict[ServiceName, deque[tuple[float, int]]] = {}
        # Listed targets of a service, and the time since which there have been no others.
        self.listed: dict[ServiceName, tuple[frozenset[TargetId], float]] = {}

    def observe(self, table: RoutingTable, now_s: float) -> None:
        """Record the steps and the load of the services whose targets are ordered."""
        services = [name for name, spec in table.services.items() if spec.autoscale is not None]
        sightings: dict[ServiceName, list[StepSighting]] = {name: [] for name in services}
        for step_id, known in self.steps().items():
            for service, sighting in self.sightings(table, step_id, known, now_s).items():
                if service in sightings:
                    sightings[service].append(sighting)
        for name in services:
            history = self.histories.setdefault(name, StepHistory())
            for model in self.newly_named():
                history.record_named(model, now_s)
            history.observe(sightings[name], now_s)
            self.observe_load(name, now_s)
            self.observe_list(name, now_s)
        self.seen_versions = dict(self.named_versions())

    def newly_named(self) -> list[str]:
        """Return the models with a newer named version than at the last observation."""
        return [
            model
            for model, version in self.named_versions().items()
            if version > self.seen_versions.get(model, version)
        ]

    def sightings(
        self, table: RoutingTable, step_id: StepId, known: KnownStep, now_s: float
    ) -> dict[ServiceName, StepSighting]:
        """Return how a step is known now, with each service's share of its samples.

        An old step and one without a route have none.
        """
        submitted_s = known.owner.accepted_ms / MS_PER_S
        if now_s - submitted_s >= HISTORY_S:
            return {}
        route = table.match(known.owner.host, known.owner.path)
        if route is None or route.kind is not RouteKind.ROLLOUT:
            return {}
        total_weight = sum(share.weight for share in route.shares)
        return {
            share.service: StepSighting(
                step_id=step_id,
                model=known.owner.model,
                samples=math.ceil(known.owner.samples * share.weight / total_weight),
                submitted_s=submitted_s,
                due_s=route.step_deadline_s or route.step_expiry_s or HISTORY_S,
                is_ended=known.ended,
            )
            for share in route.shares
            if share.weight > 0.0
        }

    def observe_load(self, service: ServiceName, now_s: float) -> None:
        """Record the number of requests at the targets of a service, as far as it is known."""
        clock_s = anyio.current_time()
        requests = sum(
            self.stats_registry.for_replica(replica).load(clock_s)
            for replica in self.directory.ready_replicas(service)
        )
        busy = self.busy.setdefault(service, deque())
        busy.append((now_s, round(requests)))
        while busy[0][0] < now_s - DEMAND_WINDOW_S:
            busy.popleft()

    def observe_list(self, service: ServiceName, now_s: float) -> None:
        """Record since when no further target of a service has been listed."""
        targets = frozenset(replica.target_id for replica in self.replicas(service))
        known, since_s = self.listed.get(service, (frozenset(), now_s))
        self.listed[service] = (targets, since_s if targets <= known else now_s)

    def is_list_complete(self, spec: ServiceSpec, now_s: float) -> bool:
        """Return whether all targets that a new deployment starts with are listed.

        They register one after the other, the last ones after the time that a target takes to
        start.
        """
        if spec.autoscale is None or spec.name not in self.listed:
            return False
        return now_s - self.listed[spec.name][1] >= spec.autoscale.startup_s

    def view(
        self, spec: ServiceSpec, zones: dict[ZoneName, ZoneOrders], now_s: float
    ) -> ScalingView | None:
        """Return the input of the decision for a service; None if its targets are not ordered."""
        if spec.autoscale is None:
            return None
        replicas = self.replicas(spec.name)
        named = self.named_versions()
        models = [] if spec.engine is None else [m for m in spec.engine.models if m in named]
        ready = [replica for replica in replicas if self.directory.takes_requests(replica)]
        return ScalingView(
            spec=spec.autoscale,
            slots_per_target=slots_per_target(spec, ready),
            need=self.need(spec, now_s),
            zones=zones,
            counts=self.counts(replicas, models),
            busy_slots=max((slots for _, slots in self.busy.get(spec.name, ())), default=0),
            holders={
                model: sum(self.has_usable_version(replica, model) for replica in ready)
                for model in models
            },
        )

    def need(self, spec: ServiceSpec, now_s: float) -> SlotNeed | None:
        """Return the need of a service's steps; None if it runs no steps."""
        history = self.histories.get(spec.name)
        if spec.engine is None or history is None:
            return None
        return determine_need(history, spec.engine.models, now_s)

    def zones(self, service: ServiceName, spec: AutoscaleSpec) -> set[ZoneName]:
        """Return the zones in which a service has targets or prices."""
        return set(spec.zone_prices) | {replica.zone for replica in self.replicas(service)}

    def replicas(self, service: ServiceName) -> list[Replica]:
        """Return the listed targets of a service."""
        return [
            replica for replica in self.directory.entries.values() if replica.service == service
        ]

    def counts(self, replicas: list[Replica], models: list[str]) -> dict[Pool, PoolCounts]:
        """Return the targets of each pool."""
        by_pool: dict[Pool, list[Replica]] = {}
        for replica in replicas:
            by_pool.setdefault(Pool(replica.zone, replica.reclaimable), []).append(replica)
        counts = {}
        for pool, members in by_pool.items():
            ready = [replica for replica in members if self.directory.takes_requests(replica)]
            draining = [
                replica
                for replica in members
                if replica.state is ReplicaState.DRAINING or self.directory.is_leaving(replica)
            ]
            counts[pool] = PoolCounts(
                ready=len(ready),
                loaded=sum(
                    not models or any(self.has_usable_version(replica, m) for m in models)
                    for replica in ready
                ),
                draining=len(draining),
                are_leaving=any(replica.leaves_s is not None for replica in draining),
            )
        return counts

    def has_usable_version(self, replica: Replica, model: str) -> bool:
        """Return whether a target has the newest or the previous weight version of a model."""
        oldest = self.named_versions()[model] - USABLE_VERSION_LAG
        return self.versions(replica).get(model, 0) >= oldest


def slots_per_target(spec: ServiceSpec, ready: list[Replica]) -> int:
    """Return the number of requests that a target of a service runs at once."""
    if spec.engine is not None and spec.engine.batch_slots > 0:
        return spec.engine.batch_slots
    slots = sorted(replica.slots for replica in ready)
    return slots[len(slots) // 2] if slots else 1
