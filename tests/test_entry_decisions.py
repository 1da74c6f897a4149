"""Unit tests of the small decisions of an entry VM, driven by sequences of events."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamcleat.decisions.live_attempts import AttemptTracker, FailureStatus
from balsamcleat.decisions.replica_choice import (
    choose_replica,
    choose_service,
    order_services_by_key,
)
from balsamcleat.decisions.replica_directory import STORE_RECOVERY_GRACE_S, ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStats, ReplicaStatsRegistry
from balsamcleat.decisions.sample_progress import ProgressSlice, SampleProgress, join_slices
from balsamcleat.decisions.vm_watch import VM_DEAD_AFTER_S, VmFailureDetector, VmRow
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind, ServiceName, TargetId, WeightVersion, ZoneName
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import WeightedService

SERVICE = ServiceName("s")


def replica(name: str = "t", version: int = 1, **fields) -> Replica:
    defaults = {
        "target_id": TargetId(name),
        "service": SERVICE,
        "address": "10.0.0.1:80",
        "zone": ZoneName("a"),
        "state": ReplicaState.READY,
        "slots": 4,
        "entry_version": version,
    }
    return Replica(**{**defaults, **fields})


class TestReplicaDirectory:
    def test_draining_or_removed_target_gets_no_new_work(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica())
        assert directory.ready_replicas(SERVICE)
        directory.apply_entry(replica(version=2, state=ReplicaState.DRAINING))
        assert not directory.ready_replicas(SERVICE)
        directory.apply_entry(replica("u"))
        assert directory.apply_removal(TargetId("u"), 100.0)[0].replica is None
        assert not directory.ready_replicas(SERVICE)

    def test_entries_that_expired_in_an_outage_are_kept_for_the_grace_period(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica("back"))
        directory.apply_entry(replica("gone"))
        directory.record_store_recovery(10.0)
        for name in ("back", "gone"):
            assert directory.apply_removal(TargetId(name), 10.1) == []
        assert len(directory.ready_replicas(SERVICE)) == 2
        directory.apply_entry(replica("back", version=9))
        changes = directory.remove_expired(10.0 + STORE_RECOVERY_GRACE_S)
        assert [change.target_id for change in changes] == ["gone"]
        assert [ready.target_id for ready in directory.ready_replicas(SERVICE)] == ["back"]

    def test_older_entry_version_is_ignored(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica(version=5, state=ReplicaState.DRAINING))
        assert directory.apply_entry(replica(version=4)) == []
        assert not directory.ready_replicas(SERVICE)

    def test_restart_under_the_same_target_id_is_reported(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica(started_ms=1))
        assert directory.apply_entry(replica(version=2, started_ms=2))[0].reason == "restarted"

    def test_full_listing_removes_targets_that_it_lacks(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica("old"))
        directory.apply_listing({TargetId("new"): replica("new")}, 5.0)
        assert [ready.target_id for ready in directory.ready_replicas(SERVICE)] == ["new"]


class TestVmFailureDetector:
    def rows(self, version: int, boot: str = "b") -> list[VmRow]:
        return [VmRow("vm", boot, "", "a", version)]

    def test_unchanged_row_means_a_dead_vm_only_while_the_store_answers(self) -> None:
        detector = VmFailureDetector()
        detector.apply_read(self.rows(1), 0.0)
        detector.reset()
        detector.apply_read(self.rows(1), 60.0)
        assert not detector.is_dead("vm", "b")
        now_s = 60.0
        while not detector.is_dead("vm", "b"):
            now_s += 0.4
            detector.apply_read(self.rows(1), now_s)
        assert VM_DEAD_AFTER_S <= now_s - 60.0 < VM_DEAD_AFTER_S + 0.5

    def test_paused_observer_declares_no_vm_dead(self) -> None:
        detector = VmFailureDetector()
        detector.apply_read(self.rows(1), 0.0)
        detector.apply_read(self.rows(1), 30.0)
        assert not detector.is_dead("vm", "b")

    def test_restart_under_the_same_name_makes_the_earlier_instance_dead(self) -> None:
        detector = VmFailureDetector()
        detector.apply_read(self.rows(1, "old"), 0.0)
        detector.apply_read(self.rows(2, "new"), 0.5)
        assert detector.is_dead("vm", "old")
        assert not detector.is_dead("vm", "new")

    def test_leaving_vm_is_alive_and_accepts_no_steps(self) -> None:
        detector = VmFailureDetector()
        detector.apply_read([VmRow("vm", "b", "", "a", 1, leaving=True)], 0.0)
        assert not detector.is_dead("vm", "b")
        assert not detector.accepts_steps("vm", "b")


class TestReplicaStats:
    def test_runs_that_one_event_cuts_count_as_one_failure(self) -> None:
        """A reset of all connections must not take a full engine away for the longest time."""
        stats = ReplicaStats()
        for place in range(12):
            stats.record_failure(10.0 + 0.001 * place)
        assert stats.is_avoided(10.2)
        assert not stats.is_avoided(10.4)

    def test_target_that_fails_again_and_again_is_avoided_for_longer(self) -> None:
        stats = ReplicaStats()
        now_s, avoided_s = 10.0, []
        for _ in range(5):
            stats.record_failure(now_s)
            avoided_s.append(stats.avoid_until_s - now_s)
            now_s = stats.avoid_until_s
        assert avoided_s == pytest.approx([0.3, 0.6, 1.2, 2.4, 3.0])


def failure(*, sent: bool, kind: FailureKind = FailureKind.CUT) -> AttemptFailedError:
    return AttemptFailedError("m", step="s", peer=None, perhaps_sent=sent, kind=kind)


class TestAttemptTracker:
    def test_attempts_whose_links_were_lost_leave_room_for_others(self) -> None:
        """Both attempts of a route hang on links that are cut; a third one can be passed on."""
        tracker = AttemptTracker(repeatable=True, max_runs=2)
        for number in range(2):
            tracker.record_start(TargetId(f"t{number}"))
        assert not tracker.can_start()
        tracker.record_failure(failure(sent=True, kind=FailureKind.LINK_LOST))
        assert tracker.can_start()

    def test_request_that_may_run_once_is_not_repeated_after_a_lost_link(self) -> None:
        tracker = AttemptTracker(repeatable=False, max_runs=3)
        tracker.record_start(TargetId("t0"))
        tracker.record_failure(failure(sent=True, kind=FailureKind.LINK_LOST))
        assert not tracker.can_start()

    @pytest.mark.parametrize(
        ("ends", "expected"),
        [
            ([False, False], FailureStatus.NOT_RUN),
            ([False, True], FailureStatus.CUT),
            ([], FailureStatus.NOT_RUN),
        ],
    )
    def test_not_run_is_reported_only_if_every_attempt_was_rejected(self, ends, expected) -> None:
        tracker = AttemptTracker(repeatable=True, max_runs=3)
        for number, sent in enumerate(ends):
            tracker.record_start(TargetId(f"t{number}"))
            tracker.record_failure(failure(sent=sent))
        assert tracker.failure_status() is expected

    def test_non_repeatable_request_is_not_sent_again_once_it_may_have_run(self) -> None:
        tracker = AttemptTracker(repeatable=False, max_runs=3)
        tracker.record_start(TargetId("t0"))
        tracker.record_failure(failure(sent=False))
        assert tracker.can_start()
        tracker.record_start(TargetId("t1"))
        assert not tracker.can_start()
        tracker.record_failure(failure(sent=True))
        assert not tracker.can_start()

    @given(st.lists(st.booleans(), max_size=12), st.integers(1, 4))
    def test_runs_never_exceed_the_maximum_of_the_route(
        self, ends: list[bool], max_runs: int
    ) -> None:
        tracker = AttemptTracker(repeatable=True, max_runs=max_runs)
        run_count = 0
        for number, may_have_run in enumerate(ends):
            if not tracker.can_start():
                break
            tracker.record_start(TargetId(f"t{number}"))
            tracker.record_failure(failure(sent=may_have_run))
            run_count += may_have_run
        assert run_count <= max_runs


class TestReplicaChoice:
    def choose(
        self, replicas: list[Replica], stats_registry: ReplicaStatsRegistry, excluded=()
    ) -> str | None:
        chosen = choose_replica(
            replicas,
            stats_registry,
            zone=ZoneName("a"),
            excluded=excluded,
            now_s=100.0,
            generator=random.Random(1),
        )
        return None if chosen is None else chosen.target_id

    def test_local_zone_is_preferred_until_its_load_exceeds_the_zone_cost(self) -> None:
        replicas = [replica("near"), replica("far", zone=ZoneName("b"))]
        stats_registry = ReplicaStatsRegistry()
        assert self.choose(replicas, stats_registry) == "near"
        stats_registry.for_replica(replicas[0]).in_flight = 3
        assert self.choose(replicas, stats_registry) == "far"

    def test_recently_failed_target_is_chosen_only_as_the_last_resort(self) -> None:
        replicas = [replica("failing"), replica("far", zone=ZoneName("b"))]
        stats_registry = ReplicaStatsRegistry()
        stats_registry.for_replica(replicas[0]).record_failure(99.9)
        assert self.choose(replicas, stats_registry) == "far"
        assert self.choose(replicas, stats_registry, excluded={"far"}) == "failing"
        assert self.choose(replicas, stats_registry, excluded={"far", "failing"}) is None

    def test_services_are_chosen_in_proportion_to_their_weights(self) -> None:
        shares = (WeightedService(ServiceName("a"), 90.0), WeightedService(ServiceName("b"), 10.0))
        chosen = [choose_service(shares, draw / 100) for draw in range(100)]
        assert sum(share is not None and share.service == "a" for share in chosen) == 90
        assert choose_service((), 0.5) is None
        assert choose_service((WeightedService(ServiceName("a"), 0.0),), 0.5) is None

    def test_samples_prefer_services_in_proportion_to_their_weights(self) -> None:
        """All services with a weight are in the order, so that none holds up a sample alone."""
        weights = {"a": 20.0, "b": 80.0, "unused": 0.0}
        shares = tuple(WeightedService(ServiceName(name), weights[name]) for name in weights)
        orders = [order_services_by_key(shares, f"group-{number}") for number in range(2000)]
        assert 300 < sum(order[0] == "a" for order in orders) < 500
        assert all(set(order) == {"a", "b"} for order in orders)
        assert orders[7] == order_services_by_key(shares, "group-7")


class TestSampleProgress:
    def test_event_with_a_gap_a_duplicate_or_an_unknown_version_is_rejected(self) -> None:
        progress = SampleProgress()
        assert not progress.append_event(1, "a", None)
        progress.begin_stream(WeightVersion(3))
        assert progress.append_event(1, "a", None)
        assert not progress.append_event(1, "a", None)
        assert not progress.append_event(3, "c", None)
        assert progress.append_event(2, "b", WeightVersion(4))
        assert progress.joined_events() == "a\nb"
        assert progress.versions == {3, 4}
        assert progress.satisfies_version_bounds(WeightVersion(3), single_version=False)
        assert not progress.satisfies_version_bounds(WeightVersion(4), single_version=False)
        assert not progress.satisfies_version_bounds(WeightVersion(3), single_version=True)

    @given(st.integers(1, 40), st.lists(st.integers(0, 40), max_size=8), st.randoms())
    def test_slices_in_any_order_join_to_the_original_events(
        self, event_count, starts, rng
    ) -> None:
        progress = SampleProgress(generation=5)
        progress.begin_stream(WeightVersion(1))
        for number in range(1, event_count + 1):
            progress.append_event(number, f"e{number}", None)
        slices = [progress.slice_from(min(start, event_count - 1)) for start in (0, *starts)]
        stale = ProgressSlice(4, 0, 1, ("old",) * 50, (WeightVersion(1),))
        shuffled = [*slices, stale]
        rng.shuffle(shuffled)
        joined = join_slices(shuffled)
        assert joined is not None
        assert joined.events == tuple(progress.events)

    def test_slices_with_a_gap_join_only_up_to_the_gap(self) -> None:
        first = ProgressSlice(1, 0, 1, ("a", "b"), (WeightVersion(1),))
        later = ProgressSlice(1, 5, 1, ("f",), (WeightVersion(2),))
        joined = join_slices([later, first])
        assert joined is not None
        assert (joined.events, joined.versions) == (("a", "b"), (1,))
