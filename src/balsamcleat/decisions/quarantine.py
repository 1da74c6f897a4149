"""Quarantine: isolate, and if necessary block, requests that ran on targets that crashed."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import Enum

import msgspec

from balsamcleat.model import TargetId

__all__ = [
    "Allowed",
    "Blocked",
    "Quarantine",
    "RunIsolated",
    "SuspectState",
    "SuspectUpdate",
    "WaitForTrial",
]

BLOCK_DURATION_S = 300.0
SUSPECT_DURATION_S = 600.0
# A trial whose end is never reported, for example because its VM crashed, ends after this time.
TRIAL_TIMEOUT_S = 120.0
MAX_SUSPECTS = 10_000


class SuspectState(Enum):
    """State of a request's content in the quarantine; the values are sent to peers."""

    SUSPECT = "suspect"
    ON_TRIAL = "on trial"
    CLEARED = "cleared"
    BLOCKED = "condemned"


class SuspectUpdate(msgspec.Struct, frozen=True):
    """Message about a suspect that a VM broadcasts in its availability zone.

    Attributes:
        digest: Digest of the request's content.
        state: Current state of the content.
        target: Target of the trial, or an empty string.
        for_s: Remaining validity of the state, in seconds; a duration, because VMs share no clock.
    """

    digest: str
    state: SuspectState
    target: str
    for_s: float


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """This VM's record of a suspect.

    Attributes:
        state: Current state of the content.
        until_s: Time on the monotonic clock, in seconds, at which the state expires.
        target: Target of the trial, or an empty string.
        is_shared: Whether other requests run on the target of the trial.
    """

    state: SuspectState
    until_s: float
    target: str = ""
    is_shared: bool = False


@dataclass(frozen=True, slots=True)
class Allowed:
    """Decision that the request may run on any target."""


@dataclass(frozen=True, slots=True)
class RunIsolated:
    """Decision that the request may run on a target that runs nothing else."""


@dataclass(frozen=True, slots=True)
class WaitForTrial:
    """Decision that the request waits, because a trial of the same content is running."""


@dataclass(frozen=True, slots=True)
class Blocked:
    """Decision to reject the request, because its content crashed a target that ran only it.

    Attributes:
        retry_after_s: Time until the content is no longer blocked, in seconds.
    """

    retry_after_s: float


class Quarantine:
    """Isolates requests that may crash targets (poison requests), in one availability zone.

    All requests in flight at a crash become suspects. A suspect runs again in a trial, alone on a
    target that is reserved for it. If that target crashes too, the suspect is blocked; otherwise
    it is cleared. So a poison request crashes two targets, and requests that only ran beside it
    at the first crash are not blocked.
    """

    def __init__(self) -> None:
        self.suspects: OrderedDict[str, SuspectRecord] = OrderedDict()

    def decide(self, digest: str, now_s: float) -> Allowed | RunIsolated | WaitForTrial | Blocked:
        """Return whether and how a request may run."""
        record = self.suspects.get(digest)
        if record is None:
            return Allowed()
        if now_s >= record.until_s:
            if record.state is not SuspectState.ON_TRIAL:
                del self.suspects[digest]
                return Allowed()
            return RunIsolated()
        if record.state is SuspectState.BLOCKED:
            return Blocked(record.until_s - now_s)
        return WaitForTrial() if record.state is SuspectState.ON_TRIAL else RunIsolated()

    def reserved_targets(self, now_s: float) -> frozenset[TargetId]:
        """Return the targets that are reserved for trials."""
        return frozenset(
            TargetId(record.target)
            for record in self.suspects.values()
            if record.state is SuspectState.ON_TRIAL and now_s < record.until_s
        )

    def begin_trial(self, digest: str, target_id: TargetId, now_s: float) -> SuspectUpdate:
        """Record the start of a trial; return the update for the peers."""
        return self.store_suspect(digest, SuspectState.ON_TRIAL, TRIAL_TIMEOUT_S, now_s, target_id)

    def mark_trial_shared(self, target_id: TargetId) -> None:
        """Record that another request runs on a reserved target, so a crash is no proof."""
        for digest, record in self.suspects.items():
            if record.state is SuspectState.ON_TRIAL and record.target == target_id:
                self.suspects[digest] = replace(record, is_shared=True)

    def record_crash(self, digest: str, target_id: TargetId, now_s: float) -> SuspectUpdate:
        """Record that a target crashed while it ran a request; return the update for the peers."""
        record = self.suspects.get(digest)
        was_isolated = (
            record is not None
            and record.state is SuspectState.ON_TRIAL
            and record.target == target_id
            and not record.is_shared
        )
        if was_isolated or (record is not None and record.state is SuspectState.BLOCKED):
            return self.store_suspect(digest, SuspectState.BLOCKED, BLOCK_DURATION_S, now_s)
        return self.store_suspect(digest, SuspectState.SUSPECT, SUSPECT_DURATION_S, now_s)

    def record_survival(
        self, digest: str, target_id: TargetId, now_s: float
    ) -> SuspectUpdate | None:
        """Record an attempt without a crash; return an update if that ends a trial."""
        record = self.suspects.get(digest)
        if record is None or record.state is not SuspectState.ON_TRIAL:
            return None
        if record.target != target_id:
            return None
        del self.suspects[digest]
        return SuspectUpdate(digest, SuspectState.CLEARED, "", 0.0)

    def record_abandoned_trial(
        self, digest: str, target_id: TargetId, now_s: float
    ) -> SuspectUpdate | None:
        """Record that a trial was abandoned; return an update if it was running.

        The request becomes a suspect again and its target is no longer reserved.
        """
        record = self.suspects.get(digest)
        if (
            record is None
            or record.state is not SuspectState.ON_TRIAL
            or record.target != target_id
        ):
            return None
        return self.store_suspect(digest, SuspectState.SUSPECT, SUSPECT_DURATION_S, now_s)

    def apply_update(self, update: SuspectUpdate, now_s: float) -> None:
        """Apply a peer's update; a blocked request stays blocked until the block expires."""
        record = self.suspects.get(update.digest)
        if record is not None and record.state is SuspectState.BLOCKED and now_s < record.until_s:
            return
        if update.state is SuspectState.CLEARED:
            self.suspects.pop(update.digest, None)
            return
        max_duration_s = max(BLOCK_DURATION_S, SUSPECT_DURATION_S, TRIAL_TIMEOUT_S)
        for_s = min(max(0.0, update.for_s), max_duration_s)
        self.store_suspect(update.digest, update.state, for_s, now_s, TargetId(update.target))

    def store_suspect(
        self,
        digest: str,
        state: SuspectState,
        for_s: float,
        now_s: float,
        target_id: TargetId | None = None,
    ) -> SuspectUpdate:
        """Store the state of a suspect, evict the oldest at the limit and return the update."""
        target = target_id or ""
        self.suspects[digest] = SuspectRecord(state, now_s + for_s, target)
        self.suspects.move_to_end(digest)
        while len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
        return SuspectUpdate(digest, state, target, for_s)
