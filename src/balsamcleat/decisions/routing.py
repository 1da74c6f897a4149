"""Routing: choose the target of a request from load reports, cache contents and health."""

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
# Requests queued inside the targets, as a share of their capacity, above which a service counts
# as overloaded.
CONGESTED_WAITING_SHARE = 0.2


class Router:
    """Chooses the target with the lowest cost among a few candidates.

    The candidates are targets that probably have the prompt's prefix cached, the prefix's target
    on the hash ring, the next target in round-robin order and a random one. Comparing only a few
    keeps the cost of a choice independent of the zone's size, and keeps VMs that decide on the
    same outdated reports from all choosing the same target.

    Args:
        zone: Availability zone of this VM.
        generator: Random number generator for the choice of candidates.
        costs: Costs that a target is ranked by.
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
        # Requests of this VM at each target. They outlast the states of targets, which leave the
        # list and come back while requests run.
        self.in_flight: dict[TargetId, int] = {}
        self.selector = TargetSelector(self.prefixes, generator, self.costs)
        self.spill = ZoneSpill(self.in_flight, generator, self.costs)
        self.leaving_tracker = LeavingTracker()
        self.leaving_targets: frozenset[TargetId] = frozenset()
        self.new_rejection_marks: list[LeavingMark] = []
        self.is_configured = False

    def set_costs(self, costs: RouterCosts) -> None:
        """Replace the costs that targets are ranked by."""
        self.costs = self.selector.costs = self.spill.costs = costs

    # Inputs.

    def configure(self, targets: Iterable[TargetInfo]) -> None:
        """Apply the list of known targets; targets not listed get no new work."""
        targets_by_id = {target.target_id: target for target in targets}
        if targets_by_id == self.targets:
            return
        self.targets = targets_by_id
        targets_by_service: dict[ServiceName, list[TargetInfo]] = {}
        for target in targets_by_id.values():
            targets_by_service.setdefault(target.service, []).append(target)
        for service in self.pools.keys() | targets_by_service.keys():
            pool = self.pools.get(service)
            if pool is None:
                # A random start keeps VMs that start together from choosing the same targets in
                # the same order.
                pool = Pool(service, round_robin_index=self.generator.randrange(MAX_INITIAL_INDEX))
                self.pools[service] = pool
            self.update_pool(pool, targets_by_service.get(service, []))
        self.is_configured = True

    def update_pool(self, pool: Pool, targets: list[TargetInfo]) -> None:
        """Update a pool to the service's listed targets."""
        local = {target.target_id: target for target in targets if target.zone == self.zone}
        for removed_id in pool.states.keys() - local.keys():
            del pool.states[removed_id]
            self.prefixes.remove_engine(removed_id)
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
        """Return the state of a new target; after the first listing it gets a slow start."""
        state = TargetState(info, in_flight=self.own_in_flight(info.target_id))
        if self.is_configured:
            state.health.slow_start_at_s = self.now_s
            state.slow_start_share = state.health.slow_start_share(self.now_s)
        return state

    def update_remote_zones(self, pool: Pool, targets: list[TargetInfo]) -> None:
        """Update the targets of the other zones to the listed ones."""
        for zone in pool.remote_zones.values():
            zone.targets = []
        for target in targets:
            is_available = (
                target.phase is TargetPhase.LIVE and target.target_id not in self.leaving_targets
            )
            if is_available and target.zone != self.zone:
                pool.remote_zones.setdefault(target.zone, RemoteZone()).targets.append(target)

    def apply_vm_list(self, leaving: frozenset[TargetId]) -> None:
        """Apply the leaving targets of a reading of the VM list."""
        self.leaving_tracker.record_vm_list(leaving, self.now_s)
        self.apply_leaving_marks()

    def apply_peer_marks(self, marks: tuple[LeavingMark, ...]) -> None:
        """Apply a peer's marks of leaving targets."""
        self.leaving_tracker.record_peer_marks(marks, self.now_s)
        self.apply_leaving_marks()

    def apply_leaving_marks(self) -> None:
        """Exclude the leaving targets from new work."""
        leaving = self.leaving_tracker.leaving_targets(self.now_s)
        if leaving == self.leaving_targets:
            return
        self.leaving_targets = leaving
        targets, self.targets = self.targets, {}
        self.configure(targets.values())

    def record_load_report(self, target_id: TargetId, load: LoadReport) -> None:
        """Record a target's load report."""
        state = self.target_state(target_id)
        if state is not None:
            state.record_report(load)

    def record_engine_state(self, target_id: TargetId, engine: EngineState) -> None:
        """Record the adapters that an engine has loaded and the engine's role."""
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
        """Record a cache event of an engine."""
        if self.target_state(target_id) is not None:
            self.prefixes.record_event(target_id, event.number, event.block, stored=event.stored)

    def record_cache_loss(self, target_id: TargetId) -> None:
        """Record that an engine lost its cache, by a crash or by loading new weights."""
        self.prefixes.clear_engine(target_id)

    def apply_zone_digests(
        self, zone: ZoneName, digests: Iterable[ZoneDigest], age_s: float
    ) -> None:
        """Apply another zone's load digests, which are ``age_s`` seconds old."""
        digest_at_s = self.now_s - age_s
        for digest in digests:
            pool = self.pools.get(digest.service)
            if pool is None or zone == self.zone:
                continue
            remote = pool.remote_zones.setdefault(zone, RemoteZone())
            if digest_at_s > remote.digest_at_s:
                remote.capacity, remote.load = digest.capacity, digest.load
                remote.digest_at_s, remote.own_in_flight_at_digest = (
                    digest_at_s,
                    remote.own_in_flight,
                )

    def local_digests(self) -> tuple[ZoneDigest, ...]:
        """Return the load digests of this zone's services, for the other zones."""
        return tuple(
            ZoneDigest(pool.service, len(pool.available), pool.capacity, pool.load)
            for pool in self.pools.values()
            if pool.states
        )

    def target_state(self, target_id: TargetId) -> TargetState | None:
        """Return the state of a target in this zone, or None."""
        info = self.targets.get(target_id)
        return None if info is None else self.pools[info.service].states.get(target_id)

    def own_in_flight(self, target_id: TargetId) -> int:
        """Return the number of requests that this VM has in flight at a target."""
        return self.in_flight.get(target_id, 0)

    def is_congested(self, service: ServiceName) -> bool:
        """Return whether this zone's targets have more requests than they can run."""
        pool = self.pools.get(service)
        if pool is None or not pool.available:
            return False
        return pool.waiting > CONGESTED_WAITING_SHARE * pool.capacity

    # Attempts.

    def record_start(self, target_id: TargetId) -> None:
        """Record the start of an attempt."""
        self.in_flight[target_id] = self.own_in_flight(target_id) + 1
        state = self.target_state(target_id)
        if state is not None:
            state.in_flight = self.own_in_flight(target_id)
            return
        remote = self.remote_zone_of(target_id)
        if remote is not None:
            remote.own_in_flight += 1

    def record_end(
        self,
        target_id: TargetId,
        outcome: AttemptOutcome = AttemptOutcome.ABANDONED,
        duration_s: float | None = None,
    ) -> None:
        """Record the end of an attempt.

        Args:
            target_id: Target of the attempt.
            outcome: Outcome of the attempt.
            duration_s: Duration of the attempt in seconds, if it succeeded.
        """
        if outcome is AttemptOutcome.LEAVING:
            self.leaving_tracker.record_rejection(target_id, self.now_s)
            self.new_rejection_marks.append(LeavingMark(target_id, LeavingSource.REFUSAL, 0.0))
            self.apply_leaving_marks()
        remaining = self.in_flight.pop(target_id, 0) - 1
        if remaining > 0:
            self.in_flight[target_id] = remaining
        state = self.target_state(target_id)
        if state is None:
            self.record_remote_end(target_id)
            return
        state.in_flight = max(0, remaining)
        pool = self.pools[state.info.service]
        if duration_s is not None and outcome is AttemptOutcome.SUCCEEDED:
            pool.service_time_s += SERVICE_TIME_SMOOTHING * (duration_s - pool.service_time_s)
        self.update_health(pool, state, outcome)

    def record_remote_end(self, target_id: TargetId) -> None:
        """Record the end of an attempt in another zone."""
        remote = self.remote_zone_of(target_id)
        if remote is not None:
            remote.own_in_flight = max(0, remote.own_in_flight - 1)

    def remote_zone_of(self, target_id: TargetId) -> RemoteZone | None:
        """Return the state of the other zone that a target is in, or None."""
        info = self.targets.get(target_id)
        return None if info is None else self.pools[info.service].remote_zones.get(info.zone)

    def update_health(self, pool: Pool, state: TargetState, outcome: AttemptOutcome) -> None:
        """Eject a failing target, or end the probing of one that succeeded."""
        health = state.health
        if health.record_outcome(outcome):
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
        """Advance the clock: end ejections, continue slow starts and update totals."""
        previous_s, self.now_s = self.now_s, now_s
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
            self.update_churn(pool, now_s - previous_s)

    def update_churn(self, pool: Pool, elapsed_s: float) -> None:
        """Update the rate at which each cache evicts blocks; at a high rate prefixes don't stay."""
        if elapsed_s <= 0.0 or not pool.states:
            return
        smoothing = min(1.0, elapsed_s / CHURN_TIME_CONSTANT_S)
        stored, total_rate = self.prefixes.stored_blocks, 0.0
        for target_id, state in pool.states.items():
            count = stored.get(target_id, 0)
            blocks_per_s = (count - state.last_stored_blocks) / elapsed_s
            state.last_stored_blocks = count
            state.churn_blocks_per_s += smoothing * (blocks_per_s - state.churn_blocks_per_s)
            total_rate += state.churn_blocks_per_s
        mean_rate = total_rate / len(pool.states)
        for state in pool.states.values():
            state.churn_ratio = (state.churn_blocks_per_s + 1.0) / (mean_rate + 1.0)

    def choose(self, query: RouteQuery) -> TargetInfo | None:
        """Return the target for a request, or None if there is none."""
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
            remote_target = self.spill.choose_remote_target(pool, query, best, self.now_s)
            if remote_target is not None:
                return remote_target
        if best is None:
            return None
        if query.prefix_digests:
            self.prefixes.record_request(best.info.target_id, query.prefix_digests)
        return best.info

    def idle_probe_target(self, pool: Pool, query: RouteQuery) -> TargetState | None:
        """Return a target that is being probed and has no request in flight, or None."""
        for state in pool.probing:
            if state.in_flight == 0 and state.info.target_id not in query.exclude:
                return state
        return None
