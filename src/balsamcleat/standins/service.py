"""A stand-in of a plain service whose calls may not be repeated."""

from collections import Counter
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from balsamcleat.standins.flaws import flaws_route

__all__ = ["EchoReply", "PlainServiceStandIn", "ServiceFlaws"]


class EchoReply(msgspec.Struct, frozen=True):
    """What the service answers: which call it ran and with what body."""

    call: str
    body: str


@dataclass
class ServiceFlaws:
    """Switches for what goes wrong.

    Attributes:
        delay_s: Time a call takes, in seconds.
        refuse: Answer 503 without running anything.
        fail_after_run: Run the call, then answer 500.
        cut_after_run: Run the call, then cut the connection within the answer.
        crash_on: A body containing this text crashes the replica before the call runs.
    """

    delay_s: float = 0.002
    refuse: bool = False
    fail_after_run: bool = False
    cut_after_run: bool = False
    crash_on: str = ""


@dataclass
class PlainServiceStandIn:
    """Runs calls and counts how often each ran.

    Attributes:
        runs: How often each call ran, by its body.
        crashed: Set when it crashed; it then runs and answers nothing.
        on_crash: Called when it crashes, to cut its sockets.
        on_restart: Called when it comes back.
    """

    flaws: ServiceFlaws = field(default_factory=ServiceFlaws)
    runs: Counter[str] = field(default_factory=Counter)
    crashed: bool = False
    on_crash: list[Callable[[], None]] = field(default_factory=list)
    on_restart: list[Callable[[], None]] = field(default_factory=list)

    def crash(self) -> None:
        """Crash: every connection is cut without an answer, new ones are refused."""
        self.crashed = True
        for cut in self.on_crash:
            cut()

    def restart(self) -> None:
        """Come back; the counts of runs stay, for they are the test's own."""
        self.crashed = False
        for back in self.on_restart:
            back()

    def app(self) -> Starlette:
        """Return the HTTP application."""
        methods = ["GET", "POST", "PUT", "DELETE"]
        call = Route("/{path:path}", self.call, methods=methods)
        return Starlette(routes=[flaws_route(self.flaws), Route("/runs", self.get_runs), call])

    async def get_runs(self, request: Request) -> Response:
        """Answer how often each call ran."""
        return Response(msgspec.json.encode(self.runs), media_type="application/json")

    async def call(self, request: Request) -> Response:
        """Run one call."""
        body = (await request.body()).decode()
        if self.flaws.crash_on and self.flaws.crash_on in body:
            self.crash()
        if self.crashed:
            await anyio.sleep_forever()
        if self.flaws.refuse:
            return Response(status_code=503)
        self.runs[body] += 1
        await anyio.sleep(self.flaws.delay_s)
        if self.flaws.fail_after_run:
            return Response(status_code=500)
        content = msgspec.json.encode(EchoReply(request.url.path, body))
        if self.flaws.cut_after_run:
            return StreamingResponse(cut(content), headers={"content-length": str(len(content))})
        return Response(content, media_type="application/json")


async def cut(content: bytes) -> AsyncIterator[bytes]:
    """Yield the first half of an answer, then end as a connection that breaks does."""
    yield content[: len(content) // 2]
    raise ConnectionResetError("the connection was cut")
