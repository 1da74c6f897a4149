"""Attempts against raw sockets: whether a request may have run follows from the sent bytes."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path

import anyio
import httpx
import pytest

from balsamcleat.adapters.http_client import new_client
from balsamcleat.adapters.http_engine import HttpEngine
from balsamcleat.adapters.http_service import HttpPlainService
from balsamcleat.adapters.system import SeededRandomness
from balsamcleat.composition.base import compose_foundation
from balsamcleat.errors import AttemptFailedError
from balsamcleat.model import (
    Answer,
    AttemptPhase,
    CallRequest,
    FailureKind,
    GenerationRequest,
    RequestId,
    ServiceName,
)
from balsamcleat.model.ids import TeamName
from balsamcleat.model.samples import Sample, SampleKey
from balsamcleat.settings import load_settings
from balsamcleat.standins.serving import free_port
from raw_target import (
    RawTarget,
    Script,
    never_answer,
    raw_target,
    read_and_close,
    send_raw_response,
    send_raw_response_then_close,
)
from test_settings import GOOD, written

pytestmark = pytest.mark.anyio

OK = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 5\r\n\r\nwhole"
CALL = CallRequest(
    request_id=RequestId("r-1"),
    service=ServiceName("board"),
    team=TeamName("t"),
    method="POST",
    path="/push",
    body=b"list",
    content_type="text/plain",
    idempotent=False,
    idempotency_key=None,
    deadline_s=0.0,
)


@asynccontextmanager
async def clients() -> AsyncIterator[tuple[httpx.AsyncClient, httpx.AsyncClient]]:
    async with new_client() as pooled, new_client(reuse=False) as fresh:
        yield pooled, fresh


def plain(client: tuple[httpx.AsyncClient, httpx.AsyncClient], address: str) -> HttpPlainService:
    return HttpPlainService(client[1], address)


async def outcome_of(script: Script, timeout_s: float = 1.0) -> tuple[AttemptFailedError, int]:
    async with raw_target(script) as target, clients() as client:
        with pytest.raises(AttemptFailedError) as caught:
            await plain(client, target.address).call(CALL, timeout_s)
        return caught.value, len(target.requests)


async def test_complete_response_is_returned() -> None:
    async with raw_target(send_raw_response(OK)) as target, clients() as client:
        result = await plain(client, target.address).call(CALL, 1.0)
    assert result == Answer(200, "text/plain", b"whole")


async def test_target_that_closes_after_the_request_leaves_the_outcome_unknown_and_runs_once() -> (
    None
):
    error, requests = await outcome_of(read_and_close)
    assert (error.phase, error.kind) == (AttemptPhase.PERHAPS_SENT, FailureKind.CUT)
    assert requests == 1


async def test_request_to_a_target_that_refuses_connections_has_not_run() -> None:
    async with clients() as client:
        with pytest.raises(AttemptFailedError) as caught:
            await plain(client, f"127.0.0.1:{free_port()}").call(CALL, 1.0)
    assert (caught.value.phase, caught.value.kind) == (
        AttemptPhase.NOT_SENT,
        FailureKind.UNREACHED,
    )


async def test_target_that_never_answers_leaves_the_outcome_unknown() -> None:
    error, requests = await outcome_of(never_answer, timeout_s=0.05)
    assert (error.phase, error.kind) == (AttemptPhase.PERHAPS_SENT, FailureKind.SILENT)
    assert requests == 1


async def test_deadline_bounds_a_response_that_arrives_byte_by_byte() -> None:
    async def drip(target, stream) -> None:  # type: ignore[no-untyped-def]
        await target.read_request(stream)
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 1000000\r\n\r\n")
        while True:
            await stream.send(b"x")
            await anyio.sleep(0.01)

    error, _ = await outcome_of(drip, timeout_s=0.1)
    assert (error.phase, error.kind) == (AttemptPhase.PERHAPS_SENT, FailureKind.SILENT)


@pytest.mark.parametrize(
    "cut",
    [
        pytest.param(OK[:-2], id="short of its content-length"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n",
            id="no last chunk",
        ),
        pytest.param(b"HTTP/1.1 200 OK\r\n\r\nwho", id="end marked by closing only"),
        pytest.param(b"HTTP/1.1 200 OK\r\ncontent-le", id="cut in the head"),
        pytest.param(b"nonsense\r\n\r\n", id="no HTTP"),
    ],
)
async def test_truncated_body_is_never_returned_as_complete(cut: bytes) -> None:
    error, requests = await outcome_of(send_raw_response(cut))
    assert error.phase is AttemptPhase.PERHAPS_SENT
    assert requests == 1


@pytest.mark.parametrize("status", [b"503 Busy", b"429 Busy"])
async def test_request_that_the_target_rejected_has_not_run_and_has_a_retry_delay(
    status: bytes,
) -> None:
    raw = b"HTTP/1.1 " + status + b"\r\ncontent-length: 0\r\nretry-after: 7\r\n\r\n"
    error, _ = await outcome_of(send_raw_response(raw))
    assert (error.phase, error.kind) == (AttemptPhase.NOT_SENT, FailureKind.REFUSED)
    assert error.retry_after_s == 7.0


async def test_truncated_rejection_leaves_the_outcome_unknown() -> None:
    error, _ = await outcome_of(
        send_raw_response(b"HTTP/1.1 503 Busy\r\ncontent-length: 9\r\n\r\nha")
    )
    assert error.phase is AttemptPhase.PERHAPS_SENT


async def test_idempotent_call_uses_no_idle_connection() -> None:
    repeatable = replace(CALL, idempotent=True)
    async with raw_target(send_raw_response_then_close(OK)) as target, clients() as client:
        service = plain(client, target.address)
        for _ in range(3):
            assert (await service.call(repeatable, 1.0)).body == b"whole"
    assert (target.connections, len(target.requests)) == (3, 3)


async def test_call_that_is_not_idempotent_uses_no_idle_connection() -> None:
    async with raw_target(send_raw_response_then_close(OK)) as target, clients() as client:
        service = plain(client, target.address)
        for _ in range(3):
            assert (await service.call(CALL, 1.0)).body == b"whole"
    assert (target.connections, len(target.requests)) == (3, 3)


async def test_connection_of_a_cancelled_call_is_not_reused() -> None:
    async with raw_target(never_answer) as target, clients() as client:
        service = plain(client, target.address)
        for _ in range(2):
            with pytest.raises(AttemptFailedError):
                await service.call(replace(CALL, idempotent=True), 0.05)
    assert (target.connections, len(target.requests)) == (2, 2)


async def answer_twice(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
    """Send each response twice on a reused connection, the second time before the next request."""
    while True:
        request = await target.read_request(stream)
        body = request.split(b" ")[1]
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        await stream.send((head + body) * 2)


async def test_repeated_response_reaches_no_other_caller() -> None:
    """On reused connections every other caller received the response to the previous one."""
    async with raw_target(answer_twice) as target, clients() as client:
        for number in range(10):
            call = replace(CALL, path=f"/{number}", idempotent=True)
            found = await plain(client, target.address).call(call, 1.0)
            assert found.body == f"/{number}".encode()


async def score_twice(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
    """Send each score twice; a sample's score is its text."""
    while True:
        await target.read_request(stream)
        score = target.requests[-1].rpartition(b'"text":"')[2].partition(b'"')[0].decode()
        body = f'{{"score":{score}}}'.encode()
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        await stream.send((head + body) * 2)


async def test_repeated_score_reaches_no_other_sample(tmp_path: Path) -> None:
    """A node's scorers must not be called on reused connections."""
    foundation = compose_foundation(load_settings(written(tmp_path, GOOD)), SeededRandomness(1))
    async with raw_target(score_twice) as target, foundation.client, foundation.unpooled_client:
        scorer = foundation.connections.create_scorer(target.address)
        for number in range(6):
            sample = Sample(SampleKey(0, number), str(number), 1, (), "stop")
            assert await scorer.score("prompt", sample, 1.0) == number


async def send_endlessly(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
    await target.read_request(stream)
    await stream.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    while True:
        await stream.send(b"8000\r\n" + b"z" * 0x8000 + b"\r\n")


async def test_endless_body_fails_early() -> None:
    """It must neither fill the memory nor hold the caller until the timeout."""
    failure, _ = await outcome_of(send_endlessly, timeout_s=30.0)
    assert "too large" in failure.message
    assert failure.kind is FailureKind.MALFORMED


async def dribble_bytes(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
    """Begin a stream, then send bytes that complete no frame."""
    await target.read_request(stream)
    await stream.send(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    while True:
        await stream.send(b"2\r\n:\n\r\n")
        await anyio.sleep(0.02)


async def test_stream_that_only_pretends_to_live_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each byte restarts the timeout of the transport, so frames are counted instead."""
    monkeypatch.setattr("balsamcleat.adapters.http_engine.FRAME_TIMEOUT_S", 0.2)
    request = GenerationRequest(RequestId("r-1"), ServiceName("m"), "prompt", 10, 1, 1.0)
    async with raw_target(dribble_bytes) as target, clients() as client:
        with anyio.fail_after(2.0), pytest.raises(AttemptFailedError) as caught:
            async for _ in HttpEngine(client[0], target.address).generate(request):
                pass
    assert caught.value.kind is FailureKind.SILENT


@pytest.mark.parametrize(
    "change",
    [{"content_type": "text/\u2192"}, {"path": "/a\nb"}, {"path": "/\ud800"}],
    ids=["header", "line break in the path", "surrogate in the path"],
)
async def test_request_that_cannot_be_encoded_is_a_failed_attempt(change: dict[str, str]) -> None:
    """The error of the encoder ended the task that sent the request."""
    async with raw_target(never_answer) as target, clients() as client:
        with pytest.raises(AttemptFailedError) as caught:
            await HttpPlainService(client[0], target.address).call(replace(CALL, **change), 1.0)
    assert not caught.value.perhaps_sent
