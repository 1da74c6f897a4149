"""Garbage collection deletes no step that is not expired, whatever the clocks of VMs and store.

The store's clock and those of the VMs count from different moments, and a VM that has just started
may take a submission before it could read the time.
"""

import random

import pytest

from balsamcleat.tasks.store_clock import StoreClock
from cleaned_world import CleanedWorld, deleted_steps
from position_world import ALLOWED_FAULTS
from power_loss_world import PowerLossWorld, play_power_loss

# Seeds that lost steps on the code before.
SEEDS = (1, 6)


def play(seed: int) -> PowerLossWorld:
    """Play a seed and go on until expired steps would have been deleted."""
    made = CleanedWorld(random.Random(f"clean {seed}"))
    return play_power_loss(
        seed,
        ALLOWED_FAULTS,
        5.0,
        2.0,
        make_world=made.make_world,
        has_new_step=True,
        second_reading_after_s=14.0,
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_steps_taken_before_a_vm_knows_the_time_are_kept(seed: int) -> None:
    """They bore the VM's own time, by which they were expired, and were deleted."""
    played = play(seed)
    assert played.broken() == {}
    assert deleted_steps(played.accepted, played.world.store) == []


def test_checks_see_steps_that_are_deleted_too_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """The old fault, planted: before its first answer, the store's time is guessed."""

    def guessed_now_ms(self: StoreClock) -> int:
        passed_s = self.clock() - self.synchronized_at_s
        return (self.synchronized_ms or 0) + int(passed_s * 1000)

    monkeypatch.setattr(StoreClock, "now_ms", guessed_now_ms)
    played = play(SEEDS[0])
    assert deleted_steps(played.accepted, played.world.store)
    assert {"missing", "unreadable"} & played.broken().keys()
