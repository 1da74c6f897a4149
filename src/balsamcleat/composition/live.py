"""Builds the part of a node that serves live calls."""

from dataclasses import dataclass

from balsamcleat.commands.generate import Generate
from balsamcleat.commands.run_call import RunCall
from balsamcleat.commands.run_once import RunOnce
from balsamcleat.composition.base import NodeFoundation
from balsamcleat.composition.node import PlatformParts
from balsamcleat.composition.peers import PeerParts, alive_vms
from balsamcleat.configuration import OutagePolicy
from balsamcleat.decisions.admission import Admission
from balsamcleat.decisions.quarantine import Quarantine
from balsamcleat.decisions.retry import RetryPolicy
from balsamcleat.decisions.routing import Router
from balsamcleat.model import VmId
from balsamcleat.ports import Clock, Metrics, Randomness
from balsamcleat.tasks.admission_controller import AdmissionController
from balsamcleat.tasks.canceller import Canceller
from balsamcleat.tasks.claim_keeper import ClaimKeeper
from balsamcleat.tasks.claim_writer import CLAIM_HANDLER, FORWARD_TIMEOUT_S, ClaimWriter
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.quarantine_guard import SUSPECT_NOTICE, QuarantineGuard
from balsamcleat.tasks.target_watch import TargetWatch

__all__ = ["LiveParts", "compose_live"]


@dataclass(frozen=True, slots=True)
class LiveParts:
    """Objects that serve live calls.

    Attributes:
        router: Chooses targets.
        watch: Keeps the list of targets up to date.
        generate: Runs generations.
        run_once: Runs calls of plain services.
        claims: Claims of calls with idempotency keys.
        canceller: Cancels abandoned generations at their engines.
    """

    router: Router
    watch: TargetWatch
    generate: Generate
    run_once: RunOnce
    claims: ClaimKeeper
    canceller: Canceller


def compose_live(base: NodeFoundation, peers: PeerParts) -> LiveParts:
    """Build the objects that serve live calls."""
    clock, randomness, metrics = base.clock, base.randomness, base.metrics
    keeper, link, connections = peers.keeper, peers.link, base.connections
    router = Router(base.zone, randomness.generator("router"))
    admission = AdmissionController(Admission(randomness.generator("admission")), clock, metrics)
    watch = TargetWatch(
        keeper,
        peers.vm_list,
        router,
        admission,
        connections,
        link,
        clock,
        randomness.generator("watch"),
        metrics,
    )
    retries = RetryPolicy(base.budget, randomness.generator("retry"))
    canceller = Canceller(connections, metrics)
    quarantine = QuarantineGuard(Quarantine(), router, clock, metrics)
    quarantine.notify_zone = link.broadcast_to_zone
    link.notice_handlers[SUSPECT_NOTICE] = quarantine.handle_notice
    claims = make_claim_keeper(link, base.platform, clock, randomness, metrics)
    generate = Generate(
        admission, router, connections, retries, clock, randomness, metrics, canceller, quarantine
    )
    run_once = RunOnce(
        base.vm_id,
        RunCall(admission, router, connections, retries, clock, metrics, quarantine),
        claims,
        lambda service: outage_policy(keeper, service),
        clock,
        randomness,
        metrics,
    )
    return LiveParts(router, watch, generate, run_once, claims, canceller)


def make_claim_keeper(
    link: PeerLink,
    platform: PlatformParts,
    clock: Clock,
    randomness: Randomness,
    metrics: Metrics,
) -> ClaimKeeper:
    """Build the claims of calls with keys, which one VM of the zone commits for all."""

    def zone_vms() -> tuple[VmId, ...]:
        return alive_vms(link, zone_only=True)

    async def forward(vm_id: VmId, payload: bytes) -> bytes:
        member = link.membership.members[vm_id]
        return await link.forward(member.peer_address, CLAIM_HANDLER, payload, FORWARD_TIMEOUT_S)

    writer = ClaimWriter(link.vm_id, platform.table, clock, randomness, metrics, zone_vms, forward)
    link.request_handlers[CLAIM_HANDLER] = writer.handle_forwarded_write
    return ClaimKeeper(platform.table, platform.objects, writer, clock, randomness, metrics)


def outage_policy(keeper: ConfigurationKeeper, service: str) -> OutagePolicy:
    """Return what calls with keys to a service do while the table is unavailable."""
    configured = keeper.current.body.services.get(service)
    return OutagePolicy.REFUSE if configured is None else configured.outage_policy
