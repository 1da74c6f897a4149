"""Problem documents (RFC 9457), the body of every error response."""

import msgspec
from starlette.responses import Response

from balsamcleat.model import Certainty

__all__ = ["Problem", "problem_response"]


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of an error response.

    Attributes:
        title: Short summary of the error.
        status: HTTP status.
        detail: Advice on what to do about the error.
        outcome: ``not run`` or ``outcome unknown`` for calls.
        faults: Path and problem of each invalid input.
    """

    title: str
    status: int
    detail: str = ""
    outcome: str | None = None
    faults: tuple[str, ...] = ()


def problem_response(
    status: int,
    title: str,
    detail: str = "",
    *,
    certainty: Certainty | None = None,
    faults: tuple[str, ...] = (),
    retry_after_s: int | None = None,
) -> Response:
    """Return an error response with a problem document.

    Args:
        status: HTTP status.
        title: Short summary of the error.
        detail: Advice on what to do about the error.
        certainty: Whether the request may have run.
        faults: Path and problem of each invalid input.
        retry_after_s: Delay before a retry, in seconds.
    """
    problem = Problem(
        title=title,
        status=status,
        detail=detail,
        outcome=None if certainty is None else certainty.value,
        faults=faults,
    )
    headers = {} if retry_after_s is None else {"retry-after": str(retry_after_s)}
    return Response(
        msgspec.json.encode(problem),
        status_code=status,
        headers=headers,
        media_type="application/problem+json",
    )
