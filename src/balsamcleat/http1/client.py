"""The client's side: pooled connections, one exchange at a time, typed failures."""

from collections import OrderedDict
from dataclasses import dataclass

import anyio
import h11

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1.messages import Headers, Request, Response, header_value
from balsamcleat.http1.streams import ByteStream, connect
from balsamcleat.model import FailureKind

__all__ = ["ConnectionPool", "Exchange", "PoolLimits"]

# Kept below what a keep-alive time-out says, for the way there.
KEEP_ALIVE_MARGIN_S = 0.5
MAX_MISMATCHED_RESPONSES = 4
# Longest wait for the rest of a short body that nobody wants.
DISCARD_TIMEOUT_S = 0.05


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Bounds of a pool.

    Attributes:
        connect_s: Longest wait for a connection.
        idle_s: How long an idle connection is kept where the other end says nothing.
        idle_connections: Most idle connections of the whole pool.
        max_response_bytes: Most bytes of a whole response's body.
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 4.0
    max_idle_connections: int = 64
    max_response_bytes: int = 64 * 1024 * 1024


@dataclass(slots=True)
class PooledConnection:
    """One kept connection: ``usable_until_s`` bounds its idle time on the monotonic clock."""

    stream: ByteStream
    expires_at_s: float = 0.0


class ConnectionPool:
    """Connections to many addresses, reused in the order of their last use.

    Args:
        limits: Bounds.
        correlation_header: Header by which the other end names the request that it answers. An
            answer that names another one is dropped and the next one awaited.
    """

    def __init__(self, limits: PoolLimits, correlation_header: str | None = None) -> None:
        self.limits = limits
        self.correlation_header = correlation_header
        self.idle_connections: OrderedDict[str, list[PooledConnection]] = OrderedDict()
        self.opened_connections = 0
        self.mismatched_responses = 0

    def pop_idle_connection(self, address: str) -> PooledConnection | None:
        """Return a kept connection that is still silent and open, the newest first."""
        while kept := self.idle_connections.get(address):
            connection = kept.pop()
            if not kept:
                del self.idle_connections[address]
            if anyio.current_time() < connection.expires_at_s and not connection.stream.has_input():
                return connection
            connection.stream.close()
        return None

    async def acquire(self, address: str, *, force_new_connection: bool) -> PooledConnection:
        """Return a connection, kept or new.

        Raises:
            AttemptFailedError: None could be opened; nothing was sent.
        """
        if not force_new_connection and (connection := self.pop_idle_connection(address)):
            return connection
        try:
            stream = await connect(address, self.limits.connect_timeout_s)
        except OSError as error:
            raise AttemptFailedError(
                f"can't connect: {error}",
                step="http.connect",
                peer=address,
                perhaps_sent=False,
                kind=FailureKind.UNREACHED,
            ) from error
        self.opened_connections += 1
        return PooledConnection(stream)

    def release(self, address: str, connection: PooledConnection, idle_timeout_s: float) -> None:
        """Keep a connection whose exchange ended cleanly."""
        connection.expires_at_s = anyio.current_time() + idle_timeout_s
        self.idle_connections.setdefault(address, []).append(connection)
        self.idle_connections.move_to_end(address)
        if sum(map(len, self.idle_connections.values())) > self.limits.max_idle_connections:
            oldest = next(iter(self.idle_connections))
            self.idle_connections[oldest].pop(0).stream.close()
            if not self.idle_connections[oldest]:
                del self.idle_connections[oldest]

    def close_idle_connections(self, address: str) -> None:
        """Close the kept connections to an address that is no longer used."""
        for connection in self.idle_connections.pop(address, []):
            connection.stream.close()

    def close(self) -> None:
        """Close all kept connections."""
        for address in list(self.idle_connections):
            self.close_idle_connections(address)

    async def fetch(
        self,
        address: str,
        request: Request,
        timeout_s: float,
        *,
        force_new_connection: bool = False,
    ) -> Response:
        """Send a request and return its whole response.

        Raises:
            AttemptFailedError: There is no whole response; it says how far the request got.
        """
        exchange = Exchange(self, address, request)
        try:
            with anyio.fail_after(timeout_s):
                await exchange.begin(force_new_connection=force_new_connection)
                return await exchange.read_response()
        except TimeoutError as error:
            raise exchange.failure(
                f"no answer within {timeout_s:.3f} s", FailureKind.SILENT
            ) from error
        finally:
            exchange.end()


class Exchange:
    """One request and its response on one connection.

    Call ``begin``, then read ``status`` and ``headers`` and take the body; always call ``end``.

    Args:
        pool: Where the connection comes from and goes back to.
        address: The other end.
        request: What to send.
    """

    def __init__(self, pool: ConnectionPool, address: str, request: Request) -> None:
        self.pool = pool
        self.address = address
        self.request = request
        self.connection: PooledConnection | None = None
        self.parser = h11.Connection(h11.CLIENT)
        self.perhaps_sent = False
        self.is_complete = False
        self.status = 0
        self.headers: Headers = ()

    def failure(self, message: str, kind: FailureKind) -> AttemptFailedError:
        """Return the typed failure of this exchange at the point it has reached."""
        return AttemptFailedError(
            message,
            step="http.exchange",
            peer=self.address,
            perhaps_sent=self.perhaps_sent,
            kind=kind if self.perhaps_sent else FailureKind.UNREACHED,
        )

    async def begin(self, *, force_new_connection: bool = False) -> None:
        """Send the request and read the response's head.

        Raises:
            AttemptFailedError: See ``ConnectionPool.fetch``.
        """
        self.connection = await self.pool.acquire(
            self.address, force_new_connection=force_new_connection
        )
        data = self.encode_request()
        # From the first byte on, the other end may act on it.
        self.perhaps_sent = True
        try:
            await self.connection.stream.send(data)
        except OSError as error:
            raise self.failure(f"cut while sending: {error}", FailureKind.CUT) from error
        await self.read_matching_head()

    def encode_request(self) -> bytes:
        """Return the request's bytes; tells the parser to expect its response."""
        request = self.request
        headers = [*request.headers]
        if request.body or request.method not in ("GET", "DELETE", "HEAD"):
            headers.append(("Content-Length", str(len(request.body))))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        parts = [self.parser.send(head)]
        if request.body:
            parts.append(self.parser.send(h11.Data(request.body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        return b"".join(part for part in parts if part)

    async def read_matching_head(self) -> None:
        """Read heads until one answers this request."""
        for _ in range(MAX_MISMATCHED_RESPONSES):
            await self.read_head()
            if self.matches_request():
                return
            self.pool.mismatched_responses += 1
            await self.skip_response()
        raise self.failure("only answers to other requests came", FailureKind.MALFORMED)

    def matches_request(self) -> bool:
        """Return whether the head read last names this request, or none."""
        name = self.pool.correlation_header
        if name is None:
            return True
        answered = header_value(self.headers, name)
        return answered is None or answered == header_value(self.request.headers, name)

    async def skip_response(self) -> None:
        """Drop an answer to an earlier request and expect the next one."""
        while await self.next_body_chunk():
            pass
        rest, _ = self.parser.trailing_data
        self.parser = h11.Connection(h11.CLIENT)
        self.encode_request()
        self.parser.receive_data(rest)
        self.is_complete = False

    async def read_head(self) -> None:
        """Read up to the end of a response's head."""
        event = await self.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise self.failure("the answer has no head", FailureKind.MALFORMED)
        self.status = event.status_code
        self.headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        )

    async def next_event(self) -> object:
        """Return the parser's next event, reading as needed."""
        assert self.connection is not None
        while True:
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                raise self.failure(f"not an HTTP answer: {error}", FailureKind.MALFORMED) from error
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.connection.stream.receive()
            except OSError as error:
                raise self.failure(f"cut: {error}", FailureKind.CUT) from error
            if not data and not self.status:
                raise self.failure("closed without an answer", FailureKind.CUT)
            self.parser.receive_data(data)

    async def next_body_chunk(self) -> bytes:
        """Return the next bytes of the body; empty at its proper end.

        Raises:
            AttemptFailedError: The body ended early.
        """
        event = await self.next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self.is_complete = True
            return b""
        raise self.failure("the answer was cut short", FailureKind.CUT)

    async def read_response(self) -> Response:
        """Return the response with all of its body."""
        parts: list[bytes] = []
        size = 0
        while data := await self.next_body_chunk():
            size += len(data)
            if size > self.pool.limits.max_response_bytes:
                raise self.failure("the answer is too large", FailureKind.MALFORMED)
            parts.append(data)
        return Response(self.status, self.headers, b"".join(parts))

    async def discard_body(self) -> None:
        """Read a short body that nobody wants, so that the connection can be kept."""
        with anyio.move_on_after(DISCARD_TIMEOUT_S):
            while await self.next_body_chunk():
                pass

    def end(self) -> None:
        """Give the connection back if the exchange ended cleanly, else close it.

        Closing is also how a target learns that nobody waits for its work any more.
        """
        connection, self.connection = self.connection, None
        if connection is None:
            return
        idle_s = self.keep_alive_timeout_s()
        if idle_s <= 0.0 or connection.stream.has_input():
            connection.stream.close()
        else:
            self.pool.release(self.address, connection, idle_s)

    @property
    def has_explicit_framing(self) -> bool:
        """Whether the answer's own framing, not the connection's end, says where it ends."""
        names = {name.lower() for name, _ in self.headers}
        return "content-length" in names or "transfer-encoding" in names

    def keep_alive_timeout_s(self) -> float:
        """Return how long the connection may be kept idle, in seconds; 0 for not at all."""
        trailing, _ = self.parser.trailing_data
        if not self.is_complete or trailing or self.parser.their_state is not h11.DONE:
            return 0.0
        said = header_value(self.headers, "keep-alive")
        if said is None:
            return self.pool.limits.idle_timeout_s
        for part in said.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdecimal():
                return min(self.pool.limits.idle_timeout_s, int(value) - KEEP_ALIVE_MARGIN_S)
        return self.pool.limits.idle_timeout_s
