"""Admission control: order of admission, rejections, quotas and the counts of tickets."""

import random

import pytest

from balsamcleat.decisions.admission import (
    Admission,
    AdmissionRequest,
    Admitted,
    Queued,
    Rejection,
    RejectionReason,
    ServiceLimits,
    Ticket,
)
from balsamcleat.decisions.limits import AimdLimit
from balsamcleat.model import Priority, ServiceName, TeamName

SERVICE = ServiceName("kantor")
TEAM = TeamName("parish")


def new_admission(*, concurrency_limit: int, queue_limit: int = 100, **rates: float) -> Admission:
    admission = Admission(random.Random(1))
    limits = ServiceLimits(queue_limit=queue_limit, requests_per_s=rates.pop("service_rate", 0.0))
    admission.configure({SERVICE: limits}, {TeamName(k): v for k, v in rates.items()}, 1000, 0.0)
    admission.queue(SERVICE).concurrency_limit = AimdLimit(concurrency_limit, concurrency_limit)
    return admission


def admission_request(
    priority: Priority = Priority.LIVE, deadline_s: float = 100.0, team: str = TEAM
) -> AdmissionRequest:
    return AdmissionRequest(SERVICE, TeamName(team), priority, deadline_s)


def admit_or_queue(admission: Admission, now_s: float = 0.0, **options: object) -> Ticket:
    decision = admission.decide(admission_request(**options), now_s)
    assert isinstance(decision, Admitted | Queued)
    return decision.ticket


def rejection_reason(decision: object) -> RejectionReason | None:
    return decision.reason if isinstance(decision, Rejection) else None


def test_live_calls_precede_rollouts_without_starving_them() -> None:
    admission = new_admission(concurrency_limit=1)
    running = admit_or_queue(admission)
    rollouts = [
        admit_or_queue(admission, priority=Priority.ROLLOUT, team="trainer") for _ in range(3)
    ]
    live_calls = [admit_or_queue(admission) for _ in range(20)]
    order = []
    for _ in range(23):
        (decision,) = admission.release(running, 1.0)
        running = decision.ticket
        order.append("rollout" if running in rollouts else "live")
    assert order[:9] == ["live"] * 9
    assert order[9] == "rollout"
    assert order[:20].count("rollout") == 2
    assert order.count("live") == len(live_calls)


def test_queued_rollouts_are_admitted_in_round_robin_order_of_teams() -> None:
    admission = new_admission(concurrency_limit=1)
    running = admit_or_queue(admission)
    for _ in range(10):
        admit_or_queue(admission, priority=Priority.ROLLOUT, team="greedy")
    admit_or_queue(admission, priority=Priority.ROLLOUT, team="modest")
    teams = []
    for _ in range(3):
        (decision,) = admission.release(running, 1.0)
        running = decision.ticket
        teams.append(running.request.team)
    assert "modest" in teams


def test_full_queue_rejects_at_once_with_a_retry_delay() -> None:
    admission = new_admission(concurrency_limit=1, queue_limit=2)
    for _ in range(3):
        admit_or_queue(admission)
    decision = admission.decide(admission_request(), 0.0)
    assert rejection_reason(decision) is RejectionReason.QUEUE_FULL
    assert decision.retry_after_s >= 1


def test_queued_rollouts_do_not_use_up_the_queue_limit_of_live_calls() -> None:
    admission = new_admission(concurrency_limit=1, queue_limit=2)
    admit_or_queue(admission)
    for _ in range(2):
        admit_or_queue(admission, priority=Priority.ROLLOUT)
    assert (
        rejection_reason(admission.decide(admission_request(Priority.ROLLOUT), 0.0))
        is RejectionReason.QUEUE_FULL
    )
    assert isinstance(admission.decide(admission_request(), 0.0), Queued)


def test_call_that_cannot_start_before_its_deadline_is_not_queued() -> None:
    admission = new_admission(concurrency_limit=1)
    for number in range(20):
        admission.release(admit_or_queue(admission, number * 1.0), number * 1.0 + 0.9)
    admit_or_queue(admission, 20.0)
    assert admission.queue(SERVICE).expected_wait_s(Priority.LIVE) > 0.3
    assert rejection_reason(admission.decide(admission_request(deadline_s=20.2), 20.0)) in {
        RejectionReason.TOO_LATE,
        RejectionReason.OVERLOADED,
    }


def test_expired_ticket_is_rejected_and_the_next_one_admitted() -> None:
    admission = new_admission(concurrency_limit=1)
    running = admit_or_queue(admission)
    late, timely = (
        admit_or_queue(admission, deadline_s=1.0),
        admit_or_queue(admission, deadline_s=9.0),
    )
    decisions = admission.release(running, 2.0)
    assert [type(decision) for decision in decisions] == [Rejection, Admitted]
    assert [decision.ticket for decision in decisions] == [late, timely]


def test_cancelled_ticket_is_never_admitted() -> None:
    admission = new_admission(concurrency_limit=1)
    running, cancelled, next_ticket = (
        admit_or_queue(admission),
        admit_or_queue(admission),
        admit_or_queue(admission),
    )
    admission.cancel(cancelled)
    (decision,) = admission.release(running, 1.0)
    assert decision.ticket is next_ticket
    assert admission.release(next_ticket, 2.0) == []
    assert admission.queue(SERVICE).in_flight == admission.live_in_flight == 0


def test_only_the_team_over_its_quota_is_rejected() -> None:
    admission = new_admission(concurrency_limit=100, parish=2.0)
    assert [rejection_reason(admission.decide(admission_request(), 0.0)) for _ in range(3)] == [
        None,
        None,
        RejectionReason.TEAM_QUOTA,
    ]
    assert isinstance(admission.decide(admission_request(team="cathedral"), 0.0), Admitted)
    assert isinstance(admission.decide(admission_request(), 0.6), Admitted)


def test_removed_and_added_quotas_take_effect_at_once() -> None:
    admission = new_admission(concurrency_limit=100, parish=1.0)
    admit_or_queue(admission)
    admission.configure({SERVICE: ServiceLimits(requests_per_s=1.0)}, {}, 1000, 0.0)
    assert isinstance(admission.decide(admission_request(), 0.0), Rejection | Admitted)
    assert (
        rejection_reason(admission.decide(admission_request(), 0.0))
        is RejectionReason.SERVICE_QUOTA
    )


def test_team_quota_does_not_limit_rollouts() -> None:
    admission = new_admission(concurrency_limit=100, parish=1.0)
    admit_or_queue(admission)
    assert isinstance(admission.decide(admission_request(Priority.ROLLOUT), 0.0), Admitted)


class RandomClient:
    """A random client of admission control that keeps its own list of every ticket."""

    def __init__(self, seed: int) -> None:
        self.admission, self.rng = (
            new_admission(concurrency_limit=5, queue_limit=10),
            random.Random(seed),
        )
        self.running: list[Ticket] = []
        self.waiting: list[Ticket] = []
        self.now_s = 0.0

    def submit(self) -> None:
        deadline_s = self.now_s + self.rng.uniform(-1, 9)
        decision = self.admission.decide(
            admission_request(self.rng.choice(list(Priority)), deadline_s), self.now_s
        )
        if isinstance(decision, Admitted):
            self.running.append(decision.ticket)
        elif isinstance(decision, Queued):
            self.waiting.append(decision.ticket)

    def release(self) -> None:
        if not self.running:
            return
        ended = self.running.pop(self.rng.randrange(len(self.running)))
        for decision in self.admission.release(ended, self.now_s):
            self.waiting.remove(decision.ticket)
            if isinstance(decision, Admitted):
                self.running.append(decision.ticket)

    def cancel(self) -> None:
        if self.waiting:
            self.admission.cancel(self.waiting.pop(self.rng.randrange(len(self.waiting))))

    def record_overload(self) -> None:
        self.admission.record_overload(SERVICE, self.now_s)

    def check(self) -> None:
        queue = self.admission.queue(SERVICE)
        assert queue.in_flight == len(self.running)
        assert queue.waiting_live_count + queue.waiting_rollout_count == len(self.waiting)
        live = sum(ticket.request.priority is Priority.LIVE for ticket in self.running)
        assert self.admission.live_in_flight == live


@pytest.mark.parametrize("seed", range(20))
def test_random_operations_lose_no_ticket_and_admit_none_twice(seed: int) -> None:
    client = RandomClient(seed)
    for _ in range(400):
        client.now_s += client.rng.random()
        client.rng.choice(
            [client.submit, client.submit, client.release, client.cancel, client.record_overload]
        )()
        client.check()
    while client.running:
        client.release()
    assert not client.waiting


def test_aimd_limits_of_vms_that_share_targets_converge() -> None:
    high, low = AimdLimit(200, 1000), AimdLimit(10, 1000)
    pending = {high: 0.0, low: 0.0}
    for tick in range(2000):
        for limit in (high, low):
            pending[limit] += limit.limit / 10
            while pending[limit] >= 1:
                pending[limit] -= 1
                limit.record_success(0.1, int(limit.limit))
        if high.limit + low.limit > 150:
            high.record_overload(tick * 0.1)
            low.record_overload(tick * 0.1)
    assert 0.5 < low.limit / high.limit < 2.0
