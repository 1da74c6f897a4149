"""What was accepted and read comes again after all VMs lost power at once.

On machines of the operators, results that were read did not come again at the end of a run, after
the store had been lost and all VMs had lost power.
"""

from collections.abc import Callable

import pytest

import planted_faults as planted
from position_world import ALLOWED_FAULTS
from power_loss_world import READERS_PER_VM, PowerLossWorld, play_power_loss

# On the code before, the seeds lost a whole step: a VM runs a step twice with one owner row.
SEEDS_OF_DOUBLE_RUNS = (35, 100)
STEPS = 6
VMS = 4
SHORT_PLAY_S = 2.0


@pytest.mark.parametrize("seed", [1, *SEEDS_OF_DOUBLE_RUNS])
def test_steps_are_read_again_through_all_vms_after_all_lost_power(seed: int) -> None:
    """An owner listed results in memory that the store did not have, which died with the VM."""
    played = play_power_loss(seed, ALLOWED_FAULTS)
    assert played.broken() == {}
    assert len(played.accepted) == STEPS
    assert len(played.findings.delays_s) == STEPS * VMS * READERS_PER_VM
    assert sum(len(results) for results in played.expected.values()) > 50


def test_checks_see_results_that_only_an_owners_memory_had(monkeypatch: pytest.MonkeyPatch) -> None:
    """The old fault, planted: a VM runs a step twice with one owner row."""
    planted.run_steps_twice(monkeypatch)
    broken = play_power_loss(1, (), make_world=planted.make_slow_world).broken()
    assert broken["missing"]
    assert broken["different"]


@pytest.mark.parametrize(
    ("plant", "check"),
    [
        (planted.lose_result, "missing"),
        (planted.swap_results, "different"),
        (planted.cut_text, "different"),
        (planted.list_result_twice, "doubled"),
        (planted.lose_body, "bodies"),
        (planted.change_body, "bodies"),
        (planted.lose_owner_row, "unreadable"),
        (planted.miscount_samples, "unreadable"),
        (planted.list_unreadable_result, "unreadable"),
    ],
)
def test_checks_see_rows_that_were_lost_or_changed(
    plant: Callable[[PowerLossWorld], None], check: str
) -> None:
    """A check that sees nothing would let a loss pass."""
    assert play_power_loss(1, (), SHORT_PLAY_S, on_power_lost=plant).broken()[check]


def test_checks_see_steps_that_no_vm_goes_on_with(monkeypatch: pytest.MonkeyPatch) -> None:
    """A step that was not ended must be listed in full after the loss of power."""
    planted.take_over_nothing(monkeypatch)
    assert list(play_power_loss(1, (), SHORT_PLAY_S).broken()) == ["stalled"]
