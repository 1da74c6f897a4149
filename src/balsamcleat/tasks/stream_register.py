"""Shares between VMs which software began the streams of callers.

A caller whose stream was interrupted may resume it at any VM, also after the VM that relayed it was
killed. Each VM tells the keepers of a stream of its origin with the first event, without waiting.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import quote, unquote

import anyio
import msgspec
import structlog

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.stream_keepers import KeeperRing
from balsamcleat.decisions.stream_origin import StreamOrigin
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.decoding import decode_json, decode_msgpack
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, Request, Responder, Response, is_success
from balsamcleat.model import ServiceName, TargetId
from balsamcleat.model.replicas import StreamSoftware, TargetStart

__all__ = ["STREAMS_PATH", "StreamRegister"]

STREAMS_PATH = "/streams"
KEEPER_COUNT = 2
# One more than the keepers, as a VM may have come or gone since the stream began.
ASKED_COUNT = 3
# Streams that begin within this time are told to a keeper in one message.
SHARE_DELAY_S = 0.01
SHARE_TIMEOUT_S = 0.5
# A caller that resumes its stream waits at most this long for what the keepers know.
LOOK_UP_TIMEOUT_S = 0.25
RING_LIFETIME_S = 0.5
# Callers resume an interrupted stream within seconds; a stream lasts a minute at most.
STREAM_RETENTION_S = 120.0
MAX_STREAMS = 10_000

log = structlog.get_logger()


class StreamMessage(msgspec.Struct, frozen=True, array_like=True):
    """Origin of a stream as VMs tell each other.

    Attributes:
        stream: Id of the caller's attempt that brought the first event.
        service: Service of the software.
        version: Version of the software.
        target_id: Target that began the stream.
        started_ms: Start of that target, in Unix milliseconds.
        connected_before_s: Time since the connection to the target was opened, in seconds.
        is_confirmed: Whether the start is certain.
    """

    stream: str
    service: str
    version: str
    target_id: str
    started_ms: int
    connected_before_s: float
    is_confirmed: bool


class SoftwareMessage(msgspec.Struct, frozen=True):
    """Software that began a stream, as a keeper answers."""

    service: str
    version: str


@dataclass(frozen=True, slots=True)
class KnownStream:
    """Origin of a stream and the time at which it was recorded, in seconds."""

    origin: StreamOrigin
    recorded_at_s: float


class StreamRegister:
    """Remembers which software began streams, and finds it out from other VMs.

    Args:
        vm: Name of this VM.
        pool: HTTP connections to peers.
        list_live_vms: Returns the rows of the VMs that are considered alive.
        directory: Directory of the targets.
    """

    def __init__(
        self,
        vm: str,
        pool: ConnectionPool,
        list_live_vms: Callable[[], list[VmRow]],
        directory: ReplicaDirectory,
    ) -> None:
        self.vm = vm
        self.pool = pool
        self.list_live_vms = list_live_vms
        self.directory = directory
        self.streams: OrderedDict[str, KnownStream] = OrderedDict()
        self.ring = KeeperRing()
        self.ring_built_at_s = float("-inf")
        # Streams to tell the keepers of, by the keeper's address.
        self.unshared: dict[str, list[str]] = {}
        self.has_unshared = anyio.Event()
        self.silent_keepers: set[str] = set()

    async def run(self) -> None:
        """Tell keepers of the streams that began here, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.has_unshared.wait()
                await anyio.sleep(SHARE_DELAY_S)
                self.has_unshared = anyio.Event()
                batches, self.unshared = self.unshared, {}
                for address, streams in batches.items():
                    tasks.start_soon(self.share, address, streams)

    def record(self, stream: str, origin: StreamOrigin | None) -> None:
        """Record which target began a stream, and queue it for the stream's keepers."""
        if origin is None:
            return
        self.remember(stream, origin)
        for row in self.current_ring().keepers(stream, KEEPER_COUNT):
            if row.vm != self.vm:
                self.unshared.setdefault(row.address, []).append(stream)
                self.has_unshared.set()

    def remember(self, stream: str, origin: StreamOrigin) -> None:
        """Keep a stream's origin, and drop those that are too old or too many."""
        now_s = anyio.current_time()
        self.streams[stream] = KnownStream(origin, now_s)
        self.streams.move_to_end(stream)
        while self.streams:
            oldest = next(iter(self.streams.values()))
            is_recent = now_s - oldest.recorded_at_s < STREAM_RETENTION_S
            if is_recent and len(self.streams) <= MAX_STREAMS:
                return
            self.streams.popitem(last=False)

    def current_ring(self) -> KeeperRing:
        """Return the ring of the live VMs."""
        now_s = anyio.current_time()
        if now_s - self.ring_built_at_s > RING_LIFETIME_S:
            self.ring = KeeperRing.of(self.list_live_vms())
            self.ring_built_at_s = now_s
        return self.ring

    async def share(self, address: str, streams: list[str]) -> None:
        """Tell a keeper of streams."""
        messages = [
            self.message(stream, self.streams[stream].origin)
            for stream in streams
            if stream in self.streams
        ]
        body = msgspec.msgpack.encode(messages)
        request = Request("POST", STREAMS_PATH, (("Host", address),), body)
        try:
            await self.pool.fetch(address, request, SHARE_TIMEOUT_S)
        except AttemptFailedError as error:
            if address not in self.silent_keepers:
                self.silent_keepers.add(address)
                log.warning("streams not shared", peer=address, reason=error.message)
            return
        self.silent_keepers.discard(address)

    def message(self, stream: str, origin: StreamOrigin) -> StreamMessage:
        """Return the message that tells a keeper of a stream."""
        return StreamMessage(
            stream,
            origin.software.service,
            origin.software.version,
            origin.start.target_id,
            origin.start.started_ms,
            min(STREAM_RETENTION_S, anyio.current_time() - origin.connected_at_s),
            self.directory.certain_software(origin) is not None,
        )

    def known_software(self, stream: str) -> StreamSoftware | None:
        """Return the software that began a stream if this VM is certain of it."""
        known = self.streams.get(stream)
        return None if known is None else self.directory.certain_software(known.origin)

    async def look_up(self, stream: str) -> StreamSoftware | None:
        """Return the software that began a stream, or None if no VM that answers knows it."""
        software = self.known_software(stream)
        if software is not None:
            return software
        found: list[StreamSoftware] = []
        with anyio.move_on_after(LOOK_UP_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:

                async def ask_and_stop(row: VmRow) -> None:
                    answer = await self.ask(row, stream)
                    if answer is not None:
                        found.append(answer)
                        tasks.cancel_scope.cancel()

                for row in self.current_ring().keepers(stream, ASKED_COUNT):
                    if row.vm != self.vm:
                        tasks.start_soon(ask_and_stop, row)
        return found[0] if found else None

    async def ask(self, row: VmRow, stream: str) -> StreamSoftware | None:
        """Return what another VM knows of a stream."""
        request = Request(
            "GET", f"{STREAMS_PATH}/{quote(stream, safe='')}", (("Host", row.address),)
        )
        try:
            response = await self.pool.fetch(row.address, request, LOOK_UP_TIMEOUT_S)
            if not is_success(response.status):
                return None
            answer = decode_json(response.body, SoftwareMessage)
        except (AttemptFailedError, msgspec.DecodeError) as error:
            log.info("keeper did not answer", peer=row.vm, stream=stream, reason=str(error))
            return None
        return StreamSoftware(ServiceName(answer.service), answer.version)

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answer another VM's message or question."""
        if request.method == "POST":
            await responder.send(Response(self.keep(request.body)))
            return
        stream = unquote(request.path.removeprefix(f"{STREAMS_PATH}/"))
        software = self.known_software(stream)
        if software is None:
            await responder.send(Response(404))
            return
        answer = SoftwareMessage(software.service, software.version)
        await responder.send(Response(200, (), msgspec.json.encode(answer)))

    def keep(self, body: bytes) -> int:
        """Remember the streams of another VM's message; return the status of the response."""
        try:
            messages = decode_msgpack(body, list[StreamMessage])
        except msgspec.DecodeError as error:
            log.warning("peer's streams unreadable", reason=str(error))
            return 400
        for message in messages:
            self.remember(message.stream, self.origin(message))
        return 200

    def origin(self, message: StreamMessage) -> StreamOrigin:
        """Return the origin in a message, with its time on this VM's clock."""
        return StreamOrigin(
            StreamSoftware(ServiceName(message.service), message.version),
            TargetStart(TargetId(message.target_id), message.started_ms),
            anyio.current_time() - message.connected_before_s,
            message.is_confirmed,
        )
