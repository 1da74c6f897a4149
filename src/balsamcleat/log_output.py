"""Standard output for logs: never waits for its reader, and says what it had to drop."""

import os
from collections import Counter, deque

__all__ = ["BoundedOutput"]

# Lines kept while the reader of standard output is slow.
BUFFER_BYTES = 256 * 1024
# Lines of one second; above it only warnings and errors are written, up to twice as many.
LINES_PER_S = 400


class BoundedOutput:
    """Writes whole lines to a descriptor without blocking.

    What can't be written at once waits in a bounded buffer. What doesn't fit is dropped and
    counted by its event; a line with the counts follows once there is room.

    Args:
        descriptor: Where to write; it is set not to block.
    """

    def __init__(self, descriptor: int) -> None:
        os.set_blocking(descriptor, False)
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.dropped: Counter[str] = Counter()
        self.second = 0
        self.lines = 0

    def write_line(self, line: bytes, *, event: str, urgent: bool, now_s: float) -> None:
        """Write a line or keep it for later; drops it where there is no room."""
        self.begin_second(int(now_s))
        self.lines += 1
        budget = LINES_PER_S * 2 if urgent else LINES_PER_S
        if self.lines > budget or self.waiting_bytes + len(line) > BUFFER_BYTES:
            self.dropped[event] += 1
            return
        self.keep(line)
        self.drain()

    def begin_second(self, second: int) -> None:
        """Start a new budget of lines, and tell what the last one dropped."""
        if second == self.second:
            return
        self.second = second
        self.lines = 0
        if self.dropped and self.waiting_bytes < BUFFER_BYTES // 2:
            counts = ",".join(f'"{event}":{count}' for event, count in sorted(self.dropped.items()))
            self.dropped.clear()
            self.keep(b'{"event":"log lines dropped","counts":{' + counts.encode() + b"}}\n")

    def keep(self, line: bytes) -> None:
        """Put a line into the buffer."""
        self.waiting.append(line)
        self.waiting_bytes += len(line)

    def drain(self) -> None:
        """Write what the reader takes now."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is no place left to say so.
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()
