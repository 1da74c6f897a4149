"""Builds the part of a node that generates samples and orders weight loads."""

from balsamcleat.adapters.http_platform import (
    HttpWeightStore,
    PlatformHttp,
)
from balsamcleat.composition.base import NodeFoundation
from balsamcleat.composition.live import LiveParts
from balsamcleat.composition.peers import PeerParts, alive_vms
from balsamcleat.decisions.stragglers import LengthEstimator
from balsamcleat.tasks.fair_share_limiter import FairShareLimiter
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.rollouts import Rollouts
from balsamcleat.tasks.sample_generator import SampleGenerator
from balsamcleat.tasks.step_owner import OwnerDependencies
from balsamcleat.tasks.step_store import StepStore
from balsamcleat.tasks.weight_orders import WeightLoadController

__all__ = ["compose_leases", "compose_rollouts", "compose_weight_orders"]


def compose_rollouts(base: NodeFoundation, peers: PeerParts, live: LiveParts) -> Rollouts:
    """Build the objects that run the steps of trainers."""
    clock, randomness, metrics = base.clock, base.randomness, base.metrics
    limiter = FairShareLimiter(metrics)
    sample_generator = SampleGenerator(
        live.generate,
        live.router,
        base.connections,
        limiter,
        LengthEstimator(),
        clock,
        randomness.generator("samples"),
        metrics,
    )
    store = StepStore(base.vm_id, base.platform.table, base.platform.objects, randomness)
    return Rollouts(
        base.vm_id,
        peers.keeper,
        peers.link,
        OwnerDependencies(sample_generator, store, limiter, clock, metrics),
        randomness.generator("rollouts"),
    )


def compose_leases(base: NodeFoundation, peers: PeerParts) -> LeaseKeeper:
    """Build the leases that this node acquires."""
    leases = LeaseKeeper(
        base.vm_id,
        base.platform.table,
        base.clock,
        base.randomness,
        base.metrics,
        base.platform.audit,
        lambda: alive_vms(peers.link),
    )
    leases.list_zone_candidates = lambda: alive_vms(peers.link, zone_only=True)
    return leases


def compose_weight_orders(
    base: NodeFoundation, peers: PeerParts, leases: LeaseKeeper
) -> WeightLoadController:
    """Build the controller of weight loads."""
    return WeightLoadController(
        peers.keeper,
        leases,
        base.platform.table,
        HttpWeightStore(PlatformHttp(base.client, base.settings.platform.weights_url)),
        base.connections,
        base.clock,
        base.metrics,
        base.zone,
        base.platform.audit,
    )
