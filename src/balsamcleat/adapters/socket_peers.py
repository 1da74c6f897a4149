"""Transport of peer messages over UDP and TCP sockets."""

import hashlib
import struct

import anyio
import anyio.abc
from anyio.streams.buffered import BufferedByteReceiveStream

from balsamcleat.adapters import peer_codec
from balsamcleat.adapters.peer_seal import NoSeal, ReplayGuard, Seal
from balsamcleat.errors import AttemptFailedError, ProtocolError
from balsamcleat.model.peer import PeerMessage
from balsamcleat.ports import DatagramHandler, Metrics, PeerTransport, RequestHandler

__all__ = ["SocketPeers", "split_address"]

LENGTH = struct.Struct(">I")
MAX_DATAGRAM_BYTES = 1400
OUTBOX_DATAGRAMS = 256
REQUEST_READ_TIMEOUT_S = 10.0

# Errors of a connection that ends early.
CONNECTION_ERRORS = (
    OSError,
    TimeoutError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class SocketPeers(PeerTransport):
    """Owns the sockets for messages between peers.

    Args:
        udp: Bound UDP socket.
        listener: Bound TCP listener.
        metrics: Receiver of counters.
        seal: Authenticates messages.
    """

    def __init__(
        self,
        udp: anyio.abc.UDPSocket,
        listener: anyio.abc.SocketListener | anyio.abc.Listener[anyio.abc.SocketStream],
        metrics: Metrics,
        seal: Seal,
    ) -> None:
        self.udp = udp
        self.listener = listener
        self.metrics = metrics
        self.seal = seal
        self.replays = ReplayGuard()
        self.outbox_send, self.outbox = anyio.create_memory_object_stream[tuple[bytes, str]](
            OUTBOX_DATAGRAMS
        )

    @classmethod
    async def bind(cls, address: str, metrics: Metrics, seal: Seal | None = None) -> "SocketPeers":
        """Bind both sockets to one address.

        Args:
            address: Host and port; 0 for any free port.
            metrics: Receiver of counters.
            seal: Authenticates messages; none by default.
        """
        host, port = split_address(address)
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        udp = await anyio.create_udp_socket(local_host=host, local_port=port)
        return cls(udp, listener, metrics, seal or NoSeal())

    @property
    def address(self) -> str:
        """Host and port of the sockets."""
        return "{}:{}".format(*self.udp.extra(anyio.abc.SocketAttribute.local_address))

    async def send(self, address: str, message: PeerMessage) -> None:
        """Queue a datagram, or drop and count it if the queue is full."""
        data = self.seal.seal(peer_codec.encode(message))
        if len(data) > MAX_DATAGRAM_BYTES:
            self.metrics.count("peer.datagram.oversized")
        try:
            self.outbox_send.send_nowait((data, address))
        except anyio.WouldBlock:
            self.metrics.count("peer.datagram.dropped")

    async def send_queued(self) -> None:
        """Send the queued datagrams; only one task may send on the UDP socket."""
        async for data, address in self.outbox:
            host, port = split_address(address)
            try:
                await self.udp.sendto(data, host, port)
            except OSError:
                self.metrics.count("peer.datagram.send_failed")
            else:
                self.metrics.count("peer.bytes_sent", len(data))

    async def request(self, address: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request on a new connection and return its reply."""
        host, port = split_address(address)
        may_have_left = False
        try:
            with anyio.fail_after(timeout_s):
                async with await anyio.connect_tcp(host, port) as stream:
                    may_have_left = True
                    sealed = self.seal.seal(peer_codec.encode(message))
                    await send_framed(stream, sealed)
                    # The reply is bound to this request, so an old reply can't be replayed.
                    reply = self.seal.open(await receive_framed(stream), request_digest(sealed))
                    return peer_codec.decode(reply)
        except CONNECTION_ERRORS as error:
            raise AttemptFailedError(
                f"{type(error).__name__}: {error}",
                step="peer.request",
                peer=address,
                perhaps_sent=may_have_left,
            ) from error
        except ProtocolError as error:
            raise AttemptFailedError(
                error.message, step="peer.request", peer=address, perhaps_sent=True
            ) from error

    async def run(self, on_datagram: DatagramHandler, on_request: RequestHandler) -> None:
        """Receive datagrams and requests until cancelled."""

        async def serve(stream: anyio.abc.ByteStream) -> None:
            async with stream:
                await self.serve_request(stream, on_request)

        async with self.listener, self.udp, anyio.create_task_group() as group:
            group.start_soon(self.listener.serve, serve)
            group.start_soon(self.send_queued)
            await self.receive_datagrams(on_datagram)

    async def receive_datagrams(self, on_datagram: DatagramHandler) -> None:
        """Pass each valid datagram to the handler."""
        async for data, (host, port) in self.udp:
            self.metrics.count("peer.bytes_received", len(data))
            try:
                message = peer_codec.decode(self.seal.open(data))
            except ProtocolError:
                self.metrics.count("peer.datagram.refused")
                continue
            if not self.replays.record_if_new(message):
                self.metrics.count("peer.datagram.replayed")
                continue
            await on_datagram(message, f"{host}:{port}")

    async def serve_request(self, stream: anyio.abc.ByteStream, on_request: RequestHandler) -> None:
        """Read a request and send its reply."""
        try:
            with anyio.fail_after(REQUEST_READ_TIMEOUT_S):
                sealed = await receive_framed(stream)
            message = peer_codec.decode(self.seal.open(sealed))
            if not self.replays.record_if_new(message):
                self.metrics.count("peer.request.replayed")
                return
            reply = await on_request(message)
            await send_framed(
                stream, self.seal.seal(peer_codec.encode(reply), request_digest(sealed))
            )
        except ProtocolError:
            self.metrics.count("peer.request.refused")
        except CONNECTION_ERRORS:
            self.metrics.count("peer.request.cut")


def request_digest(sealed: bytes) -> bytes:
    """Return the digest that binds a reply to its sealed request."""
    return hashlib.sha256(sealed).digest()


async def send_framed(stream: anyio.abc.ByteSendStream, data: bytes) -> None:
    """Send a message, preceded by its length."""
    await stream.send(LENGTH.pack(len(data)) + data)


async def receive_framed(stream: anyio.abc.ByteReceiveStream) -> bytes:
    """Receive a message that is preceded by its length.

    Raises:
        ProtocolError: The announced length is above the limit.
    """
    buffered = BufferedByteReceiveStream(stream)
    (length,) = LENGTH.unpack(await buffered.receive_exactly(LENGTH.size))
    if length > peer_codec.MAX_MESSAGE_BYTES:
        raise ProtocolError(f"a message of {length} bytes is too large", step="peer.receive")
    return await buffered.receive_exactly(length)
