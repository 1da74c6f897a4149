"""The small decisions of an entry VM, at tables of events."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamcleat.decisions.crash_suspects import CRASHES_TO_BLOCK, CrashHistory, request_digest
from balsamcleat.decisions.live_attempts import AttemptTracker, FailureStatus
from balsamcleat.decisions.replica_choice import choose_replica, choose_service
from balsamcleat.decisions.replica_directory import STORE_RECOVERY_GRACE_S, ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_progress import ProgressSlice, SampleProgress, join_slices
from balsamcleat.decisions.vm_watch import VM_DEAD_AFTER_S, VmFailureDetector, VmRow
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind, ServiceName, TargetId, WeightVersion, ZoneName
from balsamcleat.model.replicas import Replica, ReplicaState
from balsamcleat.model.routing import ServiceShare

SERVICE = ServiceName("s")


def replica(name: str = "t", version: int = 1, **fields) -> Replica:
    known = {
        "target_id": TargetId(name),
        "service": SERVICE,
        "address": "10.0.0.1:80",
        "zone": ZoneName("a"),
        "state": ReplicaState.READY,
        "slots": 4,
        "entry_version": version,
    }
    return Replica(**{**known, **fields})


class TestDirectory:
    def test_a_draining_or_removed_target_gets_no_new_work_at_once(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica())
        assert directory.ready_replicas(SERVICE)
        directory.apply_entry(replica(version=2, state=ReplicaState.DRAINING))
        assert not directory.ready_replicas(SERVICE)
        directory.apply_entry(replica("u"))
        assert directory.apply_removal(TargetId("u"), 100.0)[0].replica is None
        assert not directory.ready_replicas(SERVICE)

    def test_entries_that_lapsed_with_the_store_are_believed_for_two_seconds(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica("back"))
        directory.apply_entry(replica("gone"))
        directory.record_store_recovery(10.0)
        for name in ("back", "gone"):
            assert directory.apply_removal(TargetId(name), 10.1) == []
        assert len(directory.ready_replicas(SERVICE)) == 2
        directory.apply_entry(replica("back", version=9))
        news = directory.remove_expired(10.0 + STORE_RECOVERY_GRACE_S)
        assert [item.target_id for item in news] == ["gone"]
        assert [item.target_id for item in directory.ready_replicas(SERVICE)] == ["back"]

    def test_an_older_entry_changes_nothing(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica(version=5, state=ReplicaState.DRAINING))
        assert directory.apply_entry(replica(version=4)) == []
        assert not directory.ready_replicas(SERVICE)

    def test_a_target_that_started_anew_under_its_id_is_told(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica(started_ms=1))
        assert directory.apply_entry(replica(version=2, started_ms=2))[0].reason == "restarted"

    def test_a_full_reading_takes_out_what_it_lacks(self) -> None:
        directory = ReplicaDirectory()
        directory.apply_entry(replica("old"))
        directory.apply_listing({TargetId("new"): replica("new")}, 5.0)
        assert [item.target_id for item in directory.ready_replicas(SERVICE)] == ["new"]


class TestVmWatch:
    def rows(self, version: int, boot: str = "b") -> list[VmRow]:
        return [VmRow("vm", boot, "", "a", version)]

    def test_an_unchanged_row_means_death_only_while_the_store_answers(self) -> None:
        watch = VmFailureDetector()
        watch.apply_read(self.rows(1), 0.0)
        watch.reset()
        watch.apply_read(self.rows(1), 60.0)
        assert not watch.is_dead("vm", "b")
        now_s = 60.0
        while not watch.is_dead("vm", "b"):
            now_s += 0.4
            watch.apply_read(self.rows(1), now_s)
        assert VM_DEAD_AFTER_S <= now_s - 60.0 < VM_DEAD_AFTER_S + 0.5

    def test_an_observer_that_stood_still_takes_nobody_for_dead(self) -> None:
        watch = VmFailureDetector()
        watch.apply_read(self.rows(1), 0.0)
        watch.apply_read(self.rows(1), 30.0)
        assert not watch.is_dead("vm", "b")

    def test_another_start_under_the_name_ends_the_earlier_one(self) -> None:
        watch = VmFailureDetector()
        watch.apply_read(self.rows(1, "old"), 0.0)
        watch.apply_read(self.rows(2, "new"), 0.5)
        assert watch.is_dead("vm", "old")
        assert not watch.is_dead("vm", "new")

    def test_a_leaving_vm_lives_and_takes_no_steps(self) -> None:
        watch = VmFailureDetector()
        watch.apply_read([VmRow("vm", "b", "", "a", 1, leaving=True)], 0.0)
        assert not watch.is_dead("vm", "b")
        assert not watch.accepts_steps("vm", "b")


def failure(*, sent: bool, kind: FailureKind = FailureKind.CUT) -> AttemptFailedError:
    return AttemptFailedError("m", step="s", peer=None, perhaps_sent=sent, kind=kind)


class TestLiveAttempts:
    @pytest.mark.parametrize(
        ("ends", "expected"),
        [
            ([False, False], FailureStatus.NOT_RUN),
            ([False, True], FailureStatus.CUT),
            ([], FailureStatus.NOT_RUN),
        ],
    )
    def test_not_run_is_said_only_if_every_attempt_was_turned_away(self, ends, expected) -> None:
        ledger = AttemptTracker(repeatable=True, max_runs=3)
        for number, sent in enumerate(ends):
            ledger.record_start(TargetId(f"t{number}"))
            ledger.record_failure(failure(sent=sent))
        assert ledger.failure_status() is expected

    def test_what_may_run_once_is_not_sent_again_after_it_may_have_run(self) -> None:
        ledger = AttemptTracker(repeatable=False, max_runs=3)
        ledger.record_start(TargetId("t0"))
        ledger.record_failure(failure(sent=False))
        assert ledger.can_start()
        ledger.record_start(TargetId("t1"))
        assert not ledger.can_start()
        ledger.record_failure(failure(sent=True))
        assert not ledger.can_start()

    @given(st.lists(st.booleans(), max_size=12), st.integers(1, 4))
    def test_runs_never_exceed_what_the_route_allows(self, ends: list[bool], runs: int) -> None:
        ledger = AttemptTracker(repeatable=True, max_runs=runs)
        sent = 0
        for number, perhaps in enumerate(ends):
            if not ledger.can_start():
                break
            ledger.record_start(TargetId(f"t{number}"))
            ledger.record_failure(failure(sent=perhaps))
            sent += perhaps
        assert sent <= runs


class TestReplicaChoice:
    def choose(self, replicas: list[Replica], book: ReplicaStatsRegistry, tried=()) -> str | None:
        found = choose_replica(
            replicas,
            book,
            zone=ZoneName("a"),
            excluded=tried,
            now_s=100.0,
            generator=random.Random(1),
        )
        return None if found is None else found.target_id

    def test_the_own_zone_is_taken_until_it_is_busier_by_more_than_the_way_costs(self) -> None:
        replicas = [replica("near"), replica("far", zone=ZoneName("b"))]
        book = ReplicaStatsRegistry()
        assert self.choose(replicas, book) == "near"
        book.for_target(TargetId("near")).in_flight = 3
        assert self.choose(replicas, book) == "far"

    def test_a_target_that_just_failed_is_the_last_choice_and_still_one(self) -> None:
        replicas = [replica("failing"), replica("far", zone=ZoneName("b"))]
        book = ReplicaStatsRegistry()
        book.for_target(TargetId("failing")).record_failure(99.9)
        assert self.choose(replicas, book) == "far"
        assert self.choose(replicas, book, tried={"far"}) == "failing"
        assert self.choose(replicas, book, tried={"far", "failing"}) is None

    def test_shares_are_drawn_by_weight(self) -> None:
        shares = (ServiceShare(ServiceName("a"), 90.0), ServiceShare(ServiceName("b"), 10.0))
        drawn = [choose_service(shares, draw / 100) for draw in range(100)]
        assert sum(share is not None and share.service == "a" for share in drawn) == 90
        assert choose_service((), 0.5) is None
        assert choose_service((ServiceShare(ServiceName("a"), 0.0),), 0.5) is None


class TestCrashSuspects:
    def test_three_targets_condemn_and_one_target_does_not(self) -> None:
        suspects = CrashHistory()
        content = request_digest("10.0.0.9", "POST", "/x", b"poison")
        for _ in range(9):
            suspects.record_crash(content, TargetId("t0"), 1.0)
        assert not suspects.is_blocked(content, 2.0)
        for number in range(CRASHES_TO_BLOCK):
            suspects.record_crash(content, TargetId(f"t{number}"), 3.0)
        assert suspects.is_blocked(content, 4.0)
        assert not suspects.is_blocked(content, 400.0)
        assert not suspects.is_blocked(request_digest("10.0.0.9", "POST", "/x", b"other"), 4.0)


class TestProgress:
    def test_a_gap_a_doubling_or_an_unknown_version_is_not_taken(self) -> None:
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
    def test_slices_kept_in_any_order_join_to_what_was_there(self, count, cuts, rng) -> None:
        progress = SampleProgress(generation=5)
        progress.begin_stream(WeightVersion(1))
        for number in range(1, count + 1):
            progress.append_event(number, f"e{number}", None)
        slices = [progress.slice_from(min(cut, count - 1)) for cut in (0, *cuts)]
        stale = ProgressSlice(4, 0, 1, ("old",) * 50, (WeightVersion(1),))
        mixed = [*slices, stale]
        rng.shuffle(mixed)
        joined = join_slices(mixed)
        assert joined is not None
        assert joined.events == tuple(progress.events)

    def test_slices_with_a_gap_hold_only_what_comes_before_it(self) -> None:
        first = ProgressSlice(1, 0, 1, ("a", "b"), (WeightVersion(1),))
        later = ProgressSlice(1, 5, 1, ("f",), (WeightVersion(2),))
        joined = join_slices([later, first])
        assert joined is not None
        assert (joined.events, joined.versions) == (("a", "b"), (1,))
