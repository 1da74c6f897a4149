"""Decide how long a stream may pause between two events before its target counts as silent.

Load pattern: a target stops producing events, but its connection stays open and may even deliver
bytes now and then, while other targets are merely slow and pause regularly. Only complete events
count as progress, and a stream whose events are far apart may pause for longer.
"""

from dataclasses import dataclass

__all__ = ["SAMPLE_PAUSE_S", "StallTimer", "caller_patience_s", "resume_pause_s"]

# Callers wait at least this long for the next event, and at least this many latency objectives.
MIN_CALLER_PATIENCE_S = 2.0
PATIENCE_PER_OBJECTIVE = 4.0
# A stream counts as stalled after this many of its usual pauses. Callers wait that long too.
STALL_PAUSES = 8.0
# Share of a caller's patience after which a stream is resumed elsewhere; the rest is for the new
# target to produce its first event.
RESUME_PATIENCE_SHARE = 0.75
# Shortest pause after which a sample's stream counts as stalled. Loading weights while a sample
# runs interrupts its stream for a shorter time.
SAMPLE_PAUSE_S = 1.2


def caller_patience_s(objective_s: float) -> float:
    """Return how long callers of a route wait for the next event, in seconds."""
    return max(MIN_CALLER_PATIENCE_S, PATIENCE_PER_OBJECTIVE * objective_s)


def resume_pause_s(objective_s: float) -> float:
    """Return the pause after which a stream that another target can resume is abandoned."""
    return RESUME_PATIENCE_SHARE * caller_patience_s(objective_s)


@dataclass(slots=True)
class StallTimer:
    """Measures the progress of one stream; times are on the process's clock, in seconds.

    Attributes:
        min_pause_s: Pause that any stream may make.
        last_event_s: Time of the last event, or the start of the stream.
        usual_pause_s: Expected time between two events; 0 if it is not known.
        first_event_s: Time of the first event, or None before it.
        event_count: Number of events so far.
    """

    min_pause_s: float
    last_event_s: float
    usual_pause_s: float = 0.0
    first_event_s: float | None = None
    event_count: int = 0

    def record_events(self, count: int, now_s: float) -> None:
        """Record that the stream produced events."""
        if not count:
            return
        if self.first_event_s is None:
            self.first_event_s = now_s
        self.event_count += count
        self.last_event_s = now_s
        if self.event_count > 1:
            mean_pause_s = (now_s - self.first_event_s) / (self.event_count - 1)
            self.usual_pause_s = max(self.usual_pause_s, mean_pause_s)

    def remaining_s(self, now_s: float) -> float:
        """Return how much longer the stream may pause; 0 or less if it has stalled."""
        limit_s = max(self.min_pause_s, STALL_PAUSES * self.usual_pause_s)
        return self.last_event_s + limit_s - now_s
