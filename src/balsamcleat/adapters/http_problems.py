"""Problem documents for malformed requests, which hypercorn rejects itself."""

import h11
import hypercorn.protocol
import msgspec
from hypercorn.protocol.h11 import H11Protocol

__all__ = ["install_problem_protocol"]

TITLES = {
    400: "the request is not well-formed HTTP",
    431: "the request's headers are too large",
    501: "the request uses a transfer coding that is not taken here",
}


class ProblemProtocol(H11Protocol):
    """hypercorn's HTTP/1.1 protocol, with a problem document as the body of its rejections."""

    async def _send_error_response(self, status_code: int) -> None:
        title = TITLES.get(status_code, TITLES[400])
        document = {"title": title, "status": status_code, "outcome": "not run"}
        body = msgspec.json.encode(document)
        headers = [
            (b"content-type", b"application/problem+json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
            *self.config.response_headers("h11"),
        ]
        await self._send_h11_event(h11.Response(status_code=status_code, headers=headers))
        await self._send_h11_event(h11.Data(data=body))
        await self._send_h11_event(h11.EndOfMessage())


def install_problem_protocol() -> None:
    """Replace hypercorn's protocol class, because hypercorn has no setting for it."""
    vars(hypercorn.protocol)["H11Protocol"] = ProblemProtocol
