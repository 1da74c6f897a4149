"""Steps as trainers submit them, their samples, and what becomes of these."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.model.ids import StepId, WeightVersion

__all__ = [
    "PromptPart",
    "RolloutStep",
    "SampleResult",
    "SampleState",
    "SampleTask",
]


class SampleState(Enum):
    """How a sample ended."""

    COMPLETE = "complete"
    GIVEN_UP = "given up"


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt; requests that share leading parts share their cache."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class SampleTask:
    """One sample to generate.

    Attributes:
        sample_id: Unique; a later step may ask for the same one again.
        group: Samples of a group share their prompt and count only together.
        path: Path to request at a target.
        headers: Headers to send, as submitted.
        body: The request's body.
        prompt: The prompt's parts, in order.
        prompt_tokens: Tokens of the whole prompt.
        max_tokens: Most tokens of the output.
        expected_tokens: The trainer's estimate of the output, good at the median only.
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

    @property
    def prompt_id(self) -> str:
        """What targets that have read the prompt are remembered by."""
        return self.prompt[0].part_id if self.prompt else self.group


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """One step of a trainer.

    Attributes:
        step_id: Its id; a repeated submission bears the same one.
        model: Whose weights generate it.
        oldest_version: The oldest weight version that may generate its tokens.
        required_groups: Number of whole groups that the trainer waits for.
        number: The trainer's count of steps.
        samples: The samples in the trainer's order; groups of an earlier step come first.
    """

    step_id: StepId
    model: str
    oldest_version: WeightVersion
    required_groups: int
    number: int
    samples: tuple[SampleTask, ...]


@dataclass(frozen=True, slots=True)
class SampleResult:
    """A sample as it is listed; never changed once read.

    Attributes:
        sample_id: The sample.
        state: How it ended.
        text: Data of all its events, joined by line feeds.
        versions: Weight versions that made its events, ascending.
    """

    sample_id: str
    state: SampleState
    text: str = ""
    versions: tuple[WeightVersion, ...] = ()
