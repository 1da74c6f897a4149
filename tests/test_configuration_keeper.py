"""Adoption of configurations from peers and the table, and archiving of their rows."""

import random

from balsamcleat.commands.submit_patch import PatchAccepted
from balsamcleat.configuration import (
    EMPTY_CONFIGURATION,
    NumberedConfiguration,
    apply_patch,
    encode_snapshot,
)
from balsamcleat.configuration.store import SNAPSHOT_KEY
from balsamcleat.decisions.read_pace import ReadPacer
from balsamcleat.model import ConfigurationVersion
from balsamcleat.model.peer import ConfigurationBody
from balsamcleat.standins.memory_store import MemoryObjects, MemoryTable
from balsamcleat.tasks import table_archiver as archiver_module
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.table_archiver import TableArchiver
from control_fakes import ControlNode, add_zone, base_operations, patch, run


def make_nodes(count: int) -> list[ControlNode]:
    table, objects = MemoryTable(), MemoryObjects()
    return [ControlNode(table, objects, seed) for seed in range(count)]


async def submit(node: ControlNode, *operations: dict[str, object]) -> None:
    base = node.keeper.current.version
    outcome = await node.submit(patch(base, *operations, operation_id=f"op-{base}"))
    assert isinstance(outcome, PatchAccepted), outcome


def make_body(record: NumberedConfiguration) -> ConfigurationBody:
    return ConfigurationBody(ConfigurationVersion(record.version), encode_snapshot(record))


def test_peers_send_changes_instead_of_the_full_configuration() -> None:
    """The full configuration of 1000 targets is much larger than 20 changes."""

    async def scenario() -> None:
        first, second = make_nodes(2)
        await submit(first, *base_operations(1_000))
        second.copy_from(first)
        for number in range(20):
            await submit(first, add_zone(f"new-{number}"))
        bodies = first.keeper.bodies_after(second.keeper.current.version)
        assert len(bodies) == 20
        assert sum(len(body.record) for body in bodies) < 20 * 1_000
        second.copy_from(first)
        assert second.keeper.current == first.keeper.current

    run(scenario)


def test_a_vm_that_starts_without_the_table_adopts_its_peers_configuration() -> None:
    async def scenario() -> None:
        first, second, third = make_nodes(3)
        await submit(first, *base_operations())
        await submit(first, add_zone("a"))
        first.table.down = True
        second.copy_from(first)
        assert second.keeper.current == first.keeper.current
        # A VM that adopted a snapshot has no earlier changes, so it sends a snapshot as well.
        first.keeper.recent_changes.clear()
        new_node = ControlNode(first.table, first.objects, 9)
        new_node.copy_from(first)
        third.copy_from(new_node)
        assert third.keeper.current == first.keeper.current

    run(scenario)


def test_older_and_invalid_configurations_are_rejected() -> None:
    async def scenario() -> None:
        first, second = make_nodes(2)
        await submit(first, *base_operations())
        old = make_body(first.keeper.current)
        await submit(first, add_zone("a"))
        newest = make_body(first.keeper.current)
        second.keeper.offer_body(newest, "peer")
        second.keeper.offer_body(old, "peer")
        wrong_record = newest.record.replace(b"10.0.0.1", b"10.0.0.9")
        second.keeper.offer_body(ConfigurationBody(ConfigurationVersion(3), wrong_record), "peer")
        for malformed in (b"", b"{}", b'{"kind":"change","head":{}}', b'{"kind":"snapshot"}'):
            second.keeper.offer_body(ConfigurationBody(ConfigurationVersion(9), malformed), "peer")
        assert second.keeper.current == first.keeper.current
        assert second.metrics.counters["configuration.body.refused"] == 5

    run(scenario)


def test_a_change_that_follows_a_diverged_history_is_rejected() -> None:
    async def scenario() -> None:
        first, second = make_nodes(2)
        await submit(first, *base_operations())
        diverged = apply_patch(EMPTY_CONFIGURATION, patch(0, add_zone("else")), 1.0)
        assert isinstance(diverged, NumberedConfiguration)
        second.keeper.offer(diverged, "peer")
        await submit(first, add_zone("a"))
        second.keeper.offer_body(first.keeper.bodies_after(1)[0], "peer")
        assert second.keeper.current == diverged
        assert second.metrics.counters["configuration.change.forked"] == 1

    run(scenario)


def test_the_table_replaces_a_diverged_configuration_of_a_peer() -> None:
    async def scenario() -> None:
        first, second = make_nodes(2)
        diverged = apply_patch(EMPTY_CONFIGURATION, patch(0, add_zone("else")), 1.0)
        assert isinstance(diverged, NumberedConfiguration)
        second.keeper.offer(diverged, "peer")
        await submit(first, *base_operations())
        await second.keeper.read_table()
        assert second.keeper.current == first.keeper.current
        # The same holds when the table has newer versions by then.
        third = ControlNode(first.table, first.objects, 7)
        third.keeper.offer(diverged, "peer")
        await submit(first, add_zone("a"))
        await third.keeper.read_table()
        assert third.keeper.current == first.keeper.current

    run(scenario)


def make_archiver(node: ControlNode) -> TableArchiver:
    leases = LeaseKeeper("vm", node.table, node.clock, node.randomness, node.metrics)  # type: ignore[arg-type]
    return TableArchiver(
        node.table,
        node.objects,
        node.keeper,
        leases,
        node.clock,
        node.randomness,
        node.metrics,
    )


def test_old_rows_move_to_objects_and_the_history_stays_complete(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    for name, value in [
        ("SNAPSHOT_EVERY", 10),
        ("CHANGES_KEPT", 20),
        ("AUDIT_ROWS_KEPT", 20),
        ("ROWS_PER_ARCHIVE", 10),
        ("OLD_SNAPSHOT_EVERY", 30),
    ]:
        monkeypatch.setattr(archiver_module, name, value)

    async def scenario() -> None:
        (node,) = make_nodes(1)
        archiver = make_archiver(node)
        await submit(node, *base_operations())
        for number in range(119):
            node.clock.time_s += 1.0  # type: ignore[attr-defined]
            await submit(node, add_zone(f"a-{number}"))
            await archiver.run_once()
        rows = len(node.table.rows)
        # The head, the snapshot, and for changes, submissions and audit rows: those that are kept
        # and those of one archive.
        assert rows <= 2 + 2 * 40 + 40
        lines = await node.history.list_changes()
        assert [line.version for line in lines] == list(range(1, 121))
        audit_rows = await node.history.list_audit_rows()
        assert [row.version for row in audit_rows] == list(range(1, 121))
        for version in (1, 7, 55, 120):
            record = await node.history.load_version(version)
            assert record is not None
            assert record.version == version
            assert len(record.body.zones) == version
        new_node = ControlNode(node.table, node.objects, 5)
        await new_node.keeper.read_table()
        assert new_node.keeper.current == node.keeper.current
        assert len(node.objects.bodies) < 40

    run(scenario)


def test_a_stop_before_deleting_archived_rows_neither_loses_nor_doubles_rows(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    monkeypatch.setattr(archiver_module, "SNAPSHOT_EVERY", 5)
    monkeypatch.setattr(archiver_module, "CHANGES_KEPT", 5)
    monkeypatch.setattr(archiver_module, "ROWS_PER_ARCHIVE", 10)

    async def scenario() -> None:
        (node,) = make_nodes(1)
        archiver = make_archiver(node)
        for number in range(30):
            await submit(node, add_zone(f"a-{number}"))
        await archiver.write_snapshot()
        saved = dict(node.table.rows)
        await archiver.archive_changes()
        # Restores the deleted rows, as if the process had stopped before the deletion.
        node.table.rows = saved
        assert [line.version for line in await node.history.list_changes()] == list(range(1, 31))
        await archiver.archive_changes()
        assert [line.version for line in await node.history.list_changes()] == list(range(1, 31))
        assert SNAPSHOT_KEY in node.table.rows

    run(scenario)


def test_the_total_read_rate_of_all_vms_is_bounded() -> None:
    pace = ReadPacer(1.0, 100.0, random.Random(1))
    waits = [pace.wait_s(1500) for _ in range(1500)]
    assert 1500 / (sum(waits) / len(waits)) <= 110.0
    assert pace.mean_wait_s(12) == 1.0
