"""What the store's answer to a commit says of its outcome."""

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
            await store.commit(COMMIT)
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
