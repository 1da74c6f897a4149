"""Accepts trainers' submissions: stores each step once, and starts those that this VM owns."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.step_order import expected_remaining_tokens
from balsamcleat.decisions.vm_watch import VmFailureDetector
from balsamcleat.errors import (
    InvalidInputError,
    OutcomeUnknownError,
    PlatformError,
    ProtocolError,
)
from balsamcleat.http1 import Request, Responder, Response
from balsamcleat.model import StepId, TeamName
from balsamcleat.model.rollout import RolloutStep
from balsamcleat.model.routing import Route, RoutingTable
from balsamcleat.platform import (
    check_requests,
    decode_step,
    error_response_headers,
    request_id,
    without_sample_credentials,
)
from balsamcleat.ports.rows import RowConflict
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.rollout_records import OwnerRecord, RolloutRecords
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.step_access import StepAccess
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.step_responses import (
    STORE_UNAVAILABLE_REASON,
    send_accepted,
    send_not_found,
    send_outcome_unknown,
    send_unavailable,
)
from balsamcleat.tasks.step_submission import StepSubmission

__all__ = ["SubmissionHandler", "carryover_part"]

# Longest time that a new step waits to load text of the trainer's previous step; it then starts
# without that text.
CARRYOVER_TIMEOUT_S = 0.3
# The store accepts no longer names of parts.
MAX_PART_BYTES = 200

log = structlog.get_logger()


class SubmissionHandler:
    """Handles submissions of steps on any VM; each step is stored once.

    Args:
        vm: Name of this VM.
        boot: Identifier of this start of the VM's process.
        records: Records of steps in the row store.
        runner: Runs the steps that this VM owns.
        known_steps: Returns the steps known from the change feed.
        table: Returns the routing table in force, or None before there is one.
        store_now_ms: Returns the time on the store's clock, in milliseconds.
        failure_detector: Failure detector of the VMs.
        is_store_unavailable: Returns whether the store is known not to answer.
        access: Checks which team a step belongs to.
    """

    def __init__(
        self,
        vm: str,
        boot: str,
        records: RolloutRecords,
        runner: RolloutRunner,
        known_steps: Callable[[], dict[StepId, KnownStep]],
        table: Callable[[], RoutingTable | None],
        store_now_ms: Callable[[], int | None],
        failure_detector: VmFailureDetector,
        is_store_unavailable: Callable[[], bool],
        access: StepAccess,
    ) -> None:
        self.vm = vm
        self.boot = boot
        self.records = records
        self.runner = runner
        self.known_steps = known_steps
        self.table = table
        self.store_now_ms = store_now_ms
        self.failure_detector = failure_detector
        self.is_store_unavailable = is_store_unavailable
        self.access = access
        self.accepting = True
        # Steps that this VM is creating, each with an event that is set once the outcome is known.
        # The change feed may deliver a step before its commit is answered, and without this record
        # the VM would take over its own new step and run it twice.
        self.creations: dict[StepId, anyio.Event] = {}

    async def submit(
        self, request: Request, route: Route, responder: Responder, team: TeamName | None = None
    ) -> None:
        """Accept a step at most once, storing it before the response is sent."""
        try:
            step = decode_step(request.headers, request.body)
            check_requests(step)
        except InvalidInputError as error:
            log.warning("step refused", request=request_id(request.headers), reason=error.message)
            await responder.send(Response(400, error_response_headers("")))
            return
        if await self.is_stored_here(step.step_id):
            await self.answer_repeated(responder, step.step_id, team, "already known")
            return
        if not self.accepting:
            await send_unavailable(responder, step.step_id, "leaving")
            return
        if self.is_store_unavailable():
            await send_unavailable(responder, step.step_id, STORE_UNAVAILABLE_REASON)
            return
        accepted_ms = self.store_now_ms()
        if accepted_ms is None:
            # With a guessed time, the step would be deleted as one of long ago.
            await send_unavailable(responder, step.step_id, "the store's time is not known yet")
            return
        record = self.owner_record(step, request, route, team, accepted_ms)
        await self.create_step(step, record, request, route, responder)

    async def is_stored_here(self, step_id: StepId) -> bool:
        """Return whether this VM knows that a step is stored; wait if it is just storing it.

        A trainer that gets no answer may send its submission again to the same VM.
        """
        while (creation := self.creations.get(step_id)) is not None:
            if creation.is_set():
                return True
            await creation.wait()
        return step_id in self.known_steps()

    async def create_step(
        self,
        step: RolloutStep,
        record: OwnerRecord,
        request: Request,
        route: Route,
        responder: Responder,
    ) -> None:
        """Store a new step, answer its submission, and start the step if this VM owns it."""
        team = TeamName(record.team) if record.team else None
        submission = self.submission(request, step, team)
        creation = self.creations[step.step_id] = anyio.Event()
        try:
            outcome = await self.records.create_step(step.step_id, record, submission)
        except BaseException as error:
            # If the step was stored after all, the change feed delivers it and a VM takes it over.
            del self.creations[step.step_id]
            creation.set()
            if isinstance(error, OutcomeUnknownError):
                await send_outcome_unknown(responder, step.step_id, str(error))
            elif isinstance(error, PlatformError):
                await send_unavailable(responder, step.step_id, str(error))
            else:
                raise
            return
        creation.set()
        if isinstance(outcome, RowConflict):
            del self.creations[step.step_id]
            await self.answer_repeated(responder, step.step_id, team, "already stored")
            return
        if record.vm == self.vm:
            owned = OwnedStep(
                step=step,
                record=record,
                row_version=outcome.version,
                accepted_s=request.received_at_s,
                submitter=submission.submitter,
            )
            # The step is started outside of this request's task, which is cancelled when the
            # trainer closes its connection.
            self.runner.start_task(self.start_step, owned, route)
        else:
            del self.creations[step.step_id]
        await send_accepted(responder, step.step_id, f"new, owned by {record.vm}")

    def owner_record(
        self,
        step: RolloutStep,
        request: Request,
        route: Route,
        team: TeamName | None,
        accepted_ms: int,
    ) -> OwnerRecord:
        """Return the record of a new step with the VM that shall own it."""
        vm, boot = self.preferred_owner(route, request, team)
        return OwnerRecord(
            vm=vm,
            boot=boot,
            host=route.host,
            path=request.path,
            accepted_ms=accepted_ms,
            samples=len(step.samples),
            model=step.model,
            oldest_version=step.oldest_version,
            work=sum(expected_remaining_tokens(sample, 0.0) for sample in step.samples),
            team=team or "",
        )

    def submission(
        self, request: Request, step: RolloutStep, team: TeamName | None
    ) -> StepSubmission:
        """Return the submission to store, without keys."""
        table = self.table()
        body = request.body
        if table is not None and table.has_teams:
            body = without_sample_credentials(body, step)
        return StepSubmission.received(request.headers, body, team)

    async def answer_repeated(
        self, responder: Responder, step_id: StepId, team: TeamName | None, how: str
    ) -> None:
        """Answer a submission of a step that exists, whose id another team may have used."""
        try:
            if await self.access.is_allowed(step_id, team):
                await send_accepted(responder, step_id, how)
            else:
                await send_not_found(responder, step_id, "not for this team")
        except (PlatformError, ProtocolError) as error:
            await send_unavailable(responder, step_id, str(error))

    def preferred_owner(
        self, route: Route, request: Request, team: TeamName | None
    ) -> tuple[str, str]:
        """Return the VM, and the start of its process, that shall own a trainer's new step.

        The VM that ran the trainer's previous step is preferred if it is alive, since it has
        connections to the targets and measurements of their pace. Otherwise it is this VM.
        """
        part = carryover_part(route.host, request.path, team or "")
        earlier_owners = [
            step.owner
            for step in self.known_steps().values()
            if carryover_part(step.owner.host, step.owner.path, step.owner.team) == part
        ]
        latest_owner = max(earlier_owners, key=lambda owner: owner.accepted_ms, default=None)
        if latest_owner is None or not self.failure_detector.accepts_steps(
            latest_owner.vm, latest_owner.boot
        ):
            return self.vm, self.boot
        return latest_owner.vm, latest_owner.boot

    async def start_step(self, owned: OwnedStep, route: Route) -> None:
        """Start a new step, restoring text that the trainer's previous step left of its samples."""
        try:
            with anyio.move_on_after(CARRYOVER_TIMEOUT_S):
                saved = await self.records.load_progress(
                    carryover_part(owned.record.host, owned.record.path, owned.record.team)
                )
                owned.restore_progress(saved, carried=True, single=route.single_version)
        except (PlatformError, ProtocolError) as error:
            log.warning("no text of earlier steps", step=owned.step_id, reason=str(error))
        if owned.carried_groups:
            log.info("text carried over", step=owned.step_id, groups=len(owned.carried_groups))
        del self.creations[owned.step_id]
        self.runner.add_step(owned)

    def is_running(self, step_id: StepId) -> bool:
        """Return whether this VM runs a step or is about to start it."""
        return step_id in self.runner.steps or step_id in self.creations


def carryover_part(host: str, path: str, team: str = "") -> str:
    """Return the part of the progress table for text carried to a trainer's next step.

    Teams that share a route don't get each other's text.
    """
    prefix = path.strip("/").partition("/")[0]
    # The team comes first, so that a long path can't cut it off.
    return f"carry/{f'{team}/' if team else ''}{host}/{prefix}"[:MAX_PART_BYTES]
