"""The platform client: lost answers, group commit, bulkhead and breaker."""

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
from balsamcleat.tasks.store_gate import StoreGate


def make(store: MemoryTable, **limits: int) -> PlatformTable:
    clock, metrics = SystemClock(), MemoryMetrics()
    gate = StoreGate("table", clock, RetryBudget(), random.Random(1), metrics, **limits)
    return PlatformTable(store, gate, clock, SeededRandomness(1), metrics)


def put(name: str, value: bytes = b"1", expected: int | None = ABSENT) -> Transaction:
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
def test_a_commit_with_a_lost_answer_takes_effect_once(flaw: CommitFlaw) -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.append(flaw)
        table = make(store)
        assert await table.commit(put("a")) == Committed()
        version = store.rows["a"].version
        store.deliver_late()
        assert store.rows["a"].version == version

    run(scenario)


def test_an_unconditional_write_that_arrives_late_does_not_undo_a_newer_one() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.append(CommitFlaw.LOST_LATE)
        table = make(store)
        await table.commit(put("a", b"old", None))
        await table.commit(put("a", b"new", None))
        store.deliver_late()
        assert store.rows["a"].value == b"new"

    run(scenario)


def test_a_lost_answer_of_the_fence_itself_is_resolved() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.extend([CommitFlaw.LOST_DROPPED, CommitFlaw.LOST_APPLIED])
        assert await make(store).commit(put("a")) == Committed()
        assert store.rows["a"].value == b"1"

    run(scenario)


def test_an_outcome_that_can_not_be_looked_up_is_said_to_be_unknown() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.append(CommitFlaw.LOST_APPLIED)
        store.flaws.extend([CommitFlaw.REFUSED] * 10)
        with pytest.raises(OutcomeUnknownError):
            await make(store).commit(put("a"))

    run(scenario)


def test_markers_are_removed_and_fences_only_after_their_time() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.flaws.append(CommitFlaw.LOST_DROPPED)
        table = make(store)
        for number in range(5):
            await table.commit(put(f"row-{number}"))
        markers = [key for key in store.rows if key.startswith(MARKER_PREFIX)]
        assert len(markers) == 2
        await anyio.sleep(FENCE_RETENTION_S)
        await table.commit(put("last"))
        markers = [key for key in store.rows if key.startswith(MARKER_PREFIX)]
        assert len(markers) == 1

    run(scenario)


def test_independent_commits_share_a_transaction_and_a_conflict_hits_only_its_own() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.delay_s = 0.05
        table = make(store)
        await store.commit(put("taken"))
        outcomes: dict[str, Committed | Conflicted] = {}

        async def commit(name: str) -> None:
            outcomes[name] = await table.commit(put(name))

        async with anyio.create_task_group() as lanes:
            lanes.start_soon(table.run)
            await anyio.wait_all_tasks_blocked()
            async with anyio.create_task_group() as group:
                for name in ["taken", *(f"row-{number}" for number in range(100))]:
                    group.start_soon(commit, name)
            lanes.cancel_scope.cancel()
        assert outcomes.pop("taken") == Conflicted(("taken",))
        assert set(outcomes.values()) == {Committed()}
        assert store.commits <= 8

    run(scenario)


def test_a_reader_that_came_after_a_write_does_not_share_an_older_read() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.delay_s = 1.0
        table = make(store)
        async with anyio.create_task_group() as group:
            group.start_soon(table.get, "a")
            await anyio.sleep(0.5)
            store.delay_s = 0.0
            await table.commit(put("a"))
            row = await table.get("a")
            assert row is not None

    run(scenario)


def test_a_slow_store_does_not_hold_more_callers_than_its_places() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.delay_s = 3600.0
        table = make(store, max_in_flight=2, max_waiting=3)
        refused_at: list[float] = []

        async def read(number: int) -> None:
            try:
                await table.get(f"row-{number}")
            except PlatformUnavailableError:
                refused_at.append(anyio.current_time())

        start = anyio.current_time()
        async with anyio.create_task_group() as group:
            for number in range(50):
                group.start_soon(read, number)
        assert len(refused_at) == 50
        assert sum(at == start for at in refused_at) == 45
        assert max(refused_at) - start <= 20.0

    run(scenario)


def test_a_store_that_is_down_is_left_alone_and_found_again() -> None:
    async def scenario() -> None:
        store = MemoryTable()
        store.down = True
        table = make(store)
        for _ in range(600):
            with pytest.raises(PlatformUnavailableError):
                await table.get("a")
            await anyio.sleep(0.1)
        # A minute down costs some tens of requests rather than one for each caller.
        assert store.reads <= 30
        store.down = False
        await anyio.sleep(8.0)
        assert await table.get("a") is None

    run(scenario)


def test_an_open_breaker_lets_one_probe_through() -> None:
    breaker = CircuitBreaker(random.Random(1))
    for _ in range(5):
        breaker.record_failure(0.0)
    assert not breaker.allow_request(0.0)
    assert breaker.allow_request(1.0)
    assert not breaker.allow_request(1.0)
    breaker.record_success()
    assert breaker.allow_request(1.0)
