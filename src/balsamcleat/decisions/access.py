"""Decide who a request comes from and what it may do."""

import hashlib
from dataclasses import dataclass
from enum import Enum

from balsamcleat.configuration import Configuration, RoleName
from balsamcleat.model import TeamName

__all__ = ["AccessControl", "Area", "Principal"]

BOOTSTRAP_TEAM = TeamName("bootstrap")
ANONYMOUS_TEAM = TeamName("anonymous")


class Area(Enum):
    """The parts of the HTTP face, by who uses them."""

    CALLS = "calls"
    ROLLOUTS = "rollouts"
    READ = "read"
    OPERATE = "operate"
    HEALTH = "health"


# Which roles open which area; health is open to the platform's balancer, which has no token.
ROLES_BY_AREA = {
    Area.CALLS: frozenset({RoleName.CALLER}),
    Area.ROLLOUTS: frozenset({RoleName.TRAINER}),
    Area.READ: frozenset({RoleName.OPERATOR, RoleName.VIEWER}),
    Area.OPERATE: frozenset({RoleName.OPERATOR}),
}


@dataclass(frozen=True, slots=True)
class Principal:
    """Who a request comes from.

    Attributes:
        team: The team; names the author in the audit trail.
        roles: What it may do.
        services: Services it may call; empty for all.
        deployments: Deployments it may train; None for all.
    """

    team: TeamName
    roles: frozenset[RoleName]
    services: frozenset[str] = frozenset()
    deployments: frozenset[str] | None = None

    def can_access(self, area: Area) -> bool:
        """Return whether it may use an area at all."""
        return area is Area.HEALTH or bool(self.roles & ROLES_BY_AREA[area])

    def can_call(self, service: str) -> bool:
        """Return whether it may call a service."""
        return not self.services or service in self.services

    def can_train(self, deployment: str) -> bool:
        """Return whether the deployment is its own."""
        return self.deployments is None or deployment in self.deployments


ANONYMOUS = Principal(ANONYMOUS_TEAM, frozenset(RoleName))


class AccessControl:
    """Knows the teams' tokens by their digests; no token itself is kept.

    Args:
        allow_anonymous: Let everybody do everything, for loopback only.
        bootstrap_token_sha256: Digest of the token that opens the operators' area while the
            configuration names no operator with a token.
    """

    def __init__(self, *, allow_anonymous: bool, bootstrap_token_sha256: str | None) -> None:
        self.allow_anonymous = allow_anonymous
        self.bootstrap_token_sha256 = bootstrap_token_sha256
        self.principals: dict[str, Principal] = {}
        self.has_operator = False

    def configure(self, configuration: Configuration) -> None:
        """Take the teams of a configuration."""
        principals: dict[str, Principal] = {}
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
            for digest in team.token_sha256:
                principals[digest.lower()] = principal
                self.has_operator = self.has_operator or RoleName.OPERATOR in team.roles
        self.principals = principals

    def authenticate(self, authorization: str | None) -> Principal | None:
        """Return who the header's bearer token belongs to, or None for nobody.

        Args:
            authorization: The ``Authorization`` header, if there is one.
        """
        scheme, _, token = (authorization or "").partition(" ")
        if scheme.lower() == "bearer" and token:
            # Looking a digest up tells nothing of the token by its timing.
            digest = hashlib.sha256(token.strip().encode()).hexdigest()
            principal = self.principals.get(digest)
            if principal is not None:
                return principal
            if digest == self.bootstrap_token_sha256 and not self.has_operator:
                return Principal(BOOTSTRAP_TEAM, frozenset({RoleName.OPERATOR}))
        return ANONYMOUS if self.allow_anonymous else None
