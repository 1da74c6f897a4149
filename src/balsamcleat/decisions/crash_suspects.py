"""Block requests that crash the targets that run them.

Load pattern: one request crashes each target that starts to run it, and its caller retries it with
the same path and body at any VM. A single crash proves nothing, because targets also crash under
other requests and responses get lost; the same content under which three targets crashed, and
which none answered, is blocked. A blocked request is tried again at one target after a delay that
grows, so that content that was blocked by coincidence is served again.

Only requests that a caller waits for are judged. Samples of steps, and the requests that score
them, never crash targets by themselves: one under which targets crashed is owed, and runs again.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from balsamcleat.decisions.request_content import RequestParts
from balsamcleat.model import TargetId
from balsamcleat.model.replicas import TargetStart

__all__ = [
    "BLOCK_LIFETIME_S",
    "CRASHES_TO_BLOCK",
    "CRASH_WINDOW_S",
    "CrashHistory",
    "RunVerdict",
    "TargetRun",
    "UnfinishedRuns",
]

CRASHES_TO_BLOCK = 3
# Crashes further apart than this are not counted together, and are forgotten after it: each is a
# row that a VM reads when it starts.
CRASH_WINDOW_S = 300.0
FIRST_TRIAL_DELAY_S = 4.0
# The second trial comes after 64 s and the third after 17 min: a request that really crashes its
# targets is sent less than three times in any quarter of an hour after it was blocked.
TRIAL_DELAY_GROWTH = 16.0
MAX_TRIAL_DELAY_S = 3600.0
# A blocked request is forgotten after this time without a crash or a trial.
BLOCK_LIFETIME_S = 7200.0
MAX_REQUESTS = 2000
# A target's entry leaves the target list up to 4.4 s after the target crashed: three missed
# heartbeats of 1.2 s and the delay of the list.
UNFINISHED_LIFETIME_S = 8.0


class RunVerdict(Enum):
    """Whether a request may be sent to a target."""

    ALLOWED = "allowed"
    # One VM may send it once, to find out whether it still crashes targets.
    TRIAL_DUE = "trial due"
    BLOCKED = "blocked"


@dataclass(frozen=True, slots=True)
class TargetRun:
    """One run of a request at a target.

    Attributes:
        request: Id of the request, for the log.
        digest: Digest of the request's content.
        start: Start of the target that was sent the request.
        address: Address of that target, as ``IP:PORT``.
        parts: Parts of the request's content, for the log.
    """

    request: str
    digest: str
    start: TargetStart
    address: str
    parts: RequestParts | None = None


@dataclass(slots=True)
class CrashRecord:
    """Crashes under one request.

    Attributes:
        crashed_at_s: Time of each crash on the process clock, in seconds, by the target that
            crashed.
        is_blocked: Whether enough targets crashed to block the request.
        trial_count: Number of trials since the request was blocked.
        last_at_s: Time of the last crash or trial on the process clock, in seconds.
    """

    crashed_at_s: dict[TargetStart, float] = field(default_factory=dict)
    is_blocked: bool = False
    trial_count: int = 0
    last_at_s: float = float("-inf")

    def add_crash(self, start: TargetStart, at_s: float) -> None:
        """Add a crash, and block the request if that was one too many."""
        self.crashed_at_s[start] = at_s
        self.last_at_s = max(self.last_at_s, at_s)
        last_crash_s = max(self.crashed_at_s.values())
        recent = [at for at in self.crashed_at_s.values() if last_crash_s - at < CRASH_WINDOW_S]
        self.is_blocked = self.is_blocked or len(recent) >= CRASHES_TO_BLOCK

    def trial_due_s(self) -> float:
        """Return the time at which a trial of the blocked request is due."""
        delay_s = FIRST_TRIAL_DELAY_S * TRIAL_DELAY_GROWTH ** min(self.trial_count, 8)
        return self.last_at_s + min(delay_s, MAX_TRIAL_DELAY_S)


@dataclass(slots=True)
class CrashHistory:
    """Known crashes by the digest of the request that the targets ran."""

    records: dict[str, CrashRecord] = field(default_factory=dict)

    def record_crash(self, digest: str, start: TargetStart, at_s: float) -> bool:
        """Record that a target crashed while it ran a request; return whether that is new."""
        record = self.records.setdefault(digest, CrashRecord())
        if start in record.crashed_at_s:
            return False
        record.add_crash(start, at_s)
        self.evict()
        return True

    def remove_crash(self, digest: str, start: TargetStart) -> None:
        """Remove a crash that another VM found not to be the request's fault."""
        record = self.records.get(digest)
        if record is None:
            return
        record.crashed_at_s.pop(start, None)
        if not record.crashed_at_s:
            del self.records[digest]

    def withdraw_crash(self, digest: str, start: TargetStart) -> None:
        """Remove a crash that was none; it no longer blocks the request."""
        self.remove_crash(digest, start)
        record = self.records.get(digest)
        if record is not None and not record.trial_count:
            record.is_blocked = len(record.crashed_at_s) >= CRASHES_TO_BLOCK

    def record_trial(self, digest: str, number: int, at_s: float) -> None:
        """Record that a VM began a trial; trials are numbered from 1."""
        record = self.records.setdefault(digest, CrashRecord())
        record.trial_count = max(record.trial_count, number)
        record.last_at_s = max(record.last_at_s, at_s)

    def remove(self, digest: str) -> None:
        """Drop all that is known of a request, for example because a target answered it."""
        self.records.pop(digest, None)

    def crash_count(self, digest: str) -> int:
        """Return the number of known crashes under a request."""
        record = self.records.get(digest)
        return 0 if record is None else len(record.crashed_at_s)

    def trial_count(self, digest: str) -> int:
        """Return the number of trials of a blocked request so far."""
        record = self.records.get(digest)
        return 0 if record is None else record.trial_count

    def verdict(self, digest: str, now_s: float) -> RunVerdict:
        """Return whether a request may be sent to a target now."""
        record = self.records.get(digest)
        if record is None or not record.is_blocked:
            return RunVerdict.ALLOWED
        return RunVerdict.TRIAL_DUE if now_s >= record.trial_due_s() else RunVerdict.BLOCKED

    def trial_delay_s(self, digest: str, now_s: float) -> float:
        """Return the time until a trial is due, in seconds; 0 if the request is not blocked."""
        record = self.records.get(digest)
        if record is None or not record.is_blocked:
            return 0.0
        return max(0.0, record.trial_due_s() - now_s)

    def expired_digests(self, now_s: float) -> list[str]:
        """Return the digests of requests to which nothing happened for long."""
        return [
            digest
            for digest, record in self.records.items()
            if now_s - record.last_at_s
            > (BLOCK_LIFETIME_S if record.is_blocked else CRASH_WINDOW_S)
        ]

    def evict(self) -> None:
        """Drop the oldest record above the limit; one that blocks a request only if all do."""
        if len(self.records) <= MAX_REQUESTS:
            return
        unblocked = (digest for digest, record in self.records.items() if not record.is_blocked)
        del self.records[next(unblocked, next(iter(self.records)))]


@dataclass(slots=True)
class UnfinishedRuns:
    """Runs that ended here without a response, whose targets may have crashed unseen."""

    runs: dict[TargetRun, float] = field(default_factory=dict)

    def add(self, run: TargetRun, now_s: float) -> None:
        """Add a run that ended now, and drop those that ended long ago."""
        self.runs[run] = now_s
        while self.runs:
            oldest, ended_at_s = next(iter(self.runs.items()))
            is_recent = now_s - ended_at_s < UNFINISHED_LIFETIME_S
            if is_recent and len(self.runs) <= MAX_REQUESTS:
                return
            del self.runs[oldest]

    def remove_content(self, digest: str) -> None:
        """Drop the runs of a request that a target answered."""
        self.remove([run for run in self.runs if run.digest == digest])

    def remove(self, runs: Iterable[TargetRun]) -> None:
        """Drop runs."""
        for run in runs:
            self.runs.pop(run, None)

    def pop_crashed(
        self, target_id: TargetId, started_ms: int | None, now_s: float
    ) -> list[TargetRun]:
        """Remove and return the recent runs at earlier starts of a target that has ended.

        Args:
            target_id: Id of the target.
            started_ms: Start time of the target that now has the id, or None if there is none.
            now_s: Time on the process clock, in seconds.
        """
        ended = [
            run
            for run in self.runs
            if run.start.target_id == target_id
            and (started_ms is None or run.start.started_ms < started_ms)
        ]
        crashed = [run for run in ended if now_s - self.runs[run] < UNFINISHED_LIFETIME_S]
        self.remove(ended)
        return crashed
