"""Non-blocking TCP sockets with time-outs for silence and a look at what has arrived."""

import errno
import socket
import struct

import anyio

__all__ = ["ByteStream", "connect", "listen"]

RECEIVE_BYTES = 65536
# A peer that acknowledges nothing for this long is taken as cut off. Partitions are silent; the
# shortest bound that hangs on noticing one is a couple of seconds.
USER_TIMEOUT_MS = 2500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
BACKLOG = 512


def set_socket_options(sock: socket.socket) -> None:
    """Set what every connection needs: no delay, and silence that ends in an error."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class ByteStream:
    """One connected socket, owned by one task for reading and one for writing.

    Args:
        sock: A connected socket.
        peer: The other end, for messages.
    """

    def __init__(self, sock: socket.socket, peer: str) -> None:
        set_socket_options(sock)
        self.sock = sock
        self.remote_address = peer
        self.closed = False

    async def receive(self) -> bytes:
        """Return what has arrived; empty at the orderly end.

        Raises:
            OSError: The connection is broken.
        """
        while True:
            if self.closed:
                raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
            try:
                return self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                await self.wait_readable()

    async def wait_readable(self) -> None:
        """Wait until something has arrived or the connection is broken.

        Raises:
            OSError: The connection was closed on this side meanwhile.
        """
        try:
            await anyio.wait_readable(self.sock)
        except (anyio.ClosedResourceError, ValueError) as error:
            raise ConnectionAbortedError(errno.ECONNABORTED, "closed here") from error

    async def send(self, data: bytes) -> None:
        """Write all of ``data``.

        Raises:
            OSError: The connection is broken.
        """
        view = memoryview(data)
        while view:
            if self.closed:
                raise ConnectionAbortedError(errno.ECONNABORTED, "closed here")
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                try:
                    await anyio.wait_writable(self.sock)
                except (anyio.ClosedResourceError, ValueError) as error:
                    raise ConnectionAbortedError(errno.ECONNABORTED, "closed here") from error

    def has_input(self) -> bool:
        """Return whether bytes, an end or an error wait to be read."""
        if self.closed:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def send_eof(self) -> None:
        """Tell the other end that nothing more comes."""
        if not self.closed:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()

    def close(self) -> None:
        """Close; closing twice is fine."""
        if self.closed:
            return
        self.closed = True
        anyio.notify_closing(self.sock)
        self.sock.close()

    def reset(self) -> None:
        """Close so that the other end sees an error, never an orderly end."""
        if self.closed:
            return
        linger_at_once = struct.pack("ii", 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_at_once)
        self.close()


async def connect(address: str, timeout_s: float) -> ByteStream:
    """Connect to ``IP:PORT``.

    Raises:
        OSError: It was refused, unreachable or took longer than ``timeout_s``.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        with anyio.fail_after(timeout_s):
            await connect_socket(sock, host, int(port))
    except TimeoutError as error:
        sock.close()
        raise ConnectionRefusedError(errno.ETIMEDOUT, f"no connection to {address}") from error
    except BaseException:
        sock.close()
        raise
    return ByteStream(sock, address)


async def connect_socket(sock: socket.socket, host: str, port: int) -> None:
    """Connect a non-blocking socket."""
    code = sock.connect_ex((host, port))
    if code not in (0, errno.EINPROGRESS):
        raise OSError(code, errno.errorcode.get(code, "connect failed"))
    await anyio.wait_writable(sock)
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, errno.errorcode.get(code, "connect failed"))


def listen(address: str) -> socket.socket:
    """Return a listening socket at ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock
