"""VMs that perform duties in virtual time, with faults of VMs, links, the store and the platform.

A frozen VM stops at its next call of the store or the platform, before the call and before its
response is read; its local clock advances, as `CLOCK_BOOTTIME` does.
"""

import random
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from itertools import pairwise

import anyio
import anyio.abc

from balsamcleat.errors import OutcomeUnknownError, PlatformUnavailableError
from balsamcleat.http1 import Request, Response
from balsamcleat.model import ServiceName, TeamName, VmId, ZoneName
from balsamcleat.platform import DutyChannel, DutySettings, PlatformDutyClient
from balsamcleat.platform.duties import decode_duty_call
from balsamcleat.ports.duties import (
    Duty,
    DutyLease,
    DutyOutcome,
    DutyStamp,
    TargetCountOrder,
    UsageReport,
)
from balsamcleat.ports.rows import RowCommit, RowConflict, RowPage, RowsCommitted
from balsamcleat.standins.duty_platform import DutyLink, DutyPlatform
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.duty_lease_keeper import LeaseHolder
from balsamcleat.tasks.duty_leases import DutyLeases
from balsamcleat.tasks.store_clock import StoreClock

GAP_S = 3.0
SETTINGS = DutySettings("duties", True, True, 50.0, 5.0, 10.0)
REPORT = UsageReport(1, {TeamName("huka270"): 1})
ORDERS = [TargetCountOrder(ServiceName("s"), ZoneName(zone), 2) for zone in "ab"]
STORE_TIMEOUT_S = 1.2
# The kernel gives up the delivery of sent bytes after this time (`USER_TIMEOUT_MS`).
DELIVERY_LIMIT_S = 2.5
CALL_INTERVAL_S = 0.25


class FaultyStore(RowStoreView):
    """The store as one VM reaches it; commits without a response may take effect late."""

    def __init__(self, store: MemoryRowStore, vm: "DutyVm") -> None:
        super().__init__(store, RowStoreFlaws(delay_s=0.002, answer_delay_s=0.002))
        self.vm = vm
        self.call_count = 0

    async def commit(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        self.call_count += 1
        await self.vm.wait_until_thawed()
        try:
            with anyio.fail_after(STORE_TIMEOUT_S):
                outcome = await super().commit(commit)
        except TimeoutError as error:
            self.store.held.append(commit)
            raise OutcomeUnknownError("no response", step="test") from error
        except anyio.get_cancelled_exc_class():
            # The VM was killed after it sent the commit.
            self.store.held.append(commit)
            raise
        finally:
            await self.vm.wait_until_thawed()
        return outcome

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        self.call_count += 1
        await self.vm.wait_until_thawed()
        try:
            with anyio.fail_after(STORE_TIMEOUT_S):
                page = await super().read(table, part, start, end, limit)
                await anyio.sleep(self.flaws.answer_delay_s)
                return page
        except TimeoutError as error:
            raise PlatformUnavailableError("no response", step="test") from error
        finally:
            await self.vm.wait_until_thawed()


class FaultyLink(DutyLink):
    """Link whose sent bytes arrive even if their sender has given up or was killed."""

    def __init__(self, world: "DutyWorld", vm: "DutyVm") -> None:
        super().__init__(world.platform, vm.name)
        self.world = world
        self.vm = vm
        self.on_send = self.record_sent

    def record_sent(self, request: Request) -> None:
        call = decode_duty_call(request)
        assert call is not None
        self.world.sent.setdefault(call.duty, []).append((anyio.current_time(), self.machine))

    async def fetch(
        self,
        address: str,
        request: Request,
        timeout_s: float,
        *,
        force_new_connection: bool = False,
        is_permitted: Callable[[], bool] = lambda: True,
    ) -> Response:
        await self.vm.wait_until_thawed()
        await anyio.sleep(self.connect_s)
        # A VM that was frozen while the connection was opened goes on here.
        await self.vm.wait_until_thawed()
        try:
            return await super().fetch(address, request, timeout_s, is_permitted=is_permitted)
        finally:
            await self.vm.wait_until_thawed()

    async def exchange(self, request: Request) -> Response:
        statuses: list[int] = []
        answered = anyio.Event()
        self.world.tasks.start_soon(self.deliver, request, statuses, answered)
        await answered.wait()
        return Response(statuses[0])

    async def deliver(self, request: Request, statuses: list[int], answered: anyio.Event) -> None:
        with anyio.move_on_after(DELIVERY_LIMIT_S):
            await anyio.sleep(self.latency_s)
            await self.wait_until_open()
            status = self.platform.arrive(request, self.machine)
            await anyio.sleep(self.platform.flaws.delay_s + self.latency_s)
            await self.wait_until_open()
            if status:
                statuses.append(status)
                answered.set()


class DutyVm:
    """VM that performs both duties whenever its leases allow it."""

    def __init__(self, world: "DutyWorld", number: int) -> None:
        self.world = world
        self.name = f"vm-{number}"
        self.generator = random.Random(f"{world.seed}/{number}")
        self.link = FaultyLink(world, self)
        self.store = FaultyStore(world.store, self)
        self.thawed = anyio.Event()
        self.thawed.set()
        self.boots = 0
        self.scope: anyio.CancelScope | None = None
        self.leases = self.new_leases()

    def new_leases(self) -> DutyLeases:
        return DutyLeases(
            self.store,
            LeaseHolder(VmId(self.name), f"boot-{self.boots}"),
            GAP_S,
            StoreClock(anyio.current_time),
            self.generator,
            current_duties=lambda: SETTINGS,
        )

    def channels(self) -> dict[Duty, DutyChannel]:
        return {
            Duty.USAGE: DutyChannel(self.leases.usage, self.leases.usage_fitness),
            Duty.SCALING: DutyChannel(self.leases.scaling, self.leases.scaling_fitness),
        }

    async def wait_until_thawed(self) -> None:
        """Wait as long as the VM is frozen; timeouts take effect afterwards."""
        with anyio.CancelScope(shield=True):
            await self.thawed.wait()

    async def run(self) -> None:
        """Run one process of the VM until it is killed."""
        self.boots += 1
        self.leases = self.new_leases()
        client = PlatformDutyClient(lambda: "duties", self.link, self.channels())
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.leases.run)
                usage, scaling = self.leases.usage, self.leases.scaling
                tasks.start_soon(self.perform, usage, partial(client.report_usage, REPORT))
                # The orders of two zones are sent and ended independently under one lease.
                for order in ORDERS:
                    tasks.start_soon(self.perform, scaling, partial(client.order_targets, order))

    async def perform(
        self, lease: DutyLease, call: Callable[[DutyStamp], Awaitable[DutyOutcome]]
    ) -> None:
        """Send calls at intervals, and end them after some."""
        while True:
            await anyio.sleep(CALL_INTERVAL_S * (0.5 + self.generator.random()))
            if not await lease.begin_calls():
                continue
            stamp = lease.stamp
            if stamp is not None and lease.can_call():
                await call(stamp)
            if self.generator.random() < 0.4:
                await lease.end_calls()

    def kill(self) -> None:
        if self.scope is not None:
            self.scope.cancel()
        self.scope = None


class DutyWorld:
    """Some VMs, the store and the platform.

    Args:
        vms: Number of VMs.
        seed: Seed of the VMs' generators.
    """

    def __init__(self, vms: int = 3, seed: int = 0) -> None:
        self.seed = seed
        self.store = MemoryRowStore()
        self.platform = DutyPlatform()
        # Time and machine of each call that was sent.
        self.sent: dict[Duty, list[tuple[float, str]]] = {}
        self.vms = [DutyVm(self, number) for number in range(vms)]
        self.tasks: anyio.abc.TaskGroup

    async def run(self, scenario: Callable[[], Awaitable[None]]) -> None:
        """Run all VMs while a scenario runs."""
        async with anyio.create_task_group() as self.tasks:
            for vm in self.vms:
                self.tasks.start_soon(vm.run)
            await scenario()
            self.tasks.cancel_scope.cancel()

    def holder(self, duty: Duty) -> DutyVm | None:
        """Return a running VM that believes to hold the lease on a duty."""
        for vm in self.vms:
            keepers = {keeper.duty: keeper for keeper in vm.leases.keepers}
            if vm.scope is not None and keepers[duty].is_held:
                return vm
        return None

    def shortest_gap_s(self) -> float:
        """Return the shortest time between a call of one holder and the next one's first call."""
        return min(
            (
                after_s - before_s
                for calls in self.sent.values()
                for (before_s, before), (after_s, after) in pairwise(calls)
                if before != after
            ),
            default=float("inf"),
        )

    def deliver_late(self) -> None:
        """Carry out the commits that had no response, if their conditions still hold."""
        self.store.release()

    def heal(self) -> None:
        """End the faults that hit a number of calls."""
        self.platform.flaws.lose_responses = 0
        for vm in self.vms:
            vm.store.flaws.lose_answers = vm.store.flaws.hold_commits = 0
        self.deliver_late()

    async def freeze(self, vm: DutyVm, seconds: float) -> None:
        if vm.thawed.is_set():
            vm.thawed = anyio.Event()
            await anyio.sleep(seconds)
            vm.thawed.set()

    async def cut_store(self, vm: DutyVm, seconds: float) -> None:
        vm.store.flaws.down = True
        await anyio.sleep(seconds)
        vm.store.flaws.down = False

    async def cut_link(self, vm: DutyVm, seconds: float) -> None:
        vm.link.is_cut = True
        await anyio.sleep(seconds)
        vm.link.is_cut = False

    async def slow_store(self, vm: DutyVm, seconds: float) -> None:
        flaws = vm.store.flaws
        flaws.delay_s, flaws.answer_delay_s = self.generator_delay(vm), self.generator_delay(vm)
        await anyio.sleep(seconds)
        flaws.delay_s = flaws.answer_delay_s = 0.002

    def generator_delay(self, vm: DutyVm) -> float:
        return vm.generator.choice([0.002, 0.1, 0.4, 0.9])

    async def slow_connections(self, vm: DutyVm, seconds: float) -> None:
        vm.link.connect_s = 0.45
        vm.link.latency_s = 0.3
        await anyio.sleep(seconds)
        vm.link.connect_s = vm.link.latency_s = 0.001

    async def kill(self, vm: DutyVm, seconds: float) -> None:
        """Kill a VM's process and start another one later."""
        if vm.scope is None:
            return
        vm.kill()
        await anyio.sleep(seconds)
        self.tasks.start_soon(vm.run)

    async def lose_responses(self, vm: DutyVm, seconds: float) -> None:
        vm.store.flaws.lose_answers = 1 + int(seconds)

    async def hold_commits(self, vm: DutyVm, seconds: float) -> None:
        vm.store.flaws.hold_commits = 1 + int(seconds)
        await anyio.sleep(seconds)
        self.deliver_late()

    async def deliver_held(self, vm: DutyVm, seconds: float) -> None:
        await anyio.sleep(seconds)
        self.deliver_late()

    async def lose_calls(self, vm: DutyVm, seconds: float) -> None:
        self.platform.flaws.lose_responses = 1 + int(seconds)

    async def stop_platform(self, vm: DutyVm, seconds: float) -> None:
        self.platform.flaws.down = True
        await anyio.sleep(seconds)
        self.platform.flaws.down = False

    async def release_leases(self, vm: DutyVm, seconds: float) -> None:
        """Stop a VM's process in order and start another one later."""
        if vm.scope is None:
            return
        with suppress(PlatformUnavailableError, OutcomeUnknownError):
            await vm.leases.release_platform_duties()
        await self.kill(vm, seconds)
