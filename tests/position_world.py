"""Steps under random faults of the row store and of VMs, in virtual time, with readers at all VMs.

Every reader writes down which result stands at which position, and through which VM it was read.
"""

import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.abc
import xxhash

import step_world as w
from balsamcleat.http1 import Request
from balsamcleat.model import StepId
from balsamcleat.platform import ResultsQuery, StepCall, StepCallKind
from balsamcleat.standins.row_store import MemoryRowStore

VMS = ("a", "b", "c", "d")
GROUPS, SIZE = 4, 8
STEPS = 4
MEAN_FAULT_INTERVAL_S = 3.0
SETTLE_S = 10.0
SLOW_ANSWER_S = 0.2
COPY_INTERVAL_S = 0.05
# The store loses the rows of up to 1 s.
MAX_LOST_COPIES = 20


@dataclass(frozen=True)
class Reading:
    """A result that a VM gave for a position."""

    vm: str
    at_s: float
    result: str


@dataclass
class PositionWorld:
    """VMs, steps, faults and readers of one seed.

    Attributes:
        faults: Names of the methods of faults to draw from.
        loses_rows: Whether the store loses its last rows once.
        readings: First reading of each different result, by step and position.
        vms: Names of the VMs.
        accepted: Steps whose submission was answered with 202.
    """

    seed: int
    faults: tuple[str, ...]
    loses_rows: bool
    world: w.StepWorld
    readings: dict[tuple[str, int], list[Reading]] = field(default_factory=dict)
    boots: int = 0
    copies: list[MemoryRowStore] = field(default_factory=list)
    reads: int = 0
    refused_reads: int = 0
    vms: tuple[str, ...] = VMS
    accepted: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)

    async def play(self, seconds: float, settle_s: float = SETTLE_S) -> None:
        """Run steps and faults for some time, then let all settle; readers go on to the end."""
        for name in self.vms:
            await self.world.start(name)
        async with anyio.create_task_group() as users:
            for number in range(STEPS):
                users.start_soon(self.train, f"step-{number}", seconds * number / STEPS)
            for name in self.vms:
                users.start_soon(self.read_through, name)
            if self.loses_rows:
                users.start_soon(self.copy_store)
                users.start_soon(self.lose_rows, seconds * self.rng.uniform(0.2, 0.9))
            with anyio.move_on_after(seconds):
                if self.faults:
                    await self.do_harm(users)
                await anyio.sleep_forever()
            self.heal()
            await anyio.sleep(settle_s)
            users.cancel_scope.cancel()

    def different_results(self) -> list[str]:
        """Return the positions at which several results were read."""
        return [
            f"{step} {position}: {readings}"
            for (step, position), readings in sorted(self.readings.items())
            if len(readings) > 1
        ]

    async def train(self, step_id: str, begin_s: float) -> None:
        """Submit a step, and end it some time later."""
        await anyio.sleep(begin_s)
        await self.submit_repeatedly(step_id)
        await anyio.sleep(self.rng.uniform(2.0, 9.0))
        await self.repeat(lambda: self.end(step_id))

    async def submit_repeatedly(self, step_id: str) -> None:
        """Submit a step until it is accepted, perhaps several times at once."""
        request = w.make_submission(GROUPS, SIZE, GROUPS, step_id)
        async with anyio.create_task_group() as tries:
            # A trainer that gets no answer sends its submission again, perhaps to the same VM.
            for _ in range(self.rng.randrange(3)):
                tries.start_soon(self.submit, request)
                await anyio.sleep(self.rng.choice((0.0, 0.002, 0.01, 0.2)))
            await self.repeat(lambda: self.submit(request))

    async def repeat(self, call: Callable[[], Awaitable[bool]]) -> None:
        """Repeat a trainer's call until it succeeds."""
        while True:
            if await call():
                return
            await anyio.sleep(0.3)

    async def end(self, step_id: str) -> bool:
        return await self.choose_vm().end(step_id) == 200

    async def submit(self, request: Request) -> bool:
        """Submit a step to any VM; a VM that is killed meanwhile gives no answer."""
        vm = self.choose_vm()
        try:
            is_accepted = await vm.submit(request) == 202
        except RuntimeError:
            if not vm.scope.cancel_called:
                raise
            return False
        if is_accepted:
            self.accepted.add(w.step_id_of(request))
        return is_accepted

    def choose_vm(self) -> w.StepVm:
        return self.world.vms[self.rng.choice(self.vms)]

    def readable_steps(self) -> list[str]:
        """Return the ids of the steps that readers read."""
        return [f"step-{number}" for number in range(STEPS)]

    async def read_through(self, name: str) -> None:
        """Read all steps through one VM again and again."""
        while True:
            await anyio.sleep(self.rng.uniform(0.05, 0.3))
            step_id = self.rng.choice(self.readable_steps())
            position = self.rng.choice((0, 0, self.rng.randrange(GROUPS * SIZE)))
            query = ResultsQuery(position, 0.0)
            responder = w.RecordingResponder()
            call = StepCall(StepCallKind.RESULTS, StepId(step_id), query)
            vm = self.world.vms[name]
            if vm.scope.cancel_called:
                continue
            await vm.handler.answer_call(call, responder)
            self.reads += 1
            self.refused_reads += responder.status != 200
            if responder.status == 200:
                self.record(name, step_id, position, responder.response.body)

    def record(self, vm: str, step_id: str, position: int, body: bytes) -> None:
        for offset, result in enumerate(json.loads(body)["results"]):
            text = describe_result(result)
            readings = self.readings.setdefault((step_id, position + offset), [])
            if all(reading.result != text for reading in readings):
                readings.append(Reading(vm, anyio.current_time(), text))

    async def copy_store(self) -> None:
        """Keep copies of the store of the last seconds."""
        while True:
            self.copies = [*self.copies[-MAX_LOST_COPIES:], self.world.store.copy()]
            await anyio.sleep(COPY_INTERVAL_S)

    async def do_harm(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begin one fault after the other; they overlap."""
        while True:
            await anyio.sleep(self.rng.expovariate(1.0 / MEAN_FAULT_INTERVAL_S))
            fault: Callable[[], Awaitable[None]] = getattr(self, self.rng.choice(self.faults))
            tasks.start_soon(fault)

    def heal(self) -> None:
        """End all faults."""
        for vm in self.world.vms.values():
            vm.view.flaws.down = False
            vm.view.flaws.delay_s = 0.002
            vm.view.flaws.answer_delay_s = 0.0
            vm.view.flaws.hold_commits = vm.view.flaws.lose_answers = 0
        self.world.store.release()

    async def answers_lost(self) -> None:
        self.choose_vm().view.flaws.lose_answers += self.rng.randrange(1, 4)

    async def commits_late(self) -> None:
        self.choose_vm().view.flaws.hold_commits += self.rng.randrange(1, 4)
        await anyio.sleep(self.rng.uniform(0.1, 4.0))
        self.world.store.release()

    async def answers_late(self) -> None:
        flaws = self.choose_vm().view.flaws
        flaws.answer_delay_s = self.rng.uniform(0.1, 1.0)
        await anyio.sleep(self.rng.uniform(0.5, 3.0))
        flaws.answer_delay_s = 0.0

    async def store_slow(self) -> None:
        for vm in self.world.vms.values():
            vm.view.flaws.delay_s = SLOW_ANSWER_S
        await anyio.sleep(self.rng.uniform(0.5, 4.0))
        for vm in self.world.vms.values():
            vm.view.flaws.delay_s = 0.002

    async def vm_cut(self) -> None:
        """Cut one VM off from the store; its commits on the way may be performed."""
        flaws = self.choose_vm().view.flaws
        flaws.lose_answers = self.rng.randrange(2)
        flaws.down = True
        await anyio.sleep(self.rng.uniform(0.5, 6.0))
        flaws.down = False

    async def store_lost(self) -> None:
        """Take the store away from all VMs; commits on the way are performed, now or late."""
        await self.take_store_away()

    async def lose_rows(self, at_s: float) -> None:
        """Take the store away from all VMs; it comes back without its last rows."""
        await anyio.sleep(at_s)
        copy = self.rng.choice(self.copies[-MAX_LOST_COPIES:])
        await self.take_store_away(lambda: self.world.store.restore(copy))

    async def take_store_away(self, change: Callable[[], None] = lambda: None) -> None:
        for vm in self.world.vms.values():
            vm.view.flaws.lose_answers = self.rng.randrange(2)
            vm.view.flaws.hold_commits = self.rng.randrange(2)
        await anyio.sleep(self.rng.uniform(0.0, 0.2))
        for vm in self.world.vms.values():
            vm.view.flaws.down = True
        await anyio.sleep(self.rng.uniform(0.3, 4.0))
        change()
        for vm in self.world.vms.values():
            vm.view.flaws.down = False
            vm.view.flaws.lose_answers = vm.view.flaws.hold_commits = 0
        await anyio.sleep(self.rng.uniform(0.0, 3.0))
        self.world.store.release()

    async def history_lost(self) -> None:
        self.world.store.forget_history()

    async def vm_restarted(self) -> None:
        name = self.rng.choice(self.vms)
        self.world.kill(self.world.vms[name])
        await anyio.sleep(self.rng.uniform(0.2, 3.0))
        self.boots += 1
        if self.world.vms[name].scope.cancel_called:
            await self.world.start(name, f"boot-{self.boots}")


# What the operators' pages say that the store may do.
ALLOWED_FAULTS = (
    "answers_lost",
    "commits_late",
    "answers_late",
    "store_slow",
    "vm_cut",
    "store_lost",
    "history_lost",
    "vm_restarted",
)


def describe_result(result: dict[str, Any]) -> str:
    """Return a result's sample, and a digest of all that a reader gets of it."""
    content = json.dumps(result, sort_keys=True).encode()
    return f"{result['id']} {result['state']} {xxhash.xxh3_64_hexdigest(content)}"


def event_count(sample_id: str) -> int:
    """Return the length of a sample, so that samples end in another order than they began."""
    return 3 + 7 * sum(sample_id.encode()) % 40


def play_seed(
    seed: int, faults: tuple[str, ...], seconds: float = 20.0, *, loses_rows: bool = False
) -> PositionWorld:
    """Play one seed in virtual time."""
    found: list[PositionWorld] = []

    async def play() -> None:
        async with anyio.create_task_group() as tasks:
            world = w.StepWorld(tasks, event_count=event_count)
            found.append(PositionWorld(seed, faults, loses_rows, world))
            await found[0].play(seconds)
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(play)
    return found[0]
