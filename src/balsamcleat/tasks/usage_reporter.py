"""Reports the usage of teams to the platform, on the VM that holds the lease on it.

A report is stored before it is sent, and only what is stored is sent. So a new holder, or one that
does not know the outcome of a call, sends the same counts again.
"""

from dataclasses import replace

import anyio
import structlog

from balsamcleat.decisions.usage_windows import (
    MAX_WINDOWS,
    VmUsage,
    awaited_vms,
    covered_since,
    merge_counts,
    must_report,
)
from balsamcleat.decisions.vm_watch import VmFailureDetector
from balsamcleat.errors import BalsamcleatError
from balsamcleat.ports.duties import (
    Duty,
    DutyClient,
    DutyLease,
    DutyOutcome,
    DutyStamp,
    UsageReport,
)
from balsamcleat.ports.metrics import Metrics
from balsamcleat.tasks.duty_faults import perform_guarded
from balsamcleat.tasks.usage_counter import UsageCounter
from balsamcleat.tasks.usage_records import StoredReport, StoredReports, UsageRecords

__all__ = ["UsageReporter"]

MS_PER_S = 1000.0
# Shorter than the time between two reads of the VMs' rows, so that no failed read goes unseen.
CHECK_INTERVAL_S = 0.25
# Reads of the VMs' rows succeed if the last one is younger than this; they are 0.5 s apart.
FRESH_ROWS_S = 2.0
# A report that the platform has accepted is deleted this long after the end of its window. By then
# no VM publishes the counts of the window any more.
DONE_RETENTION_S = 60.0
# A report that the platform does not accept is given up this long after the end of its window.
UNDELIVERED_RETENTION_S = 600.0
# Rows deleted by one commit, which the store limits.
MAX_DELETED_ROWS = 20
# Time until a report that was not accepted is sent again.
RETRY_INTERVAL_S = 0.5
# While this process stops, the end of the last call is recorded for at most this time, in seconds.
END_TIMEOUT_S = 1.0

log = structlog.get_logger()


class UsageReporter:
    """Stores and sends the reports of windows that have ended.

    Args:
        records: Rows of the reports.
        lease: Lease on reporting usage.
        client: Sends the reports.
        counter: Counts and true time of this VM.
        watch: Rows of all VMs.
        deadline_s: Time after the end of a window at which its report is due, in seconds.
        metrics: Receives the counters.

    Attributes:
        known: Stored reports as last read; None if they must be read.
        known_by: Holder's stamp for which ``known`` was read.
        rows_readable_since_s: Time since which all reads of the VMs' rows have succeeded, on the
            steady clock; None while they fail.
        accepted: Windows whose reports the platform has accepted or rejected for good.
        retry_at_s: Time before which no report is sent, on the steady clock.
        delay_reason: Reason of the last delay that was logged.
    """

    def __init__(
        self,
        records: UsageRecords,
        lease: DutyLease,
        client: DutyClient,
        counter: UsageCounter,
        watch: VmFailureDetector,
        deadline_s: float,
        metrics: Metrics,
    ) -> None:
        self.records = records
        self.lease = lease
        self.client = client
        self.counter = counter
        self.watch = watch
        self.deadline_s = deadline_s
        self.metrics = metrics
        self.stored_reports: StoredReports | None = None
        self.read_under_stamp: DutyStamp | None = None
        self.rows_readable_since_s: float | None = None
        self.finished_windows: set[int] = set()
        self.retry_at_s = float("-inf")
        self.delay_reason = ""

    async def run(self) -> None:
        """Report the windows that have ended while this VM holds the lease, until cancelled."""
        while True:
            if not await perform_guarded(Duty.USAGE, self.lease, self.try_reports):
                self.stored_reports = None
            await anyio.sleep(CHECK_INTERVAL_S)

    async def try_reports(self) -> None:
        """Report the windows that have ended, as far as the store allows."""
        self.check_rows()
        try:
            await self.report_windows()
        except BalsamcleatError as error:
            # What the store has now must be read again.
            self.stored_reports = None
            self.log_delay(str(error))

    def check_rows(self) -> None:
        """Check whether the VMs' rows are being read."""
        read_at_s, now_s = self.watch.read_at_s, self.counter.clock.steady_s()
        if read_at_s is None or now_s - read_at_s > FRESH_ROWS_S:
            self.rows_readable_since_s = None
        elif self.rows_readable_since_s is None:
            self.rows_readable_since_s = read_at_s

    async def report_windows(self) -> None:
        """Store the reports of windows that have ended, send them and delete old ones.

        Raises:
            BalsamcleatError: The store did not answer, or its rows can't be read.
        """
        stamp, now_ms = self.lease.stamp, self.counter.now_ms()
        if stamp is None or now_ms is None:
            self.stored_reports = None
            return
        if self.stored_reports is None or self.read_under_stamp != stamp:
            self.stored_reports, self.read_under_stamp = await self.records.read(), stamp
        await self.store_reports(now_ms)
        await self.send_reports()
        await self.delete_reports(now_ms)

    def usages(self) -> list[VmUsage]:
        """Return the published counts of all VMs, also of those that have ended."""
        length_ms = self.counter.windows.length_ms
        return [
            VmUsage(row.vm, row.usage, self.watch.unchanged_s(row.vm), has_stopped=not row.boot)
            for row in (observed.row for observed in self.watch.observations.values())
            if row.usage is not None and row.usage.length_ms == length_ms
        ]

    async def store_reports(self, now_ms: float) -> None:
        """Store the reports of the windows whose counts are known."""
        if self.rows_readable_since_s is None:
            self.log_delay("the VMs' rows can't be read")
            return
        usages = self.usages()
        first = covered_since(usages)
        if first is None or self.stored_reports is None:
            return
        current = self.counter.windows.window_at(now_ms)
        first = max(first, self.stored_reports.closed_window + 1, current - MAX_WINDOWS)
        for window in range(first, current):
            if window not in self.stored_reports.reports and self.is_ready(window, usages, now_ms):
                await self.store_report(window, usages)

    def is_ready(self, window: int, usages: list[VmUsage], now_ms: float) -> bool:
        """Return whether the counts of a window are known as well as they will be in time."""
        assert self.rows_readable_since_s is not None
        if not awaited_vms(window, usages):
            return True
        readable_for_s = self.counter.clock.steady_s() - self.rows_readable_since_s
        return must_report(self.after_end_s(window, now_ms), readable_for_s)

    def after_end_s(self, window: int, now_ms: float) -> float:
        """Return the time since the end of a window, in seconds."""
        return (now_ms - self.counter.windows.end_ms(window)) / MS_PER_S

    async def store_report(self, window: int, usages: list[VmUsage]) -> None:
        """Store the report of a window unless it has one."""
        assert self.stored_reports is not None
        report = UsageReport(window, merge_counts(window, usages))
        was_stored = await self.records.create(report, len(usages), self.stored_reports)
        awaited = awaited_vms(window, usages)
        if was_stored and awaited:
            log.warning("usage incomplete", window=window, awaited=sorted(awaited))
        # The row decides also if another holder was faster.
        self.stored_reports = await self.records.read()

    async def send_reports(self) -> None:
        """Send the stored reports that the platform has not accepted, the oldest first."""
        assert self.stored_reports is not None
        pending = [
            stored
            for _, stored in sorted(self.stored_reports.reports.items())
            if not stored.is_done
        ]
        for stored in pending:
            if stored.report.window in self.finished_windows:
                await self.mark_done(stored)
        pending = [
            stored for stored in pending if stored.report.window not in self.finished_windows
        ]
        if not pending or self.counter.clock.steady_s() < self.retry_at_s:
            return
        if not await self.lease.begin_calls():
            return
        try:
            for stored in pending:
                stamp = self.lease.stamp
                if stamp is None or not self.lease.can_call():
                    # A new holder waits for some seconds after the last call of the one before.
                    self.retry_at_s = self.counter.clock.steady_s() + RETRY_INTERVAL_S
                    return
                outcome = await self.client.report_usage(stored.report, stamp)
                if not self.handle_outcome(stored, outcome):
                    return
                await self.mark_done(stored)
        finally:
            with anyio.move_on_after(END_TIMEOUT_S, shield=True):
                await self.lease.end_calls()

    def handle_outcome(self, stored: StoredReport, outcome: DutyOutcome) -> bool:
        """Handle the outcome of sending a report; return whether the report is done."""
        if outcome is DutyOutcome.ACCEPTED:
            self.record_accepted(stored)
        elif outcome is DutyOutcome.INVALID:
            log.error("usage report rejected", window=stored.report.window)
        else:
            self.metrics.count("usage.windows.repeated")
            self.log_delay(f"report not accepted: {outcome.value}")
            self.retry_at_s = self.counter.clock.steady_s() + RETRY_INTERVAL_S
            return False
        self.finished_windows.add(stored.report.window)
        return True

    async def mark_done(self, stored: StoredReport) -> None:
        """Mark a report in the store that need not be sent any more."""
        assert self.stored_reports is not None
        window = stored.report.window
        marked = await self.records.mark_done(stored)
        if marked is None:
            self.stored_reports = await self.records.read()
        else:
            self.stored_reports = replace(
                self.stored_reports, reports={**self.stored_reports.reports, window: marked}
            )

    def record_accepted(self, stored: StoredReport) -> None:
        """Record that the platform has accepted a report."""
        now_ms, report = self.counter.now_ms(), stored.report
        assert now_ms is not None
        late_s = max(0.0, self.after_end_s(report.window, now_ms) - self.deadline_s)
        self.metrics.count("usage.windows.reported")
        if late_s:
            self.metrics.count("usage.windows.late")
        self.delay_reason = ""
        log.info(
            "usage reported",
            window=report.window,
            requests=sum(report.counts.values()),
            teams=len(report.counts),
            vms=stored.vm_count,
            after_end_s=round(self.after_end_s(report.window, now_ms), 3),
            late_s=round(late_s, 3),
        )

    def log_delay(self, reason: str) -> None:
        """Log why reports are delayed, once for each reason in a row."""
        if self.lease.stamp is not None and reason != self.delay_reason:
            self.delay_reason = reason
            log.warning("usage delayed", reason=reason)

    async def delete_reports(self, now_ms: float) -> None:
        """Delete some of the reports that nobody needs any more."""
        assert self.stored_reports is not None
        expired = [
            window
            for window, stored in sorted(self.stored_reports.reports.items())
            if self.after_end_s(window, now_ms)
            >= (DONE_RETENTION_S if stored.is_done else UNDELIVERED_RETENTION_S)
        ][:MAX_DELETED_ROWS]
        if not expired:
            return
        for window in expired:
            if not self.stored_reports.reports[window].is_done:
                log.error("usage report given up", window=window)
        await self.records.delete(expired, self.stored_reports)
        self.finished_windows.difference_update(expired)
        self.stored_reports = await self.records.read()
