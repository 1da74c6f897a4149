"""The holder's loop that orders targets: what is stored and sent, and what happens on failures."""

import random
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio
import msgspec
import pytest
import trio.testing

from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.entry.scaling import build_scaling_controller
from balsamcleat.model import (
    ConfigurationVersion,
    ServiceName,
    StepId,
    TargetId,
    VmId,
    WeightVersion,
    ZoneName,
)
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import (
    AutoscaleSpec,
    EngineSpec,
    Route,
    RouteKind,
    RoutingTable,
    ServiceSpec,
    WeightedService,
)
from balsamcleat.ports.duties import (
    DutyClient,
    DutyLease,
    DutyOutcome,
    DutyStamp,
    TargetCountOrder,
    UsageReport,
)
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.placement_view import PlacementView
from balsamcleat.tasks.rollout_records import OwnerRecord
from balsamcleat.tasks.routing_keeper import RoutingKeeper
from balsamcleat.tasks.scaling_controller import ScalingController
from balsamcleat.tasks.scaling_records import SCALING_TABLE
from balsamcleat.tasks.step_feed import KnownStep
from balsamcleat.tasks.store_clock import StoreClock

ENGINES = ServiceName("engines")
PLAIN = ServiceName("plain")
ZONES = (ZoneName("a"), ZoneName("b"), ZoneName("c"))
SPEC = AutoscaleSpec(1, 15, 4.0, 0.18, dict.fromkeys(ZONES, 1.0))


def run(test: Callable[[], Awaitable[None]]) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


def routing_table(spec: AutoscaleSpec | None = SPEC) -> RoutingTable:
    engine = EngineSpec(8, 1000, ("m",))
    route = Route(
        "steps",
        "host",
        "/steps/",
        RouteKind.ROLLOUT,
        (WeightedService(ENGINES),),
        10.0,
        1.0,
        step_deadline_s=7.5,
        step_expiry_s=12.0,
    )
    services = {
        ENGINES: ServiceSpec(ENGINES, 100, engine, spec),
        PLAIN: ServiceSpec(PLAIN, 100),
    }
    return RoutingTable(ConfigurationVersion(1), (route,), services)


class FakeLease(DutyLease):
    """Lease that a test gives and takes away."""

    def __init__(self) -> None:
        self.held: DutyStamp | None = DutyStamp(VmId("v1"), 1)
        self.may_call = True
        self.open_calls = 0

    @property
    def stamp(self) -> DutyStamp | None:
        return self.held

    async def begin_calls(self) -> bool:
        self.open_calls += self.held is not None
        return self.held is not None

    async def end_calls(self) -> None:
        self.open_calls -= 1

    def report_fault(self) -> None:
        return None

    def can_call(self) -> bool:
        return self.held is not None and self.may_call


class FakeClient(DutyClient):
    """Platform that carries out orders at once, in a directory of targets."""

    def __init__(self, world: "ControllerWorld") -> None:
        self.world = world
        self.outcomes: deque[DutyOutcome] = deque()
        self.calls: list[tuple[float, TargetCountOrder, DutyStamp]] = []
        # Calls whose number was not stored, or that the lease does not know of.
        self.premature_calls: list[TargetCountOrder] = []
        self.delay_s = 0.01

    async def report_usage(self, report: UsageReport, stamp: DutyStamp) -> DutyOutcome:
        raise AssertionError("not this duty")

    async def order_targets(self, order: TargetCountOrder, stamp: DutyStamp) -> DutyOutcome:
        stored = self.world.row(order.zone).get("reclaimable" if order.reclaimable else "firm", 0)
        if stored != order.count or self.world.lease.open_calls != 1:
            self.premature_calls.append(order)
        self.calls.append((anyio.current_time(), order, stamp))
        await anyio.sleep(self.delay_s)
        outcome = self.outcomes.popleft() if self.outcomes else DutyOutcome.ACCEPTED
        if outcome is DutyOutcome.ACCEPTED:
            self.world.set_targets(order.zone, order.reclaimable, order.count)
        return outcome


class ControllerWorld:
    """A controller with its fakes; all times are on one virtual clock."""

    def __init__(self) -> None:
        self.rows = MemoryRowStore()
        self.flaws = RowStoreFlaws(delay_s=0.003)
        self.lease = FakeLease()
        self.client = FakeClient(self)
        self.directory = ReplicaDirectory()
        self.routing = RoutingKeeper(lambda: None)
        self.routing.table = routing_table()
        self.routing.named_versions = {"m": WeightVersion(3)}
        self.steps: dict[StepId, KnownStep] = {}
        self.entry_version = 0
        self.controller = self.build()
        for zone in ZONES:
            self.set_targets(zone, False, 4)

    def build(self) -> ScalingController:
        stats = ReplicaStatsRegistry()
        store_clock = StoreClock(lambda: anyio.current_time() + 1000.0)
        store_clock.synchronize(1)
        controller = build_scaling_controller(
            self.lease,
            self.client,
            RowStoreView(self.rows, self.flaws),
            store_clock,
            self.routing,
            self.directory,
            stats,
            PlacementView(self.directory, stats, ZONES[0], lambda _: frozenset()),
            lambda: self.steps,
        )
        assert controller is not None
        return controller

    def set_targets(self, zone: ZoneName, reclaimable: bool, count: int) -> None:
        """List the given number of targets of a kind in a zone."""
        kind = "r" if reclaimable else "f"
        for number in range(30):
            target_id = TargetId(f"{zone}{kind}{number}")
            if number >= count:
                self.directory.apply_removal(target_id, 0.0)
            elif target_id not in self.directory.entries:
                self.list_target(target_id, zone, reclaimable)

    def list_target(
        self,
        target_id: TargetId,
        zone: ZoneName,
        reclaimable: bool,
        state: ReplicaState = ReplicaState.READY,
        leaves_s: float | None = None,
    ) -> None:
        self.entry_version += 1
        replica = Replica(
            target_id,
            ENGINES,
            "10.0.0.1:80",
            zone,
            state,
            8,
            versions={"m": WeightVersion(3)},
            entry_version=self.entry_version,
            reclaimable=reclaimable,
            leaves_s=leaves_s,
        )
        self.directory.apply_entry(replica, 0.0)

    def row(self, zone: ZoneName) -> dict[str, int]:
        value, _ = self.rows.rows[RowKey(SCALING_TABLE, "", f"{ENGINES}/{zone}")]
        return msgspec.json.decode(value)

    async def trainer(self, samples: int = 120) -> None:
        """Submit a step every 4 s, which takes 3 s."""
        number = 0
        while True:
            number += 1
            accepted_ms = self.controller.store_clock.now_ms()
            owner = OwnerRecord("v", "b", "host", "/steps/x", accepted_ms, samples, "m")
            step_id = StepId(f"s{number}")
            self.steps[step_id] = KnownStep(owner, 1, 1)
            await anyio.sleep(3.0)
            self.steps[step_id].ended = True
            await anyio.sleep(1.0)

    async def keep_list_fresh(self) -> None:
        while True:
            self.directory.record_read(anyio.current_time())
            await anyio.sleep(0.5)


def play(script: Callable[[ControllerWorld], Awaitable[None]], **changes: object) -> None:
    """Run a controller with a trainer while a script changes its world."""

    async def test() -> None:
        world = ControllerWorld()
        world.routing.table = changes.get("table", world.routing.table)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.keep_list_fresh)
            tasks.start_soon(world.trainer)
            tasks.start_soon(world.controller.run)
            await script(world)
            tasks.cancel_scope.cancel()
        assert world.client.premature_calls == []

    run(test)


def sent(world: ControllerWorld, since_s: float = 0.0) -> list[tuple[str, bool, int]]:
    return [
        (order.zone, order.reclaimable, order.count)
        for at_s, order, _ in world.client.calls
        if at_s >= since_s
    ]


def test_no_order_before_all_targets_of_a_new_deployment_are_listed() -> None:
    """Targets register one after the other, and an order for a zone releases those not yet listed.

    A controller that decided at the first sight of two targets ordered one target for a zone of
    eight.
    """

    async def script(world: ControllerWorld) -> None:
        for zone in ZONES:
            world.set_targets(zone, False, 0)
        for zone in ZONES:
            for count in range(1, 8):
                await anyio.sleep(0.2)
                world.set_targets(zone, False, count)
                assert not world.client.calls and not world.rows.rows
        await anyio.sleep(4.5)
        assert [world.row(zone)["firm"] for zone in ZONES] == [7, 7, 7]
        assert all(reclaimable or count >= 7 for _, reclaimable, count in sent(world))

    play(script)


def test_missing_targets_are_ordered_after_their_number_was_stored() -> None:
    """A number that was sent and not stored is unknown to the next holder."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(5.0)
        # The fake client notes calls whose number is not stored yet.
        assert sent(world) == [("a", True, 2), ("b", True, 1), ("c", True, 1)]
        ordered = sum(world.row(z)["firm"] + world.row(z).get("reclaimable", 0) for z in ZONES)
        assert ordered == 16
        assert world.lease.open_calls == 0

    play(script)


def test_orders_are_a_few_per_second() -> None:
    """All VMs share the platform's rate limit with the usage reports."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(150.0)
        times_s = [at_s for at_s, _, _ in world.client.calls]
        assert all(
            sum(at_s <= other_s < at_s + 1.0 for other_s in times_s) <= 4 for at_s in times_s
        )

    play(script)


def test_vm_without_the_lease_neither_writes_nor_sends() -> None:
    """Two VMs that order at the same time would undo each other's orders."""

    async def script(world: ControllerWorld) -> None:
        world.lease.held = None
        await anyio.sleep(60.0)
        assert sent(world) == []
        assert not world.rows.rows

    play(script)


@pytest.mark.parametrize("spec", [None])
def test_nothing_is_ordered_without_limits_in_the_configuration(spec: None) -> None:
    """Deployments of a fixed size must not change."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(60.0)
        assert sent(world) == []
        assert not world.rows.rows

    play(script, table=routing_table(spec))


def test_no_controller_is_built_without_the_duty() -> None:
    """A VM whose settings do not have the duty must not take part in it."""

    async def test() -> None:
        world = ControllerWorld()
        stats = ReplicaStatsRegistry()
        view = PlacementView(world.directory, stats, ZONES[0], lambda _: frozenset())
        for lease, client in ((None, world.client), (world.lease, None)):
            assert (
                build_scaling_controller(
                    lease,
                    client,
                    RowStoreView(world.rows),
                    StoreClock(),
                    world.routing,
                    world.directory,
                    stats,
                    view,
                    dict,
                )
                is None
            )

    run(test)


def test_order_is_not_sent_once_the_lease_has_lapsed() -> None:
    """A VM that was frozen between the write and the call may no longer be the holder."""

    async def script(world: ControllerWorld) -> None:
        world.lease.may_call = False
        await anyio.sleep(5.0)
        assert sent(world) == []
        world.lease.may_call = True
        await anyio.sleep(5.0)
        assert len(sent(world)) >= 3

    play(script)


def test_store_outage_delays_orders_and_loses_none() -> None:
    """Without the store, the next holder could not learn what was ordered."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(60.0)
        world.flaws.down = True
        world.set_targets(ZONES[0], False, world.row(ZONES[0])["firm"] - 1)
        before_s = anyio.current_time()
        await anyio.sleep(5.0)
        assert sent(world, before_s) == []
        world.flaws.down = False
        await anyio.sleep(2.0)
        assert ("a", False, world.row(ZONES[0])["firm"]) in sent(world, before_s)

    play(script)


@pytest.mark.parametrize("flaw", ["lose_answers", "hold_commits"])
def test_write_without_response_is_read_back_and_its_order_sent(flaw: str) -> None:
    """The row may or may not have been written; the order must be sent once it is."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(0.1)
        setattr(world.flaws, flaw, 5)
        await anyio.sleep(5.0)
        world.rows.release()
        await anyio.sleep(15.0)
        listed = len(world.directory.ready_replicas(ENGINES))
        ordered = sum(world.row(z)["firm"] + world.row(z).get("reclaimable", 0) for z in ZONES)
        assert listed == ordered >= 16

    play(script)


def test_row_changed_by_another_vm_is_read_again() -> None:
    """A holder that was slow must not overwrite the orders of its successor."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(60.0)
        key = RowKey(SCALING_TABLE, "", f"{ENGINES}/a")
        reclaimed_ms = world.controller.store_clock.now_ms()
        value = msgspec.json.encode({**world.row(ZONES[0]), "reclaimed_ms": reclaimed_ms})
        world.rows.apply(RowCommit((RowWrite(key, value),)))
        world.set_targets(ZONES[0], False, 1)
        before_s = anyio.current_time()
        await anyio.sleep(3.0)
        assert any(zone == "a" for zone, _, _ in sent(world, before_s))
        assert world.row(ZONES[0])["reclaimed_ms"] == reclaimed_ms

    play(script)


def test_next_holder_reads_the_orders_and_repeats_them() -> None:
    """The earlier holder may have died after it stored an order."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(60.0)
        stored = {zone: world.row(zone) for zone in ZONES}
        world.set_targets(ZONES[1], True, 0)
        world.lease.held = DutyStamp(VmId("v1"), 2)
        before_s = anyio.current_time()
        await anyio.sleep(4.0)
        assert ("b", True, stored[ZONES[1]]["reclaimable"]) in sent(world, before_s)
        stamps = {stamp.fencing_token for at_s, _, stamp in world.client.calls if at_s >= before_s}
        assert stamps == {2}

    play(script)


def test_lost_target_is_ordered_again_within_a_second() -> None:
    """Each second without the target delays samples."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(70.0)
        firm = world.row(ZONES[2])["firm"]
        world.set_targets(ZONES[2], False, firm - 1)
        before_s = anyio.current_time()
        await anyio.sleep(1.0)
        assert sent(world, before_s) == [("c", False, firm)]

    play(script)


def test_announced_departure_of_a_zone_is_made_up_for_at_once() -> None:
    """The replacements must start before the reclaimable targets are gone."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(120.0)
        firm, reclaimable = world.row(ZONES[0])["firm"], world.row(ZONES[0])["reclaimable"]
        for number in range(reclaimable):
            target_id = TargetId(f"ar{number}")
            world.list_target(target_id, ZONES[0], True, ReplicaState.DRAINING, 2.0)
        before_s = anyio.current_time()
        await anyio.sleep(1.0)
        zone, is_reclaimable, count = sent(world, before_s)[0]
        assert (zone, is_reclaimable) == ("a", False)
        assert count > firm
        assert world.row(ZONES[0])["reclaimed_ms"] > 0

    play(script)


def test_old_list_of_targets_orders_nothing() -> None:
    """A VM whose list is old would replace targets that are there."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(60.0)
        world.controller.inputs.directory = stale = ReplicaDirectory()
        stale.apply_listing(dict(list(world.directory.entries.items())[:3]), 0.0)
        before_s = anyio.current_time()
        await anyio.sleep(20.0)
        assert sent(world, before_s) == []

    play(script)


def test_unknown_form_of_a_row_counts_as_no_order() -> None:
    """A row of another build must not end the loop, nor be taken for an order of no targets."""

    async def script(world: ControllerWorld) -> None:
        for zone in ZONES:
            key = RowKey(SCALING_TABLE, "", f"{ENGINES}/{zone}")
            world.rows.apply(RowCommit((RowWrite(key, b'{"firm":"x"}'),)))
        await anyio.sleep(10.0)
        assert len(world.directory.ready_replicas(ENGINES)) == 16
        assert all(world.row(zone)["firm"] == 4 for zone in ZONES)

    play(script)


def test_fault_of_the_decision_does_not_end_the_process() -> None:
    """Callers must be served although nothing can be decided."""

    async def script(world: ControllerWorld) -> None:
        versions = world.controller.inputs.versions
        world.controller.inputs.versions = lambda _: 1 // 0
        await anyio.sleep(10.0)
        assert sent(world) == []
        world.controller.inputs.versions = versions
        await anyio.sleep(10.0)
        assert sent(world)

    play(script)


def test_slow_platform_does_not_make_steps_seem_late() -> None:
    """While an order waits for its response, steps end and are not seen."""

    async def script(world: ControllerWorld) -> None:
        world.client.delay_s = 3.5
        await anyio.sleep(60.0)
        history = world.controller.inputs.histories[ENGINES]
        durations = [record.duration_s for record in history.records.values() if record.closed_s]
        assert len(durations) >= 14
        assert all(duration is not None and duration <= 3.5 for duration in durations)

    play(script)


def test_gauges_name_wanted_and_ready_targets() -> None:
    """Operators compare them; two VMs that both report them would count all targets twice."""

    async def script(world: ControllerWorld) -> None:
        await anyio.sleep(10.0)
        metrics = TextMetrics()
        world.controller.report_gauges(metrics)
        assert metrics.gauges["targets.wanted.engines.a.firm"] == 4
        assert metrics.gauges["targets.ready.engines.a.firm"] == 4
        world.lease.held = None
        await anyio.sleep(1.0)
        world.controller.report_gauges(metrics)
        assert not any(metrics.gauges.values())

    play(script)


@pytest.mark.parametrize("seed", range(3))
def test_random_failures_never_empty_a_zone_and_end_with_enough_targets(seed: int) -> None:
    """Outages, lost responses, changes of the holder and refusals in any order."""
    rng = random.Random(seed)

    async def script(world: ControllerWorld) -> None:
        for _ in range(40):
            await anyio.sleep(rng.uniform(0.5, 5.0))
            fault = rng.randrange(6)
            if fault == 0:
                world.flaws.lose_answers = rng.randrange(3)
            elif fault == 1:
                world.flaws.down = not world.flaws.down
            elif fault == 2:
                world.lease.held = DutyStamp(VmId("v1"), 2 + int(anyio.current_time() * 10))
            elif fault == 3:
                world.client.outcomes.extend(rng.choices(list(DutyOutcome), k=2))
            elif fault == 4:
                zone = rng.choice(ZONES)
                ready = world.row(zone)["firm"] if world.rows.rows else 4
                world.set_targets(zone, False, max(0, ready - 1))
            world.rows.release()
        world.flaws.down = False
        await anyio.sleep(90.0)
        for zone in ZONES:
            assert world.row(zone)["firm"] >= 1
        assert len(world.directory.ready_replicas(ENGINES)) >= 16
        assert all(order.count >= 1 or order.reclaimable for _, order, _ in world.client.calls)

    play(script)


def test_each_service_of_a_split_route_is_scaled_for_its_share_of_a_step() -> None:
    """The first service of the route once was scaled for all samples, the others for none."""
    second = ServiceName("second")

    async def script(world: ControllerWorld) -> None:
        table = routing_table()
        shares = (WeightedService(ENGINES, 20.0), WeightedService(second, 80.0))
        services = {**table.services, second: replace(table.services[ENGINES], name=second)}
        routes = (replace(table.routes[0], shares=shares),)
        split = RoutingTable(ConfigurationVersion(2), routes, services)
        inputs = world.controller.inputs
        owner = OwnerRecord("v", "b", "host", "/steps/x", 1_000_000, 100, "m")
        world.steps[StepId("s")] = KnownStep(owner, 1, 1)
        inputs.observe(split, 1000.1)
        records = [inputs.histories[name].records[StepId("s")] for name in (ENGINES, second)]
        assert [record.samples for record in records] == [20, 80]

    play(script)
