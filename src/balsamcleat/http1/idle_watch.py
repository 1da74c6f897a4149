"""Watch on idle connections, on which the remote end has nothing to send."""

import select
from collections.abc import Callable

import anyio

from balsamcleat.http1.streams import ByteStream

__all__ = ["IdleWatch"]


class IdleWatch:
    """Reports idle connections on which there is data, EOF or an error to read.

    The connections are registered with one ``epoll`` object, which one task waits for: hundreds of
    idle connections need no task each, and adding or removing one costs a system call.

    Attributes:
        callbacks: Called once for an idle connection with input, by file descriptor.
    """

    def __init__(self) -> None:
        self.epoll = select.epoll()
        self.callbacks: dict[int, Callable[[], None]] = {}

    def add(self, stream: ByteStream, on_input: Callable[[], None]) -> None:
        """Watch a connection until it has input or is removed."""
        if stream.closed:
            return
        descriptor = stream.sock.fileno()
        self.epoll.register(descriptor, select.EPOLLIN)
        self.callbacks[descriptor] = on_input

    def remove(self, stream: ByteStream) -> None:
        """Stop watching a connection; must be called before it is used again or closed."""
        descriptor = stream.sock.fileno()
        if self.callbacks.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)

    async def run(self) -> None:
        """Report idle connections with input until cancelled."""
        while True:
            await anyio.wait_readable(self.epoll)
            for descriptor, _ in self.epoll.poll(0):
                # A callback may remove other connections of the same batch.
                callback = self.callbacks.pop(descriptor, None)
                if callback is not None:
                    self.epoll.unregister(descriptor)
                    callback()
