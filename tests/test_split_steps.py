"""Steps on routes that are split over several services.

A step was placed at the first service of its route only. Once the only engine of that service was
lost, the step waited until its time was up, with all engines of the other service idle.
"""

from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest

import step_world as w
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.model import ConfigurationVersion, ServiceName, TargetId
from balsamcleat.model.routing import RoutingTable, WeightedService
from test_step_ownership import run_test

FIRST, SECOND = ServiceName("first"), ServiceName("second")
ENGINES_OF_SECOND = 5


def split(first_weight: float, second_weight: float) -> tuple[WeightedService, ...]:
    return (WeightedService(FIRST, first_weight), WeightedService(SECOND, second_weight))


def split_table(first_weight: float, second_weight: float) -> RoutingTable:
    shares = split(first_weight, second_weight)
    return RoutingTable(ConfigurationVersion(1), (replace(w.ROUTE, shares=shares),))


def engine_of_first(slots: int = 4) -> w.Replica:
    return w.make_engine(0, slots, service=FIRST)


def list_engines(directory: ReplicaDirectory, slots: int = 4) -> None:
    """List one engine of the first service and several of the second."""
    directory.apply_entry(engine_of_first(slots))
    for number in range(1, ENGINES_OF_SECOND + 1):
        directory.apply_entry(w.make_engine(number, slots, service=SECOND))


def play_split_step(
    monkeypatch: pytest.MonkeyPatch,
    weights: tuple[float, float],
    play: Callable[[w.StepWorld, w.StepVm], object],
    *,
    groups: int = 8,
    slots: int = 4,
    event_count: int = 10,
) -> dict[str, list[TargetId]]:
    """Play a step on a split route; return the targets to which each sample was sent."""
    monkeypatch.setattr(w, "TABLE", split_table(*weights))
    targets: dict[str, list[TargetId]] = {}

    async def test(world: w.StepWorld) -> None:
        list_engines(world.directory, slots)
        vm = await world.start("vm-1")
        run = vm.engines.run

        async def recorded_run(assignment, progress):
            sent = targets.setdefault(assignment.sample.sample_id, [])
            sent.append(assignment.replica.target_id)
            return await run(assignment, progress)

        monkeypatch.setattr(vm.engines, "run", recorded_run)
        assert await vm.submit(w.make_submission(groups, 4, groups)) == 202
        await play(world, vm)
        await world.wait_for_results(groups * 4, 8.0)

    run_test(test, engines=0, event_count=lambda _: event_count)
    return targets


async def do_nothing(world: w.StepWorld, vm: w.StepVm) -> None:
    """Leave the step alone."""


def test_step_goes_on_after_the_first_service_lost_its_only_engine(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All samples, begun ones included, are done at the service that is left."""

    async def lose_engine(world: w.StepWorld, vm: w.StepVm) -> None:
        lost = engine_of_first()
        vm.engines.slowdown[lost.target_id] = 1000.0
        await anyio.sleep(0.2)
        world.directory.apply_removal(lost.target_id, anyio.current_time())
        for run in list(w.owned_step(vm).running.values()):
            if run.target_id == lost.target_id:
                run.scope.cancel()

    play_split_step(monkeypatch, (80.0, 20.0), lose_engine)


def test_step_goes_on_while_the_lost_engine_is_still_listed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An engine that crashed stays in the list for three heartbeats, and rejects connections."""

    async def crash_engine(world: w.StepWorld, vm: w.StepVm) -> None:
        run = vm.engines.run

        async def refusing_run(assignment, progress):
            if assignment.replica.service == FIRST:
                stats = vm.engines.stats_registry.for_replica(assignment.replica)
                stats.record_failure(anyio.current_time())
                return w.scripted_outcome(w.SampleEnd.INTERRUPTED)
            return await run(assignment, progress)

        await anyio.sleep(0.1)
        monkeypatch.setattr(vm.engines, "run", refusing_run)
        for sample_run in list(w.owned_step(vm).running.values()):
            sample_run.scope.cancel()

    play_split_step(monkeypatch, (80.0, 20.0), crash_engine)


def test_samples_use_the_free_engines_of_all_services(monkeypatch: pytest.MonkeyPatch) -> None:
    """A service with a small weight takes what the other one has no slots for."""
    targets = play_split_step(monkeypatch, (1.0, 0.01), do_nothing, groups=6)
    assert {target for sent in targets.values() for target in sent} > {engine_of_first().target_id}


def test_samples_of_a_group_go_to_one_service_while_it_has_slots(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The targets of one service have the prompt of a group cached."""
    targets = play_split_step(monkeypatch, (50.0, 50.0), do_nothing, slots=32)
    first = engine_of_first().target_id
    services: dict[str, set[bool]] = {}
    for sample_id, sent in targets.items():
        services.setdefault(sample_id.split("-")[0], set()).update(t == first for t in sent)
    assert all(len(found) == 1 for found in services.values())
    assert set().union(*services.values()) == {True, False}


def test_interrupted_sample_does_not_go_on_at_another_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Both services call their software "v1", but it is not the same."""
    cut_samples = [f"{group}-{place}" for group in range(8) for place in range(4)]
    resumed: list[tuple[str, ServiceName, ServiceName]] = []

    async def cut_streams(world: w.StepWorld, vm: w.StepVm) -> None:
        vm.engines.cuts |= dict.fromkeys(cut_samples, 3)
        vm.engines.on_cut = lambda replica: None
        run = vm.engines.run

        async def checked_run(assignment, progress):
            if progress.events:
                software = world.directory.certain_software(progress.origin)
                service = assignment.replica.service
                resumed.append((assignment.sample.sample_id, software.service, service))
            return await run(assignment, progress)

        monkeypatch.setattr(vm.engines, "run", checked_run)

    play_split_step(monkeypatch, (50.0, 50.0), cut_streams)
    assert resumed
    assert all(begun == service for _, begun, service in resumed)


def test_slow_engine_is_left_only_for_one_of_the_same_service(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Moving a sample to another service would lose its events."""

    async def slow_down(world: w.StepWorld, vm: w.StepVm) -> None:
        vm.engines.slowdown[engine_of_first().target_id] = 3.0

    targets = play_split_step(
        monkeypatch, (50.0, 50.0), slow_down, groups=4, slots=16, event_count=30
    )
    by_service = [{t == engine_of_first().target_id for t in sent} for sent in targets.values()]
    assert all(len(services) == 1 for services in by_service)
