"""VMs of this build and of the previous one understand each other, in both directions.

What this build writes is read by the previous build's own code in a process, not by frozen copies
of its structs: decoding is more than structs (keys of rows, joined pieces, removed headers,
conditions of the lease), and a copy could be wrong in the same way as the code under test.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import msgspec
import pytest

import build_codec as codec
import build_messages as messages
from balsamcleat.decisions.duty_lease import first_call_ms
from balsamcleat.decisions.published_usage import PublishedUsage
from balsamcleat.decisions.sample_attempts import AttemptCounts
from balsamcleat.decisions.true_time import ClockVote
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.model import TeamName, VmId
from balsamcleat.ports.duties import Duty
from balsamcleat.ports.rows import RowKey
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks.duty_lease_keeper import LeaseHolder
from balsamcleat.tasks.duty_leases import DutyLeases
from balsamcleat.tasks.hop_messages import StartCheck, wrap_request
from balsamcleat.tasks.lease_table import decode_lease
from balsamcleat.tasks.rollout_records import OwnerRecord, RolloutRecords
from balsamcleat.tasks.scaling_records import ScalingRecords
from balsamcleat.tasks.step_submission import StepSubmission
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.usage_records import UsageRecords
from balsamcleat.tasks.vm_presence import VmPresence, decode_vm
from duty_world import SETTINGS
from previous_build import examples, extract_sources, has_history, run_codec

TEAM = TeamName("huka270")
GAP_S = 3.0
# All leases are taken within some 10 ms.
MAX_TRIES = 100
# Kinds that the codec writes and reads with both builds.
COMMON = tuple(name for name in codec.CODECS if name != "leases")
OWNER = {
    "vm": codec.VM,
    "boot": codec.BOOT,
    "host": codec.HOST,
    "path": codec.PATH,
    "accepted_ms": 1000,
    "samples": 4,
    "model": "model",
    "oldest_version": 1,
    "work": 34.0,
}
PROGRESS = {
    "0-2": {"events": ["a", "b"], "versions": [1], "first_event": 1, "complete": False}
    | {"software": None},
    "0-3": {"events": ["c"], "versions": [2], "first_event": 1, "complete": True}
    | {"software": {"service": "llm", "version": "s1"}},
}
START = {"target_id": "app-0", "started_ms": codec.STARTED_MS}
SOFTWARE = {"service": "llm", "version": "s1"}
CALL = {"method": "POST", "target": "/path?q=1", "body": "Ym9keQ=="} | {
    "headers": [["Host", codec.HOST], ["Attempt-Id", "a1"]]
}
RESPONSE_HEADERS = [["Server-Stamp", "s"], ["Attempt-Id", "a1"]]
ROW = {"key": {"table": "t", "part": "p", "key": "k"}, "value": "AHY=", "version": 1}
FAST, FAILING, SILENT = (0.2, False), (0.2, True), (7.5, False)


def hop(check: str, *, marked: bool) -> dict[str, Any]:
    marks = {"needs_new_connection": marked, "is_live": marked}
    return {"request": CALL, "start": START, "start_check": check} | marks


def hop_result(
    headers: list[list[str]], failure: str | None = None, *, is_sent: bool, marked: bool
) -> dict[str, Any]:
    marks = {"is_start_certain": marked, "is_unframed": marked}
    return {"failure": failure, "perhaps_sent": is_sent, "headers": headers} | marks


def state(silence_s: float, failing: bool) -> list[Any]:
    fields = {"boot": codec.BOOT, "store_silence_s": silence_s, "store_failing": failing}
    return [fields, silence_s < 1.0 and not failing]


# What the messages of ``build_codec.py`` mean, by kind, whichever build wrote and read them.
MEANING: dict[str, Any] = {
    "vms": [
        {"vm": codec.VM, "boot": codec.BOOT, "address": codec.ADDRESS, "zone": codec.ZONE}
        | {"version": 1, "leaving": True}
        | {
            "limits": {
                "demands": {"app": 2.5},
                "notices": {
                    "app-0": {"limit_per_s": 40.0, "age_s": 0.5},
                    "app-1": {"limit_per_s": None, "age_s": 1.0},
                },
            }
        }
    ],
    "steps": {
        "owner": OWNER,
        "submission": msgspec.to_builtins(
            {"headers": codec.SUBMITTED, "body": msgspec.to_builtins(codec.BODY)}
        ),
        "results": [
            {"sample_id": "0-0", "state": "complete", "text": "a\nb", "versions": [1, 2]}
            | {"score": "s"},
            {"sample_id": "0-1", "state": "given up", "text": "", "versions": [], "score": ""},
        ],
        "progress": PROGRESS,
        "carried": PROGRESS,
        "is ended": True,
    },
    "suspects": {"table": True, "crashes": [START], "trials": 1},
    "hops": [hop("none", marked=False), hop("required", marked=True)],
    "hop results": [
        hop_result(RESPONSE_HEADERS, is_sent=True, marked=False),
        hop_result(RESPONSE_HEADERS, is_sent=True, marked=True),
        hop_result([], "unreached", is_sent=False, marked=False),
    ],
    "streams": {
        "status": 200,
        "software": {"a/1": SOFTWARE},
        "starts": [START],
        "answer": SOFTWARE,
        "asked": [["/streams/a%2F1", ""]],
    },
    "states": [state(*FAST), state(*FAILING), state(*SILENT)],
    "relayed calls": {"statuses": [200] * 5, "rows": [["t", "p", "k", "AHY="]]},
    "relayed replies": [
        ["RowsCommitted", {"version": 1}],
        ["RowConflict", {"rows": [ROW]}],
        ["RowPage", {"rows": [ROW], "more": False, "version": 1}],
        ["tuple", [["p"], False]],
        ["FeedPage", {"rows": [ROW], "version": 1}],
    ],
    "reach": {"path": "/reach", "asked": [["app-0"]], "reached": [["app-0"]]},
}


def assert_means(found: Any, expected: Any) -> None:
    """Compare what was read; fields that the expectation does not name are allowed."""
    if isinstance(expected, dict):
        for name, value in expected.items():
            assert_means(found[name], value)
        return
    if isinstance(expected, list | tuple):
        assert len(found) == len(expected)
        for item, value in zip(found, expected, strict=True):
            assert_means(item, value)
        return
    assert found == expected


@pytest.fixture(scope="module")
def previous_sources(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Sources of the previous build."""
    if not has_history():
        pytest.skip("the clone has no commit of the previous build")
    return extract_sources(tmp_path_factory.mktemp("previous"))


@pytest.fixture
def read_as_previous(previous_sources: Path) -> Callable[[str, Any], Any]:
    """Return a function that reads messages with the code of the previous build."""

    def read(kind: str, content: Any) -> Any:
        return run_codec(previous_sources, "read", {kind: content})[kind]

    return read


def run(call: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    return anyio.run(call, *args)


@pytest.mark.parametrize("kind", COMMON)
def test_recorded_messages_of_the_previous_build_are_read(kind: str) -> None:
    """During a replacement, VMs of this build get messages that have none of the new fields."""
    assert_means(run(codec.read, kind, examples()[kind]), MEANING[kind])


def test_messages_of_this_build_are_read_by_the_previous_one(previous_sources: Path) -> None:
    """A VM that can't read a message of the other build counts it as absent, or stopped."""
    written = {kind: run(codec.write, kind) for kind in COMMON}
    found = run_codec(previous_sources, "read", written)
    for kind in COMMON:
        assert_means(found[kind], MEANING[kind])


def test_examples_are_those_of_the_previous_build(previous_sources: Path) -> None:
    """Examples that the previous build does not write, or not read itself, would prove nothing."""
    recorded = examples()
    found = run_codec(previous_sources, "read", recorded)
    for kind in COMMON:
        assert_means(found[kind], MEANING[kind])
    written = run_codec(previous_sources, "write")
    assert written.keys() == recorded.keys()
    for kind in ("vms", "suspects", "hops", "hop results", "streams", "states", "reach"):
        assert written[kind] == recorded[kind]


async def write_vm_with_usage() -> messages.Rows:
    counter: Any = SimpleNamespace(
        publish=lambda: PublishedUsage(5000, 353445120, 353445121, {TEAM: (4, 0, 2)}),
        record_published=lambda _: None,
        clock=SimpleNamespace(vote=lambda: ClockVote(1_764_000_000_000, 61.5)),
    )
    store = MemoryRowStore()
    presence = VmPresence(
        RowStoreView(store),
        VmRow(codec.VM, codec.BOOT, codec.ADDRESS, codec.ZONE, 0),
        StoreClock(anyio.current_time),
        lambda: True,
        random.Random(1),
        SimpleNamespace(report=lambda: codec.LIMITS),
        counter,
    )
    await presence.announce_leaving()
    return messages.rows_of(store)


def test_previous_build_reads_the_row_of_a_vm_that_publishes_usage(read_as_previous) -> None:
    """A malformed row counts as that of a VM that has shut down: its steps would be taken over."""
    rows = run(write_vm_with_usage)
    (row,) = messages.changes_of(rows)
    assert decode_vm(row).usage is not None
    assert_means(read_as_previous("vms", rows), MEANING["vms"])


def team_submission() -> StepSubmission:
    return StepSubmission.received(codec.SUBMITTED, codec.BODY, TEAM)


async def write_step_of_team() -> messages.Rows:
    store = MemoryRowStore()
    records = RolloutRecords(RowStoreView(store))
    owner = msgspec.convert({**OWNER, "team": TEAM}, OwnerRecord)
    await records.create_step(codec.STEP, owner, team_submission())
    await codec.write_step_contents(records)
    return messages.rows_of(store)


def test_previous_build_reads_the_step_of_a_team(read_as_previous) -> None:
    """It takes over steps of VMs of this build that end, and after a roll-back all of them."""
    rows = run(write_step_of_team)
    found = read_as_previous("steps", rows)
    submission = msgspec.to_builtins({"headers": team_submission().headers})
    assert_means(found, {**MEANING["steps"], "submission": submission})
    assert codec.KEY not in str(found)


async def write_step_with_attempts() -> messages.Rows:
    store = codec.store_with(await codec.write_steps())
    counts = [AttemptCounts(failures=1), AttemptCounts(2, True, 3, 1, 4, True)]
    await codec.write_attempts(RolloutRecords(RowStoreView(store)), counts)
    return messages.rows_of(store)


def test_previous_build_reads_a_step_with_counts_of_attempts(read_as_previous) -> None:
    """It takes over steps whose owners have stored counts, which it does not know."""
    found = read_as_previous("steps", run(write_step_with_attempts))
    assert_means(found, MEANING["steps"])
    assert found["progress"].keys() == MEANING["steps"]["progress"].keys()


def test_step_that_a_previous_build_took_over_keeps_its_team() -> None:
    """It rewrites the owner row without the team; another team would get the step's results."""

    async def test() -> None:
        store = messages.store_with(await write_step_of_team())
        records = RolloutRecords(RowStoreView(store))
        row = await records.owner(codec.STEP)
        assert row is not None
        # The row as the previous build writes it back under its own name.
        without_team = msgspec.structs.replace(row[0], vm="old", team="")
        await records.replace_owner(codec.STEP, without_team, row[1])
        submission = await records.submission(codec.STEP)
        assert submission is not None and submission.submitter.team == TEAM

    run(test)


def test_previous_build_passes_on_the_request_of_a_team(read_as_previous) -> None:
    """It removes the marks of VMs from the request and leaves the team to the target."""
    request = replace(messages.CALL, headers=(*messages.CALL.headers, ("Tenant", TEAM)))
    wrapped = wrap_request(
        request,
        messages.REPLICA,
        StartCheck.REQUIRED,
        needs_new_connection=True,
        is_live=True,
        team=TEAM,
    )
    content = msgspec.to_builtins([messages.encode_request(wrapped)], builtin_types=(bytes,))
    (found,) = read_as_previous("hops", content)
    headers = [*CALL["headers"], ["Tenant", TEAM]]
    assert_means(found, hop("required", marked=True) | {"request": {**CALL, "headers": headers}})


async def write_all_leases(*, is_calling: bool) -> messages.Rows:
    """Write the rows of a VM that holds all leases."""
    store = MemoryRowStore()
    leases = DutyLeases(
        RowStoreView(store),
        LeaseHolder(VmId(codec.VM), codec.BOOT),
        GAP_S,
        StoreClock(anyio.current_time),
        random.Random(1),
        current_duties=lambda: SETTINGS,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(leases.run)
        for _ in range(MAX_TRIES):
            if all(keeper.is_held for keeper in leases.keepers):
                break
            await anyio.sleep(0.05)
        if is_calling:
            await leases.orders.begin_calls()
        tasks.cancel_scope.cancel()
    return messages.rows_of(store)


@pytest.mark.parametrize("is_calling", [True, False])
def test_previous_build_reads_the_lease_on_weight_orders(read_as_previous, is_calling) -> None:
    """Both builds share this lease; one that can't read the row takes it while orders run."""
    rows = run(lambda: write_all_leases(is_calling=is_calling))
    assert {row[2] for row in rows} == {duty.value for duty in Duty}
    (own,) = (row for row in messages.changes_of(rows) if row.key == RowKey("leases", "", "orders"))
    state = decode_lease(own).state
    assert state is not None
    found = read_as_previous("leases", rows)
    assert not found["is taken"]
    assert found["state"] == {
        "vm": codec.VM,
        "boot": codec.BOOT,
        "ordering": is_calling,
        "last_order_ms": state.last_call_ms,
    }
    # Both builds wait for the same time after the same row.
    assert found["first order"] == first_call_ms(state, 10_000, GAP_S)


def test_lease_of_the_previous_build_is_read() -> None:
    (row,) = messages.changes_of(examples()["leases"])
    state = decode_lease(row).state
    assert state is not None
    assert (state.vm, state.boot, state.calling) == (codec.VM, codec.BOOT, True)


def test_first_vm_of_this_build_finds_no_rows_of_its_duties() -> None:
    """The previous build writes neither table, and a roll-back leaves them as they are."""

    async def test() -> None:
        view = RowStoreView(messages.store_with(examples()["leases"]))
        assert await ScalingRecords(view).read() == {}
        assert not (await UsageRecords(view).read()).reports

    run(test)
