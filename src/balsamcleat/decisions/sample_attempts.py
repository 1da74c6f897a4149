"""Counts of the attempts at one sample, which its step's owners share through the store.

Failure: an owner is stopped, killed or frozen, and the next one counts anew, so that a sample that
fails at each run is run again and again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from balsamcleat.decisions.sample_scoring import ScoringProgress

__all__ = ["MAX_COUNTED_INTERRUPTIONS", "NO_ATTEMPTS", "AttemptCounts", "SampleAttempts"]

# The delay before a sample runs again grows up to this number of interruptions in a row.
MAX_COUNTED_INTERRUPTIONS = 3


class AttemptCounts(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored counts of the attempts at a sample; each only grows.

    Attributes:
        failures: Number of runs that a target answered with an error.
        is_impossible: Whether a target answered that the sample can never be generated.
        interruptions: Largest number of interruptions in a row without progress between them.
        scoring_failures: Number of server errors in the answers to scoring requests.
        scoring_tries: Number of scoring requests that ended without a score.
        is_unscorable: Whether a target answered that the sample can never be scored.
    """

    failures: int = 0
    is_impossible: bool = False
    interruptions: int = 0
    scoring_failures: int = 0
    scoring_tries: int = 0
    is_unscorable: bool = False

    def key(self) -> str:
        """Return a name that other counts don't have, so that a late write replaces no others."""
        return "-".join(str(int(count)) for count in msgspec.structs.astuple(self))

    @classmethod
    def merge(cls, records: Iterable["AttemptCounts"]) -> "AttemptCounts":
        """Return the counts that several records of one sample show together."""
        columns = zip(*(msgspec.structs.astuple(record) for record in records), strict=True)
        return cls(*(max(column) for column in columns))


NO_ATTEMPTS = AttemptCounts()


@dataclass(slots=True)
class SampleAttempts:
    """Attempts at one sample, as its step's owner counts them.

    Attributes:
        failures: Number of runs that a target answered with an error.
        is_impossible: Whether a target answered that the sample can never be generated.
        interruptions: Number of interruptions in a row without progress between them.
        events_at_interruption: Number of events at the last interruption; None before the first
            one of this owner.
        scoring: Attempts to score the sample.
    """

    failures: int = 0
    is_impossible: bool = False
    interruptions: int = 0
    events_at_interruption: int | None = None
    scoring: ScoringProgress = field(default_factory=ScoringProgress)

    @classmethod
    def restore(cls, counts: AttemptCounts) -> "SampleAttempts":
        """Return the attempts that earlier owners counted."""
        scoring = ScoringProgress(
            counts.scoring_failures, counts.scoring_tries, counts.is_unscorable
        )
        return cls(counts.failures, counts.is_impossible, counts.interruptions, None, scoring)

    def counts(self) -> AttemptCounts:
        """Return the counts to store."""
        return AttemptCounts(
            failures=self.failures,
            is_impossible=self.is_impossible,
            interruptions=min(self.interruptions, MAX_COUNTED_INTERRUPTIONS),
            scoring_failures=self.scoring.failure_count,
            scoring_tries=self.scoring.counted_tries(),
            is_unscorable=self.scoring.is_impossible,
        )

    def record_interruption(self, event_count: int) -> int:
        """Record an interruption; return the number of those in a row without progress.

        Args:
            event_count: Number of events of the sample's text.
        """
        is_restored = self.events_at_interruption is None and self.interruptions > 0
        if is_restored or event_count == self.events_at_interruption:
            self.interruptions += 1
        else:
            self.interruptions = 0
        self.events_at_interruption = event_count
        return self.interruptions

    def should_give_up(self, max_failures: int) -> bool:
        """Return whether no target has to run the sample any more."""
        return self.is_impossible or self.failures >= max_failures
