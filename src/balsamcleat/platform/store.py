"""The platform's store behind the row store port; one client for all its calls."""

import base64
from collections.abc import Callable
from typing import TypeVar
from urllib.parse import quote, urlencode

import anyio
import msgspec

from balsamcleat.decisions.store_pace import StoreRateLimiter
from balsamcleat.decisions.store_path import AdaptiveTimeout
from balsamcleat.errors import (
    AttemptFailedError,
    InvalidInputError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from balsamcleat.http1 import ClientPool, Request, Response
from balsamcleat.model import FailureKind
from balsamcleat.platform.settings import StoreAccess
from balsamcleat.ports.rows import (
    FeedPage,
    HistoryExpiredError,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowPage,
    RowsCommitted,
    RowStore,
)

__all__ = ["PlatformRowStore"]

MAX_PARTS_PER_RESPONSE = 1000
TOO_MANY_REQUESTS_STATUS = 429


class RowFields(msgspec.Struct, frozen=True):
    """A row on the wire; ``value`` is base64 and missing where ``deleted`` stands."""

    table: str
    key: str
    part: str = ""
    value: str | None = None
    ver: int = 0
    deleted: bool = False


class RowsFields(msgspec.Struct, frozen=True, rename="camel"):
    """An answer about rows."""

    ver: int = 0
    now_ms: float = 0.0
    rows: list[RowFields] = []
    has_more: bool = False


class PartsFields(msgspec.Struct, frozen=True, rename="camel"):
    """An answer about parts."""

    parts: list[str] = []
    has_more: bool = False


class ExpectedFields(msgspec.Struct, frozen=True):
    """A condition: the version that a row must have."""

    table: str
    part: str
    key: str
    ver: int


class PutFields(msgspec.Struct, frozen=True):
    """A row to write."""

    table: str
    part: str
    key: str
    value: str


class RemoveFields(msgspec.Struct, frozen=True):
    """A row to delete."""

    table: str
    part: str
    key: str


class CommitFields(msgspec.Struct, frozen=True):
    """A transaction."""

    expected: list[ExpectedFields]
    puts: list[PutFields]
    remove: list[RemoveFields]
    across: bool = False


ResponseT = TypeVar("ResponseT")


class PlatformRowStore(RowStore):
    """Calls the platform's store over HTTP.

    Args:
        access: Where it is and what it takes.
        pool: Connections of this process.
        vms: Returns how many VMs share the store, as far as known.
    """

    def __init__(self, access: StoreAccess, pool: ClientPool, count_vms: Callable[[], int]) -> None:
        self.pool = pool
        self.count_vms = count_vms
        self.apply_access(access)
        self.timeout = AdaptiveTimeout()
        # When the store answered last, on the process's clock.
        self.answered_at_s = float("-inf")

    def apply_access(self, access: StoreAccess) -> None:
        """Take where the store is and what it takes, also when the settings change."""
        self.access = access
        self.limits = access.limits
        self.rate_limiter = StoreRateLimiter(access.writes_per_s, access.reads_per_s)

    async def commit(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        """Apply all writes or none."""
        body = msgspec.json.encode(encode_commit(commit))
        request = Request("POST", "/rows-tx", self.request_headers(), body)
        try:
            response = await self.fetch(request, 0.0)
        except AttemptFailedError as error:
            raise write_error(error) from error
        if response.status == 200:
            fields = decode_response(response, RowsFields)
            self.record_answer()
            return RowsCommitted(fields.ver, int(fields.now_ms))
        if response.status == 412:
            self.record_answer()
            return RowConflict(tuple(map(decode_row, decode_response(response, RowsFields).rows)))
        if response.status in (400, 403, 413):
            raise InvalidInputError(
                f"the store takes no such commit: {response.status} {response.body[:200]!r}",
                step="rows.commit",
                peer=self.access.address,
            )
        raise self.rejection_error(response, "rows.commit")

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return rows with ``start <= key < end``; an empty bound is open."""
        query = {"table": table, "part": part, "limit": str(limit)}
        if start:
            query["from"] = start
        if end:
            query["to"] = end
        fields = await self.get("/rows-get", query, RowsFields)
        rows = tuple(map(decode_row, fields.rows))
        return RowPage(rows, fields.has_more, fields.ver, int(fields.now_ms))

    async def parts(self, table: str, after: str = "") -> tuple[tuple[str, ...], bool]:
        """Return names of parts above ``after`` and whether there are more."""
        query = {"table": table}
        if after:
            query["after"] = after
        fields = await self.get("/rows-parts", query, PartsFields)
        return tuple(fields.parts), fields.has_more or len(fields.parts) >= MAX_PARTS_PER_RESPONSE

    async def changes(self, table: str, after: int, wait_s: float) -> FeedPage:
        """Return what changed after a version."""
        query = {"table": table, "after": str(after), "waitMs": str(int(wait_s * 1000))}
        fields = await self.get("/rows-feed", query, RowsFields, wait_s)
        rows = tuple(map(decode_row, fields.rows))
        return FeedPage(rows, max(fields.ver, after), int(fields.now_ms))

    async def fetch(self, request: Request, wait_s: float) -> Response:
        """Make one call; ``wait_s`` is how long the store was asked to wait before it answers."""
        await self.wait_for_rate_limit(writes=request.method != "GET")
        began_s = anyio.current_time()
        timeout_s = wait_s + self.timeout.timeout_s
        try:
            response = await self.pool.fetch(self.access.address, request, timeout_s)
        except AttemptFailedError as error:
            if error.kind is FailureKind.SILENT:
                self.timeout.record_timeout()
            raise
        if not wait_s:
            self.timeout.record_answer(anyio.current_time() - began_s)
        if response.status == TOO_MANY_REQUESTS_STATUS:
            self.rate_limiter.record_rejection(anyio.current_time())
        return response

    async def wait_for_rate_limit(self, *, writes: bool) -> None:
        """Wait until this VM's share of the store's rates allows one more call."""
        while True:
            wait_s = self.rate_limiter.wait_s(
                writes=writes, vms=self.count_vms(), now_s=anyio.current_time()
            )
            if not wait_s:
                return
            await anyio.sleep(wait_s)

    async def get(
        self, path: str, query: dict[str, str], response_type: type[ResponseT], wait_s: float = 0.0
    ) -> ResponseT:
        """Make a reading call."""
        path_and_query = f"{path}?{urlencode(query, quote_via=quote)}"
        request = Request("GET", path_and_query, self.request_headers())
        try:
            response = await self.fetch(request, wait_s)
        except AttemptFailedError as error:
            raise PlatformUnavailableError(
                error.message, step=f"store{path}", peer=self.access.address
            ) from error
        if response.status == 410:
            self.record_answer()
            raise HistoryExpiredError
        if response.status != 200:
            raise self.rejection_error(response, f"store{path}")
        self.record_answer()
        return decode_response(response, response_type)

    def record_answer(self) -> None:
        """Take note that the store did what it was asked or said why it can't."""
        self.answered_at_s = anyio.current_time()

    def rejection_error(self, response: Response, step: str) -> PlatformUnavailableError:
        """Return the error for a call that was turned away: nothing was done."""
        return PlatformUnavailableError(
            f"turned away with {response.status}", step=step, peer=self.access.address
        )

    def request_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers of a call."""
        return (("Host", self.access.address), ("Content-Type", "application/json"))


def write_error(error: AttemptFailedError) -> PlatformUnavailableError | OutcomeUnknownError:
    """Return what a failed write means: not done if it never left, else unknown."""
    error_class = OutcomeUnknownError if error.perhaps_sent else PlatformUnavailableError
    return error_class(error.message, step="rows.commit", peer=error.peer)


def encode_commit(commit: RowCommit) -> CommitFields:
    """Return a commit as it is sent."""
    puts: list[PutFields] = []
    deletes: list[RemoveFields] = []
    for write in commit.writes:
        key = write.key
        if write.value is None:
            deletes.append(RemoveFields(key.table, key.part, key.key))
        else:
            value = base64.b64encode(write.value).decode()
            puts.append(PutFields(key.table, key.part, key.key, value))
    expected = [
        ExpectedFields(key.table, key.part, key.key, version) for key, version in commit.expected
    ]
    parts = {write.key.part for write in commit.writes}
    parts |= {key.part for key, _ in commit.expected}
    return CommitFields(expected, puts, deletes, across=len(parts) > 1)


def decode_response(response: Response, response_type: type[ResponseT]) -> ResponseT:
    """Return an answer's fields.

    Raises:
        PlatformUnavailableError: It can't be read.
    """
    try:
        return msgspec.json.decode(response.body, type=response_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformUnavailableError(
            f"unreadable answer: {error}", step="store.decode"
        ) from error


def decode_row(fields: RowFields) -> RowChange:
    """Return a row; a value that isn't base64 reads as no bytes."""
    key = RowKey(fields.table, fields.part, fields.key)
    if fields.deleted or fields.value is None:
        return RowChange(key, None, fields.ver)
    try:
        return RowChange(key, base64.b64decode(fields.value), fields.ver)
    except ValueError:
        return RowChange(key, b"", fields.ver)
