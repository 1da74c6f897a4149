"""Authentication and authorization of requests by their bearer token."""

from starlette.requests import Request
from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

from balsamcleat.api.problems import problem_response
from balsamcleat.decisions.access import AccessControl, Area, Principal
from balsamcleat.model import Certainty
from balsamcleat.ports import Metrics
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper

__all__ = ["AccessGuard", "area_of", "author_of", "principal_of"]

STATE_KEY = "balsamcleat.principal"


def area_of(method: str, path: str) -> Area:
    """Return the area that a request belongs to; unknown paths belong to the operators."""
    if path.startswith(("/v1/completions", "/v1/services/")):
        return Area.CALLS
    if path.startswith("/v1/deployments/"):
        return Area.ROLLOUTS
    if path == "/v1/health":
        return Area.HEALTH
    return Area.READ if method in ("GET", "HEAD") else Area.OPERATE


def principal_of(request: Request) -> Principal:
    """Return the principal that sent the request."""
    principal: Principal = request.scope[STATE_KEY]
    return principal


def author_of(request: Request) -> str:
    """Return the author for the audit trail: the team, and the person that the request names."""
    team = principal_of(request).team
    person = request.headers.get("x-author", "")
    return f"{team}/{person}" if person else team


class AccessGuard:
    """Rejects requests without a known token with 401, and those without the role with 403.

    Args:
        app: Application that answers authorized requests.
        access: Authenticates tokens and authorizes principals.
        keeper: Configuration in force.
        metrics: Receiver of counters.
    """

    def __init__(
        self, app: ASGIApp, access: AccessControl, keeper: ConfigurationKeeper, metrics: Metrics
    ) -> None:
        self.app = app
        self.access = access
        self.keeper = keeper
        self.metrics = metrics
        self.configured_version = -1

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Authorize the request and pass it to the application."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        rejection = self.authorize(scope)
        await (rejection or self.app)(scope, receive, send)

    def authorize(self, scope: Scope) -> Response | None:
        """Return the error response, or None after storing the principal in the scope."""
        self.follow_configuration()
        area = area_of(scope["method"], scope["path"])
        principal = self.access.authenticate(authorization_header(scope))
        if principal is None and area is not Area.HEALTH:
            self.metrics.count("access.unknown")
            return problem_response(
                401,
                "who are you?",
                "send 'Authorization: Bearer TOKEN' with a token of a team",
                certainty=Certainty.NOT_RUN,
            )
        if principal is not None and not principal.can_access(area):
            self.metrics.count("access.forbidden")
            return problem_response(
                403,
                f"team {principal.team!r} may not do this",
                f"it needs a role for {area.value}; an operator can give it one",
                certainty=Certainty.NOT_RUN,
            )
        scope[STATE_KEY] = principal
        return None

    def follow_configuration(self) -> None:
        """Apply the teams of the configuration in force, once for each version."""
        current = self.keeper.current
        if current.version != self.configured_version:
            self.access.configure(current.body)
            self.configured_version = current.version


def authorization_header(scope: Scope) -> str | None:
    """Return the value of the ``Authorization`` header, or None if there is none."""
    for name, value in scope["headers"]:
        if name == b"authorization":
            return str(value, "latin-1")
    return None
