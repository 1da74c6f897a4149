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


def admission(*, room: int, queue_limit: int = 100, **rates: float) -> Admission:
    made = Admission(random.Random(1))
    limits = ServiceLimits(queue_limit=queue_limit, requests_per_s=rates.pop("service_rate", 0.0))
    made.configure({SERVICE: limits}, {TeamName(k): v for k, v in rates.items()}, 1000, 0.0)
    made.queue(SERVICE).concurrency_limit = AimdLimit(room, room)
    return made


def ask(
    priority: Priority = Priority.LIVE, deadline_s: float = 100.0, team: str = TEAM
) -> AdmissionRequest:
    return AdmissionRequest(SERVICE, TeamName(team), priority, deadline_s)


def admit(made: Admission, now_s: float = 0.0, **options: object) -> Ticket:
    decision = made.decide(ask(**options), now_s)
    assert isinstance(decision, Admitted | Queued)
    return decision.ticket


def reason(decision: object) -> RejectionReason | None:
    return decision.reason if isinstance(decision, Rejection) else None


def test_live_calls_go_before_rollouts_and_do_not_starve_them() -> None:
    made = admission(room=1)
    running = admit(made)
    rollouts = [admit(made, priority=Priority.ROLLOUT, team="trainer") for _ in range(3)]
    lives = [admit(made) for _ in range(20)]
    order = []
    for _ in range(23):
        (decision,) = made.release(running, 1.0)
        running = decision.ticket
        order.append("rollout" if running in rollouts else "live")
    assert order[:9] == ["live"] * 9
    assert order[9] == "rollout"
    assert order[:20].count("rollout") == 2
    assert order.count("live") == len(lives)


def test_rollouts_of_a_busy_trainer_leave_turns_to_the_others() -> None:
    made = admission(room=1)
    running = admit(made)
    for _ in range(10):
        admit(made, priority=Priority.ROLLOUT, team="greedy")
    admit(made, priority=Priority.ROLLOUT, team="modest")
    teams = []
    for _ in range(3):
        (decision,) = made.release(running, 1.0)
        running = decision.ticket
        teams.append(running.request.team)
    assert "modest" in teams


def test_a_full_queue_refuses_at_once_as_not_run_and_says_when_to_come_back() -> None:
    made = admission(room=1, queue_limit=2)
    for _ in range(3):
        admit(made)
    decision = made.decide(ask(), 0.0)
    assert reason(decision) is RejectionReason.QUEUE_FULL
    assert decision.retry_after_s >= 1


def test_rollouts_that_wait_take_no_room_from_live_calls() -> None:
    made = admission(room=1, queue_limit=2)
    admit(made)
    for _ in range(2):
        admit(made, priority=Priority.ROLLOUT)
    assert reason(made.decide(ask(Priority.ROLLOUT), 0.0)) is RejectionReason.QUEUE_FULL
    assert isinstance(made.decide(ask(), 0.0), Queued)


def test_a_call_that_cannot_begin_before_its_deadline_is_refused_before_it_waits() -> None:
    made = admission(room=1)
    for number in range(20):
        made.release(admit(made, number * 1.0), number * 1.0 + 0.9)
    admit(made, 20.0)
    assert made.queue(SERVICE).expected_wait_s(Priority.LIVE) > 0.3
    assert reason(made.decide(ask(deadline_s=20.2), 20.0)) in {
        RejectionReason.TOO_LATE,
        RejectionReason.OVERLOADED,
    }


def test_a_ticket_past_its_deadline_is_refused_and_the_next_one_goes() -> None:
    made = admission(room=1)
    running = admit(made)
    late, timely = admit(made, deadline_s=1.0), admit(made, deadline_s=9.0)
    decisions = made.release(running, 2.0)
    assert [type(decision) for decision in decisions] == [Rejection, Admitted]
    assert [decision.ticket for decision in decisions] == [late, timely]


def test_a_ticket_given_up_holds_no_place() -> None:
    made = admission(room=1)
    running, gone, next_one = admit(made), admit(made), admit(made)
    made.cancel(gone)
    (decision,) = made.release(running, 1.0)
    assert decision.ticket is next_one
    assert made.release(next_one, 2.0) == []
    assert made.queue(SERVICE).in_flight == made.live_in_flight == 0


def test_a_team_over_its_quota_is_refused_and_others_are_not() -> None:
    made = admission(room=100, parish=2.0)
    assert [reason(made.decide(ask(), 0.0)) for _ in range(3)] == [
        None,
        None,
        RejectionReason.TEAM_QUOTA,
    ]
    assert isinstance(made.decide(ask(team="cathedral"), 0.0), Admitted)
    assert isinstance(made.decide(ask(), 0.6), Admitted)


def test_a_quota_patched_away_is_gone_and_one_patched_in_holds_at_once() -> None:
    made = admission(room=100, parish=1.0)
    admit(made)
    made.configure({SERVICE: ServiceLimits(requests_per_s=1.0)}, {}, 1000, 0.0)
    assert isinstance(made.decide(ask(), 0.0), Rejection | Admitted)
    assert reason(made.decide(ask(), 0.0)) is RejectionReason.SERVICE_QUOTA


def test_quotas_do_not_hold_back_rollouts_of_the_team() -> None:
    made = admission(room=100, parish=1.0)
    admit(made)
    assert isinstance(made.decide(ask(Priority.ROLLOUT), 0.0), Admitted)


class Book:
    """Keeps count beside the machine and follows its decisions."""

    def __init__(self, seed: int) -> None:
        self.made, self.draw = admission(room=5, queue_limit=10), random.Random(seed)
        self.running: list[Ticket] = []
        self.waiting: list[Ticket] = []
        self.now_s = 0.0

    def ask(self) -> None:
        deadline_s = self.now_s + self.draw.uniform(-1, 9)
        decision = self.made.decide(ask(self.draw.choice(list(Priority)), deadline_s), self.now_s)
        if isinstance(decision, Admitted):
            self.running.append(decision.ticket)
        elif isinstance(decision, Queued):
            self.waiting.append(decision.ticket)

    def release(self) -> None:
        if not self.running:
            return
        ended = self.running.pop(self.draw.randrange(len(self.running)))
        for decision in self.made.release(ended, self.now_s):
            self.waiting.remove(decision.ticket)
            if isinstance(decision, Admitted):
                self.running.append(decision.ticket)

    def give_up(self) -> None:
        if self.waiting:
            self.made.cancel(self.waiting.pop(self.draw.randrange(len(self.waiting))))

    def overload(self) -> None:
        self.made.record_overload(SERVICE, self.now_s)

    def check(self) -> None:
        queue = self.made.queue(SERVICE)
        assert queue.in_flight == len(self.running)
        assert queue.waiting_live_count + queue.waiting_rollout_count == len(self.waiting)
        live = sum(ticket.request.priority is Priority.LIVE for ticket in self.running)
        assert self.made.live_in_flight == live


@pytest.mark.parametrize("seed", range(20))
def test_no_ticket_is_lost_or_admitted_twice_whatever_happens(seed: int) -> None:
    book = Book(seed)
    for _ in range(400):
        book.now_s += book.draw.random()
        book.draw.choice([book.ask, book.ask, book.release, book.give_up, book.overload])()
        book.check()
    while book.running:
        book.release()
    assert not book.waiting


def test_entry_vms_that_share_targets_come_to_like_limits() -> None:
    early, late = AimdLimit(200, 1000), AimdLimit(10, 1000)
    due = {early: 0.0, late: 0.0}
    for tick in range(2000):
        for limit in (early, late):
            due[limit] += limit.limit / 10
            while due[limit] >= 1:
                due[limit] -= 1
                limit.record_success(0.1, int(limit.limit))
        if early.limit + late.limit > 150:
            early.record_overload(tick * 0.1)
            late.record_overload(tick * 0.1)
    assert 0.5 < late.limit / early.limit < 2.0
