"""Usage is reported once per window, with the true counts, whatever fails on the way."""

import random
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import pytest

from balsamcleat.errors import OutcomeUnknownError
from balsamcleat.model import TeamName
from balsamcleat.ports.duties import UsageReport
from balsamcleat.ports.rows import RowChange, RowCommit, RowKey, RowsCommitted, RowWrite
from balsamcleat.standins.row_store import RowStoreFlaws, RowStoreView
from balsamcleat.tasks.rollout_records import VM_PART, VMS_TABLE
from balsamcleat.tasks.usage_records import UsageRecords
from balsamcleat.tasks.vm_presence import VmRowValue, decode_vm
from step_world import run_in_virtual_time
from usage_world import (
    FIRST,
    START_S,
    WINDOW_S,
    UsageVm,
    UsageWorld,
    sleep_until,
    true_s,
    window_now,
)

# Row that the previous build (commit 91fd965) wrote.
PREVIOUS_ROW = b'{"boot":"5f1c","address":"10.0.0.7:80","zone":"bern-a","beat":12}'


def play(scenario: Callable[[UsageWorld], Awaitable[None]]) -> None:
    """Run a scenario in virtual time."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            await scenario(UsageWorld(tasks))
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


def start_vms(world: UsageWorld, names: str = "abc") -> list[UsageVm]:
    vms = [world.start(name) for name in names]
    world.move_lease(vms[0])
    return vms


def test_reports_have_the_true_counts_and_come_soon() -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(62.0)
        world.check(range(FIRST - 1, FIRST + 11))
        assert len(world.platform.calls) == 13
        assert max(world.platform.arrivals.values()) < 2.5
        assert vms[0].metrics.counters["usage.windows.reported"] == 13
        assert not vms[0].metrics.counters["usage.windows.late"]

    play(scenario)


def test_window_before_the_first_configuration_is_not_reported() -> None:
    async def scenario(world: UsageWorld) -> None:
        vm = start_vms(world, "a")[0]
        vm.is_serving = False
        vm.counter.configured_at_s = None
        await sleep_until(7.0)
        vm.counter.start()
        await sleep_until(17.0)
        assert sorted(world.platform.accepted) == [FIRST + 1, FIRST + 2]

    play(scenario)


@pytest.mark.parametrize("error_s", [3.0, -3.0, 40.0])
def test_wall_clocks_that_jump_and_return_change_nothing(error_s: float) -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(13.0)
        vms[0].clock_error_s = error_s
        await sleep_until(21.0)
        vms[1].clock_error_s = -error_s / 2
        await sleep_until(33.0)
        vms[0].clock_error_s = vms[1].clock_error_s = 0.0
        await sleep_until(62.0)
        world.check(range(FIRST, FIRST + 11))

    play(scenario)


def test_majority_that_started_with_wrong_clocks_changes_nothing() -> None:
    async def scenario(world: UsageWorld) -> None:
        start_vms(world, "ab")
        await sleep_until(61.0)
        for name in "cdefg":
            world.start(name, clock_error_s=2.0)
        await sleep_until(92.0)
        world.check(range(FIRST, FIRST + 17))

    play(scenario)


def test_killed_vm_counts_with_its_last_row() -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(13.0)
        vms[2].is_serving = False
        await anyio.sleep(0.6)
        vms[2].kill()
        await sleep_until(62.0)
        world.check(range(FIRST, FIRST + 10))

    play(scenario)


def test_count_is_written_within_the_short_heartbeat_interval() -> None:
    """Guards against counts that an idle VM keeps to itself for a second, and loses when killed."""

    async def scenario(world: UsageWorld) -> None:
        vm = start_vms(world, "a")[0]
        vm.is_serving = False
        await anyio.sleep(2.0)
        for _ in range(20):
            await anyio.sleep(1.37)
            world.request(vm, "huka270")
            await anyio.sleep(0.4 * 1.2 + 0.01)
            row = decode_vm(world.store.change_of(RowKey(VMS_TABLE, VM_PART, "a")))
            assert row.usage is not None
            total = sum(sum(counts) for counts in row.usage.counts.values())
            assert total == sum(
                count
                for window, counts in world.truth.items()
                if window >= row.usage.first
                for count in counts.values()
            )

    play(scenario)


@pytest.mark.parametrize("clock_error_s", [0.0, 6.0])
def test_restarted_vm_takes_over_the_windows_of_its_row(clock_error_s: float) -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(13.0)
        for vm in vms:
            vm.is_serving = False
        await anyio.sleep(0.6)
        for vm in vms:
            vm.kill()
        await anyio.sleep(1.0)
        vms = [world.start(vm.name, "boot2", clock_error_s) for vm in vms]
        world.move_lease(vms[1])
        # The clocks are wrong for less time than they were right.
        await sleep_until(24.0)
        for vm in vms:
            vm.clock_error_s = 0.0
        await sleep_until(62.0)
        world.check(range(FIRST, FIRST + 10))

    play(scenario)


@pytest.mark.parametrize("after_s", [0.0, 0.001, 0.003, 0.2])
def test_late_write_of_the_process_before_is_taken_over(after_s: float) -> None:
    """Guards against the loss of counts that take effect after the new process has read its row.

    At some of the times the new process has not written its row yet, at others it has; a write on
    the condition of the version before then has no effect any more, and its request is not counted.
    """

    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(11.0)
        vms[2].is_serving = False
        await anyio.sleep(0.6)
        vms[2].flaws.hold_commits = 1
        vms[2].counter.record_started(TeamName("huka270"), anyio.current_time())
        while not world.store.held:
            await world.store.changed.wait()
            await anyio.sleep(0.001)
        window = window_now()
        vms[2].kill()
        again = world.start("c", "boot2")
        again.is_serving = False
        await anyio.sleep(after_s)
        outcomes = world.store.release()
        if isinstance(outcomes[0], RowsCommitted):
            world.truth[window]["huka270"] += 1
        await sleep_until(62.0)
        world.check(range(FIRST, FIRST + 10))
        assert isinstance(outcomes[0], RowsCommitted) == (after_s < 0.004)

    play(scenario)


def test_late_unconditional_write_of_the_process_before_is_taken_over() -> None:
    """Guards against the loss of what a process wrote that overwrites the new one's row."""

    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(11.0)
        vms[2].is_serving = False
        await anyio.sleep(1.6)
        key = RowKey(VMS_TABLE, VM_PART, "c")
        world.request(vms[2], "huka270")
        vms[2].kill()
        usage = vms[2].counter.publish()
        late = vms[2].presence.next_value(usage)
        again = world.start("c", "boot2")
        again.is_serving = False
        for _ in range(3):
            await anyio.sleep(0.21)
            world.store.apply(RowCommit((RowWrite(key, late),)))
        await sleep_until(62.0)
        world.check(range(FIRST, FIRST + 10))

    play(scenario)


def test_process_does_not_take_over_from_a_newer_one() -> None:
    """Guards against counts that two processes of a VM, one of them frozen, count twice."""

    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(12.0)
        world.start("c", "boot2")
        await sleep_until(19.0)
        vms[2].kill()
        await sleep_until(62.0)
        for window in range(FIRST, FIRST + 10):
            reported = world.platform.accepted[window]
            assert all(count <= world.truth[window][team] for team, count in reported.items())
        world.check(range(FIRST + 4, FIRST + 10))

    play(scenario)


def test_vm_cut_off_from_the_store_over_the_end_of_a_window_is_waited_for() -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(13.0)
        vms[2].flaws.down = True
        await sleep_until(20.0)
        vms[2].flaws.down = False
        await sleep_until(62.0)
        world.check(range(FIRST, FIRST + 10))

    play(scenario)


def test_vm_cut_off_for_long_delays_reports_only_as_long_as_they_are_in_time() -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(12.0)
        vms[2].is_serving = False
        await anyio.sleep(0.6)
        vms[2].flaws.down = True
        await sleep_until(62.0)
        world.check(range(FIRST, FIRST + 10))
        assert 7.0 <= world.platform.arrivals[FIRST + 3] < 8.0

    play(scenario)


@pytest.mark.parametrize("down_s", [8.0, 45.0])
def test_store_outage_makes_reports_late_rather_than_wrong(down_s: float) -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(13.0)
        for vm in vms:
            vm.flaws.down = True
        await anyio.sleep(down_s)
        for vm in vms:
            vm.flaws.down = False
        await sleep_until(92.0)
        world.check(range(FIRST, FIRST + 16), late_s=down_s)

    play(scenario)


def test_duty_interface_down_for_longer_than_the_due_time() -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(13.0)
        world.platform.is_down = True
        await sleep_until(103.0)
        world.platform.is_down = False
        await sleep_until(122.0)
        world.check(range(FIRST, FIRST + 22), late_s=90.0)
        assert vms[0].metrics.counters["usage.windows.late"] >= 15

    play(scenario)


def test_throttled_reports_are_sent_again() -> None:
    async def scenario(world: UsageWorld) -> None:
        start_vms(world)
        await sleep_until(13.0)
        world.platform.throttle = 6
        await sleep_until(32.0)
        world.check(range(FIRST, FIRST + 5))

    play(scenario)


def test_report_with_unknown_outcome_is_sent_again_unchanged() -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(13.0)
        world.platform.lose_answers = 3
        await sleep_until(32.0)
        world.check(range(FIRST, FIRST + 5))
        assert vms[0].metrics.counters["usage.windows.repeated"] == 3
        assert len(world.platform.calls) == len(world.platform.accepted) + 3

    play(scenario)


def test_holder_that_dies_between_storing_and_sending_is_succeeded_by_its_report() -> None:
    """Guards against a successor that counts anew: a VM may have published more since then."""

    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(9.0)
        records = UsageRecords(RowStoreView(world.store))
        vms[0].lease.held = None
        report = UsageReport(FIRST + 1, {"huka270": 1})  # type: ignore[dict-item]
        assert await records.create(report, 3, await records.read())
        vms[0].kill()
        await sleep_until(14.0)
        world.move_lease(vms[1])
        await sleep_until(20.0)
        assert world.platform.accepted[FIRST + 1] == {"huka270": 1}

    play(scenario)


def test_holder_that_dies_after_sending_before_marking_is_succeeded_by_a_repetition() -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)

        def kill_holder(report: UsageReport) -> None:
            if report.window == FIRST + 1:
                vms[0].kill()

        world.platform.on_call = kill_holder
        await sleep_until(13.0)
        assert world.platform.calls[-1] == FIRST + 1
        world.move_lease(vms[1])
        await sleep_until(17.0)
        assert world.platform.calls.count(FIRST + 1) == 2

    play(scenario)


def test_two_vms_that_both_believe_they_hold_the_lease_send_the_same() -> None:
    """Guards against different counts of two holders of which one lacks the counts of a VM."""

    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        world.give_lease(vms[1])
        await sleep_until(12.0)
        vms[1].flaws.answer_delay_s = 0.4
        vms[0].flaws.lose_answers = 2
        vms[2].flaws.delay_s = 0.3
        await sleep_until(62.0)
        world.check(range(FIRST, FIRST + 10))

    play(scenario)


def test_late_commit_does_not_store_a_report_whose_row_was_deleted() -> None:
    """Guards against a second report for a window after the first one was deleted."""

    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        records = UsageRecords(RowStoreView(world.store))
        late = await records.read()
        await sleep_until(112.0)
        stored = await records.read()
        assert min(stored.reports) > FIRST + 5
        report = UsageReport(FIRST, {"huka270": 1})  # type: ignore[dict-item]
        assert not await records.create(report, 3, late)
        vms[0].lease.held = None
        world.move_lease(vms[1])
        await sleep_until(122.0)
        world.check(range(FIRST, FIRST + 22))
        assert len(world.platform.calls) == len(set(world.platform.calls))

    play(scenario)


@pytest.mark.parametrize("is_late", [False, True])
def test_first_report_that_is_stored_is_the_one_that_counts(is_late: bool) -> None:
    """Guards against two holders that read the same rows, and store different counts."""

    async def scenario(world: UsageWorld) -> None:
        flaws = RowStoreFlaws(hold_commits=1 if is_late else 0)
        first, second = (
            UsageRecords(RowStoreView(world.store, flaws)),
            UsageRecords(RowStoreView(world.store)),
        )
        known = await first.read()
        reports = [
            UsageReport(FIRST, {"huka270": count})  # type: ignore[dict-item]
            for count in (1, 2)
        ]
        if is_late:
            with pytest.raises(OutcomeUnknownError):
                await first.create(reports[0], 3, known)
            assert await second.create(reports[1], 3, known)
            world.store.release()
        else:
            assert await second.create(reports[1], 3, known)
            assert not await first.create(reports[0], 3, known)
        stored = await second.read()
        assert stored.reports[FIRST].report == reports[1]

    play(scenario)


def test_rows_are_deleted_a_minute_after_their_window() -> None:
    async def scenario(world: UsageWorld) -> None:
        start_vms(world)
        await sleep_until(182.0)
        stored = await UsageRecords(RowStoreView(world.store)).read()
        assert 12 <= len(stored.reports) <= 14
        assert all(report.is_done for report in stored.reports.values())

    play(scenario)


def test_unreadable_report_is_neither_sent_nor_replaced() -> None:
    async def scenario(world: UsageWorld) -> None:
        key = RowKey("usage", "", str(FIRST))
        world.store.apply(RowCommit((RowWrite(key, b"{"),)))
        start_vms(world)
        await sleep_until(22.0)
        assert FIRST not in world.platform.accepted
        world.check(range(FIRST + 1, FIRST + 3))

    play(scenario)


def test_rows_of_the_previous_build_neither_count_nor_delay() -> None:
    async def scenario(world: UsageWorld) -> None:
        key = RowKey(VMS_TABLE, VM_PART, "z")
        start_vms(world)
        for second in range(30):
            world.store.apply(RowCommit((RowWrite(key, PREVIOUS_ROW),)))
            await sleep_until(second + 1.0)
        world.check(range(FIRST, FIRST + 5))
        assert max(world.platform.arrivals.values()) < 2.5

    play(scenario)


def test_row_of_the_previous_build_is_read_and_written_as_before() -> None:
    row = decode_vm(RowChange(RowKey(VMS_TABLE, VM_PART, "z"), PREVIOUS_ROW, 1))
    assert (row.boot, row.usage, row.clock) == ("5f1c", None, None)
    value = VmRowValue("5f1c", "10.0.0.7:80", "bern-a", 12)
    assert msgspec.json.encode(value) == PREVIOUS_ROW


@pytest.mark.parametrize(
    "fields",
    [
        b'"usage":{"first":"x"}',
        b'"usage":7,"clock":[1]',
        b'"clock":{"difference_ms":"a","held_s":1}',
        b'"usage":{"length_ms":5000,"first":1,"complete":2,"counts":{"a":[1.5]}}',
    ],
)
def test_unreadable_field_does_not_make_a_vm_count_as_stopped(fields: bytes) -> None:
    value = PREVIOUS_ROW[:-1] + b"," + fields + b',"later":1}'
    row = decode_vm(RowChange(RowKey(VMS_TABLE, VM_PART, "z"), value, 1))
    assert (row.boot, row.usage, row.clock) == ("5f1c", None, None)


def test_requests_before_the_first_read_of_the_store_are_counted() -> None:
    async def scenario(world: UsageWorld) -> None:
        vm = world.start("a")
        vm.flaws.down = True
        vm.is_serving = False
        world.move_lease(vm)
        await anyio.sleep(1.0)
        world.request(vm, "huka270")
        await anyio.sleep(3.0)
        vm.flaws.down = False
        await sleep_until(12.0)
        world.check(range(FIRST - 1, FIRST + 1))
        assert true_s() > START_S + WINDOW_S

    play(scenario)


def test_stopped_vm_is_not_waited_for() -> None:
    async def scenario(world: UsageWorld) -> None:
        vms = start_vms(world)
        await sleep_until(12.0)
        vms[2].is_serving = False
        await vms[2].presence.announce_leaving()
        await vms[2].presence.announce_stopped()
        vms[2].kill()
        await sleep_until(32.0)
        world.check(range(FIRST, FIRST + 5))
        assert max(world.platform.arrivals.values()) < 2.5

    play(scenario)


def fail_at(world: UsageWorld, vm: UsageVm, generator: random.Random) -> None:
    """Let something fail at a VM, at its store or at the platform."""
    count = generator.randrange(1, 4)
    generator.choice(
        (
            lambda: setattr(vm.flaws, "down", True),
            lambda: setattr(vm.flaws, "delay_s", 0.3),
            lambda: setattr(vm.flaws, "lose_answers", count),
            lambda: setattr(vm.flaws, "hold_commits", count),
            lambda: setattr(vm, "clock_error_s", generator.uniform(-6.0, 6.0)),
            lambda: world.move_lease(vm),
            lambda: world.give_lease(vm),
            lambda: setattr(world.platform, "is_down", True),
            lambda: setattr(world.platform, "lose_answers", count),
            lambda: setattr(world.platform, "throttle", 2 * count),
        )
    )()


async def disturb(world: UsageWorld, vms: list[UsageVm], generator: random.Random) -> None:
    """Let something fail for up to 4 s, and set it right again."""
    vm = generator.choice(vms)
    fail_at(world, vm, generator)
    await anyio.sleep(generator.uniform(0.2, 4.0))
    world.store.release()
    vm.flaws.down = world.platform.is_down = False
    vm.flaws.delay_s, vm.clock_error_s = 0.002, 0.0


@pytest.mark.parametrize("seed", range(16))
def test_random_faults_lead_to_one_true_report_for_each_window(seed: int) -> None:
    """Guards against interleavings that no other test has; no fault lasts for over 4 s."""

    async def scenario(world: UsageWorld) -> None:
        generator = random.Random(seed)
        vms = start_vms(world, "abcde")
        await sleep_until(3.0)
        while anyio.current_time() < 90.0:
            async with anyio.create_task_group() as faults:
                for _ in range(generator.randrange(1, 4)):
                    faults.start_soon(disturb, world, vms, generator)
            await anyio.sleep(generator.uniform(0.0, 3.0))
        world.move_lease(vms[0])
        await sleep_until(112.0)
        world.check(range(FIRST, FIRST + 20), late_s=10.0)

    play(scenario)
