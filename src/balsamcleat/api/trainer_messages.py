"""JSON messages between trainers and entry VMs."""

import re

import msgspec

from balsamcleat.errors import InvalidInputError
from balsamcleat.model import (
    Batch,
    DeploymentName,
    PromptGroup,
    Sample,
    SampleKey,
    StepId,
    StepSpec,
    TrainerAck,
    VersionSpan,
    WeightVersion,
)

__all__ = [
    "BatchMessage",
    "CancelRequest",
    "ForwardedReport",
    "PullReply",
    "PullRequest",
    "StepMessage",
    "VersionReport",
    "decode_batch",
    "decode_step",
    "encode_batch",
]


STEP_ID = re.compile(r"[A-Za-z0-9._-]{1,128}")
MAX_STEP_SAMPLES = 65_536
MAX_SAMPLE_TOKENS = 131_072
MAX_DEADLINE_S = 86_400.0


class StrictMessage(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of messages from trainers, which rejects unknown fields."""


class PromptMessage(StrictMessage, frozen=True):
    """A prompt and the number of samples to generate from it."""

    prompt: str
    size: int


class StepMessage(StrictMessage, frozen=True):
    """Body of ``POST /v1/deployments/NAME/steps``."""

    step_id: str
    prompts: tuple[PromptMessage, ...]
    trainer_version: int
    max_tokens: int = 256
    temperature: float = 1.0
    staleness_bound: int = 1
    deadline_s: float = 360.0
    scorer: str | None = None
    min_version: int = 0
    top_p: float = 1.0


class VersionReport(StrictMessage, frozen=True):
    """Body of ``POST /v1/deployments/NAME/version``."""

    weight_version: int


class PullRequest(StrictMessage, frozen=True):
    """Request for a batch, as forwarded between entry VMs."""

    deployment: str
    step_id: str
    cursor: int
    wait_s: float
    epoch: int = 0
    version: int = 0
    have: str | None = None

    def ack(self) -> TrainerAck:
        """Return the trainer's acknowledgement that the request carries.

        Raises:
            InvalidInputError: A field is out of range; the message names the field.
        """
        faults = [
            f"{name}: must not be negative"
            for name, value in (
                ("cursor", self.cursor),
                ("epoch", self.epoch),
                ("version", self.version),
            )
            if value < 0
        ]
        try:
            have = None if self.have is None else int(self.have or "0", 16)
        except ValueError:
            faults.append("have: must be a bitmap in hexadecimal")
            have = None
        if faults:
            raise InvalidInputError("; ".join(faults), step="trainer.pull")
        return TrainerAck(self.cursor, self.epoch, WeightVersion(self.version), have)


class PullReply(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response to a forwarded pull; all fields are empty if there is no batch yet."""

    batch: "BatchMessage | None" = None
    gone: str | None = None
    refused: str | None = None


class CancelRequest(StrictMessage, frozen=True):
    """Cancellation of a step, as forwarded between entry VMs."""

    deployment: str
    step_id: str


class ForwardedReport(StrictMessage, frozen=True):
    """Report of a weight version, as forwarded between entry VMs."""

    deployment: str
    weight_version: int


class SpanMessage(msgspec.Struct, frozen=True):
    """Range of tokens from ``start`` up to ``end``, excluded, that ``version`` generated."""

    start: int
    end: int
    version: int


class SampleMessage(msgspec.Struct, frozen=True):
    """A sample as sent to the trainer."""

    group: int
    index: int
    text: str
    tokens: int
    spans: tuple[SpanMessage, ...]
    finish_reason: str
    score: float | None


class BatchMessage(msgspec.Struct, frozen=True):
    """A numbered batch of samples."""

    step_id: str
    number: int
    samples: tuple[SampleMessage, ...]
    last: bool
    epoch: int = 0
    judged_at: int = 0


def decode_step(deployment: DeploymentName, message: StepMessage) -> StepSpec:
    """Return the step in a trainer's message.

    Raises:
        InvalidInputError: A field is out of range; the message names the field.
    """
    faults = step_faults(message)
    if faults:
        raise InvalidInputError("; ".join(faults), step="step.open")
    groups = tuple(
        PromptGroup(number, prompt.prompt, prompt.size)
        for number, prompt in enumerate(message.prompts)
    )
    return StepSpec(
        step_id=StepId(message.step_id),
        deployment=deployment,
        groups=groups,
        max_tokens=message.max_tokens,
        temperature=message.temperature,
        trainer_version=WeightVersion(message.trainer_version),
        staleness_bound=message.staleness_bound,
        deadline_s=message.deadline_s,
        scorer=message.scorer,
        min_version=WeightVersion(message.min_version),
        top_p=message.top_p,
    )


def step_faults(message: StepMessage) -> tuple[str, ...]:
    """Return the problem of each invalid field of a step, as ``PATH: PROBLEM``."""
    samples = sum(prompt.size for prompt in message.prompts)
    checks = (
        (
            "step_id",
            not STEP_ID.fullmatch(message.step_id),
            "must be 1 to 128 of A-Z a-z 0-9 . _ -",
        ),
        ("prompts", not message.prompts, "must not be empty"),
        ("prompts", samples > MAX_STEP_SAMPLES, f"more than {MAX_STEP_SAMPLES} samples"),
        ("trainer_version", message.trainer_version < 1, "must be at least 1"),
        (
            "max_tokens",
            not 1 <= message.max_tokens <= MAX_SAMPLE_TOKENS,
            f"must be from 1 to {MAX_SAMPLE_TOKENS}",
        ),
        ("temperature", not 0.0 <= message.temperature <= 10.0, "must be from 0 to 10"),
        ("top_p", not 0.0 < message.top_p <= 1.0, "must be above 0 and at most 1"),
        ("staleness_bound", message.staleness_bound < 0, "must not be negative"),
        ("min_version", message.min_version < 0, "must not be negative"),
        (
            "deadline_s",
            not 0.0 < message.deadline_s <= MAX_DEADLINE_S,
            "must be above 0 and at most a day",
        ),
        ("scorer", message.scorer == "", "must name a service or be null"),
    )
    faults = [f"{path}: {problem}" for path, is_wrong, problem in checks if is_wrong]
    faults += [
        f"prompts[{number}].size: must be at least 1"
        for number, prompt in enumerate(message.prompts)
        if prompt.size < 1
    ]
    return tuple(faults)


def encode_batch(batch: Batch) -> BatchMessage:
    """Return the message that carries a batch."""
    return BatchMessage(
        batch.step_id,
        batch.number,
        tuple(
            SampleMessage(
                sample.key.group,
                sample.key.index,
                sample.text,
                sample.tokens,
                tuple(SpanMessage(span.start, span.end, span.version) for span in sample.spans),
                sample.finish_reason,
                sample.score,
            )
            for sample in batch.samples
        ),
        batch.last,
        batch.epoch,
        batch.judged_at,
    )


def decode_batch(message: BatchMessage) -> Batch:
    """Return the batch that a message carries."""
    return Batch(
        StepId(message.step_id),
        message.number,
        tuple(
            Sample(
                SampleKey(sample.group, sample.index),
                sample.text,
                sample.tokens,
                tuple(
                    VersionSpan(span.start, span.end, WeightVersion(span.version))
                    for span in sample.spans
                ),
                sample.finish_reason,
                sample.score,
            )
            for sample in message.samples
        ),
        message.last,
        message.epoch,
        WeightVersion(message.judged_at),
    )
