"""Block requests that crash the targets that run them.

Load pattern: one request crashes each target that starts to run it, and its caller retries it with
the same path and body at any VM. A single broken connection proves nothing, because responses
also get lost; the same content broken off by three targets within a short time is proof.
"""

from dataclasses import dataclass, field

import xxhash

from balsamcleat.model import TargetId

__all__ = ["CRASHES_TO_BLOCK", "CrashHistory", "request_digest"]

CRASHES_TO_BLOCK = 3
# Crashes count together only within this time, in seconds; a request stays blocked for as long.
CRASH_WINDOW_S = 60.0
MAX_REQUESTS = 2000


def request_digest(caller: str, method: str, target: str, body: bytes) -> str:
    """Return the digest by which a retry of the same request is recognized."""
    digest = xxhash.xxh3_128()
    for part in (caller.encode(), method.encode(), target.encode(), body):
        digest.update(part + b"\0")
    return digest.hexdigest()


@dataclass(slots=True)
class CrashHistory:
    """Recent crashes by request digest, each with the targets that crashed and the times."""

    crashes: dict[str, dict[TargetId, float]] = field(default_factory=dict)

    def record_crash(self, digest: str, target_id: TargetId, now_s: float) -> None:
        """Record that a target broke a request off without a response."""
        crashed_at_s = self.crashes.pop(digest, {})
        crashed_at_s[target_id] = now_s
        self.crashes[digest] = crashed_at_s
        if len(self.crashes) > MAX_REQUESTS:
            del self.crashes[next(iter(self.crashes))]

    def crash_count(self, digest: str) -> int:
        """Return the number of known crashes under a request, also those that lapsed."""
        return len(self.crashes.get(digest, ()))

    def is_blocked(self, digest: str, now_s: float) -> bool:
        """Return whether a request must not be sent any more."""
        crashed_at_s = self.crashes.get(digest)
        if crashed_at_s is None:
            return False
        recent = {
            target: at_s for target, at_s in crashed_at_s.items() if now_s - at_s < CRASH_WINDOW_S
        }
        if not recent:
            del self.crashes[digest]
            return False
        self.crashes[digest] = recent
        return len(recent) >= CRASHES_TO_BLOCK
