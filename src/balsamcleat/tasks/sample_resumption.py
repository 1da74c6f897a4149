"""Begins interrupted samples anew where no target of their software can continue them."""

from collections.abc import Awaitable, Callable, Coroutine, Iterable, Mapping
from dataclasses import replace
from typing import Any

import anyio
import structlog

from balsamcleat.decisions.engine_ranking import EngineView, can_take
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.sample_placement import WaitingSample
from balsamcleat.decisions.stream_origin import StreamOrigin
from balsamcleat.model import ServiceName, StepId
from balsamcleat.model.replicas import Replica, StreamSoftware, TargetStart
from balsamcleat.model.routing import Route
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.step_groups import RoutedStep

__all__ = ["SampleResumption"]

# An interrupted sample waits for a free target of its software at most this long for each event
# that it would lose, in seconds: about the time that the event took. It then costs at most twice
# what the better choice would have cost.
PATIENCE_PER_EVENT_S = 0.04
# A sample whose target is being asked for its start is looked at again after this time.
ASK_AGAIN_S = 0.05
# A target that did not confirm its start is asked again for streams that break off later than this.
UNCONFIRMED_LIFETIME_S = 2.0
MAX_UNCONFIRMED_STARTS = 1000

log = structlog.get_logger()


class SampleResumption:
    """Discards the events of interrupted samples that can't go on, so that they begin anew.

    Args:
        directory: Directory of the targets.
        confirm_start: Asks a target for its start; returns whether the list shows that one.
        start_task: Starts a task that is not cancelled with its caller.
        wake: Triggers a placement of samples.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        confirm_start: Callable[[Replica], Awaitable[bool]],
        start_task: Callable[[Callable[[Replica], Coroutine[Any, Any, None]], Replica], None],
        wake: Callable[[], None],
    ) -> None:
        self.directory = directory
        self.confirm_start = confirm_start
        self.start_task = start_task
        self.wake = wake
        # Starts of targets that are being asked, and those that did not confirm themselves,
        # with the time of that.
        self.asked_starts: set[TargetStart] = set()
        self.unconfirmed_at_s: dict[TargetStart, float] = {}

    def begin_anew_where_stranded(self, step: OwnedStep, route: Route) -> None:
        """Discard the events of a step's waiting samples that no target is going to continue."""
        versions = {name: self.directory.software_versions(name) for name in route.services}
        now_s = anyio.current_time()
        for sample_id, progress in step.progress.items():
            if not progress.events or not step.is_waiting(sample_id):
                continue
            step.resume_wait_began_s.setdefault(sample_id, now_s)
            software = self.directory.certain_software(progress.origin)
            if software is None and self.may_be_confirmed(progress.origin):
                step.retry_not_before_s[sample_id] = now_s + ASK_AGAIN_S
                continue
            reason = self.reason_to_begin_anew(software, versions)
            if reason:
                self.begin_anew(step, sample_id, reason)

    def may_be_confirmed(self, origin: StreamOrigin | None) -> bool:
        """Return whether the target that began a stream is being asked for its start.

        A target that still runs under the start that the list shows has begun the stream under it.
        """
        if origin is None:
            return False
        unconfirmed_at_s = self.unconfirmed_at_s.get(origin.start, float("-inf"))
        if anyio.current_time() - unconfirmed_at_s < UNCONFIRMED_LIFETIME_S:
            return False
        replica = self.directory.entries.get(origin.start.target_id)
        if replica is None or replica.start != origin.start:
            return False
        if origin.start not in self.asked_starts:
            self.asked_starts.add(origin.start)
            self.start_task(self.ask_start, replica)
        return True

    async def ask_start(self, replica: Replica) -> None:
        """Ask a target for its start, which settles the origin of all streams from it."""
        try:
            if not await self.confirm_start(replica):
                self.unconfirmed_at_s.pop(replica.start, None)
                self.unconfirmed_at_s[replica.start] = anyio.current_time()
                if len(self.unconfirmed_at_s) > MAX_UNCONFIRMED_STARTS:
                    del self.unconfirmed_at_s[next(iter(self.unconfirmed_at_s))]
        finally:
            self.asked_starts.discard(replica.start)
            self.wake()

    def end_long_waits(
        self,
        steps: Mapping[StepId, RoutedStep],
        unplaced: Iterable[WaitingSample],
        engines: Iterable[EngineView],
    ) -> None:
        """Discard the events of samples that wait for long while another engine has a slot."""
        now_s = anyio.current_time()
        for sample in unplaced:
            if sample.requirements.software_version is None:
                continue
            step, route = steps[sample.step_id].step, steps[sample.step_id].route
            event_count = len(step.progress[sample.sample_id].events)
            waited_s = now_s - step.resume_wait_began_s.get(sample.sample_id, now_s)
            if waited_s <= PATIENCE_PER_EVENT_S * event_count:
                continue
            anew = replace(sample.requirements, software_version=None, services=route.services)
            engine = next((engine for engine in engines if can_take(engine, anew)), None)
            if engine is not None:
                engine.load += 1.0
                self.begin_anew(step, sample.sample_id, "targets of its software are full")

    def reason_to_begin_anew(
        self, software: StreamSoftware | None, versions: Mapping[ServiceName, set[str]]
    ) -> str:
        """Return why no target of a route can continue a sample; empty if one can.

        Args:
            software: Software that began the sample, or None if it is not certain.
            versions: Versions of the software of ready targets, by service of the route.
        """
        if software is None:
            return "its software is not certain"
        if software.service not in versions:
            return "its route has another service now"
        is_ready = software.version in versions[software.service]
        return "" if is_ready else "no target of its software is ready"

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
