"""A trainer of the soak: it submits steps, reads them from any VM and position, and ends them."""

import base64
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc

from balsamcleat.http1 import Request, Response
from soak_faults import SoakVm
from soak_stand import events_of, fails_always, scoring_id, stamp_of

STEP_SAMPLES = 24
READ_SHARE = 0.8
READ_S = 12.0
SUBMISSION_TIMEOUT_S = 2.5
RETRY_S = 0.3
# Share of submissions that a trainer sends twice at once to one VM.
SENT_TWICE_SHARE = 0.3

Ask = Callable[[Request, float, SoakVm | None], Awaitable[Response | None]]
Headers = tuple[tuple[str, str], ...]


@dataclass
class SubmittedStep:
    """Step as its trainer knows it.

    Attributes:
        step_id: Id of the step.
        headers: Headers of each call about the step.
        bodies: Decoded body of each sample, by sample id.
        min_version: Oldest weight version that may generate its samples.
        is_scored: Whether the samples have scores.
        submitted_s: Time at which its submission was first sent.
        accepted_s: Time of the first response with 202; None before.
        is_end_sent: Whether the trainer has asked for the end of the step.
        ended_s: Time of the response to the end of the step; None before.
    """

    step_id: str
    headers: Headers
    bodies: dict[str, bytes]
    min_version: int = 1
    is_scored: bool = False
    submitted_s: float = 0.0
    accepted_s: float | None = None
    is_end_sent: bool = False
    ended_s: float | None = None


@dataclass
class SoakTrainer:
    """Trains one model with steps, one after the other.

    Attributes:
        name: Prefix of the step ids.
        host: Host of the routes.
        headers: Headers of all requests.
        vms: VMs among which each request draws one.
        tasks: Tasks that outlive a request of the trainer.
        name_version: Names a weight version of the model.
        owner_dies: Harms the owner of a step; None once all has to settle.
        read: Result that was read first at each position, by step id and position.
        finished: Number of steps of which enough results were read in time.
    """

    name: str
    model: str
    host: str
    headers: Headers
    vms: list[SoakVm]
    ask: Ask
    tasks: anyio.abc.TaskGroup
    breaks: Callable[[str, str], None]
    name_version: Callable[[str, int], None]
    rng: random.Random
    owner_dies: Callable[[str], Awaitable[None]] | None = None
    version: int = 1
    finished: int = 0
    submitted: int = 0
    steps: dict[str, SubmittedStep] = field(default_factory=dict)
    read: dict[tuple[str, int], str] = field(default_factory=dict)

    async def train(self) -> None:
        """Run steps until cancelled, and name a version after each of them."""
        while True:
            await self.run_step()
            self.version += 1
            self.name_version(self.model, self.version)

    async def run_step(self) -> None:
        """Submit a step, read it, and end it."""
        step = self.new_step()
        await self.submit(step)
        await self.read_step(step)
        if self.owner_dies is not None and self.rng.random() < 0.3:
            # The end meets the take-over of the step.
            self.tasks.start_soon(self.owner_dies, step.step_id)
            await anyio.sleep(self.rng.uniform(1.0, 4.0))
        await self.end(step)

    def new_step(self) -> SubmittedStep:
        """Return the next step; the samples of every other one are scored."""
        step_id = f"{self.name}x{self.submitted}"
        bodies = {
            f"{step_id}i{place}": f"{step_id}{place}".encode() for place in range(STEP_SAMPLES)
        }
        min_version = max(1, self.version - 1)
        is_scored = self.submitted % 2 == 1
        step = SubmittedStep(step_id, self.headers, bodies, min_version, is_scored)
        self.steps[step_id] = step
        self.submitted += 1
        return step

    def submission(self, step: SubmittedStep) -> Request:
        """Return the request that submits a step."""
        body = {
            "model": self.model,
            "minVersion": step.min_version,
            "targetGroups": 5,
            "requests": [
                self.item(step, place, sample_id) for place, sample_id in enumerate(step.bodies)
            ],
        }
        headers = (
            *self.headers,
            ("Attempt-Id", step.step_id),
            ("Content-Type", "application/json"),
        )
        return Request("POST", "/steps/s", headers, json.dumps(body).encode())

    def item(self, step: SubmittedStep, place: int, sample_id: str) -> dict[str, object]:
        """Return a sample as the submission states it."""
        body = base64.b64encode(step.bodies[sample_id]).decode()
        item: dict[str, object] = {
            "id": sample_id,
            "path": "/steps/g",
            "group": f"{step.step_id}g{place // 4}",
            "headers": {"Model": self.model, "Length-Hint": "900"},
            "body": body,
        }
        if step.is_scored:
            scorer = {"id": scoring_id(sample_id), "host": self.host, "path": "/safe/score"}
            item["scorerUrl"] = {**scorer, "body": body}
        return item

    async def submit(self, step: SubmittedStep) -> None:
        """Send a submission until it is accepted."""
        request = self.submission(step)
        step.submitted_s = anyio.current_time()
        while True:
            if await self.submit_once(step, request):
                return
            await anyio.sleep(RETRY_S)

    async def submit_once(self, step: SubmittedStep, request: Request) -> bool:
        """Send a submission to any VM, at times twice, and return whether it was accepted."""
        vm = self.rng.choice(self.vms)
        if self.rng.random() < SENT_TWICE_SHARE:
            # A trainer that gets no answer in time may send it again to the same VM.
            self.tasks.start_soon(self.send_submission, step, request, vm)
        return await self.send_submission(step, request, vm)

    async def send_submission(self, step: SubmittedStep, request: Request, vm: SoakVm) -> bool:
        response = await self.ask(request, SUBMISSION_TIMEOUT_S, vm)
        is_accepted = response is not None and response.status == 202
        if is_accepted and step.accepted_s is None:
            step.accepted_s = anyio.current_time()
        return is_accepted

    async def read_step(self, step: SubmittedStep) -> None:
        """Read a step until enough results came or its time is over."""
        count = len(step.bodies)
        began_s, found = anyio.current_time(), 0
        while found < count * READ_SHARE and anyio.current_time() - began_s < READ_S:
            position = self.rng.choice((found, found, 0))
            found = max(found, await self.read_results(step, position))
            await anyio.sleep(0.2)
        self.finished += found >= count * READ_SHARE

    async def end(self, step: SubmittedStep) -> None:
        """Ask for the end of a step until it is acknowledged."""
        while True:
            step.is_end_sent = True
            request = Request("DELETE", f"/lots/{step.step_id}", self.headers)
            end = await self.ask(request, SUBMISSION_TIMEOUT_S, None)
            if end is not None and end.status == 200:
                step.ended_s = anyio.current_time()
                return
            await anyio.sleep(RETRY_S)

    async def read_results(self, step: SubmittedStep, position: int) -> int:
        """Read a page and check it; returns the next position."""
        headers = (*self.headers, ("Wait-Ms", "500"))
        request = Request("GET", f"/lots/{step.step_id}?after={position}", headers)
        response = await self.ask(request, 3.0, None)
        if response is None or response.status == 503:
            return position
        if response.status != 200:
            self.breaks("step kept", f"{step.step_id} read with {response.status}")
            return position
        page = json.loads(response.body)
        if page["totalCount"] != len(step.bodies) or page["next"] != position + len(
            page["results"]
        ):
            self.breaks("positions", f"{step.step_id} {page['totalCount']} {page['next']}")
        for offset, result in enumerate(page["results"]):
            self.check_result(step, position + offset, result)
        return int(page["next"])

    def check_result(self, step: SubmittedStep, position: int, result) -> None:
        """Check a result that was read, and remember it by its position."""
        step_id, text = step.step_id, json.dumps(result, sort_keys=True)
        if self.read.setdefault((step_id, position), text) != text:
            self.breaks("position never changes", f"{step_id} {position}")
        known = [at for at, other in self.read.items() if at[0] == step_id and other == text]
        if len(known) > 1:
            self.breaks("listed once", f"{step_id} {result['id']} at {known}")
        if result["state"] != "complete":
            if fails_always(result["id"]):
                return
            self.breaks("given up only where allowed", f"{step_id} {result['id']}")
            return
        check_content(step, result, self.breaks)


def check_content(step: SubmittedStep, result, breaks: Callable[[str, str], None]) -> None:
    """Check the text, the versions and the score of a complete result."""
    lines = [line.split(":") for line in result["text"].split("\n")]
    numbers = [int(line[1]) for line in lines]
    if numbers != list(range(1, events_of(result["id"]) + 1)):
        breaks("whole text", f"{result['id']} has events {numbers}")
    writers = [line[3] for line in lines]
    if len(set(writers)) > 1:
        breaks("one software version a sample", f"{result['id']} {writers}")
    made = sorted({int(line[2][1:]) for line in lines})
    if made != result["versions"]:
        breaks("versions named", f"{result['id']} {made} {result['versions']}")
    score = stamp_of(scoring_id(result["id"])) if step.is_scored else None
    if result.get("score") != score:
        breaks("own score", f"{result['id']} {result.get('score')}")
    if made[0] < step.min_version:
        breaks("staleness", f"{result['id']} {made} under {step.min_version}")
