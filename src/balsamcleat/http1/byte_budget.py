"""Budget of the bytes that a process holds for remote ends that read or send slowly."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

__all__ = ["ByteBudget", "PendingBytes"]

# Bodies up to this size are still taken when the budget is used up, within the reserve.
SMALL_BODY_BYTES = 64 * 1024
# Part of the budget that is kept free for small bodies.
SMALL_BODY_SHARE = 0.2
# A remote end that has taken or sent nothing for this long may be cut off when the budget is used
# up. One with a working connection goes on within some round trips.
STOPPED_AFTER_S = 1.0
# Interval at which a waiting body looks for remote ends that have stopped.
RECHECK_S = 0.2


@dataclass(slots=True, eq=False)
class PendingBytes:
    """Bytes that wait for a remote end to read them, or room for those that it sends.

    Attributes:
        size: Number of bytes.
        progress_s: Time at which the remote end last took or sent some, on the event loop's clock.
        cut_off: Ends the connection of the remote end.
        is_cut_off: Whether the connection was cut off, so that the bytes are about to be released.
    """

    size: int
    progress_s: float
    cut_off: Callable[[], None]
    is_cut_off: bool = False


class ByteBudget:
    """Counts the bytes of bodies that are received, held or sent, and bounds their sum.

    Args:
        limit_bytes: Maximum number of bytes, or None for no bound.

    Attributes:
        held_bytes: Number of bytes that are held now.
        refused_bodies: Number of bodies that found no room.
        cut_off_connections: Number of connections that were cut off to make room.
        pending: Bytes whose remote end may be cut off.
    """

    def __init__(self, limit_bytes: int | None = None) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused_bodies = 0
        self.cut_off_connections = 0
        # Bytes of connections that were cut off and whose tasks have not ended yet.
        self.releasing_bytes = 0
        self.pending: dict[PendingBytes, None] = {}
        self.freed = anyio.Event()

    def add(self, size: int) -> None:
        """Count bytes that are held from now on."""
        self.held_bytes += size

    def remove(self, size: int) -> None:
        """Count bytes that are no longer held."""
        self.held_bytes -= size
        if size:
            self.freed.set()
            self.freed = anyio.Event()

    def missing_bytes(self, size: int, body_size: int) -> int:
        """Return how many bytes must become free before ``size`` more may be held.

        A body that is larger than the whole budget is taken while only small ones are held.

        Args:
            size: Number of bytes to add.
            body_size: Size of the whole body that they belong to, as far as it is known.
        """
        if self.limit_bytes is None:
            return 0
        if body_size <= SMALL_BODY_BYTES:
            return max(0, self.held_bytes + size - self.limit_bytes)
        reserve_bytes = int(self.limit_bytes * SMALL_BODY_SHARE)
        if self.held_bytes + size - body_size <= reserve_bytes:
            return 0
        return max(0, self.held_bytes + size - self.limit_bytes + reserve_bytes)

    async def wait_for_room(self, size: int, body_size: int, timeout_s: float) -> bool:
        """Wait until bytes may be held, and cut off remote ends that have stopped if needed.

        Returns:
            Whether there is room; it is not reserved.
        """
        # After a pause of the process, all remote ends seem to have stopped for a moment.
        cut_off_at_s = anyio.current_time() + RECHECK_S
        with anyio.move_on_after(timeout_s):
            while missing := self.missing_bytes(size, body_size):
                if anyio.current_time() >= cut_off_at_s:
                    self.cut_off_stopped(missing - self.releasing_bytes)
                    cut_off_at_s = anyio.current_time() + RECHECK_S
                with anyio.move_on_after(RECHECK_S):
                    await self.freed.wait()
            return True
        self.refused_bodies += 1
        return False

    def begin(self, size: int, cut_off: Callable[[], None]) -> PendingBytes:
        """Count bytes that wait for a remote end."""
        pending = PendingBytes(size, anyio.current_time(), cut_off)
        self.pending[pending] = None
        self.add(size)
        return pending

    def grow(self, pending: PendingBytes, size: int) -> None:
        """Count more bytes of a body whose size was not known."""
        pending.size += size
        self.add(size)

    def shrink(self, pending: PendingBytes, size: int) -> None:
        """Subtract bytes that the remote end has taken."""
        pending.size -= size
        self.remove(size)

    def settle(self, pending: PendingBytes) -> None:
        """Exempt a connection from being cut off; its bytes stay counted."""
        self.pending.pop(pending, None)

    def end(self, pending: PendingBytes) -> None:
        """Subtract all bytes that are left of a body."""
        self.settle(pending)
        if pending.is_cut_off:
            pending.is_cut_off = False
            self.releasing_bytes -= pending.size
        self.remove(pending.size)
        pending.size = 0

    def cut_off_stopped(self, missing_bytes: int) -> None:
        """Cut off remote ends that make no progress, those with the most bytes first."""
        now_s = anyio.current_time()
        stopped = [
            pending for pending in self.pending if now_s - pending.progress_s >= STOPPED_AFTER_S
        ]
        for pending in sorted(stopped, key=lambda pending: pending.size, reverse=True):
            if missing_bytes <= 0:
                return
            missing_bytes -= pending.size
            # The bytes stay counted until the connection's task has ended.
            self.settle(pending)
            pending.is_cut_off = True
            self.releasing_bytes += pending.size
            self.cut_off_connections += 1
            pending.cut_off()
