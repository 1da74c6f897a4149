"""Row store calls relayed by a peer VM over sockets while direct calls fail and recover."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import anyio
import pytest

from balsamcleat.decisions.readiness import StoreView
from balsamcleat.decisions.store_path import (
    MAX_TIMEOUT_S,
    MIN_TIMEOUT_S,
    PROBE_INTERVAL_S,
    AdaptiveTimeout,
    StorePathSelector,
)
from balsamcleat.decisions.vm_watch import VmRow
from balsamcleat.errors import OutcomeUnknownError, PlatformUnavailableError
from balsamcleat.http1 import ConnectionPool, HttpServer, PoolLimits, ServerLimits
from balsamcleat.http1.streams import listen
from balsamcleat.ports.rows import (
    HistoryExpiredError,
    RowChange,
    RowCommit,
    RowConflict,
    RowKey,
    RowsCommitted,
    RowWrite,
)
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from balsamcleat.tasks.peers import PeerPoller, PeerRequestHandler, PeerState
from balsamcleat.tasks.relayed_store import (
    MIN_OUTAGE_S,
    RELAY_PREFIX,
    RelayedRowStore,
    StoreRelay,
)

KEY = RowKey("table", "part", "key")
WRITE = RowCommit((RowWrite(KEY, b"value"),), ((KEY, 0),))


PEER = PeerState("boot", 0.1)


async def poll_until_answered(poller: PeerPoller, row: VmRow) -> None:
    """Poll a peer until it has answered, and no more, so that a busy machine can't take it away.

    A fixed time was too short for the first answer on a busy machine, and a later poll could time
    out in the middle of a test.
    """
    poller.known_rows[row.vm] = row
    with anyio.fail_after(10.0):
        while not poller.view.answered_count:
            await poller.poll_store_reachability()


@asynccontextmanager
async def cut_off_vm(
    relay_flaws: RowStoreFlaws, state: PeerState = PEER
) -> AsyncIterator[tuple[MemoryRowStore, RowStoreFlaws, RelayedRowStore]]:
    """Yield the store, the faults of a cut-off VM and that VM's client; a peer can relay."""
    store = MemoryRowStore()
    flaws = RowStoreFlaws(down=True)
    relay = StoreRelay(RowStoreView(store, relay_flaws))
    handler = PeerRequestHandler(lambda: state, {RELAY_PREFIX: relay.handle})
    listener = listen("127.0.0.1:0")
    host, port = listener.getsockname()
    server = HttpServer(listener, handler.handle, lambda: ServerLimits())
    pool = ConnectionPool(PoolLimits())
    row = VmRow("peer", "boot", f"{host}:{port}", "a", 1)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        poller = PeerPoller(
            pool, "me", "a", lambda: [row], lambda: StoreView(5.0, True), random.Random(1)
        )
        await poll_until_answered(poller, row)
        view = RowStoreView(store, flaws)
        relayed_store = RelayedRowStore(view, pool, lambda: poller.vms_reaching_store)
        relayed_store.path.failures = 2
        yield store, flaws, relayed_store
        server.stop_accepting()
        pool.close()
        tasks.cancel_scope.cancel()


pytestmark = pytest.mark.anyio


async def test_a_peer_whose_direct_calls_fail_is_not_used_as_relay() -> None:
    """A relay must reach the store itself.

    In an outage for all VMs, they relayed calls to each other in a circle, and four of them
    reported to the balancer that they were not ready.
    """
    failing = PeerState("boot", 0.1, store_failing=True)
    async with cut_off_vm(RowStoreFlaws(), failing) as (_, _, cut_off):
        assert cut_off.find_relays() == []
    async with cut_off_vm(RowStoreFlaws()) as (_, _, cut_off):
        assert [row.vm for row in cut_off.find_relays()] == ["peer"]


async def test_relayed_calls_return_the_results_of_direct_calls() -> None:
    async with cut_off_vm(RowStoreFlaws()) as (store, _, cut_off):
        assert isinstance(await cut_off.commit(WRITE), RowsCommitted)
        assert isinstance(await cut_off.commit(WRITE), RowConflict)
        page = await cut_off.read("table", "part")
        assert [row.value for row in page.rows] == [b"value"]
        assert (await cut_off.parts("table"))[0] == ("part",)
        assert (await cut_off.changes("table", 0, 0.0)).rows[0].key == KEY
        store.forget_history()
        with pytest.raises(HistoryExpiredError):
            await cut_off.changes("table", 0, 0.0)


async def test_errors_at_the_relay_keep_their_types() -> None:
    """A caller must be able to tell a commit without effect from one with an unknown outcome."""
    async with cut_off_vm(RowStoreFlaws(refuse_commits=1, lose_answers=1)) as (_, _, cut_off):
        with pytest.raises(PlatformUnavailableError):
            await cut_off.commit(WRITE)
        with pytest.raises(OutcomeUnknownError):
            await cut_off.commit(WRITE)
        assert isinstance(await cut_off.commit(WRITE), RowConflict)


async def test_direct_calls_resume_once_the_store_is_reachable_again() -> None:
    async with cut_off_vm(RowStoreFlaws()) as (_, flaws, cut_off):
        await cut_off.read("table", "part")
        assert cut_off.is_relaying
        flaws.down = False
        await anyio.sleep(PROBE_INTERVAL_S)
        await cut_off.read("table", "part")
        assert not cut_off.is_relaying


async def test_long_poll_on_a_lost_link_is_relayed_as_soon_as_other_calls_fail() -> None:
    """A key that is removed meanwhile must be refused here within 3 s, not after the poll's end."""
    async with cut_off_vm(RowStoreFlaws()) as (store, flaws, cut_off):
        flaws.down = False
        cut_off.path.failures = 0
        pages = []

        async def poll() -> None:
            pages.append(await cut_off.changes("table", 0, 30.0))

        # The poll itself would take 30 s; on a busy machine the relay may be unknown at first.
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(poll)
                await anyio.sleep(0.1)
                flaws.down = True
                # A lost link delivers nothing to the poll that was sent before.
                store.changed = anyio.Event()
                store.rows[KEY] = (b"value", 1)
                store.history.append(RowChange(KEY, b"value", 1))
                store.version = 1
                while not pages:
                    with suppress(PlatformUnavailableError):
                        await cut_off.read("table", "part")
                    await anyio.sleep(0.05)
        assert [row.key for row in pages[0].rows] == [KEY]
        assert not cut_off.long_polls


async def test_a_direct_commit_with_unknown_outcome_is_not_relayed() -> None:
    """A commit whose answer was lost may have taken effect, and a relay would apply it twice."""
    async with cut_off_vm(RowStoreFlaws()) as (store, flaws, cut_off):
        flaws.down, flaws.lose_answers = False, 1
        cut_off.path.failures = 0
        with pytest.raises(OutcomeUnknownError):
            await cut_off.commit(WRITE)
        assert store.version == 1


async def test_a_single_failure_does_not_switch_to_a_relay() -> None:
    path = StorePathSelector()
    path.record_failure()
    assert path.should_call_directly(0.0, has_relay=True)
    path.record_failure()
    assert path.should_call_directly(0.0, has_relay=True)
    assert not path.should_call_directly(0.1, has_relay=True)
    assert path.should_call_directly(0.1, has_relay=False)
    assert path.should_call_directly(PROBE_INTERVAL_S + 0.01, has_relay=True)


async def test_the_timeout_follows_the_latency_and_is_bounded_in_an_outage() -> None:
    timeout = AdaptiveTimeout()
    for _ in range(20):
        timeout.record_answer(0.004)
    assert timeout.timeout_s == MIN_TIMEOUT_S
    for _ in range(10):
        timeout.record_answer(0.4)
    assert 1.2 < timeout.timeout_s <= MAX_TIMEOUT_S
    for _ in range(20):
        timeout.record_answer(0.004)
    for _ in range(9):
        timeout.record_timeout()
    assert timeout.timeout_s == MAX_TIMEOUT_S


@pytest.mark.parametrize("is_relayed", [False, True])
async def test_first_answer_after_an_outage_is_reported_once(is_relayed: bool) -> None:
    """The feeds may be late then, so a VM that owns steps asks for their state itself."""
    async with cut_off_vm(RowStoreFlaws()) as (_, flaws, client):
        flaws.down = is_relayed
        reported: list[float] = []
        client.on_regained = reported.append
        await client.read("table", "part")
        assert reported == []
        client.answered_at_s -= MIN_OUTAGE_S
        await client.read("table", "part")
        await client.read("table", "part")
        assert len(reported) == 1
        assert reported[0] >= MIN_OUTAGE_S
