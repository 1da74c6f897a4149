"""Writer of a response body that does not make the body's source wait for a slow reader."""

import anyio
import anyio.abc

from balsamcleat.http1.byte_budget import SMALL_BODY_BYTES, PendingBytes
from balsamcleat.http1.server_connection import Responder

__all__ = ["BufferedWriter", "ReaderTooSlowError"]

# Bytes that wait for a reader beside those in the kernel's buffers; several events of maximum size.
MAX_WAITING_BYTES = 1024 * 1024
# Time for which a source waits while the buffer is full. Targets cut off a response that is not
# read for some seconds.
FULL_TIMEOUT_S = 1.0
SEND_BYTES = 64 * 1024


class ReaderTooSlowError(ConnectionAbortedError):
    """The reader has not made room in the buffer in time."""


class BufferedWriter:
    """Writes the body of a chunked response; what the reader does not take at once is buffered.

    Args:
        responder: Writes the response.
        tasks: Task group of the handler, for the task that sends what is buffered.

    Attributes:
        buffer: Serialized bytes that wait for the reader.
        is_sending: Whether a task sends the buffer.
        error: Failure of the reader's connection, or None.
    """

    def __init__(self, responder: Responder, tasks: anyio.abc.TaskGroup) -> None:
        self.responder = responder
        self.tasks = tasks
        self.budget = responder.connection.server.budget
        self.buffer = bytearray()
        self.is_sending = False
        self.error: OSError | None = None
        self.changed = anyio.Event()

    async def write(self, data: bytes) -> None:
        """Send or buffer a part of the body; wait for a short time if the buffer is full.

        Raises:
            ReaderTooSlowError: The buffer is still full.
            OSError: The connection failed.
        """
        self.raise_error()
        encoded = self.responder.encode(data)
        if not self.is_sending:
            encoded = encoded[self.responder.connection.stream.send_now(encoded) :]
        if not encoded:
            return
        self.buffer += encoded
        if self.is_sending:
            self.budget.grow(self.pending, len(encoded))
        else:
            self.is_sending = True
            cut_off = self.responder.connection.cut_off
            self.pending: PendingBytes = self.budget.begin(len(encoded), cut_off)
            self.tasks.start_soon(self.send_buffer)
        if self.is_full():
            await self.wait_for_room()

    def is_full(self) -> bool:
        """Return whether the buffer may not grow further."""
        has_budget = not self.budget.missing_bytes(0, len(self.buffer))
        return len(self.buffer) > (MAX_WAITING_BYTES if has_budget else SMALL_BODY_BYTES)

    async def wait_for_room(self) -> None:
        """Wait until the buffer is not full.

        Raises:
            ReaderTooSlowError: It still is after the timeout.
            OSError: The connection failed.
        """
        with anyio.move_on_after(FULL_TIMEOUT_S):
            while self.is_sending and self.is_full():
                await self.changed.wait()
        self.raise_error()
        if self.is_full():
            raise ReaderTooSlowError(f"the reader left {len(self.buffer)} bytes")

    async def finish(self) -> None:
        """Wait until the reader has taken the buffer, then end the response.

        Raises:
            OSError: The connection failed.
        """
        while self.is_sending:
            await self.changed.wait()
        self.raise_error()
        await self.responder.finish()

    def raise_error(self) -> None:
        """Raise the failure of the connection, if it has failed."""
        if self.error is not None:
            raise self.error

    async def send_buffer(self) -> None:
        """Send the buffer until it is empty."""

        def record_progress() -> None:
            self.pending.progress_s = anyio.current_time()

        stream = self.responder.connection.stream
        try:
            while self.buffer:
                part = bytes(self.buffer[:SEND_BYTES])
                await stream.send(part, record_progress)
                del self.buffer[: len(part)]
                self.budget.shrink(self.pending, len(part))
                self.notify()
        except OSError as error:
            self.error = error
        finally:
            self.budget.end(self.pending)
            self.is_sending = False
            self.notify()

    def notify(self) -> None:
        """Wake the task that waits for a change of the buffer."""
        self.changed.set()
        self.changed = anyio.Event()
