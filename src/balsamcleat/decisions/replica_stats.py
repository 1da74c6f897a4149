"""Decide what this VM's own attempts say of a target: its load, its pace, whether to avoid it."""

from dataclasses import dataclass, field

from balsamcleat.model import TargetId

__all__ = ["ReplicaStats", "ReplicaStatsRegistry"]

# What a target said of its load counts for less and less, and for nothing after this time.
LOAD_DECAY_S = 1.0
# A first failure keeps work away for a moment only: most are single lost answers.
AVOID_BASE_S = 0.3
AVOID_CAP_S = 3.0
# Full refusals say little: the place is free a moment later.
REJECTION_AVOID_BASE_S = 0.05
REJECTION_AVOID_CAP_S = 0.4
EVENT_INTERVAL_SMOOTHING = 0.2
# A pace seen longer ago than this is forgotten, so that a target that was slow is tried again.
EVENT_INTERVAL_LIFETIME_S = 3.0
MAX_RECENT_PROMPTS = 256
# A longer gap between events is a pause, as for loading weights, and says nothing of the pace.
MAX_EVENT_INTERVAL_S = 0.6


@dataclass(slots=True)
class ReplicaStats:
    """What is known of one target at first hand.

    Attributes:
        in_flight: Attempts of this VM that run there.
        others: Requests of others there, as of the last answer.
        said_at_s: When that was, on the process's clock.
        failures: Failures in a row.
        refusals: Refusals in a row.
        avoid_until_s: No new work before, where another target can take it.
        event_s: Seconds for one event of a stream, as seen lately.
        event_seen_s: When one was seen last.
        prompts: Prompts read there lately, the newest last.
    """

    in_flight: int = 0
    others_in_flight: int = 0
    load_reported_at_s: float = float("-inf")
    consecutive_failures: int = 0
    consecutive_rejections: int = 0
    avoid_until_s: float = float("-inf")
    event_interval_s: float = 0.0
    last_event_at_s: float = float("-inf")
    recent_prompts: dict[str, None] = field(default_factory=dict)

    def load(self, now_s: float) -> float:
        """Return the number of requests believed there now."""
        return self.in_flight + self.estimated_others_in_flight(now_s)

    def estimated_others_in_flight(self, now_s: float) -> float:
        """Return the number of other VMs' requests believed there now."""
        age_s = now_s - self.load_reported_at_s
        return self.others_in_flight * max(0.0, 1.0 - age_s / LOAD_DECAY_S)

    def is_avoided(self, now_s: float) -> bool:
        """Return whether it failed so lately that others go first."""
        return now_s < self.avoid_until_s

    def record_load(self, running: int, waiting: int, now_s: float) -> None:
        """Take what it said of its load; this VM's own share is taken off."""
        self.others_in_flight = max(0, running + waiting - self.in_flight)
        self.load_reported_at_s = now_s

    def record_success(self) -> None:
        """Take note of a whole answer."""
        self.consecutive_failures = 0
        self.consecutive_rejections = 0
        self.avoid_until_s = float("-inf")

    def record_failure(self, now_s: float) -> None:
        """Take note of a failure; each in a row doubles the time away."""
        self.consecutive_failures += 1
        away_s = min(AVOID_CAP_S, AVOID_BASE_S * 2 ** min(self.consecutive_failures - 1, 8))
        self.avoid_until_s = max(self.avoid_until_s, now_s + away_s)

    def record_rejection(self, now_s: float, retry_after_s: float | None) -> None:
        """Take note that it was full or not ready; each in a row doubles the time away."""
        self.consecutive_rejections += 1
        away_s = min(
            REJECTION_AVOID_CAP_S,
            REJECTION_AVOID_BASE_S * 2 ** min(self.consecutive_rejections - 1, 8),
        )
        if retry_after_s is not None:
            away_s = min(retry_after_s, AVOID_CAP_S)
        self.avoid_until_s = max(self.avoid_until_s, now_s + away_s)

    def record_event_interval(self, seconds: float, now_s: float) -> None:
        """Take the time that an event of a stream took."""
        if seconds > MAX_EVENT_INTERVAL_S:
            return
        if now_s - self.last_event_at_s > EVENT_INTERVAL_LIFETIME_S:
            self.event_interval_s = seconds
        else:
            self.event_interval_s += EVENT_INTERVAL_SMOOTHING * (seconds - self.event_interval_s)
        self.last_event_at_s = now_s

    def recent_event_interval_s(self, now_s: float) -> float:
        """Return the seconds for one event; 0 where none was seen lately."""
        return (
            self.event_interval_s
            if now_s - self.last_event_at_s <= EVENT_INTERVAL_LIFETIME_S
            else 0.0
        )

    def record_prompt(self, prompt_id: str) -> None:
        """Take note that a prompt was sent there."""
        self.recent_prompts.pop(prompt_id, None)
        self.recent_prompts[prompt_id] = None
        if len(self.recent_prompts) > MAX_RECENT_PROMPTS:
            del self.recent_prompts[next(iter(self.recent_prompts))]

    def clear_prompts(self) -> None:
        """Take note that it dropped what it had read."""
        self.recent_prompts.clear()


@dataclass(slots=True)
class ReplicaStatsRegistry:
    """Evidence by target."""

    by_target: dict[TargetId, ReplicaStats] = field(default_factory=dict)

    def for_target(self, target_id: TargetId) -> ReplicaStats:
        """Return the evidence on a target, empty at first."""
        found = self.by_target.get(target_id)
        if found is None:
            found = self.by_target[target_id] = ReplicaStats()
        return found

    def remove(self, target_id: TargetId) -> None:
        """Drop what is known of a target that is gone or started anew."""
        known = self.by_target.pop(target_id, None)
        if known is not None and known.in_flight:
            # Attempts that still run count themselves out of the record they took.
            self.by_target[target_id] = ReplicaStats(in_flight=known.in_flight)
