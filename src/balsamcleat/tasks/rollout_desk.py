"""Answers trainers: takes steps in, hands out results and bodies, ends steps."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.step_order import expected_left
from balsamcleat.decisions.vm_watch import VmWatch
from balsamcleat.errors import (
    InvalidInputError,
    OutcomeUnknownError,
    PlatformError,
    ProtocolError,
)
from balsamcleat.http1 import Request, Responder, Response
from balsamcleat.model import StepId
from balsamcleat.model.rollout import SampleResult
from balsamcleat.model.routing import Route, RoutingTable
from balsamcleat.platform import (
    ResultsQuery,
    StepCall,
    StepCallKind,
    decode_step,
    encode_results,
    failure_headers,
    request_id,
    sample_body,
)
from balsamcleat.ports.rows import RowConflict
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.rollout_records import OwnerRecord, RolloutRecords, StepSubmission
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.step_feed import KnownStep

__all__ = ["RolloutDesk"]

# A page of results, in bytes of text.
PAGE_BYTES = 700_000
POLL_S = 0.12
RETRY_AFTER_S = 0.4
STORE_AWAY = "the store is away"
# A step waits this long for text of the step before it; then it starts without.
CARRY_WAIT_S = 0.3
JSON = (("Content-Type", "application/json"),)
BYTES = (("Content-Type", "application/octet-stream"),)

log = structlog.get_logger()


class RolloutDesk:
    """Serves trainers' calls at any VM.

    Args:
        vm: This VM.
        boot: This start of its process.
        records: What is kept of steps.
        runner: Runs the steps that this VM owns.
        known: Returns the steps known from the feed.
        table: Returns the configuration in force.
        store_now_ms: Returns the store's clock.
        watch: Which VMs live.
        store_away: Returns whether the store is known not to answer.
    """

    def __init__(
        self,
        vm: str,
        boot: str,
        records: RolloutRecords,
        runner: RolloutRunner,
        known: Callable[[], dict[StepId, KnownStep]],
        table: Callable[[], RoutingTable | None],
        store_now_ms: Callable[[], int],
        watch: VmWatch,
        store_away: Callable[[], bool],
    ) -> None:
        self.vm = vm
        self.boot = boot
        self.records = records
        self.runner = runner
        self.known = known
        self.table = table
        self.store_now_ms = store_now_ms
        self.watch = watch
        self.store_away = store_away
        self.accepting = True
        # Steps that are being kept: the feed may tell of one before its commit is answered here.
        self.being_kept: set[StepId] = set()

    async def submit(self, request: Request, route: Route, responder: Responder) -> None:
        """Accept a step once and keep it before saying so."""
        try:
            step = decode_step(request.headers, request.body)
        except InvalidInputError as error:
            log.warning("step refused", request=request_id(request.headers), reason=error.message)
            await responder.send(Response(400, failure_headers("")))
            return
        if step.step_id in self.known():
            await self.accepted(responder, step.step_id, "known already")
            return
        if not self.accepting:
            await self.unavailable(responder, step.step_id, "leaving")
            return
        if self.store_away():
            await self.unavailable(responder, step.step_id, STORE_AWAY)
            return
        vm, boot = self.home(route, request)
        record = OwnerRecord(
            vm=vm,
            boot=boot,
            host=route.host,
            path=request.path,
            accepted_ms=self.store_now_ms(),
            samples=len(step.samples),
            model=step.model,
            oldest_version=step.oldest_version,
            work=sum(expected_left(sample, 0.0) for sample in step.samples),
        )
        submission = StepSubmission(request.headers, request.body)
        self.being_kept.add(step.step_id)
        try:
            outcome = await self.records.accept(step.step_id, record, submission)
        except BaseException as error:
            # If the step is kept after all, the feed tells of it and it is taken over.
            self.being_kept.discard(step.step_id)
            if isinstance(error, OutcomeUnknownError):
                await self.unknown(responder, step.step_id, str(error))
            elif isinstance(error, PlatformError):
                await self.unavailable(responder, step.step_id, str(error))
            else:
                raise
            return
        if isinstance(outcome, RowConflict):
            self.being_kept.discard(step.step_id)
            await self.accepted(responder, step.step_id, "kept already")
            return
        if vm == self.vm:
            owned = OwnedStep(
                step=step,
                record=record,
                row_version=outcome.version,
                accepted_s=request.received_at_s,
            )
            # Not as a part of this request: it ends when the trainer closes its connection.
            self.runner.start_task(self.begin, owned, route)
        else:
            self.being_kept.discard(step.step_id)
        await self.accepted(responder, step.step_id, f"new, for {vm}")

    def home(self, route: Route, request: Request) -> tuple[str, str]:
        """Return the VM, and the start of its process, that runs a trainer's steps.

        It is the one that ran the step before, if it lives: it has connections to the targets
        and knows their pace.
        """
        part = carry_part(route.host, request.path)
        earlier = [
            step.owner
            for step in self.known().values()
            if carry_part(step.owner.host, step.owner.path) == part
        ]
        newest = max(earlier, key=lambda owner: owner.accepted_ms, default=None)
        if newest is None or not self.watch.takes_steps(newest.vm, newest.boot):
            return self.vm, self.boot
        return newest.vm, newest.boot

    async def begin(self, owned: OwnedStep, route: Route) -> None:
        """Run a new step, with the text that the step before left of the same samples."""
        try:
            with anyio.move_on_after(CARRY_WAIT_S):
                saved = await self.records.load_progress(
                    carry_part(owned.record.host, owned.record.path)
                )
                owned.restore(saved, carried=True, single=route.single_version)
        except (PlatformError, ProtocolError) as error:
            log.warning("no text of earlier steps", step=owned.step_id, reason=str(error))
        if owned.carried:
            log.info("text carried over", step=owned.step_id, groups=len(owned.carried))
        self.being_kept.discard(owned.step_id)
        known = self.known().get(owned.step_id)
        if known is None or not known.ended:
            self.runner.add(owned)

    def runs(self, step_id: StepId) -> bool:
        """Return whether this VM runs a step or is about to."""
        return step_id in self.runner.steps or step_id in self.being_kept

    async def accepted(self, responder: Responder, step_id: StepId, how: str) -> None:
        """Say that a step is kept."""
        log.info("step accepted", step=step_id, how=how)
        await responder.send(Response(202))

    async def unavailable(self, responder: Responder, step_id: StepId, reason: str) -> None:
        """Say that nothing of a step was kept, and when to come back."""
        log.warning("call refused", step=step_id, reason=reason, status=503)
        await responder.send(Response(503, failure_headers("", RETRY_AFTER_S)))

    async def unknown(self, responder: Responder, step_id: StepId, reason: str) -> None:
        """Say that a step may or may not be kept."""
        log.warning("step's outcome unknown", step=step_id, reason=reason, status=504)
        await responder.send(Response(504, failure_headers("")))

    async def call(self, call: StepCall, responder: Responder) -> None:
        """Answer a call about an accepted step."""
        if self.store_away() and not self.answers_alone(call):
            await self.unavailable(responder, call.step_id, STORE_AWAY)
            return
        try:
            if call.kind is StepCallKind.RESULTS and call.query is not None:
                await self.results(call.step_id, call.query, responder)
            elif call.kind is StepCallKind.BODY:
                await self.body(call.step_id, call.sample_id, responder)
            else:
                await self.end(call.step_id, responder)
        except (PlatformError, ProtocolError) as error:
            await self.unavailable(responder, call.step_id, str(error))

    def answers_alone(self, call: StepCall) -> bool:
        """Return whether this VM answers a call without the store: reads of a step that it runs."""
        return call.kind is not StepCallKind.END and call.step_id in self.runner.steps

    async def results(self, step_id: StepId, query: ResultsQuery, responder: Responder) -> None:
        """Answer with results from a position on, waiting for a first one."""
        began_s = anyio.current_time()
        deadline_s = began_s + query.wait_s
        total = await self.total(step_id)
        if total is None:
            await self.not_found(responder, step_id)
            return
        results = await self.read(step_id, query.position)
        while not results and anyio.current_time() < deadline_s and query.position < total:
            await self.wait_change(step_id, deadline_s - anyio.current_time())
            results = await self.read(step_id, query.position)
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

    async def total(self, step_id: StepId) -> int | None:
        """Return the number of a step's samples, or None for an unknown step."""
        known = self.known().get(step_id)
        if known is not None:
            return known.owner.samples
        found = await self.records.owner(step_id)
        return None if found is None else found[0].samples

    async def read(self, step_id: StepId, position: int) -> tuple[SampleResult, ...]:
        """Return listed results from a position on."""
        owned = self.runner.steps.get(step_id)
        if owned is not None and not owned.lost:
            return tuple(owned.listed[position:])
        return await self.records.results(step_id, position)

    async def wait_change(self, step_id: StepId, longest_s: float) -> None:
        """Wait until more may be listed."""
        owned = self.runner.steps.get(step_id)
        if owned is None or owned.lost:
            await anyio.sleep(min(POLL_S, longest_s))
            return
        with anyio.move_on_after(longest_s):
            await owned.changed.wait()

    async def body(self, step_id: StepId, sample_id: str, responder: Responder) -> None:
        """Answer with a sample's body."""
        owned = self.runner.steps.get(step_id)
        if owned is not None:
            step = owned.step
        else:
            submission = await self.records.submission(step_id)
            if submission is None:
                await self.not_found(responder, step_id)
                return
            step = decode_step(submission.headers, submission.body)
        body = sample_body(step, sample_id)
        if body is None:
            await self.not_found(responder, step_id)
            return
        await responder.send(Response(200, BYTES, body))

    async def end(self, step_id: StepId, responder: Responder) -> None:
        """End a step; once this is kept, every VM stops it."""
        if await self.total(step_id) is None:
            await self.not_found(responder, step_id)
            return
        await self.records.end(step_id)
        log.info("end kept", step=step_id)
        await responder.send(Response(200))

    async def not_found(self, responder: Responder, step_id: StepId) -> None:
        """Say that there is no such step."""
        log.info("step not found", step=step_id)
        await responder.send(Response(404, failure_headers("")))


def carry_part(host: str, path: str) -> str:
    """Return where text for a later step of the same trainer is kept."""
    prefix = path.strip("/").partition("/")[0]
    return f"carry/{host}/{prefix}"[:200]


def first_page(results: tuple[SampleResult, ...]) -> tuple[SampleResult, ...]:
    """Return as many results as fit into a page, one at least."""
    size = 0
    for count, result in enumerate(results):
        size += len(result.text) + 100
        if count and size > PAGE_BYTES:
            return results[:count]
    return results
