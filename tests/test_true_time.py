"""True time stays right while wall clocks of some VMs jump and return, or start wrong."""

import pytest

from balsamcleat.decisions.true_time import (
    OFFSET_LIFETIME_S,
    ClockVote,
    StoreOffset,
    TrueTime,
    WallClockWatch,
)

TRUE_S = 1_700_000_000.0


def difference(votes: list[ClockVote]) -> int | None:
    true_time = TrueTime()
    true_time.apply_votes(votes)
    return true_time.difference_ms


def read_for(watch: WallClockWatch, from_s: int, to_s: int, error_s: float) -> list[float]:
    """Read a clock that is wrong by ``error_s`` every half second; return the jumps found."""
    jumps = []
    for tick in range(2 * from_s, 2 * to_s):
        jump_s = watch.record(TRUE_S + tick / 2 + error_s, tick / 2)
        if jump_s is not None:
            jumps.append(jump_s)
    return jumps


def test_jumped_clocks_of_a_minority_change_nothing() -> None:
    """Guards against an average, or the own clock, that moves requests to other windows."""
    steady = [ClockVote(5, 300.0), ClockVote(-3, 300.0), ClockVote(1, 300.0)]
    assert difference(steady) == 1
    assert difference([*steady, ClockVote(4000, 300.0), ClockVote(-9000, 300.0)]) == 1


def test_majority_that_has_just_started_does_not_outvote_the_others() -> None:
    """Guards against a plain median after most VMs started with a wrong clock."""
    started = [ClockVote(5000, 1.0)] * 5
    assert difference([ClockVote(0, 300.0), ClockVote(2, 300.0), *started]) == 2


def test_without_votes_the_last_difference_stays() -> None:
    true_time = TrueTime()
    true_time.apply_votes([])
    assert true_time.true_ms(0.0) is None
    true_time.apply_votes([ClockVote(100, 1.0)])
    true_time.apply_votes([])
    assert true_time.true_ms(50.0) == 150.0


def test_malformed_holding_time_counts_as_none() -> None:
    assert difference([ClockVote(0, 5.0), ClockVote(7, -1e9)]) == 0


@pytest.mark.parametrize("error_s", [3.0, -3.0])
def test_vm_goes_on_voting_for_the_time_before_a_jump(error_s: float) -> None:
    """Guards against a vote that follows a jump and returns with it."""
    watch = WallClockWatch()
    assert not read_for(watch, 0, 60, 0.0)
    assert read_for(watch, 60, 80, error_s) == [error_s]
    vote = watch.vote(0.0)
    assert vote == ClockVote(round(TRUE_S * 1000), 59.5)
    assert read_for(watch, 80, 90, 0.0) == [-error_s]
    assert watch.vote(0.0) == ClockVote(round(TRUE_S * 1000), 69.0)


def test_clock_that_was_wrong_at_the_start_wins_no_longer_once_it_was_right_for_longer() -> None:
    watch = WallClockWatch()
    read_for(watch, 0, 10, 4.0)
    read_for(watch, 10, 25, 0.0)
    vote = watch.vote(0.0)
    assert vote is not None
    assert vote.difference_ms == round(TRUE_S * 1000)


def test_slow_drift_is_no_jump_and_is_followed() -> None:
    watch = WallClockWatch()
    for second in range(1000):
        assert watch.record(TRUE_S + second * 1.0005, float(second)) is None
    vote = watch.vote(0.0)
    assert vote is not None
    assert vote.difference_ms == pytest.approx(TRUE_S * 1000 + 500, abs=1)


def test_new_process_goes_on_with_the_vote_of_the_one_before() -> None:
    """Guards against a restart while the clock is off, which would drop what was known."""
    watch = WallClockWatch()
    watch.seed(TRUE_S, 200.0)
    read_for(watch, 0, 20, 5.0)
    vote = watch.vote(0.0)
    assert vote is not None
    assert vote.difference_ms == round(TRUE_S * 1000)


def test_many_jumps_keep_the_longest_level() -> None:
    watch = WallClockWatch()
    read_for(watch, 0, 10, 0.0)
    for number in range(30):
        read_for(watch, 10 + number, 11 + number, 2.0 + number)
    vote = watch.vote(0.0)
    assert vote is not None
    assert vote.difference_ms == round(TRUE_S * 1000)


def test_slow_answers_of_the_store_do_not_set_its_clock_back() -> None:
    """Guards against windows that shift by the delay of a slow store."""
    offset = StoreOffset()
    offset.record(10_000.0, 1.0)
    offset.record(9_500.0, 2.0)
    assert offset.offset_ms == 9_000.0
    offset.record(9_400.0 + OFFSET_LIFETIME_S * 1000, 2.0 + OFFSET_LIFETIME_S)
    assert offset.offset_ms == 7_500.0
