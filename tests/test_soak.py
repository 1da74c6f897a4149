"""A short soak with the real processes: one seed, and those that ever failed."""

import signal
import subprocess
import sys
from functools import partial
from pathlib import Path

import anyio
import pytest

from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws, RowStoreView
from soak import play_seed
from soak_faults import SoakVm
from soak_read_again import COMES_AGAIN
from soak_stand import StoreDoor

SECONDS = 6.0
VMS = 4
PLANTED_SEED = 2
PLANTED_SECONDS = 1.0
PLANTED_VMS = 3
KEPT = Path(__file__).parent / "soak_seeds.txt"


def seeds() -> list[int]:
    """Return the seeds that stand first in the lines of the file."""
    lines = KEPT.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


def test_overlapping_restarts_of_a_vm_leave_no_process_behind(tmp_path: Path) -> None:
    """The process that was left kept the VM's addresses, and the next run could not use them."""
    store = MemoryRowStore()
    door = StoreDoor(RowStoreView(store, RowStoreFlaws()))
    vm = SoakVm("vm", "127.0.0.1", door, tmp_path / "settings.json", tmp_path / "log")
    first = vm.process = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(60)"])
    try:
        vm.start()
        assert vm.process is first
    finally:
        vm.end()
        first.kill()
        first.wait()


def started_vm(tmp_path: Path, program: str) -> SoakVm:
    """Return a VM whose process runs a program that ends when its signals tell it to."""
    door = StoreDoor(RowStoreView(MemoryRowStore(), RowStoreFlaws()))
    vm = SoakVm("vm", "127.0.0.1", door, tmp_path / "settings.json", tmp_path / "log")
    vm.log.touch()
    vm.process = subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE)
    return vm


def test_process_may_end_by_a_signal_before_its_program_runs(tmp_path: Path) -> None:
    """No program can hold a signal that comes while the interpreter is loaded."""
    vm = started_vm(tmp_path, "import time; time.sleep(60)")
    assert vm.process is not None
    vm.send(signal.SIGTERM)
    assert vm.may_have_ended(vm.process, vm.process.wait())


@pytest.mark.parametrize("has_written", [False, True])
def test_process_that_held_its_signals_ends_by_itself(tmp_path: Path, has_written: bool) -> None:
    """A signal that ends a program which held it, or which has run already, is a fault."""
    hold = "" if has_written else "signal.pthread_sigmask(signal.SIG_BLOCK, {15}); "
    release = "time.sleep(0.5); signal.pthread_sigmask(signal.SIG_UNBLOCK, {15}); time.sleep(60)"
    vm = started_vm(tmp_path, f"import signal, time; {hold}print(flush=True); {release}")
    assert vm.process is not None
    assert vm.process.stdout is not None
    vm.process.stdout.readline()
    if has_written:
        vm.log.write_text("start\n")
    vm.send(signal.SIGTERM)
    assert vm.process.wait() == -signal.SIGTERM
    assert not vm.may_have_ended(vm.process, -signal.SIGTERM)


@pytest.mark.parametrize("seed", seeds())
def test_every_promise_is_kept_through_faults_in_series(seed: int, tmp_path: Path) -> None:
    soak = anyio.run(play_seed, seed, SECONDS, VMS, tmp_path)
    assert soak.broken == []
    assert soak.served > 50
    assert soak.steps > 0
    assert soak.ended_at_loss > 0
    assert soak.open_at_loss > 0
    assert soak.read_again is not None
    assert any(expected.results for expected in soak.read_again.steps)


def test_results_that_are_gone_after_a_loss_of_power_are_named(tmp_path: Path) -> None:
    """The store loses the rows of one step while no VM runs; the readers must find it, and no more.

    A soak whose readers overlook it would pass on VMs that lose results.
    """
    play = partial(play_seed, drops_results=True)
    soak = anyio.run(play, PLANTED_SEED, PLANTED_SECONDS, PLANTED_VMS, tmp_path)
    assert len(soak.broken) == 1
    assert soak.broken[0].startswith(f"{COMES_AGAIN}: {soak.dropped_step} (")
    assert all(f"vm{number} 0 come again" in soak.broken[0] for number in range(PLANTED_VMS))
