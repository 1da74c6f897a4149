"""Creates the components that count and report usage, if the platform wants reports."""

from dataclasses import dataclass

from balsamcleat.decisions.vm_watch import VmFailureDetector
from balsamcleat.model import VmId
from balsamcleat.platform import DutySettings
from balsamcleat.ports.duties import DutyClient, DutyLease
from balsamcleat.ports.metrics import Metrics
from balsamcleat.ports.rows import RowStore
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.true_clock import TrueClock
from balsamcleat.tasks.usage_counter import UsageCounter
from balsamcleat.tasks.usage_records import UsageRecords
from balsamcleat.tasks.usage_reporter import UsageReporter

__all__ = ["UsageParts", "UsageSettings", "usage_settings"]


@dataclass(frozen=True, slots=True)
class UsageSettings:
    """Settings of usage reports.

    Attributes:
        window_s: Length of a window, in seconds.
        deadline_s: Time after the end of a window at which its report is due, in seconds.
    """

    window_s: float
    deadline_s: float


def usage_settings(duties: DutySettings | None) -> UsageSettings | None:
    """Return the settings of usage reports, or None if the platform wants none."""
    if duties is None or not duties.usage:
        return None
    return UsageSettings(duties.report_window_s, duties.usage_deadline_s)


class UsageParts:
    """Components that count and report usage.

    Args:
        vm: Name of this VM.
        settings: Settings of usage reports.
        store_clock: Estimate of the store's clock.
    """

    def __init__(self, vm: VmId, settings: UsageSettings, store_clock: StoreClock) -> None:
        self.settings = settings
        self.counter = UsageCounter(vm, settings.window_s, TrueClock(store_clock))

    def create_reporter(
        self,
        store: RowStore,
        lease: DutyLease,
        client: DutyClient,
        watch: VmFailureDetector,
        metrics: Metrics,
    ) -> UsageReporter:
        """Return the reporter, to be run beside the other components."""
        return UsageReporter(
            UsageRecords(store),
            lease,
            client,
            self.counter,
            watch,
            self.settings.deadline_s,
            metrics,
        )
