"""Query of a VM's status: its configuration, its peers and its targets."""

import msgspec

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.target_watch import TargetWatch

__all__ = ["NodeStatus", "PeerStatus", "StatusQuery", "TargetStatus"]


class PeerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a peer, as known to this VM."""

    vm_id: str
    zone: str
    status: str
    incarnation: int
    configuration: int


class TargetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a target, as known to this VM."""

    target_id: str
    service: str
    zone: str
    phase: str
    in_flight: int


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a VM."""

    vm_id: str
    zone: str
    leaving: bool
    configuration: int
    peers: tuple[PeerStatus, ...]
    targets: tuple[TargetStatus, ...]
    counters: dict[str, int]


class StatusQuery:
    """Collects the status of this VM.

    Args:
        link: Source of the configuration and of the peers' states.
        watch: Source of the targets' states.
        metrics: Source of the counters.
    """

    def __init__(self, link: PeerLink, watch: TargetWatch, metrics: MemoryMetrics) -> None:
        self.link = link
        self.watch = watch
        self.metrics = metrics

    def __call__(self) -> NodeStatus:
        """Return the status of this VM."""
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
