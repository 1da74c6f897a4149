"""Targets as the platform lists them, with what each says of itself."""

from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.model.ids import ServiceName, TargetId, WeightVersion, ZoneName

__all__ = ["Replica", "ReplicaReport", "ReplicaState"]


class ReplicaState(Enum):
    """Whether a target takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class Replica:
    """One target's entry in the list.

    Attributes:
        target_id: Its identity; an address may later belong to another target.
        service: The service that it runs.
        address: ``IP:PORT``.
        zone: Its availability zone.
        state: Whether it takes new work.
        slots: Requests that it runs at once.
        slow_start_s: How much longer it is slow after its start.
        started_ms: Unix milliseconds of its start; a new start under the same id differs.
        versions: Weight versions by model.
        entry_version: Version of the entry, growing with each write of the list.
    """

    target_id: TargetId
    service: ServiceName
    address: str
    zone: ZoneName
    state: ReplicaState
    slots: int
    slow_start_s: float = 0.0
    started_ms: int = 0
    versions: dict[str, WeightVersion] = field(default_factory=dict)
    entry_version: int = 0


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """What a model engine answers when it is asked for its state; some 100 ms old."""

    versions: dict[str, WeightVersion]
    loading: bool
    order_count: int
    started_ms: int = 0
