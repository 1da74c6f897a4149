"""Handles trainers' calls about steps: returns results and bodies, ends steps."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.errors import (
    BalsamcleatError,
    PlatformUnavailableError,
)
from balsamcleat.http1 import Responder, Response
from balsamcleat.model import StepId, TeamName
from balsamcleat.model.rollout import SampleResult
from balsamcleat.model.routing import RoutingTable
from balsamcleat.platform import (
    ResultsQuery,
    StepCall,
    StepCallKind,
    encode_results,
    sample_body,
    submitted_body,
)
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.step_access import StepAccess
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.step_responses import (
    STORE_UNAVAILABLE_REASON,
    send_not_found,
    send_unavailable,
)
from balsamcleat.tasks.submission_handler import SubmissionHandler
from balsamcleat.tasks.submission_reader import StoreReads, SubmissionReader

__all__ = ["RolloutHandler"]

# Largest page of results in one response, in bytes of text.
RESULT_PAGE_BYTES = 700_000
RESULT_POLL_S = 0.12
JSON = (("Content-Type", "application/json"),)
BYTES = (("Content-Type", "application/octet-stream"),)

log = structlog.get_logger()


class RolloutHandler:
    """Handles trainers' calls on any VM, whichever VM owns the step.

    Args:
        records: Records of steps in the row store.
        runner: Runs the steps that this VM owns.
        known_steps: Returns the steps known from the change feed.
        is_store_unavailable: Returns whether the store is known not to answer.
        access: Checks which team a step belongs to.
        submissions: Handles submissions of steps.
        reads: Counts what calls read from the store.
        submission_reader: Reads submissions of steps that other VMs own.
    """

    def __init__(
        self,
        records: RolloutRecords,
        runner: RolloutRunner,
        known_steps: Callable[[], dict[StepId, KnownStep]],
        is_store_unavailable: Callable[[], bool],
        access: StepAccess,
        submissions: SubmissionHandler,
        reads: StoreReads,
        submission_reader: SubmissionReader,
    ) -> None:
        self.records = records
        self.runner = runner
        self.known_steps = known_steps
        self.is_store_unavailable = is_store_unavailable
        self.access = access
        self.submissions = submissions
        self.reads = reads
        self.submission_reader = submission_reader

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
            await send_unavailable(responder, call.step_id, STORE_UNAVAILABLE_REASON)
            return
        try:
            if not await self.access.is_allowed(call.step_id, team):
                await send_not_found(responder, call.step_id, "not for this team, or no such step")
            elif call.kind is StepCallKind.RESULTS and call.query is not None:
                await self.send_results(call.step_id, call.query, responder)
            elif call.kind is StepCallKind.BODY:
                await self.send_sample_body(call.step_id, call.sample_id, responder)
            else:
                await self.end_step(call.step_id, responder)
        except BalsamcleatError as error:
            # Rows that can't be read raise other errors than a store that fails.
            await send_unavailable(responder, call.step_id, str(error))

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
            await send_not_found(responder, step_id, "no owner row in the store")
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
            available=len(results),
            total=total,
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
        async with self.reads.reserve():
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
            body = sample_body(owned.step, sample_id)
        else:
            async with self.submission_reader.open(step_id) as submission:
                is_stored = submission is not None
                body = submitted_body(submission.body, sample_id) if submission else None
            if not is_stored:
                await self.refuse_body(step_id, responder)
                return
        if body is None:
            await send_not_found(responder, step_id, "no such sample in the submission")
            return
        await responder.send(Response(200, BYTES, body))

    async def refuse_body(self, step_id: StepId, responder: Responder) -> None:
        """Respond to the request for a body of a step whose submission was not found.

        Only a missing owner row says that there is no such step: a submission may be stored
        incomplete, or be read while the step is being deleted.
        """
        if await self.records.owner(step_id) is None:
            await send_not_found(responder, step_id, "no owner row in the store")
        else:
            await send_unavailable(responder, step_id, "the submission is stored incomplete")

    async def end_step(self, step_id: StepId, responder: Responder) -> None:
        """End a step; a VM that runs it stops it once the change feed delivers the end row."""
        if await self.sample_count(step_id) is None:
            await send_not_found(responder, step_id, "no owner row in the store")
            return
        await self.records.mark_ended(step_id)
        log.info("end kept", step=step_id)
        await responder.send(Response(200))


def first_page(results: tuple[SampleResult, ...]) -> tuple[SampleResult, ...]:
    """Return as many of the first results as fit into a page, at least one."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.text) + 100
        if count and size > RESULT_PAGE_BYTES:
            return results[:count]
    return results
