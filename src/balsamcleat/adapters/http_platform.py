"""The platform's services over HTTP: table, objects, VM list and weight store."""

import base64

import httpx
import msgspec

from balsamcleat.errors import OutcomeUnknownError, PlatformUnavailableError
from balsamcleat.model import VmId, VmKind, VmRecord, WeightVersion, ZoneName
from balsamcleat.ports import (
    Committed,
    Conflicted,
    ObjectStore,
    Row,
    Table,
    Transaction,
    VmList,
    WeightRecord,
    WeightStore,
)

__all__ = ["HttpObjectStore", "HttpTable", "HttpVmList", "HttpWeightStore"]

READ_TIMEOUT_S = 2.0
WRITE_TIMEOUT_S = 3.0


class RowMessage(msgspec.Struct, frozen=True):
    """A row as the table service sends it; values are base64."""

    key: str
    value: str
    version: int


class RowsMessage(msgspec.Struct, frozen=True):
    """The answer to a scan."""

    rows: tuple[RowMessage, ...]


class WriteMessage(msgspec.Struct, frozen=True):
    """A write as the table service takes it."""

    key: str
    value: str | None
    expected_version: int | None


class CommitMessage(msgspec.Struct, frozen=True):
    """A transaction as the table service takes it."""

    operation_id: str
    writes: tuple[WriteMessage, ...]


class CommitReply(msgspec.Struct, frozen=True):
    """The answer to a commit; ``conflicts`` is empty when it took effect."""

    conflicts: tuple[str, ...] = ()


class VmMessage(msgspec.Struct, frozen=True):
    """A line of the VM list."""

    vm_id: str
    kind: VmKind
    zone: str
    http_address: str
    peer_address: str = ""
    leaving: bool = False
    service: str = ""


class VmsMessage(msgspec.Struct, frozen=True):
    """The VM list."""

    vms: tuple[VmMessage, ...]


class WeightMessage(msgspec.Struct, frozen=True):
    """A weight version of the weight store."""

    service: str
    version: int
    size_bytes: int


class LimitMessage(msgspec.Struct, frozen=True):
    """The weight store's limit of concurrent fetches."""

    concurrent_fetches: int


class PlatformHttp:
    """Requests to one platform service, with its failures classified.

    Args:
        client: The HTTP client.
        base_url: The service's base URL.
    """

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")

    async def read(self, step: str, path: str, **params: str | int) -> httpx.Response:
        """Send a GET; reads have no effect, so any failure means unavailable."""
        try:
            response = await self.client.get(
                self.base_url + path, params=params, timeout=READ_TIMEOUT_S
            )
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(
                f"{type(error).__name__}: {error}", step=step, peer=self.base_url
            ) from error
        if response.status_code >= 500 or response.status_code == 429:
            raise PlatformUnavailableError(
                f"answered {response.status_code}", step=step, peer=self.base_url
            )
        return response

    async def write(self, step: str, method: str, path: str, body: bytes) -> httpx.Response:
        """Send a write and tell "not taken" from "outcome unknown"."""
        try:
            response = await self.client.request(
                method, self.base_url + path, content=body, timeout=WRITE_TIMEOUT_S
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformUnavailableError(
                f"{type(error).__name__}: {error}", step=step, peer=self.base_url
            ) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(
                f"{type(error).__name__}: {error}", step=step, peer=self.base_url
            ) from error
        # 503 and 429 are the service's own word that it did nothing.
        if response.status_code in (429, 503):
            raise PlatformUnavailableError(
                f"answered {response.status_code}", step=step, peer=self.base_url
            )
        if response.status_code >= 500:
            raise OutcomeUnknownError(
                f"answered {response.status_code}", step=step, peer=self.base_url
            )
        return response


class HttpTable(Table):
    """The table service's HTTP dialect.

    Args:
        http: Requests to it.
    """

    def __init__(self, http: PlatformHttp) -> None:
        self.http = http

    async def get(self, key: str) -> Row | None:
        """Return the row, or None."""
        response = await self.http.read("table.get", "/rows/" + key)
        if response.status_code == 404:
            return None
        return decode_row(msgspec.json.decode(response.content, type=RowMessage))

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> tuple[Row, ...]:
        """Return rows in order of their keys."""
        response = await self.http.read(
            "table.scan", "/scan", prefix=prefix, after=after, limit=limit
        )
        rows = msgspec.json.decode(response.content, type=RowsMessage).rows
        return tuple(decode_row(row) for row in rows)

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Commit the transaction."""
        message = CommitMessage(
            transaction.operation_id,
            tuple(
                WriteMessage(
                    write.key,
                    None if write.value is None else base64.b64encode(write.value).decode(),
                    write.expected_version,
                )
                for write in transaction.writes
            ),
        )
        response = await self.http.write(
            "table.commit", "POST", "/commit", msgspec.json.encode(message)
        )
        reply = msgspec.json.decode(response.content, type=CommitReply)
        return Conflicted(reply.conflicts) if reply.conflicts else Committed()


def decode_row(message: RowMessage) -> Row:
    """Return the row in the message."""
    return Row(message.key, base64.b64decode(message.value), message.version)


class HttpObjectStore(ObjectStore):
    """The object store's HTTP dialect.

    Args:
        http: Requests to it.
    """

    def __init__(self, http: PlatformHttp) -> None:
        self.http = http

    async def put(self, key: str, body: bytes) -> None:
        """Store the body."""
        await self.http.write("objects.put", "PUT", "/objects/" + key, body)

    async def get(self, key: str) -> bytes | None:
        """Return the body, or None."""
        response = await self.http.read("objects.get", "/objects/" + key)
        return None if response.status_code == 404 else response.content

    async def delete(self, key: str) -> None:
        """Remove the object."""
        await self.http.write("objects.delete", "DELETE", "/objects/" + key, b"")

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys with ``prefix``."""
        response = await self.http.read("objects.keys", "/objects", prefix=prefix)
        return msgspec.json.decode(response.content, type=tuple[str, ...])


class HttpVmList(VmList):
    """The VM list's HTTP dialect.

    Args:
        http: Requests to it.
    """

    def __init__(self, http: PlatformHttp) -> None:
        self.http = http

    async def records(
        self, zone: ZoneName | None = None, kind: VmKind | None = None
    ) -> tuple[VmRecord, ...]:
        """Return the list, or the part of it that is asked for."""
        params: dict[str, str | int] = {}
        if zone is not None:
            params["zone"] = zone
        if kind is not None:
            params["kind"] = kind.value
        response = await self.http.read("vms.list", "/vms", **params)
        return tuple(
            VmRecord(
                vm_id=VmId(vm.vm_id),
                kind=vm.kind,
                zone=ZoneName(vm.zone),
                http_address=vm.http_address,
                peer_address=vm.peer_address,
                leaving=vm.leaving,
                service=vm.service,
            )
            for vm in msgspec.json.decode(response.content, type=VmsMessage).vms
        )


class HttpWeightStore(WeightStore):
    """The weight store's HTTP dialect.

    Args:
        http: Requests to it.
    """

    def __init__(self, http: PlatformHttp) -> None:
        self.http = http

    async def describe(self, service: str, version: WeightVersion) -> WeightRecord | None:
        """Return the version's record, or None."""
        response = await self.http.read("weights.describe", f"/weights/{service}/{version}")
        if response.status_code == 404:
            return None
        message = msgspec.json.decode(response.content, type=WeightMessage)
        return WeightRecord(message.service, WeightVersion(message.version), message.size_bytes)

    async def fetch_limit(self) -> int:
        """Return the limit of concurrent fetches."""
        response = await self.http.read("weights.limit", "/limits")
        return msgspec.json.decode(response.content, type=LimitMessage).concurrent_fetches
