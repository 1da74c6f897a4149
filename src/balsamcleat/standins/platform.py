"""A stand-in of the platform: table, objects, VM list and weight store, with its flaws."""

import base64
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from balsamcleat.adapters.http_platform import (
    CommitMessage,
    CommitReply,
    LimitMessage,
    RowMessage,
    RowsMessage,
    VmMessage,
    VmsMessage,
    WeightMessage,
)
from balsamcleat.standins.flaws import flaws_route
from balsamcleat.standins.replies import reply

__all__ = ["PlatformFlaws", "PlatformStandIn"]

Handler = Callable[[Request], Awaitable[Response]]


@dataclass
class PlatformFlaws:
    """Switches for what goes wrong; tests and the demo flip them while it runs.

    Attributes:
        down: Refuse everything with 503.
        table_down: Refuse the table only.
        objects_down: Refuse the object store only.
        vm_list_down: Refuse the VM list only.
        weights_down: Refuse the weight store only.
        delay_s: Added to every answer, in seconds.
        lose_answers: How many of the next writes take effect and then answer 500.
        vm_list_lag_s: How old the VM list is, in seconds.
        writes_per_s: Writes that are taken in a second, above which 429; 0 for no limit.
        reads_per_s: Reads that are taken in a second, above which 429; 0 for no limit.
        fetch_limit: Concurrent fetches that the weight store takes, above which 429.
        fetch_s: Time that a fetch of weights takes, in seconds.
        only_known_weights: Whether fetches of versions that nobody published are refused.
    """

    down: bool = False
    table_down: bool = False
    objects_down: bool = False
    vm_list_down: bool = False
    weights_down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    vm_list_lag_s: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    fetch_limit: int = 4
    fetch_s: float = 0.0
    only_known_weights: bool = False


@dataclass
class RateLimit:
    """A bucket that holds a second's worth of requests.

    Attributes:
        tokens: Requests that may be taken now.
        at_s: When that was reckoned, in monotonic seconds.
    """

    tokens: float = 0.0
    at_s: float = -math.inf

    def take(self, rate_per_s: float, now_s: float) -> bool:
        """Take one request; returns False when it is above the rate."""
        if not rate_per_s:
            return True
        gained = (now_s - self.at_s) * rate_per_s
        self.tokens, self.at_s = min(rate_per_s, self.tokens + gained), now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass
class StoredRow:
    """A row and its version."""

    value: bytes
    version: int


@dataclass
class PlatformStandIn:
    """Keeps everything in memory and answers the platform's HTTP protocol.

    Attributes:
        flaws: What goes wrong.
        rows: The table.
        objects: The object store.
        vms: The VM list by id.
        weights: Weight versions and their sizes in bytes.
        writes: Number of transactions asked for.
        reads: Number of reads asked for.
        fetches: Fetches of weights that run now.
        most_fetches: The most that ever ran at once.
    """

    flaws: PlatformFlaws = field(default_factory=PlatformFlaws)
    rows: dict[str, StoredRow] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    vms: dict[str, VmMessage] = field(default_factory=dict)
    vm_history: list[tuple[float, tuple[VmMessage, ...]]] = field(default_factory=list)
    weights: dict[tuple[str, int], int] = field(default_factory=dict)
    writes: int = 0
    reads: int = 0
    fetches: int = 0
    most_fetches: int = 0
    write_limit: RateLimit = field(default_factory=RateLimit)
    read_limit: RateLimit = field(default_factory=RateLimit)
    # Grows for the life of the table, so that a row deleted and made again gets a new version.
    clock: int = 0

    def put_vm(self, vm: VmMessage) -> None:
        """Add or change a line of the VM list."""
        self.vms[vm.vm_id] = vm
        self.note_vms()

    def leave_vm(self, vm_id: str) -> None:
        """Call a VM leaving, as the platform does some time before it takes it away."""
        self.put_vm(msgspec.structs.replace(self.vms[vm_id], leaving=True))

    def remove_vm(self, vm_id: str) -> None:
        """Take a VM off the list."""
        self.vms.pop(vm_id, None)
        self.note_vms()

    def note_vms(self) -> None:
        """Remember the list as it is now, for lagging answers."""
        self.vm_history.append((anyio.current_time(), tuple(self.vms.values())))

    def lagging_vms(self) -> tuple[VmMessage, ...]:
        """Return the list as it was ``vm_list_lag_s`` ago."""
        until = anyio.current_time() - self.flaws.vm_list_lag_s
        known: tuple[VmMessage, ...] = ()
        for at, vms in self.vm_history:
            if at <= until:
                known = vms
        return known

    def commit(self, message: CommitMessage) -> tuple[str, ...]:
        """Apply a transaction; returns the rows that were not as expected."""
        conflicts = tuple(
            write.key
            for write in message.writes
            if write.expected_version is not None
            and write.expected_version != self.version_of(write.key)
        )
        if conflicts:
            return conflicts
        for write in message.writes:
            if write.value is None:
                self.rows.pop(write.key, None)
            else:
                self.clock += 1
                self.rows[write.key] = StoredRow(base64.b64decode(write.value), self.clock)
        return ()

    def version_of(self, key: str) -> int:
        """Return the row's version; 0 when there is none."""
        row = self.rows.get(key)
        return 0 if row is None else row.version

    def app(self) -> Starlette:
        """Return the HTTP application."""
        table, objects = partial(self.guarded, "table_down"), partial(self.guarded, "objects_down")
        vms, weights = partial(self.guarded, "vm_list_down"), partial(self.guarded, "weights_down")
        one_weight = "/weights/{service}/{version:int}"
        return Starlette(
            routes=[
                Route("/rows/{key:path}", table(self.get_row)),
                Route("/scan", table(self.scan)),
                Route("/commit", table(self.post_commit), methods=["POST"]),
                Route("/objects", objects(self.list_objects)),
                Route(
                    "/objects/{key:path}",
                    objects(self.one_object),
                    methods=["GET", "PUT", "DELETE"],
                ),
                Route("/vms", vms(self.get_vms)),
                Route("/vms", vms(self.post_vm), methods=["POST"]),
                Route("/limits", weights(self.get_limits)),
                Route("/weights", weights(self.post_weight), methods=["POST"]),
                Route(one_weight, weights(self.one_weight)),
                Route(one_weight + "/blob", weights(self.fetch_weight)),
                flaws_route(self.flaws),
            ]
        )

    def guarded(self, down: str, handler: Handler) -> Handler:
        """Return the handler behind the flaws.

        Args:
            down: Name of the flaw that takes this service away.
            handler: What answers.
        """

        async def handle(request: Request) -> Response:
            if self.flaws.delay_s:
                await anyio.sleep(self.flaws.delay_s)
            if self.flaws.down or getattr(self.flaws, down):
                return Response(status_code=503)
            if not self.within_rate(request):
                return Response(status_code=429, headers={"retry-after": "1"})
            if request.method == "GET":
                return await handler(request)
            response = await handler(request)
            if self.flaws.lose_answers > 0:
                self.flaws.lose_answers -= 1
                return Response(status_code=500)
            return response

        return handle

    def within_rate(self, request: Request) -> bool:
        """Count a request; returns whether it is within the rate limits."""
        now_s = anyio.current_time()
        if request.method == "GET":
            self.reads += 1
            return self.read_limit.take(self.flaws.reads_per_s, now_s)
        self.writes += 1
        return self.write_limit.take(self.flaws.writes_per_s, now_s)

    async def get_row(self, request: Request) -> Response:
        """Answer one row."""
        key = request.path_params["key"]
        row = self.rows.get(key)
        if row is None:
            return Response(status_code=404)
        return reply(RowMessage(key, base64.b64encode(row.value).decode(), row.version))

    async def scan(self, request: Request) -> Response:
        """Answer rows in order."""
        prefix = request.query_params["prefix"]
        after = request.query_params.get("after", "")
        limit = int(request.query_params.get("limit", "1000"))
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        rows = tuple(
            RowMessage(key, base64.b64encode(self.rows[key].value).decode(), self.rows[key].version)
            for key in keys[:limit]
        )
        return reply(RowsMessage(rows))

    async def post_commit(self, request: Request) -> Response:
        """Take a transaction."""
        message = msgspec.json.decode(await request.body(), type=CommitMessage)
        return reply(CommitReply(self.commit(message)))

    async def list_objects(self, request: Request) -> Response:
        """Answer the keys with a prefix."""
        prefix = request.query_params.get("prefix", "")
        return reply(tuple(sorted(key for key in self.objects if key.startswith(prefix))))

    async def one_object(self, request: Request) -> Response:
        """Read, store or remove one object."""
        key = request.path_params["key"]
        if request.method == "PUT":
            self.objects[key] = await request.body()
            return Response()
        if request.method == "DELETE":
            self.objects.pop(key, None)
            return Response()
        body = self.objects.get(key)
        return Response(status_code=404) if body is None else Response(body)

    async def get_vms(self, request: Request) -> Response:
        """Answer the lagging VM list, or one zone's or kind's part of it."""
        zone, kind = request.query_params.get("zone"), request.query_params.get("kind")
        return reply(
            VmsMessage(
                tuple(
                    vm
                    for vm in self.lagging_vms()
                    if zone in (None, vm.zone) and kind in (None, vm.kind.value)
                )
            )
        )

    async def post_vm(self, request: Request) -> Response:
        """Register a VM, as a person who starts parts by hand needs."""
        self.put_vm(msgspec.json.decode(await request.body(), type=VmMessage))
        return Response()

    async def get_limits(self, request: Request) -> Response:
        """Answer the weight store's limit."""
        return reply(LimitMessage(self.flaws.fetch_limit))

    async def one_weight(self, request: Request) -> Response:
        """Answer a weight version's record."""
        service, version = request.path_params["service"], request.path_params["version"]
        size = self.weights.get((service, version))
        if size is None:
            return Response(status_code=404)
        return reply(WeightMessage(service, version, size))

    async def post_weight(self, request: Request) -> Response:
        """Publish a weight version, as a trainer does."""
        weight = msgspec.json.decode(await request.body(), type=WeightMessage)
        self.weights[weight.service, weight.version] = weight.size_bytes
        return Response()

    async def fetch_weight(self, request: Request) -> Response:
        """Let an engine fetch a version, within the limit of concurrent fetches."""
        key = request.path_params["service"], request.path_params["version"]
        if self.flaws.only_known_weights and key not in self.weights:
            return Response(status_code=404)
        if self.fetches >= self.flaws.fetch_limit:
            return Response(status_code=429, headers={"retry-after": "1"})
        self.fetches += 1
        self.most_fetches = max(self.most_fetches, self.fetches)
        try:
            await anyio.sleep(self.flaws.fetch_s)
        finally:
            self.fetches -= 1
        return Response()
