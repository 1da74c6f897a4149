from balsamcleat.decisions.step import (
    AddOutcome,
    Ambiguous,
    DeliverBatch,
    Fenced,
    StepComplete,
    StepStateMachine,
    Wait,
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


def spec(groups: int = 2, size: int = 2, bound: int = 1) -> StepSpec:
    return StepSpec(
        step_id=StepId("s"),
        deployment=DeploymentName("d"),
        groups=tuple(PromptGroup(number, f"p{number}", size) for number in range(groups)),
        max_tokens=8,
        temperature=1.0,
        trainer_version=WeightVersion(5),
        staleness_bound=bound,
        deadline_s=60.0,
    )


def sample(group: int, index: int, version: int = 5) -> Sample:
    span = VersionSpan(0, 4, WeightVersion(version))
    return Sample(SampleKey(group, index), "text", 4, (span,), "stop")


def fill(machine: StepStateMachine, version: int = 5) -> StepStateMachine:
    for key in machine.sample_keys:
        assert machine.add(sample(key.group, key.index, version)) is AddOutcome.ACCEPTED
    return machine


def pull_batch(machine: StepStateMachine, ack: TrainerAck) -> Batch:
    decision = machine.pull(ack)
    assert isinstance(decision, DeliverBatch), decision
    return decision.batch


def test_each_sample_is_in_exactly_one_batch() -> None:
    machine = StepStateMachine(spec(), batch_samples=3)
    for group in range(2):
        for index in range(2):
            assert machine.add(sample(group, index)) is AddOutcome.ACCEPTED
            assert machine.add(sample(group, index)) is AddOutcome.SURPLUS
    first = pull_batch(machine, TrainerAck(0))
    assert pull_batch(machine, TrainerAck(0)) == first
    second = pull_batch(machine, TrainerAck(1))
    assert not first.last and second.last
    keys = [item.key for batch in (first, second) for item in batch.samples]
    assert len(keys) == len(set(keys)) == 4
    assert isinstance(machine.pull(TrainerAck(2)), StepComplete)


def test_sample_older_than_the_staleness_bound_is_not_accepted() -> None:
    machine = StepStateMachine(spec())
    machine.record_trainer_version(WeightVersion(7))
    assert machine.add(sample(0, 0, version=5)) is AddOutcome.STALE
    assert machine.add(sample(0, 0, version=6)) is AddOutcome.ACCEPTED


def test_sample_that_became_stale_while_waiting_is_not_delivered() -> None:
    machine = fill(StepStateMachine(spec(), batch_samples=4))
    assert isinstance(machine.pull(TrainerAck(0, version=WeightVersion(7), have=0)), Wait)
    assert machine.missing_keys == set(machine.sample_keys)


def test_sample_that_became_stale_before_redelivery_is_not_delivered() -> None:
    machine = fill(StepStateMachine(spec(), batch_samples=4))
    pull_batch(machine, TrainerAck(0, have=0))
    machine.record_trainer_version(WeightVersion(7))
    assert isinstance(machine.pull(TrainerAck(0, have=0)), Wait)
    fill(machine, version=7)
    assert pull_batch(machine, TrainerAck(0, have=0)).number == 1


def test_stale_batch_is_not_replaced_if_the_trainer_sends_no_bitmap() -> None:
    machine = fill(StepStateMachine(spec(), batch_samples=4))
    pull_batch(machine, TrainerAck(0))
    machine.record_trainer_version(WeightVersion(7))
    assert isinstance(machine.pull(TrainerAck(0)), Ambiguous)
    assert isinstance(machine.pull(TrainerAck(1)), StepComplete)


def test_sample_with_incomplete_version_attribution_is_not_accepted() -> None:
    machine = StepStateMachine(spec())
    gap = (VersionSpan(0, 2, WeightVersion(5)), VersionSpan(3, 4, WeightVersion(5)))
    unknown = (VersionSpan(0, 4, WeightVersion(0)),)
    for spans in ((), gap, unknown, (VersionSpan(0, 3, WeightVersion(5)),)):
        bad_sample = Sample(SampleKey(0, 0), "text", 4, spans, "stop")
        assert machine.add(bad_sample) is AddOutcome.UNATTRIBUTED


def test_spare_sample_replaces_a_missing_sample_of_its_group() -> None:
    machine = StepStateMachine(spec())
    assert machine.add(sample(0, 2)) is AddOutcome.ACCEPTED
    assert machine.missing_keys == {SampleKey(0, 0), SampleKey(1, 0), SampleKey(1, 1)}
    assert machine.add(sample(0, 0)) is AddOutcome.ACCEPTED
    assert machine.add(sample(0, 3)) is AddOutcome.SURPLUS


def test_owner_that_resumes_after_a_pause_is_fenced_by_the_trainer() -> None:
    machine = fill(StepStateMachine(spec(), epoch=1))
    assert isinstance(machine.pull(TrainerAck(0, epoch=2, have=0)), Fenced)


def test_new_owner_accepts_the_trainers_bitmap_for_a_batch_it_does_not_know() -> None:
    old, new = (fill(StepStateMachine(spec(), batch_samples=2, epoch=epoch)) for epoch in (1, 2))
    taken = pull_batch(old, TrainerAck(0, have=0))
    have = sum(new.bit_by_key[item.key] for item in taken.samples)
    batch = pull_batch(new, TrainerAck(1, epoch=1, have=have))
    assert batch.number == 2 and batch.last
    assert not batch.sample_keys() & taken.sample_keys()
    assert isinstance(new.pull(TrainerAck(5)), Ambiguous)


def test_restarted_trainer_receives_the_same_batches_again() -> None:
    machine = fill(StepStateMachine(spec(), batch_samples=1))
    batches = [pull_batch(machine, TrainerAck(cursor)) for cursor in range(3)]
    assert [pull_batch(machine, TrainerAck(cursor)) for cursor in range(3)] == batches
