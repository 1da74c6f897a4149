"""Reads the events of a target's stream up to the first one that is spoiled."""

from dataclasses import dataclass

from balsamcleat.http1 import EventParser, StreamEvent

__all__ = ["EventPiece", "EventReader"]


@dataclass(frozen=True, slots=True)
class EventPiece:
    """Events that a piece of a stream completes.

    Attributes:
        events: Sound events in their order, without comments.
        raw: Bytes of these events, and of the comments between them, as received.
        fault: Why the stream can't be read further; empty if it can.
    """

    events: tuple[StreamEvent, ...]
    raw: bytes
    fault: str = ""


class EventReader:
    """Reads a stream whose events are numbered without gaps.

    What comes before a spoiled event in the same piece is sound. A reader of the stream that counts
    it as received must also use it: the stream goes on elsewhere after the last counted event.

    Args:
        last_event: Number of the event after which the stream goes on; None if it begins.

    Attributes:
        last_event: Number of the last event read; None before the first one.
    """

    def __init__(self, last_event: int | None) -> None:
        self.last_event = last_event
        self.parser = EventParser()

    @property
    def has_incomplete_event(self) -> bool:
        """Whether bytes were received that end no event."""
        return bool(self.parser.buffer.strip())

    def feed(self, data: bytes) -> EventPiece:
        """Return the events that received bytes complete."""
        events: list[StreamEvent] = []
        raw = b""
        fault = ""
        try:
            for event in self.parser.iterate(data):
                if not event.is_comment:
                    self.check_order(event)
                    events.append(event)
                raw += event.raw
        except ValueError as error:
            fault = f"invalid event: {error}"
        return EventPiece(tuple(events), raw, fault)

    def check_order(self, event: StreamEvent) -> None:
        """Record the number of the next event.

        Raises:
            ValueError: The event has no number, or not the next one.
        """
        expected = None if self.last_event is None else self.last_event + 1
        if event.event_id is None or expected not in (None, event.event_id):
            raise ValueError(f"event {event.event_id} came where {expected} was due")
        self.last_event = event.event_id
