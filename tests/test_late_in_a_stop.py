"""Requests that come late in a planned stop are answered whole or refused, never cut.

Operators of a similar system saw requests that came late in the grace period, were passed on, and
were cut without an answer at its end. Here a stream that was asked for 3.4 s after SIGTERM on a
kept connection was cut 7.2 s after it.
"""

import signal
from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest

from balsamcleat.decisions.stop_schedule import NOTICE_S, STOP_MARGIN_S, StopSchedule
from balsamcleat.errors import AttemptFailedError
from balsamcleat.http1 import ConnectionPool, PoolLimits, Request, Response
from soak import HEADERS, Soak, front_address
from soak_faults import SoakVm
from soak_stand import events_of
from test_signals import running_vm, wait_for_end, wait_until_ready

GRACE_S = 8.0
# The load balancer has removed the VM, and connections that callers keep are still open.
LATE_S = 3.4
# Of the settings of the soak.
SOAK_GRACE_S = 6.0


class TestStopSchedule:
    def test_vm_that_does_not_stop_accepts_everything(self) -> None:
        assert StopSchedule().accepts(100.0, float("inf"))

    @pytest.mark.parametrize("after_s", [0.0, 1.0, NOTICE_S])
    def test_caller_that_cannot_know_of_the_stop_is_served(self, after_s: float) -> None:
        schedule = StopSchedule()
        schedule.begin(100.0, GRACE_S)
        assert schedule.accepts(100.0 + after_s, float("inf"))

    @pytest.mark.parametrize("after_s", [NOTICE_S + 0.1, 4.0, 6.5, 8.0])
    def test_later_request_is_accepted_only_if_it_ends_before_the_process(
        self, after_s: float
    ) -> None:
        schedule = StopSchedule()
        schedule.begin(100.0, GRACE_S)
        end_s = 100.0 + GRACE_S - STOP_MARGIN_S
        assert schedule.accepts(100.0 + after_s, end_s)
        assert not schedule.accepts(100.0 + after_s, end_s + 0.1)
        assert not schedule.accepts(100.0 + after_s, float("inf"))


@dataclass
class KeptCaller:
    """Caller that keeps one connection to a VM."""

    pool: ConnectionPool
    address: str

    async def ask(self, request: Request) -> Response:
        return await self.pool.fetch(self.address, request, 10.0)


async def connect_caller(vm: SoakVm) -> KeptCaller:
    caller = KeptCaller(ConnectionPool(PoolLimits()), front_address(vm))
    response = await caller.ask(call_request("first", "3000"))
    assert response.status == 200
    return caller


def call_request(attempt: str, deadline_ms: str, kind: str = "once") -> Request:
    headers = (*HEADERS, ("Attempt-Id", attempt), ("Deadline-Ms", deadline_ms))
    return Request("POST", f"/{kind}/x", headers, b"x")


def stream_request(name: str, deadline_ms: str | None) -> Request:
    deadline = () if deadline_ms is None else (("Deadline-Ms", deadline_ms),)
    return Request("GET", f"/stream/{name}", (*HEADERS, ("Attempt-Id", name), *deadline))


async def play_stop(folder: Path, request: Request, after_s: float) -> tuple[Response | None, int]:
    """Send a request on a kept connection some time after SIGTERM.

    Returns:
        The whole response, or None if it was cut, and the number of runs at targets.
    """
    async with running_vm(folder) as (soak, vm):
        await wait_until_ready(soak, vm)
        caller = await connect_caller(vm)
        slow_down(soak)
        vm.send(signal.SIGTERM)
        await anyio.sleep(after_s)
        runs_before = run_count(soak)
        try:
            response = await caller.ask(request)
        except AttemptFailedError:
            response = None
        runs = run_count(soak) - runs_before
        assert await wait_for_end(vm) == 0
        return response, runs


def slow_down(soak: Soak) -> None:
    """Make calls take 2.5 s, and streams longer than the rest of the grace period."""
    for plain in soak.plains:
        plain.slow = 250.0
    for engine in soak.engines:
        engine.slow = 30.0


def run_count(soak: Soak) -> int:
    return sum(len(target.ran) for target in (*soak.plains, *soak.engines))


@pytest.mark.anyio
@pytest.mark.parametrize(
    "request_late",
    [
        stream_request("late", "12000"),
        stream_request("late", None),
        call_request("late", "5000"),
        call_request("late", "5000", "safe"),
    ],
    ids=["stream", "stream without a deadline", "unsafe call", "safe call"],
)
async def test_late_request_that_would_be_cut_is_refused_and_not_run(
    request_late: Request, tmp_path: Path
) -> None:
    assert events_of("late") * 0.02 * 30.0 > SOAK_GRACE_S
    response, runs = await play_stop(tmp_path, request_late, LATE_S)
    assert response is not None
    assert response.status == 503
    assert any(name.lower() == "retry-after" for name, _ in response.headers)
    assert runs == 0


@pytest.mark.anyio
async def test_late_request_that_ends_in_time_is_served(tmp_path: Path) -> None:
    async with running_vm(tmp_path) as (soak, vm):
        await wait_until_ready(soak, vm)
        caller = await connect_caller(vm)
        vm.send(signal.SIGTERM)
        await anyio.sleep(LATE_S)
        response = await caller.ask(call_request("short", "1000"))
        assert response.status == 200
        assert await wait_for_end(vm) == 0
