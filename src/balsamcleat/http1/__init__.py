"""HTTP/1.1 client and server on sockets of their own, so that each byte belongs to one exchange.

An HTTP client that hides its pooled connections can't distinguish a late second response from the
response to the next request, and can't report whether a request may have been sent. This package
parses messages with ``h11`` and handles the sockets itself.
"""

from balsamcleat.http1.addresses import parse_address
from balsamcleat.http1.buffered_writer import BufferedWriter, ReaderTooSlowError
from balsamcleat.http1.byte_budget import ByteBudget
from balsamcleat.http1.connection_pool import CONNECT_STEP, ConnectionPool, PoolLimits
from balsamcleat.http1.events import EventParser, EventTooLargeError, StreamEvent
from balsamcleat.http1.exchange import Exchange
from balsamcleat.http1.idle_watch import IdleWatch
from balsamcleat.http1.messages import (
    Headers,
    Request,
    Response,
    has_valid_field,
    header_text,
    header_value,
    is_final_status,
    is_success,
    is_visible_ascii,
    text_of_header,
    without_headers,
)
from balsamcleat.http1.server import HttpServer
from balsamcleat.http1.server_connection import Handler, Responder, ServerLimits
from balsamcleat.http1.streams import ByteStream, connect, listen
from balsamcleat.http1.work_budget import PIECES_PER_TURN, WorkBudget, WorkMeter

__all__ = [
    "CONNECT_STEP",
    "PIECES_PER_TURN",
    "BufferedWriter",
    "ByteBudget",
    "ByteStream",
    "ConnectionPool",
    "EventParser",
    "EventTooLargeError",
    "Exchange",
    "Handler",
    "Headers",
    "HttpServer",
    "IdleWatch",
    "PoolLimits",
    "ReaderTooSlowError",
    "Request",
    "Responder",
    "Response",
    "ServerLimits",
    "StreamEvent",
    "WorkBudget",
    "WorkMeter",
    "connect",
    "has_valid_field",
    "header_text",
    "header_value",
    "is_final_status",
    "is_success",
    "is_visible_ascii",
    "listen",
    "parse_address",
    "text_of_header",
    "without_headers",
]
