"""Live requests over sockets: whose answer is whose, what may run again, what is told."""

import anyio
import pytest

from balsamcleat.model.routing import RouteKind
from live_world import answer_bytes, attempt_of, live_world, route
from raw_target import RawTarget, never_answer, read_and_close

pytestmark = pytest.mark.anyio


async def echo(target: RawTarget, stream) -> None:
    """Answer each request with its own id."""
    while True:
        await target.read_request(stream)
        attempt = attempt_of(target.requests[-1])
        await stream.send(answer_bytes(attempt, attempt.encode()))


async def echo_twice(target: RawTarget, stream) -> None:
    """Answer each request twice at once."""
    while True:
        await target.read_request(stream)
        attempt = attempt_of(target.requests[-1])
        await stream.send(answer_bytes(attempt, attempt.encode()) * 2)


async def echo_again_late(target: RawTarget, stream) -> None:
    """Repeat the answer to a request where the answer to the next one is expected."""
    before = b""
    while True:
        await target.read_request(stream)
        attempt = attempt_of(target.requests[-1])
        answer = answer_bytes(attempt, attempt.encode())
        await stream.send(before + answer)
        before = answer


async def refuse(target: RawTarget, stream) -> None:
    while True:
        await target.read_request(stream)
        attempt = attempt_of(target.requests[-1])
        await stream.send(answer_bytes(attempt, b"", "503 Service Unavailable", Not_Run="1"))


async def fail(target: RawTarget, stream) -> None:
    while True:
        await target.read_request(stream)
        attempt = attempt_of(target.requests[-1])
        await stream.send(answer_bytes(attempt, b"broken", "500 Internal Server Error"))


async def truncate(target: RawTarget, stream) -> None:
    await target.read_request(stream)
    attempt = attempt_of(target.requests[-1])
    await stream.send(answer_bytes(attempt, b"whole body")[:-4])


async def unframed(target: RawTarget, stream) -> None:
    await target.read_request(stream)
    attempt = attempt_of(target.requests[-1])
    answer = answer_bytes(attempt, b"whole body").replace(b"Content-Length: 10\r\n", b"")
    await stream.send(answer)


@pytest.mark.parametrize("script", [echo, echo_twice, echo_again_late])
async def test_each_caller_gets_its_own_answer(script) -> None:
    async with live_world([script], route()) as world:
        callers = [await world.caller() for _ in range(3)]
        for number in range(20):
            status, _, body = await callers[number % 3].call(f"attempt{number}")
            assert (status, body) == (200, f"attempt{number}".encode())


async def test_an_answer_without_length_is_whole_at_the_end_of_its_connection() -> None:
    async with live_world([unframed], route()) as world:
        caller = await world.caller()
        assert (await caller.call("a"))[::2] == (200, b"whole body")


async def test_a_truncated_answer_is_never_passed_on() -> None:
    async with live_world([truncate], route(attempts=1)) as world:
        caller = await world.caller()
        status, headers, _ = await caller.call("a")
        assert status == 502
        assert "server-stamp" not in headers


async def test_a_request_that_may_run_once_is_sent_once() -> None:
    to = route(RouteKind.AT_MOST_ONCE)
    async with live_world([read_and_close, read_and_close, read_and_close], to) as world:
        caller = await world.caller()
        status, headers, _ = await caller.call("a")
        assert status == 502
        assert "retry-after" not in headers
        assert sum(len(target.requests) for target in world.targets) == 1


async def test_a_request_that_was_turned_away_goes_elsewhere_even_if_it_may_run_once() -> None:
    async with live_world([refuse, echo], route(RouteKind.AT_MOST_ONCE)) as world:
        caller = await world.caller()
        assert (await caller.call("a"))[::2] == (200, b"a")


async def test_not_run_is_said_only_where_no_target_ran_it() -> None:
    async with live_world([refuse, refuse], route()) as world:
        caller = await world.caller()
        status, headers, _ = await caller.call("a")
        assert status == 503
        assert 0.0 < float(headers["retry-after"]) < 1.0
    async with live_world([refuse, read_and_close], route()) as world:
        caller = await world.caller()
        assert (await caller.call("a"))[0] == 502


async def test_a_target_s_own_failure_is_passed_on_where_no_other_does_better() -> None:
    async with live_world([fail], route()) as world:
        caller = await world.caller()
        status, headers, body = await caller.call("a")
        assert (status, body) == (500, b"broken")
        assert headers["server-stamp"] == "stamp"
    async with live_world([fail, echo], route()) as world:
        caller = await world.caller()
        assert (await caller.call("a"))[::2] == (200, b"a")
    async with live_world([fail, echo], route(RouteKind.AT_MOST_ONCE)) as world:
        caller = await world.caller()
        assert (await caller.call("a"))[0] == 500


async def test_a_silent_target_costs_a_part_of_the_objective() -> None:
    async with live_world([never_answer, echo], route(objective_s=0.3)) as world:
        caller = await world.caller()
        began_s = anyio.current_time()
        assert (await caller.call("a"))[::2] == (200, b"a")
        assert anyio.current_time() - began_s < 0.3


async def test_no_more_targets_are_asked_than_the_route_allows() -> None:
    scripts = [never_answer] * 4
    async with live_world(scripts, route(attempts=2, timeout_s=0.8)) as world:
        caller = await world.caller()
        assert (await caller.call("a"))[0] == 504
        assert sum(len(target.requests) for target in world.targets) == 2


async def test_the_route_s_timeout_ends_a_request_at_once() -> None:
    async with live_world([never_answer], route(timeout_s=0.4)) as world:
        caller = await world.caller()
        began_s = anyio.current_time()
        assert (await caller.call("a"))[0] == 504
        assert 0.2 < anyio.current_time() - began_s < 0.6


async def test_a_caller_s_leaving_reaches_the_target() -> None:
    async with live_world([never_answer], route(attempts=1)) as world:
        caller = await world.caller()
        await caller.ask("a")
        await world.targets[0].asked.wait()
        await caller.stream.aclose()
        with anyio.fail_after(0.4):
            await world.targets[0].closed.wait()


async def test_a_request_under_which_three_targets_crash_is_sent_no_more() -> None:
    async with live_world([read_and_close] * 3 + [echo], route(attempts=1)) as world:
        for _ in range(12):
            caller = await world.caller()
            status, _, _ = await caller.call("again", body=b"poison")
            if status in (200, 500):
                break
        sent = sum(len(target.requests) for target in world.targets[:3])
        assert sent <= 3
        assert (await (await world.caller()).call("other", body=b"fine"))[0] in (200, 502)


async def test_the_deadline_that_is_left_and_the_identity_are_passed_on() -> None:
    async with live_world([echo], route()) as world:
        caller = await world.caller()
        await caller.call("a", more="X-Kept: yes\r\nConnection: X-Dropped\r\nX-Dropped: no\r\n")
        request = world.targets[0].requests[0].decode()
        fields = dict(line.split(": ", 1) for line in request.split("\r\n")[1:] if ": " in line)
        assert fields["Expect-Instance"] == "t0"
        assert 1000 < int(fields["Deadline-Ms"]) <= 2000
        assert fields["X-Kept"] == "yes"
        assert "X-Dropped" not in fields
