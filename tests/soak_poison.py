"""A caller of the soak whose requests crash each target that runs them.

It has several client machines, as behind a load balancer, so that any address may send the request.
"""

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from soak_builds import AUTHORIZATION
from soak_stand import POISON, SoakTarget

# The operators' rule: at most this many runs later than this after the third crash, as far as VMs
# send them that are in touch.
MAX_LATE_RUNS = 3
LATE_AFTER_S = 3.0
CRASHES_TO_JUDGE = 3

CLIENT_ADDRESSES = tuple(f"127.0.9.{number}" for number in range(1, 9))
SEND_TIMEOUT_S = 2.0


async def send(vm_address: str, client_address: str, request: bytes) -> None:
    """Send a request from a client's address and wait for the response or the end."""
    host, _, port = vm_address.rpartition(":")
    with anyio.move_on_after(SEND_TIMEOUT_S):
        try:
            async with await anyio.connect_tcp(
                host, int(port), local_host=client_address
            ) as stream:
                await stream.send(request)
                await stream.receive()
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            # The VM ended; the content is sent again soon.
            return


@dataclass
class PoisonCaller:
    """Sends the same contents again and again, under new ids and through any VM."""

    seed: int
    host: str
    choose_vm: Callable[[], str]
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
            body = POISON + f"{self.seed}".encode()
            head = (
                f"POST /{kind}/x HTTP/1.1\r\nHost: {self.host}\r\nAttempt-Id: {attempt}\r\n"
                f"{': '.join(AUTHORIZATION)}\r\nDeadline-Ms: 1500\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            client = self.rng.choice(CLIENT_ADDRESSES)
            await send(self.choose_vm(), client, head.encode() + body)


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
