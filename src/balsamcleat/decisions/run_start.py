"""Estimate when a target began to run a request that it answered.

Load pattern: targets are saturated, and requests wait in their queues. A target states no start
time, and usage counts a request in the window in which it began to run, so the time at which it
was sent is too early by the wait. ``Server-Load`` tells the queue at the time of the response: a
request of the usual duration waits for about as many durations as there are requests in the queue
for each slot. A request never waited for longer than it took beyond the usual duration.
"""

from collections import deque
from statistics import median

from balsamcleat.model import ServiceName

__all__ = ["RunStartEstimator"]

# Responses from which the usual duration of a service's requests is taken.
MAX_DURATIONS = 33


class RunStartEstimator:
    """Usual durations of requests by service, and the starts that follow from them."""

    def __init__(self) -> None:
        self.durations_s: dict[ServiceName, deque[float]] = {}

    def start_s(
        self, service: ServiceName, sent_s: float, answered_s: float, waiting: int, slots: int
    ) -> float:
        """Return when a request began to run, and record its duration if the queue was empty.

        Args:
            service: Service of the target.
            sent_s: Time at which the request was sent, in seconds.
            answered_s: Time at which the response arrived, in seconds.
            waiting: Requests in the target's queue, as the response states.
            slots: Requests that the target runs at once.
        """
        duration_s = answered_s - sent_s
        durations_s = self.durations_s.setdefault(service, deque(maxlen=MAX_DURATIONS))
        if not waiting:
            durations_s.append(duration_s)
            return sent_s
        if not durations_s:
            return sent_s
        usual_s = median(durations_s)
        queue_s = usual_s * waiting / max(1, slots)
        return sent_s + max(0.0, min(duration_s - usual_s, queue_s))
