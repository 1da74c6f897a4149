"""Keeps the queues of live calls to plain services and carries out what they decide."""

import random
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
from balsamcleat.model import ServiceName

__all__ = ["LiveQueues"]

# While calls wait, what others have at the targets is looked at again this often.
RECHECK_S = 0.02


@dataclass
class ServiceQueueState:
    """One service's queue, the calls that hold a place and what was decided on waiting ones."""

    queue: LiveQueue
    held_slots: int = 0
    decisions: dict[Ticket, Admitted | Rejected] = field(default_factory=dict)
    waiters: dict[Ticket, anyio.Event] = field(default_factory=dict)


class LiveQueues:
    """Gives live calls their places at the targets of plain services.

    Model engines admit live requests ahead of samples by themselves and have no queue here.

    Args:
        directory: The targets.
        book: Evidence on them.
        generator: Draws the spread of times to come back.
    """

    def __init__(
        self, directory: ReplicaDirectory, book: ReplicaStatsRegistry, generator: random.Random
    ) -> None:
        self.directory = directory
        self.book = book
        self.generator = generator
        self.services: dict[ServiceName, ServiceQueueState] = {}
        self.calls_waiting = anyio.Event()

    def state_of(self, service: ServiceName) -> ServiceQueueState:
        """Return a service's queue, an empty one at first."""
        found = self.services.get(service)
        if found is None:
            found = self.services[service] = ServiceQueueState(LiveQueue(self.generator))
        return found

    def slots(self, service: ServiceName, own: int, now_s: float) -> SlotEstimate | None:
        """Return what is believed of a service's places; None where it needs no queue."""
        replicas = self.directory.ready_replicas(service)
        if not replicas or any(replica.versions for replica in replicas):
            return None
        usable = [
            r for r in replicas if not self.book.for_target(r.target_id).is_avoided(now_s)
        ] or replicas
        return SlotEstimate(
            capacity=sum(replica.slots + QUEUED_PER_TARGET for replica in usable),
            others_in_flight=sum(
                self.book.for_target(r.target_id).estimated_others_in_flight(now_s) for r in usable
            ),
            own_in_flight=own,
        )

    async def acquire(self, service: ServiceName, ticket: Ticket) -> Rejected | None:
        """Wait for a place; returns the rejection where there is none in time.

        Every call that got a place gives it back by ``leave``.
        """
        found = self.state_of(service)
        if self.slots(service, found.held_slots, anyio.current_time()) is None:
            found.held_slots += 1
            return None
        found.queue.enqueue(ticket)
        self.decide_waiting(service)
        if ticket not in found.decisions:
            await self.wait_for_decision(service, ticket)
        decision = found.decisions.pop(ticket)
        return decision if isinstance(decision, Rejected) else None

    async def wait_for_decision(self, service: ServiceName, ticket: Ticket) -> None:
        """Wait until a call was decided on; a caller that leaves gives its place to the next."""
        found = self.state_of(service)
        decided = found.waiters[ticket] = anyio.Event()
        self.calls_waiting.set()
        try:
            await decided.wait()
        except BaseException:
            found.queue.remove(ticket)
            if isinstance(found.decisions.pop(ticket, None), Admitted):
                self.release(service, None)
            raise
        finally:
            del found.waiters[ticket]

    def release(self, service: ServiceName, took_s: float | None) -> None:
        """Give a place back; ``took_s`` is set where the call was answered."""
        found = self.state_of(service)
        found.held_slots -= 1
        found.queue.record_release(took_s, anyio.current_time())
        self.decide_waiting(service)

    def record_rejection(self, service: ServiceName) -> None:
        """Take note that no target took a call that held a place."""
        self.state_of(service).queue.record_rejection_by_all(anyio.current_time())

    def has_queue(self, service: ServiceName) -> bool:
        """Return whether calls of a service wait here rather than at its targets."""
        return self.slots(service, 0, anyio.current_time()) is not None

    def can_hedge(self, service: ServiceName) -> bool:
        """Return whether a call may take a second place: nobody waits for one."""
        return not self.state_of(service).queue.waiting

    def decide_waiting(self, service: ServiceName) -> None:
        """Decide on those that wait and wake them."""
        found = self.state_of(service)
        if not found.queue.waiting:
            return
        now_s = anyio.current_time()
        places = self.slots(service, found.held_slots, now_s)
        if places is None:
            # Its last target is gone: whoever asks for one is told so.
            places = SlotEstimate(
                float(len(found.queue.waiting) + found.held_slots), 0.0, found.held_slots
            )
        for decision in found.queue.decide(places, now_s):
            if isinstance(decision, Admitted):
                found.held_slots += 1
            found.decisions[decision.ticket] = decision
            waiter = found.waiters.get(decision.ticket)
            if waiter is not None:
                waiter.set()

    async def run(self) -> None:
        """Look again at queues in which calls wait, until cancelled."""
        while True:
            await self.calls_waiting.wait()
            await anyio.sleep(RECHECK_S)
            for service in list(self.services):
                self.decide_waiting(service)
            if not any(found.queue.waiting for found in self.services.values()):
                self.calls_waiting = anyio.Event()
