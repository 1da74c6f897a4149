"""Incremental parser for server-sent events."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

from balsamcleat.http1.numbers import decimal_number

__all__ = ["EventParser", "EventTooLargeError", "StreamEvent"]

# Bytes that end neither an event nor a stream must not fill the memory.
MAX_EVENT_BYTES = 256 * 1024
# A blank line ends an event. Lines end with LF, CRLF or CR.
EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r|\n\r\n|\r\n\n")
MAX_END_BYTES = 4
BLANK_LINES = re.compile(rb"[\r\n]+")


class EventTooLargeError(ValueError):
    """An event exceeds the size limit before it is complete."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Complete server-sent event.

    Attributes:
        event_id: Value of the first ``id`` field with a decimal number; None if there is none.
        data: Values of the ``data`` fields, joined by line feeds; None if there is none.
        fields: Names, in lower case, and values of all other lines. They include further ids, and
            lines without a colon, whose value is empty.
        raw: Bytes of the event as received, including the blank line that ends it.
        is_comment: Whether there are only comments, which keep a connection open, or white space.
    """

    event_id: int | None
    data: str | None
    fields: tuple[tuple[str, str], ...]
    raw: bytes
    is_comment: bool = False


class EventParser:
    """Incremental parser that is fed received bytes and returns complete events.

    An event is complete only with the blank line that ends it, because a target may stop in the
    middle of an event. Each received byte is looked at once, whatever it belongs to.

    Args:
        max_event_bytes: Maximum size of an event.

    Attributes:
        buffer: Bytes that belong to no event yet.
        search_start: Position in the buffer before which no event ends.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_event_bytes = max_event_bytes
        self.buffer = bytearray()
        self.search_start = 0

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        Raises:
            UnicodeDecodeError: An event is not valid UTF-8.
            EventTooLargeError: An event exceeds the size limit.
        """
        return list(self.iterate(data))

    def iterate(self, data: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that they complete, up to an invalid one.

        The iterator need not be used to its end: the next one begins after the events of this one.

        Raises:
            UnicodeDecodeError: An event is not valid UTF-8.
            EventTooLargeError: An event exceeds the size limit.
        """
        self.buffer += data
        while (end := self.find_event_end()) is not None:
            self.search_start = 0
            block, raw = bytes(self.buffer[: end.start()]), bytes(self.buffer[: end.end()])
            del self.buffer[: end.end()]
            self.check_size(len(raw))
            yield parse_event(block, raw)
        self.search_start = max(0, len(self.buffer) - MAX_END_BYTES + 1)
        self.check_size(len(self.buffer))

    def find_event_end(self) -> re.Match[bytes] | None:
        """Return the blank line that ends the first event in the buffer, or None.

        The blank lines before the event are removed from the buffer.
        """
        blank = BLANK_LINES.match(self.buffer)
        if blank is not None:
            del self.buffer[: blank.end()]
            self.search_start = 0
        return EVENT_END.search(self.buffer, self.search_start)

    def check_size(self, size: int) -> None:
        """Check the size of a complete or incomplete event.

        Raises:
            EventTooLargeError: The event exceeds the size limit.
        """
        if size > self.max_event_bytes:
            raise EventTooLargeError(f"an event exceeds {self.max_event_bytes} bytes")


def parse_event(block: bytes, raw: bytes) -> StreamEvent:
    """Return the event that a block of lines contains.

    Args:
        block: Lines of the event, without the blank line that ends it.
        raw: Bytes of the event as received.

    Raises:
        UnicodeDecodeError: The block is not valid UTF-8.
    """
    if not block.strip():
        return StreamEvent(None, None, (), raw, is_comment=True)
    event_id: int | None = None
    data: list[str] = []
    fields: list[tuple[str, str]] = []
    is_comment = True
    for line in block.replace(b"\r\n", b"\n").replace(b"\r", b"\n").decode().split("\n"):
        name, colon, value = line.partition(":")
        if not name:
            # A line that starts with a colon is a comment.
            continue
        is_comment = False
        value = value.removeprefix(" ")
        number = decimal_number(value) if name == "id" and event_id is None else None
        if name == "data" and colon:
            data.append(value)
        elif number is not None:
            event_id = number
        else:
            fields.append((name.lower(), value))
    joined = "\n".join(data) if data else None
    return StreamEvent(event_id, joined, tuple(fields), raw, is_comment)
