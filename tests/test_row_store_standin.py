"""The stand-in of the row store cuts pages, limits rates and keeps tables from being read."""

import anyio
import pytest

import step_world as w
from balsamcleat.errors import PlatformUnavailableError
from balsamcleat.model import StepId
from balsamcleat.model.rollout import SampleResult, SampleState
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite, StoreLimits
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.rollout_records import OwnerRecord, RolloutRecords
from balsamcleat.tasks.step_submission import StepSubmission

STEP = StepId("step-1")
TABLE = "table"


def write_rows(store: MemoryRowStore, count: int, size: int) -> None:
    """Write rows of a size in bytes."""
    keys = [RowKey(TABLE, "", f"{number:03d}") for number in range(count)]
    store.apply(RowCommit(tuple(RowWrite(key, b"x" * size) for key in keys)))


@pytest.mark.parametrize(
    ("page_rows", "page_bytes", "first"), [(3, 1000, 3), (500, 45, 4), (500, 5, 1), (500, 70, 7)]
)
def test_read_page_is_cut_after_rows_or_bytes(page_rows: int, page_bytes: int, first: int) -> None:
    """Callers that take a cut page for the whole part would lose the rows after it."""

    async def test() -> None:
        store = MemoryRowStore(page_rows=page_rows, page_bytes=page_bytes)
        write_rows(store, 7, 10)
        page = await RowStoreView(store).read(TABLE, "")
        assert len(page.rows) == first
        assert page.more == (first < 7)

    w.run_in_virtual_time(test)


@pytest.mark.parametrize("page_rows", range(1, 9))
def test_results_of_several_rows_come_whole_from_cut_pages(page_rows: int) -> None:
    """A page may end in the middle of a result."""

    async def test() -> None:
        store = MemoryRowStore(limits=StoreLimits(row_bytes=16), page_rows=page_rows)
        records = RolloutRecords(RowStoreView(store))
        owner = OwnerRecord("a", "boot", "host", "/path", 0, 3)
        await records.create_step(STEP, owner, StepSubmission((), b"{}"))
        results = tuple(
            SampleResult(f"{number}", SampleState.COMPLETE, f"text {number} " * 2 * number, (1,))
            for number in range(1, 4)
        )
        await records.append_results(STEP, 1, 0, results)
        assert await records.results(STEP, all_pages=True) == results
        for position in range(3):
            page = await records.results(STEP, position)
            assert page
            assert page == results[position : position + len(page)]

    w.run_in_virtual_time(test)


def test_rates_of_the_store_are_shared_by_all_vms() -> None:
    """A VM's calls are refused because of those of the others, and have no effect."""

    async def test() -> None:
        store = MemoryRowStore(reads_per_s=4.0, writes_per_s=2.0)
        views = [RowStoreView(store), RowStoreView(store)]
        for view in views * 2:
            await view.read(TABLE, "")
        for view in views:
            with pytest.raises(PlatformUnavailableError):
                await view.read(TABLE, "")
            await view.commit(RowCommit((RowWrite(RowKey(TABLE, "", "key"), b""),)))
        with pytest.raises(PlatformUnavailableError):
            await views[0].commit(RowCommit((RowWrite(RowKey(TABLE, "", "other"), b""),)))
        assert [key.key for key in store.rows] == ["key"]
        await anyio.sleep(0.25)
        await views[1].read(TABLE, "")

    w.run_in_virtual_time(test)


def test_silent_table_is_not_read_and_others_are() -> None:
    """A part of the store may be away; the last answer is that of another table."""

    async def test() -> None:
        view = RowStoreView(
            MemoryRowStore(epoch_ms=5000), RowStoreFlaws(silent_tables=frozenset({"vms"}))
        )
        await anyio.sleep(1.0)
        for call in (view.read("vms", ""), view.parts("vms"), view.changes("vms", 0, 0.0)):
            with pytest.raises(PlatformUnavailableError):
                await call
        assert view.answered_at_s == float("-inf")
        page = await view.read("steps", "")
        assert page.store_ms == 6000
        assert view.answered_at_s == anyio.current_time()

    w.run_in_virtual_time(test)
