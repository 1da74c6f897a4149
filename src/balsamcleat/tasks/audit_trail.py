"""Audit trail writer that buffers rows in memory while the table is unavailable."""

from collections import deque
from collections.abc import Awaitable, Callable

import anyio
import msgspec

from balsamcleat.errors import PlatformError
from balsamcleat.model.audit import AuditRow, audit_key
from balsamcleat.ports import Clock, Metrics, Randomness, Table, Transaction, Write

__all__ = ["AuditTrail"]

MAX_PENDING_ROWS = 10_000
MAX_ROWS_PER_COMMIT = 32
RETRY_INTERVAL_S = 1.0
FLUSH_TIMEOUT_S = 3.0
MAX_TEXT_CHARACTERS = 1_000


class AuditTrail:
    """Buffers audit rows without blocking and writes them to the table in order.

    Args:
        table: Table of the platform.
        clock: Clock for the rows' times and the retry interval.
        randomness: Source of row ids and operation ids.
        metrics: Receives the counters.
    """

    def __init__(
        self, table: Table, clock: Clock, randomness: Randomness, metrics: Metrics
    ) -> None:
        self.table = table
        self.clock = clock
        self.randomness = randomness
        self.metrics = metrics
        self.pending_writes: deque[Write] = deque()
        self.row_added = anyio.Event()

    def record(
        self,
        *,
        author: str,
        action: str,
        reason: str,
        result: str,
        subject: str = "",
        operation_id: str = "",
    ) -> None:
        """Buffer an audit row; when the buffer is full, the oldest row is dropped and counted."""
        at_s = self.clock.wall_s()
        row = AuditRow(
            at_s=at_s,
            author=author[:MAX_TEXT_CHARACTERS],
            action=action,
            reason=reason[:MAX_TEXT_CHARACTERS],
            result=result[:MAX_TEXT_CHARACTERS],
            subject=subject[:MAX_TEXT_CHARACTERS],
            operation_id=operation_id[:MAX_TEXT_CHARACTERS],
        )
        key = audit_key(at_s, self.randomness.fresh_id())
        if len(self.pending_writes) >= MAX_PENDING_ROWS:
            self.pending_writes.popleft()
            self.metrics.count("audit.dropped")
        self.pending_writes.append(Write(key, msgspec.json.encode(row)))
        self.row_added.set()

    async def run(self) -> None:
        """Write rows until cancelled, then write the remaining ones if the table answers."""
        try:
            await self.write_continuously(self.clock.sleep)
        finally:
            with anyio.move_on_after(FLUSH_TIMEOUT_S, shield=True):
                while self.pending_writes and await self.write_batch():
                    pass

    async def write_continuously(self, sleep: Callable[[float], Awaitable[None]]) -> None:
        """Write rows as they are recorded, with a delay after each failure."""
        while True:
            if not self.pending_writes:
                self.row_added = anyio.Event()
                await self.row_added.wait()
            if not await self.write_batch():
                await sleep(RETRY_INTERVAL_S)

    async def write_batch(self) -> bool:
        """Write the oldest rows; return False if the write failed.

        Writing a row again under the same key is idempotent, so a lost answer need not be resolved.
        """
        writes = tuple(self.pending_writes)[:MAX_ROWS_PER_COMMIT]
        try:
            await self.table.commit(Transaction(self.randomness.fresh_id(), writes))
        except PlatformError:
            self.metrics.count("audit.write.failed")
            return False
        written_keys = {write.key for write in writes}
        self.pending_writes = deque(
            write for write in self.pending_writes if write.key not in written_keys
        )
        self.metrics.count("audit.written", len(writes))
        return True
