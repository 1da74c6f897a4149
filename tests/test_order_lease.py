"""Order leases: the orders of two VMs are never closer than the gap, despite any failure."""

import random
from itertools import pairwise

import anyio
import pytest
import trio.testing

from balsamcleat.decisions.duty_fitness import LinkFitness
from balsamcleat.decisions.duty_lease import HOLDER_CALL_WINDOW_S, DutyLeaseState, first_call_ms
from balsamcleat.model import VmId
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.duty_lease_keeper import LeaseHolder
from balsamcleat.tasks.duty_leases import DutyLeases
from balsamcleat.tasks.store_clock import StoreClock

GAP_S = 3.0


def run(test) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    anyio.run(test, backend="trio", backend_options={"clock": clock})


class OrderingVm:
    """VM that sends an order whenever it is allowed to, and records the time."""

    def __init__(self, store: MemoryRowStore, name: str, orders: list[tuple[float, str, int]]):
        self.flaws = RowStoreFlaws(delay_s=0.003)
        self.name = name
        self.orders = orders
        self.pause_s = 0.0
        view = RowStoreView(store, self.flaws)
        self.leases = DutyLeases(
            view,
            LeaseHolder(VmId(name), "boot"),
            GAP_S,
            StoreClock(anyio.current_time),
            random.Random(name),
        )
        self.keeper = self.leases.orders

    async def send_orders(self, interval_s: float = 0.3) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.leases.run)
            while True:
                await anyio.sleep(interval_s)
                can_begin = await self.keeper.begin_calls()
                # A pause is most harmful here, right after the lease was confirmed.
                await anyio.sleep(self.pause_s)
                if can_begin and self.keeper.can_call():
                    assert self.keeper.lease is not None
                    self.orders.append(
                        (anyio.current_time(), self.name, self.keeper.lease.fencing_token)
                    )
                await self.keeper.end_calls()


def assert_orders_keep_gap(orders: list[tuple[float, str, int]]) -> None:
    """Assert that the orders of two holders keep the gap and fencing tokens never decrease."""
    for (before_s, before, fence), (after_s, after, next_fence) in pairwise(orders):
        assert next_fence >= fence
        if before != after:
            assert next_fence > fence
            assert after_s - before_s >= GAP_S


def test_new_holder_waits_only_for_the_rest_of_the_gap_if_the_previous_one_finished() -> None:
    finished = DutyLeaseState("a", "boot", False, 10_000)
    unfinished = DutyLeaseState("a", "boot", True, 10_000)
    assert first_call_ms(finished, 12_000, GAP_S) == 13_200
    assert first_call_ms(unfinished, 12_000, GAP_S) == 15_200
    assert first_call_ms(None, 12_000, GAP_S) == 12_000


@pytest.mark.parametrize("pause_s", [0.5, 2.0, 6.0])
@pytest.mark.parametrize("faults", ["lose", "hold", "down", "none"])
def test_orders_of_two_holders_keep_the_gap_despite_faults_and_pauses(
    pause_s: float, faults: str
) -> None:
    async def test() -> None:
        store = MemoryRowStore()
        orders: list[tuple[float, str, int]] = []
        vms = [OrderingVm(store, name, orders) for name in "abc"]
        rng = random.Random(f"{pause_s}{faults}")
        async with anyio.create_task_group() as tasks:
            for vm in vms:
                tasks.start_soon(vm.send_orders)
            for _ in range(12):
                await anyio.sleep(3.0)
                holder = next((vm for vm in vms if vm.keeper.lease is not None), vms[0])
                holder.pause_s = pause_s
                if faults == "lose":
                    holder.flaws.lose_answers = rng.randrange(1, 4)
                elif faults == "hold":
                    holder.flaws.hold_commits = rng.randrange(1, 3)
                elif faults == "down":
                    holder.flaws.down = True
                await anyio.sleep(3.0)
                store.release()
                holder.pause_s = 0.0
                holder.flaws.down = False
            tasks.cancel_scope.cancel()
        assert len(orders) > 20
        assert_orders_keep_gap(orders)

    run(test)


def test_concurrent_renewal_does_not_clear_the_ordering_flag() -> None:
    """Guards against a concurrent renewal that overwrites ``ordering`` with an earlier state."""

    async def test() -> None:
        store = MemoryRowStore()
        vm = OrderingVm(store, "a", [])
        await vm.leases.read_and_acquire()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(vm.keeper.renew)
            tasks.start_soon(vm.keeper.begin_calls)
        assert vm.keeper.lease is not None
        assert vm.keeper.lease.state.calling
        await vm.keeper.renew()
        page = await RowStoreView(store).read("leases", "")
        assert b'"ordering":true' in (page.rows[0].value or b"")

    run(test)


def test_released_lease_is_acquired_immediately_and_keeps_the_gap() -> None:
    async def test() -> None:
        store = MemoryRowStore()
        orders: list[tuple[float, str, int]] = []
        first, second = OrderingVm(store, "a", orders), OrderingVm(store, "b", orders)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(first.send_orders)
            await anyio.sleep(2.0)
            await first.keeper.release()
            tasks.start_soon(second.send_orders)
            await anyio.sleep(6.0)
            tasks.cancel_scope.cancel()
        second_order_times = [at_s for at_s, name, _ in orders if name == "b"]
        last = max(at_s for at_s, name, _ in orders if name == "a")
        assert GAP_S <= second_order_times[0] - last < GAP_S + 1.0
        assert_orders_keep_gap(orders)
        assert HOLDER_CALL_WINDOW_S < GAP_S

    run(test)


def test_holder_that_lost_its_links_to_engines_hands_the_lease_over() -> None:
    """It reaches the store, so nobody else would see that its orders reach no engine."""

    async def lose_links() -> None:
        store = MemoryRowStore()
        orders: list[tuple[float, str, int]] = []
        cut_off: set[str] = set()
        vms = {name: OrderingVm(store, name, orders) for name in ("a", "b")}
        for vm in vms.values():
            vm.keeper.fitness = LinkFitness(lambda name=vm.name: name not in cut_off)
        async with anyio.create_task_group() as tasks:
            for vm in vms.values():
                tasks.start_soon(vm.send_orders)
            await anyio.sleep(8.0)
            first = orders[-1][1]
            cut_off.add(first)
            lost_at_s = anyio.current_time()
            await anyio.sleep(8.0)
            assert all(name != first for at_s, name, _ in orders if at_s > lost_at_s + 1.0)
            assert orders[-1][1] != first
            # Where no VM reaches the engines, the lease must not stay free.
            cut_off |= set(vms)
            await anyio.sleep(12.0)
            assert any(vm.keeper.lease is not None for vm in vms.values())
            tasks.cancel_scope.cancel()
        assert_orders_keep_gap(orders)

    run(lose_links)
