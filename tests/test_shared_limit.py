"""Targets get no more requests than the limits that they name, from all VMs together."""

import random
from itertools import pairwise

import anyio
import pytest

import step_world
from balsamcleat.bench.limit_model import (
    ALLOWED_REQUESTS,
    LimitLoad,
    allowed_requests,
    count_in_worst_window,
    play_limit,
)
from balsamcleat.bench.limits import (
    LIMIT_LOADS,
    everywhere,
    moving_owner,
    owner,
    run_limits,
)
from balsamcleat.decisions.limit_parts import EVEN_PART, LimitNotice, LimitReport, VmDemand
from balsamcleat.decisions.live_queue import LiveQueue, Rejected, SlotEstimate, new_ticket
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.shared_limit import (
    LIVE_REQUESTS_PER_SAMPLE,
    MAX_LIMIT_PER_S,
    STALE_VIEW_S,
    TargetLimits,
)
from balsamcleat.decisions.vm_watch import VmFailureDetector
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, PoolLimits, Request
from balsamcleat.model import FailureKind, ServiceName, TargetId
from balsamcleat.model.routing import RouteKind
from balsamcleat.platform import CORRELATION_HEADER, parse_announced_limit
from balsamcleat.ports.rows import RowChange, RowKey
from balsamcleat.standins.row_store import RowStoreFlaws, RowStoreView
from balsamcleat.tasks.limit_sharing import LimitSharing
from balsamcleat.tasks.rollout_records import VM_PART, VMS_TABLE
from balsamcleat.tasks.target_exchange import TargetExchange
from balsamcleat.tasks.vm_presence import decode_vm
from live_world import LiveWorld, attempt_id, listed_replica, live_world, response_bytes, route
from raw_target import RawTarget

TARGET, SERVICE = TargetId("t0"), ServiceName("service")
LIMIT_PER_S = 2.0


def one_vm(limit_per_s: float | None = LIMIT_PER_S) -> TargetLimits:
    """Return the limits of a VM that is alone and has seen a target's limit at 0 s."""
    limits = TargetLimits(random.Random(1))
    limits.vm = "a"
    limits.apply_view((VmDemand("a", LimitReport()),), lambda _: SERVICE, 0.0)
    limits.record_response(TARGET, SERVICE, limit_per_s, 0.0)
    return limits


LOADS = list(LIMIT_LOADS.values())


def random_load(generator: random.Random) -> LimitLoad:
    """Return a load of VMs that each are busy at times, while some read no rows."""
    vm_count = generator.randint(2, 16)
    rates = [generator.choice((0.0, 0.5, 5.0, 60.0)) for _ in range(vm_count)]
    periods_s = [generator.uniform(1.0, 12.0) for _ in range(vm_count)]
    phases_s = [generator.uniform(0.0, 12.0) for _ in range(vm_count)]
    cut_from_s, cut_for_s = generator.uniform(2.0, 15.0), generator.uniform(1.0, 12.0)
    cut = range(generator.randint(0, vm_count))

    def rate_per_s(number: int, now_s: float) -> float:
        is_busy = (now_s + phases_s[number]) % periods_s[number] < periods_s[number] / 2
        return rates[number] if is_busy else 0.0

    def cut_vms(now_s: float) -> range:
        return cut if cut_from_s <= now_s < cut_from_s + cut_for_s else range(0)

    limit_per_s = generator.choice((0.0, 0.3, 1.0, 4.0, 15.0, 60.0))
    return LimitLoad(vm_count, limit_per_s, rate_per_s, 30.0, cut_vms)


class TestManyVms:
    @pytest.mark.parametrize("limit_per_s", [0.1, 1.0, 5.0, 40.0])
    @pytest.mark.parametrize("rate_per_s", LOADS)
    @pytest.mark.parametrize("vm_count", [1, 12])
    def test_sum_of_all_vms_stays_within_the_limit(
        self, vm_count: int, rate_per_s, limit_per_s: float
    ) -> None:
        for seed in range(1, 4):
            load = LimitLoad(vm_count, limit_per_s, rate_per_s)
            figures = play_limit(load, "shared", seed)
            assert figures.most_in_window <= figures.allowed_in_window

    @pytest.mark.parametrize("rate_per_s", LOADS)
    def test_hundreds_of_vms_stay_within_the_limit(self, rate_per_s) -> None:
        figures = play_limit(LimitLoad(195, 1.0, rate_per_s, duration_s=12.0), "shared", 1)
        assert figures.most_in_window <= figures.allowed_in_window

    def test_even_parts_waste_the_limit_or_pass_it(self) -> None:
        """The simplest way: one VM can't use the parts of the others, and savings add up."""
        shared = play_limit(LimitLoad(12, 5.0, owner), "shared", 1)
        even = play_limit(LimitLoad(12, 5.0, owner), "even", 1)
        assert shared.used_share > 5 * even.used_share
        many = play_limit(LimitLoad(195, 1.0, everywhere, duration_s=12.0), "even", 1)
        assert many.most_in_window > many.allowed_in_window

    @pytest.mark.parametrize("cut", [range(1), range(6), range(12)], ids=["one", "half", "all"])
    def test_vms_that_read_no_rows_do_not_pass_the_limit(self, cut: range) -> None:
        for seed in range(1, 4):
            load = LimitLoad(
                12, 2.0, moving_owner, cut_vms=lambda now_s: cut if 8 < now_s < 16 else range(0)
            )
            figures = play_limit(load, "shared", seed)
            assert figures.most_in_window <= figures.allowed_in_window
            assert figures.used_share > 0.5

    @pytest.mark.parametrize("seed", range(1, 9))
    def test_random_loads_and_cuts_stay_within_the_limit(self, seed: int) -> None:
        figures = play_limit(random_load(random.Random(seed)), "shared", seed)
        assert figures.most_in_window <= figures.allowed_in_window

    def test_report_shows_use_and_excess_of_the_limit(self, tmp_path) -> None:
        outcome = run_limits(1, 10.0, tmp_path, vm_counts=(12,))
        assert not outcome.broken_bounds
        assert "most in 4 s" in outcome.text
        assert (tmp_path / "limits.md").exists()


class TestDecision:
    def test_vm_that_has_read_no_rows_sends_nothing(self) -> None:
        limits = TargetLimits()
        limits.vm = "a"
        limits.record_response(TARGET, SERVICE, 100.0, 0.0)
        assert not any(limits.take(TARGET, number / 10) for number in range(100))

    def test_target_without_a_limit_takes_any_number(self) -> None:
        assert all(one_vm(None).take(TARGET, 1.0) for _ in range(1000))

    def test_limit_ends_with_the_first_response_that_names_none(self) -> None:
        limits = one_vm()
        change = limits.record_response(TARGET, SERVICE, None, 1.0)
        assert change is not None and change.limit_per_s is None
        assert all(limits.take(TARGET, 1.0) for _ in range(100))

    def test_changed_limit_is_in_force_at_once(self) -> None:
        limits = one_vm(1000.0)
        limits.record_response(TARGET, SERVICE, 1.0, 10.0)
        assert sum(
            limits.take(TARGET, 10.0 + number / 100) for number in range(400)
        ) <= allowed_requests(1)

    def test_target_that_names_zero_is_asked_at_times(self) -> None:
        limits = one_vm(0.0)
        times = [n / 10 for n in range(400) if limits.take(TARGET, n / 10)]
        assert times
        assert count_in_worst_window(times) <= ALLOWED_REQUESTS

    def test_huge_limit_is_no_limit_in_effect(self) -> None:
        limits = one_vm(1.7e308)
        assert limits.limit_per_s(TARGET) == MAX_LIMIT_PER_S
        assert all(limits.take(TARGET, 5.0) for _ in range(1000))

    def test_target_that_ended_is_forgotten(self) -> None:
        registry = ReplicaStatsRegistry(limits=one_vm(0.0))
        registry.remove(TARGET)
        assert registry.limits.take(TARGET, 1.0)

    def test_limit_that_another_vm_saw_is_in_force(self) -> None:
        limits = TargetLimits()
        limits.vm = "a"
        report = LimitReport({}, {TARGET: LimitNotice(1.0, 0.1)})
        view = (VmDemand("a", LimitReport()), VmDemand("b", report))
        (change,) = limits.apply_view(view, lambda _: SERVICE, 5.0)
        assert change.limit_per_s == 1.0
        assert limits.limit_per_s(TARGET) == 1.0

    def test_older_notice_does_not_replace_what_this_vm_saw(self) -> None:
        limits = one_vm()
        limits.record_response(TARGET, SERVICE, None, 4.9)
        report = LimitReport({}, {TARGET: LimitNotice(1.0, 0.5)})
        view = (VmDemand("a", LimitReport()), VmDemand("b", report))
        assert not limits.apply_view(view, lambda _: SERVICE, 5.0)

    def test_isolated_vm_uses_its_even_part_only(self) -> None:
        limits = TargetLimits()
        limits.vm = "a"
        view = (VmDemand("a", LimitReport({SERVICE: 50.0})), VmDemand("b", LimitReport()))
        limits.apply_view(view, lambda _: SERVICE, 0.0)
        limits.record_response(TARGET, SERVICE, 10.0, 0.0)
        assert limits.rate_at(TARGET, 5.0) > 9.0
        limits.is_isolated = True
        assert limits.rate_at(TARGET, STALE_VIEW_S / 2) > 9.0
        assert limits.rate_at(TARGET, 5.0) == pytest.approx(10.0 * EVEN_PART / 2)

    def test_samples_give_way_to_live_calls_and_do_not_starve(self) -> None:
        limits = one_vm()
        kinds = []
        for number in range(1000):
            now_s = number / 50
            if limits.take(TARGET, now_s, is_live=True):
                kinds.append("live")
            if limits.take(TARGET, now_s, is_live=False):
                kinds.append("sample")
        late = kinds[8:]
        assert late.count("sample") * LIVE_REQUESTS_PER_SAMPLE <= late.count("live") + 3
        assert late.count("sample") >= 4

    def test_samples_that_do_not_wait_take_no_turn_of_live_calls(self) -> None:
        """A VM that runs samples looks at its engines all the time; live calls waited for 1 s."""
        limits = one_vm(4.0)
        times = []
        for number in range(1000):
            now_s = number / 50
            limits.sendable(TARGET, now_s, is_live=False)
            if limits.take(TARGET, now_s, is_live=True):
                times.append(now_s)
        assert max(after - before for before, after in pairwise(times)) < 0.5

    def test_allowance_for_samples_alone_is_the_whole_limit(self) -> None:
        limits = one_vm()
        sent = sum(limits.take(TARGET, number / 50, is_live=False) for number in range(1000))
        assert sent >= 0.9 * LIMIT_PER_S * 20


def test_rejected_callers_are_told_to_return_one_by_one_at_the_rate_of_the_limit() -> None:
    """Callers that return together are a wave that the limit turns away again."""
    queue = LiveQueue(random.Random(1))
    for _ in range(4):
        queue.enqueue(new_ticket(1, deadline_s=9.0, requested_at_s=0.0, objective_s=0.2))
    slots = SlotEstimate(capacity=0.0, others_in_flight=0.0, own_in_flight=0, min_interval_s=0.5)
    decisions = queue.decide(slots, 0.0)
    delays = [decision.retry_after_s for decision in decisions if isinstance(decision, Rejected)]
    assert len(delays) == 4
    assert all(after - before >= 0.2 for before, after in pairwise(sorted(delays)))


@pytest.mark.parametrize(
    ("value", "limit_per_s"), [("2.5", 2.5), ("0", 0.0), ("1e9", 1e9), (None, None)]
)
def test_limit_is_read_from_the_header(value: str | None, limit_per_s: float | None) -> None:
    headers = () if value is None else (("server-limit", value),)
    assert parse_announced_limit(headers) == limit_per_s


@pytest.mark.parametrize("value", ["-1", "nan", "inf", "", "many", "1,5"])
def test_unreadable_limit_says_nothing(value: str) -> None:
    with pytest.raises(ValueError, match="invalid limit"):
        parse_announced_limit((("Server-Limit", value),))


@pytest.mark.anyio
async def test_vms_learn_limits_and_demands_from_heartbeat_rows() -> None:
    async with live_world([], route(), vm_count=2) as world:
        limits = world.vms[0].forwarder.stats_registry.limits
        limits.record_response(TARGET, SERVICE, 5.0, anyio.current_time())
        limits.record_demand(SERVICE, anyio.current_time(), is_live=True)
        await anyio.sleep(2.0)
        page = await RowStoreView(world.store, RowStoreFlaws()).read(VMS_TABLE, VM_PART)
        rows = {row.vm: row for row in map(decode_vm, page.rows)}
        assert rows["vm-1"].limits.notices[TARGET].limit_per_s == 5.0
        assert rows["vm-1"].limits.demands[SERVICE] > 0.0
        assert not rows["vm-2"].limits.notices


def test_row_without_limits_or_with_others_can_be_read() -> None:
    for value in (
        b'{"boot":"b","address":"","zone":"a","beat":1}',
        b'{"boot":"b","address":"","zone":"a","beat":1,"limits":{"demands":{},"more":1}}',
        b'{"boot":"b","address":"","zone":"a","beat":1,"limits":{"demands":[1]}}',
        b'{"boot":"b","address":"","zone":"a","beat":1,"limits":7}',
    ):
        row = decode_vm(RowChange(RowKey(VMS_TABLE, VM_PART, "a"), value, 1))
        assert row.boot == "b"
        assert row.limits == LimitReport()


def answer_with_limit(times: dict[str, list[float]], limit: str):
    """Return a target's script that notes when requests come and names a limit."""

    async def script(target: RawTarget, stream) -> None:
        while True:
            await target.read_request(stream)
            times.setdefault(target.address, []).append(anyio.current_time())
            response = response_bytes(attempt_id(target.requests[-1]), b"x", Server_Limit=limit)
            await stream.send(response)

    return script


@pytest.mark.anyio
async def test_targets_get_no_more_calls_than_their_limits_through_several_vms() -> None:
    """37 requests reached a target that had named 1 a second, in 4 s, where 11 are allowed."""
    times: dict[str, list[float]] = {}
    script = answer_with_limit(times, "1")
    async with live_world([script] * 3, route(timeout_s=1.0), vm_count=3) as world:
        await anyio.sleep(0.6)
        async with anyio.create_task_group() as group:
            for number in range(12):
                group.start_soon(send_calls, world, number)
            await anyio.sleep(8.0)
            group.cancel_scope.cancel()
    begun_s = min(min(seen) for seen in times.values())
    for seen in times.values():
        later = [at_s for at_s in seen if at_s >= begun_s + 1.0]
        assert count_in_worst_window(later) <= allowed_requests(1.0)
        assert later


async def send_calls(world: LiveWorld, number: int) -> None:
    """Send calls until cancelled; rejected ones come back when they were told to."""
    count = 0
    while True:
        caller = await world.connect(number % 3)
        count += 1
        status, headers, _ = await caller.request(f"c{number}-{count}", body=b"%d" % number)
        assert status in (200, 503)
        await anyio.sleep(float(headers.get("retry-after", "0.2")))


@pytest.mark.anyio
async def test_stream_that_a_limit_holds_back_is_rejected_early_with_a_retry_delay() -> None:
    """A VM that may send nothing must not hold a caller until its deadline."""
    stream_route = route(RouteKind.STREAM, timeout_s=2.0, objective_s=0.4)
    async with live_world([answer_with_limit({}, "1")], stream_route) as world:
        limits = world.vms[0].forwarder.stats_registry.limits
        await anyio.sleep(0.6)
        limits.record_response(TARGET, SERVICE, 0.0, anyio.current_time())
        caller = await world.connect()
        with anyio.fail_after(1.0):
            status, headers, _ = await caller.request("a", body=b"x")
        assert status == 503
        assert float(headers["retry-after"]) > 0.0
        assert not world.targets[0].requests


@pytest.mark.anyio
async def test_request_over_the_limit_is_not_sent() -> None:
    """The check is in the exchange itself, which every way to a target uses."""
    async with live_world([answer_with_limit({}, "0")], route()) as world:
        replica = listed_replica(0, world.targets[0])
        pool = ConnectionPool(PoolLimits(), CORRELATION_HEADER)
        limits = one_vm(0.0)
        limits.viewed_at_s = limits.targets[TARGET].updated_at_s = anyio.current_time()
        exchange = TargetExchange(
            pool,
            world.vms[0].directory,
            replica,
            Request("GET", "/", (("Host", "h"),)),
            lambda: True,
            limits,
        )
        with pytest.raises(AttemptFailedError) as failure:
            await exchange.begin()
        exchange.end()
        assert failure.value.kind is FailureKind.LIMITED
        assert not failure.value.perhaps_sent
        assert not world.targets[0].requests


def test_samples_of_two_owners_stay_within_the_limits_of_their_engines() -> None:
    async def scenario() -> None:
        async with anyio.create_task_group() as tasks:
            world = step_world.StepWorld(tasks, engines=4)
            vms = [await world.start("a"), await world.start("b")]
            for number, vm in enumerate(vms):
                vm.engines.limit_per_s = LIMIT_PER_S
                submission = step_world.make_submission(10, 4, 8, f"step-{number}")
                assert await vm.submit(submission) == 202
            await anyio.sleep(16.0)
            total = 0
            for target_id in world.directory.entries:
                times = sorted(t for vm in vms for t in vm.engines.sent.get(target_id, ()))
                total += len(times)
                later = [at_s for at_s in times if at_s >= times[0] + 3.0]
                assert count_in_worst_window(later) <= allowed_requests(LIMIT_PER_S)
            assert total >= 0.7 * LIMIT_PER_S * 4 * 13.0 - 10
            tasks.cancel_scope.cancel()

    step_world.run_in_virtual_time(scenario)


def test_stopped_vm_has_no_part() -> None:
    limits = TargetLimits()
    sharing = LimitSharing("a", limits, step_world.ReplicaDirectory())
    watch = VmFailureDetector()
    rows = [
        decode_vm(RowChange(RowKey(VMS_TABLE, VM_PART, vm), value, 1))
        for vm, value in (
            ("a", b'{"boot":"b","address":"","zone":"a","beat":1}'),
            ("z", b'{"boot":"","address":"","zone":"a","beat":1}'),
        )
    ]
    watch.apply_read(rows, 0.0)

    async def apply() -> None:
        sharing.apply(watch)

    anyio.run(apply)
    assert [row.vm for row in limits.view] == ["a"]
