import random
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
from trio.testing import MockClock

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.configuration import Configuration, Service, ServiceKind, Target, Zone
from balsamcleat.decisions.admission import Admission
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.errors import AttemptFailedError, PlatformUnavailableError
from balsamcleat.model import (
    AttemptOutcome,
    EngineState,
    LoadReport,
    Role,
    ServiceName,
    TargetId,
    VmKind,
    VmRecord,
    WeightVersion,
    ZoneName,
)
from balsamcleat.ports import Clock
from balsamcleat.tasks.admission_controller import AdmissionController
from balsamcleat.tasks.target_messages import decode_zone_message, zone_digest
from balsamcleat.tasks.target_watch import TargetWatch, configured_targets

SERVICE, LOCAL_ZONE = ServiceName("kantor"), ZoneName("bern-a")
LEAVING_LIMIT_S = 3.0


class VirtualClock(Clock):
    def now_s(self) -> float:
        return anyio.current_time()

    def wall_s(self) -> float:
        return anyio.current_time()

    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)


class FakeEngine:
    """Engine that answers the requests of a target watch and counts the load requests."""

    def __init__(self) -> None:
        self.loads = 0

    async def load_report(self) -> LoadReport:
        self.loads += 1
        return LoadReport(3, 1, 16, 0.5, 0.0)

    async def state(self) -> EngineState:
        return EngineState(WeightVersion(1), None, (), Role.MIXED, 0, True)

    async def cache_events(self, after: int) -> tuple[()]:
        raise AttemptFailedError("no answer", step="test", peer=None, perhaps_sent=True)


class SimulatedZone:
    """Several VMs of one zone, each with a target watch, connected by in-memory notices."""

    def __init__(self, count: int) -> None:
        self.engines = {f"e{n}:80": FakeEngine() for n in range(3)}
        self.vm_records: list[VmRecord] = []
        self.vm_list_down = False
        self.links: dict[str, Any] = {}
        self.cross_zone_notices: list[tuple[str, bytes]] = []
        self.watches = [self.new_watch(f"vm-{number}") for number in range(count)]

    async def records(self) -> tuple[VmRecord, ...]:
        if self.vm_list_down:
            raise PlatformUnavailableError("down", step="test")
        return tuple(self.vm_records)

    def new_watch(self, vm_id: str) -> TargetWatch:
        async def broadcast_to_zone(kind: str, payload: bytes) -> None:
            for other, link in self.links.items():
                if other != vm_id:
                    link.notice_handlers[kind](payload)

        def alive(*, zone_only: bool = False) -> list[Any]:
            peers = [SimpleNamespace(vm_id=vm, zone=LOCAL_ZONE) for vm in self.links if vm != vm_id]
            remote_vm = SimpleNamespace(vm_id="far", zone=ZoneName("bern-b"), peer_address="far:1")
            return peers if zone_only else [*peers, remote_vm]

        async def send(address: str, message: Any) -> None:
            self.cross_zone_notices.append((message.kind, message.payload))

        membership = SimpleNamespace(
            zone_view=SimpleNamespace(summary_by_zone={}), alive_peers=alive
        )
        link: Any = SimpleNamespace(
            vm_id=vm_id,
            notice_handlers={},
            membership=membership,
            broadcast_to_zone=broadcast_to_zone,
        )
        link.peers, link.make_message = SimpleNamespace(send=send), lambda body: body
        self.links[vm_id] = link
        body = Configuration(
            zones={LOCAL_ZONE: Zone(region="r")},
            services={SERVICE: Service(kind=ServiceKind.ENGINE)},
            targets={
                f"e{n}": Target(service=SERVICE, zone=LOCAL_ZONE, address=f"e{n}:80")
                for n in range(3)
            },
        )
        keeper: Any = SimpleNamespace(current=SimpleNamespace(body=body), changed=anyio.Event())
        connections: Any = SimpleNamespace(engine=lambda target: self.engines[target.address])
        clock, metrics = VirtualClock(), MemoryMetrics()
        return TargetWatch(
            keeper,
            SimpleNamespace(records=self.records),  # type: ignore[arg-type]
            Router(LOCAL_ZONE, random.Random(vm_id)),
            AdmissionController(Admission(random.Random(1)), clock, metrics),
            connections,
            link,
            clock,
            random.Random(vm_id),
            metrics,
        )

    async def run_scenario(self, scenario: Callable[[], Awaitable[None]]) -> None:
        async with anyio.create_task_group() as group:
            for watch in self.watches:
                group.start_soon(watch.run)
            await anyio.sleep(2)
            await scenario()
            group.cancel_scope.cancel()

    def chosen_targets(self, vm_index: int) -> set[str]:
        router = self.watches[vm_index].router
        choices = [router.choose(RouteQuery(SERVICE)) for _ in range(60)]
        return {target.target_id for target in choices if target is not None}


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "trio", {"clock": MockClock(autojump_threshold=0)}


def leaving_record(name: str) -> VmRecord:
    return VmRecord(
        TargetId(name), VmKind.TARGET, LOCAL_ZONE, f"{name}:80", leaving=True, service=SERVICE
    )


@pytest.mark.anyio
@pytest.mark.parametrize("list_down", [False, True])
async def test_rejection_by_a_leaving_target_is_known_in_the_zone_within_three_seconds(
    list_down: bool,
) -> None:
    zone = SimulatedZone(3)

    async def scenario() -> None:
        zone.vm_list_down = list_down
        router = zone.watches[0].router
        router.record_start(TargetId("e1"))
        router.record_end(TargetId("e1"), AttemptOutcome.LEAVING)
        await anyio.sleep(LEAVING_LIMIT_S)
        assert [zone.chosen_targets(index) for index in range(3)] == [{"e0", "e2"}] * 3

    await zone.run_scenario(scenario)


@pytest.mark.anyio
async def test_listed_leaving_target_gets_no_requests_even_if_a_later_list_omits_it() -> None:
    """The VM list must take effect within three seconds, and a stale reading must not undo it."""
    zone = SimulatedZone(2)

    async def scenario() -> None:
        zone.vm_records = [leaving_record("e1")]
        await anyio.sleep(LEAVING_LIMIT_S)
        assert zone.chosen_targets(0) == zone.chosen_targets(1) == {"e0", "e2"}
        zone.vm_records = []
        await anyio.sleep(10)
        assert zone.chosen_targets(0) == zone.chosen_targets(1) == {"e0", "e2"}

    await zone.run_scenario(scenario)


@pytest.mark.anyio
async def test_one_vm_notifies_other_zones_of_a_leaving_target_and_the_receiver_relays_it() -> None:
    zone, other_zone = SimulatedZone(3), SimulatedZone(3)

    async def scenario() -> None:
        zone.vm_records = [leaving_record("e1")]
        await anyio.sleep(LEAVING_LIMIT_S)
        ((kind, payload),) = zone.cross_zone_notices
        other_zone.links["vm-1"].notice_handlers[kind](payload)
        await anyio.sleep(0.2)
        assert [other_zone.chosen_targets(index) for index in range(3)] == [{"e0", "e2"}] * 3
        assert not other_zone.cross_zone_notices

    async with anyio.create_task_group() as group:
        for watch in other_zone.watches:
            group.start_soon(watch.run)
        await zone.run_scenario(scenario)
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_each_engine_is_polled_by_one_vm_and_all_vms_know_its_load() -> None:
    load_requests = []
    for count in (1, 4):
        zone = SimulatedZone(count)

        async def scenario(zone: SimulatedZone = zone) -> None:
            await anyio.sleep(20)
            for watch in zone.watches:
                state = watch.router.target_state(TargetId("e0"))
                assert state is not None
                assert state.reported_in_flight == 4

        await zone.run_scenario(scenario)
        load_requests.append(sum(engine.loads for engine in zone.engines.values()))
    assert load_requests[1] < 1.3 * load_requests[0]


@pytest.mark.anyio
async def test_zone_summary_contains_the_digest_of_each_service() -> None:
    zone = SimulatedZone(1)

    async def scenario() -> None:
        (news,) = decode_zone_message(zone.links["vm-0"].make_zone_payload()).digests
        digest = zone_digest(news)
        assert (digest.service, digest.targets, digest.capacity, digest.load) == (
            SERVICE,
            3,
            48.0,
            12.0,
        )

    await zone.run_scenario(scenario)


@pytest.mark.anyio
async def test_zone_summary_carries_leaving_targets_and_the_age_of_their_marks() -> None:
    zone = SimulatedZone(1)

    async def scenario() -> None:
        zone.vm_records = [leaving_record("e1")]
        await anyio.sleep(LEAVING_LIMIT_S)
        made_at_s = anyio.current_time() - 1.0
        payload = zone.links["vm-0"].make_zone_payload()
        remote = zone.watches[0]
        remote.router = Router(ZoneName("bern-b"), random.Random(1))
        remote.router.configure(configured_targets(remote.keeper.current.body))
        summary = SimpleNamespace(summary=SimpleNamespace(payload=payload), made_at_s=made_at_s)
        remote.link.membership.zone_view.summary_by_zone[LOCAL_ZONE] = summary  # type: ignore[assignment]
        remote.router.tick(anyio.current_time())
        remote.apply_zone_summaries()
        assert zone.chosen_targets(0) == {"e0", "e2"}
        (mark,) = remote.router.leaving_tracker.all_marks(anyio.current_time())
        assert mark.age_s >= 1.0

    await zone.run_scenario(scenario)


@pytest.mark.anyio
async def test_malformed_notices_are_counted_and_dropped() -> None:
    zone = SimulatedZone(1)

    async def scenario() -> None:
        for notice in zone.links["vm-0"].notice_handlers.values():
            notice(b"\xc1 not news")
        assert zone.watches[0].metrics.counters["target.news.refused"] == 3  # type: ignore[attr-defined]

    await zone.run_scenario(scenario)
