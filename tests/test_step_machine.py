"""Random sequences of events in the life of a step, with invariants checked after each event."""

import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamcleat.decisions.step import (
    AddOutcome,
    DeliverBatch,
    Fenced,
    StepComplete,
    StepStateMachine,
)
from balsamcleat.model import (
    Batch,
    DeploymentName,
    PromptGroup,
    Sample,
    SampleKey,
    StepId,
    StepSpec,
    TrainerAck,
    VersionSpan,
    WeightVersion,
)

GROUPS, SIZE, STALENESS_BOUND = 3, 3, 1
SPEC = StepSpec(
    step_id=StepId("s"),
    deployment=DeploymentName("d"),
    groups=tuple(PromptGroup(number, f"p{number}", SIZE) for number in range(GROUPS)),
    max_tokens=8,
    temperature=1.0,
    trainer_version=WeightVersion(5),
    staleness_bound=STALENESS_BOUND,
    deadline_s=60.0,
)


def make_sample(group: int, index: int, version: int, serial: int = 0) -> Sample:
    span = VersionSpan(0, 4, WeightVersion(version))
    return Sample(SampleKey(group, index), f"text {serial}", 4, (span,), "stop")


@dataclass
class Trainer:
    """Trainer that checks the batches it receives; its state can be saved and restored."""

    reports_samples: bool
    version: int = 5
    cursor: int = 0
    epoch: int = 0
    have: int = 0
    samples: dict[SampleKey, Sample] = field(default_factory=dict)

    def ack(self) -> TrainerAck:
        have = self.have if self.reports_samples else None
        return TrainerAck(self.cursor, self.epoch, WeightVersion(self.version), have)

    def accept_batch(self, batch: Batch, bits: dict[SampleKey, int]) -> None:
        """Accept a batch if it has the next number and was checked at the trainer's version."""
        if batch.number != self.cursor + 1 or batch.judged_at < self.version:
            return
        assert not self.samples.keys() & batch.sample_keys(), "a sample was delivered twice"
        for item in batch.samples:
            assert self.version - item.oldest_version() <= STALENESS_BOUND, (
                "a stale sample was delivered"
            )
            self.samples[item.key] = item
            self.have |= bits[item.key]
        self.cursor, self.epoch = batch.number, max(batch.epoch, self.epoch)


class StepLifecycle(RuleBasedStateMachine):
    """Random events: owner changes, lost responses, new versions, restored trainers, outages."""

    trainer_reports_samples = True

    def __init__(self) -> None:
        super().__init__()
        self.trainer = Trainer(self.trainer_reports_samples)
        self.owners = [StepStateMachine(SPEC, 2, epoch=1)]
        # Contents of the stores: recorded batches by number, and spooled samples.
        self.recorded_batches: dict[int, Batch] = {}
        self.spool: list[Sample] = []
        self.table_up = True
        self.serial = 0
        self.delayed_batches: list[Batch] = []
        self.saved_trainer = replace(self.trainer, samples={})

    def current_owner(self) -> StepStateMachine:
        return self.owners[-1]

    @rule(owner=st.integers(0, 9), group=st.integers(0, GROUPS - 1), index=st.integers(0, SIZE))
    def finish_sample(self, owner: int, group: int, index: int) -> None:
        machine = self.owners[owner % len(self.owners)]
        self.serial += 1
        age = self.serial % 3
        finished = make_sample(group, index, max(1, self.trainer.version - age), self.serial)
        if machine.add(finished) is AddOutcome.ACCEPTED and self.table_up:
            self.spool.extend(
                item for item in machine.ready_samples.values() if item.text == finished.text
            )

    @rule(owner=st.integers(0, 9), count=st.integers(1, 6))
    def several_samples_finish(self, owner: int, count: int) -> None:
        machine = self.owners[owner % len(self.owners)]
        for key in sorted(machine.missing_keys)[:count]:
            self.serial += 1
            finished = make_sample(key.group, key.index, self.trainer.version, self.serial)
            if machine.add(finished) is AddOutcome.ACCEPTED and self.table_up:
                self.spool.append(finished)

    @rule(owner=st.integers(0, 9), is_response_lost=st.sampled_from([False, False, True]))
    def pull_batch(self, owner: int, is_response_lost: bool) -> None:
        machine = self.owners[owner % len(self.owners)]
        decision = machine.pull(self.trainer.ack())
        if isinstance(decision, Fenced):
            assert machine is not self.current_owner()
            return
        if not isinstance(decision, DeliverBatch):
            return
        if not decision.is_recorded and self.table_up and machine is self.current_owner():
            self.recorded_batches[decision.batch.number] = decision.batch
            self.recorded_batches = {
                n: b for n, b in self.recorded_batches.items() if n <= decision.batch.number
            }
            machine.mark_recorded(decision.batch)
            decision = DeliverBatch(decision.batch, True, decision.has_trainer_bitmap)
        if not decision.is_recorded and not decision.has_trainer_bitmap:
            return
        if is_response_lost:
            self.delayed_batches.append(decision.batch)
        else:
            self.trainer.accept_batch(decision.batch, machine.bit_by_key)

    @rule()
    def trainer_moves_to_next_version(self) -> None:
        if self.trainer.version < 12:
            self.trainer.version += 1

    @rule()
    def trainer_saves_state(self) -> None:
        saved = self.trainer
        self.saved_trainer = replace(saved, samples=dict(saved.samples))

    @rule()
    def trainer_crashes_and_restores_state(self) -> None:
        version = self.trainer.version
        self.trainer = replace(
            self.saved_trainer, samples=dict(self.saved_trainer.samples), version=version
        )

    @rule()
    def late_response_arrives(self) -> None:
        """Deliver a response that was thought lost; a trainer that tracks its cursor ignores it."""
        if self.delayed_batches:
            batch = self.delayed_batches.pop()
            if self.trainer.version == batch.judged_at and batch.number <= self.trainer.cursor:
                before = dict(self.trainer.samples)
                self.trainer.accept_batch(batch, self.current_owner().bit_by_key)
                assert self.trainer.samples == before

    @rule(up=st.sampled_from([True, True, False]))
    def table_availability_changes(self, up: bool) -> None:
        self.table_up = up

    @rule()
    def another_owner_takes_over(self) -> None:
        if self.table_up and len(self.owners) < 4:
            machine = StepStateMachine(SPEC, 2, epoch=len(self.owners) + 1)
            rows = tuple(self.recorded_batches[number] for number in sorted(self.recorded_batches))
            machine.restore(rows, tuple(self.spool))
            self.owners.append(machine)

    @rule(seed=st.integers(0, 2**32))
    def burst_of_events(self, seed: int) -> None:
        """Apply 25 random events; sequences drawn one by one seldom get far into a step."""
        generator = random.Random(seed)
        for _ in range(25):
            owner = generator.choice((0, 1, 2, 3, -1, -1))
            event = generator.choice((0, 0, 1, 1, 1, 1, 2, 3, 4, 5, 6, 7))
            match event:
                case 0:
                    self.several_samples_finish(owner, generator.randint(1, 5))
                case 1:
                    self.pull_batch(owner, generator.random() < 0.3)
                case 2:
                    self.finish_sample(
                        owner, generator.randrange(GROUPS), generator.randint(0, SIZE)
                    )
                case 3:
                    self.another_owner_takes_over()
                case 4:
                    self.table_availability_changes(generator.random() < 0.5)
                case 5 if generator.random() < 0.3:
                    self.trainer_moves_to_next_version()
                case 6:
                    self.trainer_saves_state()
                case 7 if generator.random() < 0.3:
                    self.trainer_crashes_and_restores_state()
            self.every_place_has_one_state()
            self.ready_samples_are_fresh()

    @invariant()
    def every_place_has_one_state(self) -> None:
        for machine in self.owners:
            waiting = [
                b.sample_keys() for n, b in machine.batches.items() if n > machine.acked_number
            ]
            counted = [
                *machine.ready_samples,
                *machine.missing_keys,
                *(key for keys in waiting for key in keys),
            ]
            assert len(counted) == len(set(counted)), "a sample is in two states"

    @invariant()
    def ready_samples_are_fresh(self) -> None:
        for machine in self.owners:
            assert all(machine.is_fresh(item) for item in machine.ready_samples.values())

    def teardown(self) -> None:
        """Check that the current owner delivers the complete step after any sequence of events."""
        self.table_up = True
        if not self.trainer_reports_samples:
            return
        machine = self.current_owner()
        for _ in range(60):
            for key in sorted(machine.missing_keys):
                self.serial += 1
                machine.add(make_sample(key.group, key.index, self.trainer.version, self.serial))
            decision = machine.pull(self.trainer.ack())
            if isinstance(decision, StepComplete):
                break
            if isinstance(decision, DeliverBatch):
                self.trainer.accept_batch(decision.batch, machine.bit_by_key)
        assert len(self.trainer.samples) == GROUPS * SIZE, "the step is incomplete"


class CursorOnlyLifecycle(StepLifecycle):
    """Same events with a trainer that reports only its cursor, not the samples it has."""

    trainer_reports_samples = False


HYPOTHESIS_SETTINGS = settings(
    max_examples=100, stateful_step_count=12, derandomize=True, deadline=None
)
TestStepLifecycle = StepLifecycle.TestCase
TestStepLifecycle.settings = HYPOTHESIS_SETTINGS
TestCursorOnlyLifecycle = CursorOnlyLifecycle.TestCase
TestCursorOnlyLifecycle.settings = HYPOTHESIS_SETTINGS


@pytest.mark.parametrize("lifecycle_type", [StepLifecycle, CursorOnlyLifecycle])
def test_invariants_hold_through_long_random_event_sequences(
    lifecycle_type: type[StepLifecycle],
) -> None:
    for seed in range(200):
        lifecycle = lifecycle_type()
        for part in range(4):
            lifecycle.burst_of_events(seed * 4 + part)
        lifecycle.teardown()
