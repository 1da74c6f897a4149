"""Measurements of targets from this VM's own attempts: load, event interval and failures."""

from dataclasses import dataclass, field

from balsamcleat.decisions.pace_distribution import PaceDistribution
from balsamcleat.decisions.shared_limit import TargetLimits
from balsamcleat.model import TargetId
from balsamcleat.model.replicas import Replica, TargetStart

__all__ = ["ReplicaStats", "ReplicaStatsRegistry"]

# The weight of a target's reported load decays linearly to zero within this time, in seconds.
LOAD_DECAY_S = 1.0
# The first failure makes a target avoided only briefly, because most failures are single lost
# responses.
AVOID_BASE_S = 0.3
AVOID_CAP_S = 3.0
# A rejection for lack of capacity makes a target avoided even more briefly, because a slot is
# usually free a moment later.
REJECTION_AVOID_BASE_S = 0.05
REJECTION_AVOID_CAP_S = 0.4
EVENT_INTERVAL_SMOOTHING = 0.2
# An event interval measured longer ago than this is ignored, so that a target that was slow is
# tried again.
EVENT_INTERVAL_LIFETIME_S = 3.0
# The usual event interval follows a shorter one at once, and a longer one at this rate, as a target
# that is slow for some seconds is usually fast again later.
USUAL_INTERVAL_GROWTH_PER_S = 0.01
# A stream shows a target's pace from this number of events on; before, its start counts too much.
MIN_PACE_EVENTS = 16
# A target is slow now if its recent event interval exceeds its usual one by this factor.
SLOW_NOW_RATIO = 1.5
MAX_RECENT_PROMPTS = 256
# A longer gap between events is a pause, for example to load weights, and is not measured.
MAX_EVENT_INTERVAL_S = 0.6


@dataclass(slots=True)
class ReplicaStats:
    """This VM's measurements of one start of a target; times are on the process's clock.

    Attributes:
        started_ms: Start time of the target, in milliseconds since the Unix epoch.
        in_flight: Number of attempts of this VM that run at the target.
        others_in_flight: Number of requests of other VMs at the target, from the last response.
        load_reported_at_s: Time of the last response that reported the load.
        consecutive_failures: Number of failures since the last success.
        consecutive_rejections: Number of rejections since the last success.
        avoid_until_s: Time until which other targets are preferred.
        failing_until_s: Time until which other targets are preferred because of a failure.
        event_interval_s: Smoothed recent interval between two events of a stream, in seconds.
        last_event_at_s: Time of the last measured event.
        usual_interval_s: Event interval that the target has while nothing slows it down, in
            seconds; 0 before the first measurement.
        usual_interval_at_s: Time at which the usual event interval was measured.
        recent_prompts: Ids of the prompts sent to the target recently, the newest last.
        pace: Distribution of the pace that the target reported.
    """

    started_ms: int = 0
    in_flight: int = 0
    others_in_flight: int = 0
    load_reported_at_s: float = float("-inf")
    consecutive_failures: int = 0
    consecutive_rejections: int = 0
    avoid_until_s: float = float("-inf")
    failing_until_s: float = float("-inf")
    event_interval_s: float = 0.0
    last_event_at_s: float = float("-inf")
    usual_interval_s: float = 0.0
    usual_interval_at_s: float = 0.0
    recent_prompts: dict[str, None] = field(default_factory=dict)
    pace: PaceDistribution = field(default_factory=PaceDistribution)

    def load(self, now_s: float) -> float:
        """Return the estimated number of requests at the target now."""
        return self.in_flight + self.estimated_others_in_flight(now_s)

    def estimated_others_in_flight(self, now_s: float) -> float:
        """Return the estimated number of other VMs' requests at the target now."""
        age_s = now_s - self.load_reported_at_s
        return self.others_in_flight * max(0.0, 1.0 - age_s / LOAD_DECAY_S)

    def is_avoided(self, now_s: float) -> bool:
        """Return whether the target failed so recently that other targets are preferred."""
        return now_s < self.avoid_until_s

    def record_load(
        self, running: int, waiting: int, now_s: float, pace_ratio: float | None = None
    ) -> None:
        """Record the load that the target reported, without this VM's own requests, and its pace.

        ``pace_ratio`` is relative to the usual time; None if the target did not report it.
        """
        self.others_in_flight = max(0, running + waiting - self.in_flight)
        self.load_reported_at_s = now_s
        if pace_ratio is not None:
            self.pace.record(pace_ratio, now_s)

    def record_success(self) -> None:
        """Record a complete response."""
        self.consecutive_failures = 0
        self.consecutive_rejections = 0
        self.avoid_until_s = float("-inf")
        self.failing_until_s = float("-inf")

    def record_failure(self, now_s: float) -> None:
        """Record a failure; each consecutive one doubles the time for which it is avoided.

        Runs that fail while the target is avoided had begun before: whatever cut the first of them
        cut the others, too, so they show nothing new.
        """
        if now_s < self.failing_until_s:
            return
        self.consecutive_failures += 1
        avoid_s = min(AVOID_CAP_S, AVOID_BASE_S * 2 ** min(self.consecutive_failures - 1, 8))
        self.failing_until_s = now_s + avoid_s
        self.avoid_until_s = max(self.avoid_until_s, self.failing_until_s)

    def record_rejection(self, now_s: float, retry_after_s: float | None) -> None:
        """Record a rejection by a full or unready target; each consecutive one doubles the time.

        ``retry_after_s`` is the target's own retry delay, which takes precedence.
        """
        self.consecutive_rejections += 1
        avoid_s = min(
            REJECTION_AVOID_CAP_S,
            REJECTION_AVOID_BASE_S * 2 ** min(self.consecutive_rejections - 1, 8),
        )
        if retry_after_s is not None:
            avoid_s = min(retry_after_s, AVOID_CAP_S)
        self.avoid_until_s = max(self.avoid_until_s, now_s + avoid_s)

    def record_event_interval(self, interval_s: float, now_s: float) -> None:
        """Record the interval, in seconds, between two events of a stream."""
        if interval_s > MAX_EVENT_INTERVAL_S:
            return
        if now_s - self.last_event_at_s > EVENT_INTERVAL_LIFETIME_S:
            self.event_interval_s = interval_s
        else:
            self.event_interval_s += EVENT_INTERVAL_SMOOTHING * (interval_s - self.event_interval_s)
        self.last_event_at_s = now_s

    def record_stream_pace(self, event_count: int, duration_s: float, now_s: float) -> None:
        """Record how many events a stream has produced since its request was sent.

        Events that were held up arrive together, and single intervals between them say nothing of
        the target's pace; the mean since the request is never too short.
        """
        if event_count < MIN_PACE_EVENTS:
            return
        mean_s = duration_s / event_count
        growth = 1.0 + USUAL_INTERVAL_GROWTH_PER_S * (now_s - self.usual_interval_at_s)
        if not self.usual_interval_s or mean_s < self.usual_interval_s * growth:
            self.usual_interval_s = mean_s
            self.usual_interval_at_s = now_s

    def recent_event_interval_s(self, now_s: float) -> float:
        """Return the smoothed event interval in seconds, or 0 if none was measured recently."""
        return (
            self.event_interval_s
            if now_s - self.last_event_at_s <= EVENT_INTERVAL_LIFETIME_S
            else 0.0
        )

    def expected_interval_s(self, now_s: float) -> float:
        """Return the event interval to expect of a new stream in seconds, or 0 if unknown.

        The recent interval is noisy, so it only counts while it shows that the target is slow now,
        beyond the spread of the pace that the target reports.
        """
        recent_s = self.recent_event_interval_s(now_s)
        slow_s = SLOW_NOW_RATIO * self.pace.spread(now_s) * self.usual_interval_s
        if not self.usual_interval_s or recent_s > slow_s:
            return recent_s
        return self.usual_interval_s

    def record_prompt(self, prompt_id: str) -> None:
        """Record that a prompt was sent to the target."""
        self.recent_prompts.pop(prompt_id, None)
        self.recent_prompts[prompt_id] = None
        if len(self.recent_prompts) > MAX_RECENT_PROMPTS:
            del self.recent_prompts[next(iter(self.recent_prompts))]

    def clear_prompts(self) -> None:
        """Forget the prompts, because the target dropped its cache."""
        self.recent_prompts.clear()


@dataclass(slots=True)
class ReplicaStatsRegistry:
    """This VM's measurements of all targets, each of one start of its target.

    A target that starts again under its id knows nothing of before, so it begins without load and
    failures. Attempts that still run count at the start that they were sent to, until they end,
    also if the list shows that start no more, or again.

    Attributes:
        by_target: Measurements of the latest known start, by target id.
        unlisted: Measurements of starts that are not listed any more and at which attempts run.
        limits: Limits that the targets name, and what this VM may send to them.
    """

    by_target: dict[TargetId, ReplicaStats] = field(default_factory=dict)
    unlisted: dict[TargetStart, ReplicaStats] = field(default_factory=dict)
    limits: TargetLimits = field(default_factory=TargetLimits)

    def for_replica(self, replica: Replica) -> ReplicaStats:
        """Return the measurements of a target's start; create empty ones if there are none."""
        stats = self.by_target.get(replica.target_id)
        if stats is not None and stats.started_ms == replica.started_ms:
            return stats
        return self.for_other_start(replica, stats)

    def for_other_start(self, replica: Replica, latest: ReplicaStats | None) -> ReplicaStats:
        """Return the measurements of a start that is not the latest known one so far."""
        stats = self.unlisted.get(replica.start)
        if stats is None:
            stats = ReplicaStats(started_ms=replica.started_ms)
        if latest is not None and latest.started_ms > replica.started_ms:
            return self.unlisted.setdefault(replica.start, stats)
        if latest is not None:
            self.remove(replica.target_id)
        self.unlisted.pop(replica.start, None)
        self.by_target[replica.target_id] = stats
        return stats

    def remove(self, target_id: TargetId) -> None:
        """Drop the measurements of a target that was removed or restarted.

        Those of a start at which attempts still run stay, as the attempts hold them.
        """
        self.limits.remove(target_id)
        stats = self.by_target.pop(target_id, None)
        if stats is not None:
            self.unlisted[TargetStart(target_id, stats.started_ms)] = stats
        self.unlisted = {start: other for start, other in self.unlisted.items() if other.in_flight}
