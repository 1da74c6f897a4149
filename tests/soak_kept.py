"""A step of the soak whose route is removed once its results were read; it stays readable."""

import base64
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from balsamcleat.http1 import Request, Response
from soak_trainer import SubmittedStep

HOST = "kept.example"
STEP = "kept0"
ITEMS = 8
BODY = b"kept"
READ_TIMEOUT_S = 3.0

Ask = Callable[[Request, float], Awaitable[Response | None]]


@dataclass
class KeptStep:
    """Submits a step, reads it, has its route removed, and reads it from its start ever after."""

    ask: Ask
    headers: tuple[tuple[str, str], ...]
    model: str
    remove_route: Callable[[], None]
    breaks: Callable[[str, str], None]
    rng: random.Random
    read: dict[int, str] = field(default_factory=dict)
    is_submitted: bool = False
    submitted_s: float = 0.0

    async def run(self) -> None:
        is_removed = False
        self.submitted_s = anyio.current_time()
        while True:
            if not self.is_submitted:
                self.is_submitted = await self.submit()
            elif len(self.read) < ITEMS:
                await self.read_page(len(self.read))
            else:
                if not is_removed:
                    self.remove_route()
                    is_removed = True
                await self.read_page(self.rng.choice((0, 0, ITEMS - 1)))
            await anyio.sleep(0.3)

    async def submit(self) -> bool:
        items = [
            {
                "id": f"{STEP}i{place}",
                "path": "/kept/g",
                "group": f"g{place}",
                "headers": {"Model": self.model},
                "body": base64.b64encode(BODY).decode(),
            }
            for place in range(ITEMS)
        ]
        body = {"model": self.model, "minVersion": 1, "targetGroups": ITEMS, "requests": items}
        headers = (*self.headers, ("Attempt-Id", STEP), ("Content-Type", "application/json"))
        request = Request("POST", "/kept/s", headers, json.dumps(body).encode())
        response = await self.ask(request, READ_TIMEOUT_S)
        return response is not None and response.status == 202

    async def read_page(self, position: int) -> None:
        request = Request("GET", f"/lots/{STEP}?after={position}", self.headers)
        response = await self.ask(request, READ_TIMEOUT_S)
        if response is None or response.status == 503:
            return
        if response.status != 200:
            self.breaks("a kept step is readable without its route", str(response.status))
            return
        for offset, result in enumerate(json.loads(response.body)["results"]):
            text = json.dumps(result, sort_keys=True)
            if self.read.setdefault(position + offset, text) != text:
                self.breaks("position never changes", f"{STEP} {position + offset}")

    def submitted_step(self) -> SubmittedStep:
        """Return the step as the readers after its traffic expect it."""
        bodies = {f"{STEP}i{place}": BODY for place in range(ITEMS)}
        return SubmittedStep(STEP, self.headers, bodies, submitted_s=self.submitted_s)
