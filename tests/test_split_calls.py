"""Live calls, streams and scoring requests on routes that are split over several services.

A request was drawn to one service by weight and tried at no other one: it failed while that service
had no target, no free slot or only targets that did not answer, whatever the other services had.
"""

import random
from dataclasses import replace

import anyio.abc
import pytest

from balsamcleat.model import ConfigurationVersion, ServiceName
from balsamcleat.model.rollout import ScoringRequest
from balsamcleat.model.routing import Route, RouteKind, RoutingTable, WeightedService
from balsamcleat.tasks.sample_scorer import SampleScorer, ScoringTask
from live_world import (
    SLOTS,
    LiveWorld,
    attempt_id,
    listed_replica,
    live_world,
    response_bytes,
    route,
)
from raw_target import RawTarget, Script, never_answer, read_and_close
from test_stream_forwarding import ALL_EVENTS, stream_script

pytestmark = pytest.mark.anyio
FIRST, SECOND = ServiceName("first"), ServiceName("second")
KINDS = [RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE]


def split_route(kind: RouteKind = RouteKind.IDEMPOTENT, **fields) -> Route:
    """Return a route of which nearly all requests are drawn to the first service."""
    shares = (WeightedService(FIRST, 1e9), WeightedService(SECOND, 1.0))
    return route(kind, **{"shares": shares, **fields})


def answer(stamp: str, status: str = "200 OK", **headers: str) -> Script:
    """Return a script that answers each request with a body of its own."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        while True:
            attempt = attempt_id(await target.read_request(stream))
            await stream.send(response_bytes(attempt, stamp.encode(), status, **headers))

    return script


REJECTION = answer("full", "503 Unavailable", Not_Run="1")


def list_services(world: LiveWorld, *services: ServiceName) -> None:
    """List each target under its service."""
    for vm in world.vms:
        for number, service in enumerate(services):
            entry = listed_replica(number, world.targets[number])
            vm.directory.apply_entry(replace(entry, service=service, entry_version=2))


async def ask(world: LiveWorld, attempt: str = "a1") -> tuple[int, bytes]:
    """Send a call and return the status and the body of the answer."""
    caller = await world.connect()
    status, _, body = await caller.request(attempt)
    return status, body


@pytest.mark.parametrize("kind", KINDS)
async def test_call_is_answered_while_its_service_has_no_target(kind: RouteKind) -> None:
    async with live_world([answer("second")], split_route(kind)) as world:
        list_services(world, SECOND)
        assert await ask(world) == (200, b"second")


@pytest.mark.parametrize("kind", KINDS)
async def test_call_is_answered_when_all_targets_of_its_service_reject_it(kind: RouteKind) -> None:
    scripts = [*[REJECTION] * 5, answer("second")]
    async with live_world(scripts, split_route(kind)) as world:
        list_services(world, *[FIRST] * 5, SECOND)
        assert await ask(world) == (200, b"second")


@pytest.mark.parametrize("script", [read_and_close, never_answer])
async def test_repeatable_call_is_answered_when_the_only_target_of_its_service_fails(
    script: Script,
) -> None:
    async with live_world([script, answer("second")], split_route()) as world:
        list_services(world, FIRST, SECOND)
        assert await ask(world) == (200, b"second")


async def test_call_avoids_a_service_whose_targets_failed_just_now() -> None:
    """A target that is lost stays in the list for some seconds, and costs each call a timeout."""
    scripts = [answer("first"), answer("second")]
    async with live_world(scripts, split_route(RouteKind.AT_MOST_ONCE)) as world:
        list_services(world, FIRST, SECOND)
        assert await ask(world) == (200, b"first")
        failed = world.vms[0].directory.entries[world.target_id(0)]
        stats = world.vms[0].forwarder.stats_registry.for_replica(failed)
        stats.avoid_until_s = float("inf")
        assert await ask(world, "a2") == (200, b"second")


async def test_call_that_may_run_once_is_sent_to_one_service_only() -> None:
    async with live_world(
        [read_and_close, answer("second")], split_route(RouteKind.AT_MOST_ONCE)
    ) as world:
        list_services(world, FIRST, SECOND)
        assert (await ask(world))[0] == 502
        assert [len(target.requests) for target in world.targets] == [1, 0]


async def test_calls_beyond_the_slots_of_a_service_are_answered_by_another() -> None:
    async with live_world([never_answer, answer("second")], split_route(attempts=1)) as world:
        list_services(world, FIRST, SECOND)
        for number in range(4 * SLOTS):
            caller = await world.connect()
            await caller.send_request(f"busy{number}")
        await anyio.wait_all_tasks_blocked()
        assert await ask(world, "late") == (200, b"second")


async def test_calls_follow_the_weights_while_all_services_answer() -> None:
    shares = (WeightedService(FIRST, 1.0), WeightedService(SECOND, 3.0))
    async with live_world([answer("first"), answer("second")], split_route(shares=shares)) as world:
        list_services(world, FIRST, SECOND)
        caller = await world.connect()
        bodies = [(await caller.request(f"a{number}"))[2] for number in range(200)]
        assert 30 < bodies.count(b"first") < 70


@pytest.mark.parametrize("resumable", [True, False])
async def test_stream_begins_at_another_service_if_the_first_has_no_slot(resumable: bool) -> None:
    scripts = [*[REJECTION] * 5, stream_script()]
    async with live_world(scripts, split_route(RouteKind.STREAM, resumable=resumable)) as world:
        list_services(world, *[FIRST] * 5, SECOND)
        assert await ask(world) == (200, ALL_EVENTS)


async def test_stream_that_broke_off_does_not_go_on_at_another_service() -> None:
    """The services' software has the same version, but it is not the same software."""
    scripts = [stream_script(cut_after=3), stream_script(), stream_script()]
    async with live_world(scripts, split_route(RouteKind.STREAM, resumable=True)) as world:
        list_services(world, FIRST, SECOND, FIRST)
        caller = await world.connect()
        status, _, body = await caller.request("a1")
        assert (status, body) == (200, ALL_EVENTS)
        assert not world.targets[1].requests


async def test_scoring_request_is_answered_by_another_service() -> None:
    shares = (WeightedService(FIRST, 1e9), WeightedService(SECOND, 1.0))
    table = RoutingTable(ConfigurationVersion(1), (route(shares=shares),))
    async with live_world([answer("second")], split_route()) as world:
        list_services(world, SECOND)
        scorer = SampleScorer(world.vms[0].forwarder, lambda: table, random.Random(1))
        scoring = ScoringRequest("score-1", "host.example", "/score/1", b"text")
        task = ScoringTask("sample-1", scoring, 3, float("inf"), lambda: True)
        with anyio.fail_after(4.0):
            assert await scorer.score(task) == "stamp"
        assert len(world.targets[0].requests) == 1
