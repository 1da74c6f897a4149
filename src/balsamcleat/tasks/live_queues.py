"""Queues in which live calls to plain services wait for a slot."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import anyio

from balsamcleat.decisions.live_queue import (
    QUEUED_PER_TARGET,
    Admitted,
    LiveQueue,
    Rejected,
    SlotEstimate,
    Ticket,
)
from balsamcleat.decisions.replica_directory import ReplicaDirectory
from balsamcleat.decisions.replica_stats import ReplicaStatsRegistry
from balsamcleat.model import ServiceName, TeamName
from balsamcleat.model.replicas import Replica

__all__ = ["LiveQueues"]

# Lowest rate, in requests per second, that the estimate of a wait reckons with.
MIN_RATE_PER_S = 1e-3
# While calls wait, the load that other VMs put on the targets is read again at this interval.
RECHECK_INTERVAL_S = 0.02


@dataclass
class ServiceQueueState:
    """State of one service's queue.

    Attributes:
        queue: Decides which waiting calls are admitted or rejected.
        held_slots: Number of calls of this VM that hold a slot.
        decisions: Decisions that the waiting calls have not read yet.
        waiters: Events that wake the waiting calls.
    """

    queue: LiveQueue
    held_slots: int = 0
    decisions: dict[Ticket, Admitted | Rejected] = field(default_factory=dict)
    waiters: dict[Ticket, anyio.Event] = field(default_factory=dict)


class LiveQueues:
    """Assigns slots at the targets of plain services to live calls.

    Model engines admit live requests ahead of samples themselves, so they have no queue here.

    Args:
        directory: Directory of the targets.
        stats_registry: Statistics of the targets.
        generator: Random generator for the jitter of retry delays.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        stats_registry: ReplicaStatsRegistry,
        generator: random.Random,
    ) -> None:
        self.directory = directory
        self.stats_registry = stats_registry
        self.generator = generator
        self.services: dict[ServiceName, ServiceQueueState] = {}
        self.calls_waiting = anyio.Event()

    def state_of(self, service: ServiceName) -> ServiceQueueState:
        """Return the state of a service's queue; create it on first use."""
        state = self.services.get(service)
        if state is None:
            state = self.services[service] = ServiceQueueState(LiveQueue(self.generator))
        return state

    def estimate_slots(
        self, service: ServiceName, held_slots: int, now_s: float
    ) -> SlotEstimate | None:
        """Return an estimate of a service's slots, or None if the service needs no queue."""
        replicas = self.directory.ready_replicas(service)
        limits = self.stats_registry.limits
        if limits.is_active and self.has_limits(service):
            return self.estimate_limited_slots(replicas, held_slots, now_s)
        if not replicas or any(replica.versions for replica in replicas):
            return None
        usable = [
            r for r in replicas if not self.stats_registry.for_replica(r).is_avoided(now_s)
        ] or replicas
        queued = float(QUEUED_PER_TARGET * len(usable))
        return SlotEstimate(
            capacity=queued + sum(replica.slots for replica in usable),
            others_in_flight=sum(
                self.stats_registry.for_replica(r).estimated_others_in_flight(now_s) for r in usable
            ),
            own_in_flight=held_slots,
            queued=queued,
        )

    def has_limits(self, service: ServiceName) -> bool:
        """Return whether any target of a service names a rate limit."""
        return any(map(self.is_limited, self.directory.ready_replicas(service)))

    def is_limited(self, replica: Replica) -> bool:
        """Return whether a target names a rate limit."""
        return self.stats_registry.limits.limit_per_s(replica.target_id) is not None

    def estimate_limited_slots(
        self, replicas: Sequence[Replica], held_slots: int, now_s: float
    ) -> SlotEstimate:
        """Return an estimate of the slots of targets some of which name a rate limit.

        A limited target has a slot for each request that this VM may send to it now. Engines put
        live requests ahead of samples, so those without a limit always have slots.
        """
        limits, free, rate_per_s = self.stats_registry.limits, 0.0, 0.0
        has_unlimited = False
        for replica in replicas:
            stats = self.stats_registry.for_replica(replica)
            slots = float(replica.slots + QUEUED_PER_TARGET)
            if not replica.versions:
                slots = max(0.0, slots - stats.load(now_s))
            if self.is_limited(replica):
                sendable = limits.sendable(replica.target_id, now_s)
                if sendable < 1.0:
                    limits.record_wait(replica.target_id, now_s, is_live=True)
                slots = min(slots, sendable)
                rate_per_s += limits.rate_at(replica.target_id, now_s)
            else:
                has_unlimited = True
            free += slots
        min_interval_s = 0.0 if has_unlimited else 1.0 / max(MIN_RATE_PER_S, rate_per_s)
        return SlotEstimate(held_slots + free, 0.0, held_slots, min_interval_s)

    async def acquire(self, service: ServiceName, ticket: Ticket) -> Rejected | None:
        """Wait for a slot; return the rejection if none becomes free in time.

        Every call that got a slot must return it with ``release``.
        """
        state = self.state_of(service)
        now_s = anyio.current_time()
        if self.estimate_slots(service, state.held_slots, now_s) is None:
            state.held_slots += 1
            return None
        state.queue.record_arrival(ticket, now_s)
        state.queue.enqueue(ticket)
        self.decide_waiting(service)
        if ticket not in state.decisions:
            await self.wait_for_decision(service, ticket)
        decision = state.decisions.pop(ticket)
        return decision if isinstance(decision, Rejected) else None

    async def wait_for_decision(self, service: ServiceName, ticket: Ticket) -> None:
        """Wait until a call is admitted or rejected.

        If the caller disconnects, a slot that was already granted passes to the next call.
        """
        state = self.state_of(service)
        decided = state.waiters[ticket] = anyio.Event()
        self.calls_waiting.set()
        try:
            await decided.wait()
        except BaseException:
            state.queue.remove(ticket)
            if isinstance(state.decisions.pop(ticket, None), Admitted):
                self.release(service, None)
            raise
        finally:
            del state.waiters[ticket]

    def release(self, service: ServiceName, took_s: float | None) -> None:
        """Release a slot.

        Args:
            service: Service at which the call held the slot.
            took_s: Duration of the call in seconds; None if the call was not answered.
        """
        state = self.state_of(service)
        state.held_slots -= 1
        state.queue.record_release(took_s, anyio.current_time())
        self.decide_waiting(service)

    def record_rejection(self, service: ServiceName) -> None:
        """Record that every target rejected a call that held a slot."""
        self.state_of(service).queue.record_rejection_by_all(anyio.current_time())

    def has_queue(self, service: ServiceName) -> bool:
        """Return whether calls of a service wait in this queue rather than at its targets."""
        return self.estimate_slots(service, 0, anyio.current_time()) is not None

    def can_hedge(self, service: ServiceName, team: TeamName | None = None) -> bool:
        """Return whether a call may hold a second slot, which requires that no call waits for it.

        Calls of teams above their share don't count.
        """
        return self.state_of(service).queue.can_hedge(team or "")

    def decide_waiting(self, service: ServiceName) -> None:
        """Admit or reject the waiting calls of a service and wake them."""
        state = self.state_of(service)
        if not state.queue.waiting:
            return
        now_s = anyio.current_time()
        estimate = self.estimate_slots(service, state.held_slots, now_s)
        if estimate is None:
            # The last target is gone: admit all waiting calls, which then fail with "no target".
            estimate = SlotEstimate(
                float(len(state.queue.waiting) + state.held_slots), 0.0, state.held_slots
            )
        for decision in state.queue.decide(estimate, now_s):
            if isinstance(decision, Admitted):
                state.held_slots += 1
            state.decisions[decision.ticket] = decision
            waiter = state.waiters.get(decision.ticket)
            if waiter is not None:
                waiter.set()

    async def run(self) -> None:
        """Decide on waiting calls at a fixed interval, until cancelled."""
        while True:
            await self.calls_waiting.wait()
            await anyio.sleep(RECHECK_INTERVAL_S)
            for service in list(self.services):
                self.decide_waiting(service)
            if not any(state.queue.waiting for state in self.services.values()):
                self.calls_waiting = anyio.Event()
