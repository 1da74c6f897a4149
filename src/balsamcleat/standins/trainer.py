"""A stand-in of a trainer: opens steps, pulls batches, trains, reports new weight versions."""

from dataclasses import dataclass, field

import anyio
import httpx

from balsamcleat.adapters.http_trainer_service import HttpTrainerService
from balsamcleat.model import (
    Batch,
    DeploymentName,
    PromptGroup,
    Sample,
    SampleKey,
    StepId,
    StepSpec,
    TrainerAck,
    WeightVersion,
)
from balsamcleat.ports import BatchReady, StepGone

__all__ = ["ReceivedStep", "TrainerStandIn"]

RETRY_INTERVAL_S = 0.2
PULL_WAIT_S = 2.0


@dataclass
class ReceivedStep:
    """What the trainer received of one step.

    Attributes:
        spec: The step as it was opened.
        samples: Every sample.
        doubled: Keys that came more than once.
        staleness: How many versions each sample lagged the trainer when it came.
        promised_staleness: The same against the version that the trainer had reported before
            it asked, which is what the bound is about.
        opened_at_s: When the step was opened, on the monotonic clock.
        first_at_s: When the first batch came.
        whole_at_s: When the last batch came.
        idle_s: Time that the trainer waited for batches, in seconds.
    """

    spec: StepSpec
    samples: dict[SampleKey, Sample] = field(default_factory=dict)
    doubled: list[SampleKey] = field(default_factory=list)
    staleness: list[int] = field(default_factory=list)
    promised_staleness: list[int] = field(default_factory=list)
    opened_at_s: float = 0.0
    first_at_s: float = 0.0
    whole_at_s: float = 0.0
    idle_s: float = 0.0

    def expected(self) -> set[SampleKey]:
        """Return the keys of all samples that were asked for."""
        return {
            SampleKey(group.group, index)
            for group in self.spec.groups
            for index in range(group.size)
        }


@dataclass
class TrainerStandIn:
    """Drives a deployment through any of the entry VMs.

    Attributes:
        deployment: The deployment.
        urls: Base URLs of the entry VMs; a failing one is passed over.
        client: The HTTP client.
        version: The trainer's weight version, as last reported.
        witnesses: Whether its pulls say which samples it has.
        token: Its bearer token, or empty.
        scorer: The scoring service, or None.
        staleness_bound: The bound that its steps ask for.
        max_tokens: The most tokens of a sample.
        train_s: Time that it trains on each batch, in seconds.
    """

    deployment: str
    urls: list[str]
    client: httpx.AsyncClient
    version: int = 1
    witnesses: bool = True
    token: str = ""
    scorer: str | None = "scorer"
    staleness_bound: int = 1
    max_tokens: int = 256
    train_s: float = 0.0
    desk: HttpTrainerService = field(init=False)

    def __post_init__(self) -> None:
        self.desk = HttpTrainerService(self.urls, self.client, self.token)

    def spec(self, step_id: str, prompts: list[str], size: int) -> StepSpec:
        """Return the step to open."""
        return StepSpec(
            step_id=StepId(step_id),
            deployment=DeploymentName(self.deployment),
            groups=tuple(PromptGroup(number, text, size) for number, text in enumerate(prompts)),
            max_tokens=self.max_tokens,
            temperature=1.0,
            trainer_version=WeightVersion(self.version),
            staleness_bound=self.staleness_bound,
            deadline_s=360.0,
            scorer=self.scorer,
        )

    async def run_step(self, step_id: str, prompts: list[str], size: int) -> ReceivedStep:
        """Open a step and pull it whole."""
        received = ReceivedStep(self.spec(step_id, prompts, size), opened_at_s=anyio.current_time())
        await self.desk.open_step(received.spec)
        bits = {key: 1 << place for place, key in enumerate(sorted(received.expected()))}
        cursor = epoch = have = 0
        while True:
            asked_at_s, version = anyio.current_time(), self.version
            ack = TrainerAck(
                cursor, epoch, WeightVersion(version), have if self.witnesses else None
            )
            outcome = await self.desk.pull(
                received.spec.deployment, received.spec.step_id, ack, PULL_WAIT_S
            )
            if received.whole_at_s:
                # That pull acknowledged the last batch and let the step close.
                return received
            received.idle_s += anyio.current_time() - asked_at_s
            if isinstance(outcome, StepGone):
                # Opening it again is idempotent, and its owner may just have changed.
                await anyio.sleep(RETRY_INTERVAL_S)
                await self.desk.open_step(received.spec)
            if not isinstance(outcome, BatchReady):
                continue
            batch = outcome.batch
            if batch.number != cursor + 1 or batch.judged_at < self.version:
                continue
            cursor, epoch = batch.number, max(epoch, batch.epoch)
            self.take(received, batch, version)
            for sample in batch.samples:
                have |= bits[sample.key]
            await anyio.sleep(self.train_s)
            if batch.last:
                received.whole_at_s = anyio.current_time()

    def take(self, received: ReceivedStep, batch: Batch, version: int) -> None:
        """Keep a batch's samples.

        Args:
            received: What came so far.
            batch: The batch.
            version: The version that the trainer had reported when it asked.
        """
        if not received.samples:
            received.first_at_s = anyio.current_time()
        for sample in batch.samples:
            if sample.key in received.samples:
                received.doubled.append(sample.key)
            received.samples[sample.key] = sample
            received.staleness.append(self.version - sample.oldest_version())
            received.promised_staleness.append(version - sample.oldest_version())

    async def report_version(self, version: int) -> None:
        """Report a new weight version; it counts once the report was taken."""
        await self.desk.report_version(DeploymentName(self.deployment), WeightVersion(version))
        self.version = version
