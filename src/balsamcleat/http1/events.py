"""Cut a stream of server-sent events into whole events."""

from dataclasses import dataclass

__all__ = ["EventParser", "StreamEvent"]


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event.

    Attributes:
        number: Its id; None where it has none.
        data: Its data lines, joined by line feeds.
        fields: Fields other than ``id`` and ``data``, names in lower case.
        raw: Its bytes, the closing blank line included.
    """

    event_id: int | None
    data: str
    fields: tuple[tuple[str, str], ...]
    raw: bytes


class EventParser:
    """Takes bytes as they arrive and returns the events that are whole.

    An event counts only with its closing blank line: a target may stop in the middle of one.
    """

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        self.buffer += data
        if b"\r" in self.buffer:
            return self.feed_crlf()
        *blocks, self.buffer = self.buffer.split(b"\n\n")
        return [parse_event(block, block + b"\n\n") for block in blocks if block.strip()]

    def feed_crlf(self) -> list[StreamEvent]:
        """Do the same where lines end with carriage returns."""
        events = []
        while (end := self.buffer.find(b"\r\n\r\n")) >= 0:
            block, self.buffer = self.buffer[:end], self.buffer[end + 4 :]
            plain = block.replace(b"\r\n", b"\n")
            if plain.strip():
                events.append(parse_event(plain, block + b"\r\n\r\n"))
        return events


def parse_event(block: bytes, raw: bytes) -> StreamEvent:
    """Return the event in a block of lines without its closing blank line.

    Raises:
        UnicodeDecodeError: It isn't text.
    """
    number: int | None = None
    data: list[str] = []
    fields: list[tuple[str, str]] = []
    for line in block.decode().split("\n"):
        name, colon, value = line.partition(":")
        if not name and colon:
            # A comment.
            continue
        value = value.removeprefix(" ")
        if name == "data":
            data.append(value)
        elif name == "id" and value.isdecimal():
            number = int(value)
        elif name:
            fields.append((name.lower(), value))
    return StreamEvent(number, "\n".join(data), tuple(fields), raw)
