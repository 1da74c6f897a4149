"""Run one generation to its end, going on elsewhere when an engine fails."""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import replace

import anyio

from balsamcleat.adapters.engine_dialect import prefix_blocks
from balsamcleat.decisions.admission import AdmissionRequest
from balsamcleat.decisions.quarantine import Quarantine, content_digest
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


# Longer prompts are told apart by their beginning alone.
MAX_PREFIX_CHARACTERS = 8_192
ANY_TEAM = TeamName("")


class Generate:
    """Streams a generation; a resumed one goes on at the offset reached.

    Args:
        gate: Admits requests.
        router: The routing decisions.
        connections: Connections to targets.
        retries: The retry policy.
        clock: The clock.
        randomness: Source of attempt ids.
        metrics: Where counts go.
        canceller: Stops attempts that nobody waits for.
        quarantine: Places requests; one of its own by default.
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
        self.gate = admission
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
        """Stream frames without gap or overlap until one has a finish reason.

        Args:
            request: The generation.
            deadline_s: On the monotonic clock, in seconds.
            team: Whose share it counts against.

        Raises:
            OverloadedError: It was not admitted, and not run.
            AttemptFailedError: It could not be finished; ``perhaps_sent`` is False only when
                no engine began it.
        """
        priority = Priority(request.priority)
        ask = AdmissionRequest(ServiceName(request.model), team, priority, deadline_s)
        async with (
            self.gate.acquire(ask) as entry,
            aclosing(self.run(request, deadline_s, entry)) as frames,
        ):
            async for frame in frames:
                yield frame

    async def run(
        self, request: GenerationRequest, deadline_s: float, permit: AdmissionPermit
    ) -> AsyncGenerator[TokenFrame, None]:
        """Stream the frames of an admitted generation."""
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
                # Cancelled, or the reader left.
                await self.quarantine.record_abandonment(placement)
                raise
            permit.record_attempt_end(failure.outcome)
            may_have_run = may_have_run or failure.perhaps_sent
            await self.quarantine.record_failure(placement, failure)
            progressed = bool(received)
            if progressed:
                request = resume_request(request, received)
                attempt, tried = 1, {target.target_id}
            await self.wait_or_give_up(
                failure, attempt, deadline_s, may_have_run=may_have_run, has_progress=progressed
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
        """Return where the next attempt runs.

        Raises:
            AttemptFailedError: There is no target, or the request is in quarantine.
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
        """Wait until the next attempt, or raise the failure when there should be none."""
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
        """Stream one attempt's frames up to the one with a finish reason.

        An attempt that ends in any other way is cancelled at its engine, which may still run it.

        Raises:
            AttemptFailedError: The stream ended without a finish reason.
        """
        due, whole, begun = request.resume_tokens, False, True
        began_s, outcome = self.clock.now_s(), AttemptOutcome.ABANDONED
        self.router.record_start(target.target_id)
        try:
            async with aclosing(self.connections.engine(target).generate(request)) as frames:
                while not whole:
                    frame = await self.next_frame(frames, target, deadline_s)
                    if frame.offset + frame.count <= due and frame.finish_reason is None:
                        self.metrics.count("generate.frame.late")
                        continue
                    self.check_offset(due, frame, target.target_id)
                    due, whole = frame.offset + frame.count, frame.finish_reason is not None
                    if whole:
                        outcome = AttemptOutcome.SUCCEEDED
                    yield frame
        except AttemptFailedError as error:
            begun, outcome = error.perhaps_sent, error.outcome
            raise
        finally:
            self.router.record_end(target.target_id, outcome, self.clock.now_s() - began_s)
            if begun and not whole and self.canceller is not None:
                self.canceller.submit(target, request.request_id)

    async def next_frame(
        self, frames: AsyncGenerator[TokenFrame, None], target: TargetInfo, deadline_s: float
    ) -> TokenFrame:
        """Return the next frame of a stream that must go on."""
        kind = FailureKind.CUT
        # A bare scope: this runs for each frame, and `fail_after` costs half as much again.
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
        """Refuse a frame that leaves a gap or repeats tokens."""
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
    """Return the request for the rest of a generation after its first frames."""
    last = received[-1]
    return replace(
        request,
        resume_text=request.resume_text + "".join(frame.text for frame in received),
        resume_tokens=last.offset + last.count,
    )
