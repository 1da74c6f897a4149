"""Membership protocol: probes, suspicion, refutation and gossip about peers and zones."""

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
    SyncReply,
    SyncRequest,
)

__all__ = ["Membership", "MembershipTiming", "OutgoingDatagram"]


# Up to this many known peers, all are probed; beyond that, only those of the own zone.
FULL_MESH_LIMIT = 64
# Number of peers that are asked to probe a peer that did not answer.
INDIRECT_PROBES = 3
MAX_GOSSIP_MEMBERS = 6
# Number of peers that are notified immediately when this VM applies a newer configuration.
CONFIGURATION_FANOUT = 4


class Membership:
    """Known peers of this VM and their health.

    The probe group (the own zone, or all peers while there are few) is probed; about other peers
    only the platform's VM list and zone summaries are kept.

    Args:
        vm_id: Identifier of this VM.
        zone: Availability zone of this VM.
        address: Peer address of this VM.
        incarnation: Number that increases with each start of this VM's process.
        generator: Random generator that selects peers and jitter.
        configuration: Returns the digest of the configuration that is active on this VM.
        timing: Intervals and timeouts of the protocol.
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

    # Queries.

    def is_in_probe_group(self, member: Member) -> bool:
        """Return whether the member belongs to the probe group."""
        return member.zone == self.zone or len(self.members) < FULL_MESH_LIMIT

    def alive_peers(self, *, zone_only: bool = False) -> list[Member]:
        """Return the peers that are alive or suspected, without this VM."""
        return [
            member
            for member in self.members.values()
            if member.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)
            and (not zone_only or member.zone == self.zone)
        ]

    def zone_alive_count(self) -> int:
        """Return how many entry VMs of the own zone are alive, including this VM."""
        return 1 + len(self.alive_peers(zone_only=True))

    def self_entry(self) -> Member:
        """Return the member entry of this VM that is sent to peers."""
        return replace(self.self_member, configuration=self.configuration().version)

    # External events.

    def apply_vm_list(self, records: tuple[VmRecord, ...], now_s: float) -> None:
        """Add new peers, mark leaving peers and drop removed peers according to the VM list."""
        entry_records = [
            record
            for record in records
            if record.kind is VmKind.ENTRY and record.vm_id != self.vm_id
        ]
        self.listed_vm_ids = frozenset(record.vm_id for record in entry_records)
        for record in entry_records:
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
        """Drop unlisted peers that have been dead for a while or are not in the probe group."""
        for vm_id, member in list(self.members.items()):
            if vm_id in self.listed_vm_ids:
                continue
            dead_s = self.dead_since_s.get(vm_id)
            is_expired = dead_s is not None and now_s - dead_s > self.timing.tombstone_s
            if is_expired or not self.is_in_probe_group(member):
                self.members.pop(vm_id)
                self.dead_since_s.pop(vm_id, None)
                self.suspicions.pop(vm_id, None)

    def leave(self) -> tuple[OutgoingDatagram, ...]:
        """Mark this VM as leaving; return the messages that notify the probe group."""
        self.self_member = replace(self.self_member, status=MemberStatus.LEAVING)
        return tuple(
            self.heartbeat(member)
            for member in self.alive_peers()
            if self.is_in_probe_group(member)
        )

    def announce_configuration(self) -> tuple[OutgoingDatagram, ...]:
        """Return messages that notify some peers of a newer active configuration."""
        peers = self.alive_peers()
        count = min(CONFIGURATION_FANOUT, len(peers))
        return tuple(self.heartbeat(member) for member in self.generator.sample(peers, count))

    # Timers.

    def tick(self, now_s: float) -> tuple[OutgoingDatagram, ...]:
        """Run the timers and return the datagrams to send now."""
        self.compensate_for_pause(now_s)
        self.expire_suspicions(now_s)
        outgoing = self.check_pending_probes(now_s)
        if now_s >= self.next_probe_s:
            self.next_probe_s = now_s + self.jittered(self.timing.probe_interval_s)
            outgoing += self.probe_next(now_s)
        if now_s >= self.next_remote_s:
            self.next_remote_s = now_s + self.jittered(self.timing.remote_interval_s)
            outgoing += self.contact_remote_peer()
        if now_s >= self.next_dead_s:
            self.next_dead_s = now_s + self.jittered(self.timing.dead_interval_s)
            outgoing += self.contact_dead_peer()
        return tuple(outgoing)

    def jittered(self, interval_s: float) -> float:
        """Return the interval with 20 percent jitter, so that the VMs don't synchronize."""
        return interval_s * self.generator.uniform(0.8, 1.2)

    def compensate_for_pause(self, now_s: float) -> None:
        """Exclude a pause of this process from probe and suspicion timeouts."""
        previous_tick_s, self.last_tick_s = self.last_tick_s, now_s
        if previous_tick_s is None or now_s - previous_tick_s < self.timing.pause_s:
            return
        self.pending_probes.clear()
        pause_s = now_s - previous_tick_s
        for vm_id, suspicion in self.suspicions.items():
            self.suspicions[vm_id] = replace(suspicion, until_s=suspicion.until_s + pause_s)

    def expire_suspicions(self, now_s: float) -> None:
        """Mark suspected peers as dead that did not refute the suspicion in time."""
        for vm_id, suspicion in list(self.suspicions.items()):
            if now_s >= suspicion.until_s:
                del self.suspicions[vm_id]
                member = self.members.get(vm_id)
                if member is not None:
                    self.dead_since_s[vm_id] = now_s
                    self.set_status(member, MemberStatus.DEAD)

    def check_pending_probes(self, now_s: float) -> list[OutgoingDatagram]:
        """Probe through other peers after the probe timeout, then suspect the peer."""
        outgoing: list[OutgoingDatagram] = []
        for number, probe in list(self.pending_probes.items()):
            waited_s = now_s - probe.sent_at_s
            if probe.relay_for is not None:
                if waited_s > self.timing.probe_interval_s:
                    del self.pending_probes[number]
            elif not probe.is_indirect and waited_s >= self.timing.probe_timeout_s:
                probe.is_indirect = True
                outgoing += self.probe_indirectly(number, probe)
            elif waited_s >= 2 * self.timing.probe_interval_s:
                del self.pending_probes[number]
                self.suspect(probe.vm_id, now_s)
        return outgoing

    def probe_indirectly(self, number: int, probe: Probe) -> list[OutgoingDatagram]:
        """Ask some peers to probe the peer, and probe it directly once more."""
        helpers = [member for member in self.alive_peers() if member.vm_id != probe.vm_id]
        selected = self.generator.sample(helpers, min(INDIRECT_PROBES, len(helpers)))
        body = IndirectProbe(number, probe.vm_id)
        outgoing = [OutgoingDatagram(member.peer_address, body) for member in selected]
        member = self.members.get(probe.vm_id)
        if member is not None:
            outgoing.append(self.heartbeat(member, number))
        return outgoing

    def suspect(self, vm_id: VmId, now_s: float) -> None:
        """Mark a peer as suspected that answered no probe."""
        member = self.members.get(vm_id)
        if member is None or member.status not in (MemberStatus.ALIVE, MemberStatus.LEAVING):
            return
        self.suspicions[vm_id] = Suspicion(now_s + self.suspicion_timeout_s(), member.status)
        self.set_status(member, MemberStatus.SUSPECT)

    def suspicion_timeout_s(self) -> float:
        """Return the time to refute; grows with the logarithm of the group, like gossip latency."""
        group_size = 1 + sum(
            1 for member in self.members.values() if self.is_in_probe_group(member)
        )
        return self.timing.suspicion_s * max(1.0, math.log2(group_size + 1))

    def probe_next(self, now_s: float) -> list[OutgoingDatagram]:
        """Probe some suspected peers and the next peer of the shuffled round."""
        suspects = [vm_id for vm_id in self.suspicions if vm_id in self.members]
        outgoing = [self.probe(self.members[vm_id], now_s) for vm_id in suspects[:INDIRECT_PROBES]]
        while self.probe_round or self.start_probe_round():
            member = self.members.get(self.probe_round.pop())
            if member is not None and member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING):
                outgoing.append(self.probe(member, now_s))
                break
        return outgoing

    def start_probe_round(self) -> bool:
        """Shuffle the probe group for the next round; return False if the group is empty."""
        self.probe_round = [
            member.vm_id
            for member in self.members.values()
            if member.status in (MemberStatus.ALIVE, MemberStatus.LEAVING)
            and self.is_in_probe_group(member)
        ]
        self.generator.shuffle(self.probe_round)
        return bool(self.probe_round)

    def probe(self, member: Member, now_s: float) -> OutgoingDatagram:
        """Return a probe of a peer and track it until its ack arrives."""
        self.last_probe_number += 1
        self.pending_probes[self.last_probe_number] = Probe(member.vm_id, now_s)
        return self.heartbeat(member, self.last_probe_number)

    def contact_remote_peer(self) -> list[OutgoingDatagram]:
        """Return a heartbeat with zone summaries to a random peer of another zone."""
        remote_peers = [
            member
            for member in self.members.values()
            if member.zone != self.zone and member.status is not MemberStatus.DEAD
        ]
        return [self.heartbeat(self.generator.choice(remote_peers))] if remote_peers else []

    def contact_dead_peer(self) -> list[OutgoingDatagram]:
        """Return a heartbeat to a dead but listed peer, because a partition may have healed."""
        dead_peers = [
            member
            for member in self.members.values()
            if member.status is MemberStatus.DEAD and member.vm_id in self.listed_vm_ids
        ]
        return [self.heartbeat(self.generator.choice(dead_peers))] if dead_peers else []

    # Messages.

    def gossip_for(self, member: Member) -> tuple[Member, ...]:
        """Return the entries to send to a peer: this VM, the peer if suspect or dead, updates."""
        entries = [self.self_entry()]
        if member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
            entries.append(member)
        # Peers outside the probe group receive zone summaries instead of member updates.
        if self.is_in_probe_group(member):
            entries += self.gossip_queue.next_updates(MAX_GOSSIP_MEMBERS, len(self.members))
        return tuple(entries)

    def heartbeat(self, member: Member, number: int = 0) -> OutgoingDatagram:
        """Return a heartbeat to a peer; with probe number 0 its ack is not tracked."""
        zones = self.zone_view.summaries() if member.zone != self.zone else ()
        body = Heartbeat(number, self.gossip_for(member), self.configuration(), zones)
        return OutgoingDatagram(member.peer_address, body)

    def handle_message(
        self, message: PeerMessage, address: str, now_s: float
    ) -> tuple[OutgoingDatagram, ...]:
        """Process a received datagram and return the datagrams to send in response."""
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
            case IndirectProbe(probe=number, probed_vm_id=probed_vm_id):
                self.mark_sender_alive(message, now_s)
                return self.relay_probe(VmId(probed_vm_id), number, address, now_s)
        return ()

    def heartbeat_ack(
        self, message: PeerMessage, body: Heartbeat, address: str
    ) -> OutgoingDatagram:
        """Return the ack of a heartbeat."""
        sender = self.members.get(message.sender)
        is_remote = sender is None or sender.zone != self.zone
        entries = (self.self_entry(),) if sender is None else self.gossip_for(sender)
        if sender is not None and sender.incarnation > message.incarnation:
            # A VM that restarted with an earlier clock must exceed its previous incarnation.
            entries += (sender,)
        zones = self.zone_view.summaries() if is_remote else ()
        return OutgoingDatagram(
            address, HeartbeatAck(body.probe, entries, self.configuration(), zones)
        )

    def handle_ack(self, body: HeartbeatAck) -> tuple[OutgoingDatagram, ...]:
        """Close the acknowledged probe; forward the ack if the probe was made for another peer."""
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
        self, vm_id: VmId, number: int, address: str, now_s: float
    ) -> tuple[OutgoingDatagram, ...]:
        """Probe a peer on behalf of another peer."""
        member = self.members.get(vm_id)
        if member is None:
            return ()
        self.last_probe_number += 1
        self.pending_probes[self.last_probe_number] = Probe(
            vm_id, now_s, relay_for=(address, number)
        )
        return (self.heartbeat(member, self.last_probe_number),)

    def merge_sync(self, body: SyncRequest | SyncReply, now_s: float) -> None:
        """Merge the full view of a peer."""
        for member in body.members:
            self.merge_member(member, now_s)

    def full_view(self) -> tuple[Member, ...]:
        """Return the member entries of this VM and the probe group."""
        probe_group = (member for member in self.members.values() if self.is_in_probe_group(member))
        return (self.self_entry(), *probe_group)

    # Member updates.

    def mark_sender_alive(self, message: PeerMessage, now_s: float) -> None:
        """Clear the suspicion of the sender, because a direct message proves that it is alive."""
        known = self.members.get(message.sender)
        if known is not None and message.incarnation >= known.incarnation:
            self.clear_suspicion(message.sender)

    def clear_suspicion(self, vm_id: VmId) -> None:
        """Restore the previous status of a suspected peer that answered."""
        suspicion = self.suspicions.pop(vm_id, None)
        member = self.members.get(vm_id)
        if suspicion is not None and member is not None:
            self.members[vm_id] = replace(member, status=suspicion.previous_status)

    def merge_member(self, member: Member, now_s: float) -> None:
        """Merge a member update; higher incarnations, then more severe statuses win."""
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
        """Apply a member update and queue it for gossip."""
        known = self.members.get(member.vm_id)
        previous_status = MemberStatus.ALIVE if known is None else known.status
        self.members[member.vm_id] = member
        # The first message from a listed peer is not gossiped: others know the peer from the list.
        is_first_message = (
            known is not None and known.incarnation == 0 and previous_status is member.status
        )
        if self.is_in_probe_group(member) and not is_first_message:
            self.gossip_queue.add(member)
        self.suspicions.pop(member.vm_id, None)
        self.dead_since_s.pop(member.vm_id, None)
        if member.status is MemberStatus.SUSPECT:
            self.suspicions[member.vm_id] = Suspicion(
                now_s + self.suspicion_timeout_s(), previous_status
            )
        if member.status is MemberStatus.DEAD:
            self.dead_since_s[member.vm_id] = now_s

    def refute(self, member: Member) -> None:
        """Refute a wrong status or outdated entry of this VM with a higher incarnation."""
        is_suspect_or_dead = member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD)
        if member.incarnation > self.self_member.incarnation or (
            is_suspect_or_dead and member.incarnation == self.self_member.incarnation
        ):
            self.self_member = replace(self.self_member, incarnation=member.incarnation + 1)
            self.gossip_queue.add(self.self_entry())

    def set_status(self, member: Member, status: MemberStatus) -> None:
        """Change the status of a member and queue the update for gossip."""
        changed = replace(member, status=status)
        self.members[member.vm_id] = changed
        if self.is_in_probe_group(changed):
            self.gossip_queue.add(changed)
