"""Generation streams: completeness, resumption, cancellation and backpressure."""

import random
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

import anyio
import anyio.abc
import msgspec
import pytest

from balsamcleat.adapters.engine_dialect import ChoiceMessage, CompletionFrame, CompletionMessage
from balsamcleat.adapters.http_client import new_client
from balsamcleat.adapters.http_engine import HttpEngine
from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.adapters.system import SeededRandomness, SystemClock
from balsamcleat.commands.generate import Generate
from balsamcleat.decisions.admission import Admission
from balsamcleat.decisions.retry import RetryBudget, RetryPolicy
from balsamcleat.decisions.routing import Router
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import (
    GenerationRequest,
    RequestId,
    ServiceName,
    TargetId,
    TargetInfo,
    TokenFrame,
    ZoneName,
)
from balsamcleat.tasks.admission_controller import AdmissionController
from balsamcleat.tasks.canceller import Canceller
from balsamcleat.tasks.connections import Connections
from raw_target import RawTarget, Script, raw_target

pytestmark = pytest.mark.anyio
WORDS = [f"w{number} " for number in range(10)]
FULL_TEXT = "".join(WORDS)
HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def frame_chunk(attempt: str, offset: int, count: int = 1, finish: str | None = None) -> bytes:
    choice = ChoiceMessage("".join(WORDS[offset : offset + count]), 0, finish)
    message = CompletionFrame(attempt, (choice,), offset, count, 1)
    return chunk(b"data: " + msgspec.json.encode(message) + b"\n\n")


def scripted_engine(*steps: str) -> Script:
    """Return the script of an engine that performs steps in order.

    Args:
        steps: ``3`` sends token 3 and ``3-6`` tokens 3 to 6 in one frame; ``end`` ends the stream,
            ``foreign`` sends a frame of another attempt, ``hold`` waits until the caller sends
            data or disconnects.
    """

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        if not target.requests[-1].startswith(b"POST"):
            reply = b'{"accepted":true}'
            await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(reply) + reply)
            return
        body = target.requests[-1].partition(b"\r\n\r\n")[2]
        attempt = msgspec.json.decode(body, type=CompletionMessage).request_id
        await stream.send(HEAD)
        for step in steps:
            if step == "hold":
                await stream.receive()
            elif step == "end":
                await stream.send(chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n")
            elif step == "foreign":
                await stream.send(frame_chunk("another attempt", 0))
            else:
                first, _, last = step.partition("-")
                count = int(last or first) - int(first) + 1
                finish = "stop" if int(first) + count == len(WORDS) else None
                await stream.send(frame_chunk(attempt, int(first), count, finish))

    return script


class Caller:
    def __init__(self, generate: Generate, metrics: MemoryMetrics, group: anyio.abc.TaskGroup):
        self.generate, self.metrics, self.group = generate, metrics, group

    async def text(self) -> str:
        frames = await self.frames()
        assert [item.offset for item in frames[1:]] == [
            item.offset + item.count for item in frames[:-1]
        ]
        return "".join(item.text for item in frames)

    async def frames(self) -> list[TokenFrame]:
        return [item async for item in self.generate(REQUEST, anyio.current_time() + 5.0)]


REQUEST = GenerationRequest(RequestId(""), "m", "prompt", 64)


@asynccontextmanager
async def connected_caller(*targets: RawTarget) -> AsyncIterator[Caller]:
    """Yield a caller of engines, which are tried in the given order."""
    metrics, clock, randomness = MemoryMetrics(), SystemClock(), SeededRandomness(1)
    router = Router(ZoneName("z"), random.Random(1))
    infos = [
        TargetInfo(TargetId(f"e{number}"), ServiceName("m"), ZoneName("z"), target.address)
        for number, target in enumerate(targets)
    ]
    router.configure(infos)
    router.choose = lambda query: next(  # type: ignore[method-assign]
        (info for info in infos if info.target_id not in query.exclude), None
    )
    async with new_client() as client, anyio.create_task_group() as group:
        connections = Connections(
            lambda address: HttpEngine(client, address, metrics),
            None,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
        )
        canceller = Canceller(connections, metrics)
        group.start_soon(canceller.run)
        generate = Generate(
            AdmissionController(Admission(random.Random(1)), clock, metrics),
            router,
            connections,
            RetryPolicy(RetryBudget(), random.Random(1)),
            clock,
            randomness,
            metrics,
            canceller,
        )
        yield Caller(generate, metrics, group)
        group.cancel_scope.cancel()


@pytest.mark.parametrize("cut_after", [0, 1, 5, 9])
async def test_cut_stream_resumes_at_another_engine_without_gap_or_duplicate(
    cut_after: int,
) -> None:
    before = scripted_engine(*(str(number) for number in range(cut_after)))
    rest = scripted_engine(*(str(number) for number in range(cut_after, 10)), "end")
    async with (
        raw_target(before) as first,
        raw_target(rest) as second,
        connected_caller(first, second) as caller,
    ):
        assert await caller.text() == FULL_TEXT


async def test_stream_without_finish_reason_is_incomplete() -> None:
    """An engine can end its stream properly although the text is truncated."""
    async with raw_target(scripted_engine("0-8", "end")) as only, connected_caller(only) as caller:
        with pytest.raises(AttemptFailedError) as caught:
            await caller.text()
    assert caught.value.perhaps_sent


async def test_duplicate_and_foreign_frames_are_dropped_and_counted() -> None:
    script = scripted_engine("0-3", "foreign", "1", "2-3", "4-9", "end")
    async with raw_target(script) as only, connected_caller(only) as caller:
        assert await caller.text() == FULL_TEXT
        assert caller.metrics.counters["engine.frame.foreign"] == 1
        assert caller.metrics.counters["generate.frame.late"] >= 1


@pytest.mark.parametrize("odd", ["5", "1-4"])
async def test_frame_with_a_gap_or_an_overlap_ends_the_attempt(odd: str) -> None:
    async with (
        raw_target(scripted_engine("0-2", odd, "hold")) as first,
        raw_target(scripted_engine("3-9", "end")) as second,
        connected_caller(first, second) as caller,
    ):
        assert await caller.text() == FULL_TEXT


async def test_caller_disconnect_cancels_the_generation_at_the_engine() -> None:
    async with raw_target(scripted_engine("0", "hold")) as only, connected_caller(only) as caller:
        async with aclosing(caller.generate(REQUEST, anyio.current_time() + 5.0)) as frames:
            await anext(frames)
        with anyio.fail_after(5):
            await only.closed.wait()
            while caller.metrics.counters["generate.cancel.sent"] == 0:
                await anyio.lowlevel.checkpoint()
    assert any(request.startswith(b"DELETE /v1/requests/") for request in only.requests)


async def test_slow_caller_applies_backpressure_to_the_engine() -> None:
    """Without backpressure the entry VM would buffer the whole stream of a fast engine."""
    total_chunks, sent_chunks = 64, 0
    filler = chunk(b": " + b"x" * 1_000_000 + b"\n\n")

    async def flood(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        nonlocal sent_chunks
        await target.read_request(stream)
        body = target.requests[-1].partition(b"\r\n\r\n")[2]
        if not body:
            return
        attempt = msgspec.json.decode(body, type=CompletionMessage).request_id
        await stream.send(HEAD + frame_chunk(attempt, 0))
        for _ in range(total_chunks):
            await stream.send(filler)
            sent_chunks += 1

    async with (
        raw_target(flood) as only,
        connected_caller(only) as caller,
        aclosing(caller.generate(REQUEST, anyio.current_time() + 5.0)) as frames,
    ):
        await anext(frames)
        await anyio.wait_all_tasks_blocked()
        assert sent_chunks < total_chunks / 2


async def test_attempt_at_a_silent_engine_ends_at_the_deadline() -> None:
    async with raw_target(scripted_engine("0", "hold")) as only, connected_caller(only) as caller:
        with pytest.raises(AttemptFailedError) as caught:
            async for _ in caller.generate(REQUEST, anyio.current_time() + 0.2):
                pass
    assert caught.value.perhaps_sent
