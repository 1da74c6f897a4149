"""Publishes what this VM knows of targets' limits, and applies what the other VMs publish."""

from collections.abc import Callable

import anyio
import structlog

from balsamcleat.decisions.limit_parts import LimitReport, VmDemand
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.shared_limit import LimitChange, TargetLimits
from balsamcleat.decisions.vm_watch import VmFailureDetector
from balsamcleat.model import ServiceName, TargetId

__all__ = ["LimitSharing", "log_limit_change"]

log = structlog.get_logger()


class LimitSharing:
    """Connects the limits of targets with the heartbeat rows of the VMs.

    Args:
        vm: Name of this VM.
        limits: Limits that the targets name.
        directory: Directory of the targets.
        is_isolated: Returns whether this VM asked its peers and none answered.
    """

    def __init__(
        self,
        vm: str,
        limits: TargetLimits,
        directory: ReplicaDirectory,
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        self.limits = limits
        self.limits.vm = vm
        self.directory = directory
        self.is_isolated = is_isolated

    @property
    def is_active(self) -> bool:
        """Whether other VMs need this VM's reports."""
        return self.limits.is_active

    def report(self) -> LimitReport | None:
        """Return the report for this VM's row, or None if there is nothing to tell."""
        report = self.limits.report(anyio.current_time())
        return report if report.demands or report.notices else None

    def update_isolation(self) -> None:
        """Tell the limits whether this VM's view of the other VMs may be old."""
        self.limits.is_isolated = self.is_isolated()

    def apply(self, watch: VmFailureDetector) -> None:
        """Apply the rows of the live VMs."""
        view = tuple(
            VmDemand(row.vm, row.limits, watch.unchanged_s(row.vm))
            for row in watch.live_rows()
            if row.boot
        )
        for change in self.limits.apply_view(view, self.service_of, anyio.current_time()):
            log_limit_change(change, source="another VM")

    def service_of(self, target_id: TargetId) -> ServiceName | None:
        """Return the service of a target, or None if the target isn't listed."""
        entry = self.directory.entries.get(target_id)
        return None if entry is None else entry.service


def log_limit_change(change: LimitChange, source: str) -> None:
    """Log that a target's limit began, changed or ended."""
    if change.limit_per_s is None:
        event = "target limit ended"
    elif change.before_per_s is None:
        event = "target limit began"
    else:
        event = "target limit changed"
    log.info(
        event,
        target=change.target_id,
        limit_per_s=change.limit_per_s,
        before_per_s=change.before_per_s,
        source=source,
    )
