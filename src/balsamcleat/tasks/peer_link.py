"""Communication with peer VMs: membership, configurations, notices and forwarded requests."""

import random
from collections.abc import Awaitable, Callable

import anyio
import structlog

from balsamcleat.decisions.membership import Membership, OutgoingDatagram
from balsamcleat.errors import AttemptFailedError, BalsamcleatError, PlatformError
from balsamcleat.model import ConfigurationVersion, MemberStatus, VmId, ZoneName
from balsamcleat.model.peer import (
    ConfigurationBodies,
    ConfigurationDigest,
    ConfigurationRequest,
    ForwardReply,
    ForwardRequest,
    Heartbeat,
    HeartbeatAck,
    Notice,
    PeerBody,
    PeerMessage,
    SyncReply,
    SyncRequest,
)
from balsamcleat.ports import Clock, Metrics, PeerTransport, VmList
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper

__all__ = ["ForwardHandler", "NoticeHandler", "PeerLink"]

TICK_INTERVAL_S = 0.1
SUMMARY_INTERVAL_S = 1.0
VM_LIST_INTERVAL_S = 2.0
SYNC_INTERVAL_S = 30.0
FIRST_SYNC_INTERVAL_S = 0.5
REQUEST_TIMEOUT_S = 5.0

ForwardHandler = Callable[[bytes], Awaitable[bytes]]
NoticeHandler = Callable[[bytes], None]

log = structlog.get_logger()


class PeerLink:
    """Runs the membership protocol and dispatches the messages of peers.

    Other components register handlers by message kind: ``request_handlers`` answer forwarded
    requests, ``notice_handlers`` receive notices that a VM broadcasts to its zone.
    ``make_zone_payload`` returns the payload of the own zone's summary for other zones.

    Args:
        vm_id: Identifier of this VM.
        zone: Availability zone of this VM.
        peers: Sockets for datagrams and requests between VMs.
        vm_list: VM list of the platform.
        keeper: Keeper of the configuration in force.
        membership: State machine of the membership protocol.
        clock: Clock for the protocol's intervals.
        generator: Draws jitter and the peers for synchronization.
        metrics: Receives the counters.
    """

    def __init__(
        self,
        vm_id: VmId,
        zone: ZoneName,
        peers: PeerTransport,
        vm_list: VmList,
        keeper: ConfigurationKeeper,
        membership: Membership,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
    ) -> None:
        self.vm_id = vm_id
        self.zone = zone
        self.peers = peers
        self.vm_list = vm_list
        self.keeper = keeper
        self.membership = membership
        self.clock = clock
        self.generator = generator
        self.metrics = metrics
        self.sequence = 0
        self.request_handlers: dict[str, ForwardHandler] = {}
        self.notice_handlers: dict[str, NoticeHandler] = {}
        self.make_zone_payload: Callable[[], bytes] = bytes
        self.is_fetching = False

    @property
    def is_leaving(self) -> bool:
        """Whether this VM has announced to its peers that it is leaving."""
        return self.membership.self_member.status is MemberStatus.LEAVING

    def make_message(self, body: PeerBody) -> PeerMessage:
        """Return a message of this VM with the next sequence number."""
        self.sequence += 1
        return PeerMessage(self.vm_id, self.membership.self_member.incarnation, self.sequence, body)

    async def run(self) -> None:
        """Exchange messages with peers until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.peers.run, self.on_datagram, self.on_request)
            group.start_soon(self.poll_vm_list)
            group.start_soon(self.run_sync)
            group.start_soon(self.announce_configurations)
            await self.run_membership()

    async def leave(self) -> None:
        """Announce to the peers that this VM is leaving."""
        await self.send(self.membership.leave())
        log.info("leaving", vm=self.vm_id)

    async def broadcast_to_zone(self, kind: str, payload: bytes) -> None:
        """Send a notice to every peer of the own zone; a lost datagram is not sent again."""
        for member in self.membership.alive_peers(zone_only=True):
            notice = self.make_message(Notice(kind, payload))
            await self.peers.send(member.peer_address, notice)

    async def send(self, outgoing: tuple[OutgoingDatagram, ...]) -> None:
        """Send the messages that the membership protocol returned."""
        for item in outgoing:
            await self.peers.send(item.address, self.make_message(item.body))

    # Background tasks.

    async def run_membership(self) -> None:
        """Advance the membership protocol at fixed intervals."""
        next_summary_s = 0.0
        while True:
            now_s = self.clock.now_s()
            self.membership.zone_view.now_s = now_s
            # Counting the zone's live VMs visits every listed peer, so it is not done at each tick.
            if now_s >= next_summary_s:
                next_summary_s = now_s + SUMMARY_INTERVAL_S
                alive = self.membership.zone_alive_count()
                self.membership.zone_view.set_own_summary(alive, self.make_zone_payload(), now_s)
            await self.send(self.membership.tick(now_s))
            await self.clock.sleep(TICK_INTERVAL_S)

    async def poll_vm_list(self) -> None:
        """Read the VM list at jittered intervals to discover peers."""
        while True:
            try:
                self.membership.apply_vm_list(await self.vm_list.records(), self.clock.now_s())
            except PlatformError:
                self.metrics.count("vm_list.read.failed")
            await self.clock.sleep(VM_LIST_INTERVAL_S * self.generator.uniform(0.5, 1.5))

    async def run_sync(self) -> None:
        """Exchange full membership views with a peer, soon after the start and then rarely."""
        interval_s = FIRST_SYNC_INTERVAL_S
        while True:
            await self.clock.sleep(interval_s * self.generator.uniform(0.5, 1.5))
            alive = [
                m for m in self.membership.alive_peers() if self.membership.is_in_probe_group(m)
            ]
            if not alive:
                continue
            interval_s = SYNC_INTERVAL_S
            address = self.generator.choice(alive).peer_address
            request = self.make_message(SyncRequest(self.membership.full_view()))
            try:
                reply = await self.peers.request(address, request, REQUEST_TIMEOUT_S)
            except AttemptFailedError:
                self.metrics.count("peer.sync.failed")
                continue
            if isinstance(reply.body, SyncReply):
                self.membership.merge_sync(reply.body, self.clock.now_s())

    async def announce_configurations(self) -> None:
        """Announce a newer configuration to some peers as soon as it is in force on this VM."""
        while True:
            await self.keeper.changed.wait()
            await self.send(self.membership.announce_configuration())

    # Incoming messages.

    async def on_datagram(self, message: PeerMessage, address: str) -> None:
        """Handle a datagram of a peer."""
        body = message.body
        if isinstance(body, Notice):
            handler = self.notice_handlers.get(body.kind)
            if handler is not None:
                handler(body.payload)
            return
        await self.send(self.membership.handle_message(message, address, self.clock.now_s()))
        if isinstance(body, Heartbeat | HeartbeatAck):
            await self.fetch_if_behind(address, body.configuration)

    async def fetch_if_behind(self, address: str, digest: ConfigurationDigest) -> None:
        """Fetch newer configurations from a peer unless a fetch is already in progress."""
        if self.is_fetching or not self.keeper.adoption.is_behind(digest.version):
            return
        self.is_fetching = True
        try:
            await self.fetch_configurations(address)
        finally:
            self.is_fetching = False

    async def fetch_configurations(self, address: str) -> None:
        """Fetch the configurations after the current one from a peer and adopt them if valid."""
        request = ConfigurationRequest(ConfigurationVersion(self.keeper.current.version))
        try:
            reply = await self.peers.request(address, self.make_message(request), REQUEST_TIMEOUT_S)
        except AttemptFailedError:
            self.metrics.count("configuration.ask.failed")
            return
        if isinstance(reply.body, ConfigurationBodies):
            for body in reply.body.bodies:
                self.keeper.offer_body(body, f"peer {reply.sender}")

    async def on_request(self, message: PeerMessage) -> PeerMessage:
        """Return the answer to a peer's request."""
        match message.body:
            case SyncRequest() as ask:
                self.membership.merge_sync(ask, self.clock.now_s())
                return self.make_message(SyncReply(self.membership.full_view()))
            case ConfigurationRequest(after=after):
                return self.make_message(ConfigurationBodies(self.keeper.bodies_after(after)))
            case ForwardRequest(kind=kind, payload=payload):
                return self.make_message(await self.handle_forwarded(kind, payload))
        return self.make_message(ForwardReply(b"", "this message is not a request"))

    async def handle_forwarded(self, kind: str, payload: bytes) -> ForwardReply:
        """Run the handler of a forwarded request and return its reply."""
        handler = self.request_handlers.get(kind)
        if handler is None:
            return ForwardReply(b"", f"no handler for {kind}")
        try:
            return ForwardReply(await handler(payload))
        except BalsamcleatError as error:
            return ForwardReply(b"", str(error))

    async def forward(self, address: str, kind: str, payload: bytes, timeout_s: float) -> bytes:
        """Forward a request to a peer and return the payload of the reply.

        Raises:
            AttemptFailedError: The peer did not answer, or its handler failed.
        """
        request = self.make_message(ForwardRequest(kind, payload))
        reply = await self.peers.request(address, request, timeout_s)
        if not isinstance(reply.body, ForwardReply) or reply.body.error:
            problem = (
                reply.body.error if isinstance(reply.body, ForwardReply) else "unexpected reply"
            )
            raise AttemptFailedError(problem, step=kind, peer=address, perhaps_sent=True)
        return reply.body.payload
