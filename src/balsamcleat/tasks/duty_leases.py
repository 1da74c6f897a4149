"""The leases on all duties of this VM: one read of their rows, and renewals of those it holds."""

import random
from collections.abc import Callable
from functools import partial

import anyio

from balsamcleat.decisions.duty_fitness import CallFitness, LinkFitness
from balsamcleat.decisions.duty_lease import RENEW_INTERVAL_S
from balsamcleat.errors import PlatformError
from balsamcleat.platform import DutySettings
from balsamcleat.ports.duties import Duty
from balsamcleat.ports.rows import RowStore
from balsamcleat.tasks.duty_lease_keeper import DutyLeaseKeeper, LeaseHolder
from balsamcleat.tasks.lease_table import LeaseRow, LeaseTable
from balsamcleat.tasks.store_clock import StoreClock

__all__ = ["DutyLeases"]

JITTER = 0.2


class DutyLeases:
    """Runs the keepers of the leases on weight orders, usage reports and orders of targets.

    The leases are renewed independently of each other, so that a slow write of one row doesn't
    delay that of another.

    Args:
        store: Row store.
        holder: This process.
        gap_s: Shortest time between calls of two holders of a lease, in seconds.
        store_clock: Estimate of the store's clock.
        generator: Draws the jitter of the intervals.
        has_links: Returns whether this VM reaches the targets that weight orders go to.
        current_duties: Returns the settings of duties in force.

    Attributes:
        orders: Lease on weight orders.
        usage: Lease on usage reports.
        scaling: Lease on orders of targets.
        usage_fitness: Receives how the calls of usage reports ended.
        scaling_fitness: Receives how the calls of orders of targets ended.
    """

    def __init__(
        self,
        store: RowStore,
        holder: LeaseHolder,
        gap_s: float,
        store_clock: StoreClock,
        generator: random.Random,
        has_links: Callable[[], bool] = lambda: True,
        current_duties: Callable[[], DutySettings | None] = lambda: None,
    ) -> None:
        self.table = LeaseTable(store, store_clock)
        self.generator = generator
        self.current_duties = current_duties
        self.usage_fitness = CallFitness()
        self.scaling_fitness = CallFitness()
        self.orders = DutyLeaseKeeper(
            Duty.ORDERS, self.table, holder, gap_s, LinkFitness(has_links)
        )
        self.usage = DutyLeaseKeeper(
            Duty.USAGE, self.table, holder, gap_s, self.usage_fitness, self.is_usage_enabled
        )
        self.scaling = DutyLeaseKeeper(
            Duty.SCALING, self.table, holder, gap_s, self.scaling_fitness, self.is_scaling_enabled
        )
        self.keepers = (self.orders, self.usage, self.scaling)

    def is_usage_enabled(self) -> bool:
        """Return whether the settings name the duty of usage reports."""
        duties = self.current_duties()
        return duties is not None and duties.usage

    def is_scaling_enabled(self) -> bool:
        """Return whether the settings name the duty of orders of targets."""
        duties = self.current_duties()
        return duties is not None and duties.scaling

    def apply_gap(self, gap_s: float) -> None:
        """Apply a new shortest time between calls of two holders, in seconds."""
        for keeper in self.keepers:
            keeper.gap_s = gap_s

    async def run(self) -> None:
        """Renew or try to acquire the leases at intervals until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.run_reads)
            for keeper in self.keepers:
                tasks.start_soon(self.run_renewals, keeper)

    async def run_renewals(self, keeper: DutyLeaseKeeper) -> None:
        """Renew one lease at intervals while this VM holds it, until cancelled."""
        while True:
            if keeper.is_held:
                await keeper.attend(keeper.renew)
            await self.wait_interval()

    async def run_reads(self) -> None:
        """Read the rows of the leases at intervals while this VM lacks any, until cancelled."""
        while True:
            await self.read_and_acquire()
            await self.wait_interval()

    async def read_and_acquire(self) -> None:
        """Read the rows of all leases at once and acquire what can be acquired."""
        keepers = [keeper for keeper in self.keepers if keeper.needs_row]
        if not keepers:
            return
        try:
            rows = await self.table.read()
        except PlatformError as error:
            for keeper in keepers:
                keeper.record_store_failure(str(error))
            return
        async with anyio.create_task_group() as tasks:
            for keeper in keepers:
                row = rows.get(keeper.duty.value, LeaseRow())
                tasks.start_soon(keeper.attend, partial(keeper.consider, row))

    async def wait_interval(self) -> None:
        """Wait for the interval between renewals with random jitter."""
        jitter = 1.0 + JITTER * (2.0 * self.generator.random() - 1.0)
        await anyio.sleep(RENEW_INTERVAL_S * jitter)

    async def release_platform_duties(self) -> None:
        """Release the leases on the duties of the platform's interface for good."""
        async with anyio.create_task_group() as tasks:
            for keeper in (self.usage, self.scaling):
                tasks.start_soon(keeper.attend, keeper.release)
