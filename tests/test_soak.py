"""A short soak with the real processes: one seed, and those that ever failed."""

from pathlib import Path

import anyio
import pytest

from soak import play_seed

SECONDS = 6.0
VMS = 4
KEPT = Path(__file__).parent / "soak_seeds.txt"


def seeds() -> list[int]:
    """Return the seeds that stand first in the lines of the file."""
    lines = KEPT.read_text().splitlines()
    return [int(line.split()[0]) for line in lines if line and not line.startswith("#")]


@pytest.mark.parametrize("seed", seeds())
def test_every_promise_is_kept_through_faults_in_series(seed: int, tmp_path: Path) -> None:
    soak = anyio.run(play_seed, seed, SECONDS, VMS, tmp_path)
    assert soak.broken == []
    assert soak.served > 50
    assert soak.steps > 0
