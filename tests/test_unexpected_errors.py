"""An unexpected error costs the request, the connection or the step at which it arises.

Nothing between a handler and the outermost task group caught such errors, so that the first one
ended the process of a VM with all of its requests.
"""

import socket

import anyio
import anyio.to_thread
import msgspec
import pytest

import step_world as w
from balsamcleat.errors import CommitRejectedError
from balsamcleat.http1 import HttpServer, Request, Responder, Response, ServerLimits
from balsamcleat.model import StepId
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite
from balsamcleat.tasks.relayed_store import RELAY_PREFIX, StoreRelay
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.stored_values import encode_value
from server_world import running_server

LIMITS = ServerLimits(max_body_bytes=100)
GET = b"GET /fine HTTP/1.1\r\nHost: host.example\r\n\r\n"


async def answer(request: Request, responder: Responder) -> None:
    if request.path == "/fails":
        raise RuntimeError("a fault of the handler")
    if request.path == "/fails-late":
        await responder.start_chunked(200, ())
        raise RuntimeError("a fault of the handler")
    await responder.send(Response(200, (), b"fine"))


async def exchange(server: HttpServer, request: bytes) -> bytes:
    """Return what the server sends on a new connection until it closes it or is silent."""

    def talk() -> bytes:
        with socket.create_connection(server.listener.getsockname(), 2.0) as client:
            client.settimeout(0.5)
            client.sendall(request)
            received = b""
            try:
                while data := client.recv(4096):
                    received += data
            except OSError:
                pass
            return received

    return await anyio.to_thread.run_sync(talk)


@pytest.mark.anyio
async def test_fault_of_a_handler_fails_its_request_only() -> None:
    """Handlers of requests between VMs had no guard: an unexpected error ended the process."""
    async with running_server(answer, lambda: LIMITS) as server:
        assert (await exchange(server, GET.replace(b"fine", b"fails"))).startswith(b"HTTP/1.1 500")
        cut = await exchange(server, GET.replace(b"fine", b"fails-late"))
        assert not cut.endswith(b"0\r\n\r\n")
        assert (await exchange(server, GET)).endswith(b"fine")


@pytest.mark.anyio
async def test_rejected_head_request_gets_a_response_without_a_body() -> None:
    """The response to HEAD with too large a length had a body; the error ended the process."""
    head = b"HEAD /fine HTTP/1.1\r\nHost: host.example\r\nContent-Length: 999\r\n\r\n"
    async with running_server(answer, lambda: LIMITS) as server:
        received = await exchange(server, head)
        assert received.startswith(b"HTTP/1.1 413")
        assert received.endswith(b"\r\n\r\n")
        assert (await exchange(server, GET)).endswith(b"fine")


@pytest.mark.anyio
async def test_fault_outside_of_a_handler_costs_one_connection() -> None:
    calls = []

    def limits() -> ServerLimits:
        calls.append(1)
        if len(calls) == 2:
            raise RuntimeError("a fault after the first response")
        return LIMITS

    async with running_server(answer, limits) as server:
        assert (await exchange(server, GET)).endswith(b"fine")
        assert (await exchange(server, GET)).endswith(b"fine")


@pytest.mark.anyio
async def test_commit_of_a_peer_that_the_store_rejects_fails_the_call_only() -> None:
    """Such a commit ended the process of the VM that relayed it."""

    async def commit(commit: RowCommit) -> None:
        raise CommitRejectedError("413", step="test")

    store = w.RowStoreView(w.MemoryRowStore())
    store.commit = commit  # type: ignore[method-assign, assignment]
    body = msgspec.msgpack.encode(RowCommit((RowWrite(RowKey("t", "p", "k"), b""),)))
    head = f"POST {RELAY_PREFIX}commit HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n"
    async with running_server(StoreRelay(store).handle) as server:
        assert (await exchange(server, head.encode() + body)).startswith(b"HTTP/1.1 503")


def run_in_step_world(test) -> None:
    async def with_world() -> None:
        async with anyio.create_task_group() as tasks:
            await test(w.StepWorld(tasks))
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(with_world)


def test_vm_whose_commits_are_rejected_goes_on_once_they_are_accepted() -> None:
    """Rejected heartbeats and texts of samples ended the process."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        accepted = vm.view.commit

        async def commit(commit: RowCommit) -> None:
            raise CommitRejectedError("413", step="test")

        vm.view.commit = commit  # type: ignore[method-assign, assignment]
        await anyio.sleep(5.0)
        vm.view.commit = accepted  # type: ignore[method-assign]
        await world.wait_for_results(12, 3.0)

    run_in_step_world(test)


def test_step_whose_submission_cannot_be_read_holds_up_no_other() -> None:
    """The error of the one step ended the process that took it over."""

    async def test(world: w.StepWorld) -> None:
        owner = await world.start("a")
        await world.start("b")
        for step_id in ("step-1", "step-2"):
            assert await owner.submit(w.make_submission(3, 4, 3, step_id)) == 202
        records = RolloutRecords(w.RowStoreView(world.store))
        submission = await records.submission(StepId("step-1"))
        assert submission is not None
        broken = encode_value(replace_body(submission, b"no JSON"))
        key = RowKey("step-bodies", "step-1", "body.0000.0001")
        world.store.apply(RowCommit((RowWrite(key, broken),)))
        world.kill(owner)
        await world.wait_for_results(12, 8.0, "step-2")

    run_in_step_world(test)


def replace_body(submission, body: bytes):
    return msgspec.structs.replace(submission, body=body)


def test_row_with_a_foreign_key_leaves_the_values_of_its_part_readable() -> None:
    """The key of a row without piece numbers raised ValueError in a background task."""

    async def test(world: w.StepWorld) -> None:
        vm = await world.start("a")
        assert await vm.submit(w.make_submission(3, 4, 3)) == 202
        for key in ("note", "a.b", "a.b.c", "body.0000.x"):
            row = RowWrite(RowKey("step-bodies", "step-1", key), b"")
            world.store.apply(RowCommit((row,)))
        assert await RolloutRecords(vm.view).submission(StepId("step-1")) is not None

    run_in_step_world(test)
