"""Probes of rollouts: a whole step in its machine, and a round of weight orders."""

from balsamcleat.bench.probes.base import CpuMeter, MemoryMeter, Probe, Quantity
from balsamcleat.decisions.step import DeliverBatch, StepStateMachine
from balsamcleat.decisions.waves import DesiredWeights, ObservedEngine, WaveLimits, WaveScheduler
from balsamcleat.model import (
    DeploymentName,
    EngineState,
    PromptGroup,
    Role,
    Sample,
    SampleKey,
    StepId,
    StepSpec,
    TargetId,
    TrainerAck,
    VersionSpan,
    WeightVersion,
)

__all__ = ["StepProbe", "WaveProbe"]

GROUP_SIZE = 8
SAMPLE_TOKENS = 500
VERSION = WeightVersion(3)


def spec_of(samples: int) -> StepSpec:
    """Return a step of so many samples."""
    groups = tuple(
        PromptGroup(number, f"prompt {number} " * 16, GROUP_SIZE)
        for number in range(samples // GROUP_SIZE)
    )
    return StepSpec(
        step_id=StepId("step"),
        deployment=DeploymentName("deployment"),
        groups=groups,
        max_tokens=SAMPLE_TOKENS,
        temperature=1.0,
        trainer_version=VERSION,
        staleness_bound=1,
        deadline_s=360.0,
    )


def sample_of(key: SampleKey) -> Sample:
    """Return a finished sample of the usual length."""
    span = VersionSpan(0, SAMPLE_TOKENS, VERSION)
    return Sample(key, f"{key.group}-{key.index} " * SAMPLE_TOKENS, SAMPLE_TOKENS, (span,), "stop")


class StepProbe(Probe):
    """What a whole step costs its owner's machine, by the samples in it."""

    name = "sample of a step"
    unit = "sample"
    per = "step"
    sizes = (1_024, 4_096, 8_192)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Add all samples and pull all batches."""
        with MemoryMeter() as memory:
            machine = StepStateMachine(spec_of(size), epoch=1)
            for key in machine.sample_keys:
                machine.add(sample_of(key))
        with CpuMeter() as cpu:
            again = StepStateMachine(spec_of(size), epoch=1)
            for key in again.sample_keys:
                again.add(sample_of(key))
            self.pull_all(again)
        return {Quantity.CPU: cpu.seconds, Quantity.MEMORY: memory.bytes}

    def pull_all(self, machine: StepStateMachine) -> None:
        """Pull as a trainer that says what it has."""
        cursor = have = 0
        while True:
            outcome = machine.pull(TrainerAck(cursor, 1, VERSION, have))
            if not isinstance(outcome, DeliverBatch):
                return
            machine.recorded_numbers.add(outcome.batch.number)
            cursor = outcome.batch.number
            for sample in outcome.batch.samples:
                have |= machine.bit_by_key[sample.key]


class WaveProbe(Probe):
    """What one decision on weight orders costs, by the engines of its zone."""

    name = "weight order"
    unit = "engine"
    per = "decision"
    sizes = (50, 370, 1_000)

    def measure(self, size: int) -> dict[Quantity, float]:
        """Decide whom to order."""
        state = EngineState(VERSION, None, (), Role.MIXED, 1, True)
        views = [ObservedEngine(TargetId(f"engine-{number}"), state) for number in range(size)]
        due = DesiredWeights(WeightVersion(VERSION + 1), ())
        rounds = 50
        with CpuMeter() as cpu:
            for _ in range(rounds):
                WaveScheduler().next_engines(views, due, WaveLimits(max_fetches=size), 1.0)
        return {Quantity.CPU: cpu.seconds / rounds}
