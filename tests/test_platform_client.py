"""Platform client: lost answers, group commit, shared reads, bulkhead and circuit breaker."""

import random

import anyio
import pytest
import trio.testing

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.decisions.breaker import CircuitBreaker
from balsamcleat.decisions.retry import RetryBudget
from balsamcleat.errors import OutcomeUnknownError, PlatformUnavailableError
from balsamcleat.ports import ABSENT, Committed, Conflicted, Transaction, Write
from balsamcleat.standins.memory_store import CommitFlaw, MemoryTable
from balsamcleat.tasks.platform_client import FENCE_RETENTION_S, MARKER_PREFIX, PlatformTable
from balsamcleat.tasks.resilience_pipeline import ResiliencePipeline


def make_table(store: MemoryTable, **limits: int) -> PlatformTable:
    """Return a platform client of a table in memory."""
    clock, metrics = SystemClock(), MemoryMetrics()
    pipeline = ResiliencePipeline(
        "table", clock, RetryBudget(), random.Random(1), metrics, **limits
    )
    return PlatformTable(store, pipeline, clock, SeededRandomness(1), metrics)


def put_row(name: str, value: bytes = b"1", expected: int | None = ABSENT) -> Transaction:
    """Return a transaction that writes one row."""
    return Transaction(f"op-{name}", (Write(name, value, expected),))


def run(test) -> None:  # type: ignore[no-untyped-def]
    anyio.run(
        test,
        backend="trio",
        backend_options={"clock": trio.testing.MockClock(autojump_threshold=0)},
    )


@pytest.mark.parametrize(
    "flaw", [CommitFlaw.LOST_APPLIED, CommitFlaw.LOST_DROPPED, CommitFlaw.LOST_LATE]
)
def test_a_commit_whose_answer_is_lost_takes_effect_once(flaw: CommitFlaw) -> None:
    """The client can't tell a dropped commit from one that was applied or will be applied late."""

    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.append(flaw)
        table = make_table(store)
        assert await table.commit(put_row("a")) == Committed()
        version = store.rows["a"].version
        store.deliver_late()
        assert store.rows["a"].version == version

    run(scenario)


def test_a_delayed_unconditional_write_does_not_overwrite_a_newer_one() -> None:
    """The fence of the unanswered commit must reject the commit when it arrives late."""

    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.append(CommitFlaw.LOST_LATE)
        table = make_table(store)
        await table.commit(put_row("a", b"old", None))
        await table.commit(put_row("a", b"new", None))
        store.deliver_late()
        assert store.rows["a"].value == b"new"

    run(scenario)


def test_a_lost_answer_to_the_fence_is_resolved() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.extend([CommitFlaw.LOST_DROPPED, CommitFlaw.LOST_APPLIED])
        assert await make_table(store).commit(put_row("a")) == Committed()
        assert store.rows["a"].value == b"1"

    run(scenario)


def test_an_outcome_that_can_not_be_looked_up_is_reported_as_unknown() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.append(CommitFlaw.LOST_APPLIED)
        store.flaws.extend([CommitFlaw.REFUSED] * 10)
        with pytest.raises(OutcomeUnknownError):
            await make_table(store).commit(put_row("a"))

    run(scenario)


def test_markers_are_removed_and_fences_only_after_their_retention() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.append(CommitFlaw.LOST_DROPPED)
        table = make_table(store)
        for number in range(5):
            await table.commit(put_row(f"row-{number}"))
        markers = [key for key in store.rows if key.startswith(MARKER_PREFIX)]
        assert len(markers) == 2
        await anyio.sleep(FENCE_RETENTION_S)
        await table.commit(put_row("last"))
        markers = [key for key in store.rows if key.startswith(MARKER_PREFIX)]
        assert len(markers) == 1

    run(scenario)


def test_commits_are_batched_and_a_conflict_fails_only_its_own_commit() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.delay_s = 0.05
        table = make_table(store)
        await store.commit(put_row("taken"))
        outcomes: dict[str, Committed | Conflicted] = {}

        async def commit(name: str) -> None:
            outcomes[name] = await table.commit(put_row(name))

        async with anyio.create_task_group() as workers:
            workers.start_soon(table.run)
            await anyio.wait_all_tasks_blocked()
            async with anyio.create_task_group() as group:
                for name in ["taken", *(f"row-{number}" for number in range(100))]:
                    group.start_soon(commit, name)
            workers.cancel_scope.cancel()
        assert outcomes.pop("taken") == Conflicted(("taken",))
        assert set(outcomes.values()) == {Committed()}
        assert store.commits <= 8

    run(scenario)


def test_a_read_after_a_write_does_not_share_a_read_sent_before_it() -> None:
    """A shared read that was sent before the write would return the old row."""

    async def scenario() -> None:
        store = MemoryTable()
        store.delay_s = 1.0
        table = make_table(store)
        async with anyio.create_task_group() as group:
            group.start_soon(table.get, "a")
            await anyio.sleep(0.5)
            store.delay_s = 0.0
            await table.commit(put_row("a"))
            row = await table.get("a")
            assert row is not None

    run(scenario)


def test_a_slow_store_blocks_no_more_callers_than_slots_and_queue() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.delay_s = 3600.0
        table = make_table(store, max_in_flight=2, max_waiting=3)
        failed_at_s: list[float] = []

        async def read(number: int) -> None:
            try:
                await table.get(f"row-{number}")
            except PlatformUnavailableError:
                failed_at_s.append(anyio.current_time())

        start = anyio.current_time()
        async with anyio.create_task_group() as group:
            for number in range(50):
                group.start_soon(read, number)
        assert len(failed_at_s) == 50
        assert sum(at == start for at in failed_at_s) == 45
        assert max(failed_at_s) - start <= 20.0

    run(scenario)


def test_the_breaker_spares_a_store_that_is_down_and_notices_its_recovery() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.down = True
        table = make_table(store)
        for _ in range(600):
            with pytest.raises(PlatformUnavailableError):
                await table.get("a")
            await anyio.sleep(0.1)
        # A minute of outage costs a few tens of requests instead of one for each call.
        assert store.reads <= 30
        store.down = False
        await anyio.sleep(8.0)
        assert await table.get("a") is None

    run(scenario)


def test_an_open_breaker_admits_one_probe() -> None:
    breaker = CircuitBreaker(random.Random(1))
    for _ in range(5):
        breaker.record_failure(0.0)
    assert not breaker.allow_request(0.0)
    assert breaker.allow_request(1.0)
    assert not breaker.allow_request(1.0)
    breaker.record_success()
    assert breaker.allow_request(1.0)
