"""Conditions of the row store that make reads long, cut or refused, drawn for a seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio.abc

import step_world as w
from balsamcleat.ports.rows import StoreLimits
from balsamcleat.standins.row_store import MemoryRowStore
from position_world import event_count

# Sizes of a row and of an event's text in bytes, with which results have 1 to 7 rows.
SIZES = ((65536, 0), (48, 0), (1024, 200), (8192, 2000), (65536, 2000))
# More rows than there are VMs, whose rows are read as one page.
PAGE_ROWS = (14, 17, 33, 500)
PAGE_BYTES = (16_384, 100_000, 1_000_000)
# Calls in a second for each VM; the operators' page allows 166 reads and 66 writes to each of 12.
READS_PER_VM_S = (20.0, 60.0, 166.0)
WRITES_PER_VM_S = (8.0, 20.0, 66.0)


@dataclass(frozen=True)
class StoreConditions:
    """Conditions of the store.

    Attributes:
        row_bytes: Maximum size of a row's value, in bytes.
        event_bytes: Size of the text of an event besides its number, in bytes.
        page_rows: Most rows of a read page.
        page_bytes: Most bytes of a read page.
        reads_per_s: Reads by all VMs in a second.
        writes_per_s: Commits by all VMs in a second.
    """

    row_bytes: int
    event_bytes: int
    page_rows: int
    page_bytes: int
    reads_per_s: float
    writes_per_s: float

    def make_world(self, tasks: anyio.abc.TaskGroup) -> w.StepWorld:
        """Return a world with such a store."""
        store = MemoryRowStore(
            limits=StoreLimits(row_bytes=self.row_bytes),
            page_rows=self.page_rows,
            page_bytes=self.page_bytes,
            reads_per_s=self.reads_per_s,
            writes_per_s=self.writes_per_s,
        )
        return w.StepWorld(
            tasks, event_count=event_count, store=store, event_text=make_texts(self.event_bytes)
        )


def draw_conditions(seed: int, vms: int) -> StoreConditions:
    """Return the conditions of a seed for a number of VMs."""
    generator = random.Random(f"store {seed}")
    row_bytes, event_bytes = generator.choice(SIZES)
    return StoreConditions(
        row_bytes,
        event_bytes,
        generator.choice(PAGE_ROWS),
        generator.choice(PAGE_BYTES),
        generator.choice(READS_PER_VM_S) * vms,
        generator.choice(WRITES_PER_VM_S) * vms,
    )


def make_texts(event_bytes: int) -> Callable[[str, int], str]:
    """Return a function that returns the text of an event, which compresses to its half."""

    def text(sample_id: str, number: int) -> str:
        filler = random.Random(f"{sample_id}:{number}").randbytes(event_bytes // 2).hex()
        return f"{sample_id}:{number}{filler}"

    return text
