"""Callers that do not read their streams, and the targets that must not wait for them."""

from collections.abc import Callable

import anyio
import anyio.abc
import pytest

from live_world import live_world
from raw_target import RawTarget, Script
from test_stream_forwarding import ALL_EVENTS, STREAM, chunk, echoed_id, stream_script

pytestmark = pytest.mark.anyio
EVENT_BYTES = 64 * 1024
# More than the kernel and this VM buffer for one stream.
ENDLESS_EVENTS = 1000
# A target cuts off a response that is not read for some seconds.
MOST_UNREAD_S = 1.6


def large_event(number: int) -> bytes:
    return f"id: {number}\ndata: ".encode() + b"z" * EVENT_BYTES + b"\n\n"


def large_stream(count: int, waits_s: list[float]) -> Script:
    """Return a script that streams large events and records how long each was not taken."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        head = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nTransfer-Encoding: chunked\r\n"
        await stream.send(head + echoed_id(await target.read_request(stream)) + b"\r\n")
        for number in range(1, count + 1):
            began_s = anyio.current_time()
            try:
                await stream.send(chunk(large_event(number)))
            finally:
                waits_s.append(anyio.current_time() - began_s)
        await stream.send(b"0\r\n\r\n")
        await target.read_request(stream)

    return script


async def wait_until(is_reached: Callable[[], bool], timeout_s: float) -> None:
    """Wait until something is so; fail after the timeout."""
    end_s = anyio.current_time() + timeout_s
    while True:
        if is_reached():
            return
        assert anyio.current_time() < end_s
        await anyio.sleep(0.01)


async def test_reader_that_stopped_costs_its_own_stream_only() -> None:
    """The target must not be left unread, be blamed, or be asked to go on."""
    waits_s: list[float] = []
    scripts = [large_stream(ENDLESS_EVENTS, waits_s), large_stream(ENDLESS_EVENTS, waits_s)]
    async with live_world(scripts, STREAM) as world:
        caller = await world.connect()
        await caller.send_request("a")
        await wait_until(lambda: bool(world.server.connections), 1.0)
        await wait_until(lambda: not world.server.connections, 8.0)
        await anyio.sleep(0.05)
        assert max(waits_s) < MOST_UNREAD_S
        assert sum(len(target.requests) for target in world.targets) == 1
        assert world.server.budget.held_bytes == 0
        registry = world.vms[0].forwarder.stats_registry
        replicas = world.vms[0].directory.entries.values()
        assert [registry.for_replica(replica).in_flight for replica in replicas] == [0, 0]


async def test_target_is_free_before_a_slow_caller_has_read_the_end() -> None:
    """The last events must not hold the connection and the slot of the target."""
    waits_s: list[float] = []
    count = 1
    async with live_world([large_stream(count, waits_s)], STREAM) as world:
        caller = await world.connect()
        await caller.send_request("a")
        await wait_until(lambda: world.pool.has_idle(world.targets[0].address), 2.0)
        assert (await caller.read_response())[2] == large_event(1)


async def test_caller_that_pauses_for_a_moment_gets_every_event_once() -> None:
    waits_s: list[float] = []
    count = 150
    async with live_world([large_stream(count, waits_s)], STREAM) as world:
        caller = await world.connect()
        await caller.send_request("a")
        await anyio.sleep(0.6)
        with anyio.fail_after(8.0):
            _, _, body = await caller.read_response()
        assert body == b"".join(large_event(number) for number in range(1, count + 1))


async def test_other_streams_go_on_while_one_caller_does_not_read() -> None:
    waits_s: list[float] = []
    scripts = [large_stream(ENDLESS_EVENTS, waits_s)]
    async with live_world([*scripts, stream_script()], STREAM) as world:
        stopped = await world.connect()
        await stopped.send_request("a")
        await anyio.sleep(0.2)
        world.vms[0].directory.mark_leaving(world.vms[0].directory.entries["t0"], 0.0)
        other = await world.connect()
        with anyio.fail_after(1.0):
            assert (await other.request("b"))[2] == ALL_EVENTS
