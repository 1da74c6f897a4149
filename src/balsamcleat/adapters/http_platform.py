"""Clients of the platform's services over HTTP: table, objects, VM list and weight store."""

import base64

import httpx
import msgspec

from balsamcleat.adapters.http_client import ENCODING_ERRORS, REQUEST_ERRORS
from balsamcleat.decoding import decode_json
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
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class RowMessage(msgspec.Struct, frozen=True):
    """Row of the table service; the value is encoded in base64."""

    key: str
    value: str
    version: int


class RowsMessage(msgspec.Struct, frozen=True):
    """Response to a scan."""

    rows: tuple[RowMessage, ...]


class WriteMessage(msgspec.Struct, frozen=True):
    """Write of a transaction of the table service."""

    key: str
    value: str | None
    expected_version: int | None


class CommitMessage(msgspec.Struct, frozen=True):
    """Transaction of the table service."""

    operation_id: str
    writes: tuple[WriteMessage, ...]


class CommitReply(msgspec.Struct, frozen=True):
    """Response to a commit; ``conflicts`` is empty if the commit took effect."""

    conflicts: tuple[str, ...] = ()


class VmMessage(msgspec.Struct, frozen=True):
    """Entry of the VM list."""

    vm_id: str
    kind: VmKind
    zone: str
    http_address: str
    peer_address: str = ""
    leaving: bool = False
    service: str = ""


class VmsMessage(msgspec.Struct, frozen=True):
    """Response with the VM list."""

    vms: tuple[VmMessage, ...]


class WeightMessage(msgspec.Struct, frozen=True):
    """Weight version in the weight store."""

    service: str
    version: int
    size_bytes: int


class LimitMessage(msgspec.Struct, frozen=True):
    """Limit of concurrent fetches from the weight store."""

    concurrent_fetches: int


class PlatformHttp:
    """Sends requests to one platform service and classifies their failures.

    Args:
        client: HTTP client.
        base_url: Base URL of the service.
    """

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self.client = client
        self.base_url = base_url.rstrip("/")

    async def read(self, step: str, path: str, **params: str | int) -> httpx.Response:
        """Send a GET request; any failure means unavailable, because reads have no effect."""
        try:
            response = await self.client.get(
                self.base_url + path, params=params, timeout=READ_TIMEOUT_S
            )
        except REQUEST_ERRORS as error:
            raise PlatformUnavailableError(
                f"{type(error).__name__}: {error}", step=step, peer=self.base_url
            ) from error
        if response.status_code >= 500 or response.status_code == 429:
            raise PlatformUnavailableError(
                f"answered {response.status_code}", step=step, peer=self.base_url
            )
        return response

    async def write(self, step: str, method: str, path: str, body: bytes) -> httpx.Response:
        """Send a write; a failure is either a rejection or leaves the outcome unknown."""
        try:
            response = await self.client.request(
                method, self.base_url + path, content=body, timeout=WRITE_TIMEOUT_S
            )
        except (*NOT_SENT_ERRORS, *ENCODING_ERRORS) as error:
            raise PlatformUnavailableError(
                f"{type(error).__name__}: {error}", step=step, peer=self.base_url
            ) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(
                f"{type(error).__name__}: {error}", step=step, peer=self.base_url
            ) from error
        # With 503 and 429 the service states that it did nothing.
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
    """Client of the table service.

    Args:
        http: Sends the requests to the service.
    """

    def __init__(self, http: PlatformHttp) -> None:
        self.http = http

    async def get(self, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        response = await self.http.read("table.get", "/rows/" + key)
        if response.status_code == 404:
            return None
        return decode_row(decode_json(response.content, RowMessage))

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> tuple[Row, ...]:
        """Return the rows with a prefix, ordered by their keys."""
        response = await self.http.read(
            "table.scan", "/scan", prefix=prefix, after=after, limit=limit
        )
        rows = decode_json(response.content, RowsMessage).rows
        return tuple(decode_row(row) for row in rows)

    async def commit(self, transaction: Transaction) -> Committed | Conflicted:
        """Commit a transaction."""
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
        reply = decode_json(response.content, CommitReply)
        return Conflicted(reply.conflicts) if reply.conflicts else Committed()


def decode_row(message: RowMessage) -> Row:
    """Return the row that a message carries."""
    return Row(message.key, base64.b64decode(message.value), message.version)


class HttpObjectStore(ObjectStore):
    """Client of the object store.

    Args:
        http: Sends the requests to the service.
    """

    def __init__(self, http: PlatformHttp) -> None:
        self.http = http

    async def put(self, key: str, body: bytes) -> None:
        """Store an object."""
        await self.http.write("objects.put", "PUT", "/objects/" + key, body)

    async def get(self, key: str) -> bytes | None:
        """Return the body of an object, or None if it does not exist."""
        response = await self.http.read("objects.get", "/objects/" + key)
        return None if response.status_code == 404 else response.content

    async def delete(self, key: str) -> None:
        """Delete an object."""
        await self.http.write("objects.delete", "DELETE", "/objects/" + key, b"")

    async def keys(self, prefix: str) -> tuple[str, ...]:
        """Return the keys that begin with ``prefix``."""
        response = await self.http.read("objects.keys", "/objects", prefix=prefix)
        return decode_json(response.content, tuple[str, ...])


class HttpVmList(VmList):
    """Client of the VM list.

    Args:
        http: Sends the requests to the service.
    """

    def __init__(self, http: PlatformHttp) -> None:
        self.http = http

    async def records(
        self, zone: ZoneName | None = None, kind: VmKind | None = None
    ) -> tuple[VmRecord, ...]:
        """Return the VMs of the list, optionally of one zone and kind."""
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
            for vm in decode_json(response.content, VmsMessage).vms
        )


class HttpWeightStore(WeightStore):
    """Client of the weight store.

    Args:
        http: Sends the requests to the service.
    """

    def __init__(self, http: PlatformHttp) -> None:
        self.http = http

    async def describe(self, service: str, version: WeightVersion) -> WeightRecord | None:
        """Return the record of a weight version, or None if it does not exist."""
        response = await self.http.read("weights.describe", f"/weights/{service}/{version}")
        if response.status_code == 404:
            return None
        message = decode_json(response.content, WeightMessage)
        return WeightRecord(message.service, WeightVersion(message.version), message.size_bytes)

    async def fetch_limit(self) -> int:
        """Return the maximum number of concurrent fetches."""
        response = await self.http.read("weights.limit", "/limits")
        return decode_json(response.content, LimitMessage).concurrent_fetches
