"""Decide when a leaving node may stop to accept connections and when it must end."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Drain", "DrainPhase", "DrainTimes"]

# A balancer that still sent something this recently has not learned yet.
QUIET_S = 1.0
# The share of the whole drain that a balancer which never learns may take.
MAX_ADVERTISE_SHARE = 0.5


class DrainPhase(Enum):
    """How far a graceful shutdown is."""

    SERVING = "serving"
    ADVERTISING = "advertising"
    FINISHING = "finishing"


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """How long the parts of a shutdown may take.

    Attributes:
        advertise_s: How long the node accepts calls at least while others learn, in seconds.
        whole_s: Bound of the whole shutdown, in seconds.
        quiet_s: How long no request may have come before it stops to accept, in seconds.
    """

    advertise_s: float
    total_s: float
    quiet_s: float = QUIET_S


class Drain:
    """One node's way out: advertise, then finish; requests go on being answered in both.

    Args:
        times: How long the parts may take.
    """

    def __init__(self, times: DrainTimes) -> None:
        self.times = times
        self.phase = DrainPhase.SERVING
        self.started_at_s = 0.0
        self.last_arrival_at_s = float("-inf")
        self.in_flight = 0

    def record_arrival(self, now_s: float) -> None:
        """Take note of a request."""
        self.in_flight += 1
        self.last_arrival_at_s = now_s

    def record_end(self) -> None:
        """Take note that a request was answered."""
        self.in_flight -= 1

    @property
    def is_leaving(self) -> bool:
        """Whether answers ask for their connection to be closed."""
        return self.phase is not DrainPhase.SERVING

    def begin(self, now_s: float) -> None:
        """Begin to leave; beginning again changes nothing."""
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.ADVERTISING
            self.started_at_s = now_s

    def remaining_accept_s(self, now_s: float) -> float:
        """Return how long to wait before asking again, in seconds; 0 once it may stop to accept.

        It stops once the balancer has had its time and has been quiet, and in any case early
        enough to leave the rest of the bound for what is in flight.
        """
        if self.phase is DrainPhase.FINISHING:
            return 0.0
        times = self.times
        latest_s = self.started_at_s + max(times.advertise_s, times.total_s * MAX_ADVERTISE_SHARE)
        latest_s = min(latest_s, self.started_at_s + times.total_s)
        quiet_s = max(
            self.started_at_s + times.advertise_s,
            self.last_arrival_at_s + min(times.quiet_s, times.advertise_s),
        )
        left_s = min(latest_s, quiet_s) - now_s
        if left_s > 0:
            return left_s
        self.phase = DrainPhase.FINISHING
        return 0.0

    def remaining_s(self, now_s: float) -> float:
        """Return what is left of the bound, in seconds."""
        return max(0.0, self.started_at_s + self.times.total_s - now_s)
