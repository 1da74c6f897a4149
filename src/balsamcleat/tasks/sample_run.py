"""Runs one sample at one target: sends it, reads its events, says how it ended."""

from dataclasses import dataclass
from enum import Enum

import anyio
import structlog

from balsamcleat.decisions.replica_evidence import EvidenceBook, ReplicaEvidence
from balsamcleat.decisions.sample_progress import SampleProgress
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ClientPool, EventParser, Exchange, Request, StreamEvent
from balsamcleat.model import FailureKind, WeightVersion
from balsamcleat.model.replicas import Replica
from balsamcleat.model.rollout import RolloutStep, SampleTask
from balsamcleat.platform import item_headers, read_marks, stream_versions

__all__ = ["SampleEnd", "SampleRunOutcome", "SampleRunner"]

# A target that sends neither a head nor an event for this long is given up; loading weights
# under a running sample takes less.
STREAM_IDLE_TIMEOUT_S = 1.2
# Before the head: the sample may wait in the target's queue.
RESPONSE_HEAD_TIMEOUT_S = 2.5
OK = 200
UNPROCESSABLE_CONTENT = 422
INTERNAL_SERVER_ERROR = 500

log = structlog.get_logger()


class SampleEnd(Enum):
    """How a run ended."""

    COMPLETE = "complete"
    # The target did not run it.
    REJECTED = "turned away"
    # The target runs a version that the step doesn't allow.
    VERSION_TOO_OLD = "too old"
    FAILED = "failed"
    UNPROCESSABLE = "impossible"
    # Cut, silent or unreadable: what came before stays at hand.
    INTERRUPTED = "broken"


@dataclass(frozen=True, slots=True)
class SampleRunOutcome:
    """A run's end; ``retry_after_s`` is what the target asked for."""

    end: SampleEnd
    reason: str = ""
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class SampleAssignment:
    """What to run where.

    Attributes:
        step: The step.
        sample: The sample.
        host: The route's host.
        replica: The target.
        remaining_s: Time left for the target.
        priority: 0 to 9, 0 first.
        single_version: Whether one version must make all of it.
    """

    step: RolloutStep
    sample: SampleTask
    host: str
    replica: Replica
    remaining_s: float
    priority: int
    single_version: bool


class SampleRunner:
    """Runs samples.

    Args:
        pool: Connections to targets.
        book: Evidence on them.
    """

    def __init__(self, pool: ClientPool, book: EvidenceBook) -> None:
        self.pool = pool
        self.book = book

    async def run(self, order: SampleAssignment, progress: SampleProgress) -> SampleRunOutcome:
        """Run a sample, or the rest of it, and add its events to ``progress``."""
        evidence = self.book.of(order.replica.target_id)
        if not progress.fits(order.step.oldest_version, single=order.single_version):
            progress.restart()
        exchange = Exchange(self.pool, order.replica.address, self.build_request(order, progress))
        evidence.in_flight += 1
        try:
            return await self.read_response(order, progress, exchange, evidence)
        except AttemptFailedError as error:
            evidence.failed(anyio.current_time())
            return SampleRunOutcome(SampleEnd.INTERRUPTED, f"{error.kind.value}: {error.message}")
        finally:
            exchange.end()
            evidence.in_flight -= 1

    def build_request(self, order: SampleAssignment, progress: SampleProgress) -> Request:
        """Return the request for a sample or the rest of it."""
        headers = item_headers(
            order.sample,
            order.host,
            target_id=order.replica.target_id,
            remaining_s=order.remaining_s,
            priority=order.priority,
            last_event=progress.last_event,
        )
        return Request("POST", order.sample.path, headers, order.sample.body)

    async def read_response(
        self,
        order: SampleAssignment,
        progress: SampleProgress,
        exchange: Exchange,
        evidence: ReplicaEvidence,
    ) -> SampleRunOutcome:
        """Read the answer to its end."""
        with anyio.move_on_after(RESPONSE_HEAD_TIMEOUT_S) as scope:
            await exchange.begin()
        if scope.cancelled_caught:
            raise exchange.failure("no answer began", FailureKind.SILENT)
        marks = read_marks(exchange.status, exchange.headers)
        now_s = anyio.current_time()
        if marks.running is not None:
            evidence.said_load(marks.running, marks.waiting, now_s)
        if exchange.status != OK:
            await exchange.discard_body()
        if marks.not_run:
            evidence.refused(now_s, marks.retry_after_s)
            reason = f"status {exchange.status}"
            return SampleRunOutcome(SampleEnd.REJECTED, reason, marks.retry_after_s)
        if exchange.status == UNPROCESSABLE_CONTENT:
            return SampleRunOutcome(SampleEnd.UNPROCESSABLE)
        if exchange.status == INTERNAL_SERVER_ERROR:
            return SampleRunOutcome(SampleEnd.FAILED)
        if exchange.status != OK or not marks.stamped:
            raise exchange.failure(f"status {exchange.status}", FailureKind.MALFORMED)
        if marks.weight_version is not None and marks.weight_version < order.step.oldest_version:
            return SampleRunOutcome(SampleEnd.VERSION_TOO_OLD, f"version {marks.weight_version}")
        progress.begin_stream(marks.weight_version)
        return await self.read_events(order, progress, exchange, evidence)

    async def read_events(
        self,
        order: SampleAssignment,
        progress: SampleProgress,
        exchange: Exchange,
        evidence: ReplicaEvidence,
    ) -> SampleRunOutcome:
        """Read events to the end of the stream."""
        parser = EventParser()
        came_s: float | None = None
        while True:
            with anyio.move_on_after(STREAM_IDLE_TIMEOUT_S) as scope:
                data = await exchange.next_data()
            if scope.cancelled_caught:
                raise exchange.failure("the stream went silent", FailureKind.SILENT)
            if not data:
                break
            events = self.parse_events(exchange, parser, data)
            for event in events:
                if not progress.take(event.number, event.data, stream_versions(event)):
                    raise exchange.failure("an event is out of order", FailureKind.MALFORMED)
            if not events:
                continue
            now_s = anyio.current_time()
            if came_s is not None:
                evidence.event_took((now_s - came_s) / len(events), now_s)
            came_s = now_s
            if not progress.fits(order.step.oldest_version, single=order.single_version):
                progress.restart()
                return SampleRunOutcome(SampleEnd.VERSION_TOO_OLD, "the version changed")
        if not exchange.framed or parser.rest.strip():
            raise exchange.failure("the end of the stream is uncertain", FailureKind.CUT)
        evidence.succeeded()
        return SampleRunOutcome(SampleEnd.COMPLETE)

    def parse_events(
        self, exchange: Exchange, parser: EventParser, data: bytes
    ) -> list[StreamEvent]:
        """Return the events that the data completes."""
        try:
            return parser.feed(data)
        except UnicodeDecodeError as error:
            raise exchange.failure(f"not text: {error}", FailureKind.MALFORMED) from error


def rejected_version(outcome: SampleRunOutcome) -> WeightVersion | None:
    """Return the version that a target was found to run, where that ended the run."""
    words = outcome.reason.split()
    if outcome.end is SampleEnd.VERSION_TOO_OLD and len(words) == 2 and words[1].isdecimal():
        return WeightVersion(int(words[1]))
    return None
