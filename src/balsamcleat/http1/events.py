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
        is_comment: Whether the event consists of comments only, which keep a connection open.
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
        buffer: Bytes of an incomplete event.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_event_bytes = max_event_bytes
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that they complete.

        Raises:
            UnicodeDecodeError: An event is not valid UTF-8.
            EventTooLargeError: An event exceeds the size limit.
        """
        return list(self.iterate(data))

    def iterate(self, data: bytes) -> Iterator[StreamEvent]:
        """Add received bytes and yield the events that they complete, up to an invalid one.

        The iterator must be used to its end or its error before more bytes are added.

        Raises:
            UnicodeDecodeError: An event is not valid UTF-8.
            EventTooLargeError: An event exceeds the size limit.
        """
        search_start = max(0, len(self.buffer) - MAX_END_BYTES + 1)
        self.buffer += data
        event_start = 0
        for end in EVENT_END.finditer(self.buffer, search_start):
            block = self.buffer[event_start : end.start()]
            raw = self.buffer[event_start : end.end()]
            event_start = end.end()
            self.check_size(len(raw))
            if block.strip():
                yield parse_event(bytes(block), bytes(raw))
        del self.buffer[:event_start]
        self.check_size(len(self.buffer))

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
