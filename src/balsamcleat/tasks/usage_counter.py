"""Counts the requests of teams that began to run, and publishes the counts in this VM's row."""

from collections import deque

import anyio
import structlog

from balsamcleat.decisions.published_usage import PublishedUsage
from balsamcleat.decisions.usage_windows import UNDECIDED_LIMIT_S, CallRuns, UsageWindows
from balsamcleat.decisions.vm_watch import VmFailureDetector, VmRow
from balsamcleat.model import TeamName
from balsamcleat.tasks.true_clock import TrueClock

__all__ = ["UsageCounter"]

MS_PER_S = 1000.0
# Requests that are kept until true time is known, which takes one read of the store.
MAX_UNDATED_REQUESTS = 10_000

log = structlog.get_logger()


class UsageCounter:
    """Counts requests by team and window, and connects the counts with the VMs' rows.

    Args:
        vm: Name of this VM.
        window_s: Length of a window, in seconds.
        clock: True time.

    Attributes:
        configured_at_s: Time at which the first configuration came into force, on the steady clock;
            None before. Windows that ended before it are not reported.
        previous_boot: Identifier of the previous process of this VM; None if there was none.
        has_read: Set once the VMs' rows were read, so that this VM's row may be overwritten.
        has_counts: Set while there are counts that the store does not have.
    """

    def __init__(self, vm: str, window_s: float, clock: TrueClock) -> None:
        self.vm = vm
        self.clock = clock
        self.configured_at_s: float | None = None
        self.windows = UsageWindows(int(window_s * MS_PER_S))
        self.open_calls: dict[CallRuns, TeamName] = {}
        self.undated: deque[tuple[TeamName, float]] = deque(maxlen=MAX_UNDATED_REQUESTS)
        self.previous_boot: str | None = None
        self.has_read = anyio.Event()
        self.has_counts = anyio.Event()

    def start(self) -> None:
        """Begin to count, since a configuration is in force."""
        if self.configured_at_s is None:
            self.configured_at_s = self.clock.steady_s()

    def now_ms(self) -> float | None:
        """Return true time in milliseconds, or None if it is not known yet."""
        return self.clock.true_ms(self.clock.steady_s())

    def record_started(self, team: TeamName, started_s: float) -> None:
        """Count a request.

        Args:
            team: Team of the request.
            started_s: Time at which it began to run, on the steady clock, in seconds.
        """
        true_ms = self.clock.true_ms(started_s)
        if true_ms is None:
            self.undated.append((team, started_s))
            return
        self.windows.add(team, true_ms)
        self.has_counts.set()

    def open_call(self, runs: CallRuns, team: TeamName) -> None:
        """Keep windows open in which a call may have begun to run, until it is closed."""
        self.open_calls[runs] = team

    def close_call(self, runs: CallRuns) -> None:
        """Count a call at its end, if a target began to run it."""
        team = self.open_calls.pop(runs, None)
        if team is not None and runs.started_s is not None and not runs.is_counted:
            self.count(runs, team, runs.started_s)

    def count(self, runs: CallRuns, team: TeamName, started_s: float) -> None:
        """Count a call once."""
        runs.is_counted = True
        self.record_started(team, started_s)

    def publish(self) -> PublishedUsage | None:
        """Return the counts for this VM's row, or None if there are none yet."""
        self.clock.check_wall_clock()
        now_ms = self.now_ms()
        if now_ms is None or self.configured_at_s is None:
            return None
        configured_ms = self.clock.true_ms(self.configured_at_s)
        assert configured_ms is not None
        self.windows.begin(configured_ms)
        self.has_counts = anyio.Event()
        return self.windows.publish(now_ms, self.settle_calls(now_ms))

    def settle_calls(self, now_ms: float) -> float | None:
        """Count the calls that reports can't wait for any longer.

        Returns:
            Earliest true time at which a call that is not counted yet may have begun to run, in
            milliseconds; None if there is none.
        """
        undecided_ms: float | None = None
        for runs, team in self.open_calls.items():
            earliest_s = None if runs.is_counted else runs.earliest_s
            if earliest_s is None:
                continue
            true_ms = self.clock.true_ms(earliest_s)
            assert true_ms is not None
            end_ms = self.windows.end_ms(self.windows.window_at(true_ms))
            if now_ms - end_ms >= UNDECIDED_LIMIT_S * MS_PER_S:
                self.count(runs, team, earliest_s)
            elif undecided_ms is None or true_ms < undecided_ms:
                undecided_ms = true_ms
        return undecided_ms

    def record_published(self, usage: PublishedUsage | None) -> None:
        """Record that the store has taken the counts."""
        now_ms = self.now_ms()
        if usage is not None and now_ms is not None:
            self.windows.record_published(usage, now_ms)

    def apply(self, watch: VmFailureDetector, own_boots: set[str]) -> None:
        """Apply a read of the VMs' rows.

        Args:
            watch: Rows of all VMs.
            own_boots: Identifiers of process starts under which this process writes its row.
        """
        own = watch.observations.get(self.vm)
        if own is not None:
            if not self.has_read.is_set():
                self.previous_boot = own.row.boot
            self.apply_own_row(own.row, own_boots)
        self.clock.check_wall_clock()
        self.clock.apply_votes(
            row.clock for row in watch.live_rows() if row.vm != self.vm and row.clock is not None
        )
        while self.undated and self.now_ms() is not None:
            self.record_started(*self.undated.popleft())
        self.has_read.set()

    def apply_own_row(self, row: VmRow, own_boots: set[str]) -> None:
        """Go on from what the previous process of this VM published in its row.

        A write of that process may still take effect after this one began, so later rows of it are
        taken over, too. Those of a newer process are not: it has taken over what this one counted.
        """
        if row.boot in own_boots or row.boot != self.previous_boot:
            return
        if row.usage is not None:
            self.windows.take_over(row.usage)
        if self.has_read.is_set():
            return
        if row.clock is not None:
            self.clock.seed(row.clock)
        if row.usage is not None:
            log.info("usage taken over", first=row.usage.first, complete=row.usage.complete)
