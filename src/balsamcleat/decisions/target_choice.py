"""Choose the target of this availability zone with the lowest cost for a request."""

import random

import xxhash

from balsamcleat.decisions.ejection import HealthPhase
from balsamcleat.decisions.pools import Pool
from balsamcleat.decisions.prefixes import PrefixIndex
from balsamcleat.decisions.route_query import RouteQuery, RouterCosts
from balsamcleat.decisions.target_load import TargetState
from balsamcleat.model import TargetId

__all__ = ["TargetSelector"]

# Number of targets on the hash ring that are candidates for a prefix without known holders.
RING_TARGETS = 1
# Maximum number of probable holders compared for one request, so that routing a hot prefix costs
# no more than routing another one.
MAX_HOLDERS_CONSIDERED = 4
ROUND_ROBIN_CANDIDATES = 2
SEED_MASK = (1 << 64) - 1

# A candidate target with its additional cost in seconds.
Candidate = tuple[float, TargetState]


def rendezvous_hash(target_id: TargetId, digest: int) -> int:
    """Return the rendezvous hash of a target for a prefix, which is the same on every VM."""
    return xxhash.xxh3_64_intdigest(target_id.encode(), digest & SEED_MASK)


class TargetSelector:
    """Compares a few candidate targets and selects the one with the lowest cost.

    Args:
        prefixes: Index of the prefixes that engines probably hold.
        generator: Random number generator for the choice of candidates.
        costs: Costs that a target is ranked by.
    """

    def __init__(self, prefixes: PrefixIndex, generator: random.Random, costs: RouterCosts) -> None:
        self.prefixes = prefixes
        self.generator = generator
        self.costs = costs

    def cheapest(self, pool: Pool, query: RouteQuery) -> TargetState | None:
        """Return the candidate of this zone with the lowest cost, or None."""
        digests = query.prefix_digests
        best, best_cost = None, float("inf")
        block_s = self.costs.uncached_block_s + self.costs.busy_uncached_block_s * pool.saturation()
        for extra_cost, state in self.candidates(pool, query):
            cost = self.load_cost(pool, state) + extra_cost
            # Uncached blocks only add to the cost, so a candidate that is already more expensive
            # than the best one needs no look-up.
            if digests and cost < best_cost:
                cached_blocks = self.prefixes.matched_blocks(state.info.target_id, digests)
                cost += (len(digests) - cached_blocks) * block_s * state.churn_ratio
            if cost < best_cost:
                best, best_cost = state, cost
        return best

    def candidates(self, pool: Pool, query: RouteQuery) -> list[Candidate]:
        """Return the few candidate targets, each with its additional cost in seconds."""
        available = pool.available
        if query.adapter is not None:
            available = pool.by_adapter.get(query.adapter) or available
        if query.exclude:
            available = [state for state in available if state.info.target_id not in query.exclude]
        if len(available) < ROUND_ROBIN_CANDIDATES:
            return [(0.0, state) for state in available]
        if not query.prefix_digests:
            return self.round_robin_candidates(pool, available)
        from_prefix = self.prefix_candidates(pool, query)
        return (
            from_prefix + self.round_robin_candidates(pool, available)
            if from_prefix
            else self.round_robin_candidates(pool, available)
        )

    def prefix_candidates(self, pool: Pool, query: RouteQuery) -> list[Candidate]:
        """Return the candidates for the prompt's prefix, the best first.

        A prompt with an unknown first block has none and is routed in round-robin order, as its
        target on the ring has nothing cached. All VMs rank the holders in the same order, so that
        a prefix stays on few engines and surplus copies age out.
        """
        digests = query.prefix_digests
        if not self.prefixes.is_known(digests[0]):
            return []
        holders = self.prefixes.longest_match_holders(digests)
        ranked_holders = sorted(holders, key=lambda target: rendezvous_hash(target, digests[0]))[
            :MAX_HOLDERS_CONSIDERED
        ]
        candidates: list[Candidate] = []
        for target_id in ranked_holders or pool.ring.nearest_targets(digests[0], RING_TARGETS):
            state = pool.states.get(target_id)
            if state is not None and self.can_take(pool, state, query):
                candidates.append((len(candidates) * self.costs.holder_rank_s, state))
        return candidates

    def round_robin_candidates(self, pool: Pool, available: list[TargetState]) -> list[Candidate]:
        """Return the next target in round-robin order and another one, chosen at random.

        Round robin spreads requests more evenly than random choice while loads are similar.
        """
        size = len(available)
        pool.round_robin_index = first = (pool.round_robin_index + 1) % size
        second = int(self.generator.random() * (size - 1))
        if second >= first:
            second += 1
        # Small load differences between outdated reports are noise, so the cost of the random
        # candidate lets the round-robin candidate win then.
        return [(0.0, available[first]), (self.costs.out_of_turn_s, available[second])]

    def can_take(self, pool: Pool, state: TargetState, query: RouteQuery) -> bool:
        """Return whether a candidate for a prefix may be chosen."""
        return (
            state.health.phase is HealthPhase.HEALTHY
            and state.info.target_id not in pool.leaving_targets
            and state.info.target_id not in query.exclude
            and (query.adapter is None or state.adapters is None or query.adapter in state.adapters)
        )

    def load_cost(self, pool: Pool, state: TargetState) -> float:
        """Return the cost of a target's load, in seconds."""
        capacity = state.capacity * state.slow_start_share
        load = state.estimated_load()
        cost = self.costs.full_load_s * load / capacity
        excess = load + 1.0 - capacity
        if excess > 0.0:
            cost += excess * pool.service_time_s / capacity
        return cost
