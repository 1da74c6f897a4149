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
from position_world import GROUPS, SIZE, PositionWorld, describe_result

SAMPLES = GROUPS * SIZE
# Time after which reads must find everything, in seconds; on the operators' page `finishS`.
FINISH_S = 10.0
# Time after which all samples of the steps that were not ended must be listed, in seconds.
LISTING_S = 45.0
READ_INTERVAL_S = 0.5
# Time after which a result counts as lost, not only as late, and interval of reads until then.
PATIENCE_S = 40.0
LATE_READ_INTERVAL_S = 2.0
LISTING_INTERVAL_S = 1.0


@dataclass
class Findings:
    """What readers found broken, one text for each case, and how long reads were put off.

    Attributes:
        missing: Results that had been read and do not come again.
        late: Steps and bodies that come again, but not in time.
        unreadable: Accepted steps that a VM does not know, cannot read, or counts wrongly.
        bodies: Samples that are not listed and whose bodies do not come, or with other bytes.
        doubled: Samples that stand at two positions of their step.
        stalled: Steps that were not ended and whose samples are not all listed in time.
        delays_s: Time until a step could be read in full again, for each reader, in seconds.
        statuses: Numbers of answers to reads of results, by status.
    """

    missing: list[str] = field(default_factory=list)
    late: list[str] = field(default_factory=list)
    unreadable: list[str] = field(default_factory=list)
    bodies: list[str] = field(default_factory=list)
    doubled: list[str] = field(default_factory=list)
    stalled: list[str] = field(default_factory=list)
    delays_s: list[float] = field(default_factory=list)
    statuses: Counter[int] = field(default_factory=Counter)

    def broken(self) -> dict[str, list[str]]:
        """Return the checks that found something, with what they found."""
        checks = ("missing", "late", "unreadable", "bodies", "doubled", "stalled")
        return {check: getattr(self, check) for check in checks if getattr(self, check)}


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
        found: Results that the reader has read, by position.
    """

    world: PositionWorld
    vm: str
    step_id: str
    expected: Mapping[int, str]
    is_first: bool
    waits_for_all: bool
    began_s: float
    findings: Findings
    found: dict[int, str] = field(default_factory=dict)

    async def check(self) -> None:
        """Read the results and the bodies, and note what is broken."""
        is_whole = await self.read_again()
        if is_whole and self.has_all():
            self.findings.delays_s.append(self.passed_s())
            self.note_late("the step")
        elif not self.has_all():
            came = len(self.expected.items() & self.found.items())
            self.note("missing", f"{came} of {len(self.expected)} come again")
        elif self.step_id in self.world.accepted:
            self.note("unreadable", "its reads are refused")
        if self.is_first and self.step_id in self.world.accepted:
            await self.check_bodies()
        if self.waits_for_all:
            await self.check_listing()

    def has_all(self) -> bool:
        """Return whether all results that had been read have come again."""
        return self.expected.items() <= self.found.items()

    def note_late(self, what: str) -> None:
        """Note that something came after the time that the page allows."""
        if self.passed_s() > FINISH_S:
            self.note("late", f"{what} after {self.passed_s():.1f} s")

    def note(self, check: str, what: str) -> None:
        """Note a finding of a check."""
        getattr(self.findings, check).append(f"{self.vm} {self.step_id}: {what}")

    async def read_again(self) -> bool:
        """Read the step until all that is expected has come, or the time is over.

        Returns:
            Whether the last page was read.
        """
        is_whole = await self.read_on()
        while not (is_whole and self.has_all()) and self.passed_s() < PATIENCE_S:
            if is_whole:
                self.found.clear()
            await self.wait()
            is_whole = await self.read_on()
        return is_whole

    async def wait(self) -> None:
        """Wait before the next try."""
        is_late = self.passed_s() > FINISH_S
        await anyio.sleep(LATE_READ_INTERVAL_S if is_late else READ_INTERVAL_S)

    def passed_s(self) -> float:
        """Return the time that has passed since the reader's time began, in seconds."""
        return anyio.current_time() - self.began_s

    async def read_on(self) -> bool:
        """Read the step page by page, from the first position that this reader has not read.

        Returns:
            Whether the last page was read; a refusal ends the reading before.
        """
        while True:
            query = ResultsQuery(len(self.found), 0.0)
            responder = await self.call(StepCallKind.RESULTS, query=query)
            self.findings.statuses[responder.status] += 1
            if responder.status != 200:
                if responder.status == 404 and self.step_id in self.world.accepted:
                    self.note("unreadable", "404 for an accepted step")
                return False
            if not self.add_page(responder.response.body):
                self.note_doubled()
                return True

    def add_page(self, body: bytes) -> int:
        """Add a page of results to those that were found, and return their number."""
        self.world.record(self.vm, self.step_id, len(self.found), body)
        fields = json.loads(body)
        if fields["totalCount"] != SAMPLES:
            self.note("unreadable", f"totalCount is {fields['totalCount']}")
        for result in fields["results"]:
            self.found[len(self.found)] = describe_result(result)
        return len(fields["results"])

    def note_doubled(self) -> None:
        """Note samples at several positions."""
        counts = Counter(result.split()[0] for result in self.found.values())
        doubled = [sample_id for sample_id, count in counts.items() if count > 1]
        if doubled:
            self.note("doubled", ", ".join(doubled))

    async def check_bodies(self) -> None:
        """Read the bodies of the samples that are not listed."""
        listed = {result.split()[0] for result in self.found.values()}
        for number in range(SAMPLES):
            sample_id = f"{number // SIZE}-{number % SIZE}"
            if sample_id not in listed:
                await self.check_body(sample_id)

    async def check_body(self, sample_id: str) -> None:
        """Read a sample's body, again after each refusal."""
        responder = await self.call(StepCallKind.BODY, sample_id=sample_id)
        is_refused = responder.status != 200
        while responder.status != 200 and self.passed_s() < PATIENCE_S:
            await self.wait()
            responder = await self.call(StepCallKind.BODY, sample_id=sample_id)
        if responder.status != 200:
            self.note("bodies", f"{sample_id} is answered {responder.status}")
        elif responder.response.body != sample_id.encode():
            self.note("bodies", f"{sample_id} has {responder.response.body[:40]!r}")
        elif is_refused:
            self.note_late(f"the body of {sample_id}")

    async def check_listing(self) -> None:
        """Read the step until all its samples are listed as complete."""
        await self.read_on()
        while len(self.found) < SAMPLES and self.passed_s() < LISTING_S:
            await anyio.sleep(LISTING_INTERVAL_S)
            await self.read_on()
        complete = sum(" complete " in result for result in self.found.values())
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
