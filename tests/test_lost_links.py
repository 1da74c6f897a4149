"""VMs that lost their links to the targets serve their callers, and mislead no other VM."""

import anyio
import pytest

from balsamcleat.model.routing import RouteKind
from live_world import LiveWorld, attempt_id, live_world, response_bytes, route
from lost_links import Cut, LinkedNetwork
from raw_target import RawTarget
from test_stream_forwarding import ALL_EVENTS, stream_script

pytestmark = pytest.mark.anyio

CALL = route(timeout_s=2.0, objective_s=0.2)
CALL_AT_MOST_ONCE = route(RouteKind.AT_MOST_ONCE, timeout_s=2.0, objective_s=0.2)
STREAM = route(RouteKind.STREAM, timeout_s=2.0, objective_s=0.2, resumable=True)
EVERY_CUT = pytest.mark.parametrize("how", list(Cut), ids=lambda how: how.value)
# Callers must be served well again this long after the cut.
RECOVERED_AFTER_S = 3.0


async def answer_all(target: RawTarget, stream) -> None:
    while True:
        await target.read_request(stream)
        await stream.send(response_bytes(attempt_id(target.requests[-1]), b"fine"))


async def try_call(world: LiveWorld, vm: int, attempt: str, **options) -> int:
    """Return the status of a call on a new connection of its caller; 0 without an answer."""
    caller = await world.connect(vm=vm)
    try:
        with anyio.fail_after(3.0):
            return (await caller.request(attempt, **options))[0]
    except (TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
        return 0


async def call_for(world: LiveWorld, vm: int, seconds: float) -> None:
    """Let callers come to a VM for some time; they may fail."""
    until_s = anyio.current_time() + seconds
    async with anyio.create_task_group() as callers:
        number = 0
        while anyio.current_time() < until_s:
            callers.start_soon(try_call, world, vm, f"warm-{vm}-{number}")
            number += 1
            await anyio.sleep(0.1)


@EVERY_CUT
@pytest.mark.parametrize("live_route", [CALL, CALL_AT_MOST_ONCE], ids=["call", "at-most-once"])
async def test_callers_of_a_stranded_vm_are_served(
    live_route, how: Cut, monkeypatch: pytest.MonkeyPatch
) -> None:
    network = LinkedNetwork(monkeypatch)
    async with live_world([answer_all] * 3, live_route, vm_count=3, network=network) as world:
        await call_for(world, 0, 0.3)
        await world.strand(0, how)
        await call_for(world, 0, RECOVERED_AFTER_S - 0.5)
        statuses = [await try_call(world, 0, f"call-{number}") for number in range(10)]
        assert statuses == [200] * 10


@EVERY_CUT
async def test_streams_of_a_stranded_vm_are_served(
    how: Cut, monkeypatch: pytest.MonkeyPatch
) -> None:
    network = LinkedNetwork(monkeypatch)
    scripts = [stream_script()] * 3
    async with live_world(scripts, STREAM, vm_count=3, network=network) as world:
        await call_for(world, 0, 0.3)
        await world.strand(0, how)
        await call_for(world, 0, RECOVERED_AFTER_S - 0.5)
        for number in range(5):
            caller = await world.connect(vm=0)
            with anyio.fail_after(1.0):
                assert (await caller.request(f"stream-{number}"))[2] == ALL_EVENTS


@EVERY_CUT
async def test_stranded_vm_makes_no_other_vm_block_a_sound_request(
    how: Cut, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its own broken links are no evidence that targets crashed under the request."""
    network = LinkedNetwork(monkeypatch)
    async with live_world([answer_all] * 4, CALL, vm_count=2, network=network) as world:
        await call_for(world, 0, 0.3)
        for link in world.links[1]:
            # Nobody clears the request by a whole answer meanwhile.
            await link.cut_off(Cut.REFUSE)
        await world.strand(0, how)
        for number in range(4):
            await try_call(world, 0, f"sound-{number}", body=b"sound")
        world.heal(1)
        await anyio.sleep(0.3)
        assert not world.vms[1].crash_history.history.records
        assert await try_call(world, 1, "sound", body=b"sound") == 200


async def test_callers_are_rejected_at_once_while_no_vm_reaches_the_targets(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    network = LinkedNetwork(monkeypatch)
    async with live_world([answer_all] * 3, CALL, vm_count=2, network=network) as world:
        await call_for(world, 0, 0.3)
        for vm in (0, 1):
            await world.strand(vm, Cut.HANG)
        await call_for(world, 0, 1.5)
        began_s = anyio.current_time()
        assert await try_call(world, 0, "last") == 503
        assert anyio.current_time() - began_s < 0.2
