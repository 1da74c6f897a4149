"""Generates one sample, resuming it after failures, and scores it."""

import random
from dataclasses import dataclass, field, replace

import anyio
import xxhash

from balsamcleat.commands.generate import Generate
from balsamcleat.configuration import Deployment
from balsamcleat.decisions.attribution import UNKNOWN_VERSION, VersionAttribution
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.decisions.stragglers import LengthEstimator
from balsamcleat.errors import AttemptFailedError, OverloadedError
from balsamcleat.model import (
    GenerationRequest,
    Priority,
    RequestId,
    Sample,
    SampleKey,
    ServiceName,
    StepSpec,
    TeamName,
    TokenFrame,
    VersionSpan,
)
from balsamcleat.ports import Clock, Metrics
from balsamcleat.tasks.connections import Connections
from balsamcleat.tasks.fair_share_limiter import FairShareLimiter
from balsamcleat.tasks.step_store import PartialSample

__all__ = ["SampleAttempt", "SampleGenerator"]

SCORE_TIMEOUT_S = 5.0
MAX_CONCURRENT_SCORES = 32
BACKOFF_BASE_S = 0.1
BACKOFF_CAP_S = 3.0


@dataclass(eq=False)
class SampleAttempt:
    """Attempt to generate one sample.

    Attributes:
        key: Group and index of the sample; a spare sample has an index past its group's size.
        prompt: Prompt of the sample's group.
        serial: Serial number of the attempt within its step, part of the sampling seed.
        expected_tokens: Expected length of the sample, in tokens.
        scope: Cancel scope of the attempt.
        attribution: Weight versions that generated the tokens so far.
        frames: Frames received so far.
        is_spare: Whether the sample is a spare one.
        saved_tokens: Number of the sample's tokens that are saved in the object store.
        is_scoring: Whether the sample is completely generated and waits for its score.
    """

    key: SampleKey
    prompt: str
    serial: int
    expected_tokens: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    attribution: VersionAttribution = field(default_factory=VersionAttribution)
    frames: list[TokenFrame] = field(default_factory=list)
    is_spare: bool = False
    saved_tokens: int = 0
    is_scoring: bool = False

    def add_frame(self, frame: TokenFrame) -> None:
        """Append a frame and attribute its tokens."""
        self.frames.append(frame)
        self.attribution.add_frame(frame)

    def unsaved_partial(self) -> PartialSample | None:
        """Return the tokens not saved yet; None if there are none or the sample is a spare."""
        start, end = self.saved_tokens, self.attribution.known_token_count()
        if end <= start or self.is_spare:
            return None
        text = "".join(frame.text for frame in self.frames if start <= frame.offset < end)
        spans = tuple(
            VersionSpan(max(start, span.start), min(end, span.end), span.version)
            for span in self.attribution.spans
            if span.end > start and span.start < end
        )
        return PartialSample(self.key, self.serial, start, text, spans)

    def mark_saved(self, partials: tuple[PartialSample, ...]) -> None:
        """Record which of the attempt's tokens are saved now."""
        for partial in partials:
            if partial.key == self.key and partial.serial == self.serial:
                self.saved_tokens = partial.spans[-1].end

    def restore(self, partial: PartialSample) -> None:
        """Restore the tokens that an earlier owner saved."""
        for position, span in enumerate(partial.spans):
            text = partial.text if position == 0 else ""
            self.add_frame(TokenFrame(span.start, span.end - span.start, text, span.version))

    def drop_unattributed(self) -> None:
        """Drop all tokens from the first one whose weight version is unknown."""
        known = self.attribution.known_token_count()
        self.frames = [frame for frame in self.frames if frame.offset + frame.count <= known]
        self.attribution.truncate(known)
        if self.saved_tokens > known:
            # Saved tokens past this point were dropped, so saving starts over at token 0.
            self.saved_tokens = 0

    def text(self) -> str:
        """Return the text generated so far."""
        return "".join(frame.text for frame in self.frames)

    def to_sample(self) -> Sample:
        """Return the finished sample."""
        return Sample(
            self.key,
            self.text(),
            self.attribution.token_count,
            tuple(self.attribution.spans),
            self.frames[-1].finish_reason or "",
        )


class SampleGenerator:
    """Generates and scores the samples of all steps of a VM.

    Args:
        generate: Command that runs a generation on an engine.
        router: Router that chooses scorers.
        connections: Connections to the scorers.
        limiter: Limits the number of samples in generation.
        length_estimator: Estimator of sample lengths.
        clock: Source of time and of delays.
        generator: Random number generator for the jitter of retries.
        metrics: Receiver of metrics.
    """

    def __init__(
        self,
        generate: Generate,
        router: Router,
        connections: Connections,
        limiter: FairShareLimiter,
        length_estimator: LengthEstimator,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
    ) -> None:
        self.generate = generate
        self.router = router
        self.connections = connections
        self.limiter = limiter
        self.length_estimator = length_estimator
        self.clock = clock
        self.generator = generator
        self.metrics = metrics
        # Each scorer has its own concurrency limit, so that a slow scorer delays only its own
        # samples.
        self.score_limits: dict[str, anyio.Semaphore] = {}

    async def produce_sample(
        self, spec: StepSpec, deployment: Deployment, attempt: SampleAttempt
    ) -> Sample:
        """Generate and score a sample, retrying until it succeeds or the caller cancels it."""
        failure_count = 0
        while True:
            remaining_tokens = max(1.0, attempt.expected_tokens - attempt.attribution.token_count)
            try:
                async with self.limiter.slot(spec.deployment, deployment.share, remaining_tokens):
                    await self.generate_tokens(spec, deployment, attempt)
                break
            except (AttemptFailedError, OverloadedError):
                self.metrics.count("rollout.sample.failed")
                attempt.drop_unattributed()
                failure_count += 1
            await self.back_off(failure_count)
        sample = attempt.to_sample()
        if spec.scorer is None:
            return sample
        attempt.is_scoring = True
        return await self.score_sample(attempt.prompt, sample, ServiceName(spec.scorer))

    async def generate_tokens(
        self, spec: StepSpec, deployment: Deployment, attempt: SampleAttempt
    ) -> None:
        """Generate the rest of a sample after the tokens that the attempt has.

        Raises:
            AttemptFailedError: The generation did not complete, a token's weight version is
                unknown, or the engine's weights are older than the step allows.
        """
        seed = f"{spec.step_id}|{attempt.key.group}|{attempt.key.index}|{attempt.serial}"
        resumed_tokens = attempt.attribution.token_count
        request = GenerationRequest(
            request_id=RequestId(""),
            model=deployment.service,
            prompt=attempt.prompt,
            max_tokens=spec.max_tokens,
            seed=xxhash.xxh32_intdigest(seed.encode()),
            temperature=spec.temperature,
            priority=Priority.ROLLOUT,
            resume_text=attempt.text(),
            resume_tokens=resumed_tokens,
        )
        if resumed_tokens:
            self.metrics.count("rollout.sample.resumed")
            self.metrics.count("rollout.tokens.saved", resumed_tokens)
        deadline_s = self.clock.now_s() + spec.deadline_s
        async for frame in self.generate(request, deadline_s, TeamName(deployment.team)):
            attempt.add_frame(frame)
            if frame.weight_version == UNKNOWN_VERSION:
                raise self.generation_error(
                    "a token's weight version is unknown", deployment.service
                )
            if frame.weight_version < spec.min_version:
                raise self.generation_error("the engine's weights are too old", deployment.service)
        if not attempt.frames or attempt.frames[-1].finish_reason is None:
            raise self.generation_error(
                "the generation ended without a finish reason", deployment.service
            )

    def generation_error(self, message: str, peer: str) -> AttemptFailedError:
        """Return the error for a failed generation."""
        return AttemptFailedError(message, step="rollout.generate", peer=peer, perhaps_sent=True)

    async def score_sample(self, prompt: str, sample: Sample, scorer: ServiceName) -> Sample:
        """Return a sample with its score, retrying until the scorer returns one."""
        limit = self.score_limits.setdefault(scorer, anyio.Semaphore(MAX_CONCURRENT_SCORES))
        failure_count = 0
        while True:
            target = self.router.choose(RouteQuery(scorer))
            if target is not None:
                try:
                    async with limit:
                        port = self.connections.scorer(target)
                        score = await port.score(prompt, sample, SCORE_TIMEOUT_S)
                    return replace(sample, score=score)
                except AttemptFailedError:
                    self.metrics.count("rollout.score.failed")
            failure_count += 1
            await self.back_off(failure_count)

    async def back_off(self, failure_count: int) -> None:
        """Wait before the next try: exponential backoff with full jitter, up to a cap."""
        ceiling_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2.0 ** min(failure_count, 10))
        await self.clock.sleep(self.generator.uniform(0.0, ceiling_s))
