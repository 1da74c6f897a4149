"""A process that is paused between a check and a send doesn't act on a permission that ran out.

The pause is played while the connection to the target is opened, the longest wait in between.
"""

import anyio
import pytest

from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.decisions.sample_progress import SampleProgress
from balsamcleat.http1 import ByteStream, ConnectionPool, PoolLimits, connect, connection_pool
from balsamcleat.model import StepId, WeightVersion
from balsamcleat.model.rollout import RolloutStep, SampleTask
from balsamcleat.platform import CORRELATION_HEADER, ReplicaControl
from balsamcleat.platform.orders import OrderResult
from balsamcleat.tasks.sample_run import SampleAssignment, SampleEnd, SampleRunner
from live_world import listed_replica, live_world, route
from raw_target import RawTarget, never_answer, raw_target

pytestmark = pytest.mark.anyio
SAMPLE = SampleTask("sample-1", "group", "/generate", (), b"")
STEP = RolloutStep(StepId("step-1"), "model", WeightVersion(1), 1, 0, (SAMPLE,))


class Permission:
    """Permission that runs out while a connection is opened."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.is_valid = True
        monkeypatch.setattr(connection_pool, "connect", self.connect)

    async def connect(self, address: str, timeout_s: float) -> ByteStream:
        stream = await connect(address, timeout_s)
        self.is_valid = False
        return stream

    def __call__(self) -> bool:
        return self.is_valid


def new_pool() -> ConnectionPool:
    return ConnectionPool(PoolLimits(), CORRELATION_HEADER)


async def test_order_is_not_sent_after_the_lease_ran_out(monkeypatch: pytest.MonkeyPatch) -> None:
    permission = Permission(monkeypatch)
    async with raw_target(never_answer) as target:
        control = ReplicaControl(new_pool(), "vm-1")
        outcome = await control.order_load(
            listed_replica(0, target),
            "model",
            WeightVersion(2),
            fencing_token=1,
            order_count=0,
            continue_samples=True,
            is_permitted=permission,
        )
        assert outcome.result is OrderResult.NOT_SENT
        assert not target.requests


async def run_sample(target: RawTarget, permission: Permission) -> SampleEnd:
    replica = listed_replica(0, target)
    directory = ReplicaDirectory()
    directory.apply_entry(replica)
    runner = SampleRunner(new_pool(), directory, ReplicaStatsRegistry())
    assignment = SampleAssignment(
        STEP, SAMPLE, "host.example", replica, 5.0, 4, single_version=False, is_wanted=permission
    )
    return (await runner.run(assignment, SampleProgress())).end


async def test_sample_is_not_sent_after_its_step_was_lost(monkeypatch: pytest.MonkeyPatch) -> None:
    permission = Permission(monkeypatch)
    async with raw_target(never_answer) as target:
        with anyio.fail_after(1.0):
            assert await run_sample(target, permission) is SampleEnd.INTERRUPTED
        assert not target.requests


async def test_call_is_not_sent_after_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    """The VM is paused for longer than the caller waits; the connection was open before."""

    async def connect_slowly(address: str, timeout_s: float) -> ByteStream:
        stream = await connect(address, timeout_s)
        with anyio.CancelScope(shield=True):
            # No timeout of the call takes effect during a pause.
            await anyio.sleep(0.3)
        return stream

    monkeypatch.setattr(connection_pool, "connect", connect_slowly)
    async with live_world([never_answer], route(timeout_s=0.2)) as world:
        caller = await world.connect()
        with anyio.fail_after(1.0):
            assert (await caller.request("a"))[0] in (503, 504)
        assert not world.targets[0].requests
