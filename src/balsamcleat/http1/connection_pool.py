"""Pool of HTTP/1.1 connections that are reused for later requests to the same address."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog

from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1.byte_budget import ByteBudget
from balsamcleat.http1.exchange import Exchange
from balsamcleat.http1.idle_watch import IdleWatch
from balsamcleat.http1.messages import Headers, Request, Response, header_value
from balsamcleat.http1.streams import ByteStream, connect
from balsamcleat.http1.work_budget import WorkBudget
from balsamcleat.model import FailureKind

__all__ = ["CONNECT_STEP", "ConnectionPool", "PoolLimits", "PooledConnection"]

# Step of the errors for connections that could not be opened.
CONNECT_STEP = "http.connect"
# Number of correlation ids that a connection remembers.
MAX_REMEMBERED_IDS = 32

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a connection pool.

    Attributes:
        connect_timeout_s: Timeout for opening a connection, in seconds.
        idle_timeout_s: Maximum time for which an idle connection is kept, in seconds; a server's
            ``Keep-Alive`` header can only shorten it.
        max_idle_connections: Maximum number of idle connections, over all addresses.
        max_response_bytes: Maximum size of a response body that is read as a whole.
        max_buffered_bytes: Maximum size of all response bodies that are being read as a whole.
        resets_abandoned: Whether a connection whose response was not received is reset instead of
            closed. A closed one still delivers a request that waits for a broken link.
    """

    connect_timeout_s: float = 1.0
    idle_timeout_s: float = 4.0
    max_idle_connections: int = 64
    max_response_bytes: int = 8 * 1024 * 1024
    max_buffered_bytes: int = 16 * 1024 * 1024
    resets_abandoned: bool = False


@dataclass(slots=True, eq=False)
class PooledConnection:
    """Connection of a pool, in use or idle.

    Attributes:
        stream: Connected stream.
        opened_at_s: Time at which the connection was opened, in seconds of the monotonic clock.
        expires_at_s: Time after which the idle connection is no longer reused, in seconds of the
            monotonic clock.
        server_identity: What the server said on the connection of who it is; empty before.
        sent_ids: Correlation ids of the last requests on the connection, the newest last.
        has_unidentified_requests: Whether a request without correlation id was sent on the
            connection, so that a response without one may be a copy of its response.
    """

    stream: ByteStream
    opened_at_s: float = 0.0
    expires_at_s: float = 0.0
    server_identity: str = ""
    sent_ids: dict[str, None] = field(default_factory=dict)
    has_unidentified_requests: bool = False

    def remember_id(self, correlation_id: str | None) -> None:
        """Record the correlation id of a request that is sent on the connection, if it has one."""
        if correlation_id is None:
            self.has_unidentified_requests = True
            return
        self.sent_ids[correlation_id] = None
        if len(self.sent_ids) > MAX_REMEMBERED_IDS:
            del self.sent_ids[next(iter(self.sent_ids))]


class ConnectionPool:
    """Pool of connections to any number of addresses; the last used connection is reused first.

    Args:
        limits: Limits of the pool.
        correlation_header: Header that a server copies from the request to its response. A response
            with another request's value is dropped, and the next response is awaited.
        idle_watch: Reports idle connections on which a server sends or ends; these are closed at
            once. Without it, they are closed when they would be reused.
        budget: Budget of the bytes of responses that are being read as a whole.
        work_budget: Budget of the work that responses in many small pieces cause.

    Attributes:
        idle_connections: Idle connections by address; the last used address is at the end.
        opened_connections: Number of connections opened so far.
        mismatched_responses: Number of dropped responses that belonged to other requests.
        buffered_bytes: Size of the response bodies that are being read as a whole.
    """

    def __init__(
        self,
        limits: PoolLimits,
        correlation_header: str | None = None,
        idle_watch: IdleWatch | None = None,
        budget: ByteBudget | None = None,
        work_budget: WorkBudget | None = None,
    ) -> None:
        self.limits = limits
        self.correlation_header = correlation_header
        self.idle_watch = idle_watch
        self.budget = budget or ByteBudget()
        self.work_budget = work_budget or WorkBudget()
        self.idle_connections: OrderedDict[str, list[PooledConnection]] = OrderedDict()
        self.opened_connections = 0
        self.mismatched_responses = 0
        self.buffered_bytes = 0

    def correlation_id(self, headers: Headers) -> str | None:
        """Return the correlation id in the headers of a request or a response, if there is one."""
        if self.correlation_header is None:
            return None
        return header_value(headers, self.correlation_header)

    def pop_idle_connection(
        self, address: str, correlation_id: str | None = None
    ) -> PooledConnection | None:
        """Return the last used idle connection that is open and has no unread input, or None.

        Expired connections and those with unread input are closed. So are those on which a request
        with the same correlation id was sent: a late copy of its response could not be told from
        the new one.
        """
        while connections := self.idle_connections.get(address):
            connection = connections[-1]
            self.remove_idle(address, connection)
            is_usable = (
                anyio.current_time() < connection.expires_at_s
                and correlation_id not in connection.sent_ids
                and not connection.stream.has_input()
            )
            if is_usable:
                return connection
            connection.stream.close()
        return None

    async def acquire(
        self, address: str, correlation_id: str | None, *, force_new_connection: bool
    ) -> PooledConnection:
        """Return an idle connection to the address, or open a new one.

        Raises:
            AttemptFailedError: No connection could be opened; nothing was sent.
        """
        if not force_new_connection and (
            connection := self.pop_idle_connection(address, correlation_id)
        ):
            return connection
        opened_at_s = anyio.current_time()
        try:
            stream = await connect(address, self.limits.connect_timeout_s)
        except OSError as error:
            raise AttemptFailedError(
                f"could not connect: {error}",
                step=CONNECT_STEP,
                peer=address,
                perhaps_sent=False,
                kind=FailureKind.UNREACHED,
            ) from error
        self.opened_connections += 1
        return PooledConnection(stream, opened_at_s)

    def release(self, address: str, connection: PooledConnection, idle_timeout_s: float) -> None:
        """Add a connection whose exchange is complete to the idle connections.

        If the pool then has too many idle connections, the oldest one of the least recently used
        address is closed.
        """
        connection.expires_at_s = anyio.current_time() + idle_timeout_s
        self.idle_connections.setdefault(address, []).append(connection)
        self.idle_connections.move_to_end(address)
        if self.idle_watch is not None:
            self.idle_watch.add(
                connection.stream, lambda: self.close_with_input(address, connection)
            )
        if sum(map(len, self.idle_connections.values())) > self.limits.max_idle_connections:
            oldest_address = next(iter(self.idle_connections))
            oldest = self.idle_connections[oldest_address][0]
            self.remove_idle(oldest_address, oldest)
            oldest.stream.close()

    def remove_idle(self, address: str, connection: PooledConnection) -> None:
        """Remove a connection from the idle ones, to use or to close it."""
        if self.idle_watch is not None:
            self.idle_watch.remove(connection.stream)
        connections = self.idle_connections[address]
        connections.remove(connection)
        if not connections:
            del self.idle_connections[address]

    def close_with_input(self, address: str, connection: PooledConnection) -> None:
        """Close an idle connection on which the server sent something or which has ended.

        No request expects what was sent. Left unread, it would fill the connection's buffers.
        """
        if connection.stream.has_data():
            log.warning("unsolicited bytes", peer=address)
        self.remove_idle(address, connection)
        connection.stream.close()

    def has_idle(self, address: str) -> bool:
        """Return whether there is an idle connection to an address, which may have ended."""
        return address in self.idle_connections

    def close_idle_connections(self, address: str) -> None:
        """Close the idle connections to an address that is no longer used."""
        for connection in list(self.idle_connections.get(address, ())):
            self.remove_idle(address, connection)
            connection.stream.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self.idle_connections):
            self.close_idle_connections(address)

    async def fetch(
        self,
        address: str,
        request: Request,
        timeout_s: float,
        *,
        force_new_connection: bool = False,
        is_permitted: Callable[[], bool] = lambda: True,
    ) -> Response:
        """Send a request and return its complete response.

        Args:
            address: Server's address, as ``IP:PORT``.
            request: Request to send.
            timeout_s: Time limit for the whole exchange, in seconds.
            force_new_connection: Whether an idle connection must not be used.
            is_permitted: Returns whether the request may be sent now; asked right before that.

        Raises:
            AttemptFailedError: No complete response was received; the error says whether the
                request may have been sent.
        """
        exchange = Exchange(self, address, request, is_permitted)
        try:
            with anyio.fail_after(timeout_s):
                await exchange.begin(force_new_connection=force_new_connection)
                return await exchange.read_response()
        except TimeoutError as error:
            raise exchange.failure(
                f"no response within {timeout_s:.3f} s", FailureKind.SILENT
            ) from error
        finally:
            exchange.end()
