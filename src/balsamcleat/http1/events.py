"""Incremental parser for server-sent events."""

from dataclasses import dataclass

__all__ = ["EventParser", "StreamEvent"]


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Complete server-sent event.

    Attributes:
        event_id: Value of the ``id`` field; None if the event has no decimal id.
        data: Values of the ``data`` fields, joined by line feeds.
        fields: Names, in lower case, and values of the fields other than ``id`` and ``data``.
        raw: Bytes of the event as received, including the blank line that ends it.
    """

    event_id: int | None
    data: str
    fields: tuple[tuple[str, str], ...]
    raw: bytes


class EventParser:
    """Incremental parser that is fed received bytes and returns complete events.

    An event is complete only with the blank line that ends it, because a target may stop in the
    middle of an event. The attribute ``buffer`` has the bytes of an incomplete event.
    """

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        Raises:
            UnicodeDecodeError: An event is not valid UTF-8.
        """
        self.buffer += data
        if b"\r" in self.buffer:
            return self.feed_crlf()
        *blocks, self.buffer = self.buffer.split(b"\n\n")
        return [parse_event(block, block + b"\n\n") for block in blocks if block.strip()]

    def feed_crlf(self) -> list[StreamEvent]:
        """Return the complete events of a buffer whose lines end with CRLF."""
        events = []
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            block, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
            normalized = block.replace(b"\r\n", b"\n")
            if normalized.strip():
                events.append(parse_event(normalized, block + b"\r\n\r\n"))
        return events


def parse_event(block: bytes, raw: bytes) -> StreamEvent:
    """Return the event that a block of lines contains.

    Args:
        block: Lines of the event, separated by line feeds, without the blank line that ends it.
        raw: Bytes of the event as received.

    Raises:
        UnicodeDecodeError: The block is not valid UTF-8.
    """
    event_id: int | None = None
    data: list[str] = []
    fields: list[tuple[str, str]] = []
    for line in block.decode().split("\n"):
        name, colon, value = line.partition(":")
        if not name and colon:
            # A line that starts with a colon is a comment.
            continue
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id" and value.isdecimal():
            event_id = int(value)
        elif name:
            fields.append((name.lower(), value))
    return StreamEvent(event_id, "\n".join(data), tuple(fields), raw)
