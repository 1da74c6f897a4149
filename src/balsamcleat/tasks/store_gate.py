"""The way to one platform service: bulkhead, circuit breaker, time-outs and retries."""

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

__all__ = ["StoreGate"]

READ_TIMEOUT_S = 2.5
WRITE_TIMEOUT_S = 3.5
BACKOFF_BASE_S = 0.05
BACKOFF_CAP_S = 1.0
MAX_ATTEMPTS = 3
MAX_IN_FLIGHT = 16
MAX_WAITING = 256

ResultT = TypeVar("ResultT")


class StoreGate:
    """Lets a bounded number of requests through to a service that answers.

    Requests beyond the bulkhead wait; beyond ``max_waiting``, or while the breaker is open, they
    fail at once, so that a slow store does not hold callers.

    Args:
        name: The service, such as ``table``; names the counters.
        clock: The clock.
        budget: The allowance of retries shared by all layers of the process.
        generator: Draws jitter.
        metrics: Where counts go.
        max_in_flight: The most requests at the service.
        max_waiting: The most requests waiting for it.
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
        """Read, again after a failure while the allowance lasts.

        Args:
            step: The step, for errors.
            send_request: Sends the request.
            on_dequeued: Called when the request leaves the queue.

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
        """Write once.

        Raises:
            PlatformUnavailableError: It was not taken.
            OutcomeUnknownError: It was sent and not answered.
        """
        return await self.attempt_once(step, send_request, WRITE_TIMEOUT_S, None, is_write=True)

    async def wait_before_retry(self, attempt: int, error: PlatformError) -> bool:
        """Wait before the next attempt; returns False at once when there should be none."""
        # What was not even sent here for overload would only spend the allowance.
        if attempt >= MAX_ATTEMPTS or isinstance(error, PlatformBusyError):
            return False
        if self.breaker.refuses(self.clock.now_s()):
            return False
        if not self.retry_budget.take():
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
        """Send one request behind bulkhead and breaker."""
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
        """Send a request that has a place, and give the place back."""
        is_sent = False
        try:
            if on_dequeued is not None:
                on_dequeued()
            if not self.breaker.admit(self.clock.now_s()):
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
        self.retry_budget.credit()
        self.breaker.succeeded()
        return result

    async def acquire_slot(self, step: str, timeout_s: float) -> None:
        """Wait for a place at the service."""
        if self.breaker.refuses(self.clock.now_s()):
            raise self.make_busy_error("the circuit breaker is open", step)
        try:
            with anyio.fail_after(timeout_s):
                await self.slots.acquire()
        except TimeoutError as error:
            raise self.make_busy_error("no place became free", step) from error

    def make_busy_error(self, problem: str, step: str) -> PlatformBusyError:
        """Return the error of a request that is not sent."""
        self.metrics.count(f"platform.{self.name}.not_sent")
        return PlatformBusyError(problem, step=step, peer=self.name)

    def record_failure(self) -> None:
        """Tell the breaker."""
        self.metrics.count(f"platform.{self.name}.failed")
        was_closed = self.breaker.state is BreakerState.CLOSED
        self.breaker.failed(self.clock.now_s())
        if was_closed and self.breaker.state is BreakerState.OPEN:
            self.metrics.count(f"platform.{self.name}.breaker.opened")
