"""What one node believes of one target's load, between reports that lag."""

from dataclasses import dataclass, field

from balsamcleat.decisions.ejection import Health
from balsamcleat.model import LoadReport, TargetInfo

__all__ = ["DEFAULT_CAPACITY", "TargetState"]

DEFAULT_CAPACITY = 16.0


@dataclass(slots=True, eq=False)
class TargetState:
    """One target of the own zone, or one of another zone that was used.

    Attributes:
        info: The target as it was named.
        health: Its record of failures.
        capacity: Requests that fit, as its last report said.
        in_flight: Own requests there.
        reported: Requests running and waiting, as its last report said.
        own_then: Own requests there when the last report was measured, as far as known.
        own_at_report: Own requests there when the last report arrived.
        ramp: Share of the capacity it is given now, from its slow start.
        churn_blocks_per_s: Smoothed rate of blocks that enter its cache, and push others out.
        stored_before: Blocks counted into its cache up to the last look.
        churn_ratio: That rate against the mean of the pool.
        adapters: Adapters it has loaded, or None while that isn't known.
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
        """Take a load report.

        A report is about one interval old when it arrives, so what was in flight at the
        report before is what it had seen of our own requests.
        """
        self.capacity = max(1.0, float(load.capacity))
        self.reported_in_flight = load.running + load.waiting
        self.waiting = load.waiting
        self.own_at_measurement, self.own_at_report = self.own_at_report, self.in_flight

    def estimated_load(self) -> int:
        """Return the requests that it has now, by the report and our own since."""
        corrected = self.reported_in_flight + self.in_flight - self.own_at_measurement
        return corrected if corrected > self.in_flight else self.in_flight
