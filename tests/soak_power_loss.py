"""The loss of power of all VMs at once in the soak, with the store away around it."""

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from balsamcleat.standins.row_store import MemoryRowStore
from balsamcleat.tasks.rollout_records import RESULTS_TABLE
from soak_faults import SoakVm

__all__ = ["PowerLoss", "drop_results"]

STORE_DELAY_S = 0.002
SLOW_STORE_DELAY_S = 0.2


def drop_results(store: MemoryRowStore, step_id: str) -> None:
    """Remove the rows of a step's results from the store, which it must never do."""
    for key in [*store.rows]:
        if (key.table, key.part) == (RESULTS_TABLE, step_id):
            del store.rows[key]


@dataclass
class PowerLoss:
    """Takes the store away, kills all VMs, and starts them again with the store back around it.

    Attributes:
        while_down: Called while no VM runs.
    """

    rng: random.Random
    vms: list[SoakVm]
    store: MemoryRowStore
    while_down: Callable[[], None]

    async def happen(self) -> None:
        """Lose power once; returns when all VMs are started and the store is back."""
        self.slow_store()
        await anyio.sleep(self.rng.uniform(0.5, 2.5))
        self.catch_commits()
        await anyio.sleep(self.rng.uniform(0.0, 0.5))
        for vm in self.vms:
            vm.door.flaws.down = True
        await anyio.sleep(self.rng.choice((0.0, 0.05, self.rng.uniform(0.0, 1.5))))
        self.end_all()
        self.lose_commits()
        self.while_down()
        off_s = self.rng.uniform(0.2, 1.2)
        before_s, after_s = self.rng.uniform(0.0, off_s), off_s + self.rng.uniform(0.0, 4.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.start_all, off_s)
            tasks.start_soon(self.return_store, self.rng.choice((before_s, off_s, after_s)))
            tasks.start_soon(self.perform_late, self.rng.uniform(0.0, off_s + 3.0))

    def slow_store(self) -> None:
        """Make the store slow, for some VMs or for all."""
        share = self.rng.choice((0.0, 0.5, 1.0))
        for vm in self.vms:
            if self.rng.random() < share:
                vm.door.flaws.delay_s = SLOW_STORE_DELAY_S

    def catch_commits(self) -> None:
        """Leave the next commits of each VM without an answer: performed now, late, or never."""
        for vm in self.vms:
            vm.door.flaws.lose_answers = self.rng.randrange(2)
            vm.door.flaws.hold_commits = self.rng.randrange(3)

    def lose_commits(self) -> None:
        """Drop some of the commits that the store has not performed yet."""
        self.store.held = [commit for commit in self.store.held if self.rng.random() < 0.5]

    def end_all(self) -> None:
        """Kill all processes, then wait for each of them."""
        for vm in self.vms:
            vm.send(signal.SIGKILL)
        for vm in self.vms:
            vm.end()

    async def start_all(self, after_s: float) -> None:
        await anyio.sleep(after_s)
        for vm in self.vms:
            vm.start()

    async def return_store(self, after_s: float) -> None:
        await anyio.sleep(after_s)
        for vm in self.vms:
            flaws = vm.door.flaws
            flaws.down = False
            flaws.delay_s = STORE_DELAY_S
            flaws.lose_answers = flaws.hold_commits = 0

    async def perform_late(self, after_s: float) -> None:
        await anyio.sleep(after_s)
        self.store.release()
