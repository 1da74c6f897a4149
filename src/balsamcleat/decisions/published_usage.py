"""What VMs publish of the requests that they counted.

Load pattern: all VMs read the counts of all VMs twice a second, so each team's name stands in a row
once, followed by its counts in consecutive windows.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["PublishedUsage"]


@dataclass(frozen=True, slots=True)
class PublishedUsage:
    """What a VM publishes of its counts.

    Attributes:
        length_ms: Length of a window, in milliseconds.
        first: Number of the first window with published counts.
        complete: Number of the last window whose counts are final.
        counts: Requests that began to run in each window from ``first`` on, by team; trailing
            zeros are left out.
    """

    length_ms: int
    first: int
    complete: int
    counts: Mapping[str, tuple[int, ...]] = field(default_factory=dict)

    def count(self, team: str, window: int) -> int:
        """Return the requests of a team that began to run in a window."""
        counts = self.counts.get(team, ())
        index = window - self.first
        return counts[index] if 0 <= index < len(counts) else 0
