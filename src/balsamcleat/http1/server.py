"""The server's side: one request at a time on a connection, exactly one answer to each."""

import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import h11

from balsamcleat.http1.messages import Headers, Request, Response
from balsamcleat.http1.streams import ByteStream

__all__ = ["Handler", "HttpServer", "Responder", "ServerLimits"]

# How long a connection that was answered before its request was read is drained, so that the
# answer isn't lost to a reset.
LINGER_TIMEOUT_S = 1.0
MAX_PIPELINED_BYTES = 1024 * 1024
ACCEPT_RETRY_DELAY_S = 0.05


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """What a caller may send and how long it may take.

    Attributes:
        max_header_bytes: Most bytes of a request's head.
        max_body_bytes: Most bytes of a request's body.
        header_timeout_s: Longest time from a head's first byte to its last.
        body_timeout_s: Longest silence while a body is read.
        idle_timeout_s: Longest time between requests on a kept connection.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0


class RequestRejectedError(Exception):
    """The request can't be read; ``status`` is the answer."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class Responder:
    """Writes the one answer to a request.

    Args:
        connection: Whose request it is.
    """

    def __init__(self, connection: "ServerConnection") -> None:
        self.connection = connection
        self.has_started = False
        self.has_finished = False

    async def send(self, response: Response) -> None:
        """Write a whole answer."""
        headers = (*response.headers, ("Content-Length", str(len(response.body))))
        await self.write_events(
            h11.Response(status_code=response.status, headers=self.with_connection_header(headers)),
            h11.Data(response.body),
            h11.EndOfMessage(),
        )
        self.has_finished = True

    async def start_chunked(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length isn't known; it is sent in chunks."""
        chunked = (*headers, ("Transfer-Encoding", "chunked"))
        await self.write_events(
            h11.Response(status_code=status, headers=self.with_connection_header(chunked))
        )

    async def write(self, data: bytes) -> None:
        """Write part of a body that was started."""
        await self.write_events(h11.Data(data))

    async def finish(self) -> None:
        """End a body that was started as complete."""
        await self.write_events(h11.EndOfMessage())
        self.has_finished = True

    def with_connection_header(self, headers: Headers) -> list[tuple[str, str]]:
        """Return the headers with those of this connection added."""
        if self.connection.closes_after_response():
            return [*headers, ("Connection", "close")]
        return list(headers)

    async def write_events(self, *events: h11.Event) -> None:
        """Write parser events in one piece."""
        self.has_started = True
        parts = [self.connection.parser.send(event) for event in events]
        await self.connection.stream.send(b"".join(part for part in parts if part))


Handler = Callable[[Request, Responder], Awaitable[None]]


class HttpServer:
    """Accepts connections on one socket and serves them until told to stop.

    Args:
        listener: A listening socket.
        handler: Answers one request. It is cancelled when the caller goes away. If it returns
            without an answer, the connection is closed without one.
        limits: Asked for each request, so that a change holds at once.
    """

    def __init__(
        self,
        listener: socket.socket,
        handler: Handler,
        get_limits: Callable[[], ServerLimits],
    ) -> None:
        self.listener = listener
        self.handler = handler
        self.get_limits = get_limits
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self.is_closed = False

    @property
    def active_requests(self) -> int:
        """Number of requests being answered."""
        return sum(connection.is_busy for connection in self.connections)

    async def run(self) -> None:
        """Serve until cancelled or closed."""
        async with anyio.create_task_group() as tasks:
            while not self.is_closed:
                accepted = await self.accept()
                if accepted is not None:
                    tasks.start_soon(self.serve_connection, *accepted)

    async def accept(self) -> tuple[socket.socket, str] | None:
        """Return the next connection, or None when there is none after all."""
        try:
            sock, peer = self.listener.accept()
        except BlockingIOError:
            try:
                await anyio.wait_readable(self.listener)
            except (anyio.ClosedResourceError, ValueError):
                self.is_closed = True
            return None
        except OSError:
            # Out of descriptors, or the caller left before it was accepted.
            await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            return None
        return sock, peer[0]

    async def serve_connection(self, sock: socket.socket, peer: str) -> None:
        """Serve one connection to its end."""
        try:
            stream = ByteStream(sock, peer)
        except OSError:
            # It broke before it was served: nothing was read.
            sock.close()
            return
        connection = ServerConnection(self, stream)
        self.connections.add(connection)
        try:
            await connection.run()
        except OSError:
            # The caller's end of the connection is gone; there is nobody to answer.
            pass
        finally:
            self.connections.discard(connection)
            stream.close()

    def start_draining(self) -> None:
        """Close each connection after its next answer from now on."""
        self.is_draining = True

    def close_idle_connections(self) -> None:
        """Close the connections that wait for a request and have sent none of it."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.stream.close()

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections go on."""
        if not self.is_closed:
            self.is_closed = True
            anyio.notify_closing(self.listener)
            self.listener.close()


class ServerConnection:
    """One caller's connection.

    Args:
        server: Whose it is.
        stream: Its socket.
    """

    def __init__(self, server: HttpServer, stream: ByteStream) -> None:
        self.server = server
        self.stream = stream
        self.limits = server.get_limits()
        self.parser = self.new_parser()
        self.is_busy = False
        self.is_idle = True
        self.is_rejected = False
        self.pipelined_data = b""

    def new_parser(self) -> h11.Connection:
        """Return a parser with the limit on heads in force."""
        return h11.Connection(h11.SERVER, self.limits.max_header_bytes)

    def closes_after_response(self) -> bool:
        """Return whether the answer being written is the last one here."""
        return (
            self.server.is_draining
            or self.is_rejected
            or self.parser.their_state in (h11.MUST_CLOSE, h11.ERROR)
        )

    async def run(self) -> None:
        """Answer requests until either side closes."""
        while True:
            try:
                request = await self.read_request()
            except RequestRejectedError as rejection:
                await self.reject(rejection)
                return
            if request is None or not await self.handle_request(request):
                return
            self.limits = self.server.get_limits()
            self.parser.start_next_cycle()

    async def reject(self, rejection: RequestRejectedError) -> None:
        """Answer a request that can't be read, and close."""
        self.is_rejected = True
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = f"{rejection.reason}\n".encode()
            headers = (("Content-Type", "text/plain"),)
            await Responder(self).send(Response(rejection.status, headers, body))
        self.stream.send_eof()
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            while await self.stream.receive():
                pass

    async def read_request(self) -> Request | None:
        """Return the next whole request, or None at the end of the connection."""
        head = await self.read_head()
        if head is None:
            return None
        check_framing(head)
        body = await self.read_body(head)
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("latin-1"),
            headers=tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in head.headers.raw_items()
            ),
            body=body,
            received_at_s=anyio.current_time(),
            client_address=self.stream.remote_address,
        )

    async def read_head(self) -> h11.Request | None:
        """Return the next request's head, or None at the end of the connection."""
        self.is_idle = not self.pipelined_data and not self.parser.trailing_data[0]
        if self.is_idle and not await self.wait_for_request():
            return None
        self.is_idle = False
        with anyio.move_on_after(self.limits.header_timeout_s):
            while True:
                event = self.next_event()
                if isinstance(event, h11.Request):
                    self.check_head_size(event)
                    return event
                if event is not h11.NEED_DATA or not await self.feed_parser():
                    return None
        raise RequestRejectedError(408, "the request's head took too long")

    def check_head_size(self, head: h11.Request) -> None:
        """Refuse a head that is too large; the parser checks only those that come in pieces.

        Raises:
            RequestRejectedError: It is too large.
        """
        size = len(head.method) + len(head.target)
        size += sum(len(name) + len(value) for name, value in head.headers)
        if size > self.limits.max_header_bytes:
            limit = self.limits.max_header_bytes
            raise RequestRejectedError(431, f"a request's head may have {limit} bytes")

    async def wait_for_request(self) -> bool:
        """Wait for a request to begin; returns False when the connection is over."""
        with anyio.move_on_after(self.limits.idle_timeout_s):
            return await self.feed_parser()
        return False

    async def feed_parser(self) -> bool:
        """Read once into the parser; returns False at the end of the input."""
        if self.pipelined_data:
            data, self.pipelined_data = self.pipelined_data, b""
        else:
            data = await self.stream.receive()
        self.parser.receive_data(data)
        return bool(data)

    def next_event(self) -> object:
        """Return the parser's next event.

        Raises:
            RequestRejectedError: What came is no request.
        """
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestRejectedError(error.error_status_hint, str(error)) from error

    async def read_body(self, head: h11.Request) -> bytes:
        """Return the whole body of a request."""
        parts: list[bytes] = []
        size = 0
        limit = self.limits.max_body_bytes
        declared = dict(head.headers).get(b"content-length", b"0")
        if int(declared) > limit:
            raise RequestRejectedError(413, f"a body may have {limit} bytes")
        if self.parser.they_are_waiting_for_100_continue:
            await self.stream.send(
                self.parser.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
            )
        while True:
            event = self.next_event()
            if isinstance(event, h11.EndOfMessage):
                return b"".join(parts)
            if isinstance(event, h11.Data):
                size += len(event.data)
                parts.append(bytes(event.data))
                if size > limit:
                    raise RequestRejectedError(413, f"a body may have {limit} bytes")
                continue
            if not await self.feed_parser_body():
                raise ConnectionAbortedError("the caller left in the middle of a body")

    async def feed_parser_body(self) -> bool:
        """Read once while a body is expected."""
        with anyio.move_on_after(self.limits.body_timeout_s):
            return await self.feed_parser()
        raise RequestRejectedError(408, "the request's body took too long")

    async def handle_request(self, request: Request) -> bool:
        """Let the handler answer; returns whether the connection goes on."""
        responder = Responder(self)
        self.is_busy = True
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.watch_for_disconnect, tasks.cancel_scope)
                await self.run_handler(request, responder)
                tasks.cancel_scope.cancel()
        finally:
            self.is_busy = False
        if not responder.has_finished:
            if responder.has_started:
                self.stream.reset()
            return False
        return self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE

    async def run_handler(self, request: Request, responder: Responder) -> None:
        """Run the handler; a connection that breaks under its answer ends it."""
        try:
            await self.server.handler(request, responder)
        except OSError:
            # The handler's own peers raise typed errors; this is the caller's connection.
            responder.has_finished = False

    async def watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel the handler when the caller closes; keep what it sends ahead."""
        try:
            while len(self.pipelined_data) < MAX_PIPELINED_BYTES:
                data = await self.stream.receive()
                if not data:
                    break
                self.pipelined_data += data
            else:
                await anyio.sleep_forever()
        except OSError:
            # A reset says the same as an end: nobody waits for the answer.
            pass
        scope.cancel()


def check_framing(head: h11.Request) -> None:
    """Refuse a head whose body could be read in two ways.

    Raises:
        RequestRejectedError: It declares a length and chunks at once.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestRejectedError(400, "a body has either a length or chunks")
