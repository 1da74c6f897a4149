"""A table is read whole: a refused read costs itself, and a list that is cut is not the end."""

import random

import anyio
import pytest

import step_world as w
from balsamcleat.errors import PlatformUnavailableError
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowCommit, RowKey, RowPage, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreView
from balsamcleat.tasks.table_reading import TableReading
from test_step_ownership import run_test

STEP = StepId("step-1")
PARTS = 40


class RefusingStore(RowStoreView):
    """Store that refuses every other call, and counts the calls."""

    def __init__(self, store: MemoryRowStore) -> None:
        super().__init__(store)
        self.calls = 0

    async def reach(self) -> None:
        self.calls += 1
        if self.calls % 2:
            raise PlatformUnavailableError("too many calls", step="test")


def store_with_parts() -> MemoryRowStore:
    store = MemoryRowStore()
    for number in range(PARTS):
        write = RowWrite(RowKey("table", f"part-{number:02d}", "key"), b"1")
        store.apply(RowCommit((write,)))
    return store


def test_refused_read_of_a_part_does_not_begin_the_table_anew() -> None:
    """VMs that start at once refuse each other reads, and never got done with a large table."""

    async def test() -> None:
        view = RefusingStore(store_with_parts())
        reading = TableReading(view, "table")
        rows = None
        while rows is None:
            try:
                rows = await reading.finish()
            except PlatformUnavailableError:
                continue
        assert [row.key.part for row in rows] == [f"part-{number:02d}" for number in range(PARTS)]
        assert reading.version == PARTS
        # Each part, the list of parts and the version, each of them refused once.
        assert view.calls == 2 * (PARTS + 2)

    w.run_in_virtual_time(test)


def test_changes_during_an_interrupted_read_are_in_the_rows_or_in_the_feed() -> None:
    async def test() -> None:
        store = store_with_parts()
        view = RefusingStore(store)
        reading = TableReading(view, "table")
        generator = random.Random(1)
        rows = None
        while rows is None:
            number = generator.randrange(PARTS)
            key = RowKey("table", f"part-{number:02d}", "key")
            store.apply(RowCommit((RowWrite(key, b"2"),)))
            try:
                rows = await reading.finish()
            except PlatformUnavailableError:
                continue
        feed = await RowStoreView(store).changes("table", reading.version, 0.0)
        found = {row.key: row.version for row in (*rows, *feed.rows)}
        assert found == {key: version for key, (_, version) in store.rows.items()}

    w.run_in_virtual_time(test)


@pytest.mark.parametrize("cut_lists", [1, 3])
def test_list_of_parts_that_is_cut_does_not_make_a_vm_forget_steps(cut_lists: int) -> None:
    """A page without parts that says that more follow was taken for the end of the table."""

    async def test(world: w.StepWorld) -> None:
        owner, other = await world.start("a"), await world.start("b")
        assert await owner.submit(w.make_submission(1, 2, 1)) == 202
        await anyio.sleep(1.0)
        parts, left = other.view.parts, cut_lists

        async def cut_parts(table: str, after: str = "") -> tuple[tuple[str, ...], bool]:
            nonlocal left
            left -= 1
            return ((), True) if left >= 0 else await parts(table, after)

        other.view.parts = cut_parts  # type: ignore[method-assign]
        write = RowWrite(RowKey("other", "", "key"), b"1")
        world.store.apply(RowCommit((write,)))
        world.store.forget_history()
        await anyio.sleep(4.0)
        assert left < 0
        assert STEP in other.feed.steps
        world.kill(owner)
        await anyio.sleep(6.0)
        assert STEP in other.runner.steps

    run_test(test, event_count=lambda _: 600)


def test_follower_goes_on_with_the_parts_that_it_has_not_read() -> None:
    """The steps table is read once, although the store refuses a part of it for a while."""

    async def test(world: w.StepWorld) -> None:
        owner = await world.start("a")
        for number in range(PARTS):
            assert await owner.submit(w.make_submission(1, 1, 1, f"step-{number}")) == 202
        late = await world.start("b")
        late.feed.steps.clear()
        read, reads = late.view.read, 0

        async def refuse_last_part(table: str, part: str, *bounds: str, **more: int) -> RowPage:
            nonlocal reads
            if table == "steps" and part:
                reads += 1
                if reads == PARTS - 1:
                    raise PlatformUnavailableError("too many calls", step="test")
            return await read(table, part, *bounds, **more)

        late.view.read = refuse_last_part  # type: ignore[method-assign]
        world.store.apply(RowCommit((RowWrite(RowKey("other", "", "key"), b"1"),)))
        world.store.forget_history()
        await anyio.sleep(5.0)
        assert len(late.feed.steps) == PARTS
        assert reads == PARTS + 1

    run_test(test)
