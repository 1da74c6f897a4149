"""How stand-ins answer."""

import msgspec
from starlette.responses import Response

__all__ = ["reply"]


def reply(message: object) -> Response:
    """Return a JSON response."""
    return Response(msgspec.json.encode(message), media_type="application/json")
