"""Obtains the scores of samples from the service that scores them."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog
from result import Ok

from balsamcleat.decisions.live_attempts import AttemptTracker
from balsamcleat.decisions.live_queue import Rejected
from balsamcleat.decisions.sample_scoring import ScoringProgress, scoring_failure_limit
from balsamcleat.http1 import Response, is_success
from balsamcleat.model.rollout import ScoringRequest
from balsamcleat.model.routing import Route, RoutingTable
from balsamcleat.platform import parse_response_metadata, scoring_request
from balsamcleat.tasks.live_call import LiveCall
from balsamcleat.tasks.live_forwarder import LiveForwarder

__all__ = ["SampleScorer", "ScoringTask"]

UNPROCESSABLE_CONTENT = 422

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ScoringTask:
    """Sample whose text is complete and whose score is missing.

    Attributes:
        sample_id: Id of the sample.
        scoring: Request that scores the sample.
        step_attempts: Limit on attempts of the step's route.
        expires_at_s: Time after which the score is of no use, on the process clock, in seconds.
        is_wanted: Returns whether the request may be sent now.
        progress: Attempts so far, also those of earlier owners of the step; the scorer adds to it.
        on_failure: Called after each attempt that is to be stored.
    """

    sample_id: str
    scoring: ScoringRequest
    step_attempts: int
    expires_at_s: float
    is_wanted: Callable[[], bool]
    progress: ScoringProgress = field(default_factory=ScoringProgress)
    on_failure: Callable[[], None] = lambda: None


class SampleScorer:
    """Sends scoring requests like live calls, and repeats them until they succeed or are useless.

    Args:
        forwarder: Queues calls, chooses their targets and sends them.
        table: Returns the routing table in force, or None before there is one.
        generator: Random number generator for the jitter of retries.
    """

    def __init__(
        self,
        forwarder: LiveForwarder,
        table: Callable[[], RoutingTable | None],
        generator: random.Random,
    ) -> None:
        self.forwarder = forwarder
        self.table = table
        self.generator = generator

    async def score(self, task: ScoringTask) -> str | None:
        """Return the score of a sample, or None if its scorer failed too often.

        The caller cancels this if the score is not wanted any more.
        """
        progress = task.progress
        while True:
            if progress.is_impossible:
                # No call can succeed, but a sample may not be given up for that: it waits for the
                # end or the expiry of its step, which cancels this task.
                await anyio.sleep_forever()
            route = self.find_route(task.scoring)
            if route is None:
                log.warning("sample has no scorer", sample=task.sample_id, host=task.scoring.host)
                progress.record_failed_call(0)
            else:
                limit = scoring_failure_limit(task.step_attempts, route.attempts)
                if progress.is_exhausted(limit):
                    return None
                response = await self.call_scorer(task, route, progress, limit)
                if response is not None and is_success(response.status):
                    stamp = parse_response_metadata(response.status, response.headers).target_stamp
                    return stamp or ""
                if progress.is_exhausted(limit):
                    return None
                if response is not None and response.status == UNPROCESSABLE_CONTENT:
                    progress.is_impossible = True
            task.on_failure()
            await anyio.sleep(progress.retry_delay_s(self.generator))

    def find_route(self, scoring: ScoringRequest) -> Route | None:
        """Return the route of a scoring request, or None if there is none with a service."""
        table = self.table()
        route = table.match(scoring.host, scoring.path.partition("?")[0]) if table else None
        return route if route is not None and route.shares else None

    async def call_scorer(
        self, task: ScoringTask, route: Route, progress: ScoringProgress, failure_limit: int
    ) -> Response | None:
        """Send a scoring request once and return the response of a target, if there is one."""
        began_s = anyio.current_time()
        call = self.create_call(task, route, progress.max_runs(failure_limit), began_s)
        if call is None or not await self.forwarder.crash_guard.admit(call):
            progress.record_failed_call(0)
            return None
        try:
            outcome = await self.forwarder.queue_and_send(call)
        except anyio.get_cancelled_exc_class():
            progress.failure_count += call.attempts.server_error_count
            raise
        self.forwarder.crash_guard.record_answer(call)
        response = outcome.ok_value if isinstance(outcome, Ok) else None
        if response is None or not is_success(response.status):
            progress.record_failed_call(call.attempts.server_error_count)
        self.log_call(task, call, response, progress, began_s)
        if isinstance(outcome, Rejected):
            await anyio.sleep(outcome.retry_after_s)
        return response

    def create_call(
        self, task: ScoringTask, route: Route, max_runs: int, now_s: float
    ) -> LiveCall | None:
        """Return the call that scores a sample, or None if its route has no service."""
        services = self.forwarder.order_services(route)
        if not services:
            return None
        return LiveCall(
            request=scoring_request(task.scoring, now_s),
            route=route,
            service=services[0],
            deadline_s=min(now_s + route.timeout_s, task.expires_at_s),
            attempts=AttemptTracker(repeatable=True, max_runs=max_runs),
            is_background=True,
            is_wanted=task.is_wanted,
            other_services=services[1:],
        )

    def log_call(
        self,
        task: ScoringTask,
        call: LiveCall,
        response: Response | None,
        progress: ScoringProgress,
        began_s: float,
    ) -> None:
        """Log the outcome of a call to a scorer."""
        log.info(
            "scorer called",
            sample=task.sample_id,
            request=call.attempt_id,
            service=call.service,
            status=None if response is None else response.status,
            runs=call.attempts.possibly_run_count,
            failures=progress.failure_count,
            took_s=round(anyio.current_time() - began_s, 4),
        )
