"""Reads the submissions of steps that other VMs own, within the memory of this one.

Failure: each request for the body of a sample reads the whole submission of its step, which may be
as large as the largest request. Some of them at the same time exceed the memory of the process.
"""

from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import structlog

from balsamcleat.errors import BalsamcleatError, PlatformBusyError, ProtocolError
from balsamcleat.http1 import ByteBudget
from balsamcleat.model import StepId
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.row_pages import next_page_start
from balsamcleat.tasks.step_submission import StepSubmission
from balsamcleat.tasks.stored_values import ValueRows, decode_pieces

__all__ = ["StoreReads", "SubmissionReader"]

# A page of the store's rows, which is read at once, has at most this many bytes.
PAGE_BYTES = 1024 * 1024
# A submission exists packed and unpacked while it is decoded, and the packed form is the smaller.
COPIES_WHILE_DECODED = 3
# Longest time that a request waits for memory, in seconds.
ROOM_TIMEOUT_S = 2.0

log = structlog.get_logger()


class StoreReads:
    """Counts what requests read from the store in the budget of the process.

    Args:
        budget: Budget of the bytes that the process holds.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self.budget = budget

    @asynccontextmanager
    async def reserve(self, size: int = PAGE_BYTES) -> AsyncIterator[None]:
        """Hold room for a read until the block ends.

        Args:
            size: Largest number of bytes that are read.

        Raises:
            PlatformBusyError: There is no room; nothing was read.
        """
        if not await self.budget.wait_for_room(size, size, ROOM_TIMEOUT_S):
            raise PlatformBusyError("no memory is left to read from the store", step="store.read")
        self.budget.add(size)
        try:
            yield
        finally:
            self.budget.remove(size)


@dataclass(eq=False)
class SharedRead:
    """Read of a submission for all requests that wait for it.

    Attributes:
        done: Set once the read has ended.
        submission: Submission, or None if none is stored.
        error: Error that ended the read, if any.
        released: Set once no request needs the submission any more.
        waiting_count: Number of requests that wait for the submission or use it.
    """

    done: anyio.Event = field(default_factory=anyio.Event)
    submission: StepSubmission | None = None
    error: BalsamcleatError | None = None
    released: anyio.Event = field(default_factory=anyio.Event)
    waiting_count: int = 0


class SubmissionReader:
    """Reads the submission of a step once for all requests that need it at the same time.

    One submission of several pages is read at a time, so that the largest one fits into memory.

    Args:
        records: Records of steps in the row store.
        reads: Counts the bytes that are read.
        start_task: Starts a task that outlasts the request for which it was started.
    """

    def __init__(
        self,
        records: RolloutRecords,
        reads: StoreReads,
        start_task: Callable[[Callable[..., Coroutine[Any, Any, None]], StepId, SharedRead], None],
    ) -> None:
        self.records = records
        self.reads = reads
        self.start_task = start_task
        self.shared_reads: dict[StepId, SharedRead] = {}
        self.large_read = anyio.Lock()

    @asynccontextmanager
    async def open(self, step_id: StepId) -> AsyncIterator[StepSubmission | None]:
        """Provide a step's submission, or None if none is stored, until the block ends.

        Raises:
            PlatformError: The store does not answer, or no memory is left.
            ProtocolError: The submission is unreadable.
        """
        shared = self.shared_reads.get(step_id)
        if shared is None:
            shared = self.shared_reads[step_id] = SharedRead()
            self.start_task(self.perform, step_id, shared)
        shared.waiting_count += 1
        try:
            await shared.done.wait()
            if shared.error is not None:
                raise shared.error
            yield shared.submission
        finally:
            shared.waiting_count -= 1
            if not shared.waiting_count:
                self.release(step_id, shared)

    def release(self, step_id: StepId, shared: SharedRead) -> None:
        """Release a read that no request needs; the next request reads anew."""
        shared.released.set()
        if self.shared_reads.get(step_id) is shared:
            del self.shared_reads[step_id]

    async def perform(self, step_id: StepId, shared: SharedRead) -> None:
        """Read a submission and hold it; the requests get an error that ends the read."""
        try:
            await self.read(step_id, shared)
        except BalsamcleatError as error:
            shared.error = error
        except Exception:
            # The process must go on serving its callers.
            log.exception("submission read failed by a fault", step=step_id)
            shared.error = ProtocolError("the submission can't be read", step="submission.read")
        finally:
            shared.done.set()

    async def read(self, step_id: StepId, shared: SharedRead) -> None:
        """Read a submission, and hold it until no request needs it.

        Raises:
            BalsamcleatError: It can't be read.
        """
        rows = ValueRows()
        async with self.reads.reserve():
            next_start = await self.read_page(step_id, rows, "")
            if next_start is None:
                await self.provide(rows, shared)
                return
        with anyio.move_on_after(ROOM_TIMEOUT_S) as scope:
            await self.large_read.acquire()
        if scope.cancelled_caught:
            raise PlatformBusyError("too many large submissions are read", step="store.read")
        try:
            size = rows.expected_rows() * self.records.store.limits.row_bytes
            async with self.reads.reserve(COPIES_WHILE_DECODED * size):
                while next_start is not None:
                    next_start = await self.read_page(step_id, rows, next_start)
                await self.provide(rows, shared)
        finally:
            self.large_read.release()

    async def read_page(self, step_id: StepId, rows: ValueRows, start: str) -> str | None:
        """Add the next rows of a submission; return where to go on, or None at the end."""
        page = await self.records.submission_page(step_id, start)
        rows.add(page.rows)
        return next_page_start(page)

    async def provide(self, rows: ValueRows, shared: SharedRead) -> None:
        """Decode a submission, and wait until no request needs it."""
        pieces = rows.take("body")
        if pieces is not None:
            shared.submission = decode_pieces(pieces, StepSubmission)
        shared.done.set()
        await shared.released.wait()
        shared.submission = None
