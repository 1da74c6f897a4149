"""Signals at every phase of an entry VM's process, with real processes.

In review case 5, SIGHUP during a planned stop ended the process, and requests that had been passed
on got no answer: the receiver of signals was closed as soon as SIGTERM had come, which restores the
default actions. The same held before the receiver was open, and a second SIGTERM did the same.
"""

import itertools
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import anyio.to_thread
import pytest

from balsamcleat.http1 import Request, Response
from soak import HEADERS, Soak
from soak_faults import SoakVm

pytestmark = pytest.mark.anyio

SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
# A plain target needs 10 ms for a request, times this.
SLOW_FACTOR = 250.0
STOP_TIMEOUT_S = 10.0
START_TIMEOUT_S = 20.0
STORM_INTERVAL_S = 0.005
# Each seed has addresses of its own.
SEEDS = itertools.count(60)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def running_vm(folder: Path) -> AsyncIterator[tuple[Soak, SoakVm]]:
    """Start targets, a store and the process of one VM, which is not ready yet."""
    async with anyio.create_task_group() as tasks:
        soak = Soak(next(SEEDS), 0.0, folder, tasks)
        soak.build(1)
        (vm,) = soak.vms
        vm.start()
        try:
            yield soak, vm
        finally:
            vm.end()
            tasks.cancel_scope.cancel()


async def call(soak: Soak, attempt: str) -> Response | None:
    headers = (*HEADERS, ("Attempt-Id", attempt), ("Deadline-Ms", "5000"))
    return await soak.ask(Request("POST", "/once/x", headers, b"x"), 6.0)


async def wait_until_ready(soak: Soak, vm: SoakVm) -> None:
    with anyio.fail_after(START_TIMEOUT_S):
        while (response := await call(soak, "early")) is None or response.status != 200:
            assert vm.process is not None
            assert vm.process.poll() is None, vm.log.read_text()
            await anyio.sleep(0.05)


async def wait_for_end(vm: SoakVm) -> int:
    """Return the exit code of the process."""
    assert vm.process is not None
    with anyio.fail_after(STOP_TIMEOUT_S):
        return await anyio.to_thread.run_sync(vm.process.wait, abandon_on_cancel=True)


@pytest.mark.parametrize("second", SIGNALS)
@pytest.mark.parametrize("after_s", [0.05, 0.8])
async def test_signal_during_a_planned_stop_cuts_no_request(
    second: signal.Signals, after_s: float, tmp_path: Path
) -> None:
    async with running_vm(tmp_path) as (soak, vm):
        await wait_until_ready(soak, vm)
        for plain in soak.plains:
            plain.slow = SLOW_FACTOR
        answers: list[Response | None] = []

        async def call_slowly(number: int) -> None:
            answers.append(await call(soak, f"slow-{number}"))

        async with anyio.create_task_group() as callers:
            for number in range(3):
                callers.start_soon(call_slowly, number)
            await anyio.sleep(0.3)
            vm.send(signal.SIGTERM)
            await anyio.sleep(after_s)
            vm.settings.write_text(vm.settings.read_text() + " ")
            vm.send(second)
        assert [answer.status for answer in answers if answer is not None] == [200] * 3
        assert await wait_for_end(vm) == 0


async def test_signals_until_the_process_is_gone_do_not_end_it_early(tmp_path: Path) -> None:
    """The last moments count, too: the default actions return when the event loop is closed."""
    async with running_vm(tmp_path) as (soak, vm):
        await wait_until_ready(soak, vm)
        vm.send(signal.SIGTERM)
        assert vm.process is not None
        with anyio.fail_after(STOP_TIMEOUT_S):
            while vm.process.poll() is None:
                vm.send(signal.SIGHUP)
                await anyio.sleep(STORM_INTERVAL_S)
        assert vm.process.returncode == 0


def blocks_hangup(process: subprocess.Popen) -> bool:
    """Return whether a process has begun to run code of ours, which blocks SIGHUP first."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    (mask,) = [line.split()[1] for line in status.splitlines() if line.startswith("SigBlk:")]
    return bool(int(mask, 16) & (1 << (signal.SIGHUP - 1)))


async def wait_until_held(process: subprocess.Popen) -> None:
    """Wait until a process blocks signals, or has certainly started."""
    for _ in range(200):
        if blocks_hangup(process):
            return
        await anyio.sleep(0.002)


async def test_hangups_while_the_process_starts_do_not_end_it(tmp_path: Path) -> None:
    """For 0.3 s after the start, SIGHUP ended the process."""
    async with running_vm(tmp_path) as (soak, vm):
        assert vm.process is not None
        await wait_until_held(vm.process)
        while not is_serving(vm):
            vm.send(signal.SIGHUP)
            await anyio.sleep(STORM_INTERVAL_S)
            assert vm.process.poll() is None
        await wait_until_ready(soak, vm)


async def test_stop_that_is_asked_for_while_the_process_starts_ends_it_well(tmp_path: Path) -> None:
    async with running_vm(tmp_path) as (_, vm):
        assert vm.process is not None
        await wait_until_held(vm.process)
        vm.send(signal.SIGTERM)
        assert await wait_for_end(vm) == 0


def is_serving(vm: SoakVm) -> bool:
    return vm.log.exists() and '"event":"start"' in vm.log.read_text()


@pytest.mark.parametrize("content", [b"", b"{", b'{"x":' + b"[" * 30_000, b"\xff"])
async def test_hangup_with_an_unreadable_settings_file_changes_nothing(
    content: bytes, tmp_path: Path
) -> None:
    async with running_vm(tmp_path) as (soak, vm):
        await wait_until_ready(soak, vm)
        vm.settings.write_bytes(content)
        vm.send(signal.SIGHUP)
        await anyio.sleep(1.5)
        response = await call(soak, "later")
        assert response is not None
        assert response.status == 200


def test_signals_are_held_before_the_imports_that_take_long() -> None:
    """The modules of the process take 0.4 s to import."""
    code = "import sys, balsamcleat.entry, balsamcleat.signal_mask; print(len(sys.modules))"
    light = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    bare = subprocess.run(
        [sys.executable, "-c", "import sys, signal, os, pathlib; print(len(sys.modules))"],
        capture_output=True,
        check=True,
    )
    assert int(light.stdout) - int(bare.stdout) < 10
