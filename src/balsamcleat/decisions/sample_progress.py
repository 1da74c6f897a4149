"""Decide what of a sample's stream counts, from whatever targets it came."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from balsamcleat.model import WeightVersion

__all__ = ["FIRST_EVENT_NUMBER", "ProgressSlice", "SampleProgress", "SavedProgress", "join_slices"]

# Events count up by one from here.
FIRST_EVENT_NUMBER = 1


@dataclass(frozen=True, slots=True)
class SavedProgress:
    """What is at hand of a sample, as it is kept for another VM or a later step."""

    events: tuple[str, ...]
    versions: tuple[WeightVersion, ...]
    first_event: int
    complete: bool


@dataclass(frozen=True, slots=True)
class ProgressSlice:
    """Some events of a sample in a row, as they are kept while it runs.

    Attributes:
        generation: Slices of different generations don't belong together.
        start: Place of the first event among the sample's events, from 0.
        first_event: Number of the sample's first event.
        events: Data of the events.
        versions: Versions of all events up to and with these.
        complete: Whether nothing follows.
    """

    generation: int
    start: int
    first_event: int
    events: tuple[str, ...]
    versions: tuple[WeightVersion, ...]
    complete: bool = False


def join_slices(slices: Iterable[ProgressSlice]) -> SavedProgress | None:
    """Return what the newest generation's slices hold without a gap; None for nothing."""
    ordered = sorted(slices, key=lambda piece: (-piece.generation, piece.start))
    newest = [piece for piece in ordered if piece.generation == ordered[0].generation]
    events: list[str] = []
    versions: tuple[WeightVersion, ...] = ()
    complete = False
    for piece in newest:
        if piece.start > len(events):
            break
        events[piece.start :] = piece.events
        versions = piece.versions
        complete = piece.complete
    if not events:
        return None
    return SavedProgress(tuple(events), versions, newest[0].first_event, complete)


@dataclass(slots=True)
class SampleProgress:
    """The events at hand, whole and in order, and the weight versions that made them.

    Attributes:
        events: Data of the events.
        versions: Versions that made at least one of them.
        first_event: Number of the first one.
        current: Version of the stream that is being read; None where it isn't known.
        generation: Grows each time that everything is dropped.
    """

    events: list[str] = field(default_factory=list)
    versions: set[WeightVersion] = field(default_factory=set)
    first_event: int = FIRST_EVENT_NUMBER
    current_version: WeightVersion | None = None
    generation: int = 0

    @property
    def last_event(self) -> int | None:
        """Number of the last event at hand, to go on after; None where there is none."""
        return self.first_event + len(self.events) - 1 if self.events else None

    def begin_stream(self, version: WeightVersion | None) -> None:
        """Take note that a target's stream begins, made by this version so far."""
        self.current_version = version

    def append_event(self, number: int | None, data: str, changed: WeightVersion | None) -> bool:
        """Take an event; returns False where it doesn't follow or its version isn't known.

        Args:
            number: Its number.
            data: Its data.
            changed: The version from it on, where it differs from the event before.
        """
        if changed is not None:
            self.current_version = changed
        if number is None or self.current_version is None:
            return False
        if not self.events:
            self.first_event = number
        elif number != self.first_event + len(self.events):
            return False
        self.events.append(data)
        self.versions.add(self.current_version)
        return True

    def satisfies_version_bounds(self, oldest: WeightVersion, *, single: bool) -> bool:
        """Return whether the events at hand may be part of a sample."""
        if any(version < oldest for version in self.versions):
            return False
        return not single or len(self.versions) <= 1

    def reset(self) -> None:
        """Drop everything."""
        self.events.clear()
        self.versions.clear()
        self.first_event = FIRST_EVENT_NUMBER
        self.current_version = None
        self.generation += 1

    def joined_events(self) -> str:
        """Return the data of all events, joined by line feeds."""
        return "\n".join(self.events)

    def slice_from(self, start: int) -> ProgressSlice:
        """Return the events from a place on, to be kept."""
        return ProgressSlice(
            generation=self.generation,
            start=start,
            first_event=self.first_event,
            events=tuple(self.events[start:]),
            versions=tuple(sorted(self.versions)),
        )

    @classmethod
    def from_saved(cls, saved: SavedProgress) -> "SampleProgress":
        """Return the progress that was kept."""
        return cls(list(saved.events), set(saved.versions), saved.first_event)
