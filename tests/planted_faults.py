"""Faults that tests plant into a world of steps, to see that its checks notice them."""

import base64
from collections.abc import Callable

import anyio
import anyio.abc
import msgspec
import pytest

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowConflict, RowKey
from balsamcleat.standins.row_store import MemoryRowStore, RowStoreFlaws
from balsamcleat.tasks.owned_step import OwnedStep
from balsamcleat.tasks.result_writer import ResultWriter, owns_step
from balsamcleat.tasks.rollout_records import (
    BODIES_TABLE,
    RESULTS_TABLE,
    StoredResult,
    decode_owner,
    encode_owner,
    owner_key,
)
from balsamcleat.tasks.rollout_runner import RolloutRunner
from balsamcleat.tasks.step_feed import StepFeed
from balsamcleat.tasks.step_submission import StepSubmission
from balsamcleat.tasks.stored_values import decode_value, encode_value
from end_of_day import SAMPLES
from position_world import event_count
from power_loss_world import PowerLossWorld

ENDED_STEP = "step-0"
SECOND_RUN_AFTER_S = 0.1
SLOW_CALL_S = 0.24


def result_row(step_id: str, position: int) -> RowKey:
    """Return the key of the row of a result that has one row."""
    return RowKey(RESULTS_TABLE, step_id, f"{position:08d}.0000.0001")


def body_row(step_id: str) -> RowKey:
    """Return the key of the row of a submission that has one row."""
    return RowKey(BODIES_TABLE, step_id, "body.0000.0001")


def unlisted_step(world: PowerLossWorld) -> str:
    """Return an accepted step that was not ended, after making it one without results."""
    step_id = next(step_id for step_id in world.open_steps if step_id in world.accepted)
    rows = world.world.store.rows
    for key in [key for key in rows if (key.table, key.part) == (RESULTS_TABLE, step_id)]:
        del rows[key]
    for position in range(SAMPLES):
        world.readings.pop((step_id, position), None)
    world.expected[step_id].clear()
    return step_id


def change_row(store: MemoryRowStore, key: RowKey, change: Callable[[bytes], bytes]) -> None:
    """Change the value of a row and keep its version."""
    value, version = store.rows[key]
    store.rows[key] = (change(value), version)


def lose_result(world: PowerLossWorld) -> None:
    """Remove a result that was read."""
    position = max(world.expected[ENDED_STEP])
    del world.world.store.rows[result_row(ENDED_STEP, position)]


def swap_results(world: PowerLossWorld) -> None:
    """Swap the results of two positions that were read."""
    rows = world.world.store.rows
    first, second = result_row(ENDED_STEP, 0), result_row(ENDED_STEP, 1)
    rows[first], rows[second] = rows[second], rows[first]


def cut_text(world: PowerLossWorld) -> None:
    """Cut the text of a result of a step that was ended."""

    def change(packed: bytes) -> bytes:
        result = decode_value(packed, StoredResult)
        return encode_value(msgspec.structs.replace(result, text=result.text[:5]))

    change_row(world.world.store, result_row(ENDED_STEP, 0), change)


def list_result_twice(world: PowerLossWorld) -> None:
    """List the sample of the first position at the second position, too."""
    rows = world.world.store.rows
    rows[result_row(ENDED_STEP, 1)] = rows[result_row(ENDED_STEP, 0)]


def lose_body(world: PowerLossWorld) -> None:
    """Remove the submission of a step that was not ended."""
    del world.world.store.rows[body_row(unlisted_step(world))]


def change_body(world: PowerLossWorld) -> None:
    """Change the body of a sample of a step that was not ended."""

    def change(packed: bytes) -> bytes:
        submission = decode_value(packed, StepSubmission)
        body = submission.body.replace(base64.b64encode(b"3-7"), base64.b64encode(b"3-8"))
        return encode_value(msgspec.structs.replace(submission, body=body))

    change_row(world.world.store, body_row(unlisted_step(world)), change)


def lose_owner_row(world: PowerLossWorld) -> None:
    """Remove the owner row of a step that was ended."""
    del world.world.store.rows[owner_key(StepId(ENDED_STEP))]


def miscount_samples(world: PowerLossWorld) -> None:
    """Change the number of samples in the owner row of a step that was ended."""
    key = owner_key(StepId(ENDED_STEP))
    owner = decode_owner(world.world.store.change_of(key))
    assert owner is not None
    value = encode_owner(msgspec.structs.replace(owner, samples=owner.samples + 1))
    change_row(world.world.store, key, lambda _: value)


def list_unreadable_result(world: PowerLossWorld) -> None:
    """Store a result that can't be read at the first position of a step that was not ended."""
    world.world.store.rows[result_row(unlisted_step(world), 0)] = (b"unreadable", 1)


def take_over_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let no VM take over a step."""
    monkeypatch.setattr(StepFeed, "should_take_over", lambda *_: False)


def make_slow_world(tasks: anyio.abc.TaskGroup) -> w.StepWorld:
    """Return a world with a slow store, whose batches of results are large."""
    return w.StepWorld(tasks, event_count=event_count, flaws=RowStoreFlaws(delay_s=SLOW_CALL_S))


def run_steps_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Plant the old fault: a VM runs a step twice at once, with one owner row.

    Each of the runs takes an unchanged owner row as proof that a refused commit was its own.
    """
    unchanged_add_step = RolloutRunner.add_step

    def add_step(self: RolloutRunner, step: OwnedStep) -> None:
        unchanged_add_step(self, step)
        if self.steps.get(step.step_id) is step:
            self.start_task(run_again, self, step)

    async def run_again(runner: RolloutRunner, step: OwnedStep) -> None:
        await anyio.sleep(SECOND_RUN_AFTER_S)
        if runner.steps.get(step.step_id) is step:
            del runner.steps[step.step_id]
            second = OwnedStep(step.step, step.record, step.row_version, step.accepted_s)
            unchanged_add_step(runner, second)

    async def is_batch_stored(
        self: ResultWriter, step: OwnedStep, position: int, batch: object, conflict: RowConflict
    ) -> bool:
        return owns_step(step, conflict)

    monkeypatch.setattr(RolloutRunner, "add_step", add_step)
    monkeypatch.setattr(ResultWriter, "is_batch_stored", is_batch_stored)
