"""HTTP/1.1 over sockets that this process owns: every byte is counted to one exchange.

A pooled client that hides its connections can't tell a late second answer from the next one and
can't say whether a request has left. This package parses with ``h11`` and owns the sockets.
"""

from balsamcleat.http1.client import ConnectionPool, Exchange, PoolLimits
from balsamcleat.http1.events import EventParser, StreamEvent
from balsamcleat.http1.messages import Headers, Request, Response, header_value, without_headers
from balsamcleat.http1.server import Handler, HttpServer, Responder, ServerLimits
from balsamcleat.http1.streams import ByteStream, connect, listen

__all__ = [
    "ByteStream",
    "ConnectionPool",
    "EventParser",
    "Exchange",
    "Handler",
    "Headers",
    "HttpServer",
    "PoolLimits",
    "Request",
    "Responder",
    "Response",
    "ServerLimits",
    "StreamEvent",
    "connect",
    "header_value",
    "listen",
    "without_headers",
]
