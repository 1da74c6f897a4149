"""Authentication and authorization of HTTP requests by teams' bearer tokens."""

from dataclasses import dataclass
from enum import Enum

from balsamcleat.configuration import Configuration, RoleName
from balsamcleat.model import TeamName
from balsamcleat.model.team_keys import KeyIndex, bearer_key_digest

__all__ = ["AccessControl", "Area", "Principal"]

BOOTSTRAP_TEAM = TeamName("bootstrap")
ANONYMOUS_TEAM = TeamName("anonymous")


class Area(Enum):
    """Areas of the HTTP API, by their users."""

    CALLS = "calls"
    ROLLOUTS = "rollouts"
    READ = "read"
    OPERATE = "operate"
    HEALTH = "health"


# Roles that grant access to each area. Health is open without a token, because the platform's load
# balancer has none.
ROLES_BY_AREA = {
    Area.CALLS: frozenset({RoleName.CALLER}),
    Area.ROLLOUTS: frozenset({RoleName.TRAINER}),
    Area.READ: frozenset({RoleName.OPERATOR, RoleName.VIEWER}),
    Area.OPERATE: frozenset({RoleName.OPERATOR}),
}


@dataclass(frozen=True, slots=True)
class Principal:
    """The authenticated sender of a request.

    Attributes:
        team: Team of the sender; the author in the audit trail.
        roles: Roles of the team.
        services: Services that the team may call; empty for all.
        deployments: Deployments that the team may train; None for all.
    """

    team: TeamName
    roles: frozenset[RoleName]
    services: frozenset[str] = frozenset()
    deployments: frozenset[str] | None = None

    def can_access(self, area: Area) -> bool:
        """Return whether the principal may use an area of the API."""
        return area is Area.HEALTH or bool(self.roles & ROLES_BY_AREA[area])

    def can_call(self, service: str) -> bool:
        """Return whether the principal may call a service."""
        return not self.services or service in self.services

    def can_train(self, deployment: str) -> bool:
        """Return whether the principal may train a deployment."""
        return self.deployments is None or deployment in self.deployments


ANONYMOUS = Principal(ANONYMOUS_TEAM, frozenset(RoleName))


class AccessControl:
    """Authenticates requests by the digests of the teams' tokens; the tokens are not stored.

    Args:
        allow_anonymous: Whether requests without a known token may do everything; for loopback
            only.
        bootstrap_token_sha256: Digest of the token that grants access to the operators' area
            while the configuration contains no operator with a token.
    """

    def __init__(self, *, allow_anonymous: bool, bootstrap_token_sha256: str | None) -> None:
        self.allow_anonymous = allow_anonymous
        self.bootstrap_token_sha256 = bootstrap_token_sha256
        self.principals: KeyIndex[Principal] = KeyIndex()
        self.has_operator = False

    def configure(self, configuration: Configuration) -> None:
        """Apply the teams of a configuration."""
        principals: list[tuple[Principal, tuple[str, ...]]] = []
        self.has_operator = False
        for name, team in configuration.teams.items():
            deployments = frozenset(
                deployment
                for deployment, entry in configuration.deployments.items()
                if entry.team == name
            )
            principal = Principal(
                TeamName(name), frozenset(team.roles), frozenset(team.services), deployments
            )
            principals.append((principal, tuple(team.token_sha256)))
            if team.token_sha256 and RoleName.OPERATOR in team.roles:
                self.has_operator = True
        self.principals = KeyIndex(principals)

    def authenticate(self, authorization: str | None) -> Principal | None:
        """Return the principal of the header's bearer token.

        For an unknown or missing token that is the anonymous principal if the settings allow it,
        otherwise None.

        Args:
            authorization: Value of the ``Authorization`` header, if the request has one.
        """
        digest = bearer_key_digest(authorization)
        principal = self.principals.find(digest)
        if principal is not None:
            return principal
        if digest is not None and digest == self.bootstrap_token_sha256 and not self.has_operator:
            return Principal(BOOTSTRAP_TEAM, frozenset({RoleName.OPERATOR}))
        return ANONYMOUS if self.allow_anonymous else None
