"""What is counted per target while its entry leaves the list and comes back, or it starts again.

Entries of targets that lost the store for some seconds are removed and come back under their ids,
while requests run there. Their measurements were replaced by new ones that took the number of
running attempts over, but the attempts decremented the old ones. The target counted as full for as
long as the VM's process ran, and every further removal added to that.
"""

from dataclasses import dataclass, field, replace

import anyio
import pytest

import step_world as w
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.target_path import TargetCondition
from balsamcleat.http1 import ConnectionPool, PoolLimits
from balsamcleat.model import TargetId, WeightVersion
from balsamcleat.model.replicas import Replica, ReplicaReport
from balsamcleat.model.routing import RouteKind
from balsamcleat.tasks.replica_keeper import ReplicaKeeper
from live_world import LiveWorld, attempt_id, live_world, response_bytes, route
from lost_links import Cut, LinkedNetwork
from raw_target import RawTarget
from test_step_ownership import run_test
from test_stream_forwarding import ALL_EVENTS, EVENTS, chunk, event_bytes
from test_version_orders import LoadingEngines, load_controller

REPLICA = w.make_engine(1)
RESTARTED = replace(REPLICA, started_ms=5, entry_version=2)


def keeper(directory: ReplicaDirectory, registry: ReplicaStatsRegistry) -> ReplicaKeeper:
    pool = ConnectionPool(PoolLimits())
    return ReplicaKeeper(directory, registry, pool, lambda: None, lambda *_: None)


class TestRegistry:
    def test_attempt_ends_at_the_start_at_which_it_began(self) -> None:
        registry = ReplicaStatsRegistry()
        stats = registry.for_replica(REPLICA)
        stats.in_flight += 1
        registry.remove(REPLICA.target_id)
        assert registry.for_replica(REPLICA).in_flight == 1
        stats.in_flight -= 1
        assert registry.for_replica(REPLICA).in_flight == 0

    def test_each_of_several_removals_counts_an_attempt_once(self) -> None:
        registry = ReplicaStatsRegistry()
        attempts = []
        for _ in range(3):
            attempts.append(registry.for_replica(REPLICA))
            attempts[-1].in_flight += 1
            registry.remove(REPLICA.target_id)
        assert registry.for_replica(REPLICA).in_flight == 3
        for stats in attempts:
            stats.in_flight -= 1
        assert registry.for_replica(REPLICA).in_flight == 0

    def test_target_that_started_again_has_no_attempts_and_no_failures(self) -> None:
        """Nothing of the start before fills the slots of the new one."""
        registry = ReplicaStatsRegistry()
        before = registry.for_replica(REPLICA)
        before.in_flight += 2
        before.record_failure(1.0)
        after = registry.for_replica(RESTARTED)
        assert (after.in_flight, after.is_avoided(1.0)) == (0, False)
        after.in_flight += 1
        before.in_flight -= 2
        assert registry.for_replica(RESTARTED).in_flight == 1

    def test_late_attempt_at_an_earlier_start_leaves_the_new_one_alone(self) -> None:
        registry = ReplicaStatsRegistry()
        registry.for_replica(RESTARTED).in_flight += 1
        registry.for_replica(REPLICA).record_failure(1.0)
        assert registry.for_replica(RESTARTED).in_flight == 1
        assert not registry.for_replica(RESTARTED).is_avoided(1.0)

    def test_measurements_of_removed_targets_do_not_pile_up(self) -> None:
        registry = ReplicaStatsRegistry()
        for started_ms in range(100):
            registry.for_replica(replace(REPLICA, started_ms=started_ms))
            registry.remove(REPLICA.target_id)
        assert not registry.by_target
        assert not registry.unlisted


def test_engines_whose_entries_were_away_get_samples_again() -> None:
    """Samples that run while the entries are away end at once; the next step uses all slots."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        lists = keeper(world.directory, vm.runner.stats_registry)
        for number in range(3):
            step_id = f"step-{number}"
            assert await vm.submit(w.make_submission(3, 4, 3, step_id)) == 202
            await anyio.sleep(0.2)
            entries = list(world.directory.entries.values())
            for entry in entries:
                removal = world.directory.apply_removal(entry.target_id, anyio.current_time())
                lists.apply_changes(removal, 0)
            await anyio.sleep(0.1)
            for entry in entries:
                back = replace(entry, entry_version=entry.entry_version + 1)
                lists.apply_changes(world.directory.apply_entry(back), 0)
            await world.wait_for_results(12, 3.0, step_id)
        loads = [
            vm.runner.stats_registry.for_replica(entry).in_flight
            for entry in world.directory.entries.values()
        ]
        assert loads == [0, 0, 0]

    run_test(test, engines=3, slots=4)


def test_target_that_started_again_is_ordered_without_waiting_for_the_order_before() -> None:
    """No report can end the order to the start before, which may have had another address."""

    async def test() -> None:
        directory, engines = ReplicaDirectory(), LoadingEngines()
        directory.apply_entry(REPLICA)
        controller = load_controller(directory, engines, {w.MODEL: WeightVersion(2)})
        fetch_report = controller.fetch_report

        async def fetch_report_of_new_start(replica: Replica) -> ReplicaReport | None:
            return None if replica.start == REPLICA.start else await fetch_report(replica)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controller.run)
            await anyio.sleep(1.5)
            assert controller.loading_models(REPLICA.target_id)
            controller.fetch_report = fetch_report_of_new_start  # type: ignore[method-assign]
            directory.apply_entry(RESTARTED, anyio.current_time())
            restarted_s = anyio.current_time()
            await anyio.sleep(2.0)
            assert engines.ordered_at_s[REPLICA.target_id] > restarted_s
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(test)


# Live requests.


@dataclass
class HeldRequest:
    """A request that a target holds until it is released.

    Attributes:
        is_stream: Whether the target streams, and holds all events but the first.
        headers: Further headers of the response.
    """

    is_stream: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    arrived: anyio.Event = field(default_factory=anyio.Event)
    released: anyio.Event = field(default_factory=anyio.Event)

    async def script(self, target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        attempt = attempt_id(await target.read_request(stream))
        if self.is_stream:
            head = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            await stream.send(head + chunk(event_bytes(1)))
        self.arrived.set()
        await self.released.wait()
        if self.is_stream:
            events = b"".join(chunk(event_bytes(number)) for number in range(2, EVENTS + 1))
            await stream.send(events + b"0\r\n\r\n")
        else:
            await stream.send(response_bytes(attempt, b"body", **self.headers))


def cut_from_list(world: LiveWorld) -> None:
    """Remove the entry of the first target from the list, and list it again."""
    for vm in world.vms:
        entry = vm.directory.entries[TargetId("t0")]
        removal = vm.directory.apply_removal(entry.target_id, anyio.current_time())
        vm.keeper.apply_changes(removal, 0)
        back = replace(entry, entry_version=entry.entry_version + 1)
        vm.keeper.apply_changes(vm.directory.apply_entry(back), 0)


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (RouteKind.IDEMPOTENT, b"body"),
        (RouteKind.AT_MOST_ONCE, b"body"),
        (RouteKind.STREAM, ALL_EVENTS),
    ],
)
async def test_live_request_counts_once_while_the_entry_of_its_target_is_away(
    kind: RouteKind, expected: bytes
) -> None:
    held = HeldRequest(is_stream=kind is RouteKind.STREAM)
    async with live_world([held.script], route(kind, objective_s=2.0)) as world:
        caller = await world.connect()
        await caller.send_request("a1")
        await held.arrived.wait()
        cut_from_list(world)
        registry = world.vms[0].forwarder.stats_registry
        entry = world.vms[0].directory.entries[TargetId("t0")]
        assert registry.for_replica(entry).in_flight == 1
        held.released.set()
        assert (await caller.read_response())[2] == expected
        await anyio.wait_all_tasks_blocked()
        assert registry.for_replica(entry).in_flight == 0


@pytest.mark.anyio
async def test_limit_named_by_a_start_that_left_the_list_is_not_kept() -> None:
    """It would count as a limited target of this VM for good."""
    held = HeldRequest(headers={"Server_Limit": "2"})
    async with live_world([held.script], route(RouteKind.AT_MOST_ONCE)) as world:
        caller = await world.connect()
        await caller.send_request("a1")
        await held.arrived.wait()
        world.remove_target(0)
        held.released.set()
        assert (await caller.read_response())[2] == b"body"
        assert not world.vms[0].forwarder.stats_registry.limits.targets


@pytest.mark.anyio
async def test_request_that_is_passed_on_counts_once_while_the_entry_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The VM that passes it on counts it as well."""
    held, network = HeldRequest(), LinkedNetwork(monkeypatch)
    async with live_world([held.script], route(), vm_count=2, network=network) as world:
        await world.strand(0, Cut.REFUSE)
        caller = await world.connect()
        await caller.send_request("a1")
        with anyio.fail_after(2.0):
            await held.arrived.wait()
        cut_from_list(world)
        held.released.set()
        assert (await caller.read_response())[2] == b"body"
        await anyio.wait_all_tasks_blocked()
        for vm in world.vms:
            (entry,) = vm.directory.entries.values()
            assert vm.forwarder.stats_registry.for_replica(entry).in_flight == 0


@pytest.mark.anyio
async def test_link_to_a_target_that_started_again_is_not_held_to_be_lost() -> None:
    async with live_world([HeldRequest().script], route()) as world:
        paths = world.vms[0].paths
        entry = world.vms[0].directory.entries[TargetId("t0")]
        paths.record_check(entry, TargetCondition.ENDED, [])
        assert paths.is_unreachable(entry)
        world.restart_target(0, 7)
        restarted = world.vms[0].directory.entries[TargetId("t0")]
        assert not paths.is_unreachable(restarted)
        paths.record_check(entry, TargetCondition.ENDED, [])
        assert not paths.is_unreachable(restarted)
