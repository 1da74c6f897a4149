import random

import anyio
import pytest
from trio.testing import MockClock

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.decisions.admission import Admission, AdmissionRequest
from balsamcleat.decisions.limits import AimdLimit
from balsamcleat.errors import OverloadedError
from balsamcleat.model import Priority, ServiceName, TeamName
from balsamcleat.ports import Clock
from balsamcleat.tasks.admission_controller import AdmissionController

SERVICE = ServiceName("kantor")


class VirtualClock(Clock):
    def now_s(self) -> float:
        return anyio.current_time()

    def wall_s(self) -> float:
        return anyio.current_time()

    async def sleep(self, seconds: float) -> None:
        await anyio.sleep(seconds)


@pytest.fixture
def anyio_backend() -> tuple[str, dict[str, object]]:
    return "trio", {"clock": MockClock(autojump_threshold=0)}


def new_controller(limit: int) -> AdmissionController:
    admission = Admission(random.Random(1))
    admission.queue(SERVICE).concurrency_limit = AimdLimit(limit, limit)
    return AdmissionController(admission, VirtualClock(), MemoryMetrics())


def new_request(wait_s: float) -> AdmissionRequest:
    return AdmissionRequest(SERVICE, TeamName("a"), Priority.LIVE, anyio.current_time() + wait_s)


@pytest.mark.anyio
async def test_queued_call_is_rejected_at_its_deadline_without_running() -> None:
    controller = new_controller(1)
    async with controller.acquire(new_request(100)):
        began_s = anyio.current_time()
        with pytest.raises(OverloadedError) as rejection:
            async with controller.acquire(new_request(2)):
                pytest.fail("it ran")
        assert anyio.current_time() - began_s == pytest.approx(2)
        assert rejection.value.retry_after_s >= 1
    assert controller.admission.queue(SERVICE).in_flight == 0
    assert not controller.waiters


@pytest.mark.anyio
async def test_cancelled_call_leaves_the_queue_and_releases_its_slot() -> None:
    controller = new_controller(1)
    entered = []

    async def call(name: str) -> None:
        async with controller.acquire(new_request(100)):
            entered.append(name)
            await anyio.sleep(10)

    async with anyio.create_task_group() as first, anyio.create_task_group() as group:
        first.start_soon(call, "first")
        await anyio.sleep(1)
        with anyio.move_on_after(1):
            await call("gone")
        group.start_soon(call, "next")
        await anyio.sleep(1)
        first.cancel_scope.cancel()
    assert "gone" not in entered
    assert controller.admission.queue(SERVICE).in_flight == 0


@pytest.mark.anyio
async def test_slot_granted_to_a_cancelled_call_passes_to_the_next() -> None:
    """A call can be cancelled after it was admitted and before its task has run again."""
    controller = new_controller(1)
    entered = []

    async def call(name: str, scope: anyio.CancelScope) -> None:
        with scope:
            async with controller.acquire(new_request(100)):
                entered.append(name)

    async with anyio.create_task_group() as group:
        permit = controller.acquire(new_request(100))
        await permit.__aenter__()
        gone = anyio.CancelScope()
        group.start_soon(call, "gone", gone)
        await anyio.sleep(1)
        group.start_soon(call, "next", anyio.CancelScope())
        await anyio.sleep(1)
        # The call is cancelled, and then admitted before its task runs again.
        gone.cancel()
        await permit.__aexit__(None, None, None)
    assert entered == ["next"]
    assert controller.admission.queue(SERVICE).in_flight == 0
