"""Steps, groups and samples on their way to a trainer."""

from dataclasses import dataclass

from balsamcleat.model.ids import DeploymentName, StepId, WeightVersion

__all__ = [
    "Batch",
    "PromptGroup",
    "Sample",
    "SampleKey",
    "StepSpec",
    "TrainerAck",
    "VersionSpan",
]

# What a pull says of the trainer's version when it says nothing.
VERSION_UNSPECIFIED = WeightVersion(0)


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """Tokens ``start`` (included) to ``end`` (excluded) were made by ``version``."""

    start: int
    end: int
    version: WeightVersion


@dataclass(frozen=True, slots=True, order=True)
class SampleKey:
    """A sample's place in its step."""

    group: int
    index: int


@dataclass(frozen=True, slots=True)
class PromptGroup:
    """One prompt of a step; ``size`` samples are drawn from it."""

    group: int
    prompt: str
    size: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """What a trainer opened.

    Attributes:
        step_id: The step, unique in its deployment.
        deployment: The rollout deployment.
        groups: The prompts.
        max_tokens: The most tokens of a sample.
        temperature: Sampling temperature.
        trainer_version: The trainer's weight version when it opened the step.
        staleness_bound: The most versions a sample's oldest span may lag the trainer.
        deadline_s: Seconds from opening until the step should be whole.
        scorer: The scoring service, or None.
        min_version: The oldest weight version that may make any token; 0 for no such wish.
        top_p: Share of the probability that sampling draws from, above 0 to 1.
    """

    step_id: StepId
    deployment: DeploymentName
    groups: tuple[PromptGroup, ...]
    max_tokens: int
    temperature: float
    trainer_version: WeightVersion
    staleness_bound: int
    deadline_s: float
    scorer: str | None = None
    min_version: WeightVersion = VERSION_UNSPECIFIED
    top_p: float = 1.0


@dataclass(frozen=True, slots=True)
class Sample:
    """One finished sample, attributed to the versions that made it."""

    key: SampleKey
    text: str
    tokens: int
    spans: tuple[VersionSpan, ...]
    finish_reason: str
    score: float | None = None

    def oldest_version(self) -> WeightVersion:
        """Return the oldest weight version that made any of its tokens."""
        return min(span.version for span in self.spans)


@dataclass(frozen=True, slots=True)
class Batch:
    """Samples handed to a trainer under one number.

    Attributes:
        step_id: The step.
        number: Counts up from 1 without gaps; the trainer's cursor is the last it has.
        samples: The samples.
        last: Whether the step is whole with this batch.
        epoch: Epoch of the owner that hands it out.
        judged_at: The trainer's version against which its freshness was checked; a trainer that
            has moved on meanwhile does not take the batch but pulls again.
    """

    step_id: StepId
    number: int
    samples: tuple[Sample, ...]
    last: bool
    epoch: int = 0
    judged_at: WeightVersion = VERSION_UNSPECIFIED

    def sample_keys(self) -> frozenset[SampleKey]:
        """Return the places that the samples fill."""
        return frozenset(sample.key for sample in self.samples)


@dataclass(frozen=True, slots=True)
class TrainerAck:
    """What a trainer says of itself with each pull.

    Attributes:
        cursor: Number of the last batch it took.
        epoch: The highest owner's epoch it has seen.
        version: Its weight version now; 0 when it does not say.
        have: Bitmap of the samples it took, bit ``n`` for the ``n``-th sample of the step in
            the order of groups and indexes; None when it does not say.
    """

    cursor: int
    epoch: int = 0
    version: WeightVersion = VERSION_UNSPECIFIED
    have: int | None = None
