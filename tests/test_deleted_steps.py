"""Garbage collection deletes no step that is not expired, whatever the clocks of VMs and store.

The store's clock and those of the VMs count from different moments, and a VM that has just started
may take a submission before it could read the time.
"""

import random

import pytest

from balsamcleat.model import StepId
from balsamcleat.tasks.row_garbage_collector import RowGarbageCollector
from balsamcleat.tasks.step_deletion import StepDeletion, StepState
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
    """The old faults, planted: a guess of the time, by which open steps are deleted, too."""

    def guessed_now_ms(self: StoreClock) -> int:
        return int(self.clock() * 1000 + (self.offset.offset_ms or 0.0))

    def old_steps(self: RowGarbageCollector) -> list[StepId]:
        expired_before_ms = (self.store_now_ms() or 0) - self.results_retention_s * 1000
        return [
            step_id
            for step_id, known in self.steps().items()
            if known.owner.accepted_ms < expired_before_ms
        ]

    def find_no_obstacle(self: StepDeletion, state: StepState) -> str | None:
        return None if state.owner is not None else "no owner row"

    monkeypatch.setattr(StoreClock, "now_ms", guessed_now_ms)
    monkeypatch.setattr(RowGarbageCollector, "candidates", old_steps)
    monkeypatch.setattr(StepDeletion, "find_obstacle", find_no_obstacle)
    played = play(SEEDS[0])
    assert deleted_steps(played.accepted, played.world.store)
    assert {"missing", "unreadable"} & played.broken().keys()
