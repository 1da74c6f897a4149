"""Choose the target of a plain service for a live request.

Load pattern: few requests on few targets, of which one is slow, unreachable or just restarted,
while other VMs choose targets without coordination. The target with the lowest cost is chosen;
ties are broken at random, so that VMs with the same information don't all choose the same one.
"""

import random
from collections.abc import Callable, Collection, Sequence

import xxhash

from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.model import ServiceName, TargetId, ZoneName
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import WeightedService

__all__ = ["choose_replica", "choose_service", "order_services", "order_services_by_key"]

# Costs are in shares of a target at full load.
# Cost of a target in another availability zone.
OTHER_ZONE_COST = 0.4
SLOW_START_COST = 0.5
# Cost of a target whose software is being replaced; only counted for streams, which would end
# with its last target.
REPLACED_SOFTWARE_COST = 0.25
AVOIDED_COST = 10.0
TIE_COST = 0.05
# Cost reduction for a target that probably has the prompt cached.
PROMPT_BONUS = 0.5
# Number of values of a 64-bit hash.
HASH_RANGE = 2.0**64


def choose_service(shares: Sequence[WeightedService], draw: float) -> WeightedService | None:
    """Return the service that a number in [0, 1) selects by weight, or None without any weight."""
    total = sum(share.weight for share in shares)
    if total <= 0.0:
        return None
    remaining = draw * total
    for share in shares:
        remaining -= share.weight
        if remaining < 0.0:
            return share
    return shares[-1]


def order_services(
    shares: Sequence[WeightedService], draw: Callable[[], float]
) -> tuple[ServiceName, ...]:
    """Return the services of a route, each drawn by weight among those that are left.

    A request goes to the first one, and to the others only if that one can't take it.

    Args:
        shares: Services of the route, with their weights.
        draw: Returns a random number in [0, 1).

    Returns:
        The services; those without any weight are left out.
    """
    if len(shares) == 1 and shares[0].weight > 0.0:
        return (shares[0].service,)
    remaining = list(shares)
    services = []
    while (share := choose_service(remaining, draw())) is not None:
        remaining.remove(share)
        services.append(share.service)
    return tuple(services)


def order_services_by_key(shares: Sequence[WeightedService], key: str) -> tuple[ServiceName, ...]:
    """Return the services of a route as ``order_services`` does, always alike for the same key."""
    numbers = iter(range(len(shares) + 1))

    def draw() -> float:
        return xxhash.xxh64_intdigest(key.encode(), seed=next(numbers)) / HASH_RANGE

    return order_services(shares, draw)


def choose_replica(
    replicas: Sequence[Replica],
    stats_registry: ReplicaStatsRegistry,
    *,
    zone: ZoneName,
    excluded: Collection[TargetId],
    now_s: float,
    generator: random.Random,
    prompt_ids: Collection[str] = (),
    replaced_versions: Collection[str] = (),
) -> Replica | None:
    """Return the target with the lowest cost, or None if all are excluded."""
    best: Replica | None = None
    best_cost = float("inf")
    for replica in replicas:
        if replica.target_id in excluded:
            continue
        cost = replica_cost(replica, stats_registry, zone, now_s) + generator.random() * TIE_COST
        if any(
            prompt_id in stats_registry.for_replica(replica).recent_prompts
            for prompt_id in prompt_ids
        ):
            cost -= PROMPT_BONUS
        if replica.software_version in replaced_versions:
            cost += REPLACED_SOFTWARE_COST
        if cost < best_cost:
            best, best_cost = replica, cost
    return best


def replica_cost(
    replica: Replica, stats_registry: ReplicaStatsRegistry, zone: ZoneName, now_s: float
) -> float:
    """Return the cost of a target, in shares of a target at full load."""
    stats = stats_registry.for_replica(replica)
    cost = stats.load(now_s) / replica.slots
    if replica.zone != zone:
        cost += OTHER_ZONE_COST
    if replica.slow_start_s > 0.0:
        cost += SLOW_START_COST
    if stats.is_avoided(now_s):
        cost += AVOIDED_COST
    return cost
