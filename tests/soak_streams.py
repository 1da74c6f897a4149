"""Callers of the soak that resume interrupted streams at any VM, and check who wrote them."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import h11

from balsamcleat.http1 import EventParser
from soak_builds import AUTHORIZATION
from soak_stand import events_of

CALLERS = 5
READ_TIMEOUT_S = 3.0
MAX_TRIES = 4


@dataclass
class StreamCaller:
    """Reads streams, several at once; a stream goes on at another VM after it broke off.

    Attributes:
        choose_vm: Returns the address of any VM.
        breaks: Records a broken promise.
        finished: Number of streams that were read to their ends.
        resumed: Number of streams that went on after a break.
        refused: Number of streams that had to begin anew.
    """

    host: str
    choose_vm: Callable[[], str]
    breaks: Callable[[str, str], None]
    rng: random.Random
    finished: int = 0
    resumed: int = 0
    refused: int = 0
    events: dict[str, list[str]] = field(default_factory=dict)

    async def run(self) -> None:
        """Read streams until cancelled."""
        async with anyio.create_task_group() as callers:
            for number in range(CALLERS):
                callers.start_soon(self.read_streams, number)

    async def read_streams(self, caller: int) -> None:
        """Read streams, one after the other, until cancelled."""
        number = 0
        while True:
            number += 1
            await self.read_stream(f"stream-{caller}-{number}")
            await anyio.sleep(self.rng.uniform(0.05, 0.3))

    async def read_stream(self, name: str) -> None:
        """Read a stream to its end, with some tries."""
        events: list[str] = []
        first_attempt = ""
        for number in range(MAX_TRIES):
            attempt, before = f"{name}-try{number}", len(events)
            status, is_whole = await self.read_answer(name, attempt, first_attempt, events)
            if not first_attempt and events:
                first_attempt = attempt
            self.resumed += bool(before and len(events) > before)
            if is_whole:
                self.finished += 1
                break
            if status == 503 and before:
                self.refused += 1
                return
            await anyio.sleep(0.1)
        self.check(name, events)

    def check(self, name: str, events: list[str]) -> None:
        """Check what the caller holds against the targets' own marks in the events."""
        numbers = [int(event.split(":")[1]) for event in events]
        if numbers != list(range(1, len(events) + 1)) or len(events) > events_of(name):
            self.breaks("whole stream", f"{name} has events {numbers}")
        writers = [event.split(":")[3] for event in events]
        if len(set(writers)) > 1:
            self.breaks("one software version a stream", f"{name} {writers}")

    async def read_answer(
        self, name: str, attempt: str, first_attempt: str, events: list[str]
    ) -> tuple[int, bool]:
        """Append the events of one answer; return its status and whether it was whole."""
        resumption = f"Resumes: {first_attempt}\r\nLast-Event-Id: {len(events)}\r\n"
        head = (
            f"POST /stream/{name} HTTP/1.1\r\nHost: {self.host}\r\nAttempt-Id: {attempt}\r\n"
            f"{': '.join(AUTHORIZATION)}\r\nDeadline-Ms: 8000\r\n"
            f"{resumption if events else ''}Content-Length: 0\r\n\r\n"
        )
        host, _, port = self.choose_vm().rpartition(":")
        client = h11.Connection(h11.CLIENT)
        client.send(h11.Request(method="POST", target="/", headers=[("Host", self.host)]))
        client.send(h11.EndOfMessage())
        parser, status = EventParser(), 0
        try:
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(head.encode())
                while True:
                    event = client.next_event()
                    if event is h11.NEED_DATA:
                        with anyio.fail_after(READ_TIMEOUT_S):
                            client.receive_data(await stream.receive())
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.Data) and status == 200:
                        events += [item.data for item in parser.feed(bytes(event.data))]
                    elif not isinstance(event, h11.Data):
                        return status, status == 200 and isinstance(event, h11.EndOfMessage)
        except (OSError, TimeoutError, h11.RemoteProtocolError, anyio.EndOfStream):
            return status, False
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return status, False
