"""Requests and responses as the HTTP/1.1 package hands them out."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["HOP_BY_HOP", "Headers", "Request", "Response", "header_value", "without_headers"]

# Names as received, so that they can be passed on unchanged; compare them without case.
Headers = tuple[tuple[str, str], ...]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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
    """A whole request.

    Attributes:
        method: As received.
        target: Path and query as received, undecoded.
        headers: As received.
        body: The body, decoded from chunks.
        received_at_s: When its last byte was read, on the process's clock.
        peer: Address of the caller.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""
    received_at_s: float = 0.0
    client_address: str = ""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def host(self) -> str:
        """The host that the request names, in lower case and without its port."""
        return (header_value(self.headers, "host") or "").partition(":")[0].lower()

    @property
    def query(self) -> str:
        """What follows the question mark, undecoded."""
        return self.target.partition("?")[2]


@dataclass(frozen=True, slots=True)
class Response:
    """A whole response."""

    status: int
    headers: Headers = ()
    body: bytes = b""


def header_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None; names compare without case."""
    wanted = name.lower()
    for key, value in headers:
        if key.lower() == wanted:
            return value
    return None


def without_headers(headers: Headers, names: Iterable[str]) -> Headers:
    """Return the headers but for those named in lower case."""
    dropped = frozenset(names)
    return tuple((key, value) for key, value in headers if key.lower() not in dropped)


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    named = {
        token.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for token in value.split(",")
    }
    return without_headers(headers, HOP_BY_HOP | named)
