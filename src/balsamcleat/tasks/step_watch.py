"""The task that watches steps of other VMs and takes over those whose owner is gone."""

import random
from collections.abc import Awaitable, Callable

import msgspec

from balsamcleat.decisions.ownership import rank_of
from balsamcleat.decisions.step_lease import StepLeaseWatch
from balsamcleat.errors import PlatformError, RefusedError
from balsamcleat.model import StepSpec, VmId
from balsamcleat.ports import Row, Transaction, Write
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.step_owner import OwnerDependencies, StepOwner
from balsamcleat.tasks.step_store import StepHead, StepLease

__all__ = ["MAX_OWNED_STEPS", "StepWatch"]

WATCH_INTERVAL_S = 1.0
# So many nodes of each availability zone watch the steps of all.
WATCHERS_PER_ZONE = 3
MAX_OWNED_STEPS = 32
# How long a closed step still answers late pulls.
CLOSED_RETENTION_S = 600.0


class StepWatch:
    """Watches all steps, on a few nodes of each availability zone.

    Args:
        vm_id: This VM.
        link: The view of the peers.
        parts: What the owners share.
        generator: Draws jitter.
        owned: The steps owned here.
        own: Begins to own a step that was taken over.
    """

    def __init__(
        self,
        vm_id: VmId,
        link: PeerLink,
        dependencies: OwnerDependencies,
        generator: random.Random,
        owned: dict[str, StepOwner],
        start_owning: Callable[[StepLease, StepSpec], Awaitable[None]],
    ) -> None:
        self.vm_id = vm_id
        self.link = link
        self.store = dependencies.store
        self.clock = dependencies.clock
        self.metrics = dependencies.metrics
        self.generator = generator
        self.owned = owned
        self.start_owning = start_owning
        self.lease_watch = StepLeaseWatch()

    async def run(self) -> None:
        """Look at jittered intervals for steps whose owner is gone."""
        while True:
            await self.clock.sleep(WATCH_INTERVAL_S * self.generator.uniform(0.5, 1.5))
            if not self.is_watcher():
                continue
            try:
                rows = await self.store.heads()
                for row in rows:
                    await self.check_step(row)
                self.lease_watch.keep_only(frozenset(row.key for row in rows))
            except PlatformError:
                self.lease_watch.read_failed()
                self.metrics.count("rollout.watch.failed")
            except RefusedError:
                self.metrics.count("rollout.take_over.refused")

    def is_watcher(self) -> bool:
        """Return whether this node is one of its zone's watchers, by rank of digests."""
        if self.link.is_leaving:
            return False
        alive = [member.vm_id for member in self.link.membership.alive(zone_only=True)]
        return rank_of(self.vm_id, "steps", alive) < WATCHERS_PER_ZONE

    async def check_step(self, row: Row) -> None:
        """Take a step over when its owner is gone; clear away one that is long closed."""
        now_s = self.clock.now_s()
        head = msgspec.json.decode(row.value, type=StepHead)
        mine = self.owned.get(row.key)
        if mine is not None and not mine.fenced:
            return
        # A VM that was replaced under its old name owns nothing any more.
        owner = "" if head.owner == self.vm_id else head.owner
        if head.closed:
            self.lease_watch.observe(row.key, row.version, "closed", now_s)
            if self.lease_watch.silent_s(row.key, now_s) > CLOSED_RETENTION_S:
                await self.delete_closed_step(row, head)
            return
        if not self.lease_watch.observe(row.key, row.version, owner, now_s):
            return
        if len(self.owned) >= MAX_OWNED_STEPS:
            return
        held = await self.store.take_over(row)
        if held is None:
            return
        self.metrics.count("rollout.take_over")
        spec = await self.store.spec(head)
        if spec is None:
            await self.store.update(held, closed="its contents are lost")
            return
        await self.start_owning(held, spec)

    async def delete_closed_step(self, row: Row, head: StepHead) -> None:
        """Remove a closed step."""
        held = StepLease(row.key, head, row.version)
        await self.store.delete_contents(held)
        write = Write(row.key, None, row.version)
        operation = self.store.randomness.fresh_id()
        await self.store.table.commit(Transaction(operation, (write,)))
        self.owned.pop(row.key, None)
