"""What the store's answer to a commit says of its outcome."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from balsamcleat.errors import (
    CommitRejectedError,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
)
from balsamcleat.http1 import (
    ConnectionPool,
    HttpServer,
    PoolLimits,
    Request,
    Responder,
    Response,
    ServerLimits,
)
from balsamcleat.http1.streams import listen
from balsamcleat.platform import PlatformRowStore
from balsamcleat.platform.settings import StoreAccess
from balsamcleat.ports.rows import RowCommit, RowKey, RowWrite, StoreLimits

COMMIT = RowCommit((RowWrite(RowKey("t", "p", "k"), b"v"),))


async def commit_error(answer: Response) -> PlatformError:
    """Return the error of a commit to which the store gives an answer."""
    return await call_error(answer, lambda store: store.commit(COMMIT))


async def call_error(
    answer: Response, call: Callable[[PlatformRowStore], Awaitable[object]]
) -> PlatformError:
    """Return the error of a call to which the store gives an answer."""

    async def handle(request: Request, responder: Responder) -> None:
        await responder.send(answer)

    listener = listen("127.0.0.1:0")
    server = HttpServer(listener, handle, lambda: ServerLimits())
    host, port = listener.getsockname()
    access = StoreAccess(
        address=f"{host}:{port}", limits=StoreLimits(), writes_per_s=100.0, reads_per_s=100.0
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(server.run)
        store = PlatformRowStore(access, ConnectionPool(PoolLimits()), lambda: 1)
        with pytest.raises(PlatformError) as caught:
            await call(store)
        server.stop_accepting()
        tasks.cancel_scope.cancel()
    return caught.value


@pytest.mark.anyio
@pytest.mark.parametrize("status", [429, 503])
async def test_only_some_statuses_say_that_nothing_was_written(status: int) -> None:
    error = await commit_error(Response(status))
    assert isinstance(error, PlatformUnavailableError)


@pytest.mark.anyio
@pytest.mark.parametrize("status", [400, 403, 413])
async def test_invalid_commit_is_rejected(status: int) -> None:
    assert isinstance(await commit_error(Response(status)), CommitRejectedError)


@pytest.mark.anyio
@pytest.mark.parametrize(
    "answer",
    [
        Response(500),
        Response(502),
        Response(504),
        Response(404),
        Response(200, (), b""),
        Response(200, (), b'{"ver":'),
        Response(200, (), b"[" * 30_000),
        Response(412, (), b"\xff"),
    ],
    ids=["500", "502", "504", "404", "200 empty", "200 cut", "200 nested", "412 unreadable"],
)
async def test_commit_without_a_readable_outcome_may_have_been_performed(answer: Response) -> None:
    """Such a commit counted as not performed; a submission then got 503, which says not run."""
    assert isinstance(await commit_error(answer), OutcomeUnknownError)


UNREADABLE_ANSWERS = {
    "version of 31 digits": b'{"ver":1000000000000000000000000000000}',
    "version of 400 digits": b'{"ver":' + b"9" * 400 + b"}",
    "version of 5000 digits": b'{"ver":' + b"9" * 5000 + b"}",
    "version below zero": b'{"ver":-1}',
    "version of 1e999": b'{"ver":1e999}',
    "time of 1e300": b'{"ver":1,"nowMs":1e300}',
    "time of 1e999": b'{"ver":1,"nowMs":1e999}',
    "time of 31 digits": b'{"ver":1,"nowMs":1000000000000000000000000000000}',
    "time that is a text": b'{"ver":1,"nowMs":"soon"}',
    "nested field": b'{"ver":1,"x":' + b"[" * 30_000 + b"]" * 30_000 + b"}",
    "nested rows": b'{"ver":1,"rows":' + b"[" * 30_000 + b"]" * 30_000 + b"}",
    "rows that are no list": b'{"ver":1,"rows":{}}',
    "more that is a text": b'{"ver":1,"hasMore":"yes"}',
    "cut": b'{"ver":1,"rows":[{"table":"t","key":"k","val',
    "wrong encoding": b'{"ver":1,"hasMore":"\xff"}',
}
READS: dict[str, Callable[[PlatformRowStore], Awaitable[object]]] = {
    "read": lambda store: store.read("t", ""),
    "changes": lambda store: store.changes("t", 0, 0.0),
}


@pytest.mark.anyio
@pytest.mark.parametrize("read", READS)
@pytest.mark.parametrize("name", UNREADABLE_ANSWERS)
async def test_read_with_an_unreadable_answer_has_failed(name: str, read: str) -> None:
    """A version of 400 digits was followed, and a time of 1e300 became the store's clock."""
    error = await call_error(Response(200, (), UNREADABLE_ANSWERS[name]), READS[read])
    assert isinstance(error, PlatformUnavailableError)


@pytest.mark.anyio
async def test_unreadable_row_of_a_named_part_fails_the_read() -> None:
    """The rows of a step are used as a whole; without one of them, a result would be missing."""
    body = b'{"ver":5,"rows":[{"table":"t","part":"p","key":7,"value":"","ver":3}]}'
    error = await call_error(Response(200, (), body), lambda store: store.read("t", "p"))
    assert isinstance(error, PlatformUnavailableError)
