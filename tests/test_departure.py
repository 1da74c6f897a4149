"""Cancellation of the work for a caller that disconnects before its answer begins."""

from collections.abc import AsyncGenerator

import anyio
import pytest
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Message

from balsamcleat.api.callers import CLIENT_CLOSED_STATUS, respond_while_connected
from balsamcleat.model import TokenFrame, WeightVersion

pytestmark = pytest.mark.anyio


class Caller:
    """Caller that can disconnect, and the events of the work for it."""

    def __init__(self) -> None:
        self.disconnected = anyio.Event()
        self.started = anyio.Event()
        self.finished = anyio.Event()

    async def receive(self) -> Message:
        await self.disconnected.wait()
        return {"type": "http.disconnect"}

    async def frames(self, is_complete: bool) -> AsyncGenerator[TokenFrame, None]:
        try:
            self.started.set()
            if not is_complete:
                await anyio.sleep_forever()
            yield TokenFrame(0, 1, "x", WeightVersion(1), "stop")
        finally:
            self.finished.set()

    async def answer(self, is_complete: bool) -> Response:
        frames = self.frames(is_complete)

        async def collect() -> Response:
            return Response("".join([frame.text async for frame in frames]))

        request = Request({"type": "http"}, self.receive)
        return await respond_while_connected(request, collect, frames)


async def test_the_work_is_cancelled_when_the_caller_disconnects() -> None:
    caller = Caller()
    async with anyio.create_task_group() as group:

        async def disconnect() -> None:
            await caller.started.wait()
            caller.disconnected.set()

        group.start_soon(disconnect)
        response = await caller.answer(is_complete=False)
    assert response.status_code == CLIENT_CLOSED_STATUS
    assert caller.finished.is_set()


async def test_a_caller_that_stays_connected_gets_its_answer() -> None:
    response = await Caller().answer(is_complete=True)
    assert (response.status_code, response.body) == (200, b"x")
