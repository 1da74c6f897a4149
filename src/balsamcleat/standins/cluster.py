"""A whole small system in one process, over real sockets on loopback."""

from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec
from starlette.types import ASGIApp

from balsamcleat.adapters.http_platform import VmMessage
from balsamcleat.composition import Node, compose
from balsamcleat.configuration import (
    Configuration,
    Deployment,
    Service,
    ServiceKind,
    Target,
    Team,
    Zone,
    initial_configuration,
)
from balsamcleat.configuration.schema import RoleName
from balsamcleat.configuration.store import installation_writes
from balsamcleat.model import VmKind
from balsamcleat.model.audit import AuditRow, audit_key
from balsamcleat.settings import PlatformSettings, SecuritySettings, Settings
from balsamcleat.standins.engine import EngineStandIn, KvPool
from balsamcleat.standins.ledger import GenerationLedger
from balsamcleat.standins.platform import PlatformStandIn, StoredRow
from balsamcleat.standins.scorer import ScorerStandIn
from balsamcleat.standins.service import PlainServiceStandIn
from balsamcleat.standins.serving import LOOPBACK, StandInServer, free_port

__all__ = ["ClusterShape", "LocalCluster"]


# Within the grace that nodes give the balancer.
BALANCER_LAG_S = 0.25


@dataclass(frozen=True, slots=True)
class ClusterShape:
    """What to start.

    Attributes:
        region: The region of all zones.
        zones: The availability zones.
        nodes_per_zone: Entry VMs in each.
        engine_service: Name of the engine service.
        engines: Its replicas, spread over the zones.
        plain_service: Name of the plain service; its calls are not idempotent.
        plain_targets: Its replicas.
        scorer_service: Name of the scoring service.
        deployment: Name of the rollout deployment.
        staleness_bound: Its staleness bound, in versions.
        idle_weight: Its weight between idle time (1) and staleness (0).
    """

    region: str
    zones: tuple[str, ...]
    nodes_per_zone: int
    engine_service: str
    engines: int
    plain_service: str
    plain_targets: int
    scorer_service: str = "scorer"
    deployment: str = "rollouts"
    staleness_bound: int = 1
    idle_weight: float = 0.5


@dataclass
class RunningNode:
    """A node, the scope that kills it, and whether it has ended."""

    node: Node
    scope: anyio.CancelScope
    ended: anyio.Event = field(default_factory=anyio.Event)


@dataclass
class LocalCluster:
    """Stand-ins and nodes; parts can be killed one by one.

    Attributes:
        shape: What to start.
        group: The task group that everything runs in.
    """

    shape: ClusterShape
    group: anyio.abc.TaskGroup
    platform: PlatformStandIn = field(default_factory=PlatformStandIn)
    engines: dict[str, EngineStandIn] = field(default_factory=dict)
    services: dict[str, PlainServiceStandIn] = field(default_factory=dict)
    kv: KvPool = field(default_factory=KvPool)
    ledger: GenerationLedger = field(default_factory=GenerationLedger)
    scorer: ScorerStandIn = field(default_factory=ScorerStandIn)
    targets: dict[str, Target] = field(default_factory=dict)
    nodes: dict[str, RunningNode] = field(default_factory=dict)
    leaving_since_s: dict[str, float] = field(default_factory=dict)
    platform_url: str = ""

    async def start(self) -> None:
        """Start the platform, the targets, then the nodes."""
        self.platform_url = f"http://{self.serve(self.platform.app()).address}"
        self.start_targets()
        self.write_first_configuration()
        for zone in self.shape.zones:
            for number in range(self.shape.nodes_per_zone):
                await self.start_node(f"entry-{zone}-{number}", zone)

    def serve(self, app: ASGIApp) -> StandInServer:
        """Serve an application and return its server."""
        server = StandInServer(app)
        self.group.start_soon(server.run)
        return server

    def start_targets(self) -> None:
        """Start engines, plain services and the scorer, spread over the zones."""
        shape = self.shape
        for number in range(shape.engines):
            engine = EngineStandIn(
                shape.engine_service, weights_url=self.platform_url, kv=self.kv, ledger=self.ledger
            )
            name = f"{shape.engine_service}-{number}"
            self.engines[name] = engine
            server = self.add_target(name, shape.engine_service, number, engine.app())
            engine.on_crash.append(server.crash)
            engine.on_restart.append(server.restart)
        for number in range(shape.plain_targets):
            service = PlainServiceStandIn()
            name = f"{shape.plain_service}-{number}"
            self.services[name] = service
            server = self.add_target(name, shape.plain_service, number, service.app())
            service.on_crash.append(server.crash)
            service.on_restart.append(server.restart)
        self.add_target("scorer-0", shape.scorer_service, 0, self.scorer.app())

    def add_target(self, name: str, service: str, number: int, app: ASGIApp) -> StandInServer:
        """Start a target and put it on the VM list."""
        zone = self.shape.zones[number % len(self.shape.zones)]
        server = self.serve(app)
        address = server.address
        self.targets[name] = Target(service=service, zone=zone, address=address)
        self.platform.put_vm(VmMessage(name, VmKind.TARGET, zone, address, service=service))
        return server

    def first_configuration(self) -> Configuration:
        """Return configuration 1."""
        shape = self.shape
        return Configuration(
            zones={zone: Zone(region=shape.region) for zone in shape.zones},
            services={
                shape.engine_service: Service(kind=ServiceKind.ENGINE),
                shape.plain_service: Service(kind=ServiceKind.PLAIN, idempotent=False),
                shape.scorer_service: Service(kind=ServiceKind.SCORER),
            },
            targets=self.targets,
            teams={
                "callers": Team(roles=(RoleName.CALLER,)),
                "trainers": Team(roles=(RoleName.TRAINER,)),
                "operators": Team(roles=(RoleName.OPERATOR,)),
            },
            deployments={
                shape.deployment: Deployment(
                    service=shape.engine_service,
                    team="trainers",
                    scorer=shape.scorer_service,
                    staleness_bound=shape.staleness_bound,
                    idle_weight=shape.idle_weight,
                )
            },
        )

    def write_first_configuration(self) -> None:
        """Put configuration 1 straight into the table, as an installation does."""
        body = self.first_configuration()
        record = initial_configuration(body, "installation", "first configuration")
        for write in installation_writes(record):
            self.platform.rows[write.key] = StoredRow(write.value or b"", 1)
        audit = AuditRow(
            at_s=0.0,
            author="installation",
            action="configuration.patch",
            reason="first configuration",
            result="accepted",
            version=1,
        )
        self.platform.rows[audit_key(0.0, "first")] = StoredRow(msgspec.json.encode(audit), 1)

    async def start_node(self, vm_id: str, zone: str) -> Node:
        """Start an entry VM's node and put it on the VM list."""
        http, peer = f"{LOOPBACK}:{free_port()}", f"{LOOPBACK}:{free_port()}"
        settings = Settings(
            vm_id=vm_id,
            availability_zone=zone,
            http_address=http,
            peer_address=peer,
            platform=PlatformSettings(
                table_url=self.platform_url,
                objects_url=self.platform_url,
                vm_list_url=self.platform_url,
                weights_url=self.platform_url,
            ),
            security=SecuritySettings(allow_anonymous=True),
            drain_timeout_s=10.0,
            advertise_grace_s=0.5,
        )
        node = await compose(settings)
        scope = anyio.CancelScope()
        self.nodes[vm_id] = RunningNode(node, scope)
        self.platform.put_vm(VmMessage(vm_id, VmKind.ENTRY, zone, http, peer))
        await self.group.start(self.run_node, vm_id)
        return node

    async def run_node(
        self, vm_id: str, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Run one node until it is drained or killed."""
        running = self.nodes[vm_id]
        with running.scope:
            await running.node.run(task_status=task_status)
        self.nodes.pop(vm_id, None)
        running.ended.set()

    def kill_node(self, vm_id: str) -> None:
        """End a node at once, without any farewell."""
        self.nodes[vm_id].scope.cancel()

    def node_url(self, position: int) -> str:
        """Return the URL of one of the nodes that the platform's balancer sends to."""
        running = [
            running for running in self.nodes.values() if not self.left_balancer(running.node)
        ]
        node = running[position % len(running)].node
        return f"http://{node.settings.http_address}"

    def left_balancer(self, node: Node) -> bool:
        """Return whether the balancer has learned, with its lag, that a node leaves."""
        if not node.drain.is_set():
            return False
        now_s = anyio.current_time()
        since_s = self.leaving_since_s.setdefault(node.settings.vm_id, now_s)
        return now_s - since_s >= BALANCER_LAG_S

    async def wait_configured(self, version: int, timeout_s: float = 10.0) -> None:
        """Wait until all running nodes have the configuration in force.

        Raises:
            TimeoutError: They did not in time.
        """
        with anyio.fail_after(timeout_s):
            for running in list(self.nodes.values()):
                keeper = running.node.keeper
                while keeper.current.version < version:
                    await keeper.changed.wait()
