"""Incremental parser of the token frames in an engine's event stream."""

import msgspec

from balsamcleat.adapters.engine_dialect import CompletionFrame
from balsamcleat.decoding import decode_with
from balsamcleat.errors import ProtocolError
from balsamcleat.model import TokenFrame, WeightVersion

__all__ = ["FrameParser", "ParsedFrames"]

MAX_EVENT_BYTES = 1_000_000
EVENT_PREFIX = b"data: "
END_OF_STREAM = b"[DONE]"
FRAME_DECODER = msgspec.json.Decoder(CompletionFrame)


class ParsedFrames(msgspec.Struct, frozen=True):
    """Frames in a chunk of the stream.

    Attributes:
        frames: Frames of the attempt; adjacent frames of one weight version are merged.
        foreign_count: Number of dropped frames, which belong to another attempt.
        has_ended: Whether the chunk contains the end mark of the stream.
    """

    frames: tuple[TokenFrame, ...]
    foreign_count: int
    has_ended: bool


class FrameParser:
    """Splits the stream into events and merges the frames of a chunk.

    After merging, the cost depends on the number of chunks rather than of tokens: a slow VM
    receives larger frames.

    Args:
        attempt_id: Id that the frames of this attempt carry.
    """

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.buffer = b""

    def feed(self, chunk: bytes) -> ParsedFrames:
        """Return the frames that a chunk of the stream completes.

        Raises:
            ProtocolError: An event is malformed or too long.
        """
        lines = (self.buffer + chunk).split(b"\n")
        self.buffer = lines.pop()
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ProtocolError("an event is too long", step="engine.frame")
        frames: list[TokenFrame] = []
        foreign_count = 0
        for line in lines:
            if not line.startswith(EVENT_PREFIX):
                continue
            data = line[len(EVENT_PREFIX) :].rstrip()
            if data == END_OF_STREAM:
                return ParsedFrames(merge_adjacent_frames(frames), foreign_count, True)
            frame = self.decode_frame(data)
            if frame is None:
                foreign_count += 1
            else:
                frames.append(frame)
        return ParsedFrames(merge_adjacent_frames(frames), foreign_count, False)

    def decode_frame(self, data: bytes) -> TokenFrame | None:
        """Return the frame in an event, or None if it belongs to another attempt."""
        try:
            message = decode_with(FRAME_DECODER.decode, data)
            choice = message.choices[0]
        except (msgspec.DecodeError, IndexError) as error:
            raise ProtocolError(f"sent a malformed frame: {error}", step="engine.frame") from error
        if message.id != self.attempt_id:
            return None
        return TokenFrame(
            message.offset,
            message.count,
            choice.text,
            WeightVersion(message.weight_version),
            choice.finish_reason,
        )


def merge_adjacent_frames(frames: list[TokenFrame]) -> tuple[TokenFrame, ...]:
    """Return the frames, with adjacent frames of one weight version merged."""
    if len(frames) < 2:
        return tuple(frames)
    runs: list[list[TokenFrame]] = [[frames[0]]]
    for frame in frames[1:]:
        last = runs[-1][-1]
        is_adjacent = (
            frame.offset == last.offset + last.count
            and frame.weight_version == last.weight_version
            and last.finish_reason is None
        )
        if is_adjacent:
            runs[-1].append(frame)
        else:
            runs.append([frame])
    return tuple(join_frames(run) for run in runs)


def join_frames(run: list[TokenFrame]) -> TokenFrame:
    """Return one frame in place of adjacent frames."""
    if len(run) == 1:
        return run[0]
    return TokenFrame(
        run[0].offset,
        sum(frame.count for frame in run),
        "".join(frame.text for frame in run),
        run[0].weight_version,
        run[-1].finish_reason,
    )
