"""Tell which software wrote the events of a stream, as far as that is certain.

Load pattern: while a release goes on, targets of two software versions serve side by side in one
service, and targets crash and connections break at the same time. What two versions write doesn't
fit together, so an interrupted stream may go on only at the version that began it. The version
belongs to one start of a target. A target may start again under its id with other software, and
the target list, which is late, then still shows the start before.
"""

from dataclasses import dataclass

from balsamcleat.model import TargetId
from balsamcleat.model.replicas import Replica, StreamSoftware, TargetStart

__all__ = ["LIST_DELAY_S", "StreamOrigin", "origin_of"]

# The target list shows a new start, or no longer shows a target that ended, at the latest this
# long after it happened: after three missed heartbeats of 1.2 s and the delay of the list.
LIST_DELAY_S = 5.0


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Target that began a stream, as this VM believed when it sent the request.

    Attributes:
        software: Software of the target by the target list.
        start: Start of the target by the target list.
        connected_at_s: Time at which the connection to the target was opened, in seconds.
        is_confirmed: Whether the target itself named its start on the connection, or an earlier
            owner of the stream was certain of the software.
    """

    software: StreamSoftware
    start: TargetStart
    connected_at_s: float
    is_confirmed: bool = False

    @classmethod
    def certain(cls, software: StreamSoftware) -> "StreamOrigin":
        """Return the origin of a stream whose software is certain."""
        return cls(software, TargetStart(TargetId("")), float("-inf"), is_confirmed=True)


def origin_of(
    replica: Replica, connected_at_s: float, *, is_confirmed: bool
) -> StreamOrigin | None:
    """Return the origin of a stream that a target began, or None if its software is unknown."""
    software = replica.software
    if software is None:
        return None
    return StreamOrigin(software, replica.start, connected_at_s, is_confirmed)
