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


def full(machine: StepStateMachine, version: int = 5) -> StepStateMachine:
    for key in machine.sample_keys:
        assert machine.add(sample(key.group, key.index, version)) is AddOutcome.ACCEPTED
    return machine


def batch_at(machine: StepStateMachine, ack: TrainerAck) -> Batch:
    decision = machine.pull(ack)
    assert isinstance(decision, DeliverBatch), decision
    return decision.batch


def test_each_sample_is_in_exactly_one_batch() -> None:
    machine = StepStateMachine(spec(), batch_samples=3)
    for group in range(2):
        for index in range(2):
            assert machine.add(sample(group, index)) is AddOutcome.ACCEPTED
            assert machine.add(sample(group, index)) is AddOutcome.SURPLUS
    first = batch_at(machine, TrainerAck(0))
    assert batch_at(machine, TrainerAck(0)) == first
    second = batch_at(machine, TrainerAck(1))
    assert not first.last and second.last
    keys = [item.key for batch in (first, second) for item in batch.samples]
    assert len(keys) == len(set(keys)) == 4
    assert isinstance(machine.pull(TrainerAck(2)), StepComplete)


def test_no_sample_older_than_the_bound_is_taken() -> None:
    machine = StepStateMachine(spec())
    machine.record_trainer_version(WeightVersion(7))
    assert machine.add(sample(0, 0, version=5)) is AddOutcome.STALE
    assert machine.add(sample(0, 0, version=6)) is AddOutcome.ACCEPTED


def test_no_sample_that_went_stale_while_it_waited_is_delivered() -> None:
    machine = full(StepStateMachine(spec(), batch_samples=4))
    assert isinstance(machine.pull(TrainerAck(0, version=WeightVersion(7), have=0)), Wait)
    assert machine.missing_keys == set(machine.sample_keys)


def test_no_sample_that_went_stale_before_its_redelivery_is_delivered() -> None:
    machine = full(StepStateMachine(spec(), batch_samples=4))
    batch_at(machine, TrainerAck(0, have=0))
    machine.record_trainer_version(WeightVersion(7))
    assert isinstance(machine.pull(TrainerAck(0, have=0)), Wait)
    full(machine, version=7)
    assert batch_at(machine, TrainerAck(0, have=0)).number == 1


def test_a_stale_batch_is_never_changed_under_a_trainer_that_keeps_no_count() -> None:
    machine = full(StepStateMachine(spec(), batch_samples=4))
    batch_at(machine, TrainerAck(0))
    machine.record_trainer_version(WeightVersion(7))
    assert isinstance(machine.pull(TrainerAck(0)), Ambiguous)
    assert isinstance(machine.pull(TrainerAck(1)), StepComplete)


def test_a_sample_of_unknown_origin_is_not_delivered() -> None:
    machine = StepStateMachine(spec())
    gap = (VersionSpan(0, 2, WeightVersion(5)), VersionSpan(3, 4, WeightVersion(5)))
    unknown = (VersionSpan(0, 4, WeightVersion(0)),)
    for spans in ((), gap, unknown, (VersionSpan(0, 3, WeightVersion(5)),)):
        made = Sample(SampleKey(0, 0), "text", 4, spans, "stop")
        assert machine.add(made) is AddOutcome.UNATTRIBUTED


def test_a_spare_sample_fills_a_place_that_its_group_lacks() -> None:
    machine = StepStateMachine(spec())
    assert machine.add(sample(0, 2)) is AddOutcome.ACCEPTED
    assert machine.missing_keys == {SampleKey(0, 0), SampleKey(1, 0), SampleKey(1, 1)}
    assert machine.add(sample(0, 0)) is AddOutcome.ACCEPTED
    assert machine.add(sample(0, 3)) is AddOutcome.SURPLUS


def test_a_paused_owner_that_wakes_is_fenced_by_the_trainer() -> None:
    machine = full(StepStateMachine(spec(), epoch=1))
    assert isinstance(machine.pull(TrainerAck(0, epoch=2, have=0)), Fenced)


def test_a_new_owner_believes_the_trainer_about_a_batch_it_never_saw() -> None:
    old, new = (full(StepStateMachine(spec(), batch_samples=2, epoch=epoch)) for epoch in (1, 2))
    taken = batch_at(old, TrainerAck(0, have=0))
    have = sum(new.bit_by_key[item.key] for item in taken.samples)
    batch = batch_at(new, TrainerAck(1, epoch=1, have=have))
    assert batch.number == 2 and batch.last
    assert not batch.places() & taken.places()
    assert isinstance(new.pull(TrainerAck(5)), Ambiguous)


def test_a_restarted_trainer_gets_the_same_batches_again() -> None:
    machine = full(StepStateMachine(spec(), batch_samples=1))
    batches = [batch_at(machine, TrainerAck(cursor)) for cursor in range(3)]
    assert [batch_at(machine, TrainerAck(cursor)) for cursor in range(3)] == batches
