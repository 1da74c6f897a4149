"""The demonstration's course of events."""

from collections.abc import Callable

import anyio
import httpx

from balsamcleat.demo.callers import Callers
from balsamcleat.demo.operator import Operator
from balsamcleat.demo.pace import FULL_PACE, Pace
from balsamcleat.demo.report import DemoReport, Promise, StepLine
from balsamcleat.demo.shutdown import drain_node
from balsamcleat.demo.watch import ConfigurationWatch
from balsamcleat.standins.cluster import ClusterShape, LocalCluster
from balsamcleat.standins.trainer import ReceivedStep, TrainerStandIn

__all__ = ["run_demo"]


TRAIN_S = 0.05
# A step that takes longer is given up, so that the demonstration always ends and says so.
STEP_WITHIN_S = 25.0


class Scenario:
    """Puts a cluster through its failures.

    Args:
        cluster: The running system.
        client: The HTTP client of callers, trainer and operator.
        report: Where checks are counted.
        pace: Sizes and durations.
    """

    def __init__(
        self, cluster: LocalCluster, client: httpx.AsyncClient, report: DemoReport, pace: Pace
    ) -> None:
        self.pace = pace
        self.cluster = cluster
        self.client = client
        self.report = report
        self.callers = Callers(cluster, report, client, pace.caller_pause_s)
        self.watch = ConfigurationWatch(cluster, report)
        self.operator = Operator(cluster, report, client, self.watch, pace)
        urls = [cluster.node_url(number) for number in range(len(cluster.nodes))]
        self.trainer = TrainerStandIn(cluster.shape.deployment, urls, client)
        self.trainer.train_s = TRAIN_S
        self.trainer.max_tokens = pace.max_tokens
        self.trainer.staleness_bound = cluster.shape.staleness_bound

    async def run(self) -> None:
        """Run everything, with callers calling all the while."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.callers.run)
            group.start_soon(self.watch.run)
            await self.step_through_crash_and_swap()
            await self.operator.lower_body_limit()
            await self.targets_leave()
            await self.step_through_outage()
            await drain_node(self.cluster, self.report, self.callers)
            await self.step_through_node_loss()
            group.cancel_scope.cancel()
        self.callers.settle()

    async def step_through_crash_and_swap(self) -> None:
        """Deliver a step while an engine crashes and the trainer goes on by two versions."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.crash_engine)
            group.start_soon(self.bump_version)
            await self.step("step-1")

    async def crash_engine(self) -> None:
        """Crash an engine a little into the step; it comes back with its first weights."""
        name, engine = next(iter(self.cluster.engines.items()))
        await anyio.sleep(self.pace.failure_after_s)
        engine.crash()
        self.report.say(f"{name} crashed: its connections are cut")
        await anyio.sleep(self.pace.restart_after_s)
        engine.restart()
        self.report.say(f"{name} is back with weight version {engine.weight_version}")

    async def bump_version(self) -> None:
        """Report new weight versions in the middle of the step."""
        for _ in range(2):
            await anyio.sleep(self.pace.bump_after_s)
            version = self.trainer.version + 1
            await self.trainer.report_version(version)
            self.report.say(f"the trainer has weight version {version}")

    async def step(self, step_id: str) -> None:
        """Run one step and check what the trainer got."""
        prompts = [
            f"{step_id} draft {number} " + "context " * 20 for number in range(self.pace.groups)
        ]
        self.report.say(
            f"{step_id} opened: {self.pace.groups} groups of {self.pace.group_size} samples"
        )
        received: ReceivedStep | None = None
        with anyio.move_on_after(STEP_WITHIN_S):
            received = await self.trainer.run_step(step_id, prompts, self.pace.group_size)
        if received is None:
            case = f"{step_id} is not whole after {STEP_WITHIN_S} s"
            self.report.check(Promise.EXACTLY_ONCE, False, case)
            return
        self.check_step(received)
        whole_s = received.whole_at_s - received.opened_at_s
        line = StepLine(
            step_id, len(received.samples), round(whole_s, 2), round(received.idle_s, 2)
        )
        self.report.steps.append(line)
        self.report.say(f"{step_id} is whole: {line.samples} samples after {whole_s:.1f} s")

    def check_step(self, received: ReceivedStep) -> None:
        """Check every sample of a step."""
        step_id = received.spec.step_id
        for key in received.expected():
            kept = key in received.samples and key not in received.doubled
            self.report.check(Promise.EXACTLY_ONCE, kept, f"{step_id} {key}")
        for sample in received.samples.values():
            prompt = received.spec.groups[sample.key.group].prompt
            kept = self.cluster.ledger.attributed_rightly(prompt, sample)
            self.report.check(Promise.ATTRIBUTION, kept, f"{step_id} {sample.key} {sample.spans}")
        for lag in received.promised_staleness:
            kept = lag <= received.spec.staleness_bound
            self.report.check(Promise.STALENESS, kept, f"{step_id}: {lag} versions behind")
        self.report.staleness.update(received.staleness)

    async def refused_patches(self) -> None:
        """Submit patches that must be refused, then let two operators race."""
        version = self.operator.version()
        await self.operator.refuse(version - 1, "/limits/max_in_flight", 10, 412)
        await self.operator.refuse(version, "/targets/lost/zone", "nowhere", 422)
        await self.operator.race()

    async def targets_leave(self) -> None:
        """Let the platform take a target away while operators work, and then drain another."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.operator.leaving_target)
            await self.refused_patches()
            await self.refusing_service()
            await self.operator.drain_target()

    async def refusing_service(self) -> None:
        """Let every replica of the plain service refuse: callers must be told "not run"."""
        for service in self.cluster.services.values():
            service.flaws.refuse = True
        self.report.say(
            f"every {self.cluster.shape.plain_service} refuses for {self.pace.refusal_s} s"
        )
        await anyio.sleep(self.pace.refusal_s)
        for service in self.cluster.services.values():
            service.flaws.refuse = False

    async def step_through_outage(self) -> None:
        """Deliver a step while the platform is down for some seconds."""

        async def outage() -> None:
            await anyio.sleep(self.pace.bump_after_s)
            self.cluster.platform.flaws.down = True
            self.report.say(f"the platform's services are down for {self.pace.outage_s} s")
            before = self.operator.version()
            response = await self.operator.patch(before, "/limits/max_in_flight", 1000)
            kept = response.status_code == 503 and self.operator.version() == before
            case = f"during the outage: answered {response.status_code}"
            self.report.check(Promise.NUMBERED, kept, case)
            await anyio.sleep(self.pace.outage_s)
            self.cluster.platform.flaws.down = False
            self.report.say("the platform's services are back")

        async with anyio.create_task_group() as group:
            group.start_soon(outage)
            await self.step("step-2")

    async def step_through_node_loss(self) -> None:
        """Deliver a step while the node that owns it is killed."""

        async def lose() -> None:
            await anyio.sleep(self.pace.failure_after_s)
            vm_id = self.owner_of("step-3")
            running = self.cluster.nodes[vm_id]
            self.callers.killed.add(f"http://{running.node.settings.http_address}")
            self.cluster.kill_node(vm_id)
            self.report.say(f"{vm_id}, which owns step-3, is killed without farewell")

        async with anyio.create_task_group() as group:
            group.start_soon(lose)
            await self.step("step-3")

    def owner_of(self, step_id: str) -> str:
        """Return the node that owns a step, or any where none does."""
        for vm_id, running in self.cluster.nodes.items():
            if any(step_id in key for key in running.node.rollouts.owned):
                return vm_id
        return list(self.cluster.nodes)[-1]


async def run_demo(
    shape: ClusterShape,
    progress: Callable[[str], None] = lambda line: None,
    pace: Pace = FULL_PACE,
) -> DemoReport:
    """Run the demonstration and return its report.

    Args:
        shape: What to start.
        progress: Takes a line whenever something happens.
        pace: Sizes and durations.
    """
    report = DemoReport(progress, started_at_s=anyio.current_time())
    async with (
        anyio.create_task_group() as group,
        httpx.AsyncClient(timeout=30.0, trust_env=False) as client,
    ):
        cluster = LocalCluster(shape, group)
        await cluster.start()
        await cluster.wait_configured(1)
        for engine in cluster.engines.values():
            engine.token_interval_s = pace.token_interval_s
        report.say(
            f"{len(cluster.nodes)} nodes in {len(shape.zones)} availability zones, "
            f"{shape.engines} {shape.engine_service}, {shape.plain_targets} {shape.plain_service}"
        )
        await Scenario(cluster, client, report, pace).run()
        group.cancel_scope.cancel()
    report.seconds = anyio.current_time() - report.started_at_s
    return report
