"""Switch a stand-in's flaws while it runs: ``GET`` and ``PUT /flaws``."""

from dataclasses import fields
from typing import Any

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from balsamcleat.errors import InvalidInputError

__all__ = ["flaws_route", "set_flaws"]


def set_flaws(flaws: Any, encoded: bytes) -> None:
    """Change the flaws that the JSON object names; the others stay.

    Args:
        flaws: A data class of flaws.
        encoded: The JSON object.

    Raises:
        InvalidInputError: It names a flaw that is not known, or gives a wrong value.
    """
    step = "flaws.set"
    try:
        given = msgspec.json.decode(encoded, type=dict[str, msgspec.Raw])
        known = {field.name: field.type for field in fields(flaws)}
        for name in given.keys() - known.keys():
            allowed = ", ".join(sorted(known))
            raise InvalidInputError(f"there is no flaw {name!r}; there are {allowed}", step=step)
        values = {
            name: msgspec.json.decode(value, type=type(getattr(flaws, name)))
            for name, value in given.items()
        }
    except msgspec.DecodeError as error:
        raise InvalidInputError(f"not valid flaws: {error}", step=step) from error
    for name, value in values.items():
        setattr(flaws, name, value)


def flaws_route(flaws: Any) -> Route:
    """Return the route that shows and changes a stand-in's flaws."""

    async def handle(request: Request) -> Response:
        if request.method == "PUT":
            try:
                set_flaws(flaws, await request.body())
            except InvalidInputError as error:
                return Response(error.message, status_code=400)
        return Response(msgspec.json.encode(flaws), media_type="application/json")

    return Route("/flaws", handle, methods=["GET", "PUT"])
