"""Carries live streams: events are passed on as they come, and go on elsewhere after a break."""

import anyio
import structlog

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import EventParser, Exchange, Request, Responder, Response
from balsamcleat.model import FailureKind
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import Route
from balsamcleat.platform import (
    forwarded_headers,
    last_event_of,
    read_marks,
    relayed_headers,
)
from balsamcleat.tasks.live_errors import no_target_error, rejection_error, send_error_response
from balsamcleat.tasks.live_forwarder import LiveCall, LiveForwarder, live_priority, log_answered

__all__ = ["StreamForwarder"]

# A stream without an event for this long goes on elsewhere, where it may; callers leave later.
SILENCE_S = 1.5
OK = 200

log = structlog.get_logger()


class StreamRelay:
    """One caller's stream: what was passed on, over all the targets that made it.

    Args:
        call: The caller's request.
        responder: Where events go.
    """

    def __init__(self, call: LiveCall, responder: Responder) -> None:
        self.call = call
        self.responder = responder
        self.last_event = last_event_of(call.request.headers)
        self.finished = False

    async def relay_stream(self, exchange: Exchange) -> None:
        """Pass a target's stream on to its end.

        Raises:
            AttemptFailedError: It broke off; whole events up to ``last_event`` were passed on.
        """
        if not self.responder.started:
            await self.responder.start(exchange.status, relayed_headers(exchange.headers))
        parser = EventParser()
        while True:
            with anyio.move_on_after(SILENCE_S) as scope:
                data = await exchange.next_data()
            if scope.cancelled_caught:
                raise exchange.failure("the stream went silent", FailureKind.SILENT)
            if not data:
                break
            await self.relay_events(exchange, parser, data)
        if not exchange.framed or parser.rest.strip():
            raise exchange.failure("the end of the stream is uncertain", FailureKind.CUT)
        await self.responder.finish()
        self.finished = True

    async def relay_events(self, exchange: Exchange, parser: EventParser, data: bytes) -> None:
        """Pass on the whole events that the data completes, each once and in order."""
        try:
            events = parser.feed(data)
        except UnicodeDecodeError as error:
            raise exchange.failure(f"not text: {error}", FailureKind.MALFORMED) from error
        out = b""
        for event in events:
            expected = None if self.last_event is None else self.last_event + 1
            if event.number is not None and expected not in (None, event.number):
                raise exchange.failure("an event is out of order", FailureKind.MALFORMED)
            self.last_event = event.number if event.number is not None else self.last_event
            out += event.raw
        if out:
            await self.responder.write(out)


class StreamForwarder:
    """Forwards streams.

    Args:
        live: Chooses targets and keeps evidence on them.
    """

    def __init__(self, live: LiveForwarder) -> None:
        self.forwarder = live

    async def answer(
        self, request: Request, route: Route, responder: Responder, version: int
    ) -> None:
        """Answer with a stream from a target, or say why not.

        Args:
            request: The request.
            route: Its route.
            responder: Writes the answer.
            version: Number of the configuration that the route is from.
        """
        call = await self.forwarder.admit(request, route, responder)
        if call is None:
            return
        relay = StreamRelay(call, responder)
        error = no_target_error(call.service)
        while not responder.finished:
            replica = self.forwarder.choose_target(call)
            if replica is None:
                break
            call.attempts.record_start(replica.target_id)
            try:
                await self.relay_from_target(call, replica, relay)
            except AttemptFailedError as failure:
                error = failure
                call.attempts.record_failure(failure)
                self.log_failed_attempt(call, replica, relay, failure)
        if responder.finished:
            log_answered(call, OK, version)
            return
        if not responder.started:
            final = call.attempts.failure_status()
            await send_error_response(
                request, responder, final, str(error), self.forwarder.generator
            )

    async def relay_from_target(self, call: LiveCall, replica: Replica, relay: StreamRelay) -> None:
        """Pass on one target's answer.

        Raises:
            AttemptFailedError: It did not run or broke off.
        """
        evidence = self.forwarder.book.for_target(replica.target_id)
        exchange = Exchange(
            self.forwarder.pool, replica.address, self.request_for_target(call, replica, relay)
        )
        evidence.in_flight += 1
        try:
            await self.start_exchange(call, exchange)
            marks = read_marks(exchange.status, exchange.headers)
            now_s = anyio.current_time()
            if marks.running is not None:
                evidence.record_load(marks.running, marks.waiting, now_s)
            if marks.not_run:
                await exchange.discard_body()
                evidence.record_rejection(now_s, marks.retry_after_s)
                raise rejection_error(replica, exchange.status, marks.retry_after_s)
            if exchange.status == OK and marks.stamped:
                for part in call.prompt[:1]:
                    evidence.record_prompt(part)
                await relay.relay_stream(exchange)
            else:
                await self.relay_failure(exchange, relay)
            evidence.record_success()
        except AttemptFailedError as error:
            if error.perhaps_sent:
                evidence.record_failure(anyio.current_time())
            raise
        finally:
            exchange.end()
            evidence.in_flight -= 1

    async def start_exchange(self, call: LiveCall, exchange: Exchange) -> None:
        """Send the request and read the head within the call's time."""
        with anyio.move_on_after(max(0.0, call.remaining_s())) as scope:
            await exchange.begin(fresh=not call.route.repeatable)
        if scope.cancelled_caught:
            raise exchange.failure("no answer began", FailureKind.SILENT)

    async def relay_failure(self, exchange: Exchange, relay: StreamRelay) -> None:
        """Pass on a target's own failure, where nothing was passed on before."""
        response = await exchange.whole_response()
        if relay.responder.started:
            raise exchange.failure(f"status {response.status}", FailureKind.FAULT)
        headers = relayed_headers(response.headers)
        await relay.responder.send(Response(response.status, headers, response.body))

    def request_for_target(self, call: LiveCall, replica: Replica, relay: StreamRelay) -> Request:
        """Return the request for the stream or the rest of it."""
        headers = forwarded_headers(
            call.request.headers,
            target_id=replica.target_id,
            remaining_s=call.stream_remaining_s(),
            priority=live_priority(call.route),
            last_event=relay.last_event,
        )
        return Request(call.request.method, call.request.target, headers, call.request.body)

    def log_failed_attempt(
        self, call: LiveCall, replica: Replica, relay: StreamRelay, failure: AttemptFailedError
    ) -> None:
        """Log where a stream broke off."""
        log.warning(
            "stream attempt failed",
            request=call.attempt_id,
            target=replica.target_id,
            last_event=relay.last_event,
            kind=failure.kind.value,
            reason=failure.message,
        )
