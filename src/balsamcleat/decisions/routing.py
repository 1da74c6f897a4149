"""Decide which target takes a request."""

import random
from collections.abc import Iterable
from dataclasses import replace

from balsamcleat.decisions.ejection import HealthPhase, can_eject
from balsamcleat.decisions.leaving_tracker import LeavingMark, LeavingSource, LeavingTracker
from balsamcleat.decisions.pools import Pool, RemoteZone
from balsamcleat.decisions.prefixes import PrefixIndex
from balsamcleat.decisions.route_query import RouteQuery, RouterCosts
from balsamcleat.decisions.spill import ZoneSpill
from balsamcleat.decisions.target_choice import TargetSelector
from balsamcleat.decisions.target_load import TargetState
from balsamcleat.model import (
    AttemptOutcome,
    CacheEvent,
    EngineState,
    LoadReport,
    ServiceName,
    TargetId,
    TargetInfo,
    TargetPhase,
    ZoneName,
)
from balsamcleat.model.zone_digests import ZoneDigest

__all__ = ["RouteQuery", "Router", "RouterCosts"]

CHURN_TIME_CONSTANT_S = 5.0
MAX_INITIAL_INDEX = 1 << 20
SERVICE_TIME_SMOOTHING = 0.02
# Waiting inside the targets, as a share of their capacity, that counts as overload.
CONGESTED_WAITING_SHARE = 0.2


class Router:
    """Chooses the cheapest of a few targets.

    They are believed holders of the prefix, its home on the ring, the next in turn and one
    drawn at random. Looking at a few keeps the cost of a choice independent of the zone's size,
    and keeps nodes that decide on the same old reports from all choosing the same target.

    Args:
        zone: The own availability zone.
        generator: Draws candidates.
        weights: What is held against a target.
    """

    def __init__(
        self, zone: ZoneName, generator: random.Random, costs: RouterCosts | None = None
    ) -> None:
        self.zone = zone
        self.generator = generator
        self.costs = costs or RouterCosts()
        self.now_s = 0.0
        self.targets: dict[TargetId, TargetInfo] = {}
        self.pools: dict[ServiceName, Pool] = {}
        self.prefixes = PrefixIndex()
        self.remote_in_flight: dict[TargetId, int] = {}
        self.selector = TargetSelector(self.prefixes, generator, self.costs)
        self.spill = ZoneSpill(self.remote_in_flight, generator, self.costs)
        self.leaving_tracker = LeavingTracker()
        self.leaving_targets: frozenset[TargetId] = frozenset()
        self.new_rejection_marks: list[LeavingMark] = []
        self.is_configured = False

    def set_costs(self, costs: RouterCosts) -> None:
        """Take other weights."""
        self.costs = self.selector.costs = self.spill.costs = costs

    # What is learned.

    def configure(self, targets: Iterable[TargetInfo]) -> None:
        """Take the targets now known; others get no new work."""
        known = {target.target_id: target for target in targets}
        if known == self.targets:
            return
        self.targets = known
        named: dict[ServiceName, list[TargetInfo]] = {}
        for target in known.values():
            named.setdefault(target.service, []).append(target)
        for service in self.pools.keys() | named.keys():
            pool = self.pools.get(service)
            if pool is None:
                # Nodes that start together must not take their turns in step.
                pool = Pool(service, round_robin_index=self.generator.randrange(MAX_INITIAL_INDEX))
                self.pools[service] = pool
            self.update_pool(pool, named.get(service, []))
        self.is_configured = True

    def update_pool(self, pool: Pool, targets: list[TargetInfo]) -> None:
        """Bring a pool to the targets named for it."""
        local = {target.target_id: target for target in targets if target.zone == self.zone}
        for gone in pool.states.keys() - local.keys():
            del pool.states[gone]
            self.prefixes.remove_engine(gone)
        for target_id, info in local.items():
            state = pool.states.get(target_id)
            if state is None or state.info.address != info.address:
                pool.states[target_id] = self.new_state(info)
            else:
                state.info = replace(info, role=state.info.role)
        self.update_remote_zones(pool, targets)
        pool.leaving_targets = self.leaving_targets | {
            target.target_id for target in targets if target.phase is not TargetPhase.LIVE
        }
        pool.rebuild()

    def new_state(self, info: TargetInfo) -> TargetState:
        """Return the state of a new target; one that joins others starts slowly."""
        state = TargetState(info)
        if self.is_configured:
            state.health.slow_start_at_s = self.now_s
            state.slow_start_share = state.health.slow_start_share(self.now_s)
        return state

    def update_remote_zones(self, pool: Pool, targets: list[TargetInfo]) -> None:
        """Bring the other zones' lists to the targets named."""
        for zone in pool.remote_zones.values():
            zone.targets = []
        for target in targets:
            live = target.phase is TargetPhase.LIVE and target.target_id not in self.leaving_targets
            if live and target.zone != self.zone:
                pool.remote_zones.setdefault(target.zone, RemoteZone()).targets.append(target)

    def apply_vm_list(self, leaving: frozenset[TargetId]) -> None:
        """Take a reading of the VM list."""
        self.leaving_tracker.record_vm_list(leaving, self.now_s)
        self.apply_leaving_marks()

    def apply_peer_marks(self, marks: tuple[LeavingMark, ...]) -> None:
        """Take a peer's word on leaving targets."""
        self.leaving_tracker.record_peer_marks(marks, self.now_s)
        self.apply_leaving_marks()

    def apply_leaving_marks(self) -> None:
        """Keep new work from the targets that leave."""
        leaving = self.leaving_tracker.leaving_targets(self.now_s)
        if leaving == self.leaving_targets:
            return
        self.leaving_targets = leaving
        targets, self.targets = self.targets, {}
        self.configure(targets.values())

    def record_load_report(self, target_id: TargetId, load: LoadReport) -> None:
        """Take note of a load report."""
        state = self.target_state(target_id)
        if state is not None:
            state.record_report(load)

    def record_engine_state(self, target_id: TargetId, engine: EngineState) -> None:
        """Take note of what an engine has loaded."""
        state = self.target_state(target_id)
        if state is None:
            return
        adapters = frozenset(engine.adapters)
        if state.adapters == adapters and state.info.role is engine.role:
            return
        state.adapters = adapters
        state.info = replace(state.info, role=engine.role)
        self.pools[state.info.service].rebuild()

    def record_cache_event(self, target_id: TargetId, event: CacheEvent) -> None:
        """Take a cache event."""
        if self.target_state(target_id) is not None:
            self.prefixes.record_event(target_id, event.number, event.block, stored=event.stored)

    def record_cache_loss(self, target_id: TargetId) -> None:
        """Take note that an engine lost its cache, by a crash or with new weights."""
        self.prefixes.clear_engine(target_id)

    def apply_zone_digests(
        self, zone: ZoneName, digests: Iterable[ZoneDigest], age_s: float
    ) -> None:
        """Take another zone's digests."""
        made_at_s = self.now_s - age_s
        for digest in digests:
            pool = self.pools.get(digest.service)
            if pool is None or zone == self.zone:
                continue
            remote = pool.remote_zones.setdefault(zone, RemoteZone())
            if made_at_s > remote.digest_at_s:
                remote.capacity, remote.load = digest.capacity, digest.load
                remote.digest_at_s, remote.own_in_flight_at_digest = made_at_s, remote.own_in_flight

    def local_digests(self) -> tuple[ZoneDigest, ...]:
        """Return what this node tells other zones of its own."""
        return tuple(
            ZoneDigest(pool.service, len(pool.available), pool.capacity, pool.load)
            for pool in self.pools.values()
            if pool.states
        )

    def target_state(self, target_id: TargetId) -> TargetState | None:
        """Return the state of a target of the own zone."""
        info = self.targets.get(target_id)
        return None if info is None else self.pools[info.service].states.get(target_id)

    def own_in_flight(self, target_id: TargetId) -> int:
        """Return the own requests at a target."""
        state = self.target_state(target_id)
        return self.remote_in_flight.get(target_id, 0) if state is None else state.in_flight

    def is_congested(self, service: ServiceName) -> bool:
        """Return whether the own zone's targets have more than they can run."""
        pool = self.pools.get(service)
        if pool is None or not pool.available:
            return False
        return pool.waiting > CONGESTED_WAITING_SHARE * pool.capacity

    # Attempts.

    def record_start(self, target_id: TargetId) -> None:
        """Take note that an attempt began."""
        state = self.target_state(target_id)
        if state is not None:
            state.in_flight += 1
            return
        self.remote_in_flight[target_id] = self.remote_in_flight.get(target_id, 0) + 1
        remote = self.remote_zone_of(target_id)
        if remote is not None:
            remote.own_in_flight += 1

    def record_end(
        self,
        target_id: TargetId,
        outcome: AttemptOutcome = AttemptOutcome.ABANDONED,
        duration_s: float | None = None,
    ) -> None:
        """Take note that an attempt ended.

        Args:
            target_id: The target.
            outcome: What its end says about the target.
            duration_s: How long it took, in seconds, if it succeeded.
        """
        if outcome is AttemptOutcome.LEAVING:
            self.leaving_tracker.record_rejection(target_id, self.now_s)
            self.new_rejection_marks.append(LeavingMark(target_id, LeavingSource.REFUSAL, 0.0))
            self.apply_leaving_marks()
        state = self.target_state(target_id)
        if state is None:
            self.record_remote_end(target_id)
            return
        state.in_flight = max(0, state.in_flight - 1)
        pool = self.pools[state.info.service]
        if duration_s is not None and outcome is AttemptOutcome.SUCCEEDED:
            pool.service_time_s += SERVICE_TIME_SMOOTHING * (duration_s - pool.service_time_s)
        self.update_health(pool, state, outcome)

    def record_remote_end(self, target_id: TargetId) -> None:
        """Take note that an attempt in another zone ended."""
        left = self.remote_in_flight.pop(target_id, 0) - 1
        if left > 0:
            self.remote_in_flight[target_id] = left
        remote = self.remote_zone_of(target_id)
        if remote is not None:
            remote.own_in_flight = max(0, remote.own_in_flight - 1)

    def remote_zone_of(self, target_id: TargetId) -> RemoteZone | None:
        """Return the other zone that a target is in."""
        info = self.targets.get(target_id)
        return None if info is None else self.pools[info.service].remote_zones.get(info.zone)

    def update_health(self, pool: Pool, state: TargetState, outcome: AttemptOutcome) -> None:
        """Eject a failing target, or take a probed one back."""
        health = state.health
        if health.should_eject_after(outcome):
            if health.phase is HealthPhase.PROBING or can_eject(
                pool.ejected_count, len(pool.states)
            ):
                health.eject(self.now_s)
                self.prefixes.clear_engine(state.info.target_id)
                pool.rebuild()
        elif health.phase is HealthPhase.PROBING and outcome is AttemptOutcome.SUCCEEDED:
            health.recover(self.now_s)
            state.slow_start_share = health.slow_start_share(self.now_s)
            pool.rebuild()

    def tick(self, now_s: float) -> None:
        """Let time pass: ejections end and slow starts grow."""
        before_s, self.now_s = self.now_s, now_s
        self.apply_leaving_marks()
        for pool in self.pools.values():
            changed = False
            for state in pool.states.values():
                health = state.health
                if health.phase is HealthPhase.EJECTED and now_s >= health.ejected_until_s:
                    health.start_probing()
                    changed = True
                elif state.slow_start_share < 1.0:
                    state.slow_start_share = health.slow_start_share(now_s)
                elif health.ejections:
                    health.reset_ejections(now_s)
            if changed:
                pool.rebuild()
            else:
                pool.update_totals()
            self.update_churn(pool, now_s - before_s)

    def update_churn(self, pool: Pool, elapsed_s: float) -> None:
        """Follow how fast each cache turns over; where it does so fast, prefixes don't stay."""
        if elapsed_s <= 0.0 or not pool.states:
            return
        share = min(1.0, elapsed_s / CHURN_TIME_CONSTANT_S)
        stored, total = self.prefixes.stored_blocks, 0.0
        for target_id, state in pool.states.items():
            count = stored.get(target_id, 0)
            rate = (count - state.last_stored_blocks) / elapsed_s
            state.last_stored_blocks = count
            state.churn_blocks_per_s += share * (rate - state.churn_blocks_per_s)
            total += state.churn_blocks_per_s
        mean = total / len(pool.states)
        for state in pool.states.values():
            state.churn_ratio = (state.churn_blocks_per_s + 1.0) / (mean + 1.0)

    # Choosing.

    def choose(self, query: RouteQuery) -> TargetInfo | None:
        """Return the target for the request, or None when there is none."""
        pool = self.pools.get(query.service)
        if pool is None:
            return None
        if pool.probing:
            probe = self.idle_probe_target(pool, query)
            if probe is not None:
                return probe.info
        best = self.selector.cheapest(pool, query)
        if (
            best is None
            or best.estimated_load()
            >= self.costs.spill_load * best.capacity * best.slow_start_share
        ):
            elsewhere = self.spill.choose_remote_target(pool, query, best, self.now_s)
            if elsewhere is not None:
                return elsewhere
        if best is None:
            return None
        if query.prefix_digests:
            self.prefixes.record_request(best.info.target_id, query.prefix_digests)
        return best.info

    def idle_probe_target(self, pool: Pool, query: RouteQuery) -> TargetState | None:
        """Return a target that is being probed and has nothing in flight."""
        for state in pool.probing:
            if state.in_flight == 0 and state.info.target_id not in query.exclude:
                return state
        return None
