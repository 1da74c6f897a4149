"""Runs a generation to its end and resumes it on another engine when one fails."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import replace

import anyio

from balsamcleat.adapters.engine_dialect import prefix_blocks
from balsamcleat.decisions.admission import AdmissionRequest
from balsamcleat.decisions.quarantine import Quarantine
from balsamcleat.decisions.request_content import content_digest
from balsamcleat.decisions.retry import GiveUp, RetryPolicy
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import (
    AttemptOutcome,
    FailureKind,
    GenerationRequest,
    Priority,
    RequestId,
    ServiceName,
    TargetId,
    TargetInfo,
    TeamName,
    TokenFrame,
)
from balsamcleat.ports import Clock, Metrics, Randomness
from balsamcleat.tasks.admission_controller import AdmissionController, AdmissionPermit
from balsamcleat.tasks.canceller import Canceller
from balsamcleat.tasks.connections import Connections
from balsamcleat.tasks.quarantine_guard import Placement, QuarantineGuard

__all__ = ["Generate"]


# Only the beginning of a longer prompt counts for routing by prefix.
MAX_PREFIX_CHARACTERS = 8_192
ANY_TEAM = TeamName("")


class Generate:
    """Streams a generation, and resumes it at the offset that it had reached.

    Args:
        admission: Admits requests.
        router: Chooses engines.
        connections: Connections to engines.
        retries: Retry policy.
        clock: Source of time and of delays.
        randomness: Source of attempt ids.
        metrics: Receiver of counters.
        canceller: Cancels attempts at engines whose result is not needed any more.
        quarantine: Places requests on engines; a new one by default.
    """

    def __init__(
        self,
        admission: AdmissionController,
        router: Router,
        connections: Connections,
        retries: RetryPolicy,
        clock: Clock,
        randomness: Randomness,
        metrics: Metrics,
        canceller: Canceller | None = None,
        quarantine: QuarantineGuard | None = None,
    ) -> None:
        self.admission = admission
        self.router = router
        self.connections = connections
        self.retries = retries
        self.clock = clock
        self.randomness = randomness
        self.metrics = metrics
        self.canceller = canceller
        self.quarantine = quarantine or QuarantineGuard(Quarantine(), router, clock, metrics)

    async def __call__(
        self, request: GenerationRequest, deadline_s: float, team: TeamName = ANY_TEAM
    ) -> AsyncGenerator[TokenFrame, None]:
        """Yield frames without gap or overlap until one has a finish reason.

        Args:
            request: Generation to run.
            deadline_s: Deadline on the monotonic clock, in seconds.
            team: Team whose quota and share the generation consumes.

        Raises:
            OverloadedError: The generation was not admitted and has not run.
            AttemptFailedError: The generation could not be finished; ``perhaps_sent`` is False
                only if no engine began it.
        """
        priority = Priority(request.priority)
        admission_request = AdmissionRequest(ServiceName(request.model), team, priority, deadline_s)
        async with (
            self.admission.acquire(admission_request) as permit,
            aclosing(self.run(request, deadline_s, permit)) as frames,
        ):
            async for frame in frames:
                yield frame

    async def run(
        self, request: GenerationRequest, deadline_s: float, permit: AdmissionPermit
    ) -> AsyncGenerator[TokenFrame, None]:
        """Yield the frames of an admitted generation."""
        tried: set[TargetId] = set()
        digests = prefix_blocks(request.prompt[:MAX_PREFIX_CHARACTERS])
        query = RouteQuery(ServiceName(request.model), digests, request.adapter)
        may_have_run = False
        attempt = 0
        while True:
            attempt += 1
            placement = await self.choose_placement(
                request, query, tried, deadline_s, may_have_run=may_have_run
            )
            target = placement.target
            tried.add(target.target_id)
            request = replace(
                request,
                request_id=RequestId(self.randomness.fresh_id()),
                remaining_s=deadline_s - self.clock.now_s(),
            )
            received: list[TokenFrame] = []
            permit.record_attempt_start()
            try:
                async with aclosing(self.stream_attempt(request, target, deadline_s)) as frames:
                    async for frame in frames:
                        if not may_have_run:
                            permit.record_first_byte()
                        may_have_run = True
                        received.append(frame)
                        yield frame
                self.retries.budget.record_success()
                await self.quarantine.record_survival(placement)
                return
            except AttemptFailedError as error:
                failure = error
            except BaseException:
                # The generation was cancelled, or its reader disconnected.
                await self.quarantine.record_abandonment(placement)
                raise
            permit.record_attempt_end(failure.outcome)
            may_have_run = may_have_run or failure.perhaps_sent
            await self.quarantine.record_failure(placement, failure)
            has_progress = bool(received)
            if has_progress:
                request = resume_request(request, received)
                attempt, tried = 1, {target.target_id}
            await self.wait_or_give_up(
                failure, attempt, deadline_s, may_have_run=may_have_run, has_progress=has_progress
            )

    async def choose_placement(
        self,
        request: GenerationRequest,
        query: RouteQuery,
        tried: set[TargetId],
        deadline_s: float,
        *,
        may_have_run: bool,
    ) -> Placement:
        """Return the placement of the next attempt.

        Raises:
            AttemptFailedError: There is no engine, or the request is blocked.
        """
        digest = content_digest(request.model, request.adapter or "", request.prompt)
        query = replace(query, exclude=frozenset(tried))
        try:
            placement = await self.quarantine.place(digest, query, deadline_s)
        except AttemptFailedError as error:
            error.perhaps_sent = may_have_run
            raise
        if placement is None:
            raise AttemptFailedError(
                "no target",
                step="generate.route",
                peer=request.model,
                perhaps_sent=may_have_run,
                kind=FailureKind.NO_TARGET,
            )
        return placement

    async def wait_or_give_up(
        self,
        failure: AttemptFailedError,
        attempt: int,
        deadline_s: float,
        *,
        may_have_run: bool,
        has_progress: bool,
    ) -> None:
        """Wait until the next attempt, or raise the failure if no attempt should follow."""
        self.metrics.count(f"generate.attempt.{failure.kind.name.lower()}")
        recovery = self.retries.decide(
            failure,
            attempt,
            idempotent=True,
            remaining_s=deadline_s - self.clock.now_s(),
            has_progress=has_progress,
        )
        if isinstance(recovery, GiveUp):
            failure.perhaps_sent = may_have_run
            failure.retry_after_s = recovery.retry_after_s
            raise failure
        self.metrics.count("generate.retry")
        await self.clock.sleep(recovery.delay_s)

    async def stream_attempt(
        self, request: GenerationRequest, target: TargetInfo, deadline_s: float
    ) -> AsyncGenerator[TokenFrame, None]:
        """Yield the frames of one attempt up to the one with a finish reason.

        An attempt that ends in any other way is cancelled at its engine, which may still run the
        attempt.

        Raises:
            AttemptFailedError: The stream ended without a finish reason.
        """
        next_offset, is_complete, may_have_run = request.resume_tokens, False, True
        started_s, outcome = self.clock.now_s(), AttemptOutcome.ABANDONED
        self.router.record_start(target.target_id)
        try:
            async with aclosing(self.connections.engine(target).generate(request)) as frames:
                while not is_complete:
                    frame = await self.next_frame(frames, target, deadline_s)
                    if frame.offset + frame.count <= next_offset and frame.finish_reason is None:
                        self.metrics.count("generate.frame.late")
                        continue
                    self.check_offset(next_offset, frame, target.target_id)
                    next_offset, is_complete = (
                        frame.offset + frame.count,
                        frame.finish_reason is not None,
                    )
                    if is_complete:
                        outcome = AttemptOutcome.SUCCEEDED
                    yield frame
        except AttemptFailedError as error:
            may_have_run, outcome = error.perhaps_sent, error.outcome
            raise
        finally:
            self.router.record_end(target.target_id, outcome, self.clock.now_s() - started_s)
            if may_have_run and not is_complete and self.canceller is not None:
                self.canceller.submit(target, request.request_id)

    async def next_frame(
        self, frames: AsyncGenerator[TokenFrame, None], target: TargetInfo, deadline_s: float
    ) -> TokenFrame:
        """Return the next frame of a stream that has no finish reason yet."""
        kind = FailureKind.CUT
        # Runs once a frame; `fail_after` would cost half as much again as a bare scope.
        with anyio.CancelScope(deadline=deadline_s) as scope:
            try:
                return await anext(frames)
            except StopAsyncIteration:
                pass
        if scope.cancelled_caught:
            kind = FailureKind.DEADLINE
        raise AttemptFailedError(
            "the deadline passed" if kind is FailureKind.DEADLINE else "the stream ended early",
            step="generate.stream",
            peer=target.target_id,
            perhaps_sent=True,
            kind=kind,
        )

    def check_offset(self, expected_offset: int, frame: TokenFrame, target_id: TargetId) -> None:
        """Raise an error for a frame that leaves a gap or repeats tokens."""
        if frame.offset != expected_offset:
            self.metrics.count("generate.frame.gap")
            raise AttemptFailedError(
                f"a frame at {frame.offset} came where {expected_offset} was due",
                step="generate.stream",
                peer=target_id,
                perhaps_sent=True,
                kind=FailureKind.MALFORMED,
            )


def resume_request(request: GenerationRequest, received: list[TokenFrame]) -> GenerationRequest:
    """Return the request for the rest of a generation after the frames received so far."""
    last = received[-1]
    return replace(
        request,
        resume_text=request.resume_text + "".join(frame.text for frame in received),
        resume_tokens=last.offset + last.count,
    )
