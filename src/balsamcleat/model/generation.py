"""Requests to a model engine and the token frames that it streams back."""

from dataclasses import dataclass

from balsamcleat.model.ids import RequestId, WeightVersion

__all__ = ["GenerationRequest", "TokenFrame"]


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A request to generate text, or to resume a generation that began on another engine.

    Attributes:
        request_id: Id of the request, unique for each attempt.
        model: Name of the service that runs the model.
        prompt: Text of the prompt.
        max_tokens: Maximum number of output tokens, including the resumed ones.
        seed: Random seed for sampling.
        temperature: Sampling temperature.
        priority: Scheduling priority; lower numbers are served first.
        adapter: Adapter to apply to the model, or None.
        resume_text: Output text that another engine has already generated.
        resume_tokens: Number of tokens in ``resume_text``; the first frame starts at this offset.
        kv_handle: Handle of an exported KV cache to import, or None.
        remaining_s: Time from sending until the request's deadline, in seconds; None if the
            request has no deadline.
    """

    request_id: RequestId
    model: str
    prompt: str
    max_tokens: int
    seed: int = 0
    temperature: float = 1.0
    priority: int = 0
    adapter: str | None = None
    resume_text: str = ""
    resume_tokens: int = 0
    kv_handle: str | None = None
    remaining_s: float | None = None


@dataclass(frozen=True, slots=True)
class TokenFrame:
    """Consecutive tokens that one weight version generated.

    Attributes:
        offset: Offset of the first token in the complete output.
        count: Number of tokens.
        text: Text of the tokens.
        weight_version: Weight version that generated the tokens, as reported by the engine.
        finish_reason: ``stop`` or ``length`` on the last frame, else None.
    """

    offset: int
    count: int
    text: str
    weight_version: WeightVersion
    finish_reason: str | None = None
