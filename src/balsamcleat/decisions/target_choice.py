"""Decide which target of the own zone is the cheapest for a request."""

import random

import xxhash

from balsamcleat.decisions.ejection import HealthPhase
from balsamcleat.decisions.pools import Pool
from balsamcleat.decisions.prefixes import PrefixIndex
from balsamcleat.decisions.route_query import RouteQuery, RouterCosts
from balsamcleat.decisions.target_load import TargetState
from balsamcleat.model import TargetId

__all__ = ["TargetSelector"]

# How many targets a prefix is tried at by its place on the ring, before anything is known.
RING_TARGETS = 1
# Believed holders looked at for one request, so that a hot prefix costs no more than others.
MAX_HOLDERS_CONSIDERED = 4
ROUND_ROBIN_CANDIDATES = 2
SEED_MASK = (1 << 64) - 1

# A target to look at, with its handicap in seconds.
Candidate = tuple[float, TargetState]


def rendezvous_hash(target_id: TargetId, digest: int) -> int:
    """Return a target's place in the order of a prefix's holders, the same on every node."""
    return xxhash.xxh3_64_intdigest(target_id.encode(), digest & SEED_MASK)


class TargetSelector:
    """Looks at a few targets and takes the cheapest.

    Args:
        prefixes: Believes which engine holds which prefix.
        generator: Draws candidates.
        weights: What is held against a target.
    """

    def __init__(self, prefixes: PrefixIndex, generator: random.Random, costs: RouterCosts) -> None:
        self.prefixes = prefixes
        self.generator = generator
        self.costs = costs

    def cheapest(self, pool: Pool, query: RouteQuery) -> TargetState | None:
        """Return the cheapest of the candidates in the own zone."""
        digests = query.prefix_digests
        best, best_cost = None, float("inf")
        block_s = self.costs.uncached_block_s + self.costs.busy_uncached_block_s * pool.saturation()
        for handicap, state in self.candidates(pool, query):
            cost = self.load_cost(pool, state) + handicap
            # Without any cached block the cost only grows, so a loser needs no look-up.
            if digests and cost < best_cost:
                held = self.prefixes.matched_blocks(state.info.target_id, digests)
                cost += (len(digests) - held) * block_s * state.churn_ratio
            if cost < best_cost:
                best, best_cost = state, cost
        return best

    def candidates(self, pool: Pool, query: RouteQuery) -> list[Candidate]:
        """Return the few targets to look at, each with its handicap in seconds."""
        live = pool.available
        if query.adapter is not None:
            live = pool.by_adapter.get(query.adapter) or live
        if query.exclude:
            live = [state for state in live if state.info.target_id not in query.exclude]
        if len(live) < ROUND_ROBIN_CANDIDATES:
            return [(0.0, state) for state in live]
        if not query.prefix_digests:
            return self.round_robin_candidates(pool, live)
        named = self.prefix_candidates(pool, query)
        return (
            named + self.round_robin_candidates(pool, live)
            if named
            else self.round_robin_candidates(pool, live)
        )

    def prefix_candidates(self, pool: Pool, query: RouteQuery) -> list[Candidate]:
        """Return the targets that the prompt's prefix names, the best first.

        A prompt that begins like none before goes by turns, as nothing is gained by its home.
        All nodes put the holders into the same order, so that a prefix is kept by few engines
        and surplus copies age out.
        """
        digests = query.prefix_digests
        if not self.prefixes.is_known(digests[0]):
            return []
        holders = self.prefixes.longest_match_holders(digests)
        order = sorted(holders, key=lambda target: rendezvous_hash(target, digests[0]))[
            :MAX_HOLDERS_CONSIDERED
        ]
        found: list[Candidate] = []
        for target_id in order or pool.ring.nearest_targets(digests[0], RING_TARGETS):
            state = pool.states.get(target_id)
            if state is not None and self.can_take(pool, state, query):
                found.append((len(found) * self.costs.holder_rank_s, state))
        return found

    def round_robin_candidates(self, pool: Pool, live: list[TargetState]) -> list[Candidate]:
        """Return the next target in turn and another one, drawn evenly.

        Taking turns spreads requests more evenly than draws do, as long as loads are alike.
        """
        size = len(live)
        pool.round_robin_index = first = (pool.round_robin_index + 1) % size
        second = int(self.generator.random() * (size - 1))
        if second >= first:
            second += 1
        # Small differences between old reports are noise; the one whose turn it is wins.
        return [(0.0, live[first]), (self.costs.out_of_turn_s, live[second])]

    def can_take(self, pool: Pool, state: TargetState, query: RouteQuery) -> bool:
        """Return whether a target named by its prefix may be chosen."""
        return (
            state.health.phase is HealthPhase.HEALTHY
            and state.info.target_id not in pool.leaving_targets
            and state.info.target_id not in query.exclude
            and (query.adapter is None or state.adapters is None or query.adapter in state.adapters)
        )

    def load_cost(self, pool: Pool, state: TargetState) -> float:
        """Return what is held against a target's load, in seconds."""
        capacity = state.capacity * state.slow_start_share
        load = state.estimated_load()
        cost = self.costs.full_load_s * load / capacity
        over = load + 1.0 - capacity
        if over > 0.0:
            cost += over * pool.service_time_s / capacity
        return cost
