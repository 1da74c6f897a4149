"""Invalid HTTP input gets a problem document, takes bounded memory and affects no other request."""

import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import anyio.abc
import anyio.lowlevel
import httpx
import msgspec
import pytest

from balsamcleat.adapters.http_server import BoundSocket, bind, serve_app
from balsamcleat.adapters.statsd_metrics import MemoryMetrics
from balsamcleat.api.request_guard import RequestBounds, RequestGuard
from balsamcleat.standins.cluster import ClusterShape, LocalCluster

SHAPE = ClusterShape(
    region="r",
    zones=("zone-a",),
    nodes_per_zone=1,
    engine_service="model",
    engines=1,
    plain_service="board",
    plain_targets=1,
)
BOUNDS = RequestBounds(
    max_body_bytes=50_000, chunk_timeout_s=0.05, body_timeout_s=0.2, send_timeout_s=0.1
)
BIG = 4_000_000

Check = Callable[[LocalCluster, httpx.AsyncClient, str], Awaitable[None]]


def with_node(check: Check) -> None:
    """Run a check against a node, then check that the node still serves other requests."""

    async def run() -> None:
        async with (
            anyio.create_task_group() as group,
            httpx.AsyncClient(trust_env=False, timeout=10.0) as client,
        ):
            cluster = LocalCluster(SHAPE, group)
            await cluster.start()
            await cluster.wait_configured(1)
            url = cluster.node_url(0)
            await check(cluster, client, url)
            answer = await client.post(f"{url}/v1/services/board/push", content="others")
            assert answer.status_code == 200
            group.cancel_scope.cancel()

    anyio.run(run)


@asynccontextmanager
async def raw(url: str) -> AsyncIterator[anyio.abc.SocketStream]:
    host, port = url.removeprefix("http://").split(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        yield stream


async def answer_to(
    url: str, request: bytes, *, half_close: bool = False, until: bytes | None = None
) -> bytes:
    """Send raw bytes and read until the node closes the connection or has sent ``until``."""
    answer = b""
    with anyio.fail_after(10):
        async with raw(url) as stream:
            await stream.send(request)
            if half_close:
                await stream.send_eof()
            async for chunk in stream:
                answer += chunk
                if until is not None and until in answer:
                    break
    return answer


def problem(response: httpx.Response) -> dict[str, object]:
    assert response.headers["content-type"] == "application/problem+json"
    document: dict[str, object] = msgspec.json.decode(response.content)
    assert document["title"] and document["status"] == response.status_code
    return document


def raw_problem(answer: bytes) -> dict[str, object]:
    head, _, body = answer.partition(b"\r\n\r\n")
    assert b"application/problem+json" in head
    return msgspec.json.decode(body)  # type: ignore[no-any-return]


def test_malformed_json_unknown_services_and_paths_get_problem_documents() -> None:
    async def check(cluster: LocalCluster, client: httpx.AsyncClient, url: str) -> None:
        asks = [
            (await client.post(f"{url}/v1/completions", content=b"{"), 400),
            (await client.post(f"{url}/v1/completions", json={"model": "no", "prompt": ""}), 404),
            (await client.post(f"{url}/v1/services/no/push", content=b"x"), 404),
            (await client.post(f"{url}/v1/deployments/rollouts/steps", content=b"[]"), 400),
            (await client.get(f"{url}/v1/nothing"), 404),
            (await client.delete(f"{url}/v1/configuration"), 405),
            (await client.patch(f"{url}/v1/configuration", content=b"[]"), 428),
        ]
        for response, status in asks:
            assert response.status_code == status, response.text
            problem(response)

    with_node(check)


def test_content_types_other_than_json_are_rejected_where_json_is_required() -> None:
    async def check(cluster: LocalCluster, client: httpx.AsyncClient, url: str) -> None:
        response = await client.post(f"{url}/v1/completions", data={"model": "model"})
        assert response.status_code == 415
        document = problem(response)
        assert "application/json" in str(document["detail"])
        assert document["outcome"] == "not run"
        form = await client.post(f"{url}/v1/services/board/push", data={"a": "b"})
        assert form.status_code == 200

    with_node(check)


def test_oversized_bodies_are_rejected_by_their_length_and_while_they_arrive() -> None:
    async def endless() -> AsyncIterator[bytes]:
        for _ in range(BIG // 50_000):
            yield b"x" * 50_000

    async def check(cluster: LocalCluster, client: httpx.AsyncClient, url: str) -> None:
        for content in (b"x" * BIG, endless()):
            try:
                response = await client.post(f"{url}/v1/services/board/push", content=content)
            except (httpx.WriteError, httpx.ReadError):
                # The node answered and closed before the client had sent everything.
                continue
            assert response.status_code == 413
            assert problem(response)["outcome"] == "not run"
        assert not cluster.services["board-0"].runs

    with_node(check)


def test_header_floods_and_malformed_http_get_problem_documents() -> None:
    async def check(cluster: LocalCluster, client: httpx.AsyncClient, url: str) -> None:
        flood = b"GET / HTTP/1.1\r\nhost: x\r\n" + b"a: b\r\n" * 10_000
        for request, status in ((flood, 431), (b"nonsense\r\n\r\n", 400)):
            assert raw_problem(await answer_to(url, request))["status"] == status

    with_node(check)


def test_half_closed_connection_gets_its_response_and_a_truncated_body_does_not_run() -> None:
    async def check(cluster: LocalCluster, client: httpx.AsyncClient, url: str) -> None:
        head = b"POST /v1/services/board/push HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n"
        answer = await answer_to(url, head + b"half", half_close=True, until=b'"half"}')
        assert answer.startswith(b"HTTP/1.1 200")
        await answer_to(url, head + b"ha", half_close=True, until=b"\r\n\r\n")
        assert cluster.services["board-0"].runs == {"half": 1}

    with_node(check)


@asynccontextmanager
async def guarded(app: Callable[..., Awaitable[None]]) -> AsyncIterator[tuple[str, MemoryMetrics]]:
    metrics = MemoryMetrics()
    guard = RequestGuard(app, metrics, anyio.Event(), BOUNDS)
    bound = bind("127.0.0.1", 0, unread_timeout_ms=5_000)
    # Small buffers, so that a client that reads nothing is detected soon.
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    url = f"http://127.0.0.1:{bound.getsockname()[1]}"
    async with anyio.create_task_group() as group:
        group.start_soon(serve_app, guard, bound, anyio.Event(), 1.0)
        yield url, metrics
        group.cancel_scope.cancel()


async def read_all(scope, receive, send) -> None:  # type: ignore[no-untyped-def]
    while (await receive()).get("more_body"):
        pass
    await send({"type": "http.response.start", "status": 200, "headers": []})
    await send({"type": "http.response.body", "body": b""})


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        (b"content-length: 10\r\n\r\n12", 408),
        (b"content-length: 60000\r\n\r\n", 413),
        (b"transfer-encoding: chunked\r\n\r\n" + b"ea60\r\n" + b"x" * 60_000 + b"\r\n", 413),
    ],
)
def test_slow_and_large_bodies_end_in_a_problem_document(sent: bytes, status: int) -> None:
    async def run() -> None:
        async with guarded(read_all) as (url, metrics):
            answer = await answer_to(url, b"POST / HTTP/1.1\r\nhost: x\r\n" + sent)
            assert raw_problem(answer)["status"] == status
            assert metrics.counters[f"request.refused.{status}"] == 1

    anyio.run(run)


def test_client_that_reads_nothing_loses_its_response_and_frees_the_handler() -> None:
    ended = anyio.Event()

    async def endless(scope, receive, send) -> None:  # type: ignore[no-untyped-def]
        try:
            await send({"type": "http.response.start", "status": 200, "headers": []})
            while True:
                body = b"x" * 65536
                await send({"type": "http.response.body", "body": body, "more_body": True})
                await anyio.lowlevel.checkpoint()
        finally:
            ended.set()

    async def run() -> None:
        async with guarded(endless) as (url, metrics), raw(url) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            with anyio.fail_after(10):
                await ended.wait()
                while not metrics.counters["request.reader_too_slow"]:
                    await anyio.lowlevel.checkpoint()

    anyio.run(run)


def test_responses_of_a_leaving_node_close_their_connections() -> None:
    async def run() -> None:
        leaving = anyio.Event()
        bound = bind("127.0.0.1", 0)
        url = f"http://127.0.0.1:{bound.getsockname()[1]}"
        app = RequestGuard(read_all, MemoryMetrics(), leaving, BOUNDS)
        async with anyio.create_task_group() as group, httpx.AsyncClient() as client:
            group.start_soon(serve_app, app, bound, anyio.Event(), 1.0)
            assert "connection" not in (await client.get(url)).headers
            leaving.set()
            assert (await client.get(url)).headers["connection"] == "close"
            group.cancel_scope.cancel()

    anyio.run(run)


def test_connections_above_the_limit_are_closed_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("balsamcleat.adapters.http_server.MAX_CONNECTIONS", 1)
    with bind("127.0.0.1", 0) as bound, socket.socket() as one, socket.socket() as two:
        assert isinstance(bound, BoundSocket)
        bound.setblocking(True)
        for client in (one, two):
            client.connect(bound.getsockname())
        kept, _ = bound.accept()
        with kept, pytest.raises(BlockingIOError):
            bound.accept()
        assert two.recv(1) == b""
