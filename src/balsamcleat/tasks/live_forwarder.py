"""Carries live requests to targets of plain services and engines and their answers back."""

import random
from dataclasses import dataclass

import anyio
import anyio.abc
import structlog
from result import Err, Ok, Result

from balsamcleat.decisions.crash_suspects import request_digest
from balsamcleat.decisions.live_attempts import AttemptTracker, FailureStatus, hedge_delay_s
from balsamcleat.decisions.live_queue import Rejected, new_ticket
from balsamcleat.decisions.replica_choice import choose_replica, choose_service
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ClientPool, Exchange, Request, Responder, Response
from balsamcleat.model import FailureKind, ServiceName, ZoneName
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import Route
from balsamcleat.platform import (
    caller_wait_s,
    forwarded_headers,
    prompt_ids,
    read_marks,
    relayed_headers,
    request_id,
)
from balsamcleat.tasks.live_errors import (
    deadline_error,
    no_target_error,
    rejection_error,
    send_error_response,
    unstamped_response_error,
)
from balsamcleat.tasks.live_queues import LiveQueues
from balsamcleat.tasks.shared_crash_history import SharedCrashHistory

__all__ = ["LiveCall", "LiveForwarder", "live_priority", "log_answered"]

# Kept back of the caller's time for our own answer on its way.
ANSWER_MARGIN_S = 0.03
# From this status on an answer is a target's own failure; another target may do better.
TARGET_FAILED = 500
# A place that is granted at once takes less than this, in seconds.
LOGGED_WAIT_S = 0.002
# Samples of steps have the priorities after this one.
LAST_LIVE_PRIORITY = 3

log = structlog.get_logger()


@dataclass(slots=True)
class LiveCall:
    """One live request on its way."""

    request: Request
    route: Route
    service: ServiceName
    deadline_s: float
    attempts: AttemptTracker
    prompt: tuple[str, ...] = ()

    def request_digest(self) -> str:
        """Return what the request is known by when it comes again."""
        request = self.request
        return request_digest(request.peer, request.method, request.target, request.body)

    @property
    def attempt_id(self) -> str:
        """The caller's id of it."""
        return request_id(self.request.headers)

    def remaining_s(self) -> float:
        """Return the time left for an answer to begin, in seconds."""
        return self.deadline_s - anyio.current_time()

    def stream_remaining_s(self) -> float:
        """Return the time left for a whole stream, which the route's timeout doesn't bound."""
        waits_s = caller_wait_s(self.request.headers)
        if waits_s is None:
            return self.remaining_s()
        return self.request.received_at_s + waits_s - anyio.current_time()


class LiveForwarder:
    """Forwards one request at a time for each of its callers.

    Args:
        directory: The targets.
        book: Evidence on them.
        pool: Connections to them.
        zone: This VM's availability zone.
        generator: Draws services, ties and times to come back.
        crash_history: Knows requests under which targets crashed.
        queues: Where calls wait for a place.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        book: ReplicaStatsRegistry,
        pool: ClientPool,
        zone: ZoneName,
        generator: random.Random,
        crash_history: SharedCrashHistory,
        queues: LiveQueues,
    ) -> None:
        self.directory = directory
        self.book = book
        self.pool = pool
        self.zone = zone
        self.generator = generator
        self.crash_history = crash_history
        self.queues = queues

    async def answer(
        self, request: Request, route: Route, responder: Responder, version: int
    ) -> None:
        """Answer a live request from a target, or say why not.

        Args:
            request: The request.
            route: Its route.
            responder: Writes the answer.
            version: Number of the configuration that the route is from.
        """
        call = await self.admit(request, route, responder)
        if call is None:
            return
        outcome = await self.queue_and_send(call)
        if isinstance(outcome, Rejected):
            await self.reject(call, responder, outcome)
            return
        if isinstance(outcome, Ok):
            response = outcome.ok_value
            headers = relayed_headers(response.headers)
            await responder.send(Response(response.status, headers, response.body))
            log_answered(call, response.status, version)
            return
        reason = str(outcome.err_value)
        await send_error_response(
            request, responder, call.attempts.failure_status(), reason, self.generator
        )

    async def admit(self, request: Request, route: Route, responder: Responder) -> LiveCall | None:
        """Return the call to send, or None where it was refused as it can't be sent."""
        call = self.create_call(request, route)
        if call is None:
            final, reason = FailureStatus.NOT_RUN, "no service"
        elif self.is_blocked(call):
            final, reason = FailureStatus.CRASHES_TARGETS, "targets crash under it"
        else:
            return call
        await send_error_response(request, responder, final, reason, self.generator)
        return None

    def create_call(self, request: Request, route: Route) -> LiveCall | None:
        """Return the call with its service and deadline, or None where the route has none."""
        share = choose_service(route.shares, self.generator.random())
        if share is None:
            return None
        waits_s = caller_wait_s(request.headers)
        time_s = route.timeout_s if waits_s is None else min(route.timeout_s, waits_s)
        return LiveCall(
            request=request,
            route=route,
            service=share.service,
            deadline_s=request.received_at_s + time_s - ANSWER_MARGIN_S,
            attempts=AttemptTracker(route.repeatable, route.attempts),
            prompt=prompt_ids(request.headers) if route.sticky else (),
        )

    def is_blocked(self, call: LiveCall) -> bool:
        """Return whether targets crashed under the same content before."""
        return self.crash_history.has_suspects() and self.crash_history.is_blocked(
            call.request_digest()
        )

    async def reject(self, call: LiveCall, responder: Responder, rejected: Rejected) -> None:
        """Tell a caller whose call can't be answered in time when to come back."""
        reason = f"no place at {call.service} in time, {rejected.wait_s:.3f} s away"
        await send_error_response(
            call.request,
            responder,
            FailureStatus.NOT_RUN,
            reason,
            self.generator,
            rejected.retry_after_s,
        )

    async def queue_and_send(
        self, call: LiveCall
    ) -> Result[Response, AttemptFailedError] | Rejected:
        """Wait for a place and ask targets, again where all of them turned the call away."""
        while True:
            asked_s = anyio.current_time()
            ticket = new_ticket(call.route.rank, call.deadline_s, asked_s, call.route.objective_s)
            rejected = await self.queues.acquire(call.service, ticket)
            if rejected is not None:
                return rejected
            began_s = anyio.current_time()
            if began_s - asked_s >= LOGGED_WAIT_S:
                self.log_queue_wait(call, began_s - asked_s)
            took_s: float | None = None
            try:
                outcome = await self.try_targets(call)
                if isinstance(outcome, Ok):
                    took_s = anyio.current_time() - began_s
                elif call.attempts.was_rejected_by_all():
                    self.queues.record_rejection(call.service)
            finally:
                self.queues.release(call.service, took_s)
            if isinstance(outcome, Ok) or not self.can_queue_again(call):
                return outcome
            call.attempts.start_round()

    def can_queue_again(self, call: LiveCall) -> bool:
        """Return whether a call that all targets turned away may wait for another place."""
        return (
            call.attempts.can_start_round()
            and self.queues.has_queue(call.service)
            and call.remaining_s() > 0.0
        )

    def log_queue_wait(self, call: LiveCall, waited_s: float) -> None:
        """Log that a call got its place after it had waited."""
        log.info(
            "call waited",
            request=call.attempt_id,
            service=call.service,
            rank=call.route.rank,
            waited_s=round(waited_s, 4),
            left_s=round(call.remaining_s(), 3),
            own=self.queues.state_of(call.service).held_slots,
        )

    async def try_targets(self, call: LiveCall) -> Result[Response, AttemptFailedError]:
        """Ask targets until one answers whole or no more may be asked."""
        last: Result[Response, AttemptFailedError] = Err(no_target_error(call.service))
        send, receive = anyio.create_memory_object_stream[Result[Response, AttemptFailedError]](8)
        running = 0
        async with anyio.create_task_group() as tasks:
            while True:
                replica = self.choose_target(call)
                if replica is not None:
                    call.attempts.record_start(replica.target_id)
                    running += 1
                    tasks.start_soon(self.run_attempt, call, replica, send.clone())
                elif not running:
                    break
                outcome = await self.wait_for_outcome(call, receive, may_hedge=replica is not None)
                if outcome is None and call.remaining_s() > 0.0:
                    continue
                if outcome is None:
                    call.attempts.has_timed_out = True
                    last = last if isinstance(last, Ok) else Err(deadline_error())
                    break
                running -= 1
                if isinstance(outcome, Ok) or isinstance(last, Err):
                    last = outcome
                if isinstance(outcome, Ok) and not self.should_try_another(call, outcome.ok_value):
                    break
            tasks.cancel_scope.cancel()
        return last

    def should_try_another(self, call: LiveCall, response: Response) -> bool:
        """Return whether another target may do better than a target's own failure."""
        return response.status >= TARGET_FAILED and call.attempts.repeatable

    def choose_target(self, call: LiveCall) -> Replica | None:
        """Return the target to ask next, or None where none may be asked."""
        if not call.attempts.can_start() or call.remaining_s() <= 0.0:
            return None
        return choose_replica(
            self.directory.ready_replicas(call.service),
            self.book,
            zone=self.zone,
            excluded=call.attempts.tried_targets,
            prompt_ids=call.prompt,
            now_s=anyio.current_time(),
            generator=self.generator,
        )

    async def wait_for_outcome(
        self,
        call: LiveCall,
        receive: anyio.abc.ObjectReceiveStream[Result[Response, AttemptFailedError]],
        *,
        may_hedge: bool,
    ) -> Result[Response, AttemptFailedError] | None:
        """Return the next attempt's end, or None when it is time to ask a second target."""
        wait_s = call.remaining_s()
        if may_hedge and call.attempts.repeatable and self.queues.can_hedge(call.service):
            wait_s = min(wait_s, hedge_delay_s(call.route.objective_s))
        with anyio.move_on_after(max(0.0, wait_s)):
            return await receive.receive()
        return None

    async def run_attempt(
        self,
        call: LiveCall,
        replica: Replica,
        send: anyio.abc.ObjectSendStream[Result[Response, AttemptFailedError]],
    ) -> None:
        """Make one attempt and hand on its end."""
        async with send:
            outcome = await self.send_to_target(call, replica)
            if isinstance(outcome, Err):
                call.attempts.record_failure(outcome.err_value)
            await send.send(outcome)

    async def send_to_target(
        self, call: LiveCall, replica: Replica
    ) -> Result[Response, AttemptFailedError]:
        """Send the request to one target and return its whole answer or the failure."""
        evidence = self.book.for_target(replica.target_id)
        evidence.in_flight += 1
        began_s = anyio.current_time()
        headers = forwarded_headers(
            call.request.headers,
            target_id=replica.target_id,
            remaining_s=call.remaining_s(),
            priority=live_priority(call.route),
        )
        request = Request(call.request.method, call.request.target, headers, call.request.body)
        exchange = Exchange(self.pool, replica.address, request)
        try:
            await exchange.begin(fresh=not call.route.repeatable)
            response = await exchange.whole_response()
            outcome = self.classify_response(replica, response)
        except AttemptFailedError as error:
            evidence.record_failure(anyio.current_time())
            outcome = Err(error)
            if error.kind is FailureKind.CUT and not exchange.status:
                self.crash_history.record_crash(
                    call.request_digest(), replica.target_id, call.attempt_id
                )
        finally:
            exchange.end()
            evidence.in_flight -= 1
        self.log_attempt(call, replica, outcome, began_s)
        return outcome

    def classify_response(
        self, replica: Replica, response: Response
    ) -> Result[Response, AttemptFailedError]:
        """Return what a whole answer means, and take note of the target's load."""
        marks = read_marks(response.status, response.headers)
        evidence = self.book.for_target(replica.target_id)
        now_s = anyio.current_time()
        if marks.running is not None:
            evidence.record_load(marks.running, marks.waiting, now_s)
        if marks.not_run:
            evidence.record_rejection(now_s, marks.retry_after_s)
            return Err(rejection_error(replica, response.status, marks.retry_after_s))
        if not marks.stamped:
            evidence.record_failure(now_s)
            return Err(unstamped_response_error(replica))
        evidence.record_success()
        return Ok(response)

    def log_attempt(
        self,
        call: LiveCall,
        replica: Replica,
        outcome: Result[Response, AttemptFailedError],
        began_s: float,
    ) -> None:
        """Log an attempt's end with what was believed of the target."""
        now_s = anyio.current_time()
        evidence = self.book.for_target(replica.target_id)
        fields = {
            "request": call.attempt_id,
            "candidates": len(self.directory.ready_replicas(call.service)),
            "route": call.route.name,
            "target": replica.target_id,
            "load": round(evidence.load(now_s), 2),
            "load_age_s": round(min(999.0, now_s - evidence.load_reported_at_s), 3),
            "took_s": round(now_s - began_s, 4),
        }
        if isinstance(outcome, Ok):
            log.info("attempt answered", status=outcome.ok_value.status, **fields)
        else:
            error = outcome.err_value
            log.warning("attempt failed", kind=error.kind.value, reason=error.message, **fields)


def log_answered(call: LiveCall, status: int, version: int) -> None:
    """Log that a caller got a target's answer."""
    log.info(
        "request answered",
        request=call.attempt_id,
        route=call.route.name,
        status=status,
        took_s=round(anyio.current_time() - call.request.received_at_s, 4),
        attempts=len(call.attempts.tried_targets),
        version=version,
    )


def live_priority(route: Route) -> int:
    """Return a route's priority at a target: 0 to 3, before any sample's."""
    return min(route.rank, LAST_LIVE_PRIORITY)
