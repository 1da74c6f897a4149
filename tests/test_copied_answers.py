"""Second copies of a target's answers, and answers without its stamp, reach nobody.

A VM asks a target for its state and sends a stream on the same connection. The target sent its
first answer a second time, before the first event, and the stream's caller got it as a success.
"""

import anyio
import anyio.abc
import pytest

from balsamcleat.http1 import ConnectionPool, PoolLimits, Request
from balsamcleat.model.routing import RouteKind
from balsamcleat.platform import CORRELATION_HEADER, ReplicaControl
from balsamcleat.platform.orders import OrderResult
from balsamcleat.tasks.sample_run import SampleEnd
from live_world import attempt_id, listed_replica, live_world, response_bytes, route
from raw_target import RawTarget, Script, raw_target
from test_impossible_answers import order_load
from test_spoiled_events import GOOD, head, read_stream_behind_another_vm, run_sample
from test_stream_forwarding import ALL_EVENTS, EVENTS, STREAM, chunk, event_bytes

pytestmark = pytest.mark.anyio
REPORT = b'{"born":0,"busy":false,"callSeq":3,"models":[{"name":"m","version":1}]}'
REPORT_ANSWERS = {
    "report": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(REPORT) + REPORT,
    "rejection": b"HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    "other target": b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
}
HOST = ("Host", "host.example")
ORDER_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
UNSTAMPED = {
    "success": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
    "events": b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\nid: 1\ndata: event 1\n\n..",
    "busy": b"HTTP/1.1 503 Busy\r\nContent-Length: 5\r\n\r\nwrong",
    "failure": b"HTTP/1.1 500 Error\r\nContent-Length: 5\r\n\r\nwrong",
    "impossible sample": b"HTTP/1.1 422 Unprocessable\r\nContent-Length: 5\r\n\r\nwrong",
}


def copy_of_report(copy: bytes) -> Script:
    """Return a script that sends a copy of the answer to a question, then the stream."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        while True:
            asked_before = target.report_count
            request = await target.read_request(stream)
            if target.report_count > asked_before:
                await stream.send(copy)
            events = b"".join(chunk(event_bytes(number)) for number in range(1, EVENTS + 1))
            await stream.send(head(request) + events + b"0\r\n\r\n")

    return script


@pytest.mark.parametrize("name", REPORT_ANSWERS)
async def test_copy_of_a_report_is_not_the_answer_to_a_stream(name: str) -> None:
    """The stream itself follows the copy, and reaches the caller."""
    async with live_world([copy_of_report(REPORT_ANSWERS[name])], STREAM) as world:
        caller = await world.connect()
        status, headers, body = await caller.request("a1")
        assert world.targets[0].report_count == 1
        assert (status, headers["server-stamp"], body) == (200, "s", ALL_EVENTS)


@pytest.mark.parametrize("name", REPORT_ANSWERS)
async def test_copy_of_a_report_is_not_the_answer_behind_another_vm(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    await read_stream_behind_another_vm([copy_of_report(REPORT_ANSWERS[name])], monkeypatch)


async def test_copy_of_an_answer_is_not_that_to_the_next_request_on_the_connection() -> None:
    """Copies have the id of the request that they answer."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        copy = b""
        while True:
            attempt = attempt_id(await target.read_request(stream))
            whole = response_bytes(attempt, f"for {attempt}".encode())
            await stream.send(copy + whole)
            copy = whole

    async with live_world([script], route()) as world:
        caller = await world.connect()
        for number in range(5):
            assert (await caller.request(f"a{number}"))[2] == f"for a{number}".encode()


async def test_response_without_an_id_is_dropped_only_after_a_request_without_one() -> None:
    """On other connections it can be no copy, and it is read."""
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_message(stream)
        await stream.send(whole + b"r1")
        attempt = attempt_id(await target.read_message(stream))
        await stream.send(whole + b"r1" + response_bytes(attempt, b"own"))

    async with raw_target(script) as target:
        pool = ConnectionPool(PoolLimits(), CORRELATION_HEADER)
        host = ("Host", "host.example")
        question, request = (
            Request("GET", "/q", (host,)),
            Request("GET", "/", (host, ("Attempt-Id", "a"))),
        )
        assert (await pool.fetch(target.address, question, 1.0)).body == b"r1"
        assert (await pool.fetch(target.address, request, 1.0)).body == b"own"
        assert pool.mismatched_responses == 1
        pool.close()


@pytest.mark.parametrize(
    "copy", [REPORT_ANSWERS["report"], b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]
)
async def test_copy_of_a_report_does_not_say_that_an_order_holds(copy: bytes) -> None:
    """Neither a report nor an order names an id, but the answer to an order has no body."""

    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_message(stream)
        await stream.send(REPORT_ANSWERS["report"])
        await target.read_message(stream)
        await stream.send(copy)

    async with raw_target(script) as target:
        replica = listed_replica(0, target)
        pool = ConnectionPool(PoolLimits(), CORRELATION_HEADER)
        control = ReplicaControl(pool, "vm-1")
        assert (await control.fetch_report(replica)).order_count == 3
        outcome = await order_load(control, replica)
        is_report = copy == REPORT_ANSWERS["report"]
        assert outcome.result is (OrderResult.UNKNOWN if is_report else OrderResult.HOLDS_ALREADY)
        pool.close()


def answers_once(answer: bytes) -> Script:
    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        await target.read_request(stream)
        await stream.send(answer)

    return script


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.AT_MOST_ONCE, RouteKind.STREAM])
@pytest.mark.parametrize("name", UNSTAMPED)
async def test_answer_without_a_stamp_reaches_no_caller(name: str, kind: RouteKind) -> None:
    """A rejection without the promise that nothing ran is not passed on as one, either."""
    async with live_world([answers_once(UNSTAMPED[name])], route(kind, attempts=1)) as world:
        caller = await world.connect()
        status, _, body = await caller.request("a1")
        assert (status, b"wrong" in body) == (502, False)


@pytest.mark.parametrize("name", UNSTAMPED)
async def test_stream_is_begun_elsewhere_after_an_answer_without_a_stamp(name: str) -> None:
    async with live_world([answers_once(UNSTAMPED[name]), GOOD], STREAM) as world:
        for number in range(4):
            caller = await world.connect()
            status, _, body = await caller.request(f"a{number}")
            assert (status, body) == (200, ALL_EVENTS)


@pytest.mark.parametrize("name", UNSTAMPED)
async def test_sample_is_interrupted_by_an_answer_without_a_stamp(name: str) -> None:
    """A 422 gives a sample up, and a 500 counts against its attempts."""
    outcome, _ = await run_sample(answers_once(UNSTAMPED[name]))
    assert outcome.end is SampleEnd.INTERRUPTED


NAMED_ENDS = {"500 Error": SampleEnd.FAILED, "422 Unprocessable": SampleEnd.UNPROCESSABLE}


@pytest.mark.parametrize("status", NAMED_ENDS)
async def test_failure_that_names_the_sample_counts_without_a_stamp(status: str) -> None:
    async def script(target: RawTarget, stream: anyio.abc.SocketStream) -> None:
        attempt = attempt_id(await target.read_request(stream))
        failure = response_bytes(attempt, b"", status)
        await stream.send(failure.replace(b"Server-Stamp: stamp\r\n", b""))

    outcome, _ = await run_sample(script)
    assert outcome.end is NAMED_ENDS[status]
