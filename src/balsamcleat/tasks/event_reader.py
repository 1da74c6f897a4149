"""Reads the events of a target's stream up to the first one that is spoiled."""

from dataclasses import dataclass

from balsamcleat.decisions.sample_progress import FIRST_EVENT_NUMBER
from balsamcleat.http1 import EventParser
from balsamcleat.platform import TargetEvent, decode_event

__all__ = ["EventPiece", "EventReader"]


@dataclass(frozen=True, slots=True)
class EventPiece:
    """Events that a piece of a stream completes.

    Attributes:
        events: Sound events in their order, without comments.
        raw: Bytes of these events, and of the comments between them, as received.
        fault: Why the stream can't be read further; empty if it can.
    """

    events: tuple[TargetEvent, ...]
    raw: bytes
    fault: str = ""


class EventReader:
    """Reads a stream whose events are numbered without gaps.

    What comes before a spoiled event in the same piece is sound. A reader of the stream that counts
    it as received must also use it: the stream goes on elsewhere after the last counted event.

    Args:
        last_event: Number of the event after which the stream goes on; None if it begins.

    Attributes:
        next_event: Number of the next event.
    """

    def __init__(self, last_event: int | None) -> None:
        self.next_event = FIRST_EVENT_NUMBER if last_event is None else last_event + 1
        self.parser = EventParser()

    @property
    def is_between_events(self) -> bool:
        """Whether the stream may end here: it has an event, and no part of a further one."""
        return self.next_event > FIRST_EVENT_NUMBER and not self.parser.buffer.strip()

    def feed(self, data: bytes) -> EventPiece:
        """Return the events that received bytes complete."""
        events: list[TargetEvent] = []
        raw = b""
        fault = ""
        try:
            for event in self.parser.iterate(data):
                if not event.is_comment:
                    events.append(self.check_order(decode_event(event)))
                raw += event.raw
        except ValueError as error:
            fault = f"event {self.next_event} is spoiled: {error}"
        return EventPiece(tuple(events), raw, fault)

    def check_order(self, event: TargetEvent) -> TargetEvent:
        """Return an event that is the next one.

        Raises:
            ValueError: It is another one.
        """
        if event.number != self.next_event:
            raise ValueError(f"its number is {event.number}")
        self.next_event += 1
        return event
