"""Which team a request or a step belongs to, and whether a request is refused for its key.

Failures: operators add and remove keys while callers and trainers send requests, so a VM meets keys
that are newer or older than its configuration. A VM that is cut off from the store can't tell an
invalid key from one that was added since, so it must not tell the caller that the key is invalid.
A step outlives its key, and may have been stored by a build that knew no teams.
"""

from dataclasses import dataclass, replace
from enum import Enum

from balsamcleat.decisions.readiness import StoreView, should_ask_peers
from balsamcleat.model import KeyDigest, TeamName
from balsamcleat.model.routing import Route, RoutingTable, TeamSpec

__all__ = [
    "Access",
    "KeyRefusal",
    "StepSubmitter",
    "StepTeam",
    "decide_access",
    "is_configuration_current",
    "route_for_team",
    "team_of_step",
]


class KeyRefusal(Enum):
    """Why a request is refused for its key."""

    MISSING = "no key"
    UNKNOWN = "unknown key"
    # The key may have been added by a version that this VM has not received.
    UNCERTAIN = "unknown key, and the configuration may be outdated"

    @property
    def is_temporary(self) -> bool:
        """Whether the same request may be accepted later."""
        return self is KeyRefusal.UNCERTAIN


@dataclass(frozen=True, slots=True)
class Access:
    """Result of the authentication of a request.

    Attributes:
        team: Team that sent the request; None if the request needs no key or is refused.
        refusal: Reason for which the request is refused, or None if it is not.
    """

    team: TeamSpec | None = None
    refusal: KeyRefusal | None = None

    @property
    def team_name(self) -> TeamName | None:
        """Name of the team that sent the request, if it has one."""
        return None if self.team is None else self.team.name


@dataclass(frozen=True, slots=True)
class StepSubmitter:
    """What is known about the sender of a step's submission.

    Attributes:
        team: Name of the team; empty if no key was checked.
        key_digest: Digest of the submission's key if no key was checked; empty if there was none.
    """

    team: str = ""
    key_digest: str = ""


@dataclass(frozen=True, slots=True)
class StepTeam:
    """Team of a step.

    Attributes:
        name: Name of the team, or None if the step has no team.
        is_certain: Whether the team is known; if not, the step has a key that no team has.
    """

    name: TeamName | None
    is_certain: bool = True


def is_configuration_current(confirmed_age_s: float, store: StoreView, apply_s: float) -> bool:
    """Return whether this VM has every configuration version that must be in force by now.

    Args:
        confirmed_age_s: Time since a read showed that there is no newer version, in seconds.
        store: How this VM reaches the store, directly or through other VMs.
        apply_s: Time within which a version must be in force at every VM, in seconds.
    """
    return confirmed_age_s <= apply_s and not should_ask_peers(store)


def decide_access(
    table: RoutingTable, digest: KeyDigest | None, *, is_public: bool, is_current: bool
) -> Access:
    """Return the team that sent a request, or why the request is refused.

    Args:
        table: Configuration in force.
        digest: Digest of the request's key, or None if it has no key.
        is_public: Whether the route of the request is public.
        is_current: Whether the configuration is known to be current.
    """
    if is_public or not table.has_teams:
        return Access()
    if digest is None:
        return Access(refusal=KeyRefusal.MISSING)
    team = table.team_of(digest)
    if team is not None:
        return Access(team)
    return Access(refusal=KeyRefusal.UNKNOWN if is_current else KeyRefusal.UNCERTAIN)


def route_for_team(route: Route, team: TeamSpec | None) -> Route:
    """Return the route with the rank of the team's requests."""
    if team is None or team.rank is None or team.rank == route.rank:
        return route
    return replace(route, rank=team.rank)


def team_of_step(submitter: StepSubmitter, route: Route | None, table: RoutingTable) -> StepTeam:
    """Return the team of a step.

    A step whose submission has neither a team nor a key was accepted while no keys were checked. It
    goes on without a team, because no configuration could ever name one.

    Args:
        submitter: Sender of the step's submission.
        route: Route of the step, or None if no route matches it any more.
        table: Configuration in force.
    """
    if submitter.team:
        return StepTeam(TeamName(submitter.team))
    is_public = route is not None and route.public
    if is_public or not table.has_teams or not submitter.key_digest:
        return StepTeam(None)
    team = table.team_of(KeyDigest(submitter.key_digest))
    return StepTeam(None, is_certain=False) if team is None else StepTeam(team.name)
