"""Length estimates, straggler policy, fair sharing, version attribution and step leases."""

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


def test_longest_samples_start_first_by_learned_lengths() -> None:
    estimate = LengthEstimator()
    for prompt, tokens in ((1, 50), (2, 2000), (3, 300)):
        estimate.record_length(prompt, tokens)
    assert start_order((1, 2, 3, 9, 9), estimate, 4096) == (3, 1, 2, 4, 0)
    assert estimate.expected_tokens(2, 100) == 100
    assert estimate.remaining_tokens(1, 5000, 4096) <= 1


def test_idle_weight_affects_every_part_of_the_straggler_policy() -> None:
    fresh, mixed, idle = (straggler_policy(weight, 1) for weight in (0.0, 0.5, 1.0))
    assert fresh.spare_share < mixed.spare_share < idle.spare_share
    assert fresh.run_ahead_share < mixed.run_ahead_share < idle.run_ahead_share
    assert should_restart_sample(fresh, lag=1, done=10, expected=100.0)
    assert not should_restart_sample(idle, lag=1, done=10, expected=100.0)
    assert not should_restart_sample(fresh, lag=1, done=90, expected=100.0)


def test_fair_share_is_proportional_to_weight_and_idle_deployments_accrue_no_credit() -> None:
    queue: FairQueue[str] = FairQueue()
    rng = random.Random(1)
    for number in range(300):
        queue.enqueue("a", 3.0, rng.uniform(1, 100), f"a{number}")
        queue.enqueue("b", 1.0, rng.uniform(1, 100), f"b{number}")
    first = [queue.pop() for _ in range(200)]
    share = sum(ticket is not None and ticket.startswith("a") for ticket in first) / len(first)
    assert 0.7 < share < 0.8
    for number in range(20):
        queue.enqueue("late", 1.0, 50.0, f"late{number}")
    later = [queue.pop() for _ in range(40)]
    assert any(ticket is not None and not ticket.startswith("late") for ticket in later[:10])


def test_cancelled_ticket_is_skipped() -> None:
    queue: FairQueue[int] = FairQueue()
    for ticket in range(3):
        queue.enqueue("a", 1.0, 1.0, ticket)
    queue.cancel(0)
    assert [queue.pop() for _ in range(3)] == [1, 2, None]


def test_tokens_without_a_reported_version_stay_unattributed() -> None:
    attribution = VersionAttribution()
    for offset, version in ((0, 1), (4, 1), (8, 0), (12, 2)):
        attribution.add_frame(TokenFrame(offset, 4, "", WeightVersion(version)))
    assert attribution.known_token_count() == 8
    attribution.apply_late_report(VersionSpan(6, 10, WeightVersion(2)))
    assert attribution.spans == [
        VersionSpan(0, 8, WeightVersion(1)),
        VersionSpan(8, 10, WeightVersion(2)),
        VersionSpan(10, 12, UNKNOWN_VERSION),
        VersionSpan(12, 16, WeightVersion(2)),
    ]
    attribution.mark_unknown_from(6)
    assert attribution.known_token_count() == 6
    attribution.truncate(6)
    assert attribution.token_count == 6


def test_failed_table_reads_do_not_expire_a_step_lease() -> None:
    watch = StepLeaseTracker()
    assert not watch.observe("s", 1, "vm", 0.0)
    watch.reset()
    assert not watch.observe("s", 1, "vm", 100.0)
    assert watch.observe("s", 1, "vm", 100.0 + STEP_LEASE_TERM_S)
    assert not watch.observe("s", 2, "vm", 200.0)
    assert watch.observe("s", 2, "", 200.1)
