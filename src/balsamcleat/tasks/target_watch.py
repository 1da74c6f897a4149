"""The task that watches targets: the configuration, the VM list, the engines and the peers."""

import random
from dataclasses import replace

import anyio
import structlog
import xxhash

from balsamcleat.configuration import Configuration, ServiceKind
from balsamcleat.decisions.leaving_tracker import LeavingMark
from balsamcleat.decisions.routing import Router
from balsamcleat.errors import AttemptFailedError, PlatformError, ProtocolError
from balsamcleat.model import (
    Member,
    ServiceName,
    TargetId,
    TargetInfo,
    TargetPhase,
    VmId,
    VmKind,
    ZoneName,
)
from balsamcleat.model.peer import Notice
from balsamcleat.ports import Clock, Metrics, VmList
from balsamcleat.tasks.admission_controller import AdmissionController
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper
from balsamcleat.tasks.connections import Connections
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.target_messages import (
    LeavingMessage,
    LoadMessage,
    decode_messages,
    decode_zone_message,
    encode_messages,
    encode_zone_message,
    leaving_mark,
    leaving_message,
    load_message,
    load_report,
    zone_digest,
)

__all__ = ["TargetWatch", "configured_targets"]

# The list is kept in memory by the task that reads it; looking costs little.
LIST_INTERVAL_S = 0.3
LOAD_INTERVAL_S = 0.5
# Engines of the zone whose reports each node hears in a second, at most.
MAX_REPORTS_PER_S = 30.0
STATE_INTERVAL_S = 4.0
EVENT_INTERVAL_S = 1.0
# Engines asked for cache events in one interval; in a large zone they take turns.
EVENT_POLLS = 2
TICK_INTERVAL_S = 0.1
LOADS_NOTICE = "target.loads"
LEAVING_NOTICE = "target.leaving"
ZONE_LEAVING_NOTICE = "target.leaving.zone"
# Nodes of each other zone that are told directly.
ZONE_CONTACTS = 2
# Reports in one notice, to stay inside a datagram.
REPORTS_PER_NOTICE = 24

log = structlog.get_logger()


def configured_targets(
    configuration: Configuration, leaving: frozenset[str] = frozenset()
) -> tuple[TargetInfo, ...]:
    """Return the configuration's targets; those that leave take no new work.

    Args:
        configuration: The configuration in force.
        leaving: Ids known to leave besides those that an operator drains.
    """
    return tuple(
        TargetInfo(
            TargetId(name),
            ServiceName(target.service),
            ZoneName(target.zone),
            target.address,
            TargetPhase.LEAVING if target.draining or name in leaving else TargetPhase.LIVE,
        )
        for name, target in configuration.targets.items()
    )


def assignment_rank(vm_id: VmId, target_id: TargetId) -> int:
    """Return a node's place for asking a target; the highest of the zone does it."""
    return xxhash.xxh3_64_intdigest(f"{vm_id}|{target_id}".encode())


class TargetWatch:
    """Feeds the router, and passes on to the zone what this node learned itself.

    Each engine is asked for its load by one node of the zone, which tells the others, so that
    an engine answers the same few questions however many nodes there are.

    Args:
        keeper: The configuration in force.
        vm_list: The platform's VM list.
        router: The routing decisions.
        gate: Admission, whose limits follow the configuration and the load.
        connections: Connections to targets.
        link: The way to the peers.
        clock: The clock.
        generator: Draws jitter.
        metrics: Where counts go.
    """

    def __init__(
        self,
        keeper: ConfigurationKeeper,
        vm_list: VmList,
        router: Router,
        admission: AdmissionController,
        connections: Connections,
        link: PeerLink,
        clock: Clock,
        generator: random.Random,
        metrics: Metrics,
    ) -> None:
        self.keeper = keeper
        self.vm_list = vm_list
        self.router = router
        self.admission = admission
        self.connections = connections
        self.link = link
        self.clock = clock
        self.generator = generator
        self.metrics = metrics
        self.listed_leaving: frozenset[TargetId] = frozenset()
        self.next_engine_index = 0
        self.notices_to_relay: list[bytes] = []
        self.summary_times_s: dict[ZoneName, float] = {}
        link.make_zone_payload = self.zone_payload
        link.notice_handlers[LOADS_NOTICE] = self.handle_loads
        link.notice_handlers[LEAVING_NOTICE] = self.handle_leaving
        link.notice_handlers[ZONE_LEAVING_NOTICE] = self.handle_zone_leaving

    async def run(self) -> None:
        """Watch until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.follow_configuration)
            group.start_soon(self.poll_vm_list)
            group.start_soon(self.poll_loads)
            group.start_soon(self.poll_states)
            group.start_soon(self.poll_events)
            await self.run_ticks()

    async def follow_configuration(self) -> None:
        """Apply each configuration as it comes into force."""
        while True:
            changed = self.keeper.changed
            body = self.keeper.current.body
            weights = replace(self.router.costs, spill_load=body.limits.spill_load)
            self.router.set_costs(weights)
            self.router.configure(configured_targets(body))
            self.admission.configure(self.keeper.current.body)
            await changed.wait()

    async def run_ticks(self) -> None:
        """Let time pass for the decisions, and spread what they found."""
        while True:
            self.router.tick(self.clock.now_s())
            self.apply_zone_summaries()
            for service in self.router.pools:
                if self.router.is_congested(service):
                    self.admission.record_overload(service)
            while self.notices_to_relay:
                await self.link.broadcast_to_zone(LEAVING_NOTICE, self.notices_to_relay.pop())
            if self.router.new_rejection_marks:
                refusals, self.router.new_rejection_marks = self.router.new_rejection_marks, []
                await self.announce_leaving(tuple(refusals))
            await self.clock.sleep(TICK_INTERVAL_S)

    def zone_payload(self) -> bytes:
        """Return what the own zone tells the others.

        A node reads the VM list of its own zone only, so the others learn from here which of
        this zone's targets leave.
        """
        marks = tuple(
            mark
            for mark in self.router.leaving_tracker.all_marks(self.clock.now_s())
            if self.router.target_state(mark.target_id) is not None
        )
        return encode_zone_message(self.router.local_digests(), marks)

    def apply_zone_summaries(self) -> None:
        """Take what the other zones say of themselves, once for each summary."""
        now_s = self.clock.now_s()
        for zone, held in self.link.membership.zone_view.summary_by_zone.items():
            if zone == self.router.zone or self.summary_times_s.get(zone) == held.made_at_s:
                continue
            self.summary_times_s[zone] = held.made_at_s
            try:
                news = decode_zone_message(held.summary.payload)
            except ProtocolError:
                self.metrics.count("target.digest.refused")
                continue
            age_s = now_s - held.made_at_s
            digests = [zone_digest(one) for one in news.digests]
            self.router.apply_zone_digests(zone, digests, age_s)
            marks = [leaving_mark(one) for one in news.leaving]
            self.router.apply_peer_marks(
                tuple(replace(mark, age_s=mark.age_s + age_s) for mark in marks)
            )

    # Who leaves.

    async def poll_vm_list(self) -> None:
        """Learn which targets leave."""
        while True:
            try:
                records = await self.vm_list.records()
            except PlatformError:
                self.metrics.count("vm_list.read.failed")
            else:
                leaving = frozenset(
                    TargetId(record.vm_id)
                    for record in records
                    if record.leaving and record.kind is VmKind.TARGET
                )
                self.router.apply_vm_list(leaving)
                await self.announce_newly_leaving(leaving)
            await self.clock.sleep(LIST_INTERVAL_S * self.generator.uniform(0.5, 1.5))

    async def announce_newly_leaving(self, leaving: frozenset[TargetId]) -> None:
        """Tell the zone what this reading of the list was the first to show."""
        fresh, self.listed_leaving = leaving - self.listed_leaving, leaving
        if fresh:
            marks = self.router.leaving_tracker.current_own_marks(self.clock.now_s())
            await self.announce_leaving(tuple(mark for mark in marks if mark.target_id in fresh))

    async def announce_leaving(self, marks: tuple[LeavingMark, ...]) -> None:
        """Tell the zone at once that targets leave."""
        for mark in marks:
            self.metrics.count("target.leaving")
            log.info("target leaves", target=mark.target_id, source=mark.source.value)
        await self.link.broadcast_to_zone(
            LEAVING_NOTICE, encode_messages([leaving_message(mark) for mark in marks])
        )
        await self.notify_other_zones([mark for mark in marks if self.is_assigned(mark.target_id)])

    async def notify_other_zones(self, marks: list[LeavingMark]) -> None:
        """Tell a few nodes of each other zone, which tell theirs; summaries make up for losses."""
        if not marks:
            return
        notice = Notice(
            ZONE_LEAVING_NOTICE, encode_messages([leaving_message(mark) for mark in marks])
        )
        zones: dict[ZoneName, list[Member]] = {}
        for member in self.link.membership.alive_peers():
            if member.zone != self.router.zone:
                zones.setdefault(member.zone, []).append(member)
        for members in zones.values():
            for member in self.generator.sample(members, min(ZONE_CONTACTS, len(members))):
                await self.link.peers.send(member.peer_address, self.link.make_message(notice))

    def handle_zone_leaving(self, payload: bytes) -> None:
        """Take another zone's word that targets leave, and pass it on in the own zone."""
        known = self.router.leaving_targets
        self.handle_leaving(payload)
        if self.router.leaving_targets != known:
            self.notices_to_relay.append(payload)

    def handle_leaving(self, payload: bytes) -> None:
        """Take a peer's word that targets leave."""
        try:
            news = decode_messages(payload, LeavingMessage)
        except ProtocolError:
            self.metrics.count("target.news.refused")
            return
        self.router.apply_peer_marks(tuple(leaving_mark(one) for one in news))

    # Loads.

    def zone_engines(self) -> list[TargetInfo]:
        """Return the engines of the own zone."""
        services = self.keeper.current.body.services
        return [
            state.info
            for pool in self.router.pools.values()
            if pool.service in services and services[pool.service].kind is ServiceKind.ENGINE
            for state in pool.states.values()
        ]

    def assigned_engines(self) -> list[TargetInfo]:
        """Return the engines that this node asks on behalf of the zone."""
        return [target for target in self.zone_engines() if self.is_assigned(target.target_id)]

    def is_assigned(self, target_id: TargetId) -> bool:
        """Return whether this node looks after the target on behalf of the zone."""
        own = assignment_rank(self.link.vm_id, target_id)
        return all(
            own >= assignment_rank(member.vm_id, target_id)
            for member in self.link.membership.alive_peers(zone_only=True)
        )

    async def poll_loads(self) -> None:
        """Ask the engines on duty for their load, and tell the zone."""
        while True:
            news: list[LoadMessage] = []
            async with anyio.create_task_group() as group:
                for target in self.assigned_engines():
                    group.start_soon(self.poll_load, target, news)
            for start in range(0, len(news), REPORTS_PER_NOTICE):
                part = news[start : start + REPORTS_PER_NOTICE]
                await self.link.broadcast_to_zone(LOADS_NOTICE, encode_messages(part))
            interval_s = max(LOAD_INTERVAL_S, len(self.zone_engines()) / MAX_REPORTS_PER_S)
            await self.clock.sleep(interval_s * self.generator.uniform(0.5, 1.5))

    async def poll_load(self, target: TargetInfo, news: list[LoadMessage]) -> None:
        """Ask one engine for its load."""
        try:
            load = await self.connections.engine(target).load()
        except AttemptFailedError:
            self.metrics.count("engine.load.failed")
            return
        self.router.record_load_report(target.target_id, load)
        news.append(load_message(target.target_id, load))

    def handle_loads(self, payload: bytes) -> None:
        """Take the reports that a peer of the zone asked for."""
        try:
            news = decode_messages(payload, LoadMessage)
        except ProtocolError:
            self.metrics.count("target.news.refused")
            return
        for one in news:
            self.router.record_load_report(TargetId(one.target_id), load_report(one))

    # Roles, adapters and caches.

    async def poll_states(self) -> None:
        """Ask engines in turn what they have loaded."""
        while True:
            for target in self.next_engines(self.zone_engines()):
                try:
                    engine = await self.connections.engine(target).state()
                except AttemptFailedError:
                    self.metrics.count("engine.state.failed")
                else:
                    self.router.record_engine_state(target.target_id, engine)
            await self.clock.sleep(STATE_INTERVAL_S * self.generator.uniform(0.5, 1.5))

    async def poll_events(self) -> None:
        """Ask engines in turn for cache events."""
        while True:
            for target in self.next_engines(self.zone_engines()):
                after = self.router.prefixes.last_event_number.get(target.target_id, 0)
                try:
                    events = await self.connections.engine(target).cache_events(after)
                except AttemptFailedError:
                    self.metrics.count("engine.cache_events.failed")
                    continue
                for event in events:
                    self.router.record_cache_event(target.target_id, event)
            await self.clock.sleep(EVENT_INTERVAL_S * self.generator.uniform(0.5, 1.5))

    def next_engines(self, engines: list[TargetInfo]) -> list[TargetInfo]:
        """Return the next few engines, so that a large zone costs no more than a small one."""
        if len(engines) <= EVENT_POLLS:
            return engines
        start = self.next_engine_index = (self.next_engine_index + EVENT_POLLS) % len(engines)
        return (engines + engines)[start : start + EVENT_POLLS]
