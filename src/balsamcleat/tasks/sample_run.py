"""Runs one sample on one target: sends the request, reads its events, reports how it ended."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import anyio
import structlog

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStats, ReplicaStatsRegistry
from balsamcleat.decisions.sample_progress import SampleProgress
from balsamcleat.decisions.stream_stall import SAMPLE_PAUSE_S, StallTimer
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Exchange, Request
from balsamcleat.model import FailureKind, TeamName, WeightVersion
from balsamcleat.model.replicas import Replica
from balsamcleat.model.rollout import RolloutStep, SampleTask
from balsamcleat.platform import (
    parse_started_ms,
    report_request,
    sample_request_headers,
)
from balsamcleat.tasks.event_reader import EventPiece, EventReader
from balsamcleat.tasks.hop_messages import StartCheck
from balsamcleat.tasks.target_exchange import FAILURES_OF_THIS_VM, TargetExchange
from balsamcleat.tasks.target_paths import TargetPaths

__all__ = ["SampleAssignment", "SampleEnd", "SampleRunOutcome", "SampleRunner"]

# Longest wait for the response head; longer, since the sample may wait in the target's queue.
RESPONSE_HEAD_TIMEOUT_S = 2.5
# Longest wait for a target to name its start, after streams from it were interrupted.
CONFIRM_TIMEOUT_S = 0.5
# Most characters of a sample's text; the store takes no larger result.
MAX_TEXT_SIZE = 1024 * 1024
OK = 200
UNPROCESSABLE_CONTENT = 422
INTERNAL_SERVER_ERROR = 500

log = structlog.get_logger()


class SampleEnd(Enum):
    """How a run of a sample ended."""

    COMPLETE = "complete"
    # The target rejected the sample without running it.
    REJECTED = "turned away"
    # The target runs a weight version that the step does not allow.
    VERSION_TOO_OLD = "too old"
    FAILED = "failed"
    UNPROCESSABLE = "impossible"
    # The stream was cut, went silent or was malformed; the progress up to there is kept.
    INTERRUPTED = "broken"


@dataclass(frozen=True, slots=True)
class SampleRunOutcome:
    """Outcome of a run.

    Attributes:
        end: How the run ended.
        reason: Detail for the log.
        retry_after_s: Delay before a retry that the target asked for, in seconds.
        error: Failure that interrupted the run, if any.
    """

    end: SampleEnd
    reason: str = ""
    retry_after_s: float | None = None
    error: AttemptFailedError | None = None


@dataclass(frozen=True, slots=True)
class SampleAssignment:
    """Assignment of a sample to a target.

    Attributes:
        step: Step that the sample belongs to.
        sample: Sample to run.
        host: Host of the step's route.
        replica: Target that runs the sample.
        remaining_s: Time that the target is given for the sample, in seconds.
        priority: Request priority from 0 to 9, 0 being the highest.
        single_version: Whether one weight version must generate the whole sample.
        is_wanted: Returns whether this VM may still send the sample.
        team: Team that submitted the step, if it has one.
        has_teams: Whether the configuration has teams.
    """

    step: RolloutStep
    sample: SampleTask
    host: str
    replica: Replica
    remaining_s: float
    priority: int
    single_version: bool
    is_wanted: Callable[[], bool]
    team: TeamName | None = None
    has_teams: bool = False


class SampleRunner:
    """Runs samples on targets.

    Args:
        pool: Connection pool to the targets.
        directory: Directory of the targets.
        stats_registry: Observed load, pace and failures of each target.
        paths: Tells which targets this VM reaches; None calls all of them directly.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        paths: TargetPaths | None = None,
    ) -> None:
        self.pool = pool
        self.directory = directory
        self.stats_registry = stats_registry
        self.paths = paths

    async def run(self, assignment: SampleAssignment, progress: SampleProgress) -> SampleRunOutcome:
        """Run a sample, or resume it, and append its events to ``progress``."""
        stats = self.stats_registry.for_replica(assignment.replica)
        if not progress.satisfies_version_bounds(
            assignment.step.oldest_version, single_version=assignment.single_version
        ):
            progress.reset()
        if progress.events and not self.can_continue(assignment.replica, progress):
            progress.reset()
        exchange = TargetExchange(
            self.pool,
            self.directory,
            assignment.replica,
            self.build_request(assignment, progress),
            assignment.is_wanted,
            self.stats_registry.limits,
            is_live=False,
            start_check=self.start_check(assignment.replica, progress),
            paths=self.paths,
            can_repeat=True,
            team=assignment.team,
        )
        stats.in_flight += 1
        try:
            return await self.read_response(assignment, progress, exchange, stats)
        except AttemptFailedError as error:
            if error.kind not in FAILURES_OF_THIS_VM:
                stats.record_failure(anyio.current_time())
            reason = f"{error.kind.value}: {error.message}"
            return SampleRunOutcome(SampleEnd.INTERRUPTED, reason, error=error)
        finally:
            exchange.end()
            stats.in_flight -= 1

    def can_continue(self, replica: Replica, progress: SampleProgress) -> bool:
        """Return whether a target's software is the one that wrote the sample's events."""
        software = self.directory.certain_software(progress.origin)
        return software is not None and software == replica.software

    def start_check(self, replica: Replica, progress: SampleProgress) -> StartCheck:
        """Return whether the target's start must be certain before the sample is sent.

        A sample that is interrupted soon loses little, so a question is asked for new samples only
        while several software versions serve.
        """
        if progress.events:
            return StartCheck.REQUIRED
        if len(self.directory.software_versions(replica.service)) > 1:
            return StartCheck.WANTED
        return StartCheck.NONE

    async def confirm_start(self, replica: Replica) -> bool:
        """Return whether a target names the start that the list shows, asked by any way to it."""
        request = report_request(replica)
        exchange = TargetExchange(
            self.pool,
            self.directory,
            replica,
            request,
            lambda: True,
            self.stats_registry.limits,
            is_live=False,
            paths=self.paths,
            takes_limit=False,
            expects_stamp=False,
        )
        started_ms: int | None = None
        try:
            with anyio.move_on_after(CONFIRM_TIMEOUT_S):
                await exchange.begin()
                started_ms = parse_started_ms(await exchange.read_response())
        except AttemptFailedError as error:
            log.info("start not confirmed", target=replica.target_id, reason=error.message)
        finally:
            exchange.end()
        if started_ms is None or started_ms != replica.started_ms:
            return False
        self.directory.record_alive(replica.start, anyio.current_time())
        return True

    def build_request(self, assignment: SampleAssignment, progress: SampleProgress) -> Request:
        """Return the request that runs a sample, resuming after its last event."""
        headers = sample_request_headers(
            assignment.sample,
            assignment.host,
            target_id=assignment.replica.target_id,
            remaining_s=assignment.remaining_s,
            priority=assignment.priority,
            last_event=progress.last_event,
            team=assignment.team,
            has_teams=assignment.has_teams,
        )
        return Request("POST", assignment.sample.path, headers, assignment.sample.body)

    async def read_response(
        self,
        assignment: SampleAssignment,
        progress: SampleProgress,
        exchange: TargetExchange,
        stats: ReplicaStats,
    ) -> SampleRunOutcome:
        """Read the response to its end."""
        with anyio.move_on_after(RESPONSE_HEAD_TIMEOUT_S) as scope:
            await exchange.begin()
        if scope.cancelled_caught:
            raise exchange.failure("no response head within the timeout", FailureKind.SILENT)
        metadata = exchange.metadata
        now_s = anyio.current_time()
        exchange.record_load(stats)
        if exchange.status != OK:
            await exchange.discard_body()
        if metadata.is_not_run:
            stats.record_rejection(now_s, metadata.retry_after_s)
            reason = f"status {exchange.status}"
            return SampleRunOutcome(SampleEnd.REJECTED, reason, metadata.retry_after_s)
        if exchange.status == UNPROCESSABLE_CONTENT:
            return SampleRunOutcome(SampleEnd.UNPROCESSABLE)
        if exchange.status == INTERNAL_SERVER_ERROR:
            return SampleRunOutcome(SampleEnd.FAILED)
        if exchange.status != OK:
            raise exchange.failure(f"status {exchange.status}", FailureKind.MALFORMED)
        if (
            metadata.weight_version is not None
            and metadata.weight_version < assignment.step.oldest_version
        ):
            return SampleRunOutcome(SampleEnd.VERSION_TOO_OLD, f"version {metadata.weight_version}")
        progress.begin_stream(metadata.weight_version, exchange.origin())
        return await self.read_events(assignment, progress, exchange, stats)

    async def read_events(
        self,
        assignment: SampleAssignment,
        progress: SampleProgress,
        exchange: Exchange,
        stats: ReplicaStats,
    ) -> SampleRunOutcome:
        """Read events until the stream ends."""
        reader = EventReader(progress.last_event)
        previous_event_s: float | None = None
        began_s = anyio.current_time()
        timer = StallTimer(SAMPLE_PAUSE_S, began_s, stats.recent_event_interval_s(began_s))
        while True:
            with anyio.move_on_after(timer.remaining_s(anyio.current_time())) as scope:
                piece = await reader.read(exchange)
            if scope.cancelled_caught:
                raise exchange.failure("the stream stalled between events", FailureKind.SILENT)
            if piece is None:
                break
            self.append_piece(exchange, progress, piece)
            if not piece.events:
                continue
            now_s = anyio.current_time()
            timer.record_events(len(piece.events), now_s)
            if previous_event_s is not None:
                interval_s = (now_s - previous_event_s) / len(piece.events)
                stats.record_event_interval(interval_s, now_s)
            previous_event_s = now_s
            stats.record_stream_pace(timer.event_count, now_s - began_s, now_s)
            if not progress.satisfies_version_bounds(
                assignment.step.oldest_version, single_version=assignment.single_version
            ):
                progress.reset()
                return SampleRunOutcome(SampleEnd.VERSION_TOO_OLD, "the weight version changed")
        if not exchange.has_explicit_framing or not reader.is_between_events:
            raise exchange.failure("the stream may be truncated", FailureKind.CUT)
        stats.record_success()
        return SampleRunOutcome(SampleEnd.COMPLETE)

    def append_piece(self, exchange: Exchange, progress: SampleProgress, piece: EventPiece) -> None:
        """Append the events of a piece to a sample's progress.

        Raises:
            AttemptFailedError: The events after those that were appended can't be used.
        """
        for event in piece.events:
            if not progress.append_event(event.number, event.data, event.weight_version):
                raise exchange.failure(
                    "an event's weight version is unknown or an earlier one", FailureKind.MALFORMED
                )
        if progress.text_size > MAX_TEXT_SIZE:
            progress.reset()
            raise exchange.failure("the text is too large", FailureKind.MALFORMED)
        if piece.fault:
            raise exchange.failure(piece.fault, FailureKind.MALFORMED)


def rejected_version(outcome: SampleRunOutcome) -> WeightVersion | None:
    """Return the weight version for which a target's response was rejected, or None.

    The version is parsed from the reason text "version N" of the outcome.
    """
    words = outcome.reason.split()
    if outcome.end is SampleEnd.VERSION_TOO_OLD and len(words) == 2 and words[1].isdecimal():
        return WeightVersion(int(words[1]))
    return None
