"""What the engines' stand-ins really ran, for checking the attribution of samples."""

from collections import defaultdict
from dataclasses import dataclass, field

import xxhash

from balsamcleat.model import Sample
from balsamcleat.standins.text import tokens_of

__all__ = ["GenerationLedger"]


@dataclass(frozen=True, slots=True)
class RanFrame:
    """Tokens ``start`` (included) to ``end`` (excluded) were really made by ``version``."""

    start: int
    end: int
    version: int


@dataclass
class GenerationLedger:
    """Keeps every frame that any engine made, by the digest of the text up to its end.

    Attributes:
        frames: The frames that ended with that text; more than one after a repeat.
        prompts: The prompts of which any token was made.
    """

    frames: defaultdict[int, set[RanFrame]] = field(default_factory=lambda: defaultdict(set))
    prompts: set[str] = field(default_factory=set)

    def ran(self, prompt: str, text: str, start: int, end: int, version: int) -> None:
        """Take note of a frame.

        Args:
            prompt: The prompt.
            text: The answer's text from its start to the end of the frame.
            start: Offset of the frame's first token.
            end: Offset behind its last token.
            version: The weights that ran.
        """
        self.prompts.add(prompt)
        digest = xxhash.xxh64_intdigest(f"{prompt}\n{text}".encode())
        self.frames[digest].add(RanFrame(start, end, version))

    def attributed_rightly(self, prompt: str, sample: Sample) -> bool:
        """Return whether the sample's spans name, token by token, a version that really ran."""
        said = [0] * sample.tokens
        for span in sample.spans:
            said[span.start : span.end] = [int(span.version)] * (span.end - span.start)
        digest = xxhash.xxh64(f"{prompt}\n".encode())
        reached = {0}
        for token in tokens_of(sample.text):
            digest.update(token.encode())
            for frame in self.frames.get(digest.intdigest(), ()):
                rightly = set(said[frame.start : frame.end]) == {frame.version}
                if rightly and frame.start in reached:
                    reached.add(frame.end)
        return len(said) == sample.tokens and sample.tokens in reached
