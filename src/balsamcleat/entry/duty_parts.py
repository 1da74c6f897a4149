"""Creates the components that perform the duties of one VM, and the leases on these duties."""

import random
from collections.abc import Callable
from dataclasses import replace

import anyio

from balsamcleat.entry.usage import UsageParts, usage_settings
from balsamcleat.http1 import ConnectionPool, IdleWatch
from balsamcleat.platform import (
    DUTY_POOL_LIMITS,
    DutyChannel,
    DutySettings,
    PlatformDutyClient,
    PlatformSettings,
)
from balsamcleat.ports import Metrics
from balsamcleat.ports.duties import Duty, DutyClient, DutyLease
from balsamcleat.ports.rows import RowStore
from balsamcleat.tasks.duty_lease_keeper import LeaseHolder
from balsamcleat.tasks.duty_leases import DutyLeases
from balsamcleat.tasks.scaling_controller import ScalingController
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.usage_counter import UsageCounter
from balsamcleat.tasks.usage_reporter import UsageReporter

__all__ = ["DutyParts"]


class DutyParts:
    """Leases on duties, the client of the platform's interface, and what performs the duties.

    Args:
        current_settings: Returns the settings in force.
        boot: Identifier of this start of the VM's process.
        store: Row store.
        store_clock: Estimate of the store's clock.
        generator: Draws the jitter of the renewals.
        has_links: Returns whether this VM reaches the targets that weight orders go to.
        idle_watch: Watch on idle connections to the platform's interface for duties.

    Attributes:
        leases: Leases on all duties.
        client: Client of the platform's interface for duties.
        usage: Components that count usage; None if the settings do not name the duty.
        usage_reporter: Reports usage; None if the settings at the start do not name the duty. Set
            by the composition, as it needs other components.
        scaling_controller: Orders targets; None likewise.
    """

    def __init__(
        self,
        current_settings: Callable[[], PlatformSettings],
        boot: str,
        store: RowStore,
        store_clock: StoreClock,
        generator: random.Random,
        has_links: Callable[[], bool],
        idle_watch: IdleWatch,
    ) -> None:
        self.current_settings = current_settings
        self.store = store
        settings = current_settings()
        self.leases = DutyLeases(
            store,
            LeaseHolder(settings.vm, boot),
            settings.order_gap_s,
            store_clock,
            generator,
            has_links,
            self.performed_duties,
        )
        self.client: DutyClient = PlatformDutyClient(
            self.current_address,
            ConnectionPool(DUTY_POOL_LIMITS, idle_watch=idle_watch),
            {
                Duty.USAGE: DutyChannel(self.leases.usage, self.leases.usage_fitness),
                Duty.SCALING: DutyChannel(self.leases.scaling, self.leases.scaling_fitness),
            },
        )
        reports = usage_settings(settings.duties)
        self.usage = UsageParts(settings.vm, reports, store_clock) if reports else None
        self.usage_reporter: UsageReporter | None = None
        self.scaling_controller: ScalingController | None = None

    def performed_duties(self) -> DutySettings | None:
        """Return the duties in the settings that this process can perform.

        What performs a duty is created at the start of the process, so a reload can't add one. A
        process that can't perform a duty must not hold its lease.
        """
        duties = self.current_settings().duties
        if duties is None:
            return None
        return replace(
            duties,
            usage=duties.usage and self.usage_reporter is not None,
            scaling=duties.scaling and self.scaling_controller is not None,
        )

    def current_address(self) -> str | None:
        """Return the address of the platform's interface for duties, if there is one."""
        duties = self.current_settings().duties
        return None if duties is None else duties.address

    @property
    def scaling_lease(self) -> DutyLease | None:
        """Lease on orders of targets; None if the settings do not name the duty."""
        duties = self.current_settings().duties
        return self.leases.scaling if duties is not None and duties.scaling else None

    @property
    def usage_counter(self) -> UsageCounter | None:
        """Counts usage; None if the settings do not name the duty."""
        return None if self.usage is None else self.usage.counter

    async def run(self) -> None:
        """Keep the leases and perform the duties until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.leases.run)
            if self.usage_reporter is not None:
                tasks.start_soon(self.usage_reporter.run)
            if self.scaling_controller is not None:
                tasks.start_soon(self.scaling_controller.run)

    def report_gauges(self, metrics: Metrics) -> None:
        """Set the gauges of leases and of targets."""
        for keeper in self.leases.keepers:
            metrics.gauge(f"leases.held.{keeper.duty.value}", keeper.is_held)
        if self.scaling_controller is not None:
            self.scaling_controller.report_gauges(metrics)
