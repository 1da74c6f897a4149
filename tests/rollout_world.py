"""Simulated VMs that run steps over in-memory stores, in virtual time, with injectable faults."""

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
STALENESS_BOUND = 1
GROUPS, SIZE = 6, 4
SPEC = StepSpec(
    step_id=STEP,
    deployment=DEPLOYMENT,
    groups=tuple(PromptGroup(number, f"prompt {number}", SIZE) for number in range(GROUPS)),
    max_tokens=400,
    temperature=1.0,
    trainer_version=WeightVersion(5),
    staleness_bound=STALENESS_BOUND,
    deadline_s=300.0,
    scorer="scorer",
)


def run_in_virtual_time(test: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async test in virtual time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    return anyio.run(test, *args, backend="trio", backend_options={"clock": clock})


@dataclass
class VmState:
    """One VM and its injected faults.

    Attributes:
        vm_id: Identifier of the VM.
        paused_until_s: Time until which the process is paused, on the virtual clock, in seconds.
        cut_from_platform: Whether the VM's table and object store do not answer.
        cut_from_peers: Whether the VM and its peers cannot reach each other.
        rollouts: Step operations of the VM.
        scope: Cancel scope of the VM's tasks.
    """

    vm_id: VmId
    paused_until_s: float = 0.0
    cut_from_platform: bool = False
    cut_from_peers: bool = False
    rollouts: Any = None
    scope: Any = None

    async def wait_while_paused(self) -> None:
        """Wait until the process is no longer paused."""
        await anyio.sleep_until(self.paused_until_s)


class VmPlatformPort:
    """Proxy of a store that applies the faults of one VM to each call."""

    def __init__(self, state: VmState, inner: Any) -> None:
        self.state = state
        self.inner = inner

    def __getattr__(self, name: str) -> Any:
        method = getattr(self.inner, name)

        async def call(*args: Any) -> Any:
            await self.state.wait_while_paused()
            down, self.inner.down = self.inner.down, self.inner.down or self.state.cut_from_platform
            try:
                return await method(*args)
            finally:
                self.inner.down = down
                await self.state.wait_while_paused()

        return call


@dataclass
class World:
    """Simulated VMs, engines, a scorer and stores, with injected faults."""

    group: anyio.abc.TaskGroup
    seed: int
    vms: dict[VmId, VmState] = field(default_factory=dict)
    table: MemoryTable = field(default_factory=MemoryTable)
    objects: MemoryObjects = field(default_factory=MemoryObjects)
    metrics: MemoryMetrics = field(default_factory=MemoryMetrics)
    engine_version: int = 5
    engines_mix_versions: bool = False
    engines_crash: bool = False
    scorer_down: bool = False
    generated_tokens: int = 0
    deployment: Deployment = field(
        default_factory=lambda: Deployment(service="model", team="trainers", idle_weight=0.8)
    )

    def __post_init__(self) -> None:
        self.generator = random.Random(self.seed)

    def configuration(self) -> Any:
        services = {
            "model": Service(kind=ServiceKind.ENGINE),
            "scorer": Service(kind=ServiceKind.SCORER),
        }
        body = Configuration(services=services, deployments={DEPLOYMENT: self.deployment})
        return SimpleNamespace(body=body)

    async def start(self, count: int = 3) -> None:
        for number in range(count):
            state = VmState(VmId(f"vm-{number}"))
            self.vms[state.vm_id] = state
        for state in self.vms.values():
            state.rollouts = self.build_rollouts(state)
            self.group.start_soon(self.run_vm, state)

    async def run_vm(self, state: VmState) -> None:
        with anyio.CancelScope() as state.scope:
            await state.rollouts.run()

    def build_rollouts(self, state: VmState) -> Rollouts:
        clock, randomness = SystemClock(), SeededRandomness(self.seed + int(state.vm_id[-1]))
        limiter = FairShareLimiter(self.metrics, slots=12)
        connections: Any = SimpleNamespace(scorer=lambda target: SimpleNamespace(score=self.score))
        router: Any = SimpleNamespace(choose=lambda query: "scorer-0")
        generate: Any = lambda *args: self.generate(state, *args)  # noqa: E731
        sample_generator = SampleGenerator(
            generate,
            router,
            connections,
            limiter,
            LengthEstimator(),
            clock,
            randomness.generator("samples"),
            self.metrics,
        )
        table: Any = VmPlatformPort(state, self.table)
        objects: Any = VmPlatformPort(state, self.objects)
        store = StepStore(state.vm_id, table, objects, randomness)
        return Rollouts(
            state.vm_id,
            ConfigurationSource(self),  # type: ignore[arg-type]
            self.link(state),
            OwnerDependencies(sample_generator, store, limiter, clock, self.metrics),
            randomness.generator("rollouts"),
        )

    def link(self, state: VmState) -> Any:
        members = {
            vm_id: Member(vm_id, ZoneName("z"), vm_id, 1, MemberStatus.ALIVE)
            for vm_id in self.vms
            if vm_id != state.vm_id
        }
        membership = SimpleNamespace(
            members=members, alive_peers=lambda zone_only=False: list(members.values())
        )

        async def forward(address: str, kind: str, payload: bytes, timeout_s: float) -> bytes:
            await state.wait_while_paused()
            peer = self.vms.get(VmId(address))
            if peer is None or peer.cut_from_peers or state.cut_from_peers:
                await anyio.sleep(timeout_s)
                raise AttemptFailedError("cut", step=kind, peer=address, perhaps_sent=True)
            with anyio.move_on_after(timeout_s):
                await peer.wait_while_paused()
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
        self, state: VmState, request: GenerationRequest, *_: object
    ) -> AsyncGenerator[TokenFrame, None]:
        """Generate a sample; each token's text is its weight version, or 0 for mixed versions."""
        length = random.Random(request.seed).choice((8, 12, 20, 40, 120))
        offset = request.resume_tokens
        while True:
            await anyio.sleep(FRAME_S)
            await state.wait_while_paused()
            if self.engines_crash:
                raise AttemptFailedError("crash", step="t", peer="engine", perhaps_sent=True)
            version = 0 if self.engines_mix_versions else self.engine_version
            end = min(max(length, offset + 1), offset + FRAME_TOKENS)
            self.generated_tokens += end - offset
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

    def current_owner(self) -> VmState | None:
        """Return the VM that owns the step with the highest epoch."""
        owners = [
            (vm.rollouts.owned[key].lease.head.epoch, vm_id)
            for vm_id, vm in self.vms.items()
            for key in vm.rollouts.owned
            if not vm.rollouts.owned[key].fenced
        ]
        return self.vms[max(owners)[1]] if owners else None

    def kill(self, state: VmState) -> None:
        """Kill a VM without a graceful shutdown."""
        state.cut_from_platform = state.cut_from_peers = True
        state.scope.cancel()
        del self.vms[state.vm_id]


@dataclass
class ConfigurationSource:
    """Stand-in for the configuration keeper, with the simulation's configuration."""

    world: World

    @property
    def current(self) -> Any:
        return self.world.configuration()


@dataclass
class Trainer:
    """Trainer that reports and checks the samples it has; its state can be saved and restored."""

    world: World
    version: int = 5
    lose_answers: bool = False
    cursor: int = 0
    epoch: int = 0
    have: int = 0
    samples: dict[SampleKey, Sample] = field(default_factory=dict)
    call_count: int = 0
    is_complete: bool = False

    async def open_step(self) -> None:
        while True:
            try:
                await self.next_vm().rollouts.open_step(SPEC)
            except BalsamcleatError:
                await anyio.sleep(0.5)
            else:
                return

    def next_vm(self) -> VmState:
        self.call_count += 1
        vms = list(self.world.vms.values())
        return vms[self.call_count % len(vms)]

    async def run(self) -> None:
        while not self.is_complete:
            await self.pull_once()

    async def pull_once(self) -> None:
        vm, ack = self.next_vm(), self.ack()
        outcome = None
        with anyio.move_on_after(4.0):
            await vm.wait_while_paused()
            try:
                outcome = await vm.rollouts.pull(DEPLOYMENT, STEP, ack, 2.0)
            except BalsamcleatError:
                await anyio.sleep(0.2)
        if self.lose_answers and self.world.generator.random() < 0.5:
            return
        if isinstance(outcome, BatchReady) and ack == self.ack():
            self.accept_batch(outcome)
        if isinstance(outcome, StepGone):
            assert outcome.reason == "whole", outcome
            self.is_complete = len(self.samples) == GROUPS * SIZE

    def ack(self) -> TrainerAck:
        return TrainerAck(self.cursor, self.epoch, WeightVersion(self.version), self.have)

    def accept_batch(self, ready: BatchReady) -> None:
        batch = ready.batch
        assert batch.number == self.cursor + 1
        assert batch.judged_at >= self.version
        for sample in batch.samples:
            assert sample.key not in self.samples, "a sample was delivered twice"
            assert self.version - sample.oldest_version() <= STALENESS_BOUND, (
                "a stale sample was delivered"
            )
            generated_versions = [int(token) for token in sample.text.split()]
            reported_versions = [
                span.version for span in sample.spans for _ in range(span.start, span.end)
            ]
            assert generated_versions == reported_versions, (
                "a sample reports other versions than generated it"
            )
            assert sample.score == 1.0
            self.samples[sample.key] = sample
            self.have |= 1 << sample.key.group * SIZE + sample.key.index
        self.cursor, self.epoch = batch.number, max(self.epoch, batch.epoch)

    def snapshot(self) -> "Trainer":
        return replace(self, samples=dict(self.samples))

    def restore(self, saved: "Trainer") -> None:
        self.cursor, self.epoch, self.have = saved.cursor, saved.epoch, saved.have
        self.samples = dict(saved.samples)
