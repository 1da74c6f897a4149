"""Progress of a sample: the stream events received so far, possibly from several targets."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from balsamcleat.decisions.sample_attempts import NO_ATTEMPTS, AttemptCounts
from balsamcleat.decisions.stream_origin import StreamOrigin
from balsamcleat.model import ServiceName, WeightVersion
from balsamcleat.model.replicas import StreamSoftware

__all__ = ["FIRST_EVENT_NUMBER", "ProgressSlice", "SampleProgress", "SavedProgress", "join_slices"]

# Number of the first event of a stream; the numbers are consecutive.
FIRST_EVENT_NUMBER = 1


@dataclass(frozen=True, slots=True)
class SavedProgress:
    """Progress of a sample, as saved for another VM or a later step.

    Attributes:
        events: Data of the events.
        versions: Weight versions that generated the events.
        first_event: Number of the first event.
        complete: Whether the sample has ended.
        software: Software that wrote the events, or None if it is not certain.
        attempts: Counts of the attempts at the sample.
    """

    events: tuple[str, ...]
    versions: tuple[WeightVersion, ...]
    first_event: int
    complete: bool
    software: StreamSoftware | None = None
    attempts: AttemptCounts = NO_ATTEMPTS


@dataclass(frozen=True, slots=True)
class ProgressSlice:
    """Consecutive events of a sample, as saved while the sample runs.

    Attributes:
        generation: Generation of the progress; slices of different generations can't be joined.
        start: Index of the slice's first event among the sample's events, from 0.
        first_event: Number of the sample's first event.
        events: Data of the events.
        versions: Weight versions of all events up to the end of the slice.
        complete: Whether the slice ends the sample.
        service: Service of the software that wrote the sample's events; empty if that software is
            not certain, or if an older build saved the slice.
        software_version: Version of that software.
        attempts: Counts of the attempts at the sample; only records of these have them.
    """

    generation: int
    start: int
    first_event: int
    events: tuple[str, ...]
    versions: tuple[WeightVersion, ...]
    complete: bool = False
    service: str = ""
    software_version: str = ""
    attempts: AttemptCounts | None = None

    @classmethod
    def of_attempts(cls, attempts: AttemptCounts) -> "ProgressSlice":
        """Return a record of attempts.

        It looks like a slice without events, older than any text, which older builds leave out.
        """
        return cls(0, 0, FIRST_EVENT_NUMBER, (), (), attempts=attempts)

    @property
    def software(self) -> StreamSoftware | None:
        """Software that wrote the sample's events, or None if it is not certain."""
        if not self.service or not self.software_version:
            return None
        return StreamSoftware(ServiceName(self.service), self.software_version)


def join_slices(slices: Iterable[ProgressSlice]) -> SavedProgress | None:
    """Join the saved slices of one sample; return None if they say nothing."""
    parts = list(slices)
    records = [part.attempts for part in parts if part.attempts is not None]
    text = join_text([part for part in parts if part.attempts is None])
    if not records:
        return text
    attempts = AttemptCounts.merge(records)
    if text is None:
        return SavedProgress((), (), FIRST_EVENT_NUMBER, complete=False, attempts=attempts)
    return replace(text, attempts=attempts)


def join_text(slices: list[ProgressSlice]) -> SavedProgress | None:
    """Join the contiguous slices of the newest generation; return None if there are no events."""
    ordered = sorted(slices, key=lambda part: (-part.generation, part.start))
    newest = [part for part in ordered if part.generation == ordered[0].generation]
    events: list[str] = []
    versions: tuple[WeightVersion, ...] = ()
    complete = False
    software: StreamSoftware | None = None
    for part in newest:
        if part.start > len(events):
            break
        events[part.start :] = part.events
        versions = part.versions
        complete = part.complete
        software = part.software
    if not events:
        return None
    return SavedProgress(tuple(events), versions, newest[0].first_event, complete, software)


@dataclass(slots=True)
class SampleProgress:
    """Complete, ordered events received of a sample, and the weight versions that generated them.

    Attributes:
        events: Data of the events.
        versions: Weight versions that generated at least one of the events.
        first_event: Number of the first event.
        current_version: Weight version of the stream that is being read; None if it is unknown.
        generation: Counter that is incremented each time the events are discarded.
        origin: Target that began the stream; None if there are no events, or if nothing is known of
            the software that wrote them.
        text_size: Number of characters of the events' data.
    """

    events: list[str] = field(default_factory=list)
    versions: set[WeightVersion] = field(default_factory=set)
    first_event: int = FIRST_EVENT_NUMBER
    current_version: WeightVersion | None = None
    generation: int = 0
    origin: StreamOrigin | None = None
    text_size: int = 0

    def __post_init__(self) -> None:
        self.text_size = sum(map(len, self.events))

    @property
    def last_event(self) -> int | None:
        """Number of the last received event, after which to resume; None if there is none."""
        return self.first_event + len(self.events) - 1 if self.events else None

    def begin_stream(
        self, version: WeightVersion | None, origin: StreamOrigin | None = None
    ) -> None:
        """Record the start of a target's stream.

        Args:
            version: Weight version that generates the stream.
            origin: Target that sends it; it counts only if the sample has no events yet.
        """
        self.current_version = version
        if not self.events:
            self.origin = origin

    def append_event(
        self, number: int | None, data: str, new_version: WeightVersion | None
    ) -> bool:
        """Append an event; return False if it is out of sequence or its version can't be.

        The version of a running stream is known, and only grows.

        Args:
            number: Number of the event, if it has one.
            data: Data of the event.
            new_version: Weight version from this event on, if it changed with this event.
        """
        if new_version is not None:
            if self.current_version is not None and new_version < self.current_version:
                return False
            self.current_version = new_version
        if number is None or self.current_version is None:
            return False
        if not self.events:
            self.first_event = number
        elif number != self.first_event + len(self.events):
            return False
        self.events.append(data)
        self.text_size += len(data)
        self.versions.add(self.current_version)
        return True

    def satisfies_version_bounds(
        self, oldest_version: WeightVersion, *, single_version: bool
    ) -> bool:
        """Return whether the events' versions are recent enough and, if ``single``, the same."""
        if any(version < oldest_version for version in self.versions):
            return False
        return not single_version or len(self.versions) <= 1

    def reset(self) -> None:
        """Discard all events and start a new generation."""
        self.events.clear()
        self.text_size = 0
        self.versions.clear()
        self.first_event = FIRST_EVENT_NUMBER
        self.current_version = None
        self.origin = None
        self.generation += 1

    def joined_events(self) -> str:
        """Return the data of all events, separated by line feeds."""
        return "\n".join(self.events)

    def slice_from(
        self, start: int, *, complete: bool = False, software: StreamSoftware | None = None
    ) -> ProgressSlice:
        """Return the events from index ``start`` on as a slice to be saved.

        Args:
            start: Index of the first event of the slice.
            complete: Whether the last event ends the sample.
            software: Software that wrote the sample's events, if that is certain.
        """
        return ProgressSlice(
            generation=self.generation,
            start=start,
            first_event=self.first_event,
            events=tuple(self.events[start:]),
            versions=tuple(sorted(self.versions)),
            complete=complete,
            service=software.service if software else "",
            software_version=software.version if software else "",
        )

    @classmethod
    def from_saved(cls, saved: SavedProgress) -> "SampleProgress":
        """Return the progress restored from its saved form."""
        origin = None if saved.software is None else StreamOrigin.certain(saved.software)
        return cls(list(saved.events), set(saved.versions), saved.first_event, origin=origin)
