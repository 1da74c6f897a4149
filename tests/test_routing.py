import random
from collections import Counter

import pytest

from balsamcleat.decisions.leaving_tracker import LIST_MARK_LIFETIME_S, REJECTION_MARK_LIFETIME_S
from balsamcleat.decisions.routing import RouteQuery, Router
from balsamcleat.model import (
    AttemptOutcome,
    CacheEvent,
    EngineState,
    LoadReport,
    Role,
    ServiceName,
    TargetId,
    TargetInfo,
    TargetPhase,
    WeightVersion,
    ZoneName,
)
from balsamcleat.model.zone_digests import ZoneDigest

SERVICE = ServiceName("kantor")
HOME, AWAY = ZoneName("bern-a"), ZoneName("bern-b")


def target(name: str, zone: ZoneName = HOME, **more: object) -> TargetInfo:
    return TargetInfo(TargetId(name), SERVICE, zone, f"{name}:80", **more)


def router(local: int = 6, away: int = 0, seed: int = 1) -> Router:
    made = Router(HOME, random.Random(seed))
    made.configure(
        [target(f"e{n}") for n in range(local)] + [target(f"r{n}", AWAY) for n in range(away)]
    )
    made.tick(1000.0)
    return made


def report(made: Router, name: str, running: int, waiting: int = 0) -> None:
    made.record_load_report(TargetId(name), LoadReport(running, waiting, 16, 0.5, 0.0))


def run(made: Router, outcome: AttemptOutcome, name: str) -> None:
    made.record_start(TargetId(name))
    made.record_end(TargetId(name), outcome, 1.0)


def spread(made: Router, calls: int = 600, **query: object) -> Counter[str]:
    chosen: Counter[str] = Counter()
    for _ in range(calls):
        found = made.choose(RouteQuery(SERVICE, **query))
        chosen[found.target_id if found else "none"] += 1
    return chosen


def fail(made: Router, name: str, times: int = 3) -> None:
    for _ in range(times):
        run(made, AttemptOutcome.FAILED, name)


# Leaving.


@pytest.mark.parametrize("how", ["list", "refusal", "drain", "peer"])
def test_a_leaving_target_gets_no_new_work_however_it_became_known(how: str) -> None:
    made = router(3)
    made.prefixes.record_request(TargetId("e1"), (1, 2, 3))
    if how == "list":
        made.apply_vm_list(frozenset({TargetId("e1")}))
    elif how == "refusal":
        run(made, AttemptOutcome.LEAVING, "e1")
    elif how == "drain":
        made.configure([target("e0"), target("e1", phase=TargetPhase.LEAVING), target("e2")])
    else:
        other = router(3)
        run(other, AttemptOutcome.LEAVING, "e1")
        made.apply_peer_marks(tuple(other.new_rejection_marks))
    assert set(spread(made)) == {"e0", "e2"}
    assert "e1" not in spread(made, prefix_digests=(1, 2, 3))


def test_a_stale_list_or_peer_does_not_revive_a_leaving_target() -> None:
    made, stale = router(3), router(3)
    run(made, AttemptOutcome.LEAVING, "e1")
    made.apply_vm_list(frozenset({TargetId("e2")}))
    made.apply_vm_list(frozenset())
    made.apply_peer_marks(stale.leaving_tracker.current_own_marks(1000.0))
    made.configure([target("e0"), target("e1"), target("e2")])
    assert set(spread(made)) == {"e0"}


def test_a_leaving_mark_does_not_keep_itself_alive_between_peers() -> None:
    first, second = router(3), router(3)
    run(first, AttemptOutcome.LEAVING, "e1")
    now_s = 1000.0
    while now_s < 1000.0 + 2 * REJECTION_MARK_LIFETIME_S:
        now_s += 1.0
        for one, other in ((first, second), (second, first)):
            one.tick(now_s)
            one.apply_peer_marks(other.leaving_tracker.current_own_marks(now_s))
    assert "e1" in spread(first)
    assert "e1" in spread(second)


def test_a_termination_called_off_brings_the_target_back() -> None:
    made = router(3)
    made.apply_vm_list(frozenset({TargetId("e1")}))
    made.tick(1000.0 + LIST_MARK_LIFETIME_S + 1)
    assert "e1" in spread(made)


def test_leaving_and_ejected_together_leave_work_to_the_rest() -> None:
    made = router(4)
    fail(made, "e0")
    made.apply_vm_list(frozenset({TargetId("e1")}))
    assert set(spread(made)) == {"e2", "e3"}


# Ejection, probes and slow start.


def test_a_failing_target_is_ejected_probed_and_comes_back_slowly() -> None:
    made = router(4)
    fail(made, "e0")
    assert "e0" not in spread(made)
    made.tick(1002.5)
    probe = made.choose(RouteQuery(SERVICE))
    assert probe is not None
    assert probe.target_id == "e0"
    made.record_start(probe.target_id)
    assert "e0" not in spread(made, 50)
    made.record_end(probe.target_id, AttemptOutcome.SUCCEEDED, 1.0)
    state = made.target_state(TargetId("e0"))
    assert state is not None
    assert state.slow_start_share < 0.5
    made.tick(1020.0)
    assert state.slow_start_share == 1.0


def test_a_failed_probe_doubles_the_time_out() -> None:
    made = router(4)
    fail(made, "e0")
    made.tick(1002.5)
    run(made, AttemptOutcome.FAILED, "e0")
    made.tick(1005.5)
    assert "e0" not in spread(made, 50)
    made.tick(1006.6)
    assert "e0" in spread(made, 50)


@pytest.mark.parametrize("size", [1, 2, 3, 10])
def test_an_outage_of_all_ejects_only_a_bounded_share(size: int) -> None:
    made = router(size)
    for number in range(size):
        fail(made, f"e{number}", 5)
    left = spread(made)
    assert "none" not in left
    assert made.pools[SERVICE].ejected_count <= (max(1, int(0.3 * size)) if size > 1 else 0)
    assert len(left) >= size - max(1, int(0.3 * size))


def test_refusals_and_departed_callers_do_not_eject() -> None:
    made = router(3)
    for outcome in (AttemptOutcome.BUSY, AttemptOutcome.ABANDONED):
        for _ in range(10):
            run(made, outcome, "e0")
    assert "e0" in spread(made)


def test_a_new_target_starts_slowly_and_the_first_ones_do_not() -> None:
    made = router(2)
    made.configure([target("e0"), target("e1"), target("e2")])
    states = [made.target_state(TargetId(f"e{n}")) for n in range(3)]
    assert [state.slow_start_share < 1.0 for state in states if state] == [False, False, True]


# Load.


def test_own_requests_since_a_lagging_report_are_counted() -> None:
    made = router(2)
    for _ in range(2):
        report(made, "e0", 0)
        report(made, "e1", 12)
    chosen: Counter[str] = Counter()
    for _ in range(32):
        found = made.choose(RouteQuery(SERVICE))
        assert found is not None
        made.record_start(found.target_id)
        chosen[found.target_id] += 1
    # Without the correction every request would go to the one that was idle once.
    assert 0 < chosen["e1"] <= chosen["e0"]
    state = made.target_state(TargetId("e1"))
    assert state is not None
    assert state.estimated_load() == 12 + chosen["e1"]


def test_many_nodes_with_the_same_old_reports_do_not_herd_on_the_idle_target() -> None:
    loads: Counter[str] = Counter()
    for seed in range(50):
        made = router(20, seed=seed)
        for number in range(20):
            report(made, f"e{number}", 0 if number == 7 else 8)
        loads.update(spread(made, 4))
    assert loads["e7"] <= 0.25 * loads.total()


# Prefixes.


def test_nodes_that_know_nothing_of_each_other_send_a_seen_prefix_to_few_engines() -> None:
    engines = set()
    for seed in range(8):
        made = router(12, seed=seed)
        made.prefixes.promote(11)
        engines |= set(spread(made, 1, prefix_digests=(11, 12, 13)))
    assert len(engines) == 1


def test_a_prefix_goes_where_it_was_sent_and_elsewhere_when_that_is_full() -> None:
    made = router(8)
    digests = tuple(range(100, 140))
    first = made.choose(RouteQuery(SERVICE, digests))
    assert first is not None
    assert spread(made, 20, prefix_digests=digests)[first.target_id] == 20
    report(made, first.target_id, 16, 200)
    assert spread(made, 20, prefix_digests=digests)[first.target_id] == 0


def test_cache_events_late_and_with_gaps_move_requests_and_age_beliefs() -> None:
    made, digests = router(8), tuple(range(100, 140))
    for number, digest in enumerate(digests):
        made.record_cache_event(TargetId("e3"), CacheEvent(number, digest, True))
    assert spread(made, 10, prefix_digests=digests) == {"e3": 10}
    # A gap as large as a cache: whatever was there may have been evicted unseen.
    made.record_cache_event(TargetId("e3"), CacheEvent(10_000, 1, True))
    assert made.prefixes.matched_blocks(TargetId("e3"), digests) == 0


def test_an_ejected_engine_is_believed_to_have_lost_its_cache() -> None:
    made, digests = router(8), tuple(range(100, 140))
    made.record_cache_event(TargetId("e3"), CacheEvent(1, digests[-1], True))
    fail(made, "e3")
    assert made.prefixes.matched_blocks(TargetId("e3"), digests) == 0


def test_the_index_stays_bounded() -> None:
    made = router(2)
    made.prefixes.generation_digests = 100
    for number in range(1000):
        made.choose(RouteQuery(SERVICE, (number * 2, number * 2 + 1)))
    assert len(made.prefixes.young) + len(made.prefixes.old) <= 202


# Adapters and roles.


def engine_state(role: Role = Role.MIXED, *adapters: str) -> EngineState:
    return EngineState(WeightVersion(1), None, adapters, role, 0, True)


def test_an_adapter_goes_where_it_is_loaded() -> None:
    made = router(4)
    made.record_engine_state(TargetId("e2"), engine_state(Role.MIXED, "house-style"))
    assert set(spread(made, 50, adapter="house-style", prefix_digests=(1, 2))) == {"e2"}
    assert len(spread(made, 50, adapter="not loaded anywhere")) > 1


def test_whole_requests_avoid_engines_set_up_for_half_of_the_work() -> None:
    made = router(3)
    made.record_engine_state(TargetId("e0"), engine_state(Role.PREFILL))
    made.record_engine_state(TargetId("e1"), engine_state(Role.DECODE))
    assert set(spread(made, 50)) == {"e2"}


# Zones.


def fill(made: Router, running: int) -> None:
    for state in made.pools[SERVICE].states.values():
        report(made, state.info.target_id, running)
    made.tick(made.now_s)


def away_has(made: Router, capacity: float, load: float, age_s: float = 0.0) -> None:
    made.apply_zone_digests(AWAY, [ZoneDigest(SERVICE, 4, capacity, load)], age_s)


def test_calls_stay_in_the_zone_while_it_has_room() -> None:
    made = router(4, away=4)
    away_has(made, 64, 0)
    fill(made, 8)
    assert not any(name.startswith("r") for name in spread(made))


def test_a_short_zone_spills_a_share_to_zones_with_room() -> None:
    made = router(4, away=4)
    away_has(made, 64, 0)
    fill(made, 20)
    share = sum(n for name, n in spread(made).items() if name.startswith("r")) / 600
    assert 0.2 < share < 0.8


@pytest.mark.parametrize("why", ["full", "stale"])
def test_a_short_zone_does_not_spill_to_zones_that_are_full_or_unheard_of(why: str) -> None:
    made = router(4, away=4)
    away_has(made, 64, 64 if why == "full" else 0, 60.0 if why == "stale" else 0.0)
    fill(made, 20)
    assert not any(name.startswith("r") for name in spread(made))


def test_own_spilled_requests_count_against_a_digest_until_the_next() -> None:
    made = router(1, away=2)
    away_has(made, 10, 0)
    fill(made, 20)
    for _ in range(200):
        found = made.choose(RouteQuery(SERVICE))
        if found and found.zone == AWAY:
            made.record_start(found.target_id)
    assert made.pools[SERVICE].remote_zones[AWAY].own_in_flight == 10


def test_a_zone_without_targets_uses_another_even_when_cut_off_from_its_digests() -> None:
    made = router(2, away=2)
    made.apply_vm_list(frozenset({TargetId("e0"), TargetId("e1")}))
    assert set(spread(made)) == {"r0", "r1"}


def test_a_zone_cut_off_and_short_goes_on_with_its_own_targets() -> None:
    made = router(2)
    fill(made, 40)
    assert set(spread(made)) == {"e0", "e1"}
