"""Scoring requests over sockets: a score is the stamp of a whole success, whatever targets do."""

import random

import anyio
import pytest

from balsamcleat.decisions.live_queue import (
    ADMISSIONS_PER_LOWER_RANK,
    LiveQueue,
    Rejected,
    SlotEstimate,
    background_ticket,
    new_ticket,
)
from balsamcleat.model import ConfigurationVersion
from balsamcleat.model.rollout import ScoringRequest
from balsamcleat.model.routing import RoutingTable
from balsamcleat.tasks.sample_scorer import SampleScorer, ScoringTask
from live_world import LiveWorld, attempt_id, live_world, response_bytes, route
from raw_target import (
    RawTarget,
    Script,
    never_answer,
    read_and_close,
    send_raw_response,
)

pytestmark = pytest.mark.anyio
SCORING = ScoringRequest("score-1", "host.example", "/score/1", b"text")
ATTEMPTS = 3
GOOD = response_bytes("score-1", b"fine", Server_Stamp="score")


def answer(status: str = "200 OK", stamp: str = "good", **headers: str) -> Script:
    """Return a script that answers each request, with a stamp of its own."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        while True:
            request = await target.read_request(stream)
            response = response_bytes(attempt_id(request), b"body", status, **headers)
            await stream.send(
                response.replace(b"Server-Stamp: stamp", f"Server-Stamp: {stamp}".encode())
            )

    return script


def scorer(world: LiveWorld) -> SampleScorer:
    table = RoutingTable(ConfigurationVersion(1), (route(attempts=ATTEMPTS),))
    return SampleScorer(world.vms[0].forwarder, lambda: table, random.Random(1))


def task(scoring: ScoringRequest = SCORING, *, is_wanted: bool = True) -> ScoringTask:
    return ScoringTask("sample-1", scoring, ATTEMPTS, float("inf"), lambda: is_wanted)


async def score(world: LiveWorld, timeout_s: float = 8.0) -> str | None:
    with anyio.fail_after(timeout_s):
        return await scorer(world).score(task())


async def test_score_is_the_stamp_of_the_answer() -> None:
    async with live_world([answer()], route()) as world:
        assert await score(world) == "good"
        (request,) = world.targets[0].requests
        assert request.startswith(b"POST /score/1 HTTP/1.1")
        assert request.endswith(b"text")
        assert attempt_id(request) == "score-1"
        assert b"Deadline-Ms: " in request


@pytest.mark.parametrize(
    "broken",
    [
        answer("500 Internal Server Error", "bad"),
        answer("503 Service Unavailable", "bad", Not_Run="1"),
        read_and_close,
        send_raw_response(b"no answer at all\r\n\r\n"),
        send_raw_response(GOOD[:-2]),
        send_raw_response(response_bytes("another", b"body")),
        never_answer,
    ],
    ids=["500", "not run", "closed", "garbled", "half", "of another request", "silent"],
)
async def test_failed_answer_is_no_score_and_another_target_is_asked(broken: Script) -> None:
    async with live_world([broken, answer()], route()) as world:
        assert await score(world) == "good"
        assert len(world.targets[1].requests) == 1


async def test_request_that_fails_everywhere_is_sent_as_often_as_its_route_allows() -> None:
    failing = answer("500 Internal Server Error")
    async with live_world([failing, failing], route()) as world:
        assert await score(world) is None
        assert sum(len(target.requests) for target in world.targets) == ATTEMPTS


async def test_request_that_can_never_be_processed_is_sent_once() -> None:
    async with live_world([answer("422 Unprocessable Content")], route()) as world:
        with anyio.move_on_after(1.0):
            await scorer(world).score(task())
        assert len(world.targets[0].requests) == 1


async def test_request_is_not_sent_while_it_is_not_wanted() -> None:
    async with live_world([answer()], route()) as world:
        with anyio.move_on_after(0.3):
            await scorer(world).score(task(is_wanted=False))
        assert not world.targets[0].requests


async def test_request_without_a_route_is_sent_nowhere() -> None:
    async with live_world([answer()], route()) as world:
        with anyio.move_on_after(0.3):
            await scorer(world).score(
                task(ScoringRequest("s", "elsewhere.example", "/score/1", b""))
            )
        assert not world.targets[0].requests


def test_callers_come_before_scoring_requests_and_neither_starves() -> None:
    """A burst of scoring requests fills the queue, then callers of the same rank come."""
    queue = LiveQueue(random.Random(1))
    scoring = [background_ticket(2, 5.0) for _ in range(40)]
    for ticket in scoring:
        queue.enqueue(ticket)
    callers = [new_ticket(2, 2.0, 0.0, 0.2) for _ in range(16)]
    for ticket in callers:
        queue.enqueue(ticket)
    order = [queue.pop_next() for _ in range(len(callers) + 2)]
    assert order[: ADMISSIONS_PER_LOWER_RANK - 1] == callers[: ADMISSIONS_PER_LOWER_RANK - 1]
    assert sum(ticket in scoring for ticket in order) == 2


def test_scoring_request_waits_where_a_caller_would_be_rejected() -> None:
    """All slots are taken for longer than a caller's objective allows."""
    queue = LiveQueue(random.Random(1))
    caller, scoring = new_ticket(2, 2.0, 0.0, 0.1), background_ticket(2, 2.0)
    queue.record_release(0.05, 0.0)
    queue.enqueue(caller)
    queue.enqueue(scoring)
    (decision,) = queue.decide(SlotEstimate(1.0, 0.0, 1), 0.0)
    assert isinstance(decision, Rejected)
    assert decision.ticket is caller
    assert queue.waiting == [scoring]
