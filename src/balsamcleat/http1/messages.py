"""HTTP requests and responses, and functions that read and filter their headers."""

import re
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "HOP_BY_HOP",
    "Headers",
    "Request",
    "Response",
    "encode_headers",
    "has_valid_field",
    "header_text",
    "header_value",
    "is_final_status",
    "is_success",
    "is_visible_ascii",
    "text_of_header",
    "without_headers",
]

FIRST_SUCCESS_STATUS = 200
FIRST_REDIRECT_STATUS = 300
# The first status that is not defined (RFC 9110, section 15).
FIRST_UNDEFINED_STATUS = 600

# Header names keep their received case, so that they are forwarded unchanged. Compare them
# case-insensitively. Each character of a value is one byte on the wire, as in Latin-1; text that
# does not come from a header becomes such a value by ``header_text``.
Headers = tuple[tuple[str, str], ...]

# Forms of a field name and value (RFC 9110, section 5), and of a request target.
FIELD_NAME = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
FIELD_VALUE = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
VISIBLE_ASCII = re.compile(r"[\x21-\x7e]+")

# Headers that apply to a single connection and are not forwarded (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@dataclass(frozen=True, slots=True)
class Request:
    """Complete HTTP request, received or to be sent.

    Attributes:
        method: HTTP method, as received.
        target: Request target (path and query), as received and still percent-encoded.
        headers: Header fields, in the received order.
        body: Body without its chunked transfer coding.
        received_at_s: Time at which the last byte was read, in seconds of the event loop's clock.
        client_address: IP address of the caller.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    received_at_s: float = 0.0
    client_address: str = ""

    @property
    def path(self) -> str:
        """Path of the request target, without the query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """Host of the ``Host`` header, in lower case and without the port."""
        return (header_value(self.headers, "host") or "").partition(":")[0].lower()

    @property
    def query(self) -> str:
        """Query of the request target, without the question mark and still percent-encoded."""
        return self.target.partition("?")[2]


@dataclass(frozen=True, slots=True)
class Response:
    """Complete HTTP response."""

    status: int
    headers: Headers = ()
    body: bytes = b""


def is_final_status(status: int) -> bool:
    """Return whether a response may end an exchange with a status code."""
    return FIRST_SUCCESS_STATUS <= status < FIRST_UNDEFINED_STATUS


def is_success(status: int) -> bool:
    """Return whether a status code says that the request was carried out."""
    return FIRST_SUCCESS_STATUS <= status < FIRST_REDIRECT_STATUS


def header_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None; the name is case-insensitive."""
    lower_name = name.lower()
    for key, value in headers:
        if key.lower() == lower_name:
            return value
    return None


def header_text(text: str) -> str:
    """Return the header value that stands for a text: the bytes of its encoding in UTF-8."""
    return text if text.isascii() else text.encode("utf-8", "replace").decode("latin-1")


def text_of_header(value: str) -> str:
    """Return the text that a header value stands for; the inverse of ``header_text``."""
    return value.encode("latin-1", "replace").decode("utf-8", "replace")


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return headers as they are on the wire.

    Raises:
        UnicodeEncodeError: A name or a value has a character that is no byte.
    """
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]


def has_valid_field(name: str, value: str) -> bool:
    """Return whether a name and a text can be sent as a header."""
    return bool(FIELD_NAME.fullmatch(name) and FIELD_VALUE.fullmatch(value))


def is_visible_ascii(text: str) -> bool:
    """Return whether a text can be sent as the target of a request, or as an id in a header."""
    return VISIBLE_ASCII.fullmatch(text) is not None


def without_headers(headers: Headers, names: Iterable[str]) -> Headers:
    """Return the headers except those in ``names``, which are in lower case."""
    excluded_names = frozenset(names)
    return tuple((key, value) for key, value in headers if key.lower() not in excluded_names)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers to forward: neither hop-by-hop nor listed in ``Connection``."""
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for token in value.split(",")
    }
    return without_headers(headers, HOP_BY_HOP | connection_options)
