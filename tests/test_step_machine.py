"""Random interleavings of everything that can befall a step, checked after every event."""

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

GROUPS, SIZE, BOUND = 3, 3, 1
SPEC = StepSpec(
    step_id=StepId("s"),
    deployment=DeploymentName("d"),
    groups=tuple(PromptGroup(number, f"p{number}", SIZE) for number in range(GROUPS)),
    max_tokens=8,
    temperature=1.0,
    trainer_version=WeightVersion(5),
    staleness_bound=BOUND,
    deadline_s=60.0,
)


def sample(group: int, index: int, version: int, serial: int = 0) -> Sample:
    span = VersionSpan(0, 4, WeightVersion(version))
    return Sample(SampleKey(group, index), f"text {serial}", 4, (span,), "stop")


@dataclass
class Trainer:
    """A trainer that keeps count; its state can be saved and come back."""

    witnesses: bool
    version: int = 5
    cursor: int = 0
    epoch: int = 0
    have: int = 0
    keys: dict[SampleKey, Sample] = field(default_factory=dict)

    def ack(self) -> TrainerAck:
        have = self.have if self.witnesses else None
        return TrainerAck(self.cursor, self.epoch, WeightVersion(self.version), have)

    def take(self, batch: Batch, bits: dict[SampleKey, int]) -> None:
        """Take a batch as the protocol says: the next number, judged at our version."""
        if batch.number != self.cursor + 1 or batch.judged_at < self.version:
            return
        assert not self.keys.keys() & batch.places(), "a sample came twice"
        for item in batch.samples:
            assert self.version - item.oldest_version() <= BOUND, "a stale sample came"
            self.keys[item.key] = item
            self.have |= bits[item.key]
        self.cursor, self.epoch = batch.number, max(batch.epoch, self.epoch)


class StepStory(RuleBasedStateMachine):
    """Owners die, pause and wake; answers are lost; the trainer moves on and comes back."""

    witnesses = True

    def __init__(self) -> None:
        super().__init__()
        self.trainer = Trainer(self.witnesses)
        self.owners = [StepStateMachine(SPEC, 2, epoch=1)]
        # What the platform keeps: batches by number, with their epoch, and spooled samples.
        self.rows: dict[int, Batch] = {}
        self.spool: list[Sample] = []
        self.table_up = True
        self.serial = 0
        self.late: list[Batch] = []
        self.saved = replace(self.trainer, keys={})

    def current(self) -> StepStateMachine:
        return self.owners[-1]

    @rule(owner=st.integers(0, 9), group=st.integers(0, GROUPS - 1), index=st.integers(0, SIZE))
    def finishes(self, owner: int, group: int, index: int) -> None:
        machine = self.owners[owner % len(self.owners)]
        self.serial += 1
        age = self.serial % 3
        made = sample(group, index, max(1, self.trainer.version - age), self.serial)
        if machine.add(made) is AddOutcome.ACCEPTED and self.table_up:
            self.spool.extend(
                item for item in machine.ready_samples.values() if item.text == made.text
            )

    @rule(owner=st.integers(0, 9), count=st.integers(1, 6))
    def several_finish(self, owner: int, count: int) -> None:
        machine = self.owners[owner % len(self.owners)]
        for key in sorted(machine.missing_keys)[:count]:
            self.serial += 1
            made = sample(key.group, key.index, self.trainer.version, self.serial)
            if machine.add(made) is AddOutcome.ACCEPTED and self.table_up:
                self.spool.append(made)

    @rule(owner=st.integers(0, 9), lost=st.sampled_from([False, False, True]))
    def pulls(self, owner: int, lost: bool) -> None:
        machine = self.owners[owner % len(self.owners)]
        decision = machine.pull(self.trainer.ack())
        if isinstance(decision, Fenced):
            assert machine is not self.current()
            return
        if not isinstance(decision, DeliverBatch):
            return
        if not decision.is_recorded and self.table_up and machine is self.current():
            self.rows[decision.batch.number] = decision.batch
            self.rows = {n: b for n, b in self.rows.items() if n <= decision.batch.number}
            machine.mark_recorded(decision.batch)
            decision = DeliverBatch(decision.batch, True, decision.has_trainer_bitmap)
        if not decision.is_recorded and not decision.has_trainer_bitmap:
            return
        if lost:
            self.late.append(decision.batch)
        else:
            self.trainer.take(decision.batch, machine.bit_by_key)

    @rule()
    def trainer_moves_on(self) -> None:
        if self.trainer.version < 12:
            self.trainer.version += 1

    @rule()
    def trainer_saves_its_state(self) -> None:
        saved = self.trainer
        self.saved = replace(saved, keys=dict(saved.keys))

    @rule()
    def trainer_crashes_and_comes_back(self) -> None:
        version = self.trainer.version
        self.trainer = replace(self.saved, keys=dict(self.saved.keys), version=version)

    @rule()
    def late_answer_comes(self) -> None:
        """An answer that was thought lost; only a trainer that keeps no count could take it."""
        if self.late:
            batch = self.late.pop()
            if self.trainer.version == batch.judged_at and batch.number <= self.trainer.cursor:
                before = dict(self.trainer.keys)
                self.trainer.take(batch, self.current().bit_by_key)
                assert self.trainer.keys == before

    @rule(up=st.sampled_from([True, True, False]))
    def table(self, up: bool) -> None:
        self.table_up = up

    @rule()
    def another_owner_takes_over(self) -> None:
        if self.table_up and len(self.owners) < 4:
            machine = StepStateMachine(SPEC, 2, epoch=len(self.owners) + 1)
            rows = tuple(self.rows[number] for number in sorted(self.rows))
            machine.restore(rows, tuple(self.spool))
            self.owners.append(machine)

    @rule(seed=st.integers(0, 2**32))
    def burst(self, seed: int) -> None:
        """Many events in a row: drawn one by one they seldom get far into a step."""
        draw = random.Random(seed)
        for _ in range(25):
            owner = draw.choice((0, 1, 2, 3, -1, -1))
            event = draw.choice((0, 0, 1, 1, 1, 1, 2, 3, 4, 5, 6, 7))
            match event:
                case 0:
                    self.several_finish(owner, draw.randint(1, 5))
                case 1:
                    self.pulls(owner, draw.random() < 0.3)
                case 2:
                    self.finishes(owner, draw.randrange(GROUPS), draw.randint(0, SIZE))
                case 3:
                    self.another_owner_takes_over()
                case 4:
                    self.table(draw.random() < 0.5)
                case 5 if draw.random() < 0.3:
                    self.trainer_moves_on()
                case 6:
                    self.trainer_saves_its_state()
                case 7 if draw.random() < 0.3:
                    self.trainer_crashes_and_comes_back()
            self.every_place_is_somewhere()
            self.ready_samples_are_fresh()

    @invariant()
    def every_place_is_somewhere(self) -> None:
        for machine in self.owners:
            waiting = [b.places() for n, b in machine.batches.items() if n > machine.acked_number]
            counted = [
                *machine.ready_samples,
                *machine.missing_keys,
                *(key for keys in waiting for key in keys),
            ]
            assert len(counted) == len(set(counted)), "a place is in two states"

    @invariant()
    def ready_samples_are_fresh(self) -> None:
        for machine in self.owners:
            assert all(machine.is_fresh(item) for item in machine.ready_samples.values())

    def teardown(self) -> None:
        """Whatever happened, the newest owner brings the trainer its step whole."""
        self.table_up = True
        if not self.witnesses:
            return
        machine = self.current()
        for _ in range(60):
            for key in sorted(machine.missing_keys):
                self.serial += 1
                machine.add(sample(key.group, key.index, self.trainer.version, self.serial))
            decision = machine.pull(self.trainer.ack())
            if isinstance(decision, StepComplete):
                break
            if isinstance(decision, DeliverBatch):
                self.trainer.take(decision.batch, machine.bit_by_key)
        assert len(self.trainer.keys) == GROUPS * SIZE, "the step is not whole"


class CursorStory(StepStory):
    """The same with a trainer that says only its cursor."""

    witnesses = False


RANDOM = settings(max_examples=100, stateful_step_count=12, derandomize=True, deadline=None)
TestStepStory = StepStory.TestCase
TestStepStory.settings = RANDOM
TestCursorStory = CursorStory.TestCase
TestCursorStory.settings = RANDOM


@pytest.mark.parametrize("story", [StepStory, CursorStory])
def test_the_promises_hold_through_long_stories(story: type[StepStory]) -> None:
    for seed in range(200):
        told = story()
        for part in range(4):
            told.burst(seed * 4 + part)
        told.teardown()
