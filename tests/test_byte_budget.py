"""Callers that read or send slowly, and the memory that is left for the others."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import pytest

from balsamcleat.http1 import ByteBudget, HttpServer, Request, Responder, Response, ServerLimits
from balsamcleat.http1.byte_budget import SMALL_BODY_BYTES, STOPPED_AFTER_S
from balsamcleat.http1.streams import listen
from live_world import Caller

pytestmark = pytest.mark.anyio
MIB = 1024 * 1024
# More than the kernel buffers for one connection.
LARGE_RESPONSE = b"z" * (24 * MIB)


@asynccontextmanager
async def server_with(budget: ByteBudget) -> AsyncIterator[HttpServer]:
    async def handle(request: Request, responder: Responder) -> None:
        if request.method == "GET":
            await responder.send(Response(200, (), LARGE_RESPONSE))
        else:
            await responder.send(Response(200, (), str(len(request.body)).encode()))

    server = HttpServer(listen("127.0.0.1:0"), handle, lambda: ServerLimits(), budget)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        yield server
        tasks.cancel_scope.cancel()


async def wait_until(is_reached: Callable[[], bool], timeout_s: float = 3.0) -> None:
    """Wait until something is so; fail after the timeout."""
    end_s = anyio.current_time() + timeout_s
    while True:
        if is_reached():
            return
        assert anyio.current_time() < end_s
        await anyio.sleep(0.01)


async def connect(server: HttpServer) -> Caller:
    host, port = server.listener.getsockname()
    return Caller(await anyio.connect_tcp(host, port))


async def hold(server: HttpServer, budget: ByteBudget, size: int) -> Caller:
    """Send all but the last byte of a body, and wait until it is held."""
    caller = await connect(server)
    before = len(budget.pending)
    head = f"POST /p HTTP/1.1\r\nHost: h.example\r\nContent-Length: {size}\r\n\r\n"
    await caller.send(head.encode() + b"x" * (size - 1))
    await wait_until(lambda: len(budget.pending) > before)
    return caller


async def test_large_body_is_refused_when_no_room_is_left_and_small_ones_are_not() -> None:
    """Many large bodies of slow senders together must not exhaust the VM's memory."""
    budget = ByteBudget(5 * MIB)
    async with server_with(budget) as server:
        with anyio.fail_after(5.0):
            slow = await hold(server, budget, 3 * MIB)
            other = await connect(server)
            status, headers, _ = await other.request("a", body=b"y" * 2 * MIB)
            assert (status, "retry-after" in headers) == (503, True)
            small = await connect(server)
            assert (await small.request("b", body=b"y" * SMALL_BODY_BYTES))[0] == 200
            await slow.send(b"x")
            assert (await slow.read_response())[2] == str(3 * MIB).encode()
            again = await connect(server)
            assert (await again.request("c", body=b"y" * 2 * MIB))[0] == 200
    assert budget.refused_bodies == 1
    assert budget.held_bytes == 0


async def test_body_is_read_later_if_room_becomes_free_in_time() -> None:
    budget = ByteBudget(5 * MIB)
    async with server_with(budget) as server, anyio.create_task_group() as tasks:
        with anyio.fail_after(5.0):
            slow = await hold(server, budget, 3 * MIB)
            other = await connect(server)
            answers = []

            async def send_other() -> None:
                answers.append(await other.request("a", body=b"y" * 2 * MIB))

            tasks.start_soon(send_other)
            await anyio.sleep(0.2)
            assert budget.held_bytes < 4 * MIB
            await slow.send(b"x")
            await slow.read_response()
            await wait_until(lambda: bool(answers))
        assert answers[0][0] == 200


async def test_body_larger_than_the_budget_is_taken_alone() -> None:
    """A small VM must still serve the largest body that the configuration allows."""
    async with server_with(ByteBudget(MIB)) as server:
        caller = await connect(server)
        with anyio.fail_after(5.0):
            assert (await caller.request("a", body=b"y" * 3 * MIB))[0] == 200


@pytest.mark.parametrize("limit", [None, 8 * MIB])
async def test_abandoned_body_frees_its_room(limit: int | None) -> None:
    budget = ByteBudget(limit)
    async with server_with(budget) as server:
        caller = await hold(server, budget, 2 * MIB)
        await caller.stream.aclose()
        await wait_until(lambda: not budget.held_bytes)


async def test_reader_that_stopped_is_cut_off_for_a_new_body_and_a_reading_one_is_not() -> None:
    """One caller that stops reading must not take the room of the others."""
    budget = ByteBudget(30 * MIB)
    async with server_with(budget) as server, anyio.create_task_group() as tasks:
        stopped = await connect(server)
        await stopped.send_request("a", method="GET")
        with anyio.fail_after(8.0):
            await wait_until(lambda: bool(budget.pending))
            write = next(iter(budget.pending))
            await anyio.sleep(STOPPED_AFTER_S + 0.1)
            other = await connect(server)
            assert (await other.request("b", body=b"y" * 20 * MIB))[0] == 200
        assert write not in budget.pending
        assert budget.cut_off_connections == 1
        tasks.cancel_scope.cancel()


async def test_reader_that_reads_is_never_cut_off() -> None:
    budget = ByteBudget(MIB)
    async with server_with(budget) as server:
        caller = await connect(server)
        with anyio.fail_after(8.0):
            assert (await caller.request("a", method="GET"))[2] == LARGE_RESPONSE
    assert budget.cut_off_connections == 0


async def test_bodies_that_began_together_stay_within_the_budget() -> None:
    """Each one fits alone when its head arrives; together they must not exceed the budget."""
    budget = ByteBudget(5 * MIB)
    most, statuses = 0, []

    async def send(server: HttpServer) -> None:
        caller = await connect(server)
        head = f"POST /p HTTP/1.1\r\nHost: h.example\r\nContent-Length: {3 * MIB}\r\n\r\n"
        await caller.send(head.encode())
        await anyio.sleep(0.1)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send_body, caller)
            statuses.append((await caller.read_response())[0])
            tasks.cancel_scope.cancel()

    async def send_body(caller: Caller) -> None:
        nonlocal most
        for _ in range(3 * MIB // 4096):
            await caller.send(b"x" * 4096)
            most = max(most, budget.held_bytes)

    async with server_with(budget) as server:
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as tasks:
                for _ in range(6):
                    tasks.start_soon(send, server)
    # Whether the last ones are refused depends on how long the others take.
    assert 200 in statuses
    assert set(statuses) <= {200, 503}
    assert most <= 5 * MIB
    assert budget.held_bytes == 0


async def test_sender_that_stopped_is_cut_off_for_a_new_body() -> None:
    """A caller that declares a large body and stops must not keep the room that it asked for."""
    budget = ByteBudget(5 * MIB)
    async with server_with(budget) as server:
        stopped = await hold(server, budget, 3 * MIB)
        await anyio.sleep(STOPPED_AFTER_S + 0.1)
        other = await connect(server)
        with anyio.fail_after(5.0):
            assert (await other.request("b", body=b"y" * 3 * MIB))[0] == 200
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                await stopped.read_response()
    assert budget.cut_off_connections == 1


async def test_request_without_a_body_needs_no_room() -> None:
    budget = ByteBudget(5 * MIB)
    async with server_with(budget) as server:
        budget.add(20 * MIB)
        caller = await connect(server)
        with anyio.fail_after(5.0):
            assert (await caller.request("a", method="GET"))[0] == 200


async def test_stopped_reader_is_cut_off_although_other_bytes_come_and_go() -> None:
    """On a busy VM, small bodies are freed all the time without making enough room."""
    budget = ByteBudget(30 * MIB)

    async def come_and_go() -> None:
        while True:
            budget.add(1)
            await anyio.sleep(0.01)
            budget.remove(1)

    async with server_with(budget) as server, anyio.create_task_group() as tasks:
        tasks.start_soon(come_and_go)
        stopped = await connect(server)
        await stopped.send_request("a", method="GET")
        await wait_until(lambda: bool(budget.pending))
        await anyio.sleep(STOPPED_AFTER_S + 0.1)
        other = await connect(server)
        with anyio.fail_after(5.0):
            assert (await other.request("b", body=b"y" * 20 * MIB))[0] == 200
        assert budget.cut_off_connections == 1
        tasks.cancel_scope.cancel()
