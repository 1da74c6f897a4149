"""Attribution of tokens to the weight versions that generated them, from the engines' frames."""

from balsamcleat.model import TokenFrame, VersionSpan, WeightVersion

__all__ = ["UNKNOWN_VERSION", "VersionAttribution"]

# Version that an engine sends while it doesn't know yet which version ran.
UNKNOWN_VERSION = WeightVersion(0)


class VersionAttribution:
    """The version spans of one sample, kept through weight swaps, resumes and late reports.

    Unknown spans are never filled by inference: tokens between two frames of the same version may
    still come from another version in between.
    """

    def __init__(self) -> None:
        self.spans: list[VersionSpan] = []

    @property
    def token_count(self) -> int:
        """Number of tokens that the spans cover."""
        return self.spans[-1].end if self.spans else 0

    def add_frame(self, frame: TokenFrame) -> None:
        """Add the span of a frame, which starts where the last frame ended."""
        self.add_span(VersionSpan(frame.offset, frame.offset + frame.count, frame.weight_version))

    def add_span(self, span: VersionSpan) -> None:
        """Add a span; merge it with the previous span if both have the same version."""
        if span.end <= span.start:
            return
        if self.spans and self.spans[-1].version == span.version:
            span = VersionSpan(self.spans.pop().start, span.end, span.version)
        self.spans.append(span)

    def apply_late_report(self, reported: VersionSpan) -> None:
        """Apply a late report to the tokens with an unknown version; known versions are kept."""
        previous_spans, self.spans = self.spans, []
        for span in previous_spans:
            start = max(span.start, reported.start)
            end = min(span.end, reported.end)
            if span.version != UNKNOWN_VERSION or start >= end:
                self.add_span(span)
                continue
            self.add_span(VersionSpan(span.start, start, UNKNOWN_VERSION))
            self.add_span(VersionSpan(start, end, reported.version))
            self.add_span(VersionSpan(end, span.end, UNKNOWN_VERSION))

    def mark_unknown_from(self, start: int) -> None:
        """Mark the versions of the tokens from ``start`` as unknown: the weights were mixed."""
        previous_spans, self.spans = self.spans, []
        for span in previous_spans:
            self.add_span(
                VersionSpan(span.start, min(span.end, max(start, span.start)), span.version)
            )
            self.add_span(VersionSpan(max(start, span.start), span.end, UNKNOWN_VERSION))

    def known_token_count(self) -> int:
        """Return the number of leading tokens with a known version; a resume starts after them."""
        for span in self.spans:
            if span.version == UNKNOWN_VERSION:
                return span.start
        return self.token_count

    def truncate(self, token_count: int) -> None:
        """Keep only the first ``token_count`` tokens."""
        self.spans = [
            VersionSpan(span.start, min(span.end, token_count), span.version)
            for span in self.spans
            if span.start < token_count
        ]

    def oldest_version(self) -> WeightVersion | None:
        """Return the oldest known version, or None before the first token."""
        return min((span.version for span in self.spans), default=None)
