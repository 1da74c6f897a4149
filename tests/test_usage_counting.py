"""A caller's attempt is counted once if a target began to run it, and otherwise not at all."""

import ast
import socket
from collections.abc import Iterator
from pathlib import Path

import anyio
import pytest

import balsamcleat
from balsamcleat.http1 import ByteStream
from balsamcleat.model import TeamName
from balsamcleat.model.routing import RouteKind
from balsamcleat.tasks.store_clock import StoreClock
from balsamcleat.tasks.true_clock import TrueClock
from balsamcleat.tasks.usage_counter import UsageCounter
from balsamcleat.tasks.usage_recorder import UsageRecorder
from live_world import Caller, LiveWorld, attempt_id, live_world, response_bytes, route
from raw_target import (
    RawTarget,
    die_in_silence,
    never_answer,
    read_and_close,
)
from test_live_forwarding import answer_500, answer_with_id, reject, truncate_body
from test_stream_forwarding import ALL_EVENTS, stream_script

TEAM = TeamName("huka270")
CALL = route(timeout_s=1.0)
CALL_AT_MOST_ONCE = route(RouteKind.AT_MOST_ONCE, timeout_s=1.0)
STREAM = route(RouteKind.STREAM, timeout_s=1.0, resumable=True)
SOURCE = Path(balsamcleat.__file__).parent


def count_calls(world: LiveWorld, team: TeamName | None = TEAM) -> UsageCounter:
    """Let a VM count its calls, as calls of a team; true time is not known to it."""
    counter = UsageCounter("vm-1", 5.0, TrueClock(StoreClock(anyio.current_time)))
    forwarder = world.vms[0].forwarder
    forwarder.usage = UsageRecorder(counter)
    create_call = forwarder.create_call

    def create_call_of_team(request, live_route, _):
        return create_call(request, live_route, team)

    forwarder.create_call = create_call_of_team
    return counter


async def request_status(caller: Caller, attempt: str = "a", **options) -> int:
    """Return the status of a call; 0 if its response was cut off."""
    try:
        with anyio.fail_after(3.0):
            return (await caller.request(attempt, **options))[0]
    except (TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
        return 0


async def slow_answer(target: RawTarget, stream) -> None:
    while True:
        await target.read_request(stream)
        await anyio.sleep(0.6)
        await stream.send(response_bytes(attempt_id(target.requests[-1]), b"late"))


async def answer_unstamped(target: RawTarget, stream) -> None:
    await target.read_request(stream)
    await stream.send(b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")


async def begin_stream_and_close(target: RawTarget, stream) -> None:
    await target.read_request(stream)
    attempt = attempt_id(target.requests[-1])
    await stream.send(
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: s\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    )


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("scripts", "live_route", "counted"),
    [
        pytest.param([answer_with_id], CALL, 1, id="answered"),
        pytest.param([answer_500], CALL_AT_MOST_ONCE, 1, id="server error"),
        pytest.param([reject] * 4, CALL, 0, id="rejected by all"),
        pytest.param([reject, answer_with_id], CALL, 1, id="rejected by one"),
        pytest.param([read_and_close, answer_with_id], CALL, 1, id="cut and sent again"),
        pytest.param([slow_answer] * 2, CALL, 1, id="hedged"),
        pytest.param([read_and_close], CALL_AT_MOST_ONCE, 1, id="cut off at work"),
        pytest.param([truncate_body], CALL_AT_MOST_ONCE, 1, id="response cut off"),
        pytest.param([never_answer], CALL_AT_MOST_ONCE, 1, id="deadline passed"),
        pytest.param([die_in_silence], CALL_AT_MOST_ONCE, 1, id="silent target"),
        pytest.param([answer_unstamped], CALL_AT_MOST_ONCE, 1, id="answered by an intermediary"),
        pytest.param([], CALL, 0, id="no target"),
        pytest.param([stream_script()], STREAM, 1, id="stream"),
        pytest.param([stream_script(cut_after=3), stream_script()], STREAM, 1, id="resumed here"),
        pytest.param([begin_stream_and_close] * 2, STREAM, 0, id="stream without an event"),
        pytest.param([reject] * 4, STREAM, 0, id="rejected stream"),
    ],
)
async def test_attempt_counts_once_if_a_target_began_to_run_it(
    scripts, live_route, counted: int
) -> None:
    async with live_world(scripts, live_route) as world:
        counter = count_calls(world)
        await request_status(await world.connect())
        await anyio.sleep(0.05)
        assert [team for team, _ in counter.undated] == [TEAM] * counted
        assert not counter.open_calls


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("script", "live_route"), [(answer_with_id, CALL), (stream_script(), STREAM)]
)
async def test_calls_without_a_team_are_not_counted(script, live_route) -> None:
    async with live_world([script], live_route) as world:
        counter = count_calls(world, None)
        assert await request_status(await world.connect()) == 200
        assert not counter.undated
        assert not counter.open_calls


@pytest.mark.anyio
async def test_stream_that_a_caller_resumes_counts_as_another_attempt() -> None:
    async with live_world([stream_script()] * 2, STREAM) as world:
        counter = count_calls(world)
        caller = await world.connect()
        assert (await caller.request("a"))[2] == ALL_EVENTS
        headers = "Resumes: a\r\nLast-Event-Id: 3\r\n"
        assert await request_status(caller, "b", extra_headers=headers) == 200
        assert len(counter.undated) == 2


@pytest.mark.anyio
async def test_call_whose_caller_leaves_is_counted() -> None:
    """Guards against calls that stay open, which would hold back every later window."""
    async with live_world([never_answer], CALL) as world:
        counter = count_calls(world)
        caller = await world.connect()
        await caller.send_request("a")
        await world.targets[0].wait_for_requests(1)
        assert len(counter.open_calls) == 1
        await caller.stream.aclose()
        await anyio.sleep(0.5)
        assert not counter.open_calls
        assert len(counter.undated) == 1


@pytest.mark.anyio
async def test_call_is_counted_at_the_time_at_which_it_was_sent() -> None:
    async with live_world([slow_answer], CALL_AT_MOST_ONCE) as world:
        counter = count_calls(world)
        before_s = anyio.current_time()
        await request_status(await world.connect())
        assert before_s <= counter.undated[0][1] < before_s + 0.3


@pytest.mark.anyio
async def test_stream_is_counted_at_its_first_event() -> None:
    async def late_stream(target: RawTarget, stream) -> None:
        await anyio.sleep(0.4)
        await stream_script()(target, stream)

    async with live_world([late_stream], STREAM) as world:
        counter = count_calls(world)
        before_s = anyio.current_time()
        await request_status(await world.connect())
        assert counter.undated[0][1] >= before_s + 0.4


@pytest.mark.anyio
async def test_request_that_never_arrived_is_told_from_one_that_did() -> None:
    """Guards against counting requests that were lost on a broken link."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        sock = socket.create_connection(listener.getsockname())
        remote, _ = listener.accept()
        stream = ByteStream(sock, "remote")
        await stream.send(b"request")
        await anyio.sleep(0.05)
        assert stream.is_acknowledged()
        with anyio.move_on_after(0.2):
            await stream.send(b"x" * 20_000_000)
        assert not stream.is_acknowledged()
        remote.close()
        stream.close()
        assert not stream.is_acknowledged()


# Names of functions that read a wall clock, with the modules that they belong to.
WALL_CLOCK_READS = {
    "time.time",
    "time.time_ns",
    "time.gmtime",
    "time.localtime",
    "time.ctime",
    "time.strftime",
    "time.CLOCK_REALTIME",
    "datetime.now",
    "datetime.utcnow",
    "datetime.today",
    "date.today",
}
WALL_CLOCK_METHODS = {"wall_s"}
TRUE_CLOCK = "tasks/true_clock.py"
# Modules of the service's own interface that read the wall clock of its port, for the expiry of
# claims and for the audit trail. No process on the operators' platform has them.
OTHER_INTERFACE = {"tasks/claim_keeper.py", "tasks/audit_trail.py"}


def wall_clock_reads(tree: ast.AST) -> Iterator[str]:
    """Yield the names under which a module reads a wall clock."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Attribute):
            owner = node.value
            name = owner.attr if isinstance(owner, ast.Attribute) else getattr(owner, "id", "")
            if f"{name}.{node.attr}" in WALL_CLOCK_READS or node.attr in WALL_CLOCK_METHODS:
                yield f"{name}.{node.attr}"
        elif isinstance(node, ast.ImportFrom) and node.module == "time":
            for alias in node.names:
                if f"time.{alias.name}" in WALL_CLOCK_READS:
                    yield f"time.{alias.name}"


def imported_modules(path: Path) -> Iterator[Path]:
    """Yield the modules of this project that a module imports."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("balsamcleat."):
            module = SOURCE / "/".join(str(node.module).split(".")[1:])
            yield from (module.with_suffix(".py"), module / "__init__.py")
            yield from (module / f"{alias.name}.py" for alias in node.names)


def test_only_the_module_of_true_time_reads_a_wall_clock() -> None:
    """Guards against a decision that goes wrong when a wall clock jumps."""
    reading = {
        str(path.relative_to(SOURCE))
        for folder in ("decisions", "tasks", "entry")
        for path in (SOURCE / folder).glob("*.py")
        if any(wall_clock_reads(ast.parse(path.read_text())))
    }
    assert reading == {TRUE_CLOCK} | OTHER_INTERFACE


def test_entry_process_has_no_module_of_the_other_interface_that_reads_a_wall_clock() -> None:
    seen: set[Path] = set()
    unseen = [SOURCE / "entry" / "process.py"]
    while unseen:
        path = unseen.pop()
        if path in seen or not path.exists():
            continue
        seen.add(path)
        unseen += imported_modules(path)
    names = {str(path.relative_to(SOURCE)) for path in seen}
    assert "tasks/live_forwarder.py" in names
    assert not names & OTHER_INTERFACE
