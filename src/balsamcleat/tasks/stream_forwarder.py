"""Relays live event streams, and resumes an interrupted stream at another target."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.live_attempts import FailureStatus
from balsamcleat.decisions.replica_stats import ReplicaStats
from balsamcleat.decisions.stream_origin import StreamOrigin
from balsamcleat.decisions.stream_stall import StallTimer, caller_patience_s, resume_pause_s
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import (
    BufferedWriter,
    Exchange,
    ReaderTooSlowError,
    Request,
    Responder,
    Response,
)
from balsamcleat.model import FailureKind, TeamName
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import Route
from balsamcleat.platform import (
    forwarded_request_headers,
    forwarded_response_headers,
    parse_last_event_id,
    parse_resumed_attempt,
)
from balsamcleat.tasks.attempt_log import log_answered
from balsamcleat.tasks.event_reader import EventPiece, EventReader
from balsamcleat.tasks.hop_messages import StartCheck
from balsamcleat.tasks.live_call import LiveCall
from balsamcleat.tasks.live_errors import (
    blocked_error,
    no_target_error,
    rejection_error,
    send_error_response,
    stranded_stream_error,
)
from balsamcleat.tasks.live_forwarder import LiveForwarder, live_priority
from balsamcleat.tasks.stream_register import StreamRegister
from balsamcleat.tasks.target_exchange import FAILURES_OF_THIS_VM, TargetExchange

__all__ = ["StreamForwarder"]

OK = 200
# Delay after which a caller whose stream can't go on may begin it anew; nothing has to change
# first.
BEGIN_ANEW_DELAY_S = 0.05
LIMIT_RECHECK_S = 0.05

log = structlog.get_logger()


class StreamRelay:
    """Stream to one caller, which one or several targets produce in turn.

    Args:
        call: Request of the caller.
        responder: Writes the response to the caller.
        writer: Writes the events of that response.
        on_begin: Called with the origin of a stream when its first event is relayed.
        on_run: Called when the first event of this answer arrives, also if it resumes a stream.

    Attributes:
        last_event: Number of the last event that the caller has, or None.
        origin: Target that began the stream, if it began in this answer.
        has_events: Whether the caller has events of the stream.
        has_run: Whether a target has produced an event of this answer.
        finished: Whether a target's stream was read to its end.
    """

    def __init__(
        self,
        call: LiveCall,
        responder: Responder,
        writer: BufferedWriter,
        on_begin: Callable[[StreamOrigin | None], None],
        on_run: Callable[[], None],
    ) -> None:
        self.call = call
        self.responder = responder
        self.writer = writer
        self.on_begin = on_begin
        self.on_run = on_run
        self.has_run = False
        self.last_event = parse_last_event_id(call.request.headers)
        self.origin: StreamOrigin | None = None
        self.has_events = bool(self.last_event)
        self.finished = False

    async def relay_stream(self, exchange: TargetExchange, timer: StallTimer) -> None:
        """Relay a target's stream until it ends.

        Args:
            exchange: Exchange whose head was read.
            timer: Measures the progress of the stream.

        Raises:
            AttemptFailedError: The stream was interrupted; complete events up to ``last_event``
                were relayed.
        """
        if not self.responder.has_started:
            await self.responder.start_chunked(
                exchange.status, forwarded_response_headers(exchange.headers)
            )
        reader = EventReader(self.last_event)
        while True:
            with anyio.move_on_after(timer.remaining_s(anyio.current_time())) as scope:
                piece = await reader.read(exchange)
            if scope.cancelled_caught:
                raise exchange.failure("the stream stalled between events", FailureKind.SILENT)
            if piece is None:
                break
            await self.relay_piece(exchange, piece)
            if piece.fault:
                raise exchange.failure(piece.fault, FailureKind.MALFORMED)
            timer.record_events(len(piece.events), anyio.current_time())
        if not exchange.has_explicit_framing or not reader.is_between_events:
            raise exchange.failure("the stream may be truncated", FailureKind.CUT)
        self.finished = True

    async def relay_piece(self, exchange: TargetExchange, piece: EventPiece) -> None:
        """Relay the events of a piece; the stream goes on after the last one that was relayed."""
        if piece.events and not self.has_run:
            self.has_run = True
            self.on_run()
        if piece.events and not self.has_events:
            self.has_events = True
            self.origin = exchange.origin()
            self.on_begin(self.origin)
        if piece.raw:
            await self.writer.write(piece.raw)
        if piece.events:
            self.last_event = piece.events[-1].number


class StreamForwarder:
    """Forwards live streams.

    Args:
        forwarder: Admits calls, chooses targets and records their statistics.
        register: Knows which software began the streams of callers, at all VMs.
    """

    def __init__(self, forwarder: LiveForwarder, register: StreamRegister) -> None:
        self.forwarder = forwarder
        self.register = register

    async def answer(
        self,
        request: Request,
        route: Route,
        responder: Responder,
        version: int,
        team: TeamName | None = None,
    ) -> None:
        """Answer a request with a target's stream or with an error response.

        Args:
            request: Request of the caller.
            route: Route that the request matched.
            responder: Writes the response to the caller.
            version: Number of the configuration that contains the route.
            team: Team that sent the request, if it has one.
        """
        call = await self.forwarder.admit(request, route, responder, team)
        if call is None:
            return
        if route.resumable and not await self.require_software(call):
            error = stranded_stream_error(
                call.service, "its software is unknown or not in the route"
            )
            await self.reject_resumption(call, responder, error)
            return
        self.forwarder.record_demand(call)
        queues = self.forwarder.queues
        if not queues.has_limits(call.service):
            await self.send(call, responder, version)
            return
        rejection = await self.forwarder.acquire_slot(call)
        if rejection is not None:
            await self.forwarder.reject(call, responder, rejection)
            return
        service = call.service
        try:
            await self.send(call, responder, version)
        finally:
            queues.release(service, None)

    async def require_software(self, call: LiveCall) -> bool:
        """Require the software that began the stream which a caller resumes.

        Returns:
            Whether the call may be sent: it resumes nothing, or the software is certain and the
            route has its service.
        """
        headers = call.request.headers
        resumed_attempt = parse_resumed_attempt(headers)
        if not resumed_attempt and not parse_last_event_id(headers):
            return True
        if resumed_attempt:
            call.software = await self.register.look_up(resumed_attempt)
        if call.software is None:
            return False
        call.service, call.other_services = call.software.service, ()
        return any(share.service == call.service for share in call.route.shares)

    async def reject_resumption(
        self, call: LiveCall, responder: Responder, error: AttemptFailedError
    ) -> None:
        """Tell a caller that its stream can't go on, and that nothing has run."""
        await send_error_response(
            call.request,
            responder,
            FailureStatus.NOT_RUN,
            str(error),
            self.forwarder.generator,
            BEGIN_ANEW_DELAY_S,
            must_begin_anew=True,
        )

    def record_begin(self, call: LiveCall, origin: StreamOrigin | None) -> None:
        """Record the origin of a caller's stream, so that the caller can resume it at any VM."""
        if call.route.resumable:
            self.register.record(call.attempt_id, origin)

    def can_go_on(self, call: LiveCall, relay: StreamRelay) -> bool:
        """Return whether an interrupted stream may go on; require its software from now on."""
        if relay.has_events and call.software is None:
            call.software = self.forwarder.directory.certain_software(relay.origin)
            return call.software is not None
        return True

    async def send(self, call: LiveCall, responder: Responder, version: int) -> None:
        """Send a call to targets in turn, and relay their stream or an error response.

        Raises:
            OSError: The caller's connection failed, or the caller reads too slowly.
        """
        failure: OSError | None = None
        async with anyio.create_task_group() as tasks:
            try:
                await self.send_to_targets(
                    call, responder, BufferedWriter(responder, tasks), version
                )
            except OSError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if isinstance(failure, ReaderTooSlowError):
            log.warning("stream reader too slow", request=call.attempt_id, reason=str(failure))
        if failure is not None:
            raise failure

    async def send_to_targets(
        self, call: LiveCall, responder: Responder, writer: BufferedWriter, version: int
    ) -> None:
        """Send a call to targets in turn, and relay their stream or an error response."""
        relay = StreamRelay(
            call,
            responder,
            writer,
            lambda origin: self.record_begin(call, origin),
            lambda: self.forwarder.usage.record_first_event(call),
        )
        error = no_target_error(call.service)
        while not (responder.has_finished or relay.finished or not self.can_go_on(call, relay)):
            replica = await self.begin_attempt(call, relay)
            if replica is None:
                break
            try:
                await self.relay_from_target(call, replica, relay)
            except AttemptFailedError as failure:
                error = failure
                call.attempts.record_failure(failure)
                self.forwarder.crash_guard.record_failure(call, replica, failure)
                self.log_failed_attempt(call, replica, relay, failure)
            except anyio.get_cancelled_exc_class():
                self.forwarder.crash_guard.record_cancellation(call, replica)
                raise
        self.forwarder.crash_guard.record_answer(call)
        if relay.finished:
            # The target's connection and slot are free by now, however slowly the caller reads.
            await writer.finish()
        if responder.has_finished:
            log_answered(call, OK, version)
            return
        if call.attempts.is_blocked:
            error = blocked_error(call.service)
        if (
            not responder.has_started
            and call.software is not None
            and error.kind is FailureKind.NO_TARGET
        ):
            await self.reject_resumption(call, responder, error)
        elif not responder.has_started:
            status = call.attempts.failure_status()
            await send_error_response(
                call.request, responder, status, str(error), self.forwarder.generator
            )

    async def begin_attempt(self, call: LiveCall, relay: StreamRelay) -> Replica | None:
        """Return the target of the next attempt, or None if no more targets may be tried.

        A stream that was interrupted waits for a target that its limit allows to resume it.
        """
        until_s = anyio.current_time() + caller_patience_s(call.route.objective_s) / 2.0
        while True:
            replica = await self.forwarder.begin_attempt(call)
            if replica is None and self.forwarder.turn_to_next_service(call):
                continue
            if replica is not None or not relay.responder.has_started:
                return replica
            if (
                not self.forwarder.chooser.is_held_by_limits(call)
                or anyio.current_time() >= until_s
            ):
                return None
            await anyio.sleep(LIMIT_RECHECK_S)

    async def relay_from_target(self, call: LiveCall, replica: Replica, relay: StreamRelay) -> None:
        """Relay the response of one target.

        Raises:
            AttemptFailedError: The target did not run the request, or its stream was interrupted.
        """
        stats = self.forwarder.stats_registry.for_replica(replica)
        exchange = TargetExchange(
            self.forwarder.pool,
            self.forwarder.directory,
            replica,
            self.request_for_target(call, replica, relay),
            call.is_wanted,
            self.forwarder.stats_registry.limits,
            start_check=self.start_check(call),
            paths=self.forwarder.paths,
            can_repeat=call.route.is_repeatable,
            team=call.team,
        )
        stats.in_flight += 1
        try:
            await self.start_exchange(call, exchange)
            metadata = exchange.metadata
            now_s = anyio.current_time()
            exchange.record_load(stats)
            if metadata.is_not_run:
                await exchange.discard_body()
                stats.record_rejection(now_s, metadata.retry_after_s)
                raise rejection_error(replica, exchange.status, metadata.retry_after_s)
            if exchange.status == OK:
                for prompt_id in call.prompt_ids[:1]:
                    stats.record_prompt(prompt_id)
                await relay.relay_stream(exchange, self.stall_timer(call, replica, stats))
            else:
                await self.relay_failure(call, exchange, relay)
            self.forwarder.crash_guard.record_response(call, replica, exchange)
            stats.record_success()
        except AttemptFailedError as error:
            if error.perhaps_sent and error.kind not in FAILURES_OF_THIS_VM:
                stats.record_failure(anyio.current_time())
            raise
        finally:
            exchange.end()
            stats.in_flight -= 1
            self.forwarder.crash_guard.end_run(call)

    def start_check(self, call: LiveCall) -> StartCheck:
        """Return whether the target's start must be certain before the call is sent."""
        if call.software is not None:
            return StartCheck.REQUIRED
        return StartCheck.WANTED if call.route.resumable else StartCheck.NONE

    async def start_exchange(self, call: LiveCall, exchange: Exchange) -> None:
        """Send the request and read the response head before the call's deadline."""
        with anyio.move_on_after(max(0.0, call.remaining_s())) as scope:
            await exchange.begin(force_new_connection=not call.route.is_repeatable)
        if scope.cancelled_caught:
            raise exchange.failure("no response before the deadline", FailureKind.SILENT)

    def stall_timer(self, call: LiveCall, replica: Replica, stats: ReplicaStats) -> StallTimer:
        """Return the timer of a stream that begins now.

        A stream that no other target can resume is only ended once its caller has given up.
        """
        now_s = anyio.current_time()
        chooser = self.forwarder.chooser
        can_resume = call.attempts.can_start() and chooser.can_continue_elsewhere(call, replica)
        objective_s = call.route.objective_s
        min_pause_s = resume_pause_s(objective_s) if can_resume else caller_patience_s(objective_s)
        return StallTimer(min_pause_s, now_s, stats.recent_event_interval_s(now_s))

    async def relay_failure(self, call: LiveCall, exchange: Exchange, relay: StreamRelay) -> None:
        """Relay an error response of a target, unless the caller's stream has already begun."""
        with anyio.move_on_after(max(0.0, call.remaining_s())) as scope:
            response = await exchange.read_response()
        if scope.cancelled_caught:
            raise exchange.failure("no whole response before the deadline", FailureKind.SILENT)
        if relay.responder.has_started:
            raise exchange.failure(f"status {response.status}", FailureKind.FAULT)
        headers = forwarded_response_headers(response.headers)
        await relay.responder.send(Response(response.status, headers, response.body))

    def request_for_target(self, call: LiveCall, replica: Replica, relay: StreamRelay) -> Request:
        """Return the request for the stream, or for its events after ``last_event``."""
        headers = forwarded_request_headers(
            call.request.headers,
            target_id=replica.target_id,
            remaining_s=call.stream_remaining_s(),
            priority=live_priority(call.route),
            last_event=relay.last_event,
            team=call.team,
        )
        return Request(call.request.method, call.request.target, headers, call.request.body)

    def log_failed_attempt(
        self, call: LiveCall, replica: Replica, relay: StreamRelay, failure: AttemptFailedError
    ) -> None:
        """Log after which event a stream was interrupted."""
        log.warning(
            "stream attempt failed",
            request=call.attempt_id,
            target=replica.target_id,
            software=replica.software_version,
            last_event=relay.last_event,
            kind=failure.kind.value,
            reason=failure.message,
            content=call.digest,
            known_crashes=self.forwarder.crash_guard.crash_count(call),
        )
