"""Makes one sample: a turn at the engines, the generation, its resumes, its score."""

import random
from dataclasses import dataclass, field, replace

import anyio
import xxhash

from balsamcleat.commands.generate import Generate
from balsamcleat.configuration import Deployment
from balsamcleat.decisions.attribution import UNKNOWN_VERSION, Attribution
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.decisions.stragglers import LengthEstimate
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
    """A sample in the making.

    Attributes:
        key: Its place; a spare one has an index past its group's size.
        prompt: The prompt.
        serial: Tells attempts of a step apart, for the sampling seed.
        expected_tokens: Its expected length.
        scope: Cancelled to cut it.
        attribution: The versions that made its tokens so far.
        frames: Its frames so far.
        spare: Whether it is a spare one.
        spooled_tokens: How many of its tokens are in the spool.
        scoring: Whether it is generated and waits for its score.
    """

    key: SampleKey
    prompt: str
    serial: int
    expected_tokens: float
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    attribution: Attribution = field(default_factory=Attribution)
    frames: list[TokenFrame] = field(default_factory=list)
    is_spare: bool = False
    spooled_tokens: int = 0
    is_scoring: bool = False

    def add_frame(self, frame: TokenFrame) -> None:
        """Add a frame."""
        self.frames.append(frame)
        self.attribution.frame(frame)

    def unspooled_partial(self) -> PartialSample | None:
        """Return the tokens that are not in the spool yet; None for none and for spares."""
        start, end = self.spooled_tokens, self.attribution.known_tokens()
        if end <= start or self.is_spare:
            return None
        text = "".join(frame.text for frame in self.frames if start <= frame.offset < end)
        spans = tuple(
            VersionSpan(max(start, span.start), min(end, span.end), span.version)
            for span in self.attribution.spans
            if span.end > start and span.start < end
        )
        return PartialSample(self.key, self.serial, start, text, spans)

    def mark_spooled(self, partials: tuple[PartialSample, ...]) -> None:
        """Take note of what is in the spool now."""
        for partial in partials:
            if partial.key == self.key and partial.serial == self.serial:
                self.spooled_tokens = partial.spans[-1].end

    def restore(self, partial: PartialSample) -> None:
        """Begin with the tokens that an earlier owner left."""
        for position, span in enumerate(partial.spans):
            text = partial.text if position == 0 else ""
            self.add_frame(TokenFrame(span.start, span.end - span.start, text, span.version))

    def drop_unattributed(self) -> None:
        """Drop everything from the first token whose version is unknown."""
        known = self.attribution.known_tokens()
        self.frames = [frame for frame in self.frames if frame.offset + frame.count <= known]
        self.attribution.cut(known)
        if self.spooled_tokens > known:
            # What is in the spool past this point is not this sample's any more.
            self.spooled_tokens = 0

    def text(self) -> str:
        """Return the text so far."""
        return "".join(frame.text for frame in self.frames)

    def to_sample(self) -> Sample:
        """Return the finished sample."""
        return Sample(
            self.key,
            self.text(),
            self.attribution.tokens,
            tuple(self.attribution.spans),
            self.frames[-1].finish_reason or "",
        )


class SampleGenerator:
    """Makes samples for all steps of a node.

    Args:
        generate: Runs generations.
        router: Routes to scorers.
        connections: Connections to scorers.
        gate: Gives turns at the engines.
        estimate: Learns how long samples are.
        clock: The clock.
        generator: Draws jitter.
        metrics: Where counts go.
    """

    def __init__(
        self,
        generate: Generate,
        router: Router,
        connections: Connections,
        limiter: FairShareLimiter,
        estimate: LengthEstimate,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
    ) -> None:
        self.generate = generate
        self.router = router
        self.connections = connections
        self.limiter = limiter
        self.estimate = estimate
        self.clock = clock
        self.generator = generator
        self.metrics = metrics
        # Each scorer has its own limit, so that a slow one holds up nobody else.
        self.score_limits: dict[str, anyio.Semaphore] = {}

    async def produce_sample(
        self, spec: StepSpec, deployment: Deployment, attempt: SampleAttempt
    ) -> Sample:
        """Make the sample, trying until it is there; the caller cancels what it needs no more."""
        tries = 0
        while True:
            rest = max(1.0, attempt.expected_tokens - attempt.attribution.tokens)
            try:
                async with self.limiter.slot(spec.deployment, deployment.share, rest):
                    await self.generate_tokens(spec, deployment, attempt)
                break
            except (AttemptFailedError, OverloadedError):
                self.metrics.count("rollout.sample.failed")
                attempt.drop_unattributed()
                tries += 1
            await self.back_off(tries)
        sample = attempt.to_sample()
        if spec.scorer is None:
            return sample
        attempt.is_scoring = True
        return await self.score_sample(attempt.prompt, sample, ServiceName(spec.scorer))

    async def generate_tokens(
        self, spec: StepSpec, deployment: Deployment, attempt: SampleAttempt
    ) -> None:
        """Generate what the attempt lacks, from the tokens it has.

        Raises:
            AttemptFailedError: It did not get to its end, or not every token is attributed.
        """
        seed = f"{spec.step_id}|{attempt.key.group}|{attempt.key.index}|{attempt.serial}"
        resumed = attempt.attribution.tokens
        request = GenerationRequest(
            request_id=RequestId(""),
            model=deployment.service,
            prompt=attempt.prompt,
            max_tokens=spec.max_tokens,
            seed=xxhash.xxh32_intdigest(seed.encode()),
            temperature=spec.temperature,
            priority=Priority.ROLLOUT,
            resume_text=attempt.text(),
            resume_tokens=resumed,
        )
        if resumed:
            self.metrics.count("rollout.sample.resumed")
            self.metrics.count("rollout.tokens.saved", resumed)
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
            raise self.generation_error("the generation did not get to its end", deployment.service)

    def generation_error(self, message: str, peer: str) -> AttemptFailedError:
        """Return a failure to generate."""
        return AttemptFailedError(message, step="rollout.generate", peer=peer, perhaps_sent=True)

    async def score_sample(self, prompt: str, sample: Sample, scorer: ServiceName) -> Sample:
        """Return the sample with its score, trying until the scorer gives one."""
        limit = self.score_limits.setdefault(scorer, anyio.Semaphore(MAX_CONCURRENT_SCORES))
        tries = 0
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
            tries += 1
            await self.back_off(tries)

    async def back_off(self, tries: int) -> None:
        """Wait before the next try, with full jitter under a cap."""
        ceiling_s = min(BACKOFF_CAP_S, BACKOFF_BASE_S * 2.0 ** min(tries, 10))
        await self.clock.sleep(self.generator.uniform(0.0, ceiling_s))
