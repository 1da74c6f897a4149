"""Steps, prompt groups, samples and the batches in which a trainer receives samples."""

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

# Stands for a trainer version or a minimum version that is not specified.
VERSION_UNSPECIFIED = WeightVersion(0)


@dataclass(frozen=True, slots=True)
class VersionSpan:
    """The range of tokens from ``start`` up to, not including, ``end`` by one weight version."""

    start: int
    end: int
    version: WeightVersion


@dataclass(frozen=True, slots=True, order=True)
class SampleKey:
    """Identifies a sample within its step by its group and its index in the group."""

    group: int
    index: int


@dataclass(frozen=True, slots=True)
class PromptGroup:
    """A prompt of a step, from which ``size`` samples are generated."""

    group: int
    prompt: str
    size: int


@dataclass(frozen=True, slots=True)
class StepSpec:
    """The specification of a step that a trainer opens.

    Attributes:
        step_id: Id of the step, unique in its deployment.
        deployment: Rollout deployment of the step.
        groups: Prompts of the step.
        max_tokens: Maximum number of tokens of a sample.
        temperature: Sampling temperature.
        trainer_version: Weight version of the trainer when it opened the step.
        staleness_bound: Maximum number of versions by which the oldest span of a sample may lag
            behind the trainer.
        deadline_s: Time from opening the step until it should be complete, in seconds.
        scorer: Name of the scoring service, or None.
        min_version: Oldest weight version that may generate tokens; 0 for no minimum.
        top_p: Probability mass for nucleus sampling, greater than 0 and at most 1.
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
    """A finished sample with the weight versions that generated each part of it."""

    key: SampleKey
    text: str
    tokens: int
    spans: tuple[VersionSpan, ...]
    finish_reason: str
    score: float | None = None

    def oldest_version(self) -> WeightVersion:
        """Return the oldest weight version that generated tokens of the sample."""
        return min(span.version for span in self.spans)


@dataclass(frozen=True, slots=True)
class Batch:
    """A numbered set of samples that is delivered to a trainer.

    Attributes:
        step_id: Id of the step.
        number: Number of the batch. Numbers start at 1 and have no gaps; the trainer's cursor is
            the number of the last batch that it has accepted.
        samples: Samples of the batch.
        last: Whether this batch completes the step.
        epoch: Epoch of the step owner that delivers the batch.
        judged_at: Trainer version against which the staleness of the samples was checked. A
            trainer that has a newer version by then discards the batch and pulls again.
    """

    step_id: StepId
    number: int
    samples: tuple[Sample, ...]
    last: bool
    epoch: int = 0
    judged_at: WeightVersion = VERSION_UNSPECIFIED

    def sample_keys(self) -> frozenset[SampleKey]:
        """Return the keys of the samples in the batch."""
        return frozenset(sample.key for sample in self.samples)


@dataclass(frozen=True, slots=True)
class TrainerAck:
    """The state that a trainer reports with each pull.

    Attributes:
        cursor: Number of the last batch that the trainer has accepted.
        epoch: Highest epoch of a step owner that the trainer has seen.
        version: Current weight version of the trainer; 0 if it is not specified.
        have: Bitmap of the samples that the trainer has accepted: bit ``n`` stands for the
            ``n``-th sample of the step, ordered by group and index. None if it is not specified.
    """

    cursor: int
    epoch: int = 0
    version: WeightVersion = VERSION_UNSPECIFIED
    have: int | None = None
