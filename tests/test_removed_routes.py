"""A step that the store has is readable and endable whatever routes the configuration has.

In review case 3, all VMs answered 404 for a kept step once the operator had removed the only route
of its host. The configuration was asked for what the store knows.
"""

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import anyio
import msgspec
import pytest

import step_world as w
from balsamcleat.http1 import Request
from balsamcleat.model import ConfigurationVersion, StepId, TeamName
from balsamcleat.model.routing import RouteKind, RoutingTable, TeamSpec
from balsamcleat.model.team_keys import key_digest
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite
from balsamcleat.tasks.rollout_records import encode_owner
from step_dispatch import dispatch
from test_usage_wiring import close, entry_process

STEP = StepId("step-1")
SAMPLES = 12
KEY = "rjvz48wuakn2ftimaj3n"
TEAMS = (TeamSpec(TeamName("team-a"), frozenset({key_digest(KEY)})),)
LIVE_ROUTE = replace(w.ROUTE, name="live", kind=RouteKind.IDEMPOTENT)
KEYED_ROUTE = replace(w.ROUTE, name="keyed", prefix="/keyed/")
REMOVALS = {
    "no route": (),
    "a live route with its prefix": (LIVE_ROUTE,),
    "routes of another host": (replace(w.ROUTE, host="other.example"),),
    "another rollout route of the host": (KEYED_ROUTE,),
}

UseTable = Callable[[RoutingTable], None]


@pytest.fixture
def use_table(monkeypatch: pytest.MonkeyPatch) -> UseTable:
    """Return a function that puts a configuration into force at all VMs."""
    return lambda routing: monkeypatch.setattr(w, "TABLE", routing)


def run_test(test) -> None:
    async def with_world() -> None:
        async with anyio.create_task_group() as tasks:
            await test(w.StepWorld(tasks))
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(with_world)


def calls(step_id: str = STEP) -> tuple[Request, ...]:
    """Return a trainer's calls about a step: results, a body, the end."""
    headers = (("Host", w.HOST),)
    return (
        Request("GET", f"/lots/{step_id}", headers),
        Request("GET", f"/items/{step_id}?id=0-0", headers),
        Request("DELETE", f"/lots/{step_id}", headers),
    )


def without_route(removal: str, teams: tuple[TeamSpec, ...] = ()) -> RoutingTable:
    return RoutingTable(ConfigurationVersion(2), REMOVALS[removal], teams=teams)


@pytest.mark.parametrize("removal", REMOVALS)
def test_kept_step_is_answered_after_its_route_was_removed(
    removal: str, use_table: UseTable
) -> None:
    async def test(world: w.StepWorld) -> None:
        owner, other = await world.start("a"), await world.start("b")
        assert await owner.submit(w.make_submission(3, 4, 3)) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        use_table(without_route(removal))
        late = await world.start("c")
        late.feed.steps.clear()
        for vm in (owner, other, late):
            for call in calls():
                assert await dispatch(vm, call) == 200

    run_test(test)


@pytest.mark.parametrize("removal", REMOVALS)
def test_unknown_step_is_not_found_whatever_routes_there_are(
    removal: str, use_table: UseTable
) -> None:
    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        use_table(without_route(removal))
        for call in calls("unknown"):
            assert await dispatch(vm, call) == 404
        vm.view.flaws.down = True
        for call in calls("unknown"):
            assert await dispatch(vm, call) == 503

    run_test(test)


@pytest.mark.parametrize("removal", REMOVALS)
@pytest.mark.parametrize("is_public", [False, True])
def test_step_whose_route_was_removed_needs_a_key_only_if_it_was_submitted_with_one(
    is_public: bool, removal: str, use_table: UseTable
) -> None:
    """Without its route, the configuration no longer says whether the step was public."""

    async def test(world: w.StepWorld) -> None:
        route = replace(w.ROUTE, public=is_public)
        use_table(RoutingTable(ConfigurationVersion(1), (route,), teams=TEAMS))
        owner, other = await world.start("a"), await world.start("b")
        key = None if is_public else KEY
        assert await dispatch(owner, w.make_submission(3, 4, 3), key) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        use_table(without_route(removal, TEAMS))
        other.feed.steps.clear()
        for vm in (owner, other):
            for call in calls():
                assert await dispatch(vm, call, key) == 200
                assert await dispatch(vm, call) == (200 if is_public else 401)

    run_test(test)


def test_step_of_a_public_route_needs_no_key_at_a_vm_that_does_not_know_it_yet(
    use_table: UseTable,
) -> None:
    """Beside a route with keys, such a VM answered 401 until its feed had delivered the step."""

    async def test(world: w.StepWorld) -> None:
        routes = (replace(w.ROUTE, public=True), KEYED_ROUTE)
        use_table(RoutingTable(ConfigurationVersion(1), routes, teams=TEAMS))
        owner, other = await world.start("a"), await world.start("b")
        assert await dispatch(owner, w.make_submission(3, 4, 3)) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        other.feed.steps.clear()
        for call in calls():
            assert await dispatch(other, call) == 200
        other.feed.steps.clear()
        other.view.flaws.down = True
        for call in calls():
            assert await dispatch(other, call) == 503
        assert await dispatch(other, calls("unknown")[0]) == 503

    run_test(test)


@pytest.mark.parametrize("removal", REMOVALS)
def test_step_with_a_key_is_not_public_while_its_submission_is_incomplete(
    removal: str, use_table: UseTable
) -> None:
    """Without the submission, the step counted as one without a team, which anybody may read."""

    async def test(world: w.StepWorld) -> None:
        route = replace(w.ROUTE, public=False)
        use_table(RoutingTable(ConfigurationVersion(1), (route,), teams=TEAMS))
        owner, other = await world.start("a"), await world.start("b")
        assert await dispatch(owner, w.make_submission(3, 4, 3), KEY) == 202
        await world.wait_for_results(SAMPLES, 3.0)
        use_table(without_route(removal, TEAMS))
        without_team = w.owned_step(owner).record.with_owner("a", "boot")
        without_team = msgspec.structs.replace(without_team, team="")
        owner_row = RowWrite(RowKey("steps", STEP, "owner"), encode_owner(without_team))
        bodies = [key for key in world.store.rows if key.table == "step-bodies"]
        deletions = [RowWrite(key, None) for key in bodies]
        world.store.apply(RowCommit((owner_row, *deletions)))
        await anyio.sleep(0.5)
        for call in calls():
            assert await dispatch(other, call) == 503

    run_test(test)


def test_outdated_configuration_gives_no_step_up(use_table: UseTable) -> None:
    """The VM that accepted the step may know a newer configuration, with the step's route."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        is_current = False
        vm.runner.is_configuration_current = lambda: is_current
        with_route = w.TABLE
        use_table(without_route("no route"))
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(2.0)
        assert await world.stored_results() == []
        use_table(with_route)
        await world.wait_for_results(SAMPLES, 3.0)
        assert await vm.submit(w.make_submission(3, 4, 3, "step-2")) == 202
        is_current = True
        use_table(without_route("no route"))
        await anyio.sleep(2.0)
        results = await world.stored_results("step-2")
        assert [text for _, text in results] == [""] * SAMPLES

    run_test(test)


def test_configuration_of_before_the_submission_gives_no_step_up(use_table: UseTable) -> None:
    """A route may be added just before the step, and the owner read the configuration before.

    The time since that read was taken for a sign that the configuration is the newest.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        read_at_version = world.store.version
        vm.runner.configuration_version = lambda: read_at_version
        with_route = w.TABLE
        use_table(without_route("no route"))
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        await anyio.sleep(2.0)
        assert await world.stored_results() == []
        use_table(with_route)
        await world.wait_for_results(SAMPLES, 3.0)
        assert await vm.submit(w.make_submission(3, 4, 3, "step-2")) == 202
        await anyio.sleep(0.1)
        use_table(without_route("no route"))
        read_at_version = world.store.version
        await anyio.sleep(2.0)
        results = await world.stored_results("step-2")
        assert [text for _, text in results] == [""] * SAMPLES

    run_test(test)


@pytest.mark.anyio
async def test_process_knows_the_version_as_of_which_it_read_the_configuration(
    tmp_path: Path,
) -> None:
    """Another table may have been read further, which says nothing about routes."""
    process = entry_process(tmp_path, "127.0.0.79", {})
    try:
        assert process.runner.configuration_version() == 0
        for follower in process.table_followers:
            follower.version = 7 if follower.table == "op" else 99
        assert process.runner.configuration_version() == 7
    finally:
        close(process)
