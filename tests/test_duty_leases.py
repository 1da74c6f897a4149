"""Leases on duties: rows shared with the previous build, independence, and hand-overs."""

import random
from collections.abc import Awaitable, Callable

import anyio
import pytest
from structlog.testing import capture_logs

from balsamcleat.decisions.duty_fitness import MIN_UNANSWERED_CALLS, CallFitness
from balsamcleat.decisions.duty_lease import DutyLeaseState, StoreTimeBound, first_call_ms
from balsamcleat.model import VmId
from balsamcleat.platform import DutySettings
from balsamcleat.ports.duties import Duty
from balsamcleat.ports.rows import RowChange, RowKey, RowPage, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.duty_lease_keeper import LeaseHolder
from balsamcleat.tasks.duty_leases import DutyLeases
from balsamcleat.tasks.lease_table import LeaseRow, decode_lease
from balsamcleat.tasks.store_clock import StoreClock
from duty_world import SETTINGS, DutyWorld
from step_world import run_in_virtual_time

GAP_S = 3.0
# Rows that the previous build (commit 91fd965) wrote: held with orders in flight, and released.
HELD_ROW = (
    b'{"vm":"front-a-1","boot":"0d6cb8d1f3a2","ordering":true,"last_order_ms":698432,"beat":7}'
)
FREE_ROW = b'{"vm":"","boot":"","ordering":false,"last_order_ms":701100,"beat":9}'


class CountingStore(RowStoreView):
    """Store that counts its calls."""

    def __init__(self, store: MemoryRowStore) -> None:
        super().__init__(store, RowStoreFlaws(delay_s=0.002, answer_delay_s=0.002))
        self.reads = 0

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        self.reads += 1
        return await super().read(table, part, start, end, limit)


class Vm:
    """Leases of one VM, at a store with flaws of its own."""

    def __init__(
        self, store: MemoryRowStore, name: str, duties: DutySettings | None = SETTINGS
    ) -> None:
        self.duties = duties
        self.store = CountingStore(store)
        self.leases = DutyLeases(
            self.store,
            LeaseHolder(VmId(name), "boot"),
            GAP_S,
            StoreClock(anyio.current_time),
            random.Random(name),
            current_duties=lambda: self.duties,
        )

    def held(self) -> set[Duty]:
        return {keeper.duty for keeper in self.leases.keepers if keeper.is_held}


def with_vms(
    test: Callable[..., Awaitable[None]], names: str = "a", duties: DutySettings | None = SETTINGS
) -> None:
    """Run a test with running VMs in virtual time; it gets the store and the VMs."""

    async def run_test() -> None:
        store = MemoryRowStore()
        vms = [Vm(store, name, duties) for name in names]
        async with anyio.create_task_group() as tasks:
            for vm in vms:
                tasks.start_soon(vm.leases.run)
                await anyio.sleep(0.1)
            await test(store, *vms)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run_test)


def lease_row(store: MemoryRowStore, duty: Duty) -> LeaseRow:
    return decode_lease(store.change_of(RowKey("leases", "", duty.value)))


def take_away(store: MemoryRowStore, duty: Duty) -> None:
    """Let another VM take a lease."""
    store.version += 1
    store.write(RowWrite(RowKey("leases", "", duty.value), HELD_ROW))


def test_row_of_the_previous_build_is_read() -> None:
    """VMs of both builds share the row of weight orders during a replacement of VMs."""
    key = RowKey("leases", "", "orders")
    held = decode_lease(RowChange(key, HELD_ROW, 5))
    assert held == LeaseRow(DutyLeaseState("front-a-1", "0d6cb8d1f3a2", True, 698432), 5)
    free = decode_lease(RowChange(key, FREE_ROW, 6))
    assert free == LeaseRow(DutyLeaseState("", "", False, 701100), 6)
    newer = FREE_ROW.replace(b"}", b',"new":1}')
    assert decode_lease(RowChange(key, newer, 6)) == free


def test_row_has_the_fields_of_the_previous_build() -> None:
    """The previous build reads no row without one of its fields."""

    async def test(store: MemoryRowStore, vm: Vm) -> None:
        await vm.leases.orders.begin_calls()
        value = store.change_of(RowKey("leases", "", "orders")).value
        assert value is not None
        assert value.startswith(b'{"vm":"a","boot":"boot","ordering":true,"last_order_ms":')
        await vm.leases.orders.release()
        value = store.change_of(RowKey("leases", "", "orders")).value
        assert value is not None
        assert value.startswith(b'{"vm":"","boot":"","ordering":false,"last_order_ms":')

    with_vms(test, duties=None)


def test_unreadable_row_counts_as_held_with_calls_in_flight() -> None:
    """A VM that took such a row for free would call beside its holder."""
    row = decode_lease(RowChange(RowKey("leases", "", "usage"), b"\xff", 3))
    assert row.state is not None and row.state.vm
    assert first_call_ms(row.state, 10_000, GAP_S) == 13_200


def test_vm_without_leases_reads_all_rows_with_one_call() -> None:
    """A read for each lease would multiply the store's calls by the number of duties."""

    async def test(store: MemoryRowStore, holder: Vm, other: Vm) -> None:
        await anyio.sleep(1.0)
        assert holder.held() == set(Duty)
        assert not other.held()
        held_before, reads_before = holder.store.reads, other.store.reads
        await anyio.sleep(20.0)
        assert holder.store.reads == held_before
        assert 33 <= other.store.reads - reads_before <= 50

    with_vms(test, "ab")


def test_leases_of_duties_that_the_settings_do_not_name_are_not_taken() -> None:
    """Another deployment's platform has no interface for them."""

    async def test(store: MemoryRowStore, vm: Vm) -> None:
        await anyio.sleep(1.0)
        assert vm.held() == {Duty.ORDERS}
        assert {key.key for key in store.rows} == {"orders"}

    with_vms(test, duties=None)


def test_lease_is_released_when_the_settings_no_longer_name_its_duty() -> None:
    """A reload may take the duty away from a running VM."""

    async def test(store: MemoryRowStore, vm: Vm) -> None:
        await anyio.sleep(1.0)
        assert Duty.USAGE in vm.held()
        vm.duties = None
        await anyio.sleep(1.5)
        assert vm.held() == {Duty.ORDERS}
        state = lease_row(store, Duty.USAGE).state
        assert state is not None and not state.vm

    with_vms(test)


@pytest.mark.parametrize("lost", list(Duty))
def test_losing_one_lease_keeps_the_others(lost: Duty) -> None:
    """One conflict must not stop all duties of a VM."""

    async def test(store: MemoryRowStore, vm: Vm) -> None:
        await anyio.sleep(1.0)
        tokens = {keeper.duty: keeper.stamp for keeper in vm.leases.keepers}
        take_away(store, lost)
        await anyio.sleep(1.0)
        assert vm.held() == set(Duty) - {lost}
        for keeper in vm.leases.keepers:
            assert keeper.stamp == (None if keeper.duty is lost else tokens[keeper.duty])

    with_vms(test)


def test_no_call_follows_an_end_whose_response_was_lost() -> None:
    """The row may say that calls ended, so the next holder would not wait for the full gap."""

    async def test(store: MemoryRowStore, vm: Vm) -> None:
        lease = vm.leases.usage
        assert await lease.begin_calls() and lease.can_call()
        vm.store.flaws.lose_answers = 1
        await lease.end_calls()
        state = lease_row(store, Duty.USAGE).state
        assert state is not None and not state.calling
        assert not lease.can_call()
        assert await lease.begin_calls() and lease.can_call()
        state = lease_row(store, Duty.USAGE).state
        assert state is not None and state.calling

    with_vms(test)


def test_no_call_is_sent_while_the_end_is_written() -> None:
    """Its time would be after the end that the row states."""

    async def test(store: MemoryRowStore, vm: Vm) -> None:
        lease = vm.leases.usage
        assert await lease.begin_calls()
        vm.store.flaws.answer_delay_s = 0.3
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lease.end_calls)
            await anyio.sleep(0.1)
            assert not lease.can_call()

    with_vms(test)


def test_end_is_recorded_by_the_next_renewal_if_the_store_failed() -> None:
    """The next holder would wait longer than necessary."""

    async def test(store: MemoryRowStore, vm: Vm) -> None:
        lease = vm.leases.usage
        await lease.begin_calls()
        vm.store.flaws.refuse_commits = 1
        await lease.end_calls()
        ended_ms = store.now_ms()
        await anyio.sleep(1.0)
        state = lease_row(store, Duty.USAGE).state
        assert state is not None and not state.calling
        assert abs(state.last_call_ms - ended_ms) < 100

    with_vms(test)


def test_recorded_end_is_not_before_the_last_call() -> None:
    """A slow response makes the estimate of the store's clock slow by as much."""

    async def test() -> None:
        store = MemoryRowStore()
        vm = Vm(store, "a")
        vm.store.flaws.answer_delay_s = 0.4
        await vm.leases.read_and_acquire()
        lease = vm.leases.usage
        assert await lease.begin_calls()
        called_ms = store.now_ms()
        await lease.end_calls()
        state = lease_row(store, Duty.USAGE).state
        assert state is not None and state.last_call_ms >= called_ms

    run_in_virtual_time(test)


def test_time_bound_is_never_before_the_time_of_the_store() -> None:
    """The response may have been read late by a frozen VM."""
    bound = StoreTimeBound()
    bound.record_response(requested_at_s=10.0, store_ms=500_000)
    assert bound.latest_ms(15.0) >= 505_000


def test_failed_release_is_tried_again() -> None:
    """The VM would hold the lease until its end without performing the duty."""

    async def test(store: MemoryRowStore, vm: Vm) -> None:
        vm.store.flaws.refuse_commits = 3
        await vm.leases.release_platform_duties()
        await anyio.sleep(2.0)
        assert vm.held() == {Duty.ORDERS}
        state = lease_row(store, Duty.USAGE).state
        assert state is not None and not state.vm

    with_vms(test)


def test_release_during_an_acquisition_frees_the_lease() -> None:
    """A VM that shuts down would leave a lease that others wait for."""

    async def test() -> None:
        store = MemoryRowStore()
        vm = Vm(store, "a")
        vm.store.flaws.answer_delay_s = 0.5
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(vm.leases.read_and_acquire)
            await anyio.sleep(0.1)
            await vm.leases.release_platform_duties()
        assert vm.held() == {Duty.ORDERS}

    run_in_virtual_time(test)


def test_lost_response_to_an_acquisition_costs_one_interval() -> None:
    """The VM is named in the row, and would otherwise wait for itself for a term."""

    async def test() -> None:
        store = MemoryRowStore()
        vm = Vm(store, "a")
        vm.store.flaws.lose_answers = 3
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(vm.leases.run)
            await anyio.sleep(1.0)
            assert vm.held() == set(Duty)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(test)


def test_fitness_needs_failures_for_some_time_and_no_response_between() -> None:
    """One lost response, or a short interruption, is no reason to hand a duty over."""
    fitness = CallFitness()
    fitness.record_unanswered(0.0, 5.0)
    assert MIN_UNANSWERED_CALLS == 2 and not fitness.should_release(5.0)
    fitness.record_answered()
    fitness.record_unanswered(10.0, 11.0)
    fitness.record_unanswered(11.0, 11.9)
    assert not fitness.should_release(11.9)
    fitness.record_unanswered(11.9, 12.1)
    assert fitness.should_release(12.1)
    assert not fitness.is_fit(22.0) and fitness.is_fit(22.2)


def test_holder_without_a_link_to_the_platform_hands_the_duty_over() -> None:
    """It reaches the store, so that no other VM would see that its calls arrive nowhere."""

    async def test() -> None:
        world = DutyWorld()

        async def scenario() -> None:
            await anyio.sleep(5.0)
            holder = world.holder(Duty.USAGE)
            assert holder is not None
            holder.link.is_cut = True
            cut_s = anyio.current_time()
            await anyio.sleep(7.5)
            usage = [call for call in world.platform.calls if call.duty is Duty.USAGE]
            assert usage[-1].machine != holder.name
            # 2 s of failures, the next interval and reading, and the gap.
            first_s = min(call.at_s for call in usage if call.machine != holder.name)
            assert GAP_S <= first_s - cut_s < 7.0

        await world.run(scenario)
        assert not world.platform.broken_rules()

    run_in_virtual_time(test)


def test_holder_that_yielded_does_not_take_the_lease_back_for_a_while() -> None:
    """It would hold the lease again before the other VMs could try."""

    async def test(store: MemoryRowStore, first: Vm, second: Vm) -> None:
        await anyio.sleep(1.0)
        first.leases.usage_fitness.record_unanswered(0.0, 0.5)
        first.leases.usage_fitness.record_unanswered(0.5, 2.5)
        await anyio.sleep(1.5)
        assert second.leases.usage.is_held
        assert first.held() == set(Duty) - {Duty.USAGE}
        await second.leases.usage.release()
        # It waits for 4 s, in which no other VM takes the lease.
        await anyio.sleep(3.9)
        assert not first.leases.usage.is_held
        await anyio.sleep(1.3)
        assert first.leases.usage.is_held

    with_vms(test, "ab")


def test_log_lines_name_the_duty_and_the_token() -> None:
    """An operator must see which VM performed a duty, and why it stopped."""

    async def test() -> None:
        store = MemoryRowStore()
        vm = Vm(store, "a")
        with capture_logs() as lines:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(vm.leases.run)
                await anyio.sleep(1.0)
                token = vm.leases.usage.stamp
                vm.store.flaws.refuse_commits = 9
                await anyio.sleep(3.0)
                take_away(store, Duty.SCALING)
                await anyio.sleep(1.0)
                await vm.leases.usage.release()
                tasks.cancel_scope.cancel()
        assert token is not None
        usage = [line for line in lines if line.get("duty") == "usage"]
        assert [line["event"] for line in usage] == [
            "duty lease taken",
            "duty lease not renewed or read",
            "duty lease renewed late",
            "duty lease renewed or read again",
            "duty lease released",
        ]
        fences = {line["fence"] for line in usage if "fence" in line}
        assert fences == {token.fencing_token}
        assert any(line["event"] == "duty lease lost" for line in lines)

    run_in_virtual_time(test)
