"""The retry policy: what is retried, within the deadline and the retry budget."""

import random

import pytest

from balsamcleat.decisions.retry import GiveUp, Retry, RetryBudget, RetryPolicy
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import FailureKind


def failure(kind: FailureKind, *, sent: bool) -> AttemptFailedError:
    return AttemptFailedError("x", step="s", peer="p", perhaps_sent=sent, kind=kind)


def new_policy(capacity: float = 100.0) -> RetryPolicy:
    return RetryPolicy(RetryBudget(capacity, capacity), random.Random(7))


@pytest.mark.parametrize("kind", list(FailureKind))
def test_non_idempotent_request_that_may_have_run_is_not_retried(kind: FailureKind) -> None:
    decision = new_policy().decide(failure(kind, sent=True), 1, idempotent=False, remaining_s=9.0)
    assert isinstance(decision, GiveUp)


@pytest.mark.parametrize("kind", [FailureKind.UNREACHED, FailureKind.REFUSED])
def test_request_that_did_not_run_is_retried_even_if_not_idempotent(kind: FailureKind) -> None:
    decision = new_policy().decide(failure(kind, sent=False), 1, idempotent=False, remaining_s=9.0)
    assert isinstance(decision, Retry)


def test_retry_past_the_deadline_is_not_made_and_spends_no_budget() -> None:
    retry_policy = new_policy()
    decision = retry_policy.decide(
        failure(FailureKind.CUT, sent=True), 1, idempotent=True, remaining_s=0.0
    )
    assert isinstance(decision, GiveUp)
    assert retry_policy.budget.tokens == retry_policy.budget.capacity


def test_budget_allows_ninety_streams_of_a_crashed_target_to_resume() -> None:
    retry_policy = new_policy()
    decisions = [
        retry_policy.decide(
            failure(FailureKind.CUT, sent=True),
            1,
            idempotent=True,
            remaining_s=9.0,
            has_progress=True,
        )
        for _ in range(90)
    ]
    assert all(isinstance(decision, Retry) for decision in decisions)


def amplification(capacity: float, failure_probability: float, requests: int = 670) -> float:
    """Return the attempts per request if each attempt fails with the given probability."""
    retry_policy, rng, attempts = new_policy(capacity), random.Random(11), 0
    for _ in range(requests):
        attempt = 0
        while True:
            attempt += 1
            attempts += 1
            if rng.random() >= failure_probability:
                retry_policy.budget.record_success()
                break
            decision = retry_policy.decide(
                failure(FailureKind.UNREACHED, sent=False),
                attempt,
                idempotent=True,
                remaining_s=9.0,
            )
            if isinstance(decision, GiveUp):
                break
    return attempts / requests


@pytest.mark.bounds
@pytest.mark.parametrize("failure_probability", [1.0, 0.1])
def test_budget_bounds_retries_to_a_fifth_of_the_load_during_failures(
    failure_probability: float,
) -> None:
    unbounded = amplification(float("inf"), failure_probability)
    bounded = amplification(100.0, failure_probability)
    assert bounded <= 1.2, (unbounded, bounded)
    assert bounded <= unbounded
