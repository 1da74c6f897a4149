"""Retries: one classification, one allowance, no storm in an outage."""

import random

import pytest

from balsamcleat.decisions.retry import GiveUp, Retry, RetryBudget, RetryPolicy
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind


def failure(kind: FailureKind, *, sent: bool) -> AttemptFailedError:
    return AttemptFailedError("x", step="s", peer="p", perhaps_sent=sent, kind=kind)


def policy(capacity: float = 100.0) -> RetryPolicy:
    return RetryPolicy(RetryBudget(capacity, capacity), random.Random(7))


@pytest.mark.parametrize("kind", list(FailureKind))
def test_nothing_that_perhaps_ran_is_repeated_against_its_will(kind: FailureKind) -> None:
    found = policy().decide(failure(kind, sent=True), 1, idempotent=False, remaining_s=9.0)
    assert isinstance(found, GiveUp)


@pytest.mark.parametrize("kind", [FailureKind.UNREACHED, FailureKind.REFUSED])
def test_what_did_not_run_is_repeated_even_if_it_may_run_once_only(kind: FailureKind) -> None:
    found = policy().decide(failure(kind, sent=False), 1, idempotent=False, remaining_s=9.0)
    assert isinstance(found, Retry)


def test_a_retry_that_would_miss_the_deadline_is_not_made_and_costs_nothing() -> None:
    retries = policy()
    found = retries.decide(failure(FailureKind.CUT, sent=True), 1, idempotent=True, remaining_s=0.0)
    assert isinstance(found, GiveUp)
    assert retries.budget.tokens == retries.budget.capacity


def test_a_crash_under_ninety_streams_leaves_every_one_to_resume() -> None:
    retries = policy()
    found = [
        retries.decide(
            failure(FailureKind.CUT, sent=True),
            1,
            idempotent=True,
            remaining_s=9.0,
            has_progress=True,
        )
        for _ in range(90)
    ]
    assert all(isinstance(item, Retry) for item in found)


def amplification(capacity: float, share_failing: float, requests: int = 670) -> float:
    """Return attempts per request when each attempt fails with the given probability."""
    retries, draws, attempts = policy(capacity), random.Random(11), 0
    for _ in range(requests):
        attempt = 0
        while True:
            attempt += 1
            attempts += 1
            if draws.random() >= share_failing:
                retries.budget.record_success()
                break
            found = retries.decide(
                failure(FailureKind.UNREACHED, sent=False),
                attempt,
                idempotent=True,
                remaining_s=9.0,
            )
            if isinstance(found, GiveUp):
                break
    return attempts / requests


@pytest.mark.bounds
@pytest.mark.parametrize("share_failing", [1.0, 0.1])
def test_retries_add_at_most_a_fifth_of_the_load_in_an_outage_and_a_brown_out(
    share_failing: float,
) -> None:
    unbounded = amplification(float("inf"), share_failing)
    bounded = amplification(100.0, share_failing)
    assert bounded <= 1.2, (unbounded, bounded)
    assert bounded <= unbounded
