"""Bulkhead, circuit breaker, timeouts and retries for requests to one platform service."""

import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

from balsamcleat.decisions.breaker import BreakerState, CircuitBreaker
from balsamcleat.decisions.retry import RetryBudget
from balsamcleat.errors import (
    OutcomeUnknownError,
    PlatformBusyError,
    PlatformError,
    PlatformUnavailableError,
)
from balsamcleat.ports import Clock, Metrics

__all__ = ["ResiliencePipeline"]

READ_TIMEOUT_S = 2.5
WRITE_TIMEOUT_S = 3.5
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0
MAX_ATTEMPTS = 3
MAX_IN_FLIGHT = 16
MAX_WAITING = 256

ResultT = TypeVar("ResultT")


class ResiliencePipeline:
    """Bounds the concurrent requests to a platform service and retries failed reads.

    Requests beyond ``max_in_flight`` are queued. A request fails at once when ``max_waiting``
    requests are queued or while the circuit breaker is open, so that a slow store does not block
    callers.

    Args:
        name: Name of the service, such as ``table``, that is part of its counters' names.
        clock: Clock for the circuit breaker and the backoff.
        retry_budget: Retry budget shared by all layers of the process.
        generator: Draws the jitter of the backoff.
        metrics: Receives the counters.
        max_in_flight: Largest number of requests in flight at the service.
        max_waiting: Largest number of queued requests.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        retry_budget: RetryBudget,
        generator: random.Random,
        metrics: Metrics,
        max_in_flight: int = MAX_IN_FLIGHT,
        max_waiting: int = MAX_WAITING,
    ) -> None:
        self.name = name
        self.clock = clock
        self.retry_budget = retry_budget
        self.generator = generator
        self.metrics = metrics
        self.breaker = CircuitBreaker(generator)
        self.slots = anyio.Semaphore(max_in_flight)
        self.max_admitted_requests = max_in_flight + max_waiting
        self.admitted_requests = 0

    async def read(
        self,
        step: str,
        send_request: Callable[[], Awaitable[ResultT]],
        on_dequeued: Callable[[], None] | None = None,
    ) -> ResultT:
        """Send a read request and retry it while the retry budget allows.

        Args:
            step: Name of the operation, for errors.
            send_request: Sends one request to the service.
            on_dequeued: Called when a request leaves the queue, before it is sent.

        Raises:
            PlatformUnavailableError: No attempt was answered.
        """
        attempt = 1
        while True:
            try:
                return await self.attempt_once(step, send_request, READ_TIMEOUT_S, on_dequeued)
            except PlatformUnavailableError as error:
                if not await self.wait_before_retry(attempt, error):
                    raise
            attempt += 1

    async def write(self, step: str, send_request: Callable[[], Awaitable[ResultT]]) -> ResultT:
        """Send a write request once, without retries.

        Raises:
            PlatformUnavailableError: The write took no effect.
            OutcomeUnknownError: The write was sent and not answered.
        """
        return await self.attempt_once(step, send_request, WRITE_TIMEOUT_S, None, is_write=True)

    async def wait_before_retry(self, attempt: int, error: PlatformError) -> bool:
        """Back off before a retry and return True, or return False at once to give up."""
        # A request that was rejected here for overload would only use up the retry budget.
        if attempt >= MAX_ATTEMPTS or isinstance(error, PlatformBusyError):
            return False
        if self.breaker.is_rejecting(self.clock.now_s()):
            return False
        if not self.retry_budget.spend():
            self.metrics.count(f"platform.{self.name}.retry.denied")
            return False
        self.metrics.count(f"platform.{self.name}.retry")
        max_delay_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2.0 ** (attempt - 1))
        await self.clock.sleep(self.generator.uniform(0.0, max_delay_s))
        return True

    async def attempt_once(
        self,
        step: str,
        send_request: Callable[[], Awaitable[ResultT]],
        timeout_s: float,
        on_dequeued: Callable[[], None] | None,
        is_write: bool = False,
    ) -> ResultT:
        """Send one request through the bulkhead and the circuit breaker."""
        if self.admitted_requests >= self.max_admitted_requests:
            raise self.make_busy_error("too many requests wait", step)
        self.admitted_requests += 1
        try:
            await self.acquire_slot(step, timeout_s)
            return await self.send_in_slot(step, send_request, timeout_s, on_dequeued, is_write)
        finally:
            self.admitted_requests -= 1

    async def send_in_slot(
        self,
        step: str,
        send_request: Callable[[], Awaitable[ResultT]],
        timeout_s: float,
        on_dequeued: Callable[[], None] | None,
        is_write: bool,
    ) -> ResultT:
        """Send a request that holds a slot, and release the slot."""
        is_sent = False
        try:
            if on_dequeued is not None:
                on_dequeued()
            if not self.breaker.allow_request(self.clock.now_s()):
                raise self.make_busy_error("the circuit breaker is open", step)
            is_sent = True
            with anyio.fail_after(timeout_s):
                result = await send_request()
        except TimeoutError as error:
            self.record_failure()
            if is_write:
                raise OutcomeUnknownError("timed out", step=step, peer=self.name) from error
            raise PlatformUnavailableError("timed out", step=step, peer=self.name) from error
        except PlatformError:
            if is_sent:
                self.record_failure()
            raise
        finally:
            self.slots.release()
        self.retry_budget.record_success()
        self.breaker.record_success()
        return result

    async def acquire_slot(self, step: str, timeout_s: float) -> None:
        """Wait for a free slot of the bulkhead."""
        if self.breaker.is_rejecting(self.clock.now_s()):
            raise self.make_busy_error("the circuit breaker is open", step)
        try:
            with anyio.fail_after(timeout_s):
                await self.slots.acquire()
        except TimeoutError as error:
            raise self.make_busy_error("timed out waiting for a free slot", step) from error

    def make_busy_error(self, problem: str, step: str) -> PlatformBusyError:
        """Count a request that is not sent and return its error."""
        self.metrics.count(f"platform.{self.name}.not_sent")
        return PlatformBusyError(problem, step=step, peer=self.name)

    def record_failure(self) -> None:
        """Count a failed request and report it to the circuit breaker."""
        self.metrics.count(f"platform.{self.name}.failed")
        was_closed = self.breaker.state is BreakerState.CLOSED
        self.breaker.record_failure(self.clock.now_s())
        if was_closed and self.breaker.state is BreakerState.OPEN:
            self.metrics.count(f"platform.{self.name}.breaker.opened")
