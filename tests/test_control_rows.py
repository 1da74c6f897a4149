"""Table rows that are malformed or were written by another release."""

from contextlib import suppress

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness
from balsamcleat.commands.submit_patch import PatchAccepted
from balsamcleat.configuration.store import (
    HEAD_KEY,
    SNAPSHOT_KEY,
    OperationRow,
    decode_head_row,
    operation_key,
)
from balsamcleat.decisions.lease import LeaseRow, decode_lease, lease_key
from balsamcleat.errors import PlatformError, ProtocolError
from balsamcleat.model import VmId
from balsamcleat.model.audit import AuditRow
from balsamcleat.ports import Row
from balsamcleat.queries.history import decode_audit_row
from balsamcleat.standins.memory_store import MemoryObjects, MemoryTable
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.table_archiver import TableArchiver
from control_fakes import ControlNode, ManualClock, add_zone, base_operations, patch, run

KEYS = [
    HEAD_KEY,
    SNAPSHOT_KEY,
    "config/change/000000000001",
    "config/change/000000000002",
    "config/change/odd",
    operation_key("op-1"),
    lease_key("x"),
    lease_key("archive"),
    "audit/000000000000001/a",
    "audit/odd",
    "marker/odd",
]
VALUES = st.one_of(
    st.binary(max_size=20),
    st.sampled_from([b"{}", b"[]", b"null", b"7", b'{"version":2,"digest":"x"}', b"[" * 3000]),
    st.sampled_from([b'{"kind":"change","head":{"version":1}}', b'{"kind":"reference"}']),
    st.sampled_from([b'{"holder":"a","epoch":-1,"renewal":0}', b'{"holder":7}']),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.dictionaries(st.sampled_from(KEYS), VALUES, max_size=4))
def test_malformed_rows_crash_no_task(rows: dict[str, bytes]) -> None:
    async def scenario() -> None:
        node = ControlNode(MemoryTable(), MemoryObjects())
        await node.submit(patch(0, *base_operations(), operation_id="op-0"))
        for key, value in rows.items():
            node.table.rows[key] = Row(key, value, 99)
        new_node = ControlNode(node.table, node.objects, 2)
        leases = LeaseKeeper(
            VmId("vm"), node.table, ManualClock(), SeededRandomness(1), MemoryMetrics()
        )
        archiver = TableArchiver(
            node.table,
            node.objects,
            new_node.keeper,
            leases,
            new_node.clock,
            SeededRandomness(2),
            MemoryMetrics(),
        )
        # The callers of acquire() handle platform errors only.
        with suppress(PlatformError):
            await leases.acquire("x")
        for operation in (
            new_node.keeper.read_table,
            new_node.history.list_changes,
            new_node.history.list_audit_rows,
            lambda: new_node.history.load_version(1),
            lambda: new_node.submit(patch(1, add_zone("a"), operation_id="op-1")),
            archiver.run_once,
        ):
            with suppress(PlatformError, ProtocolError):
                await operation()

    run(scenario)


def test_rows_of_older_and_newer_releases_are_read() -> None:
    def row(value: bytes) -> Row:
        return Row("k", value, 1)

    assert decode_head_row(row(b"7")).version == 7
    assert decode_head_row(row(b'{"version":7,"digest":"d","more":1}')).digest == "d"
    assert decode_lease(row(b'{"holder":"a","epoch":2,"renewal":1,"zone":"z"}')) == LeaseRow(
        "a", 2, 1
    )
    old_row = b'{"at_s":1,"author":"a","action":"b","reason":"c","result":"d"}'
    assert decode_audit_row(old_row).subject == ""
    assert decode_audit_row(old_row[:-1] + b',"ticket":"T"}') == AuditRow(
        at_s=1, author="a", action="b", reason="c", result="d"
    )


@pytest.mark.parametrize("more", [b"", b',"ticket":"T"'])
def test_a_submission_recorded_by_another_release_is_not_applied_twice(more: bytes) -> None:
    async def scenario() -> None:
        node = ControlNode(MemoryTable(), MemoryObjects())
        await node.submit(patch(0, *base_operations(), operation_id="op-0"))
        key = operation_key("op-0")
        value = msgspec.json.encode(OperationRow(1, "d"))[:-1] + more + b"}"
        node.table.rows[key] = Row(key, value, 99)
        repeat_outcome = await node.submit(patch(0, *base_operations(), operation_id="op-0"))
        assert isinstance(repeat_outcome, PatchAccepted)
        assert (repeat_outcome.version, repeat_outcome.repeated) == (1, True)

    run(scenario)
