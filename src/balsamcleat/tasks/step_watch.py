"""Monitors the steps of other VMs, and takes over steps whose owner is dead."""

import random
from collections.abc import Awaitable, Callable

from balsamcleat.decisions.ownership import ownership_rank
from balsamcleat.decisions.step_lease import StepLeaseTracker
from balsamcleat.decoding import decode_json
from balsamcleat.errors import PlatformError, RefusedError
from balsamcleat.model import StepSpec, VmId
from balsamcleat.ports import Row, Transaction, Write
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.step_owner import OwnerDependencies, StepOwner
from balsamcleat.tasks.step_store import StepHead, StepLease

__all__ = ["MAX_OWNED_STEPS", "StepWatch"]

WATCH_INTERVAL_S = 1.0
# Number of VMs in each availability zone that monitor the steps of all VMs.
WATCHERS_PER_ZONE = 3
MAX_OWNED_STEPS = 32
# Time for which the head of a closed step is retained to answer late pulls.
CLOSED_RETENTION_S = 600.0


class StepWatch:
    """Monitors all steps, on a few VMs of each availability zone.

    Args:
        vm_id: Identifier of this VM.
        link: Membership view of the peer VMs.
        dependencies: Objects that all step owners of this VM share.
        generator: Random number generator for jitter.
        owned: Step owners of this VM, by key of the step's row.
        start_owning: Starts to own a step that was taken over.
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
        self.lease_tracker = StepLeaseTracker()

    async def run(self) -> None:
        """Check all steps at jittered intervals until cancelled."""
        while True:
            await self.clock.sleep(WATCH_INTERVAL_S * self.generator.uniform(0.5, 1.5))
            if not self.is_watcher():
                continue
            try:
                rows = await self.store.heads()
                for row in rows:
                    await self.check_step(row)
                self.lease_tracker.retain(frozenset(row.key for row in rows))
            except PlatformError:
                self.lease_tracker.reset()
                self.metrics.count("rollout.watch.failed")
            except RefusedError:
                self.metrics.count("rollout.take_over.refused")

    def is_watcher(self) -> bool:
        """Return whether this VM's hash rank makes it a watcher of its availability zone."""
        if self.link.is_leaving:
            return False
        alive = [member.vm_id for member in self.link.membership.alive_peers(zone_only=True)]
        return ownership_rank(self.vm_id, "steps", alive) < WATCHERS_PER_ZONE

    async def check_step(self, row: Row) -> None:
        """Take over a step whose owner is dead; delete a step that was closed long ago."""
        now_s = self.clock.now_s()
        head = decode_json(row.value, StepHead)
        local_owner = self.owned.get(row.key)
        if local_owner is not None and not local_owner.fenced:
            return
        # This VM is named as owner but does not run the step: it was replaced under the same name.
        # The step then has no owner.
        owner = "" if head.owner == self.vm_id else head.owner
        if head.closed:
            self.lease_tracker.observe(row.key, row.version, "closed", now_s)
            if self.lease_tracker.unchanged_s(row.key, now_s) > CLOSED_RETENTION_S:
                await self.delete_closed_step(row, head)
            return
        if not self.lease_tracker.observe(row.key, row.version, owner, now_s):
            return
        if len(self.owned) >= MAX_OWNED_STEPS:
            return
        lease = await self.store.take_over(row)
        if lease is None:
            return
        self.metrics.count("rollout.take_over")
        spec = await self.store.spec(head)
        if spec is None:
            await self.store.update(lease, closed="its contents are lost")
            return
        await self.start_owning(lease, spec)

    async def delete_closed_step(self, row: Row, head: StepHead) -> None:
        """Delete a closed step with its row."""
        lease = StepLease(row.key, head, row.version)
        await self.store.delete_contents(lease)
        write = Write(row.key, None, row.version)
        operation = self.store.randomness.fresh_id()
        await self.store.table.commit(Transaction(operation, (write,)))
        self.owned.pop(row.key, None)
