"""Which requests are blocked because targets crashed under them, and how VMs learn of it."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import anyio
import anyio.abc
import pytest

from balsamcleat.decisions.crash_suspects import (
    BLOCK_LIFETIME_S,
    CRASH_WINDOW_S,
    CRASHES_TO_BLOCK,
    FIRST_TRIAL_DELAY_S,
    MAX_REQUESTS,
    UNFINISHED_LIFETIME_S,
    CrashHistory,
    RunVerdict,
    TargetRun,
    TargetStart,
    UnfinishedRuns,
)
from balsamcleat.decisions.live_attempts import AttemptTracker
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.request_content import content_digest
from balsamcleat.errors import CommitRejectedError
from balsamcleat.http1 import Request
from balsamcleat.model import TargetId
from balsamcleat.model.replicas import ReplicaState
from balsamcleat.ports.rows import RowCommit, RowConflict, RowKey, RowsCommitted, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.crash_detector import CrashDetector
from balsamcleat.tasks.crash_guard import CrashGuard
from balsamcleat.tasks.live_call import LiveCall
from balsamcleat.tasks.shared_crash_history import SUSPECTS_TABLE, SharedCrashHistory
from balsamcleat.tasks.table_follower import TableFollower
from live_world import SERVICE, route
from step_world import make_engine, run_in_virtual_time

# VMs count as in touch with the platform this long after they or the store were disturbed.
IN_TOUCH_AFTER_S = 3.0
DIGEST = content_digest("host.example", "POST", "/x", b"poison")


def start(number: int, started_ms: int = 0) -> TargetStart:
    return TargetStart(TargetId(f"t{number}"), started_ms)


def run_at(number: int, **fields) -> TargetRun:
    return TargetRun("request", DIGEST, start(number), "10.0.0.1:80", **fields)


def blocked_history(at_s: float = 0.0) -> CrashHistory:
    history = CrashHistory()
    for number in range(CRASHES_TO_BLOCK):
        history.record_crash(DIGEST, start(number), at_s)
    return history


class TestDecision:
    def test_three_targets_block_a_request_and_one_that_breaks_off_often_does_not(self) -> None:
        history = CrashHistory()
        for _ in range(9):
            history.record_crash(DIGEST, start(0), 1.0)
        assert history.verdict(DIGEST, 2.0) is RunVerdict.ALLOWED
        for number in range(CRASHES_TO_BLOCK):
            history.record_crash(DIGEST, start(number), 3.0)
        assert history.verdict(DIGEST, 4.0) is RunVerdict.BLOCKED
        other = content_digest("host.example", "POST", "/x", b"other")
        assert history.verdict(other, 4.0) is RunVerdict.ALLOWED

    def test_target_that_restarts_under_its_id_counts_for_each_start(self) -> None:
        history = CrashHistory()
        for started_ms in range(CRASHES_TO_BLOCK):
            history.record_crash(DIGEST, start(0, started_ms), 1.0)
        assert history.verdict(DIGEST, 2.0) is RunVerdict.BLOCKED

    def test_crashes_far_apart_do_not_block_a_request(self) -> None:
        history = CrashHistory()
        for number in range(9):
            history.record_crash(DIGEST, start(number), number * CRASH_WINDOW_S / 2)
        assert history.verdict(DIGEST, 9 * CRASH_WINDOW_S) is RunVerdict.ALLOWED

    def test_blocked_request_is_not_free_after_a_minute(self) -> None:
        """Blocks that ended after a minute let each VM send the request to three more targets."""
        history = blocked_history()
        history.record_trial(DIGEST, 1, FIRST_TRIAL_DELAY_S)
        history.record_crash(DIGEST, start(8), FIRST_TRIAL_DELAY_S)
        assert history.verdict(DIGEST, 61.0) is RunVerdict.BLOCKED

    def test_trials_of_a_blocked_request_get_rare(self) -> None:
        history, now_s, trials = blocked_history(), 0.0, []
        while now_s < 900.0:
            now_s += 0.5
            if history.verdict(DIGEST, now_s) is RunVerdict.TRIAL_DUE:
                trials.append(now_s)
                history.record_trial(DIGEST, len(trials), now_s)
        assert trials[0] == FIRST_TRIAL_DELAY_S
        assert len(trials) == 2

    def test_blocked_request_is_kept_longer_than_a_suspect(self) -> None:
        history = blocked_history()
        history.record_crash("suspect", start(0), 0.0)
        assert history.expired_digests(CRASH_WINDOW_S) == []
        assert history.expired_digests(CRASH_WINDOW_S + 1.0) == ["suspect"]
        assert history.expired_digests(BLOCK_LIFETIME_S + 1.0) == [DIGEST, "suspect"]

    def test_many_suspects_do_not_displace_a_blocked_request(self) -> None:
        history = blocked_history()
        for number in range(2 * MAX_REQUESTS):
            history.record_crash(f"innocent {number}", start(number), 1.0)
        assert len(history.records) == MAX_REQUESTS
        assert history.verdict(DIGEST, 2.0) is RunVerdict.BLOCKED

    def test_unfinished_run_is_a_crash_if_its_target_ends_soon_after(self) -> None:
        runs = UnfinishedRuns()
        runs.add(run_at(0), 1.0)
        runs.add(run_at(1), 1.0)
        assert not runs.pop_crashed(TargetId("t0"), 0, 2.0)
        assert runs.pop_crashed(TargetId("t0"), 5, 2.0) == [run_at(0)]
        assert not runs.pop_crashed(TargetId("t0"), 6, 2.0)
        assert not runs.pop_crashed(TargetId("t1"), None, 1.0 + UNFINISHED_LIFETIME_S)

    def test_target_that_announced_its_leaving_has_not_crashed(self) -> None:
        directory = ReplicaDirectory()
        entry = make_engine(0)
        directory.apply_entry(entry)
        assert not directory.apply_removal(entry.target_id, 1.0)[0].is_planned
        directory.apply_entry(entry)
        draining = replace(entry, state=ReplicaState.DRAINING, entry_version=2)
        directory.apply_entry(draining)
        assert directory.apply_removal(entry.target_id, 2.0)[0].is_planned


class Vm:
    """One VM's crash history, which follows the store."""

    def __init__(self, store: MemoryRowStore, number: int) -> None:
        self.flaws = RowStoreFlaws(delay_s=0.004)
        view = RowStoreView(store, self.flaws)
        self.history = SharedCrashHistory(view, store.now_ms)
        self.follower = TableFollower(
            view, SUSPECTS_TABLE, self.history, random.Random(number), single_part=False
        )

    async def may_send(self) -> bool:
        verdict = self.history.verdict(DIGEST)
        if verdict is RunVerdict.TRIAL_DUE:
            return await self.history.claim_trial(DIGEST)
        return verdict is RunVerdict.ALLOWED


@asynccontextmanager
async def running_vms(count: int, store: MemoryRowStore) -> AsyncIterator[list[Vm]]:
    vms = [Vm(store, number) for number in range(count)]
    async with anyio.create_task_group() as tasks:
        for vm in vms:
            tasks.start_soon(vm.history.run)
            tasks.start_soon(vm.follower.run)
        await anyio.sleep(0.1)
        yield vms
        tasks.cancel_scope.cancel()


def suspect_rows(store: MemoryRowStore) -> list[str]:
    return sorted(key.key for key in store.rows if key.table == SUSPECTS_TABLE)


def commit_of(key: str, value: bytes) -> RowCommit:
    return RowCommit((RowWrite(RowKey(SUSPECTS_TABLE, DIGEST, key), value),))


class TestSharing:
    def test_one_of_the_vms_gets_each_trial(self) -> None:
        async def scenario() -> None:
            async with running_vms(4, MemoryRowStore()) as vms:
                for number in range(CRASHES_TO_BLOCK):
                    vms[number].history.record_crash(run_at(number), "cut off")
                await anyio.sleep(0.1)
                assert not any([await vm.may_send() for vm in vms])
                await anyio.sleep(FIRST_TRIAL_DELAY_S)
                claims: list[bool] = []

                async def claim(vm: Vm) -> None:
                    claims.append(await vm.may_send())

                async with anyio.create_task_group() as tasks:
                    for vm in vms:
                        tasks.start_soon(claim, vm)
                assert sorted(claims) == [False, False, False, True]
                await anyio.sleep(0.1)
                assert not any([await vm.may_send() for vm in vms])

        run_in_virtual_time(scenario)

    def test_crash_is_shared_after_the_store_was_away(self) -> None:
        """A crash was written once, and lost if the store did not take it then."""

        async def scenario() -> None:
            store = MemoryRowStore()
            async with running_vms(2, store) as (first, second):
                first.flaws.down = second.flaws.down = True
                for number in range(CRASHES_TO_BLOCK):
                    first.history.record_crash(run_at(number), "cut off")
                await anyio.sleep(2.0)
                assert await second.may_send()
                first.flaws.down = second.flaws.down = False
                await anyio.sleep(1.0)
                assert not await second.may_send()
                assert suspect_rows(store) == ["crash/t0/0", "crash/t1/0", "crash/t2/0"]

        run_in_virtual_time(scenario)

    def test_crash_whose_answer_was_lost_is_shared(self) -> None:
        async def scenario() -> None:
            async with running_vms(2, MemoryRowStore()) as (first, second):
                first.flaws.lose_answers = 2
                first.history.record_crash(run_at(0), "cut off")
                await anyio.sleep(1.0)
                assert second.history.crash_count(DIGEST) == 1
                assert not first.history.pending

        run_in_virtual_time(scenario)

    def test_answer_clears_a_request_at_all_vms(self) -> None:
        async def scenario() -> None:
            store = MemoryRowStore()
            async with running_vms(2, store) as (first, second):
                for number in range(CRASHES_TO_BLOCK):
                    first.history.record_crash(run_at(number), "cut off")
                await anyio.sleep(0.1)
                assert not await second.may_send()
                first.history.record_answer(DIGEST)
                await anyio.sleep(0.1)
                assert await first.may_send()
                assert await second.may_send()
                assert not suspect_rows(store)

        run_in_virtual_time(scenario)

    def test_answer_read_in_a_snapshot_clears_a_request(self) -> None:
        """The feed lost the deletion, so the rows are missing from the next snapshot."""

        async def scenario() -> None:
            store = MemoryRowStore()
            async with running_vms(2, store) as (first, second):
                for number in range(CRASHES_TO_BLOCK):
                    first.history.record_crash(run_at(number), "cut off")
                await anyio.sleep(0.1)
                second.flaws.down = True
                await anyio.sleep(5.0)
                first.history.record_answer(DIGEST)
                await anyio.sleep(0.1)
                store.forget_history()
                second.flaws.down = False
                await anyio.sleep(1.0)
                assert second.history.crash_count(DIGEST) == 0

        run_in_virtual_time(scenario)

    def test_vm_that_starts_later_reads_crashes_with_their_times(self) -> None:
        async def scenario() -> None:
            store = MemoryRowStore()
            async with running_vms(1, store) as (first,):
                for number in range(CRASHES_TO_BLOCK):
                    first.history.record_crash(run_at(number), "cut off")
                    await anyio.sleep(CRASH_WINDOW_S / 2)
            async with running_vms(1, store) as (second,):
                assert second.history.crash_count(DIGEST) == CRASHES_TO_BLOCK
                assert await second.may_send()

        run_in_virtual_time(scenario)

    def test_rows_of_an_expired_request_are_deleted_by_one_vm(self) -> None:
        async def scenario() -> None:
            store = MemoryRowStore()
            async with running_vms(2, store) as (first, second):
                first.history.record_crash(run_at(0), "cut off")
                await anyio.sleep(CRASH_WINDOW_S + 1.0)
                second.history.remove_expired(deletes_rows=False)
                await anyio.sleep(1.0)
                assert suspect_rows(store) == ["crash/t0/0"]
                first.history.remove_expired(deletes_rows=True)
                await anyio.sleep(1.0)
                assert not suspect_rows(store)

        run_in_virtual_time(scenario)

    def test_row_that_another_program_wrote_is_read_without_a_fault(self) -> None:
        async def scenario() -> None:
            store = MemoryRowStore()
            async with running_vms(1, store) as (vm,):
                for key, value in (
                    ("t9", b"1"),
                    ("crash/t8/x", b"\xff"),
                    ("crash/t7/" + "9" * 5000, b"7" * 5000),
                    ("trial/" + "9" * 5000, b""),
                    ("", b"-1"),
                ):
                    view = RowStoreView(store)
                    await view.commit(commit_of(key, value))
                await anyio.sleep(0.1)
                vm.history.record_crash(run_at(0), "cut off")
                await anyio.sleep(0.1)
                assert "crash/t0/0" in suspect_rows(store)

        run_in_virtual_time(scenario)

    def test_row_that_the_store_rejects_holds_up_no_other(self) -> None:
        """A rejected write ended the task, and with it the process."""

        async def scenario() -> None:
            store = MemoryRowStore()
            async with running_vms(1, store) as (vm,):
                commit = vm.history.store.commit

                async def reject_t0(wanted: RowCommit) -> RowsCommitted | RowConflict:
                    if any(write.key.key.startswith("crash/t0/") for write in wanted.writes):
                        raise CommitRejectedError("the key is too long", step="test")
                    return await commit(wanted)

                vm.history.store.commit = reject_t0  # type: ignore[method-assign]
                vm.history.record_crash(run_at(0), "cut off")
                await anyio.sleep(0.1)
                vm.history.record_crash(run_at(1), "cut off")
                await anyio.sleep(0.1)
                assert suspect_rows(store) == ["crash/t1/0"]
                assert vm.history.crash_count(DIGEST) == 2

        run_in_virtual_time(scenario)


def test_request_sent_all_day_through_all_vms_stays_within_the_budget() -> None:
    """The operators' rule: at most three runs later than 3 s after the third crash.

    The request is sent every half second for 15 min, through four VMs in turn, while the store is
    away twice, the first time from before the first crash on.
    """

    async def scenario() -> None:
        crashed_at_s: list[float] = []
        async with running_vms(4, MemoryRowStore()) as vms:
            for tick in range(1800):
                for vm in vms:
                    vm.flaws.down = tick < 4 or 200 <= tick < 240
                vm = vms[tick % 4]
                if await vm.may_send():
                    vm.history.record_crash(run_at(1000 + tick), "cut off")
                    crashed_at_s.append(anyio.current_time())
                await anyio.sleep(0.5)
        late = [at for at in crashed_at_s if at > crashed_at_s[CRASHES_TO_BLOCK - 1] + 3.0]
        assert len(late) <= 3

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("seed", range(1, 13))
def test_request_stays_within_the_budget_while_vms_and_the_store_fail(seed: int) -> None:
    """The operators' rule, for runs sent by VMs in touch, under random faults.

    VMs start again without memory, the store goes away, loses answers, refuses commits and drops
    its history, and targets answer the request with errors, which are no evidence either way.
    """
    generator = random.Random(seed)

    async def scenario() -> None:
        store = MemoryRowStore()
        crashed_at_s: list[float] = []
        late = 0
        async with anyio.create_task_group() as tasks:
            vms = [start_vm(store, tasks, number) for number in range(4)]
            unstable_at_s = anyio.current_time()
            for tick in range(1200):
                await anyio.sleep(0.25)
                now_s = anyio.current_time()
                if tick % 40 < 8 and generator.random() < 0.3:
                    unstable_at_s = now_s
                    spoil_store(store, [vm for vm, _, _ in vms], generator)
                elif tick % 40 == 8:
                    unstable_at_s = now_s
                    for vm, _, _ in vms:
                        vm.flaws.down = False
                if generator.random() < 0.02:
                    place = generator.randrange(4)
                    vms[place][2].cancel()
                    vms[place] = start_vm(store, tasks, 4 + tick)
                vm, started_s, _ = generator.choice(vms)
                if not await vm.may_send():
                    continue
                is_in_touch = now_s - max(started_s, unstable_at_s) >= IN_TOUCH_AFTER_S
                is_late = len(crashed_at_s) >= CRASHES_TO_BLOCK and (
                    now_s > crashed_at_s[CRASHES_TO_BLOCK - 1] + IN_TOUCH_AFTER_S
                )
                late += is_in_touch and is_late
                if generator.random() < 0.8:
                    vm.history.record_crash(run_at(1000 + tick), "cut off")
                    crashed_at_s.append(now_s)
            tasks.cancel_scope.cancel()
        assert len(crashed_at_s) >= CRASHES_TO_BLOCK
        assert late <= 3

    run_in_virtual_time(scenario)


def start_vm(
    store: MemoryRowStore, tasks: anyio.abc.TaskGroup, number: int
) -> tuple[Vm, float, anyio.CancelScope]:
    """Start a VM; return it with the time of its start and what ends it."""
    vm, scope = Vm(store, number), anyio.CancelScope()

    async def run() -> None:
        with scope:
            async with anyio.create_task_group() as own:
                own.start_soon(vm.history.run)
                own.start_soon(vm.follower.run)

    tasks.start_soon(run)
    return vm, anyio.current_time(), scope


def spoil_store(store: MemoryRowStore, vms: list[Vm], generator: random.Random) -> None:
    """Let the store go away, refuse commits or lose answers for a VM, or drop its history."""
    kind = generator.choice(("down", "refuse", "lose", "history"))
    vm = generator.choice(vms)
    if kind == "down":
        for other in vms:
            other.flaws.down = True
    elif kind == "refuse":
        vm.flaws.refuse_commits += 2
    elif kind == "lose":
        vm.flaws.lose_answers += 2
    else:
        store.forget_history()


def test_caller_that_leaves_while_its_suspect_waits_holds_up_no_other() -> None:
    """A suspect runs once at a time; one whose caller left would be taken to run for ever."""

    async def scenario() -> None:
        store = MemoryRowStore()
        async with running_vms(1, store) as (vm,):
            vm.flaws.down = True
            guard = CrashGuard(CrashDetector(vm.history, lambda _: True, lambda: True))
            call = live_call()
            for number in range(CRASHES_TO_BLOCK - 1):
                run = replace(run_at(number), digest=call.digest)
                vm.history.record_crash(run, "cut off")
            with anyio.move_on_after(0.1) as scope:
                await guard.may_run(call, is_copy=False)
            assert scope.cancelled_caught
            assert await guard.may_run(live_call(), is_copy=False)

    run_in_virtual_time(scenario)


def live_call() -> LiveCall:
    headers = (("Attempt-Id", "a"), ("Deadline-Ms", "2000"))
    request = Request("POST", "/x", headers, b"poison", anyio.current_time())
    attempts = AttemptTracker(repeatable=True, max_runs=3)
    return LiveCall(request, route(), SERVICE, anyio.current_time() + 2.0, attempts)
