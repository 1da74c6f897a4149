"""What VMs exchange, written and read by the code of one build.

Runs with the sources of any build: the tests import it for the new build, and run it as a script
with the sources of the previous one. It uses only what both builds have under the same name.

    PYTHONPATH=SOURCES python tests/build_codec.py write
    PYTHONPATH=SOURCES python tests/build_codec.py read < MESSAGES
"""

import random
import sys
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any

import anyio
import msgspec
import structlog

from balsamcleat.decisions.crash_suspects import TargetRun
from balsamcleat.decisions.limit_parts import LimitNotice, LimitReport
from balsamcleat.decisions.sample_progress import ProgressSlice
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.model import StepId, TargetId, WeightVersion
from balsamcleat.model.replicas import TargetStart
from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.ports.rows import RowKey
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks import rollout_records
from balsamcleat.tasks.rollout_records import OwnerRecord, RolloutRecords
from balsamcleat.tasks.shared_crash_history import SUSPECTS_TABLE, SharedCrashHistory
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.vm_presence import VmPresence, decode_vm
from build_messages import (
    ADDRESS,
    BOOT,
    HOST,
    MESSAGE_CODECS,
    PATH,
    REPLICA,
    STARTED_MS,
    VM,
    ZONE,
    Rows,
    changes_of,
    rows_of,
    store_with,
)

try:
    from balsamcleat.tasks.submission_handler import carryover_part
except ImportError:
    # Builds up to this one have it there.
    from balsamcleat.tasks.rollout_handler import carryover_part  # type: ignore[no-redef]

STEP = StepId("step-1")
KEY = "rjvz48wuakn2ftimaj3n"
# As a trainer sends it; the previous build stores it unchanged.
SUBMITTED = (("Host", HOST), ("Authorization", f"Bearer {KEY}"), ("Attempt-Id", STEP))
BODY = b'{"model":"model","minVersion":1,"requests":[]}'
LIMITS = LimitReport({"app": 2.5}, {"app-0": LimitNotice(40.0, 0.5), "app-1": LimitNotice(None, 1)})
RESULTS = (
    SampleResult("0-0", SampleState.COMPLETE, "a\nb", (WeightVersion(1), WeightVersion(2)), "s"),
    SampleResult("0-1", SampleState.GIVEN_UP),
)
SLICES = {
    "0-2": ProgressSlice(3, 0, 1, ("a", "b"), (WeightVersion(1),)),
    "0-3": ProgressSlice(4, 0, 1, ("c",), (WeightVersion(2),), True, "llm", "s1"),
}
DIGEST = "6b1f"


async def write_vms() -> Rows:
    store = MemoryRowStore()
    presence = VmPresence(
        RowStoreView(store),
        VmRow(VM, BOOT, ADDRESS, ZONE, 0),
        StoreClock(anyio.current_time),
        lambda: True,
        random.Random(1),
        SimpleNamespace(report=lambda: LIMITS),
    )
    await presence.announce_leaving()
    return rows_of(store)


async def read_vms(rows: Rows) -> object:
    return [decode_vm(row) for row in changes_of(rows)]


async def write_steps() -> Rows:
    store = MemoryRowStore()
    records = RolloutRecords(RowStoreView(store))
    owner = OwnerRecord(VM, BOOT, HOST, PATH, 1000, 4, "model", WeightVersion(1), 34.0)
    submission = rollout_records.StepSubmission(SUBMITTED, BODY)
    await records.create_step(STEP, owner, submission)
    await write_step_contents(records)
    return rows_of(store)


async def write_step_contents(records: RolloutRecords) -> None:
    """Write what the owner of a step stores while it runs, and the end of the step."""
    row = await records.owner(STEP)
    assert row is not None
    await records.append_results(STEP, row[1], 0, RESULTS)
    await records.save_progress(STEP, SLICES, row[1])
    await records.save_progress(carryover_part(HOST, PATH), SLICES)
    await records.mark_ended(STEP)


async def write_attempts(records: RolloutRecords, counts: Iterable[object]) -> None:
    """Write counts of attempts at a sample with text and at one without, as this build does."""
    row = await records.owner(STEP)
    assert row is not None
    for record in counts:
        attempts = {"0-2": record, "0-0": record}
        assert await records.save_progress(STEP, {}, row[1], attempts) is None


async def read_steps(rows: Rows) -> object:
    records = RolloutRecords(RowStoreView(store_with(rows)))
    owner, submission = await records.owner(STEP), await records.submission(STEP)
    return {
        "owner": owner and owner[0],
        "submission": submission,
        "results": await records.results(STEP, all_pages=True),
        "progress": await records.load_progress(STEP),
        "carried": await records.load_progress(carryover_part(HOST, PATH)),
        "is ended": any(row.key.key == "end" for row in await records.state(STEP)),
    }


async def write_suspects() -> Rows:
    store = MemoryRowStore()
    history = SharedCrashHistory(RowStoreView(store), lambda: 5000)
    run = TargetRun("a1", DIGEST, TargetStart(TargetId("app-0"), STARTED_MS), REPLICA.address)
    history.record_crash(run, "reset")
    await history.publish_next()
    await history.claim_trial(DIGEST)
    return rows_of(store)


async def read_suspects(rows: Rows) -> object:
    history = SharedCrashHistory(RowStoreView(MemoryRowStore()), lambda: 5000)
    history.on_snapshot(changes_of(rows), 1)
    record = history.history.records[DIGEST]
    return {
        "table": sorted({row[0] for row in rows}) == [SUSPECTS_TABLE],
        "crashes": list(record.crashed_at_s),
        "trials": record.trial_count,
    }


async def write_leases() -> Rows:
    """Row of the lease on weight orders, written by the previous build."""
    store = MemoryRowStore()
    keeper = previous_keeper(store)
    await keeper.renew_or_acquire()
    await keeper.begin_orders()
    return rows_of(store)


def previous_keeper(store: MemoryRowStore) -> Any:
    """Return the keeper of the lease on weight orders, which only the previous build has."""
    from balsamcleat.tasks.order_lease_keeper import OrderLeaseKeeper

    clock = StoreClock(anyio.current_time)
    return OrderLeaseKeeper(RowStoreView(store), VM, BOOT, 3.0, clock, random.Random(1))


async def read_leases(rows: Rows) -> object:
    """Return how the previous build reads the rows, and what it does with them."""
    from balsamcleat.decisions.order_lease import first_order_ms
    from balsamcleat.tasks.order_lease_keeper import decode_lease

    (row,) = (row for row in changes_of(rows) if row.key == RowKey("leases", "", "orders"))
    state = decode_lease(row)
    keeper = previous_keeper(store_with(rows))
    await keeper.renew_or_acquire()
    return {
        "state": state,
        "first order": first_order_ms(state, 10_000, 3.0),
        "is taken": keeper.lease is not None,
    }


# Of each kind of message: how it is written, and how it is read.
CODECS: dict[str, tuple[Callable[[], Any], Callable[[Any], Any]]] = {
    "vms": (write_vms, read_vms),
    "steps": (write_steps, read_steps),
    "suspects": (write_suspects, read_suspects),
    "leases": (write_leases, read_leases),
    **MESSAGE_CODECS,
}


async def write(name: str) -> Any:
    """Return messages of a kind as builtins."""
    return msgspec.to_builtins(await CODECS[name][0](), builtin_types=(bytes,))


async def read(name: str, messages: Any) -> Any:
    """Return what messages of a kind mean, as builtins."""
    found = await CODECS[name][1](messages)
    return msgspec.json.decode(msgspec.json.encode(found))


def main() -> None:
    structlog.configure(logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    if sys.argv[1] == "write":
        output = {name: anyio.run(write, name) for name in CODECS}
    else:
        messages = msgspec.msgpack.decode(sys.stdin.buffer.read())
        output = {name: anyio.run(read, name, value) for name, value in messages.items()}
    sys.stdout.buffer.write(msgspec.msgpack.encode(output))


if __name__ == "__main__":
    main()
