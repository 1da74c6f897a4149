"""The queue of live calls under overload: order of admission, rejections and retry delays.

Each simulation runs the same load through the queue and through a baseline that forwards every
call at once and lets the targets reject it.
"""

import random
from collections.abc import Callable

import anyio
import pytest

import burst_world as b
import step_world as w
from balsamcleat.decisions.live_queue import Admitted, LiveQueue, Rejected, SlotEstimate, new_ticket

OBJECTIVE_S = 0.2
# A rejection within a quarter of the latency objective counts as early.
EARLY_REJECTION_S = b.OBJECTIVE_S / 4
BURST_END_S = 2.0


def burst_load(elapsed_s: float) -> float:
    """Return the load factor: three times the capacity for a second, else half of it."""
    return 3.0 if 1.0 < elapsed_s < BURST_END_S else 0.5


def simulate(
    load: Callable[[float], float], queues: type, slowness: float = 1.0, **options
) -> b.BurstWorld:
    async def simulation() -> b.BurstWorld:
        world = b.BurstWorld(queues=queues, **options)
        world.plain_targets[0].slowness = slowness
        await world.run(lambda elapsed_s: world.capacity_per_s * load(elapsed_s), 4.0)
        return world

    return w.run_in_virtual_time(simulation)


@pytest.mark.parametrize("vms", [4, 12])
@pytest.mark.parametrize("seed", [1, 2])
def test_burst_is_served_by_rank_and_rejections_are_early(vms: int, seed: int) -> None:
    queued = simulate(burst_load, b.LiveQueues, vms=vms, seed=seed)
    baseline = simulate(burst_load, b.NoLiveQueues, vms=vms, seed=seed)
    assert queued.served_share(0) > max(baseline.served_share(0), queued.served_share(1))
    assert queued.served_share() >= baseline.served_share() - 0.02
    assert queued.rejected_count() < baseline.rejected_count() / 10
    rejection_times_s = sorted(o.first_rejection_s for o in queued.outcomes if o.has_retried)
    assert rejection_times_s[int(0.95 * len(rejection_times_s))] <= EARLY_REJECTION_S


@pytest.mark.parametrize("seed", [1, 2])
def test_no_wave_of_rejections_follows_a_burst(seed: int) -> None:
    queued = simulate(burst_load, b.LiveQueues, seed=seed)
    later = [o for o in queued.outcomes if o.started_after_s > BURST_END_S + 1.0]
    assert len(later) > 100
    assert sum(o.has_retried for o in later) <= 0.01 * len(later)
    assert all(o.served for o in later)


def test_sustained_overload_uses_all_slots_and_starves_no_rank() -> None:
    queued = simulate(lambda _: 2.0, b.LiveQueues)
    baseline = simulate(lambda _: 2.0, b.NoLiveQueues)
    completed = sum(target.completed_count for target in queued.plain_targets)
    assert completed >= sum(target.completed_count for target in baseline.plain_targets)
    assert queued.served_share(0) > baseline.served_share(0)
    assert queued.served_share(1) >= queued.served_share() / 4


def test_no_call_is_rejected_while_slots_are_free() -> None:
    queued = simulate(lambda _: 0.6, b.LiveQueues)
    assert all(outcome.served for outcome in queued.outcomes)
    assert sum(outcome.has_retried for outcome in queued.outcomes) <= 0.005 * len(queued.outcomes)


def test_slow_target_causes_no_rejections_for_the_other_targets() -> None:
    queued = simulate(lambda _: 0.5, b.LiveQueues, slowness=8.0)
    baseline = simulate(lambda _: 0.5, b.NoLiveQueues, slowness=8.0)
    assert queued.served_share() >= baseline.served_share() - 0.005
    assert queued.share_in_time() >= baseline.share_in_time() - 0.02


def new_queue(service_s: float = 0.05) -> LiveQueue:
    return LiveQueue(random.Random(1), service_time_s=service_s, last_free_at_s=0.0)


def test_calls_are_admitted_by_rank_then_by_deadline() -> None:
    queue = new_queue()
    new_call, retried_call = (new_ticket(1, deadline_s, 0.0, 1.0) for deadline_s in (2.0, 1.2))
    urgent_call = new_ticket(0, 2.0, 0.0, 1.0)
    for ticket in (new_call, retried_call, urgent_call):
        queue.enqueue(ticket)
    decisions = queue.decide(SlotEstimate(capacity=3.0, others_in_flight=0.0, own_in_flight=0), 0.0)
    assert [decision.ticket for decision in decisions] == [urgent_call, retried_call, new_call]


def test_call_that_cannot_be_answered_in_time_is_rejected_at_once() -> None:
    queue = new_queue()
    full = SlotEstimate(capacity=2.0, others_in_flight=0.0, own_in_flight=2)
    tickets = [new_ticket(0, 2.0, 0.0, OBJECTIVE_S) for _ in range(4)]
    decisions = []
    for ticket in tickets:
        queue.enqueue(ticket)
        decisions += queue.decide(full, 0.0)
    # A slot becomes free every 25 ms and an answer takes 50 ms; the limit is 100 ms.
    assert len(queue.waiting) == 2
    assert [type(decision) for decision in decisions] == [Rejected, Rejected]


def test_calls_are_rejected_when_no_slot_has_become_free_for_long() -> None:
    queue = new_queue()
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


def test_retry_delays_of_rejected_callers_are_spread() -> None:
    queue = new_queue()
    full = SlotEstimate(capacity=2.0, others_in_flight=0.0, own_in_flight=2)
    retry_delays = []
    for _ in range(40):
        queue.enqueue(new_ticket(0, 2.0, 0.0, OBJECTIVE_S))
        retry_delays += [
            d.retry_after_s for d in queue.decide(full, 0.0) if isinstance(d, Rejected)
        ]
    assert len(retry_delays) == 38
    assert max(retry_delays) <= 2.0 / 3.0
    callers_per_tenth = [
        sum(int(delay_s * 10) == tenth for delay_s in retry_delays) for tenth in range(7)
    ]
    # Slots become free at a rate of 40 per second.
    assert max(callers_per_tenth) <= 12


def test_cancelled_caller_passes_its_slot_to_the_next() -> None:
    async def scenario() -> None:
        world = b.BurstWorld(vms=1, targets=1)
        queues = world.forwarders[0].queues
        for _ in range(b.SLOTS + 1):
            assert await queues.acquire(b.SERVICE, new_ticket(0, 9.0, 0.0, 9.0)) is None
        async with anyio.create_task_group() as tasks:
            first_scope = anyio.CancelScope()
            entered: list[str] = []

            async def wait(name: str, scope: anyio.CancelScope) -> None:
                with scope:
                    assert await queues.acquire(b.SERVICE, new_ticket(0, 9.0, 0.0, 9.0)) is None
                    entered.append(name)

            tasks.start_soon(wait, "first", first_scope)
            await anyio.sleep(0.001)
            tasks.start_soon(wait, "second", anyio.CancelScope())
            await anyio.sleep(0.001)
            # The slot is released to the first caller at the instant at which it is cancelled.
            first_scope.cancel()
            queues.release(b.SERVICE, 0.05)
            await anyio.sleep(0.001)
            assert entered == ["second"]
        assert queues.state_of(b.SERVICE).held_slots == b.SLOTS + 1

    w.run_in_virtual_time(scenario)
