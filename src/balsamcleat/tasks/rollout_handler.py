"""Handles trainers' HTTP calls: submits steps, returns results and bodies, ends steps."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.step_order import expected_remaining_tokens
from balsamcleat.decisions.vm_watch import VmFailureDetector
from balsamcleat.errors import (
    BalsamcleatError,
    InvalidInputError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    ProtocolError,
)
from balsamcleat.http1 import Request, Responder, Response
from balsamcleat.model import StepId, TeamName
from balsamcleat.model.rollout import RolloutStep, SampleResult
from balsamcleat.model.routing import Route, RoutingTable
from balsamcleat.platform import (
    ResultsQuery,
    StepCall,
    StepCallKind,
    decode_step,
    encode_results,
    error_response_headers,
    request_id,
    sample_body,
    without_sample_credentials,
)
from balsamcleat.ports.rows import RowConflict
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.rollout_records import OwnerRecord, RolloutRecords
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.step_access import StepAccess
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.step_submission import StepSubmission

__all__ = ["RolloutHandler"]

# Largest page of results in one response, in bytes of text.
RESULT_PAGE_BYTES = 700_000
RESULT_POLL_S = 0.12
RETRY_AFTER_S = 0.4
STORE_UNAVAILABLE_REASON = "the store does not answer"
# Longest time that a new step waits to load text of the trainer's previous step; it then starts
# without that text.
CARRYOVER_TIMEOUT_S = 0.3
# The store accepts no longer names of parts.
MAX_PART_BYTES = 200
JSON = (("Content-Type", "application/json"),)
BYTES = (("Content-Type", "application/octet-stream"),)

log = structlog.get_logger()


class RolloutHandler:
    """Handles trainers' calls on any VM, whichever VM owns the step.

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
    """

    def __init__(
        self,
        vm: str,
        boot: str,
        records: RolloutRecords,
        runner: RolloutRunner,
        known_steps: Callable[[], dict[StepId, KnownStep]],
        table: Callable[[], RoutingTable | None],
        store_now_ms: Callable[[], int],
        failure_detector: VmFailureDetector,
        is_store_unavailable: Callable[[], bool],
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
        self.accepting = True
        # Steps that this VM is creating, each with an event that is set once the outcome is known.
        # The change feed may deliver a step before its commit is answered, and without this record
        # the VM would take over its own new step and run it twice.
        self.creations: dict[StepId, anyio.Event] = {}
        self.access = StepAccess(records, runner.steps, known_steps, table)

    async def submit(
        self, request: Request, route: Route, responder: Responder, team: TeamName | None = None
    ) -> None:
        """Accept a step at most once, storing it before the response is sent."""
        try:
            step = decode_step(request.headers, request.body)
        except InvalidInputError as error:
            log.warning("step refused", request=request_id(request.headers), reason=error.message)
            await responder.send(Response(400, error_response_headers("")))
            return
        if await self.is_stored_here(step.step_id):
            await self.answer_repeated(responder, step.step_id, team, "already known")
            return
        if not self.accepting:
            await self.send_unavailable(responder, step.step_id, "leaving")
            return
        if self.is_store_unavailable():
            await self.send_unavailable(responder, step.step_id, STORE_UNAVAILABLE_REASON)
            return
        await self.create_step(step, request, route, responder, team)

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
        request: Request,
        route: Route,
        responder: Responder,
        team: TeamName | None,
    ) -> None:
        """Store a new step, answer its submission, and start the step if this VM owns it."""
        vm, boot = self.preferred_owner(route, request, team)
        record = OwnerRecord(
            vm=vm,
            boot=boot,
            host=route.host,
            path=request.path,
            accepted_ms=self.store_now_ms(),
            samples=len(step.samples),
            model=step.model,
            oldest_version=step.oldest_version,
            work=sum(expected_remaining_tokens(sample, 0.0) for sample in step.samples),
            team=team or "",
        )
        submission = self.submission(request, step, team)
        creation = self.creations[step.step_id] = anyio.Event()
        try:
            outcome = await self.records.create_step(step.step_id, record, submission)
        except BaseException as error:
            # If the step was stored after all, the change feed delivers it and a VM takes it over.
            del self.creations[step.step_id]
            creation.set()
            if isinstance(error, OutcomeUnknownError):
                await self.send_outcome_unknown(responder, step.step_id, str(error))
            elif isinstance(error, PlatformError):
                await self.send_unavailable(responder, step.step_id, str(error))
            else:
                raise
            return
        finally:
            creation.set()
        if isinstance(outcome, RowConflict):
            del self.creations[step.step_id]
            await self.answer_repeated(responder, step.step_id, team, "already stored")
            return
        if vm == self.vm:
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
        await self.send_accepted(responder, step.step_id, f"new, owned by {vm}")

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
                await self.send_accepted(responder, step_id, how)
            else:
                await self.send_not_found(responder, step_id)
        except (PlatformError, ProtocolError) as error:
            await self.send_unavailable(responder, step_id, str(error))

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

    async def send_accepted(self, responder: Responder, step_id: StepId, how: str) -> None:
        """Respond that a step is stored."""
        log.info("step accepted", step=step_id, how=how)
        await responder.send(Response(202))

    async def send_unavailable(self, responder: Responder, step_id: StepId, reason: str) -> None:
        """Respond that the call had no effect, and when to retry it."""
        log.warning("call refused", step=step_id, reason=reason, status=503)
        await responder.send(Response(503, error_response_headers("", RETRY_AFTER_S)))

    async def send_outcome_unknown(
        self, responder: Responder, step_id: StepId, reason: str
    ) -> None:
        """Respond that a step may or may not be stored."""
        log.warning("step's outcome unknown", step=step_id, reason=reason, status=504)
        await responder.send(Response(504, error_response_headers("")))

    async def is_public(self, call: StepCall, table: RoutingTable) -> bool | None:
        """Return whether a call about a step needs no key, or None if there is no such step.

        Raises:
            BalsamcleatError: The step is not known here, and the store can't tell.
        """
        if self.is_store_unavailable() and call.step_id not in self.known_steps():
            raise PlatformUnavailableError(STORE_UNAVAILABLE_REASON, step="step.access")
        return await self.access.is_public(call.step_id, table)

    async def answer_call(
        self, call: StepCall, responder: Responder, team: TeamName | None = None
    ) -> None:
        """Answer a call about an accepted step; it does not exist for other teams than its own."""
        if self.is_store_unavailable() and not self.can_answer_without_store(call):
            await self.send_unavailable(responder, call.step_id, STORE_UNAVAILABLE_REASON)
            return
        try:
            if not await self.access.is_allowed(call.step_id, team):
                await self.send_not_found(responder, call.step_id)
            elif call.kind is StepCallKind.RESULTS and call.query is not None:
                await self.send_results(call.step_id, call.query, responder)
            elif call.kind is StepCallKind.BODY:
                await self.send_sample_body(call.step_id, call.sample_id, responder)
            else:
                await self.end_step(call.step_id, responder)
        except BalsamcleatError as error:
            # Rows that can't be read raise other errors than a store that fails.
            await self.send_unavailable(responder, call.step_id, str(error))

    def can_answer_without_store(self, call: StepCall) -> bool:
        """Return whether a call reads a step that this VM runs, which needs no store access."""
        return call.kind is not StepCallKind.END and call.step_id in self.runner.steps

    async def send_results(
        self, step_id: StepId, query: ResultsQuery, responder: Responder
    ) -> None:
        """Respond with results from a position on, waiting until there is at least one."""
        began_s = anyio.current_time()
        deadline_s = began_s + query.wait_s
        total = await self.sample_count(step_id)
        if total is None:
            await self.send_not_found(responder, step_id)
            return
        results = await self.read_results(step_id, query.position)
        while not results and anyio.current_time() < deadline_s and query.position < total:
            await self.wait_for_results(step_id, deadline_s - anyio.current_time())
            results = await self.read_results(step_id, query.position)
        page = first_page(results)
        await responder.send(Response(200, JSON, encode_results(total, query.position, page)))
        log.info(
            "results read",
            step=step_id,
            position=query.position,
            results=len(page),
            source="owner" if step_id in self.runner.steps else "store",
            took_s=round(anyio.current_time() - began_s, 4),
        )

    async def sample_count(self, step_id: StepId) -> int | None:
        """Return the number of a step's samples, or None for an unknown step."""
        record = await self.access.find_owner(step_id)
        return None if record is None else record.samples

    async def read_results(self, step_id: StepId, position: int) -> tuple[SampleResult, ...]:
        """Return stored results from a position on."""
        owned = self.runner.steps.get(step_id)
        if owned is not None and not owned.lost:
            return tuple(owned.listed[position:])
        return await self.records.results(step_id, position)

    async def wait_for_results(self, step_id: StepId, timeout_s: float) -> None:
        """Wait until the step has changed or, for another VM's step, one poll interval."""
        owned = self.runner.steps.get(step_id)
        if owned is None or owned.lost:
            await anyio.sleep(min(RESULT_POLL_S, timeout_s))
            return
        with anyio.move_on_after(timeout_s):
            await owned.changed.wait()

    async def send_sample_body(self, step_id: StepId, sample_id: str, responder: Responder) -> None:
        """Respond with a sample's request body."""
        owned = self.runner.steps.get(step_id)
        if owned is not None:
            step = owned.step
        else:
            submission = await self.records.submission(step_id)
            if submission is None:
                await self.send_not_found(responder, step_id)
                return
            step = decode_step(submission.headers, submission.body)
        body = sample_body(step, sample_id)
        if body is None:
            await self.send_not_found(responder, step_id)
            return
        await responder.send(Response(200, BYTES, body))

    async def end_step(self, step_id: StepId, responder: Responder) -> None:
        """End a step; a VM that runs it stops it once the change feed delivers the end row."""
        if await self.sample_count(step_id) is None:
            await self.send_not_found(responder, step_id)
            return
        await self.records.mark_ended(step_id)
        log.info("end kept", step=step_id)
        await responder.send(Response(200))

    async def send_not_found(self, responder: Responder, step_id: StepId) -> None:
        """Respond that there is no such step or sample."""
        log.info("step not found", step=step_id)
        await responder.send(Response(404, error_response_headers("")))


def carryover_part(host: str, path: str, team: str = "") -> str:
    """Return the part of the progress table for text carried to a trainer's next step.

    Teams that share a route don't get each other's text.
    """
    prefix = path.strip("/").partition("/")[0]
    # The team comes first, so that a long path can't cut it off.
    return f"carry/{f'{team}/' if team else ''}{host}/{prefix}"[:MAX_PART_BYTES]


def first_page(results: tuple[SampleResult, ...]) -> tuple[SampleResult, ...]:
    """Return as many of the first results as fit into a page, at least one."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.text) + 100
        if count and size > RESULT_PAGE_BYTES:
            return results[:count]
    return results
