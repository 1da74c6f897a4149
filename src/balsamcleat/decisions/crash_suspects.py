"""Decide which requests are no longer sent because targets crash under them.

Load pattern: one request crashes each target that begins to run it, and its caller sends it again
with the same path and body at any VM. A cut alone proves nothing, as answers also get lost; the
same content cut at three targets within a short time does.
"""

from dataclasses import dataclass, field

import xxhash

from balsamcleat.model import TargetId

__all__ = ["CRASHES_TO_BLOCK", "CrashHistory", "request_digest"]

CRASHES_TO_BLOCK = 3
# Crashes further apart than this don't belong together; a verdict lasts as long.
CRASH_WINDOW_S = 60.0
MAX_REQUESTS = 2000


def request_digest(caller: str, method: str, target: str, body: bytes) -> str:
    """Return what a request is known by when it comes again."""
    digest = xxhash.xxh3_128()
    for part in (caller.encode(), method.encode(), target.encode(), body):
        digest.update(part + b"\0")
    return digest.hexdigest()


@dataclass(slots=True)
class CrashHistory:
    """Crashes by content, each with the targets at which they were seen and when."""

    crashes: dict[str, dict[TargetId, float]] = field(default_factory=dict)

    def record_crash(self, content: str, target_id: TargetId, now_s: float) -> None:
        """Take note that a target cut a request off without a word."""
        seen = self.crashes.pop(content, {})
        seen[target_id] = now_s
        self.crashes[content] = seen
        if len(self.crashes) > MAX_REQUESTS:
            del self.crashes[next(iter(self.crashes))]

    def is_blocked(self, content: str, now_s: float) -> bool:
        """Return whether a request is sent no more."""
        seen = self.crashes.get(content)
        if seen is None:
            return False
        recent = {target: at_s for target, at_s in seen.items() if now_s - at_s < CRASH_WINDOW_S}
        if not recent:
            del self.crashes[content]
            return False
        self.crashes[content] = recent
        return len(recent) >= CRASHES_TO_BLOCK
