"""A short soak with the real processes: one seed, and those that ever failed."""

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
