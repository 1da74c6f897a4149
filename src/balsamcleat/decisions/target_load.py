"""One VM's estimate of a target's load, from delayed reports and the VM's own requests."""

from dataclasses import dataclass, field

from balsamcleat.decisions.ejection import Health
from balsamcleat.model import LoadReport, TargetInfo

__all__ = ["DEFAULT_CAPACITY", "TargetState"]

DEFAULT_CAPACITY = 16.0


@dataclass(slots=True, eq=False)
class TargetState:
    """The state of one target in this VM's availability zone.

    Attributes:
        info: Listed properties of the target, with its current role.
        health: Failure record of the target.
        capacity: Number of requests that the target can run, from its last load report.
        in_flight: Number of requests that this VM has in flight at the target.
        reported_in_flight: Number of running and waiting requests in the last load report.
        waiting: Number of waiting requests in the last load report.
        own_at_measurement: Estimated number of this VM's requests at the target when the last
            report was measured.
        own_at_report: Number of this VM's requests at the target when the last report arrived.
        slow_start_share: Share of the capacity that the target gets during its slow start.
        churn_blocks_per_s: Smoothed rate of blocks that enter the target's cache and evict others.
        churn_ratio: ``churn_blocks_per_s`` relative to the mean of the pool.
        last_stored_blocks: Number of blocks stored in the target's cache at the last update of
            ``churn_blocks_per_s``.
        adapters: Adapters that the target has loaded, or None while that is unknown.
    """

    info: TargetInfo
    health: Health = field(default_factory=Health)
    capacity: float = DEFAULT_CAPACITY
    in_flight: int = 0
    reported_in_flight: int = 0
    waiting: int = 0
    own_at_measurement: int = 0
    own_at_report: int = 0
    slow_start_share: float = 1.0
    churn_blocks_per_s: float = 0.0
    churn_ratio: float = 1.0
    last_stored_blocks: int = 0
    adapters: frozenset[str] | None = None

    def record_report(self, load: LoadReport) -> None:
        """Record a load report.

        A report is about one interval old when it arrives, so it includes about the requests of
        this VM that were in flight when the previous report arrived.
        """
        self.capacity = max(1.0, float(load.capacity))
        self.reported_in_flight = load.running + load.waiting
        self.waiting = load.waiting
        self.own_at_measurement, self.own_at_report = self.own_at_report, self.in_flight

    def estimated_load(self) -> int:
        """Return the current number of requests: the report plus this VM's requests since."""
        corrected = self.reported_in_flight + self.in_flight - self.own_at_measurement
        return corrected if corrected > self.in_flight else self.in_flight
