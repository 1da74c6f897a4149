"""The prefix cache of an engine's stand-in, and its events: late and with gaps."""

from collections import OrderedDict
from dataclasses import dataclass, field

from balsamcleat.adapters.engine_dialect import CacheEventMessage

__all__ = ["PrefixCache"]

MAX_EVENTS = 4096


@dataclass(frozen=True, slots=True)
class TimedEvent:
    """An event and when it happened, in monotonic seconds."""

    at_s: float
    event: CacheEventMessage


@dataclass
class PrefixCache:
    """Least recently used blocks go first.

    Attributes:
        limit: Blocks that fit.
        lag_s: How long an event stays unpublished, in seconds.
        drop_every: Every so many-th event is never published; 0 for none.
    """

    limit: int = 1024
    lag_s: float = 0.0
    drop_every: int = 0
    blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    events: list[TimedEvent] = field(default_factory=list)
    number: int = 0

    def used(self) -> float:
        """Return the share of the cache in use, 0 to 1."""
        return len(self.blocks) / self.limit if self.limit else 1.0

    def hits(self, blocks: tuple[int, ...]) -> int:
        """Return how many leading blocks are there; they count as just used."""
        hits = 0
        for block in blocks:
            if block not in self.blocks:
                break
            self.blocks.move_to_end(block)
            hits += 1
        return hits

    def store(self, blocks: tuple[int, ...], now_s: float) -> None:
        """Keep the blocks, pushing out the least recently used."""
        for block in blocks:
            if block not in self.blocks:
                self.note(block, stored=True, now_s=now_s)
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.limit:
            evicted, _ = self.blocks.popitem(last=False)
            self.note(evicted, stored=False, now_s=now_s)

    def clear(self, now_s: float) -> None:
        """Forget everything, as a change of weights does."""
        for block in self.blocks:
            self.note(block, stored=False, now_s=now_s)
        self.blocks.clear()

    def note(self, block: int, *, stored: bool, now_s: float) -> None:
        """Number an event; numbers count also those that are never published."""
        self.number += 1
        if self.drop_every and self.number % self.drop_every == 0:
            return
        event = CacheEventMessage(self.number, block, stored)
        self.events = [*self.events[1 - MAX_EVENTS :], TimedEvent(now_s, event)]

    def published(self, after: int, now_s: float) -> tuple[CacheEventMessage, ...]:
        """Return the events above ``after`` that are old enough to be published."""
        return tuple(
            timed.event
            for timed in self.events
            if timed.event.number > after and timed.at_s <= now_s - self.lag_s
        )
