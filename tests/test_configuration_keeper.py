"""Configurations in force: from peers and table, only upwards, verified."""

import random

from balsamcleat.commands.submit_patch import PatchAccepted
from balsamcleat.configuration import EMPTY, NumberedConfiguration, apply_patch, encode_record
from balsamcleat.configuration.store import SNAPSHOT_KEY
from balsamcleat.decisions.read_pace import ReadPacer
from balsamcleat.model import ConfigurationVersion
from balsamcleat.model.peer import ConfigurationBody
from balsamcleat.standins.memory_store import MemoryObjects, MemoryTable
from balsamcleat.tasks import table_archiver as archives
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.table_archiver import TableArchiver
from control_fakes import ControlNode, add_zone, base_operations, patch, run


def nodes(count: int) -> list[ControlNode]:
    table, objects = MemoryTable(), MemoryObjects()
    return [ControlNode(table, objects, seed) for seed in range(count)]


async def submit(node: ControlNode, *operations: dict[str, object]) -> None:
    base = node.keeper.current.version
    outcome = await node.submit(patch(base, *operations, operation_id=f"op-{base}"))
    assert isinstance(outcome, PatchAccepted), outcome


def body_of(record: NumberedConfiguration) -> ConfigurationBody:
    return ConfigurationBody(ConfigurationVersion(record.version), encode_record(record))


def test_peers_hand_over_changes_and_not_the_whole() -> None:
    async def scenario() -> None:
        first, second = nodes(2)
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


def test_a_vm_that_starts_with_the_table_down_takes_what_its_peers_hold() -> None:
    async def scenario() -> None:
        first, second, third = nodes(3)
        await submit(first, *base_operations())
        await submit(first, add_zone("a"))
        first.table.down = True
        second.copy_from(first)
        assert second.keeper.current == first.keeper.current
        # A snapshot has no changes before it; its taker hands on a snapshot in turn.
        first.keeper.recent_changes.clear()
        fresh = ControlNode(first.table, first.objects, 9)
        fresh.copy_from(first)
        third.copy_from(fresh)
        assert third.keeper.current == first.keeper.current

    run(scenario)


def test_a_node_only_moves_up_and_refuses_wrong_bodies() -> None:
    async def scenario() -> None:
        first, second = nodes(2)
        await submit(first, *base_operations())
        old = body_of(first.keeper.current)
        await submit(first, add_zone("a"))
        newest = body_of(first.keeper.current)
        second.keeper.offer_body(newest, "peer")
        second.keeper.offer_body(old, "peer")
        wrong = newest.record.replace(b"10.0.0.1", b"10.0.0.9")
        second.keeper.offer_body(ConfigurationBody(ConfigurationVersion(3), wrong), "peer")
        for junk in (b"", b"{}", b'{"kind":"change","head":{}}', b'{"kind":"snapshot"}'):
            second.keeper.offer_body(ConfigurationBody(ConfigurationVersion(9), junk), "peer")
        assert second.keeper.current == first.keeper.current
        assert second.metrics.counters["configuration.body.refused"] == 5

    run(scenario)


def test_a_change_that_follows_another_history_is_refused() -> None:
    async def scenario() -> None:
        first, second = nodes(2)
        await submit(first, *base_operations())
        other = apply_patch(EMPTY, patch(0, add_zone("else")), 1.0)
        assert isinstance(other, NumberedConfiguration)
        second.keeper.offer(other, "peer")
        await submit(first, add_zone("a"))
        second.keeper.offer_body(first.keeper.bodies_after(1)[0], "peer")
        assert second.keeper.current == other
        assert second.metrics.counters["configuration.change.forked"] == 1

    run(scenario)


def test_the_table_corrects_a_number_that_a_peer_gave_other_contents() -> None:
    async def scenario() -> None:
        first, second = nodes(2)
        other = apply_patch(EMPTY, patch(0, add_zone("else")), 1.0)
        assert isinstance(other, NumberedConfiguration)
        second.keeper.offer(other, "peer")
        await submit(first, *base_operations())
        await second.keeper.read_table()
        assert second.keeper.current == first.keeper.current
        # Also when the table has gone on meanwhile.
        third = ControlNode(first.table, first.objects, 7)
        third.keeper.offer(other, "peer")
        await submit(first, add_zone("a"))
        await third.keeper.read_table()
        assert third.keeper.current == first.keeper.current

    run(scenario)


def make_archivist(node: ControlNode) -> TableArchiver:
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


def test_old_rows_move_to_objects_and_the_history_stays_whole(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    for name, value in [
        ("SNAPSHOT_EVERY", 10),
        ("CHANGES_KEPT", 20),
        ("AUDIT_ROWS_KEPT", 20),
        ("ROWS_PER_ARCHIVE", 10),
        ("OLD_SNAPSHOT_EVERY", 30),
    ]:
        monkeypatch.setattr(archives, name, value)

    async def scenario() -> None:
        (node,) = nodes(1)
        archivist = make_archivist(node)
        await submit(node, *base_operations())
        for number in range(119):
            node.clock.time_s += 1.0  # type: ignore[attr-defined]
            await submit(node, add_zone(f"a-{number}"))
            await archivist.run_once()
        rows = len(node.table.rows)
        # Head, snapshot, and for changes, submissions and audit lines what is kept and one archive.
        assert rows <= 2 + 2 * 40 + 40
        lines = await node.history.lines()
        assert [line.version for line in lines] == list(range(1, 121))
        trail = await node.history.audit()
        assert [row.version for row in trail] == list(range(1, 121))
        for version in (1, 7, 55, 120):
            record = await node.history.one(version)
            assert record is not None
            assert record.version == version
            assert len(record.body.zones) == version
        fresh = ControlNode(node.table, node.objects, 5)
        await fresh.keeper.read_table()
        assert fresh.keeper.current == node.keeper.current
        assert len(node.objects.bodies) < 40

    run(scenario)


def test_a_stop_between_archive_and_removal_loses_and_doubles_nothing(monkeypatch) -> None:  # type: ignore[no-untyped-def]
    monkeypatch.setattr(archives, "SNAPSHOT_EVERY", 5)
    monkeypatch.setattr(archives, "CHANGES_KEPT", 5)
    monkeypatch.setattr(archives, "ROWS_PER_ARCHIVE", 10)

    async def scenario() -> None:
        (node,) = nodes(1)
        archivist = make_archivist(node)
        for number in range(30):
            await submit(node, add_zone(f"a-{number}"))
        await archivist.write_snapshot()
        saved = dict(node.table.rows)
        await archivist.archive_changes()
        # The removal is undone, as if the process had stopped before it.
        node.table.rows = saved
        assert [line.version for line in await node.history.lines()] == list(range(1, 31))
        await archivist.archive_changes()
        assert [line.version for line in await node.history.lines()] == list(range(1, 31))
        assert SNAPSHOT_KEY in node.table.rows

    run(scenario)


def test_reads_of_all_nodes_together_stay_a_small_part_of_the_tables_rate() -> None:
    pace = ReadPacer(1.0, 100.0, random.Random(1))
    waits = [pace.wait_s(1500) for _ in range(1500)]
    assert 1500 / (sum(waits) / len(waits)) <= 110.0
    assert pace.mean_wait_s(12) == 1.0
