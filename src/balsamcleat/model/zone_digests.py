"""The load summary that an availability zone sends to the others."""

from dataclasses import dataclass

from balsamcleat.model.ids import ServiceName

__all__ = ["ZoneDigest"]


@dataclass(frozen=True, slots=True)
class ZoneDigest:
    """The load of one service in the availability zone that sends the summary.

    Attributes:
        service: Name of the service.
        targets: Number of targets that accept new requests.
        capacity: Number of requests that these targets can run concurrently.
        load: Number of running and waiting requests, as estimated in the zone.
    """

    service: ServiceName
    targets: int
    capacity: float
    load: float
