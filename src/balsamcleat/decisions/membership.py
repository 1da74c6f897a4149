"""Decide which peers are alive: probes, suspicion before death, refutation, zone summaries."""

import math
import random
from collections.abc import Callable
from dataclasses import replace

from balsamcleat.decisions.gossip import GossipQueue, ZoneView
from balsamcleat.decisions.membership_types import (
    MembershipTiming,
    OutgoingDatagram,
    Probe,
    Suspicion,
    supersedes,
)
from balsamcleat.model import Member, MemberStatus, VmId, VmKind, VmRecord, ZoneName
from balsamcleat.model.peer import (
    ConfigurationDigest,
    Heartbeat,
    HeartbeatAck,
    IndirectProbe,
    PeerMessage,
    SyncAsk,
    SyncReply,
)

__all__ = ["Membership", "MembershipTiming", "OutgoingDatagram"]


# Up to this many listed entry VMs, all are followed in detail; beyond, only the own zone.
FULL_MESH_LIMIT = 64
# Peers asked to probe in our place.
INDIRECT_PROBES = 3
MAX_GOSSIP_MEMBERS = 6
# Peers told at once when a newer configuration is in force here.
CONFIGURATION_FANOUT = 4


class Membership:
    """Keeps the peers with their health.

    The detail group (the own zone, or everybody while there are few) is probed; beyond it only
    the platform's list and zone summaries are kept.

    Args:
        vm_id: This VM.
        zone: Its availability zone.
        address: Its peer address.
        incarnation: Grows with each start of this VM's process.
        generator: Draws whom to probe and what to tell.
        configuration: Returns the configuration that this node has in force.
        timing: The rhythm.
    """

    def __init__(
        self,
        vm_id: VmId,
        zone: ZoneName,
        address: str,
        incarnation: int,
        generator: random.Random,
        configuration: Callable[[], ConfigurationDigest],
        timing: MembershipTiming | None = None,
    ) -> None:
        self.vm_id = vm_id
        self.zone = zone
        self.generator = generator
        self.configuration = configuration
        self.timing = timing or MembershipTiming()
        self.self_member = Member(vm_id, zone, address, incarnation, MemberStatus.ALIVE)
        self.members: dict[VmId, Member] = {}
        self.gossip_queue = GossipQueue()
        self.zone_view = ZoneView(zone)
        self.pending_probes: dict[int, Probe] = {}
        self.last_probe_number = 0
        self.probe_round: list[VmId] = []
        self.suspicions: dict[VmId, Suspicion] = {}
        self.dead_since_s: dict[VmId, float] = {}
        self.listed_vm_ids: frozenset[VmId] = frozenset()
        self.next_probe_s = 0.0
        self.next_remote_s = 0.0
        self.next_dead_s = 0.0
        self.last_tick_s: float | None = None

    # What is known.

    def is_in_probe_group(self, member: Member) -> bool:
        """Return whether the member belongs to the detail group."""
        return member.zone == self.zone or len(self.members) < FULL_MESH_LIMIT

    def alive_peers(self, *, zone_only: bool = False) -> list[Member]:
        """Return the peers believed alive, this VM not included."""
        return [
            member
            for member in self.members.values()
            if member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
            and (not zone_only or member.zone == self.zone)
        ]

    def zone_alive_count(self) -> int:
        """Return how many entry VMs of the own zone are alive, this one included."""
        return 1 + len(self.alive_peers(zone_only=True))

    def self_entry(self) -> Member:
        """Return this VM as peers should see it."""
        return replace(self.self_member, configuration=self.configuration().version)

    # Changes from outside.

    def apply_vm_list(self, records: tuple[VmRecord, ...], now_s: float) -> None:
        """Learn of new, leaving and vanished peers from the VM list."""
        entries = [
            record
            for record in records
            if record.kind is VmKind.ENTRY and record.vm_id != self.vm_id
        ]
        self.listed_vm_ids = frozenset(record.vm_id for record in entries)
        for record in entries:
            known = self.members.get(record.vm_id)
            if known is None:
                status = MemberStatus.LEAVING if record.leaving else MemberStatus.ALIVE
                self.members[record.vm_id] = Member(
                    record.vm_id, record.zone, record.peer_address, 0, status
                )
            elif record.leaving and known.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT):
                self.set_status(known, MemberStatus.LEAVING)
        self.forget_unlisted(now_s)

    def forget_unlisted(self, now_s: float) -> None:
        """Drop peers that are off the list and dead or beyond the detail group."""
        for vm_id, member in list(self.members.items()):
            if vm_id in self.listed_vm_ids:
                continue
            buried_s = self.dead_since_s.get(vm_id)
            expired = buried_s is not None and now_s - buried_s > self.timing.tombstone_s
            if expired or not self.is_in_probe_group(member):
                self.members.pop(vm_id)
                self.dead_since_s.pop(vm_id, None)
                self.suspicions.pop(vm_id, None)

    def leave(self) -> tuple[OutgoingDatagram, ...]:
        """Begin to leave; the group is told at once."""
        self.self_member = replace(self.self_member, status=MemberStatus.LEAVING)
        return tuple(
            self.heartbeat(member)
            for member in self.alive_peers()
            if self.is_in_probe_group(member)
        )

    def announce_configuration(self) -> tuple[OutgoingDatagram, ...]:
        """Tell some peers at once that a newer configuration is in force here."""
        alive = self.alive_peers()
        count = min(CONFIGURATION_FANOUT, len(alive))
        return tuple(self.heartbeat(member) for member in self.generator.sample(alive, count))

    # Time.

    def tick(self, now_s: float) -> tuple[OutgoingDatagram, ...]:
        """Return what is due now."""
        self.compensate_for_pause(now_s)
        self.expire_suspicions(now_s)
        out = self.check_pending_probes(now_s)
        if now_s >= self.next_probe_s:
            self.next_probe_s = now_s + self.jittered(self.timing.probe_interval_s)
            out += self.probe_next(now_s)
        if now_s >= self.next_remote_s:
            self.next_remote_s = now_s + self.jittered(self.timing.remote_interval_s)
            out += self.contact_remote_peer()
        if now_s >= self.next_dead_s:
            self.next_dead_s = now_s + self.jittered(self.timing.dead_interval_s)
            out += self.contact_dead_peer()
        return tuple(out)

    def jittered(self, interval_s: float) -> float:
        """Return the interval with a fifth of jitter, so that nodes don't move in step."""
        return interval_s * self.generator.uniform(0.8, 1.2)

    def compensate_for_pause(self, now_s: float) -> None:
        """After a pause of this process, judge nobody by the time that passed in it."""
        last_s, self.last_tick_s = self.last_tick_s, now_s
        if last_s is None or now_s - last_s < self.timing.pause_s:
            return
        self.pending_probes.clear()
        pause_s = now_s - last_s
        for vm_id, suspicion in self.suspicions.items():
            self.suspicions[vm_id] = replace(suspicion, until_s=suspicion.until_s + pause_s)

    def expire_suspicions(self, now_s: float) -> None:
        """Declare suspects dead that did not refute in time."""
        for vm_id, suspicion in list(self.suspicions.items()):
            if now_s >= suspicion.until_s:
                del self.suspicions[vm_id]
                member = self.members.get(vm_id)
                if member is not None:
                    self.dead_since_s[vm_id] = now_s
                    self.set_status(member, MemberStatus.DEAD)

    def check_pending_probes(self, now_s: float) -> list[OutgoingDatagram]:
        """Try late probes through others, then suspect."""
        out: list[OutgoingDatagram] = []
        for number, probe in list(self.pending_probes.items()):
            waited_s = now_s - probe.sent_at_s
            if probe.relay_for is not None:
                if waited_s > self.timing.probe_interval_s:
                    del self.pending_probes[number]
            elif not probe.is_indirect and waited_s >= self.timing.probe_timeout_s:
                probe.is_indirect = True
                out += self.probe_indirectly(number, probe)
            elif waited_s >= 2 * self.timing.probe_interval_s:
                del self.pending_probes[number]
                self.suspect(probe.vm_id, now_s)
        return out

    def probe_indirectly(self, number: int, probe: Probe) -> list[OutgoingDatagram]:
        """Ask some peers to probe in our place, and probe once more ourselves."""
        helpers = [member for member in self.alive_peers() if member.vm_id != probe.vm_id]
        chosen = self.generator.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        body = IndirectProbe(number, probe.vm_id)
        out = [OutgoingDatagram(member.peer_address, body) for member in chosen]
        member = self.members.get(probe.vm_id)
        if member is not None:
            out.append(self.heartbeat(member, number))
        return out

    def suspect(self, vm_id: VmId, now_s: float) -> None:
        """Suspect a peer that answered no probe."""
        member = self.members.get(vm_id)
        if member is None or member.status not in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            return
        self.suspicions[vm_id] = Suspicion(now_s + self.suspicion_timeout_s(), member.status)
        self.set_status(member, MemberStatus.SUSPECT)

    def suspicion_timeout_s(self) -> float:
        """Return how long a suspect has to refute; news takes the logarithm of the group."""
        group = 1 + sum(1 for member in self.members.values() if self.is_in_probe_group(member))
        return self.timing.suspicion_s * max(1.0, math.log2(group + 1))

    def probe_next(self, now_s: float) -> list[OutgoingDatagram]:
        """Probe the next peer of a shuffled round, suspects first."""
        suspects = [vm_id for vm_id in self.suspicions if vm_id in self.members]
        out = [self.probe(self.members[vm_id], now_s) for vm_id in suspects[:INDIRECT_PROBES]]
        while self.probe_round or self.start_probe_round():
            member = self.members.get(self.probe_round.pop())
            if member is not None and member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
                out.append(self.probe(member, now_s))
                break
        return out

    def start_probe_round(self) -> bool:
        """Shuffle the detail group for the next round; returns False when it is empty."""
        self.probe_round = [
            member.vm_id
            for member in self.members.values()
            if member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)
            and self.is_in_probe_group(member)
        ]
        self.generator.shuffle(self.probe_round)
        return bool(self.probe_round)

    def probe(self, member: Member, now_s: float) -> OutgoingDatagram:
        """Probe a peer and remember to check on the answer."""
        self.last_probe_number += 1
        self.pending_probes[self.last_probe_number] = Probe(member.vm_id, now_s)
        return self.heartbeat(member, self.last_probe_number)

    def contact_remote_peer(self) -> list[OutgoingDatagram]:
        """Send a heartbeat to a peer beyond the detail group, with zone summaries."""
        remote = [
            member
            for member in self.members.values()
            if member.zone != self.zone and member.status is not MemberStatus.DEAD
        ]
        return [self.heartbeat(self.generator.choice(remote))] if remote else []

    def contact_dead_peer(self) -> list[OutgoingDatagram]:
        """Try a dead peer that the platform still lists: a partition may have healed."""
        dead = [
            member
            for member in self.members.values()
            if member.status is MemberStatus.DEAD and member.vm_id in self.listed_vm_ids
        ]
        return [self.heartbeat(self.generator.choice(dead))] if dead else []

    # Messages.

    def gossip_for(self, member: Member) -> tuple[Member, ...]:
        """Return our own entry, what we hold of the receiver if it is bad, and other news."""
        told = [self.self_entry()]
        if member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            told.append(member)
        # Peers beyond the detail group are told of zones, not of their members.
        if self.is_in_probe_group(member):
            told += self.gossip_queue.next_updates(MAX_GOSSIP_MEMBERS, len(self.members))
        return tuple(told)

    def heartbeat(self, member: Member, number: int = 0) -> OutgoingDatagram:
        """Return a heartbeat; number 0 expects no check on the answer."""
        zones = self.zone_view.summaries() if member.zone != self.zone else ()
        body = Heartbeat(number, self.gossip_for(member), self.configuration(), zones)
        return OutgoingDatagram(member.peer_address, body)

    def handle_message(
        self, message: PeerMessage, address: str, now_s: float
    ) -> tuple[OutgoingDatagram, ...]:
        """Take a datagram and return the answers to it."""
        body = message.body
        match body:
            case Heartbeat() | HeartbeatAck():
                self.mark_sender_alive(message, now_s)
                for member in body.members:
                    self.merge_member(member, now_s)
                self.zone_view.merge(body.zones, now_s)
                if isinstance(body, Heartbeat):
                    return (self.heartbeat_ack(message, body, address),)
                return self.handle_ack(body)
            case IndirectProbe(probe=number, target=target):
                self.mark_sender_alive(message, now_s)
                return self.relay_probe(VmId(target), number, address, now_s)
        return ()

    def heartbeat_ack(
        self, message: PeerMessage, body: Heartbeat, address: str
    ) -> OutgoingDatagram:
        """Return the answer to a heartbeat."""
        sender = self.members.get(message.sender)
        remote = sender is None or sender.zone != self.zone
        told = (self.self_entry(),) if sender is None else self.gossip_for(sender)
        if sender is not None and sender.incarnation > message.incarnation:
            # A VM that started again with an earlier clock must outbid its former self.
            told += (sender,)
        zones = self.zone_view.summaries() if remote else ()
        return OutgoingDatagram(
            address, HeartbeatAck(body.probe, told, self.configuration(), zones)
        )

    def handle_ack(self, body: HeartbeatAck) -> tuple[OutgoingDatagram, ...]:
        """Close the probe; pass the answer on when it was made for another peer."""
        probe = self.pending_probes.pop(body.probe, None)
        if probe is None:
            return ()
        if probe.relay_for is None:
            self.clear_suspicion(probe.vm_id)
            return ()
        address, number = probe.relay_for
        members = tuple(member for member in body.members if member.vm_id == probe.vm_id)
        return (OutgoingDatagram(address, HeartbeatAck(number, members, self.configuration())),)

    def relay_probe(
        self, target: VmId, number: int, address: str, now_s: float
    ) -> tuple[OutgoingDatagram, ...]:
        """Probe a peer for another one."""
        member = self.members.get(target)
        if member is None:
            return ()
        self.last_probe_number += 1
        self.pending_probes[self.last_probe_number] = Probe(
            target, now_s, relay_for=(address, number)
        )
        return (self.heartbeat(member, self.last_probe_number),)

    def merge_sync(self, body: SyncAsk | SyncReply, now_s: float) -> None:
        """Take a peer's whole view."""
        for member in body.members:
            self.merge_member(member, now_s)

    def full_view(self) -> tuple[Member, ...]:
        """Return this VM and the detail group."""
        detail = (member for member in self.members.values() if self.is_in_probe_group(member))
        return (self.self_entry(), *detail)

    # What news changes.

    def mark_sender_alive(self, message: PeerMessage, now_s: float) -> None:
        """A datagram came straight from a peer: it is not dead."""
        known = self.members.get(message.sender)
        if known is not None and message.incarnation >= known.incarnation:
            self.clear_suspicion(message.sender)

    def clear_suspicion(self, vm_id: VmId) -> None:
        """Take back our own suspicion of a peer that answered."""
        suspicion = self.suspicions.pop(vm_id, None)
        member = self.members.get(vm_id)
        if suspicion is not None and member is not None:
            self.members[vm_id] = replace(member, status=suspicion.previous_status)

    def merge_member(self, member: Member, now_s: float) -> None:
        """Take news of a member; newer incarnations and worse statuses win."""
        if member.vm_id == self.vm_id:
            self.refute(member)
            return
        known = self.members.get(member.vm_id)
        if known is None or supersedes(member, known):
            self.apply_update(member, now_s)
        elif member.incarnation == known.incarnation:
            configuration = max(member.configuration, known.configuration)
            self.members[member.vm_id] = replace(known, configuration=configuration)

    def apply_update(self, member: Member, now_s: float) -> None:
        """Believe news and pass it on."""
        known = self.members.get(member.vm_id)
        before = MemberStatus.ALIVE if known is None else known.status
        self.members[member.vm_id] = member
        # The first word from a listed peer is no news: the others have it from the list too.
        first_word = known is not None and known.incarnation == 0 and before is member.status
        if self.is_in_probe_group(member) and not first_word:
            self.gossip_queue.add(member)
        self.suspicions.pop(member.vm_id, None)
        self.dead_since_s.pop(member.vm_id, None)
        if member.status is MemberStatus.SUSPECT:
            self.suspicions[member.vm_id] = Suspicion(now_s + self.suspicion_timeout_s(), before)
        if member.status is MemberStatus.DEAD:
            self.dead_since_s[member.vm_id] = now_s

    def refute(self, member: Member) -> None:
        """Contradict bad or outdated news of this VM with a higher incarnation."""
        bad = member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
        if member.incarnation > self.self_member.incarnation or (
            bad and member.incarnation == self.self_member.incarnation
        ):
            self.self_member = replace(self.self_member, incarnation=member.incarnation + 1)
            self.gossip_queue.add(self.self_entry())

    def set_status(self, member: Member, status: MemberStatus) -> None:
        """Change a member's status and pass it on."""
        changed = replace(member, status=status)
        self.members[member.vm_id] = changed
        if self.is_in_probe_group(changed):
            self.gossip_queue.add(changed)
