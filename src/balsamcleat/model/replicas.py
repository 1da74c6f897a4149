"""Targets as the platform lists them and the state that a target reports."""

from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.model.ids import ServiceName, TargetId, WeightVersion, ZoneName

__all__ = ["Replica", "ReplicaReport", "ReplicaState", "StreamSoftware", "TargetStart"]


class ReplicaState(Enum):
    """Whether a target accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True, order=True)
class TargetStart:
    """One start of a target, because a target that restarts may keep its id.

    Attributes:
        target_id: Id of the target.
        started_ms: Start time of the target, in milliseconds since the Unix epoch.
    """

    target_id: TargetId
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class StreamSoftware:
    """Software that writes a stream: a version of a service's software.

    Attributes:
        service: Service of the target.
        version: Version of the target's software.
    """

    service: ServiceName
    version: str


@dataclass(frozen=True, slots=True)
class Replica:
    """A target's entry in the platform's target list.

    Attributes:
        target_id: Id of the target. An address does not identify a target, because another
            target may get it later.
        service: Service that the target runs.
        address: Address of the target, as ``IP:PORT``.
        zone: Availability zone of the target.
        state: Whether the target accepts new requests.
        slots: Number of requests that the target runs concurrently.
        slow_start_s: Remaining time in which the target is slow after its start, in seconds.
        started_ms: Start time of the target, in milliseconds since the Unix epoch. It
            distinguishes a restarted target from its predecessor with the same id.
        versions: Loaded weight version of each model, by the model's name.
        software_version: Version of the target's software, unrelated to its weights; versions have
            no order. Empty if it is unknown.
        entry_version: Version of the entry, increased by each write to the list.
        reclaimable: Whether the platform may take the target away at short notice, together with
            all other reclaimable targets of its availability zone.
        lists_models: Whether the entry names the models that the target runs, as that of each model
            engine does.
        leaves_s: Time until the platform takes the target away, at the time of the entry, in
            seconds; None if none is announced.
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
    software_version: str = ""
    entry_version: int = 0
    reclaimable: bool = False
    lists_models: bool = True
    leaves_s: float | None = None

    @property
    def start(self) -> TargetStart:
        """The start of the target that the entry describes."""
        return TargetStart(self.target_id, self.started_ms)

    @property
    def software(self) -> StreamSoftware | None:
        """The target's software, or None if its version is unknown."""
        return (
            StreamSoftware(self.service, self.software_version) if self.software_version else None
        )


@dataclass(frozen=True, slots=True)
class ReplicaReport:
    """A model engine's report of its own state; the report is about 100 ms old."""

    versions: dict[str, WeightVersion]
    loading: bool
    order_count: int
    started_ms: int = 0
