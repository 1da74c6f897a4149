"""Readers of the soak that read every step from its start, at every VM, after the traffic's end."""

import json
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc

from balsamcleat.http1 import Request, Response
from soak_faults import SoakVm
from soak_stand import fails_always
from soak_trainer import Ask, SubmittedStep, check_content

__all__ = ["COMES_AGAIN", "FINISH_S", "STATUS_S", "ExpectedStep", "ReadAgain"]

COMES_AGAIN = "what was read comes again after a loss of power"
READERS_PER_VM = 3
# The operators' bounds: steps are read within this time after the traffic's end, and an ended step
# is readable until this long after its submission.
FINISH_S = 10.0
STATUS_S = 120.0
# Samples may be given up this long after the submission of their step.
QUEUE_TTL_S = 60.0
RETRY_S = 0.75
READ_TIMEOUT_S = 3.0
# A VM that has not answered by then is not waited for.
START_S = 8.0
# Steps that one reader reads at once.
MAX_PARALLEL_STEPS = 4


@dataclass(frozen=True)
class ExpectedStep:
    """Accepted step with the result that was read at each position, as JSON."""

    step: SubmittedStep
    results: dict[int, str]

    @property
    def step_id(self) -> str:
        return self.step.step_id


@dataclass
class StepReading:
    """What one reader has got of one step at one VM.

    Attributes:
        results: Results by position, as JSON, of the last time all pages came.
        status: Last status that was not 200, or 0 where there was no whole answer.
        samples: Samples whose bodies this reader asks for while they are not listed.
        bodies_missing: Samples that are not listed and whose bodies have not come.
    """

    vm: SoakVm
    expected: ExpectedStep
    samples: set[str]
    is_whole: bool = False
    results: dict[int, str] = field(default_factory=dict)
    status: int = 200
    bodies_missing: set[str] = field(default_factory=set)

    @property
    def is_complete(self) -> bool:
        """Return whether all came that must come."""
        has_results = self.expected.results.items() <= self.results.items()
        return self.is_whole and has_results and not self.bodies_missing


@dataclass
class ReadAgain:
    """Reads steps from their first position, page by page, until all came or the time is over.

    Attributes:
        steps: Steps that were accepted before.
        breaks: Records a broken promise.
        known: Result that was seen first at each position, by any reader, as JSON.
        statuses: Numbers of answers by status; 0 counts those that did not come.
        began_s: Time at which the readers began.
        complete_s: Time after which the last reader was done, in seconds from the start.
        answered_s: Time of the first answer of each VM, by name.
    """

    vms: list[SoakVm]
    ask: Ask
    steps: list[ExpectedStep]
    breaks: Callable[[str, str], None]
    known: dict[tuple[str, int], str] = field(default_factory=dict)
    statuses: Counter[int] = field(default_factory=Counter)
    began_s: float = 0.0
    complete_s: float = 0.0
    answered_s: dict[str, float] = field(default_factory=dict)
    readings: list[StepReading] = field(default_factory=list)
    broken: set[tuple[str, str]] = field(default_factory=set)

    async def run(self) -> None:
        """Read all steps by several readers at each VM, and report what did not come."""
        for expected in self.steps:
            for position, text in expected.results.items():
                self.known[expected.step_id, position] = text
        self.began_s = anyio.current_time()
        async with anyio.create_task_group() as readers:
            for number in range(READERS_PER_VM * len(self.vms)):
                self.start_reader(number, readers)
        self.complete_s = anyio.current_time() - self.began_s
        self.report()

    def start_reader(self, number: int, readers: anyio.abc.TaskGroup) -> None:
        """Start one reader; all readers together ask for the body of every sample."""
        vm, limiter = self.vms[number % len(self.vms)], anyio.CapacityLimiter(MAX_PARALLEL_STEPS)
        for expected in self.steps:
            step = expected.step
            samples = sorted(step.bodies)[number :: READERS_PER_VM * len(self.vms)]
            reading = StepReading(vm, expected, set() if step.is_end_sent else set(samples))
            self.readings.append(reading)
            readers.start_soon(self.read_step, reading, limiter)

    @property
    def deadline_s(self) -> float:
        """Time until which readers try again; it counts from the first answer of the last VM."""
        if len(self.answered_s) < len(self.vms):
            return self.began_s + START_S + FINISH_S
        return max(self.answered_s.values()) + FINISH_S

    def breaks_once(self, promise: str, detail: str) -> None:
        """Record a broken promise that several readers see."""
        if (promise, detail) not in self.broken:
            self.broken.add((promise, detail))
            self.breaks(promise, detail)

    async def read_step(self, reading: StepReading, limiter: anyio.CapacityLimiter) -> None:
        """Read a step again and again until all came."""
        while True:
            async with limiter:
                await self.read_pages(reading)
                if reading.is_whole:
                    await self.ask_bodies(reading)
            if reading.is_complete or anyio.current_time() > self.deadline_s:
                return
            await anyio.sleep(RETRY_S)

    async def get(self, path: str, reading: StepReading) -> Response | None:
        """Return the answer with status 200, or None; 404 for a kept step breaks a promise."""
        request = Request("GET", path, reading.expected.step.headers)
        response = await self.ask(request, READ_TIMEOUT_S, reading.vm)
        status = response.status if response is not None else 0
        self.statuses[status] += 1
        if response is not None:
            self.answered_s.setdefault(reading.vm.name, anyio.current_time())
        if status != 200:
            reading.status = status
        return response if status == 200 else None

    async def read_pages(self, reading: StepReading) -> None:
        """Read the pages of a step from its first position until one is empty."""
        found: dict[int, str] = {}
        step_id = reading.expected.step_id
        reading.is_whole = False
        while True:
            response = await self.get(f"/lots/{step_id}?after={len(found)}", reading)
            if response is None:
                if reading.status not in (0, 503):
                    detail = f"{step_id} at {reading.vm.name} with {reading.status}"
                    self.breaks_once("an accepted step is known", detail)
                return
            page = json.loads(response.body)
            results = page["results"]
            is_right_count = page["totalCount"] == len(reading.expected.step.bodies)
            if not is_right_count or page["next"] != len(found) + len(results):
                counts = f"{page['totalCount']} {page['next']}"
                self.breaks_once("positions", f"{step_id} at {reading.vm.name} {counts}")
            for result in results:
                self.check_result(reading, len(found), result)
                found[len(found)] = json.dumps(result, sort_keys=True)
            if not results:
                break
        reading.results, reading.is_whole = found, True
        self.check_samples(reading)

    def check_result(self, reading: StepReading, position: int, result) -> None:
        """Compare a result with the one at its position that anyone has read."""
        step, text = reading.expected.step, json.dumps(result, sort_keys=True)
        at = (step.step_id, position)
        is_new = at not in self.known
        if self.known.setdefault(at, text) != text:
            detail = f"{step.step_id} {position} at {reading.vm.name}"
            self.breaks_once("position never changes", detail)
        if not is_new:
            return
        if result["id"] not in step.bodies:
            self.breaks("own samples", f"{step.step_id} {result['id']}")
        elif result["state"] == "complete":
            check_content(step, result, self.breaks)
        elif fails_always(result["id"]):
            return
        elif not step.is_end_sent and anyio.current_time() < step.submitted_s + QUEUE_TTL_S:
            self.breaks("given up only where allowed", f"{step.step_id} {result['id']}")

    def check_samples(self, reading: StepReading) -> None:
        """Check that no sample stands at two positions of what one reader got."""
        samples = Counter(json.loads(text)["id"] for text in reading.results.values())
        for sample_id, count in samples.items():
            if count > 1:
                detail = f"{sample_id} at {count} positions at {reading.vm.name}"
                self.breaks_once("listed once", detail)

    async def ask_bodies(self, reading: StepReading) -> None:
        """Ask for the bodies of the reader's samples that it has not seen listed."""
        step = reading.expected.step
        reading.samples -= {json.loads(text)["id"] for text in reading.results.values()}
        reading.bodies_missing = set()
        for sample_id in sorted(reading.samples):
            response = await self.get(f"/items/{step.step_id}?id={sample_id}", reading)
            if response is None:
                # The sample may have been listed meanwhile, which the next reading shows.
                reading.bodies_missing.add(sample_id)
                continue
            reading.samples.remove(sample_id)
            if response.body != step.bodies[sample_id]:
                self.breaks_once("own body", f"{sample_id} at {reading.vm.name}")

    def report(self) -> None:
        """Report each step of which something did not come, with what came at each VM."""
        readings: dict[str, list[StepReading]] = defaultdict(list)
        for reading in self.readings:
            readings[reading.expected.step_id].append(reading)
        for step_id, all_readings in readings.items():
            incomplete = [reading for reading in all_readings if not reading.is_complete]
            if incomplete:
                state = "ended" if incomplete[0].expected.step.is_end_sent else "open"
                what = "; ".join(sorted({self.described(reading) for reading in incomplete}))
                count = len(incomplete[0].expected.results)
                detail = f"{step_id} ({state}, {count} results were read): {what}"
                self.breaks(COMES_AGAIN, detail)

    def described(self, reading: StepReading) -> str:
        """Return what came of a step at a VM."""
        came = len(reading.expected.results.items() & reading.results.items())
        bodies = f", {len(reading.bodies_missing)} bodies missing" * bool(reading.bodies_missing)
        return f"{reading.vm.name} {came} come again{bodies} (last error {reading.status})"

    @property
    def summary(self) -> str:
        """Steps, results and answers in one line."""
        ended = sum(expected.step.is_end_sent for expected in self.steps)
        results = sum(len(expected.results) for expected in self.steps)
        errors = {status: count for status, count in self.statuses.items() if status != 200}
        return (
            f"read again: {ended} steps ended and {len(self.steps) - ended} open, with {results}"
            f" results read before, done after {self.complete_s:.1f} s, answers but 200: {errors}"
        )
