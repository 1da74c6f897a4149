"""Minimal HTTP/1.1 server and client for the stand-ins of the review; standard library only."""

import asyncio
import json
from dataclasses import dataclass, field

__all__ = ["BrokenChannel", "Channel", "Reply", "Request", "ask", "serve"]

MAX_LINE_BYTES = 1 << 20


class BrokenChannel(Exception):
    """The channel ended or failed before a whole answer arrived."""


@dataclass
class Request:
    """Request that a stand-in received, and the streams of its channel."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    @property
    def path(self) -> str:
        return self.target.partition("?")[0]


@dataclass
class Reply:
    """Response with its whole body; header names are in lower case when it was received."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def of_json(cls, status: int, document: object) -> "Reply":
        return cls(status, json.dumps(document).encode(), {"Content-Type": "application/json"})


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    line = (await reader.readline()).decode("latin-1").rstrip("\r\n")
    headers: dict[str, str] = {}
    while True:
        raw = await reader.readline()
        if not raw.endswith(b"\n"):
            raise BrokenChannel("the head is incomplete")
        text = raw.decode("latin-1").strip()
        if not text:
            return line, headers
        name, _, value = text.partition(":")
        headers[name.strip().lower()] = value.strip()


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], *, until_end: bool
) -> bytes:
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"x", 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def encode_reply(reply: Reply) -> bytes:
    head = [f"HTTP/1.1 {reply.status} X"]
    head += [f"{name}: {value}" for name, value in reply.headers.items()]
    head.append(f"Content-Length: {len(reply.body)}")
    return "\r\n".join(head).encode("latin-1") + b"\r\n\r\n" + reply.body


async def serve(ip: str, port: int, handler) -> asyncio.Server:
    """Serve requests; a handler returns a ``Reply``, or None after it has used the writer."""

    async def converse(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers, until_end=False)
                reply = await handler(Request(method, target, headers, body, reader, writer))
                if reply is None:
                    return
                writer.write(encode_reply(reply))
                await writer.drain()
        except (BrokenChannel, OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(converse, ip, port, limit=MAX_LINE_BYTES)


class Channel:
    """Channel of a requester to one address, which may be kept for several requests."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def open(self, timeout_s: float = 1.0) -> None:
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(host, int(port), limit=MAX_LINE_BYTES), timeout_s
        )

    async def ask(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Reply:
        """Send one request and return its whole answer.

        Raises:
            BrokenChannel: The channel ended without a whole answer.
        """
        assert self.reader is not None and self.writer is not None
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self.writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)
            await self.writer.drain()
            line, found = await read_head(self.reader)
            status = int(line.split(" ")[1])
            answer = await read_body(self.reader, found, until_end=True)
        except (OSError, ValueError, IndexError, asyncio.IncompleteReadError) as error:
            raise BrokenChannel(f"{type(error).__name__}: {error}") from error
        return Reply(status, answer, found)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


async def ask(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Reply:
    """Send one request on a new channel and return its whole answer.

    Raises:
        BrokenChannel: No channel, no whole answer, or none in time.
    """
    channel = Channel(address)
    try:
        await channel.open()
        return await asyncio.wait_for(channel.ask(method, target, headers, body), timeout_s)
    except (OSError, TimeoutError) as error:
        raise BrokenChannel(f"{type(error).__name__}: {error}") from error
    finally:
        channel.close()
