"""Builds the part of a node that communicates with its peers."""

from dataclasses import dataclass
from pathlib import Path

from balsamcleat.adapters.http_platform import (
    HttpVmList,
    PlatformHttp,
)
from balsamcleat.adapters.key_ring import KeyRing
from balsamcleat.adapters.peer_seal import HmacSeal, NoSeal, Seal
from balsamcleat.adapters.socket_peers import SocketPeers
from balsamcleat.composition.base import NodeFoundation
from balsamcleat.decisions.membership import Membership
from balsamcleat.decisions.shared_list import VmListCache
from balsamcleat.errors import InvalidInputError
from balsamcleat.model import VmId
from balsamcleat.ports import Clock
from balsamcleat.settings import Settings
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.shared_vm_list import VMS_CHANGED_NOTICE, SharedVmList

__all__ = ["PeerParts", "alive_vms", "compose_peers"]


@dataclass(frozen=True, slots=True)
class PeerParts:
    """Objects that communicate with the peers.

    Attributes:
        vm_list: VM list of the platform, which the VMs of the zone read in turns.
        keeper: Configuration in force.
        link: Membership and messages between peers.
        keys: Shared keys of the peers, if messages are sealed.
    """

    vm_list: SharedVmList
    keeper: ConfigurationKeeper
    link: PeerLink
    keys: KeyRing | None


async def compose_peers(base: NodeFoundation) -> PeerParts:
    """Build the objects that communicate with the peers, and bind their sockets."""
    settings, clock, metrics = base.settings, base.clock, base.metrics
    generator = base.randomness.generator
    vm_list = SharedVmList(
        HttpVmList(PlatformHttp(base.client, settings.platform.vm_list_url)),
        base.zone,
        VmListCache(base.zone, generator("vm_list")),
        clock,
        metrics,
    )
    keeper = ConfigurationKeeper(
        base.platform.table, clock, generator("configuration"), metrics, base.platform.objects
    )
    membership = Membership(
        base.vm_id,
        base.zone,
        settings.peer_address,
        int(clock.wall_s() * 1000),
        generator("membership"),
        keeper.digest,
    )
    seal, keys = make_seal(settings, clock)
    sockets = await SocketPeers.bind(settings.peer_address, metrics, seal)
    link = PeerLink(
        base.vm_id,
        base.zone,
        sockets,
        vm_list,
        keeper,
        membership,
        clock,
        generator("peers"),
        metrics,
    )
    vm_list.count_vms = membership.zone_alive_count
    vm_list.broadcast = link.broadcast_to_zone
    link.notice_handlers[VMS_CHANGED_NOTICE] = vm_list.on_notice
    keeper.count_vms = lambda: len(alive_vms(link))
    return PeerParts(vm_list, keeper, link, keys)


def make_seal(settings: Settings, clock: Clock) -> tuple[Seal, KeyRing | None]:
    """Return the seal of peer messages and the keys that it uses, if any.

    Raises:
        InvalidInputError: The settings name no key file, or the file can't be used.
    """
    if settings.security.peer_keys_file is not None:
        keys = KeyRing.from_file(Path(settings.security.peer_keys_file))
        return HmacSeal(keys, clock), keys
    if settings.security.allow_anonymous:
        return NoSeal(), None
    raise InvalidInputError(
        "security.peer_keys_file is missing (or set security.allow_anonymous on loopback)",
        step="settings.check",
    )


def alive_vms(link: PeerLink, *, zone_only: bool = False) -> tuple[VmId, ...]:
    """Return the entry VMs that are alive as far as this node knows, including itself."""
    others = (member.vm_id for member in link.membership.alive_peers(zone_only=zone_only))
    return (link.vm_id, *others)
