"""Trainer operations on rollout steps: run here if this VM owns the step, else forwarded."""

import random

import anyio
import anyio.abc
import msgspec
import structlog

from balsamcleat.api.trainer_messages import (
    CancelRequest,
    ForwardedReport,
    PullReply,
    PullRequest,
    VersionReport,
    decode_batch,
    encode_batch,
)
from balsamcleat.decoding import decode_json
from balsamcleat.errors import AttemptFailedError, PlatformError, RefusedError
from balsamcleat.model import (
    DeploymentName,
    Member,
    MemberStatus,
    StepId,
    StepSpec,
    TrainerAck,
    VmId,
    WeightVersion,
)
from balsamcleat.ports import (
    ABSENT,
    BatchReady,
    NoBatchYet,
    PullOutcome,
    PullRejected,
    StepGone,
    TrainerService,
    Transaction,
    Write,
)
from balsamcleat.tasks.configuration_keeper import ConfigurationKeeper
from balsamcleat.tasks.peer_link import PeerLink
from balsamcleat.tasks.step_owner import OwnerDependencies, StepOwner
from balsamcleat.tasks.step_store import StepHead, StepLease, step_key
from balsamcleat.tasks.step_watch import MAX_OWNED_STEPS, StepWatch

__all__ = ["Rollouts", "weights_key"]

FORWARD_MARGIN_S = 5.0
CONTROL_TIMEOUT_S = 3.0
HAND_OVER_TIMEOUT_S = 3.0
# Delay before a trainer is told to pull again when the step's owner cannot be reached.
UNREACHABLE_PAUSE_S = 0.3

log = structlog.get_logger()


def weights_key(deployment: str) -> str:
    """Return the key of the row with the newest weight version that a trainer reported."""
    return f"weights/{deployment}"


class Rollouts(TrainerService):
    """Opens, pulls and cancels steps for trainers, on any VM.

    Args:
        vm_id: Identifier of this VM.
        keeper: Holder of the configuration in force.
        link: Connections to the peer VMs.
        dependencies: Objects that all step owners of this VM share.
        generator: Random number generator for jitter.
    """

    def __init__(
        self,
        vm_id: VmId,
        keeper: ConfigurationKeeper,
        link: PeerLink,
        dependencies: OwnerDependencies,
        generator: random.Random,
    ) -> None:
        self.vm_id = vm_id
        self.keeper = keeper
        self.link = link
        self.dependencies = dependencies
        self.store = dependencies.store
        self.owned: dict[str, StepOwner] = {}
        self.step_watch = StepWatch(
            vm_id, link, dependencies, generator, self.owned, self.start_owning
        )
        self.last_known_owners: dict[str, VmId] = {}
        self.owner_sender, self.owner_receiver = anyio.create_memory_object_stream[StepOwner](
            MAX_OWNED_STEPS
        )
        link.request_handlers["trainer.pull"] = self.handle_forwarded_pull
        link.request_handlers["trainer.report"] = self.handle_forwarded_report
        link.request_handlers["trainer.cancel"] = self.handle_forwarded_cancel

    async def run(self) -> None:
        """Run owned steps and take over orphaned ones until cancelled; then hand over all steps."""
        try:
            async with anyio.create_task_group() as group, self.owner_receiver:
                group.start_soon(self.step_watch.run)
                async for owner in self.owner_receiver:
                    group.start_soon(self.run_owner, owner)
        finally:
            with anyio.move_on_after(HAND_OVER_TIMEOUT_S, shield=True):
                await self.hand_over()

    async def run_owner(self, owner: StepOwner) -> None:
        """Run a step owner until its step is closed or lost."""
        await owner.run()
        if self.owned.get(owner.lease.key) is owner and not owner.closed_reason:
            del self.owned[owner.lease.key]

    async def hand_over(self) -> None:
        """Release all owned steps for other VMs to take over; part of a graceful shutdown."""
        async with anyio.create_task_group() as group:
            for owner in list(self.owned.values()):
                if not owner.fenced:
                    group.start_soon(owner.hand_over)

    async def start_owning(self, lease: StepLease, spec: StepSpec) -> None:
        """Start to own a step, restoring the batches and samples that earlier owners stored."""
        deployment = self.keeper.current.body.deployments.get(spec.deployment)
        if deployment is None:
            raise RefusedError(f"deployment {spec.deployment!r} does not exist", step="step.own")
        owner = StepOwner(lease, spec, deployment, self.dependencies)
        if lease.head.epoch > 1:
            batches = await self.store.recorded_batches(lease.key, spec.step_id)
            owner.restore(batches, await self.store.read_partial_results(lease.key))
            row = await self.store.table.get(weights_key(spec.deployment))
            if row is not None:
                report = decode_json(row.value, VersionReport)
                owner.machine.record_trainer_version(WeightVersion(report.weight_version))
        self.owned[lease.key] = owner
        log.info("step owned", step=lease.key, epoch=lease.head.epoch)
        await self.owner_sender.send(owner)

    async def open_step(self, spec: StepSpec) -> None:
        """Open a step on this VM."""
        deployment = self.keeper.current.body.deployments.get(spec.deployment)
        if deployment is None:
            raise RefusedError(f"deployment {spec.deployment!r} does not exist", step="step.open")
        if spec.scorer is not None and spec.scorer not in self.keeper.current.body.services:
            raise RefusedError(f"service {spec.scorer!r} does not exist", step="step.open")
        owned_count = sum(not owner.fenced for owner in self.owned.values())
        if owned_count >= MAX_OWNED_STEPS:
            raise RefusedError("this VM owns too many steps; try another VM", step="step.open")
        lease = await self.store.open(spec)
        if lease is not None:
            await self.start_owning(lease, spec)

    async def pull(
        self, deployment: DeploymentName, step_id: StepId, ack: TrainerAck, wait_s: float
    ) -> PullOutcome:
        """Return the batch after the cursor, from this VM or from the step's owner."""
        owner = self.owned.get(step_key(deployment, step_id))
        if owner is not None and (owner.closed_reason or not owner.fenced):
            return await self.pull_locally(owner, ack, wait_s)
        request = PullRequest(
            deployment=deployment,
            step_id=step_id,
            cursor=ack.cursor,
            wait_s=wait_s,
            epoch=ack.epoch,
            version=ack.version,
            have=None if ack.have is None else f"{ack.have:x}",
        )
        return await self.pull_from_peer(request)

    async def pull_locally(self, owner: StepOwner, ack: TrainerAck, wait_s: float) -> PullOutcome:
        """Answer a pull from an owner on this VM; close the step if it was delivered completely."""
        outcome = await owner.pull(ack, wait_s)
        if isinstance(outcome, StepGone) and not owner.closed_reason:
            try:
                await owner.close(outcome.reason)
            except PlatformError:
                self.dependencies.metrics.count("rollout.close.failed")
        return outcome

    async def pull_from_peer(self, request: PullRequest) -> PullOutcome:
        """Forward a pull to the step's owner."""
        key = step_key(DeploymentName(request.deployment), StepId(request.step_id))
        try:
            head = await self.store.head(key)
        except PlatformError:
            # During an outage of the table, the last known owner continues to serve pulls.
            if key not in self.last_known_owners:
                raise
        else:
            if head is None:
                return StepGone("unknown step")
            if head.closed:
                return StepGone(head.closed)
            self.last_known_owners[key] = VmId(head.owner)
        member = self.reachable_peer(self.last_known_owners[key])
        payload = None
        if member is not None:
            payload = await self.forward_request(
                member, "trainer.pull", request, request.wait_s + FORWARD_MARGIN_S
            )
        if payload is None:
            await self.dependencies.clock.sleep(min(request.wait_s, UNREACHABLE_PAUSE_S))
            return NoBatchYet()
        reply = decode_json(payload, PullReply)
        if reply.batch is not None:
            return BatchReady(decode_batch(reply.batch))
        if reply.refused is not None:
            return PullRejected(reply.refused)
        return NoBatchYet() if reply.gone is None else StepGone(reply.gone)

    def reachable_peer(self, vm_id: VmId) -> Member | None:
        """Return a peer, or None if it is unknown or dead."""
        member = self.link.membership.members.get(vm_id)
        return None if member is None or member.status is MemberStatus.DEAD else member

    async def forward_request(
        self, member: Member, kind: str, message: msgspec.Struct, timeout_s: float
    ) -> bytes | None:
        """Forward a request to a peer; return None if the peer did not answer."""
        payload = msgspec.json.encode(message)
        try:
            return await self.link.forward(member.peer_address, kind, payload, timeout_s)
        except AttemptFailedError:
            self.dependencies.metrics.count("rollout.forward.failed")
            return None

    async def handle_forwarded_pull(self, payload: bytes) -> bytes:
        """Answer a pull that a peer forwarded to this VM."""
        request = decode_json(payload, PullRequest)
        key = step_key(DeploymentName(request.deployment), StepId(request.step_id))
        owner = self.owned.get(key)
        if owner is None or (owner.fenced and not owner.closed_reason):
            await self.dependencies.clock.sleep(min(request.wait_s, UNREACHABLE_PAUSE_S))
            return msgspec.json.encode(PullReply())
        outcome = await self.pull_locally(owner, request.ack(), request.wait_s)
        match outcome:
            case BatchReady(batch=batch):
                return msgspec.json.encode(PullReply(batch=encode_batch(batch)))
            case StepGone(reason=reason):
                return msgspec.json.encode(PullReply(gone=reason))
            case PullRejected(reason=reason):
                return msgspec.json.encode(PullReply(refused=reason))
        return msgspec.json.encode(PullReply())

    async def report_version(self, deployment: DeploymentName, version: WeightVersion) -> None:
        """Report a trainer's new weight version to all owners of its steps, and store it."""
        self.report_locally(deployment, version)
        report = ForwardedReport(deployment=deployment, weight_version=version)
        async with anyio.create_task_group() as group:
            for vm_id in await self.remote_owners(deployment):
                member = self.reachable_peer(vm_id)
                if member is not None:
                    group.start_soon(
                        self.forward_request, member, "trainer.report", report, CONTROL_TIMEOUT_S
                    )
        await self.store_version(deployment, version)

    def report_locally(self, deployment: str, version: WeightVersion) -> None:
        """Report a trainer's weight version to the step owners on this VM."""
        for owner in self.owned.values():
            if owner.spec.deployment == deployment and not owner.fenced:
                owner.apply_version(version)

    async def remote_owners(self, deployment: DeploymentName) -> frozenset[VmId]:
        """Return the other VMs that own open steps of a deployment."""
        prefix = step_key(deployment, StepId(""))
        try:
            heads = [
                decode_json(row.value, StepHead) for row in await self.store.table.scan(prefix)
            ]
        except PlatformError:
            return frozenset(
                vm_id for key, vm_id in self.last_known_owners.items() if key.startswith(prefix)
            ) - {self.vm_id}
        return frozenset(VmId(head.owner) for head in heads if not head.closed) - {self.vm_id}

    async def store_version(self, deployment: DeploymentName, version: WeightVersion) -> None:
        """Store a trainer's weight version unless a newer one is stored already.

        Raises:
            PlatformError: The version could not be stored; the trainer must report it again.
        """
        row = await self.store.table.get(weights_key(deployment))
        if row is not None:
            stored_version = decode_json(row.value, VersionReport).weight_version
            if stored_version >= version:
                return
        value = msgspec.json.encode(VersionReport(weight_version=version))
        condition = ABSENT if row is None else row.version
        write = Write(weights_key(deployment), value, condition)
        operation = self.store.randomness.fresh_id()
        await self.store.table.commit(Transaction(operation, (write,)))

    async def handle_forwarded_report(self, payload: bytes) -> bytes:
        """Apply a version report that a peer forwarded to this VM."""
        report = decode_json(payload, ForwardedReport)
        self.report_locally(report.deployment, WeightVersion(report.weight_version))
        return b""

    async def cancel(self, deployment: DeploymentName, step_id: StepId) -> None:
        """Cancel a step on this VM or on the VM that owns it."""
        key = step_key(deployment, step_id)
        if await self.cancel_locally(key):
            return
        row = await self.store.table.get(key)
        if row is None:
            return
        head = decode_json(row.value, StepHead)
        member = self.reachable_peer(VmId(head.owner))
        request = CancelRequest(deployment=deployment, step_id=step_id)
        if member is not None:
            answer = await self.forward_request(
                member, "trainer.cancel", request, CONTROL_TIMEOUT_S
            )
            if answer == CANCELLED:
                return
        # The owner cannot be reached. Taking over the step fences it with a higher epoch.
        lease = await self.store.take_over(row)
        if lease is not None:
            await self.store.update(lease, closed="cancelled")

    async def cancel_locally(self, key: str) -> bool:
        """Cancel a step if this VM owns it; return whether it does."""
        owner = self.owned.get(key)
        if owner is None or owner.fenced:
            return False
        await owner.close("cancelled")
        return True

    async def handle_forwarded_cancel(self, payload: bytes) -> bytes:
        """Cancel a step on behalf of a peer."""
        request = decode_json(payload, CancelRequest)
        key = step_key(DeploymentName(request.deployment), StepId(request.step_id))
        return CANCELLED if await self.cancel_locally(key) else b""


CANCELLED = b"cancelled"
