"""Graceful shutdown: decide when a VM stops accepting connections and when it must exit."""

from dataclasses import dataclass
from enum import Enum

__all__ = ["Drain", "DrainPhase", "DrainTimes"]

# Seconds without a new request after which the load balancer counts as informed of the shutdown.
QUIET_S = 1.0
# Maximum share of the shutdown time spent on a load balancer that never notices the shutdown.
MAX_ADVERTISE_SHARE = 0.5


class DrainPhase(Enum):
    """Phase of a graceful shutdown."""

    SERVING = "serving"
    ADVERTISING = "advertising"
    FINISHING = "finishing"


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """Time limits of a graceful shutdown.

    Attributes:
        advertise_s: Minimum time for which the VM still accepts calls while the load balancer
            and peers learn that it is leaving, in seconds.
        total_s: Maximum duration of the whole shutdown, in seconds.
        quiet_s: Time without any new request after which the VM stops accepting, in seconds.
    """

    advertise_s: float
    total_s: float
    quiet_s: float = QUIET_S


class Drain:
    """The graceful shutdown of one VM: advertise it, then finish the requests in flight.

    Requests are answered in both phases.

    Args:
        times: Time limits of the shutdown.
    """

    def __init__(self, times: DrainTimes) -> None:
        self.times = times
        self.phase = DrainPhase.SERVING
        self.started_at_s = 0.0
        self.last_arrival_at_s = float("-inf")
        self.in_flight = 0

    def record_arrival(self, now_s: float) -> None:
        """Record the arrival of a request."""
        self.in_flight += 1
        self.last_arrival_at_s = now_s

    def record_end(self) -> None:
        """Record that a request was answered."""
        self.in_flight -= 1

    @property
    def is_leaving(self) -> bool:
        """Whether the shutdown has begun, so that responses ask to close their connection."""
        return self.phase is not DrainPhase.SERVING

    def begin(self, now_s: float) -> None:
        """Begin the shutdown; further calls have no effect."""
        if self.phase is DrainPhase.SERVING:
            self.phase = DrainPhase.ADVERTISING
            self.started_at_s = now_s

    def remaining_accept_s(self, now_s: float) -> float:
        """Return how long to go on accepting before the next check, in seconds; 0 to stop.

        Accepting ends once ``advertise_s`` has passed and the load balancer has sent nothing for
        ``quiet_s``, and in any case early enough to leave the rest of ``total_s`` for the requests
        in flight.
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
        remaining_s = min(latest_s, quiet_s) - now_s
        if remaining_s > 0:
            return remaining_s
        self.phase = DrainPhase.FINISHING
        return 0.0

    def remaining_s(self, now_s: float) -> float:
        """Return the remaining time of the whole shutdown, in seconds."""
        return max(0.0, self.started_at_s + self.times.total_s - now_s)
