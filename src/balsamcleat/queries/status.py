"""What a node believes: its configuration, its peers and its targets."""

import msgspec

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.target_watch import TargetWatch

__all__ = ["NodeStatus", "PeerStatus", "StatusQuery", "TargetStatus"]


class PeerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A peer as this node sees it."""

    vm_id: str
    zone: str
    status: str
    incarnation: int
    configuration: int


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """A target as this node sees it."""

    target_id: str
    service: str
    zone: str
    phase: str
    in_flight: int


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Everything a node believes."""

    vm_id: str
    zone: str
    leaving: bool
    configuration: int
    peers: tuple[PeerStatus, ...]
    targets: tuple[TargetStatus, ...]
    counters: dict[str, int]


class StatusQuery:
    """Gathers a node's status.

    Args:
        link: The view of the peers.
        watch: The view of the targets.
        metrics: The counters.
    """

    def __init__(self, link: PeerLink, watch: TargetWatch, metrics: MemoryMetrics) -> None:
        self.link = link
        self.watch = watch
        self.metrics = metrics

    def __call__(self) -> NodeStatus:
        """Return the status."""
        router = self.watch.router
        return NodeStatus(
            vm_id=self.link.vm_id,
            zone=self.link.zone,
            leaving=self.link.is_leaving,
            configuration=self.link.keeper.current.version,
            peers=tuple(
                PeerStatus(
                    vm_id=member.vm_id,
                    zone=member.zone,
                    status=member.status.value,
                    incarnation=member.incarnation,
                    configuration=member.configuration,
                )
                for member in self.link.membership.members.values()
            ),
            targets=tuple(
                TargetStatus(
                    target_id=target.target_id,
                    service=target.service,
                    zone=target.zone,
                    phase=target.phase.value,
                    in_flight=router.own_in_flight(target.target_id),
                )
                for target in router.targets.values()
            ),
            counters=dict(sorted(self.metrics.counters.items())),
        )
