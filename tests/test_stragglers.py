"""Lengths are learned, the longest go first, and shares of the engines are fair."""

import random

from balsamcleat.decisions.attribution import UNKNOWN_VERSION, VersionAttribution
from balsamcleat.decisions.fair_share import FairQueue
from balsamcleat.decisions.step_lease import STEP_LEASE_TERM_S, StepLeaseTracker
from balsamcleat.decisions.stragglers import (
    LengthEstimator,
    should_restart_sample,
    start_order,
    straggler_policy,
)
from balsamcleat.model import TokenFrame, VersionSpan, WeightVersion


def test_lengths_are_learned_and_the_longest_go_first() -> None:
    estimate = LengthEstimator()
    for prompt, tokens in ((1, 50), (2, 2000), (3, 300)):
        estimate.record_length(prompt, tokens)
    assert start_order((1, 2, 3, 9, 9), estimate, 4096) == (3, 1, 2, 4, 0)
    assert estimate.expected_tokens(2, 100) == 100
    assert estimate.remaining_tokens(1, 5000, 4096) <= 1


def test_the_weight_between_idle_time_and_staleness_moves_every_choice() -> None:
    fresh, mixed, idle = (straggler_policy(weight, 1) for weight in (0.0, 0.5, 1.0))
    assert fresh.spare_share < mixed.spare_share < idle.spare_share
    assert fresh.run_ahead_share < mixed.run_ahead_share < idle.run_ahead_share
    assert should_restart_sample(fresh, lag=1, done=10, expected=100.0)
    assert not should_restart_sample(idle, lag=1, done=10, expected=100.0)
    assert not should_restart_sample(fresh, lag=1, done=90, expected=100.0)


def test_deployments_share_the_engines_by_weight_and_idle_ones_save_up_no_claim() -> None:
    queue: FairQueue[str] = FairQueue()
    draw = random.Random(1)
    for number in range(300):
        queue.enqueue("a", 3.0, draw.uniform(1, 100), f"a{number}")
        queue.enqueue("b", 1.0, draw.uniform(1, 100), f"b{number}")
    first = [queue.pop() for _ in range(200)]
    share = sum(ticket is not None and ticket.startswith("a") for ticket in first) / len(first)
    assert 0.7 < share < 0.8
    for number in range(20):
        queue.enqueue("late", 1.0, 50.0, f"late{number}")
    mix = [queue.pop() for _ in range(40)]
    assert any(ticket is not None and not ticket.startswith("late") for ticket in mix[:10])


def test_a_cancelled_ticket_takes_no_turn() -> None:
    queue: FairQueue[int] = FairQueue()
    for ticket in range(3):
        queue.enqueue("a", 1.0, 1.0, ticket)
    queue.cancel(0)
    assert [queue.pop() for _ in range(3)] == [1, 2, None]


def test_tokens_are_attributed_to_what_ran_and_never_guessed() -> None:
    kept = VersionAttribution()
    for offset, version in ((0, 1), (4, 1), (8, 0), (12, 2)):
        kept.add_frame(TokenFrame(offset, 4, "", WeightVersion(version)))
    assert kept.known_token_count() == 8
    kept.apply_late_report(VersionSpan(6, 10, WeightVersion(2)))
    assert kept.spans == [
        VersionSpan(0, 8, WeightVersion(1)),
        VersionSpan(8, 10, WeightVersion(2)),
        VersionSpan(10, 12, UNKNOWN_VERSION),
        VersionSpan(12, 16, WeightVersion(2)),
    ]
    kept.mark_unknown_from(6)
    assert kept.known_token_count() == 6
    kept.truncate(6)
    assert kept.token_count == 6


def test_no_step_is_taken_over_for_a_silence_of_the_table() -> None:
    watch = StepLeaseTracker()
    assert not watch.observe("s", 1, "vm", 0.0)
    watch.reset()
    assert not watch.observe("s", 1, "vm", 100.0)
    assert watch.observe("s", 1, "vm", 100.0 + STEP_LEASE_TERM_S)
    assert not watch.observe("s", 2, "vm", 200.0)
    assert watch.observe("s", 2, "", 200.1)
