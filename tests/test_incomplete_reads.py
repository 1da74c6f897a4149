"""What the store has, but gives incomplete or unreadable, is never answered as if it were absent.

A 404 and a short list of results say that something accepted does not exist. They rest on an answer
of the store that says so, not on a row that could not be read.
"""

import json
from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest

import step_world as w
from balsamcleat.errors import PlatformUnavailableError, ProtocolError
from balsamcleat.model import StepId
from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.platform import ResultsQuery, StepCall, StepCallKind
from balsamcleat.ports.rows import RowCommit, RowKey, RowPage, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.row_pages import read_part

STEP = StepId("step-1")
SAMPLES = 4
ROW_BYTES = 40


def run_test(test) -> None:
    async def with_world() -> None:
        async with anyio.create_task_group() as tasks:
            world = w.StepWorld(tasks, event_count=lambda _: 30)
            world.store.limits = replace(world.store.limits, row_bytes=ROW_BYTES)
            await test(world)
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(with_world)


async def start_whole_step(world: w.StepWorld) -> w.StepVm:
    """Run a step to its end at one VM; return another VM, which reads it from the store."""
    owner = await world.start("a")
    assert await owner.submit(w.make_submission(2, 2, 2)) == 202
    await world.wait_for_results(SAMPLES, 10.0)
    world.kill(owner)
    other = await world.start("b")
    assert STEP not in other.runner.steps
    return other


def keys(world: w.StepWorld, table: str) -> list[RowKey]:
    return sorted(key for key in world.store.rows if (key.table, key.part) == (table, STEP))


def write(world: w.StepWorld, key: RowKey, value: bytes | None) -> None:
    world.store.apply(RowCommit((RowWrite(key, value),)))


async def results_of(vm: w.StepVm, position: int = 0) -> tuple[int, int]:
    """Return the status of a read from a position on, and the number of its results."""
    responder = w.RecordingResponder()
    call = StepCall(StepCallKind.RESULTS, STEP, ResultsQuery(position, 0.0))
    await vm.handler.answer_call(call, responder)
    if responder.status != 200:
        return responder.status, 0
    return 200, len(json.loads(responder.response.body)["results"])


CALLS: dict[str, Callable[[w.StepVm], object]] = {
    "results": lambda vm: vm.read(STEP),
    "end": lambda vm: vm.end(STEP),
}


@pytest.mark.parametrize("call", CALLS)
def test_step_whose_owner_row_is_unreadable_is_not_denied(call: str) -> None:
    """The row counted as absent, so that a kept step got 404."""

    async def test(world: w.StepWorld) -> None:
        vm = await start_whole_step(world)
        write(world, RowKey("steps", STEP, "owner"), b"{")
        late = await world.start("c")
        late.feed.steps.clear()
        vm.feed.steps.clear()
        for reader in (vm, late):
            assert await CALLS[call](reader) == 503
        write(world, RowKey("steps", STEP, "owner"), None)
        assert await CALLS[call](late) == 404

    run_test(test)


@pytest.mark.parametrize("lost", ["first", "last", "all"])
def test_body_of_a_kept_step_is_not_denied_while_its_submission_is_incomplete(lost: str) -> None:
    """A submission of which rows are missing counted as absent, so that its bodies got 404."""

    async def test(world: w.StepWorld) -> None:
        vm = await start_whole_step(world)
        rows = keys(world, "step-bodies")
        assert len(rows) > 2
        for key in {"first": rows[:1], "last": rows[-1:], "all": rows}[lost]:
            write(world, key, None)
        assert await vm.read_body(STEP, "0-0") == 503
        for key in keys(world, "steps"):
            write(world, key, None)
        vm.feed.steps.clear()
        assert await vm.read_body(STEP, "0-0") == 404

    run_test(test)


@pytest.mark.parametrize("position", range(SAMPLES))
@pytest.mark.parametrize("piece", [0, -1])
def test_result_of_which_rows_are_missing_is_not_answered_as_not_listed_yet(
    position: int, piece: int
) -> None:
    """The last result was left out of the answer, as if nothing stood at its position.

    The results before it are given; one that was missing took them along.
    """

    async def test(world: w.StepWorld) -> None:
        vm = await start_whole_step(world)
        assert await results_of(vm) == (200, SAMPLES)
        pieces = [
            key for key in keys(world, "step-results") if key.key.startswith(f"{position:08}")
        ]
        assert len(pieces) > 1
        write(world, pieces[piece], None)
        assert await results_of(vm) == ((200, position) if position else (503, 0))
        assert await results_of(vm, position) == (503, 0)
        with pytest.raises(ProtocolError):
            await vm.runner.records.results(STEP, all_pages=True)

    run_test(test)


class CutStore(RowStoreView):
    """Store that answers a page without rows, of which it says that more follow."""

    async def read(
        self, table: str, part: str, start: str = "", end: str = "", limit: int = 500
    ) -> RowPage:
        page = await super().read(table, part, start, end, 1)
        return replace(page, rows=() if start else page.rows, more=True)


def test_page_without_rows_that_is_not_the_last_one_does_not_end_a_read() -> None:
    """The rows read so far were taken for all rows of the part."""

    async def test() -> None:
        store = MemoryRowStore()
        writes = tuple(RowWrite(RowKey("table", "part", key), b"1") for key in "ab")
        store.apply(RowCommit(writes))
        assert len((await read_part(RowStoreView(store), "table", "part")).rows) == 2
        with pytest.raises(PlatformUnavailableError):
            await read_part(CutStore(store), "table", "part")

    w.run_in_virtual_time(test)


def test_texts_of_several_bytes_a_character_fit_into_a_commit() -> None:
    """Characters were counted, so that the store refused a commit of such texts for good."""
    records = RolloutRecords(RowStoreView(MemoryRowStore()))
    text = "\u0436" * 100_000
    results = [SampleResult(f"{n}", SampleState.COMPLETE, text, (1,)) for n in range(10)]
    count = records.count_fitting_one_commit(results)
    assert count > 0
    assert count * len(text.encode()) <= records.store.limits.commit_bytes * 0.6
