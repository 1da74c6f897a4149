"""Finds out which team a step belongs to, and whether a trainer's call may access the step."""

from collections.abc import Callable, Mapping

from balsamcleat.decisions.team_access import StepSubmitter, team_of_step
from balsamcleat.errors import PlatformUnavailableError, ProtocolError
from balsamcleat.model import StepId, TeamName
from balsamcleat.model.routing import RouteKind, RoutingTable
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.rollout_records import OwnerRecord, RolloutRecords
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.submission_reader import SubmissionReader

__all__ = ["StepAccess"]

# Steps without a team in their owner record whose submitter is remembered.
MAX_SUBMITTERS = 256


class StepAccess:
    """Checks calls about steps against the steps' teams.

    Args:
        records: Records of steps in the row store.
        owned_steps: Steps that this VM owns.
        known_steps: Returns the steps known from the change feed.
        table: Returns the routing table in force, or None before there is one.
        submission_reader: Reads submissions of steps.
    """

    def __init__(
        self,
        records: RolloutRecords,
        owned_steps: Mapping[StepId, OwnedStep],
        known_steps: Callable[[], dict[StepId, KnownStep]],
        table: Callable[[], RoutingTable | None],
        submission_reader: SubmissionReader,
    ) -> None:
        self.submission_reader = submission_reader
        self.records = records
        self.owned_steps = owned_steps
        self.known_steps = known_steps
        self.table = table
        # Submitters that the owner records don't name. A team that was found by a key is kept when
        # the key is removed.
        self.submitters: dict[StepId, StepSubmitter] = {}

    async def find_owner(self, step_id: StepId) -> OwnerRecord | None:
        """Return the owner record of a step, or None for an unknown step."""
        known = self.known_steps().get(step_id)
        if known is not None:
            return known.owner
        owner_row = await self.records.owner(step_id)
        return None if owner_row is None else owner_row[0]

    async def is_public(self, step_id: StepId, table: RoutingTable) -> bool | None:
        """Return whether calls about a step need no key, or None for an unknown step.

        If the configuration no longer has the step's route, the submission tells: one without a
        team and a key was accepted on a public route, or while no keys were checked.
        """
        record = await self.find_owner(step_id)
        if record is None:
            return None
        route = table.match(record.host, record.path)
        if route is not None and route.kind is RouteKind.ROLLOUT:
            return route.public
        submitter = await self.find_submitter(step_id, record)
        return not submitter.team and not submitter.key_digest

    async def is_allowed(self, step_id: StepId, team: TeamName | None) -> bool:
        """Return whether a call may access a step; not if the step is unknown to its team.

        Args:
            step_id: Id of the step.
            team: Team that sent the call, or None if the call needs no key.

        Raises:
            PlatformUnavailableError: The step's team is not known at present.
        """
        table = self.table()
        if team is None or table is None:
            return True
        record = await self.find_owner(step_id)
        if record is None:
            return False
        submitter = await self.find_submitter(step_id, record)
        found = team_of_step(submitter, table.match(record.host, record.path), table)
        if not found.is_certain:
            raise PlatformUnavailableError("no team has the step's key", step="step.access")
        if found.name is not None and not submitter.team:
            self.remember(step_id, StepSubmitter(found.name))
        # A step without a team was accepted while no keys were checked.
        return found.name in (None, team)

    async def find_submitter(self, step_id: StepId, record: OwnerRecord) -> StepSubmitter:
        """Return the submitter of a step, from its submission if the owner record has no team.

        Raises:
            PlatformUnavailableError: The store does not answer.
            ProtocolError: The submission is incomplete or unreadable.
        """
        if record.team:
            return StepSubmitter(record.team)
        if step_id in self.submitters:
            return self.submitters[step_id]
        owned = self.owned_steps.get(step_id)
        if owned is not None:
            return owned.submitter
        async with self.submission_reader.open(step_id) as submission:
            if submission is None:
                # Without its submission, the step would look like one without a team.
                raise ProtocolError("the submission is stored incomplete", step="step.access")
            submitter = submission.submitter
        self.remember(step_id, submitter)
        return submitter

    def remember(self, step_id: StepId, submitter: StepSubmitter) -> None:
        """Remember a step's submitter; a submission is large, and a trainer polls."""
        if len(self.submitters) >= MAX_SUBMITTERS:
            del self.submitters[next(iter(self.submitters))]
        self.submitters[step_id] = submitter
