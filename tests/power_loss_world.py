"""Steps whose results are read again through all VMs after the power of all VMs was lost at once.

Trainers submit, read and end steps under faults of the store. Then the store goes away, all VMs
lose power at the same moment and start again, and several readers at each VM read every step from
its first position. What was read before must come again.
"""

import json
from dataclasses import dataclass, field
from functools import partial

import anyio

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.platform import ResultsQuery, StepCall, StepCallKind
from position_world import STEPS, VMS, PositionWorld, event_count

READERS_PER_VM = 3
# Reads go on for this long after all VMs are back, in seconds.
READ_AGAIN_S = 10.0
READ_INTERVAL_S = 0.25


@dataclass
class PowerLossWorld(PositionWorld):
    """A world of steps whose VMs all lose power once.

    Attributes:
        missing: What did not come again, by VM and step.
        statuses: Numbers of answers to the reads after the loss of power, by status.
    """

    missing: list[str] = field(default_factory=list)
    statuses: dict[int, int] = field(default_factory=dict)

    async def lose_power(self) -> None:
        """Take the store away from all VMs, end all VMs, and start them again with the store."""
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
        self.boots += 1
        async with anyio.create_task_group() as starts:
            for name in VMS:
                starts.start_soon(self.world.start, name, f"again-{self.boots}")

    async def read_all_again(self) -> None:
        """Read every step from its first position, through each VM and by several readers."""
        async with anyio.create_task_group() as readers:
            for name in VMS:
                for _ in range(READERS_PER_VM):
                    readers.start_soon(partial(self.read_steps_again, name))

    async def read_steps_again(self, name: str) -> None:
        """Read every step through one VM until all that was read has come again."""
        deadline_s = anyio.current_time() + READ_AGAIN_S
        for number in range(STEPS):
            step_id = f"step-{number}"
            expected = self.results_read(step_id)
            found = await self.read_step(name, step_id)
            while not expected.items() <= found.items() and anyio.current_time() < deadline_s:
                await anyio.sleep(READ_INTERVAL_S)
                found = await self.read_step(name, step_id)
            if not expected.items() <= found.items():
                came = len(expected.items() & found.items())
                self.missing.append(f"{name} {step_id}: {came} of {len(expected)} come again")

    def results_read(self, step_id: str) -> dict[int, str]:
        """Return the first result that was read at each position of a step."""
        return {
            position: readings[0].result
            for (step, position), readings in self.readings.items()
            if step == step_id
        }

    async def read_step(self, name: str, step_id: str) -> dict[int, str]:
        """Return the results of a step by position, page by page from the first one."""
        found: dict[int, str] = {}
        while True:
            responder = w.RecordingResponder()
            query = ResultsQuery(len(found), 0.0)
            call = StepCall(StepCallKind.RESULTS, StepId(step_id), query)
            await self.world.vms[name].handler.answer_call(call, responder)
            self.statuses[responder.status] = self.statuses.get(responder.status, 0) + 1
            if responder.status != 200:
                return found
            results = json.loads(responder.response.body)["results"]
            if not results:
                return found
            for result in results:
                found[len(found)] = f"{result['id']} {result['state']}"


def play_power_loss(seed: int, faults: tuple[str, ...], seconds: float = 20.0) -> PowerLossWorld:
    """Play one seed in virtual time, with a loss of power at its end."""
    found: list[PowerLossWorld] = []

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            world = w.StepWorld(tasks, event_count=event_count)
            found.append(PowerLossWorld(seed, faults, False, world))
            await found[0].play(seconds)
            await found[0].lose_power()
            await found[0].read_all_again()
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(play)
    return found[0]
