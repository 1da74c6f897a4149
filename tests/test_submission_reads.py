"""Requests that read submissions and results from the store stay within the VM's memory.

In review case 13, twelve requests for bodies at once, at a VM that did not own the step, each read
and decoded its submission of 16 MB. The process exceeded its memory and was killed, and calls on
kept connections ended with it.
"""

import base64
from collections.abc import Awaitable, Callable

import anyio
import msgspec
import pytest

import step_world as w
from balsamcleat.http1 import ByteBudget, Request
from balsamcleat.model import StepId
from balsamcleat.platform import ResultsQuery, StepCall, StepCallKind
from balsamcleat.tasks.rollout_records import RolloutRecords
from balsamcleat.tasks.submission_reader import PAGE_BYTES, ROOM_TIMEOUT_S

REQUESTS = 12
SAMPLES = 16
BODY_BYTES = 100_000
# A large step has several pages of rows, a small one has one row.
LARGE, SMALL = BODY_BYTES, 30
LIMIT_BYTES = 4 * PAGE_BYTES


def run_in_step_world(test: Callable[[w.StepWorld], Awaitable[None]], **options) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            await test(w.StepWorld(tasks, event_count=lambda _: 2000, **options))
            tasks.cancel_scope.cancel()

    w.run_in_virtual_time(run)


def submission(step: str, size: int) -> Request:
    """Return a submission whose bodies hardly compress, each of them with a size."""
    items = []
    for number in range(SAMPLES):
        seed = f"{step}/{number}".encode()
        block = b"".join(
            msgspec.msgpack.encode(hash((seed, index))) for index in range(size // 9 + 1)
        )
        body = base64.b64encode(block[:size]).decode()
        items.append({"id": f"{step}-{number}", "path": f"{w.PREFIX}g", "body": body})
    content = msgspec.json.encode({"model": w.MODEL, "minVersion": 1, "requests": items})
    headers = (("Host", w.HOST), ("Attempt-Id", step))
    return Request("POST", f"{w.PREFIX}x", headers, content, anyio.current_time())


class ReadCounter:
    """Counts the reads of submissions at a VM, and the largest number at the same time."""

    def __init__(self, vm: w.StepVm) -> None:
        self.records = vm.handler.records
        self.read_page = self.records.submission_page
        self.first_pages = 0
        self.large_steps: set[StepId] = set()
        self.most_large = 0
        self.records.submission_page = self.counted_page  # type: ignore[method-assign]

    async def counted_page(self, step_id: StepId, start: str):
        self.first_pages += not start
        if start:
            self.large_steps.add(step_id)
            self.most_large = max(self.most_large, len(self.large_steps))
        page = await self.read_page(step_id, start)
        if start and not page.more:
            self.large_steps.discard(step_id)
        return page


async def ask(vm: w.StepVm, step: str, number: int) -> tuple[int, bytes]:
    responder = w.RecordingResponder()
    call = StepCall(StepCallKind.BODY, StepId(step), sample_id=f"{step}-{number}")
    await vm.handler.answer_call(call, responder)
    return responder.response.status, responder.response.body


async def check_all_released(world: w.StepWorld, vm: w.StepVm) -> None:
    """Check that nothing is held for requests that were answered."""
    await anyio.sleep(0.01)
    assert not world.budget.held_bytes
    assert not vm.handler.submission_reader.shared_reads


async def start_with_steps(world: w.StepWorld, steps: list[str], size: int) -> w.StepVm:
    """Return a VM that owns none of some steps."""
    owner, other = await world.start("a"), await world.start("b")
    for step in steps:
        assert await owner.submit(submission(step, size)) == 202
    await anyio.sleep(0.5)
    assert not other.runner.steps
    return other


@pytest.mark.parametrize("size", [LARGE, SMALL])
def test_submission_is_read_once_for_all_requests_at_the_same_time(size: int) -> None:
    async def test(world: w.StepWorld) -> None:
        other = await start_with_steps(world, ["s"], size)
        counter = ReadCounter(other)
        answers: dict[int, tuple[int, bytes]] = {}

        async def ask_one(number: int) -> None:
            answers[number] = await ask(other, "s", number)

        async with anyio.create_task_group() as tasks:
            for number in range(REQUESTS):
                tasks.start_soon(ask_one, number)
        assert counter.first_pages == 1
        for number, (status, body) in answers.items():
            assert status == 200
            owner = w.owned_step(world.vms["a"], "s")
            assert body == owner.samples[f"s-{number}"].body
        await check_all_released(world, other)
        # A later request reads anew.
        assert (await ask(other, "s", 0))[0] == 200
        assert counter.first_pages == 2

    run_in_step_world(test)


def test_large_submissions_are_read_one_after_the_other() -> None:
    async def test(world: w.StepWorld) -> None:
        steps = [f"s{number}" for number in range(REQUESTS)]
        other = await start_with_steps(world, steps, LARGE)
        counter = ReadCounter(other)
        statuses: list[int] = []

        async def ask_one(step: str) -> None:
            statuses.append((await ask(other, step, 0))[0])

        async with anyio.create_task_group() as tasks:
            for step in steps:
                tasks.start_soon(ask_one, step)
        assert statuses == [200] * REQUESTS
        assert counter.most_large == 1

    run_in_step_world(test, budget=ByteBudget(LIMIT_BYTES))


def test_request_without_memory_is_rejected_with_a_time_to_return() -> None:
    """It must neither read beyond the memory nor wait until its deadline."""

    async def test(world: w.StepWorld) -> None:
        other = await start_with_steps(world, ["s"], LARGE)
        world.budget.add(2 * LIMIT_BYTES)
        began_s = anyio.current_time()
        responder = w.RecordingResponder()
        await other.handler.answer_call(
            StepCall(StepCallKind.BODY, StepId("s"), sample_id="s-0"), responder
        )
        assert responder.status == 503
        assert "Retry-After" in dict(responder.response.headers)
        assert anyio.current_time() - began_s < ROOM_TIMEOUT_S + 0.1
        query = StepCall(StepCallKind.RESULTS, StepId("s"), ResultsQuery(0, 0.0))
        assert await other.call(query, None) == 503
        world.budget.remove(2 * LIMIT_BYTES)
        assert (await ask(other, "s", 0))[0] == 200
        await check_all_released(world, other)

    run_in_step_world(test, budget=ByteBudget(LIMIT_BYTES))


def test_requester_that_leaves_takes_the_read_from_nobody() -> None:
    async def test(world: w.StepWorld) -> None:
        other = await start_with_steps(world, ["s"], LARGE)
        answers: list[int] = []

        async def ask_one() -> None:
            answers.append((await ask(other, "s", 1))[0])

        async with anyio.create_task_group() as tasks:
            with anyio.move_on_after(0.004):
                tasks.start_soon(ask_one)
                await ask(other, "s", 0)
        assert answers == [200]
        with anyio.move_on_after(0.004):
            await ask(other, "s", 0)
        await anyio.sleep(1.0)
        await check_all_released(world, other)

    run_in_step_world(test, budget=ByteBudget(LIMIT_BYTES))


def test_failed_read_is_an_answer_for_all_and_is_not_kept() -> None:
    async def test(world: w.StepWorld) -> None:
        other = await start_with_steps(world, ["s"], LARGE)
        other.view.flaws.down = True
        responses = [w.RecordingResponder() for _ in range(3)]

        async def ask_one(responder: w.RecordingResponder) -> None:
            call = StepCall(StepCallKind.BODY, StepId("s"), sample_id="s-0")
            await other.handler.answer_call(call, responder)

        async with anyio.create_task_group() as tasks:
            for responder in responses:
                tasks.start_soon(ask_one, responder)
        assert [responder.status for responder in responses] == [503] * 3
        other.view.flaws.down = False
        await anyio.sleep(1.0)
        assert (await ask(other, "s", 0))[0] == 200
        await check_all_released(world, other)

    run_in_step_world(test)


def test_fault_in_a_read_ends_neither_the_process_nor_later_reads() -> None:
    async def test(world: w.StepWorld) -> None:
        other = await start_with_steps(world, ["s"], SMALL)
        records: RolloutRecords = other.handler.records
        read_page = records.submission_page

        async def fail(step_id: StepId, start: str):
            raise RuntimeError("a fault in the read")

        records.submission_page = fail  # type: ignore[method-assign]
        assert (await ask(other, "s", 0))[0] == 503
        records.submission_page = read_page  # type: ignore[method-assign]
        assert (await ask(other, "s", 0))[0] == 200

    run_in_step_world(test)


@pytest.mark.parametrize("number", [0, SAMPLES])
def test_body_of_an_unknown_sample_or_step_is_not_found(number: int) -> None:
    async def test(world: w.StepWorld) -> None:
        other = await start_with_steps(world, ["s"], SMALL)
        assert (await ask(other, "s", number))[0] == (200 if number < SAMPLES else 404)
        assert (await ask(other, "t", number))[0] == 404

    run_in_step_world(test)
