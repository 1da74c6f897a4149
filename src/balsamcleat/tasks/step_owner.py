"""Owner of one open step: generates, scores and collects its samples, and delivers batches."""

from dataclasses import dataclass

import anyio
import anyio.abc
import structlog

from balsamcleat.configuration import Deployment
from balsamcleat.decisions.step import (
    AddOutcome,
    Ambiguous,
    DeliverBatch,
    Fenced,
    StepComplete,
    StepStateMachine,
    Wait,
)
from balsamcleat.decisions.step_lease import STEP_LEASE_RENEW_INTERVAL_S
from balsamcleat.decisions.stragglers import should_restart_sample, straggler_policy
from balsamcleat.errors import PlatformError
from balsamcleat.model import Batch, Sample, StepSpec, TrainerAck, WeightVersion
from balsamcleat.ports import (
    BatchReady,
    Clock,
    Metrics,
    NoBatchYet,
    PullOutcome,
    PullRejected,
    StepGone,
)
from balsamcleat.tasks.fair_share_limiter import FairShareLimiter
from balsamcleat.tasks.sample_generator import SampleAttempt, SampleGenerator
from balsamcleat.tasks.step_plan import StepPlan
from balsamcleat.tasks.step_store import (
    PartialResults,
    PartialResultsChunk,
    StepFencedError,
    StepLease,
    StepStore,
)

__all__ = ["OwnerDependencies", "StepOwner"]

SAVE_INTERVAL_S = 0.25
# Longest time that a delivery waits for its batch to be recorded if the trainer reports which
# samples it has; without that report, the delivery waits for the record.
RECORD_TIMEOUT_S = 1.0
RECORD_RETRY_S = 0.3
# A step past its deadline is closed after this long without a pull.
ABANDONED_AFTER_S = 600.0

log = structlog.get_logger()


@dataclass(frozen=True)
class OwnerDependencies:
    """Objects that all step owners of a VM share.

    Attributes:
        sample_generator: Generates and scores samples.
        store: Persistent storage of steps.
        limiter: Limits the number of samples in generation.
        clock: Source of time and of delays.
        metrics: Receiver of metrics.
    """

    sample_generator: SampleGenerator
    store: StepStore
    limiter: FairShareLimiter
    clock: Clock
    metrics: Metrics


class StepOwner:
    """Owner of one open step.

    Args:
        lease: Right of this VM to write the step's row.
        spec: Step as its trainer opened it.
        deployment: Configuration of the step's deployment.
        dependencies: Objects that all step owners of this VM share.
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
        self.machine = StepStateMachine(spec, epoch=lease.head.epoch)
        self.plan = StepPlan(spec, dependencies.sample_generator.length_estimator)
        self.straggler_policy = straggler_policy(deployment.idle_weight, spec.staleness_bound)
        self.progressed = anyio.Event()
        self.scope = anyio.CancelScope()
        self.unsaved_samples: list[Sample] = []
        self.next_chunk_number = 0
        self.pull_count = 0
        self.fenced = False
        self.closed_reason = ""
        self.opened_at_s = self.pulled_at_s = dependencies.clock.now_s()

    async def run(self) -> None:
        """Produce and save the step's samples until the step is closed or lost."""
        with self.scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self.renew)
                group.start_soon(self.save_partial_results)
                await self.produce(group)

    async def produce(self, group: anyio.abc.TaskGroup) -> None:
        """Start attempts in the order of the plan, as many as the limiter has slots."""
        while True:
            progressed = self.progressed
            free_slots = self.dependencies.limiter.slots - len(self.plan.generating_attempts())
            for attempt in self.plan.next_attempts(
                self.machine.missing_keys, free_slots, self.straggler_policy
            ):
                group.start_soon(self.run_attempt, attempt)
            await progressed.wait()

    async def run_attempt(self, attempt: SampleAttempt) -> None:
        """Run an attempt and collect its sample."""
        with attempt.scope:
            sample = await self.dependencies.sample_generator.produce_sample(
                self.spec, self.deployment, attempt
            )
            outcome = self.machine.add(sample)
            self.dependencies.metrics.count(f"rollout.sample.{outcome.value}")
            if outcome is AddOutcome.ACCEPTED:
                self.plan.record_finished(sample)
                self.unsaved_samples.append(sample)
        self.plan.remove_attempt(attempt)
        self.cancel_needless_attempts()
        self.notify()

    def cancel_needless_attempts(self) -> None:
        """Cancel attempts whose sample is no longer needed or would be too stale."""
        oldest_allowed = self.machine.oldest_allowed_version()
        for attempt in self.plan.needless_attempts(self.machine.missing_keys):
            self.dependencies.metrics.count("rollout.attempt.surplus")
            attempt.scope.cancel()
        for attempt in list(self.plan.attempts.values()):
            oldest_used = attempt.attribution.oldest_version()
            if oldest_used is not None and 0 < oldest_used < oldest_allowed:
                self.dependencies.metrics.count("rollout.attempt.stale")
                attempt.scope.cancel()

    def notify(self) -> None:
        """Wake the waiting pulls and the production of samples."""
        self.progressed.set()
        self.progressed = anyio.Event()

    def apply_version(self, version: WeightVersion) -> None:
        """Apply a trainer's new weight version, and cancel attempts that it makes too stale."""
        stale = self.machine.record_trainer_version(version)
        self.dependencies.metrics.count("rollout.sample.outdated", len(stale))
        for attempt in list(self.plan.attempts.values()):
            oldest, generated_tokens = (
                attempt.attribution.oldest_version(),
                attempt.attribution.token_count,
            )
            lag = 0 if not oldest else self.machine.trainer_version - oldest
            if should_restart_sample(
                self.straggler_policy, lag, generated_tokens, attempt.expected_tokens
            ):
                self.dependencies.metrics.count("rollout.attempt.restarted")
                attempt.scope.cancel()
        self.cancel_needless_attempts()
        self.notify()

    async def pull(self, ack: TrainerAck, wait_s: float) -> PullOutcome:
        """Return the batch after the cursor, waiting up to ``wait_s`` seconds for it."""
        self.pull_count += 1
        pull_number = self.pull_count
        self.pulled_at_s = self.dependencies.clock.now_s()
        if ack.version > self.machine.trainer_version:
            self.apply_version(ack.version)
        with anyio.move_on_after(wait_s):
            # A later pull of the trainer supersedes this one.
            while pull_number == self.pull_count and not self.fenced:
                progressed = self.progressed
                outcome = await self.answer_pull(ack)
                if outcome is not None:
                    return outcome
                if self.progressed is progressed:
                    await progressed.wait()
        return StepGone(self.closed_reason) if self.closed_reason else NoBatchYet()

    async def answer_pull(self, ack: TrainerAck) -> PullOutcome | None:
        """Return the outcome of a pull, or None if it must wait."""
        decision = self.machine.pull(ack)
        if isinstance(decision, DeliverBatch) and not decision.is_recorded:
            await self.record_batch(decision)
            # While the batch was recorded, the trainer may have reported a version that makes it
            # stale.
            decision = self.machine.pull(ack)
            if isinstance(decision, DeliverBatch) and not (
                decision.is_recorded or decision.has_trainer_bitmap
            ):
                await self.dependencies.clock.sleep(RECORD_RETRY_S)
                self.notify()
                return None
        match decision:
            case DeliverBatch(batch=batch):
                self.count_delivery(batch, decision)
                return BatchReady(batch)
            case StepComplete():
                return StepGone("whole")
            case Ambiguous(reason=reason):
                return PullRejected(reason)
            case Fenced():
                self.handle_fencing()
            case Wait():
                # The version reported with the pull may have made finished samples stale.
                self.cancel_needless_attempts()
        return None

    def count_delivery(self, batch: Batch, decision: DeliverBatch) -> None:
        """Count a delivered batch."""
        metrics = self.dependencies.metrics
        metrics.count(
            "rollout.batch.delivered" if decision.is_recorded else "rollout.batch.unrecorded"
        )
        if batch.last:
            elapsed_s = self.dependencies.clock.now_s() - self.opened_at_s
            metrics.timing("rollout.step.whole_ms", elapsed_s * 1000)

    async def record_batch(self, decision: DeliverBatch) -> None:
        """Try to store a batch under its number before it is delivered."""
        timeout_s = RECORD_TIMEOUT_S if decision.has_trainer_bitmap else float("inf")
        with anyio.move_on_after(timeout_s):
            try:
                await self.dependencies.store.record_batch(self.lease, decision.batch)
            except StepFencedError:
                self.handle_fencing()
            except PlatformError:
                self.dependencies.metrics.count("rollout.record.failed")
            else:
                self.machine.mark_recorded(decision.batch)

    def handle_fencing(self) -> None:
        """Stop running the step, since another VM owns it."""
        if not self.fenced:
            self.fenced = True
            log.warning("step lost", step=self.lease.key, epoch=self.lease.head.epoch)
            self.scope.cancel()
            self.notify()

    async def renew(self) -> None:
        """Renew the lease at intervals, and close the step if it is abandoned."""
        while True:
            await self.dependencies.clock.sleep(STEP_LEASE_RENEW_INTERVAL_S)
            try:
                await self.dependencies.store.renew(self.lease)
                if self.is_abandoned():
                    await self.close("expired")
            except StepFencedError:
                self.handle_fencing()
            except PlatformError:
                self.dependencies.metrics.count("rollout.renew.failed")

    def is_abandoned(self) -> bool:
        """Return whether the step is past its deadline and its trainer has stopped pulling."""
        now_s = self.dependencies.clock.now_s()
        is_overdue = now_s > self.opened_at_s + self.spec.deadline_s + ABANDONED_AFTER_S
        return is_overdue and now_s > self.pulled_at_s + ABANDONED_AFTER_S

    async def save_partial_results(self) -> None:
        """Save new samples, and parts of samples, to the object store at intervals."""
        while True:
            await self.dependencies.clock.sleep(SAVE_INTERVAL_S)
            await self.save_partial_results_now()

    async def save_partial_results_now(self) -> None:
        """Save samples, and parts of samples, generated since the last saved chunk."""
        finished = tuple(self.unsaved_samples)
        attempts = self.plan.generating_attempts()
        partials = tuple(
            partial for attempt in attempts if (partial := attempt.unsaved_partial()) is not None
        )
        if not finished and not partials:
            return
        number, self.next_chunk_number = self.next_chunk_number, self.next_chunk_number + 1
        try:
            await self.dependencies.store.write_partial_results(
                self.lease, number, PartialResultsChunk(finished, partials)
            )
        except PlatformError:
            # The next chunk gets a new number: this one may have been stored, and a number must not
            # be reused with different contents.
            self.dependencies.metrics.count("rollout.spool.failed")
            return
        del self.unsaved_samples[: len(finished)]
        for attempt in attempts:
            attempt.mark_saved(partials)

    def restore(self, batches: tuple[Batch, ...], saved_results: PartialResults) -> None:
        """Restore recorded batches and saved partial results of earlier owners."""
        self.machine.restore(batches, saved_results.finished)
        self.plan.restored_partials.update(saved_results.partials)

    async def close(self, reason: str) -> None:
        """Close the step permanently.

        Raises:
            PlatformError: The step's row could not be written; the caller may retry.
        """
        await self.dependencies.store.update(self.lease, closed=reason)
        self.closed_reason = reason
        self.scope.cancel()
        self.fenced = True
        self.notify()

    async def hand_over(self) -> None:
        """Save the partial results and release the step for another VM to take over at once."""
        self.scope.cancel()
        try:
            await self.save_partial_results_now()
            await self.dependencies.store.update(self.lease, owner="")
        except PlatformError:
            self.dependencies.metrics.count("rollout.hand_over.failed")
        self.fenced = True
        self.notify()
