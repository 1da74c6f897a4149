"""The soak's fault of the wall clock: a process sees the clock that another one sets."""

import subprocess
import sys
import time
from pathlib import Path

import soak_clock
from soak_clock import ClockOffset

PROGRAM = """
import runpy, sys, time
runpy.run_module = lambda *args, **options: print(time.time(), time.monotonic(), flush=True)
import soak_clock
sys.argv = ["soak_clock", sys.argv[1]]
soak_clock.main()
"""


def test_process_reads_a_wall_clock_of_its_own(tmp_path: Path) -> None:
    """A fault that does not reach the process would test nothing."""
    path = tmp_path / "vm.clock"
    ClockOffset(path).set(-1000.0)
    began_s, began_steady_s = time.time(), time.monotonic()
    run = subprocess.run(
        [sys.executable, "-c", PROGRAM, str(path)],
        cwd=Path(soak_clock.__file__).parent,
        capture_output=True,
        text=True,
        timeout=10.0,
        check=True,
    )
    wall_s, steady_s = map(float, run.stdout.split())
    assert -1000.0 <= wall_s - began_s < -980.0
    assert 0.0 <= steady_s - began_steady_s < 20.0
