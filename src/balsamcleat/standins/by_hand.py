"""Run one stand-in as a process of its own."""

import uuid
from dataclasses import dataclass

import anyio
import httpx
import msgspec

from balsamcleat.adapters.http_platform import VmMessage
from balsamcleat.errors import PlatformUnavailableError
from balsamcleat.model import VmKind
from balsamcleat.standins.engine import EngineStandIn
from balsamcleat.standins.flaws import set_flaws
from balsamcleat.standins.platform import PlatformStandIn
from balsamcleat.standins.scorer import ScorerStandIn
from balsamcleat.standins.service import PlainServiceStandIn
from balsamcleat.standins.serving import StandInServer
from balsamcleat.standins.trainer import TrainerStandIn

__all__ = [
    "TargetPlace",
    "TrainerPlan",
    "put_entry_vm",
    "run_engine",
    "run_platform",
    "run_scorer",
    "run_service",
    "run_trainer",
]


@dataclass(frozen=True, slots=True)
class TargetPlace:
    """Where a target runs and what it serves.

    Attributes:
        service: The service.
        port: The loopback port.
        platform_url: The platform's base URL.
        vm_id: The target's id.
        zone: Its availability zone.
        restart_after_s: Seconds from a crash to its restart; 0 stays away.
        flaws: JSON object of flaws to begin with.
    """

    service: str
    port: int
    platform_url: str
    vm_id: str
    zone: str
    restart_after_s: float = 0.0
    flaws: str = "{}"


@dataclass(frozen=True, slots=True)
class TrainerPlan:
    """What a trainer does; see the command's arguments."""

    urls: tuple[str, ...]
    deployment: str
    steps: int
    groups: int
    size: int
    scorer: str | None
    weight_version: int
    train_s: float
    token: str


async def run_platform(port: int, flaws: str = "{}") -> None:
    """Run the platform until the process ends."""
    stand_in = PlatformStandIn()
    set_flaws(stand_in.flaws, flaws.encode())
    server = StandInServer(stand_in.app(), port)
    print(f"platform at http://{server.address}", flush=True)
    await server.run()


async def run_engine(
    place: TargetPlace, capacity: int = 16, token_interval_s: float = 0.005
) -> None:
    """Run an engine until the process ends."""
    stand_in = EngineStandIn(
        place.service,
        capacity=capacity,
        token_interval_s=token_interval_s,
        weights_url=place.platform_url,
    )
    await run_target(stand_in, place)


async def run_service(place: TargetPlace) -> None:
    """Run a plain service's replica until the process ends."""
    await run_target(PlainServiceStandIn(), place)


async def run_scorer(place: TargetPlace) -> None:
    """Run a scorer until the process ends."""
    await run_target(ScorerStandIn(), place)


async def run_target(
    stand_in: EngineStandIn | PlainServiceStandIn | ScorerStandIn, place: TargetPlace
) -> None:
    """Serve a target that is on the VM list."""
    set_flaws(stand_in.flaws, place.flaws.encode())
    server = StandInServer(stand_in.app(), place.port)
    await register(place, server.address)
    target = {"service": place.service, "zone": place.zone, "address": server.address}
    print(f"{place.vm_id} ({place.service}) at http://{server.address}", flush=True)
    print(
        f"  in the configuration: --set '/targets/{place.vm_id}="
        f"{msgspec.json.encode(target).decode()}'",
        flush=True,
    )
    async with anyio.create_task_group() as group:
        if not isinstance(stand_in, ScorerStandIn):
            crashes_send, crashes = anyio.create_memory_object_stream[None](8)
            stand_in.on_crash += [server.crash, lambda: crashes_send.send_nowait(None)]
            stand_in.on_restart.append(server.restart)

            async def come_back() -> None:
                async for _ in crashes:
                    print(f"{place.vm_id} crashed", flush=True)
                    if place.restart_after_s:
                        await anyio.sleep(place.restart_after_s)
                        stand_in.restart()
                        print(f"{place.vm_id} restarted", flush=True)

            group.start_soon(come_back)
        await server.run()
        group.cancel_scope.cancel()


async def register(place: TargetPlace, address: str) -> None:
    """Put a target on the platform's VM list."""
    vm = VmMessage(place.vm_id, VmKind.TARGET, place.zone, address, service=place.service)
    await put_vm(place.platform_url, vm)


async def put_vm(platform_url: str, vm: VmMessage) -> None:
    """Put a line on the platform's VM list.

    Raises:
        PlatformUnavailableError: The platform does not answer.
    """
    async with httpx.AsyncClient(trust_env=False) as client:
        try:
            response = await client.post(f"{platform_url}/vms", content=msgspec.json.encode(vm))
            response.raise_for_status()
        except httpx.HTTPError as error:
            raise PlatformUnavailableError(
                f"no platform at {platform_url} ({error}); start it first with "
                "`balsamcleat stand-in platform`",
                step="vms.register",
            ) from error


async def put_entry_vm(
    platform_url: str, vm_id: str, zone: str, http_address: str, peer_address: str, *, leaving: bool
) -> None:
    """Put an entry VM on the platform's VM list, or call it leaving there."""
    vm = VmMessage(vm_id, VmKind.ENTRY, zone, http_address, peer_address, leaving)
    await put_vm(platform_url, vm)
    print(f"{vm_id} is on the list at {platform_url}/vms{' as leaving' if leaving else ''}")


async def run_trainer(plan: TrainerPlan) -> None:
    """Run a trainer through its steps and print what came."""
    run_id = uuid.uuid4().hex[:6]
    async with httpx.AsyncClient(trust_env=False) as client:
        trainer = TrainerStandIn(
            plan.deployment,
            list(plan.urls),
            client,
            version=plan.weight_version,
            token=plan.token,
            scorer=plan.scorer,
            train_s=plan.train_s,
        )
        for number in range(1, plan.steps + 1):
            step_id = f"step-{run_id}-{number}"
            prompts = [f"{step_id} prompt {group}" for group in range(plan.groups)]
            print(f"{step_id}: opened, {plan.groups} groups of {plan.size}", flush=True)
            step = await trainer.run_step(step_id, prompts, plan.size)
            print(
                f"{step_id}: {len(step.samples)} samples, {len(step.doubled)} doubled, "
                f"whole after {step.whole_at_s - step.opened_at_s:.2f} s, "
                f"idle {step.idle_s:.2f} s, at most {max(step.staleness)} versions behind",
                flush=True,
            )
            await trainer.report_version(trainer.version + 1)
            print(f"weight version {trainer.version} reported", flush=True)
