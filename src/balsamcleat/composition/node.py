"""The process of one entry VM, as built by the composition root."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import anyio
import anyio.abc
import httpx
import structlog

from balsamcleat.adapters.http_server import BoundSocket, bind
from balsamcleat.adapters.key_ring import KeyRing
from balsamcleat.adapters.socket_peers import split_address
from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.tls import TlsServer
from balsamcleat.settings import Settings
from balsamcleat.tasks.audit_trail import AuditTrail
from balsamcleat.tasks.canceller import Canceller
from balsamcleat.tasks.claim_keeper import ClaimKeeper
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper
from balsamcleat.tasks.graceful_shutdown import DrainMiddleware, serve_until_drained
from balsamcleat.tasks.lease_keeper import LeaseKeeper
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.platform_client import PlatformObjects, PlatformTable
from balsamcleat.tasks.rollouts import Rollouts
from balsamcleat.tasks.shared_vm_list import SharedVmList
from balsamcleat.tasks.table_archiver import TableArchiver
from balsamcleat.tasks.target_watch import TargetWatch
from balsamcleat.tasks.weight_orders import WeightLoadController

__all__ = ["Node", "PlatformParts"]

# Timeout for the last writes of a shutdown, which applies even if its time limit is exceeded.
LAST_WRITES_TIMEOUT_S = 2.0

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PlatformParts:
    """Clients of the platform's services, and the audit trail that writes through them."""

    table: PlatformTable
    objects: PlatformObjects
    audit: AuditTrail

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the clients; at the end the audit trail is written before the table client stops."""
        async with anyio.create_task_group() as outer:
            outer.start_soon(self.table.run)
            async with anyio.create_task_group() as inner:
                inner.start_soon(self.audit.run)
                try:
                    yield
                finally:
                    inner.cancel_scope.cancel()
            outer.cancel_scope.cancel()


@dataclass
class Node:
    """Process of one entry VM with all its parts.

    Attributes:
        settings: Settings of the node.
        drain: Event that begins a graceful shutdown when it is set.
    """

    settings: Settings
    client: httpx.AsyncClient
    unpooled_client: httpx.AsyncClient
    metrics: MemoryMetrics
    keeper: ConfigurationKeeper
    vm_list: SharedVmList
    link: PeerLink
    watch: TargetWatch
    leases: LeaseKeeper
    rollouts: Rollouts
    weight_orders: WeightLoadController
    guard: DrainMiddleware
    tls: TlsServer | None
    drain: anyio.Event
    keys: KeyRing | None
    platform: PlatformParts
    archiver: TableArchiver
    claims: ClaimKeeper
    canceller: Canceller

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until drained.

        Args:
            task_status: Notified once the node listens.
        """
        host, port = split_address(self.settings.http_address)
        bound = bind(host, port)
        async with (
            self.client,
            self.unpooled_client,
            # The platform clients stop last, because the other parts still write while they stop.
            self.platform.running(),
            anyio.create_task_group() as group,
        ):
            group.start_soon(self.keeper.run)
            group.start_soon(self.vm_list.run)
            group.start_soon(self.link.run)
            group.start_soon(self.watch.run)
            group.start_soon(self.leases.run)
            group.start_soon(self.rollouts.run)
            group.start_soon(self.weight_orders.run)
            if self.tls is not None:
                group.start_soon(self.tls.run)
            group.start_soon(self.archiver.run)
            group.start_soon(self.claims.writer.run)
            group.start_soon(self.claims.run)
            group.start_soon(self.claims.run_sweeps)
            group.start_soon(self.canceller.run)
            if self.keys is not None:
                group.start_soon(self.keys.run)
            task_status.started()
            log.info("node started", vm=self.settings.vm_id, address=self.settings.http_address)
            await self.serve(bound)
            group.cancel_scope.cancel()
        log.info("node stopped", vm=self.settings.vm_id)

    async def serve(self, bound: BoundSocket) -> None:
        """Serve HTTP until drained, then write pending outcomes and release the leases."""
        guard = self.guard
        await serve_until_drained(guard, bound, self.drain, self.link.leave, self.tls)
        with anyio.move_on_after(
            max(LAST_WRITES_TIMEOUT_S, guard.drain.remaining_s(guard.clock.now_s()))
        ):
            await self.claims.flush()
            await self.leases.release_all()
