"""HTTP/1.1 server that sends exactly one response to each request, in order."""

import socket
from collections.abc import Callable

import anyio
import anyio.abc
import structlog

from balsamcleat.http1.byte_budget import ByteBudget
from balsamcleat.http1.messages import Headers, Request, Response
from balsamcleat.http1.server_connection import Handler, ServerConnection, ServerLimits
from balsamcleat.http1.streams import ByteStream
from balsamcleat.http1.work_budget import WorkBudget

__all__ = ["HttpServer"]

ACCEPT_RETRY_DELAY_S = 0.05
# A connection that is younger than this may be about to get its first request.
FIRST_REQUEST_GRACE_S = 1.0
OVERLOAD_RESPONSE = Response(503, (("Retry-After", "1"),))

log = structlog.get_logger()


def log_fault(request: Request) -> Response:
    """Log the error of the handler of a request, and return the response to the request."""
    log.exception("request failed by a fault", request="", path=request.path)
    return Response(500)


class HttpServer:
    """Accepts connections on a listening socket and serves their requests.

    Args:
        listener: Non-blocking listening socket.
        handler: Sends the response to one request. It is cancelled when the client disconnects. If
            it returns without a response, the connection is closed without one.
        get_limits: Returns the current limits. It is called for each request, so that changed
            limits apply at once.
        budget: Budget of the bytes of requests and responses.
        work_budget: Budget of the work that bodies in many small pieces cause.
        refuses_bodies: Whether bodies for which the budget has no room are refused.
        overload_response: Returns the response to a request with these headers whose body is
            refused.
        fault_response: Logs the error of the handler of a request, and returns the response.

    Attributes:
        connections: Open connections.
        is_draining: Whether each connection is closed after its next response.
        is_closed: Whether the listening socket is closed.
    """

    def __init__(
        self,
        listener: socket.socket,
        handler: Handler,
        get_limits: Callable[[], ServerLimits],
        budget: ByteBudget | None = None,
        *,
        work_budget: WorkBudget | None = None,
        refuses_bodies: bool = True,
        overload_response: Callable[[Headers], Response] = lambda headers: OVERLOAD_RESPONSE,
        fault_response: Callable[[Request], Response] | None = None,
    ) -> None:
        self.listener = listener
        self.handler = handler
        self.get_limits = get_limits
        self.budget = budget or ByteBudget()
        self.work_budget = work_budget or WorkBudget()
        self.refuses_bodies = refuses_bodies
        self.overload_response = overload_response
        self.fault_response = fault_response or log_fault
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self.is_closed = False
        self.tasks: anyio.abc.TaskGroup | None = None

    @property
    def active_requests(self) -> int:
        """Number of requests whose handlers are running."""
        return sum(connection.is_busy for connection in self.connections)

    @property
    def has_open_requests(self) -> bool:
        """Whether any request is being handled, is being read, or waits to be read."""
        return any(connection.has_open_request() for connection in self.connections)

    async def run(self) -> None:
        """Accept and serve connections until cancelled or closed."""
        async with anyio.create_task_group() as self.tasks:
            while not self.is_closed:
                accepted = await self.accept()
                if accepted is not None:
                    self.start_connection(*accepted)

    def start_connection(self, sock: socket.socket, client_address: str) -> None:
        """Start to serve an accepted connection."""
        assert self.tasks is not None
        try:
            stream = ByteStream(sock, client_address)
        except OSError:
            # The connection failed before its options were set; no request was read.
            sock.close()
            return
        connection = ServerConnection(self, stream)
        self.connections.add(connection)
        self.tasks.start_soon(self.serve_connection, connection)

    async def accept(self) -> tuple[socket.socket, str] | None:
        """Return the next connection and its client's address, or None to try again."""
        try:
            sock, socket_address = self.listener.accept()
        except BlockingIOError:
            try:
                await anyio.wait_readable(self.listener)
            except (anyio.ClosedResourceError, ValueError):
                self.is_closed = True
            return None
        except OSError:
            # There are no file descriptors left, or the client disconnected before the accept.
            await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            return None
        return sock, socket_address[0]

    async def serve_connection(self, connection: ServerConnection) -> None:
        """Serve the requests of one connection until it is closed."""
        try:
            await connection.run()
        except OSError:
            # The client has disconnected, so no response can be sent.
            pass
        except Exception:
            # One connection must not end the server, and with it the process.
            log.exception("connection failed by a fault", client=connection.stream.remote_address)
        finally:
            self.connections.discard(connection)
            connection.release_body()
            connection.stream.close()

    def start_draining(self) -> None:
        """Close each connection after its next response, from now on."""
        self.is_draining = True

    def close_idle_connections(self) -> None:
        """Close the connections without a request, unless they were opened only now."""
        now_s = anyio.current_time()
        for connection in list(self.connections):
            is_new = now_s - connection.opened_at_s < FIRST_REQUEST_GRACE_S
            if not is_new and not connection.has_open_request():
                connection.stream.close()

    def stop_accepting(self) -> None:
        """Accept what waits in the backlog, then close the listening socket.

        Closing the socket alone would reset the connections in the backlog, on which clients may
        have sent requests. Open connections are still served.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self.accept_backlog()
        anyio.notify_closing(self.listener)
        self.listener.close()

    def accept_backlog(self) -> None:
        """Accept all connections that wait in the backlog."""
        if self.tasks is None:
            return
        while True:
            try:
                sock, socket_address = self.listener.accept()
            except OSError:
                # The backlog is empty, or there are no file descriptors left.
                return
            self.start_connection(sock, socket_address[0])
