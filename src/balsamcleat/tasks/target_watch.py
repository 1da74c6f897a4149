"""Keeps the router up to date from the configuration, the VM list, the engines and the peers."""

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

# Reading the VM list is cheap, because another task keeps the list in memory.
LIST_INTERVAL_S = 0.3
LOAD_INTERVAL_S = 0.5
# Limit of load reports that each VM receives per second from the engines of its zone.
MAX_REPORTS_PER_S = 30.0
STATE_INTERVAL_S = 4.0
EVENT_INTERVAL_S = 1.0
# Number of engines that are polled for cache events in one interval; a larger zone is polled
# round robin.
EVENT_POLLS = 2
TICK_INTERVAL_S = 0.1
LOADS_NOTICE = "target.loads"
LEAVING_NOTICE = "target.leaving"
ZONE_LEAVING_NOTICE = "target.leaving.zone"
# Number of VMs in each other zone that are notified directly.
ZONE_CONTACTS = 2
# Limit of load reports in one notice, so that the notice fits into a datagram.
REPORTS_PER_NOTICE = 24

log = structlog.get_logger()


def configured_targets(
    configuration: Configuration, leaving: frozenset[str] = frozenset()
) -> tuple[TargetInfo, ...]:
    """Return the targets of a configuration; those that are leaving get no new requests.

    Args:
        configuration: Configuration in force.
        leaving: Ids of targets known to be leaving, besides those that the configuration drains.
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
    """Return the rendezvous hash of a VM and a target.

    The VM of the zone with the highest rank is assigned to the target.
    """
    return xxhash.xxh3_64_intdigest(f"{vm_id}|{target_id}".encode())


class TargetWatch:
    """Updates the router, and sends what this VM has learned to the other VMs of the zone.

    One VM of the zone polls each engine for its load and sends the report to the others, so that
    the number of requests to an engine does not grow with the number of VMs.

    Args:
        keeper: Holds the configuration in force.
        vm_list: VM list of the platform.
        router: Chooses targets; receives all updates.
        admission: Admission control, whose limits follow the configuration and the load.
        connections: Creates the clients of targets.
        link: Link to the peers.
        clock: Monotonic clock.
        generator: Random generator for jitter and for the choice of VMs to notify.
        metrics: Receives the counters.
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
        """Run all polling and update loops until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.follow_configuration)
            group.start_soon(self.poll_vm_list)
            group.start_soon(self.poll_loads)
            group.start_soon(self.poll_states)
            group.start_soon(self.poll_events)
            await self.run_ticks()

    async def follow_configuration(self) -> None:
        """Apply each new configuration to the router and to admission control."""
        while True:
            changed = self.keeper.changed
            body = self.keeper.current.body
            costs = replace(self.router.costs, spill_load=body.limits.spill_load)
            self.router.set_costs(costs)
            self.router.configure(configured_targets(body))
            self.admission.configure(self.keeper.current.body)
            await changed.wait()

    async def run_ticks(self) -> None:
        """Advance the router's time, and announce targets that it found to be leaving."""
        while True:
            self.router.tick(self.clock.now_s())
            self.apply_zone_summaries()
            for service in self.router.pools:
                if self.router.is_congested(service):
                    self.admission.record_overload(service)
            while self.notices_to_relay:
                await self.link.broadcast_to_zone(LEAVING_NOTICE, self.notices_to_relay.pop())
            if self.router.new_rejection_marks:
                marks, self.router.new_rejection_marks = self.router.new_rejection_marks, []
                await self.announce_leaving(tuple(marks))
            await self.clock.sleep(TICK_INTERVAL_S)

    def zone_payload(self) -> bytes:
        """Return the summary that this zone sends to the other zones.

        A VM reads the VM list of its own zone only, so VMs of other zones learn from this summary
        which targets of this zone are leaving.
        """
        marks = tuple(
            mark
            for mark in self.router.leaving_tracker.all_marks(self.clock.now_s())
            if self.router.target_state(mark.target_id) is not None
        )
        return encode_zone_message(self.router.local_digests(), marks)

    def apply_zone_summaries(self) -> None:
        """Apply the summaries of the other zones, each summary once."""
        now_s = self.clock.now_s()
        for zone, received in self.link.membership.zone_view.summary_by_zone.items():
            if zone == self.router.zone or self.summary_times_s.get(zone) == received.made_at_s:
                continue
            self.summary_times_s[zone] = received.made_at_s
            try:
                summary = decode_zone_message(received.summary.payload)
            except ProtocolError:
                self.metrics.count("target.digest.refused")
                continue
            age_s = now_s - received.made_at_s
            digests = [zone_digest(message) for message in summary.digests]
            self.router.apply_zone_digests(zone, digests, age_s)
            marks = [leaving_mark(message) for message in summary.leaving]
            self.router.apply_peer_marks(
                tuple(replace(mark, age_s=mark.age_s + age_s) for mark in marks)
            )

    # Leaving targets.

    async def poll_vm_list(self) -> None:
        """Poll the VM list for leaving targets, until cancelled."""
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
        """Announce the targets that were not leaving in the previous reading of the VM list."""
        newly_leaving, self.listed_leaving = leaving - self.listed_leaving, leaving
        if newly_leaving:
            marks = self.router.leaving_tracker.current_own_marks(self.clock.now_s())
            await self.announce_leaving(
                tuple(mark for mark in marks if mark.target_id in newly_leaving)
            )

    async def announce_leaving(self, marks: tuple[LeavingMark, ...]) -> None:
        """Notify the VMs of this zone, and some of the other zones, that targets are leaving."""
        for mark in marks:
            self.metrics.count("target.leaving")
            log.info("target leaves", target=mark.target_id, source=mark.source.value)
        await self.link.broadcast_to_zone(
            LEAVING_NOTICE, encode_messages([leaving_message(mark) for mark in marks])
        )
        await self.notify_other_zones([mark for mark in marks if self.is_assigned(mark.target_id)])

    async def notify_other_zones(self, marks: list[LeavingMark]) -> None:
        """Notify a few VMs of each other zone, which relay the notice in their zone.

        A lost notice is made up for by the next summary of this zone.
        """
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
        """Apply a notice of leaving targets from another zone, and relay it in this zone if new."""
        previously_leaving = self.router.leaving_targets
        self.handle_leaving(payload)
        if self.router.leaving_targets != previously_leaving:
            self.notices_to_relay.append(payload)

    def handle_leaving(self, payload: bytes) -> None:
        """Apply a notice of leaving targets from a peer."""
        try:
            messages = decode_messages(payload, LeavingMessage)
        except ProtocolError:
            self.metrics.count("target.news.refused")
            return
        self.router.apply_peer_marks(tuple(leaving_mark(message) for message in messages))

    # Load reports.

    def zone_engines(self) -> list[TargetInfo]:
        """Return the engines of this VM's zone."""
        services = self.keeper.current.body.services
        return [
            state.info
            for pool in self.router.pools.values()
            if pool.service in services and services[pool.service].kind is ServiceKind.ENGINE
            for state in pool.states.values()
        ]

    def assigned_engines(self) -> list[TargetInfo]:
        """Return the engines that this VM polls on behalf of the zone."""
        return [target for target in self.zone_engines() if self.is_assigned(target.target_id)]

    def is_assigned(self, target_id: TargetId) -> bool:
        """Return whether this VM is assigned to the target on behalf of the zone."""
        own_rank = assignment_rank(self.link.vm_id, target_id)
        return all(
            own_rank >= assignment_rank(member.vm_id, target_id)
            for member in self.link.membership.alive_peers(zone_only=True)
        )

    async def poll_loads(self) -> None:
        """Poll the assigned engines for their load and send the reports to the zone."""
        while True:
            messages: list[LoadMessage] = []
            async with anyio.create_task_group() as group:
                for target in self.assigned_engines():
                    group.start_soon(self.poll_load, target, messages)
            for start in range(0, len(messages), REPORTS_PER_NOTICE):
                batch = messages[start : start + REPORTS_PER_NOTICE]
                await self.link.broadcast_to_zone(LOADS_NOTICE, encode_messages(batch))
            interval_s = max(LOAD_INTERVAL_S, len(self.zone_engines()) / MAX_REPORTS_PER_S)
            await self.clock.sleep(interval_s * self.generator.uniform(0.5, 1.5))

    async def poll_load(self, target: TargetInfo, messages: list[LoadMessage]) -> None:
        """Request the load of one engine, and append the report to the messages."""
        try:
            load = await self.connections.engine(target).load_report()
        except AttemptFailedError:
            self.metrics.count("engine.load.failed")
            return
        self.router.record_load_report(target.target_id, load)
        messages.append(load_message(target.target_id, load))

    def handle_loads(self, payload: bytes) -> None:
        """Apply the load reports that a peer of the zone has requested."""
        try:
            messages = decode_messages(payload, LoadMessage)
        except ProtocolError:
            self.metrics.count("target.news.refused")
            return
        for message in messages:
            self.router.record_load_report(TargetId(message.target_id), load_report(message))

    # Roles, adapters and caches.

    async def poll_states(self) -> None:
        """Poll engines round robin for their role, weights and adapters."""
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
        """Poll engines round robin for cache events."""
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
        """Return the next few engines, so that the polling rate does not grow with the zone."""
        if len(engines) <= EVENT_POLLS:
            return engines
        start = self.next_engine_index = (self.next_engine_index + EVENT_POLLS) % len(engines)
        return (engines + engines)[start : start + EVENT_POLLS]
