"""Rollout steps as trainers submit them, their samples and the results of the samples."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.model.ids import StepId, WeightVersion

__all__ = [
    "PromptPart",
    "RolloutStep",
    "SampleResult",
    "SampleState",
    "SampleTask",
    "ScoringRequest",
]


class SampleState(Enum):
    """How a sample ended."""

    COMPLETE = "complete"
    GIVEN_UP = "given up"


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt; requests with the same leading parts share cached prefixes."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class ScoringRequest:
    """Request whose answer scores a sample; it is sent once the sample's text is complete.

    Attributes:
        request_id: Id of the request, the same for each time it is sent.
        host: Host whose routes the request is matched against.
        path: Request path.
        body: Request body.
    """

    request_id: str
    host: str
    path: str
    body: bytes


@dataclass(frozen=True, slots=True)
class SampleTask:
    """A sample to generate.

    Attributes:
        sample_id: Unique id of the sample; a later step may ask for the same sample again.
        group: Group of the sample. The samples of a group share a prompt, and only complete
            groups count towards the step.
        path: Request path at the target.
        headers: Request headers, as submitted by the trainer.
        body: Request body.
        prompt: Parts of the prompt, in order.
        prompt_tokens: Number of tokens of the prompt.
        max_tokens: Maximum number of output tokens.
        expected_tokens: The trainer's estimate of the number of output tokens, which is reliable
            only at the median.
        scoring: Request that scores the sample; None if the sample has no score.
    """

    sample_id: str
    group: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    max_tokens: int = 0
    expected_tokens: float | None = None
    scoring: ScoringRequest | None = None

    @property
    def prompt_id(self) -> str:
        """Key under which the targets that have cached the prompt are recorded."""
        return self.prompt[0].part_id if self.prompt else self.group


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """A step that a trainer has submitted.

    Attributes:
        step_id: Id of the step; a repeated submission has the same id.
        model: Name of the model that generates the samples.
        oldest_version: Oldest weight version that may generate tokens of the step.
        required_groups: Number of complete groups that the trainer waits for.
        number: The trainer's sequence number of the step.
        samples: Samples in the trainer's order; groups left from an earlier step come first.
    """

    step_id: StepId
    model: str
    oldest_version: WeightVersion
    required_groups: int
    number: int
    samples: tuple[SampleTask, ...]


@dataclass(frozen=True, slots=True)
class SampleResult:
    """A sample's entry in the result list; an entry never changes once it can be read.

    Attributes:
        sample_id: Id of the sample.
        state: How the sample ended.
        text: Data of all stream events of the sample, joined by line feeds.
        versions: Weight versions that generated the events, in ascending order.
        score: Score of the sample; empty if the sample has none.
    """

    sample_id: str
    state: SampleState
    text: str = ""
    versions: tuple[WeightVersion, ...] = ()
    score: str = ""
