"""Decide which requests run alone, or not at all, after targets crashed under them."""

from collections import OrderedDict
from dataclasses import dataclass, replace
from enum import Enum

import msgspec
import xxhash

from balsamcleat.model import TargetId

__all__ = [
    "Allowed",
    "Blocked",
    "Quarantine",
    "RunIsolated",
    "SuspectState",
    "SuspectUpdate",
    "WaitForTrial",
    "content_digest",
]

BLOCK_DURATION_S = 300.0
SUSPECT_DURATION_S = 600.0
# A trial whose end nobody reports, as when its VM dies, is over after this time.
TRIAL_TIMEOUT_S = 120.0
MAX_SUSPECTS = 10_000


class SuspectState(Enum):
    """What is known of a request's content."""

    SUSPECT = "suspect"
    ON_TRIAL = "on trial"
    CLEARED = "cleared"
    BLOCKED = "condemned"


class SuspectUpdate(msgspec.Struct, frozen=True):
    """What a VM tells its zone of a suspect.

    Attributes:
        digest: Digest of the content.
        state: What is known now.
        target: The target of its trial, or an empty string.
        for_s: How long that holds from now, in seconds; VMs share no clock.
    """

    digest: str
    state: SuspectState
    target: str
    for_s: float


@dataclass(frozen=True, slots=True)
class SuspectRecord:
    """One suspect as this VM knows it; ``until_s`` is on the monotonic clock."""

    state: SuspectState
    until_s: float
    target: str = ""
    is_shared: bool = False


@dataclass(frozen=True, slots=True)
class Allowed:
    """Nothing speaks against the request."""


@dataclass(frozen=True, slots=True)
class RunIsolated:
    """It may run on a target that runs nothing else."""


@dataclass(frozen=True, slots=True)
class WaitForTrial:
    """The same content is on trial; wait for its end."""


@dataclass(frozen=True, slots=True)
class Blocked:
    """It crashed a target that ran nothing else; refuse it for so many seconds."""

    retry_after_s: float


def content_digest(*parts: str | bytes) -> str:
    """Return the digest of what is asked; ids play no part, so a resend has the same."""
    digest = xxhash.xxh3_128()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()


class Quarantine:
    """Keeps the suspects of one availability zone.

    All that was in flight at a crash is suspect. A suspect runs again alone on a target that is
    reserved for it; if that crashes too, it is condemned, if not, it is cleared. So a poisoned
    request costs two targets, and its neighbours at the first crash are not condemned.
    """

    def __init__(self) -> None:
        self.suspects: OrderedDict[str, SuspectRecord] = OrderedDict()

    def decide(self, digest: str, now_s: float) -> Allowed | RunIsolated | WaitForTrial | Blocked:
        """Return how a request may run."""
        known = self.suspects.get(digest)
        if known is None:
            return Allowed()
        if now_s >= known.until_s:
            if known.state is not SuspectState.ON_TRIAL:
                del self.suspects[digest]
                return Allowed()
            return RunIsolated()
        if known.state is SuspectState.BLOCKED:
            return Blocked(known.until_s - now_s)
        return WaitForTrial() if known.state is SuspectState.ON_TRIAL else RunIsolated()

    def reserved_targets(self, now_s: float) -> frozenset[TargetId]:
        """Return the targets on which a suspect runs alone."""
        return frozenset(
            TargetId(known.target)
            for known in self.suspects.values()
            if known.state is SuspectState.ON_TRIAL and now_s < known.until_s
        )

    def begin_trial(self, digest: str, target_id: TargetId, now_s: float) -> SuspectUpdate:
        """Take note that a suspect runs alone."""
        return self.store_suspect(digest, SuspectState.ON_TRIAL, TRIAL_TIMEOUT_S, now_s, target_id)

    def mark_trial_shared(self, target_id: TargetId) -> None:
        """Take note that other work had to go to a reserved target, so its crash proves less."""
        for digest, known in self.suspects.items():
            if known.state is SuspectState.ON_TRIAL and known.target == target_id:
                self.suspects[digest] = replace(known, is_shared=True)

    def record_crash(self, digest: str, target_id: TargetId, now_s: float) -> SuspectUpdate:
        """Take note that a target crashed under the request."""
        known = self.suspects.get(digest)
        alone = (
            known is not None
            and known.state is SuspectState.ON_TRIAL
            and known.target == target_id
            and not known.is_shared
        )
        if alone or (known is not None and known.state is SuspectState.BLOCKED):
            return self.store_suspect(digest, SuspectState.BLOCKED, BLOCK_DURATION_S, now_s)
        return self.store_suspect(digest, SuspectState.SUSPECT, SUSPECT_DURATION_S, now_s)

    def record_survival(
        self, digest: str, target_id: TargetId, now_s: float
    ) -> SuspectUpdate | None:
        """Take note that an attempt ended without a crash; returns news if that ends a trial."""
        known = self.suspects.get(digest)
        if known is None or known.state is not SuspectState.ON_TRIAL:
            return None
        if known.target != target_id:
            return None
        del self.suspects[digest]
        return SuspectUpdate(digest, SuspectState.CLEARED, "", 0.0)

    def record_abandoned_trial(
        self, digest: str, target_id: TargetId, now_s: float
    ) -> SuspectUpdate | None:
        """Take note that a trial was given up; the request is a suspect again, its target free."""
        known = self.suspects.get(digest)
        if known is None or known.state is not SuspectState.ON_TRIAL or known.target != target_id:
            return None
        return self.store_suspect(digest, SuspectState.SUSPECT, SUSPECT_DURATION_S, now_s)

    def apply_update(self, news: SuspectUpdate, now_s: float) -> None:
        """Take news from a peer; a condemned request stays so until its time is over."""
        known = self.suspects.get(news.digest)
        if known is not None and known.state is SuspectState.BLOCKED and now_s < known.until_s:
            return
        if news.state is SuspectState.CLEARED:
            self.suspects.pop(news.digest, None)
            return
        longest_s = max(BLOCK_DURATION_S, SUSPECT_DURATION_S, TRIAL_TIMEOUT_S)
        for_s = min(max(0.0, news.for_s), longest_s)
        self.store_suspect(news.digest, news.state, for_s, now_s, TargetId(news.target))

    def store_suspect(
        self,
        digest: str,
        state: SuspectState,
        for_s: float,
        now_s: float,
        target_id: TargetId | None = None,
    ) -> SuspectUpdate:
        """Keep what is known of a suspect, the oldest making room."""
        target = target_id or ""
        self.suspects[digest] = SuspectRecord(state, now_s + for_s, target)
        self.suspects.move_to_end(digest)
        while len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
        return SuspectUpdate(digest, state, target, for_s)
