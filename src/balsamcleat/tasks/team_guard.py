"""Authenticates requests by the keys of teams, and counts the requests of each team."""

from collections.abc import Callable

import structlog

from balsamcleat.decisions.team_access import Access, KeyRefusal, decide_access
from balsamcleat.http1 import Request, Responder, Response
from balsamcleat.model import TeamName
from balsamcleat.model.routing import RoutingTable
from balsamcleat.model.team_keys import bearer_key_digest, loggable_digest
from balsamcleat.platform import authorization, key_refusal_headers, request_id
from balsamcleat.ports.metrics import Metrics

__all__ = ["TeamGuard"]

UNAUTHORIZED = 401
SERVICE_UNAVAILABLE = 503
# A VM that lost the store finds another way to it within about a second.
RETRY_AFTER_S = 0.5
# Teams that are counted one by one; the others are counted together.
MAX_COUNTED_TEAMS = 100
OTHER_TEAMS = "other"
# Upper limit of the logged age in seconds; that of a configuration that was never confirmed is
# infinite.
MAX_LOGGED_AGE_S = 999.0

log = structlog.get_logger()


class TeamGuard:
    """Authenticates requests, and refuses those without a valid key.

    Args:
        is_current: Returns whether the configuration in force is known to be current.
        confirmed_age_s: Returns the time since the configuration was confirmed, in seconds.
        metrics: Receiver of counters.
    """

    def __init__(
        self,
        is_current: Callable[[], bool],
        confirmed_age_s: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self.is_current = is_current
        self.confirmed_age_s = confirmed_age_s
        self.metrics = metrics
        self.counted_teams: set[TeamName] = set()

    def authenticate(self, request: Request, table: RoutingTable, *, is_public: bool) -> Access:
        """Return the team that sent a request, or why the request is refused."""
        if is_public or not table.has_teams:
            return Access()
        digest = bearer_key_digest(authorization(request.headers))
        return decide_access(table, digest, is_public=False, is_current=self.is_current())

    async def refuse(
        self, request: Request, responder: Responder, table: RoutingTable, refusal: KeyRefusal
    ) -> None:
        """Answer a request without a valid key."""
        status = SERVICE_UNAVAILABLE if refusal.is_temporary else UNAUTHORIZED
        attempt_id = request_id(request.headers)
        digest = bearer_key_digest(authorization(request.headers))
        self.metrics.count("teams.keys.refused")
        # Not a warning: a flood of such requests must not displace the warnings about others.
        log.info(
            "key refused",
            request=attempt_id,
            status=status,
            reason=refusal.value,
            key=loggable_digest(digest),
            version=table.version,
            age_s=round(min(MAX_LOGGED_AGE_S, self.confirmed_age_s()), 2),
        )
        headers = key_refusal_headers(attempt_id, RETRY_AFTER_S if refusal.is_temporary else None)
        body = f'{{"title":"not run","status":{status},"detail":"{refusal.value}"}}\n'
        await responder.send(Response(status, headers, body.encode()))

    def count_request(self, team: TeamName | None, status: int) -> None:
        """Count an answered request of a team, and whether it was rejected.

        Args:
            team: Team that sent the request, or None if it has no team.
            status: Status of the response; 0 if there was none.
        """
        if team is None:
            return
        label = self.label(team)
        self.metrics.count(f"teams.requests.{label}")
        if status == SERVICE_UNAVAILABLE:
            self.metrics.count(f"teams.rejected.{label}")

    def label(self, team: TeamName) -> str:
        """Return the name under which a team is counted."""
        if team not in self.counted_teams and len(self.counted_teams) < MAX_COUNTED_TEAMS:
            self.counted_teams.add(team)
        return team if team in self.counted_teams else OTHER_TEAMS
