"""The number of targets in replays of trainers, whose steps must not be late for its sake."""

from dataclasses import replace
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamcleat.decisions.scaling_types import (
    OrderReason,
    PoolCounts,
    PoolOrder,
    ScalingView,
    ZoneOrders,
)
from balsamcleat.decisions.slot_need import ModelNeed, SlotNeed, determine_need
from balsamcleat.decisions.steady_level import SteadyLevel
from balsamcleat.decisions.step_history import StepHistory, StepSighting
from balsamcleat.decisions.target_mix import FIRM_SHARE, MixGoal, Pool, ZoneMix, divide_targets
from balsamcleat.decisions.target_release import MIN_PERIOD_S, releasable
from balsamcleat.decisions.target_scaling import (
    RECLAIM_HOLDOFF_S,
    UNAVAILABLE_RETRY_S,
    TargetScaler,
)
from balsamcleat.model import StepId, ZoneName
from balsamcleat.ports.duties import DutyOutcome
from scaling_world import START_S, ZONES, ScalingWorld, autoscale

A, B, C = ZONES
# Seconds after the start at which a replay has settled.
SETTLED_S = 160.0
SEEDS = (1, 2)


def assert_releases_are_safe(world: ScalingWorld) -> None:
    """Assert that releases are rare and small, and that no zone was emptied."""
    last_s: dict[ZoneName, float] = {}
    for at_s, order in world.releases():
        if order.reason is OrderReason.TAKEN_AWAY:
            continue
        zone = order.pool.zone
        assert at_s - last_s.get(zone, float("-inf")) >= MIN_PERIOD_S
        last_s[zone] = at_s
        assert order.before - order.count <= max(1, order.before // 2)
        assert order.pool.reclaimable or order.count >= 1


def orders_between(world: ScalingWorld, from_s: float, until_s: float) -> list:
    return [
        (order.pool, order.before, order.count, outcome)
        for at_s, order, outcome in world.sent
        if from_s <= at_s - START_S < until_s
    ]


def allow_reclaimable(world: ScalingWorld, zone: ZoneName) -> None:
    world.no_targets.discard(Pool(zone, True))


@pytest.mark.parametrize(("initial", "cost_share"), [(7, 0.97), (15, 0.75)])
@pytest.mark.parametrize("seed", SEEDS)
def test_calm_replay_costs_less_and_no_step_is_later(
    initial: int, cost_share: float, seed: int
) -> None:
    """Fewer firm targets must not make steps late, and must be worth the orders."""
    kept = ScalingWorld(seed=seed, initial=initial, is_scaled=False).run(300.0)
    scaled = ScalingWorld(seed=seed, initial=initial).run(300.0)
    assert scaled.in_time_share() >= kept.in_time_share()
    assert scaled.mean_duration_s() <= kept.mean_duration_s() + 0.15
    assert len(scaled.steps) >= len(kept.steps) - 3
    assert scaled.cost < cost_share * kept.cost
    assert_releases_are_safe(scaled)


@pytest.mark.parametrize("seed", SEEDS)
def test_nothing_is_ordered_once_a_calm_replay_has_settled(seed: int) -> None:
    """Orders back and forth cost starts, loads of weights and the work of released targets."""
    world = ScalingWorld(seed=seed, initial=15).run(400.0)
    assert orders_between(world, SETTLED_S, 400.0) == []


def test_nothing_is_released_before_several_steps_of_each_trainer() -> None:
    """A release for want of knowledge would make the first steps of a deployment late."""
    world = ScalingWorld(initial=15).run(20.0)
    assert world.releases() == []
    world.run(40.0)
    assert all(order.before - order.count <= 4 for _, order in world.releases())


def test_nothing_is_released_while_one_trainer_has_not_begun() -> None:
    """The targets of a trainer that begins later must be there when it does."""
    world = ScalingWorld(initial=15)
    world.next_step_s["m2"] = START_S + 60.0
    world.run(60.0)
    assert world.releases() == []


def test_deployment_without_room_exchanges_its_targets_in_small_parts() -> None:
    """With all zones at their maximum, nothing could be exchanged without a short dip."""
    world = ScalingWorld(initial=8, spec=autoscale(max_targets=8)).run(240.0)
    assert world.in_time_share() == 1.0
    assert sum(target.pool.reclaimable for target in world.targets) >= 12
    for zone in ZONES:
        assert len([target for target in world.targets if target.pool.zone == zone]) <= 8
    assert_releases_are_safe(world)


@pytest.mark.parametrize("seed", SEEDS)
def test_loss_of_a_zones_reclaimable_targets_makes_no_step_late(seed: int) -> None:
    """All of a zone's reclaimable targets vanish while steps run on them."""
    world = ScalingWorld(seed=seed, initial=7)
    world.events = [(SETTLED_S, lambda world: world.reclaim(A))]
    world.run(SETTLED_S + 60.0)
    assert world.in_time_share() == 1.0
    first = orders_between(world, SETTLED_S, SETTLED_S + 0.5)[0]
    assert first[0] == Pool(A, False)
    assert first[2] > first[1]
    assert_releases_are_safe(world)


def test_zone_gets_reclaimable_targets_again_only_after_some_time() -> None:
    """Targets that the platform takes away again at once cost a start for nothing."""
    world = ScalingWorld(initial=7)
    world.events = [
        (SETTLED_S, lambda world: world.reclaim(A)),
        (SETTLED_S + 3.0, lambda world: allow_reclaimable(world, A)),
    ]
    world.run(SETTLED_S + RECLAIM_HOLDOFF_S + 60.0)
    again = [
        at_s - START_S
        for at_s, order, _ in world.sent
        if order.pool == Pool(A, True) and order.count and at_s > START_S + SETTLED_S
    ]
    assert again[0] >= SETTLED_S + RECLAIM_HOLDOFF_S


def test_loss_of_all_reclaimable_targets_is_made_up_for_within_a_second() -> None:
    """Zones may lose their reclaimable targets together."""
    world = ScalingWorld(initial=7)
    world.events = [(SETTLED_S, lambda world: [world.reclaim(zone) for zone in ZONES])]
    world.run(SETTLED_S + 60.0)
    raised = {
        pool.zone
        for pool, before, count, _ in orders_between(world, SETTLED_S, SETTLED_S + 1.0)
        if count > before and not pool.reclaimable
    }
    assert raised == set(ZONES)
    assert world.in_time_share() >= 0.98


def test_targets_lost_for_good_are_ordered_again_at_once() -> None:
    """The platform starts no target without an order."""
    world = ScalingWorld(initial=7)
    world.events = [
        (SETTLED_S + 0.1, lambda world: world.lose(Pool(A, False), 2)),
        (SETTLED_S + 20.0, lambda world: world.lose(Pool(B, True), 1)),
    ]
    world.run(SETTLED_S)
    before = len(world.targets)
    world.run(1.0)
    assert len(world.targets) == before
    world.run(40.0)
    assert len(world.targets) == before
    assert world.in_time_share() == 1.0


def test_lost_zone_is_made_up_for_in_the_others() -> None:
    """A zone that has no targets at all must not leave the others with too few."""

    def lose_zone(world: ScalingWorld) -> None:
        for kind in (False, True):
            world.no_targets.add(Pool(A, kind))
            world.lose(Pool(A, kind), 99)

    world = ScalingWorld(initial=7)
    world.events = [(SETTLED_S + 0.1, lose_zone)]
    world.run(SETTLED_S)
    before = len(world.targets)
    world.run(30.0)
    assert len(world.targets) >= 0.8 * before
    assert world.in_time_share() == 1.0


def test_targets_that_do_not_come_are_ordered_in_other_zones() -> None:
    """An order may be accepted although nothing starts."""
    world = ScalingWorld(initial=7)
    world.run(SETTLED_S)
    before = world.counts(Pool(B, False)).ready + world.counts(Pool(C, False)).ready
    world.listed = lambda target: target.pool != Pool(A, False)
    world.run(30.0)
    assert world.counts(Pool(B, False)).ready + world.counts(Pool(C, False)).ready > before


def test_replacement_of_targets_by_the_platform_moves_nothing_to_other_zones() -> None:
    """A release of new software drains targets for longer than a target takes to start."""
    scaler = TargetScaler()
    rolling = view(5, 5)
    rolling.counts[Pool(A, False)] = PoolCounts(ready=4, loaded=4, draining=1)
    scaler.seen_ready[Pool(A, False)] = 5
    orders = [scaler.decide(rolling, 1000.0 + 0.25 * tick) for tick in range(200)]
    assert {order.pool for order in orders if order is not None} <= {Pool(A, False)}
    assert not scaler.blocked_until_s


def test_other_targets_are_ordered_where_none_of_a_kind_are_available() -> None:
    """After 409 the steps must not wait for the pool that has none."""
    world = ScalingWorld(initial=7, no_targets={Pool(zone, True) for zone in ZONES}).run(200.0)
    assert world.in_time_share() == 1.0
    assert sum(not target.pool.reclaimable for target in world.targets) == 24
    tried = [at_s for at_s, order, _ in world.sent if order.pool == Pool(A, True)]
    assert len(tried) > 3
    assert min(later - earlier for earlier, later in pairwise(tried)) >= UNAVAILABLE_RETRY_S
    assert world.releases() == []


def test_orders_beyond_the_rate_limit_pause_and_are_sent_later() -> None:
    """Sending on would use up the limit that the usage reports need, too."""
    world = ScalingWorld(initial=7)
    world.forced_outcomes = [(DutyOutcome.THROTTLED, False)] * 3
    world.run(100.0)
    at_s = [sent_s for sent_s, _, _ in world.sent[:4]]
    pauses = [later - earlier for earlier, later in pairwise(at_s)]
    assert all(pause >= least for pause, least in zip(pauses, (1.0, 2.0, 4.0), strict=True))
    assert len(world.targets) >= 34


@pytest.mark.parametrize("takes_effect", [False, True])
@pytest.mark.parametrize("outcome", [DutyOutcome.UNKNOWN, DutyOutcome.NOT_SENT])
def test_order_without_known_outcome_is_repeated(outcome: DutyOutcome, takes_effect: bool) -> None:
    """An order that was lost would leave the targets missing; a second one must change nothing."""
    takes_effect = takes_effect and outcome is DutyOutcome.UNKNOWN
    world = ScalingWorld(initial=7)
    world.forced_outcomes = [(outcome, takes_effect)] * 6
    world.run(120.0)
    calm = ScalingWorld(initial=7).run(120.0)
    assert len(world.targets) == len(calm.targets)
    assert world.in_time_share() == 1.0


def test_new_holder_goes_on_from_the_stored_orders() -> None:
    """A holder that begins anew would release or order what the earlier one already did."""
    world = ScalingWorld(initial=15)
    world.events = [(at_s, lambda world: world.replace_holder()) for at_s in (45, 60, 75, 90, 200)]
    world.run(300.0)
    assert_releases_are_safe(world)
    assert world.in_time_share() == 1.0
    assert len(orders_between(world, 210.0, 300.0)) == 0
    calm = ScalingWorld(initial=15).run(300.0)
    assert abs(len(world.targets) - len(calm.targets)) <= 2


def test_new_holder_repeats_an_order_that_was_stored_and_not_sent() -> None:
    """The earlier holder may have died between the two."""
    world = ScalingWorld(initial=7).run(SETTLED_S)
    orders = world.rows[A]
    world.rows[A] = orders.with_order(Pool(A, False), PoolOrder(orders.firm.count + 2, world.now_s))
    world.replace_holder()
    world.run(1.0)
    repeated = [order for _, order, _ in world.sent if order.reason is OrderReason.OUTCOME_UNKNOWN]
    assert repeated[0].pool == Pool(A, False)
    assert repeated[0].count == orders.firm.count + 2


def test_pause_of_the_trainers_releases_nothing() -> None:
    """When the trainers go on, their steps need the same targets at once."""
    world = ScalingWorld(initial=7).run(SETTLED_S)
    before = len(world.targets)
    for model in world.next_step_s:
        world.next_step_s[model] = world.now_s + 120.0
    world.run(180.0)
    assert len(world.targets) >= before
    assert world.in_time_share() == 1.0


# The parts of the decision.


def need(**changes: object) -> SlotNeed:
    fields = {
        "models": (ModelNeed("m", 80, 4.0, 4.0, 9, False),),
        "peak_together": 80,
        "is_late": False,
        "is_learned": True,
    }
    return SlotNeed(**{**fields, **changes})


def view(firm: int, reclaimable: int = 0, **changes: object) -> ScalingView:
    """Return the view of three equal zones in which everything ordered is ready."""
    fields = {
        "spec": autoscale(),
        "slots_per_target": 8,
        "need": need(),
        "zones": {z: ZoneOrders(PoolOrder(firm, 1.0), PoolOrder(reclaimable, 1.0)) for z in ZONES},
        "counts": {
            Pool(zone, kind): PoolCounts(ready=count, loaded=count)
            for zone in ZONES
            for kind, count in ((False, firm), (True, reclaimable))
        },
        "holders": {"m": 3 * (firm + reclaimable)},
    }
    return ScalingView(**{**fields, **changes})


def test_release_keeps_enough_targets_with_usable_weights() -> None:
    """The platform may choose just the targets that have a model's newest versions."""
    least = -(-FIRM_SHARE * 80 // 8)
    assert releasable(view(12), Pool(A, False), 4, 11) == 3
    scarce = view(12, holders={"m": int(least) + 1})
    assert releasable(scarce, Pool(A, False), 4, 11) == 1
    assert releasable(view(12, holders={"m": int(least)}), Pool(A, False), 4, 11) == 0
    assert releasable(view(12, holders={}), Pool(A, False), 4, 11) == 0


def test_targets_without_current_weights_do_not_replace_others() -> None:
    """A new target can't run samples before it has loaded the current weights."""
    counts = {Pool(zone, False): PoolCounts(ready=5, loaded=5) for zone in ZONES}
    counts |= {Pool(zone, True): PoolCounts(ready=5, loaded=0) for zone in ZONES}
    loading = view(5, 5, counts=counts)
    assert releasable(loading, Pool(A, False), 2, 15) == 0
    assert releasable(view(5, 5), Pool(A, False), 2, 15) == 2


@pytest.mark.parametrize("changes", [{"is_late": True}, {"is_learned": False}])
def test_nothing_is_released_while_steps_are_late_or_unknown(changes: dict[str, bool]) -> None:
    """The targets may be what the steps lack."""
    for is_held, changed in ((True, need(**changes)), (False, need())):
        scaler = TargetScaler()
        planned = [
            scaler.decide(view(12, 2, need=changed), 1000.0 + 0.25 * tick) for tick in range(200)
        ]
        releases = [
            order for order in planned if order is not None and order.reason is OrderReason.SURPLUS
        ]
        assert bool(releases) is not is_held


def test_service_without_steps_keeps_its_targets_and_gets_lost_ones_back() -> None:
    """Nothing is known of the demand for a plain service, so nothing of it may be released."""
    scaler = TargetScaler()
    assert all(
        scaler.decide(view(5, need=None), 1000.0 + 0.25 * tick) is None for tick in range(400)
    )
    lost = view(5, need=None)
    lost.counts[Pool(A, False)] = PoolCounts(ready=4, loaded=4)
    order = scaler.decide(lost, 1101.0)
    assert order is not None
    assert (order.pool, order.count) == (Pool(A, False), 5)


def test_level_rises_at_once_and_falls_after_a_clear_and_lasting_change() -> None:
    """A level that follows each step's size would order and release targets all the time."""
    level = SteadyLevel()
    assert level.update(100, 0.0, 12.0) == 105
    assert [level.update(size, 1.0, 12.0) for size in (95, 103, 105)] == [105] * 3
    assert level.update(60, 2.0, 12.0) == 105
    assert level.update(70, 8.0, 12.0) == 105
    assert level.update(60, 14.0, 12.0) == 74
    assert level.update(80, 15.0, 12.0) == 84


GOALS = st.builds(
    lambda total, firm, least: MixGoal(total, min(firm, total), min(max(firm, least), total)),
    *[st.integers(0, 60)] * 3,
)
MIXES = st.builds(
    lambda firm, reclaimable, firm_limit, reclaimable_limit, was_reclaimed: (
        firm,
        reclaimable,
        firm_limit,
        reclaimable_limit,
        was_reclaimed,
    ),
    st.integers(0, 15),
    st.integers(0, 15),
    st.none() | st.integers(0, 15),
    st.none() | st.integers(0, 15),
    st.booleans(),
)


def with_orders(mix: ZoneMix, wanted: dict[Pool, int]) -> ZoneMix:
    """Return a zone in which the wanted numbers were ordered."""
    firm, reclaimable = wanted[Pool(mix.zone, False)], wanted[Pool(mix.zone, True)]
    return replace(mix, firm=firm, reclaimable=reclaimable)


@given(st.lists(MIXES, min_size=3, max_size=3), GOALS)
def test_division_keeps_the_limits_and_settles(mixes: list[tuple], goal: MixGoal) -> None:
    """Guards against zones beyond the maximum, emptied zones and divisions that never settle."""
    spec = autoscale()
    zones = [ZoneMix(zone, *mix) for zone, mix in zip(ZONES, mixes, strict=True)]
    wanted = divide_targets(zones, spec, goal)
    for mix in zones:
        firm, reclaimable = wanted[Pool(mix.zone, False)], wanted[Pool(mix.zone, True)]
        assert spec.min_targets <= firm
        assert firm + reclaimable <= spec.max_targets
        assert not (mix.was_reclaimed and reclaimable)
    rounds = [wanted]
    for _ in range(3):
        zones = [with_orders(mix, rounds[-1]) for mix in zones]
        rounds.append(divide_targets(zones, spec, goal))
    assert rounds[-1] == rounds[-2]


def test_reclaimable_targets_of_the_usual_price_are_not_used() -> None:
    """Their sudden loss would buy nothing."""
    zones = [ZoneMix(zone, 5, 0) for zone in ZONES]
    wanted = divide_targets(zones, autoscale(price=1.0), MixGoal(30, 12, 20))
    assert sum(count for pool, count in wanted.items() if pool.reclaimable) == 0
    assert sum(wanted.values()) == 20


def observe(history: StepHistory, now_s: float, *steps: tuple[str, float, bool]) -> None:
    history.observe(
        [
            StepSighting(StepId(f"{model}{submitted_s}"), model, 96, submitted_s, 7.5, is_ended)
            for model, submitted_s, is_ended in steps
        ],
        now_s,
    )


def test_overlapping_steps_of_a_model_add_up_and_so_do_models() -> None:
    """Too few slots for steps that run at the same time delay all of them."""
    history = StepHistory()
    observe(history, 10.0, ("a", 10.0, False), ("b", 10.0, False))
    assert determine_need(history, ("a", "b"), 10.0).slots == 192
    observe(history, 12.0, ("a", 10.0, False), ("b", 10.0, True), ("a", 12.0, False))
    result = determine_need(history, ("a", "b"), 12.0)
    assert {model.model: model.slots for model in result.models} == {"a": 192, "b": 96}


def test_named_version_shows_that_a_step_is_over() -> None:
    """Trainers need not end a step that is complete; it must not count as late then."""
    history = StepHistory()
    for tick in range(40):
        now_s = 10.0 + 0.5 * tick
        if now_s == 14.5:
            history.record_named("a", now_s)
        observe(history, now_s, ("a", 10.0, False))
    record = history.records[StepId("a10.0")]
    assert record.duration_s == 4.0
    assert not record.is_late(30.0)


def test_step_whose_end_was_not_seen_is_not_judged() -> None:
    """A VM that was frozen or has just started would take steps for late that were not."""
    history = StepHistory()
    observe(history, 10.0, ("a", 9.0, False))
    observe(history, 30.0, ("a", 9.0, True), ("a", 20.0, True))
    assert all(record.duration_s is None for record in history.records.values())
    assert not any(record.is_late(30.0) for record in history.records.values())
