"""A store with many steps of the day, which all VMs read at once when they start."""

from collections.abc import Callable

import anyio.abc

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowCommit, RowWrite
from balsamcleat.standins.row_store import MemoryRowStore
from balsamcleat.tasks.rollout_records import OwnerRecord, encode_owner, end_key, owner_key
from position_world import GROUPS, SIZE, event_count
from power_loss_world import PowerLossWorld

# Fraction of the store's rates that is for writes: 800 of 2,800 calls in a second.
WRITES_PER_READ = 0.4


def store_ended_steps(count: int) -> Callable[[PowerLossWorld], None]:
    """Return a function that stores steps that were ended and are not expired."""

    def store_steps(world: PowerLossWorld) -> None:
        store = world.world.store
        for number in range(count):
            step_id = StepId(f"ended-{number}")
            owner = OwnerRecord("a", "boot", w.HOST, w.PREFIX, store.now_ms(), GROUPS * SIZE)
            writes = (
                RowWrite(owner_key(step_id), encode_owner(owner)),
                RowWrite(end_key(step_id), b"1"),
            )
            store.apply(RowCommit(writes))

    return store_steps


def make_limited_world(reads_per_s: float) -> Callable[[anyio.abc.TaskGroup], w.StepWorld]:
    """Return a function that makes a world whose VMs share a rate of reads and one of writes."""

    def make_world(tasks: anyio.abc.TaskGroup) -> w.StepWorld:
        store = MemoryRowStore(reads_per_s=reads_per_s, writes_per_s=reads_per_s * WRITES_PER_READ)
        return w.StepWorld(tasks, event_count=event_count, store=store)

    return make_world
