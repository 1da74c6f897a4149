"""Shares the crashes that requests cause at targets between VMs, through the row store."""

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
# A row is deleted after this time, when no VM needs it any more.
ROW_LIFETIME_S = 120.0

log = structlog.get_logger()


class SharedCrashHistory(TableObserver):
    """Crashes of targets that any VM has seen, by request digest.

    Args:
        store: Row store that carries the crashes to the other VMs.
        start_task: Starts a task that outlives the request that caused it.
    """

    def __init__(
        self,
        store: RowStore,
        start_task: Callable[[Callable[[RowKey], Coroutine[Any, Any, None]], RowKey], None],
    ) -> None:
        self.store = store
        self.start_task = start_task
        self.history = CrashHistory()

    def is_blocked(self, digest: str) -> bool:
        """Return whether requests with this digest are no longer sent."""
        return self.history.is_blocked(digest, anyio.current_time())

    def has_suspects(self) -> bool:
        """Return whether there is any suspect; if not, callers need not compute a digest."""
        return bool(self.history.crashes)

    def crash_count(self, digest: str) -> int:
        """Return the number of crashes under a request that this VM knows of."""
        return self.history.crash_count(digest)

    def record_crash(self, digest: str, target_id: TargetId, request: str) -> None:
        """Record a crash that this VM saw, and publish it to the other VMs."""
        self.history.record_crash(digest, target_id, anyio.current_time())
        log.warning(
            "request cut off by its target",
            request=request,
            target=target_id,
            content=digest,
            known_crashes=self.crash_count(digest),
        )
        self.start_task(self.publish_crash, RowKey(SUSPECTS_TABLE, digest, target_id))

    async def publish_crash(self, key: RowKey) -> None:
        """Write a crash to the row store, and delete the row when its lifetime is over."""
        for value, wait_s in ((b"1", ROW_LIFETIME_S), (None, 0.0)):
            try:
                await self.store.commit(RowCommit((RowWrite(key, value),)))
            except PlatformError as error:
                log.warning("crash not shared", content=key.part, reason=str(error))
            await anyio.sleep(wait_s)

    def on_changes(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Record crashes that any VM wrote."""
        now_s = anyio.current_time()
        for row in rows:
            if row.value is None:
                continue
            self.history.record_crash(row.key.part, TargetId(row.key.key), now_s)
            log.info(
                "crash read from the store",
                content=row.key.part,
                target=row.key.key,
                known_crashes=self.crash_count(row.key.part),
                row_version=row.version,
            )

    def on_store_recovered(self) -> None:
        """Do nothing: the history does not depend on how long the store was unavailable."""
