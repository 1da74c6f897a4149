"""Content of a request, by which it is recognized when it is sent again.

Load pattern: one request is sent again and again, under new ids, through any VM, and behind a load
balancer or from another client of the same caller, so from any address.
"""

from dataclasses import dataclass

import xxhash

__all__ = ["RequestParts", "content_digest", "request_parts"]


def content_digest(*parts: str | bytes) -> str:
    """Return the digest of a request's content.

    The parts are what a retry has in common with the request: neither ids nor addresses.
    """
    digest = xxhash.xxh3_128()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()


@dataclass(frozen=True, slots=True)
class RequestParts:
    """Parts of a request's content, which tell in what two requests differ.

    Attributes:
        caller: IP address of the caller, or the id of a sample.
        path_digest: Digest of the path and query.
        body_digest: Digest of the body.
    """

    caller: str
    path_digest: str
    body_digest: str


def request_parts(caller: str, target: str, body: bytes) -> RequestParts:
    """Return the parts of a request's content."""
    return RequestParts(
        caller, xxhash.xxh3_64_hexdigest(target.encode()), xxhash.xxh3_64_hexdigest(body)
    )
