"""Row store client that falls back to a peer VM when the row store can't be reached directly."""

from collections.abc import Callable
from typing import Any, TypeVar

import anyio
import msgspec
import structlog

from balsamcleat.decisions.store_path import StorePathSelector
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.decoding import decode_msgpack
from balsamcleat.errors import (
    AttemptFailedError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
)
from balsamcleat.http1 import ConnectionPool, Request, Responder, Response
from balsamcleat.ports.rows import (
    FeedPage,
    HistoryExpiredError,
    RowCommit,
    RowConflict,
    RowPage,
    RowsCommitted,
    RowStore,
)

__all__ = ["RELAY_PREFIX", "RelayedRowStore", "StoreRelay"]

RELAY_PREFIX = "/rows/"
RELAY_TIMEOUT_S = 1.5
# Longest long poll of a relayed change feed, so that the direct connection is soon tried again.
RELAYED_FEED_WAIT_S = 1.0
# The VM reads heartbeats twice a second, so that a longer silence is an outage.
MIN_OUTAGE_S = 1.5
UNAVAILABLE_STATUS = 503
OUTCOME_UNKNOWN_STATUS = 504
HISTORY_LOST_STATUS = 410

ReplyT = TypeVar("ReplyT")
log = structlog.get_logger()


class CommitReply(msgspec.Struct, frozen=True):
    """Outcome of a relayed commit; exactly one of the fields is set."""

    committed: RowsCommitted | None = None
    conflict: RowConflict | None = None


class ReadArguments(msgspec.Struct, frozen=True):
    """Arguments of ``RowStore.read``."""

    table: str
    part: str
    start: str
    end: str
    limit: int


class PartsArguments(msgspec.Struct, frozen=True):
    """Arguments of ``RowStore.parts``."""

    table: str
    after: str


class ChangesArguments(msgspec.Struct, frozen=True):
    """Arguments of ``RowStore.changes``."""

    table: str
    after: int
    wait_s: float


class StoreRelay:
    """Executes row store calls on behalf of peer VMs.

    Args:
        store: Row store that is reached directly, so that a call is never relayed twice.
    """

    def __init__(self, store: RowStore) -> None:
        self.store = store

    async def handle(self, request: Request, responder: Responder) -> None:
        """Execute a peer's row store call and send its outcome as an HTTP response."""
        operation = request.path.removeprefix(RELAY_PREFIX)
        try:
            reply = await self.dispatch(operation, request.body)
        except msgspec.DecodeError as error:
            log.warning("peer's call unreadable", call=operation, reason=str(error))
            await responder.send(Response(400))
        except HistoryExpiredError:
            await responder.send(Response(HISTORY_LOST_STATUS))
        except OutcomeUnknownError:
            await responder.send(Response(OUTCOME_UNKNOWN_STATUS))
        except PlatformError:
            await responder.send(Response(UNAVAILABLE_STATUS))
        else:
            await responder.send(Response(200, (), msgspec.msgpack.encode(reply)))

    async def dispatch(self, operation: str, body: bytes) -> object:
        """Execute a row store operation with encoded arguments and return its reply."""
        if operation == "commit":
            outcome = await self.store.commit(decode_msgpack(body, RowCommit))
            if isinstance(outcome, RowConflict):
                return CommitReply(conflict=outcome)
            return CommitReply(committed=outcome)
        if operation == "read":
            read_args = decode_msgpack(body, ReadArguments)
            return await self.store.read(
                read_args.table, read_args.part, read_args.start, read_args.end, read_args.limit
            )
        if operation == "parts":
            parts_args = decode_msgpack(body, PartsArguments)
            return await self.store.parts(parts_args.table, parts_args.after)
        changes_args = decode_msgpack(body, ChangesArguments)
        wait_s = min(changes_args.wait_s, RELAYED_FEED_WAIT_S)
        return await self.store.changes(changes_args.table, changes_args.after, wait_s)


class RelayedRowStore(RowStore):
    """Row store that calls the store directly, or through a peer VM while direct calls fail.

    Args:
        store: Row store that is reached directly.
        pool: HTTP connections to peer VMs.
        find_relays: Returns the VMs that reach the store, the preferred one first.
    """

    def __init__(
        self, store: RowStore, pool: ConnectionPool, find_relays: Callable[[], list[VmRow]]
    ) -> None:
        self.store = store
        self.pool = pool
        self.find_relays = find_relays
        self.limits = store.limits
        self.path = StorePathSelector()
        self.is_relaying = False
        # Time of the last answer of the store, direct or relayed, on the event loop's clock.
        self.answered_at_s = float("-inf")
        # Called with the silence in seconds when the store answers again after an outage.
        self.on_regained: Callable[[float], None] = lambda silence_s: None
        # Direct long polls in progress.
        self.long_polls: set[anyio.CancelScope] = set()

    async def commit(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        """Apply all writes of a commit or none of them."""
        if self.should_call_directly():
            try:
                return self.record_success(await self.store.commit(commit))
            except OutcomeUnknownError:
                # The commit may still take effect. Only the caller knows whether it can be
                # repeated, so it is not relayed.
                self.path.record_failure()
                raise
            except PlatformUnavailableError as error:
                self.record_failure(error)
        body = msgspec.msgpack.encode(commit)
        reply = await self.call_through_relay("commit", body, CommitReply, RELAY_TIMEOUT_S)
        if reply.conflict is not None:
            return reply.conflict
        if reply.committed is None:
            raise OutcomeUnknownError("the relay sent an empty reply", step="store.relay")
        return reply.committed

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return the rows with ``start <= key < end``; an empty bound is open."""
        if self.should_call_directly():
            try:
                return self.record_success(await self.store.read(table, part, start, end, limit))
            except PlatformUnavailableError as error:
                self.record_failure(error)
        arguments = ReadArguments(table, part, start, end, limit)
        return await self.call_through_relay(
            "read", msgspec.msgpack.encode(arguments), RowPage, RELAY_TIMEOUT_S
        )

    async def parts(self, table: str, after: str = "") -> tuple[tuple[str, ...], bool]:
        """Return the names of parts after ``after`` and whether there are more."""
        if self.should_call_directly():
            try:
                return self.record_success(await self.store.parts(table, after))
            except PlatformUnavailableError as error:
                self.record_failure(error)
        body = msgspec.msgpack.encode(PartsArguments(table, after))
        reply_type: Any = tuple[tuple[str, ...], bool]
        reply: tuple[tuple[str, ...], bool] = await self.call_through_relay(
            "parts", body, reply_type, RELAY_TIMEOUT_S
        )
        return reply

    async def changes(self, table: str, after: int, wait_s: float) -> FeedPage:
        """Return the changes of a table after a version."""
        if self.should_call_directly():
            with anyio.CancelScope() as scope:
                self.long_polls.add(scope)
                try:
                    # A call that probes a failing direct connection must not block in a long poll.
                    direct_wait_s = 0.0 if self.path.is_failing else wait_s
                    page = await self.store.changes(table, after, direct_wait_s)
                    return self.record_success(page)
                except PlatformUnavailableError as error:
                    self.record_failure(error)
                finally:
                    self.long_polls.discard(scope)
        wait_s = min(wait_s, RELAYED_FEED_WAIT_S)
        body = msgspec.msgpack.encode(ChangesArguments(table, after, wait_s))
        return await self.call_through_relay("changes", body, FeedPage, RELAY_TIMEOUT_S + wait_s)

    def should_call_directly(self) -> bool:
        """Return whether the next call goes directly to the store."""
        now_s = anyio.current_time()
        return self.path.should_call_directly(now_s, has_relay=bool(self.find_relays()))

    def record_success(self, outcome: ReplyT) -> ReplyT:
        """Record an answer to a direct call and return it."""
        self.path.record_success()
        self.record_answer()
        if self.is_relaying:
            self.is_relaying = False
            log.info("store reached straight again")
        return outcome

    def record_answer(self) -> None:
        """Record an answer of the store, and report it if it is the first one after an outage."""
        now_s = anyio.current_time()
        silence_s = now_s - self.answered_at_s
        self.answered_at_s = now_s
        if MIN_OUTAGE_S <= silence_s < float("inf"):
            self.on_regained(silence_s)

    def record_failure(self, error: PlatformUnavailableError) -> None:
        """Record that a direct call took no effect.

        Long polls that were sent before the link was lost are ended, so that they are relayed at
        once: a change must be in force within the 3 s that the platform allows, and waiting for
        them takes up to 4.5 s.

        Raises:
            PlatformUnavailableError: The call can't be relayed.
        """
        self.path.record_failure()
        if not self.path.is_failing or not self.find_relays():
            raise error
        for scope in self.long_polls:
            scope.cancel()

    async def call_through_relay(
        self, operation: str, body: bytes, reply_type: type[ReplyT], timeout_s: float
    ) -> ReplyT:
        """Send a call through the preferred VM that reaches the store and return its reply."""
        relays = self.find_relays()
        if not relays:
            raise PlatformUnavailableError("no peer reaches the row store", step="store.relay")
        peer = relays[0]
        if not self.is_relaying:
            self.is_relaying = True
            log.warning("store reached by way of a peer", peer=peer.vm)
        is_commit = operation == "commit"
        request = Request("POST", RELAY_PREFIX + operation, (("Host", peer.address),), body)
        try:
            response = await self.pool.fetch(peer.address, request, timeout_s)
        except AttemptFailedError as error:
            if peer in relays:
                # The peer may be shutting down or cut off itself, so the next call uses another.
                relays.remove(peer)
            is_unknown = is_commit and error.perhaps_sent
            raise failed_call_error(error.message, peer.vm, is_unknown=is_unknown) from error
        if response.status == HISTORY_LOST_STATUS:
            raise HistoryExpiredError
        if response.status == OUTCOME_UNKNOWN_STATUS:
            raise OutcomeUnknownError(
                "the relay does not know the outcome", step="store.relay", peer=peer.vm
            )
        if response.status != 200:
            raise PlatformUnavailableError(
                f"the relay answered with status {response.status}",
                step="store.relay",
                peer=peer.vm,
            )
        try:
            reply = decode_msgpack(response.body, reply_type)
        except msgspec.DecodeError as error:
            raise failed_call_error(
                f"the relay's reply can't be decoded: {error}", peer.vm, is_unknown=is_commit
            ) from error
        self.record_answer()
        return reply


def failed_call_error(message: str, vm: str, *, is_unknown: bool) -> PlatformError:
    """Return the error for a relayed call that failed.

    Args:
        message: What failed.
        vm: VM that the call was sent to.
        is_unknown: Whether the call may have written something.
    """
    error_class = OutcomeUnknownError if is_unknown else PlatformUnavailableError
    return error_class(message, step="store.relay", peer=vm)
