"""Begins interrupted samples anew where no target of their software can continue them."""

from collections.abc import Iterable, Mapping
from dataclasses import replace

import anyio
import structlog

from balsamcleat.decisions.engine_ranking import EngineView, can_take
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.sample_placement import WaitingSample
from balsamcleat.model import ServiceName, StepId
from balsamcleat.model.replicas import StreamSoftware
from balsamcleat.tasks.owned_step import OwnedStep

__all__ = ["SampleResumption"]

# An interrupted sample waits for a free target of its software at most this long for each event
# that it would lose, in seconds: about the time that the event took. It then costs at most twice
# what the better choice would have cost.
PATIENCE_PER_EVENT_S = 0.04

log = structlog.get_logger()


class SampleResumption:
    """Discards the events of interrupted samples that can't go on, so that they begin anew.

    Args:
        directory: Directory of the targets.
    """

    def __init__(self, directory: ReplicaDirectory) -> None:
        self.directory = directory

    def begin_anew_where_stranded(self, step: OwnedStep, service: ServiceName) -> None:
        """Discard the events of a step's waiting samples that no target is going to continue."""
        versions = self.directory.software_versions(service)
        now_s = anyio.current_time()
        for sample_id, progress in step.progress.items():
            if not progress.events or not step.is_waiting(sample_id):
                continue
            step.resume_wait_began_s.setdefault(sample_id, now_s)
            software = self.directory.certain_software(progress.origin)
            reason = self.reason_to_begin_anew(software, service, versions)
            if reason:
                self.begin_anew(step, sample_id, reason)

    def end_long_waits(
        self,
        steps: Mapping[StepId, OwnedStep],
        unplaced: Iterable[WaitingSample],
        engines: Iterable[EngineView],
    ) -> None:
        """Discard the events of samples that wait for long while another engine has a slot."""
        now_s = anyio.current_time()
        for sample in unplaced:
            if sample.requirements.software_version is None:
                continue
            step = steps[sample.step_id]
            event_count = len(step.progress[sample.sample_id].events)
            waited_s = now_s - step.resume_wait_began_s.get(sample.sample_id, now_s)
            if waited_s <= PATIENCE_PER_EVENT_S * event_count:
                continue
            anew = replace(sample.requirements, software_version=None)
            engine = next((engine for engine in engines if can_take(engine, anew)), None)
            if engine is not None:
                engine.load += 1.0
                self.begin_anew(step, sample.sample_id, "targets of its software are full")

    def reason_to_begin_anew(
        self, software: StreamSoftware | None, service: ServiceName, versions: set[str]
    ) -> str:
        """Return why no target of a service can continue a sample; empty if one can."""
        if software is None:
            return "its software is not certain"
        if software.service != service:
            return "its route has another service now"
        return "" if software.version in versions else "no target of its software is ready"

    def begin_anew(self, step: OwnedStep, sample_id: str, reason: str) -> None:
        """Discard the events of a sample."""
        progress = step.progress[sample_id]
        software = self.directory.certain_software(progress.origin)
        log.info(
            "sample begun anew",
            step=step.step_id,
            sample=sample_id,
            lost_events=len(progress.events),
            software=software.version if software else None,
            reason=reason,
        )
        progress.reset()
        step.resume_wait_began_s.pop(sample_id, None)
