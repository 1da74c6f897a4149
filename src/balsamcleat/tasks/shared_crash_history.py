"""Shares crashes under a request's content between VMs, through the row store."""

from collections.abc import Callable, Coroutine
from typing import Any

import anyio
import structlog

from balsamcleat.decisions.crash_suspects import CrashHistory
from balsamcleat.errors import PlatformError
from balsamcleat.model import TargetId
from balsamcleat.ports.rows import RowChange, RowCommit, RowKey, RowStore, RowWrite
from balsamcleat.tasks.table_follower import TableObserver

__all__ = ["SUSPECTS_TABLE", "SharedCrashHistory"]

SUSPECTS_TABLE = "suspects"
# Rows are deleted once no VM needs them any more.
ROW_LIFETIME_S = 120.0

log = structlog.get_logger()


class SharedCrashHistory(TableObserver):
    """Knows the crashes that any VM saw.

    Args:
        store: The row store.
        start_task: Runs something apart from the request that caused it.
    """

    def __init__(
        self,
        store: RowStore,
        start_task: Callable[[Callable[[RowKey], Coroutine[Any, Any, None]], RowKey], None],
    ) -> None:
        self.store = store
        self.start_task = start_task
        self.suspects = CrashHistory()

    def is_blocked(self, content: str) -> bool:
        """Return whether a request is sent no more."""
        return self.suspects.is_blocked(content, anyio.current_time())

    def has_suspects(self) -> bool:
        """Return whether any content is under suspicion; if not, none needs to be worked out."""
        return bool(self.suspects.crashes)

    def record_crash(self, content: str, target_id: TargetId, request: str) -> None:
        """Take note of a crash seen here, and tell the other VMs."""
        self.suspects.record_crash(content, target_id, anyio.current_time())
        log.warning("request cut off by its target", request=request, target=target_id)
        self.start_task(self.publish_crash, RowKey(SUSPECTS_TABLE, content, target_id))

    async def publish_crash(self, key: RowKey) -> None:
        """Write a crash for the other VMs, and delete it when it is of no use any more."""
        for value, wait_s in ((b"1", ROW_LIFETIME_S), (None, 0.0)):
            try:
                await self.store.commit(RowCommit((RowWrite(key, value),)))
            except PlatformError as error:
                log.warning("crash not shared", content=key.part, reason=str(error))
            await anyio.sleep(wait_s)

    def on_changes(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Take crashes as they were written."""
        now_s = anyio.current_time()
        for row in rows:
            if row.value is not None:
                self.suspects.record_crash(row.key.part, TargetId(row.key.key), now_s)

    def on_store_recovered(self) -> None:
        """Nothing hangs on the time that the store was away."""
