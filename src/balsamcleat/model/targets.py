"""Targets and the state, load and cache events that model engines report."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.model.ids import ServiceName, TargetId, WeightVersion, ZoneName

__all__ = [
    "AttemptOutcome",
    "CacheEvent",
    "EngineState",
    "LoadReport",
    "Role",
    "TargetInfo",
    "TargetPhase",
]


class Role(Enum):
    """Which phases of inference an engine is configured to run."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class TargetPhase(Enum):
    """Whether a target accepts new requests, is shutting down, or no longer exists."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class AttemptOutcome(Enum):
    """What the end of an attempt indicates about its target.

    ``ABANDONED`` indicates nothing: the caller disconnected or the request itself was invalid.
    ``BUSY`` means that the target rejected the request for lack of capacity, ``LEAVING`` that it
    rejected the request because it is shutting down.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    BUSY = "busy"
    LEAVING = "leaving"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class TargetInfo:
    """A target as listed in the VM list or in the configuration."""

    target_id: TargetId
    service: ServiceName
    zone: ZoneName
    address: str
    phase: TargetPhase = TargetPhase.LIVE
    role: Role = Role.MIXED


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An engine's load at the time of measurement, which is in the past.

    Attributes:
        running: Number of requests in the batch.
        waiting: Number of requests in the engine's queue.
        capacity: Maximum number of requests in the batch.
        cache_used: Fraction of the KV cache that is in use, 0 to 1.
        measured_at_s: Time of the measurement, in seconds of the engine's clock.
    """

    running: int
    waiting: int
    capacity: int
    cache_used: float
    measured_at_s: float


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Reports that an engine stored or evicted a prefix block in its cache.

    Attributes:
        number: Sequence number of the event; the numbers may have gaps.
        block: Digest of the prefix block.
        stored: True if the block was stored, False if it was evicted.
    """

    number: int
    block: int
    stored: bool


@dataclass(frozen=True, slots=True)
class EngineState:
    """The weights, adapters and role that an engine reports.

    Attributes:
        weight_version: Weight version that generates new tokens.
        loading: Weight version that is being loaded, or None.
        adapters: Names of the loaded adapters.
        role: Role of the engine.
        fence: Highest fencing token that the engine has seen; 0 if it does not support fencing.
        whole: False if a load failed partway, so that the weights are a mix of versions.
    """

    weight_version: WeightVersion
    loading: WeightVersion | None
    adapters: tuple[str, ...]
    role: Role
    fence: int
    whole: bool
