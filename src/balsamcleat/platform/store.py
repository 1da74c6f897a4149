"""Row store that calls the platform's store over HTTP."""

import base64
from collections.abc import Callable
from typing import Annotated, TypeVar
from urllib.parse import quote, urlencode

import anyio
import msgspec
import structlog

from balsamcleat.decisions.store_pace import StoreRateLimiter
from balsamcleat.decisions.store_path import AdaptiveTimeout
from balsamcleat.decoding import decode_json
from balsamcleat.errors import (
    AttemptFailedError,
    CommitRejectedError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from balsamcleat.http1 import ConnectionPool, Request, Response
from balsamcleat.http1.numbers import MAX_NUMBER
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
# With these statuses, the store says that a request had no effect.
NOT_DONE_STATUSES = (TOO_MANY_REQUESTS_STATUS, 503)
COMMIT_STEP = "rows.commit"
# A larger number is no version or time of the store: followed, it would hide all later changes.
MAX_STORE_VERSION = 2**63 - 1
StoreVersion = Annotated[int, msgspec.Meta(ge=0, le=MAX_STORE_VERSION)]
StoreTimeMs = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

log = structlog.get_logger()


class RowFields(msgspec.Struct, frozen=True):
    """Row on the wire; ``value`` is encoded in base64, and absent if ``deleted`` is set."""

    table: str
    key: str
    part: str = ""
    value: str | None = None
    ver: StoreVersion = 0
    deleted: bool = False


class RowNameFields(msgspec.Struct, frozen=True):
    """Row on the wire whose value can't be read."""

    table: str
    key: str
    part: str = ""
    ver: StoreVersion = 0


class RowsFields(msgspec.Struct, frozen=True, rename="camel"):
    """Response that contains rows."""

    ver: StoreVersion = 0
    now_ms: StoreTimeMs = 0.0
    rows: list[RowFields] = []
    has_more: bool = False


class UndecodedRowsFields(msgspec.Struct, frozen=True, rename="camel"):
    """Response that contains rows which are decoded one by one."""

    ver: StoreVersion = 0
    now_ms: StoreTimeMs = 0.0
    rows: list[msgspec.Raw] = []
    has_more: bool = False


class PartsFields(msgspec.Struct, frozen=True, rename="camel"):
    """Response that contains names of parts."""

    parts: list[str] = []
    has_more: bool = False


class ExpectedFields(msgspec.Struct, frozen=True):
    """Condition of a commit: the version that a row must have."""

    table: str
    part: str
    key: str
    ver: int


class PutFields(msgspec.Struct, frozen=True):
    """Row that a commit writes."""

    table: str
    part: str
    key: str
    value: str


class RemoveFields(msgspec.Struct, frozen=True):
    """Row that a commit deletes."""

    table: str
    part: str
    key: str


class CommitFields(msgspec.Struct, frozen=True):
    """Commit on the wire; ``across`` states that its rows are in more than one part."""

    expected: list[ExpectedFields]
    puts: list[PutFields]
    remove: list[RemoveFields]
    across: bool = False


ResponseT = TypeVar("ResponseT")


class PlatformRowStore(RowStore):
    """Calls the platform's store over HTTP.

    Args:
        access: Address and limits of the store.
        pool: HTTP connections to the store.
        count_vms: Returns the number of known VMs, which share the store's rate limits.
        on_time: Receives the time of the store's clock in answers to reads, in milliseconds.
    """

    def __init__(
        self,
        access: StoreAccess,
        pool: ConnectionPool,
        count_vms: Callable[[], int],
        on_time: Callable[[int], None] = lambda store_ms: None,
    ) -> None:
        self.pool = pool
        self.count_vms = count_vms
        self.apply_access(access)
        self.on_time = on_time
        self.timeout = AdaptiveTimeout()
        # Time of the store's last response in seconds, on the event loop's clock.
        self.answered_at_s = float("-inf")

    def apply_access(self, access: StoreAccess) -> None:
        """Apply the address and limits of the store, at startup and when the settings change."""
        self.access = access
        self.limits = access.limits
        self.rate_limiter = StoreRateLimiter(access.writes_per_s, access.reads_per_s)

    async def commit(self, commit: RowCommit) -> RowsCommitted | RowConflict:
        """Apply all writes of a commit or none of them."""
        body = msgspec.json.encode(encode_commit(commit))
        request = Request("POST", "/rows-tx", self.request_headers(), body)
        try:
            response = await self.fetch(request, 0.0)
        except AttemptFailedError as error:
            raise write_error(error) from error
        if response.status in (400, 403, 413):
            raise CommitRejectedError(
                f"the store rejected the commit: {response.status} {response.body[:200]!r}",
                step=COMMIT_STEP,
                peer=self.access.address,
            )
        if response.status in NOT_DONE_STATUSES:
            raise self.rejection_error(response, COMMIT_STEP)
        try:
            return self.commit_outcome(response)
        except PlatformUnavailableError as error:
            # Only some statuses promise that nothing was written.
            raise OutcomeUnknownError(error.message, step=COMMIT_STEP, peer=error.peer) from error

    def commit_outcome(self, response: Response) -> RowsCommitted | RowConflict:
        """Return the outcome that the response to a commit states.

        Raises:
            PlatformUnavailableError: The response states none.
        """
        if response.status not in (200, 412):
            raise self.rejection_error(response, COMMIT_STEP)
        fields = decode_response(response, RowsFields)
        self.record_answer()
        if response.status == 200:
            return RowsCommitted(fields.ver, int(fields.now_ms))
        return RowConflict(tuple(map(decode_row, fields.rows)))

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        """Return the rows with ``start <= key < end``; an empty bound is open."""
        query = {"table": table, "part": part, "limit": str(limit)}
        if start:
            query["from"] = start
        if end:
            query["to"] = end
        response = await self.get("/rows-get", query)
        # The rows of a named part are used as a whole, so none of them may be left out.
        fields = decode_response(response, RowsFields) if part else decode_rows(response, table)
        self.on_time(int(fields.now_ms))
        rows = tuple(map(decode_row, fields.rows))
        return RowPage(rows, fields.has_more, fields.ver, int(fields.now_ms))

    async def parts(self, table: str, after: str = "") -> tuple[tuple[str, ...], bool]:
        """Return the names of parts after ``after`` and whether there are more."""
        query = {"table": table}
        if after:
            query["after"] = after
        fields = decode_response(await self.get("/rows-parts", query), PartsFields)
        return tuple(fields.parts), fields.has_more or len(fields.parts) >= MAX_PARTS_PER_RESPONSE

    async def changes(self, table: str, after: int, wait_s: float) -> FeedPage:
        """Return the changes of a table after a version."""
        query = {"table": table, "after": str(after), "waitMs": str(int(wait_s * 1000))}
        fields = decode_rows(await self.get("/rows-feed", query, wait_s), table)
        rows = tuple(map(decode_row, fields.rows))
        return FeedPage(rows, max(fields.ver, after), int(fields.now_ms))

    async def fetch(self, request: Request, wait_s: float) -> Response:
        """Send a request and return its response.

        Args:
            request: Request to the store.
            wait_s: Long poll duration in the request, in seconds; the timeout is extended by it.
        """
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
        """Wait until this VM's share of the store's rate limits allows one more call."""
        while True:
            wait_s = self.rate_limiter.wait_s(
                writes=writes, vms=self.count_vms(), now_s=anyio.current_time()
            )
            if not wait_s:
                return
            await anyio.sleep(wait_s)

    async def get(self, path: str, query: dict[str, str], wait_s: float = 0.0) -> Response:
        """Send a read request and return its response, whose status is 200.

        Raises:
            HistoryExpiredError: The store no longer keeps the requested changes.
            PlatformUnavailableError: The request failed or was rejected.
        """
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
        return response

    def record_answer(self) -> None:
        """Record that the store processed a request, whether or not with success."""
        self.answered_at_s = anyio.current_time()

    def rejection_error(self, response: Response, step: str) -> PlatformUnavailableError:
        """Return the error for a request that the store did not answer with success."""
        return PlatformUnavailableError(
            f"the store answered the request with status {response.status}",
            step=step,
            peer=self.access.address,
        )

    def request_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers of a request to the store."""
        return (("Host", self.access.address), ("Content-Type", "application/json"))


def write_error(error: AttemptFailedError) -> PlatformUnavailableError | OutcomeUnknownError:
    """Return the error for a failed write, whose outcome is unknown if it may have been sent."""
    error_class = OutcomeUnknownError if error.perhaps_sent else PlatformUnavailableError
    return error_class(error.message, step=COMMIT_STEP, peer=error.peer)


def encode_commit(commit: RowCommit) -> CommitFields:
    """Return the wire representation of a commit."""
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
    """Return the decoded body of a response.

    Raises:
        PlatformUnavailableError: The body can't be decoded.
    """
    try:
        return decode_json(response.body, response_type)
    except msgspec.DecodeError as error:
        raise PlatformUnavailableError(
            f"undecodable response from the store: {error}", step="store.decode"
        ) from error


def decode_rows(response: Response, table: str) -> RowsFields:
    """Return the rows in a response; each row that can't be read costs only itself.

    Raises:
        PlatformUnavailableError: What is around the rows can't be decoded.
    """
    try:
        return decode_json(response.body, RowsFields)
    except msgspec.DecodeError:
        fields = decode_response(response, UndecodedRowsFields)
    rows = [row for data in fields.rows if (row := decode_row_fields(data, table)) is not None]
    return RowsFields(fields.ver, fields.now_ms, rows, fields.has_more)


def decode_row_fields(data: msgspec.Raw, table: str) -> RowFields | None:
    """Return the fields of a row; with an empty value if only its name can be read, or None."""
    try:
        return decode_json(data, RowFields)
    except msgspec.DecodeError as error:
        reason = str(error)
    try:
        name = decode_json(data, RowNameFields)
    except msgspec.DecodeError:
        log.warning("store row ignored", table=table, reason=reason)
        return None
    return RowFields(name.table, name.key, name.part, "", name.ver)


def decode_row(fields: RowFields) -> RowChange:
    """Return a row; a value that is not valid base64 is decoded as empty."""
    key = RowKey(fields.table, fields.part, fields.key)
    if fields.deleted or fields.value is None:
        return RowChange(key, None, fields.ver)
    try:
        return RowChange(key, base64.b64decode(fields.value), fields.ver)
    except ValueError:
        return RowChange(key, b"", fields.ver)
