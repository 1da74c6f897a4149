"""A few nodes' rollouts over one in-memory platform, in virtual time, with faults to switch on."""

import random
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field, replace
from types import SimpleNamespace
from typing import Any

import anyio
import anyio.abc
import trio.testing

from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.configuration import Configuration, Deployment, Service, ServiceKind
from balsamcleat.decisions.stragglers import LengthEstimator
from balsamcleat.errors import AttemptFailedError, BalsamcleatError
from balsamcleat.model import (
    DeploymentName,
    GenerationRequest,
    Member,
    MemberStatus,
    PromptGroup,
    Sample,
    SampleKey,
    StepId,
    StepSpec,
    TokenFrame,
    TrainerAck,
    VmId,
    WeightVersion,
    ZoneName,
)
from balsamcleat.ports import BatchReady, StepGone
from balsamcleat.standins.memory_store import MemoryObjects, MemoryTable
from balsamcleat.tasks.fair_share_limiter import FairShareLimiter
from balsamcleat.tasks.rollouts import Rollouts
from balsamcleat.tasks.sample_generator import SampleGenerator
from balsamcleat.tasks.step_owner import OwnerDependencies
from balsamcleat.tasks.step_store import StepStore

DEPLOYMENT, STEP = DeploymentName("rollouts"), StepId("step-1")
FRAME_S = 0.1
FRAME_TOKENS = 4
BOUND = 1
GROUPS, SIZE = 6, 4
SPEC = StepSpec(
    step_id=STEP,
    deployment=DEPLOYMENT,
    groups=tuple(PromptGroup(number, f"prompt {number}", SIZE) for number in range(GROUPS)),
    max_tokens=400,
    temperature=1.0,
    trainer_version=WeightVersion(5),
    staleness_bound=BOUND,
    deadline_s=300.0,
    scorer="scorer",
)


def run(test: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run a test in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(test, *args, backend="trio", backend_options={"clock": clock})


@dataclass
class NodeState:
    """One node and its faults.

    Attributes:
        frozen_until_s: The process makes no step before this time.
        cut_from_platform: Its table and objects do not answer.
        cut_from_peers: It reaches no peer and no peer reaches it.
    """

    vm_id: VmId
    frozen_until_s: float = 0.0
    cut_from_platform: bool = False
    cut_from_peers: bool = False
    rollouts: Any = None
    scope: Any = None

    async def thaw(self) -> None:
        """Wait as long as the process is frozen."""
        await anyio.sleep_until(self.frozen_until_s)


class NodePort:
    """The platform as one node reaches it."""

    def __init__(self, state: NodeState, inner: Any) -> None:
        self.state = state
        self.inner = inner

    def __getattr__(self, name: str) -> Any:
        method = getattr(self.inner, name)

        async def call(*args: Any) -> Any:
            await self.state.thaw()
            down, self.inner.down = self.inner.down, self.inner.down or self.state.cut_from_platform
            try:
                return await method(*args)
            finally:
                self.inner.down = down
                await self.state.thaw()

        return call


@dataclass
class World:
    """Nodes, engines, a scorer and a trainer's view of them."""

    group: anyio.abc.TaskGroup
    seed: int
    nodes: dict[VmId, NodeState] = field(default_factory=dict)
    table: MemoryTable = field(default_factory=MemoryTable)
    objects: MemoryObjects = field(default_factory=MemoryObjects)
    metrics: MemoryMetrics = field(default_factory=MemoryMetrics)
    engine_version: int = 5
    engines_mixed: bool = False
    engines_crash: bool = False
    scorer_down: bool = False
    tokens_made: int = 0
    deployment: Deployment = field(
        default_factory=lambda: Deployment(service="model", team="trainers", idle_weight=0.8)
    )

    def __post_init__(self) -> None:
        self.draw = random.Random(self.seed)

    def configuration(self) -> Any:
        services = {
            "model": Service(kind=ServiceKind.ENGINE),
            "scorer": Service(kind=ServiceKind.SCORER),
        }
        body = Configuration(services=services, deployments={DEPLOYMENT: self.deployment})
        return SimpleNamespace(body=body)

    async def start(self, count: int = 3) -> None:
        for number in range(count):
            state = NodeState(VmId(f"vm-{number}"))
            self.nodes[state.vm_id] = state
        for state in self.nodes.values():
            state.rollouts = self.build(state)
            self.group.start_soon(self.run_node, state)

    async def run_node(self, state: NodeState) -> None:
        with anyio.CancelScope() as state.scope:
            await state.rollouts.run()

    def build(self, state: NodeState) -> Rollouts:
        clock, randomness = SystemClock(), SeededRandomness(self.seed + int(state.vm_id[-1]))
        gate = FairShareLimiter(self.metrics, slots=12)
        connections: Any = SimpleNamespace(scorer=lambda target: SimpleNamespace(score=self.score))
        router: Any = SimpleNamespace(choose=lambda query: "scorer-0")
        generate: Any = lambda *args: self.generate(state, *args)  # noqa: E731
        maker = SampleGenerator(
            generate,
            router,
            connections,
            gate,
            LengthEstimator(),
            clock,
            randomness.generator("samples"),
            self.metrics,
        )
        table: Any = NodePort(state, self.table)
        objects: Any = NodePort(state, self.objects)
        store = StepStore(state.vm_id, table, objects, randomness)
        return Rollouts(
            state.vm_id,
            Keeper(self),  # type: ignore[arg-type]
            self.link(state),
            OwnerDependencies(maker, store, gate, clock, self.metrics),
            randomness.generator("rollouts"),
        )

    def link(self, state: NodeState) -> Any:
        members = {
            vm_id: Member(vm_id, ZoneName("z"), vm_id, 1, MemberStatus.ALIVE)
            for vm_id in self.nodes
            if vm_id != state.vm_id
        }
        membership = SimpleNamespace(
            members=members, alive_peers=lambda zone_only=False: list(members.values())
        )

        async def forward(address: str, kind: str, payload: bytes, timeout_s: float) -> bytes:
            await state.thaw()
            peer = self.nodes.get(VmId(address))
            if peer is None or peer.cut_from_peers or state.cut_from_peers:
                await anyio.sleep(timeout_s)
                raise AttemptFailedError("cut", step=kind, peer=address, perhaps_sent=True)
            with anyio.move_on_after(timeout_s):
                await peer.thaw()
                try:
                    answer: bytes = await peer.rollouts.link.request_handlers[kind](payload)
                except BalsamcleatError:
                    answer = b""
                else:
                    return answer
            raise AttemptFailedError("no answer", step=kind, peer=address, perhaps_sent=True)

        return SimpleNamespace(
            request_handlers={}, membership=membership, forward=forward, is_leaving=False, zone="z"
        )

    async def generate(
        self, state: NodeState, request: GenerationRequest, *_: object
    ) -> AsyncGenerator[TokenFrame, None]:
        """Make a sample; each token's text is the version that made it, or 0 when mixed."""
        length = random.Random(request.seed).choice((8, 12, 20, 40, 120))
        offset = request.resume_tokens
        while True:
            await anyio.sleep(FRAME_S)
            await state.thaw()
            if self.engines_crash:
                raise AttemptFailedError("crash", step="t", peer="engine", perhaps_sent=True)
            version = 0 if self.engines_mixed else self.engine_version
            end = min(max(length, offset + 1), offset + FRAME_TOKENS)
            self.tokens_made += end - offset
            reason = "stop" if end >= length else None
            text = f"{version} " * (end - offset)
            yield TokenFrame(offset, end - offset, text, WeightVersion(version), reason)
            offset = end
            if reason:
                return

    async def score(self, prompt: str, sample: Sample, timeout_s: float) -> float:
        await anyio.sleep(0.01)
        if self.scorer_down:
            raise AttemptFailedError("down", step="score", peer="scorer", perhaps_sent=True)
        return 1.0

    def owner(self) -> NodeState | None:
        """Return the node that owns the step with the highest epoch."""
        owners = [
            (node.rollouts.owned[key].lease.head.epoch, vm_id)
            for vm_id, node in self.nodes.items()
            for key in node.rollouts.owned
            if not node.rollouts.owned[key].fenced
        ]
        return self.nodes[max(owners)[1]] if owners else None

    def kill(self, state: NodeState) -> None:
        """End a node without any farewell."""
        state.cut_from_platform = state.cut_from_peers = True
        state.scope.cancel()
        del self.nodes[state.vm_id]


@dataclass
class Keeper:
    """The configuration in force in a world."""

    world: World

    @property
    def current(self) -> Any:
        return self.world.configuration()


@dataclass
class Trainer:
    """A trainer that says what it has; its state can be saved and come back."""

    world: World
    version: int = 5
    lose_answers: bool = False
    cursor: int = 0
    epoch: int = 0
    have: int = 0
    samples: dict[SampleKey, Sample] = field(default_factory=dict)
    turn: int = 0
    whole: bool = False

    async def open(self) -> None:
        while True:
            try:
                await self.node().rollouts.open_step(SPEC)
            except BalsamcleatError:
                await anyio.sleep(0.5)
            else:
                return

    def node(self) -> NodeState:
        self.turn += 1
        nodes = list(self.world.nodes.values())
        return nodes[self.turn % len(nodes)]

    async def run(self) -> None:
        while not self.whole:
            await self.pull_once()

    async def pull_once(self) -> None:
        node, ack = self.node(), self.ack()
        outcome = None
        with anyio.move_on_after(4.0):
            await node.thaw()
            try:
                outcome = await node.rollouts.pull(DEPLOYMENT, STEP, ack, 2.0)
            except BalsamcleatError:
                await anyio.sleep(0.2)
        if self.lose_answers and self.world.draw.random() < 0.5:
            return
        if isinstance(outcome, BatchReady) and ack == self.ack():
            self.take(outcome)
        if isinstance(outcome, StepGone):
            assert outcome.reason == "whole", outcome
            self.whole = len(self.samples) == GROUPS * SIZE

    def ack(self) -> TrainerAck:
        return TrainerAck(self.cursor, self.epoch, WeightVersion(self.version), self.have)

    def take(self, ready: BatchReady) -> None:
        batch = ready.batch
        assert batch.number == self.cursor + 1
        assert batch.judged_at >= self.version
        for sample in batch.samples:
            assert sample.key not in self.samples, "a sample came twice"
            assert self.version - sample.oldest_version() <= BOUND, "a stale sample came"
            made = [int(token) for token in sample.text.split()]
            told = [span.version for span in sample.spans for _ in range(span.start, span.end)]
            assert made == told, "a sample names other versions than made it"
            assert sample.score == 1.0
            self.samples[sample.key] = sample
            self.have |= 1 << sample.key.group * SIZE + sample.key.index
        self.cursor, self.epoch = batch.number, max(self.epoch, batch.epoch)

    def saved(self) -> "Trainer":
        return replace(self, samples=dict(self.samples))

    def come_back(self, saved: "Trainer") -> None:
        self.cursor, self.epoch, self.have = saved.cursor, saved.epoch, saved.have
        self.samples = dict(saved.samples)
