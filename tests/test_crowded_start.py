"""Steps are read again in time although all VMs read a large table of steps at once.

After a loss of power, each VM reads the steps table part by part, one part a step, and begins again
when a read is refused. All VMs share the store's rate, so that readers get 503 meanwhile.
"""

import pytest

from crowded_world import make_limited_world, store_ended_steps
from end_of_day import FINISH_S
from power_loss_world import play_power_loss

# As 12 VMs with the rate of 2,000 reads in a second that the operators' page allows.
READS_PER_S = 2000.0 / 12 * 4


@pytest.mark.parametrize("steps", [200, 600])
def test_steps_are_read_in_time_after_a_start_with_many_steps(steps: int) -> None:
    """Reads were refused for over 40 s, as VMs that were refused began the table anew."""
    played = play_power_loss(
        1,
        (),
        2.0,
        2.0,
        make_world=make_limited_world(READS_PER_S),
        on_power_lost=store_ended_steps(steps),
    )
    assert played.broken() == {}
    assert max(played.findings.delays_s) < FINISH_S
