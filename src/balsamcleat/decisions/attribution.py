"""Decide which weight version made each token, from what the engines say as they run."""

from balsamcleat.model import TokenFrame, VersionSpan, WeightVersion

__all__ = ["UNKNOWN_VERSION", "VersionAttribution"]

# An engine that can't tell yet which version ran says 0.
UNKNOWN_VERSION = WeightVersion(0)


class VersionAttribution:
    """Keeps the version spans of one sample through swaps, resumes and late reports.

    Nothing is guessed: tokens between two frames of one version may still come from another one
    in between.
    """

    def __init__(self) -> None:
        self.spans: list[VersionSpan] = []

    @property
    def token_count(self) -> int:
        """Number of tokens covered."""
        return self.spans[-1].end if self.spans else 0

    def add_frame(self, frame: TokenFrame) -> None:
        """Take note of a frame, which goes on where the last one ended."""
        self.add_span(VersionSpan(frame.offset, frame.offset + frame.count, frame.weight_version))

    def add_span(self, span: VersionSpan) -> None:
        """Add a span, merged with one of the same version before it."""
        if span.end <= span.start:
            return
        if self.spans and self.spans[-1].version == span.version:
            span = VersionSpan(self.spans.pop().start, span.end, span.version)
        self.spans.append(span)

    def apply_late_report(self, reported: VersionSpan) -> None:
        """Take a late report for tokens whose version was unknown; known ones stay."""
        old, self.spans = self.spans, []
        for span in old:
            start = max(span.start, reported.start)
            end = min(span.end, reported.end)
            if span.version != UNKNOWN_VERSION or start >= end:
                self.add_span(span)
                continue
            self.add_span(VersionSpan(span.start, start, UNKNOWN_VERSION))
            self.add_span(VersionSpan(start, end, reported.version))
            self.add_span(VersionSpan(end, span.end, UNKNOWN_VERSION))

    def mark_unknown_from(self, start: int) -> None:
        """Mark the tokens from ``start`` as unknown: the engine's weights were mixed."""
        old, self.spans = self.spans, []
        for span in old:
            self.add_span(
                VersionSpan(span.start, min(span.end, max(start, span.start)), span.version)
            )
            self.add_span(VersionSpan(max(start, span.start), span.end, UNKNOWN_VERSION))

    def known_token_count(self) -> int:
        """Return how many leading tokens have a known version; a resume starts there."""
        for span in self.spans:
            if span.version == UNKNOWN_VERSION:
                return span.start
        return self.token_count

    def truncate(self, tokens: int) -> None:
        """Forget everything from token ``tokens`` on."""
        self.spans = [
            VersionSpan(span.start, min(span.end, tokens), span.version)
            for span in self.spans
            if span.start < tokens
        ]

    def oldest_version(self) -> WeightVersion | None:
        """Return the oldest known version, or None before the first token."""
        return min((span.version for span in self.spans), default=None)
