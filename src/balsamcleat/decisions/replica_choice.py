"""Decide which target of a plain service takes a live request.

Load pattern: few requests on few targets, of which one is slow, dark or just back, while other
VMs place theirs without asking. The cheapest of all is taken; ties are broken at random so that
VMs with the same picture don't all take the same one.
"""

import random
from collections.abc import Collection, Sequence

from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.model import TargetId, ZoneName
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import ServiceShare

__all__ = ["choose_replica", "choose_service"]

# What another availability zone costs, as a share of a target that is full.
OTHER_ZONE_COST = 0.4
SLOW_START_COST = 0.5
AVOIDED_COST = 10.0
TIE_COST = 0.05
# Worth of finding the prompt at hand, as a share of a target that is full.
PROMPT_BONUS = 0.5


def choose_service(shares: Sequence[ServiceShare], draw: float) -> ServiceShare | None:
    """Return the service that a draw in [0, 1) falls on, or None where a route has none."""
    total = sum(share.weight for share in shares)
    if total <= 0.0:
        return None
    point = draw * total
    for share in shares:
        point -= share.weight
        if point < 0.0:
            return share
    return shares[-1]


def choose_replica(
    replicas: Sequence[Replica],
    stats_registry: ReplicaStatsRegistry,
    *,
    zone: ZoneName,
    excluded: Collection[TargetId],
    now_s: float,
    generator: random.Random,
    prompt_ids: Collection[str] = (),
) -> Replica | None:
    """Return the target with the least held against it, or None where all were tried."""
    best: Replica | None = None
    best_cost = float("inf")
    for replica in replicas:
        if replica.target_id in excluded:
            continue
        cost = replica_cost(replica, stats_registry, zone, now_s) + generator.random() * TIE_COST
        if any(
            part in stats_registry.for_target(replica.target_id).recent_prompts
            for part in prompt_ids
        ):
            cost -= PROMPT_BONUS
        if cost < best_cost:
            best, best_cost = replica, cost
    return best


def replica_cost(
    replica: Replica, stats_registry: ReplicaStatsRegistry, zone: ZoneName, now_s: float
) -> float:
    """Return what is held against a target, in shares of a full one."""
    evidence = stats_registry.for_target(replica.target_id)
    cost = evidence.load(now_s) / replica.slots
    if replica.zone != zone:
        cost += OTHER_ZONE_COST
    if replica.slow_start_s > 0.0:
        cost += SLOW_START_COST
    if evidence.is_avoided(now_s):
        cost += AVOIDED_COST
    return cost
