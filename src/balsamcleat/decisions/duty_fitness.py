"""Whether a VM can perform a duty, so that an unfit holder hands its lease to another VM.

Failure: a holder reaches the store, and so renews its lease, but reaches none of the receivers of
its calls. No other VM would see that the duty isn't performed.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable

__all__ = ["CallFitness", "DutyFitness", "LinkFitness"]

# A usage report is due 10 s after its window, and the next holder waits 3.2 s before its first
# call; a holder whose calls fail for longer than this leaves no time for that.
UNANSWERED_LIMIT_S = 2.0
# One lost response is no sign of a lost link.
MIN_UNANSWERED_CALLS = 2
# Time in which each of the other VMs can try.
YIELD_S = 10.0


class DutyFitness(ABC):
    """Judges whether this VM should hold the lease on a duty."""

    def start_term(self) -> None:
        """Record that this VM acquired the lease."""
        return

    @abstractmethod
    def should_release(self, now_s: float) -> bool:
        """Return whether this VM should release the lease that it holds, at a time in seconds."""

    @abstractmethod
    def is_fit(self, now_s: float) -> bool:
        """Return whether this VM should take the lease as soon as it is free."""


class LinkFitness(DutyFitness):
    """Fitness of a VM for calls to many receivers, whose links are observed elsewhere.

    A VM that took the lease without links, since no other VM did, keeps it.

    Args:
        has_links: Returns whether this VM reaches the receivers.
    """

    def __init__(self, has_links: Callable[[], bool]) -> None:
        self.has_links = has_links
        self.had_links = True

    def should_release(self, now_s: float) -> bool:
        """Return whether the links were lost since the last question."""
        had_links = self.had_links
        return not self.is_fit(now_s) and had_links

    def is_fit(self, now_s: float) -> bool:
        """Return whether this VM reaches the receivers."""
        self.had_links = self.has_links()
        return self.had_links


class CallFitness(DutyFitness):
    """Fitness of a VM for calls to a single receiver, judged by its own calls."""

    def __init__(self) -> None:
        self.unanswered_calls = 0
        self.failing_since_s = 0.0
        self.failed_at_s = 0.0
        self.yields_until_s = float("-inf")

    def start_term(self) -> None:
        """Forget the calls of an earlier term."""
        self.unanswered_calls = 0

    def record_answered(self) -> None:
        """Record that the receiver answered a call, in whatever way."""
        self.unanswered_calls = 0

    def record_unanswered(self, started_s: float, ended_s: float) -> None:
        """Record a call without a response, with its start and end in seconds."""
        if not self.unanswered_calls:
            self.failing_since_s = started_s
        self.unanswered_calls += 1
        self.failed_at_s = ended_s

    def should_release(self, now_s: float) -> bool:
        """Return whether all calls of some time had no response; this VM then yields to others."""
        is_failing = (
            self.unanswered_calls >= MIN_UNANSWERED_CALLS
            and self.failed_at_s - self.failing_since_s >= UNANSWERED_LIMIT_S
        )
        if is_failing:
            self.unanswered_calls = 0
            self.yields_until_s = now_s + YIELD_S
        return is_failing

    def is_fit(self, now_s: float) -> bool:
        """Return whether this VM does not yield to others."""
        return now_s >= self.yields_until_s
