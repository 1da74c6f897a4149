"""Simulated VMs that count and report usage, with a row store and a platform, in virtual time."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc

from balsamcleat.adapters.text_metrics import TextMetrics
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.entry.usage import UsageParts, UsageSettings
from balsamcleat.model import TeamName, VmId
from balsamcleat.ports.duties import (
    DutyClient,
    DutyLease,
    DutyOutcome,
    DutyStamp,
    TargetCountOrder,
    UsageReport,
)
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.limit_sharing import LimitSharing
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.usage_counter import UsageCounter
from balsamcleat.tasks.usage_reporter import UsageReporter
from balsamcleat.tasks.vm_presence import VmPresence

WINDOW_S = 5.0
DEADLINE_S = 10.0
# True time at the start of the world, in the middle of a window.
START_S = 1_700_000_002.5
TEAMS = ("huka270", "puhu251", "rimo114")
# Requests keep this distance from the ends of windows, as the estimates of true time have errors
# of some milliseconds.
BORDER_S = 0.03


def true_s() -> float:
    """Return true time, in seconds since the start of 1970."""
    return START_S + anyio.current_time()


def window_now() -> int:
    """Return the number of the current window."""
    return int(true_s() // WINDOW_S)


@dataclass
class FakePlatform:
    """Takes reports, and fails in the ways that tests choose.

    Attributes:
        accepted: Counts that took effect, by window.
        arrivals: Time since the end of the window of the first arrival of each report.
        calls: Windows of all calls that arrived, in order.
        is_down: Whether calls don't reach it.
        lose_answers: Number of calls that take effect and are not answered.
        throttle: Number of calls that are turned away.
    """

    accepted: dict[int, dict[TeamName, int]] = field(default_factory=dict)
    arrivals: dict[int, float] = field(default_factory=dict)
    calls: list[int] = field(default_factory=list)
    is_down: bool = False
    lose_answers: int = 0
    throttle: int = 0
    on_call: Callable[[UsageReport], None] = lambda _: None

    async def take(self, report: UsageReport) -> DutyOutcome:
        """Take a report; one with other counts for the same window fails the test."""
        await anyio.sleep(0.005)
        if self.is_down:
            return DutyOutcome.NOT_SENT
        if self.throttle:
            self.throttle -= 1
            return DutyOutcome.THROTTLED
        self.calls.append(report.window)
        known = self.accepted.setdefault(report.window, report.counts)
        assert known == report.counts, f"two reports for window {report.window}"
        self.arrivals.setdefault(report.window, true_s() - (report.window + 1) * WINDOW_S)
        self.on_call(report)
        await anyio.sleep(0.005)
        if self.lose_answers:
            self.lose_answers -= 1
            return DutyOutcome.UNKNOWN
        return DutyOutcome.ACCEPTED


@dataclass
class FakeClient(DutyClient):
    """Client of the platform."""

    platform: FakePlatform

    async def report_usage(self, report: UsageReport, stamp: DutyStamp) -> DutyOutcome:
        return await self.platform.take(report)

    async def order_targets(self, order: TargetCountOrder, stamp: DutyStamp) -> DutyOutcome:
        raise AssertionError("no order is expected")


@dataclass
class FakeLease(DutyLease):
    """Lease that a test gives and takes away."""

    held: DutyStamp | None = None

    @property
    def stamp(self) -> DutyStamp | None:
        return self.held

    async def begin_calls(self) -> bool:
        await anyio.sleep(0.002)
        return self.held is not None

    async def end_calls(self) -> None:
        await anyio.sleep(0.002)

    def report_fault(self) -> None:
        return None

    def can_call(self) -> bool:
        return self.held is not None


@dataclass
class UsageVm:
    """Components of one VM."""

    name: str
    flaws: RowStoreFlaws
    counter: UsageCounter
    presence: VmPresence
    reporter: UsageReporter
    lease: FakeLease
    metrics: TextMetrics
    clock_error_s: float = 0.0
    is_serving: bool = True
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)

    def kill(self) -> None:
        self.is_serving = False
        self.scope.cancel()


@dataclass
class UsageWorld:
    """Simulated VMs with the store and the platform that they share."""

    tasks: anyio.abc.TaskGroup
    store: MemoryRowStore = field(default_factory=MemoryRowStore)
    platform: FakePlatform = field(default_factory=FakePlatform)
    vms: dict[str, UsageVm] = field(default_factory=dict)
    truth: dict[int, Counter[str]] = field(default_factory=dict)
    fences: int = 0

    def start(self, name: str, boot: str = "boot", clock_error_s: float = 0.0) -> UsageVm:
        """Start a VM that serves requests of all teams."""
        flaws = RowStoreFlaws(delay_s=0.002)
        view = RowStoreView(self.store, flaws)
        store_clock = StoreClock(anyio.current_time)
        parts = UsageParts(VmId(name), UsageSettings(WINDOW_S, DEADLINE_S), store_clock)
        parts.counter.clock.wall_clock = lambda: true_s() + vm.clock_error_s
        parts.counter.start()
        generator = random.Random(f"{name}{boot}")
        presence = VmPresence(
            view,
            VmRow(name, boot, f"{name}:80", "a", 0),
            store_clock,
            lambda: False,
            generator,
            LimitSharing(name, TargetLimits(), ReplicaDirectory()),
            parts.counter,
        )
        lease, metrics = FakeLease(), TextMetrics()
        client = FakeClient(self.platform)
        reporter = parts.create_reporter(view, lease, client, presence.watch, metrics)
        vm = UsageVm(name, flaws, parts.counter, presence, reporter, lease, metrics, clock_error_s)
        self.vms[name] = vm
        self.tasks.start_soon(self.run_vm, vm, generator)
        return vm

    async def run_vm(self, vm: UsageVm, generator: random.Random) -> None:
        with vm.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(vm.presence.run)
                tasks.start_soon(vm.reporter.run)
                tasks.start_soon(self.serve, vm, generator)

    async def serve(self, vm: UsageVm, generator: random.Random) -> None:
        """Serve a few requests of each team in each window."""
        while True:
            await anyio.sleep(generator.uniform(0.2, 0.8))
            phase_s = true_s() % WINDOW_S
            if vm.is_serving and BORDER_S < phase_s < WINDOW_S - BORDER_S:
                self.request(vm, generator.choice(TEAMS))

    def request(self, vm: UsageVm, team: str) -> None:
        """Let a request begin to run now."""
        self.truth.setdefault(window_now(), Counter())[team] += 1
        vm.counter.record_started(TeamName(team), anyio.current_time())

    def give_lease(self, vm: UsageVm) -> None:
        """Make a VM the holder of the lease; earlier holders keep believing that they are."""
        self.fences += 1
        vm.lease.held = DutyStamp(VmId(vm.name), self.fences)

    def move_lease(self, vm: UsageVm) -> None:
        """Make a VM the only holder of the lease."""
        for other in self.vms.values():
            other.lease.held = None
        self.give_lease(vm)

    def check(self, windows: range, late_s: float = 0.0) -> None:
        """Check that reports of windows have the true counts and came in time, or at most late."""
        for window in windows:
            counts = dict(self.truth.get(window, {}))
            assert self.platform.accepted.get(window) == counts, window
            assert self.platform.arrivals[window] <= DEADLINE_S + late_s, window


async def sleep_until(second: float) -> None:
    """Wait until some seconds after the start of the world's first whole window."""
    await anyio.sleep(WINDOW_S - START_S % WINDOW_S + second - anyio.current_time())


FIRST = int(START_S // WINDOW_S) + 1
