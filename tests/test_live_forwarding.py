"""Live forwarding over sockets: matching of responses, retries, timeouts and error responses."""

import anyio
import pytest

from balsamcleat.model.routing import RouteKind
from live_world import attempt_id, live_world, response_bytes, route
from raw_target import RawTarget, never_answer, read_and_close

pytestmark = pytest.mark.anyio


async def answer_with_id(target: RawTarget, stream) -> None:
    """Answer each request with its attempt id as the body."""
    while True:
        await target.read_request(stream)
        attempt = attempt_id(target.requests[-1])
        await stream.send(response_bytes(attempt, attempt.encode()))


async def answer_twice(target: RawTarget, stream) -> None:
    """Send the response to each request twice in one write."""
    while True:
        await target.read_request(stream)
        attempt = attempt_id(target.requests[-1])
        await stream.send(response_bytes(attempt, attempt.encode()) * 2)


async def repeat_previous_answer(target: RawTarget, stream) -> None:
    """Repeat the previous response before the response to each request."""
    previous = b""
    while True:
        await target.read_request(stream)
        attempt = attempt_id(target.requests[-1])
        response = response_bytes(attempt, attempt.encode())
        await stream.send(previous + response)
        previous = response


async def reject(target: RawTarget, stream) -> None:
    while True:
        await target.read_request(stream)
        attempt = attempt_id(target.requests[-1])
        await stream.send(response_bytes(attempt, b"", "503 Service Unavailable", Not_Run="1"))


async def answer_500(target: RawTarget, stream) -> None:
    while True:
        await target.read_request(stream)
        attempt = attempt_id(target.requests[-1])
        await stream.send(response_bytes(attempt, b"broken", "500 Internal Server Error"))


async def truncate_body(target: RawTarget, stream) -> None:
    await target.read_request(stream)
    attempt = attempt_id(target.requests[-1])
    await stream.send(response_bytes(attempt, b"whole body")[:-4])


async def omit_content_length(target: RawTarget, stream) -> None:
    await target.read_request(stream)
    attempt = attempt_id(target.requests[-1])
    response = response_bytes(attempt, b"whole body").replace(b"Content-Length: 10\r\n", b"")
    await stream.send(response)


@pytest.mark.parametrize("script", [answer_with_id, answer_twice, repeat_previous_answer])
async def test_each_caller_gets_its_own_response(script) -> None:
    """A duplicate or late response on a reused connection must not reach another caller."""
    async with live_world([script], route()) as world:
        callers = [await world.connect() for _ in range(3)]
        for number in range(20):
            status, _, body = await callers[number % 3].request(f"attempt{number}")
            assert (status, body) == (200, f"attempt{number}".encode())


async def test_response_without_length_is_complete_when_the_connection_closes() -> None:
    async with live_world([omit_content_length], route()) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[::2] == (200, b"whole body")


async def test_truncated_response_is_never_relayed() -> None:
    """A target that closes the connection early leaves a body shorter than its length."""
    async with live_world([truncate_body], route(attempts=1)) as world:
        caller = await world.connect()
        status, headers, _ = await caller.request("a")
        assert status == 502
        assert "server-stamp" not in headers


async def test_non_idempotent_request_is_sent_once() -> None:
    """A connection closed without a response may mean that the request has run."""
    once = route(RouteKind.AT_MOST_ONCE)
    async with live_world([read_and_close, read_and_close, read_and_close], once) as world:
        caller = await world.connect()
        status, headers, _ = await caller.request("a")
        assert status == 502
        assert "retry-after" not in headers
        assert sum(len(target.requests) for target in world.targets) == 1


async def test_rejected_non_idempotent_request_is_sent_to_another_target() -> None:
    async with live_world([reject, answer_with_id], route(RouteKind.AT_MOST_ONCE)) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[::2] == (200, b"a")


async def test_503_with_retry_after_only_if_no_target_ran_the_request() -> None:
    async with live_world([reject, reject], route()) as world:
        caller = await world.connect()
        status, headers, _ = await caller.request("a")
        assert status == 503
        assert 0.0 < float(headers["retry-after"]) < 1.0
    async with live_world([reject, read_and_close], route()) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[0] == 502


async def test_server_error_is_relayed_only_if_no_other_target_succeeds() -> None:
    async with live_world([answer_500], route()) as world:
        caller = await world.connect()
        status, headers, body = await caller.request("a")
        assert (status, body) == (500, b"broken")
        assert headers["server-stamp"] == "stamp"
    async with live_world([answer_500, answer_with_id], route()) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[::2] == (200, b"a")
    async with live_world([answer_500, answer_with_id], route(RouteKind.AT_MOST_ONCE)) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[0] == 500


async def test_hedged_request_meets_the_objective_despite_a_silent_target() -> None:
    async with live_world([never_answer, answer_with_id], route(objective_s=0.3)) as world:
        caller = await world.connect()
        began_s = anyio.current_time()
        assert (await caller.request("a"))[::2] == (200, b"a")
        assert anyio.current_time() - began_s < 0.3


async def test_number_of_attempts_is_limited_by_the_route() -> None:
    scripts = [never_answer] * 4
    async with live_world(scripts, route(attempts=2, timeout_s=0.8)) as world:
        caller = await world.connect()
        assert (await caller.request("a"))[0] == 504
        assert sum(len(target.requests) for target in world.targets) == 2


async def test_request_ends_at_the_timeout_of_the_route() -> None:
    async with live_world([never_answer], route(timeout_s=0.4)) as world:
        caller = await world.connect()
        began_s = anyio.current_time()
        assert (await caller.request("a"))[0] == 504
        assert 0.2 < anyio.current_time() - began_s < 0.6


async def test_caller_disconnect_closes_the_connection_to_the_target() -> None:
    async with live_world([never_answer], route(attempts=1)) as world:
        caller = await world.connect()
        await caller.send_request("a")
        await world.targets[0].request_received.wait()
        await caller.stream.aclose()
        with anyio.fail_after(0.4):
            await world.targets[0].closed.wait()


async def test_request_that_crashed_three_targets_is_blocked() -> None:
    """A request that crashes its target is sent again by its caller until it is blocked."""
    async with live_world([read_and_close] * 3 + [answer_with_id], route(attempts=1)) as world:
        for _ in range(12):
            caller = await world.connect()
            status, _, _ = await caller.request("again", body=b"poison")
            if status in (200, 500):
                break
        sent = sum(len(target.requests) for target in world.targets[:3])
        assert sent <= 3
        assert (await (await world.connect()).request("other", body=b"fine"))[0] in (200, 502)


async def test_remaining_deadline_and_expected_instance_are_forwarded() -> None:
    async with live_world([answer_with_id], route()) as world:
        caller = await world.connect()
        await caller.request(
            "a", extra_headers="X-Kept: yes\r\nConnection: X-Dropped\r\nX-Dropped: no\r\n"
        )
        request = world.targets[0].requests[0].decode()
        fields = dict(line.split(": ", 1) for line in request.split("\r\n")[1:] if ": " in line)
        assert fields["Expect-Instance"] == "t0"
        assert 1000 < int(fields["Deadline-Ms"]) <= 2000
        assert fields["X-Kept"] == "yes"
        assert "X-Dropped" not in fields
