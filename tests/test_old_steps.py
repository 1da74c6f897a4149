"""An open step lives until its end, its age notwithstanding.

Steps of six minutes were older than the time for which results are kept (120 s) while they ran. No
VM took such a step over when its owner died.
"""

from dataclasses import replace

import anyio
import pytest

import step_world as w
from balsamcleat.model import ConfigurationVersion, StepId, WeightVersion
from balsamcleat.model.routing import RoutingTable
from balsamcleat.ports.rows import RowCommit, RowWrite
from balsamcleat.tasks.model_usage import ModelUsageReader
from balsamcleat.tasks.rollout_records import OwnerRecord, owner_key
from balsamcleat.tasks.row_garbage_collector import RowGarbageCollector
from balsamcleat.tasks.step_feed import KnownStep
from test_step_ownership import run_test

STEP = StepId("step-1")
RETENTION_S = 120.0
# A step's samples last for 250 s.
EVENTS = 5000
AGE_S = 200.0


@pytest.fixture
def unlimited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Give the route of the world's steps no expiry."""
    route = replace(w.ROUTE, step_expiry_s=0.0)
    monkeypatch.setattr(w, "ROUTE", route)
    monkeypatch.setattr(w, "TABLE", RoutingTable(ConfigurationVersion(1), (route,)))


async def clean_up(world: w.StepWorld, vm: w.StepVm) -> None:
    """Delete what has expired, as the holder of the lease does."""
    await RowGarbageCollector(
        vm.handler.records,
        lambda: vm.feed.steps,
        vm.presence.watch,
        lambda: True,
        world.store.now_ms,
        RETENTION_S,
    ).clean_up()


@pytest.mark.usefixtures("unlimited")
def test_step_that_is_older_than_the_retention_is_taken_over_and_completed() -> None:
    """Nobody worked on it once its owner had died, and its rows were deleted while it ran."""

    async def test(world: w.StepWorld) -> None:
        owner, other = await world.start("a"), await world.start("b")
        assert await owner.submit(w.make_submission(1, 2, 1)) == 202
        await anyio.sleep(AGE_S)
        await clean_up(world, other)
        world.kill(owner)
        await anyio.sleep(10.0)
        assert STEP in other.runner.steps
        await clean_up(world, other)
        await world.wait_for_results(2, 300.0)
        assert await other.read(STEP) == 200
        assert await other.end(STEP) == 200

    run_test(test, event_count=lambda _: EVENTS)


def test_step_that_expired_without_an_owner_is_given_up_and_stays_readable() -> None:
    """Its samples stayed without a result, as no VM took it over to give them up."""

    async def test(world: w.StepWorld) -> None:
        owner = await world.start("a")
        assert await owner.submit(w.make_submission(1, 2, 1)) == 202
        await anyio.sleep(5.0)
        world.kill(owner)
        await anyio.sleep(AGE_S)
        other = await world.start("b")
        await anyio.sleep(10.0)
        assert [text for _, text in await world.stored_results()] == ["", ""]
        await clean_up(world, other)
        assert await other.read(STEP) == 200
        assert other.engines.runs == []

    run_test(test, event_count=lambda _: EVENTS)


def test_step_that_was_deleted_in_a_gap_of_the_feed_is_forgotten() -> None:
    """A VM would else try to take over an open step that is gone, as steps are never too old."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(1, 1, 1)) == 202
        await anyio.sleep(0.1)
        await anyio.sleep(1.0)
        vm.runner.remove_step(w.owned_step(vm))
        world.store.apply(RowCommit((RowWrite(owner_key(STEP), None),)))
        world.store.forget_history()
        await anyio.sleep(5.0)
        assert STEP not in vm.feed.steps

    run_test(test)


def put_clock_ahead(vm: w.StepVm, ahead_s: float) -> None:
    """Make a VM's estimate of the store's time wrong from now on."""
    clock = vm.feed.store_now_ms.__self__  # type: ignore[attr-defined]

    synchronize = clock.synchronize
    clock.synchronize = lambda store_ms: synchronize(store_ms + int(ahead_s * 1000))


@pytest.mark.parametrize("ahead_s", [100.0, 3600.0])
def test_step_is_not_given_up_by_a_wrong_estimate_of_the_time(ahead_s: float) -> None:
    """The VM that took a step over took its age from its estimate of the store's time.

    With the estimate ahead, it listed all samples as given up, long before the step expired.
    """

    async def test(world: w.StepWorld) -> None:
        owner, other = await world.start("a"), await world.start("b")
        put_clock_ahead(other, ahead_s)
        assert await owner.submit(w.make_submission(1, 2, 1)) == 202
        await anyio.sleep(5.0)
        world.kill(owner)
        await world.wait_for_results(2, 30.0)
        assert other.engines.runs

    run_test(test, event_count=lambda _: 300)


@pytest.mark.parametrize("delay_s", [0.002, 0.3, 0.65])
def test_age_of_a_step_that_is_taken_over_is_never_too_high(delay_s: float) -> None:
    """The time in the store's answer is older than the answer, and the age must count from it."""

    async def test(world: w.StepWorld) -> None:
        owner, other = await world.start("a"), await world.start("b")
        submitted_s = anyio.current_time()
        assert await owner.submit(w.make_submission(1, 2, 1)) == 202
        await anyio.sleep(5.0)
        world.kill(owner)
        other.view.flaws.delay_s = delay_s
        await anyio.sleep(9.0)
        late_s = w.owned_step(other).accepted_s - submitted_s
        # The owner's own estimate is behind by the time that an answer takes.
        assert -0.005 <= late_s <= 2 * delay_s + 0.1

    run_test(test, event_count=lambda _: 300)


def known_step(accepted_ms: int, *, ended: bool = False) -> KnownStep:
    owner = OwnerRecord("a", "boot", w.HOST, f"{w.PREFIX}x", accepted_ms, 1, w.MODEL)
    return KnownStep(owner.with_owner("a", "boot"), 1, 0, ended)


@pytest.mark.parametrize(
    ("expiry_s", "ended", "counts"),
    [(0.0, False, True), (600.0, False, True), (40.0, False, False), (600.0, True, False)],
)
def test_open_step_counts_for_its_model_until_it_ends_or_expires(
    expiry_s: float, ended: bool, counts: bool
) -> None:
    """Steps older than the retention did not count; all engines could switch weights at once."""
    route = replace(w.ROUTE, step_expiry_s=expiry_s)
    table = RoutingTable(ConfigurationVersion(1), (route,))
    steps = {STEP: known_step(1000, ended=ended)}
    reader = ModelUsageReader(lambda: steps, lambda: 301_000, lambda: table)
    assert reader.usage(w.MODEL).open_step_minimums == ((WeightVersion(0),) if counts else ())


def test_open_step_whose_route_was_removed_does_not_count_for_its_model() -> None:
    """Its owner gives its samples up, and it would have counted until an end that may not come."""
    steps = {STEP: known_step(1000)}
    table = RoutingTable(ConfigurationVersion(2), ())
    reader = ModelUsageReader(lambda: steps, lambda: 2_000, lambda: table)
    assert reader.usage(w.MODEL).open_step_minimums == ()
    unknown = ModelUsageReader(lambda: steps, lambda: 2_000, lambda: None)
    assert unknown.usage(w.MODEL).open_step_minimums == (WeightVersion(0),)
