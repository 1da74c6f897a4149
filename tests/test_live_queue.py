"""Live calls under more load than the targets take: who waits, who is rejected, who returns when.

Each replay plays the same load through the queue and through the baseline, which sends every call
on at once and lets the targets turn it away.
"""

import random
from collections.abc import Callable

import anyio
import pytest

import burst_world as b
import step_world as w
from balsamcleat.decisions.live_queue import Admitted, LiveQueue, Rejected, SlotEstimate, new_ticket

OBJECTIVE_S = 0.2
# An early refusal is one within a quarter of the objective.
EARLY_S = b.OBJECTIVE_S / 4
BURST_ENDS_S = 2.0


def burst(passed_s: float) -> float:
    """Three times the capacity for a second, half of it before and after."""
    return 3.0 if 1.0 < passed_s < BURST_ENDS_S else 0.5


def play(
    load: Callable[[float], float], queues: type, slow: float = 1.0, **options
) -> b.BurstWorld:
    async def test() -> b.BurstWorld:
        world = b.BurstWorld(queues=queues, **options)
        world.plain[0].slowness = slow
        await world.play(lambda passed_s: world.capacity_per_s * load(passed_s), 4.0)
        return world

    return w.run_in_virtual_time(test)


@pytest.mark.parametrize("vms", [4, 12])
@pytest.mark.parametrize("seed", [1, 2])
def test_a_burst_is_served_by_rank_and_its_refusals_come_early(vms: int, seed: int) -> None:
    queued = play(burst, b.LiveQueues, vms=vms, seed=seed)
    straight = play(burst, b.NoQueues, vms=vms, seed=seed)
    assert queued.served(0) > max(straight.served(0), queued.served(1))
    assert queued.served() >= straight.served() - 0.02
    assert queued.turned_away() < straight.turned_away() / 10
    refused = sorted(o.first_refusal_s for o in queued.outcomes if o.came_back)
    assert refused[int(0.95 * len(refused))] <= EARLY_S


@pytest.mark.parametrize("seed", [1, 2])
def test_no_wave_of_refusals_follows_a_burst(seed: int) -> None:
    queued = play(burst, b.LiveQueues, seed=seed)
    later = [o for o in queued.outcomes if o.began_s > BURST_ENDS_S + 1.0]
    assert len(later) > 100
    assert sum(o.came_back for o in later) <= 0.01 * len(later)
    assert all(o.served for o in later)


def test_lasting_overload_fills_all_places_and_starves_nobody() -> None:
    queued = play(lambda _: 2.0, b.LiveQueues)
    straight = play(lambda _: 2.0, b.NoQueues)
    ran = sum(target.ran for target in queued.plain)
    assert ran >= sum(target.ran for target in straight.plain)
    assert queued.served(0) > straight.served(0)
    assert queued.served(1) >= queued.served() / 4


def test_nobody_is_refused_while_there_are_places() -> None:
    queued = play(lambda _: 0.6, b.LiveQueues)
    assert all(outcome.served for outcome in queued.outcomes)
    assert sum(outcome.came_back for outcome in queued.outcomes) <= 0.005 * len(queued.outcomes)


def test_a_slow_target_does_not_make_the_others_refuse() -> None:
    queued = play(lambda _: 0.5, b.LiveQueues, slow=8.0)
    straight = play(lambda _: 0.5, b.NoQueues, slow=8.0)
    assert queued.served() >= straight.served() - 0.005
    assert queued.in_time() >= straight.in_time() - 0.02


def queue_of(service_s: float = 0.05) -> LiveQueue:
    return LiveQueue(random.Random(1), service_time_s=service_s, last_free_at_s=0.0)


def test_calls_go_on_by_rank_then_by_deadline() -> None:
    queue = queue_of()
    new, back = (new_ticket(1, deadline_s, 0.0, 1.0) for deadline_s in (2.0, 1.2))
    urgent = new_ticket(0, 2.0, 0.0, 1.0)
    for ticket in (new, back, urgent):
        queue.enqueue(ticket)
    decisions = queue.decide(SlotEstimate(capacity=3.0, others_in_flight=0.0, own_in_flight=0), 0.0)
    assert [decision.ticket for decision in decisions] == [urgent, back, new]


def test_a_call_that_cannot_be_answered_in_time_is_rejected_at_once() -> None:
    queue = queue_of()
    full = SlotEstimate(capacity=2.0, others_in_flight=0.0, own_in_flight=2)
    tickets = [new_ticket(0, 2.0, 0.0, OBJECTIVE_S) for _ in range(4)]
    decisions = []
    for ticket in tickets:
        queue.enqueue(ticket)
        decisions += queue.decide(full, 0.0)
    # A place comes free each 25 ms and an answer takes 50 ms; 100 ms may pass.
    assert len(queue.waiting) == 2
    assert [type(decision) for decision in decisions] == [Rejected, Rejected]


def test_calls_are_rejected_when_nothing_has_come_free_for_long() -> None:
    queue = queue_of()
    queue.enqueue(new_ticket(0, 2.0, 0.0, OBJECTIVE_S))
    assert (
        queue.decide(SlotEstimate(capacity=2.0, others_in_flight=0.0, own_in_flight=2), 0.0) == []
    )
    (decision,) = queue.decide(
        SlotEstimate(capacity=2.0, others_in_flight=0.0, own_in_flight=2), 0.08
    )
    assert isinstance(decision, Rejected)
    queue.record_release(None, 0.1)
    queue.enqueue(new_ticket(0, 2.1, 0.1, OBJECTIVE_S))
    assert isinstance(queue.decide(SlotEstimate(2.0, 0.0, 1), 0.1)[0], Admitted)


def test_rejected_callers_come_back_one_after_the_other() -> None:
    queue = queue_of()
    full = SlotEstimate(capacity=2.0, others_in_flight=0.0, own_in_flight=2)
    returns = []
    for _ in range(40):
        queue.enqueue(new_ticket(0, 2.0, 0.0, OBJECTIVE_S))
        returns += [d.retry_after_s for d in queue.decide(full, 0.0) if isinstance(d, Rejected)]
    assert len(returns) == 38
    assert max(returns) <= 2.0 / 3.0
    tenths = [sum(int(after_s * 10) == tenth for after_s in returns) for tenth in range(7)]
    # Places come free at 40 a second.
    assert max(tenths) <= 12


def test_a_caller_that_leaves_gives_its_place_to_the_next() -> None:
    async def test() -> None:
        world = b.BurstWorld(vms=1, targets=1)
        queues = world.forwarders[0].queues
        for _ in range(b.SLOTS + 1):
            assert await queues.acquire(b.SERVICE, new_ticket(0, 9.0, 0.0, 9.0)) is None
        async with anyio.create_task_group() as tasks:
            first = anyio.CancelScope()
            entered: list[str] = []

            async def wait(name: str, scope: anyio.CancelScope) -> None:
                with scope:
                    assert await queues.acquire(b.SERVICE, new_ticket(0, 9.0, 0.0, 9.0)) is None
                    entered.append(name)

            tasks.start_soon(wait, "first", first)
            await anyio.sleep(0.001)
            tasks.start_soon(wait, "second", anyio.CancelScope())
            await anyio.sleep(0.001)
            # It is given a place in the same instant in which it leaves.
            first.cancel()
            queues.release(b.SERVICE, 0.05)
            await anyio.sleep(0.001)
            assert entered == ["second"]
        assert queues.state_of(b.SERVICE).held_slots == b.SLOTS + 1

    w.run_in_virtual_time(test)
