"""Shares the crashes that requests cause at targets between VMs, through the row store."""

from collections.abc import Callable
from dataclasses import asdict

import anyio
import anyio.abc
import structlog

from balsamcleat.decisions.crash_suspects import (
    CrashHistory,
    RunVerdict,
    TargetRun,
)
from balsamcleat.errors import CommitRejectedError, PlatformError
from balsamcleat.model import TargetId
from balsamcleat.model.replicas import TargetStart
from balsamcleat.ports.rows import (
    ABSENT_VERSION,
    RowChange,
    RowCommit,
    RowKey,
    RowsCommitted,
    RowStore,
    RowWrite,
)
from balsamcleat.tasks.table_follower import TableObserver

__all__ = ["SUSPECTS_TABLE", "SharedCrashHistory"]

SUSPECTS_TABLE = "suspects"
CRASH_KEY_PREFIX = "crash/"
TRIAL_KEY_PREFIX = "trial/"
PUBLISH_RETRY_S = 0.25
# Longest wait for the crashes that other VMs have seen. The rows of a crash are read back within
# some 10 ms; while the store does not answer, requests must not wait for long.
SHARE_TIMEOUT_S = 0.25
MAX_NUMBER_DIGITS = 18
# Value of rows without a time: of VMs that don't know the store's time yet, and of earlier builds.
UNTIMED_VALUE = b"1"

log = structlog.get_logger()


class SharedCrashHistory(TableObserver):
    """Crashes of targets that any VM has seen, by request digest.

    Crashes are queued, and written until the store has taken them: a crash that another VM does
    not know of costs one more target.

    Args:
        store: Row store that carries the crashes to the other VMs.
        store_now_ms: Returns the time of the store's clock, in milliseconds.
    """

    def __init__(self, store: RowStore, store_now_ms: Callable[[], int | None]) -> None:
        self.store = store
        self.store_now_ms = store_now_ms
        self.history = CrashHistory()
        # Rows that are not written yet; a value of None deletes the row.
        self.pending: dict[RowKey, bytes | None] = {}
        # Rows that the store has or gets, and those of them that were not read back yet.
        self.stored_keys: set[RowKey] = set()
        self.unread_keys: set[RowKey] = set()
        self.changed = anyio.Event()
        self.is_failing = False

    async def run(self) -> None:
        """Write queued rows until cancelled."""
        while True:
            while not self.pending:
                await self.changed.wait()
            if not await self.publish_next():
                await anyio.sleep(PUBLISH_RETRY_S)

    async def publish_next(self) -> bool:
        """Write the queued rows of one request; return False if they must be written again."""
        digest = next(iter(self.pending)).part
        writes = tuple(
            RowWrite(key, value) for key, value in self.pending.items() if key.part == digest
        )[: self.store.limits.commit_rows]
        try:
            await self.store.commit(RowCommit(writes))
        except CommitRejectedError as error:
            # Written again, these rows would be rejected again and hold up all others.
            log.error("crash rejected by the store", content=digest, reason=str(error))
        except PlatformError as error:
            if not self.is_failing:
                log.warning("crash not shared", content=digest, reason=str(error))
            self.is_failing = True
            return False
        self.is_failing = False
        for write in writes:
            if self.pending.get(write.key, b"") == write.value:
                del self.pending[write.key]
        return True

    def notify(self) -> None:
        """Wake the tasks that wait for rows to be queued or read."""
        self.changed.set()
        self.changed = anyio.Event()

    def has_suspects(self) -> bool:
        """Return whether there is any suspect; if not, callers need not compute a digest."""
        return bool(self.history.records)

    def verdict(self, digest: str) -> RunVerdict:
        """Return whether requests with this digest may be sent."""
        return self.history.verdict(digest, anyio.current_time())

    def trial_delay_s(self, digest: str) -> float:
        """Return the time until a blocked request is tried again, in seconds."""
        return self.history.trial_delay_s(digest, anyio.current_time())

    def crash_count(self, digest: str) -> int:
        """Return the number of crashes under a request that this VM knows of."""
        return self.history.crash_count(digest)

    async def claim_trial(self, digest: str) -> bool:
        """Return whether this VM may try a blocked request; one VM gets each trial."""
        number = self.history.trial_count(digest) + 1
        key = RowKey(SUSPECTS_TABLE, digest, f"{TRIAL_KEY_PREFIX}{number}")
        commit = RowCommit((RowWrite(key, self.encode_now()),), ((key, ABSENT_VERSION),))
        try:
            outcome = await self.store.commit(commit)
        except PlatformError as error:
            log.warning("trial not claimed", content=digest, reason=str(error))
            return False
        self.history.record_trial(digest, number, anyio.current_time())
        self.stored_keys.add(key)
        return isinstance(outcome, RowsCommitted)

    async def wait_until_shared(self, digest: str) -> None:
        """Wait until this VM knows the crashes that others saw before its own were written.

        The change feed is in order: once the own rows are read back, all earlier ones were.
        """
        with anyio.move_on_after(SHARE_TIMEOUT_S):
            while any(key.part == digest for key in self.unread_keys):
                await self.changed.wait()

    def record_crash(self, run: TargetRun, how: str, *, is_shared: bool = True) -> None:
        """Record a crash that this VM saw.

        Args:
            run: Run during which the target crashed.
            how: How the crash showed, for the log.
            is_shared: Whether the other VMs are told of it now.
        """
        if self.history.record_crash(run.digest, run.start, anyio.current_time()):
            log.warning(
                "request cut off by its target",
                request=run.request,
                target=run.start.target_id,
                how=how,
                content=run.digest,
                known_crashes=self.crash_count(run.digest),
                **(asdict(run.parts) if run.parts is not None else {}),
            )
        if is_shared:
            self.share_crash(run)

    def share_crash(self, run: TargetRun) -> None:
        """Tell the other VMs of a crash that this VM has recorded."""
        record = self.history.records.get(run.digest)
        if record is None or run.start not in record.crashed_at_s:
            return
        key = RowKey(SUSPECTS_TABLE, run.digest, encode_start(run.start))
        if key not in self.stored_keys:
            self.queue_row(key, self.encode_now())

    def withdraw_crash(self, run: TargetRun) -> None:
        """Forget a crash that was none, unless another VM has seen it, too."""
        if RowKey(SUSPECTS_TABLE, run.digest, encode_start(run.start)) not in self.stored_keys:
            self.history.withdraw_crash(run.digest, run.start)

    def record_answer(self, digest: str) -> None:
        """Record that a target answered a request, which is then no suspect any more."""
        record = self.history.records.get(digest)
        if record is None:
            return
        log.info("request cleared", content=digest, known_crashes=len(record.crashed_at_s))
        self.history.remove(digest)
        self.queue_deletions(digest)

    def queue_row(self, key: RowKey, value: bytes) -> None:
        """Queue a row to be written."""
        self.pending[key] = value
        self.stored_keys.add(key)
        self.unread_keys.add(key)
        self.notify()

    def queue_deletions(self, digest: str) -> None:
        """Queue the deletion of all rows of a request."""
        for key in [key for key in self.stored_keys if key.part == digest]:
            self.pending[key] = None
            self.stored_keys.discard(key)
            self.unread_keys.discard(key)
        self.notify()

    def remove_expired(self, *, deletes_rows: bool) -> None:
        """Drop the records of requests that were not sent for long.

        Args:
            deletes_rows: Whether this VM is the one that deletes the rows.
        """
        for digest in self.history.expired_digests(anyio.current_time()):
            self.history.remove(digest)
            if deletes_rows:
                self.queue_deletions(digest)

    def on_snapshot(self, rows: tuple[RowChange, ...], version: int) -> None:
        """Handle all rows of the table; crashes that were cleared meanwhile are removed."""
        read = {row.key for row in rows}
        for key in self.stored_keys - read - self.unread_keys:
            self.apply_deletion(key)
        self.on_changes(rows, version)

    def apply_row(self, row: RowChange) -> None:
        """Record a crash or a trial that any VM wrote, or its deletion."""
        self.unread_keys.discard(row.key)
        if row.value is None:
            self.apply_deletion(row.key)
        else:
            self.apply_value(row, row.value)

    def on_rows_applied(self) -> None:
        """Wake the tasks that wait for rows to be read."""
        self.notify()

    def apply_value(self, row: RowChange, value: bytes) -> None:
        """Record the crash or the trial of a row."""
        if self.pending.get(row.key, value) is None:
            return
        self.stored_keys.add(row.key)
        digest, at_s = row.key.part, self.decode_time(value)
        if row.key.key.startswith(TRIAL_KEY_PREFIX):
            number = parse_number(row.key.key.removeprefix(TRIAL_KEY_PREFIX))
            if number is not None:
                self.history.record_trial(digest, number, at_s)
        elif self.history.record_crash(digest, decode_start(row.key.key), at_s):
            log.info(
                "crash read from the store",
                target=row.key.key,
                content=digest,
                known_crashes=self.crash_count(digest),
                row_version=row.version,
            )

    def apply_deletion(self, key: RowKey) -> None:
        """Remove the crash of a row that a VM deleted."""
        self.stored_keys.discard(key)
        if not key.key.startswith(TRIAL_KEY_PREFIX):
            self.history.remove_crash(key.part, decode_start(key.key))

    def on_store_recovered(self) -> None:
        """Do nothing: rows are written until the store has taken them."""

    def encode_now(self) -> bytes:
        """Return the value of a row about what happens now: the store's time in milliseconds."""
        now_ms = self.store_now_ms()
        return UNTIMED_VALUE if now_ms is None else str(now_ms).encode()

    def decode_time(self, value: bytes) -> float:
        """Return the time in a row's value on the process clock, in seconds; not after now."""
        now_s = anyio.current_time()
        store_ms, written_ms = self.store_now_ms(), parse_number(value.decode("latin-1"))
        if value == UNTIMED_VALUE or written_ms is None or store_ms is None:
            return now_s
        return now_s - max(0.0, (store_ms - written_ms) / 1000.0)


def parse_number(text: str) -> int | None:
    """Return the number that a text consists of, or None if it is no number of ours."""
    return int(text) if text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS else None


def encode_start(start: TargetStart) -> str:
    """Return the row key of a crash of a target."""
    return f"{CRASH_KEY_PREFIX}{start.target_id}/{start.started_ms}"


def decode_start(key: str) -> TargetStart:
    """Return the target that crashed from the row key of the crash."""
    target_id, _, start = key.removeprefix(CRASH_KEY_PREFIX).rpartition("/")
    started_ms = parse_number(start)
    if not target_id or started_ms is None:
        # Before targets' starts were told apart, the key was the target's id.
        return TargetStart(TargetId(key))
    return TargetStart(TargetId(target_id), started_ms)
