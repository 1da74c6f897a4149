"""Forwards live requests to targets of plain services and engines, and relays the responses."""

import random

import anyio
import anyio.abc
import structlog
from result import Err, Ok, Result

from balsamcleat.decisions.live_attempts import AttemptTracker, FailureStatus, hedge_delay_s
from balsamcleat.decisions.live_queue import Rejected
from balsamcleat.decisions.replica_choice import order_services
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.stop_schedule import StopSchedule
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Request, Responder, Response
from balsamcleat.model import ServiceName, TeamName, ZoneName
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import Route
from balsamcleat.platform import (
    ResponseMetadata,
    forwarded_request_headers,
    forwarded_response_headers,
    parse_caller_timeout_s,
    prompt_ids,
)
from balsamcleat.tasks.attempt_log import (
    LoggedAttempt,
    log_answered,
    log_attempt,
    log_cancelled_attempt,
)
from balsamcleat.tasks.crash_guard import CrashGuard
from balsamcleat.tasks.live_call import LiveCall
from balsamcleat.tasks.live_errors import (
    blocked_error,
    deadline_error,
    no_target_error,
    rejection_error,
    send_error_response,
)
from balsamcleat.tasks.live_queues import LiveQueues
from balsamcleat.tasks.target_chooser import TargetChooser
from balsamcleat.tasks.target_exchange import FAILURES_OF_THIS_VM, TargetExchange
from balsamcleat.tasks.target_paths import TargetPaths
from balsamcleat.tasks.usage_counter import UsageCounter
from balsamcleat.tasks.usage_recorder import UsageRecorder

__all__ = ["LiveForwarder", "live_priority"]

# Part of the caller's time that is reserved for sending the response back.
RESPONSE_MARGIN_S = 0.03
# A response with this status or a higher one is a server error of the target; another target may
# answer successfully.
SERVER_ERROR_STATUS = 500
# Shorter waits are not logged: a slot that is granted immediately takes less time than this.
MIN_LOGGED_WAIT_S = 0.002
# Largest priority number of a live request. Samples of steps have larger numbers, and targets run
# requests with smaller numbers first.
LOWEST_LIVE_PRIORITY = 3

log = structlog.get_logger()


class LiveForwarder:
    """Forwards live requests; concurrent requests share the directory, pool and queues.

    Args:
        directory: Directory of the targets.
        stats_registry: Statistics of the targets.
        pool: Pool of connections to the targets.
        zone: Availability zone of this VM.
        generator: Random generator for choosing services, breaking ties and retry delays.
        crash_guard: Blocks requests that crash targets.
        queues: Queues in which calls wait for a slot.
        paths: Tells which targets this VM reaches; None calls all of them directly.
        usage: Counts the requests of teams; None if usage is not reported.
        stop_schedule: Tells which requests come too late in a planned stop of this VM.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        pool: ConnectionPool,
        zone: ZoneName,
        generator: random.Random,
        crash_guard: CrashGuard,
        queues: LiveQueues,
        paths: TargetPaths | None = None,
        usage: UsageCounter | None = None,
        stop_schedule: StopSchedule | None = None,
    ) -> None:
        self.directory = directory
        self.stats_registry = stats_registry
        self.pool = pool
        self.chooser = TargetChooser(directory, stats_registry, zone, generator)
        self.generator = generator
        self.crash_guard = crash_guard
        self.queues = queues
        self.paths = paths
        self.usage = UsageRecorder(usage)
        self.stop_schedule = stop_schedule or StopSchedule()

    async def answer(
        self,
        request: Request,
        route: Route,
        responder: Responder,
        version: int,
        team: TeamName | None = None,
    ) -> None:
        """Answer a live request with a target's response or with an error response.

        Args:
            request: Request of the caller.
            route: Route that the request matched.
            responder: Writes the response to the caller.
            version: Number of the configuration that contains the route.
            team: Team that sent the request, if it has one.
        """
        call = await self.admit(request, route, responder, team)
        if call is None:
            return
        try:
            outcome = await self.queue_and_send(call)
        finally:
            self.usage.record_end(call)
        self.crash_guard.record_answer(call)
        if isinstance(outcome, Rejected):
            await self.reject(call, responder, outcome)
            return
        if isinstance(outcome, Ok):
            response = outcome.ok_value
            headers = forwarded_response_headers(response.headers)
            await responder.send(Response(response.status, headers, response.body))
            log_answered(call, response.status, version)
            return
        reason = str(outcome.err_value)
        await send_error_response(
            request, responder, call.attempts.failure_status(), reason, self.generator
        )

    async def admit(
        self, request: Request, route: Route, responder: Responder, team: TeamName | None
    ) -> LiveCall | None:
        """Return the call to forward, or None after an error response if it can't be forwarded."""
        call = self.create_call(request, route, team)
        if call is None:
            status, reason = FailureStatus.NOT_RUN, "the route has no service"
        elif not self.stop_schedule.accepts(request.received_at_s, call.latest_end_s()):
            status, reason = FailureStatus.NOT_RUN, "this VM stops before the request would end"
        elif await self.crash_guard.admit(call):
            return call
        else:
            status, reason = FailureStatus.CRASHES_TARGETS, str(blocked_error(call.service))
        await send_error_response(request, responder, status, reason, self.generator)
        return None

    def create_call(
        self, request: Request, route: Route, team: TeamName | None = None
    ) -> LiveCall | None:
        """Return the call with its service and deadline, or None if the route has no service."""
        services = self.order_services(route)
        if not services:
            return None
        caller_timeout_s = parse_caller_timeout_s(request.headers)
        timeout_s = (
            route.timeout_s if caller_timeout_s is None else min(route.timeout_s, caller_timeout_s)
        )
        return LiveCall(
            request=request,
            route=route,
            service=services[0],
            deadline_s=request.received_at_s + timeout_s - RESPONSE_MARGIN_S,
            attempts=AttemptTracker(route.is_repeatable, route.attempts),
            prompt_ids=prompt_ids(request.headers) if route.sticky else (),
            team=team,
            other_services=services[1:],
        )

    def order_services(self, route: Route) -> tuple[ServiceName, ...]:
        """Return the services of a route in the order in which a call tries them.

        The order is drawn by weight, but services whose targets failed just now come after the
        others, and those without targets come last.
        """
        services = order_services(route.shares, self.generator.random)
        return services if len(services) < 2 else tuple(sorted(services, key=self.service_rank))

    def service_rank(self, service: ServiceName) -> int:
        """Return 0 for a service with usable targets, 1 if all failed just now, 2 without any."""
        replicas = self.directory.ready_replicas(service)
        now_s = anyio.current_time()
        if any(not self.stats_registry.for_replica(item).is_avoided(now_s) for item in replicas):
            return 0
        return 1 if replicas else 2

    async def reject(self, call: LiveCall, responder: Responder, rejection: Rejected) -> None:
        """Reject a call that can't be answered in time, and tell the caller when to retry."""
        reason = f"no slot at {call.service} in time; estimated wait {rejection.wait_s:.3f} s"
        if self.queues.has_limits(call.service):
            log.info(
                "turned away for a limit",
                request=call.attempt_id,
                service=call.service,
                wait_s=round(rejection.wait_s, 3),
                retry_after_s=round(rejection.retry_after_s, 3),
            )
        await send_error_response(
            call.request,
            responder,
            FailureStatus.NOT_RUN,
            reason,
            self.generator,
            rejection.retry_after_s,
        )

    async def queue_and_send(
        self, call: LiveCall
    ) -> Result[Response, AttemptFailedError] | Rejected:
        """Wait for a slot and try targets; queue the call again if all targets rejected it."""
        self.record_demand(call)
        while True:
            queued_s = anyio.current_time()
            rejection = await self.acquire_slot(call)
            if rejection is not None:
                return rejection
            admitted_s = anyio.current_time()
            if admitted_s - queued_s >= MIN_LOGGED_WAIT_S:
                self.log_queue_wait(call, admitted_s - queued_s)
            took_s: float | None = None
            try:
                outcome = await self.try_targets(call)
                if isinstance(outcome, Ok):
                    took_s = anyio.current_time() - admitted_s
                elif call.attempts.was_rejected_by_all():
                    self.queues.record_rejection(call.service)
            finally:
                self.queues.release(call.service, took_s)
            if isinstance(outcome, Ok):
                return outcome
            if self.turn_to_next_service(call):
                continue
            if not self.can_queue_again(call):
                return outcome
            call.attempts.start_round()

    async def acquire_slot(self, call: LiveCall) -> Rejected | None:
        """Wait for a slot at the first service of a call's route that has one in time.

        Returns:
            The last rejection if no service has one, else None; the slot is to be released.
        """
        while True:
            ticket = call.ticket(anyio.current_time())
            rejection = await self.queues.acquire(call.service, ticket)
            if rejection is None or not call.drop_service():
                return rejection
            self.record_demand(call)

    def turn_to_next_service(self, call: LiveCall) -> bool:
        """Start a round at the next service of a call's route, if all targets rejected the call.

        Returns:
            Whether there is another service, and time left.
        """
        if not call.can_start_round() or not call.drop_service():
            return False
        call.attempts.start_round()
        self.record_demand(call)
        return True

    def record_demand(self, call: LiveCall) -> None:
        """Record that a call wants a target, for the shares of limits."""
        self.stats_registry.limits.record_demand(
            call.service, anyio.current_time(), is_live=not call.is_background
        )

    def can_queue_again(self, call: LiveCall) -> bool:
        """Return whether a call that all targets rejected may wait for another slot."""
        return call.can_start_round() and self.queues.has_queue(call.service)

    def log_queue_wait(self, call: LiveCall, waited_s: float) -> None:
        """Log how long a call waited for its slot."""
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
        """Send the call to targets until one responds completely or no more may be tried."""
        last_outcome: Result[Response, AttemptFailedError] = Err(no_target_error(call.service))
        send_stream, receive_stream = anyio.create_memory_object_stream[
            Result[Response, AttemptFailedError]
        ](8)
        running = 0
        async with anyio.create_task_group() as tasks:
            while True:
                replica = await self.begin_attempt(call, is_copy=running > 0)
                if replica is not None:
                    running += 1
                    tasks.start_soon(self.run_attempt, call, replica, send_stream.clone())
                elif not running:
                    if call.attempts.is_blocked and isinstance(last_outcome, Err):
                        last_outcome = Err(blocked_error(call.service))
                    break
                outcome = await self.wait_for_outcome(
                    call, receive_stream, can_hedge=replica is not None
                )
                if outcome is None and call.remaining_s() > 0.0:
                    continue
                if outcome is None:
                    call.attempts.has_timed_out = True
                    last_outcome = (
                        last_outcome if isinstance(last_outcome, Ok) else Err(deadline_error())
                    )
                    break
                running -= 1
                if isinstance(outcome, Ok) or isinstance(last_outcome, Err):
                    last_outcome = outcome
                if isinstance(outcome, Ok) and not self.should_try_another(call, outcome.ok_value):
                    break
            tasks.cancel_scope.cancel()
        return last_outcome

    def should_try_another(self, call: LiveCall, response: Response) -> bool:
        """Return whether to try another target after a server error of the first one."""
        return response.status >= SERVER_ERROR_STATUS and call.attempts.repeatable

    async def begin_attempt(self, call: LiveCall, *, is_copy: bool = False) -> Replica | None:
        """Return the target of the next attempt, or None if no more targets may be tried.

        The caller then makes the attempt and ends it with ``crash_guard.end_run``.

        Args:
            call: Call to be sent.
            is_copy: Whether another target still runs the call.
        """
        if not await self.crash_guard.may_run(call, is_copy=is_copy):
            return None
        replica = self.chooser.choose_target(call, is_copy=is_copy) if call.is_wanted() else None
        if replica is None:
            self.crash_guard.end_run(call)
            return None
        call.attempts.record_start(replica.target_id)
        return replica

    async def wait_for_outcome(
        self,
        call: LiveCall,
        receive_stream: anyio.abc.ObjectReceiveStream[Result[Response, AttemptFailedError]],
        *,
        can_hedge: bool,
    ) -> Result[Response, AttemptFailedError] | None:
        """Return the outcome of the next attempt that ends.

        Returns:
            The outcome; None once the hedge delay or the deadline has passed.
        """
        wait_s = call.remaining_s()
        may_copy = can_hedge and call.attempts.repeatable
        if may_copy and self.queues.can_hedge(call.service, call.team):
            wait_s = min(wait_s, hedge_delay_s(call.route.objective_s))
        with anyio.move_on_after(max(0.0, wait_s)):
            return await receive_stream.receive()
        return None

    async def run_attempt(
        self,
        call: LiveCall,
        replica: Replica,
        send_stream: anyio.abc.ObjectSendStream[Result[Response, AttemptFailedError]],
    ) -> None:
        """Make one attempt and send its outcome to the stream."""
        async with send_stream:
            outcome = await self.send_to_target(call, replica)
            if isinstance(outcome, Err):
                call.attempts.record_failure(outcome.err_value)
            elif outcome.ok_value.status == SERVER_ERROR_STATUS:
                call.attempts.server_error_count += 1
            await send_stream.send(outcome)

    async def send_to_target(
        self, call: LiveCall, replica: Replica
    ) -> Result[Response, AttemptFailedError]:
        """Send the request to one target and return the complete response or the failure."""
        stats = self.stats_registry.for_replica(replica)
        stats.in_flight += 1
        started_s = anyio.current_time()
        headers = forwarded_request_headers(
            call.request.headers,
            target_id=replica.target_id,
            remaining_s=call.remaining_s(),
            priority=live_priority(call.route),
            team=call.team,
        )
        request = Request(call.request.method, call.request.target, headers, call.request.body)
        exchange = TargetExchange(
            self.pool,
            self.directory,
            replica,
            request,
            call.may_be_sent,
            self.stats_registry.limits,
            is_live=not call.is_background,
            paths=self.paths,
            can_repeat=call.route.is_repeatable,
            team=call.team,
        )
        run = self.usage.watch(call, replica, exchange)
        outcome: Result[Response, AttemptFailedError] | None = None
        try:
            await exchange.begin(force_new_connection=not call.route.is_repeatable)
            response = await exchange.read_response()
            exchange.record_load(stats)
            outcome = self.classify_response(replica, response, exchange.metadata)
            if isinstance(outcome, Ok):
                self.crash_guard.record_response(call, replica, exchange)
        except AttemptFailedError as error:
            if error.kind not in FAILURES_OF_THIS_VM:
                stats.record_failure(anyio.current_time())
            outcome = Err(error)
            self.crash_guard.record_failure(call, replica, error)
        except anyio.get_cancelled_exc_class():
            log_cancelled_attempt(self.logged_attempt(call, replica, started_s))
            self.crash_guard.record_cancellation(call, replica)
            raise
        finally:
            run.record_end(outcome)
            exchange.end()
            stats.in_flight -= 1
            self.crash_guard.end_run(call)
        log_attempt(self.logged_attempt(call, replica, started_s), outcome)
        return outcome

    def classify_response(
        self, replica: Replica, response: Response, metadata: ResponseMetadata
    ) -> Result[Response, AttemptFailedError]:
        """Return a complete response as success or failure."""
        stats = self.stats_registry.for_replica(replica)
        if metadata.is_not_run:
            stats.record_rejection(anyio.current_time(), metadata.retry_after_s)
            return Err(rejection_error(replica, response.status, metadata.retry_after_s))
        stats.record_success()
        return Ok(response)

    def logged_attempt(self, call: LiveCall, replica: Replica, started_s: float) -> LoggedAttempt:
        """Return an attempt that has ended, with what this VM believes now."""
        now_s = anyio.current_time()
        stats = self.stats_registry.for_replica(replica)
        return LoggedAttempt(
            call=call,
            replica=replica,
            started_s=started_s,
            candidate_count=len(self.directory.ready_replicas(call.service)),
            load=stats.load(now_s),
            load_age_s=now_s - stats.load_reported_at_s,
            known_crashes=self.crash_guard.crash_count(call),
        )


def live_priority(route: Route) -> int:
    """Return the priority of a route's requests at a target: 0 to 3, ahead of all samples."""
    return min(route.rank, LOWEST_LIVE_PRIORITY)
