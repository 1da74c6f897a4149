"""Chooses the targets of live calls among those that were not tried and whose limits allow it."""

import random

import anyio

from balsamcleat.decisions.replica_choice import choose_replica
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.model import ServiceName, ZoneName
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import RouteKind
from balsamcleat.tasks.live_call import LiveCall

__all__ = ["TargetChooser"]


class TargetChooser:
    """Chooses the targets of live calls.

    Args:
        directory: Directory of the targets.
        stats_registry: Statistics and limits of the targets.
        zone: Availability zone of this VM.
        generator: Random generator for breaking ties.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        zone: ZoneName,
        generator: random.Random,
    ) -> None:
        self.directory = directory
        self.stats_registry = stats_registry
        self.zone = zone
        self.generator = generator

    def choose_target(self, call: LiveCall, *, is_copy: bool = False) -> Replica | None:
        """Return the best target for the call, or None if no more targets may be tried."""
        if not call.attempts.can_start() or call.remaining_s() <= 0.0:
            return None
        for service in call.services:
            replica = self.choose_in_service(call, service, is_copy=is_copy)
            if replica is not None:
                return replica
        return None

    def choose_in_service(
        self, call: LiveCall, service: ServiceName, *, is_copy: bool
    ) -> Replica | None:
        """Return the best target of a service for the call, or None if it has no other one."""
        now_s = anyio.current_time()
        replicas = self.candidates(call, service)
        if self.stats_registry.limits.is_active:
            replicas = [r for r in replicas if self.may_take(call, r, now_s, is_copy=is_copy)]
        return choose_replica(
            replicas,
            self.stats_registry,
            zone=self.zone,
            excluded=call.attempts.tried_targets,
            prompt_ids=call.prompt_ids,
            now_s=now_s,
            generator=self.generator,
            replaced_versions=self.replaced_versions(call, service, now_s),
        )

    def candidates(self, call: LiveCall, service: ServiceName) -> list[Replica]:
        """Return the ready targets of a service that may run the call, tried ones included."""
        replicas = self.directory.ready_replicas(service)
        if call.software is None:
            return replicas
        return [replica for replica in replicas if replica.software == call.software]

    def replaced_versions(self, call: LiveCall, service: ServiceName, now_s: float) -> set[str]:
        """Return the software versions where a new stream might find nothing to continue it."""
        if call.route.kind is not RouteKind.STREAM:
            return set()
        return self.directory.replaced_versions(service, now_s)

    def is_held_by_limits(self, call: LiveCall) -> bool:
        """Return whether only limits keep the call from targets that were not tried yet."""
        now_s = anyio.current_time()
        untried = self.untried_replicas(call)
        is_allowed = any(self.may_take(call, replica, now_s) for replica in untried)
        return bool(untried) and not is_allowed and call.attempts.can_start()

    def may_take(
        self, call: LiveCall, replica: Replica, now_s: float, *, is_copy: bool = False
    ) -> bool:
        """Return whether a target's limit allows a call; copies for speed leave it to others."""
        limits = self.stats_registry.limits
        if is_copy and limits.limit_per_s(replica.target_id) is not None:
            return False
        return limits.can_send(replica.target_id, now_s, is_live=not call.is_background)

    def can_continue_elsewhere(self, call: LiveCall, replica: Replica) -> bool:
        """Return whether an untried target has the same software as one that runs the stream."""
        return any(other.software == replica.software for other in self.untried_replicas(call))

    def untried_replicas(self, call: LiveCall) -> list[Replica]:
        """Return the ready targets that have not been tried yet, of all services of the call."""
        return [
            replica
            for service in call.services
            for replica in self.candidates(call, service)
            if replica.target_id not in call.attempts.tried_targets
        ]
