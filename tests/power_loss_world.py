"""Steps whose results are read again through all VMs after the power of all VMs was lost at once.

Trainers submit, read and end steps under faults of the store, and submit some more that they don't
end. Then the store goes away, all VMs lose power at the same moment and start again, and several
readers at each VM read every step from its first position.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc

import step_world as w
from end_of_day import EndOfDayReader, Findings
from position_world import SETTLE_S, PositionWorld, event_count

READERS_PER_VM = 3
# Steps that are submitted in the last seconds before the loss of power or meanwhile.
OPEN_STEPS = 2
OPEN_STEPS_BEGIN_S = 3.0
NEW_STEP = "new"
# A VM is known to the world a moment after its start began.
START_S = 0.001


@dataclass
class PowerLossWorld(PositionWorld):
    """A world of steps whose VMs all lose power once.

    Attributes:
        findings: What the readers found after the loss of power.
        on_power_lost: Called while all VMs are without power.
        expected: Results that were read before, by step and position.
        open_steps: Ids of the steps that are not ended.
        has_new_step: Whether a trainer submits a step as soon as the power is back.
        second_reading_after_s: Time after which all steps are read once more, in seconds, or None.
    """

    findings: Findings = field(default_factory=Findings)
    on_power_lost: Callable[["PowerLossWorld"], None] = lambda _: None
    expected: dict[str, dict[int, str]] = field(default_factory=dict)
    open_steps: tuple[str, ...] = ()
    has_new_step: bool = False
    second_reading_after_s: float | None = None

    @property
    def missing(self) -> list[str]:
        """Results that had been read and did not come again."""
        return self.findings.missing

    async def play_power_loss(self) -> None:
        """Submit steps that are not ended, lose power, and read all steps again."""
        self.open_steps = tuple(f"open-{number}" for number in range(OPEN_STEPS))
        async with anyio.create_task_group() as trainers:
            for number, step_id in enumerate(self.open_steps, 1):
                latest_s = (OPEN_STEPS_BEGIN_S + 1.0) * number / OPEN_STEPS
                trainers.start_soon(self.submit_open_step, step_id, latest_s)
            async with anyio.create_task_group() as readers:
                for name in self.vms:
                    readers.start_soon(self.read_through, name)
                await anyio.sleep(OPEN_STEPS_BEGIN_S)
                await self.lose_power()
                readers.cancel_scope.cancel()
            self.expected = {
                step_id: self.results_read(step_id) for step_id in self.readable_steps()
            }
            self.on_power_lost(self)
            for name in self.vms:
                trainers.start_soon(self.world.start, name, f"again-{name}")
            await anyio.sleep(START_S)
            if self.has_new_step:
                self.expected[NEW_STEP] = {}
                self.open_steps += (NEW_STEP,)
                trainers.start_soon(self.submit_repeatedly, NEW_STEP)
            await self.read_all_again()
        if self.second_reading_after_s is not None:
            self.expected = {
                step_id: self.results_read(step_id) for step_id in self.readable_steps()
            }
            await anyio.sleep(self.second_reading_after_s)
            await self.read_all_again()

    async def submit_open_step(self, step_id: str, latest_s: float) -> None:
        """Submit a step that is not ended, after a random time of up to ``latest_s`` seconds."""
        await anyio.sleep(self.rng.uniform(0.0, latest_s))
        await self.submit_repeatedly(step_id)

    async def lose_power(self) -> None:
        """Take the store away from all VMs, and end all VMs."""
        for vm in self.world.vms.values():
            vm.view.flaws.lose_answers = self.rng.randrange(2)
            vm.view.flaws.hold_commits = self.rng.randrange(2)
        await anyio.sleep(self.rng.uniform(0.0, 0.2))
        for vm in self.world.vms.values():
            vm.view.flaws.down = True
        await anyio.sleep(self.rng.uniform(0.0, 1.0))
        for vm in self.world.vms.values():
            self.world.kill(vm)
        await anyio.sleep(self.rng.uniform(0.1, 1.0))
        self.world.store.release()

    async def read_all_again(self) -> None:
        """Read every step from its first position, through each VM and by several readers."""
        began_s = anyio.current_time()
        async with anyio.create_task_group() as readers:
            for name in self.vms:
                for step_id in self.readable_steps():
                    for number in range(READERS_PER_VM):
                        is_first = number == 0
                        reader = EndOfDayReader(
                            self,
                            name,
                            step_id,
                            self.expected[step_id],
                            is_first,
                            is_first and step_id in self.open_steps,
                            began_s,
                            self.findings,
                        )
                        readers.start_soon(reader.check)

    def readable_steps(self) -> list[str]:
        """Return the ids of the steps that readers read."""
        return [*super().readable_steps(), *self.open_steps]

    def results_read(self, step_id: str) -> dict[int, str]:
        """Return the first result that was read at each position of a step."""
        return {
            position: readings[0].result
            for (step, position), readings in self.readings.items()
            if step == step_id
        }

    def broken(self) -> dict[str, list[str]]:
        """Return the checks that found something, with what they found."""
        different = self.different_results()
        return self.findings.broken() | ({"different": different} if different else {})


def make_world(tasks: anyio.abc.TaskGroup) -> w.StepWorld:
    """Return a world whose samples end in another order than they began."""
    return w.StepWorld(tasks, event_count=event_count)


def play_power_loss(
    seed: int,
    faults: tuple[str, ...],
    seconds: float = 20.0,
    settle_s: float = SETTLE_S,
    *,
    make_world: Callable[[anyio.abc.TaskGroup], w.StepWorld] = make_world,
    **fields: Any,
) -> PowerLossWorld:
    """Play one seed in virtual time, with a loss of power at its end.

    Args:
        seed: Seed of the faults and of the trainers' choices.
        faults: Names of the methods of faults to draw from.
        seconds: Time with faults, in seconds.
        settle_s: Time after the faults, before the loss of power, in seconds.
        make_world: Returns the world of the VMs.
        fields: Further fields of the power loss world.
    """
    found: list[PowerLossWorld] = []

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            world = make_world(tasks)
            found.append(PowerLossWorld(seed, faults, False, world, **fields))
            await found[0].play(seconds, settle_s)
            await found[0].play_power_loss()
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(play)
    return found[0]
