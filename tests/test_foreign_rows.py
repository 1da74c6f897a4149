"""Rows and messages that can't be read cost what they concern, and never end the process.

In review case 1, one entry of another writer in the list of targets, with deeply nested brackets,
ended all entry processes, again at each start.
"""

import contextlib
import random
import zlib
from collections.abc import Callable

import msgspec
import pytest

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decoding import decode_json, decode_msgpack
from balsamcleat.errors import BalsamcleatError
from balsamcleat.http1 import ConnectionPool, PoolLimits, Request, Response
from balsamcleat.http1.streams import connect
from balsamcleat.model import TargetId
from balsamcleat.platform import decode_named_version, decode_replica, decode_routing, decode_step
from balsamcleat.platform.duties import decode_duty_call
from balsamcleat.platform.orders import parse_started_ms
from balsamcleat.platform.store import RowsFields, decode_response
from balsamcleat.ports.rows import RowChange, RowCommit, RowKey, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks.lease_table import decode_lease
from balsamcleat.tasks.replica_keeper import ReplicaKeeper
from balsamcleat.tasks.rollout_records import OwnerRecord, decode_owner
from balsamcleat.tasks.scaling_records import decode_orders
from balsamcleat.tasks.step_submission import StepSubmission
from balsamcleat.tasks.stored_values import decode_value
from balsamcleat.tasks.table_follower import TableFollower, TableObserver
from balsamcleat.tasks.target_messages import decode_messages
from balsamcleat.tasks.usage_records import decode_closed, decode_report
from balsamcleat.tasks.vm_presence import decode_vm
from odd_entries import sound_entry
from step_world import run_in_virtual_time

NESTED = b'{"unknown":' + b"[" * 30_000
MANY_DIGITS = b"9" * 400
ENTRY = sound_entry("llm", address="10.0.0.1:80")

HOSTILE = {
    "empty": b"",
    "not JSON": b"\xff\xfe\x00",
    "wrong encoding": b'{"svc":"\xff"}',
    "cut": b'{"svc":"l',
    "nested": NESTED,
    "nested in a known field": b'{"svc":' + b"[" * 30_000,
    "nested objects": b'{"a":' * 30_000,
    "nested MessagePack": b"\x81\xa1z" + b"\x91" * 30_000,
    "number": b"7",
    "null": b"null",
    "list": b"[[],{}]",
    "lone surrogate": b'{"svc":"\\ud800"}',
    "huge float": b'{"accepted_ms":1e999,"beat":1e999,"coldLeftMs":1e999}',
}


def row(value: bytes, key: str = "7") -> RowChange:
    return RowChange(RowKey("table", "part", key), value, 3)


DECODERS: dict[str, Callable[[bytes], object]] = {
    "target entry": lambda data: decode_replica("t", data, 1),
    "configuration": decode_routing,
    "named version": decode_named_version,
    "submission": lambda data: decode_step((), data),
    "duty call": lambda data: decode_duty_call(
        Request("POST", "/usage", (("Duty-Holder", "a"), ("Duty-Fence", "1")), data)
    ),
    "start of a target": lambda data: parse_started_ms(Response(200, (), data)),
    "rows of the store": lambda data: decode_response(Response(200, (), data), RowsFields),
    "step owner": lambda data: decode_owner(row(data)),
    "stored value": lambda data: decode_value(data, StepSubmission),
    "packed value": lambda data: decode_value(zlib.compress(data), StepSubmission),
    "VM": lambda data: decode_vm(row(data)),
    "duty lease": lambda data: decode_lease(row(data)),
    "usage report": lambda data: decode_report(row(data)),
    "closed window": lambda data: decode_closed(row(data)),
    "orders of targets": lambda data: decode_orders(row(data)),
    "messages of peers": lambda data: decode_messages(data, OwnerRecord),
}


@pytest.mark.parametrize("content", HOSTILE)
@pytest.mark.parametrize("decoder", DECODERS)
def test_decoder_raises_only_its_own_errors(decoder: str, content: str) -> None:
    """RecursionError for nested brackets is no decode error of msgspec, and ended the process."""
    with contextlib.suppress(BalsamcleatError):
        DECODERS[decoder](HOSTILE[content])


@pytest.mark.parametrize("decode", [decode_json, decode_msgpack])
@pytest.mark.parametrize("content", [NESTED, b"\x81\xa1z" + b"\x91" * 30_000])
def test_shared_decoders_raise_one_error_for_invalid_data(decode, content: bytes) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode(content, OwnerRecord)


@pytest.mark.parametrize(
    "change",
    [
        b'"batchSlots":' + MANY_DIGITS,
        b'"born":' + MANY_DIGITS,
        b'"models":[{"name":"m","version":' + MANY_DIGITS + b"}]",
        b'"callSeq":' + MANY_DIGITS,
        b'"callSeq":1e999',
        b'"coldLeftMs":1180591620717411303424',
        b'"address":"127.0.0.1:99999"',
        b'"address":"127.0.0.1:0"',
        b'"address":"127.0.0.1:' + b"8" * 5000 + b'"',
        '"address":"127.0.0.1:\u0664\u0662"'.encode(),
    ],
)
def test_entry_with_an_impossible_number_names_no_target(change: bytes) -> None:
    """A port of 99999 ended processes when they connected; such integers overflow as floats."""
    encoded = msgspec.json.encode(ENTRY)[:-1] + b"," + change + b"}"
    assert decode_replica("t", encoded, 1) is None


def test_entry_with_an_impossible_leaving_time_is_used_without_it() -> None:
    """A ``leaves_ms`` of 400 digits raised OverflowError."""
    encoded = msgspec.json.encode(ENTRY)[:-1] + b',"leaves_ms":' + MANY_DIGITS + b"}"
    replica = decode_replica("t", encoded, 1)
    assert replica is not None
    assert replica.leaves_s is None


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "host.example:80", "a\0b:80", ":80", ""])
@pytest.mark.anyio
async def test_connecting_to_an_impossible_address_is_a_failed_connection(address: str) -> None:
    with pytest.raises(OSError):
        await connect(address, 0.2)


class FailingObserver(TableObserver):
    """Fails for the rows whose value says so."""

    def __init__(self) -> None:
        self.applied: list[str] = []
        self.answers = 0

    def apply_row(self, row: RowChange) -> None:
        if row.value == b"fails":
            raise RuntimeError("a fault in the handling of this row")
        self.applied.append(row.key.key)

    def on_rows_applied(self) -> None:
        self.answers += 1

    def on_store_recovered(self) -> None:
        pass


def write(store: MemoryRowStore, table: str, key: str, value: bytes | None) -> None:
    store.apply(RowCommit((RowWrite(RowKey(table, "", key), value),)))


def test_row_that_an_observer_cannot_handle_leaves_the_other_rows_in_force() -> None:
    """The error of one row ended the follower of the table, and with it the process."""

    async def test() -> None:
        store = MemoryRowStore()
        observer = FailingObserver()
        for key, value in (("a", b"1"), ("b", b"fails"), ("c", b"1")):
            write(store, "t", key, value)
        follower = TableFollower(
            RowStoreView(store), "t", observer, random.Random(1), single_part=True
        )
        await follower.read_once()
        assert observer.applied == ["a", "c"]
        for key, value in (("d", b"fails"), ("e", b"1")):
            write(store, "t", key, value)
        await follower.read_once()
        assert observer.applied == ["a", "c", "e"]
        assert observer.answers == 2
        # The version has advanced, so the row is not handled again and again.
        assert follower.version == store.version

    run_in_virtual_time(test)


def test_nested_entry_of_another_writer_leaves_the_other_targets_listed() -> None:
    """Review case 1: such an entry ended all entry processes, again at each start."""

    async def test() -> None:
        store = MemoryRowStore()
        write(store, "servers", "bad", NESTED)
        write(store, "servers", "good", msgspec.json.encode(ENTRY))
        directory = ReplicaDirectory()
        keeper = ReplicaKeeper(
            directory,
            ReplicaStatsRegistry(),
            ConnectionPool(PoolLimits()),
            lambda: None,
            lambda target_id, started_ms: None,
        )
        view = RowStoreView(store)
        follower = TableFollower(view, "servers", keeper, random.Random(1), single_part=True)
        await follower.read_once()
        assert set(directory.entries) == {TargetId("good")}
        write(store, "servers", "bad", NESTED + b"[")
        write(store, "servers", "later", msgspec.json.encode(ENTRY))
        await follower.read_once()
        assert set(directory.entries) == {TargetId("good"), TargetId("later")}

    run_in_virtual_time(test)
