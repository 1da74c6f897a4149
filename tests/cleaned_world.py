"""VMs that delete expired steps by the store's time, of which they know little after their start.

The store's clock and the VMs' own clocks count from different moments. For some seconds after a
start, some tables can't be read, so that a VM may take submissions before it knows the time.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import anyio.abc

import step_world as w
from balsamcleat.model import VmId
from balsamcleat.standins.row_store import MemoryRowStore
from balsamcleat.tasks.duty_lease_keeper import LeaseHolder
from balsamcleat.tasks.duty_leases import DutyLeases
from balsamcleat.tasks.lease_table import LEASES_TABLE
from balsamcleat.tasks.rollout_records import STEPS_TABLE, VMS_TABLE, RolloutRecords
from balsamcleat.tasks.row_garbage_collector import RowGarbageCollector
from position_world import event_count

# Times of the store's clock when a play begins: a clock that counts from the play's begin, and Unix
# time, in milliseconds.
STORE_EPOCHS_MS = (0, 1_796_000_000_000)
# Times since the start of a VM's system when its process starts, in seconds.
UPTIMES_S = (0.0, 8.0, 4000.0, 3_000_000.0)
SILENT_TABLES = (
    (),
    (VMS_TABLE,),
    (VMS_TABLE, LEASES_TABLE),
    (VMS_TABLE, LEASES_TABLE),
    (STEPS_TABLE,),
)
MAX_SILENCE_S = 6.0
ORDER_GAP_S = 3.0
RESULTS_KEPT_S = 120.0


@dataclass
class CleanedWorld:
    """Makes the world of one seed.

    Attributes:
        generator: Draws the clocks and the tables that can't be read.
    """

    generator: random.Random

    def make_world(self, tasks: anyio.abc.TaskGroup) -> w.StepWorld:
        """Return a world whose VMs collect garbage."""
        return w.StepWorld(
            tasks,
            event_count=event_count,
            store=MemoryRowStore(epoch_ms=self.generator.choice(STORE_EPOCHS_MS)),
            local_clock=self.make_clock,
            extra_loops=self.make_loops,
        )

    def make_clock(self) -> Callable[[], float]:
        """Return the local clock of a VM that starts now, in seconds."""
        began_s = anyio.current_time()
        uptime_s = self.generator.choice(UPTIMES_S)
        return lambda: uptime_s + anyio.current_time() - began_s

    def make_loops(self, vm: w.StepVm) -> list[Callable[[], Awaitable[None]]]:
        """Return the loops of a VM: its leases, its garbage collector, and what it can't read."""
        presence = vm.presence
        leases = DutyLeases(
            vm.view,
            LeaseHolder(VmId(vm.name), presence.boot),
            ORDER_GAP_S,
            presence.store_clock,
            random.Random(vm.name),
        )
        garbage_collector = RowGarbageCollector(
            RolloutRecords(vm.view),
            lambda: vm.feed.steps,
            presence.watch,
            lambda: leases.orders.is_held,
            presence.store_clock.now_ms,
            RESULTS_KEPT_S,
        )
        vm.view.flaws.silent_tables = frozenset(self.generator.choice(SILENT_TABLES))
        silence_s = self.generator.uniform(0.0, MAX_SILENCE_S)

        async def end_silence() -> None:
            await anyio.sleep(silence_s)
            vm.view.flaws.silent_tables = frozenset()

        return [leases.run, garbage_collector.run, end_silence]


def deleted_steps(accepted: set[str], store: MemoryRowStore) -> list[str]:
    """Return the accepted steps that have no owner row."""
    kept = {key.part for key in store.rows if (key.table, key.key) == (STEPS_TABLE, "owner")}
    return sorted(accepted - kept)
