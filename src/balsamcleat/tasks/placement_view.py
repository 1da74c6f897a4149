"""Builds the input of the placement decision from owned steps and observed targets."""

from collections.abc import Callable, Iterable

from balsamcleat.decisions.engine_ranking import EngineView, SampleRequirements
from balsamcleat.decisions.replica_choice import order_services_by_key
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_placement import RunningSample, WaitingSample
from balsamcleat.decisions.step_order import expected_remaining_tokens
from balsamcleat.model import ServiceName, TargetId, WeightVersion, ZoneName
from balsamcleat.model.replicas import Replica
from balsamcleat.model.rollout import SampleTask
from balsamcleat.model.routing import Route
from balsamcleat.tasks.owned_step import OwnedStep

__all__ = ["TOKENS_PER_EVENT", "PlacementView"]

# Assumed number of output tokens in one event. Only ratios of the resulting estimates matter.
TOKENS_PER_EVENT = 60.0


class PlacementView:
    """Combines directory entries, observations of targets and the state of owned steps.

    Args:
        directory: Directory of the known targets.
        stats_registry: Observed load, pace and failures of each target.
        zone: Availability zone of this VM.
        loading: Returns the models whose weights a target is believed to be loading.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        zone: ZoneName,
        loading: Callable[[TargetId], frozenset[str]],
    ) -> None:
        self.directory = directory
        self.stats_registry = stats_registry
        self.zone = zone
        self.loading = loading
        # Weight versions named in the responses of targets; they may be newer than those in the
        # targets' directory entries.
        self.seen_versions: dict[tuple[TargetId, str], WeightVersion] = {}

    def record_version(self, target_id: TargetId, model: str, version: WeightVersion) -> None:
        """Record the weight version that a target's response named."""
        key = (target_id, model)
        self.seen_versions[key] = max(version, self.seen_versions.get(key, version))

    def versions(self, replica: Replica) -> dict[str, WeightVersion]:
        """Return the weight version of each model on a target: newest of entry and responses."""
        return {
            model: max(version, self.seen_versions.get((replica.target_id, model), version))
            for model, version in replica.versions.items()
        }

    def engines(self, services: Iterable[ServiceName], now_s: float) -> list[EngineView]:
        """Return the targets of services as placement candidates."""
        engines = []
        for service in services:
            replaced = self.directory.replaced_versions(service, now_s)
            engines += [
                self.engine(replica, now_s, is_replaced=replica.software_version in replaced)
                for replica in self.directory.ready_replicas(service)
            ]
        return engines

    def reports_pace(self, services: Iterable[ServiceName], now_s: float) -> bool:
        """Return whether any target of services has reported its pace lately."""
        return any(
            self.stats_registry.for_replica(replica).pace.is_known(now_s)
            for service in services
            for replica in self.directory.ready_replicas(service)
        )

    def engine(self, replica: Replica, now_s: float, *, is_replaced: bool) -> EngineView:
        """Return a target as a placement candidate."""
        stats = self.stats_registry.for_replica(replica)
        return EngineView(
            target_id=replica.target_id,
            slots=replica.slots,
            load=stats.load(now_s),
            event_interval_s=stats.expected_interval_s(now_s),
            loaded_versions=self.versions(replica),
            loading_models=self.loading(replica.target_id),
            is_usable=not stats.is_avoided(now_s),
            sendable=self.stats_registry.limits.sendable(replica.target_id, now_s, is_live=False),
            is_local=replica.zone == self.zone,
            recent_prompts=stats.recent_prompts,
            software_version=replica.software_version,
            is_replaced=is_replaced,
            service=replica.service,
        )

    def services(self, route: Route, sample: SampleTask) -> tuple[ServiceName, ...]:
        """Return the services of a route with targets, the one that a sample prefers first.

        The samples of a group prefer the same one, whose targets then have their prompt cached.
        """
        services = order_services_by_key(route.shares, sample.group)
        ready = [service for service in services if self.directory.has_ready(service)]
        return tuple(ready) or services

    def requirements(self, step: OwnedStep, route: Route, sample: SampleTask) -> SampleRequirements:
        """Return what a sample requires of its engine."""
        progress = step.progress.get(sample.sample_id)
        software = None
        if progress is not None and progress.events:
            software = self.directory.certain_software(progress.origin)
        return SampleRequirements(
            step.step.model,
            step.step.oldest_version,
            None if software is None else software.version,
            self.services(route, sample) if software is None else (software.service,),
        )

    def waiting_samples(self, step: OwnedStep, route: Route, now_s: float) -> list[WaitingSample]:
        """Return a step's samples that may start now, as input of the placement."""
        return [
            WaitingSample(
                step_id=step.step_id,
                sample_id=sample.sample_id,
                requirements=self.requirements(step, route, sample),
                prompt_id=sample.prompt_id,
                rank=(step.accepted_s, step.ranks[sample.sample_id]),
                goal=step.move_goals.get(sample.sample_id),
                group_position=step.group_positions.get(sample.group, 0),
            )
            for sample in step.waiting_samples(now_s)
        ]

    def movable_samples(self, step: OwnedStep, route: Route) -> list[RunningSample]:
        """Return a step's running samples that may be moved.

        Those are the samples that have produced an event and can go on without losing any, at a
        service of the step's route.
        """
        samples = []
        services = route.services
        for sample_id, run in step.running.items():
            progress = step.progress.get(sample_id)
            if run.is_moving or progress is None or not progress.events:
                continue
            sample = step.samples[sample_id]
            requirements = self.requirements(step, route, sample)
            if requirements.software_version is None:
                continue
            if requirements.services[0] not in services:
                continue
            tokens = len(progress.events) * TOKENS_PER_EVENT
            events_left = expected_remaining_tokens(sample, tokens) / TOKENS_PER_EVENT
            samples.append(
                RunningSample(
                    step_id=step.step_id,
                    sample_id=sample_id,
                    target_id=run.target_id,
                    requirements=requirements,
                    remaining_events=events_left,
                )
            )
        return samples
