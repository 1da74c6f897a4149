"""Messages of the engines' HTTP protocol: OpenAI-style completions, reports and orders."""

import msgspec
import xxhash

from balsamcleat.model import Role

__all__ = [
    "MIXED_WEIGHTS",
    "CacheEventMessage",
    "CacheEventsMessage",
    "ChoiceMessage",
    "CompletionFrame",
    "CompletionMessage",
    "KvExportMessage",
    "LoadMessage",
    "LoadOrderMessage",
    "OrderReply",
    "RoleOrderMessage",
    "StateMessage",
    "prefix_blocks",
]

BLOCK_CHARACTERS = 64
# Version that an engine reports after a failed load left it with weights of two versions.
MIXED_WEIGHTS = 0


class CompletionMessage(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int = 128
    seed: int = 0
    temperature: float = 1.0
    stream: bool = False
    priority: int = 0
    adapter: str | None = None
    request_id: str = ""
    resume_text: str = ""
    resume_tokens: int = 0
    kv_handle: str | None = None


class ChoiceMessage(msgspec.Struct, frozen=True):
    """Text of a frame."""

    text: str
    index: int = 0
    finish_reason: str | None = None


class CompletionFrame(msgspec.Struct, frozen=True):
    """Server-sent event with consecutive tokens that one weight version generated."""

    id: str
    choices: tuple[ChoiceMessage, ...]
    offset: int
    count: int
    weight_version: int


class LoadMessage(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/load``."""

    running: int
    waiting: int
    capacity: int
    cache_used: float
    measured_at_s: float


class StateMessage(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/state``."""

    weight_version: int
    loading: int | None
    adapters: tuple[str, ...]
    role: Role
    fence: int
    whole: bool


class CacheEventMessage(msgspec.Struct, frozen=True):
    """Addition or removal of a block in an engine's cache."""

    number: int
    block: int
    stored: bool


class CacheEventsMessage(msgspec.Struct, frozen=True):
    """Response to ``GET /v1/cache-events``."""

    events: tuple[CacheEventMessage, ...]


class LoadOrderMessage(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders/load``."""

    weight_version: int
    adapters: tuple[str, ...]
    fence: int


class RoleOrderMessage(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/orders/role``."""

    role: Role
    fence: int


class OrderReply(msgspec.Struct, frozen=True):
    """Response to an order."""

    accepted: bool
    reason: str = ""
    fence: int = 0


class KvExportMessage(msgspec.Struct, frozen=True):
    """Response to ``POST /v1/requests/ID/kv``."""

    handle: str | None


def prefix_blocks(prompt: str) -> tuple[int, ...]:
    """Return the digests of the prefixes of a prompt, as cache events have them, longest last.

    Each digest covers the prompt from its start to the end of a block, so equal digests mean
    equal prefixes. An incomplete last block has no digest, as engines cache only full blocks.

    Args:
        prompt: Text of the prompt.
    """
    digest = xxhash.xxh64()
    blocks: list[int] = []
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        digest.update(prompt[end - BLOCK_CHARACTERS : end].encode())
        blocks.append(digest.intdigest())
    return tuple(blocks)
