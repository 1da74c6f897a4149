"""Count requests by team and window on each VM, and merge the counts of all VMs into reports.

Load pattern: most teams have only a few requests in a window, so a single lost or repeated one is
a large error. Each VM publishes its counts of the recent windows, and the number of the window
through which they are final. Failures: a VM is killed, and its last published counts are what is
known; it starts again and goes on from them; it is cut off from the store over the end of a window
and publishes late; the store is unavailable, and nobody can publish.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from balsamcleat.decisions.published_usage import PublishedUsage
from balsamcleat.decisions.vm_watch import VM_DEAD_AFTER_S
from balsamcleat.model import TeamName

__all__ = [
    "CallRuns",
    "UsageWindows",
    "VmUsage",
    "awaited_vms",
    "covered_since",
    "merge_counts",
    "must_report",
]

MS_PER_S = 1000
# Time for which a window's counts stay published after they became final.
RETENTION_S = 20.0
# Windows kept while they can't be published, in an outage of the store.
MAX_WINDOWS = 24
# A call without a response this long after the end of the window in which it was sent is counted
# in that window: its target has most likely begun it, and the report can't wait for it any longer.
UNDECIDED_LIMIT_S = 5.0
# Reports wait for the counts of VMs until this time after the end of the window. The rest of the
# time until the report is due is for its delivery.
COUNTS_LIMIT_S = 7.0
# A VM that is silent for less than this may be cut off from the store and still serve callers.
CUT_OFF_LIMIT_S = 30.0
# After an outage of the store, live VMs publish their counts within this time.
REPUBLISH_S = 2.5


@dataclass(frozen=True, slots=True)
class VmUsage:
    """Published counts of a VM with its state.

    Attributes:
        vm: Name of the VM.
        usage: Counts in its row.
        unchanged_s: Time for which its row has been unchanged, in seconds.
        has_stopped: Whether the VM announced that its process ends.
    """

    vm: str
    usage: PublishedUsage
    unchanged_s: float
    has_stopped: bool = False


@dataclass(slots=True, eq=False)
class CallRuns:
    """Runs of one call at targets; times are on the VM's steady clock, in seconds.

    Attributes:
        sent_s: Times at which the attempts whose outcomes are not known yet were sent, by number.
        started_s: Earliest time at which a target began to run the call, or None.
        is_counted: Whether the call is counted.
    """

    sent_s: dict[int, float] = field(default_factory=dict)
    started_s: float | None = None
    is_counted: bool = False

    def record_end(self, attempt: int, started_s: float | None) -> None:
        """Record the end of an attempt, and when it began to run; None if it did not."""
        self.sent_s.pop(attempt, None)
        if started_s is not None and (self.started_s is None or started_s < self.started_s):
            self.started_s = started_s

    @property
    def earliest_s(self) -> float | None:
        """Earliest time at which the call may have begun to run; None if it has not."""
        times = [*self.sent_s.values()]
        if self.started_s is not None:
            times.append(self.started_s)
        return min(times, default=None)


class UsageWindows:
    """Requests that began to run at one VM, by window and team.

    Args:
        length_ms: Length of a window, in milliseconds.

    Attributes:
        first: Number of the first window that this VM knows about; None before it began to count.
        complete: Number of the last window whose counts are final.
    """

    def __init__(self, length_ms: int) -> None:
        self.length_ms = length_ms
        self.first: int | None = None
        self.complete = -1
        self.own: dict[int, Counter[str]] = {}
        self.inherited: dict[int, Counter[str]] = {}
        # True time in milliseconds at which each window was first published with final counts.
        self.published_ms: dict[int, float] = {}

    def window_at(self, true_ms: float) -> int:
        """Return the number of the window at a time."""
        return int(true_ms // self.length_ms)

    def end_ms(self, window: int) -> int:
        """Return the end of a window in true time, in milliseconds."""
        return (window + 1) * self.length_ms

    def begin(self, true_ms: float) -> None:
        """Begin to count at a time, unless this VM has begun already."""
        if self.first is None:
            self.first = self.window_at(true_ms)
            self.complete = max(self.complete, self.first - 1)

    def add(self, team: TeamName, true_ms: float) -> None:
        """Count a request that began to run at a time.

        Final counts are never changed: if the estimate of true time was set back, the request
        counts in the next window.
        """
        window = max(self.window_at(true_ms), self.complete + 1)
        self.own.setdefault(window, Counter())[team] += 1

    def take_over(self, usage: PublishedUsage) -> None:
        """Take over the counts that an earlier process of this VM published.

        They only grow, so a later row of that process replaces an earlier one.
        """
        if usage.length_ms != self.length_ms:
            return
        for team, counts in usage.counts.items():
            for index, count in enumerate(counts):
                if count:
                    known = self.inherited.setdefault(usage.first + index, Counter())
                    known[team] = max(known[team], count)
        self.first = usage.first if self.first is None else min(self.first, usage.first)
        # The report of a window that was final may be stored already.
        self.complete = max(self.complete, usage.complete)

    def publish(self, true_ms: float, undecided_ms: float | None) -> PublishedUsage | None:
        """Return what to publish at a time; None before this VM began to count.

        Args:
            true_ms: Current time.
            undecided_ms: Earliest time at which a call that is not counted yet may have begun to
                run; None if there is none.
        """
        if self.first is None:
            return None
        current = self.window_at(true_ms)
        final_before = current
        if undecided_ms is not None:
            final_before = min(final_before, self.window_at(undecided_ms))
        self.complete = max(self.complete, final_before - 1)
        self.drop_old(true_ms, current)
        windows = range(self.first, max(current, self.complete + 1) + 1)
        teams = sorted({team for window in windows for team in self.teams_of(window)})
        counts = {team: self.team_counts(team, windows) for team in teams}
        return PublishedUsage(self.length_ms, self.first, self.complete, counts)

    def teams_of(self, window: int) -> set[str]:
        """Return the teams that have counts in a window."""
        return {*self.own.get(window, ()), *self.inherited.get(window, ())}

    def team_counts(self, team: str, windows: range) -> tuple[int, ...]:
        """Return the counts of a team in consecutive windows, without trailing zeros."""
        counts = [
            sum(known[window][team] for known in (self.own, self.inherited) if window in known)
            for window in windows
        ]
        while counts and not counts[-1]:
            counts.pop()
        return tuple(counts)

    def record_published(self, usage: PublishedUsage, true_ms: float) -> None:
        """Record that the store has taken what was published."""
        for window in range(usage.first, usage.complete + 1):
            self.published_ms.setdefault(window, true_ms)

    def drop_old(self, true_ms: float, current: int) -> None:
        """Drop windows published long enough ago, and the oldest beyond the maximum."""
        assert self.first is not None
        first = max(self.first, current - MAX_WINDOWS)
        while (
            first < current
            and first in self.published_ms
            and true_ms - self.published_ms[first] >= RETENTION_S * MS_PER_S
        ):
            first += 1
        for window in range(self.first, first):
            self.published_ms.pop(window, None)
            self.own.pop(window, None)
            self.inherited.pop(window, None)
        self.first = first


def merge_counts(window: int, usages: Iterable[VmUsage]) -> dict[TeamName, int]:
    """Return the requests that began to run in a window at all VMs, by team."""
    merged: Counter[str] = Counter()
    for vm in usages:
        for team in vm.usage.counts:
            merged[team] += vm.usage.count(team, window)
    return {TeamName(team): count for team, count in sorted(merged.items()) if count}


def covered_since(usages: Iterable[VmUsage]) -> int | None:
    """Return the number of the first window that any VM knows about, or None if there is none."""
    return min((vm.usage.first for vm in usages), default=None)


def awaited_vms(window: int, usages: Iterable[VmUsage]) -> list[str]:
    """Return the VMs whose counts of a window are not final and may still be published.

    A VM that has been silent for a moment is waited for, too: it may be cut off from the store and
    publish its counts before the report must be sent.
    """
    return [
        vm.vm
        for vm in usages
        if vm.usage.complete < window
        and vm.unchanged_s < (VM_DEAD_AFTER_S if vm.has_stopped else CUT_OFF_LIMIT_S)
    ]


def must_report(after_end_s: float, readable_for_s: float) -> bool:
    """Return whether a window must be reported without the counts that are still awaited.

    Args:
        after_end_s: Time since the end of the window, in seconds.
        readable_for_s: Time for which all reads of the VMs' rows have succeeded, in seconds. After
            an outage the VMs need a moment to publish their counts.
    """
    return after_end_s >= COUNTS_LIMIT_S and readable_for_s >= REPUBLISH_S
