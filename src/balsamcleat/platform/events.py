"""Events of a target's stream, which state their numbers, data and weight versions."""

from dataclasses import dataclass

from balsamcleat.http1 import StreamEvent
from balsamcleat.http1.numbers import decimal_number
from balsamcleat.model import WeightVersion
from balsamcleat.platform.headers import VERSION_HEADER

__all__ = ["SpoiledEventError", "TargetEvent", "decode_event"]

VERSION_FIELD = VERSION_HEADER.lower()
# Fields of server-sent events that say nothing of the stream's content.
OTHER_FIELDS = frozenset({"event", "retry"})


class SpoiledEventError(ValueError):
    """An event has a line that no target writes, or lacks one that every target writes."""


@dataclass(frozen=True, slots=True)
class TargetEvent:
    """Event of a target's stream.

    Attributes:
        number: Number of the event.
        data: Data of the event.
        weight_version: Weight version that generates the stream from this event on; None if it is
            that of the event before.
    """

    number: int
    data: str
    weight_version: WeightVersion | None = None


def decode_event(event: StreamEvent) -> TargetEvent:
    """Return a target's event.

    Raises:
        SpoiledEventError: A line of the event is missing, stands twice, is unknown or is no field.
    """
    if event.event_id is None:
        raise SpoiledEventError("it has no number")
    if event.data is None:
        raise SpoiledEventError("it has no data")
    version: WeightVersion | None = None
    for name, value in event.fields:
        if name in OTHER_FIELDS:
            continue
        number = decimal_number(value) if name == VERSION_FIELD else None
        if number is None or version is not None:
            raise SpoiledEventError(f"its line {name[:20]!r} is spoiled")
        version = WeightVersion(number)
    return TargetEvent(event.event_id, event.data, version)
