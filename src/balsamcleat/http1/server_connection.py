"""One connection of the HTTP/1.1 server: reads requests, and writes one response to each."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import anyio.abc
import h11
import structlog

from balsamcleat.http1.byte_budget import PendingBytes
from balsamcleat.http1.messages import Headers, Request, Response, encode_headers
from balsamcleat.http1.streams import ByteStream
from balsamcleat.http1.work_budget import WorkMeter

if TYPE_CHECKING:
    from balsamcleat.http1.server import HttpServer

__all__ = ["Handler", "Responder", "ServerConnection", "ServerLimits"]

# Time for which input is still read and dropped after a request was rejected before it was fully
# read. Closing a socket with unread input resets it, and the client could lose the response.
LINGER_TIMEOUT_S = 1.0
MAX_PIPELINED_BYTES = 1024 * 1024
# A body waits this long for room in the budget of bytes before it is refused. Its bytes stay with
# the client meanwhile.
ROOM_TIMEOUT_S = 1.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Size and time limits of requests.

    Attributes:
        max_header_bytes: Maximum size of a request's head (request line and headers).
        max_body_bytes: Maximum size of a request's body.
        header_timeout_s: Maximum time from the first to the last byte of a head, in seconds.
        body_timeout_s: Maximum time without data while a body is read, in seconds.
        idle_timeout_s: Maximum time that a connection waits for a request, in seconds.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 32 * 1024 * 1024
    header_timeout_s: float = 5.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 15.0


class RequestRejectedError(Exception):
    """A request is invalid, too large or too slow.

    Args:
        status: Status code of the error response.
        reason: Text of the error response's body.
        response: Error response, if it is not made from the status and the reason.
    """

    def __init__(self, status: int, reason: str, response: Response | None = None) -> None:
        super().__init__(reason)
        self.response = response
        self.status = status
        self.reason = reason


class Responder:
    """Writes the response to one request.

    Args:
        connection: Connection that the request arrived on.

    Attributes:
        has_started: Whether any part of the response may have been sent.
        has_finished: Whether the response was sent completely.
        status: Status of the response; 0 before it has started.
    """

    def __init__(self, connection: "ServerConnection") -> None:
        self.connection = connection
        self.has_started = False
        self.has_finished = False
        self.status = 0

    async def send(self, response: Response) -> None:
        """Send a complete response."""
        self.status = response.status
        headers = (*response.headers, ("Content-Length", str(len(response.body))))
        # The response to HEAD has no body, and the parser refuses one.
        body = b"" if self.connection.is_head_request else response.body
        await self.write_events(
            h11.Response(status_code=response.status, headers=self.with_connection_header(headers)),
            h11.Data(body),
            h11.EndOfMessage(),
        )
        self.has_finished = True

    async def start_chunked(self, status: int, headers: Headers) -> None:
        """Start a response of unknown length, which is sent with chunked transfer coding."""
        self.status = status
        chunked = (*headers, ("Transfer-Encoding", "chunked"))
        await self.write_events(
            h11.Response(status_code=status, headers=self.with_connection_header(chunked))
        )

    async def write(self, data: bytes) -> None:
        """Send a part of the body of a response that was started."""
        await self.write_events(h11.Data(data))

    def encode(self, data: bytes) -> bytes:
        """Return a part of the body of a response that was started, as it is to be sent."""
        return self.connection.parser.send(h11.Data(data)) or b""

    async def finish(self) -> None:
        """End the body of a response that was started; the client reads it as complete."""
        await self.write_events(h11.EndOfMessage())
        self.has_finished = True

    def with_connection_header(self, headers: Headers) -> list[tuple[bytes, bytes]]:
        """Return the headers to send, with ``Connection: close`` if this is the last response."""
        if self.connection.closes_after_response():
            headers = (*headers, ("Connection", "close"))
        return encode_headers(headers)

    async def write_events(self, *events: h11.Event) -> None:
        """Serialize ``h11`` events and send them together."""
        self.has_started = True
        parts = [self.connection.parser.send(event) for event in events]
        await self.connection.send(b"".join(part for part in parts if part))


Handler = Callable[[Request, Responder], Awaitable[None]]


class ServerConnection:
    """Connection of one client.

    Args:
        server: Server that accepted the connection.
        stream: Stream of the connection.

    Attributes:
        is_busy: Whether the handler of a request is running.
        is_idle: Whether the connection waits for a request and has received no byte of it.
        opened_at_s: Time at which the connection was accepted, on the event loop's clock.
        is_rejected: Whether a request was rejected, so that the connection is closed.
        pipelined_data: Bytes of later requests that were received while a handler was running.
        body: Bytes of the current request's body, which are held until it is answered.
        is_head_request: Whether the current request has the method HEAD.
        work: Measures the work that the bodies of requests cause.
    """

    def __init__(self, server: "HttpServer", stream: ByteStream) -> None:
        self.server = server
        self.stream = stream
        self.limits = server.get_limits()
        self.parser = self.new_parser()
        self.is_busy = False
        self.is_idle = True
        self.opened_at_s = anyio.current_time()
        self.is_rejected = False
        self.pipelined_data = b""
        self.body: PendingBytes | None = None
        self.is_head_request = False
        self.work = WorkMeter(server.work_budget)

    def has_open_request(self) -> bool:
        """Return whether a request is being handled, is being read, or waits to be read."""
        if self.is_busy or not self.is_idle:
            return True
        return not self.stream.closed and self.stream.has_data()

    def new_parser(self) -> h11.Connection:
        """Return a parser with the limit on the size of heads."""
        return h11.Connection(h11.SERVER, self.limits.max_header_bytes)

    def closes_after_response(self) -> bool:
        """Return whether the connection is closed after the current response."""
        return (
            self.server.is_draining
            or self.is_rejected
            or self.parser.their_state in (h11.MUST_CLOSE, h11.ERROR)
        )

    async def run(self) -> None:
        """Handle requests until the client or the server closes the connection."""
        while True:
            try:
                request = await self.read_request()
            except RequestRejectedError as rejection:
                await self.reject(rejection)
                return
            if request is None or not await self.handle_request(request):
                return
            self.release_body()
            self.limits = self.server.get_limits()
            self.parser.start_next_cycle()

    def record_body_data(self, size: int) -> None:
        """Record that a body has been received up to a size, which may exceed what is counted."""
        assert self.body is not None
        self.body.progress_s = anyio.current_time()
        if size > self.body.size:
            self.server.budget.grow(self.body, size - self.body.size)

    def release_body(self) -> None:
        """Count the body of the current request as no longer held."""
        if self.body is not None:
            self.server.budget.end(self.body)
            self.body = None

    async def send(self, data: bytes) -> None:
        """Send bytes to the client; they count as held until the kernel has taken them."""
        budget = self.server.budget
        write = budget.begin(len(data), self.cut_off)

        def record_progress() -> None:
            write.progress_s = anyio.current_time()

        try:
            await self.stream.send(data, record_progress)
        finally:
            budget.end(write)

    def cut_off(self) -> None:
        """Reset the connection of a client that has stopped in its request or its response."""
        log.warning("slow client cut off", client=self.stream.remote_address)
        self.stream.reset()

    async def reject(self, rejection: RequestRejectedError) -> None:
        """Send an error response if still possible, then drop input until EOF or the timeout."""
        self.is_rejected = True
        self.release_body()
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            body = f"{rejection.reason}\n".encode()
            headers = (("Content-Type", "text/plain"),)
            response = rejection.response or Response(rejection.status, headers, body)
            await Responder(self).send(response)
        self.stream.send_eof()
        with anyio.move_on_after(LINGER_TIMEOUT_S):
            while await self.stream.receive():
                pass

    async def read_request(self) -> Request | None:
        """Return the next complete request, or None if the connection ended.

        Raises:
            RequestRejectedError: The request is invalid, too large or too slow.
            OSError: The connection failed.
        """
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
        """Return the next request's head, or None if the connection ended.

        Raises:
            RequestRejectedError: The head is invalid, too large or too slow.
        """
        self.is_idle = not self.pipelined_data and not self.parser.trailing_data[0]
        if self.is_idle and not await self.wait_for_request():
            return None
        self.is_idle = False
        with anyio.move_on_after(self.limits.header_timeout_s):
            while True:
                event = self.next_event()
                if isinstance(event, h11.Request):
                    self.is_head_request = event.method == b"HEAD"
                    self.check_head_size(event)
                    return event
                if event is not h11.NEED_DATA or not await self.feed_parser():
                    return None
        raise RequestRejectedError(408, "the request's head took too long")

    def check_head_size(self, head: h11.Request) -> None:
        """Check the size of a head; the parser checks only heads that arrive in several parts.

        Raises:
            RequestRejectedError: The head is too large.
        """
        size = len(head.method) + len(head.target)
        size += sum(len(name) + len(value) for name, value in head.headers)
        if size > self.limits.max_header_bytes:
            limit = self.limits.max_header_bytes
            raise RequestRejectedError(431, f"a request's head may have {limit} bytes")

    async def wait_for_request(self) -> bool:
        """Wait for the first bytes of a request; return False at EOF or the idle timeout."""
        with anyio.move_on_after(self.limits.idle_timeout_s):
            return await self.feed_parser()
        return False

    async def feed_parser(self) -> bool:
        """Pass pipelined or newly received data to the parser; return False at EOF."""
        if self.pipelined_data:
            data, self.pipelined_data = self.pipelined_data, b""
        else:
            data = await self.stream.receive()
        self.parser.receive_data(data)
        return bool(data)

    def next_event(self) -> object:
        """Return the parser's next event.

        Raises:
            RequestRejectedError: The input is not a valid HTTP request.
        """
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestRejectedError(error.error_status_hint, str(error)) from error

    async def read_body(self, head: h11.Request) -> bytes:
        """Return the complete body of a request.

        Raises:
            RequestRejectedError: The body is invalid, too large or too slow.
            ConnectionAbortedError: The client disconnected before the body was complete.
        """
        parts: list[bytes] = []
        size = 0
        limit = self.limits.max_body_bytes
        declared_length = dict(head.headers).get(b"content-length", b"0")
        if int(declared_length) > limit:
            raise RequestRejectedError(413, f"a body may have {limit} bytes")
        await self.wait_for_room(head, int(declared_length), int(declared_length))
        self.body = self.server.budget.begin(int(declared_length), self.cut_off)
        if self.parser.they_are_waiting_for_100_continue:
            await self.stream.send(
                self.parser.send(h11.InformationalResponse(status_code=100, headers=[])) or b""
            )
        while True:
            event = self.next_event()
            if isinstance(event, h11.EndOfMessage):
                self.server.budget.settle(self.body)
                return b"".join(parts)
            if isinstance(event, h11.Data):
                size += len(event.data)
                await self.work.record(len(event.data))
                self.record_body_data(size)
                parts.append(bytes(event.data))
                if size > limit:
                    raise RequestRejectedError(413, f"a body may have {limit} bytes")
                if size > int(declared_length):
                    await self.wait_for_room(head, 0, size)
                continue
            if not await self.feed_parser_body():
                raise ConnectionAbortedError(
                    "the client disconnected before the request body was complete"
                )

    async def wait_for_room(self, head: h11.Request, size: int, body_size: int) -> None:
        """Wait until the budget has room for more of a body.

        Raises:
            RequestRejectedError: There is no room; the client may send the request again later.
        """
        server = self.server
        if not body_size or not server.refuses_bodies:
            return
        if not server.budget.missing_bytes(size, body_size):
            return
        if await server.budget.wait_for_room(size, body_size, ROOM_TIMEOUT_S):
            return
        headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in head.headers.raw_items()
        )
        raise RequestRejectedError(503, "no room for the body", server.overload_response(headers))

    async def feed_parser_body(self) -> bool:
        """Pass data of a body to the parser; return False at EOF.

        Raises:
            RequestRejectedError: No data was received within the body timeout.
        """
        with anyio.move_on_after(self.limits.body_timeout_s):
            return await self.feed_parser()
        raise RequestRejectedError(408, "the request's body took too long")

    async def handle_request(self, request: Request) -> bool:
        """Run the handler and return whether the connection can be reused.

        An incomplete response ends in a reset, so that the client can't take it as complete.
        """
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
        """Run the handler; if the client's connection fails, the response counts as unfinished.

        An unexpected error of the handler fails this request only.
        """
        try:
            await self.answer(request, responder)
        except OSError:
            # The handler's connections to other servers raise typed errors, so this OSError is from
            # the client's connection.
            responder.has_finished = False

    async def answer(self, request: Request, responder: Responder) -> None:
        """Have the handler answer a request; after an unexpected error, send an error response."""
        try:
            await self.server.handler(request, responder)
        except OSError:
            raise
        except Exception:
            response = self.server.fault_response(request)
            if not responder.has_started:
                await responder.send(response)

    async def watch_for_disconnect(self, scope: anyio.CancelScope) -> None:
        """Cancel the handler when the client disconnects; buffer pipelined requests meanwhile."""
        try:
            while len(self.pipelined_data) < MAX_PIPELINED_BYTES:
                data = await self.stream.receive()
                if not data:
                    break
                self.pipelined_data += data
            else:
                await anyio.sleep_forever()
        except OSError:
            # After a reset, as after EOF, the client doesn't wait for the response.
            pass
        scope.cancel()


def check_framing(head: h11.Request) -> None:
    """Reject a head with ambiguous body framing, which permits request smuggling.

    Raises:
        RequestRejectedError: The head has both Content-Length and Transfer-Encoding.
    """
    names = [name for name, _ in head.headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestRejectedError(400, "a body has either a length or chunks")
