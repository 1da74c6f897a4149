"""The batch of an engine's stand-in: limited places, the rest waits by priority."""

import heapq
import itertools
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

__all__ = ["Batch"]


@dataclass
class Batch:
    """Places in a continuous batch; lower priorities go first, then who came first.

    Attributes:
        capacity: Requests that run at once.
        running: Requests that run.
        queue: Requests that wait: priority, number of arrival, and what wakes them.
    """

    capacity: int
    running: int = 0
    queue: list[tuple[int, int, anyio.Event]] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    @asynccontextmanager
    async def place(self, priority: int) -> AsyncIterator[None]:
        """Hold a place in the batch, waiting for one in the queue."""
        if self.running >= self.capacity or self.queue:
            await self.wait(priority)
        else:
            self.running += 1
        try:
            yield
        finally:
            self.leave()

    async def wait(self, priority: int) -> None:
        """Wait in the queue; whoever leaves hands its place over."""
        entry = (priority, next(self.numbers), anyio.Event())
        heapq.heappush(self.queue, entry)
        try:
            await entry[2].wait()
        except anyio.get_cancelled_exc_class():
            if entry in self.queue:
                self.queue.remove(entry)
                heapq.heapify(self.queue)
            else:
                self.leave()
            raise

    def leave(self) -> None:
        """Hand the place to the first in the queue, or free it."""
        if self.queue:
            heapq.heappop(self.queue)[2].set()
        else:
            self.running -= 1
