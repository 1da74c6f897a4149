"""A caller of the soak whose requests crash each target that runs them."""

import random
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from balsamcleat.http1 import Request, Response
from soak_stand import POISON, SoakTarget

# The operators' rule: at most this many runs later than this after the third crash, as far as VMs
# send them that are in touch.
MAX_LATE_RUNS = 3
LATE_AFTER_S = 3.0
CRASHES_TO_JUDGE = 3

Ask = Callable[[Request, float], Awaitable[Response | None]]


@dataclass
class PoisonCaller:
    """Sends the same contents again and again, under new ids and through any VM."""

    seed: int
    host: str
    ask: Ask
    count: int = 0
    rng: random.Random = field(init=False)

    def __post_init__(self) -> None:
        self.rng = random.Random(f"poison {self.seed}")

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            await anyio.sleep(self.rng.uniform(0.1, 0.3))
            self.count += 1
            kind = self.rng.choice(("safe", "once"))
            attempt = f"{kind}-poison-{self.count}"
            headers = (("Host", self.host), ("Attempt-Id", attempt), ("Deadline-Ms", "1500"))
            body = POISON + f"{self.seed}".encode()
            await self.ask(Request("POST", f"/{kind}/x", headers, body), 2.0)


def late_runs(targets: list[SoakTarget], calm: Callable[[float], bool]) -> dict[str, list[float]]:
    """Return the runs of each content that the rule counts, by the content's path.

    Args:
        targets: Targets that ran the contents.
        calm: Returns whether all VMs were in touch at a time.
    """
    runs: dict[str, list[float]] = defaultdict(list)
    for target in targets:
        for path, at_s in target.poison_runs:
            runs[path].append(at_s)
    late = {}
    for path, times in runs.items():
        if len(times) < CRASHES_TO_JUDGE:
            continue
        judged_from_s = sorted(times)[CRASHES_TO_JUDGE - 1] + LATE_AFTER_S
        late[path] = [at_s for at_s in sorted(times) if at_s > judged_from_s and calm(at_s)]
    return late
