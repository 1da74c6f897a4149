"""HTTP interface for the load balancer: whether this VM takes new requests."""

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from balsamcleat.api.problems import problem_response

__all__ = ["HealthApi"]


class HealthApi:
    """Answers the load balancer's health checks, which carry no token.

    Args:
        is_leaving: Returns whether this VM is leaving.
    """

    def __init__(self, is_leaving: Callable[[], bool]) -> None:
        self.is_leaving = is_leaving

    def routes(self) -> list[Route]:
        """Return the routes."""
        return [Route("/v1/health", self.get_health)]

    async def get_health(self, request: Request) -> Response:
        """Answer 200, or 503 once this VM is leaving."""
        if self.is_leaving():
            return problem_response(503, "this node leaves", "send requests to another one")
        return Response(status_code=200)
