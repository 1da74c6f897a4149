"""The task that owns one step: generates, scores, collects and hands out its samples."""

from dataclasses import dataclass

import anyio
import anyio.abc
import structlog

from balsamcleat.configuration import Deployment
from balsamcleat.decisions.step import (
    AddOutcome,
    Ambiguous,
    Deliver,
    Fenced,
    StepMachine,
    Wait,
    Whole,
)
from balsamcleat.decisions.step_lease import STEP_RENEW_INTERVAL_S
from balsamcleat.decisions.stragglers import spare_plan, worth_cutting
from balsamcleat.errors import PlatformError
from balsamcleat.model import Batch, Sample, StepSpec, TrainerAck, WeightVersion
from balsamcleat.ports import (
    BatchReady,
    Clock,
    Metrics,
    NoBatchYet,
    PullOutcome,
    PullRefused,
    StepGone,
)
from balsamcleat.tasks.fair_share_limiter import FairShareLimiter
from balsamcleat.tasks.sample_generator import SampleAttempt, SampleGenerator
from balsamcleat.tasks.step_plan import StepPlan
from balsamcleat.tasks.step_store import (
    SpoolChunk,
    SpoolContents,
    StepFencedError,
    StepLease,
    StepStore,
)

__all__ = ["OwnerDependencies", "StepOwner"]

SPOOL_INTERVAL_S = 0.25
# How long a batch waits for its record when the trainer says what it has.
RECORD_TIMEOUT_S = 1.0
RECORD_RETRY_S = 0.3
# A step past its deadline is given up after so long without a pull.
ABANDONED_AFTER_S = 600.0

log = structlog.get_logger()


@dataclass(frozen=True)
class OwnerDependencies:
    """What all owners of a node share.

    Attributes:
        maker: Makes samples.
        store: Keeps what lasts of steps.
        gate: Gives turns at the engines.
        clock: The clock.
        metrics: Where counts go.
    """

    sample_generator: SampleGenerator
    store: StepStore
    limiter: FairShareLimiter
    clock: Clock
    metrics: Metrics


class StepOwner:
    """Owns one open step.

    Args:
        held: The step's row.
        spec: The step.
        deployment: Its deployment's configuration.
        parts: What all owners share.
    """

    def __init__(
        self,
        lease: StepLease,
        spec: StepSpec,
        deployment: Deployment,
        dependencies: OwnerDependencies,
    ) -> None:
        self.lease = lease
        self.spec = spec
        self.deployment = deployment
        self.dependencies = dependencies
        self.machine = StepMachine(spec, epoch=lease.head.epoch)
        self.plan = StepPlan(spec, dependencies.sample_generator.estimate)
        self.spares = spare_plan(deployment.idle_weight, spec.staleness_bound)
        self.progress = anyio.Event()
        self.scope = anyio.CancelScope()
        self.unspooled_samples: list[Sample] = []
        self.next_chunk_number = 0
        self.pull_count = 0
        self.fenced = False
        self.closed_reason = ""
        self.opened_at_s = self.pulled_at_s = dependencies.clock.now_s()

    async def run(self) -> None:
        """Produce all samples of the step, and keep them, until it is closed or lost."""
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.renew)
                group.start_soon(self.spool)
                await self.produce(group)

    async def produce(self, group: anyio.abc.TaskGroup) -> None:
        """Start attempts in the plan's order as the gate takes them."""
        while True:
            progress = self.progress
            room = self.dependencies.limiter.slots - len(self.plan.generating_attempts())
            for attempt in self.plan.next_attempts(self.machine.missing, room, self.spares):
                group.start_soon(self.run_attempt, attempt)
            await progress.wait()

    async def run_attempt(self, attempt: SampleAttempt) -> None:
        """Make one sample and collect it."""
        with attempt.scope:
            sample = await self.dependencies.sample_generator.produce_sample(
                self.spec, self.deployment, attempt
            )
            outcome = self.machine.add(sample)
            self.dependencies.metrics.count(f"rollout.sample.{outcome.value}")
            if outcome is AddOutcome.TAKEN:
                self.plan.record_finished(sample)
                self.unspooled_samples.append(sample)
        self.plan.remove_attempt(attempt)
        self.cancel_needless_attempts()
        self.notify()

    def cancel_needless_attempts(self) -> None:
        """Cut attempts for places that are filled, and those that can't be fresh any more."""
        oldest = self.machine.oldest_allowed()
        for attempt in self.plan.needless_attempts(self.machine.missing):
            self.dependencies.metrics.count("rollout.attempt.surplus")
            attempt.scope.cancel()
        for attempt in list(self.plan.attempts.values()):
            seen = attempt.attribution.oldest()
            if seen is not None and 0 < seen < oldest:
                self.dependencies.metrics.count("rollout.attempt.stale")
                attempt.scope.cancel()

    def notify(self) -> None:
        """Wake the pulls and the production."""
        self.progress.set()
        self.progress = anyio.Event()

    def version_reported(self, version: WeightVersion) -> None:
        """Take note of the trainer's version; work that it makes stale is cut at once."""
        stale = self.machine.version_reported(version)
        self.dependencies.metrics.count("rollout.sample.outdated", len(stale))
        for attempt in list(self.plan.attempts.values()):
            oldest, done = attempt.attribution.oldest(), attempt.attribution.tokens
            lag = 0 if not oldest else self.machine.trainer_version - oldest
            if worth_cutting(self.spares, lag, done, attempt.expected_tokens):
                self.dependencies.metrics.count("rollout.attempt.restarted")
                attempt.scope.cancel()
        self.cancel_needless_attempts()
        self.notify()

    async def pull(self, ack: TrainerAck, wait_s: float) -> PullOutcome:
        """Return the batch after the cursor, waiting up to ``wait_s`` seconds for it."""
        self.pull_count += 1
        number = self.pull_count
        self.pulled_at_s = self.dependencies.clock.now_s()
        if ack.version > self.machine.trainer_version:
            self.version_reported(ack.version)
        with anyio.move_on_after(wait_s):
            # A later pull of the trainer makes this one's answer worthless.
            while number == self.pull_count and not self.fenced:
                progress = self.progress
                outcome = await self.answer_pull(ack)
                if outcome is not None:
                    return outcome
                if self.progress is progress:
                    await progress.wait()
        return StepGone(self.closed_reason) if self.closed_reason else NoBatchYet()

    async def answer_pull(self, ack: TrainerAck) -> PullOutcome | None:
        """Return the answer to a pull, or None to wait."""
        decision = self.machine.pull(ack)
        if isinstance(decision, Deliver) and not decision.recorded:
            await self.record_batch(decision)
            # Meanwhile the trainer may have moved on and made the batch stale.
            decision = self.machine.pull(ack)
            if isinstance(decision, Deliver) and not (decision.recorded or decision.witnessed):
                await self.dependencies.clock.sleep(RECORD_RETRY_S)
                self.notify()
                return None
        match decision:
            case Deliver(batch=batch):
                self.count_delivery(batch, decision)
                return BatchReady(batch)
            case Whole():
                return StepGone("whole")
            case Ambiguous(reason=reason):
                return PullRefused(reason)
            case Fenced():
                self.handle_fencing()
            case Wait():
                # The pull may have made finished samples stale.
                self.cancel_needless_attempts()
        return None

    def count_delivery(self, batch: Batch, decision: Deliver) -> None:
        """Count a batch that goes out."""
        metrics = self.dependencies.metrics
        metrics.count(
            "rollout.batch.delivered" if decision.recorded else "rollout.batch.unrecorded"
        )
        if batch.last:
            elapsed_s = self.dependencies.clock.now_s() - self.opened_at_s
            metrics.timing("rollout.step.whole_ms", elapsed_s * 1000)

    async def record_batch(self, decision: Deliver) -> None:
        """Try to keep a batch under its number before it goes out."""
        patience_s = RECORD_TIMEOUT_S if decision.witnessed else float("inf")
        with anyio.move_on_after(patience_s):
            try:
                await self.dependencies.store.record_batch(self.lease, decision.batch)
            except StepFencedError:
                self.handle_fencing()
            except PlatformError:
                self.dependencies.metrics.count("rollout.record.failed")
            else:
                self.machine.record_done(decision.batch)

    def handle_fencing(self) -> None:
        """Stop: another VM owns the step."""
        if not self.fenced:
            self.fenced = True
            log.warning("step lost", step=self.lease.key, epoch=self.lease.head.epoch)
            self.scope.cancel()
            self.notify()

    async def renew(self) -> None:
        """Show at intervals that this owner is alive, until another one is."""
        while True:
            await self.dependencies.clock.sleep(STEP_RENEW_INTERVAL_S)
            try:
                await self.dependencies.store.renew(self.lease)
                if self.is_abandoned():
                    await self.close("expired")
            except StepFencedError:
                self.handle_fencing()
            except PlatformError:
                self.dependencies.metrics.count("rollout.renew.failed")

    def is_abandoned(self) -> bool:
        """Return whether the step is past its deadline and its trainer asks no more."""
        now_s = self.dependencies.clock.now_s()
        late = now_s > self.opened_at_s + self.spec.deadline_s + ABANDONED_AFTER_S
        return late and now_s > self.pulled_at_s + ABANDONED_AFTER_S

    async def spool(self) -> None:
        """Keep finished samples in the object store, in batches."""
        while True:
            await self.dependencies.clock.sleep(SPOOL_INTERVAL_S)
            await self.spool_now()

    async def spool_now(self) -> None:
        """Keep what was made since the last time."""
        finished = tuple(self.unspooled_samples)
        attempts = self.plan.generating_attempts()
        partials = tuple(
            run for attempt in attempts if (run := attempt.unspooled_partial()) is not None
        )
        if not finished and not partials:
            return
        number, self.next_chunk_number = self.next_chunk_number, self.next_chunk_number + 1
        try:
            await self.dependencies.store.write_spool_chunk(
                self.lease, number, SpoolChunk(finished, partials)
            )
        except PlatformError:
            # The same number again would need the same body.
            self.dependencies.metrics.count("rollout.spool.failed")
            return
        del self.unspooled_samples[: len(finished)]
        for attempt in attempts:
            attempt.mark_spooled(partials)

    def restore(self, batches: tuple[Batch, ...], spooled: SpoolContents) -> None:
        """Take over what earlier owners left."""
        self.machine.restore(batches, spooled.finished)
        self.plan.restored_partials.update(spooled.partials)

    async def close(self, reason: str) -> None:
        """Close the step for good.

        Raises:
            PlatformError: It could not be written down; try again.
        """
        await self.dependencies.store.update(self.lease, closed=reason)
        self.closed_reason = reason
        self.scope.cancel()
        self.fenced = True
        self.notify()

    async def hand_over(self) -> None:
        """Let another VM take the step at once."""
        self.scope.cancel()
        try:
            await self.spool_now()
            await self.dependencies.store.update(self.lease, owner="")
        except PlatformError:
            self.dependencies.metrics.count("rollout.hand_over.failed")
        self.fenced = True
        self.notify()
