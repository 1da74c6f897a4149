"""Patches under races, lost answers, retries through other VMs and outages; rollbacks."""

import contextlib

import anyio
import pytest

from balsamcleat.adapters.system import SystemClock
from balsamcleat.commands.roll_back import RollBackRequest
from balsamcleat.commands.submit_patch import PatchAccepted
from balsamcleat.configuration import PatchRejected, PatchRequest
from balsamcleat.errors import OutcomeUnknownError, PlatformError, PlatformUnavailableError
from balsamcleat.queries.history import AuditFilter
from balsamcleat.standins.memory_store import CommitFlaw, MemoryObjects, MemoryTable
from control_fakes import ControlNode, add, add_zone, base_operations, patch, remove, run


def make_nodes(count: int) -> tuple[MemoryTable, list[ControlNode]]:
    table, objects = MemoryTable(), MemoryObjects()
    return table, [ControlNode(table, objects, seed, SystemClock()) for seed in range(count)]


async def submit_accepted(node: ControlNode, request: PatchRequest) -> PatchAccepted:
    outcome = await node.submit(request)
    assert isinstance(outcome, PatchAccepted), outcome
    return outcome


def test_no_patch_of_twenty_racing_operators_is_lost() -> None:
    async def scenario() -> None:
        table, racing = make_nodes(20)
        table.delay_s = 0.01
        authors: dict[int, str] = {}

        async def operate(node: ControlNode, name: str) -> None:
            for attempt in range(60):
                await node.keeper.read_table()
                base = node.keeper.current.version
                outcome = await node.submit(
                    patch(base, add_zone(name), operation_id=f"{name}-{attempt}")
                )
                if isinstance(outcome, PatchAccepted):
                    assert authors.setdefault(outcome.version, name) == name
                    return
                assert outcome.reason == "stale"
            raise AssertionError(f"no patch of {name} was accepted")

        async with anyio.create_task_group() as group:
            for number, node in enumerate(racing):
                group.start_soon(operate, node, f"zone-{number}")
        assert sorted(authors) == list(range(1, 21))
        lines = await racing[0].history.list_changes()
        assert [line.version for line in lines] == list(range(1, 21))
        await racing[0].keeper.read_table()
        assert len(racing[0].keeper.current.body.zones) == 20
        for node in racing:
            while node.audit.pending_writes:
                await node.audit.write_batch()
        trail = await racing[0].history.list_audit_rows()
        assert sum(row.result == "accepted" for row in trail) == 20
        rejections = sum(node.metrics.counters["configuration.patch.stale"] for node in racing)
        assert sum(row.result.startswith("refused: stale") for row in trail) == rejections

    run(scenario)


@pytest.mark.parametrize(
    "flaw", [CommitFlaw.LOST_APPLIED, CommitFlaw.LOST_DROPPED, CommitFlaw.LOST_LATE]
)
def test_patch_whose_answer_is_lost_is_applied_once(flaw: CommitFlaw) -> None:
    async def scenario() -> None:
        table, (first, second) = make_nodes(2)
        await submit_accepted(first, patch(0, *base_operations(), operation_id="base"))
        table.flaws.append(flaw)
        request = patch(1, add_zone("new"), operation_id="once")
        try:
            await first.submit(request)
        except OutcomeUnknownError:
            assert flaw is not CommitFlaw.LOST_APPLIED
        # The operator retries through another VM, and the lost write arrives afterwards.
        again = await submit_accepted(second, request)
        table.deliver_late()
        third = await submit_accepted(first, request)
        assert (again.version, third.version) == (2, 2)
        assert third.repeated
        await second.keeper.read_table()
        assert second.keeper.current.version == 2

    run(scenario)


@pytest.mark.parametrize("second_flaw", list(CommitFlaw))
@pytest.mark.parametrize("first_flaw", list(CommitFlaw))
@pytest.mark.parametrize("cut", [False, True])
def test_two_consecutive_failures_neither_lose_nor_repeat_a_patch(
    first_flaw: CommitFlaw, second_flaw: CommitFlaw, cut: bool
) -> None:
    async def scenario() -> None:
        table, (first, second) = make_nodes(2)
        await submit_accepted(first, patch(0, *base_operations(), operation_id="base"))
        table.flaws.extend([first_flaw, second_flaw])
        request = patch(1, add_zone("new"), operation_id="once")
        with contextlib.suppress(PlatformError):
            await first.submit(request)
        # The first VM dies. In one case the table is unavailable when the operator retries.
        table.down = cut
        for _ in range(6):
            try:
                outcome = await second.submit(request)
            except PlatformError:
                table.down = False
                continue
            break
        table.deliver_late()
        assert isinstance(outcome, PatchAccepted), outcome
        made = [line for line in await second.history.list_changes() if line.operation_id == "once"]
        assert [line.version for line in made] == [2] == [outcome.version]

    run(scenario)


def test_operation_id_of_another_patch_is_rejected() -> None:
    async def scenario() -> None:
        _, (node,) = make_nodes(1)
        await submit_accepted(node, patch(0, add_zone("a")))
        outcome = await node.submit(patch(1, add_zone("b")))
        assert isinstance(outcome, PatchRejected)
        assert "was used" in outcome.faults[0].problem

    run(scenario)


def test_attempt_during_a_table_outage_is_audited_after_the_outage() -> None:
    async def scenario() -> None:
        table, (node,) = make_nodes(1)
        async with anyio.create_task_group() as group:
            group.start_soon(node.audit.run)
            table.down = True
            with pytest.raises(PlatformUnavailableError):
                await node.submit(patch(0, add_zone("a")))
            await anyio.sleep(3600)
            table.down = False
            await anyio.sleep(5)
            group.cancel_scope.cancel()
        (row,) = await node.history.list_audit_rows()
        assert (row.author, row.reason) == ("ann", "because")
        assert row.result == "not taken: the table is down"

    run(scenario)


def test_dry_run_writes_nothing() -> None:
    async def scenario() -> None:
        table, (node,) = make_nodes(1)
        outcome = await submit_accepted(node, patch(0, add_zone("a"), dry_run=True))
        assert (outcome.version, outcome.dry_run) == (1, True)
        rejected = await node.submit(patch(0, add("/targets/t", {}), dry_run=True))
        assert isinstance(rejected, PatchRejected)
        assert not table.rows
        assert not node.audit.pending_writes

    run(scenario)


def test_rollback_makes_a_new_version_with_the_old_contents() -> None:
    async def scenario() -> None:
        _, (node,) = make_nodes(1)
        await submit_accepted(node, patch(0, *base_operations(), operation_id="1"))
        await submit_accepted(
            node,
            patch(1, remove("/targets/t0"), add("/zones/z/region", "q"), operation_id="2"),
        )
        diff = await node.history.diff(1, 2)
        assert [line.path for line in diff] == ["/targets/t0", "/zones/z"]
        outcome = await node.roll_back(RollBackRequest(2, 1, "ann", "", "3"))
        assert isinstance(outcome, PatchAccepted)
        assert outcome.version == 3
        assert await node.history.diff(1, 3) == ()
        (row,) = await node.history.list_audit_rows(
            AuditFilter(result="accepted", since_s=0, limit=1)
        )
        assert (row.version, row.reason) == (3, "roll back to 1")

    run(scenario)


def test_large_change_is_stored_in_the_object_store() -> None:
    async def scenario() -> None:
        table, (first, second) = make_nodes(2)
        await submit_accepted(first, patch(0, *base_operations(2_000), operation_id="1"))
        assert max(len(row.value) for row in table.rows.values()) <= 64 * 1024
        await second.keeper.read_table()
        assert second.keeper.current == first.keeper.current

    run(scenario)


def test_only_small_patches_are_accepted_during_an_object_store_outage() -> None:
    async def scenario() -> None:
        _, (node,) = make_nodes(1)
        node.objects.down = True
        await submit_accepted(node, patch(0, *base_operations(), operation_id="1"))
        with pytest.raises(PlatformError):
            await node.submit(patch(1, *base_operations(2_000), operation_id="2"))

    run(scenario)
