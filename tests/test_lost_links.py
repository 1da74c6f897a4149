"""VMs that lost their links to the targets serve their callers, and mislead no other VM."""

import anyio
import pytest

from balsamcleat.decisions.crash_suspects import CRASHES_TO_BLOCK
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_progress import SampleProgress
from balsamcleat.decisions.target_path import TargetCondition, judge_target
from balsamcleat.model.replicas import Replica
from balsamcleat.model.routing import RouteKind
from balsamcleat.tasks.sample_run import SampleEnd, SampleRunner
from balsamcleat.tasks.target_relay import MAX_PASSED_ON
from live_world import SERVICE, LiveWorld, attempt_id, live_world, response_bytes, route
from lost_links import Cut, LinkedNetwork
from raw_target import RawTarget
from test_software_versions import sample_assignment, weighted_stream
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


async def strand_and_notice(world: LiveWorld, vm: int, how: Cut = Cut.REFUSE) -> None:
    """Cut a VM off, and let it find out by the requests of its callers."""
    await call_for(world, vm, 0.3)
    await world.strand(vm, how)
    await call_for(world, vm, 1.5)
    assert all(world.vms[vm].paths.choose_relay(replica) for replica in replicas_of(world, vm))


def replicas_of(world: LiveWorld, vm: int) -> list[Replica]:
    return list(world.vms[vm].directory.entries.values())


async def test_links_that_are_back_are_used_again(monkeypatch: pytest.MonkeyPatch) -> None:
    network = LinkedNetwork(monkeypatch)
    async with live_world([answer_all] * 3, CALL, vm_count=2, network=network) as world:
        await strand_and_notice(world, 0)
        world.heal(0)
        await call_for(world, 0, 1.5)
        paths = world.vms[0].paths
        assert not any(paths.choose_relay(replica) for replica in replicas_of(world, 0))


@pytest.mark.parametrize("lost", [[0], [0, 2]], ids=["one target", "all but one"])
async def test_only_the_links_that_are_lost_are_replaced(
    lost: list[int], monkeypatch: pytest.MonkeyPatch
) -> None:
    network = LinkedNetwork(monkeypatch)
    async with live_world([answer_all] * 3, CALL, vm_count=2, network=network) as world:
        await call_for(world, 0, 0.3)
        for number in lost:
            await world.links[0][number].cut_off(Cut.HANG)
        await call_for(world, 0, 2.5)
        paths = world.vms[0].paths
        relayed = [
            number
            for number, replica in enumerate(replicas_of(world, 0))
            if paths.choose_relay(replica) is not None
        ]
        assert set(relayed) <= set(lost)
        assert [await try_call(world, 0, f"call-{n}") for n in range(5)] == [200] * 5


async def test_request_that_was_passed_on_is_not_passed_on_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Two stranded VMs that take each other for the way to the targets must not form a ring."""
    network = LinkedNetwork(monkeypatch)
    async with live_world(
        [answer_all] * 3, CALL_AT_MOST_ONCE, vm_count=2, network=network
    ) as world:
        for vm in (0, 1):
            await world.strand(vm, Cut.REFUSE)
            other = world.peers[1 - vm]
            for replica in replicas_of(world, vm):
                world.vms[vm].paths.record_check(replica, TargetCondition.LINK_LOST, [other])
        with anyio.fail_after(1.0):
            assert await try_call(world, 0, "once") == 503
        assert not any(target.requests for target in world.targets)


async def test_request_that_a_full_relay_rejects_has_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The VMs that still reach the targets protect their own callers, and say so truly."""
    network = LinkedNetwork(monkeypatch)
    async with live_world(
        [answer_all] * 3, CALL_AT_MOST_ONCE, vm_count=2, network=network
    ) as world:
        await strand_and_notice(world, 0)
        world.vms[1].relay.running_count = MAX_PASSED_ON
        assert await try_call(world, 0, "once") == 503
        assert not any(b"once" in request for t in world.targets for request in t.requests)


async def test_departure_announced_over_a_hop_binds_both_vms(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def leave(target: RawTarget, stream) -> None:
        await target.read_request(stream)
        attempt = attempt_id(target.requests[-1])
        leaving = {"Server_Leaving": "1"} if attempt == "last" else {}
        await stream.send(response_bytes(attempt, b"fine", **leaving))

    network = LinkedNetwork(monkeypatch)
    async with live_world([leave], CALL, vm_count=2, network=network) as world:
        await strand_and_notice(world, 0)
        assert await try_call(world, 0, "last") == 200
        for vm in world.vms:
            assert not vm.directory.ready_replicas(SERVICE)


async def test_caller_that_leaves_ends_its_request_behind_a_hop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def hold(target: RawTarget, stream) -> None:
        await target.read_request(stream)
        if attempt_id(target.requests[-1]) != "held":
            await stream.send(response_bytes(attempt_id(target.requests[-1]), b"fine"))
            return
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            target.closed.set()

    network = LinkedNetwork(monkeypatch)
    async with live_world([hold], CALL_AT_MOST_ONCE, vm_count=2, network=network) as world:
        await strand_and_notice(world, 0)
        caller = await world.connect(vm=0)
        await caller.send_request("held")
        await anyio.sleep(0.2)
        await caller.stream.aclose()
        with anyio.fail_after(0.5):
            await world.targets[0].closed.wait()


async def test_response_that_breaks_off_behind_a_hop_is_not_complete(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def break_off(target: RawTarget, stream) -> None:
        await target.read_request(stream)
        attempt = attempt_id(target.requests[-1])
        whole = response_bytes(attempt, b"fine")
        await stream.send(whole[:-2] if attempt == "broken" else whole)

    network = LinkedNetwork(monkeypatch)
    async with live_world([break_off], CALL_AT_MOST_ONCE, vm_count=2, network=network) as world:
        await strand_and_notice(world, 0)
        assert await try_call(world, 0, "broken") == 502


async def test_sample_of_a_stranded_vm_is_generated(monkeypatch: pytest.MonkeyPatch) -> None:
    async def serve_streams(target: RawTarget, stream) -> None:
        """Keep connections: one that a target closes just then interrupts a sample, too."""
        while True:
            await weighted_stream(target, stream)

    network = LinkedNetwork(monkeypatch)
    async with live_world([serve_streams] * 2, STREAM, vm_count=2, network=network) as world:
        await strand_and_notice(world, 0)
        vm = world.vms[0]
        runner = SampleRunner(vm.pool, vm.directory, ReplicaStatsRegistry(), vm.paths)
        progress = SampleProgress()
        outcome = await runner.run(sample_assignment(replicas_of(world, 0)[0]), progress)
        assert outcome.end is SampleEnd.COMPLETE
        assert progress.origin is not None


async def test_crash_that_a_stranded_vm_alone_saw_is_found(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A target that really crashed under a request, first seen from behind a hop."""
    network = LinkedNetwork(monkeypatch)

    async def crash_under_poison(target: RawTarget, stream) -> None:
        await target.read_request(stream)
        if b"poison" in target.requests[-1]:
            await target.crash()
            return
        await stream.send(response_bytes(attempt_id(target.requests[-1]), b"fine"))

    async with live_world([crash_under_poison] * 6, CALL, vm_count=2, network=network) as world:
        await strand_and_notice(world, 0)
        for number in range(6):
            await try_call(world, 0, f"poison-{number}", body=b"poison")
        crashed = sum(target.has_crashed for target in world.targets)
        assert 1 <= crashed <= CRASHES_TO_BLOCK


async def test_question_about_an_ended_target_makes_no_other_vm_ask(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each VM that is asked would ask others in turn, so that one crash made all VMs ask."""
    network = LinkedNetwork(monkeypatch)
    async with live_world([answer_all] * 2, CALL, vm_count=4, network=network) as world:
        await world.targets[0].crash()
        for links in world.links:
            await links[0].cut_off(Cut.REFUSE)
        replica = replicas_of(world, 0)[0]
        assert await world.vms[0].paths.examine(replica.target_id) is TargetCondition.ENDED
        await anyio.sleep(0.3)
        assert not any(vm.paths.has_open_checks() for vm in world.vms[1:])


class TestJudgement:
    def judge(self, **fields: bool) -> TargetCondition:
        facts = {"connects": False, "has_peers": True, "has_relay": False, "has_witness": False}
        return judge_target(**{**facts, **fields})

    def test_one_vm_alone_can_not_tell_a_lost_link_from_ended_targets(self) -> None:
        assert self.judge() is TargetCondition.UNKNOWN

    def test_other_vms_that_reach_a_target_show_a_lost_link(self) -> None:
        assert self.judge(has_relay=True) is TargetCondition.LINK_LOST
        assert self.judge(has_relay=True, has_witness=True) is TargetCondition.LINK_LOST

    def test_a_vm_that_reaches_another_target_shows_that_one_has_ended(self) -> None:
        assert self.judge(has_witness=True) is TargetCondition.ENDED

    def test_a_vm_without_peers_believes_what_it_sees(self) -> None:
        assert self.judge(has_peers=False) is TargetCondition.ENDED
        assert self.judge(connects=True, has_relay=True) is TargetCondition.REACHED
