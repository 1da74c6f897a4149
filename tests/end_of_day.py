"""Readers that read all steps from their first position at the end of a day, and what they find.

The checks are those of the operators' page: what was read comes again, what was accepted can be
read, what is not listed gives its body, and no sample stands at two positions.
"""

import json
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import anyio

import step_world as w
from balsamcleat.model import StepId
from balsamcleat.platform import ResultsQuery, StepCall, StepCallKind
from position_world import GROUPS, SIZE, PositionWorld

SAMPLES = GROUPS * SIZE
# Time after which reads must find everything, in seconds; on the operators' page `finishS`.
FINISH_S = 10.0
# Time after which all samples of the steps that were not ended must be listed, in seconds.
LISTING_S = 25.0
READ_INTERVAL_S = 0.25
LISTING_INTERVAL_S = 1.0


@dataclass
class Findings:
    """What readers found broken, one text for each case, and how long reads were put off.

    Attributes:
        missing: Results that had been read and do not come again in time.
        unreadable: Accepted steps that a VM does not know, cannot read, or counts wrongly.
        bodies: Samples that are not listed and whose bodies do not come, or with other bytes.
        doubled: Samples that stand at two positions of their step.
        stalled: Steps that were not ended and whose samples are not all listed in time.
        delays_s: Time until a step could be read in full again, for each reader, in seconds.
        statuses: Numbers of answers to reads of results, by status.
    """

    missing: list[str] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)
    bodies: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)
    stalled: list[str] = field(default_factory=list)
    delays_s: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)

    def broken(self) -> dict[str, list[str]]:
        """Return the checks that found something, with what they found."""
        checks = ("missing", "unreadable", "bodies", "doubled", "stalled")
        return {check: getattr(self, check) for check in checks if getattr(self, check)}


@dataclass(frozen=True)
class StepReading:
    """Results of a step by position, and whether the last page was reached without a refusal."""

    results: dict[int, str]
    is_whole: bool

    def has(self, expected: Mapping[int, str]) -> bool:
        """Return whether the step was read in full and all expected results came."""
        return self.is_whole and expected.items() <= self.results.items()


@dataclass
class EndOfDayReader:
    """Reads one step through one VM.

    Attributes:
        world: World of the VMs.
        vm: Name of the VM.
        step_id: Id of the step.
        expected: Results that were read before the end of the day, by position.
        is_first: Whether it is the VM's only reader that reads bodies as well.
        waits_for_all: Whether to read until all samples are listed, as they must be at last
            unless the step was ended.
        began_s: Time from which the reader's time counts, on the process clock.
        findings: Receives what the reader finds.
    """

    world: PositionWorld
    vm: str
    step_id: str
    expected: Mapping[int, str]
    is_first: bool
    waits_for_all: bool
    began_s: float
    findings: Findings

    async def check(self) -> None:
        """Read the results and the bodies, and note what is broken."""
        reading = await self.read_again()
        if reading.has(self.expected):
            self.findings.delays_s.append(self.passed_s())
        self.note_missing(reading)
        if self.is_first and self.step_id in self.world.accepted:
            await self.check_bodies(reading)
        if self.waits_for_all:
            await self.check_listing()

    def note_missing(self, reading: StepReading) -> None:
        """Note results that did not come again, and a step that can't be read."""
        if not self.expected.items() <= reading.results.items():
            came = len(self.expected.items() & reading.results.items())
            self.note("missing", f"{came} of {len(self.expected)} come again")
        elif not reading.is_whole and self.step_id in self.world.accepted:
            self.note("unreadable", "its reads are refused")

    def note(self, check: str, what: str) -> None:
        """Note a finding of a check."""
        getattr(self.findings, check).append(f"{self.vm} {self.step_id}: {what}")

    async def read_again(self) -> StepReading:
        """Read the step until all that is expected has come, or the time is over."""
        reading = await self.read_step()
        while not reading.has(self.expected) and self.passed_s() < FINISH_S:
            await anyio.sleep(READ_INTERVAL_S)
            reading = await self.read_step()
        return reading

    def passed_s(self) -> float:
        """Return the time that has passed since the reader's time began, in seconds."""
        return anyio.current_time() - self.began_s

    async def read_step(self) -> StepReading:
        """Read the step page by page from its first position."""
        found: dict[int, str] = {}
        while True:
            responder = await self.call(StepCallKind.RESULTS, query=ResultsQuery(len(found), 0.0))
            self.findings.statuses[responder.status] += 1
            if responder.status != 200:
                if responder.status == 404 and self.step_id in self.world.accepted:
                    self.note("unreadable", "404 for an accepted step")
                break
            self.world.record(self.vm, self.step_id, len(found), responder.response.body)
            fields = json.loads(responder.response.body)
            if fields["totalCount"] != SAMPLES:
                self.note("unreadable", f"totalCount is {fields['totalCount']}")
            if not fields["results"]:
                break
            for result in fields["results"]:
                found[len(found)] = f"{result['id']} {result['state']}"
        self.note_doubled(found)
        return StepReading(found, responder.status == 200)

    def note_doubled(self, found: dict[int, str]) -> None:
        """Note samples at several positions."""
        counts = Counter(result.split()[0] for result in found.values())
        doubled = [sample_id for sample_id, count in counts.items() if count > 1]
        if doubled:
            self.note("doubled", ", ".join(doubled))

    async def check_bodies(self, reading: StepReading) -> None:
        """Read the bodies of the samples that are not listed."""
        listed = {result.split()[0] for result in reading.results.values()}
        for number in range(SAMPLES):
            sample_id = f"{number // SIZE}-{number % SIZE}"
            if sample_id not in listed:
                await self.check_body(sample_id)

    async def check_body(self, sample_id: str) -> None:
        """Read a sample's body, again after each refusal."""
        responder = await self.call(StepCallKind.BODY, sample_id=sample_id)
        while responder.status != 200 and self.passed_s() < FINISH_S:
            await anyio.sleep(READ_INTERVAL_S)
            responder = await self.call(StepCallKind.BODY, sample_id=sample_id)
        if responder.status != 200:
            self.note("bodies", f"{sample_id} is answered {responder.status}")
        elif responder.response.body != sample_id.encode():
            self.note("bodies", f"{sample_id} has {responder.response.body[:40]!r}")

    async def check_listing(self) -> None:
        """Read the step until all its samples are listed as complete."""
        reading = await self.read_step()
        while len(reading.results) < SAMPLES and self.passed_s() < LISTING_S:
            await anyio.sleep(LISTING_INTERVAL_S)
            reading = await self.read_step()
        complete = sum(result.endswith(" complete") for result in reading.results.values())
        if complete < SAMPLES:
            self.note("stalled", f"{complete} of {SAMPLES} are complete")

    async def call(
        self, kind: StepCallKind, query: ResultsQuery | None = None, sample_id: str = ""
    ) -> w.RecordingResponder:
        """Call the VM and return the responder with its answer."""
        responder = w.RecordingResponder()
        call = StepCall(kind, StepId(self.step_id), query, sample_id)
        await self.world.world.vms[self.vm].handler.answer_call(call, responder)
        return responder
