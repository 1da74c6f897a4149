"""Non-blocking TCP streams that detect a silent remote end and can check for unread input."""

import errno
import fcntl
import ipaddress
import socket
import struct
import termios
from collections.abc import Callable

import anyio
import anyio.lowlevel

from balsamcleat.http1.addresses import parse_address

__all__ = ["ByteStream", "connect", "listen"]

RECEIVE_BYTES = 65536
# A connection fails if its remote end acknowledges nothing for this long. A partition gives no
# other sign, and the shortest time limit that depends on detecting one is about two seconds.
USER_TIMEOUT_MS = 2500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
BACKLOG = 512
# A remote end that sends without pause must not keep the event loop from other tasks and timeouts.
MAX_BYTES_WITHOUT_YIELD = 256 * 1024
# Number of bytes in a socket's send queue, as the kernel returns it.
QUEUED_BYTES = struct.Struct("i")


def set_socket_options(sock: socket.socket) -> None:
    """Make a socket non-blocking, disable Nagle's algorithm and detect a silent remote end."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


class ByteStream:
    """Connected TCP socket; at most one task reads from it and one task writes to it.

    Args:
        sock: Connected socket, which the stream closes.
        remote_address: Address of the remote end.
    """

    def __init__(self, sock: socket.socket, remote_address: str) -> None:
        set_socket_options(sock)
        self.sock = sock
        self.remote_address = remote_address
        self.closed = False
        self.bytes_since_yield = 0

    async def receive(self) -> bytes:
        """Wait for data and return it; empty bytes mean that the remote end sent EOF.

        Raises:
            OSError: The connection failed or was closed locally.
        """
        if self.bytes_since_yield >= MAX_BYTES_WITHOUT_YIELD:
            self.bytes_since_yield = 0
            await anyio.lowlevel.checkpoint()
        while True:
            if self.closed:
                raise ConnectionAbortedError(
                    errno.ECONNABORTED, "the connection was closed locally"
                )
            try:
                data = self.sock.recv(RECEIVE_BYTES)
            except BlockingIOError:
                self.bytes_since_yield = 0
                await self.wait_readable()
            else:
                self.bytes_since_yield += len(data)
                return data

    async def wait_readable(self) -> None:
        """Wait until there is data, EOF or an error to read.

        Raises:
            OSError: The connection was closed locally during the wait.
        """
        try:
            await anyio.wait_readable(self.sock)
        except (anyio.ClosedResourceError, ValueError) as error:
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "the connection was closed locally"
            ) from error

    async def send(self, data: bytes, on_progress: Callable[[], None] = lambda: None) -> None:
        """Send all of ``data``.

        Args:
            data: Bytes to send.
            on_progress: Called when the kernel takes bytes after the remote end made room.

        Raises:
            OSError: The connection failed or was closed locally.
        """
        view = memoryview(data)
        while view:
            if self.closed:
                raise ConnectionAbortedError(
                    errno.ECONNABORTED, "the connection was closed locally"
                )
            try:
                view = view[self.sock.send(view) :]
            except BlockingIOError:
                try:
                    await anyio.wait_writable(self.sock)
                except (anyio.ClosedResourceError, ValueError) as error:
                    raise ConnectionAbortedError(
                        errno.ECONNABORTED, "the connection was closed locally"
                    ) from error
                on_progress()

    def send_now(self, data: bytes) -> int:
        """Send what the kernel takes without waiting, and return the number of bytes.

        Raises:
            OSError: The connection failed or was closed locally.
        """
        if self.closed:
            raise ConnectionAbortedError(errno.ECONNABORTED, "the connection was closed locally")
        try:
            return self.sock.send(data)
        except BlockingIOError:
            return 0

    def has_input(self) -> bool:
        """Return whether there is data, EOF or an error to read; doesn't consume it."""
        if self.closed:
            return True
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def has_data(self) -> bool:
        """Return whether there is data to read, rather than EOF or an error."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def is_acknowledged(self) -> bool:
        """Return whether the remote end has acknowledged all bytes that were sent."""
        if self.closed:
            return False
        try:
            queued = fcntl.ioctl(self.sock, termios.TIOCOUTQ, bytes(QUEUED_BYTES.size))
        except OSError:
            return False
        return QUEUED_BYTES.unpack(queued) == (0,)

    def send_eof(self) -> None:
        """Shut down the sending side, so that the remote end reads EOF."""
        if not self.closed:
            try:
                self.sock.shutdown(socket.SHUT_WR)
            except OSError:
                self.close()

    def close(self) -> None:
        """Close the connection; does nothing if it is closed already."""
        if self.closed:
            return
        self.closed = True
        anyio.notify_closing(self.sock)
        self.sock.close()

    def reset(self) -> None:
        """Close the connection with a TCP reset, so that the remote end reads an error, not EOF."""
        if self.closed:
            return
        zero_linger = struct.pack("ii", 1, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, zero_linger)
        self.close()


async def connect(address: str, timeout_s: float) -> ByteStream:
    """Open a connection to ``IP:PORT``.

    Raises:
        OSError: The connection was refused, the address is unreachable, or connecting took longer
            than ``timeout_s``, or the text is no such address.
    """
    host, port = parse_ip_address(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        with anyio.fail_after(timeout_s):
            await connect_socket(sock, host, port)
    except TimeoutError as error:
        sock.close()
        raise ConnectionRefusedError(
            errno.ETIMEDOUT, f"connecting to {address} timed out"
        ) from error
    except BaseException:
        sock.close()
        raise
    return ByteStream(sock, address)


def parse_ip_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``IP:PORT``.

    Raises:
        OSError: The text is no such address. Names of hosts are none: a look-up would block.
    """
    try:
        host, port = parse_address(address)
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise OSError(errno.EINVAL, f"no address: {error}") from error
    return host, port


async def connect_socket(sock: socket.socket, host: str, port: int) -> None:
    """Connect a non-blocking socket and wait for the result.

    Raises:
        OSError: The connection could not be established.
    """
    code = sock.connect_ex((host, port))
    if code not in (0, errno.EINPROGRESS):
        raise OSError(code, errno.errorcode.get(code, "connect failed"))
    await anyio.wait_writable(sock)
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        raise OSError(code, errno.errorcode.get(code, "connect failed"))


def listen(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, int(port)))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock
