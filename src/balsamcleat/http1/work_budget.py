"""Budget of the work that remote ends cause by sending many small pieces.

Failure: a target sends a body of one-byte chunks, or a stream of comments, without end. Each piece
costs as much of the processor as a large one, so that a few such connections keep the event loop
from all other requests, although they send few bytes.
"""

import anyio

__all__ = ["PIECES_PER_TURN", "WorkBudget", "WorkMeter"]

# Other tasks run after this many pieces, whatever their size; a piece takes some 20 us.
PIECES_PER_TURN = 32
# Larger pieces are bounded by the limits on bytes.
SMALL_PIECE_BYTES = 512
# Small pieces that one connection may send without being counted, per second and at once. A
# stream has fewer than 100 events a second, and what it sent during a pause of some seconds
# arrives at once.
FREE_PIECES_PER_S = 200.0
FREE_PIECES_AT_ONCE = 400.0
# Small pieces beyond these that a process handles, per second and at once.
SHARED_PIECES_PER_S = 4000.0
SHARED_PIECES_AT_ONCE = 4000.0


class TokenBucket:
    """Number of pieces that may be handled, which grows with time up to a maximum.

    Args:
        rate_per_s: Number of pieces that are added each second.
        capacity: Largest number of pieces.
    """

    def __init__(self, rate_per_s: float, capacity: float) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.tokens = capacity
        self.updated_at_s = float("-inf")

    def take(self, count: float, now_s: float) -> None:
        """Take pieces, also more than there are."""
        elapsed_s = max(0.0, now_s - self.updated_at_s)
        self.tokens = min(self.capacity, self.tokens + elapsed_s * self.rate_per_s) - count
        self.updated_at_s = now_s

    def return_excess(self) -> float:
        """Return how many pieces more were taken than there were, and give them back."""
        excess = max(0.0, -self.tokens)
        self.tokens += excess
        return excess

    def delay_s(self) -> float:
        """Return the time until no more pieces were taken than there are, in seconds."""
        return max(0.0, -self.tokens / self.rate_per_s)


class WorkBudget:
    """Small pieces that all connections of a process may cause beyond their own shares."""

    def __init__(self) -> None:
        self.bucket = TokenBucket(SHARED_PIECES_PER_S, SHARED_PIECES_AT_ONCE)

    def take(self, count: float, now_s: float) -> float:
        """Take pieces; return the delay before the next ones are handled, in seconds."""
        self.bucket.take(count, now_s)
        return self.bucket.delay_s()


class WorkMeter:
    """Measures the work that one connection causes, and delays what exceeds its share.

    Args:
        budget: Budget that the connections of the process share.
    """

    def __init__(self, budget: WorkBudget) -> None:
        self.budget = budget
        self.bucket = TokenBucket(FREE_PIECES_PER_S, FREE_PIECES_AT_ONCE)
        self.pieces = 0
        self.small_pieces = 0

    async def record(self, size: int, count: int = 1) -> None:
        """Record pieces that were handled; let other tasks run from time to time.

        Args:
            size: Size of all of them together, in bytes.
            count: Number of pieces.
        """
        self.pieces += count
        if size < count * SMALL_PIECE_BYTES:
            self.small_pieces += count
        if self.pieces < PIECES_PER_TURN:
            return
        small_pieces, self.pieces, self.small_pieces = self.small_pieces, 0, 0
        await anyio.sleep(self.delay_s(small_pieces, anyio.current_time()))

    def delay_s(self, small_pieces: int, now_s: float) -> float:
        """Return the delay that small pieces cost, in seconds."""
        self.bucket.take(small_pieces, now_s)
        excess = self.bucket.return_excess()
        return self.budget.take(excess, now_s) if excess else 0.0
