"""Which requests a VM still passes on after it was asked to stop.

Load pattern: callers reuse kept connections, and a load balancer with no other VM goes on sending,
until the process is gone. A request that would still run when the grace period ends would be cut
off without an answer, and can't be repeated if it is not idempotent.
"""

__all__ = ["StopSchedule"]

# Reserved at the end of the grace period, between the stop signal and the kill, in seconds.
STOP_MARGIN_S = 0.8
# Callers can't know of the stop for this long, so their requests are passed on in any case.
NOTICE_S = 3.0


class StopSchedule:
    """Time of a planned stop, once one was asked for.

    Attributes:
        began_s: Time of the stop signal in seconds, on the event loop's clock; None before it.
        ends_s: Time at which the process ends at the latest, on the same clock.
    """

    def __init__(self) -> None:
        self.began_s: float | None = None
        self.ends_s = float("inf")

    def begin(self, now_s: float, grace_s: float) -> None:
        """Record the stop signal.

        Args:
            now_s: Time of the stop signal in seconds, on the event loop's clock.
            grace_s: Time between the stop signal and the kill, in seconds.
        """
        self.began_s = now_s
        self.ends_s = now_s + grace_s - STOP_MARGIN_S

    def accepts(self, received_s: float, latest_end_s: float) -> bool:
        """Return whether a request may be passed on.

        Args:
            received_s: Time at which the request was received.
            latest_end_s: Time at which its caller no longer waits for it.
        """
        if self.began_s is None or received_s - self.began_s <= NOTICE_S:
            return True
        return latest_end_s <= self.ends_s
